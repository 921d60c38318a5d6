"""Fleets of replicated stores on one virtual clock, with faults, checked by an observer.

For tests only, never loaded when serving. ``StoreSimulation`` owns the clock, the network and the stores;
``replication_scenarios.py`` has the scenarios that tests run.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.replicated_state import Entry, EntryKind
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.replication.entry import EntryKey, entry_digest, order_key
from cedarthread.replication.store import MAX_TICK_INTERVAL_MS, ReplicatedStore
from cedarthread.testing.replication_observer import Observer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from cedarthread.components.messages import OutboundMessage

CLOCK_OFFSET_MS = 1e6  # difference between the monotonic clocks of routers with consecutive indexes
NO_SENDER = -1  # sender of a tick
STORE_SEED = 7


class Event(NamedTuple):
    """A router's tick (without data), or the arrival of a datagram. Sorted by time."""

    at_ms: float
    serial: int
    router: int
    sender: int
    data: bytes | None


class QueuedDatagram(NamedTuple):
    """A datagram that waits until its receiver resumes."""

    sender: int
    data: bytes


class Link(NamedTuple):
    """One direction of the network between two routers."""

    sender: int
    receiver: int


class StoreSimulation:
    """Replicated stores that tick by their own clocks, over a network that loses, delays and duplicates.

    Args:
        router_count: Number of routers.
        seed: Seed of the faults and clocks.
        is_voter: Whether the routers remember that they were voters.
        period_ms: Mean time between two sync requests of a store.
        window_ms: Freshness window; 0 selects the default.
        clock_rate: Fraction by which a clock is fast or slow; each clock is fast, slow or exact at random.
    """

    def __init__(
        self,
        router_count: int,
        seed: int,
        *,
        is_voter: bool = True,
        period_ms: float = 400.0,
        window_ms: float = 0.0,
        clock_rate: float = 0.001,
    ) -> None:
        self.rng = random.Random(seed)
        self.router_count = router_count
        self.period_ms = period_ms
        self.window_ms = window_ms
        self.clock_rate = clock_rate
        self.incarnations = itertools.count(1)
        self.loss_rate = 0.0
        self.late_rate = 0.0
        self.duplication_rate = 0.1
        self.clock_speeds = [1 + self.rng.choice((-1, 0, 1)) * clock_rate for _ in range(router_count)]
        self.now_ms = 0.0
        self.bytes_sent = 0
        self.longest_datagram_bytes = 0
        self.serial = 0
        self.observer = Observer(router_count)
        self.cut_links: set[Link] = set()
        self.events: list[Event] = []  # heap, ordered by time
        self.paused: dict[int, list[QueuedDatagram]] = {}  # keys: router indexes
        self.logs: list[str] = []
        # True times at which a router first concluded that an entry is replicated. Keys: router, entry key.
        self.replicated_at_ms: dict[int, dict[EntryKey, float]] = {
            router: {} for router in range(router_count)
        }
        self.stores: dict[int, ReplicatedStore] = {}
        for router in range(router_count):
            self.start(router, is_voter=is_voter)
            self.schedule(self.rng.uniform(0, MAX_TICK_INTERVAL_MS), router, NO_SENDER, None)

    def local_ms(self, router: int, true_ms: float) -> float:
        """Return the time on a router's monotonic clock at a true time."""
        return CLOCK_OFFSET_MS * router + true_ms * self.clock_speeds[router]

    def true_ms(self, router: int, local_ms: float) -> float:
        """Return the true time at which a router's monotonic clock shows ``local_ms``."""
        return (local_ms - CLOCK_OFFSET_MS * router) / self.clock_speeds[router]

    def local_now_ms(self, router: int) -> float:
        """Return the current time on a router's monotonic clock."""
        return self.local_ms(router, self.now_ms)

    def start(self, router: int, *, is_voter: bool = False) -> None:
        """Start a new incarnation of a router without entries, as a voter or not."""
        now_ms = self.local_now_ms(router)
        store = ReplicatedStore(
            router,
            self.router_count,
            next(self.incarnations),
            STORE_SEED,
            now_ms=now_ms,
            period_ms=self.period_ms,
            window_ms=self.window_ms,
            clock_rate=self.clock_rate,
        )
        self.stores[router] = store
        store.restore((), is_voter=is_voter, now_ms=now_ms)
        self.observer.on_state(self.now_ms, router, store)

    def schedule(self, at_ms: float, router: int, sender: int, data: bytes | None) -> None:
        """Schedule a tick, or the arrival of a datagram."""
        self.serial += 1
        heapq.heappush(self.events, Event(at_ms, self.serial, router, sender, data))

    def run(self, duration_ms: float, is_done: Callable[[], bool] = lambda: False) -> None:
        """Process the events of ``duration_ms``; stop earlier when ``is_done`` returns True."""
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0].at_ms <= end_ms and not is_done():
            event = heapq.heappop(self.events)
            self.now_ms = event.at_ms
            self._process(event)
        self.now_ms = self.now_ms if is_done() else end_ms

    def _process(self, event: Event) -> None:
        router = event.router
        if event.data is None:
            delay_ms = self.rng.uniform(0.8, 1.0) * MAX_TICK_INTERVAL_MS
            self.schedule(self.now_ms + delay_ms, router, NO_SENDER, None)
        if router in self.paused:
            if event.data is not None:
                self.paused[router].append(QueuedDatagram(event.sender, event.data))
            return
        store = self.stores[router]
        now_ms = self.local_now_ms(router)
        if event.data is None:
            self.observe(router, store.on_tick(now_ms))
            self._observe_reads(router, store)
        else:
            self.observe(router, store.on_message(now_ms, event.sender, event.data))

    def _observe_reads(self, router: int, store: ReplicatedStore) -> None:
        for peer, read_at_ms in enumerate(store.replica.freshness.read_as_voter_at_ms):
            if read_at_ms > -math.inf and peer != router:
                self.observer.on_read(self.now_ms, router, peer, self.true_ms(router, read_at_ms))

    def observe(self, router: int, messages: Iterable[OutboundMessage]) -> None:
        """Report a router's step to the observer, and send the messages of the step."""
        store = self.stores[router]
        changes = store.take_changes()
        if changes:
            self.observer.on_state(self.now_ms, router, store)
        for change in changes:
            if change.replicated_at_ms is not None:
                key = change.entry.kind, change.entry.name
                bound_ms = (store.staleness_bound_ms - MAX_TICK_INTERVAL_MS) / self.clock_speeds[router]
                order = order_key(change.entry, entry_digest(change.entry))
                self.observer.on_replicated(router, key, order, self.now_ms + bound_ms)
                self.replicated_at_ms[router].setdefault(key, self.now_ms)
        if store.is_fresh(self.local_now_ms(router)):
            self.observer.on_fresh(self.now_ms, router)
        for message in messages:
            if isinstance(message, LogMessage):
                self.logs.append(f"{router}: {message.message}")
            else:
                assert isinstance(message, SendToPeer)
                self._send(router, message)

    def _send(self, sender: int, message: SendToPeer) -> None:
        peer = message.peer_index
        assert peer is not None
        assert peer != sender
        self.bytes_sent += len(message.data)
        self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(message.data))
        for _ in range(2 if self.rng.random() < self.duplication_rate else 1):
            is_late = self.rng.random() < self.late_rate
            latency_ms = self.rng.uniform(50, 4000) if is_late else self.rng.uniform(0.5, 30)
            if Link(sender, peer) not in self.cut_links and self.rng.random() >= self.loss_rate:
                self.schedule(self.now_ms + latency_ms, peer, sender, message.data)

    def propose(self, router: int, name: str, body: bytes) -> Entry:
        """Declare a contract at a router and return its entry."""
        entry = self.stores[router].propose(self.local_now_ms(router), EntryKind.CONTRACT, name, body)
        assert isinstance(entry, Entry)
        self.observe(router, [])
        return entry

    def resume(self, router: int) -> None:
        """Resume a paused router, which then receives its queued datagrams."""
        for sender, data in self.paused.pop(router):
            self.schedule(self.now_ms, router, sender, data)

    def has_converged(self) -> bool:
        """Return whether all routers store the same entries."""
        return len({store.replica.state.root_digest for store in self.stores.values()}) == 1

    def is_fresh(self, router: int) -> bool:
        """Return whether a router's state is fresh now."""
        return self.stores[router].is_fresh(self.local_now_ms(router))

    def all_fresh(self) -> bool:
        """Return whether the states of all routers are fresh now."""
        return all(map(self.is_fresh, self.stores))
