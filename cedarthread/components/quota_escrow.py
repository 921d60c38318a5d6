"""The quota escrow as components use it: reserved amounts of fleet-wide totals."""

from __future__ import annotations

from typing import Protocol


class QuotaEscrow(Protocol):
    """What components ask of the quota escrow (``escrow/escrow.py``): reserved amounts of fleet-wide totals.

    Amounts are whole numbers of a unit that the pool's user chooses. The sum of what all routers may use
    never exceeds the total of a pool, whatever is lost, duplicated, delayed, partitioned or restarted (proof
    in docs/design/grants.md).
    """

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool.

        ``is_consumable``: what is used is gone (a count); otherwise the amount is a rate, which is returned.
        ``ends_at_ms``: when the pool ends, on the steady clock; None: never.
        """

    def available(self, now_ms: float, name: str) -> int:
        """How much of a pool this router may use now; 0 for one that is unknown or has ended."""

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Use an amount of a consumable pool; False, and nothing used, if this router may not."""

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """This router could use this amount in all; what it lacks is requested from its peers."""
