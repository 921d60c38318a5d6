"""The clocks of the process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def steady_unix_clock_ms() -> Callable[[], float]:
    """A clock of Unix time in ms as it was at the start, carried on by the monotonic clock.

    Steps of the wall clock do not move it: after a step back by an hour, calls would otherwise wait an hour
    past their deadlines.
    """
    offset_s = time.time() - time.monotonic()
    return lambda: (offset_s + time.monotonic()) * 1000.0


def wall_clock_ms() -> float:
    """The wall clock of the host: Unix time in ms, which may step."""
    return time.time() * 1000.0
