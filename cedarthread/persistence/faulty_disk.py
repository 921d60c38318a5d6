"""A disk that lies, beneath SQLite, as a layer of apsw: for tests and drills only, never loaded when serving.

The real files are what is *on the disk*. What was written and not synced stands in memory, where reads find
it as they would in a page cache, so a killed process is a power cut: it loses what was not synced. Faults are
switched while it runs (``Fault``), from a file that is mapped where another process switches them.

``images`` gives what a power cut leaves after each single operation of a recorded run.
"""

from __future__ import annotations

import mmap
import random
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Any, Protocol, cast

import apsw

VFS_NAME, BASE_VFS = "lying", "unix"  # this layer, and the one beneath
CONTROL_FILE_BYTES = (
    64  # bytes of the control file: the fault's kind in one, seven of padding, its figure as a float
)
_CONTROL_FORMAT = struct.Struct("<B7xd")
SECTOR_BYTES = 512  # bytes that a disk writes whole
EARLIER_CONTENT_SUFFIX = ".then"  # after a name: the file as it was at an earlier opening
WAIT_POLL_S = 0.25  # s after which a thread that waits looks whether it still has to


class InjectedFault(IntEnum):
    """What the disk does; the figure is given after the colon."""

    NONE = 0
    UNSYNCED = 1  # says that it has synced and has not
    TORN_WRITE = 2  # says that it has synced, and the last write lacks its second half
    BIT_FLIP = 3  # one bit of a write flips on its way to the disk: the chance of it, for each write
    STALE_CONTENT = 4  # gives back at the next opening what stood there at an earlier one
    DISK_FULL = 5  # no space
    EIO_WRITE = 6  # writes fail
    EIO_SYNC = 7  # after so many that go well, syncs fail; what they were to write is never tried again
    SLOW_SYNC = 8  # syncs take so long: ms
    READ_ONLY = 9  # nothing may be written
    FOLDER_MISSING = 10  # the folder can't be reached


class FaultSwitch(Protocol):
    """Where the fault in force is read."""

    def read(self) -> tuple[int, float]:
        """Kind and figure."""


@dataclass(slots=True)
class ManualSwitch:
    """Switched in this process, by hand."""

    kind: int = 0
    figure: float = 0.0

    def read(self) -> tuple[int, float]:
        """Kind and figure."""
        return self.kind, self.figure


class FileSwitch:
    """Switched by a file of 64 bytes that others write."""

    def __init__(self, path: Path) -> None:
        with path.open("a+b") as file:
            file.truncate(CONTROL_FILE_BYTES)
            self._map = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES, access=mmap.ACCESS_READ)

    def read(self) -> tuple[int, float]:
        """Kind and figure."""
        return _CONTROL_FORMAT.unpack_from(self._map)


def set_fault(path: Path, kind: InjectedFault, figure: float = 0.0) -> None:
    """Put a fault in force for all processes that have mapped this file; the figure goes in first."""
    with path.open("r+b") as file:
        laid = _CONTROL_FORMAT.pack(kind, figure)
        file.seek(1)
        file.write(laid[1:])
        file.flush()
        file.seek(0)
        file.write(laid[:1])


@dataclass(frozen=True, slots=True)
class DiskOperation:
    """One operation on one file: ``data`` is written at ``at``; None: the file is cut to that length."""

    path: str
    offset: int = 0
    data: bytes | None = None
    sync: bool = False
    failed: bool = False  # the sync: what it was to write may be on the disk or not, and is never tried again
    mark: object = None  # of a test: what had been acknowledged by then


@dataclass(slots=True)
class _CachedFile:
    """One file as its writers see it, and what of it is not on the disk yet."""

    inode: int
    content: bytearray
    unsynced: list[DiskOperation] = field(default_factory=list)
    open_count: int = 0


def apply_operation(content: bytearray, step: DiskOperation) -> None:
    """Play one operation into a file's content."""
    if step.data is None:
        del content[step.offset :]
        return
    if len(content) < step.offset:
        content.extend(bytes(step.offset - len(content)))
    content[step.offset : step.offset + len(step.data)] = step.data


class FaultyDisk(apsw.VFS):
    """The layer; ``wait`` is how a slow sync waits for so many ms."""

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
        self.switch, self.rng, self.wait, self.record = switch, random.Random(seed), wait, record
        self.cached_files: dict[str, _CachedFile] = {}
        self.operations: list[DiskOperation] = []
        self.failing_sync_count = 0  # syncs since they began to fail

    def is_fault_active(self, *kinds: InjectedFault) -> bool:
        """Is one of these in force?"""
        return self.switch.read()[0] in kinds

    def add_mark(self, mark: object) -> None:
        """A test's mark among the operations."""
        self.operations.append(DiskOperation("", mark=mark))

    def xOpen(self, name: str | apsw.URIFilename | None, flags: list[int]) -> apsw.VFSFile:
        """Open a file; its content stands in memory from now on."""
        if self.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise apsw.CantOpenError("the folder can't be reached")
        path = str(name.filename() if isinstance(name, apsw.URIFilename) else name)
        if flags[0] & apsw.SQLITE_OPEN_MAIN_DB and path not in self.cached_files:
            self._swap_earlier_content(Path(path))
        return _FaultyFile(self, name, path, flags)

    def _swap_earlier_content(self, path: Path) -> None:
        """Keep what stands there now, or give back what was kept."""
        kept = path.with_name(path.name + EARLIER_CONTENT_SUFFIX)
        if not self.is_fault_active(InjectedFault.STALE_CONTENT):
            if path.exists():
                kept.write_bytes(path.read_bytes())
        elif kept.exists():
            path.write_bytes(kept.read_bytes())
            path.with_name(path.name + "-journal").unlink(missing_ok=True)

    def xDelete(self, name: str, sync: bool) -> None:
        """Files go at once: the store's protocol deletes none that matters."""
        self.cached_files.pop(name, None)
        super().xDelete(name, sync)


class _FaultyFile(apsw.VFSFile):
    def __init__(self, disk: FaultyDisk, name: Any, path: str, flags: list[int]) -> None:
        super().__init__(BASE_VFS, name, flags)
        self.disk, self.path = disk, path
        inode = Path(path).stat().st_ino
        if path not in disk.cached_files or disk.cached_files[path].inode != inode:
            disk.cached_files[path] = _CachedFile(inode, bytearray(Path(path).read_bytes()))
        self.cached = disk.cached_files[path]
        self.cached.open_count += 1

    def xClose(self) -> None:
        """What was not synced is still in the page cache, for as long as the process lives."""
        self.cached.open_count -= 1
        if not self.cached.open_count and not self.cached.unsynced and self._is_synced():
            self.disk.cached_files.pop(self.path, None)
        super().xClose()

    def _is_synced(self) -> bool:
        try:
            return bytes(self.cached.content) == Path(self.path).read_bytes()
        except OSError:
            return True  # its folder went: so did its pages

    def xRead(self, amount: int, offset: int) -> bytes:
        """As the page cache has it."""
        return bytes(self.cached.content[offset : offset + amount])

    def xFileSize(self) -> int:
        """As the page cache has it."""
        return len(self.cached.content)

    def xWrite(self, data: bytes, offset: int) -> None:
        """Into the page cache."""
        self._may_write()
        if self.disk.is_fault_active(InjectedFault.DISK_FULL):
            raise apsw.FullError("no space left")
        if self.disk.is_fault_active(InjectedFault.EIO_WRITE):
            raise _io_error(apsw.SQLITE_IOERR_WRITE)
        self._record(DiskOperation(self.path, offset, bytes(data)))

    def xTruncate(self, newsize: int) -> None:
        """Cut the file."""
        self._may_write()
        self._record(DiskOperation(self.path, newsize))

    def _may_write(self) -> None:
        if self.disk.is_fault_active(InjectedFault.READ_ONLY):
            raise apsw.ReadOnlyError("read-only")
        if self.disk.is_fault_active(InjectedFault.FOLDER_MISSING):
            raise _io_error(apsw.SQLITE_IOERR)

    def _record(self, step: DiskOperation) -> None:
        apply_operation(self.cached.content, step)
        self.cached.unsynced.append(step)
        if self.disk.record:
            self.disk.operations.append(step)

    def xSync(self, flags: int) -> None:
        """What waits goes to the disk, or to where the fault in force has it go."""
        kind, figure = self.disk.switch.read()
        if kind == InjectedFault.SLOW_SYNC:
            self.disk.wait(figure)
        waiting, self.cached.unsynced = self.cached.unsynced, []
        self.disk.failing_sync_count = (
            self.disk.failing_sync_count + 1 if kind == InjectedFault.EIO_SYNC else 0
        )
        if kind == InjectedFault.FOLDER_MISSING or self.disk.failing_sync_count > figure:
            if self.disk.record:
                self.disk.operations.append(DiskOperation(self.path, sync=True, failed=True))
            raise _io_error(
                apsw.SQLITE_IOERR_FSYNC
            )  # the pages count as clean now: no later sync writes them
        if kind == InjectedFault.UNSYNCED:
            return
        for place, step in enumerate(waiting):
            data = step.data
            if data and kind == InjectedFault.TORN_WRITE and place == len(waiting) - 1:
                data = data[: len(data) // 2]
            if data and kind == InjectedFault.BIT_FLIP and self.disk.rng.random() < figure:
                data = flip_bit(data, self.disk.rng.randrange(8 * len(data)))
            if data is None:
                super().xTruncate(step.offset)
            else:
                super().xWrite(data, step.offset)
        if self.disk.record:
            self.disk.operations.append(DiskOperation(self.path, sync=True))
        super().xSync(flags)

    def xSectorSize(self) -> int:
        """Of the disk."""
        return SECTOR_BYTES

    def xDeviceCharacteristics(self) -> int:
        """It promises nothing."""
        return 0


def _io_error(extended: int) -> apsw.IOError:
    error: Any = apsw.IOError("input or output failed")
    error.extendedresult = extended
    return cast(apsw.IOError, error)


def flip_bit(data: bytes, bit: int) -> bytes:
    """With one bit otherwise."""
    changed = bytearray(data)
    changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


PowerCutModel = Callable[[DiskOperation], Iterator[DiskOperation]]


def lose_unsynced(step: DiskOperation) -> Iterator[DiskOperation]:
    """A power cut loses all that was not synced."""
    return iter(())


def keep_unsynced(step: DiskOperation) -> Iterator[DiskOperation]:
    """A power cut finds all of it written."""
    return iter((step,))


def tear_unsynced(rng: random.Random) -> PowerCutModel:
    """Some of it is written, some is not, and some by sectors."""

    def pick(step: DiskOperation) -> Iterator[DiskOperation]:
        chance = rng.randrange(4)
        if chance == 0 and step.data:
            for at in range(0, len(step.data), SECTOR_BYTES):
                if rng.random() < 0.5:
                    yield DiskOperation(step.path, step.offset + at, step.data[at : at + SECTOR_BYTES])
        elif chance != 1:
            yield step

    return pick


def power_cut_images(
    steps: list[DiskOperation], pick: PowerCutModel
) -> Iterator[tuple[list[object], dict[str, bytes]]]:
    """For a power cut after each operation: the marks by then, and what is on the disk, a content a path."""
    synced: dict[str, bytearray] = {}
    waiting: dict[str, list[DiskOperation]] = {}
    marks: list[object] = []
    for step in steps:
        if step.mark is not None:
            marks.append(step.mark)
        elif step.sync:
            for one in waiting.pop(step.path, []):
                for part in pick(one) if step.failed else (one,):
                    apply_operation(synced.setdefault(step.path, bytearray()), part)
        else:
            waiting.setdefault(step.path, []).append(step)
        found = {path: bytearray(content) for path, content in synced.items()}
        for path, some in waiting.items():
            for one in some:
                for part in pick(one):
                    apply_operation(found.setdefault(path, bytearray()), part)
        yield list(marks), {path: bytes(content) for path, content in found.items()}


_installed: list[FaultyDisk] = []  # a layer lives as long as its process


def install(control: Path, seed: int = 0) -> str:
    """Put the lying disk beneath every database of this process, switched by a file; the layer's name.

    The file is made where there is none. See ``switch`` for how another process puts a fault in force."""
    reader = FileSwitch(control)

    def wait(ms: float) -> None:
        until = time.monotonic() + ms / 1000.0
        while reader.read()[0] == InjectedFault.SLOW_SYNC and (left := until - time.monotonic()) > 0:
            time.sleep(min(left, WAIT_POLL_S))

    _installed.append(FaultyDisk(VFS_NAME, reader, seed, wait, default=True))
    return VFS_NAME
