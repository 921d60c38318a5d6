"""An observer of simulated replicated stores that checks the theorem of docs/design/replication.md (step 9).

The theorem: a router with a fresh state stores every entry that was replicated to a majority longer than the
staleness bound ago. The simulation reports each step of a router in true time, and the observer verifies each
conclusion of a router against what the routers stored. For tests only, never loaded when serving.
"""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.replication.entry import EntryKey, EntryOrder, entry_digest, order_key

if TYPE_CHECKING:
    from cedarthread.replication.store import ReplicatedStore

Orders = dict[EntryKey, EntryOrder]
BEFORE_START_MS = -1e9  # time of the empty state of each router, earlier than every event


class ScheduledAction(NamedTuple):
    """A version of an entry that a router will act on as replicated, and from when. Sorted by time."""

    from_ms: float
    serial: int
    key: EntryKey
    order: EntryOrder


class ObservedState(NamedTuple):
    """The entries that a router stores from a true time on."""

    from_ms: float
    orders: Orders


class ActedEntry(NamedTuple):
    """The greatest version of an entry on which any router acts, and since when."""

    order: EntryOrder
    from_ms: float


class Observer:
    """The entries that each router stored at each true time, and the violations of the theorem.

    Args:
        router_count: Number of configured routers.
    """

    def __init__(self, router_count: int) -> None:
        self.router_count = router_count
        self.serials = itertools.count()
        self.history: dict[int, list[ObservedState]] = {
            router: [ObservedState(BEFORE_START_MS, {})] for router in range(router_count)
        }
        # Routers that have stored a version of an entry, each with the true time. Keys: (entry key, version).
        self.holders: dict[tuple[EntryKey, EntryOrder], dict[int, float]] = {}
        self.scheduled_actions: list[ScheduledAction] = []  # heap, ordered by time
        self.acted_on: dict[EntryKey, ActedEntry] = {}
        self.incarnations: dict[int, int] = {}
        self.started_at_ms: dict[int, float] = {}
        self.violations: list[str] = []

    def on_state(self, now_ms: float, router: int, store: ReplicatedStore) -> None:
        """Record the entries of a router's store.

        Within one incarnation, no entry may disappear and no version may become older.
        """
        stored: Orders = {
            (entry.kind, entry.name): order_key(entry, entry_digest(entry)) for entry in store.snapshot()
        }
        stored_before = self.history[router][-1].orders
        if store.incarnation == self.incarnations.get(router):
            for key, order in stored_before.items():
                if key not in stored or stored[key] < order:
                    self.violations.append(
                        f"router {router} lost its version of {key} or went back to an older one"
                    )
        else:
            self.incarnations[router] = store.incarnation
            self.started_at_ms[router] = now_ms
        self.history[router].append(ObservedState(now_ms, stored))
        for key, order in stored.items():
            self.holders.setdefault((key, order), {})[router] = now_ms

    def on_replicated(self, router: int, key: EntryKey, order: EntryOrder, acts_from_ms: float) -> None:
        """Check a router's conclusion that an entry is replicated to a majority.

        Args:
            router: The router that draws the conclusion.
            key: Kind and name of the entry.
            order: Version of the entry.
            acts_from_ms: True time from which the router acts on the conclusion.
        """
        if len(self.holders.get((key, order), {})) <= self.router_count // 2:
            self.violations.append(
                f"router {router} takes {key} for replicated, but no majority has stored it"
            )
        heapq.heappush(self.scheduled_actions, ScheduledAction(acts_from_ms, next(self.serials), key, order))

    def on_fresh(self, now_ms: float, router: int) -> None:
        """Check that a fresh router stores every entry on which any router acts."""
        stored = self.history[router][-1].orders
        while self.scheduled_actions and self.scheduled_actions[0].from_ms < now_ms:
            action = heapq.heappop(self.scheduled_actions)
            key = action.key
            if key not in self.acted_on or self.acted_on[key].order < action.order:
                self.acted_on[key] = ActedEntry(action.order, action.from_ms)
        for key, (order, from_ms) in self.acted_on.items():
            if key not in stored or stored[key] < order:
                self.violations.append(
                    f"at {now_ms:.0f} ms: router {router} is fresh but lacks the version of {key} "
                    f"on which a router acts since {from_ms:.0f} ms"
                )

    def on_read(self, now_ms: float, router: int, peer: int, read_at_ms: float) -> None:
        """Check a router's claim that it lacks no entry that a peer stored at ``read_at_ms``.

        The claim is not checked if the peer has restarted since, because the peer may have lost entries.
        """
        if self.started_at_ms[peer] > read_at_ms:
            return
        stored = self.history[router][-1].orders
        past = next(state.orders for state in reversed(self.history[peer]) if state.from_ms <= read_at_ms)
        if any(key not in stored or stored[key] < order for key, order in past.items()):
            self.violations.append(
                f"at {now_ms:.0f} ms: router {router} lacks entries of router {peer} at {read_at_ms:.0f} ms"
            )
