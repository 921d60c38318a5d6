"""The folder of a store: its lock, and the numbered database files in it.

The files are ``state-N.db`` with their journals. The one of the highest N that was ever complete counts. A
folder that is missing is not made, so that a mount that comes late is not filled in beneath.
"""

from __future__ import annotations

import errno
import fcntl
import logging
import os
import re
from pathlib import Path

import apsw

from cedarthread.logs import format_event
from cedarthread.persistence.store import StoreFault

log = logging.getLogger(__name__)

QUARANTINE_FILE = "damaged.db"
"""The last corrupted file, kept for whoever looks into it."""
_DATABASE_FILE_PATTERN = re.compile(r"state-(\d{1,9})\.db(-journal)?")


def device_and_inode(file: Path | int) -> tuple[int, int]:
    """What tells a file or folder from another of the same name."""
    stat = os.stat(file)
    return stat.st_dev, stat.st_ino


def fault_from_error(error: BaseException, folder: Path) -> StoreFault:
    """The fault that an error of SQLite or of the operating system means."""
    match error:
        case apsw.FullError():
            return StoreFault.DISK_FULL
        case apsw.ReadOnlyError():
            return StoreFault.READ_ONLY
        case apsw.BusyError() | apsw.LockedError() | OSError(errno=errno.EAGAIN):
            return StoreFault.LOCKED
        case apsw.CantOpenError():
            is_sealed = folder.is_dir() and not os.access(folder, os.W_OK)
            return StoreFault.READ_ONLY if is_sealed else StoreFault.FOLDER_MISSING
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


class DatabaseFolder:
    """One folder, locked against a second writer; the lock is held through faults."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._handle: int | None = None  # the folder itself, open and locked

    def acquire_lock(self) -> None:
        """Lock the folder; anew, if it is another one than before. OSError: another process has locked it."""
        if self._handle is not None:
            if device_and_inode(self.path) == device_and_inode(self._handle):
                return
            os.close(self._handle)
            self._handle = None
        handle = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(handle)
            raise
        self._handle = handle

    def release_lock(self) -> None:
        """Let another process write here."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None

    def sync(self) -> None:
        """Make the names of new files durable."""
        if self._handle is not None:
            os.fsync(self._handle)

    def database_file(self, number: int) -> Path:
        """The path of a database file."""
        return self.path / f"state-{number}.db"

    def database_numbers(self) -> list[int]:
        """The numbers of the files that are there, or of whose journals are, the highest first."""
        matches = (_DATABASE_FILE_PATTERN.fullmatch(name) for name in os.listdir(self.path))
        return sorted({int(match[1]) for match in matches if match}, reverse=True)

    def delete_databases_except(self, number: int) -> None:
        """Delete the files that this one has replaced."""
        for other in self.database_numbers():
            if other != number:
                self.database_file(other).unlink(missing_ok=True)
                Path(f"{self.database_file(other)}-journal").unlink(missing_ok=True)

    def quarantine(self, database: Path) -> None:
        """Keep a corrupted file under another name, if the folder allows it."""
        try:
            (self.path / QUARANTINE_FILE).unlink(missing_ok=True)
            os.link(database, self.path / QUARANTINE_FILE)
        except OSError as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("store_quarantine_failed", file=database.name, error=error))
