"""Replicated stores on one virtual clock; an observer that knows all states holds them to the theorem.

The theorem (docs/design/register.md, step 9): a router whose state is fresh holds every entry that was
replicated to a majority longer than the staleness bound ago.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import pickle
import random
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.components.notifications import PeersChanged
from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.replication import codec
from cedarthread.replication.entry import EntryKey, entry_digest, order_key
from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.majority import ChangeCohort, MajorityTracker
from cedarthread.replication.messages import (
    AGE_UNKNOWN,
    EntryRef,
)
from cedarthread.replication.state import ReplicaState
from cedarthread.replication.store import MAX_TICK_INTERVAL_MS, ReplicatedStore
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_server import SyncServer
from cedarthread.replication.sync_session import SyncSession, SyncSessions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from cedarthread.components.messages import OutboundMessage

Order = tuple[Version, int]  # of an entry among those of its name
Orders = dict[EntryKey, Order]
CLOCK_OFFSET_MS = 1e6  # between the steady clocks of neighbouring routers
NEVER_MS = -1e9  # before everything
numbers = itertools.count(1)  # incarnations and nonces of the small model


class Relaxation(NamedTuple):
    """A router acts on an entry's replication from a time on. Sorted by time."""

    from_ms: float
    serial: int
    key: EntryKey
    order: Order


class Observer:
    """Knows what each router truly held and when, in true time; believes no router."""

    def __init__(self, router_count: int) -> None:
        self.router_count, self.serials = router_count, itertools.count()
        self.history: dict[int, list[tuple[float, Orders]]] = {
            router: [(NEVER_MS, {})] for router in range(router_count)
        }
        self.holders: dict[tuple[EntryKey, Order], dict[int, float]] = {}
        self.relaxations: list[Relaxation] = []  # a heap
        self.acted_on: dict[EntryKey, tuple[Order, float]] = {}  # the greatest order, and since when
        self.incarnations: dict[int, int] = {}
        self.started_at_ms: dict[int, float] = {}
        self.violations: list[str] = []

    def on_state(self, now_ms: float, router: int, store: ReplicatedStore) -> None:
        """Note what a router holds, read from its entries alone."""
        held: Orders = {
            (entry.kind, entry.name): order_key(entry, entry_digest(entry)) for entry in store.snapshot()
        }
        held_before = self.history[router][-1][1]
        if store.incarnation == self.incarnations.get(router):
            for key, order in held_before.items():
                if key not in held or held[key] < order:
                    self.violations.append(f"{router} went back in {key}")
        else:
            self.incarnations[router], self.started_at_ms[router] = store.incarnation, now_ms
        self.history[router].append((now_ms, held))
        for key, order in held.items():
            self.holders.setdefault((key, order), {})[router] = now_ms

    def on_replicated(self, router: int, key: EntryKey, order: Order, acts_from_ms: float) -> None:
        """A router takes an entry for replicated to a majority, and acts on it from ``acts_from_ms`` on."""
        if len(self.holders.get((key, order), {})) <= self.router_count // 2:
            self.violations.append(f"{router} takes {key} of a minority for replicated")
        heapq.heappush(self.relaxations, Relaxation(acts_from_ms, next(self.serials), key, order))

    def on_fresh(self, now_ms: float, router: int) -> None:
        """A router acts as fresh: it must hold everything that anybody acts on."""
        held = self.history[router][-1][1]
        while self.relaxations and self.relaxations[0].from_ms < now_ms:
            relaxation = heapq.heappop(self.relaxations)
            key = relaxation.key
            if key not in self.acted_on or self.acted_on[key][0] < relaxation.order:
                self.acted_on[key] = relaxation.order, relaxation.from_ms
        for key, (order, from_ms) in self.acted_on.items():
            if key not in held or held[key] < order:
                self.violations.append(f"{now_ms:.0f}: {router} is fresh and lacks {key} of {from_ms:.0f}")

    def on_read(self, now_ms: float, router: int, peer: int, read_at_ms: float) -> None:
        """A router claims that it lacks nothing that a peer held at a time; the peer may have forgotten it
        since.
        """
        if self.started_at_ms[peer] > read_at_ms:
            return
        held = self.history[router][-1][1]
        past = next(orders for time_ms, orders in reversed(self.history[peer]) if time_ms <= read_at_ms)
        if any(key not in held or held[key] < order for key, order in past.items()):
            self.violations.append(f"{now_ms:.0f}: {router} has not read {peer} as of {read_at_ms:.0f}")


class Event(NamedTuple):
    """A router's tick (no data), or a datagram that arrives. Sorted by time."""

    at_ms: float
    serial: int
    router: int
    sender: int
    data: bytes | None


class StoreSimulation:
    """Replicated stores that tick by clocks of their own, over a network that loses, delays and
    duplicates.
    """

    def __init__(
        self,
        router_count: int,
        seed: int,
        store_type: type[ReplicatedStore] = ReplicatedStore,
        is_voter: bool = True,
        **settings: Any,
    ) -> None:
        self.rng, self.router_count = random.Random(seed), router_count
        self.store_type, self.settings = store_type, settings
        self.incarnations = itertools.count(1)
        self.loss_rate, self.late_rate, self.duplication_rate = 0.0, 0.0, 0.1
        clock_rate: float = settings.get("clock_rate", 0.001)
        self.clock_speeds = [1 + self.rng.choice((-1, 0, 1)) * clock_rate for _ in range(router_count)]
        self.now_ms, self.bytes_sent, self.longest_datagram_bytes, self.serial = 0.0, 0, 0, 0
        self.observer = Observer(router_count)
        self.cut_links: set[tuple[int, int]] = set()  # sender, receiver
        self.events: list[Event] = []  # a heap
        self.paused: dict[int, list[tuple[int, bytes]]] = {}  # datagrams that wait, by router
        self.logs: list[str] = []
        self.replicated_at_ms: dict[int, dict[EntryKey, float]] = {
            router: {} for router in range(router_count)
        }
        self.stores: dict[int, ReplicatedStore] = {}
        for router in range(router_count):
            self.start(router, is_voter)
            self.schedule(self.rng.uniform(0, MAX_TICK_INTERVAL_MS), router, -1, None)

    def local_ms(self, router: int, true_ms: float) -> float:
        """A time on a router's steady clock."""
        return CLOCK_OFFSET_MS * router + true_ms * self.clock_speeds[router]

    def true_ms(self, router: int, local_ms: float) -> float:
        """The true time at which a router's steady clock shows a time."""
        return (local_ms - CLOCK_OFFSET_MS * router) / self.clock_speeds[router]

    def local_now(self, router: int) -> float:
        """What a router's steady clock shows now."""
        return self.local_ms(router, self.now_ms)

    def start(self, router: int, is_voter: bool = False) -> None:
        """A router starts without memory of entries; ``is_voter``: with that of its vote."""
        now_ms = self.local_now(router)
        store = self.store_type(
            router, self.router_count, next(self.incarnations), 7, now_ms=now_ms, **self.settings
        )
        self.stores[router] = store
        store.restore((), is_voter=is_voter, now_ms=now_ms)
        self.observer.on_state(self.now_ms, router, store)

    def schedule(self, at_ms: float, router: int, sender: int, data: bytes | None) -> None:
        """A tick or the arrival of a datagram."""
        self.serial += 1
        heapq.heappush(self.events, Event(at_ms, self.serial, router, sender, data))

    def run(self, duration_ms: float, until: Callable[[], bool] = lambda: False) -> None:
        """Let so many ms pass, or until a condition holds."""
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0].at_ms <= end_ms and not until():
            self.now_ms, _, router, sender, data = heapq.heappop(self.events)
            if data is None:
                delay_ms = self.rng.uniform(0.8, 1.0) * MAX_TICK_INTERVAL_MS
                self.schedule(self.now_ms + delay_ms, router, -1, None)
            if router in self.paused:
                self.paused[router] += [(sender, data)] if data is not None else []
                continue
            store, now_ms = self.stores[router], self.local_now(router)
            self.observe(
                router, store.on_tick(now_ms) if data is None else store.on_message(now_ms, sender, data)
            )
            if data is None:
                self._observe_reads(router, store)
        self.now_ms = self.now_ms if until() else end_ms

    def _observe_reads(self, router: int, store: ReplicatedStore) -> None:
        for peer, read_at_ms in enumerate(store.replica.freshness.read_as_voter_at_ms):
            if read_at_ms > -math.inf and peer != router:
                self.observer.on_read(self.now_ms, router, peer, self.true_ms(router, read_at_ms))

    def observe(self, router: int, messages: Iterable[OutboundMessage]) -> None:
        """After each step of a router: the observer sees its state, the network its messages."""
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
        if store.is_fresh(self.local_now(router)):
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
            if (sender, peer) not in self.cut_links and self.rng.random() >= self.loss_rate:
                self.schedule(self.now_ms + latency_ms, peer, sender, message.data)

    def propose(self, router: int, name: str, body: bytes) -> Entry:
        """Declare a contract at a router."""
        entry = self.stores[router].propose(self.local_now(router), EntryKind.CONTRACT, name, body)
        assert isinstance(entry, Entry)
        self.observe(router, [])
        return entry

    def resume(self, router: int) -> None:
        """A paused router goes on, with the datagrams that waited."""
        for sender, data in self.paused.pop(router):
            self.schedule(self.now_ms, router, sender, data)

    def has_converged(self) -> bool:
        """Whether all routers hold the same entries."""
        return len({store.replica.state.root_digest for store in self.stores.values()}) == 1

    def is_fresh(self, router: int) -> bool:
        """Whether a router's state is fresh now."""
        return self.stores[router].is_fresh(self.local_now(router))

    def all_fresh(self) -> bool:
        """Whether the states of all routers are fresh now."""
        return all(map(self.is_fresh, self.stores))


def simulate_chaos(seed: int, router_count: int = 5, rounds: int = 40) -> StoreSimulation:
    """All faults at once, at the clocks' limits; at most one router at a time is not a voter."""
    simulation = StoreSimulation(router_count, seed, period_ms=100.0, window_ms=2000.0, clock_rate=0.05)
    simulation.loss_rate, simulation.late_rate, simulation.duplication_rate = 0.1, 0.15, 0.3
    rng = random.Random(seed)
    for number in range(rounds):
        action = rng.choice(("edit", "edit", "cut", "cut", "heal", "start", "pause", "resume"))
        router = rng.randrange(router_count)
        if action == "edit" and router not in simulation.paused:
            simulation.propose(router, f"tenant {rng.randrange(4)}", b"%d" % number)
        elif action == "cut":
            simulation.cut_links = random_partition(rng, router_count)
        elif action == "heal":
            simulation.cut_links.clear()
        elif action == "start" and all(store.is_voter for store in simulation.stores.values()):
            simulation.start(router)
        elif action == "pause" and not simulation.paused:
            simulation.paused[router] = []
        elif action == "resume":
            for paused in list(simulation.paused):
                simulation.resume(paused)
        simulation.run(rng.uniform(200, 3000))
    return simulation


def random_partition(rng: random.Random, router_count: int) -> set[tuple[int, int]]:
    """Links between two random sides, in both directions or in one."""
    side = {router for router in range(router_count) if rng.random() < 0.5}
    is_symmetric = rng.random() < 0.5
    links = itertools.product(range(router_count), repeat=2)
    return {
        (sender, receiver)
        for sender, receiver in links
        if (sender in side) != (receiver in side) and (is_symmetric or sender in side)
    }


def connect_only(simulation: StoreSimulation, *groups: set[int]) -> None:
    """Routers reach those of their own group alone, and know it."""
    for sender, receiver in itertools.product(range(simulation.router_count), repeat=2):
        is_connected = any({sender, receiver} <= group for group in groups)
        change_link = simulation.cut_links.discard if is_connected else simulation.cut_links.add
        change_link((sender, receiver))
    for router, store in simulation.stores.items():
        alive = {peer for group in groups if router in group for peer in group if peer != router}
        notification = PeersChanged(tuple(sorted(alive)), simulation.router_count, {})
        store.on_notification(simulation.local_now(router), notification)


def simulate_forgotten_entry() -> StoreSimulation:
    """A holder of an entry restarts without memory and reads those who never knew the entry."""
    simulation = StoreSimulation(5, 1, period_ms=100.0, window_ms=4000.0)
    connect_only(simulation, {0, 2}, {1, 3, 4})
    simulation.propose(0, "x", b"settled")
    simulation.run(1500.0)
    simulation.start(2)
    connect_only(simulation, {1, 2, 3, 4})
    simulation.run(1000.0)
    connect_only(simulation, {0, 1}, {2, 3, 4})
    simulation.run(12_000.0)
    return simulation


def simulate_restart_during_sync() -> StoreSimulation:
    """A router restarts just after its sync response, and lists what it holds in its new incarnation:
    nothing.
    """
    simulation = StoreSimulation(3, 2, period_ms=100.0, window_ms=4000.0)
    connect_only(simulation, {0, 1})
    simulation.propose(0, "x", b"settled")
    simulation.run(5000.0)  # for longer than the newest entry is sent unasked
    connect_only(simulation, {1, 2})
    simulation.run(3000.0, lambda: bool(simulation.stores[2].sessions.sessions))
    simulation.start(1)
    simulation.run(12_000.0)
    return simulation


def observed_simulations() -> Iterator[StoreSimulation]:
    """All simulations in which injected defects must be found."""
    yield simulate_forgotten_entry()
    yield simulate_restart_during_sync()
    yield from (simulate_chaos(seed) for seed in range(12))


def test_a_router_that_forgot_an_entry_does_not_count_as_its_holder() -> None:
    simulation = simulate_forgotten_entry()
    assert simulation.replicated_at_ms[0], "replicated by what the router held before"
    assert not simulation.observer.violations
    assert not simulation.is_fresh(4)
    simulation = simulate_restart_during_sync()
    assert simulation.replicated_at_ms[1]
    assert not simulation.observer.violations
    assert not simulation.has_converged()


@pytest.mark.parametrize("seed", range(8))
def test_a_fresh_router_holds_what_was_replicated_a_staleness_bound_ago(seed: int) -> None:
    simulation = simulate_chaos(seed)
    assert not simulation.observer.violations
    for paused in list(simulation.paused):
        simulation.resume(paused)
    simulation.cut_links.clear()
    simulation.run(30_000.0)
    assert simulation.has_converged()
    assert not simulation.observer.violations
    assert simulation.longest_datagram_bytes <= MAX_DATAGRAM_BYTES
    assert simulation.all_fresh()
    assert sum(map(len, simulation.replicated_at_ms.values())) > 3


class Defect(NamedTuple):
    """A method, and what takes its place."""

    owner: type
    method: str
    replacement: Callable[..., object]


def _defects() -> dict[str, Defect]:
    """Each breaks one rule."""
    record_response = FreshnessTracker.record_response
    record_read = FreshnessTracker._record_read
    count_holders = MajorityTracker._count_holders

    def count_from_reception(
        self: FreshnessTracker, now_ms: float, peer: int, sent_at_ms: float, response: codec.SyncResponse
    ) -> None:
        record_response(self, now_ms, peer, now_ms, response)

    def need_one_read(self: FreshnessTracker) -> float:
        return sorted(self.read_as_voter_at_ms)[-1] + self.window_ms

    def record_as_voter(
        self: FreshnessTracker, router: int, read_at_ms: float, times: list[list[float]], *, is_voter: bool
    ) -> None:
        record_read(self, router, read_at_ms, times, is_voter=True)

    def count_one_more(self: MajorityTracker, now_ms: float, cohort: ChangeCohort) -> int:
        return count_holders(self, now_ms, cohort) + 1

    def count_for_ever(self: MajorityTracker, now_ms: float, cohort: ChangeCohort) -> int:
        return count_holders(self, -math.inf, cohort)

    def round_down(self: FreshnessTracker, age_ms: float, steps_per_ms: float) -> int:
        return min(AGE_UNKNOWN, int(age_ms * steps_per_ms / 1.2))

    def vote_by_early_reads(self: FreshnessTracker, now_ms: float) -> bool:
        voters = sum(read_at_ms >= self.started_at_ms for read_at_ms in self.read_as_voter_at_ms)
        return voters > self.router_count - self.quorum

    def confirm_at_once(self: SyncSessions, now_ms: float, session: SyncSession) -> bool:
        self.replica.freshness.record_response(now_ms, session.peer, session.sent_at_ms, session.response)
        self.replica.update_freshness(now_ms)
        return session.root_digest in self.replica.state.covered_roots

    def always(*_: object) -> bool:
        return True

    return {
        "ages from reception": Defect(FreshnessTracker, "record_response", count_from_reception),
        "fresh by a minority": Defect(FreshnessTracker, "_compute_fresh_until", need_one_read),
        "unseated count": Defect(FreshnessTracker, "_record_read", record_as_voter),
        "settles by a minority": Defect(MajorityTracker, "_count_holders", count_one_more),
        "the last holds": Defect(ReplicaState, "supersedes", always),
        "nonces come again": Defect(SyncRequests, "_new_nonce", lambda self: self.rng.getrandbits(2)),
        "ages too young": Defect(FreshnessTracker, "_age_in_steps", round_down),
        "a reply counts before its content is held": Defect(
            SyncSessions, "_confirm_if_covered", confirm_at_once
        ),
        "a seat at once": Defect(FreshnessTracker, "can_become_voter", always),
        "a seat by what was read before V after the start": Defect(
            FreshnessTracker, "can_become_voter", vote_by_early_reads
        ),
        "what was held counts for ever": Defect(MajorityTracker, "_count_holders", count_for_ever),
        "a later life's summary counts": Defect(SyncSessions, "_is_same_incarnation", always),
    }


@pytest.mark.parametrize("name", _defects())
def test_the_observer_finds_injected_defects(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*_defects()[name])
    assert any(simulation.observer.violations for simulation in observed_simulations())


# The small model: two or three routers, every order of events.

WINDOW_MS = 1000.0


class ConstantRandom:
    """In place of a generator: draws nothing."""

    def uniform(self, low: float, high: float) -> float:
        return high

    def randrange(self, end: int) -> int:
        return 0

    def sample(self, population: list[EntryRef], size: int) -> list[EntryRef]:
        return population[:size]


class CountedRequests(SyncRequests):
    """Sync requests whose nonces are counted, not drawn."""

    def _new_nonce(self) -> int:
        return next(numbers)


class QuietServer(SyncServer):
    """Sends nothing but what it is asked for."""

    def newest_entry(self, now_ms: float, sender: int) -> list[SendToPeer]:
        return []


class SmallStore(ReplicatedStore):
    """A store that does nothing of its own accord and draws nothing."""

    requests_type = CountedRequests
    server_type = QuietServer

    def __init__(self, router_index: int, router_count: int, now_ms: float) -> None:
        super().__init__(
            router_index, router_count, next(numbers), 0, window_ms=WINDOW_MS, clock_rate=0.0, now_ms=now_ms
        )
        constant: Any = ConstantRandom()
        self.requests.rng = self.sessions.rng = self.server.rng = constant
        self.requests.next_reverse_request_at_ms = math.inf


class LateResponse(NamedTuple):
    """A sync response that is under way."""

    receiver: int
    sender: int
    data: bytes


@dataclass(frozen=True)
class ModelState:
    """Routers with at most one late response under way, and from when on the replicated entry is acted on."""

    now_ms: float
    stores: tuple[SmallStore, ...]
    late: LateResponse | None = None
    acts_from_ms: float = math.inf
    windows: int = 0  # that have passed
    restarts: int = 0

    def key(self) -> object:
        """What matters for what may follow: ages, not times; no nonces and no incarnations."""
        parts: list[object] = [self.windows, self.restarts, max(self.acts_from_ms - self.now_ms, -1.0)]
        needs_reads = any(not store.is_voter for store in self.stores) or self.restarts == 0
        for store in self.stores:
            freshness = store.replica.freshness
            times = [
                *(freshness.read_at_ms if needs_reads else ()),
                *freshness.read_as_voter_at_ms,
                *freshness.majority.latest_confirmation_times(),
                freshness.earlier_incarnation_expires_at_ms,
            ]
            ages = tuple(min(self.now_ms - time_ms, 2 * WINDOW_MS) for time_ms in times)
            parts += [store.replica.state.root_digest, freshness.is_voter, ages]
        if self.late is not None:
            response = codec.decode(self.late.data)
            assert isinstance(response, codec.SyncResponse)
            request = self.stores[self.late.receiver].requests.open_requests[response.nonce]
            age_ms = min(self.now_ms - request.sent_at_ms, 2 * WINDOW_MS)
            is_same_incarnation = self.stores[self.late.sender].incarnation == response.incarnation
            parts += [self.late.receiver, self.late.sender, age_ms]
            parts += [response.root_digest, response.is_voter, response.ages, is_same_incarnation]
        return tuple(parts)


def successors(state: ModelState, max_windows: int, max_restarts: int) -> Iterator[ModelState]:
    """All that may happen next: a window passes, a router starts without memory, a sync request is answered
    at once or late, the late response arrives. What is never chosen is lost.
    """
    if state.windows < max_windows:
        yield replace(state, now_ms=state.now_ms + WINDOW_MS, windows=state.windows + 1)
    if state.late is not None:
        yield _after_response(replace(state, late=None), state.late)
    for router in range(len(state.stores)):
        late = state.late if state.late is not None and state.late.receiver != router else None
        if state.restarts < max_restarts:
            restarted = SmallStore(router, len(state.stores), state.now_ms)
            yield replace(_with_store(state, router, restarted), restarts=state.restarts + 1, late=late)
        for peer in range(len(state.stores)):
            if peer != router:
                yield from _after_request(state, router, peer)


def _after_request(state: ModelState, router: int, peer: int) -> Iterator[ModelState]:
    requester = _copy(state.stores[router])
    if state.late is None:
        requester.requests.clear()
    request = requester.exchange.request_sync(state.now_ms, peer)
    (response,) = _copy(state.stores[peer]).on_message(state.now_ms, router, request.data)
    assert isinstance(response, SendToPeer)
    requested = _with_store(state, router, requester)
    under_way = LateResponse(router, peer, response.data)
    yield _after_response(requested, under_way)
    if state.late is None:
        yield replace(requested, late=under_way)


_pickled = functools.lru_cache(pickle.dumps)  # many copies are made of the stores of one state


def _copy(store: SmallStore) -> SmallStore:
    copied: SmallStore = pickle.loads(_pickled(store))
    copied.exchange.last_active_at_ms = math.inf  # time passes in large steps here, which are no pauses
    return copied


def _with_store(state: ModelState, router: int, store: SmallStore) -> ModelState:
    return replace(state, stores=(*state.stores[:router], store, *state.stores[router + 1 :]))


def _after_response(state: ModelState, response: LateResponse) -> ModelState:
    """A response arrives, and what is asked after it is answered at once, by whichever incarnation of the
    peer.
    """
    router, peer = response.receiver, response.sender
    store, other = _copy(state.stores[router]), _copy(state.stores[peer])
    messages = list(store.on_message(state.now_ms, peer, response.data))
    while messages:
        if isinstance(message := messages.pop(0), SendToPeer):
            for answer in other.on_message(state.now_ms, router, message.data):
                if isinstance(answer, SendToPeer):
                    messages += store.on_message(state.now_ms, peer, answer.data)
    is_replicated = any(change.replicated_at_ms is not None for change in store.take_changes())
    acts_from_ms = state.now_ms + WINDOW_MS if is_replicated else math.inf
    after = _with_store(state, router, store)
    return replace(after, acts_from_ms=min(state.acts_from_ms, acts_from_ms))


def explore_states(
    router_count: int, max_windows: int, max_restarts: int, max_states: int
) -> tuple[int, list[ModelState]]:
    """Breadth first: the number of states, and those in which a fresh router lacks what others act on."""
    start = ModelState(0.0, tuple(SmallStore(router, router_count, 0.0) for router in range(router_count)))
    for store in start.stores:
        store.restore((), is_voter=True)
    assert isinstance(start.stores[0].propose(0.0, EntryKind.FREEZE, "x", b""), Entry)
    seen, queue = {start.key()}, deque([start])
    violations: list[ModelState] = []
    while queue and len(seen) < max_states and not violations:
        for state in successors(queue.popleft(), max_windows, max_restarts):
            if (key := state.key()) not in seen:
                seen.add(key)
                queue.append(state)
                if state.now_ms > state.acts_from_ms and _has_fresh_store_without_entry(state):
                    violations.append(state)
    return len(seen), violations


def _has_fresh_store_without_entry(state: ModelState) -> bool:
    return any(not store.replica.state.records and store.is_fresh(state.now_ms) for store in state.stores)


@pytest.mark.parametrize(("count", "ticks", "restarts", "floor"), [(2, 2, 1, 4_800), (3, 2, 1, 10_000)])
def test_no_state_of_a_small_model_contradicts_the_theorem(
    count: int, ticks: int, restarts: int, floor: int
) -> None:
    """Two routers completely, 4832 states; of three the nearest states."""
    states, violations = explore_states(count, ticks, restarts, 12_000)
    print(f"{count} routers, {ticks} windows, {restarts} starts without memory: {states} states")
    assert not violations
    assert states > floor


@pytest.mark.parametrize("name", ["settles by a minority", "ages from reception"])
def test_the_small_model_finds_injected_defects(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*_defects()[name])
    assert explore_states(3, 2, 0, 12_000)[1]
