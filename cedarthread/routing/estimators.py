"""Estimators of one router: service times, call rates by class and tenant, and reported load of workers.

The estimators are updated from the router's own calls and from load reports of workers; they contain no
policy. All times are ms on the monotonic clock, passed in by the caller; rates are per ms.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.routing.popularity import Popularity
from cedarthread.routing.records import (
    EXCESS_LOAD_PRIOR_COUNT,
    MIN_LOAD_DECAY_MS,
    FunctionRecord,
    PendingRequest,
    WorkerRecord,
)
from cedarthread.statistics import DecayingCounter, DecayingMean, Ewma

if TYPE_CHECKING:
    from cedarthread.model.events import RequestArrived
    from cedarthread.model.settings import RequestClass, RouterSettings
    from cedarthread.routing.worker_table import WorkerTable

RATE_WINDOW_MS = 5000.0  # time constant of rates: several windows of rule 4, but much less than a slow start
INITIAL_SERVICE_DIVISOR = 4.0  # latency objective over the service time assumed before the first response
MAX_LOAD_DECAY_MS = 12000.0  # upper bound of the time constant of a worker's load observations
RESPONSES_PER_TIME_CONSTANT = 4.0  # own calls to one worker per time constant, within its bounds
REPORT_PRIOR_COUNT = 0.01  # weight of the prior 0: negligible after the first report
REPORTED_LOAD_WEIGHT = 0.05  # weight of a reported request in flight, relative to one of this router
MIN_QUOTA_FRACTION = 0.01  # lower bound of a tenant's quota


class ServiceTimeEstimator:
    """The service times of warm calls by function, class and work hint, and the extra latency of cold starts.

    Args:
        settings: The settings of the router, for the classes and their latency objectives.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.classes: tuple[RequestClass, ...] = ()
        self.by_class: list[Ewma] = []
        self.per_work: list[Ewma] = []  # ms per unit of the work hint of a request
        self.cold_start_ms = Ewma()  # latency of a cold start in addition to the service time of a warm call
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Add estimators for new classes; classes are only appended, so earlier estimates remain."""
        added = range(len(self.classes), len(settings.classes))
        self.by_class += [Ewma() for _ in added]
        self.per_work += [Ewma() for _ in added]
        self.classes = settings.classes

    def class_ms(self, class_index: int) -> float:
        """Return the mean service time of a class, which rule 4 (slow start) counts as the work of a call."""
        return (
            self.by_class[class_index].mean
            or self.classes[class_index].latency_objective_ms / INITIAL_SERVICE_DIVISOR
        )

    def expected_ms(self, pending: PendingRequest) -> float:
        """Return the service time of a warm call by the work hint, else by function, class or objective."""
        request = pending.request
        if request.work is not None and self.per_work[request.class_index].count:
            return request.work * self.per_work[request.class_index].mean
        if pending.function.service_ms.count:
            return pending.function.service_ms.mean
        return self.class_ms(request.class_index)

    def expected_cold_start_ms(self, pending: PendingRequest) -> float:
        """Return the extra latency of a cold start: the observed or hinted load time, else the objective."""
        hinted_ms = pending.request.load_time_ms
        return self.cold_start_ms.mean or hinted_ms or pending.request_class.latency_objective_ms

    def on_warm_response(self, pending: PendingRequest, latency_ms: float) -> None:
        """Record the latency of a response from a warm instance."""
        request = pending.request
        pending.function.service_ms.add(latency_ms)
        self.by_class[request.class_index].add(latency_ms)
        if request.work is not None:
            self.per_work[request.class_index].add(latency_ms / request.work)

    def on_cold_response(self, pending: PendingRequest, latency_ms: float) -> None:
        """Record the latency of a response from an instance that was started for the call."""
        self.cold_start_ms.add(max(0.0, latency_ms - self.expected_ms(pending)))


class TrafficEstimator:
    """The rates of the router's own calls, and the time constants derived from these rates.

    Args:
        settings: The settings of the router, for the tenants and classes.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.recent_calls = DecayingCounter(RATE_WINDOW_MS)
        self.popularity = Popularity()
        self.first_call_at_ms = math.inf
        self.request_value = Ewma()  # priority weight of a request per ms of its work
        self.calls_per_ms = 0.0
        self.load_decay_ms = MIN_LOAD_DECAY_MS  # time constant of a worker's load observations
        self.sparse_traffic_factor = 1.0  # load_decay_ms over its minimum, 1 to 3; 3: rare calls
        # Requests of other routers in flight, from load reports, over all workers.
        self.reported_in_flight = DecayingMean(RATE_WINDOW_MS)
        self.mean_reported_in_flight = 0.0
        self.by_tenant = [DecayingCounter(RATE_WINDOW_MS) for _ in settings.tenants]
        self.admitted_by_class: list[DecayingCounter] = []  # first attempts that were not shed
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Add a counter for each new class; classes are only ever appended."""
        added = range(len(self.admitted_by_class), len(settings.classes))
        self.admitted_by_class += [DecayingCounter(RATE_WINDOW_MS) for _ in added]

    def on_call(self, now_ms: float, function: FunctionRecord, worker_count: int) -> None:
        """Count a call and update the call rate and the sparse-traffic factor.

        The rate is divided by the fraction of the window since the first call, so that it is unbiased soon
        after the start.
        """
        self.popularity.on_call(now_ms, function.recent_calls, self.calls_per_ms)
        self.recent_calls.add(now_ms, 1.0)
        self.first_call_at_ms = min(self.first_call_at_ms, now_ms)
        known_fraction = 1.0 - math.exp(-max(1.0, now_ms - self.first_call_at_ms) / RATE_WINDOW_MS)
        self.calls_per_ms = self.recent_calls.read(now_ms) / RATE_WINDOW_MS / known_fraction
        wanted_ms = RESPONSES_PER_TIME_CONSTANT * worker_count / self.calls_per_ms
        self.load_decay_ms = min(max(wanted_ms, MIN_LOAD_DECAY_MS), MAX_LOAD_DECAY_MS)
        self.sparse_traffic_factor = self.load_decay_ms / MIN_LOAD_DECAY_MS
        self.mean_reported_in_flight = self.reported_in_flight.read(now_ms, REPORT_PRIOR_COUNT)

    def on_tenant_call(self, now_ms: float, request: RequestArrived, settings: RouterSettings) -> float:
        """Count a tenant's call; return its fraction of all calls over its quota, or 1.0 without a tenant."""
        tenant_index = request.tenant_index
        if tenant_index is None or tenant_index >= len(self.by_tenant):
            return 1.0
        self.by_tenant[tenant_index].add(now_ms, 1.0)
        fraction = self.by_tenant[tenant_index].read(now_ms) / sum(
            calls.read(now_ms) for calls in self.by_tenant
        )
        return fraction / max(settings.tenants[tenant_index].quota_fraction, MIN_QUOTA_FRACTION)

    def on_load_report(self, now_ms: float, in_flight_of_others: float) -> None:
        """Record the requests of other routers that a worker reported as in flight."""
        self.reported_in_flight.add(now_ms, in_flight_of_others, RATE_WINDOW_MS)

    def on_admitted(self, now_ms: float, class_index: int) -> None:
        """Count a call of the class that was not shed and is not a client's retry."""
        self.admitted_by_class[class_index].add(now_ms, 1.0)

    def worker_share(
        self, now_ms: float, capacity: float, service_times: ServiceTimeEstimator, workers: WorkerTable
    ) -> float:
        """Return the part of this router's work (ms per ms) for one worker with this capacity (0 to 1)."""
        # Uses the current service times, because the initial estimate may be several times too high.
        demand = sum(
            admitted.read(now_ms) * service_times.class_ms(class_index)
            for class_index, admitted in enumerate(self.admitted_by_class)
        )
        # The recent peak, because after workers leave, the demand per remaining worker exceeds its capacity.
        ready = max(1.0, workers.ready_count, workers.ready_peak.read(now_ms))
        return capacity * demand / RATE_WINDOW_MS / ready

    def reported_excess(self, now_ms: float, worker: WorkerRecord) -> float:
        """Return the weighted excess of reported requests at the worker over the mean; 0 without reports."""
        usual = self.mean_reported_in_flight
        excess = worker.reported_in_flight.read(now_ms, EXCESS_LOAD_PRIOR_COUNT, usual) - usual
        return REPORTED_LOAD_WEIGHT * self.sparse_traffic_factor * excess
