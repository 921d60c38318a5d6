"""What one router estimates of calls: how long they take, how many come, and of which class and tenant.

Each estimator is fed by the router's own calls alone and decides nothing. All times are ms of the clock that
is handed in; rates are per ms.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.routing.popularity import Popularity
from cedarthread.routing.records import (
    EXCESS_LOAD_PRIOR_COUNT,
    MIN_LOAD_MEMORY_MS,
    FunctionRecord,
    PendingRequest,
    WorkerRecord,
)
from cedarthread.statistics import DecayingCounter, DecayingMean, Ewma

if TYPE_CHECKING:
    from cedarthread.model.events import RequestArrived
    from cedarthread.model.settings import RequestClass, RouterSettings
    from cedarthread.routing.worker_table import WorkerTable

RATE_WINDOW_MS = 5000.0  # ms, time constant of rates: some windows of rule 4, well under a warm-up
INITIAL_SERVICE_DIVISOR = 4.0  # before any answer, service is taken to need the objective divided by this
MAX_LOAD_MEMORY_MS = 12000.0  # ms in which what answers show of a worker fades, at most
RESPONSES_PER_MEMORY = 4.0  # between least and most, the time that so many own calls to one worker take
REPORT_PRIOR_COUNT = 0.01  # weight of "workers report nothing": nearly none once one has reported
REPORTED_LOAD_WEIGHT = 0.05  # part of a request in flight that each one that a worker reports weighs
MIN_QUOTA_FRACTION = 0.01  # a tenant's quota counts as this at least


class ServiceTimeEstimator:
    """How long warm calls take, by function, class and hinted work, and how much longer cold ones do."""

    def __init__(self, settings: RouterSettings) -> None:
        self.classes: tuple[RequestClass, ...] = ()
        self.by_class: list[Ewma] = []
        self.per_work: list[Ewma] = []  # ms for each unit of the work that a request hints
        self.cold_start_ms = Ewma()  # beyond the time of a warm call
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Classes are only added to: what was learned of the old ones stays."""
        added = range(len(self.classes), len(settings.classes))
        self.by_class += [Ewma() for _ in added]
        self.per_work += [Ewma() for _ in added]
        self.classes = settings.classes

    def class_ms(self, class_index: int) -> float:
        """Rule 4 counts the mean work of a class; its usual service time stands for it."""
        return (
            self.by_class[class_index].mean
            or self.classes[class_index].latency_objective_ms / INITIAL_SERVICE_DIVISOR
        )

    def expected_ms(self, pending: PendingRequest) -> float:
        """Service time of a warm call, by the hint, else function, else class, else the objective."""
        request = pending.request
        if request.work is not None and self.per_work[request.class_index].count:
            return request.work * self.per_work[request.class_index].mean
        if pending.function.service_ms.count:
            return pending.function.service_ms.mean
        return self.class_ms(request.class_index)

    def expected_cold_start_ms(self, pending: PendingRequest) -> float:
        """What a call takes beyond that where it begins an instance: as seen, as hinted, or the objective."""
        hinted_ms = pending.request.load_time_ms
        return self.cold_start_ms.mean or hinted_ms or pending.request_class.latency_objective_ms

    def on_warm_response(self, pending: PendingRequest, latency_ms: float) -> None:
        """A warm instance has answered."""
        request = pending.request
        pending.function.service_ms.add(latency_ms)
        self.by_class[request.class_index].add(latency_ms)
        if request.work is not None:
            self.per_work[request.class_index].add(latency_ms / request.work)

    def on_cold_response(self, pending: PendingRequest, latency_ms: float) -> None:
        """An instance has answered that had to be started for the call."""
        self.cold_start_ms.add(max(0.0, latency_ms - self.expected_ms(pending)))


class TrafficEstimator:
    """Rates of own calls, and what hangs on how rare those to one worker are."""

    def __init__(self, settings: RouterSettings) -> None:
        self.recent_calls = DecayingCounter(RATE_WINDOW_MS)
        self.popularity = Popularity()
        self.first_call_at_ms = math.inf
        self.request_value = Ewma()  # priority weight of requests for each ms of their work
        self.calls_per_ms = 0.0
        self.load_memory_ms = MIN_LOAD_MEMORY_MS  # ms in which what a worker showed fades
        self.call_rarity = 1.0  # how many times longer that is than with calls enough, 1 and up
        self.reported_in_flight = DecayingMean(RATE_WINDOW_MS)  # of others, at any worker
        self.usual_reported_in_flight = 0.0
        self.by_tenant = [DecayingCounter(RATE_WINDOW_MS) for _ in settings.tenants]
        self.admitted_by_class: list[DecayingCounter] = []  # first attempts that were not shed
        self.update_settings(settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Classes are only added to."""
        added = range(len(self.admitted_by_class), len(settings.classes))
        self.admitted_by_class += [DecayingCounter(RATE_WINDOW_MS) for _ in added]

    def on_call(self, now_ms: float, function: FunctionRecord, worker_count: int) -> None:
        """A call came: own calls a ms, right after the start too, and how rare those to one worker are."""
        self.popularity.on_call(now_ms, function.recent_calls, self.calls_per_ms)
        self.recent_calls.add(now_ms, 1.0)
        self.first_call_at_ms = min(self.first_call_at_ms, now_ms)
        known_fraction = 1.0 - math.exp(-max(1.0, now_ms - self.first_call_at_ms) / RATE_WINDOW_MS)
        self.calls_per_ms = self.recent_calls.read(now_ms) / RATE_WINDOW_MS / known_fraction
        wanted_ms = RESPONSES_PER_MEMORY * worker_count / self.calls_per_ms
        self.load_memory_ms = min(max(wanted_ms, MIN_LOAD_MEMORY_MS), MAX_LOAD_MEMORY_MS)
        self.call_rarity = self.load_memory_ms / MIN_LOAD_MEMORY_MS
        self.usual_reported_in_flight = self.reported_in_flight.read(now_ms, REPORT_PRIOR_COUNT)

    def on_tenant_call(self, now_ms: float, request: RequestArrived, settings: RouterSettings) -> float:
        """The part of all calls that are its tenant's, over the tenant's quota; 1.0 where there is none."""
        tenant_index = request.tenant_index
        if tenant_index is None or tenant_index >= len(self.by_tenant):
            return 1.0
        self.by_tenant[tenant_index].add(now_ms, 1.0)
        fraction = self.by_tenant[tenant_index].read(now_ms) / sum(
            calls.read(now_ms) for calls in self.by_tenant
        )
        return fraction / max(settings.tenants[tenant_index].quota_fraction, MIN_QUOTA_FRACTION)

    def on_load_report(self, now_ms: float, in_flight_of_others: float) -> None:
        """A worker reported what it has in flight."""
        self.reported_in_flight.add(now_ms, in_flight_of_others, RATE_WINDOW_MS)

    def on_admitted(self, now_ms: float, class_index: int) -> None:
        """A call of the class was not shed, and is no client's retry."""
        self.admitted_by_class[class_index].add(now_ms, 1.0)

    def worker_share(
        self, now_ms: float, capacity: float, service_times: ServiceTimeEstimator, workers: WorkerTable
    ) -> float:
        """The work, ms for each ms, that this router sends a worker with this part of its capacity."""
        # Counted anew by what calls need now: what the first guess made of them may be several times that.
        demand = sum(
            admitted.read(now_ms) * service_times.class_ms(class_index)
            for class_index, admitted in enumerate(self.admitted_by_class)
        )
        # Where others have left, the demand for each that is ready is more than one can carry.
        ready = max(1.0, workers.ready_count, workers.ready_peak.read(now_ms))
        return capacity * demand / RATE_WINDOW_MS / ready

    def reported_excess(self, now_ms: float, worker: WorkerRecord) -> float:
        """What requests of others there weigh beyond the usual; 0 where nothing is reported."""
        usual = self.usual_reported_in_flight
        excess = worker.reported_in_flight.read(now_ms, EXCESS_LOAD_PRIOR_COUNT, usual) - usual
        return REPORTED_LOAD_WEIGHT * self.call_rarity * excess
