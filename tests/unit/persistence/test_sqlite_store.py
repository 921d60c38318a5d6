"""The SQLite backend: verification of its files, their replacement, and recovery after faults."""

from __future__ import annotations

import sqlite3
from typing import TYPE_CHECKING

from cedarthread.persistence.checksums import row_checksum
from cedarthread.persistence.fault_switch import InjectedFault, ManualSwitch
from cedarthread.persistence.faulty_disk import FaultyDisk
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import StoreFault

if TYPE_CHECKING:
    from pathlib import Path

WRITE_VERSION_OFFSET = 18
"""Offset in an SQLite file of the format version for writing."""


def write_database(folder: Path) -> Path:
    """Write a database of two rows and return its path."""
    backend = SqliteBackend(folder)
    backend.open()
    assert backend.commit([("a", b"1"), ("b", b"2")]) is None
    backend.close()
    return folder / "state-1.db"


def test_a_missing_row_is_corruption(tmp_path: Path) -> None:
    with sqlite3.connect(write_database(tmp_path)) as connection:
        connection.execute("DELETE FROM rows WHERE key = ?", (b"a",))
    connection.close()
    load_result = SqliteBackend(tmp_path).open()
    assert load_result.fault is StoreFault.CORRUPTED and load_result.values == {"b": b"2"}


def test_a_row_checksum_depends_on_key_generation_and_value() -> None:
    assert len({row_checksum("a", 1, b"bc"), row_checksum("ab", 1, b"c"), row_checksum("a", 2, b"bc")}) == 3


def test_a_file_that_sqlite_can_only_read_is_replaced_at_the_next_opening(tmp_path: Path) -> None:
    path = write_database(tmp_path)
    content = bytearray(path.read_bytes())
    content[WRITE_VERSION_OFFSET : WRITE_VERSION_OFFSET + 1] = b"\t"
    path.write_bytes(content)
    backend = SqliteBackend(tmp_path)
    assert len(backend.open().values) == 2
    assert backend.commit([("c", b"3")]) is StoreFault.READ_ONLY
    assert len(backend.open().values) == 2
    assert backend.commit([("c", b"3")]) is None
    backend.close()


def test_older_database_files_are_deleted(tmp_path: Path) -> None:
    write_database(tmp_path).rename(tmp_path / "state-5.db")
    (tmp_path / "state-3.db").write_bytes(b"an older file")
    assert len(SqliteBackend(tmp_path).open().values) == 2
    assert not (tmp_path / "state-3.db").exists() and (tmp_path / "state-5.db").exists()


def test_failed_reopenings_lose_no_acknowledged_write(tmp_path: Path) -> None:
    switch = ManualSwitch()
    vfs = "reopenings"
    disk = FaultyDisk(vfs, switch, 5, lambda ms: None)
    backend = SqliteBackend(tmp_path, vfs=vfs)
    backend.open()
    backend.commit([("a", b"1")])
    switch.fault = InjectedFault.DISK_FULL
    assert backend.commit([("b", b"2")]) is StoreFault.DISK_FULL
    switch.fault = InjectedFault.NONE
    assert backend.commit([("b", b"2")]) is not None, "no write succeeds before the backend was reopened"
    switch.fault = InjectedFault.DISK_FULL
    assert [backend.open().fault for _ in range(3)] == [StoreFault.DISK_FULL] * 3
    switch.fault = InjectedFault.NONE
    load_result = backend.open()
    assert load_result.values == {"a": b"1"} and load_result.is_writable
    assert load_result.generation == backend.generation > 2
    backend.close()
    del disk
