"""The requesting side: whom to ask for units, when, and what their responses bring.

A response counts only for a request of this incarnation that is outstanding, and once: a duplicated, late or
forged one adds nothing. What is lost on the way is missing until it comes back (a rate) or for good (a
count).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.escrow.codec import MAX_AMOUNT, EscrowRequest, EscrowResponse, encode
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
MAX_ATTEMPTS = 4  # of a request for a count, whose response may carry units that would be lost for good
LATE_RESPONSE_LIMIT_MS = 30_000.0  # how long a response to a request for a count is still accepted
RENEW_AFTER_FRACTION = 0.6  # of the term, after which a lease is asked for again
NONCE_MODULUS = 2**32


@dataclass(slots=True)
class OutstandingRequest:
    """A request that may still be answered. Its lease counts from ``sent_at_ms``, when it was first sent."""

    pool: QuotaPool
    peer: int
    requested: int
    sent_at_ms: float
    timeout_at_ms: float  # until then a response is waited for
    attempts: int = 1
    was_denied: bool = False  # does not end a request for a count: an earlier attempt may have been granted


class EscrowRequester:
    """Requests units from peers. ``counters`` are shared with the escrow, for ``INFO``."""

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
        self.router_index, self.router_count, self.incarnation = router_index, router_count, incarnation
        self.rng, self.counters = rng, counters
        self.alive_peers: Sequence[int] = tuple(
            router for router in range(router_count) if router != router_index
        )
        self.outstanding: dict[int, OutstandingRequest] = {}  # by nonce
        self.last_nonce = rng.randrange(NONCE_MODULUS)
        self.planner = RoundPlanner(rng)
        self.request_budget = TokenBucket(REQUESTS_PER_SECOND, REQUEST_BURST, REQUEST_BURST, now_ms)

    def set_alive(self, peers: Sequence[int]) -> None:
        """Only these peers are asked from now on."""
        self.alive_peers = tuple(
            peer for peer in peers if peer != self.router_index and 0 <= peer < self.router_count
        )

    def on_response(self, now_ms: float, sender: int, pool: QuotaPool, response: EscrowResponse) -> None:
        """Take a response if its request is outstanding."""
        request = self.outstanding.get(response.nonce)
        if request is None or not self._is_answered_by(request, sender, pool, response):
            self.counters["late"] += 1
            return
        if not _is_consistent(request, response):
            self.counters["lies"] += 1
            return
        self._note_availability(now_ms, sender, pool, response)
        if pool.is_consumable and not response.amount:
            request.was_denied, request.timeout_at_ms = True, now_ms
            return  # the grant to an earlier attempt may still be on its way
        del self.outstanding[response.nonce]
        has_gained = self._take_units(now_ms, request, response)
        pool.rounds.has_gained |= has_gained
        self.counters["taken"] += has_gained

    def _is_answered_by(
        self, request: OutstandingRequest, sender: int, pool: QuotaPool, response: EscrowResponse
    ) -> bool:
        is_own = response.requester_incarnation == self.incarnation
        return is_own and request.peer == sender and request.pool is pool

    def _take_units(self, now_ms: float, request: OutstandingRequest, response: EscrowResponse) -> bool:
        """Add what a response grants to the pool; whether there is more than before."""
        pool = request.pool
        if isinstance(pool, RatePool):
            return pool.borrow(now_ms, request.peer, response.amount, request.sent_at_ms, response.term_ms)
        if isinstance(pool, CountPool) and response.total <= pool.total:
            pool.receive(response.amount)
            return True
        return False  # a greater total: granted before this router learnt that the total was lowered

    def _note_availability(
        self, now_ms: float, sender: int, pool: QuotaPool, response: EscrowResponse
    ) -> None:
        pool.peer_available[sender] = PeerAvailability(response.available, now_ms)
        hinted_peer = response.hinted_peer
        if 0 <= hinted_peer < self.router_count and hinted_peer != self.router_index:
            known = pool.peer_available.get(hinted_peer, NEVER_SEEN)
            if known.units or now_ms - known.seen_at_ms > 2 * RESPONSE_TIMEOUT_MS:
                pool.peer_available[hinted_peer] = PeerAvailability(max(1, known.units), now_ms)

    def expire(self, now_ms: float) -> None:
        """Forget requests whose response would not be accepted any more."""
        for nonce, request in list(self.outstanding.items()):
            limit_ms = LATE_RESPONSE_LIMIT_MS if request.pool.is_consumable else LEASE_TERM_MS
            if now_ms - request.sent_at_ms >= limit_ms:
                del self.outstanding[nonce]

    def retry(self, now_ms: float) -> list[SendToPeer]:
        """Ask the same peers again for what may have been granted and lost.

        A count under the same nonce, so that it is granted once; a rate once, under a new nonce, because a
        new lease replaces the old.
        """
        messages: list[SendToPeer] = []
        for nonce, request in list(self.outstanding.items()):
            pool = request.pool
            if request.was_denied or now_ms < request.timeout_at_ms or request.attempts >= MAX_ATTEMPTS:
                continue
            if isinstance(pool, RatePool):
                if request.peer not in pool.leases_taken and pool.shortfall(now_ms):
                    messages += self._send(now_ms, pool, request.peer, request.requested, MAX_ATTEMPTS)
                request.attempts = MAX_ATTEMPTS
            elif self.request_budget.take(now_ms):
                request.attempts += 1
                backoff_ms = RESPONSE_TIMEOUT_MS * 2.0**request.attempts
                request.timeout_at_ms = now_ms + backoff_ms * self.rng.uniform(*RETRY_JITTER)
                messages.append(self._message(pool, request.peer, nonce, request.requested))
        return messages

    def request_units(self, now_ms: float, pool: QuotaPool) -> list[SendToPeer]:
        """Renew leases of a pool and start a round of requests, as far as units are wanted."""
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
        return [self._message(pool, peer, self.last_nonce, requested)]

    def _message(self, pool: QuotaPool, peer: int, nonce: int, requested: int) -> SendToPeer:
        return SendToPeer(encode(EscrowRequest(pool.key, self.incarnation, nonce, requested)), peer)

    def _expected_peers(self, now_ms: float, pool: QuotaPool) -> set[int]:
        """Peers that were asked and still have time to respond."""
        return {
            request.peer
            for request in self.outstanding.values()
            if request.pool is pool
            and request.timeout_at_ms > now_ms
            and (request.attempts == 1 or not pool.is_consumable)
        }

    def _renew_leases(self, now_ms: float, pool: RatePool) -> list[SendToPeer]:
        """Ask givers to go on lending as far as it is still wanted, the greatest lease first."""
        messages: list[SendToPeer] = []
        needed = pool.demand - max(0, pool.own_rate(now_ms) - pool.amount_loaned(now_ms))
        awaited = self._expected_peers(now_ms, pool)
        leases = sorted(
            ((lease.amount_at(now_ms), giver) for giver, lease in pool.leases_taken.items()), reverse=True
        )
        for amount, giver in leases:
            if needed <= 0:
                break
            age_ms = now_ms - pool.leases_taken[giver].requested_at_ms
            if amount and age_ms >= RENEW_AFTER_FRACTION * LEASE_TERM_MS and giver not in awaited:
                messages += self._send(now_ms, pool, giver, min(needed, amount))
            needed -= amount
        return messages

    def _start_round(self, now_ms: float, pool: QuotaPool) -> list[SendToPeer]:
        """Ask some peers for the shortfall, if a round may start."""
        shortfall = pool.shortfall(now_ms)
        if shortfall <= 0:
            return []
        peers = self.planner.next_round(now_ms, pool, self.alive_peers, self._expected_peers(now_ms, pool))
        if peers is None:
            return []
        messages: list[SendToPeer] = []
        for peer in peers:
            borrowed = pool.amount_borrowed_from(peer, now_ms) if isinstance(pool, RatePool) else 0
            messages += self._send(now_ms, pool, peer, math.ceil(shortfall / len(peers)) + borrowed)
        pool.rounds.is_open = bool(messages)
        return messages


def _is_consistent(request: OutstandingRequest, response: EscrowResponse) -> bool:
    """Whether a response grants no more than requested, for a term that fits the kind of pool."""
    has_term = bool(response.term_ms)
    return (
        response.amount <= request.requested
        and response.term_ms <= LEASE_TERM_MS
        and has_term is not request.pool.is_consumable
    )
