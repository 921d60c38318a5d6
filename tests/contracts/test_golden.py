"""Tests of wire formats and stored values against golden files, which an earlier router version wrote."""

from __future__ import annotations

import base64
import dataclasses
import functools
import json
import sqlite3
import threading
from typing import TYPE_CHECKING, NamedTuple

import pytest

from cedarthread import fleet_config
from cedarthread.components.replicated_state import EntryKind
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.node.routing_node import RoutingNode
from cedarthread.persistence import recovered_image
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import LoadResult, StoreFault
from cedarthread.persistence.store_thread import StoreHost, open_store
from cedarthread.replication import entry as entry_codec
from tests.golden_builders.sample import WALL_CLOCK_MS
from tests.golden_builders.store_folders import MODES, read_folder, write_folder
from tests.golden_builders.stored_values import rewrite_values, store_values
from tests.golden_samples import (
    BUILDERS,
    GOLDEN_FOLDER,
    STORE_FOLDERS,
    file_text,
    golden_bytes,
    golden_path,
    main,
)
from tests.helpers import settings, worker

if TYPE_CHECKING:
    from pathlib import Path

    from tests.golden_builders.sample import Json, Sample

STORE_TIMEOUT_S = 10.0


@functools.cache
def golden_file(name: str) -> dict[str, Json]:
    content: dict[str, Json] = json.loads(golden_path(name).read_text())
    return content


def golden_record(name: str, sample_name: str) -> dict[str, Json]:
    record = golden_file(name)[sample_name]
    assert isinstance(record, dict)
    return record


@functools.cache
def built_samples(name: str) -> dict[str, Sample]:
    return {sample.name: sample for sample in BUILDERS[name]()}


GOLDEN_SAMPLES: list[tuple[str, str]] = [
    (name, sample_name) for name in BUILDERS for sample_name in golden_file(name)
]


def test_golden_files_and_builders_match_one_to_one() -> None:
    file_names = {path.name for path in GOLDEN_FOLDER.iterdir()}
    assert file_names == {f"{name}.json" for name in (*BUILDERS, STORE_FOLDERS)}


@pytest.mark.parametrize("name", BUILDERS)
def test_a_golden_file_is_reproduced_byte_for_byte(name: str) -> None:
    assert file_text(name).encode() == golden_path(name).read_bytes()


@pytest.mark.parametrize(("name", "sample_name"), GOLDEN_SAMPLES)
def test_a_sample_is_reproduced_byte_for_byte(name: str, sample_name: str) -> None:
    record = golden_record(name, sample_name)
    assert sample_name in built_samples(name)
    assert built_samples(name)[sample_name].data == golden_bytes(record)


@pytest.mark.parametrize(("name", "sample_name"), GOLDEN_SAMPLES)
def test_golden_bytes_are_decoded_and_encoded_as_before(name: str, sample_name: str) -> None:
    record = golden_record(name, sample_name)
    data = golden_bytes(record)
    sample = built_samples(name)[sample_name]
    assert (sample.read is not None) is ("read" in record)
    if sample.read is not None:
        assert sample.read(data) == record["read"]
    if sample.rewrite is not None:
        assert sample.rewrite(data) == data


# Folders of the store.


def golden_folder(mode: str) -> dict[str, Json]:
    """Return the golden file's record of the folder that was written in this mode."""
    return golden_record(STORE_FOLDERS, mode)


def unpack_folder(mode: str, folder: Path) -> Path:
    """Write the files of a golden folder to this folder, and return the folder."""
    files = golden_folder(mode)["files"]
    assert isinstance(files, dict)
    for name, encoded in files.items():
        assert isinstance(encoded, str)
        (folder / name).write_bytes(base64.b64decode(encoded))
    return folder


def golden_values(mode: str) -> dict[str, bytes]:
    values = golden_folder(mode)["values"]
    assert isinstance(values, dict)
    return {key: bytes.fromhex(value) for key, value in values.items() if isinstance(value, str)}


class DatabaseContent(NamedTuple):
    """The names of a folder's files, and the schema and the rows of its database."""

    file_names: list[str]
    schema: list[object]
    rows: list[object]


def read_database(folder: Path) -> DatabaseContent:
    """Read the folder's database without using the store's code."""
    file_names = sorted(path.name for path in folder.iterdir())
    connection = sqlite3.connect(folder / next(name for name in file_names if name.endswith(".db")))
    try:
        schema: list[object] = connection.execute(
            "SELECT name, sql FROM sqlite_schema ORDER BY name"
        ).fetchall()
        rows: list[object] = connection.execute("SELECT key, generation, value, sum FROM rows").fetchall()
        rows += connection.execute("SELECT id, generation, total, sum FROM head").fetchall()
    finally:
        connection.close()
    return DatabaseContent(file_names, schema, rows)


def load_store(folder: Path) -> LoadResult:
    """Open the store in this folder in sync mode "each", close it, and return what it read."""
    store = SqliteBackend(folder, "each")
    loaded = store.open()
    store.close()
    return loaded


def test_each_mode_has_a_golden_folder_with_all_values() -> None:
    assert list(golden_file(STORE_FOLDERS)) == list(MODES)
    for mode in MODES:
        assert golden_values(mode) == store_values()


@pytest.mark.parametrize("mode", MODES)
def test_a_golden_folder_is_read_and_accepts_commits(mode: str, tmp_path: Path) -> None:
    folder = unpack_folder(mode, tmp_path)
    sync = MODES[mode].sync
    assert golden_folder(mode)["whole"] is True

    for _ in range(2):
        content = read_folder(folder, sync)
        assert content.values == golden_values(mode)
        assert content.generation == golden_folder(mode)["generation"]
        assert content.is_intact
    assert rewrite_values(content.values) == content.values

    store = SqliteBackend(folder, sync)
    store.open()
    assert store.commit([("warm", b"new"), ("life", None)]) is None
    store.close()

    after_commit = read_folder(folder, sync)
    assert after_commit.is_intact
    assert after_commit.generation == content.generation + 1
    unchanged = {key: value for key, value in content.values.items() if key != "life"}
    assert after_commit.values == unchanged | {"warm": b"new"}


@pytest.mark.parametrize("mode", MODES)
def test_a_new_folder_has_the_rows_of_the_golden_folder(mode: str, tmp_path: Path) -> None:
    old = tmp_path / "old"
    old.mkdir()
    new = tmp_path / "new"
    new.mkdir()
    files = write_folder(new, MODES[mode])
    assert sorted(files) == sorted(path.name for path in unpack_folder(mode, old).iterdir())
    assert read_database(new) == read_database(old)


@pytest.mark.parametrize("mode", MODES)
def test_a_golden_folder_is_read_on_the_store_thread(mode: str, tmp_path: Path) -> None:
    callback_due = threading.Event()
    results: list[LoadResult] = []
    host = StoreHost(
        clock=lambda: 0.0,
        wake=callback_due.set,
        on_opened=results.append,
        log=lambda line: None,
    )
    store = open_store(unpack_folder(mode, tmp_path), MODES[mode].sync, host=host)
    assert callback_due.wait(STORE_TIMEOUT_S)
    store.run_callbacks()
    store.close()
    assert [dict(result.values) for result in results] == [golden_values(mode)]
    assert results[0].fault is None


def test_a_torn_folder_without_its_journal_is_reported_as_corrupted(tmp_path: Path) -> None:
    folder = unpack_folder("group, torn", tmp_path)
    (folder / "state-1.db-journal").unlink()
    store = SqliteBackend(folder, "group")
    loaded = store.open()
    store.close()
    assert loaded.fault is StoreFault.CORRUPTED
    assert dict(loaded.values) != golden_values("group, torn")


def test_a_damaged_byte_in_a_golden_folder_is_detected(tmp_path: Path) -> None:
    folder = unpack_folder("each", tmp_path)
    database = bytearray((folder / "state-1.db").read_bytes())
    database[database.index(b"best-effort")] ^= 1
    (folder / "state-1.db").write_bytes(database)
    loaded = load_store(folder)
    assert loaded.fault is StoreFault.CORRUPTED
    assert 0 < len(loaded.values) < len(golden_values("each"))
    assert dict(loaded.values).items() <= golden_values("each").items()


def test_a_router_restores_a_golden_folder_and_encodes_the_same_values(tmp_path: Path) -> None:
    """Check that a router restores its entries, quota balances and warm state from a golden folder."""
    loaded = load_store(unpack_folder("each", tmp_path))
    limits = dataclasses.replace(settings().limits, allows_gossip=False)
    router = RoutingNode(settings(router_count=1, limits=limits), 3, 4)
    ready = tuple(worker(number, started_at_ms=100.0 * number) for number in range(1, 4))
    router.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, ready))
    config = fleet_config.parse_fleet_config(b'[disk]\nfolder = "kept"\n')
    router.apply_fleet_config(0.0, config, lambda: WALL_CLOCK_MS + 2000.0)
    components = router.fleet_components
    assert components is not None
    assert components.persister is not None

    image = recovered_image.decode_image(loaded.values)
    components.persister.on_store_opened(10.0, loaded, image)

    assert components.store.store_generation == golden_folder("each")["generation"]
    restored = dict(recovered_image.encode_entry(entry) for entry in components.store.snapshot())
    golden = {key: value for key, value in golden_values("each").items() if key.startswith("entry/")}
    assert restored == golden
    for kind in EntryKind:
        for stored in components.store.entries(kind):
            entry = stored.entry
            assert recovered_image.encode_entry(entry)[1] == golden[f"entry/{kind.value}/{entry.name}"]
            assert entry_codec.decode(entry_codec.encode(entry)) == entry
    assert components.escrow.snapshot() == golden_values("each")["grants"]
    assert len(components.recovery.warm_state.latest_observations(10.0)) == 5


def test_existing_golden_files_are_not_overwritten(capsys: pytest.CaptureFixture[str]) -> None:
    before = {path.name: path.read_bytes() for path in GOLDEN_FOLDER.iterdir()}
    assert main(["--write"]) == 1
    assert "not overwritten without --force" in capsys.readouterr().err
    assert {path.name: path.read_bytes() for path in GOLDEN_FOLDER.iterdir()} == before
