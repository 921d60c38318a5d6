"""Clocks that return Unix time in ms."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def monotonic_unix_clock_ms() -> Callable[[], float]:
    """Return a clock that starts at the current Unix time in ms and advances with the monotonic clock.

    Steps of the wall clock do not affect this clock. Otherwise calls would wait an hour past their deadlines
    after the wall clock is set back by an hour.
    """
    offset_s = time.time() - time.monotonic()
    return lambda: (offset_s + time.monotonic()) * 1000.0


def wall_clock_ms() -> float:
    """Return the Unix time in ms from the host's wall clock, which may step."""
    return time.time() * 1000.0
