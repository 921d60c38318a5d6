"""The books of one router on the pools of the grants: what is its own, given and taken. Pure accounts.

Escrow (O'Neil, 1986) and bounded counters (Balegas and others, 2015): the total is cut into parts, and who
has a part moves it by lowering its own before it says so. A rate is lent for a term (a lease, Gray and
Cheriton, 1989), a count is handed over for good. Whole units; times in ms on this router's steady clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from cedarthread.routing.rendezvous import hash64, rendezvous_score

LEASE_TERM_MS = 4000.0  # ms that a rate is lent for; also the longest that any grant may last
UNMET_REQUEST_MEMORY_MS = 1000.0  # ms for which a giver bears in mind who did not get what it asked for
RATE_RESERVE_DIVISOR = (
    16  # one in so many of its own rate a router keeps though it wants less, for its next calls
)
COUNT_RETENTION_MS = 24 * 3_600_000.0  # ms that a count is remembered after its end
WRITE_OFF_DIVISOR = 16  # one in so many of its own count is written off at once, ahead of use

CountBalance = tuple[
    int, int, int, int, bool
]  # of a count: key, what is left, total, greatest total, was it lost


def allotment_order(key: int, router_count: int) -> tuple[int, ...]:
    """All routers in the order in which units of a pool fall to them, alike at every router."""
    return tuple(
        sorted(range(router_count), key=lambda router: (rendezvous_score(key, hash64(router), 1.0), router))
    )


def allotment(total: int, router_count: int, place: int) -> int:
    """What falls to the router at a place of the order. The parts sum up to the total, and none is less at a
    greater total: so routers that know different totals do not pass the greatest of them together."""
    return (total + router_count - 1 - place) // router_count


@dataclass(slots=True)
class Lease:
    """What one life of one router may use of another's, as either of them counts it. The greatest grant that
    is not over holds, so it does not matter which of them arrived, or in which order."""

    nonce: int = 0  # at the giver: of the latest ask; an older one is a late or doubled datagram
    requested_at_ms: float = -math.inf  # at the taker: when the ask was sent that was answered last
    grants: list[tuple[int, float]] = field(default_factory=list)  # amount, and when it is over

    def amount_at(self, now: float) -> int:
        """How much it is now."""
        return max((amount for amount, over in self.grants if over > now), default=0)

    def drop_expired(self, now: float) -> bool:
        """Forget what is over; is anything left?"""
        self.grants = [grant for grant in self.grants if grant[1] > now]
        return bool(self.grants)


class QuotaPool:
    """What rates and counts share. ``until``: over from then on, here; None: never."""

    is_consumable = False

    def __init__(self, name: str, key: int, me: int, count: int) -> None:
        self.name, self.key, self.router_count = name, key, count
        ranked = allotment_order(key, count)
        self.place_by_router = {router: place for place, router in enumerate(ranked)}
        self.place = self.place_by_router[me]
        self.total = 0
        self.ends_at_ms: float | None = None
        self.demand = 0
        self.failed_rounds, self.hints_followed, self.next_round_at_ms, self.has_gained = (
            0,
            0,
            -math.inf,
            False,
        )  # of asking
        self.woken_at_ms = -math.inf  # when more demand last ended a wait
        self.is_round_open = False  # asks are out whose outcome says whether to back off
        self.peer_available: dict[
            int, tuple[int, float]
        ] = {}  # other: room that it was last known to have, and when

    def own_allotment(self) -> int:
        """This router's own part of the total."""
        return allotment(self.total, self.router_count, self.place)

    def has_ended(self, now: float) -> bool:
        """Has it ended?"""
        return self.ends_at_ms is not None and now >= self.ends_at_ms

    def available(self, now: float) -> int:
        """What this router may use now."""
        raise NotImplementedError

    def can_be_removed(self, now: float) -> bool:
        """May it be forgotten?"""
        raise NotImplementedError

    def shortfall(self, now: float) -> int:
        """What it would need to be granted."""
        return max(0, self.demand - self.available(now))


class RatePool(QuotaPool):
    """A rate: units that may be in use at once, lent for a term and then back."""

    def __init__(self, name: str, key: int, me: int, count: int, stretch: float, ready: float) -> None:
        super().__init__(name, key, me, count)
        self.clock_drift_factor = stretch  # how much longer this router waits than the taker may use it
        self.ready_at_ms = ready  # before it, an earlier life's loans may be out
        self.leases_given: dict[tuple[int, int], Lease] = {}
        self.leases_taken: dict[int, Lease] = {}
        self.unmet_requests: dict[
            int, tuple[int, float]
        ] = {}  # asker: what it did not get, and when it asked

    def own_rate(self, now: float) -> int:
        """Its own part, lent or not."""
        return self.own_allotment() if now >= self.ready_at_ms else 0

    def amount_lent(self, now: float, except_taker: tuple[int, int] | None = None) -> int:
        """What is lent to others, but for one of them."""
        return sum(loan.amount_at(now) for taker, loan in self.leases_given.items() if taker != except_taker)

    def available(self, now: float) -> int:
        """Its own less what is lent, and what others lend it; by the clock at this moment, so that a router
        that stood still uses nothing that ended meanwhile."""
        if self.has_ended(now):
            return 0
        return min(self.total, max(0, self.own_rate(now) - self.amount_lent(now)) + self.amount_borrowed(now))

    def amount_borrowed(self, now: float) -> int:
        """What others lend it."""
        return sum(loan.amount_at(now) for loan in self.leases_taken.values())

    def lendable(self, now: float) -> int:
        """What it could lend in all: who needs less than its part has room."""
        return max(0, self.own_rate(now) - max(self.demand, self.own_allotment() // RATE_RESERVE_DIVISOR))

    def lend(self, now: float, taker: tuple[int, int], nonce: int, requested: int) -> int | None:
        """Lower this router's own by what a taker gets, which may use it for TERM from its ask on; None: an
        ask that is no newer than what it was answered. The longer wait covers both clocks' errors."""
        loan = self.leases_given.get(taker)
        if loan is not None and not 0 < (nonce - loan.nonce) % 2**32 < 2**31:
            return None
        amount = self._fair_amount(now, taker, requested)
        if loan is None:
            if not amount:
                return 0
            loan = self.leases_given[taker] = Lease(nonce)
        loan.nonce = nonce
        if amount:
            loan.grants.append((amount, now + LEASE_TERM_MS * self.clock_drift_factor))
        return amount

    def _fair_amount(self, now: float, taker: tuple[int, int], requested: int) -> int:
        """What a taker gets: all that it wants where there is room for all who asked lately, else an even
        share, so that who comes fresh is not shut out by those who were first."""
        room, out = self.lendable(now), self.amount_lent(now, taker)
        for asker in [
            a
            for a, (_, at) in self.unmet_requests.items()
            if now - at >= UNMET_REQUEST_MEMORY_MS or a == taker[0]
        ]:
            del self.unmet_requests[asker]
        amount = min(requested, max(0, room - out))
        if self.unmet_requests:
            claims = {number for (number, _), loan in self.leases_given.items() if loan.amount_at(now)}
            share = room // len(claims | set(self.unmet_requests) | {taker[0]})
            amount = min(
                amount, max(share, room - out - sum(lack for lack, _ in self.unmet_requests.values()))
            )
        if amount < requested:
            self.unmet_requests[taker[0]] = (requested - amount, now)
        return amount

    def borrow(self, now: float, giver: int, amount: int, requested_at_ms: float, term_ms: float) -> bool:
        """Hold what another lends until ``term`` after the ask was sent: earlier than the giver counts. Is it
        more than before?"""
        loan = self.leases_taken.setdefault(giver, Lease())
        before = loan.amount_at(now)
        loan.requested_at_ms = max(loan.requested_at_ms, requested_at_ms)
        loan.grants.append((amount, requested_at_ms + term_ms))
        return loan.amount_at(now) > before

    def drop_expired(self, now: float) -> None:
        """Forget what has ended."""
        self.leases_taken = {
            giver: loan for giver, loan in self.leases_taken.items() if loan.drop_expired(now)
        }
        self.leases_given = {
            taker: loan for taker, loan in self.leases_given.items() if loan.drop_expired(now)
        }

    def can_be_removed(self, now: float) -> bool:
        """May it be forgotten? Not while something of it is lent: it may be opened again."""
        return self.has_ended(now) and not self.leases_given


class CountPool(QuotaPool):
    """A count: what is used or given is gone. ``free`` of what it has is written off on the disk already, so
    that a later life will not use it again; without a disk all is free."""

    is_consumable = True

    def __init__(self, name: str, key: int, me: int, count: int, is_durable: bool) -> None:
        super().__init__(name, key, me, count)
        self.is_durable = is_durable
        self.balance = self.free = self.used = self.highest_total = 0
        self.is_lost = False  # an earlier life may have used or given its own part
        self.awaiting_write_off = 0  # asked for and not yet free
        self.last_taker: int | None = None  # whom it gave to last

    def initialize(self, total: int, *, is_lost: bool, persisted: CountBalance | None) -> None:
        """First sight of the pool in this life, and what the disk says of it."""
        if persisted is None:
            self.is_lost = is_lost
            self.total = self.highest_total = total
            self.balance = 0 if is_lost else self.own_allotment()
        else:
            _, self.balance, self.total, self.highest_total, self.is_lost = persisted
            self.change_total(total)
        self._update_free()

    def balance_to_persist(self, write_off: int) -> CountBalance:
        """What the disk is to say once ``more`` is written off."""
        return self.key, self.balance - self.free - write_off, self.total, self.highest_total, self.is_lost

    def change_total(self, total: int) -> None:
        """A new total. More than ever before: its part of the increase comes in. Less: this router gives up
        the *whole* difference, so far as it has it: a single one that had so much makes up for all, and where
        none had, none has anything left (design page)."""
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

    def shortfall(self, now: float) -> int:
        """What only others could give: not what waits for the disk."""
        return max(0, self.demand - self.balance)

    def available(self, now: float) -> int:
        """What is free to be used."""
        return 0 if self.has_ended(now) else self.free

    def can_be_removed(self, now: float) -> bool:
        """May it be forgotten? Not soon: were its end moved after it, its part would come anew."""
        return self.ends_at_ms is not None and now >= self.ends_at_ms + COUNT_RETENTION_MS

    def consume(self, now: float, amount: int) -> bool:
        """Use so much, if it is free."""
        if amount > self.available(now):
            self.awaiting_write_off = max(self.awaiting_write_off, amount)
            return False
        self._deduct(amount)
        self.used += amount
        self.demand = max(0, self.demand - amount)
        return True

    def give(self, now: float, taker: int, requested: int) -> int:
        """Lower this router's own by what it does not want itself, up to ``wanted``; how much that is."""
        amount = min(requested, max(0, self.available(now) - self.demand))
        if amount < requested:
            self.awaiting_write_off = max(self.awaiting_write_off, self.demand + requested)
        if amount:
            self._deduct(amount)
            self.last_taker = taker
        return amount

    def is_waiting_for_disk(self) -> bool:
        """Is there something that only the disk holds back?"""
        return self.balance - self.demand > 0 and self.free < self.balance

    def _deduct(self, amount: int) -> None:
        self.balance -= amount
        self.free -= amount

    def receive(self, amount: int) -> None:
        """Have what another gave; the caller sees to it that each grant is taken once."""
        self.balance += amount
        self._update_free()

    def amount_to_write_off(self) -> int:
        """How much more is to be written off."""
        asked = max(self.demand, self.awaiting_write_off)
        chunk = max(1, self.own_allotment() // WRITE_OFF_DIVISOR)
        return max(0, min(self.balance, math.ceil(asked / chunk) * chunk) - self.free)
