"""The faults that a faulty disk injects, and the switches that put them in force while it runs."""

from __future__ import annotations

import mmap
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from pathlib import Path

CONTROL_FILE_BYTES = 64
_CONTROL_FORMAT = struct.Struct("<B7xd")
"""At the head of a control file: the fault, padding, its parameter."""


class InjectedFault(IntEnum):
    """What the disk does wrong; the numbers are those in control files."""

    NONE = 0
    UNSYNCED = 1  # reports a sync that it did not do
    TORN_WRITE = 2  # reports a sync, and the last write lacks its second half
    BIT_FLIP = 3  # one bit of a write flips on its way to the disk; parameter: probability, for each write
    STALE_CONTENT = 4  # at the next opening, returns the content of an earlier one
    DISK_FULL = 5
    EIO_WRITE = 6  # writes fail
    EIO_SYNC = 7  # syncs fail, and what they were to write is never retried; parameter: that succeed first
    SLOW_SYNC = 8  # parameter: ms that each sync takes
    READ_ONLY = 9
    FOLDER_MISSING = 10


class FaultSetting(NamedTuple):
    """The fault in force: a number of ``InjectedFault``, and its parameter."""

    fault: int
    parameter: float


class FaultSwitch(Protocol):
    """Where a faulty disk reads which fault is in force."""

    def read(self) -> FaultSetting:
        """The fault in force."""


@dataclass(slots=True)
class ManualSwitch:
    """Set in this process."""

    fault: int = InjectedFault.NONE
    parameter: float = 0.0

    def read(self) -> FaultSetting:
        """The fault in force."""
        return FaultSetting(self.fault, self.parameter)


class FileSwitch:
    """Set by other processes, in a control file that is mapped into memory."""

    def __init__(self, path: Path) -> None:
        with path.open("a+b") as file:
            file.truncate(CONTROL_FILE_BYTES)
            self._map = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES, access=mmap.ACCESS_READ)

    def read(self) -> FaultSetting:
        """The fault in force."""
        return FaultSetting(*_CONTROL_FORMAT.unpack_from(self._map))


def set_fault(path: Path, fault: InjectedFault, parameter: float = 0.0) -> None:
    """Put a fault in force where a control file is mapped; its parameter is written first."""
    with path.open("r+b") as file:
        setting = _CONTROL_FORMAT.pack(fault, parameter)
        file.seek(1)
        file.write(setting[1:])
        file.flush()
        file.seek(0)
        file.write(setting[:1])
