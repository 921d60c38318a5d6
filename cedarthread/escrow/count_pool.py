"""Count pools: units that are used up, handed over between routers for good."""

from __future__ import annotations

import math
from typing import NamedTuple

from cedarthread.escrow.allotment import allotment
from cedarthread.escrow.quota_pool import QuotaPool

RETENTION_MS = 24 * 3_600_000.0  # how long a count is remembered after its end
WRITE_OFF_DIVISOR = 16  # one in so many units of its own count is written off at a time, ahead of use


class CountBalance(NamedTuple):
    """What the disk has of one count, in the order of its MessagePack array."""

    key: int
    balance: int
    total: int
    highest_total: int
    is_lost: bool


class CountPool(QuotaPool):
    """A pool of units that are used up.

    ``free`` units of the balance are already written off on the disk, so that a later incarnation will not
    use them again. Without a disk (``is_durable`` false) the whole balance is free.
    """

    is_consumable = True

    def __init__(self, name: str, key: int, router_index: int, router_count: int, is_durable: bool) -> None:
        super().__init__(name, key, router_index, router_count)
        self.is_durable = is_durable
        self.balance = self.free = self.used = self.highest_total = 0
        self.is_lost = False  # an earlier incarnation may have used or given this router's allotment
        self.wanted_free = 0  # units that were asked for and not free yet
        self.last_taker: int | None = None

    def initialize(self, total: int, *, is_lost: bool, persisted: CountBalance | None) -> None:
        """First opening in this incarnation. ``persisted``: what the disk has of the pool."""
        if persisted is None:
            self.is_lost = is_lost
            self.total = self.highest_total = total
            self.balance = 0 if is_lost else self.own_allotment()
        else:
            self.balance, self.is_lost = persisted.balance, persisted.is_lost
            self.total, self.highest_total = persisted.total, persisted.highest_total
            self.change_total(total)
        self._update_free()

    def balance_to_persist(self, write_off: int) -> CountBalance:
        """What the disk is to have once ``write_off`` more units are written off."""
        remaining = self.balance - self.free - write_off
        return CountBalance(self.key, remaining, self.total, self.highest_total, self.is_lost)

    def change_total(self, total: int) -> None:
        """Take a new total.

        Above the highest so far, this router's allotment of the increase comes in. Below the present one,
        this router gives up the *whole* difference as far as its balance goes: a single router with that much
        makes up for all, and where none had that much, none has anything left (design page).
        """
        if total > self.highest_total:
            before = allotment(self.highest_total, self.router_count, self.place)
            self.balance += 0 if self.is_lost else allotment(total, self.router_count, self.place) - before
            self.highest_total = total
        elif total < self.total:
            self.balance -= min(self.balance, self.total - total)
        self.total = total
        self._update_free()

    def _update_free(self) -> None:
        self.free = min(self.free, self.balance) if self.is_durable else self.balance

    def shortfall(self, now_ms: float) -> int:
        """What only others could give; units that wait for the disk do not count."""
        return max(0, self.demand - self.balance)

    def available(self, now_ms: float) -> int:
        """Units that are free to be used."""
        return 0 if self.has_ended(now_ms) else self.free

    def can_be_removed(self, now_ms: float) -> bool:
        """Not soon after its end: if the end were postponed, the allotment would come in a second time."""
        return self.ends_at_ms is not None and now_ms >= self.ends_at_ms + RETENTION_MS

    def consume(self, now_ms: float, amount: int) -> bool:
        """Use up units if they are free."""
        if amount > self.available(now_ms):
            self.wanted_free = max(self.wanted_free, amount)
            return False
        self._deduct(amount)
        self.used += amount
        self.demand = max(0, self.demand - amount)
        return True

    def give(self, now_ms: float, taker: int, requested: int) -> int:
        """Lower the balance by what this router does not want itself, up to ``requested``; the amount
        given.
        """
        amount = min(requested, max(0, self.available(now_ms) - self.demand))
        if amount < requested:
            self.wanted_free = max(self.wanted_free, self.demand + requested)
        if amount:
            self._deduct(amount)
            self.last_taker = taker
        return amount

    def is_waiting_for_disk(self) -> bool:
        """Whether units could be given that only are not written off yet."""
        return self.balance - self.demand > 0 and self.free < self.balance

    def _deduct(self, amount: int) -> None:
        self.balance -= amount
        self.free -= amount

    def receive(self, amount: int) -> None:
        """Add what another router gave; the caller sees to it that each grant is added once."""
        self.balance += amount
        self._update_free()

    def amount_to_write_off(self) -> int:
        """Units to write off next, in whole chunks."""
        wanted = max(self.demand, self.wanted_free)
        chunk = max(1, self.own_allotment() // WRITE_OFF_DIVISOR)
        return max(0, min(self.balance, math.ceil(wanted / chunk) * chunk) - self.free)

    def mark_written_off(self, amount: int) -> None:
        """The disk has so many more units as gone: they are free."""
        self.free = min(self.balance, self.free + amount)
        self.wanted_free = 0
