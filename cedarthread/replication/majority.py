"""Which changes of a router's state are replicated to a majority of the routers.

A *cohort* is created after each change and records which routers are known to have the new root digest. A
router with a later root digest also has the entries of the earlier ones, because states only grow.
``FreshnessTracker`` owns the tracker; ``LocalReplica`` removes the entries that it has marked as replicated.
Steps 8 and 9 of docs/design/replication.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.replication.entry import EntryKey

MAX_COHORTS = 8  # maximum number of changes that are tracked separately until each is replicated
NEVER_MS = -math.inf


class ChangeCohort:
    """Changed entries that are tracked together, and when each router was last known to have them.

    The entries are replicated once a majority is known to have had ``root_digest`` within the window.

    Args:
        root_digest: This router's root digest after the change.
        router_count: Number of configured routers.
    """

    def __init__(self, root_digest: int, router_count: int) -> None:
        self.root_digest = root_digest
        # When each router, by index, was last known to have the root digest.
        self.confirmed_at_ms = [NEVER_MS] * router_count
        # Digests, by key, of entries that are not known to be replicated yet.
        self.pending_digests: dict[EntryKey, int] = {}


class MajorityTracker:
    """The cohorts of one router's recent changes, and the changes newly known to be replicated.

    Times are in ms on this router's monotonic clock.

    Args:
        router_count: Number of configured routers.
        window_ms: How long a router counts as having a root digest after it was last known to have it.
        root_digest: Root digest of this router's state at the start.
    """

    def __init__(self, router_count: int, window_ms: float, root_digest: int = 0) -> None:
        self.router_count = router_count
        self.window_ms = window_ms
        self.quorum = router_count // 2 + 1
        self.cohorts = [ChangeCohort(root_digest, router_count)]
        self.newly_replicated: dict[EntryKey, int] = {}  # digest by key; the caller clears the dictionary

    def on_state_changed(self, root_digest: int, key: EntryKey, digest: int) -> None:
        """Start a cohort for a new root digest, which no other router is known to have."""
        cohort = ChangeCohort(root_digest, self.router_count)
        cohort.pending_digests[key] = digest
        self.cohorts = [earlier for earlier in self.cohorts if earlier.pending_digests]
        if len(self.cohorts) >= MAX_COHORTS:
            # A router with the later root digest also has the earlier entries, so merging two cohorts can
            # only delay the conclusion.
            oldest = self.cohorts.pop(0)
            self.cohorts[0].pending_digests = oldest.pending_digests | self.cohorts[0].pending_digests
        self.cohorts.append(cohort)

    def confirmation_times(self, root_digest: int) -> list[list[float]]:
        """Return the confirmation times of the cohort with this root digest and of all earlier cohorts.

        A router with the root digest also has the entries of the earlier cohorts. The lists belong to the
        cohorts, so that the caller can record confirmations in them. An unknown root digest gives an empty
        result.
        """
        newest = next(
            (index for index, cohort in enumerate(self.cohorts) if cohort.root_digest == root_digest), -1
        )
        return [cohort.confirmed_at_ms for cohort in self.cohorts[: newest + 1]]

    def latest_confirmation_times(self) -> list[float]:
        """Return, by router, when the router was last known to have this router's current root digest."""
        return self.cohorts[-1].confirmed_at_ms

    def update(self, now_ms: float, *, is_persisted: bool) -> None:
        """Move the changes that have become replicated to ``newly_replicated``.

        Args:
            now_ms: Current time.
            is_persisted: Whether this router itself counts among the routers that store its entries.
        """
        for cohort in self.cohorts:
            if cohort.pending_digests and self._count_holders(now_ms, cohort) + is_persisted >= self.quorum:
                self.newly_replicated |= cohort.pending_digests
                cohort.pending_digests = {}

    def _count_holders(self, now_ms: float, cohort: ChangeCohort) -> int:
        return sum(confirmed_at_ms >= now_ms - self.window_ms for confirmed_at_ms in cohort.confirmed_at_ms)
