"""The storage backend on SQLite, through apsw: opening, recovery after faults, commits.

After a fault, the current file is neither written nor read again, because a failed sync leaves file and
journal in a state that SQLite's own recovery can make worse (docs/design/persistence.md). Instead, the
acknowledged content is written from memory to a new file ``state-N.db`` with a higher N.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import apsw

from cedarthread.persistence.database_folder import DatabaseFolder, fault_from_error
from cedarthread.persistence.sqlite_database import (
    DatabaseCorruptedError,
    SalvagedRows,
    SqliteDatabase,
    StoreContents,
)
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault, SyncMode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path


class SqliteBackend:
    """A storage backend that owns the database files in one folder, and a copy of the acknowledged content.

    The methods wait for the disk, and return faults instead of raising errors.

    Args:
        folder: the folder, which must exist.
        sync_mode: with "none", no write is synced to the disk.
        vfs: name of the SQLite VFS to use; None selects the default VFS. Tests and drills inject faults
            through a VFS of their own (``faulty_disk.py``).
    """

    def __init__(self, folder: Path, sync_mode: SyncMode = "group", vfs: str | None = None) -> None:
        self.folder = folder
        self.sync_mode = sync_mode
        self.vfs = vfs
        self.generation = 0
        self._database_folder = DatabaseFolder(folder)
        self._database: SqliteDatabase | None = None
        self._database_path = folder
        # Acknowledged content; None until a file has been read or created.
        self._acknowledged: dict[str, bytes] | None = None
        self._row_checksums: dict[str, bytes] = {}

    def open(self) -> LoadResult:
        """Read the content; after a fault, write the acknowledged content from memory to a new file.

        After a failed sync, the operating system may serve pages from its cache that never reached the disk.
        The file is therefore not read again (Rebello and others, Can applications recover from fsync
        failures?, 2020).
        """
        self._disconnect()
        try:
            self._database_folder.acquire_lock()
            if self._acknowledged is not None:
                self._rewrite(self._acknowledged, self.generation)
                return LoadResult(dict(self._acknowledged), self.generation)
            return self._recover()
        except (apsw.Error, OSError) as error:
            self._disconnect()
            return LoadResult({}, 0, fault_from_error(error, self.folder))

    def _recover(self) -> LoadResult:
        """Read the newest complete file; create the first file if there is none."""
        for number in self._database_folder.database_numbers():
            if not self._database_folder.database_file(number).exists():
                continue
            try:
                load_result = self._open_database(number)
            except (apsw.Error, OSError, DatabaseCorruptedError) as error:
                if fault_from_error(error, self.folder) is not StoreFault.CORRUPTED:
                    raise
                return self._quarantine_and_rewrite()
            if load_result.generation:
                return load_result
            self._disconnect()  # incomplete, because a power cut interrupted the creation of the file
        self._rewrite({}, 0)
        return LoadResult({}, self.generation)

    def _open_database(self, number: int) -> LoadResult:
        """Read one file, and leave it open if it is writable."""
        database = self._connect(number)
        is_writable = database.roll_back_unfinished()
        contents = database.read_verified()
        if not is_writable:
            self._disconnect()
            return LoadResult(contents.values, contents.generation, StoreFault.READ_ONLY)
        self._set_acknowledged(contents)
        if contents.generation:
            self._database_folder.delete_databases_except(number)
        return LoadResult(dict(contents.values), contents.generation)

    def _connect(self, number: int) -> SqliteDatabase:
        self._database_path = self._database_folder.database_file(number)
        self._database = SqliteDatabase(self._database_path, self.vfs)
        self._database.configure(self.sync_mode)
        return self._database

    def _set_acknowledged(self, contents: StoreContents) -> None:
        """Replace the copy of the acknowledged content."""
        self._acknowledged = contents.values
        self._row_checksums = contents.row_checksums
        self.generation = contents.generation

    def _quarantine_and_rewrite(self) -> LoadResult:
        """Write the rows with valid checksums to a new file, and quarantine the corrupted file."""
        salvaged = SalvagedRows({}, 0) if self._database is None else self._database.salvage()
        self._database_folder.quarantine(self._database_path)
        self._rewrite(salvaged.values, salvaged.generation)
        return LoadResult(dict(salvaged.values), self.generation, StoreFault.CORRUPTED)

    def _rewrite(self, values: Mapping[str, bytes], generation: int) -> None:
        """Write a new file with this content, then delete the other files."""
        self._disconnect()
        number = max(self._database_folder.database_numbers(), default=0) + 1
        acknowledged = self._acknowledged
        self._acknowledged = {}
        self._row_checksums = {}
        self.generation = generation
        try:
            self._write(self._connect(number), list(values.items()), None)
            if self.sync_mode != "none":
                self._database_folder.sync()
            self._database_folder.delete_databases_except(number)
        except (apsw.Error, OSError):
            self._acknowledged = acknowledged  # kept for the next attempt
            self.generation = generation
            raise

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Make all writes durable, or return the fault; after a fault, only ``open`` enables writes again."""
        if self._database is None:
            return StoreFault.IO_ERROR
        try:
            self._write(self._database, writes, above_generation)
        except (apsw.Error, OSError) as error:
            self._disconnect()
            return fault_from_error(error, self.folder)
        return None

    def _write(
        self, database: SqliteDatabase, writes: Sequence[KeyValueWrite], above_generation: int | None
    ) -> None:
        contents = StoreContents(generation=max(self.generation, above_generation or 0) + 1)
        if above_generation is None:
            contents.values.update(self._acknowledged or {})
            contents.row_checksums.update(self._row_checksums)
        database.write(contents, writes, clear=above_generation is not None)
        if not database.is_in_place():
            raise FileNotFoundError(
                errno.ENOENT, "the open database file is no longer at its path", str(database.path)
            )
        self._set_acknowledged(contents)

    def _disconnect(self) -> None:
        database = self._database
        self._database = None
        if database is not None:
            database.close()

    def close(self) -> None:
        """Close the database file and release the folder's lock."""
        self._disconnect()
        self._database_folder.release_lock()
