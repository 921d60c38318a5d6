"""Limits on the lines that the program executes and the memory that it allocates for one input."""

from __future__ import annotations

import sys
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.testing.fuzzing.finding import Finding

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

    from _typeshed import TraceFunction

PACKAGE = "cedarthread"
UNMETERED = ".fuzz"  # lines of modules whose names contain this are not counted


class Budget(NamedTuple):
    """A limit on a resource for one input: a base amount and an amount per byte of the input."""

    base: int
    per_byte: int

    def limit(self, size: int) -> int:
        """Return the limit for an input of ``size`` bytes."""
        return self.base + self.per_byte * size


class ResourceMeter:
    """A meter that counts the executed lines of the program and the peak memory allocation.

    The number of lines is the same on every run and machine, so that a test can limit it.

    Args:
        max_lines: The maximum number of lines that the program may execute.
        max_bytes: The maximum number of bytes that may be allocated at the same time.
    """

    def __init__(self, max_lines: int, max_bytes: int) -> None:
        self.max_lines = max_lines
        self.max_bytes = max_bytes
        self.line_count = 0
        self.peak_bytes = 0

    def _trace(self, frame: FrameType, event: str, arg: object) -> TraceFunction | None:
        module = str(frame.f_globals.get("__name__", ""))
        return self._line if module.startswith(PACKAGE) and UNMETERED not in module else None

    def _line(self, frame: FrameType, event: str, arg: object) -> TraceFunction:
        self.line_count += event == "line"
        if self.line_count > self.max_lines:
            raise Finding(f"more than {self.max_lines} lines executed for one input")
        return self._line

    def measure(self, check: Callable[[bytes], None], data: bytes) -> None:
        """Run a check under the meter.

        Raises:
            Finding: The check exceeds a limit.
        """
        previous = sys.gettrace()
        tracemalloc.start()
        sys.settrace(self._trace)
        try:
            check(data)
        finally:
            sys.settrace(previous)
            self.peak_bytes = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        if self.peak_bytes > self.max_bytes:
            raise Finding(f"{self.peak_bytes} bytes allocated for one input, limit {self.max_bytes}")
