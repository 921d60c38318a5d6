"""The entry point of ``run`` with a clock that is off by what a file says: 8 bytes, ms, little-endian."""

from __future__ import annotations

import mmap
import struct
import sys
import time
from types import SimpleNamespace

from cedarthread import cli
from cedarthread.core import planner


def main() -> int:
    """Take the clock's file off the arguments, then do what the program does."""
    with open(sys.argv.pop(1), "rb") as file:
        told = mmap.mmap(file.fileno(), 8, access=mmap.ACCESS_READ)

    def off() -> float:
        return time.time() + float(struct.unpack("<d", told[:8])[0]) / 1000.0

    planner.time = SimpleNamespace(time=off)  # type: ignore[attr-defined, assignment]
    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
