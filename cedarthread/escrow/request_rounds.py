"""When a router asks its peers for units of a pool, and which of them.

Requests go out in rounds. A round that brought nothing makes the next one later and smaller, with jitter:
where everybody wants units that are not there, the requests die down.
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
RETRY_JITTER = 0.5, 1.0  # factors on waits
MAX_PARALLEL_REQUESTS = 8  # peers that are asked at once for one rate
MAX_HALVINGS = 3  # of that number, one for each failed round
BACKOFF_BASE_MS = 250.0  # after a round that brought nothing; doubled with each further one
RATE_BACKOFF_MAX_MS = 2000.0
COUNT_BACKOFF_MAX_MS = 4000.0
MAX_FAILED_ROUNDS = 16  # that are counted
MAX_FAILED_ROUNDS_WHEN_WOKEN = 3  # that still count after growing demand cut a backoff short
WAKE_INTERVAL_MS = 5000.0  # at least, between two wakings: fluctuating demand must not cancel every backoff
MAX_HINTS_FOLLOWED = 2  # rounds in a row that start at once on a hint


def set_demand(now_ms: float, pool: QuotaPool, amount: int) -> None:
    """Set what this router could use of a pool; growing demand may cut a backoff short."""
    rounds = pool.rounds
    if amount > pool.demand and now_ms - rounds.woken_at_ms >= WAKE_INTERVAL_MS:
        rounds.woken_at_ms = now_ms
        rounds.next_at_ms = min(rounds.next_at_ms, now_ms + BACKOFF_BASE_MS)
        rounds.failed = min(rounds.failed, MAX_FAILED_ROUNDS_WHEN_WOKEN)
    pool.demand = max(0, amount)


class RoundPlanner:
    """Decides whether a round may start and whom to ask."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def next_round(
        self, now_ms: float, pool: QuotaPool, alive_peers: Sequence[int], awaited: Collection[int]
    ) -> list[int] | None:
        """The peers to ask for a pool's shortfall; None: no round may start now.

        ``awaited``: peers that were asked and still have time to respond.
        """
        rounds = pool.rounds
        is_waiting = bool(awaited) and not rounds.has_gained and rounds.is_open
        if now_ms < rounds.next_at_ms or is_waiting:
            return None
        if rounds.is_open and not self._finish_round(now_ms, pool):
            return None
        candidates = [peer for peer in alive_peers if peer not in awaited]
        return self._choose_peers(now_ms, pool, candidates, _round_size(pool, pool.shortfall(now_ms)))

    def _finish_round(self, now_ms: float, pool: QuotaPool) -> bool:
        """The last round is over; whether the next may start at once."""
        rounds = pool.rounds
        rounds.is_open = False
        if rounds.has_gained:
            rounds.has_gained, rounds.failed = False, 0
            return True
        if rounds.hints_followed < MAX_HINTS_FOLLOWED and _has_recent_hint(now_ms, pool):
            rounds.hints_followed += 1
            return True
        rounds.hints_followed, rounds.failed = 0, min(rounds.failed + 1, MAX_FAILED_ROUNDS)
        max_ms = COUNT_BACKOFF_MAX_MS if pool.is_consumable else RATE_BACKOFF_MAX_MS
        backoff_ms = min(BACKOFF_BASE_MS * 2.0**rounds.failed, max_ms)
        rounds.next_at_ms = now_ms + backoff_ms * self.rng.uniform(*RETRY_JITTER)
        return False

    def _choose_peers(
        self, now_ms: float, pool: QuotaPool, candidates: Sequence[int], max_peers: int
    ) -> list[int]:
        """Peers to ask, best first: last known to have units; had units at the start; not known to have none.

        Only where there is no such peer, those that are known to have none.
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
                has_allotment = pool.is_consumable and pool.place_by_router[peer] < pool.total
                (with_allotment if has_allotment else unknown).append(peer)
        chosen: list[int] = []
        for group in (with_units, with_allotment, unknown):
            chosen += self.rng.sample(group, min(max_peers - len(chosen), len(group)))
        if not chosen:
            chosen = self.rng.sample(without_units, min(max_peers, len(without_units)))
        return chosen


def _round_size(pool: QuotaPool, shortfall: int) -> int:
    """How many peers to ask: one for a count; for a rate so many that each may give half an allotment."""
    if pool.is_consumable:
        return 1
    half_allotment = max(1, pool.own_allotment() // 2)
    limit = MAX_PARALLEL_REQUESTS >> min(pool.rounds.failed, MAX_HALVINGS)
    return min(limit, math.ceil(shortfall / half_allotment))


def _has_recent_hint(now_ms: float, pool: QuotaPool) -> bool:
    return any(
        units and now_ms - seen_at_ms < RESPONSE_TIMEOUT_MS
        for units, seen_at_ms in pool.peer_available.values()
    )
