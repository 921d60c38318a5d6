"""Rate pools: units that may be in use at the same time, lent between routers for a term.

A loan is a lease (Gray and Cheriton: "Leases", 1989). The taker counts its end from when it sent the request,
the giver from when it granted, and longer by the clocks' drift: they never use the same unit at the same
time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarthread.escrow.quota_pool import QuotaPool

LEASE_TERM_MS = 4000.0  # a rate is lent for this long; also the longest term that any grant may have
UNMET_REQUEST_MEMORY_MS = 1000.0  # how long a giver considers what a peer requested and did not get
RESERVE_DIVISOR = 16  # a router keeps one in so many units of its own rate for its next calls
NONCE_MODULUS = 2**32


class Borrower(NamedTuple):
    """One incarnation of a peer."""

    peer: int
    incarnation: int


class LeaseGrant(NamedTuple):
    """Units lent until a time."""

    amount: int
    ends_at_ms: float


class UnmetRequest(NamedTuple):
    """Units that a peer requested and did not get, and when."""

    units: int
    requested_at_ms: float


@dataclass(slots=True)
class Lease:
    """What one incarnation of a router may use of another's rate, as either of the two counts it.

    The greatest grant that has not ended counts, so it does not matter which of them arrived or in which
    order.
    """

    nonce: int = 0  # at the giver: of the latest request; an older one is a late or duplicated datagram
    requested_at_ms: float = -math.inf  # at the taker: when the last answered request was sent
    grants: list[LeaseGrant] = field(default_factory=list)

    def amount_at(self, now_ms: float) -> int:
        """Units lent now."""
        return max((amount for amount, ends_at_ms in self.grants if ends_at_ms > now_ms), default=0)

    def drop_expired(self, now_ms: float) -> bool:
        """Forget grants that have ended; whether any is left."""
        self.grants = [grant for grant in self.grants if grant.ends_at_ms > now_ms]
        return bool(self.grants)


class RatePool(QuotaPool):
    """A pool of units in use at the same time.

    ``clock_drift_factor``: how much longer the giver waits than the taker may use. Before ``ready_at_ms``
    loans of an earlier incarnation may be out, and this router's own rate is 0.
    """

    def __init__(
        self,
        name: str,
        key: int,
        router_index: int,
        router_count: int,
        *,
        clock_drift_factor: float,
        ready_at_ms: float,
    ) -> None:
        super().__init__(name, key, router_index, router_count)
        self.clock_drift_factor = clock_drift_factor
        self.ready_at_ms = ready_at_ms
        self.leases_given: dict[Borrower, Lease] = {}
        self.leases_taken: dict[int, Lease] = {}  # by peer
        self.unmet_requests: dict[int, UnmetRequest] = {}  # by peer

    def own_rate(self, now_ms: float) -> int:
        """This router's own units, lent or not."""
        return self.own_allotment() if now_ms >= self.ready_at_ms else 0

    def amount_loaned(self, now_ms: float, except_borrower: Borrower | None = None) -> int:
        """Units lent to others, leaving out one of them."""
        return sum(
            lease.amount_at(now_ms)
            for borrower, lease in self.leases_given.items()
            if borrower != except_borrower
        )

    def amount_borrowed(self, now_ms: float) -> int:
        """Units that others lend."""
        return sum(lease.amount_at(now_ms) for lease in self.leases_taken.values())

    def amount_borrowed_from(self, giver: int, now_ms: float) -> int:
        """Units that one peer lends."""
        lease = self.leases_taken.get(giver)
        return 0 if lease is None else lease.amount_at(now_ms)

    def available(self, now_ms: float) -> int:
        """Own units that are not lent, and units borrowed.

        Computed at this moment, so that a router that was paused uses nothing that ended meanwhile.
        """
        if self.has_ended(now_ms):
            return 0
        return min(
            self.total,
            max(0, self.own_rate(now_ms) - self.amount_loaned(now_ms)) + self.amount_borrowed(now_ms),
        )

    def lendable(self, now_ms: float) -> int:
        """Units that it may lend in all: those of its own rate beyond its demand and reserve."""
        return max(0, self.own_rate(now_ms) - max(self.demand, self.own_allotment() // RESERVE_DIVISOR))

    def lend(self, now_ms: float, borrower: Borrower, nonce: int, requested: int) -> int | None:
        """Lower this router's own rate by what a borrower gets, which may use it for the term from its
        request on.

        None: the request is no newer than one already answered.
        """
        lease = self.leases_given.get(borrower)
        if lease is not None and not 0 < (nonce - lease.nonce) % NONCE_MODULUS < NONCE_MODULUS // 2:
            return None
        amount = self._fair_amount(now_ms, borrower, requested)
        if lease is None:
            if not amount:
                return 0
            lease = self.leases_given[borrower] = Lease(nonce)
        lease.nonce = nonce
        if amount:
            lease.grants.append(LeaseGrant(amount, now_ms + LEASE_TERM_MS * self.clock_drift_factor))
        return amount

    def _fair_amount(self, now_ms: float, borrower: Borrower, requested: int) -> int:
        """All that a borrower requests if that leaves enough for the others that requested lately, else an
        even share.

        So a newcomer is not shut out by those who borrowed first.
        """
        lendable, loaned_to_others = self.lendable(now_ms), self.amount_loaned(now_ms, borrower)
        for peer, unmet in list(self.unmet_requests.items()):
            if now_ms - unmet.requested_at_ms >= UNMET_REQUEST_MEMORY_MS or peer == borrower.peer:
                del self.unmet_requests[peer]
        amount = min(requested, max(0, lendable - loaned_to_others))
        if self.unmet_requests:
            claimants = {other.peer for other, lease in self.leases_given.items() if lease.amount_at(now_ms)}
            share = lendable // len(claimants | set(self.unmet_requests) | {borrower.peer})
            unmet_units = sum(unmet.units for unmet in self.unmet_requests.values())
            amount = min(amount, max(share, lendable - loaned_to_others - unmet_units))
        if amount < requested:
            self.unmet_requests[borrower.peer] = UnmetRequest(requested - amount, now_ms)
        return amount

    def borrow(self, now_ms: float, giver: int, amount: int, requested_at_ms: float, term_ms: float) -> bool:
        """Use what a peer lends until a term after the request was sent; whether that is more than before."""
        lease = self.leases_taken.setdefault(giver, Lease())
        amount_before = lease.amount_at(now_ms)
        lease.requested_at_ms = max(lease.requested_at_ms, requested_at_ms)
        lease.grants.append(LeaseGrant(amount, requested_at_ms + term_ms))
        return lease.amount_at(now_ms) > amount_before

    def drop_expired(self, now_ms: float) -> None:
        """Forget leases that have ended."""
        self.leases_taken = {
            giver: lease for giver, lease in self.leases_taken.items() if lease.drop_expired(now_ms)
        }
        self.leases_given = {
            borrower: lease for borrower, lease in self.leases_given.items() if lease.drop_expired(now_ms)
        }

    def can_be_removed(self, now_ms: float) -> bool:
        """Not while units are lent: the pool may be opened again."""
        return self.has_ended(now_ms) and not self.leases_given
