"""Which changes of this router's state are known to be replicated to a majority of the routers.

After each change, the routers that are known to hold the new root digest are tracked in a cohort. A router
that holds a later root also holds the earlier ones, since states only grow. Steps 8 and 9 of
docs/design/register.md.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.replication.entry import EntryKey

MAX_COHORTS = 8  # changes that are tracked apart until each is replicated
NEVER_MS = -math.inf


class ChangeCohort:
    """Entries that changed together: replicated once a majority is known to have held the root after them."""

    def __init__(self, root_digest: int, router_count: int) -> None:
        self.root_digest = root_digest
        self.held_at_ms = [NEVER_MS] * router_count  # by router: when it was last known to hold the root
        self.pending_digests: dict[EntryKey, int] = {}  # entries that are not known to be replicated yet


class MajorityTracker:
    """Who holds what this router holds. Times in ms on this router's steady clock.

    ``window_ms``: how long a router counts as holding a root after the time for which that is known.
    """

    def __init__(self, router_count: int, window_ms: float, root_digest: int = 0) -> None:
        self.router_count, self.window_ms = router_count, window_ms
        self.quorum = router_count // 2 + 1
        self.cohorts = [ChangeCohort(root_digest, router_count)]
        self.newly_replicated: dict[EntryKey, int] = {}  # digests; the caller takes them out

    def on_state_changed(self, root_digest: int, key: EntryKey, digest: int) -> None:
        """This router's state has a new root, which no other router is known to hold."""
        cohort = ChangeCohort(root_digest, self.router_count)
        cohort.pending_digests[key] = digest
        self.cohorts = [earlier for earlier in self.cohorts if earlier.pending_digests]
        if len(self.cohorts) >= MAX_COHORTS:
            # Holding the later root implies holding the earlier one, so merging errs on the late side.
            oldest = self.cohorts.pop(0)
            self.cohorts[0].pending_digests = oldest.pending_digests | self.cohorts[0].pending_digests
        self.cohorts.append(cohort)

    def holder_times(self, root_digest: int) -> list[list[float]]:
        """The ``held_at_ms`` of all cohorts that a router with this root digest holds; none for an unknown
        root.
        """
        last = next((n for n, cohort in enumerate(self.cohorts) if cohort.root_digest == root_digest), -1)
        return [cohort.held_at_ms for cohort in self.cohorts[: last + 1]]

    def latest_holder_times(self) -> list[float]:
        """By router: when it was last known to hold this router's present root."""
        return self.cohorts[-1].held_at_ms

    def update(self, now_ms: float, is_persisted: bool) -> None:
        """Add what is replicated by now to ``newly_replicated``. ``is_persisted``: this router counts as a
        holder.
        """
        for cohort in self.cohorts:
            if cohort.pending_digests and self._count_holders(now_ms, cohort) + is_persisted >= self.quorum:
                self.newly_replicated |= cohort.pending_digests
                cohort.pending_digests = {}

    def _count_holders(self, now_ms: float, cohort: ChangeCohort) -> int:
        return sum(held_at_ms >= now_ms - self.window_ms for held_at_ms in cohort.held_at_ms)
