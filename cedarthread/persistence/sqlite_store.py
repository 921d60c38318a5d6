"""The store in a file, on SQLite by way of apsw, with sums of its own over what SQLite does not check.

A rollback journal rather than the write-ahead log: a bit that flips in the log cuts off all commits after it
without a word, whereas here content stands in its place, and each damage shows (design page). One table of
rows and one head. A row's sum is over key, generation and value: a value can't pass under another key. The
head's is over the sum of all rows: no row can be missing, or be an earlier one, unseen.

After trouble the file is written no more, and not read either: a failed sync leaves file and journal in a
state that SQLite's own recovery can make worse (design page). What was acknowledged goes from memory into a
new file ``state-N.db`` of a higher N; the one of the highest N that was ever whole counts.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from hashlib import blake2b
from pathlib import Path
from typing import Any

import apsw

from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault, SyncMode

QUARANTINE_FILE = "damaged.db"  # the last damaged file, kept for whoever looks into it
_DATABASE_FILE_PATTERN = re.compile(r"state-(\d{1,9})\.db(-journal)?")
CHECKSUM_MODULUS = 2**128  # sums of rows are added modulo this, so that the order of rows does not matter

_SCHEMA = """
CREATE TABLE IF NOT EXISTS rows(key BLOB PRIMARY KEY, generation INTEGER, value BLOB, sum BLOB) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS head(id INTEGER PRIMARY KEY, generation INTEGER, total BLOB, sum BLOB);
"""


class _CorruptedError(Exception):
    """What was read can't be what was written."""


def row_checksum(key: str, generation: int, value: bytes) -> bytes:
    """The sum of one row, 16 bytes."""
    name = key.encode()
    return blake2b(b"%d %d " % (generation, len(name)) + name + value, digest_size=16).digest()


def head_checksum(generation: int, total: bytes) -> bytes:
    """The sum of the head, 16 bytes."""
    return blake2b(b"head %d " % generation + total, digest_size=16).digest()


def fault_from_error(error: BaseException, folder: Path) -> StoreFault:
    """What an error of SQLite or of the system means for whoever runs the router."""
    match error:
        case apsw.FullError():
            return StoreFault.DISK_FULL
        case apsw.ReadOnlyError():
            return StoreFault.READ_ONLY
        case apsw.BusyError() | apsw.LockedError() | OSError(errno=errno.EAGAIN):
            return StoreFault.LOCKED
        case apsw.CantOpenError():
            sealed = folder.is_dir() and not os.access(folder, os.W_OK)
            return StoreFault.READ_ONLY if sealed else StoreFault.FOLDER_MISSING
        case OSError(errno=errno.ENOENT | errno.ENOTDIR | errno.ESTALE):
            return StoreFault.FOLDER_MISSING
        case OSError(errno=errno.EROFS):
            return StoreFault.READ_ONLY
        case OSError(errno=errno.ENOSPC | errno.EDQUOT):
            return StoreFault.DISK_FULL
        case OSError() | apsw.IOError():
            return StoreFault.IO_ERROR
    return (
        StoreFault.CORRUPTED
    )  # the statements are always the same: if one is not understood, it is the file


class SqliteBackend:
    """Keys and values in one file of a folder, which must be there: a mount that is missing is not filled in.

    Its methods wait for the disk, and raise nothing. ``vfs`` names the layer beneath (``lying.py``).
    """

    def __init__(self, folder: Path, sync_mode: SyncMode = "group", vfs: str | None = None) -> None:
        self.folder, self.sync_mode, self.vfs = folder, sync_mode, vfs
        self.generation = 0
        self._acknowledged: dict[str, bytes] | None = (
            None  # what was acknowledged; None: nothing was read yet
        )
        self._row_checksums: dict[str, bytes] = {}
        self._connection: apsw.Connection | None = None
        self._database_path = folder
        self._database_inode = (0, 0)  # device and inode that are open
        self._folder_lock: int | None = None  # the folder itself, open and locked; held through trouble

    # Opening.

    def open(self) -> LoadResult:
        """What stands there; after trouble what was acknowledged is written anew, whole.

        After a failed sync the system may serve from its memory what never reached the disk, so then nothing
        that it says of this file is taken for evidence (Rebello and others, 2020).
        """
        self._disconnect()
        try:
            self._acquire_lock()
            if self._acknowledged is not None:
                self._rewrite(self._acknowledged, self.generation)
                return LoadResult(dict(self._acknowledged), self.generation)
            return self._recover()
        except (apsw.Error, OSError) as error:
            self._disconnect()
            return LoadResult({}, 0, fault_from_error(error, self.folder))

    def _acquire_lock(self) -> None:
        """One writer a folder; it is locked anew where it is another one than before."""
        if self._folder_lock is not None:
            if _device_and_inode(self.folder) == _device_and_inode(self._folder_lock):
                return
            os.close(self._folder_lock)
            self._folder_lock = None
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        self._folder_lock = handle

    def _database_numbers(self) -> list[int]:
        """The numbers of the files that are there, or of whose journals are, the highest first."""
        found = (_DATABASE_FILE_PATTERN.fullmatch(name) for name in os.listdir(self.folder))
        return sorted({int(one[1]) for one in found if one}, reverse=True)

    def _database_file(self, number: int) -> Path:
        return self.folder / f"state-{number}.db"

    def _recover(self) -> LoadResult:
        for number in self._database_numbers():
            if not self._database_file(number).exists():
                continue
            try:
                if (loaded := self._open_database(number)).generation:
                    return loaded
            except (apsw.Error, OSError, _CorruptedError) as error:
                if fault_from_error(error, self.folder) is not StoreFault.CORRUPTED:
                    raise
                return self._quarantine_and_rewrite(*self._salvage())
            self._disconnect()  # it never was whole: a power cut came while it was made
        self._rewrite({}, 0)
        return LoadResult({}, self.generation)

    def _open_database(self, number: int) -> LoadResult:
        """What stands in one file."""
        self._connect(number)
        read_only = False
        try:
            self._execute("BEGIN IMMEDIATE; COMMIT")  # plays back what a power cut left half done
        except apsw.ReadOnlyError:
            read_only = True  # what stands there may still be read
        values, generation, sums = self._read_verified()
        if read_only:
            self._disconnect()
            return LoadResult(values, generation, StoreFault.READ_ONLY)
        self._adopt(values, generation, sums)
        if generation:
            self._delete_other_databases(number)
        return LoadResult(dict(values), generation)

    def _connect(self, number: int) -> None:
        self._database_path = self._database_file(number)
        self._connection = apsw.Connection(str(self._database_path), vfs=self.vfs)
        self._execute("PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=PERSIST; PRAGMA trusted_schema=OFF")
        self._execute("PRAGMA temp_store=MEMORY")
        self._execute(f"PRAGMA synchronous={'OFF' if self.sync_mode == 'none' else 'EXTRA'}")
        self._database_inode = _device_and_inode(self._database_path)

    def _delete_other_databases(self, number: int) -> None:
        """All files but this one are over."""
        for other in self._database_numbers():
            if other != number:
                self._database_file(other).unlink(missing_ok=True)
                Path(f"{self._database_file(other)}-journal").unlink(missing_ok=True)

    def _execute(self, statement: str, bindings: Sequence[Any] = ()) -> list[tuple[Any, ...]]:
        assert self._connection is not None
        return list(self._connection.execute(statement, bindings))

    def _read_verified(self) -> tuple[dict[str, bytes], int, dict[str, bytes]]:
        """Values, generation and sums of rows; generation 0: never whole. _Damaged: they don't fit."""
        if not self._execute("SELECT name FROM sqlite_schema"):
            return {}, 0, {}
        heads = self._execute("SELECT generation, total, sum FROM head")
        values, sums, generation, bad = _verify_rows(
            self._execute("SELECT key, generation, value, sum FROM rows")
        )
        if bad or len(heads) != 1 or not _head_matches_rows(heads[0], sums) or heads[0][0] < generation:
            raise _CorruptedError
        return values, heads[0][0], sums

    def _adopt(self, values: Mapping[str, bytes], generation: int, sums: Mapping[str, bytes]) -> None:
        self._acknowledged, self.generation, self._row_checksums = dict(values), generation, dict(sums)

    # Mending.

    def _quarantine_and_rewrite(self, values: dict[str, bytes], generation: int) -> LoadResult:
        """Keep the rows that are whole, in a new file; the damaged one is put aside."""
        damaged = self._database_path
        with contextlib.suppress(OSError):
            (self.folder / QUARANTINE_FILE).unlink(missing_ok=True)
            os.link(damaged, self.folder / QUARANTINE_FILE)
        self._rewrite(values, generation)
        return LoadResult(dict(values), self.generation, StoreFault.CORRUPTED)

    def _salvage(self) -> tuple[dict[str, bytes], int]:
        """Row by row until no more can be read; the generation is the highest in a whole row or head."""
        rows: list[tuple[Any, ...]] = []
        generation = 0
        if self._connection is None:
            return {}, 0
        with contextlib.suppress(apsw.Error, OSError):
            for row in self._connection.execute("SELECT key, generation, value, sum FROM rows"):
                rows.append(row)
        with contextlib.suppress(apsw.Error, OSError):
            for told, total, check in self._execute("SELECT generation, total, sum FROM head"):
                if _is_valid_head(told, total, check):
                    generation = max(generation, told)
        values, _, highest, _ = _verify_rows(rows)
        return values, max(generation, highest)

    def _rewrite(self, values: Mapping[str, bytes], generation: int) -> None:
        """A new file with this content; the others stand until it is whole."""
        self._disconnect()
        number = max(self._database_numbers(), default=0) + 1
        known, self._acknowledged, self._row_checksums = self._acknowledged, {}, {}
        self.generation = generation
        try:
            self._connect(number)
            self._write(list(values.items()), None)
            if self._folder_lock is not None and self.sync_mode != "none":
                os.fsync(self._folder_lock)  # its name is in the folder
            self._delete_other_databases(number)
        except (apsw.Error, OSError):
            self._acknowledged, self.generation = known, generation  # what the next try is to write
            raise

    # Writing.

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """All of them durable, or the trouble, after which only ``open`` helps."""
        if self._connection is None:
            return StoreFault.IO_ERROR
        try:
            self._write(writes, above_generation)
        except (apsw.Error, OSError) as error:
            self._disconnect()
            return fault_from_error(error, self.folder)
        return None

    def _write(self, writes: Sequence[KeyValueWrite], above_generation: int | None) -> None:
        known, sums = (
            ({}, {})
            if above_generation is not None
            else (dict(self._acknowledged or {}), dict(self._row_checksums))
        )
        generation = max(self.generation, above_generation or 0) + 1
        with self._transaction():
            self._execute(_SCHEMA)
            if above_generation is not None:
                self._execute("DELETE FROM rows")
            for key, value in writes:
                if value is None:
                    self._execute("DELETE FROM rows WHERE key = ?", (key.encode(),))
                    known.pop(key, None)
                    sums.pop(key, None)
                else:
                    known[key], sums[key] = value, row_checksum(key, generation, value)
                    self._execute(
                        "REPLACE INTO rows VALUES(?, ?, ?, ?)", (key.encode(), generation, value, sums[key])
                    )
            total = _combined_checksum(sums.values())
            self._execute(
                "REPLACE INTO head VALUES(0, ?, ?, ?)", (generation, total, head_checksum(generation, total))
            )
        if (
            _device_and_inode(self._database_path) != self._database_inode
        ):  # an open file outlives its folder: what it takes is lost
            raise FileNotFoundError(errno.ENOENT, "no longer in its folder")
        self._acknowledged, self._row_checksums, self.generation = known, sums, generation

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        self._execute("BEGIN IMMEDIATE")
        try:
            yield
            self._execute("COMMIT")
        except BaseException:
            with contextlib.suppress(apsw.Error):
                self._execute("ROLLBACK")
            raise

    def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with contextlib.suppress(apsw.Error, OSError):
                connection.close(True)

    def close(self) -> None:
        """Let go of the folder."""
        self._disconnect()
        if self._folder_lock is not None:
            os.close(self._folder_lock)
            self._folder_lock = None


def _combined_checksum(sums: Iterable[bytes]) -> bytes:
    return (sum(int.from_bytes(one) for one in sums) % CHECKSUM_MODULUS).to_bytes(16)


def _verify_rows(rows: Sequence[tuple[Any, ...]]) -> tuple[dict[str, bytes], dict[str, bytes], int, int]:
    """The rows whose sum fits: values, sums, the highest generation; and how many do not."""
    values: dict[str, bytes] = {}
    sums: dict[str, bytes] = {}
    highest = bad = 0
    for name, generation, value, check in rows:
        key = _decode_key(name)
        typed = isinstance(generation, int) and isinstance(value, bytes)
        if key is not None and typed and check == row_checksum(key, generation, value) and key not in values:
            values[key], sums[key], highest = value, check, max(highest, generation)
        else:
            bad += 1
    return values, sums, highest, bad


def _is_valid_head(generation: Any, total: Any, check: Any) -> bool:
    return (
        isinstance(generation, int) and isinstance(total, bytes) and check == head_checksum(generation, total)
    )


def _head_matches_rows(head: tuple[Any, ...], sums: Mapping[str, bytes]) -> bool:
    return _is_valid_head(*head) and bool(head[1] == _combined_checksum(sums.values()))


def _decode_key(name: Any) -> str | None:
    try:
        return name.decode() if isinstance(name, bytes) else None
    except UnicodeDecodeError:
        return None


def _device_and_inode(file: Path | int) -> tuple[int, int]:
    stat = os.stat(file)
    return stat.st_dev, stat.st_ino
