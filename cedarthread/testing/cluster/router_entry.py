"""Entry point of a router whose clocks and disk can be faulty, and which may have an injected defect.

    python -m cedarthread.testing.cluster.router_entry CLOCK DISK CALLS DEFECT ARGUMENT...

CLOCK, DISK and CALLS are control files that ``router_files.py`` writes; DISK may be empty. DEFECT is a
name of ``injected_defects.py``, or empty. The arguments are those of ``python -m cedarthread``.
"""

from __future__ import annotations

import mmap
import os
import runpy
import struct
import sys
import time
from collections.abc import Callable
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace

from cedarthread.dispatch import clock
from cedarthread.testing.cluster import failing_sockets
from cedarthread.testing.cluster.injected_defects import inject

Clock = Callable[[], float]  # Returns a time in s.
CLOCK_CONTROL = struct.Struct("<ddd")  # Offset in ms, rate, time from which the rate applies in monotonic s.


def faulty_clocks(control: mmap.mmap | bytearray, wall: Clock, monotonic: Clock) -> SimpleNamespace:
    """Return a ``time`` module with clocks that follow the control file.

    The offset shifts the wall clock alone; the rate applies to both clocks.
    """

    def gained_s() -> float:
        _, rate, since = CLOCK_CONTROL.unpack(control[:])
        return float((rate - 1.0) * (monotonic() - since))

    return SimpleNamespace(
        time=lambda: wall() + float(CLOCK_CONTROL.unpack(control[:])[0]) / 1000.0 + gained_s(),
        monotonic=lambda: monotonic() + gained_s(),
    )


def main() -> None:
    """Install the faults that the first four arguments name, then run ``cedarthread`` with the others."""
    with Path(sys.argv.pop(1)).open("rb") as file:
        control = mmap.mmap(file.fileno(), CLOCK_CONTROL.size, access=mmap.ACCESS_READ)
    if disk := sys.argv.pop(1):
        import_module("cedarthread.persistence.faulty_disk").install(Path(disk))
    failing_sockets.install(Path(sys.argv.pop(1)), os.getpid())
    inject(sys.argv.pop(1))
    clock.time = faulty_clocks(control, time.time, time.monotonic)  # type: ignore[attr-defined, assignment]
    runpy.run_module("cedarthread", run_name="__main__")


if __name__ == "__main__":
    main()
