"""Count pools: consumable units, which routers transfer to each other permanently.

``CountPool`` is one router's account. ``CountBalance`` is the record of that account in the persisted image.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from cedarthread.escrow.allotment import allotment
from cedarthread.escrow.quota_pool import QuotaPool

RETENTION_MS = 24 * 3_600_000.0  # how long an ended count pool is retained
WRITE_OFF_DIVISOR = 16  # units are written off ahead of use in chunks of 1/16 of this router's allotment


class CountBalance(NamedTuple):
    """The persisted account of one count pool; the field order is that of its MessagePack array."""

    key: int
    balance: int
    total: int
    highest_total: int
    is_allotment_lost: bool


class CountPool(QuotaPool):
    """The account that one router has of a pool of consumable units.

    ``free`` units of ``balance`` are already written off on disk, so that a later incarnation cannot use
    them again. Without a disk (``is_durable`` is False), the whole balance is free.
    """

    is_consumable = True

    def __init__(
        self, name: str, key: int, router_index: int, router_count: int, *, is_durable: bool
    ) -> None:
        super().__init__(name, key, router_index, router_count)
        self.is_durable = is_durable
        self.balance = 0
        self.free = 0
        self.used = 0
        self.highest_total = 0
        # An earlier incarnation may have used or granted this router's allotment.
        self.is_allotment_lost = False
        self.free_units_needed = 0  # most units requested at a time while fewer were free
        self.last_recipient: int | None = None

    def initialize(self, total: int, *, is_allotment_lost: bool, persisted: CountBalance | None) -> None:
        """Set up the account when this incarnation first opens the pool.

        Args:
            total: The pool's total.
            is_allotment_lost: Whether this router's allotment is unusable because an earlier incarnation may
                have used it; ignored if ``persisted`` is given.
            persisted: The pool's record in the restored image, or None if the image has none.
        """
        if persisted is None:
            self.is_allotment_lost = is_allotment_lost
            self.total = total
            self.highest_total = total
            self.balance = 0 if is_allotment_lost else self.own_allotment()
        else:
            self.balance = persisted.balance
            self.is_allotment_lost = persisted.is_allotment_lost
            self.total = persisted.total
            self.highest_total = persisted.highest_total
            self.change_total(total)
        self._update_free()

    def balance_to_persist(self, write_off: int) -> CountBalance:
        """Return the record to persist in order to write off ``write_off`` more units."""
        remaining = self.balance - self.free - write_off
        return CountBalance(self.key, remaining, self.total, self.highest_total, self.is_allotment_lost)

    def change_total(self, total: int) -> None:
        """Change the total and adjust the balance.

        If the new total exceeds the highest total so far, the balance grows by this router's allotment of
        the increase. If the new total is below the current one, this router deducts the *whole* difference,
        or its whole balance if that is less. If any router's balance covers the difference, that router alone
        makes up for the reduction; otherwise all balances are zero afterwards (docs/design/escrow.md, 13).
        """
        if total > self.highest_total:
            before = allotment(self.highest_total, self.router_count, self.rank)
            self.balance += (
                0 if self.is_allotment_lost else allotment(total, self.router_count, self.rank) - before
            )
            self.highest_total = total
        elif total < self.total:
            self.balance -= min(self.balance, self.total - total)
        self.total = total
        self._update_free()

    def _update_free(self) -> None:
        self.free = min(self.free, self.balance) if self.is_durable else self.balance

    def shortfall(self, now_ms: float) -> int:
        """Return the demand in excess of the balance.

        Units that are not written off yet are part of the balance, so peers are not requested to replace
        them.
        """
        return max(0, self.demand - self.balance)

    def available(self, now_ms: float) -> int:
        """Return the units that are free to be used; 0 after the pool's end."""
        return 0 if self.has_ended(now_ms) else self.free

    def can_be_removed(self, now_ms: float) -> bool:
        """Return whether the pool ended at least ``RETENTION_MS`` ago.

        An ended pool is retained because a postponed end would otherwise add the allotment a second time.
        """
        return self.ends_at_ms is not None and now_ms >= self.ends_at_ms + RETENTION_MS

    def consume(self, now_ms: float, amount: int) -> bool:
        """Consume ``amount`` units and return True; return False and consume none if fewer are free."""
        if amount > self.available(now_ms):
            self.free_units_needed = max(self.free_units_needed, amount)
            return False
        self._deduct(amount)
        self.used += amount
        self.demand = max(0, self.demand - amount)
        return True

    def grant(self, now_ms: float, recipient: int, requested: int) -> int:
        """Deduct up to ``requested`` units for a peer and return the number of units deducted.

        Units that cover this router's own demand are not granted.
        """
        amount = min(requested, max(0, self.available(now_ms) - self.demand))
        if amount < requested:
            self.free_units_needed = max(self.free_units_needed, self.demand + requested)
        if amount:
            self._deduct(amount)
            self.last_recipient = recipient
        return amount

    def is_waiting_for_disk(self) -> bool:
        """Return whether this router has units beyond its demand, some of which are not written off yet."""
        return self.balance - self.demand > 0 and self.free < self.balance

    def _deduct(self, amount: int) -> None:
        self.balance -= amount
        self.free -= amount

    def receive(self, amount: int) -> None:
        """Add units that a peer granted; the caller ensures that each grant is added once."""
        self.balance += amount
        self._update_free()

    def amount_to_write_off(self) -> int:
        """Return the units to write off next, so that the needed units, rounded up to chunks, are free."""
        needed = max(self.demand, self.free_units_needed)
        chunk = max(1, self.own_allotment() // WRITE_OFF_DIVISOR)
        return max(0, min(self.balance, math.ceil(needed / chunk) * chunk) - self.free)

    def mark_written_off(self, amount: int) -> None:
        """Mark ``amount`` more units as free, because they are recorded as written off on disk."""
        self.free = min(self.balance, self.free + amount)
        self.free_units_needed = 0
