"""The requesting side of escrow: sends requests for units to peers, and adds the granted units to the pools.

A response is accepted only once, and only for an outstanding request of this incarnation. A duplicated,
late or forged response adds no units. If a grant is lost in transit, its units are unavailable until their
lease ends (rate pools) or permanently (count pools).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.escrow.codec import MAX_AMOUNT, NONCE_MODULUS, EscrowRequest, EscrowResponse, encode
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.quota_pool import NEVER_SEEN, PeerAvailability, QuotaPool
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RatePool
from cedarthread.escrow.request_rounds import RESPONSE_TIMEOUT_MS, RETRY_JITTER, RoundPlanner
from cedarthread.model.actions import SendToPeer
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

REQUESTS_PER_SECOND = 40.0
REQUEST_BURST = 20.0
# Maximum attempts of a request for a count, because a lost response would lose its units permanently.
MAX_ATTEMPTS = 4
LATE_RESPONSE_LIMIT_MS = 30_000.0  # age of a request for a count beyond which its response is rejected
RENEW_AFTER_FRACTION = 0.6  # fraction of its term after which a lease is renewed


@dataclass(slots=True)
class OutstandingRequest:
    """A request to one peer whose response is still accepted."""

    pool: QuotaPool
    peer: int
    requested: int
    sent_at_ms: float  # time of the first attempt; the term of a granted lease starts here
    timeout_at_ms: float  # time until which the response is pending; after it the request may be retried
    attempts: int = 1
    was_denied: bool = False  # a denied request for a count stays open: an earlier grant may arrive


class EscrowRequester:
    """The requests of one router: those that are outstanding, and the schedule of further ones.

    Args:
        router_index: Index of this router.
        router_count: Number of configured routers.
        incarnation: Random number drawn at this start of the router; responses to other incarnations are
            dropped.
        rng: Random source for nonces, jitter and the choice of peers.
        counters: Counters for ``INFO``, owned by ``Escrow`` and shared with this object.
        now_ms: Current time, in ms on this router's monotonic clock.
    """

    def __init__(
        self,
        router_index: int,
        router_count: int,
        incarnation: int,
        *,
        rng: random.Random,
        counters: dict[str, int],
        now_ms: float,
    ) -> None:
        self.router_index = router_index
        self.router_count = router_count
        self.incarnation = incarnation
        self.rng = rng
        self.counters = counters
        self.alive_peers: Sequence[int] = tuple(
            router for router in range(router_count) if router != router_index
        )
        self.outstanding: dict[int, OutstandingRequest] = {}  # outstanding requests by nonce
        self.last_nonce = rng.randrange(NONCE_MODULUS)
        self.planner = RoundPlanner(rng)
        self.request_budget = TokenBucket(REQUESTS_PER_SECOND, REQUEST_BURST, REQUEST_BURST, now_ms)

    def set_alive(self, peers: Sequence[int]) -> None:
        """Restrict future requests to these peers."""
        self.alive_peers = tuple(
            peer for peer in peers if peer != self.router_index and 0 <= peer < self.router_count
        )

    def on_response(self, now_ms: float, sender: int, pool: QuotaPool, response: EscrowResponse) -> None:
        """Add the units of a response if its request is outstanding; otherwise count the response as late."""
        request = self.outstanding.get(response.nonce)
        if request is None or not self._is_response_to(request, sender, pool, response):
            self.counters["late"] += 1
            return
        if not _is_consistent(request, response):
            self.counters["lies"] += 1
            return
        self._record_availability(now_ms, sender, pool, response)
        if pool.is_consumable and not response.amount:
            request.was_denied = True
            request.timeout_at_ms = now_ms
            return  # not closed, because the grant of an earlier attempt may still arrive
        del self.outstanding[response.nonce]
        has_gained = self._add_units(now_ms, request, response)
        pool.rounds.has_gained |= has_gained
        self.counters["taken"] += has_gained

    def _is_response_to(
        self, request: OutstandingRequest, sender: int, pool: QuotaPool, response: EscrowResponse
    ) -> bool:
        is_own = response.requester_incarnation == self.incarnation
        return is_own and request.peer == sender and request.pool is pool

    def _add_units(self, now_ms: float, request: OutstandingRequest, response: EscrowResponse) -> bool:
        """Add the granted units to the pool; return whether the pool gained units."""
        pool = request.pool
        if isinstance(pool, RatePool):
            return pool.borrow(now_ms, request.peer, response.amount, request.sent_at_ms, response.term_ms)
        if isinstance(pool, CountPool) and response.total <= pool.total:
            pool.receive(response.amount)
            return True
        return False  # the peer knows a greater total: it granted these units before the total was lowered

    def _record_availability(
        self, now_ms: float, sender: int, pool: QuotaPool, response: EscrowResponse
    ) -> None:
        """Record the units that the sender reports, and the peer that it hints at.

        A hint does not override recent information that the hinted peer has no units.
        """
        pool.peer_available[sender] = PeerAvailability(response.available, now_ms)
        hinted_peer = response.hinted_peer
        if 0 <= hinted_peer < self.router_count and hinted_peer != self.router_index:
            known = pool.peer_available.get(hinted_peer, NEVER_SEEN)
            if known.units or now_ms - known.seen_at_ms > 2 * RESPONSE_TIMEOUT_MS:
                pool.peer_available[hinted_peer] = PeerAvailability(max(1, known.units), now_ms)

    def expire(self, now_ms: float) -> None:
        """Remove requests that are too old for their responses to be accepted."""
        for nonce, request in list(self.outstanding.items()):
            limit_ms = LATE_RESPONSE_LIMIT_MS if request.pool.is_consumable else LEASE_TERM_MS
            if now_ms - request.sent_at_ms >= limit_ms:
                del self.outstanding[nonce]

    def retry(self, now_ms: float) -> list[SendToPeer]:
        """Return retries of the requests that timed out, because their grants may have been lost.

        A request for a count is retried under the same nonce, so that the peer repeats its grant rather
        than granting twice. A request for a rate is retried once, under a new nonce, because a new lease
        replaces the earlier one.
        """
        messages: list[SendToPeer] = []
        for nonce, request in list(self.outstanding.items()):
            pool = request.pool
            if request.was_denied or now_ms < request.timeout_at_ms or request.attempts >= MAX_ATTEMPTS:
                continue
            if isinstance(pool, RatePool):
                if request.peer not in pool.leases_taken and pool.shortfall(now_ms):
                    messages += self._send(now_ms, pool, request.peer, request.requested, MAX_ATTEMPTS)
                request.attempts = MAX_ATTEMPTS  # no further retry
            elif self.request_budget.take(now_ms):
                request.attempts += 1
                backoff_ms = RESPONSE_TIMEOUT_MS * 2.0**request.attempts
                request.timeout_at_ms = now_ms + backoff_ms * self.rng.uniform(*RETRY_JITTER)
                messages.append(self._build_datagram(pool, request.peer, nonce, request.requested))
        return messages

    def request_units(self, now_ms: float, pool: QuotaPool) -> list[SendToPeer]:
        """Return the requests that renew leases of a pool and cover its shortfall."""
        messages = self._renew_leases(now_ms, pool) if isinstance(pool, RatePool) else []
        return messages + self._start_round(now_ms, pool)

    def _send(
        self, now_ms: float, pool: QuotaPool, peer: int, requested: int, attempts: int = 1
    ) -> list[SendToPeer]:
        if not self.request_budget.take(now_ms):
            return []
        self.last_nonce = (self.last_nonce + 1) % NONCE_MODULUS
        requested = min(requested, MAX_AMOUNT)
        self.outstanding[self.last_nonce] = OutstandingRequest(
            pool,
            peer,
            requested,
            sent_at_ms=now_ms,
            timeout_at_ms=now_ms + RESPONSE_TIMEOUT_MS,
            attempts=attempts,
        )
        return [self._build_datagram(pool, peer, self.last_nonce, requested)]

    def _build_datagram(self, pool: QuotaPool, peer: int, nonce: int, requested: int) -> SendToPeer:
        return SendToPeer(encode(EscrowRequest(pool.key, self.incarnation, nonce, requested)), peer)

    def _pending_peers(self, now_ms: float, pool: QuotaPool) -> set[int]:
        """Return the peers with a pending request for this pool that has not timed out."""
        return {
            request.peer
            for request in self.outstanding.values()
            if request.pool is pool
            and request.timeout_at_ms > now_ms
            and (request.attempts == 1 or not pool.is_consumable)
        }

    def _renew_leases(self, now_ms: float, pool: RatePool) -> list[SendToPeer]:
        """Return requests that renew leases, the greatest first, until the demand is covered."""
        messages: list[SendToPeer] = []
        needed = pool.demand - max(0, pool.own_rate(now_ms) - pool.amount_leased_to_peers(now_ms))
        pending_peers = self._pending_peers(now_ms, pool)
        leases = sorted(
            ((lease.amount_at(now_ms), lender) for lender, lease in pool.leases_taken.items()), reverse=True
        )
        for amount, lender in leases:
            if needed <= 0:
                break
            age_ms = now_ms - pool.leases_taken[lender].requested_at_ms
            if amount and age_ms >= RENEW_AFTER_FRACTION * LEASE_TERM_MS and lender not in pending_peers:
                messages += self._send(now_ms, pool, lender, min(needed, amount))
            needed -= amount
        return messages

    def _start_round(self, now_ms: float, pool: QuotaPool) -> list[SendToPeer]:
        """Return the requests of a new round for the shortfall; none if no round may start."""
        shortfall = pool.shortfall(now_ms)
        if shortfall <= 0:
            return []
        peers = self.planner.next_round(now_ms, pool, self.alive_peers, self._pending_peers(now_ms, pool))
        if peers is None:
            return []
        messages: list[SendToPeer] = []
        for peer in peers:
            borrowed = pool.amount_borrowed_from(peer, now_ms) if isinstance(pool, RatePool) else 0
            messages += self._send(now_ms, pool, peer, math.ceil(shortfall / len(peers)) + borrowed)
        pool.rounds.is_open = bool(messages)
        return messages


def _is_consistent(request: OutstandingRequest, response: EscrowResponse) -> bool:
    """Return whether a response grants no more than requested, for a term that fits the kind of pool."""
    has_term = bool(response.term_ms)
    return (
        response.amount <= request.requested
        and response.term_ms <= LEASE_TERM_MS
        and has_term is not request.pool.is_consumable
    )
