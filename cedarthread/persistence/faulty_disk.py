"""A faulty disk for SQLite, implemented as an apsw VFS. Only tests and drills load this module.

The real files hold what has reached the disk. A simulated page cache in memory serves all reads and holds
the unsynced writes. Killing the process therefore has the effect of a power cut: unsynced writes are lost.
The active fault is read from a switch (``fault_switch.py``).
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, cast

import apsw

from cedarthread.persistence.fault_switch import FaultSwitch, FileSwitch, InjectedFault
from cedarthread.persistence.power_cut import SECTOR_BYTES, DiskOperation, apply_operation

if TYPE_CHECKING:
    from collections.abc import Callable

VFS_NAME = "faulty"
"""Name under which ``install`` registers the VFS with SQLite."""
BASE_VFS = "unix"
"""Name of SQLite's own VFS, to which the faulty VFS delegates."""
EARLIER_CONTENT_SUFFIX = ".then"
"""Suffix of the copy of a file as it was at an earlier opening."""
WAIT_POLL_S = 0.25
"""Interval in seconds at which a slow sync checks whether the fault is still active."""


@dataclass(slots=True)
class _CachedFile:
    """The page cache of one file: its content as readers see it, and the operations not yet synced."""

    inode: int
    content: bytearray
    unsynced: list[DiskOperation] = field(default_factory=list)
    open_count: int = 0


class FaultyDisk(apsw.VFS):
    """A VFS that injects faults, and owns the page caches of its open files. SQLite defines its method names.

    Args:
        name: name under which SQLite registers the VFS and databases select it.
        switch: source of the active fault.
        seed: seed of the random choice of flipped bits.
        wait: waits for the given number of ms in a slow sync.
        record: whether to record all operations in ``operations``.
        default: whether databases that select no VFS use this one.
    """

    def __init__(
        self,
        name: str,
        switch: FaultSwitch,
        seed: int,
        wait: Callable[[float], object],
        *,
        record: bool = False,
        default: bool = False,
    ) -> None:
        super().__init__(name, BASE_VFS, makedefault=default)
        self.switch = switch
        self.rng = random.Random(seed)
        self.wait = wait
        self.record = record
        self.cached_files: dict[str, _CachedFile] = {}
        self.operations: list[DiskOperation] = []
        self.failing_sync_count = 0  # number of syncs since EIO_SYNC became active

    def is_fault_active(self, *faults: InjectedFault) -> bool:
        """Return whether one of these faults is active."""
        return self.switch.read().fault in faults

    def add_operation(self, operation: DiskOperation) -> None:
        """Append an operation to ``operations`` if recording is enabled."""
        if self.record:
            self.operations.append(operation)

    def add_mark(self, mark: object) -> None:
        """Append a mark to ``operations``, by which a test records its progress."""
        self.operations.append(DiskOperation("", mark=mark))

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> apsw.VFSFile:
        """Open a file and read its content into the page cache."""
        if self.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise apsw.CantOpenError("injected fault: the database folder is missing")
        path = str(name.filename() if isinstance(name, apsw.URIFilename) else name)
        if flags[0] & apsw.SQLITE_OPEN_MAIN_DB and path not in self.cached_files:
            self._save_or_restore_content(Path(path))
        return _FaultyFile(self, name, path, flags)

    def _save_or_restore_content(self, path: Path) -> None:
        """Copy a file for later openings, or restore its earlier copy if STALE_CONTENT is active."""
        earlier = path.with_name(path.name + EARLIER_CONTENT_SUFFIX)
        if not self.is_fault_active(InjectedFault.STALE_CONTENT):
            if path.exists():
                earlier.write_bytes(path.read_bytes())
        elif earlier.exists():
            path.write_bytes(earlier.read_bytes())
            path.with_name(path.name + "-journal").unlink(missing_ok=True)

    def xDelete(self, name: str, sync: bool) -> None:
        """Delete a file at once and durably, because the store only deletes files that it no longer needs."""
        self.cached_files.pop(name, None)
        super().xDelete(name, sync)


class _FaultyFile(apsw.VFSFile):
    """An open file, which reads and writes the page cache of its path.

    Args:
        disk: the VFS that opened the file.
        name: the file's name as SQLite passed it.
        path: the file's path.
        flags: SQLite's flags, which opening changes in place.
    """

    def __init__(
        self, disk: FaultyDisk, name: str | apsw.URIFilename | None, path: str, flags: list[int]
    ) -> None:
        super().__init__(BASE_VFS, name, flags)
        self.disk = disk
        self.path = path
        inode = Path(path).stat().st_ino
        if path not in disk.cached_files or disk.cached_files[path].inode != inode:
            disk.cached_files[path] = _CachedFile(inode, bytearray(Path(path).read_bytes()))
        self.cached = disk.cached_files[path]
        self.cached.open_count += 1

    def xClose(self) -> None:
        """Close the file; unsynced writes stay in the page cache until the process ends."""
        self.cached.open_count -= 1
        if not self.cached.open_count and not self.cached.unsynced and self._is_synced():
            self.disk.cached_files.pop(self.path, None)
        super().xClose()

    def _is_synced(self) -> bool:
        try:
            return bytes(self.cached.content) == Path(self.path).read_bytes()
        except OSError:
            return True  # the folder was deleted, so that there is no content to compare

    def xRead(self, amount: int, offset: int) -> bytes:
        """Read from the page cache."""
        return bytes(self.cached.content[offset : offset + amount])

    def xFileSize(self) -> int:
        """Return the file's size in the page cache."""
        return len(self.cached.content)

    def xWrite(self, data: bytes, offset: int) -> None:
        """Write into the page cache."""
        self._check_writable()
        if self.disk.is_fault_active(InjectedFault.DISK_FULL):
            raise apsw.FullError("injected fault: no space left on the disk")
        if self.disk.is_fault_active(InjectedFault.EIO_WRITE):
            raise _io_error(apsw.SQLITE_IOERR_WRITE)
        self._apply(DiskOperation(self.path, offset, bytes(data)))

    def xTruncate(self, newsize: int) -> None:
        """Truncate the file in the page cache."""
        self._check_writable()
        self._apply(DiskOperation(self.path, newsize))

    def _check_writable(self) -> None:
        if self.disk.is_fault_active(InjectedFault.READ_ONLY):
            raise apsw.ReadOnlyError("injected fault: the file system is read-only")
        if self.disk.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise _io_error(apsw.SQLITE_IOERR)

    def _apply(self, operation: DiskOperation) -> None:
        apply_operation(self.cached.content, operation)
        self.cached.unsynced.append(operation)
        self.disk.add_operation(operation)

    def xSync(self, flags: int) -> None:
        """Write the unsynced operations to the disk, altered or rejected according to the active fault."""
        fault, parameter = self.disk.switch.read()
        if fault == InjectedFault.SLOW_SYNC:
            self.disk.wait(parameter)
        unsynced = self.cached.unsynced
        self.cached.unsynced = []
        if fault == InjectedFault.EIO_SYNC:
            self.disk.failing_sync_count += 1
        else:
            self.disk.failing_sync_count = 0
        if fault == InjectedFault.FOLDER_MISSING or self.disk.failing_sync_count > parameter:
            self.disk.add_operation(DiskOperation(self.path, sync=True, failed=True))
            # As on Linux, a failed sync marks the pages as clean, so that no later sync writes them.
            raise _io_error(apsw.SQLITE_IOERR_FSYNC)
        if fault == InjectedFault.UNSYNCED:
            return
        self._write_to_disk(unsynced, fault, parameter)
        self.disk.add_operation(DiskOperation(self.path, sync=True))
        super().xSync(flags)

    def _write_to_disk(self, unsynced: list[DiskOperation], fault: int, parameter: float) -> None:
        for number, operation in enumerate(unsynced, start=1):
            data = operation.data
            if data and fault == InjectedFault.TORN_WRITE and number == len(unsynced):
                data = data[: len(data) // 2]
            if data and fault == InjectedFault.BIT_FLIP and self.disk.rng.random() < parameter:
                data = flip_bit(data, self.disk.rng.randrange(8 * len(data)))
            if data is None:
                super().xTruncate(operation.offset)
            else:
                super().xWrite(data, operation.offset)

    def xSectorSize(self) -> int:
        """Return the disk's sector size in bytes."""
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        """Return no flags, so that SQLite assumes no atomic or ordered writes."""
        return 0


def _io_error(extended_result: int) -> apsw.IOError:
    error: Any = apsw.IOError("injected fault: I/O error")
    error.extendedresult = extended_result
    return cast("apsw.IOError", error)


def flip_bit(data: bytes, bit: int) -> bytes:
    """Return the data with one bit changed; bit 0 is the lowest bit of the first byte."""
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


_installed: list[FaultyDisk] = []
"""References to the installed VFSs, because SQLite requires them until the process ends."""


def install(control: Path, seed: int = 0) -> str:
    """Register a faulty disk as the default VFS of this process and return the name of the VFS.

    Args:
        control: the control file of ``fault_switch.set_fault``, which is created if missing.
        seed: seed of the random choice of flipped bits.
    """
    switch = FileSwitch(control)

    def wait(ms: float) -> None:
        ends_at_s = time.monotonic() + ms / 1000.0
        while switch.read().fault == InjectedFault.SLOW_SYNC:
            remaining_s = ends_at_s - time.monotonic()
            if remaining_s <= 0:
                return
            time.sleep(min(remaining_s, WAIT_POLL_S))

    _installed.append(FaultyDisk(VFS_NAME, switch, seed, wait, default=True))
    return VFS_NAME
