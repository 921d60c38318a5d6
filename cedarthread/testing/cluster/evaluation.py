"""What a run showed: the stand-ins' books put together in order of time, and what the ledger says of them."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from itertools import chain
from operator import itemgetter
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from cedarthread.testing import load_balance
from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.policy_replay import CHOICES, Play, schedule
from cedarthread.testing.cluster.recordings import Book, Fact, joined, peak, worths
from cedarthread.testing.cluster.scenario import Scenario
from cedarthread.testing.fakes.worker_server import made
from cedarthread.testing.invariants import Figures, Ledger, Terms, Tried

SPOILT = 60.0  # ms by which one call in a hundred may leave late at most: past it the run is void
BEHIND = 25.0  # ms by which a runner's process may read what was sent before an answer that another read
TERMS = {"check": Terms("retryable"), "confirm": Terms("fragile")}
WORTH = {"check": 2.0, "confirm": 3.0}
LONGEST = 256  # bytes of a datagram


@dataclass(slots=True)
class Result:
    """What one run showed."""

    scenario: str
    seed: int
    even: load_balance.LoadBalanceMetrics
    others: dict[str, load_balance.LoadBalanceMetrics]
    answers: dict[str, int]
    breaches: list[str]
    late: float  # ms that the rig itself was late, the 99th percentile
    cpu: float  # ms of a router's CPU for each call
    bytes_: float  # that a router sent to others in a second
    datagrams: tuple[int, int]  # passed, dropped
    held: list[list[float]] = field(default_factory=list)  # work a core by runner and second, from the start
    faults: list[tuple[str, float, float]] = field(default_factory=list)
    latency: dict[str, float] = field(default_factory=dict)  # ms of the served calls, by percentile
    worths: list[float] = field(default_factory=list)  # served a second, by windows that begin every 250 ms
    lates: list[float] = field(default_factory=list)  # by process, the runners' first
    peaks: dict[str, int] = field(default_factory=dict)  # most within any 250 ms once warm, by series
    tenants: dict[str, dict[str, int]] = field(default_factory=dict)  # answers by tenant
    times: dict[str, list[float]] = field(default_factory=dict)  # the series themselves
    placed: list[tuple[float, int, int]] = field(default_factory=list)  # first copies: when, function, runner
    facts: list[Fact] = field(default_factory=list)  # all that happened, in order
    played: Scenario = field(default_factory=Scenario)

    @property
    def void(self) -> bool:
        """Was it spoilt by the rig itself?"""
        return self.late > SPOILT

    @property
    def served(self) -> float:
        """The part of the calls that were served, 0 to 1."""
        return self.answers.get("served", 0) / max(1, sum(self.answers.values()))

    def table(self) -> dict[str, Any]:
        """As JSON has it."""
        told = {k: v for k, v in asdict(self).items() if k not in ("times", "facts", "played")}
        others = {name: metrics.as_json() for name, metrics in self.others.items()}
        return told | {"even": self.even.as_json(), "others": others, "void": self.void}


class Judge:
    """Reads the facts in order."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = Network(scenario.faults, scenario.seed)
        self.poor = [fault for fault in scenario.faults if fault.kind in ("silent", "slow")]
        self.ledger = Ledger(Figures(slack=250.0))
        self.tries: defaultdict[str, list[tuple[int, Tried]]] = defaultdict(list)
        self.answers: Counter[str] = Counter()
        self.tenants: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.asked: dict[str, tuple[float, str, str]] = {}  # when, the class, the tenant
        self.given: dict[tuple[str, int], float] = {}  # when a router last gave a call at a runner up
        self.served: list[tuple[float, float]] = []  # when, and the worth
        self.latency = HdrHistogram(1, 60_000_000, 3)  # us
        for runner in range(scenario.runners):
            self.ledger.told(0.0, runner + 1, "ready")

    def read(self, facts: list[Fact]) -> None:
        """All of them."""
        for at, kind, *what in facts:
            getattr(self, "_" + kind.replace(" ", "_"))(at, *what)

    def _taken(self, at: float, name: str, klass: str, deadline: float, tenant: str) -> None:
        self.ledger.taken(at, name, TERMS[klass], deadline)
        self.asked[name] = at, klass, tenant

    def _no_router(self, at: float, name: str) -> None:
        self.answers["no router"] += 1

    def _left(self, at: float, name: str) -> None:
        self.ledger.left(at, name)
        self.answers["left"] += 1

    def _answered(self, at: float, name: str, kind: str, body: bytes) -> None:
        self.answers[kind] += 1
        self.ledger.answered(at, name, kind, body)
        since, klass, tenant = self.asked[name]
        self.tenants[tenant][kind] += 1
        if kind == "served":
            self.served.append((at, WORTH[klass]))
            self.latency.record_value(max(1, int(1000.0 * (at - since))))

    def _handed(self, at: float, name: str, runner: int, read: float) -> None:
        router = ("router", int(name[:4], 16))
        for where, tried in self.tries[name]:
            poor = any(f.holds(at / 1000.0) and f.who.has("runner", where) for f in self.poor)
            if tried.out and (poor or self.network.disturbed(at, router, ("runner", where))):
                self.ledger.ended(tried, True)  # its router gave it up, and could not say so
        tried = self.ledger.out(at, name, runner + 1, handed=read - BEHIND)
        self.tries[name].append((runner, tried))
        if self.given.get((name, runner), -1.0) >= read:
            self.ledger.ended(tried, True)

    def _went(self, at: float, name: str, runner: int, note: str) -> None:
        if note not in ("shed", "spawn_failed", "lost"):
            self.ledger.made(name, made(name))
        for where, tried in self.tries[name]:
            if where == runner and tried.out:
                self.ledger.ended(tried, note != "shed")

    def _gave_up(self, at: float, name: str, runner: int) -> None:
        self.given[name, runner] = at
        for where, tried in self.tries[name]:
            if where == runner and tried.out:
                self.ledger.ended(tried, True)


def judged(scenario: Scenario, books: list[Book], cpu: float, codes: dict[int, int]) -> Result:
    """The result of a run. ``cpu``: seconds that all routers used when measured; ``codes``: odd ends."""
    book, workers = joined(books), _workers(scenario)
    begin, end = 1000.0 * scenario.warm_up, 1000.0 * (scenario.warm_up + scenario.seconds)
    facts = sorted(chain.from_iterable(one.facts for one in books), key=itemgetter(0))
    judge, arrivals = Judge(scenario), schedule(scenario)
    for at, sender, _, length in book.peers:
        if length > LONGEST:
            judge.ledger.rest(at, f"bytes of a datagram of router {sender}", length, LONGEST)
    judge.read(facts)
    judge.ledger.close(end)
    lates = [_late(one.late) for one in books]
    series, visits = book.series(), sorted(book.visits, key=lambda visit: visit.at)
    others = {
        name: load_balance.measure(Play(scenario, name).run(arrivals), workers, begin, end, scenario.lanes)
        for name in CHOICES
    }
    return Result(
        scenario.name,
        scenario.seed,
        load_balance.measure(visits, workers, begin, end, scenario.lanes),
        others,
        dict(judge.answers),
        [str(breach) for breach in judge.ledger.breaches]
        + [f"router {n} ended with {code}" for n, code in codes.items()],
        max(lates),
        1000.0 * cpu / max(1, sum(arrival.at >= begin for arrival in arrivals)),
        sum(length for at, *_, length in book.peers if at >= begin) / scenario.routers / scenario.seconds,
        (book.datagrams["passed"], book.datagrams["dropped"]),
        load_balance.work_per_core_by_second(visits, workers, end),
        [(fault.kind, fault.at, fault.until) for fault in scenario.faults],
        {f"p{p:g}": judge.latency.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99, 99.9)},
        worths(judge.served, end),
        lates,
        {name: peak([at for at in times if at >= begin]) for name, times in series.items()},
        {name: dict(counts) for name, counts in judge.tenants.items()},
        series,
        sorted(book.placed),
        facts,
        scenario,
    )


def _late(late: list[float]) -> float:
    return sorted(late)[int(0.99 * (len(late) - 1))] if late else 0.0


def _workers(scenario: Scenario) -> dict[int, load_balance.WorkerAvailability]:
    end = 1000.0 * (scenario.warm_up + scenario.seconds)
    found = {}
    for number in range(scenario.runners):
        spans, at = [], 0.0
        out = [f for f in scenario.faults if f.kind in ("die", "silent") and f.who.has("runner", number)]
        for fault in sorted(out, key=lambda one: one.at):
            spans.append((at, 1000.0 * fault.at))
            at = 1000.0 * fault.until
        found[number] = load_balance.WorkerAvailability(scenario.cores, (*spans, (at, end)))
    return found
