"""Whether this router's state is fresh: a majority has confirmed lately that it lacks nothing of theirs.

All times are in ms on this router's steady clock and err to the past: a confirmation counts from when its
request was sent. For each router k two times are known. *Read at c*: this router holds all that k held at c.
*Held at h*: k held at h all that this router held after its last change.

A router that started without memory is not a *voter*: it may have forgotten what it confirmed, so it does not
count for majorities until it has read enough of the others. Steps 3 to 10 of docs/design/register.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.replication.codec import (
    AGE_UNKNOWN,
    AGES_PER_RESPONSE,
    HOLDS_ROOT_FLAG,
    VOTER_FLAG,
    SyncResponse,
)
from cedarthread.replication.majority import NEVER_MS, MajorityTracker

if TYPE_CHECKING:
    from cedarthread.replication.entry import EntryKey

AGE_STEPS_PER_WINDOW = 48  # resolution in which responses give ages


class FreshnessTracker:
    """What this router knows of who has read and held what.

    ``window_ms``: V of the design page, how long a confirmation counts. ``clock_rate``: the fraction by which
    a router's clock may run fast or slow.
    """

    def __init__(
        self,
        router_index: int,
        router_count: int,
        *,
        window_ms: float,
        clock_rate: float,
        now_ms: float,
        root_digest: int = 0,
    ) -> None:
        self.router_index, self.router_count, self.window_ms = router_index, router_count, window_ms
        self.quorum = router_count // 2 + 1
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.age_step_ms = max(1, math.ceil(window_ms / AGE_STEPS_PER_WINDOW))
        self.started_at_ms = now_ms
        # Until then peers may still count what this router held in an earlier incarnation.
        self.earlier_incarnation_expires_at_ms = now_ms + window_ms * self.clock_drift_factor
        self.is_voter = router_count == 1
        self.read_at_ms = [NEVER_MS] * router_count  # by router: last time, as a voter or not
        self.read_as_voter_at_ms = [NEVER_MS] * router_count  # by router: last time that it was a voter
        self.majority = MajorityTracker(router_count, window_ms, root_digest)
        self.fresh_until_ms = math.inf if router_count == 1 else NEVER_MS  # if nothing more is read
        self.fresh_since_ms: float | None = now_ms if router_count == 1 else None

    # Recording.

    def on_state_changed(self, root_digest: int, key: EntryKey, digest: int) -> None:
        """An entry of this router's state has changed."""
        self.majority.on_state_changed(root_digest, key, digest)

    def record_response(self, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse) -> None:
        """A response whose state is within this router's own. ``sent_at_ms``: when it was asked for."""
        held_by_peer = self.majority.holder_times(response.root_digest)
        self._record_read(peer, sent_at_ms, response.is_voter, held_by_peer)
        ages = response.ages[: max(0, self.router_count - response.first_router)]
        for router, byte in enumerate(ages, response.first_router):
            age = byte & AGE_UNKNOWN
            if age != AGE_UNKNOWN and router not in (peer, self.router_index):
                read_at_ms = self._reported_read_time(sent_at_ms, age, response.age_step_ms)
                held = held_by_peer if byte & HOLDS_ROOT_FLAG else []
                self._record_read(router, read_at_ms, bool(byte & VOTER_FLAG), held)

    def _reported_read_time(self, sent_at_ms: float, age: int, step_ms: int) -> float:
        return sent_at_ms - age * step_ms

    def _record_read(
        self, router: int, read_at_ms: float, is_voter: bool, holder_times: list[list[float]]
    ) -> None:
        self.read_at_ms[router] = max(self.read_at_ms[router], read_at_ms)
        if is_voter:
            self.read_as_voter_at_ms[router] = max(self.read_as_voter_at_ms[router], read_at_ms)
        for held_at_ms in holder_times:
            held_at_ms[router] = max(held_at_ms[router], read_at_ms)

    # Conclusions.

    def update(self, now_ms: float, is_persisted: bool) -> bool:
        """Recompute freshness and what is replicated to a majority; true if this router has just become a
        voter.

        ``is_persisted``: what this router holds would survive its restart, or its vote would not.
        """
        has_become_voter = not self.is_voter and self.can_become_voter(now_ms)
        self.is_voter = self.is_voter or has_become_voter
        if self.router_count > 1:
            was_fresh = self.is_fresh(now_ms)
            self.fresh_until_ms = self._compute_fresh_until()
            if not was_fresh:
                self.fresh_since_ms = now_ms
        self.majority.update(now_ms, is_persisted)
        return has_become_voter

    def _compute_fresh_until(self) -> float:
        """The window after the earliest among the most recent reads that make up a majority."""
        needed_peers = self.quorum - self.is_voter
        return sorted(self.read_as_voter_at_ms)[-needed_peers] + self.window_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Whether a majority of voters has been read within the window."""
        return now_ms <= self.fresh_until_ms

    def fresh_since(self, now_ms: float) -> float | None:
        """Since when the state has been fresh without a break; None: it is not."""
        return self.fresh_since_ms if self.is_fresh(now_ms) else None

    def can_become_voter(self, now_ms: float) -> bool:
        """Whether a router that started without memory has read enough to vote.

        Only what it read after its earlier incarnation expired counts. Either it has read so many voters that
        they meet every majority, or a majority has no vote either, so that no vote can contradict its own.
        """
        expired_at_ms = self.earlier_incarnation_expires_at_ms
        oldest_ms = max(expired_at_ms, now_ms - self.window_ms)
        voters = sum(read_at_ms >= expired_at_ms for read_at_ms in self.read_as_voter_at_ms)
        non_voters = 1 + sum(
            read_at_ms >= oldest_ms and self.read_as_voter_at_ms[router] < expired_at_ms
            for router, read_at_ms in enumerate(self.read_at_ms)
        )
        meets_every_majority = voters > self.router_count - self.quorum
        return meets_every_majority or non_voters >= self.quorum

    def count_recently_read(self, now_ms: float) -> int:
        """Routers read within the window, this one included."""
        return 1 + sum(read_at_ms >= now_ms - self.window_ms for read_at_ms in self.read_at_ms)

    # Reporting to peers.

    def encode_ages(self, now_ms: float, first_router: int) -> bytes:
        """A byte for each router from ``first_router`` on: how long ago it was read, and flags."""
        held_at_ms, encoded = self.majority.latest_holder_times(), bytearray()
        steps_per_ms = self.clock_drift_factor / self.age_step_ms
        window_start_ms = now_ms - self.window_ms
        oldest_ms = now_ms - (AGE_UNKNOWN - 1) / steps_per_ms
        for router in range(first_router, min(first_router + AGES_PER_RESPONSE, self.router_count)):
            read_at_ms, flags = self.read_as_voter_at_ms[router], VOTER_FLAG
            if read_at_ms < oldest_ms:
                read_at_ms, flags = self.read_at_ms[router], 0
            if held_at_ms[router] >= window_start_ms:
                read_at_ms, flags = min(read_at_ms, held_at_ms[router]), flags | HOLDS_ROOT_FLAG
            is_known = read_at_ms >= oldest_ms
            encoded.append(
                self._age_in_steps(now_ms - read_at_ms, steps_per_ms) | flags if is_known else AGE_UNKNOWN
            )
        return bytes(encoded)

    def _age_in_steps(self, age_ms: float, steps_per_ms: float) -> int:
        """An age as the fastest clock may measure it, rounded up to steps."""
        return min(AGE_UNKNOWN, math.ceil(age_ms * steps_per_ms))
