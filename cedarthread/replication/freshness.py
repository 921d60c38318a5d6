"""Freshness: this router has recently read a majority of routers, so its state lacks no entry of theirs.

Two relations to each other router k are recorded, with their times. *Read at c*: this router stores every
entry that k stored at time c. *Confirmed at h*: k stored, at time h, every entry that this router stores now
(``majority.py``). Freshness follows from reads, replication to a majority from confirmations. All times are
in ms on this router's monotonic clock. A read counts from the time at which its request was sent, so a
recorded time is never too late.

A router that started without its persisted state may have lost entries that it confirmed in an earlier
incarnation. Such a router is not a *voter*: it does not count for majorities until it has read enough of the
other routers. If so many voters are down that no majority of all configured routers can be read, no router is
fresh until they return. ``SyncSessions`` records responses, ``LocalReplica`` reports changes and calls
``update``. Steps 3 to 10 of docs/design/replication.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.replication.majority import NEVER_MS, MajorityTracker
from cedarthread.replication.messages import (
    AGE_UNKNOWN,
    AGES_PER_RESPONSE,
    HAS_ROOT_FLAG,
    VOTER_FLAG,
    SyncResponse,
)

if TYPE_CHECKING:
    from cedarthread.replication.entry import EntryKey

AGE_STEPS_PER_WINDOW = 48  # resolution of the ages in sync responses


class FreshnessTracker:
    """The reads and confirmations that one router knows of, and the freshness derived from them.

    Args:
        router_index: Index of this router.
        router_count: Number of configured routers, alive or not.
        window_ms: How long a read or a confirmation counts (V in docs/design/replication.md).
        clock_rate: Fraction by which a router's clock may run fast or slow.
        now_ms: Start of this incarnation.
        root_digest: Root digest of this router's state at the start.
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
        self.router_index = router_index
        self.router_count = router_count
        self.window_ms = window_ms
        self.quorum = router_count // 2 + 1
        self.clock_drift_factor = (1.0 + clock_rate) / (1.0 - clock_rate)
        self.age_step_ms = max(1, math.ceil(window_ms / AGE_STEPS_PER_WINDOW))
        self.started_at_ms = now_ms
        # Time until which peers may count confirmations of this router's earlier incarnation.
        self.earlier_incarnation_expires_at_ms = now_ms + window_ms * self.clock_drift_factor
        self.is_voter = router_count == 1
        # Time of the last read of each router, by index, whether or not it was a voter.
        self.read_at_ms = [NEVER_MS] * router_count
        # Time of the last read of each router, by index, while it was a voter.
        self.read_as_voter_at_ms = [NEVER_MS] * router_count
        self.majority = MajorityTracker(router_count, window_ms, root_digest)
        # Time until which this router is fresh; advanced by reads of voters.
        self.fresh_until_ms = math.inf if router_count == 1 else NEVER_MS
        self.fresh_since_ms: float | None = now_ms if router_count == 1 else None

    # Recording of reads and changes.

    def on_state_changed(self, root_digest: int, key: EntryKey, digest: int) -> None:
        """Track which routers confirm a changed entry.

        Args:
            root_digest: Digest of this router's state after the change.
            key: Key of the entry.
            digest: Digest of the entry itself.
        """
        self.majority.on_state_changed(root_digest, key, digest)

    def record_response(self, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse) -> None:
        """Record the reads that a sync response proves: of the peer, and of the routers that the peer read.

        The caller has verified that this router stores every entry of the peer. Reads count from
        ``sent_at_ms``, when the request was sent, so ``now_ms`` is unused.
        """
        confirmed_by_peer = self.majority.confirmation_times(response.root_digest)
        self._record_read(peer, sent_at_ms, confirmed_by_peer, is_voter=response.is_voter)
        ages = response.ages[: max(0, self.router_count - response.first_router)]
        for router, byte in enumerate(ages, response.first_router):
            age = byte & AGE_UNKNOWN
            if age != AGE_UNKNOWN and router not in (peer, self.router_index):
                read_at_ms = self._reported_read_time(sent_at_ms, age, response.age_step_ms)
                confirmations = confirmed_by_peer if byte & HAS_ROOT_FLAG else []
                self._record_read(router, read_at_ms, confirmations, is_voter=bool(byte & VOTER_FLAG))

    def _reported_read_time(self, sent_at_ms: float, age: int, step_ms: int) -> float:
        return sent_at_ms - age * step_ms

    def _record_read(
        self, router: int, read_at_ms: float, confirmation_times: list[list[float]], *, is_voter: bool
    ) -> None:
        self.read_at_ms[router] = max(self.read_at_ms[router], read_at_ms)
        if is_voter:
            self.read_as_voter_at_ms[router] = max(self.read_as_voter_at_ms[router], read_at_ms)
        for confirmed_at_ms in confirmation_times:
            confirmed_at_ms[router] = max(confirmed_at_ms[router], read_at_ms)

    # Freshness, replication and voting, derived from the records.

    def update(self, now_ms: float, *, is_persisted: bool) -> bool:
        """Recompute the freshness, and the changes that are replicated to a majority.

        Args:
            now_ms: Current time.
            is_persisted: Whether this router counts among the routers that store its entries: true if the
                disk has them, and true without a disk, because then a restart ends this router's vote.

        Returns:
            Whether this router has just become a voter.
        """
        has_become_voter = not self.is_voter and self.can_become_voter(now_ms)
        self.is_voter = self.is_voter or has_become_voter
        if self.router_count > 1:
            was_fresh = self.is_fresh(now_ms)
            self.fresh_until_ms = self._compute_fresh_until()
            if not was_fresh:
                self.fresh_since_ms = now_ms
        self.majority.update(now_ms, is_persisted=is_persisted)
        return has_become_voter

    def _compute_fresh_until(self) -> float:
        """Return until when a majority has been read within the window.

        The majority is of the configured routers and consists of voters; this router counts if it is one.
        """
        needed_peers = self.quorum - self.is_voter
        return sorted(self.read_as_voter_at_ms)[-needed_peers] + self.window_ms

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether a majority of the configured routers was read within the window, all as voters."""
        return now_ms <= self.fresh_until_ms

    def fresh_since(self, now_ms: float) -> float | None:
        """Return since when the state has been fresh without a break; None if it is not fresh."""
        return self.fresh_since_ms if self.is_fresh(now_ms) else None

    def can_become_voter(self, now_ms: float) -> bool:
        """Return whether a router that started without its persisted state has read enough to vote.

        Only reads after the expiry of the earlier incarnation count. One of two conditions suffices:

        - The number of voters read exceeds the number of routers outside a majority. Then every majority
          has a router that was read, so this router knows every replicated entry. Such reads stay valid.
        - A majority of the routers, this one included, are non-voters that were read within the window. Then
          no majority of voters exists that this router's vote could contradict.
        """
        expired_at_ms = self.earlier_incarnation_expires_at_ms
        oldest_ms = max(expired_at_ms, now_ms - self.window_ms)
        voters = sum(read_at_ms >= expired_at_ms for read_at_ms in self.read_as_voter_at_ms)
        non_voters = 1 + sum(
            read_at_ms >= oldest_ms and self.read_as_voter_at_ms[router] < expired_at_ms
            for router, read_at_ms in enumerate(self.read_at_ms)
        )
        intersects_every_majority = voters > self.router_count - self.quorum
        return intersects_every_majority or non_voters >= self.quorum

    def count_recently_read(self, now_ms: float) -> int:
        """Return the number of routers read within the window, this router and non-voters included."""
        return 1 + sum(read_at_ms >= now_ms - self.window_ms for read_at_ms in self.read_at_ms)

    # Reports to peers.

    def encode_ages(self, now_ms: float, first_router: int) -> bytes:
        """Return a byte for each router from ``first_router`` on: the age of its last read, and flags."""
        confirmed_at_ms = self.majority.latest_confirmation_times()
        encoded = bytearray()
        steps_per_ms = self.clock_drift_factor / self.age_step_ms
        window_start_ms = now_ms - self.window_ms
        oldest_ms = now_ms - (AGE_UNKNOWN - 1) / steps_per_ms
        for router in range(first_router, min(first_router + AGES_PER_RESPONSE, self.router_count)):
            read_at_ms = self.read_as_voter_at_ms[router]
            flags = VOTER_FLAG
            if read_at_ms < oldest_ms:
                read_at_ms = self.read_at_ms[router]
                flags = 0
            if confirmed_at_ms[router] >= window_start_ms:
                # The byte has one age for the read and for the confirmation, so the earlier time counts.
                read_at_ms = min(read_at_ms, confirmed_at_ms[router])
                flags |= HAS_ROOT_FLAG
            is_known = read_at_ms >= oldest_ms
            encoded.append(
                self._age_in_steps(now_ms - read_at_ms, steps_per_ms) | flags if is_known else AGE_UNKNOWN
            )
        return bytes(encoded)

    def _age_in_steps(self, age_ms: float, steps_per_ms: float) -> int:
        """Return an age as the fastest permitted clock measures it, rounded up to whole steps."""
        return min(AGE_UNKNOWN, math.ceil(age_ms * steps_per_ms))
