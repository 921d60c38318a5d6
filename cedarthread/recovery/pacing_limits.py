"""How much a recovery may ask of what all routers share.

Where nothing is known of an undisturbed day, that is a default. Else it follows from that day: m events in a
mean window have a peak of about m + 3 sqrt(m) + 1 over some minutes, if they come by chance. The events of a
recovery are paced, so r of them in a mean window peak at about r + sqrt(r) over all routers. That peak may be
1.5 times the undisturbed one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

WINDOW_MS = 250.0
"""Window over which peaks are counted."""
MAX_PEAK_RATIO = 1.5
"""What the peak of a recovery may be, in undisturbed peaks."""
MIN_WORKER_CONNECTIONS_PER_WINDOW = 8.0
"""New connections that do a worker no harm, however few it usually has (docs/design/recovery.md, 21)."""


class PacedAction(IntEnum):
    """What is paced. The numbers spread the first tokens of the actions over time."""

    LOAD = 0  # begun at the package store
    CONNECT = 1  # connections to workers, with their handshakes
    DISCOVERY_QUERY = 2
    PEER_QUERY = 3
    RELEASE = 4  # of changes that a freeze had deferred


@dataclass(frozen=True, slots=True)
class PacingLimits:
    """Default limits in a window."""

    loads: float  # of the whole fleet
    connections_per_worker: float = MIN_WORKER_CONNECTIONS_PER_WINDOW  # of the whole fleet
    discovery_queries: float = 2.0  # of one router, which sends some five a second on any day
    peer_queries: float = 6.0  # of one router
    connections: float = 16.0  # of one router, to all workers: handshakes take its own CPU time too

    @staticmethod
    def for_fleet(worker_count: int, load_time_ms: float) -> PacingLimits:
        """For so many workers whose loads take so long: half a load in flight on each."""
        return PacingLimits(loads=0.5 * max(1, worker_count) * WINDOW_MS / max(load_time_ms, WINDOW_MS))


def max_events_per_window(mean_events: float) -> float:
    """Events in a mean window that a recovery may have, where there were so many undisturbed.

    The r of r + sqrt(r) = 1.5 (m + 3 sqrt(m) + 1), see the head of this module.
    """
    return (math.sqrt(0.25 + MAX_PEAK_RATIO * (mean_events + 3.0 * math.sqrt(mean_events) + 1.0)) - 0.5) ** 2
