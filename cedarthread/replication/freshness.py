"""Who has confirmed what to this router, and what follows: a seat, freshness, what is settled.

All times are on this router's own clock and err to the past: evidence counts from when its question was sent.
For each router k two things are known. *Read at c*: what k held at c is within what this router holds.
*Held at h*: what this router held when it last changed was held by k at h. Steps 3 to 10 of the design page.
"""

from __future__ import annotations

import math

from cedarthread.replication import entry as entries
from cedarthread.replication.codec import (
    AGE_UNKNOWN,
    AGES_PER_RESPONSE,
    HOLDS_ROOT_FLAG,
    VOTER_FLAG,
    SyncResponse,
)

AGE_STEPS_PER_WINDOW = 48  # of V, in which ages are told
MAX_COHORTS = 8  # changes of the content that are watched apart until each is settled
NEVER_MS = -math.inf


class _ChangeCohort:
    """What changed at once: it is settled when a majority is known to have held the root after it."""

    def __init__(self, root: int, count: int) -> None:
        self.root_digest = root
        self.held_at_ms = [NEVER_MS] * count
        self.pending_digests: dict[entries.Key, int] = {}  # digests of what is not settled yet


class FreshnessTracker:
    """One router's knowledge of who has read and held what. ``window`` is V, ms."""

    def __init__(
        self,
        router_index: int,
        router_count: int,
        window_ms: float,
        clock_rate: float,
        now: float,
        root_digest: int = 0,
    ) -> None:
        self.router_index, self.router_count, self.window_ms = router_index, router_count, window_ms
        self.majority = router_count // 2 + 1
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.age_step_ms = max(1, math.ceil(window_ms / AGE_STEPS_PER_WINDOW))
        self.started_at_ms = now
        self.earlier_incarnation_expires_at_ms = (
            now + window_ms * self.clock_drift_factor
        )  # before it old words of this router's past may count
        self.is_voter = router_count == 1
        self.read_at_ms = [NEVER_MS] * router_count  # when last, any
        self.read_as_voter_at_ms = [NEVER_MS] * router_count  # when last with a seat
        self.cohorts = [_ChangeCohort(root_digest, router_count)]
        self.fresh_until_ms = (
            math.inf if router_count == 1 else NEVER_MS
        )  # fresh until then, if nothing more comes
        self.fresh_since_ms: float | None = now if router_count == 1 else None
        self.newly_replicated: dict[entries.Key, int] = {}  # settled and not yet handed on

    # What comes.

    def on_state_changed(self, root_digest: int, key: entries.Key, digest: int) -> None:
        """The content of this router has changed: nobody is known to hold it."""
        cohort = _ChangeCohort(root_digest, self.router_count)
        cohort.pending_digests[key] = digest
        self.cohorts = [c for c in self.cohorts if c.pending_digests]
        if len(self.cohorts) >= MAX_COHORTS:  # who held a later root held the earlier: the later errs to less
            oldest = self.cohorts.pop(0)
            self.cohorts[0].pending_digests = oldest.pending_digests | self.cohorts[0].pending_digests
        self.cohorts.append(cohort)

    def record_response(self, now: float, peer: int, sent_at_ms: float, response: SyncResponse) -> None:
        """A reply whose content is within this router's own, and when it was asked for."""
        upto = next((n for n, c in enumerate(self.cohorts) if c.root_digest == response.root_digest), -1)
        holds = [c.held_at_ms for c in self.cohorts[: upto + 1]]
        self._record_read(peer, sent_at_ms, response.is_voter, holds)
        for number, byte in enumerate(
            response.ages[: max(0, self.router_count - response.first_router)], response.first_router
        ):
            age = byte & AGE_UNKNOWN
            if age != AGE_UNKNOWN and number != peer and number != self.router_index:
                at = self._reported_read_time(sent_at_ms, age, response.age_step_ms)
                self._record_read(
                    number, at, bool(byte & VOTER_FLAG), holds if byte & HOLDS_ROOT_FLAG else []
                )

    def _reported_read_time(self, sent: float, age: int, step: int) -> float:
        return sent - age * step

    def _record_read(self, number: int, at: float, seated: bool, holds: list[list[float]]) -> None:
        self.read_at_ms[number] = max(self.read_at_ms[number], at)
        if seated:
            self.read_as_voter_at_ms[number] = max(self.read_as_voter_at_ms[number], at)
        for held in holds:
            held[number] = max(held[number], at)

    # What follows.

    def update(self, now: float, is_persisted: bool) -> bool:
        """Draw the conclusions. ``written``: what this router holds would outlive it, or its seat would not.
        True if it took its seat just now."""
        took = not self.is_voter and self.can_become_voter(now)
        self.is_voter = self.is_voter or took
        if self.router_count > 1:
            was = self.is_fresh(now)
            self.fresh_until_ms = self._compute_fresh_until()
            if not was:
                self.fresh_since_ms = now
        self._collect_replicated(now, is_persisted)
        return took

    def _compute_fresh_until(self) -> float:
        """A majority has been read up to then: the earliest of its latest times, and V."""
        others = self.majority - self.is_voter
        return sorted(self.read_as_voter_at_ms)[-others] + self.window_ms

    def is_fresh(self, now: float) -> bool:
        """Has a majority with seats been read within V?"""
        return now <= self.fresh_until_ms

    def fresh_since(self, now: float) -> float | None:
        """Since when without a break."""
        return self.fresh_since_ms if self.is_fresh(now) else None

    def can_become_voter(self, now: float) -> bool:
        """May a router without a seat take one?

        What it held in an earlier life may count as held for V after its start: only what was read later
        counts. Enough seated ones meet every majority; or a majority lacks a seat too."""
        floor = max(self.earlier_incarnation_expires_at_ms, now - self.window_ms)
        seated = [
            k for k, at in enumerate(self.read_as_voter_at_ms) if at >= self.earlier_incarnation_expires_at_ms
        ]
        unseated = 1 + sum(
            at >= floor and self.read_as_voter_at_ms[k] < self.earlier_incarnation_expires_at_ms
            for k, at in enumerate(self.read_at_ms)
        )
        meets = len(seated) > self.router_count - self.majority
        return meets or unseated >= self.majority

    def _collect_replicated(self, now: float, written: bool) -> None:
        for cohort in self.cohorts:
            if cohort.pending_digests and self._count_holders(now, cohort) + written >= self.majority:
                self.newly_replicated |= cohort.pending_digests
                cohort.pending_digests = {}

    def _count_holders(self, now: float, cohort: _ChangeCohort) -> int:
        return sum(at >= now - self.window_ms for at in cohort.held_at_ms)

    # What is told.

    def encode_ages(self, now: float, first_router: int) -> bytes:
        """A byte a router from ``first`` on."""
        held, told = self.cohorts[-1].held_at_ms, bytearray()
        scale, since = self.clock_drift_factor / self.age_step_ms, now - self.window_ms
        oldest = now - (AGE_UNKNOWN - 1) / scale
        for number in range(first_router, min(first_router + AGES_PER_RESPONSE, self.router_count)):
            at, flags, hold = self.read_as_voter_at_ms[number], VOTER_FLAG, held[number]
            if at < oldest:
                at, flags = self.read_at_ms[number], 0
            if hold >= since:
                at, flags = min(at, hold), flags | HOLDS_ROOT_FLAG
            told.append(self._age_in_steps(now - at, scale) | flags if at >= oldest else AGE_UNKNOWN)
        return bytes(told)

    def _age_in_steps(self, age: float, scale: float) -> int:
        """An age as it may be by any router's clock, in steps, rounded up."""
        return min(AGE_UNKNOWN, math.ceil(age * scale))

    def count_recently_read(self, now: float) -> int:
        """Routers that were read within V, this one too."""
        return 1 + sum(at >= now - self.window_ms for at in self.read_at_ms)
