"""The pools of the quota escrow that contain the exception budgets of windows.

The change freeze component opens the pools; the admission gate consumes exceptions from them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.components.quota_escrow import QuotaEscrow


def exception_pool_name(window_id: str) -> str:
    """Return the name of the quota escrow pool that contains a window's exception budget."""
    return f"freeze/{window_id}"


class OpenedPool(NamedTuple):
    """The total and end of a pool, as most recently passed to the quota escrow."""

    total: int
    ends_at_ms: float


NO_POOL = OpenedPool(-1, 0.0)


class ExceptionPools:
    """The exception pools that one router has opened, by window id. Times are ms on the monotonic clock.

    Args:
        escrow: Contains the pools.
        end_tolerance_ms: A shift of a pool's end up to this time is ignored, because clock errors shift the
            end on each tick.
    """

    def __init__(self, escrow: QuotaEscrow, end_tolerance_ms: float) -> None:
        self.escrow = escrow
        self.end_tolerance_ms = end_tolerance_ms
        self.opened_pools: dict[str, OpenedPool] = {}

    def update(self, window_id: str, total: int, ends_at_ms: float) -> None:
        """Open the window's pool, or change its total or end."""
        previous = self.opened_pools.get(window_id, NO_POOL)
        if previous.total != total or abs(ends_at_ms - previous.ends_at_ms) > self.end_tolerance_ms:
            self.opened_pools[window_id] = OpenedPool(total, ends_at_ms)
            self.escrow.open_pool(
                exception_pool_name(window_id), total, is_consumable=True, ends_at_ms=ends_at_ms
            )

    def remove(self, window_id: str) -> None:
        """Remove the record of a window that no longer exists."""
        self.opened_pools.pop(window_id, None)
