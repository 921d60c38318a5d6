"""Outcome feedback: updates worker and function records and estimators from the outcomes of attempts.

All times are ms on the monotonic clock, passed in by the caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.routing import outlier_detection, slow_start
from cedarthread.routing.outlier_detection import (
    FAILURE_GAIN,
    MAX_EJECTED_FRACTION,
    MAX_FAILURE_GAIN,
    MAX_UNRESPONSIVE_EJECTED_FRACTION,
    OVERDUE_MULTIPLE,
    RECOVERY_THRESHOLD,
)
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from cedarthread.model.events import AttemptEnded, PreloadEnded
    from cedarthread.model.settings import RouterSettings
    from cedarthread.routing.records import Attempt, PendingRequest, WorkerRecord
    from cedarthread.routing.router_state import RouterState

# Time constant of load reports, as a fraction of load_decay_ms, because reports change with each call.
REPORT_DECAY_FRACTION = 0.25
CONCURRENCY_WEIGHT = 0.25  # excess load per other request; below 1, because a worker has several cores
REJECTION_TIME_CONSTANT_MS = 3000.0  # time constant of a worker's rejections of a class and tenant
REJECTION_GAIN = 0.5  # gain of one response on the rejection penalty of a class and tenant
# Placement cost towards which the rejection penalty moves after a rejection; otherwise it moves towards 0.
REJECTION_PENALTY = 2.0

MIN_PRELOAD_BACKOFF_MS = 1.0  # backoff after a failed preload if no load time is known
PRELOAD_BACKOFF_JITTER = 0.5, 1.0  # fractions of the backoff between which the delay is drawn


class OutcomeFeedback:
    """The updater of one router's records from ended attempts and preloads; ejects failing workers.

    Args:
        state: The router's state.
    """

    def __init__(self, state: RouterState) -> None:
        self.state = state
        self.in_flight_column = -1  # index of the requests in flight in a load report; -1: not reported
        self.update_settings(state.settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Find the column of the requests in flight in load reports."""
        columns = settings.load_report_columns
        self.in_flight_column = columns.index("inflight") if "inflight" in columns else -1

    def observe_health(
        self,
        now_ms: float,
        worker: WorkerRecord,
        failure: float,
        max_ejected_fraction: float = MAX_EJECTED_FRACTION,
        gain: float = FAILURE_GAIN,
    ) -> None:
        """Add an observation of a worker, 0 healthy to 1 failed; may eject the worker or end its ejection."""
        workers = self.state.workers.by_id.values()
        if outlier_detection.observe(worker, workers, failure, max_ejected_fraction, gain):
            outlier_detection.eject(worker, now_ms, self.state.traffic.sparse_traffic_factor, self.state.rng)
            self.state.log(now_ms, "worker_ejected", worker_id=worker.endpoint.worker_id)

    def observe_unresponsiveness(self, now_ms: float, attempt: Attempt) -> bool:
        """Return whether the worker has not responded at all since the attempt started.

        If the attempt is also overdue, this counts once as a failure of the worker.
        """
        worker = self.state.workers.by_id.get(attempt.endpoint.worker_id)
        if worker is None:
            return True
        is_unresponsive = worker.last_response_at_ms < attempt.started_at_ms
        is_overdue = now_ms - attempt.started_at_ms >= OVERDUE_MULTIPLE * attempt.expected_ms
        if is_unresponsive and is_overdue and not attempt.is_overdue:
            attempt.is_overdue = True
            self.observe_health(now_ms, worker, 1.0, MAX_UNRESPONSIVE_EJECTED_FRACTION)
        return is_unresponsive

    def update_worker(self, now_ms: float, event: AttemptEnded, attempt: Attempt) -> None:
        """Update the worker's record from the outcome of an attempt.

        Right after a stall of the process the event is stale, so load and outlier scores are not updated.
        """
        worker = self.state.workers.by_id.get(event.worker_id)
        if worker is None:
            return
        self._record_load_report(now_ms, worker, event.load_report)
        worker.in_flight -= 1
        slow_start.on_attempt_ended(
            worker.slow_start_sends, attempt.started_at_ms, was_sent=not event.is_local
        )
        worker.has_trial_in_flight = worker.has_trial_in_flight and not attempt.is_trial
        if event.outcome in (Outcome.OK, Outcome.OVERLOADED):
            worker.last_response_at_ms = now_ms
        if now_ms == self.state.stalled_at_ms:
            return
        if event.outcome is Outcome.OK:
            self._record_success(now_ms, worker, event, attempt)
        elif event.outcome is Outcome.OVERLOADED:
            self._record_overloaded(now_ms, worker, attempt)
        else:
            self._record_failure(now_ms, worker, event, attempt)

    def _record_success(
        self, now_ms: float, worker: WorkerRecord, event: AttemptEnded, attempt: Attempt
    ) -> None:
        """Record a response: good health, and the load implied by its latency and reported concurrency."""
        if (rejections := worker.rejections.get(attempt.class_and_tenant)) is not None:
            rejections.move_towards(now_ms, REJECTION_GAIN, 0.0)
        if not attempt.is_cold:
            others = CONCURRENCY_WEIGHT * max(0, (event.reported_concurrency or 0) - 1)
            excess = max(event.latency_ms / max(attempt.expected_ms, 1.0) - 1.0, others)
            worker.excess_load.add(now_ms, excess, self.state.traffic.load_decay_ms)
        if attempt.is_trial:
            worker.outlier_score = min(worker.outlier_score, RECOVERY_THRESHOLD)
        self.observe_health(now_ms, worker, 0.0)

    def _record_overloaded(self, now_ms: float, worker: WorkerRecord, attempt: Attempt) -> None:
        """Record a rejection of the class and tenant, and an excess load of at least the latency objective.

        The objective is in multiples of the expected time, as the excess load is.
        """
        rejections = worker.rejections.setdefault(
            attempt.class_and_tenant, DecayingCounter(REJECTION_TIME_CONSTANT_MS)
        )
        rejections.move_towards(now_ms, REJECTION_GAIN, REJECTION_PENALTY)
        class_index, _ = attempt.class_and_tenant
        request_class = self.state.settings.classes[class_index]
        objective = max(request_class.latency_objective_ms, 1.0) / max(attempt.expected_ms, 1.0)
        excess = max(worker.read_excess_load(now_ms), objective)
        worker.excess_load.add(now_ms, excess, self.state.traffic.load_decay_ms)

    def _record_failure(
        self, now_ms: float, worker: WorkerRecord, event: AttemptEnded, attempt: Attempt
    ) -> None:
        """Add a failure to the outlier score; a failed half-open trial ejects the worker for longer."""
        sparse_traffic_factor = self.state.traffic.sparse_traffic_factor
        weight = outlier_detection.failure_weight(worker, now_ms, event, attempt, sparse_traffic_factor)
        if weight is None:
            return
        self.observe_health(now_ms, worker, 1.0, *weight)
        if attempt.is_trial and worker.is_ejected:
            outlier_detection.eject(worker, now_ms, sparse_traffic_factor, self.state.rng)

    def _record_load_report(
        self, now_ms: float, worker: WorkerRecord, load_report: tuple[float | None, ...]
    ) -> None:
        """Record the requests of other routers at the worker, which are most of its load in a large fleet."""
        reported = self._reported_in_flight(load_report)
        if reported is not None:
            others = max(0.0, reported - worker.in_flight)
            traffic = self.state.traffic
            worker.reported_in_flight.add(now_ms, others, REPORT_DECAY_FRACTION * traffic.load_decay_ms)
            traffic.on_load_report(now_ms, others)

    def _reported_in_flight(self, load_report: tuple[float | None, ...]) -> float | None:
        """Return the requests in flight from a load report; None: not reported."""
        if 0 <= self.in_flight_column < len(load_report):
            return load_report[self.in_flight_column]
        return None

    def reported_load(self, event: AttemptEnded) -> tuple[float, float] | None:
        """Return the calls in flight that a worker reports, and how many of them this router sent."""
        worker = self.state.workers.by_id.get(event.worker_id)
        reported = self._reported_in_flight(event.load_report)
        return None if worker is None or reported is None else (reported, float(worker.in_flight))

    def update_function(
        self, now_ms: float, event: AttemptEnded, attempt: Attempt, pending: PendingRequest
    ) -> None:
        """Update the function's instances and service times from the outcome of an attempt."""
        function = pending.function
        worker_id = event.worker_id
        if event.outcome is not Outcome.OK:
            if event.outcome is Outcome.NOT_LOADED or event.start_kind is StartKind.LOAD_FAILED:
                function.remove_instances(worker_id)
            return
        function.instance_seen_at_ms[worker_id] = now_ms
        function.instance_queue.on_response(worker_id, was_cold=event.start_kind is StartKind.COLD)
        self._confirm_suspect_errors(now_ms, pending)
        if event.start_kind in (StartKind.COLD, StartKind.PENDING):
            self.state.service_times.on_cold_response(pending, event.latency_ms)
            return
        self.state.service_times.on_warm_response(pending, event.latency_ms)
        function.affinity[worker_id] = 1.0
        function.last_sent_at_ms.setdefault(worker_id, attempt.started_at_ms)

    def _confirm_suspect_errors(self, now_ms: float, pending: PendingRequest) -> None:
        """Count suspect errors against their workers, because another worker has served the same request."""
        for attempt in pending.attempts:
            worker = self.state.workers.by_id.get(attempt.endpoint.worker_id)
            if attempt.has_suspect_error and worker is not None:
                self.observe_health(now_ms, worker, 1.0, gain=MAX_FAILURE_GAIN)

    def record_preload(self, now_ms: float, event: PreloadEnded) -> bool:
        """Record the result of a preload; return False if no such preload is in flight."""
        state = self.state
        worker_id = event.worker_id
        function = state.functions.by_id.get(event.function_id)
        if function is None or worker_id not in function.preloading_workers:
            return False
        state.functions.end_preload(function, worker_id)
        cold_start_ms = state.service_times.cold_start_ms
        if event.outcome is Outcome.OK and event.instances > 0:
            function.affinity[worker_id] = 1.0
            function.last_sent_at_ms[worker_id] = now_ms
            function.preload_backoff_ms = 0.0
            cold_start_ms.add(event.latency_ms)
        else:
            shortest_ms = max(cold_start_ms.mean, MIN_PRELOAD_BACKOFF_MS)
            backoff_ms = max(2 * function.preload_backoff_ms, shortest_ms)
            function.preload_backoff_ms = min(backoff_ms, state.settings.instance_keep_alive_ms)
            jitter = state.rng.uniform(*PRELOAD_BACKOFF_JITTER)
            function.preload_not_before_ms = now_ms + function.preload_backoff_ms * jitter
        return True
