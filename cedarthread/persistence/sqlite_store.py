"""The storage backend on SQLite, by way of apsw: opening, recovery after faults, commits.

After a fault the present file is written no more, and not read either: a failed sync leaves file and
journal in a state that SQLite's own recovery can make worse (docs/design/store.md). What was acknowledged
goes from memory into a new file ``state-N.db`` of a higher N.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

import apsw

from cedarthread.persistence.database_folder import DatabaseFolder, fault_from_error
from cedarthread.persistence.sqlite_database import DatabaseCorruptedError, SqliteDatabase, StoreContents
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault, SyncMode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from pathlib import Path


class SqliteBackend:
    """Keys and values in a database file of a folder, which must exist.

    Its methods wait for the disk, and raise nothing. ``vfs``: name of the SQLite layer beneath; tests and
    drills inject faults there (``faulty_disk.py``).
    """

    def __init__(self, folder: Path, sync_mode: SyncMode = "group", vfs: str | None = None) -> None:
        self.folder, self.sync_mode, self.vfs = folder, sync_mode, vfs
        self.generation = 0
        self._folder = DatabaseFolder(folder)
        self._database: SqliteDatabase | None = None
        self._database_path = folder
        self._acknowledged: dict[str, bytes] | None = None  # None: nothing has been read yet
        self._row_checksums: dict[str, bytes] = {}

    def open(self) -> LoadResult:
        """Read the content; after a fault, write what was acknowledged anew.

        After a failed sync the system may serve from its cache what never reached the disk, so then nothing
        that it says of this file is taken for evidence (Rebello and others, Can applications recover from
        fsync failures?, 2020).
        """
        self._disconnect()
        try:
            self._folder.acquire_lock()
            if self._acknowledged is not None:
                self._rewrite(self._acknowledged, self.generation)
                return LoadResult(dict(self._acknowledged), self.generation)
            return self._recover()
        except (apsw.Error, OSError) as error:
            self._disconnect()
            return LoadResult({}, 0, fault_from_error(error, self.folder))

    def _recover(self) -> LoadResult:
        """Read the newest file that is complete; without any, make a first one."""
        for number in self._folder.database_numbers():
            if not self._folder.database_file(number).exists():
                continue
            try:
                load_result = self._open_database(number)
            except (apsw.Error, OSError, DatabaseCorruptedError) as error:
                if fault_from_error(error, self.folder) is not StoreFault.CORRUPTED:
                    raise
                return self._quarantine_and_rewrite()
            if load_result.generation:
                return load_result
            self._disconnect()  # it never was complete: a power cut came while it was made
        self._rewrite({}, 0)
        return LoadResult({}, self.generation)

    def _open_database(self, number: int) -> LoadResult:
        """Read one file, and keep it open where it may be written to."""
        database = self._connect(number)
        is_writable = database.roll_back_unfinished()
        contents = database.read_verified()
        if not is_writable:
            self._disconnect()
            return LoadResult(contents.values, contents.generation, StoreFault.READ_ONLY)
        self._adopt(contents)
        if contents.generation:
            self._folder.delete_databases_except(number)
        return LoadResult(dict(contents.values), contents.generation)

    def _connect(self, number: int) -> SqliteDatabase:
        self._database_path = self._folder.database_file(number)
        self._database = SqliteDatabase(self._database_path, self.vfs)
        self._database.configure(self.sync_mode)
        return self._database

    def _adopt(self, contents: StoreContents) -> None:
        """These contents are acknowledged."""
        self._acknowledged = contents.values
        self._row_checksums = contents.row_checksums
        self.generation = contents.generation

    def _quarantine_and_rewrite(self) -> LoadResult:
        """Keep the rows that are right in a new file, and the corrupted file under another name."""
        values, generation = ({}, 0) if self._database is None else self._database.salvage()
        self._folder.quarantine(self._database_path)
        self._rewrite(values, generation)
        return LoadResult(dict(values), self.generation, StoreFault.CORRUPTED)

    def _rewrite(self, values: Mapping[str, bytes], generation: int) -> None:
        """Write a new file with this content; the others stay until it is complete."""
        self._disconnect()
        number = max(self._folder.database_numbers(), default=0) + 1
        acknowledged = self._acknowledged
        self._acknowledged, self._row_checksums, self.generation = {}, {}, generation
        try:
            self._write(self._connect(number), list(values.items()), None)
            if self.sync_mode != "none":
                self._folder.sync()
            self._folder.delete_databases_except(number)
        except (apsw.Error, OSError):
            self._acknowledged, self.generation = acknowledged, generation  # for the next attempt
            raise

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        """Make all writes durable, or say what is wrong; after that, only ``open`` helps."""
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
            raise FileNotFoundError(errno.ENOENT, "no longer in its folder", str(database.path))
        self._adopt(contents)

    def _disconnect(self) -> None:
        database, self._database = self._database, None
        if database is not None:
            database.close()

    def close(self) -> None:
        """Release the folder."""
        self._disconnect()
        self._folder.release_lock()
