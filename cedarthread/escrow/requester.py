"""The requesting side: whom to ask for units, when, and what their responses bring.

A response counts only for a request of this incarnation that is outstanding, and once: a duplicated, late or
forged one adds nothing. What is lost on the way is missing until it comes back (a rate) or for good (a
count).
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from cedarthread.escrow.codec import MAX_AMOUNT, EscrowRequest, EscrowResponse, encode
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.quota_pool import NEVER_SEEN, PeerAvailability, QuotaPool
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RatePool
from cedarthread.model.actions import SendToPeer
from cedarthread.statistics import TokenBucket

REQUESTS_PER_SECOND = 40.0
REQUEST_BURST = 20.0
MAX_PARALLEL_REQUESTS = (
    8  # peers that are asked at once for one rate; halved with each failed round, three times
)
RESPONSE_TIMEOUT_MS = 500.0
RETRY_JITTER = 0.5, 1.0  # factors on waits
MAX_ATTEMPTS = 4  # of a request for a count, whose response may carry units that would be lost for good
LATE_RESPONSE_LIMIT_MS = 30_000.0  # how long a response to a request for a count is still accepted
BACKOFF_BASE_MS = 250.0  # after a round that brought nothing; doubled with each further one
RATE_BACKOFF_MAX_MS = 2000.0
COUNT_BACKOFF_MAX_MS = 4000.0
MAX_FAILED_ROUNDS = 16  # that are counted
MAX_FAILED_ROUNDS_WHEN_WOKEN = 3  # that still count after growing demand cut a backoff short
WAKE_INTERVAL_MS = 5000.0  # at least, between two wakings: fluctuating demand must not cancel every backoff
MAX_HINTS_FOLLOWED = 2  # rounds in a row that start at once on a hint
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
        rng: random.Random,
        counters: dict[str, int],
        now: float,
    ) -> None:
        self.router_index, self.router_count, self.incarnation = router_index, router_count, incarnation
        self.rng, self.counters = rng, counters
        self.alive_peers: Sequence[int] = tuple(
            router for router in range(router_count) if router != router_index
        )
        self.outstanding: dict[int, OutstandingRequest] = {}  # by nonce
        self.last_nonce = rng.randrange(NONCE_MODULUS)
        self.request_budget = TokenBucket(REQUESTS_PER_SECOND, REQUEST_BURST, REQUEST_BURST, now)

    def set_alive(self, peers: Sequence[int]) -> None:
        """Only these peers are asked from now on."""
        self.alive_peers = tuple(
            peer for peer in peers if peer != self.router_index and 0 <= peer < self.router_count
        )

    def set_demand(self, now: float, pool: QuotaPool, amount: int) -> None:
        """What this router could use of a pool; growing demand may cut a backoff short."""
        rounds = pool.rounds
        if amount > pool.demand and now - rounds.woken_at_ms >= WAKE_INTERVAL_MS:
            rounds.woken_at_ms = now
            rounds.next_at_ms = min(rounds.next_at_ms, now + BACKOFF_BASE_MS)
            rounds.failed = min(rounds.failed, MAX_FAILED_ROUNDS_WHEN_WOKEN)
        pool.demand = max(0, amount)

    # Responses.

    def on_response(self, now: float, sender: int, pool: QuotaPool, response: EscrowResponse) -> None:
        """Take a response if its request is outstanding."""
        request = self.outstanding.get(response.nonce)
        if request is None or not self._is_answered_by(request, sender, pool, response):
            self.counters["late"] += 1
            return
        if (
            response.amount > request.requested
            or response.term_ms > LEASE_TERM_MS
            or bool(response.term_ms) is pool.is_consumable
        ):
            self.counters["lies"] += 1
            return
        self._note_availability(now, sender, pool, response)
        if isinstance(pool, CountPool) and not response.amount:
            request.was_denied, request.timeout_at_ms = True, now
            return  # the grant to an earlier attempt may still be on its way
        del self.outstanding[response.nonce]
        has_gained = False
        if isinstance(pool, RatePool):
            has_gained = pool.borrow(now, sender, response.amount, request.sent_at_ms, response.term_ms)
        elif isinstance(pool, CountPool) and response.total <= pool.total:
            # A greater total would be from before this router learnt that it was lowered.
            pool.receive(response.amount)
            has_gained = True
        pool.rounds.has_gained |= has_gained
        self.counters["taken"] += has_gained

    def _is_answered_by(
        self, request: OutstandingRequest, sender: int, pool: QuotaPool, response: EscrowResponse
    ) -> bool:
        is_own = response.requester_incarnation == self.incarnation
        return is_own and request.peer == sender and request.pool is pool

    def _note_availability(self, now: float, sender: int, pool: QuotaPool, response: EscrowResponse) -> None:
        pool.peer_available[sender] = PeerAvailability(response.available, now)
        hinted_peer = response.hinted_peer
        if 0 <= hinted_peer < self.router_count and hinted_peer != self.router_index:
            known = pool.peer_available.get(hinted_peer, NEVER_SEEN)
            if known.units or now - known.seen_at_ms > 2 * RESPONSE_TIMEOUT_MS:
                pool.peer_available[hinted_peer] = PeerAvailability(max(1, known.units), now)

    # Requests.

    def expire(self, now: float) -> None:
        """Forget requests whose response would not be accepted any more."""
        for nonce, request in list(self.outstanding.items()):
            limit_ms = LATE_RESPONSE_LIMIT_MS if request.pool.is_consumable else LEASE_TERM_MS
            if now - request.sent_at_ms >= limit_ms:
                del self.outstanding[nonce]

    def retry(self, now: float) -> list[SendToPeer]:
        """Ask the same peers again for what may have been granted and lost.

        A count under the same nonce, so that it is granted once; a rate once, under a new nonce, because a
        new lease replaces the old."""
        messages: list[SendToPeer] = []
        for nonce, request in list(self.outstanding.items()):
            pool = request.pool
            if request.was_denied or now < request.timeout_at_ms or request.attempts >= MAX_ATTEMPTS:
                continue
            if isinstance(pool, RatePool):
                if request.peer not in pool.leases_taken and pool.shortfall(now):
                    messages += self._send(now, pool, request.peer, request.requested, MAX_ATTEMPTS)
                request.attempts = MAX_ATTEMPTS
            elif self.request_budget.take(now):
                request.attempts += 1
                backoff_ms = RESPONSE_TIMEOUT_MS * 2.0**request.attempts
                request.timeout_at_ms = now + backoff_ms * self.rng.uniform(*RETRY_JITTER)
                messages.append(self._message(pool, request.peer, nonce, request.requested))
        return messages

    def request_units(self, now: float, pool: QuotaPool) -> list[SendToPeer]:
        """Renew leases of a pool and start a round of requests, as far as units are wanted."""
        messages = self._renew_leases(now, pool) if isinstance(pool, RatePool) else []
        return messages + self._start_round(now, pool)

    def _send(
        self, now: float, pool: QuotaPool, peer: int, requested: int, attempts: int = 1
    ) -> list[SendToPeer]:
        if not self.request_budget.take(now):
            return []
        self.last_nonce = (self.last_nonce + 1) % NONCE_MODULUS
        requested = min(requested, MAX_AMOUNT)
        self.outstanding[self.last_nonce] = OutstandingRequest(
            pool, peer, requested, sent_at_ms=now, timeout_at_ms=now + RESPONSE_TIMEOUT_MS, attempts=attempts
        )
        return [self._message(pool, peer, self.last_nonce, requested)]

    def _message(self, pool: QuotaPool, peer: int, nonce: int, requested: int) -> SendToPeer:
        return SendToPeer(encode(EscrowRequest(pool.key, self.incarnation, nonce, requested)), peer)

    def _awaited_peers(self, now: float, pool: QuotaPool) -> set[int]:
        """Peers that were asked and still have time to respond."""
        return {
            request.peer
            for request in self.outstanding.values()
            if request.pool is pool
            and request.timeout_at_ms > now
            and (request.attempts == 1 or not pool.is_consumable)
        }

    def _renew_leases(self, now: float, pool: RatePool) -> list[SendToPeer]:
        """Ask givers to go on lending as far as it is still wanted, the greatest lease first."""
        messages: list[SendToPeer] = []
        needed = pool.demand - max(0, pool.own_rate(now) - pool.amount_lent(now))
        awaited = self._awaited_peers(now, pool)
        leases = sorted(
            ((lease.amount_at(now), giver) for giver, lease in pool.leases_taken.items()), reverse=True
        )
        for amount, giver in leases:
            if needed <= 0:
                break
            age_ms = now - pool.leases_taken[giver].requested_at_ms
            if amount and age_ms >= RENEW_AFTER_FRACTION * LEASE_TERM_MS and giver not in awaited:
                messages += self._send(now, pool, giver, min(needed, amount))
            needed -= amount
        return messages

    def _start_round(self, now: float, pool: QuotaPool) -> list[SendToPeer]:
        """Ask some peers for the shortfall.

        A round that brought nothing makes the next one later and smaller, with jitter: where everybody wants
        units that are not there, the requests die down."""
        rounds = pool.rounds
        shortfall = pool.shortfall(now)
        awaited = self._awaited_peers(now, pool)
        if (
            shortfall <= 0
            or now < rounds.next_at_ms
            or (awaited and not rounds.has_gained and rounds.is_open)
        ):
            return []
        if rounds.is_open and not self._finish_round(now, pool):
            return []
        peers = self._choose_peers(now, pool, self._round_size(pool, shortfall), awaited)
        messages: list[SendToPeer] = []
        for peer in peers:
            borrowed = pool.amount_borrowed_from(peer, now) if isinstance(pool, RatePool) else 0
            messages += self._send(now, pool, peer, math.ceil(shortfall / len(peers)) + borrowed)
        rounds.is_open = bool(messages)
        return messages

    def _round_size(self, pool: QuotaPool, shortfall: int) -> int:
        """How many peers to ask: one for a count; for a rate so many that each may give half an allotment."""
        if pool.is_consumable:
            return 1
        half_allotment = max(1, pool.own_allotment() // 2)
        limit = MAX_PARALLEL_REQUESTS >> min(pool.rounds.failed, 3)
        return min(limit, math.ceil(shortfall / half_allotment))

    def _finish_round(self, now: float, pool: QuotaPool) -> bool:
        """The last round is over; whether the next may start at once."""
        rounds = pool.rounds
        rounds.is_open = False
        if rounds.has_gained:
            rounds.has_gained, rounds.failed = False, 0
            return True
        has_recent_hint = any(
            units and now - seen_at_ms < RESPONSE_TIMEOUT_MS
            for units, seen_at_ms in pool.peer_available.values()
        )
        if rounds.hints_followed < MAX_HINTS_FOLLOWED and has_recent_hint:
            rounds.hints_followed += 1
            return True
        rounds.hints_followed, rounds.failed = 0, min(rounds.failed + 1, MAX_FAILED_ROUNDS)
        max_ms = COUNT_BACKOFF_MAX_MS if pool.is_consumable else RATE_BACKOFF_MAX_MS
        backoff_ms = min(BACKOFF_BASE_MS * 2.0**rounds.failed, max_ms)
        rounds.next_at_ms = now + backoff_ms * self.rng.uniform(*RETRY_JITTER)
        return False

    def _choose_peers(self, now: float, pool: QuotaPool, max_peers: int, awaited: set[int]) -> list[int]:
        """Peers to ask, best first: last known to have units; had units at the start; not known to have none.

        Only where there is no such peer, those that are known to have none."""
        with_units: list[int] = []
        with_allotment: list[int] = []
        unknown: list[int] = []
        without_units: list[int] = []
        for peer in self.alive_peers:
            known = pool.peer_available.get(peer, NEVER_SEEN)
            if peer in awaited:
                continue
            if now - known.seen_at_ms < LEASE_TERM_MS:
                (with_units if known.units else without_units).append(peer)
            else:
                has_allotment = pool.is_consumable and pool.place_by_router[peer] < pool.total
                (with_allotment if has_allotment else unknown).append(peer)
        chosen: list[int] = []
        for group in (with_units, with_allotment, unknown):
            chosen += self.rng.sample(group, min(max_peers - len(chosen), len(group)))
        if not chosen:
            chosen = self.rng.sample(without_units, min(max_peers, len(without_units)))
        return chosen
