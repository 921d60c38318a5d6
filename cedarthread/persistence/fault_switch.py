"""The faults that a faulty disk injects, and the switches that activate the faults at run time.

Tests and drills write the active fault; the faulty disk only reads it.
"""

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
"""Start of a control file: the fault (1 byte), 7 bytes of padding, the fault's parameter (double)."""


class InjectedFault(IntEnum):
    """A fault of the disk. Control files contain these numbers."""

    NONE = 0
    UNSYNCED = 1  # syncs report success and write nothing
    TORN_WRITE = 2  # syncs report success, but lose the second half of the last write
    BIT_FLIP = 3  # one bit of a write is flipped; parameter: probability for each write
    STALE_CONTENT = 4  # the next opening returns the content of an earlier opening
    DISK_FULL = 5
    EIO_WRITE = 6  # writes fail
    EIO_SYNC = 7  # syncs fail, and lose their writes for good; parameter: number of syncs that succeed first
    SLOW_SYNC = 8  # each sync takes longer; parameter: its duration in ms
    READ_ONLY = 9
    FOLDER_MISSING = 10


class FaultSetting(NamedTuple):
    """The number of the active ``InjectedFault``, and its parameter."""

    fault: int
    parameter: float


class FaultSwitch(Protocol):
    """The source from which a faulty disk reads the active fault."""

    def read(self) -> FaultSetting:
        """Return the active fault."""


@dataclass(slots=True)
class ManualSwitch:
    """A switch that the same process sets, by its attributes."""

    fault: int = InjectedFault.NONE
    parameter: float = 0.0

    def read(self) -> FaultSetting:
        """Return the active fault."""
        return FaultSetting(self.fault, self.parameter)


class FileSwitch:
    """A switch that other processes set, in a control file that is mapped into memory.

    Args:
        path: the control file, which is created if missing.
    """

    def __init__(self, path: Path) -> None:
        with path.open("a+b") as file:
            file.truncate(CONTROL_FILE_BYTES)
            self._map = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES, access=mmap.ACCESS_READ)

    def read(self) -> FaultSetting:
        """Return the active fault."""
        return FaultSetting(*_CONTROL_FORMAT.unpack_from(self._map))


def set_fault(path: Path, fault: InjectedFault, parameter: float = 0.0) -> None:
    """Activate a fault in all processes that map a control file.

    The parameter is written before the fault, so that no reader combines a new fault with an old parameter.

    Args:
        path: the control file, which must exist.
        fault: the fault to activate.
        parameter: the meaning depends on the fault: see ``InjectedFault``.
    """
    with path.open("r+b") as file:
        setting = _CONTROL_FORMAT.pack(fault, parameter)
        file.seek(1)
        file.write(setting[1:])
        file.flush()
        file.seek(0)
        file.write(setting[:1])
