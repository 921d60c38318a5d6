"""Store folders, each written in one sync mode and left closed, open or in the middle of a commit."""

from __future__ import annotations

import base64
import sqlite3
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Literal, NamedTuple

from cedarthread.persistence.sqlite_store import SqliteBackend
from tests.golden_builders.stored_values import store_values

if TYPE_CHECKING:
    from cedarthread.persistence.store import SyncMode
    from tests.golden_builders.sample import Json


@dataclass(frozen=True)
class FolderMode:
    """The sync mode in which a folder is written, and the state in which it is left.

    Args:
        sync: When the store synchronizes its file with the disk.
        final_state: "closed", "open" as after a killed process, or "torn" as after a power failure during a
            commit.
    """

    sync: SyncMode
    final_state: Literal["closed", "open", "torn"] = "closed"


MODES: dict[str, FolderMode] = {
    "each": FolderMode("each"),
    "group": FolderMode("group"),
    "none": FolderMode("none"),
    "each, left open": FolderMode("each", "open"),
    "group, torn": FolderMode("group", "torn"),
}


class FolderContent(NamedTuple):
    """The content that the store reads from a folder; ``is_intact`` is False if the store reports a fault."""

    values: dict[str, bytes]
    generation: int
    is_intact: bool


def build_store_folders() -> dict[str, Json]:
    """Return the folder of each mode: its files in base64, and the content that the store reads from them."""
    folders: dict[str, Json] = {}
    for name, mode in MODES.items():
        with tempfile.TemporaryDirectory() as folder:
            files = write_folder(Path(folder), mode)
            content = read_folder(Path(folder), mode.sync)
        folders[name] = {
            "files": {file: base64.b64encode(data).decode() for file, data in files.items()},
            "values": {key: value.hex() for key, value in sorted(content.values.items())},
            "generation": content.generation,
            "whole": content.is_intact,
        }
    return folders


def write_folder(folder: Path, mode: FolderMode) -> dict[str, bytes]:
    """Write every value of a router, one of them twice, and delete another; return the bytes of the files."""
    store = SqliteBackend(folder, mode.sync)
    store.open()
    commits: list[list[tuple[str, bytes | None]]] = [
        [("warm", b"earlier"), ("entry/contract/gone", b"x" * 5000)],
        [(key, value) for key, value in sorted(store_values().items())],
        [("entry/contract/gone", None)],
    ]
    for changes in commits:
        if store.commit(changes) is not None:
            raise OSError("the store did not commit the changes")
    if mode.final_state == "open":
        files = _read_files(folder)
        store.close()
        return files
    store.close()
    return _interrupt_commit(folder) if mode.final_state == "torn" else _read_files(folder)


def read_folder(folder: Path, sync: SyncMode) -> FolderContent:
    """Open the store in this folder, close it, and return the content that it read."""
    store = SqliteBackend(folder, sync)
    loaded = store.open()
    store.close()
    return FolderContent(dict(loaded.values), loaded.generation, loaded.fault is None)


def _read_files(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def _interrupt_commit(folder: Path) -> dict[str, bytes]:
    """Return the files as a power failure during a commit leaves them: SQLite must replay its journal."""
    connection = sqlite3.connect(folder / "state-1.db", isolation_level=None)
    try:
        connection.execute("PRAGMA journal_mode=PERSIST")
        connection.execute("PRAGMA cache_size=1")
        connection.execute("BEGIN IMMEDIATE")
        connection.execute("UPDATE rows SET value = x'00'")
        connection.execute("CREATE TABLE more(value BLOB)")
        for _ in range(50):  # Enough rows that SQLite writes the changed pages from its cache to the file.
            connection.execute("INSERT INTO more VALUES(?)", (b"x" * 3000,))
        return _read_files(folder)
    finally:
        connection.execute("ROLLBACK")
        connection.close()
