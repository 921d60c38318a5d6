"""The program with a clock that is off, and with a defect where a drill plants one.

    python -m cedarthread.testing.cluster.router_entry CLOCK DISK PLANT ARGUMENT...

CLOCK and DISK: files as ``fleet.py`` lays them out, DISK may be empty. PLANT: a name of ``plants.py``, or
nothing.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace

from cedarthread.dispatch import clock
from cedarthread.testing.cluster.injected_defects import inject

Clock = Callable[[], float]  # s
CLOCK_CONTROL = struct.Struct(
    "<ddd"
)  # ms that it is off; how many times as fast it runs; since when, monotonic s


def faulty_clocks(told: mmap.mmap | bytearray, wall: Clock, steady: Clock) -> SimpleNamespace:
    """Both clocks as the file has them: a step moves the wall clock; a rate the steady one too."""

    def gained() -> float:
        _, rate, since = CLOCK_CONTROL.unpack(told[:])
        return float((rate - 1.0) * (steady() - since))

    return SimpleNamespace(
        time=lambda: wall() + float(CLOCK_CONTROL.unpack(told[:])[0]) / 1000.0 + gained(),
        monotonic=lambda: steady() + gained(),
    )


def main() -> None:
    """Take the clock's file and the defect off the arguments, then do what the program does."""
    with open(sys.argv.pop(1), "rb") as file:
        told = mmap.mmap(file.fileno(), CLOCK_CONTROL.size, access=mmap.ACCESS_READ)
    if disk := sys.argv.pop(1):
        import_module("cedarthread.persistence.faulty_disk").install(Path(disk))
    inject(sys.argv.pop(1))
    clock.time = faulty_clocks(told, time.time, time.monotonic)  # type: ignore[attr-defined, assignment]
    runpy.run_module("cedarthread", run_name="__main__")


if __name__ == "__main__":
    main()
