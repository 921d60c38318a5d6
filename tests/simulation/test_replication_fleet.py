"""Many registers on one virtual time: a judge that knows all contents holds them to the theorem."""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import pickle
import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest

from cedarthread.components.interface import Entry, EntryKind, PeersChanged, Version
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.replication import codec
from cedarthread.replication import entry as entries
from cedarthread.replication.codec import AGE_UNKNOWN, EntryRef
from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.majority import MajorityTracker
from cedarthread.replication.state import ReplicaState
from cedarthread.replication.store import MAX_TICK_INTERVAL_MS, ReplicatedStore
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_server import SyncServer
from cedarthread.replication.sync_session import SyncSession, SyncSessions

Orders = dict[entries.EntryKey, tuple[Version, int]]
LIVES = itertools.count(1)


class Judge:
    """Knows what each router truly held and when, in true time; believes no router."""

    def __init__(self, count: int) -> None:
        self.count, self.serial = count, itertools.count()
        self.history: dict[int, list[tuple[float, Orders]]] = {n: [(-1e9, {})] for n in range(count)}
        self.holders: dict[tuple[entries.EntryKey, tuple[Version, int]], dict[int, float]] = {}
        self.acts: list[
            tuple[float, int, entries.EntryKey, tuple[Version, int]]
        ] = []  # a heap: relaxed from then
        self.acted: dict[entries.EntryKey, tuple[tuple[Version, int], float]] = {}  # the most of it that is
        self.lives: dict[int, int] = {}
        self.born: dict[int, float] = {}  # when each last started
        self.found: list[str] = []

    def holds(self, now: float, n: int, register: ReplicatedStore) -> None:
        """Note what a router holds, read from its content alone."""
        slots = register.snapshot()
        held: Orders = {(e.kind, e.name): entries.order_key(e, entries.entry_digest(e)) for e in slots}
        before = self.history[n][-1][1]
        if register.incarnation == self.lives.get(n):
            for key, order in before.items():
                if key not in held or held[key] < order:
                    self.found.append(f"{n} went back in {key}")
        else:
            self.lives[n], self.born[n] = register.incarnation, now
        self.history[n].append((now, held))
        for key, order in held.items():
            self.holders.setdefault((key, order), {})[n] = now

    def settled(
        self, now: float, n: int, key: entries.EntryKey, order: tuple[Version, int], act: float
    ) -> None:
        """A router says that a majority has held an entry, and acts by it from ``act`` on."""
        if len(self.holders.get((key, order), {})) <= self.count // 2:
            self.found.append(f"{n} settles {key} by a minority")
        heapq.heappush(self.acts, (act, next(self.serial), key, order))

    def fresh(self, now: float, n: int) -> None:
        """A router acts as fresh: it must hold all that anybody acts by."""
        held = self.history[n][-1][1]
        while self.acts and self.acts[0][0] < now:
            act, _, key, order = heapq.heappop(self.acts)
            if key not in self.acted or self.acted[key][0] < order:
                self.acted[key] = order, act
        for key, (order, act) in self.acted.items():
            if key not in held or held[key] < order:
                self.found.append(f"{now:.0f}: {n} is fresh and lacks {key} of {act:.0f}")

    def read(self, now: float, n: int, k: int, at: float) -> None:
        """A router says that it lacks nothing that k held at a time; k may have forgotten it since."""
        if self.born[k] > at:
            return
        held = self.history[n][-1][1]
        past = next(content for time, content in reversed(self.history[k]) if time <= at)
        if any(key not in held or held[key] < order for key, order in past.items()):
            self.found.append(f"{now:.0f}: {n} has not read {k} as of {at:.0f}")


class World:
    """Registers that turn in their own time by their own clocks, over a network that does what it likes."""

    def __init__(
        self,
        count: int,
        seed: int,
        make: type[ReplicatedStore] = ReplicatedStore,
        seated: bool = True,
        **how: float,
    ) -> None:
        self.rng, self.count, self.make, self.how = random.Random(seed), count, make, how
        self.lives = itertools.count(1)
        self.loss, self.late, self.doubled = 0.0, 0.0, 0.1
        self.rho = how.get("clock_rate", 0.001)
        self.rate = [1 + self.rng.choice((-1, 0, 1)) * self.rho for _ in range(count)]
        self.now, self.bytes, self.longest, self.number = 0.0, 0, 0, 0
        self.judge, self.cut = Judge(count), set[tuple[int, int]]()
        self.steps: list[tuple[float, int, int, int, bytes | None]] = []
        self.stood: dict[int, list[tuple[int, bytes]]] = {}
        self.logs: list[str] = []
        self.settled: dict[int, dict[entries.EntryKey, float]] = {n: {} for n in range(count)}
        self.share = [0, 0]  # of turns: fresh, all
        self.routers: dict[int, ReplicatedStore] = {}
        for n in range(count):
            self.start(n, seated)
            self.step(self.rng.uniform(0, MAX_TICK_INTERVAL_MS), n, -1, None)

    def local(self, n: int, at: float) -> float:
        return 1e6 * n + at * self.rate[n]

    def true(self, n: int, at: float) -> float:
        return (at - 1e6 * n) / self.rate[n]

    def start(self, n: int, seated: bool = False, store: tuple[Entry, ...] = ()) -> None:
        """A router starts, without memory but for a store's."""
        life, now = next(self.lives), self.local(n, self.now)
        self.routers[n] = self.make(n, self.count, life, 7, now=now, **self.how)  # type: ignore[arg-type]
        self.routers[n].restore(store, seated, now)
        self.judge.holds(self.now, n, self.routers[n])

    def step(self, at: float, n: int, sender: int, data: bytes | None) -> None:
        self.number += 1
        heapq.heappush(self.steps, (at, self.number, n, sender, data))

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> float:
        """Time goes on by so much, or until then; the time that it took."""
        begin = self.now
        while self.steps and self.steps[0][0] <= begin + ms and not until():
            self.now, _, n, sender, data = heapq.heappop(self.steps)
            if data is None:
                self.step(self.now + self.rng.uniform(0.8, 1.0) * MAX_TICK_INTERVAL_MS, n, -1, None)
            if n in self.stood:
                self.stood[n] += [(sender, data)] if data is not None else []
                continue
            register, now = self.routers[n], self.local(n, self.now)
            self.after(n, register.on_tick(now) if data is None else register.on_message(now, sender, data))
            if data is None:
                self.share[0] += register.is_fresh(now)
                self.share[1] += 1
                self.look(n, register)
        self.now = self.now if until() else begin + ms
        return self.now - begin

    def look(self, n: int, register: ReplicatedStore) -> None:
        for k, at in enumerate(register.replica.freshness.read_as_voter_at_ms):
            if at > -1e300 and k != n:
                self.judge.read(self.now, n, k, self.true(n, at))

    def after(self, n: int, words: object) -> None:
        """What a router did is seen: its content by the judge, its words by the network."""
        register, now = self.routers[n], self.local(n, self.now)
        taken = register.take_changes()
        if taken:
            self.judge.holds(self.now, n, register)
        for held in taken:
            key = held.entry.kind, held.entry.name
            if held.replicated_at_ms is not None:
                act = self.now + (register.staleness_bound_ms - MAX_TICK_INTERVAL_MS) / self.rate[n]
                order = entries.order_key(held.entry, entries.entry_digest(held.entry))
                self.judge.settled(self.now, n, key, order, act)
                self.settled[n].setdefault(key, self.now)
        if register.is_fresh(now):
            self.judge.fresh(self.now, n)
        for word in words:  # type: ignore[attr-defined]
            if isinstance(word, LogMessage):
                self.logs.append(f"{n}: {word.message}")
            else:
                self.send(n, word)

    def send(self, n: int, tell: SendToPeer) -> None:
        assert tell.peer_index is not None and tell.peer_index != n
        self.bytes += len(tell.data)
        self.longest = max(self.longest, len(tell.data))
        for _ in range(2 if self.rng.random() < self.doubled else 1):
            late = self.rng.random() < self.late
            delay = self.rng.uniform(50, 4000) if late else self.rng.uniform(0.5, 30)
            if (n, tell.peer_index) not in self.cut and self.rng.random() >= self.loss:
                self.step(self.now + delay, tell.peer_index, n, tell.data)

    def propose(self, n: int, name: str, body: bytes, kind: EntryKind = EntryKind.CONTRACT) -> Entry:
        entry = self.routers[n].propose(self.local(n, self.now), kind, name, body)
        assert isinstance(entry, Entry)
        self.after(n, [])
        return entry

    def resume(self, n: int) -> None:
        for sender, data in self.stood.pop(n):
            self.step(self.now, n, sender, data)

    def alike(self) -> bool:
        return len({register.replica.state.root_digest for register in self.routers.values()}) == 1


def chaos(make: type[ReplicatedStore], seed: int, count: int = 5, rounds: int = 40) -> World:
    """Everything at once, at the clocks' limits; at most one router has no memory of its seat at a time."""
    world = World(count, seed, make, period_ms=100.0, window_ms=2000.0, clock_rate=0.05)
    world.loss, world.late, world.doubled = 0.1, 0.15, 0.3
    dice = random.Random(seed)
    for number in range(rounds):
        what = dice.choice(("edit", "edit", "cut", "cut", "heal", "start", "stand", "resume"))
        n = dice.randrange(count)
        if what == "edit" and n not in world.stood:
            world.propose(n, f"tenant {dice.randrange(4)}", b"%d" % number)
        elif what == "cut":
            side = {m for m in range(count) if dice.random() < 0.5}
            both = dice.random() < 0.5
            pairs = itertools.product(range(count), repeat=2)
            world.cut = {(a, b) for a, b in pairs if (a in side) != (b in side) and (both or a in side)}
        elif what == "heal":
            world.cut.clear()
        elif what == "start" and all(r.is_voter for r in world.routers.values()):
            world.start(n)
        elif what == "stand" and not world.stood:
            world.stood[n] = []
        elif what == "resume":
            for m in list(world.stood):
                world.resume(m)
        world.run(dice.uniform(200, 3000))
    return world


def only(world: World, *groups: set[int]) -> None:
    """Routers hear others of their group alone, and know it."""
    for a, b in itertools.product(range(world.count), repeat=2):
        (world.cut.discard if any({a, b} <= group for group in groups) else world.cut.add)((a, b))
    for n, register in world.routers.items():
        near = {m for group in groups if n in group for m in group if m != n}
        register.on_notification(
            world.local(n, world.now), PeersChanged(tuple(sorted(near)), world.count, {})
        )


def forgets() -> World:
    """One that held an entry forgets it and reads those who never knew it; it settles by what was held."""
    world = World(5, 1, period_ms=100.0, window_ms=4000.0)
    only(world, {0, 2}, {1, 3, 4})
    world.propose(0, "x", b"settled")
    world.run(1500.0)
    world.start(2)
    only(world, {1, 2, 3, 4})
    world.run(1000.0)
    only(world, {0, 1}, {2, 3, 4})
    world.run(12_000.0)
    return world


def reborn() -> World:
    """One restarts just after it has replied, and lists in its new life what it holds: nothing."""
    world = World(3, 2, period_ms=100.0, window_ms=4000.0)
    only(world, {0, 1})
    world.propose(0, "x", b"settled")
    world.run(5000.0)  # longer than the newest entry is told unasked
    only(world, {1, 2})
    world.run(3000.0, lambda: bool(world.routers[2].sessions.sessions))
    world.start(1)
    world.run(12_000.0)
    return world


def judged() -> Iterator[World]:
    """All worlds that the judge sees."""
    yield forgets()
    yield reborn()
    yield from (chaos(ReplicatedStore, seed) for seed in range(12))


def test_who_forgot_what_it_held_counts_for_nobody() -> None:
    world = forgets()
    assert world.settled[0], "settled by what it held before"
    assert not world.judge.found and not world.routers[4].is_fresh(world.local(4, world.now))
    world = reborn()
    assert world.settled[1] and not world.judge.found and not world.alike()


@pytest.mark.parametrize("seed", range(8))
def test_whoever_is_fresh_holds_what_was_settled_a_bound_ago(seed: int) -> None:
    world = chaos(ReplicatedStore, seed)
    assert not world.judge.found
    for m in list(world.stood):
        world.resume(m)
    world.cut.clear()
    world.run(30_000.0)
    assert world.alike() and not world.judge.found and world.longest <= MAX_DATAGRAM_BYTES
    assert all(r.is_fresh(world.local(n, world.now)) for n, r in world.routers.items())
    assert sum(len(s) for s in world.settled.values()) > 3


def _defects() -> dict[str, tuple[type, str, Callable[..., object]]]:
    """Each breaks one rule: class, method, what stands in its place."""
    confirm, read, holders = (
        FreshnessTracker.record_response,
        FreshnessTracker._record_read,
        MajorityTracker._count_holders,
    )

    def floor(self: FreshnessTracker, age: float, scale: float) -> int:
        return min(AGE_UNKNOWN, int(age * scale / 1.2))

    def seat(self: FreshnessTracker, now: float) -> bool:
        return (
            sum(at >= self.started_at_ms for at in self.read_as_voter_at_ms) > self.router_count - self.quorum
        )

    return {
        "ages from reception": (
            FreshnessTracker,
            "record_response",
            lambda s, now, k, _, r: confirm(s, now, k, now, r),
        ),
        "fresh by a minority": (
            FreshnessTracker,
            "_compute_fresh_until",
            lambda s: sorted(s.read_as_voter_at_ms)[-1] + s.window_ms,
        ),
        "unseated count": (FreshnessTracker, "_record_read", lambda s, k, at, _, h: read(s, k, at, True, h)),
        "settles by a minority": (
            MajorityTracker,
            "_count_holders",
            lambda s, now, c: holders(s, now, c) + 1,
        ),
        "the last holds": (ReplicaState, "supersedes", lambda *_: True),
        "nonces come again": (SyncRequests, "_new_nonce", lambda s: s.rng.getrandbits(2)),
        "ages too young": (FreshnessTracker, "_age_in_steps", floor),
        "a reply counts before its content is held": (SyncSessions, "_confirm_if_covered", _unproven),
        "a seat at once": (FreshnessTracker, "can_become_voter", lambda *_: True),
        "a seat by what was read before V after the start": (FreshnessTracker, "can_become_voter", seat),
        "what was held counts for ever": (
            MajorityTracker,
            "_count_holders",
            lambda s, _, c: holders(s, -math.inf, c),
        ),
        "a later life's summary counts": (SyncSessions, "_is_same_incarnation", lambda *_: True),
    }


def _unproven(self: SyncSessions, now: float, session: SyncSession) -> bool:
    self.replica.freshness.record_response(now, session.peer, session.sent_at_ms, session.response)
    self.replica.update_freshness(now)
    return session.root_digest in self.replica.state.covered_roots


@pytest.mark.parametrize("name", _defects())
def test_the_judge_finds_what_is_planted(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*_defects()[name])
    assert any(world.judge.found for world in judged())


class Plain:
    """No chance at all."""

    def uniform(self, low: float, high: float) -> float:
        return high

    def randrange(self, end: int) -> int:
        return 0

    def sample(self, among: list[EntryRef], number: int) -> list[EntryRef]:
        return among[:number]


class CountedRequests(SyncRequests):
    """Sync requests whose nonces are counted, not drawn."""

    def _new_nonce(self) -> int:
        return next(LIVES)


class QuietServer(SyncServer):
    """Sends nothing but what it is asked for."""

    def newest_entry(self, now: float, sender: int) -> list[SendToPeer]:
        return []


class Small(ReplicatedStore):
    """A store that does nothing of its own accord and draws nothing."""

    requests_type = CountedRequests
    server_type = QuietServer

    def __init__(self, router_index: int, router_count: int, now: float) -> None:
        super().__init__(router_index, router_count, next(LIVES), 0, window_ms=V, clock_rate=0.0, now=now)
        self.requests.rng = self.sessions.rng = self.server.rng = Plain()  # type: ignore[assignment]
        self.requests.next_reverse_request_at_ms = math.inf


V = 1000.0


@dataclass(frozen=True)
class State:
    """Routers with at most one late reply under way, and when each settled entry is acted by."""

    now: float
    routers: tuple[Small, ...]
    late: tuple[int, int, bytes] | None = None  # to, of, what
    act: float = math.inf
    ticks: int = 0
    restarts: int = 0

    def mark(self) -> object:
        """What of it matters for what may come: times from now on back, no nonces, no lives."""
        marks: list[object] = [self.ticks, self.restarts, max(self.act - self.now, -1.0)]
        some = any(not register.is_voter for register in self.routers) or self.restarts == 0
        for register in self.routers:
            e = register.replica.freshness
            times = [
                *(e.read_at_ms if some else ()),
                *e.read_as_voter_at_ms,
                *e.majority.latest_holder_times(),
                e.earlier_incarnation_expires_at_ms,
            ]
            marks += [
                register.replica.state.root_digest,
                e.is_voter,
                tuple(min(self.now - at, 2 * V) for at in times),
            ]
        if self.late is not None:
            to, of, data = self.late
            reply = codec.decode(data)
            assert isinstance(reply, codec.SyncResponse)
            sent = self.now - self.routers[to].requests.open_requests[reply.nonce].sent_at_ms
            same = self.routers[of].incarnation == reply.incarnation
            marks += [to, of, min(sent, 2 * V), reply.root_digest, reply.is_voter, reply.ages, same]
        return tuple(marks)


def steps(state: State, ticks: int, restarts: int) -> Iterator[State]:
    """All that may happen next: a tick of V, a start without memory, a pull that is answered at once or late,
    the late answer. What is never chosen is lost."""
    if state.ticks < ticks:
        yield replace(state, now=state.now + V, ticks=state.ticks + 1)
    if state.late is not None:
        yield _arrives(replace(state, late=None), *state.late)
    for n in range(len(state.routers)):
        late = state.late if state.late is not None and state.late[0] != n else None
        if state.restarts < restarts:
            born = Small(n, len(state.routers), state.now)
            yield replace(_with(state, n, born), restarts=state.restarts + 1, late=late)
        for peer in range(len(state.routers)):
            if peer != n:
                asker = _copy(state.routers[n])
                if state.late is None:
                    asker.requests.clear()
                (reply,) = _copy(state.routers[peer]).on_message(
                    state.now, n, asker._request_sync(state.now, peer).data
                )
                assert isinstance(reply, SendToPeer)
                asked = _with(state, n, asker)
                yield _arrives(asked, n, peer, reply.data)
                if state.late is None:
                    yield replace(asked, late=(n, peer, reply.data))


_pickled = functools.lru_cache(pickle.dumps)  # of the registers of one state many copies are made


def _copy(register: Small) -> Small:
    copied: Small = pickle.loads(_pickled(register))
    copied.last_active_at_ms = math.inf  # time goes in large steps here
    return copied


def _with(state: State, n: int, register: Small) -> State:
    return replace(state, routers=(*state.routers[:n], register, *state.routers[n + 1 :]))


def _arrives(state: State, n: int, peer: int, data: bytes) -> State:
    """A reply comes, and what is asked after it is answered at once, by whatever life of the other."""
    register, other = _copy(state.routers[n]), _copy(state.routers[peer])
    words = list(register.on_message(state.now, peer, data))
    while words:
        if isinstance(word := words.pop(0), SendToPeer):
            for answer in other.on_message(state.now, n, word.data):
                words += (
                    register.on_message(state.now, peer, answer.data)
                    if isinstance(answer, SendToPeer)
                    else []
                )
    settled = any(held.replicated_at_ms is not None for held in register.take_changes())
    return replace(_with(state, n, register), act=min(state.act, state.now + V if settled else math.inf))


def explore(count: int, ticks: int, restarts: int, most: int) -> tuple[int, list[State]]:
    """States that are reached, breadth first, and those in which a fresh router lacks what others act by."""
    start = State(0.0, tuple(Small(n, count, 0.0) for n in range(count)))
    for register in start.routers:
        register.restore((), is_voter=True)
    assert isinstance(start.routers[0].propose(0.0, EntryKind.FREEZE, "x", b""), Entry)
    seen, queue = {start.mark()}, deque([start])
    wrong: list[State] = []
    while queue and len(seen) < most and not wrong:
        for state in steps(queue.popleft(), ticks, restarts):
            if (mark := state.mark()) not in seen:
                seen.add(mark)
                queue.append(state)
                lacks = [r for r in state.routers if not r.replica.state.records and r.is_fresh(state.now)]
                wrong += [state] if lacks and state.now > state.act else []
    return len(seen), wrong


@pytest.mark.parametrize(("count", "ticks", "restarts", "floor"), [(2, 2, 1, 4_800), (3, 2, 1, 10_000)])
def test_no_state_of_a_small_world_breaks_the_theorem(
    count: int, ticks: int, restarts: int, floor: int
) -> None:
    """Two routers in full, 4832 states; of three the nearest states."""
    states, wrong = explore(count, ticks, restarts, 12_000)
    print(f"{count} routers, {ticks} windows, {restarts} starts without memory: {states} states")
    assert not wrong and states > floor


@pytest.mark.parametrize("name", ["settles by a minority", "ages from reception"])
def test_the_small_world_finds_what_is_planted(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(*_defects()[name])
    assert explore(3, 2, 0, 12_000)[1]
