"""What a run showed: the stand-ins' books put together in order of time, and what the ledger says of them."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import chain
from operator import itemgetter
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.policy_replay import POLICIES, PolicyReplay, generate_arrivals
from cedarthread.testing.cluster.recordings import Fact, Recording, merge_recordings, peak_count, value_rates
from cedarthread.testing.cluster.scenario import Scenario
from cedarthread.testing.fakes.worker_server import response_body
from cedarthread.testing.invariants import AttemptRecord, CallGuarantees, InvariantChecker, InvariantLimits
from cedarthread.testing.load_balance import (
    LoadBalanceMetrics,
    WorkerAvailability,
    measure,
    work_per_core_by_second,
)

MAX_LAG_MS = 60.0  # ms by which one call in a hundred may leave late at most: past it the run is void
READ_ORDER_SLACK_MS = (
    25.0  # ms by which a runner's process may read what was sent before an answer that another read
)
CLASS_GUARANTEES = {"check": CallGuarantees("retryable"), "confirm": CallGuarantees("fragile")}
CLASS_VALUE = {"check": 2.0, "confirm": 3.0}
MAX_DATAGRAM_BYTES = 256  # bytes of a datagram


@dataclass(slots=True)
class Result:
    """What one run showed."""

    scenario_name: str
    seed: int
    load_balance: LoadBalanceMetrics
    replayed: dict[str, LoadBalanceMetrics]
    answers: dict[str, int]
    violations: list[str]
    lag_ms: float  # ms that the rig itself was late, the 99th percentile
    cpu_ms_per_call: float  # ms of a router's CPU for each call
    peer_bytes_per_second: float  # that a router sent to others in a second
    datagrams: tuple[int, int]  # passed, dropped
    work_per_core: list[list[float]] = field(
        default_factory=list
    )  # work a core by runner and second, from the start
    faults: list[tuple[str, float, float]] = field(default_factory=list)
    latency_ms: dict[str, float] = field(default_factory=dict)  # ms of the served calls, by percentile
    value_rates: list[float] = field(
        default_factory=list
    )  # served a second, by windows that begin every 250 ms
    lags_ms: list[float] = field(default_factory=list)  # by process, the runners' first
    peak_counts: dict[str, int] = field(default_factory=dict)  # most within any 250 ms once warm, by series
    answers_by_tenant: dict[str, dict[str, int]] = field(default_factory=dict)  # answers by tenant
    time_series: dict[str, list[float]] = field(default_factory=dict)  # the series themselves
    placements: list[tuple[float, int, int]] = field(
        default_factory=list
    )  # first copies: when, function, runner
    facts: list[Fact] = field(default_factory=list)  # all that happened, in order
    scenario: Scenario = field(default_factory=Scenario)

    @property
    def is_void(self) -> bool:
        """Was it spoilt by the rig itself?"""
        return self.lag_ms > MAX_LAG_MS

    @property
    def served_fraction(self) -> float:
        """The part of the calls that were served, 0 to 1."""
        return self.answers.get("served", 0) / max(1, sum(self.answers.values()))

    def to_json(self) -> dict[str, Any]:
        """As JSON has it."""
        return {
            "scenario": self.scenario_name,
            "seed": self.seed,
            "even": self.load_balance.as_json(),
            "others": {name: metrics.as_json() for name, metrics in self.replayed.items()},
            "answers": self.answers,
            "breaches": self.violations,
            "late": self.lag_ms,
            "cpu": self.cpu_ms_per_call,
            "bytes_": self.peer_bytes_per_second,
            "datagrams": self.datagrams,
            "held": self.work_per_core,
            "faults": self.faults,
            "latency": self.latency_ms,
            "worths": self.value_rates,
            "lates": self.lags_ms,
            "peaks": self.peak_counts,
            "tenants": self.answers_by_tenant,
            "placed": self.placements,
            "void": self.is_void,
        }


class Evaluation:
    """Reads the facts in order."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = Network(scenario.faults, scenario.seed)
        self.worker_faults = [fault for fault in scenario.faults if fault.kind in ("silent", "slow")]
        self.checker = InvariantChecker(InvariantLimits(answer_slack_ms=250.0))
        self.attempts: defaultdict[str, list[tuple[int, AttemptRecord]]] = defaultdict(list)
        self.answers: Counter[str] = Counter()
        self.answers_by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.submitted: dict[str, tuple[float, str, str]] = {}  # when, the class, the tenant
        self.cancelled_at_ms: dict[
            tuple[str, int], float
        ] = {}  # when a router last gave a call at a runner up
        self.served: list[tuple[float, float]] = []  # when, and the worth
        self.latency_us = HdrHistogram(1, 60_000_000, 3)  # us
        for runner in range(scenario.runners):
            self.checker.on_worker_state(0.0, runner + 1, "ready")

    def read_facts(self, facts: list[Fact]) -> None:
        """All of them."""
        for at, kind, *what in facts:
            getattr(self, "_" + kind.replace(" ", "_"))(at, *what)

    def _taken(self, at: float, name: str, klass: str, deadline: float, tenant: str) -> None:
        self.checker.on_call_submitted(at, name, CLASS_GUARANTEES[klass], deadline)
        self.submitted[name] = at, klass, tenant

    def _no_router(self, at: float, name: str) -> None:
        self.answers["no router"] += 1

    def _left(self, at: float, name: str) -> None:
        self.checker.on_call_abandoned(at, name)
        self.answers["left"] += 1

    def _answered(self, at: float, name: str, kind: str, body: bytes) -> None:
        self.answers[kind] += 1
        self.checker.on_answer(at, name, kind, body)
        since, klass, tenant = self.submitted[name]
        self.answers_by_tenant[tenant][kind] += 1
        if kind == "served":
            self.served.append((at, CLASS_VALUE[klass]))
            self.latency_us.record_value(max(1, int(1000.0 * (at - since))))

    def _handed(self, at: float, name: str, runner: int, read: float) -> None:
        router = ("router", int(name[:4], 16))
        for where, tried in self.attempts[name]:
            poor = any(
                f.is_active(at / 1000.0) and f.subjects.includes("runner", where) for f in self.worker_faults
            )
            if tried.is_in_flight and (poor or self.network.is_disturbed(at, router, ("runner", where))):
                self.checker.on_attempt_ended(tried, True)  # its router gave it up, and could not say so
        tried = self.checker.on_attempt_started(
            at, name, runner + 1, handed_over_at_ms=read - READ_ORDER_SLACK_MS
        )
        self.attempts[name].append((runner, tried))
        if self.cancelled_at_ms.get((name, runner), -1.0) >= read:
            self.checker.on_attempt_ended(tried, True)

    def _went(self, at: float, name: str, runner: int, note: str) -> None:
        if note not in ("shed", "spawn_failed", "lost"):
            self.checker.on_body_produced(name, response_body(name))
        for where, tried in self.attempts[name]:
            if where == runner and tried.is_in_flight:
                self.checker.on_attempt_ended(tried, note != "shed")

    def _gave_up(self, at: float, name: str, runner: int) -> None:
        self.cancelled_at_ms[name, runner] = at
        for where, tried in self.attempts[name]:
            if where == runner and tried.is_in_flight:
                self.checker.on_attempt_ended(tried, True)


def evaluate(scenario: Scenario, books: list[Recording], cpu: float, codes: dict[int, int]) -> Result:
    """The result of a run. ``cpu``: seconds that all routers used when measured; ``codes``: odd ends."""
    book, workers = merge_recordings(books), _worker_availability(scenario)
    begin, end = 1000.0 * scenario.warm_up, 1000.0 * (scenario.warm_up + scenario.seconds)
    facts = sorted(chain.from_iterable(one.facts for one in books), key=itemgetter(0))
    judge, arrivals = Evaluation(scenario), generate_arrivals(scenario)
    for at, sender, _, length in book.peer_datagrams:
        if length > MAX_DATAGRAM_BYTES:
            judge.checker.check_remaining(
                at, f"bytes of a datagram of router {sender}", length, MAX_DATAGRAM_BYTES
            )
    judge.read_facts(facts)
    judge.checker.check_all_answered(end)
    lates = [_lag_percentile_99(one.lags_ms) for one in books]
    series, visits = book.time_series(), sorted(book.worker_calls, key=lambda visit: visit.arrived_at_ms)
    others = {
        name: measure(PolicyReplay(scenario, name).run(arrivals), workers, begin, end, scenario.lanes)
        for name in POLICIES
    }
    return Result(
        scenario.name,
        scenario.seed,
        measure(visits, workers, begin, end, scenario.lanes),
        others,
        dict(judge.answers),
        [str(breach) for breach in judge.checker.violations]
        + [f"router {n} ended with {code}" for n, code in codes.items()],
        max(lates),
        1000.0 * cpu / max(1, sum(arrival.at_ms >= begin for arrival in arrivals)),
        sum(length for at, *_, length in book.peer_datagrams if at >= begin)
        / scenario.routers
        / scenario.seconds,
        (book.datagram_counts["passed"], book.datagram_counts["dropped"]),
        work_per_core_by_second(visits, workers, end),
        [(fault.kind, fault.start_s, fault.end_s) for fault in scenario.faults],
        {f"p{p:g}": judge.latency_us.get_value_at_percentile(p) / 1000.0 for p in (50, 90, 99, 99.9)},
        value_rates(judge.served, end),
        lates,
        {name: peak_count([at for at in times if at >= begin]) for name, times in series.items()},
        {name: dict(counts) for name, counts in judge.answers_by_tenant.items()},
        series,
        sorted(book.placements),
        facts,
        scenario,
    )


def _lag_percentile_99(late: list[float]) -> float:
    return sorted(late)[int(0.99 * (len(late) - 1))] if late else 0.0


def _worker_availability(scenario: Scenario) -> dict[int, WorkerAvailability]:
    end = 1000.0 * (scenario.warm_up + scenario.seconds)
    found = {}
    for number in range(scenario.runners):
        spans, at = [], 0.0
        out = [
            f
            for f in scenario.faults
            if f.kind in ("die", "silent") and f.subjects.includes("runner", number)
        ]
        for fault in sorted(out, key=lambda one: one.start_s):
            spans.append((at, 1000.0 * fault.start_s))
            at = 1000.0 * fault.end_s
        found[number] = WorkerAvailability(scenario.cores, (*spans, (at, end)))
    return found
