"""Reader of a run's recorded facts in order of time, which feeds the invariant checker and counts answers."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from cedarthread.testing.cluster.endpoint_timeline import EndpointListTimeline
from cedarthread.testing.cluster.facts import (
    AttemptCancelled,
    AttemptEnded,
    AttemptSent,
    CallAbandoned,
    CallAnswered,
    CallSubmitted,
    ClientLeft,
    Fact,
    ListSent,
    NoRouterAvailable,
    RouterStarted,
    router_of,
)
from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.scenario import FaultKind, Node, NodeKind, Scenario
from cedarthread.testing.cluster.service_levels import ServedValue
from cedarthread.testing.fakes.worker_server import response_body
from cedarthread.testing.invariants import (
    AttemptRecord,
    CallGuarantees,
    Idempotency,
    InvariantChecker,
    InvariantLimits,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

ANSWER_SLACK_MS = 250.0  # Tolerance after a call's deadline, because hundreds of processes share the machine.
HARNESS_SLACK_MS = 60.0  # Maximum delay of a fake in reading bytes that a router sent in time.
# A router counts as knowing a change of its endpoint list this long after the change, even if no reply with
# the change arrived, as the platform's protocol specification requires.
MAX_PROPAGATION_MS = 7000.0
# The same limit as ``MAX_PROPAGATION_MS``, if no fault disturbs the router's discovery queries, as the
# platform's protocol specification requires. The router's process may still be paused.
MAX_UNDISTURBED_PROPAGATION_MS = 1500.0
RESUME_TO_QUERY_S = 0.3  # Time from the end of a pause until the process has queried discovery.
DISCOVERY_DISTURBANCES = (
    FaultKind.LOSE,
    FaultKind.DELAY,
    FaultKind.PARTITION,
    FaultKind.KILL_ROUTER,
    FaultKind.RESTART_ROUTER,
    FaultKind.TERMINATE_ROUTER,
    FaultKind.MOVE_DISCOVERY,
    FaultKind.SYSTEM_CALLS,
    FaultKind.SILENCE_DISCOVERY,
    FaultKind.CORRUPT_DISCOVERY,
)
# Maximum time by which the recorded order of bytes that two fake processes read may differ from the order in
# which the bytes were sent.
READ_ORDER_SLACK_MS = 25.0
MAX_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3  # Significant digits of the latency histogram.
CLASS_GUARANTEES = {
    "check": CallGuarantees(Idempotency.IDEMPOTENT),
    "confirm": CallGuarantees(Idempotency.NOT_IDEMPOTENT),
}
# Value of a served call by class, the same as in ``router_files.router_settings``.
CLASS_VALUE = {"check": 2.0, "confirm": 3.0}
UNANSWERED_REMARKS = ("shed", "spawn_failed", "lost")  # Remarks of attempts that produced no body.


class _PropagationDeadline(NamedTuple):
    """A change of a router's endpoint list, and when the router counts as knowing it without any reply."""

    at_ms: float
    router: int
    changed_at_ms: float


@dataclass(slots=True)
class _WorkerAttempt:
    worker: int
    record: AttemptRecord


class FactReader:
    """The reader of one run's facts; owns the invariant checker, the counts of answers and the latencies.

    Args:
        scenario: The scenario of the run.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.network = Network(scenario.faults, scenario.seed)
        self.worker_faults = [
            fault
            for fault in scenario.faults
            if fault.kind in (FaultKind.SILENCE_WORKER, FaultKind.SLOW_WORKER)
        ]
        default_limits = InvariantLimits()
        limits = InvariantLimits(
            answer_slack_ms=ANSWER_SLACK_MS,
            drain_slack_ms=default_limits.drain_slack_ms + HARNESS_SLACK_MS,
            client_disconnected_slack_ms=default_limits.client_disconnected_slack_ms + HARNESS_SLACK_MS,
            time_limit_slack_ms=default_limits.time_limit_slack_ms + HARNESS_SLACK_MS,
        )
        self.checker = InvariantChecker(limits)
        self.list_timeline = EndpointListTimeline(scenario, [0] * scenario.worker_count)
        self._list_known_as_of_ms = [-math.inf] * scenario.router_count  # Time of the list each router knows.
        self.scenario = scenario
        self._pending_deadlines = self._propagation_deadlines()
        self.answers: Counter[str] = Counter()
        self.answers_by_tenant: defaultdict[str, Counter[str]] = defaultdict(Counter)
        self.served: list[ServedValue] = []
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
        self._attempts: defaultdict[str, list[_WorkerAttempt]] = defaultdict(list)  # Keys: call ids.
        self._submitted: dict[str, CallSubmitted] = {}  # Keys: call ids.
        self._cancelled_at_ms: dict[tuple[str, int], float] = {}  # Last cancellation by (call id, worker).
        for router in range(scenario.router_count):
            self._mark_list_known(-math.inf, 0.0, router)
        self._handlers: dict[type, Callable[[Any], None]] = {
            ListSent: self._on_list_sent,
            RouterStarted: self._on_router_started,
            ClientLeft: self._on_client_left,
            CallSubmitted: self._on_submitted,
            NoRouterAvailable: self._on_no_router,
            CallAbandoned: self._on_abandoned,
            CallAnswered: self._on_answer,
            AttemptSent: self._on_attempt_sent,
            AttemptEnded: self._on_attempt_ended,
            AttemptCancelled: self._on_cancelled,
        }

    def read(self, facts: Iterable[Fact]) -> None:
        """Read all facts, which must be in order of time."""
        for fact in facts:
            self._apply_propagation_deadlines(fact.at_ms)
            self._handlers[type(fact)](fact)

    def _on_list_sent(self, fact: ListSent) -> None:
        self._mark_list_known(fact.at_ms, fact.at_ms, fact.router)

    def _on_router_started(self, fact: RouterStarted) -> None:
        self._mark_list_known(fact.at_ms, 0.0, fact.router)

    def _on_client_left(self, fact: ClientLeft) -> None:
        self.checker.on_client_disconnected(fact.at_ms, fact.call_id)

    def _on_submitted(self, fact: CallSubmitted) -> None:
        guarantees = CLASS_GUARANTEES[fact.request_class]
        self.checker.on_call_submitted(fact.at_ms, fact.call_id, guarantees, fact.deadline_ms)
        self._submitted[fact.call_id] = fact

    def _on_no_router(self, fact: NoRouterAvailable) -> None:
        self.answers["no router"] += 1

    def _on_abandoned(self, fact: CallAbandoned) -> None:
        self.checker.on_call_abandoned(fact.at_ms, fact.call_id)
        self.answers["left"] += 1

    def _on_cancelled(self, fact: AttemptCancelled) -> None:
        self._cancelled_at_ms[fact.call_id, fact.worker] = fact.at_ms
        self._end_attempts(fact.call_id, fact.worker, may_have_executed=True)

    def _mark_list_known(self, at_ms: float, as_of_ms: float, router: int) -> None:
        """Report to the invariant checker that a router knows the endpoint list as of a time.

        The checker identifies a worker by its worker id, which is the worker's number plus 1.
        """
        self._list_known_as_of_ms[router] = as_of_ms
        for worker, state in self.list_timeline.states_at(as_of_ms, router).items():
            self.checker.on_worker_state(at_ms, worker + 1, state, router=router)

    def _apply_propagation_deadlines(self, now_ms: float) -> None:
        """Report to the invariant checker the list changes that count as known by now."""
        while self._pending_deadlines and self._pending_deadlines[0].at_ms <= now_ms:
            deadline = self._pending_deadlines.pop(0)
            if self._list_known_as_of_ms[deadline.router] >= deadline.changed_at_ms:
                continue  # The router's latest list contains this change and perhaps later ones.
            for worker, state in self.list_timeline.states_at(
                deadline.changed_at_ms, deadline.router
            ).items():
                if state != "ready":
                    self.checker.on_worker_state(deadline.at_ms, worker + 1, state, router=deadline.router)

    def _propagation_deadlines(self) -> list[_PropagationDeadline]:
        """Return, in order of time, when each router counts as knowing each list change at the latest."""
        return sorted(
            _PropagationDeadline(
                changed_at_ms + self._max_propagation_ms(router, changed_at_ms), router, changed_at_ms
            )
            for changed_at_ms in (1000.0 * at_s for at_s in self.list_timeline.change_times_s)
            for router in range(self.scenario.router_count)
        )

    def _max_propagation_ms(self, router: int, changed_at_ms: float) -> float:
        """Return the time from a list change until a router counts as knowing the change.

        This is ``MAX_PROPAGATION_MS`` if a fault disturbed the router's discovery queries or the router was
        restarted, else ``MAX_UNDISTURBED_PROPAGATION_MS``.
        """
        since_s = changed_at_ms / 1000.0
        until_s = (changed_at_ms + MAX_UNDISTURBED_PROPAGATION_MS) / 1000.0
        resumed_s = [
            fault.end_s + RESUME_TO_QUERY_S
            for fault in self.scenario.faults
            if fault.kind is FaultKind.PAUSE_ROUTER
            and fault.targets.includes(NodeKind.ROUTER, router)
            and fault.start_s < until_s
            and fault.end_s > since_s
        ]
        until_s = max((until_s, *resumed_s))  # A paused router can query only after it resumes.
        is_disturbed = any(
            fault.start_s < until_s
            and fault.end_s > since_s - MAX_UNDISTURBED_PROPAGATION_MS / 1000.0
            and (
                fault.targets.includes(NodeKind.ROUTER, router)
                or fault.targets.includes(NodeKind.DISCOVERY, router)
            )
            for fault in self.scenario.faults
            if fault.kind in DISCOVERY_DISTURBANCES
        )
        return MAX_PROPAGATION_MS if is_disturbed else MAX_UNDISTURBED_PROPAGATION_MS

    def latency_ms(self, percentiles: Sequence[float]) -> dict[str, float]:
        """Return the latency of served calls by the name of the percentile."""
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
        router = Node(NodeKind.ROUTER, router_of(fact.call_id))
        for attempt in self._attempts[fact.call_id]:
            if attempt.record.is_in_flight and self._may_miss_cancellation(
                fact.at_ms, router, attempt.worker
            ):
                self.checker.on_attempt_ended(attempt.record, may_have_executed=True)
        record = self.checker.on_attempt_started(
            fact.at_ms,
            fact.call_id,
            fact.worker + 1,
            first_byte_at_ms=fact.sent_at_ms,
            handed_over_at_ms=fact.sent_at_ms - READ_ORDER_SLACK_MS,
            router=router.number,
            time_limit_ms=fact.time_limit_ms,
        )
        self._attempts[fact.call_id].append(_WorkerAttempt(fact.worker, record))
        if self._cancelled_at_ms.get((fact.call_id, fact.worker), -1.0) >= fact.sent_at_ms:
            self.checker.on_attempt_ended(record, may_have_executed=True)

    def _may_miss_cancellation(self, now_ms: float, router: Node, worker: int) -> bool:
        """Return whether a worker may have missed a router's cancellation because of a fault."""
        is_faulty = any(
            fault.is_active(now_ms / 1000.0) and fault.targets.includes(NodeKind.WORKER, worker)
            for fault in self.worker_faults
        )
        return is_faulty or self.network.is_disturbed(now_ms, router, Node(NodeKind.WORKER, worker))

    def _on_attempt_ended(self, fact: AttemptEnded) -> None:
        if fact.remark not in UNANSWERED_REMARKS:
            self.checker.on_body_produced(fact.call_id, response_body(fact.call_id))
        self._end_attempts(fact.call_id, fact.worker, may_have_executed=fact.remark != "shed")

    def _end_attempts(self, call_id: str, worker: int, *, may_have_executed: bool) -> None:
        for attempt in self._attempts[call_id]:
            if attempt.worker == worker and attempt.record.is_in_flight:
                self.checker.on_attempt_ended(attempt.record, may_have_executed=may_have_executed)
