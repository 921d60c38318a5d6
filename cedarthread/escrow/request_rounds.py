"""The schedule of request rounds: when a router requests units of a pool, and from which peers.

After a round that gained no units, the next round starts later, with jitter, and has fewer requests. So the
request rate falls when the whole fleet needs more units than exist. ``RoundPlanner`` and ``set_demand``
write each pool's ``RequestRounds``; ``EscrowRequester`` records the requests sent and the units gained.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.escrow.quota_pool import NEVER_SEEN, QuotaPool
from cedarthread.escrow.rate_pool import LEASE_TERM_MS

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

RESPONSE_TIMEOUT_MS = 500.0
RETRY_JITTER = (0.5, 1.0)  # range of the random factor on each backoff
MAX_PARALLEL_REQUESTS = 8  # requests in one round for a rate
MAX_HALVINGS = 3  # each failed round halves MAX_PARALLEL_REQUESTS, at most this often
BACKOFF_BASE_MS = 250.0  # base of the backoff, doubled with each consecutive failed round
RATE_BACKOFF_MAX_MS = 2000.0
COUNT_BACKOFF_MAX_MS = 4000.0
MAX_FAILED_ROUNDS = 16  # upper limit of the count of failed rounds
MAX_FAILED_ROUNDS_AFTER_SHORTENING = 3  # limit of failed rounds once growing demand has shortened a backoff
# Minimum time between two shortened backoffs, because fluctuating demand must not defeat the backoff.
MIN_BACKOFF_SHORTENING_INTERVAL_MS = 5000.0
MAX_HINTS_FOLLOWED = 2  # consecutive rounds that may start without backoff because of a hint


def set_demand(now_ms: float, pool: QuotaPool, amount: int) -> None:
    """Set this router's demand for a pool; growing demand may shorten a backoff."""
    rounds = pool.rounds
    if amount > pool.demand and now_ms - rounds.backoff_shortened_at_ms >= MIN_BACKOFF_SHORTENING_INTERVAL_MS:
        rounds.backoff_shortened_at_ms = now_ms
        rounds.next_at_ms = min(rounds.next_at_ms, now_ms + BACKOFF_BASE_MS)
        rounds.consecutive_failures = min(rounds.consecutive_failures, MAX_FAILED_ROUNDS_AFTER_SHORTENING)
    pool.demand = max(0, amount)


class RoundPlanner:
    """The policy that decides whether a request round may start, and which peers receive its requests."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def next_round(
        self, now_ms: float, pool: QuotaPool, alive_peers: Sequence[int], pending_peers: Collection[int]
    ) -> list[int] | None:
        """Return the peers to send requests for a pool's shortfall, or None if no round may start now.

        Args:
            now_ms: Current time.
            pool: A pool with a shortfall.
            alive_peers: The peers that may receive requests.
            pending_peers: The peers with a pending request for this pool that has not timed out.
        """
        rounds = pool.rounds
        is_waiting = bool(pending_peers) and not rounds.has_gained and rounds.is_open
        if now_ms < rounds.next_at_ms or is_waiting:
            return None
        if rounds.is_open and not self._finish_round(now_ms, pool):
            return None
        candidates = [peer for peer in alive_peers if peer not in pending_peers]
        return self._choose_peers(now_ms, pool, candidates, _round_size(pool, pool.shortfall(now_ms)))

    def _finish_round(self, now_ms: float, pool: QuotaPool) -> bool:
        """Record the outcome of the last round; return whether the next round may start without backoff."""
        rounds = pool.rounds
        rounds.is_open = False
        if rounds.has_gained:
            rounds.has_gained = False
            rounds.consecutive_failures = 0
            return True
        if rounds.hints_followed < MAX_HINTS_FOLLOWED and _has_recent_hint(now_ms, pool):
            rounds.hints_followed += 1
            return True
        rounds.hints_followed = 0
        rounds.consecutive_failures = min(rounds.consecutive_failures + 1, MAX_FAILED_ROUNDS)
        max_ms = COUNT_BACKOFF_MAX_MS if pool.is_consumable else RATE_BACKOFF_MAX_MS
        backoff_ms = min(BACKOFF_BASE_MS * 2.0**rounds.consecutive_failures, max_ms)
        rounds.next_at_ms = now_ms + backoff_ms * self.rng.uniform(*RETRY_JITTER)
        return False

    def _choose_peers(
        self, now_ms: float, pool: QuotaPool, candidates: Sequence[int], max_peers: int
    ) -> list[int]:
        """Choose up to ``max_peers`` candidates at random, from the most promising group first.

        The groups, in order: peers recently known to have units; peers with an initial allotment of a
        count; peers of unknown state. Peers recently known to have no units are chosen only if all
        these groups are empty.
        """
        with_units: list[int] = []
        with_allotment: list[int] = []
        unknown: list[int] = []
        without_units: list[int] = []
        for peer in candidates:
            known = pool.peer_available.get(peer, NEVER_SEEN)
            if now_ms - known.seen_at_ms < LEASE_TERM_MS:
                (with_units if known.units else without_units).append(peer)
            else:
                has_allotment = pool.is_consumable and pool.rank_by_router[peer] < pool.total
                (with_allotment if has_allotment else unknown).append(peer)
        chosen: list[int] = []
        for group in (with_units, with_allotment, unknown):
            chosen += self.rng.sample(group, min(max_peers - len(chosen), len(group)))
        if not chosen:
            chosen = self.rng.sample(without_units, min(max_peers, len(without_units)))
        return chosen


def _round_size(pool: QuotaPool, shortfall: int) -> int:
    """Return the number of requests in a round.

    A round for a count has one request. A round for a rate has enough requests to cover the shortfall if each
    peer grants half an allotment, within the limit that failed rounds reduce.
    """
    if pool.is_consumable:
        return 1
    half_allotment = max(1, pool.own_allotment() // 2)
    limit = MAX_PARALLEL_REQUESTS >> min(pool.rounds.consecutive_failures, MAX_HALVINGS)
    return min(limit, math.ceil(shortfall / half_allotment))


def _has_recent_hint(now_ms: float, pool: QuotaPool) -> bool:
    return any(
        units and now_ms - seen_at_ms < RESPONSE_TIMEOUT_MS
        for units, seen_at_ms in pool.peer_available.values()
    )
