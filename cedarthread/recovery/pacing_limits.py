"""The actions that a recovery paces, and the limits of their rates.

The limits protect resources that all routers share. Without a baseline (the rates in normal operation),
``PacingLimits`` supplies defaults. With a baseline, the limit is derived from it: if events arrive at random
with a mean of m in a window, the highest count in any window over some minutes is about m + 3 sqrt(m) + 1.
The events of a recovery are paced, so with a mean of r in a window over all routers, their peak is about
r + sqrt(r). The peak of a recovery may be 1.5 times the peak in normal operation.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

WINDOW_MS = 250.0
"""Window in which the events of a peak are counted."""
MAX_PEAK_RATIO = 1.5
"""Maximum peak of a recovery, as a multiple of the peak in normal operation."""
MIN_WORKER_CONNECTIONS_PER_WINDOW = 8.0
"""New connections per window that any worker can accept, even one that usually receives few.

Source: docs/design/recovery.md, 21.
"""


class PacedAction(IntEnum):
    """An action that a recovery paces. The numbers spread the first tokens of the actions over time."""

    LOAD = 0  # a load of a function, from the package store
    CONNECT = 1  # a connection to a worker, with the handshake
    DISCOVERY_QUERY = 2
    PEER_QUERY = 3
    RELEASE = 4  # the release of a change that a change freeze deferred


@dataclass(frozen=True, slots=True)
class PacingLimits:
    """Default limits: events in a window of ``WINDOW_MS``."""

    loads: float  # loads of functions by all routers together
    # Connections to one worker by all routers together.
    connections_per_worker: float = MIN_WORKER_CONNECTIONS_PER_WINDOW
    # Queries by one router, which sends about five per second in normal operation.
    discovery_queries: float = 2.0
    peer_queries: float = 6.0  # queries by one router
    # Connections by one router to all workers; limited, because handshakes use its own CPU time too.
    connections: float = 16.0

    @staticmethod
    def for_fleet(worker_count: int, load_time_ms: float) -> PacingLimits:
        """Return limits that allow half a load in flight per worker on average.

        Args:
            worker_count: Workers in the endpoint list.
            load_time_ms: Duration of one load.
        """
        return PacingLimits(loads=0.5 * max(1, worker_count) * WINDOW_MS / max(load_time_ms, WINDOW_MS))


def max_events_per_window(mean_events: float) -> float:
    """Return the mean events per window that a recovery may have, from the mean in normal operation.

    Solves r + sqrt(r) = 1.5 (m + 3 sqrt(m) + 1) for r, with m = ``mean_events``; the module's docstring
    explains the equation.
    """
    return (math.sqrt(0.25 + MAX_PEAK_RATIO * (mean_events + 3.0 * math.sqrt(mean_events) + 1.0)) - 0.5) ** 2
