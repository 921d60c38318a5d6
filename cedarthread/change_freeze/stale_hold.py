"""How long a router that is not fresh keeps all placements as they are, for it may have missed a window.

Not for ever: service comes first in the end. Why these times: docs/design/freeze.md, steps 20 and 21.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

STALE_HOLD_MS = (
    60_000.0  # from when it was last fresh in this incarnation: windows end though no peer is heard
)
RESTART_HOLD_MS = 600_000.0  # from its start, where it holds an entry about windows
FIRST_START_HOLD_MS = 60_000.0  # from its start, where it holds none


@dataclass(slots=True)
class StaleHold:
    """Whether this router may have missed a window. Times: ms on the steady clock."""

    started_at_ms: float
    has_read_enough_peers: Callable[[], bool]  # several others were read completely in this incarnation
    last_fresh_at_ms: float | None = None

    def is_uncertain(self, now_ms: float, is_fresh: bool, has_entries: bool) -> bool:
        """Whether all placements must stay as they are now. ``has_entries``: about windows."""
        if is_fresh:
            self.last_fresh_at_ms = now_ms
        if self.last_fresh_at_ms is not None:
            since_ms, hold_ms = self.last_fresh_at_ms, STALE_HOLD_MS
        else:
            since_ms, hold_ms = self.started_at_ms, RESTART_HOLD_MS if has_entries else FIRST_START_HOLD_MS
        knows_from_start = self.last_fresh_at_ms is None and self.has_read_enough_peers()
        return not is_fresh and not knows_from_start and now_ms - since_ms < hold_ms
