"""Reads the facts of a run in order of time: feeds the invariant checker and counts answers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from cedarthread.testing.cluster.facts import (
    AttemptCancelled,
    AttemptEnded,
    AttemptSent,
    CallAbandoned,
    CallAnswered,
    CallSubmitted,
    Fact,
    NoRouterAvailable,
    router_of,
)
from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.scenario import FaultKind, Scenario, Subject, SubjectKind
from cedarthread.testing.cluster.service_levels import ServedValue
from cedarthread.testing.fakes.worker_server import response_body
from cedarthread.testing.invariants import (
    AttemptRecord,
    CallGuarantees,
    Idempotency,
    InvariantChecker,
    InvariantLimits,
)

ANSWER_SLACK_MS = 250.0  # past the deadline, on a machine that hundreds of processes share
READ_ORDER_SLACK_MS = 25.0  # by which a process may read later than another what was sent earlier
MAX_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3  # significant figures of the latency histogram
CLASS_GUARANTEES = {
    "check": CallGuarantees(Idempotency.IDEMPOTENT),
    "confirm": CallGuarantees(Idempotency.NOT_IDEMPOTENT),
}
CLASS_VALUE = {"check": 2.0, "confirm": 3.0}
UNANSWERED_REMARKS = ("shed", "spawn_failed", "lost")  # of attempts for which no body was produced


@dataclass(slots=True)
class _WorkerAttempt:
    worker: int
    record: AttemptRecord


class FactReader:
    """What the facts of one run come to."""

    def __init__(self, scenario: Scenario) -> None:
        self.network = Network(scenario.faults, scenario.seed)
        self.worker_faults = [
            fault
            for fault in scenario.faults
            if fault.kind in (FaultKind.SILENCE_WORKER, FaultKind.SLOW_WORKER)
        ]
        self.checker = InvariantChecker(InvariantLimits(answer_slack_ms=ANSWER_SLACK_MS))
        self.answers: Counter[str] = Counter()
        self.answers_by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.served: list[ServedValue] = []
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
        self._attempts: defaultdict[str, list[_WorkerAttempt]] = defaultdict(list)  # by call
        self._submitted: dict[str, CallSubmitted] = {}
        self._cancelled_at_ms: dict[tuple[str, int], float] = {}  # by call and worker, the last time
        for worker in range(scenario.worker_count):
            self.checker.on_worker_state(0.0, worker + 1, "ready")

    def read(self, facts: Iterable[Fact]) -> None:
        """Read all facts, in order of time."""
        for fact in facts:
            match fact:
                case CallSubmitted():
                    guarantees = CLASS_GUARANTEES[fact.request_class]
                    self.checker.on_call_submitted(fact.at_ms, fact.call_id, guarantees, fact.deadline_ms)
                    self._submitted[fact.call_id] = fact
                case NoRouterAvailable():
                    self.answers["no router"] += 1
                case CallAbandoned():
                    self.checker.on_call_abandoned(fact.at_ms, fact.call_id)
                    self.answers["left"] += 1
                case CallAnswered():
                    self._on_answer(fact)
                case AttemptSent():
                    self._on_attempt_sent(fact)
                case AttemptEnded():
                    self._on_attempt_ended(fact)
                case AttemptCancelled():
                    self._cancelled_at_ms[fact.call_id, fact.worker] = fact.at_ms
                    self._end_attempts(fact.call_id, fact.worker, may_have_executed=True)

    def latency_ms(self, percentiles: Sequence[float]) -> dict[str, float]:
        """The latency of served calls, by the name of the percentile."""
        return {
            f"p{percentile:g}": self.latency_us.get_value_at_percentile(percentile) / 1000.0
            for percentile in percentiles
        }

    def _on_answer(self, fact: CallAnswered) -> None:
        self.answers[fact.result] += 1
        self.checker.on_answer(fact.at_ms, fact.call_id, fact.result, fact.body)
        call = self._submitted[fact.call_id]
        self.answers_by_tenant[call.tenant][fact.result] += 1
        if fact.result == "served":
            self.served.append(ServedValue(fact.at_ms, CLASS_VALUE[call.request_class]))
            self.latency_us.record_value(max(1, int(1000.0 * (fact.at_ms - call.at_ms))))

    def _on_attempt_sent(self, fact: AttemptSent) -> None:
        router = Subject(SubjectKind.ROUTER, router_of(fact.call_id))
        for attempt in self._attempts[fact.call_id]:
            if attempt.record.is_in_flight and self._may_miss_cancellation(
                fact.at_ms, router, attempt.worker
            ):
                self.checker.on_attempt_ended(attempt.record, True)
        record = self.checker.on_attempt_started(
            fact.at_ms,
            fact.call_id,
            fact.worker + 1,
            handed_over_at_ms=fact.sent_at_ms - READ_ORDER_SLACK_MS,
        )
        self._attempts[fact.call_id].append(_WorkerAttempt(fact.worker, record))
        if self._cancelled_at_ms.get((fact.call_id, fact.worker), -1.0) >= fact.sent_at_ms:
            self.checker.on_attempt_ended(record, True)

    def _may_miss_cancellation(self, now_ms: float, router: Subject, worker: int) -> bool:
        """Whether a router may have cancelled an attempt and could not tell the worker so."""
        is_faulty = any(
            fault.is_active(now_ms / 1000.0) and fault.subjects.includes(SubjectKind.WORKER, worker)
            for fault in self.worker_faults
        )
        return is_faulty or self.network.is_disturbed(now_ms, router, Subject(SubjectKind.WORKER, worker))

    def _on_attempt_ended(self, fact: AttemptEnded) -> None:
        if fact.remark not in UNANSWERED_REMARKS:
            self.checker.on_body_produced(fact.call_id, response_body(fact.call_id))
        self._end_attempts(fact.call_id, fact.worker, may_have_executed=fact.remark != "shed")

    def _end_attempts(self, call_id: str, worker: int, *, may_have_executed: bool) -> None:
        for attempt in self._attempts[call_id]:
            if attempt.worker == worker and attempt.record.is_in_flight:
                self.checker.on_attempt_ended(attempt.record, may_have_executed)
