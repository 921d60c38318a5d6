"""The interface of the quota escrow, which divides fleet-wide quotas among the routers."""

from __future__ import annotations

from typing import Protocol


class QuotaEscrow(Protocol):
    """The interface of the quota escrow for components, implemented by ``escrow/escrow.py``.

    Each router reserves amounts of the fleet-wide total of a pool. Amounts are integers in a unit that the
    user of the pool defines. The sum of the amounts that all routers may use never exceeds the total of the
    pool, even if datagrams are lost, duplicated or delayed, the network is partitioned or routers restart
    (proof in docs/design/escrow.md).
    """

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool.

        Args:
            name: The name of the pool, the same at all routers.
            total: The fleet-wide total.
            is_consumable: Used amounts are consumed (a count). Otherwise the amounts are rates, which routers
                return.
            ends_at_ms: The end of the pool on the monotonic clock; None: the pool does not end.
        """

    def available(self, now_ms: float, name: str) -> int:
        """Return the amount that this router may use now; 0 also for an unknown or ended pool."""

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Consume an amount of a consumable pool; return False, and consume nothing, if less is available."""

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """Set the total amount that this router could use; the missing amount is requested from its peers."""
