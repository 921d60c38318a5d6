"""All that goes over a wire or onto a disk, against files that the code before its renaming wrote."""

from __future__ import annotations

import base64
import dataclasses
import functools
import json
import sqlite3
import threading
from typing import TYPE_CHECKING

import pytest

from cedarthread import fleet_config
from cedarthread.components.replicated_state import EntryKind
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.node.routing_node import RoutingNode
from cedarthread.persistence import recovered_image
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import LoadResult, StoreFault
from cedarthread.persistence.store_thread import StoreHost, StoreThread, open_store
from cedarthread.replication import entry as entries
from tests import golden_samples as golden
from tests.helpers import settings, worker

if TYPE_CHECKING:
    from pathlib import Path

    from cedarthread.model.settings import Limits
    from tests.golden_samples import Json, Sample

LONG = 10.0  # s that anything here may take


@functools.cache
def content(name: str) -> dict[str, Json]:
    loaded: dict[str, Json] = json.loads((golden.FOLDER / f"{name}.json").read_text())
    return loaded


def part(told: Json, key: str) -> Json:
    assert isinstance(told, dict)
    return told[key]


@functools.cache
def made(name: str) -> dict[str, Sample]:
    return {sample.name: sample for sample in golden.BUILDERS[name]()}


EVERY: list[tuple[str, str]] = [(name, sample) for name in golden.BUILDERS for sample in content(name)]


def test_each_file_has_its_builder_and_each_builder_its_file() -> None:
    files = {path.name for path in golden.FOLDER.iterdir()}
    assert files == {f"{name}.json" for name in (*golden.BUILDERS, golden.FOLDERS)}


@pytest.mark.parametrize("name", golden.BUILDERS)
def test_a_file_is_made_again_byte_for_byte(name: str) -> None:
    assert golden.file_text(name).encode() == (golden.FOLDER / f"{name}.json").read_bytes()


@pytest.mark.parametrize(("name", "sample"), EVERY)
def test_a_sample_is_made_again_byte_for_byte(name: str, sample: str) -> None:
    told = content(name)[sample]
    assert isinstance(told, dict)
    assert sample in made(name)
    assert made(name)[sample].data == golden.kept(told)


@pytest.mark.parametrize(("name", "sample"), EVERY)
def test_kept_bytes_are_read_as_they_were_and_written_the_same(name: str, sample: str) -> None:
    told = content(name)[sample]
    assert isinstance(told, dict)
    raw, one = golden.kept(told), made(name)[sample]
    assert (one.reads is not None) is ("read" in told)
    if one.reads is not None:
        assert one.reads(raw) == told["read"]
    if one.again is not None:
        assert one.again(raw) == raw


# The store's folder.


def unpacked(mode: str, folder: Path) -> Path:
    """A copy of the folder as it was kept."""
    files = part(content(golden.FOLDERS)[mode], "files")
    assert isinstance(files, dict)
    for name, raw in files.items():
        assert isinstance(raw, str)
        (folder / name).write_bytes(base64.b64decode(raw))
    return folder


def values_of(mode: str) -> dict[str, bytes]:
    values = part(content(golden.FOLDERS)[mode], "values")
    assert isinstance(values, dict)
    return {key: bytes.fromhex(value) for key, value in values.items() if isinstance(value, str)}


def rows(folder: Path) -> tuple[list[str], list[object], list[object]]:
    """Names of the files, and schema and rows of the one that counts, without the store's own code."""
    names = sorted(path.name for path in folder.iterdir())
    connection = sqlite3.connect(folder / next(name for name in names if name.endswith(".db")))
    try:
        schema: list[object] = connection.execute(
            "SELECT name, sql FROM sqlite_schema ORDER BY name"
        ).fetchall()
        told: list[object] = connection.execute("SELECT key, generation, value, sum FROM rows").fetchall()
        told += connection.execute("SELECT id, generation, total, sum FROM head").fetchall()
    finally:
        connection.close()
    return names, schema, told


def test_each_mode_is_kept() -> None:
    assert list(content(golden.FOLDERS)) == list(golden.MODES)
    for mode in golden.MODES:
        assert values_of(mode) == golden.store_values()


@pytest.mark.parametrize("mode", golden.MODES)
def test_a_kept_folder_is_read_and_goes_on(mode: str, tmp_path: Path) -> None:
    folder, sync, told = unpacked(mode, tmp_path), golden.MODES[mode].sync, content(golden.FOLDERS)[mode]
    assert part(told, "whole") is True
    for _ in range(2):
        values, generation, whole = golden.read_folder(folder, sync)
        assert values == values_of(mode)
        assert generation == part(told, "generation")
        assert whole
    assert golden.values_again(values) == values
    store = SqliteBackend(folder, sync)
    store.open()
    assert store.commit([("warm", b"new"), ("life", None)]) is None
    store.close()
    after, later, whole = golden.read_folder(folder, sync)
    assert whole
    assert later == generation + 1
    assert after == {key: value for key, value in values.items() if key != "life"} | {"warm": b"new"}


@pytest.mark.parametrize("mode", golden.MODES)
def test_a_new_folder_has_the_rows_of_the_kept_one(mode: str, tmp_path: Path) -> None:
    (old := tmp_path / "old").mkdir()
    (new := tmp_path / "new").mkdir()
    files = golden.write_folder(new, golden.MODES[mode])
    assert sorted(files) == sorted(path.name for path in unpacked(mode, old).iterdir())
    assert rows(new) == rows(old)


@pytest.mark.parametrize("mode", golden.MODES)
def test_a_kept_folder_is_read_on_the_stores_thread(mode: str, tmp_path: Path) -> None:
    woken, found = threading.Event(), list[LoadResult]()
    store: StoreThread = open_store(
        unpacked(mode, tmp_path),
        golden.MODES[mode].sync,
        host=StoreHost(
            clock=lambda: 0.0,
            wake=woken.set,
            on_opened=found.append,
            log=lambda line: None,
        ),
    )
    assert woken.wait(LONG)
    store.run_callbacks()
    store.close()
    assert [dict(one.values) for one in found] == [values_of(mode)]
    assert found[0].fault is None


def test_the_torn_folder_lacks_its_content_until_its_journal_is_played_back(tmp_path: Path) -> None:
    folder = unpacked("group, torn", tmp_path)
    (folder / "state-1.db-journal").unlink()
    store = SqliteBackend(folder, "group")
    loaded = store.open()
    store.close()
    assert loaded.fault is StoreFault.CORRUPTED
    assert dict(loaded.values) != values_of("group, torn")


def test_a_damaged_byte_in_a_kept_folder_shows(tmp_path: Path) -> None:
    folder = unpacked("each", tmp_path)
    raw = bytearray((folder / "state-1.db").read_bytes())
    raw[raw.index(b"best-effort")] ^= 1
    (folder / "state-1.db").write_bytes(raw)
    store = SqliteBackend(folder, "each")
    loaded = store.open()
    store.close()
    assert loaded.fault is StoreFault.CORRUPTED
    assert 0 < len(loaded.values) < len(values_of("each"))
    assert dict(loaded.values).items() <= values_of("each").items()


def test_a_router_believes_a_kept_folder_and_puts_the_same_again(tmp_path: Path) -> None:
    """Old data in the hands of a whole router: entries, seat, counts and what stands warm."""
    store = SqliteBackend(unpacked("each", tmp_path), "each")
    loaded = store.open()
    store.close()
    alone: Limits = dataclasses.replace(settings().limits, allows_gossip=False)
    router = RoutingNode(settings(router_count=1, limits=alone), 3, 4)
    ready = tuple(worker(n, started=100.0 * n) for n in range(1, 4))
    router.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, ready))
    file: fleet_config.FleetConfig = fleet_config.parse_fleet_config(b'[disk]\nfolder = "kept"\n')
    router.apply_fleet_config(0.0, file, lambda: golden.WALL + 2000.0)
    sharing = router.fleet_components
    assert sharing is not None
    assert sharing.persister is not None
    sharing.persister.on_store_opened(10.0, loaded, recovered_image.decode_image(loaded.values))
    assert sharing.store.store_generation == part(content(golden.FOLDERS)["each"], "generation")
    own: dict[str, bytes] = dict(recovered_image.encode_entry(entry) for entry in sharing.store.snapshot())
    kept = {key: raw for key, raw in values_of("each").items() if key.startswith("entry/")}
    assert own == kept
    for kind in EntryKind:
        for one in sharing.store.entries(kind):
            assert recovered_image.encode_entry(one.entry)[1] == kept[f"entry/{kind.value}/{one.entry.name}"]
            assert entries.decode(entries.encode(one.entry)) == one.entry
    assert sharing.escrow.snapshot() == values_of("each")["grants"]
    assert len(sharing.recovery.warm_state.digest(10.0)) == 5


def test_what_is_kept_is_not_written_over(capsys: pytest.CaptureFixture[str]) -> None:
    before = {path.name: path.read_bytes() for path in golden.FOLDER.iterdir()}
    assert golden.main(["--write"]) == 1
    assert "not written over" in capsys.readouterr().err
    assert {path.name: path.read_bytes() for path in golden.FOLDER.iterdir()} == before
