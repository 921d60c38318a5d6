"""A faulty disk beneath SQLite, as a VFS of apsw: for tests and drills only, never loaded when serving.

The real files are what is *on the disk*. What was written and not synced is in memory, where reads find it as
they would in a page cache; so killing the process is a power cut, which loses what was not synced. Faults are
switched while it runs (``fault_switch.py``).
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

VFS_NAME = "lying"
BASE_VFS = "unix"
"""The layer beneath."""
EARLIER_CONTENT_SUFFIX = ".then"
"""Added to a file's name: its content at an earlier opening."""
WAIT_POLL_S = 0.25
"""Time after which a slow sync looks whether the fault is still in force."""


@dataclass(slots=True)
class _CachedFile:
    """One file as its writers see it, and the operations that are not on the disk yet."""

    inode: int
    content: bytearray
    unsynced: list[DiskOperation] = field(default_factory=list)
    open_count: int = 0


class FaultyDisk(apsw.VFS):
    """The VFS. Its method names are SQLite's."""

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
        """Register the VFS with SQLite.

        Args:
            name: under which databases ask for it.
            switch: says which fault is in force.
            seed: of the bits that flip.
            wait: how a slow sync waits for so many ms.
            record: whether to keep all operations in ``operations``.
            default: whether databases that name no VFS get it.
        """
        super().__init__(name, BASE_VFS, makedefault=default)
        self.switch = switch
        self.rng = random.Random(seed)
        self.wait = wait
        self.record = record
        self.cached_files: dict[str, _CachedFile] = {}
        self.operations: list[DiskOperation] = []
        self.failing_sync_count = 0  # syncs since EIO_SYNC came into force

    def is_fault_active(self, *faults: InjectedFault) -> bool:
        """Whether one of these is in force."""
        return self.switch.read().fault in faults

    def add_operation(self, operation: DiskOperation) -> None:
        """Record an operation, if operations are recorded."""
        if self.record:
            self.operations.append(operation)

    def add_mark(self, mark: object) -> None:
        """Record a test's note between the operations."""
        self.operations.append(DiskOperation("", mark=mark))

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> apsw.VFSFile:
        """Open a file; its content is in memory from now on."""
        if self.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise apsw.CantOpenError("the folder can't be reached")
        path = str(name.filename() if isinstance(name, apsw.URIFilename) else name)
        if flags[0] & apsw.SQLITE_OPEN_MAIN_DB and path not in self.cached_files:
            self._swap_earlier_content(Path(path))
        return _FaultyFile(self, name, path, flags)

    def _swap_earlier_content(self, path: Path) -> None:
        """Keep a file's present content for later, or return to what was kept."""
        earlier = path.with_name(path.name + EARLIER_CONTENT_SUFFIX)
        if not self.is_fault_active(InjectedFault.STALE_CONTENT):
            if path.exists():
                earlier.write_bytes(path.read_bytes())
        elif earlier.exists():
            path.write_bytes(earlier.read_bytes())
            path.with_name(path.name + "-journal").unlink(missing_ok=True)

    def xDelete(self, name: str, sync: bool) -> None:
        """Delete a file at once, durably: the store deletes none that matters."""
        self.cached_files.pop(name, None)
        super().xDelete(name, sync)


class _FaultyFile(apsw.VFSFile):
    """One open file."""

    def __init__(self, disk: FaultyDisk, name: Any, path: str, flags: list[int]) -> None:
        super().__init__(BASE_VFS, name, flags)
        self.disk, self.path = disk, path
        inode = Path(path).stat().st_ino
        if path not in disk.cached_files or disk.cached_files[path].inode != inode:
            disk.cached_files[path] = _CachedFile(inode, bytearray(Path(path).read_bytes()))
        self.cached = disk.cached_files[path]
        self.cached.open_count += 1

    def xClose(self) -> None:
        """Close; what was not synced stays in the page cache for as long as the process lives."""
        self.cached.open_count -= 1
        if not self.cached.open_count and not self.cached.unsynced and self._is_synced():
            self.disk.cached_files.pop(self.path, None)
        super().xClose()

    def _is_synced(self) -> bool:
        try:
            return bytes(self.cached.content) == Path(self.path).read_bytes()
        except OSError:
            return True  # its folder is gone, and its pages with it

    def xRead(self, amount: int, offset: int) -> bytes:
        """Read from the page cache."""
        return bytes(self.cached.content[offset : offset + amount])

    def xFileSize(self) -> int:
        """The size in the page cache."""
        return len(self.cached.content)

    def xWrite(self, data: bytes, offset: int) -> None:
        """Write into the page cache."""
        self._check_writable()
        if self.disk.is_fault_active(InjectedFault.DISK_FULL):
            raise apsw.FullError("no space left")
        if self.disk.is_fault_active(InjectedFault.EIO_WRITE):
            raise _io_error(apsw.SQLITE_IOERR_WRITE)
        self._apply(DiskOperation(self.path, offset, bytes(data)))

    def xTruncate(self, newsize: int) -> None:
        """Truncate in the page cache."""
        self._check_writable()
        self._apply(DiskOperation(self.path, newsize))

    def _check_writable(self) -> None:
        if self.disk.is_fault_active(InjectedFault.READ_ONLY):
            raise apsw.ReadOnlyError("read-only")
        if self.disk.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise _io_error(apsw.SQLITE_IOERR)

    def _apply(self, operation: DiskOperation) -> None:
        apply_operation(self.cached.content, operation)
        self.cached.unsynced.append(operation)
        self.disk.add_operation(operation)

    def xSync(self, flags: int) -> None:
        """Write the page cache to the disk, as far as the fault in force lets it."""
        fault, parameter = self.disk.switch.read()
        if fault == InjectedFault.SLOW_SYNC:
            self.disk.wait(parameter)
        unsynced, self.cached.unsynced = self.cached.unsynced, []
        if fault == InjectedFault.EIO_SYNC:
            self.disk.failing_sync_count += 1
        else:
            self.disk.failing_sync_count = 0
        if fault == InjectedFault.FOLDER_MISSING or self.disk.failing_sync_count > parameter:
            self.disk.add_operation(DiskOperation(self.path, sync=True, failed=True))
            raise _io_error(
                apsw.SQLITE_IOERR_FSYNC
            )  # the pages count as clean now: no later sync writes them
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
        """The disk's sector size."""
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        """The disk promises nothing."""
        return 0


def _io_error(extended_result: int) -> apsw.IOError:
    error: Any = apsw.IOError("input or output failed")
    error.extendedresult = extended_result
    return cast("apsw.IOError", error)


def flip_bit(data: bytes, bit: int) -> bytes:
    """The data with one bit changed."""
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


_installed: list[FaultyDisk] = []
"""Keeps each VFS for as long as its process lives, as SQLite wants it."""


def install(control: Path, seed: int = 0) -> str:
    """Put a faulty disk beneath every database of this process; the name of the VFS.

    ``control``: the control file, which is made where there is none; see ``fault_switch.set_fault``.
    """
    switch = FileSwitch(control)

    def wait(ms: float) -> None:
        until_s = time.monotonic() + ms / 1000.0
        while switch.read().fault == InjectedFault.SLOW_SYNC:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            time.sleep(min(left_s, WAIT_POLL_S))

    _installed.append(FaultyDisk(VFS_NAME, switch, seed, wait, default=True))
    return VFS_NAME
