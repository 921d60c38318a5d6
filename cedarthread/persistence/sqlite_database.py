"""An open database file of a store: its pragmas and tables, and reading, verifying and writing them.

The file has a table of rows, and a table with a single row, the head (see ``checksums``). SQLite uses a
rollback journal, because a flipped bit in a write-ahead log silently discards all later commits. With a
rollback journal, committed content is in the database file itself, so that checksums detect each corruption
(docs/design/persistence.md).
"""

from __future__ import annotations

import logging
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import apsw

from cedarthread.errors import CedarthreadError
from cedarthread.logs import format_event
from cedarthread.persistence import checksums, database_folder

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from pathlib import Path

    from apsw import SQLiteValue

    from cedarthread.persistence.store import KeyValueWrite, SyncMode

log = logging.getLogger(__name__)

_SCHEMA = """
CREATE TABLE IF NOT EXISTS rows(key BLOB PRIMARY KEY, generation INTEGER, value BLOB, sum BLOB) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS head(id INTEGER PRIMARY KEY, generation INTEGER, total BLOB, sum BLOB);
"""
_SELECT_ROWS = "SELECT key, generation, value, sum FROM rows"
_SELECT_HEAD = "SELECT generation, total, sum FROM head"


class DatabaseCorruptedError(CedarthreadError):
    """The content of a database file differs from what was written to it."""


@dataclass(slots=True)
class StoreContents:
    """The rows of a store with their checksums. Generation 0 means that no commit was ever completed."""

    values: dict[str, bytes] = field(default_factory=dict)
    row_checksums: dict[str, bytes] = field(default_factory=dict)
    generation: int = 0


class SalvagedRows(NamedTuple):
    """The values that could be read from a corrupted file, and the highest generation that was found."""

    values: Mapping[str, bytes]
    generation: int


class SqliteDatabase:
    """A connection to one database file, which is created if missing.

    All methods but ``close`` raise ``apsw.Error`` or ``OSError`` when the disk or the file has a fault.

    Args:
        path: the database file.
        vfs: name of the SQLite VFS to use; None selects the default VFS.
    """

    def __init__(self, path: Path, vfs: str | None) -> None:
        self.path = path
        self._connection = apsw.Connection(str(path), vfs=vfs)
        self._device_and_inode = database_folder.FileIdentity(0, 0)

    def configure(self, sync_mode: SyncMode) -> None:
        """Set the pragmas; the caller must do this before any other call."""
        self.execute("PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=PERSIST; PRAGMA trusted_schema=OFF")
        self.execute("PRAGMA temp_store=MEMORY")
        self.execute(f"PRAGMA synchronous={'OFF' if sync_mode == 'none' else 'EXTRA'}")
        self._device_and_inode = database_folder.device_and_inode(self.path)

    def execute(self, statement: str, bindings: Sequence[SQLiteValue] = ()) -> list[tuple[SQLiteValue, ...]]:
        """Run SQL statements and return all their result rows."""
        return list(self._connection.execute(statement, bindings))

    def is_in_place(self) -> bool:
        """Return whether the open file is still the one at its path; if it is not, writes to it are lost."""
        return database_folder.device_and_inode(self.path) == self._device_and_inode

    def roll_back_unfinished(self) -> bool:
        """Roll back a transaction that a power cut interrupted; return False if the file is read-only."""
        try:
            # SQLite rolls back an unfinished transaction, from its journal, before it begins the next one.
            self.execute("BEGIN IMMEDIATE; COMMIT")
        except apsw.ReadOnlyError:
            return False
        return True

    def read_verified(self) -> StoreContents:
        """Read all content and verify it against its checksums.

        Raises:
            DatabaseCorruptedError: the content is not exactly the one that the last commit wrote.
        """
        if not self.execute("SELECT name FROM sqlite_schema"):
            return StoreContents()
        heads = self.execute(_SELECT_HEAD)
        rows = checksums.verify_rows(self.execute(_SELECT_ROWS))
        if rows.rejected_count:
            raise DatabaseCorruptedError(
                f"{self.path}: {rows.rejected_count} rows have invalid values, checksums or duplicate keys"
            )
        if len(heads) != 1:
            raise DatabaseCorruptedError(f"{self.path}: {len(heads)} rows in table head, expected 1")
        head = checksums.verify_head(heads[0])
        if head is None:
            raise DatabaseCorruptedError(f"{self.path}: invalid values or checksum in table head")
        if head.total != checksums.total_checksum(rows.row_checksums.values()):
            raise DatabaseCorruptedError(f"{self.path}: rows are missing or belong to an earlier commit")
        if head.generation < rows.max_generation:
            raise DatabaseCorruptedError(f"{self.path}: a row has a higher generation than the head")
        return StoreContents(rows.values, rows.row_checksums, head.generation)

    def salvage(self) -> SalvagedRows:
        """Return the rows that can be read and verified, and the highest generation of rows and head."""
        rows: list[tuple[SQLiteValue, ...]] = []
        generation = 0
        try:
            cursor = self._connection.execute(_SELECT_ROWS)
            while (row := cursor.fetchone()) is not None:  # one by one, to keep the rows read before an error
                rows.append(row)
        except (apsw.Error, OSError) as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("store_salvage_incomplete", table="rows", read=len(rows), error=error))
        try:
            for raw_head in self.execute(_SELECT_HEAD):
                head = checksums.verify_head(raw_head)
                if head is not None:
                    generation = max(generation, head.generation)
        except (apsw.Error, OSError) as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("store_salvage_incomplete", table="head", error=error))
        verified = checksums.verify_rows(rows)
        return SalvagedRows(verified.values, max(generation, verified.max_generation))

    def write(self, contents: StoreContents, writes: Sequence[KeyValueWrite], *, clear: bool) -> None:
        """Apply writes to ``contents`` and, in one transaction, to the file.

        Args:
            contents: the rows of the file, with the generation to write; without rows if ``clear`` is set.
            writes: the writes to apply, in order.
            clear: whether to delete all rows of the file first.
        """
        with self.transaction():
            self.execute(_SCHEMA)
            if clear:
                self.execute("DELETE FROM rows")
            for key, value in writes:
                self._write_row(contents, key, value)
            total = checksums.total_checksum(contents.row_checksums.values())
            checksum = checksums.head_checksum(contents.generation, total)
            self.execute("REPLACE INTO head VALUES(0, ?, ?, ?)", (contents.generation, total, checksum))

    def _write_row(self, contents: StoreContents, key: str, value: bytes | None) -> None:
        if value is None:
            self.execute("DELETE FROM rows WHERE key = ?", (key.encode(),))
            contents.values.pop(key, None)
            contents.row_checksums.pop(key, None)
            return
        checksum = checksums.row_checksum(key, contents.generation, value)
        contents.values[key] = value
        contents.row_checksums[key] = checksum
        self.execute(
            "REPLACE INTO rows VALUES(?, ?, ?, ?)", (key.encode(), contents.generation, value, checksum)
        )

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """Run the body in a transaction, which is rolled back if the body or the commit raises."""
        self.execute("BEGIN IMMEDIATE")
        try:
            yield
            self.execute("COMMIT")
        except BaseException:
            try:
                self.execute("ROLLBACK")
            except apsw.Error as error:
                if log.isEnabledFor(logging.DEBUG):
                    log.debug(format_event("store_rollback_failed", file=self.path.name, error=error))
            raise

    def close(self) -> None:
        """Close the file; log errors at debug level only, because a faulted file may fail to close."""
        try:
            self._connection.close(force=True)
        except (apsw.Error, OSError) as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("store_close_failed", file=self.path.name, error=error))
