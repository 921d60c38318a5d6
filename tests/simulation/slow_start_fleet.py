"""A fleet of routers that don't talk, on one virtual clock, and runners that count what comes to them.

Each runner keeps its own book: what routers that know of its start have sent it within any window of rule 4,
each call as the mean work of its class, against what the rule allows it then.
``python -m tests.simulation.slow_start_fleet``
prints the table of all crossings. Times are ms, rates are calls a second."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import random
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cedarthread.model.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import Idempotency, RuleParameters
from cedarthread.routing.rendezvous import hash64, rendezvous_score
from cedarthread.routing.router import Router
from tests.helpers import SAFE, settings

RULES = RuleParameters(8.0, 500.0, 0.25, 17000.0, 2.5, 2000.0, 10000.0, 0.0, 0.0, 0.0)
CHECK = dataclasses.replace(SAFE, name="check", latency_objective_ms=1200.0, deadline_ms=5000.0)
REVISE = dataclasses.replace(
    SAFE, name="revise", latency_objective_ms=800.0, deadline_ms=5000.0, priority_weight=5.0
)
CONFIRM = dataclasses.replace(
    SAFE,
    name="confirm",
    latency_objective_ms=1500.0,
    deadline_ms=5000.0,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
CLASSES = (CHECK, REVISE, CONFIRM)
PARTS = (0.43, 0.40, 0.17)  # of the calls, by class
WORKS = (100.0, 170.0, 170.0)  # ms, mean of each class
MEAN = sum(p * w for p, w in zip(PARTS, WORKS, strict=True))
CORES = 3
QUEUE = 15  # calls that wait at a runner before it turns others away
LOADING = 1300.0
NEW = 1000  # first number of those that start late
START = 9000.0  # when the crossing begins
ZONES = 3
ORDER = list(EndpointState)  # in which a worker's states follow each other


@dataclass
class Runner:
    """A stand-in: some cores, a bounded queue, copies that are loaded on demand, and the book."""

    number: int
    zone: int
    started: float = -math.inf
    up: bool = True
    free: list[float] = field(default_factory=lambda: [0.0] * CORES)  # when each core is
    copies: dict[int, float] = field(default_factory=dict)  # when each stands loaded
    book: deque[tuple[float, float]] = field(default_factory=deque)
    weight: float = 0.0
    worst: tuple[float, float, float] = (0.0, 0.0, 0.0)  # parts of the bound, and sum and budget there
    used: float = 0.0
    may: float = 0.0

    def part(self, now: float) -> float:
        """Of its capacity, evenly from the cold share: rule 4's least."""
        age = now - self.started
        return min(
            1.0,
            RULES.slow_start_min_capacity + (1.0 - RULES.slow_start_min_capacity) * age / RULES.slow_start_ms,
        )

    def budget(self, now: float) -> float:
        """N: calls of mean work that it may get within a window that ends now."""
        return RULES.collapse_multiple * self.part(now) * len(self.free) / MEAN * RULES.collapse_window_ms

    def count(self, now: float, weight: float) -> None:
        """One more call of a router that knows of the start."""
        while self.book and self.book[0][0] <= now - RULES.collapse_window_ms:
            self.weight -= self.book.popleft()[1]
        self.book.append((now, weight))
        self.weight += weight
        self.used += weight
        may = self.budget(now)
        self.worst = max(self.worst, (self.weight / bound(may), self.weight, may))

    def take(self, now: float, function: int, work: float) -> tuple[float, Outcome, StartKind]:
        """When the call ends, and how."""
        if not self.up:
            return now + 5.0, Outcome.CONNECT_FAILED, StartKind.UNKNOWN
        if min(self.free) > now + QUEUE * MEAN / CORES:
            return now + 1.0, Outcome.OVERLOADED, StartKind.UNKNOWN
        note = StartKind.WARM
        if function not in self.copies:
            self.copies[function], note = now + LOADING, StartKind.COLD
        elif self.copies[function] > now:
            note = StartKind.PENDING
        core = min(range(len(self.free)), key=self.free.__getitem__)
        begins = max(now, self.free[core])
        self.free[core] = begins + work / self.part(now)
        return max(self.free[core], self.copies[function]), Outcome.OK, note


def bound(budget: float) -> float:
    """What chance may make of N."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass(frozen=True)
class Case:
    """One day: who is there, what is called, and what crosses it."""

    routers: int
    crossing: str = "join"
    seed: int = 1
    named: bool = True  # the roster names the fleet's size
    runners: int = 12
    cores: int = CORES  # of each runner
    load: float = 0.6  # of the warm capacity of all runners
    popular: float = 0.0  # part of the calls that are of one function whose home is the cold runner
    heavy: bool = False  # that function is of the class of most work
    shift: float = 0.0  # ms after the start from which it is called
    burst: float = 1.0  # times the rate, for 6 s from 1 s after the start
    repeats: int = 0  # times that clients come again after a refusal, marked
    restart: float = 0.0  # part of the routers that start anew,
    restart_at: float = -300.0  # ms after the runners' start
    news: float = 1500.0  # ms within which the routers hear of a start
    drained: float = 0.6  # part of the others that leave, where the crossing is "drain"
    slow: float = 1.0  # times that all runners need for a call, till the start
    lost_at: float = 0.0  # ms after the start at which all others are lost, where the crossing is "alone"
    lasts: float = 14000.0


class World:
    """Plays one case."""

    def __init__(self, case: Case) -> None:
        self.case, self.dice = case, random.Random(case.seed)
        self.s = settings(
            classes=CLASSES,
            router_count=case.routers if case.named else 1,
            rules=RULES,
            keep_alive_ms=8700.0,
            limits=dataclasses.replace(settings().limits, allows_hedging=False, allows_gossip=False),
        )  # fmt: skip
        self.runners = {n: Runner(n, n % ZONES, free=[0.0] * case.cores) for n in range(1, case.runners + 1)}
        self.entries: dict[int, Endpoint] = {n: self.entry(n) for n in self.runners}
        self.routers = [self.router(n) for n in range(case.routers)]
        self.knows: list[dict[int, Endpoint]] = [dict(self.entries) for _ in self.routers]
        self.weights = [self.dice.choice((0.5, 0.7, 1.0, 1.3, 4.0)) for _ in self.routers]
        self.serial = itertools.count()
        self.agenda: list[tuple[float, int, Callable[[float], None]]] = []
        self.number = itertools.count(1)
        self.calls: dict[int, tuple[int, int, int, float, int]] = {}  # who, function, class, give up, repeats
        self.asked = self.refused = self.cold_calls = 0
        self.function_weights = [1.0 / (k + 3.0) ** 1.3 for k in range(60)]
        self.lives = [0] * case.routers
        self.hot = 0

    def entry(self, number: int, state: EndpointState = EndpointState.READY) -> Endpoint:
        runner = self.runners[number]
        started = None if runner.started == -math.inf else runner.started
        return Endpoint(number, runner.zone, 0, 0, state, None, started)

    def router(self, number: int, life: int = 0) -> Router:
        zone = dataclasses.replace(self.s, router_index=number, zone=number % ZONES)
        return Router(zone, self.case.seed * 1000003 + number * 101 + life)

    def at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self.agenda, (when, next(self.serial), what))

    # What happens.

    def listed(self, number: int, state: EndpointState, now: float) -> None:
        """The list changes; each router hears of it in its own time."""
        entry = self.entries[number] = self.entry(number, state)
        for who in range(len(self.routers)):
            self.at(now + self.dice.uniform(0.0, self.case.news), lambda at, w=who: self.hear(w, entry, at))  # type: ignore[misc]

    def hear(self, who: int, entry: Endpoint, now: float) -> None:
        held = self.knows[who].get(entry.worker_id)
        if held is not None and (held.started_at_ms or 0.0) > (entry.started_at_ms or 0.0):
            return
        if (
            held is not None
            and held.started_at_ms == entry.started_at_ms
            and ORDER.index(held.state) > ORDER.index(entry.state)
        ):
            return  # the later news came first
        self.knows[who][entry.worker_id] = entry
        self.do(who, EndpointUpdate(EndpointUpdateKind.DELTA, 2, (entry,)), now)

    def starts(self, number: int, now: float) -> None:
        self.runners[number] = Runner(number, number % ZONES, started=now, free=[now] * self.case.cores)
        self.listed(number, EndpointState.READY, now)

    def restart(self, who: int, now: float) -> None:
        self.lives[who] += 1
        for request in [n for n, call in self.calls.items() if call[0] == who]:
            del self.calls[request]
        self.routers[who] = self.router(who, self.lives[who])
        self.knows[who] = dict(self.entries)
        self.do(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.entries.values())), now)

    def cross(self) -> None:
        """The crossing of the case, put on the agenda."""
        case, late = self.case, START
        if case.crossing == "join":
            self.at(late, lambda now: self.starts(NEW, now))
        elif case.crossing == "zone":
            for n in [n for n in self.runners if n % ZONES == 1]:
                self.at(late - 4000.0, lambda now, n=n: self.dies(n, now, told=True))  # type: ignore[misc]
                self.at(late, lambda now, n=n: self.starts(n, now))  # type: ignore[misc]
        elif case.crossing == "untold":  # they were down for a moment; the list tells only after that
            for n in (1, 2):
                self.at(late - 1000.0, lambda now, n=n: self.dies(n, now, told=False))  # type: ignore[misc]
                self.at(late, lambda now, n=n: self.starts(n, now))  # type: ignore[misc]
        elif case.crossing == "replace":
            gone = round(0.6 * case.runners)
            for k in range(gone):
                when = late + 7000.0 * k / gone
                self.at(when - 700.0, lambda now, n=k + 1: self.listed(n, EndpointState.DRAINING, now))  # type: ignore[misc]
                self.at(when, lambda now, n=NEW + k: self.starts(n, now))  # type: ignore[misc]
        elif case.crossing == "alone":  # all others refuse connections, and the list still has them ready
            self.at(late, lambda now: self.starts(NEW, now))
            for n in list(self.runners):
                self.at(late + case.lost_at, lambda now, n=n: self.dies(n, now, told=False))  # type: ignore[misc]
        elif case.crossing == "drain":  # part of the others leave the list before any more have come
            self.at(late, lambda now: self.starts(NEW, now))
            for n in list(self.runners)[: round(case.drained * case.runners)]:
                when = late + case.lost_at
                self.at(when, lambda now, n=n: self.listed(n, EndpointState.DRAINING, now))  # type: ignore[misc]
        for who in range(round(case.restart * case.routers)):
            self.at(late + case.restart_at + who * 0.5, lambda now, w=who: self.restart(w, now))  # type: ignore[misc]

    def dies(self, number: int, now: float, told: bool) -> None:
        self.runners[number].up = False
        if told:
            self.listed(number, EndpointState.REMOVED, now)

    def home_of(self, target: int) -> int:
        """A function whose first home is that runner, in the fleet after the crossing."""
        gone = round(0.6 * self.case.runners)
        there = {"join": [NEW], "drain": [NEW], "alone": [NEW], "replace": list(range(NEW, NEW + gone))}.get(
            self.case.crossing, []
        )
        numbers = [*self.runners, *there]
        for function in range(5000, 9000):
            if min(numbers, key=lambda n: rendezvous_score(hash64(function), hash64(n), 1.0)) == target:
                return function
        raise AssertionError("no such function")

    # Calls.

    def rate(self, now: float) -> float:
        """Calls a second of the whole fleet."""
        burst = self.case.burst if START + 1000.0 <= now < START + 7000.0 else 1.0
        return self.case.load * self.case.runners * 1000.0 * self.case.cores / MEAN * burst

    def arrive(self, now: float) -> None:
        self.at(now + self.dice.expovariate(self.rate(now) / 1000.0), self.arrive)
        who = self.dice.choices(range(len(self.routers)), self.weights)[0]
        function = self.dice.choices(range(1, 61), self.function_weights)[0]
        klass = random.Random(function).choices(range(3), PARTS)[0]
        if self.dice.random() < self.case.popular and now >= START + self.case.shift:
            function, klass = self.hot, 1 if self.case.heavy else 0
        self.ask(now, who, function, klass, 0)

    def ask(self, now: float, who: int, function: int, klass: int, repeats: int) -> None:
        number, give_up = next(self.number), now + CLASSES[klass].deadline_ms
        self.calls[number] = who, function, klass, give_up, repeats
        if now >= START:
            self.asked += repeats == 0
        self.do(
            who,
            RequestArrived(number, function, klass, give_up, is_client_retry=repeats > 0, concurrency=4.0),
            now,
        )

    def do(self, who: int, event: Event, now: float) -> None:
        router, life = self.routers[who], self.lives[who]
        for action in router.handle(now, event):
            if isinstance(action, StartAttempt):
                self.send(who, action, now)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.end(who, action, now)
            elif isinstance(action, SetTimer):
                self.at(action.at_ms, lambda at, t=action.token: self.timer(who, life, t, at))  # type: ignore[misc]

    def timer(self, who: int, life: int, token: int, now: float) -> None:
        if self.lives[who] == life:
            self.do(who, TimerFired(token), now)

    def end(self, who: int, action: RejectRequest | FailRequest, now: float) -> None:
        call = self.calls.pop(action.request_id, None)
        if call is None:
            return
        _, function, klass, _, repeats = call
        self.refused += now >= START and repeats == 0
        if repeats < self.case.repeats:
            self.at(now + 200.0, lambda at: self.ask(at, who, function, klass, repeats + 1))

    def send(self, who: int, action: StartAttempt, now: float) -> None:
        call = self.calls[action.request_id]
        runner, life = self.runners[action.worker_id], self.lives[who]
        told = self.knows[who][action.worker_id].started_at_ms
        if runner.started > 0.0 and runner.up and told == runner.started and runner.part(now) < 1.0:
            runner.count(now, WORKS[call[2]] / MEAN)
            self.cold_calls += 1
        work = self.dice.expovariate(1.0 / WORKS[call[2]]) * (self.case.slow if now < START else 1.0)
        at, outcome, note = runner.take(now, call[1], work)
        if at > call[3]:
            at, outcome = call[3], Outcome.TIMEOUT
        attempt = len(self.routers[who].pending_requests[action.request_id].attempts) - 1
        ends = AttemptEnded(
            action.request_id, attempt, action.worker_id, outcome, at - now, outcome is Outcome.OK, note, 0
        )
        self.at(at, lambda now: self.ended(who, life, ends, now))

    def ended(self, who: int, life: int, ends: AttemptEnded, now: float) -> None:
        if self.lives[who] != life:
            return
        if ends.is_final:
            self.calls.pop(ends.request_id, None)
        self.do(who, ends, now)

    def play(self) -> Result:
        """The whole day, from full copies at the start."""
        for who in range(len(self.routers)):
            self.do(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(self.entries.values())), 0.0)
        for runner in self.runners.values():
            runner.copies = dict.fromkeys(range(1, 61), 0.0)
        if self.case.popular:
            self.hot = self.home_of(NEW if self.case.crossing in ("join", "replace", "alone", "drain") else 1)
        self.cross()
        self.at(0.0, self.arrive)
        while self.agenda and self.agenda[0][0] < START + self.case.lasts:
            now, _, what = heapq.heappop(self.agenda)
            what(now)
        return self.result()

    def result(self) -> Result:
        cold = [r for r in self.runners.values() if r.started > 0.0]
        ends, step = START + self.case.lasts, 100.0
        may = 0.0
        for runner in cold:
            steps = int((ends - runner.started) / step)
            may += (
                sum(runner.budget(runner.started + k * step) for k in range(steps))
                * step
                / RULES.collapse_window_ms
            )
        worst = max((r.worst for r in cold), default=(0.0, 0.0, 0.0))
        return Result(
            worst[0], worst[1], worst[2], sum(r.used for r in cold) / may, self.refused / self.asked
        )


@dataclass(frozen=True)
class Result:
    """Of one day: the fullest window of any cold runner, and what it cost."""

    worst: float  # its sum over N + 2 x root of N + 2
    total: float  # that sum, in calls of mean work
    budget: float  # N then
    used: float  # all that cold runners got over all their budgets
    refused: float  # of the first tries from the start on


SMALL = Case(0, runners=6, cores=1, lasts=6000.0)
LOST = dataclasses.replace(SMALL, crossing="alone")
LEAVE = dataclasses.replace(SMALL, crossing="drain")
CASES: dict[str, Case] = {
    "join": Case(0),
    "join, load 1.3": Case(0, load=1.3),
    "popular home": Case(0, popular=0.4),
    "popular home, heavy class": Case(0, popular=0.4, heavy=True),
    "popular from 5 s on": Case(0, popular=0.6, shift=5000.0, load=0.9),
    "burst of 2.0, repeats": Case(0, load=0.9, burst=2.0, repeats=3, popular=0.4),
    "zone returns": Case(0, crossing="zone", popular=0.3),
    "six in ten replaced": Case(0, crossing="replace", popular=0.3, repeats=2),
    "six in ten replaced, load 0.9": Case(0, crossing="replace", popular=0.3, load=0.9, repeats=2),
    "routers restart before": Case(0, restart=0.9, popular=0.4),
    "routers restart, heavy class, load 0.9": Case(0, restart=0.9, popular=0.4, heavy=True, load=0.9),
    "untold start": Case(0, crossing="untold", popular=0.3),
    "all others fail": LOST,
    "all others fail, load 0.9": dataclasses.replace(LOST, load=0.9),
    "all others fail, routers restarted": dataclasses.replace(
        LOST, load=0.9, restart=0.9, restart_at=-1500.0, popular=0.5
    ),
    "all others fail, burst of 2.4": dataclasses.replace(LOST, burst=2.4),
    "six in ten leave": dataclasses.replace(LEAVE, popular=0.4),
    "five in six leave": dataclasses.replace(LEAVE, popular=0.4, drained=0.84),
    "all others leave": dataclasses.replace(LEAVE, drained=1.0),
    "all others leave later, load 0.9": dataclasses.replace(LEAVE, drained=1.0, load=0.9, lost_at=2500.0),
    "all others leave, routers restart after": dataclasses.replace(
        LEAVE, drained=1.0, restart=0.9, restart_at=2500.0
    ),
}


def main() -> None:
    """``python -m tests.simulation.slow_start_fleet [SEEDS [ROUTERS... [WORDS...]]]``.

    WORDS: of the crossings' names."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    fleets = [int(n) for n in sys.argv[2:] if n.isdigit()] or [3, 20, 30, 200]
    words = [word for word in sys.argv[2:] if not word.isdigit()] or [""]
    print("| crossing | routers | worst of its bound | its sum | N | used of budgets | refused |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name, case in CASES.items():
        if not any(word in name for word in words):
            continue
        for routers in fleets:
            days = [
                World(dataclasses.replace(case, routers=routers, seed=s, named=s % 2 == 0)).play()
                for s in range(seeds)
            ]
            far = max(days, key=lambda day: day.worst)
            used = sum(d.used for d in days) / seeds
            refused = sum(d.refused for d in days) / seeds
            print(
                f"| {name} | {routers} | {far.worst:.2f} | {far.total:.1f} | {far.budget:.1f} "
                f"| {used:.2f} | {refused:.3f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
