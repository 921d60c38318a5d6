"""The folder of a store: its lock, and the numbered database files in it.

The files are named ``state-N.db``, each with its journal. The complete file with the highest N is the current
one. A missing folder is not created, because its volume may be mounted later and would hide files written
beneath the mount point.
"""

from __future__ import annotations

import errno
import fcntl
import logging
import os
import re
from pathlib import Path
from typing import NamedTuple

import apsw

from cedarthread.logs import format_event
from cedarthread.persistence.store import StoreFault

log = logging.getLogger(__name__)

QUARANTINE_FILE = "damaged.db"
"""Name of the last corrupted file, which stays in the folder so that operators can examine it."""
_DATABASE_FILE_PATTERN = re.compile(r"state-(\d{1,9})\.db(-journal)?")


class FileIdentity(NamedTuple):
    """The device and inode numbers that identify a file or folder on this machine."""

    device: int
    inode: int


def device_and_inode(file: Path | int) -> FileIdentity:
    """Return the identity of a file or folder; a replacement at the same path has a different one.

    Args:
        file: a path, or an open file descriptor.
    """
    stat = os.stat(file)
    return FileIdentity(stat.st_dev, stat.st_ino)


def fault_from_error(error: BaseException, folder: Path) -> StoreFault:
    """Map an error of SQLite or of the operating system to a store fault.

    Args:
        error: the error that a call raised.
        folder: the folder of the store.
    """
    match error:
        case apsw.FullError():
            return StoreFault.DISK_FULL
        case apsw.ReadOnlyError():
            return StoreFault.READ_ONLY
        case apsw.BusyError() | apsw.LockedError() | OSError(errno=errno.EAGAIN):
            return StoreFault.LOCKED
        case apsw.CantOpenError():
            is_folder_read_only = folder.is_dir() and not os.access(folder, os.W_OK)
            return StoreFault.READ_ONLY if is_folder_read_only else StoreFault.FOLDER_MISSING
        case OSError(errno=errno.ENOENT | errno.ENOTDIR | errno.ESTALE):
            return StoreFault.FOLDER_MISSING
        case OSError(errno=errno.EROFS):
            return StoreFault.READ_ONLY
        case OSError(errno=errno.ENOSPC | errno.EDQUOT):
            return StoreFault.DISK_FULL
        case OSError() | apsw.IOError():
            return StoreFault.IO_ERROR
    # The SQL statements are fixed, so that any other SQLite error is caused by the file's content.
    return StoreFault.CORRUPTED


class DatabaseFolder:
    """A store's folder, and the lock on it that excludes other processes.

    The lock is held until ``release_lock``, also while the store has a fault.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._locked_descriptor: int | None = None  # descriptor of the open and locked folder

    def acquire_lock(self) -> None:
        """Lock the folder. If another folder has replaced the locked one at the same path, lock that one.

        Raises:
            OSError: another process has locked the folder, or the folder cannot be opened.
        """
        if self._locked_descriptor is not None:
            if device_and_inode(self.path) == device_and_inode(self._locked_descriptor):
                return
            os.close(self._locked_descriptor)
            self._locked_descriptor = None
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._locked_descriptor = descriptor

    def release_lock(self) -> None:
        """Release the lock, so that another process can open the store."""
        if self._locked_descriptor is not None:
            os.close(self._locked_descriptor)
            self._locked_descriptor = None

    def sync(self) -> None:
        """Sync the folder, so that the names of new files are durable."""
        if self._locked_descriptor is not None:
            os.fsync(self._locked_descriptor)

    def database_file(self, number: int) -> Path:
        """Return the path of the database file with this number."""
        return self.path / f"state-{number}.db"

    def database_numbers(self) -> list[int]:
        """Return the numbers of which a database file or a journal exists, in descending order."""
        matches = (_DATABASE_FILE_PATTERN.fullmatch(name) for name in os.listdir(self.path))
        return sorted({int(match[1]) for match in matches if match}, reverse=True)

    def delete_databases_except(self, number: int) -> None:
        """Delete all database files and journals except those with this number."""
        for other in self.database_numbers():
            if other != number:
                self.database_file(other).unlink(missing_ok=True)
                Path(f"{self.database_file(other)}-journal").unlink(missing_ok=True)

    def quarantine(self, database: Path) -> None:
        """Hard-link a corrupted file to ``QUARANTINE_FILE``; log file system errors at debug level only."""
        try:
            (self.path / QUARANTINE_FILE).unlink(missing_ok=True)
            os.link(database, self.path / QUARANTINE_FILE)
        except OSError as error:
            if log.isEnabledFor(logging.DEBUG):
                log.debug(format_event("store_quarantine_failed", file=database.name, error=error))
