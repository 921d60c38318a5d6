"""A toy fleet on virtual time: routers with the freeze part, a register and grants that only delay, and
runners whose own books say what was newly placed. The judge reads those books alone."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest

from cedarthread.change_freeze import stale_hold, window
from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.deferred_changes import ReleaseRateLimiter
from cedarthread.change_freeze.placement_changes import AdmissionAnswer, AdmissionDecision, PlacementChange
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window_entries import (
    ALL_CHANGE_KINDS,
    BreakGlass,
    Revocation,
    WindowBody,
    WindowTerms,
    encode,
)
from cedarthread.components.interface import (
    AttemptCompleted,
    Entry,
    EntryKind,
    ReplicatedEntry,
    Version,
    WallClockRead,
)
from cedarthread.fleet_config import SharingConfig
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings
from tests.helpers import settings

T0 = 1_800_000_000_000.0  # true Unix ms at virtual time 0
BOUND, V, SPREAD, TURN = 4000.0, 3000.0, 1500.0, 250.0
ROUTERS, WORKERS, FUNCTIONS = 6, 8, 30
RATE, ERROR = 0.001, 500.0
ROTATES = 5000.0  # ms after which each function is wanted elsewhere: desire to move never ends


@dataclass
class Runner:
    number: int
    life: int = 0
    gone: bool = False
    draining: bool = False
    stood: set[int] = field(default_factory=set)

    def entry(self) -> Endpoint:
        state = EndpointState.DRAINING if self.draining else EndpointState.READY
        return Endpoint(self.number, self.number % 2, 0, 0, state, 1.0, float(self.life))


class Grants:
    """Parts by rank that sum up to the total; who restarts has none."""

    per_router = False

    def __init__(self, number: int, empty: bool) -> None:
        self.number, self.empty = number, empty
        self.totals: dict[str, int] = {}
        self.spent: dict[str, int] = {}

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now: float, name: str) -> int:
        total = self.totals.get(name, 0)
        part = total // ROUTERS + (self.number < total % ROUTERS)
        if self.empty:
            part = 0
        return (total if self.per_router else part) - self.spent.get(name, 0)

    def consume(self, now: float, name: str, amount: int = 1) -> bool:
        if self.available(now, name) < amount:
            return False
        self.spent[name] = self.spent.get(name, 0) + amount
        return True

    def request(self, now: float, name: str, amount: int) -> None:
        pass


class Register:
    """What one router holds: entries that come after a while, settled when most hold them."""

    staleness_bound_ms = BOUND

    def __init__(self, fleet: Fleet, router: Router) -> None:
        self.fleet, self.router = fleet, router
        self.had: dict[EntryKind, list[tuple[float, Entry, float]]] = {kind: [] for kind in EntryKind}

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        now, local = self.fleet.now, self.router.steady
        newest: dict[str, ReplicatedEntry] = {}
        for at, entry, most in self.had[kind]:
            old = newest.get(entry.name)
            if at <= now and (old is None or old.entry.version < entry.version):
                settled = max(at, most)
                newest[entry.name] = ReplicatedEntry(
                    entry, local(at), local(settled) if settled <= now else None
                )
        return tuple(newest.values())

    def is_fresh(self, now: float) -> bool:
        since, until = self.router.cut
        late = (max(self.router.born, until) if since <= self.router.born else self.router.born) + SPREAD
        late *= self.router.born > 0.0
        return self.fleet.now >= late and not since + V <= self.fleet.now < until + SPREAD

    def fresh_since(self, now: float) -> float | None:
        return now if self.is_fresh(now) else None


class Router:
    def __init__(self, fleet: Fleet, number: int, born: float = 0.0) -> None:
        self.fleet, self.number, self.born = fleet, number, born
        self.drift = RATE * ((number % 3) - 1)
        self.wall_error = ERROR * ((number % 3) - 1)
        self.step = 0.0
        self.cut = (float("inf"), 0.0)
        self.settings = settings(router_count=ROUTERS, router_index=number, zones=("north", "south"))
        self.register, self.grants = Register(fleet, self), fleet.grants(number, born > 0)
        sharing = SharingConfig(clock_rate=RATE, clock_error=2 * ERROR)
        self.part = ChangeFreezeComponent(
            self.settings, sharing, self.register, self.grants, now=self.steady(fleet.now)
        )
        self.out: dict[int, int] = {}
        self.log: list[str] = []
        self.turn()
        workers = tuple(runner.entry() for runner in fleet.runners)
        self.part.on_notification(self.local, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, workers))

    def steady(self, at: float) -> float:
        return 7000.0 * self.number + at * (1.0 + self.drift)

    @property
    def local(self) -> float:
        return self.steady(self.fleet.now)

    def turn(self) -> None:
        now, true = self.local, T0 + self.fleet.now
        words = [
            *self.part.on_notification(now, WallClockRead(true + self.wall_error + self.step)),
            *self.part.on_tick(now),
        ]
        self.log += [word.message for word in words if isinstance(word, LogMessage)]
        for wish in self.part.release_deferred_changes(now):
            if wish.kind == "retune" and self.part.gate.deferred_settings is not None:
                self.retune(self.part.gate.deferred_settings)
            elif wish.worker_id is not None and wish.function_id is not None and wish.kind != "unload":
                self.fleet.load(wish.worker_id, wish.function_id)
        for other in self.fleet.routers:  # one question and its answer a turn, where none is cut off
            if other is not self and not self.fleet.cut_off(self) and not self.fleet.cut_off(other):
                told = other.part.wall_clock.unix_ms(other.local)
                self.part.wall_clock.add_sample(now, other.number, told, now - 2.0)

    def call(self, function: int, tries: int = 10) -> None:
        now, fleet, gate = self.local, self.fleet, self.part.gate
        ready = [r for r in fleet.runners if not r.gone]
        order = sorted(ready, key=lambda r: fleet.liking(r.number, function, fleet.now // ROTATES))
        ranked, homes = gate.home_workers(now, function, [r.number for r in order if not r.draining], 2)
        candidates = []
        for runner in order:
            stands = self.fleet.now > self.born + 500.0 and function in runner.stood
            at = ranked.index(runner.number) if runner.number in ranked else 99
            free = self.out.get(runner.number, 0) < 3
            distance = float(at >= homes) * 10.0 + at
            candidates.append(
                PlacementCandidate(
                    runner.number, not runner.draining, stands, free, distance, runner.number % 2
                )
            )
            if stands:
                gate.placements.record(now, function, runner.number)
        way, worker = gate.route_call(now, function, None, candidates)
        if worker is not None and way in (RoutingVerdict.SEND, RoutingVerdict.LOAD):
            change = PlacementChange(
                "first-copy", worker, function, worker % 2, None, way is RoutingVerdict.LOAD
            )
            if gate.admit(now, change).is_permitted:
                return fleet.send(self, worker, function)
        if tries:
            return fleet.at(fleet.now + 100.0, lambda: self.call(function, tries - 1))
        fleet.refused.append((fleet.now, function))
        if any(function in r.stood and not r.draining and self.out.get(r.number, 0) < 3 for r in ready):
            fleet.shunned.append((fleet.now, function))

    def ended(self, worker: int, life: int, function: int) -> None:
        self.out[worker] -= 1
        runner = self.fleet.runners[worker]
        if runner.life == life and not runner.gone:
            self.part.on_notification(
                self.local, AttemptCompleted(worker, function, None, 30.0, Outcome.OK, True)
            )

    def order(self, function: int) -> None:
        """A wish to have the function where it does not stand; and one to unload it."""
        wanted = [r for r in self.fleet.runners if function not in r.stood and not (r.gone or r.draining)]
        if (
            wanted
            and self.part.gate.admit(
                self.local, PlacementChange("order", wanted[0].number, function)
            ).is_permitted
        ):
            self.fleet.load(wanted[0].number, function)
        unload = PlacementChange("unload", wanted[-1].number if wanted else 0, function)
        self.fleet.unloads += [self.fleet.now] * self.part.gate.admit(self.local, unload).is_permitted

    def retune(self, new: RouterSettings) -> None:
        """New settings that move homes: what they move is loaded at once."""
        before, self.settings = (
            self.settings,
            self.part.gate.admitted_settings(self.local, self.settings, new),
        )
        if self.settings.prices != before.prices:
            for function in range(5):
                for worker in range(WORKERS):
                    self.fleet.load(worker, function)


class Fleet:
    grants: type[Grants] = Grants

    def __init__(self, seed: int = 1) -> None:
        self.rng, self.now, self.serial = random.Random(seed), 0.0, 0
        self.runners = [Runner(number) for number in range(WORKERS)]
        self.placed: list[tuple[float, int, int]] = []  # the runners' books: when, worker, function
        self.refused: list[tuple[float, int]] = []
        self.shunned: list[tuple[float, int]] = []  # refused though a standing copy had room
        self.unloads: list[float] = []
        self.served = self.version = 0
        self.steps: list[tuple[float, int, Callable[[], None]]] = []
        self.routers: list[Router] = []

    def start(self) -> Fleet:
        for number in range(ROUTERS):
            self.routers.append(Router(self, number))
        return self

    @staticmethod
    @functools.cache
    def liking(worker: int, function: int, epoch: float) -> float:
        return random.Random(f"{worker} {function} {epoch}").random()

    def at(self, time: float, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.steps, (time, self.serial, what))

    def run(self, until: float) -> Fleet:
        while self.now < until:
            self.now += 10.0
            while self.steps and self.steps[0][0] <= self.now:
                heapq.heappop(self.steps)[2]()
            for router in self.routers:
                if (self.now + 40.0 * router.number) % TURN == 0.0:
                    router.turn()
            if self.now % 20.0 == 0.0:
                self.rng.choice(self.routers).call(int(self.rng.paretovariate(0.8)) % FUNCTIONS)
            if self.now % 1000.0 == 0.0:
                self.rng.choice(self.routers).order(self.rng.randrange(FUNCTIONS))
        return self

    def cut_off(self, router: Router) -> bool:
        return router.cut[0] <= self.now < router.cut[1]

    def declare(self, kind: EntryKind, body: WindowBody, over: int = 0) -> None:
        self.version += 1
        entry = Entry(kind, body.window_id, Version(self.version, 0, 1), encode(body), over)
        times = {r.number: self.now + self.rng.uniform(0.0, SPREAD) * (r.number > 0) for r in self.routers}
        for router in self.routers:
            if self.cut_off(router):
                times[router.number] = router.cut[1] + self.rng.uniform(0.0, SPREAD)
        most = sorted(times.values())[ROUTERS // 2]
        for router in self.routers:
            router.register.had[kind].append((times[router.number], entry, most))

    def load(self, worker: int, function: int) -> None:
        runner = self.runners[worker]
        if not runner.gone and function not in runner.stood:
            runner.stood.add(function)
            self.placed.append((self.now, worker, function))

    def send(self, router: Router, worker: int, function: int) -> None:
        self.load(worker, function)
        self.served += 1
        router.out[worker] = router.out.get(worker, 0) + 1
        life = self.runners[worker].life
        self.at(self.now + 30.0, lambda: router.ended(worker, life, function))

    def die(self, worker: int, back: bool = True, drain: bool = False) -> None:
        runner = self.runners[worker]
        runner.draining = drain
        if not drain:
            runner.life, runner.gone, runner.stood = runner.life + 1, not back, set()
        entry = runner.entry()
        for router in self.routers:
            if runner.gone:
                told = EndpointUpdate(
                    EndpointUpdateKind.SNAPSHOT, 1, tuple(r.entry() for r in self.runners if not r.gone)
                )
            else:
                told = EndpointUpdate(EndpointUpdateKind.DELTA, 1, (entry,))
            router.part.on_notification(router.local, told)

    def restart(self, number: int, keeps: bool) -> None:
        """``keeps``: its store gives back what it held; else it holds nothing until it is fresh."""
        old = self.routers[number]
        new = Router(self, number, self.now)
        new.step, new.cut = old.step, old.cut
        for kind, had in old.register.had.items():
            back = max(self.now, old.cut[1]) + SPREAD
            new.register.had[kind] = had if keeps else [(max(at, back), e, m) for at, e, m in had]
        self.routers[number] = new

    # The judge.

    def changes(self, since: float, until: float) -> int:
        return sum(since <= at < until for at, _, _ in self.placed)

    def peak(self, since: float, until: float, span: float = 250.0) -> int:
        times = [at for at, _, _ in self.placed if since <= at < until]
        return max((sum(t <= other < t + span for other in times) for t in times), default=0)


START, END = 20_000.0, 60_000.0
UNTIL = 80_000.0


def terms(start: float = START, end: float = END, **changes: Any) -> WindowTerms:
    base = WindowTerms("w", int(T0 + start), int(T0 + end), (), (), (), ALL_CHANGE_KINDS, 0, "ops", "cycle")
    return msgspec.structs.replace(base, **changes)


def revoke() -> Revocation:
    return Revocation("w", "ops", "over")


# Each scenario returns what the judge holds against the fleet: nothing, where all is well.
Judged = list[str]


def over(fleet: Fleet, since: float, until: float, allowance: int = 0) -> Judged:
    made = fleet.changes(since, until)
    return [f"{made} changes from {since} to {until}, {allowance} allowed"] * (made > allowance)


def calm(fleet: Fleet) -> Judged:
    fleet.declare(EntryKind.FREEZE, terms())
    fleet.run(UNTIL)
    bad = over(fleet, START, END) + ["unloaded"] * any(START <= at < END for at in fleet.unloads)
    bad += ["nothing was wanted, or nothing came back"] * (fleet.changes(END, UNTIL) == 0)
    return bad + ["refused"] * bool(fleet.refused)


def late(fleet: Fleet) -> Judged:
    fleet.run(15_000.0).declare(EntryKind.FREEZE, terms(15_100.0))
    fleet.run(END)
    said = all("too late" in "".join(router.log) for router in fleet.routers)
    return over(fleet, 15_000.0 + BOUND, END) + ["it did not say that it is late"] * (not said)


def deaths(fleet: Fleet) -> Judged:
    fleet.declare(EntryKind.FREEZE, terms(exception_budget=7))
    fleet.run(25_000.0)
    for worker in range(6):
        fleet.die(worker, back=worker % 2 == 0, drain=worker == 5)
        fleet.run(fleet.now + 4_000.0)
    fleet.run(END)
    bad = over(fleet, START, END, 7) + ["the allowance was not used"] * (fleet.changes(START, END) == 0)
    return bad + ["a standing copy had room"] * bool(fleet.shunned)


def revoked(fleet: Fleet) -> Judged:
    fleet.declare(EntryKind.FREEZE, terms())
    fleet.run(30_000.0).declare(EntryKind.REVOKE, revoke())
    fleet.run(END - 5_000.0)
    bad = over(fleet, START, 30_000.0 + BOUND)
    return bad + ["it was not revoked"] * (fleet.changes(30_000.0 + BOUND + SPREAD, END - 5_000.0) == 0)


def glass(fleet: Fleet) -> Judged:
    fleet.declare(EntryKind.FREEZE, terms())
    fleet.run(25_000.0).declare(EntryKind.BREAK_GLASS, BreakGlass("w", int(T0 + 45_000.0), "ops", "fire"))
    fleet.run(END)
    bad = over(fleet, START, 25_000.0 + BOUND) + over(fleet, 45_000.0, END)
    return bad + ["it was not broken open"] * (fleet.changes(31_000.0, 44_000.0) == 0)


def edits(fleet: Fleet) -> Judged:
    """It is extended, and one overlaps it; then it is cut short: only that waits until all know."""
    fleet.declare(EntryKind.FREEZE, terms(end=40_000.0))
    fleet.declare(EntryKind.FREEZE, terms(35_000.0, 50_000.0, window_id="x", function_ids=(1, 2)))
    fleet.run(39_900.0 - BOUND).declare(EntryKind.FREEZE, terms(), over=1)
    fleet.run(45_000.0).declare(EntryKind.FREEZE, terms(end=46_000.0), over=2)
    fleet.run(UNTIL)
    freed = [p for p in fleet.placed if 45_000.0 + BOUND + SPREAD + 3000.0 <= p[0] < END]
    early = [p for p in fleet.placed if p[0] < 50_000.0 and p[2] in (1, 2) and p[0] >= START]
    bad = over(fleet, START, 45_000.0 + BOUND) + ["the overlap did not hold"] * bool(early)
    return bad + ["it was not cut short"] * (not freed)


def steps(fleet: Fleet) -> Judged:
    """Clocks of two step by hours, and one alone by half a second; then all at once from one bad source."""
    fleet.declare(EntryKind.FREEZE, terms())
    fleet.run(25_000.0)
    for number, step in ((1, 7_200_000.0), (2, -7_200_000.0), (3, 80_000.0)):
        fleet.routers[number].step = step
    fleet.run(40_000.0)
    for router in fleet.routers:
        router.step = 36_000_000.0
    fleet.run(UNTIL)
    return over(fleet, START, END) + ["it did not end"] * (fleet.changes(END, UNTIL) == 0)


def slow_start(fleet: Fleet) -> Judged:
    """A router whose clock is hours slow from its start: the window begins for it by the others' clocks."""
    fleet.routers[3].step = -7_200_000.0
    fleet.restart(3, keeps=False)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, terms(21_000.0))
    fleet.run(END)
    said = "behind most others" in "".join(fleet.routers[3].log)
    return over(fleet, 21_000.0, END) + ["it did not say that its clock is off"] * (not said)


def restarts(fleet: Fleet) -> Judged:
    """Routers lose all that they knew in the window, some of them cut off as well."""
    fleet.declare(EntryKind.FREEZE, terms(exception_budget=3))
    fleet.run(28_000.0)
    fleet.routers[4].cut = (28_000.0, 45_000.0)
    for number in (1, 2, 4):
        fleet.restart(number, keeps=number == 2)
    return over(fleet.run(END), START, END, 3)


def unheard(fleet: Fleet) -> Judged:
    """Nobody hears anybody from long before the end: it ends at its end."""
    fleet.declare(EntryKind.FREEZE, terms(end=100_000.0))
    fleet.run(25_000.0)
    for router in fleet.routers:
        router.cut = (25_000.0, 1e9)
    fleet.run(110_000.0)
    return over(fleet, START, 100_000.0) + ["it did not end"] * (fleet.changes(100_000.0, 110_000.0) == 0)


def cut_off(fleet: Fleet) -> Judged:
    """One that is cut off cannot know of a window that is declared meanwhile: it holds still on its own."""
    fleet.routers[2].cut = (12_000.0, 50_000.0)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, terms(21_000.0))
    return over(fleet.run(END), 21_000.0, END)


def retunes(fleet: Fleet) -> Judged:
    fleet.declare(EntryKind.FREEZE, terms())
    fleet.run(30_000.0)
    for router in fleet.routers:
        prices = dataclasses.replace(router.settings.prices, idle_memory=0.5)
        router.retune(dataclasses.replace(router.settings, prices=prices))
    fleet.run(UNTIL)
    moved = all(router.settings.prices.idle_memory == 0.5 for router in fleet.routers)
    return over(fleet, START, END) + ["the settings never came"] * (not moved)


def ends_gently(fleet: Fleet) -> Judged:
    """What was wanted meanwhile is not all done at once: no peak over that of the same fleet unfrozen."""
    fleet.declare(EntryKind.FREEZE, terms())
    peak = fleet.run(UNTIL).peak(END, UNTIL)
    most = 1.5 * Fleet().start().run(END).peak(10_000.0, END)
    return [f"{peak} changes in 250 ms, {most} at most"] * (peak > most)


SCENARIOS = (
    calm, late, deaths, revoked, glass, edits, steps, slow_start, restarts, unheard, cut_off, retunes,
    ends_gently,
)  # fmt: skip


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.__name__)
def test_the_fleet_holds_still_but_for_the_allowance(scenario: Callable[[Fleet], Judged]) -> None:
    assert scenario(Fleet().start().run(10_000.0)) == []


class PerRouter(Grants):
    per_router = True


def ungated(gate: AdmissionGate, now: float, change: PlacementChange) -> AdmissionDecision:
    return AdmissionDecision(AdmissionAnswer.PERMITTED) if change.kind == "order" else MAY(gate, now, change)


MAY, TOLD = AdmissionGate.admit, WallClock.on_host_reading
# Planted: a name, what it is put in place of, and the scenario whose judge must find it.
PLANTED: tuple[tuple[str, object, str, object, Callable[[Fleet], Judged]], ...] = (
    ("retune goes around", AdmissionGate, "admitted_settings", lambda gate, now, old, new: new, retunes),
    ("orders go around", AdmissionGate, "admit", ungated, calm),
    ("allowance per router", Fleet, "grants", PerRouter, deaths),
    (
        "relaxes at once: revocation",
        window._HeldVersion,
        "is_effective",
        lambda version, reading: True,
        revoked,
    ),
    (
        "relaxes at once: break-glass",
        window._HeldVersion,
        "is_effective",
        lambda version, reading: True,
        glass,
    ),
    ("relaxes at once: cut short", window._HeldVersion, "is_effective", lambda version, reading: True, edits),
    (
        "follows steps",
        WallClock,
        "on_host_reading",
        lambda clock, now, unix_ms, has_window: TOLD(clock, now, unix_ms, False),
        steps,
    ),
    ("trusts a clock that is off", WallClock, "deviation_ms", lambda clock, now: 0.0, slow_start),
    (
        "restart forgets the window",
        ChangeFreezeComponent,
        "_update_uncertainty",
        lambda part, now: None,
        restarts,
    ),
    ("cut off, it moves on", stale_hold, "STALE_HOLD_MS", 0.0, cut_off),
    ("all wishes at once", ReleaseRateLimiter, "__call__", lambda limiter, now: 1, ends_gently),
    ("ends only when heard", stale_hold, "STALE_HOLD_MS", math.inf, unheard),
)


@pytest.mark.parametrize("name,owner,what,planted,scenario", PLANTED, ids=[p[0] for p in PLANTED])
def test_planted_defects_are_found(
    name: str,
    owner: object,
    what: str,
    planted: object,
    scenario: Callable[[Fleet], Judged],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, what, planted)
    assert scenario(Fleet().start().run(10_000.0)) != []
