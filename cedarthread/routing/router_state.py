"""The state of one router, which its policies share; each table and estimator is a class of its own.

The policies (``selection``, ``admission``, ``retries``, ``preloading``) read the state and update it through
the methods of the tables. The node's components set ``gossip``, ``constraints`` and ``live_router_count``.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.routing.discovery_polling import DiscoveryPolling
from cedarthread.routing.estimators import ServiceTimeEstimator, TrafficEstimator
from cedarthread.routing.function_table import DEFAULT_MAX_FUNCTIONS, FunctionTable
from cedarthread.routing.log_throttle import LogThrottle
from cedarthread.routing.overload import OverloadEstimator
from cedarthread.routing.preload_budget import PreloadBudget
from cedarthread.routing.records import PendingRequest
from cedarthread.routing.request_table import RequestTable
from cedarthread.routing.retry_budget import RetryBudget
from cedarthread.routing.timers import TimerSchedule
from cedarthread.routing.worker_table import WorkerTable
from cedarthread.routing.zone_reachability import ZoneReachability

if TYPE_CHECKING:
    from cedarthread.model.actions import Action
    from cedarthread.model.events import RequestArrived
    from cedarthread.model.settings import RouterSettings
    from cedarthread.routing.collaborators import PeerLoad, RoutingConstraints


@dataclass(slots=True)
class RouterState:
    """The tables, estimators and settings of one router, and the actions of the event being handled."""

    settings: RouterSettings
    rng: random.Random
    workers: WorkerTable
    service_times: ServiceTimeEstimator
    traffic: TrafficEstimator
    overload: OverloadEstimator
    zones: ZoneReachability
    live_router_count: int  # routers of the fleet that are considered alive
    functions: FunctionTable = field(default_factory=FunctionTable)
    requests: RequestTable = field(default_factory=RequestTable)
    timers: TimerSchedule = field(default_factory=TimerSchedule)
    polling: DiscoveryPolling = field(default_factory=DiscoveryPolling)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    logs: LogThrottle = field(default_factory=LogThrottle)
    preload_budget: PreloadBudget = field(default_factory=PreloadBudget)
    gossip: PeerLoad | None = None
    constraints: RoutingConstraints | None = None  # limits of contracts, change freezes and restart recovery
    event_at_ms: float = 0.0  # time of the last event
    stalled_at_ms: float = -math.inf  # time of the last event that found the timer overdue
    actions: list[Action] = field(default_factory=list)  # actions of the event being handled

    @staticmethod
    def create(
        settings: RouterSettings, seed: int, max_functions: int = DEFAULT_MAX_FUNCTIONS
    ) -> RouterState:
        """Return the state of a router that has just started."""
        rng = random.Random(seed)
        zones = ZoneReachability(settings.zone)
        return RouterState(
            settings=settings,
            rng=rng,
            workers=WorkerTable(settings, zones, rng),
            service_times=ServiceTimeEstimator(settings),
            traffic=TrafficEstimator(settings),
            overload=OverloadEstimator(),
            zones=zones,
            live_router_count=max(1, settings.router_count),
            functions=FunctionTable(max_functions),
        )

    def update_settings(self, settings: RouterSettings) -> None:
        """Apply new settings, which may append classes."""
        self.settings = settings
        self.workers.update_settings(settings)
        self.service_times.update_settings(settings)
        self.traffic.update_settings(settings)

    def record_request(self, now_ms: float, request: RequestArrived) -> PendingRequest:
        """Add a new request to the tables and the call rates, and return its record."""
        settings = self.settings
        expiry_ms = 2 * max(settings.instance_keep_alive_ms, self.traffic.popularity.window_ms)
        concurrency = max(request.concurrency or 1.0, 1.0)
        function = self.functions.on_call(now_ms, request.function_id, concurrency, expiry_ms)
        self.traffic.on_call(now_ms, function, len(self.workers.by_id))
        self.overload.on_call(now_ms)
        class_and_tenant = (request.class_index, request.tenant_index)
        request_class = settings.classes[request.class_index]
        pending = PendingRequest(request, request_class, function, class_and_tenant, now_ms)
        self.requests.add(pending)
        return pending

    def log(self, now_ms: float, event: str, **fields: object) -> None:
        """Append a log line, unless the event was logged recently."""
        if (line := self.logs.line(now_ms, event, **fields)) is not None:
            self.actions.append(line)

    def remove_instances(self, worker_id: int) -> None:
        """Remove all instances at a worker that restarted or left."""
        if self.gossip is not None:
            self.gossip.remove_worker(worker_id)
        self.functions.remove_worker(worker_id)
