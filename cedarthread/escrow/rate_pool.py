"""Rate pools: limits on the units in use at one time, which routers lease to each other for a fixed term.

Source: Gray and Cheriton: "Leases", 1989. The borrower counts the term from when it sent the request. The
lender counts from when it granted the lease, and extends the term by the possible clock drift. So the
borrower has always stopped using a unit before the lender uses that unit again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from cedarthread.escrow.codec import NONCE_MODULUS
from cedarthread.escrow.quota_pool import QuotaPool

LEASE_TERM_MS = 4000.0  # term of each lease; the requester rejects a response with a longer term
UNMET_REQUEST_EXPIRY_MS = 1000.0  # how long an unmet request limits the amounts that other borrowers get
# A sixteenth of the allotment, rounded down, is not lent; it is reserved for the router's own next calls.
RESERVE_DIVISOR = 16


class Borrower(NamedTuple):
    """An incarnation of a peer that borrows units."""

    peer: int
    incarnation: int


class LeaseGrant(NamedTuple):
    """An amount of units and when its lease ends."""

    amount: int
    ends_at_ms: float


class UnmetRequest(NamedTuple):
    """The units that a peer requested but was not granted, and when the peer requested them."""

    units: int
    requested_at_ms: float


@dataclass(slots=True)
class Lease:
    """The lease between a lender and one incarnation of a borrower; each side has its own copy.

    The leased amount is that of the greatest grant that has not ended. The result is therefore independent
    of the order in which grants arrive, and a lost grant only leaves the borrower with less.
    """

    nonce: int = 0  # lender's copy: nonce of the latest request; an older one is late or duplicated
    requested_at_ms: float = -math.inf  # borrower's copy: time at which the latest answered request was sent
    grants: list[LeaseGrant] = field(default_factory=list)

    def amount_at(self, now_ms: float) -> int:
        """Return the units leased now."""
        return max((amount for amount, ends_at_ms in self.grants if ends_at_ms > now_ms), default=0)

    def drop_expired(self, now_ms: float) -> bool:
        """Remove grants that have ended; return whether any grant remains."""
        self.grants = [grant for grant in self.grants if grant.ends_at_ms > now_ms]
        return bool(self.grants)


class RatePool(QuotaPool):
    """The account that one router has of a pool that limits the units in use at one time.

    Args:
        name: The pool's name.
        key: The hash of the name.
        router_index: Index of this router.
        router_count: Number of configured routers.
        clock_drift_factor: Ratio of the lender's term to the borrower's term.
        ready_at_ms: Until this time, leases granted by an earlier incarnation of this router may still be
            in use, so this router's own rate is 0.
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
        self.leases_taken: dict[int, Lease] = {}  # leases from peers, by peer
        self.unmet_requests: dict[int, UnmetRequest] = {}  # latest unmet request of each peer

    def own_rate(self, now_ms: float) -> int:
        """Return this router's own units, including those that are leased to peers."""
        return self.own_allotment() if now_ms >= self.ready_at_ms else 0

    def amount_leased_to_peers(self, now_ms: float, except_borrower: Borrower | None = None) -> int:
        """Return the units leased to peers, excluding one borrower if given."""
        return sum(
            lease.amount_at(now_ms)
            for borrower, lease in self.leases_given.items()
            if borrower != except_borrower
        )

    def amount_borrowed(self, now_ms: float) -> int:
        """Return the units leased from peers."""
        return sum(lease.amount_at(now_ms) for lease in self.leases_taken.values())

    def amount_borrowed_from(self, lender: int, now_ms: float) -> int:
        """Return the units leased from one peer."""
        lease = self.leases_taken.get(lender)
        return 0 if lease is None else lease.amount_at(now_ms)

    def available(self, now_ms: float) -> int:
        """Return the own units that are not leased to peers, plus the units leased from peers.

        Leases are evaluated at ``now_ms`` rather than at the last tick, so that a router resuming from a
        pause does not use leases that ended during the pause.
        """
        if self.has_ended(now_ms):
            return 0
        return min(
            self.total,
            max(0, self.own_rate(now_ms) - self.amount_leased_to_peers(now_ms))
            + self.amount_borrowed(now_ms),
        )

    def lendable(self, now_ms: float) -> int:
        """Return the most units that this router may lease out in total.

        These are the own units beyond the greater of this router's demand and its reserve.
        """
        return max(0, self.own_rate(now_ms) - max(self.demand, self.own_allotment() // RESERVE_DIVISOR))

    def lend(self, now_ms: float, borrower: Borrower, nonce: int, requested: int) -> int | None:
        """Lease up to ``requested`` units in total to a borrower, and return the number of units leased.

        Return None if the nonce is no newer than that of a request already answered: the datagram is late or
        duplicated.
        """
        lease = self.leases_given.get(borrower)
        # Nonces wrap: a nonce is newer if it is ahead by less than half of their range.
        if lease is not None and not 0 < (nonce - lease.nonce) % NONCE_MODULUS < NONCE_MODULUS // 2:
            return None
        amount = self._fair_amount(now_ms, borrower, requested)
        if lease is None:
            if not amount:
                return 0
            lease = Lease(nonce)
            self.leases_given[borrower] = lease
        lease.nonce = nonce
        if amount:
            lease.grants.append(LeaseGrant(amount, now_ms + LEASE_TERM_MS * self.clock_drift_factor))
        return amount

    def _fair_amount(self, now_ms: float, borrower: Borrower, requested: int) -> int:
        """Return the units to lease to a borrower.

        If recent requests of other peers are unmet, the amount is limited to the units that remain after
        these requests or, if greater, to an even share of the lendable units among all who want some. So the
        first borrowers cannot starve a new one.
        """
        lendable = self.lendable(now_ms)
        leased_to_others = self.amount_leased_to_peers(now_ms, borrower)
        for peer, unmet in list(self.unmet_requests.items()):
            if now_ms - unmet.requested_at_ms >= UNMET_REQUEST_EXPIRY_MS or peer == borrower.peer:
                del self.unmet_requests[peer]
        amount = min(requested, max(0, lendable - leased_to_others))
        if self.unmet_requests:
            claimants = {other.peer for other, lease in self.leases_given.items() if lease.amount_at(now_ms)}
            share = lendable // len(claimants | set(self.unmet_requests) | {borrower.peer})
            unmet_units = sum(unmet.units for unmet in self.unmet_requests.values())
            amount = min(amount, max(share, lendable - leased_to_others - unmet_units))
        if amount < requested:
            self.unmet_requests[borrower.peer] = UnmetRequest(requested - amount, now_ms)
        return amount

    def borrow(self, now_ms: float, lender: int, amount: int, requested_at_ms: float, term_ms: float) -> bool:
        """Record a grant from a peer that ends ``term_ms`` after the request was sent.

        Return whether the grant increased the units leased from this peer.
        """
        lease = self.leases_taken.setdefault(lender, Lease())
        amount_before = lease.amount_at(now_ms)
        lease.requested_at_ms = max(lease.requested_at_ms, requested_at_ms)
        lease.grants.append(LeaseGrant(amount, requested_at_ms + term_ms))
        return lease.amount_at(now_ms) > amount_before

    def drop_expired(self, now_ms: float) -> None:
        """Remove leases that have ended."""
        self.leases_taken = {
            lender: lease for lender, lease in self.leases_taken.items() if lease.drop_expired(now_ms)
        }
        self.leases_given = {
            borrower: lease for borrower, lease in self.leases_given.items() if lease.drop_expired(now_ms)
        }

    def can_be_removed(self, now_ms: float) -> bool:
        """Return whether the pool has ended and no units are leased to peers.

        Leases outlive the pool's end, and the pool may be opened again while they last.
        """
        return self.has_ended(now_ms) and not self.leases_given
