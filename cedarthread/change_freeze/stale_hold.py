"""The limited time for which a router that is not fresh freezes all placements.

The router freezes placements because it may not have received a declared window. The time is limited because
serving calls has precedence over a window that may not exist. docs/design/change-freeze.md, steps 20 and 21,
derives the limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Duration of the hold since the router was last fresh in this incarnation. The time is limited so that
# windows end even if no peer responds.
STALE_HOLD_MS = 60_000.0
# Duration of the hold since the start of a router that stores an entry about windows.
RESTART_HOLD_MS = 600_000.0
FIRST_START_HOLD_MS = 60_000.0  # duration of the hold since the start of a router that stores no such entry


@dataclass(slots=True)
class StaleHold:
    """The time-limited freeze of a router that may not have received a window.

    All times are ms on the monotonic clock.
    """

    started_at_ms: float
    # Whether the entries of several peers were read completely since the start:
    has_completed_bootstrap: Callable[[], bool]
    # Last time in this incarnation at which the router was fresh; None: never.
    last_fresh_at_ms: float | None = None

    def is_uncertain(self, now_ms: float, *, is_fresh: bool, has_entries: bool) -> bool:
        """Return whether all placements must stay frozen, because this router may not have received a window.

        Args:
            now_ms: The time on the monotonic clock.
            is_fresh: Whether the replicated store is fresh.
            has_entries: Whether the router stores an entry about windows.
        """
        if is_fresh:
            self.last_fresh_at_ms = now_ms
        if self.last_fresh_at_ms is not None:
            since_ms = self.last_fresh_at_ms
            hold_ms = STALE_HOLD_MS
        else:
            since_ms = self.started_at_ms
            hold_ms = RESTART_HOLD_MS if has_entries else FIRST_START_HOLD_MS
        has_initial_entries = self.last_fresh_at_ms is None and self.has_completed_bootstrap()
        return not is_fresh and not has_initial_entries and now_ms - since_ms < hold_ms
