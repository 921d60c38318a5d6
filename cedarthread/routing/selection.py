"""Worker selection: the eligible worker with the least placement cost, ties at random.

Candidates are the workers with affinity to the function, its home workers by weighted rendezvous hashing, and
a few more behind them. The cost is a sum, in units of affinity (0 cold to 1 warm): what the worker lacks in
affinity, its load, its outlier score, its rejections, crossing zones, and a penalty for its place.
All times are ms of the clock that is handed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointState
from cedarthread.model.settings import DeduplicationScope, Idempotency, RouterSettings, WeightMeaning
from cedarthread.routing import slow_start
from cedarthread.routing.outlier_detection import is_available
from cedarthread.routing.rendezvous import placement_order

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.routing.collaborators import RoutingConstraints
    from cedarthread.routing.records import ClassAndTenant, FunctionRecord, PendingRequest, WorkerRecord
    from cedarthread.routing.retries import RetryPolicy
    from cedarthread.routing.router_state import RouterState

# Home workers.
MAX_HOMES_PER_WORKER_SHARE = 10.0  # homes of a function for each worker that its part of the calls fills
MIN_CALLS_PER_HOME = 14.0  # calls of the fleet that each home gets while an instance may idle: loads are dear
IDLE_MEMORY_WEIGHT = 10.0  # a price of idle memory makes homes fewer: by half at 0.1
SPARE_WORKERS = 2  # workers after the homes that are looked at too
HOME_JITTER = 0.1  # cost by which a router prefers one of several homes: no more than affinity lacks
HOME_AFFINITY = 0.9  # affinity that homes of a function with several have at least: others' calls go there

# Placement cost.
CROSS_ZONE_WEIGHT = 6.5  # cost of another zone for each whole point that crossing there costs: 0.3 at 0.046
PLACEMENT_STEP = 0.25  # cost of each place behind the homes: one request in flight, by LOAD_PER_AFFINITY
PEER_LOAD_WEIGHT = 0.3  # part of a request in flight that each one of other routers weighs, by gossip
LOAD_PER_AFFINITY = 4.0  # requests in flight, in instances, that weigh as much as a step from warm to cold
TRIAL_BONUS = 0.5  # cost by which a half-open trial is cheaper than the worker would be, were it healthy
TIE = 1e-9  # costs that differ by no more are equal
WEIGHTED = (WeightMeaning.NOMINAL, WeightMeaning.APPROXIMATE)  # a worker of twice the weight is home as often


@dataclass(slots=True)
class _Search:
    """What one selection asks of each worker."""

    now_ms: float
    pending: PendingRequest
    work_ms: float
    is_idempotent: bool
    tried: set[int]  # ids of workers that had an attempt
    constraints: RoutingConstraints | None  # where they hold
    has_spare_instance: bool


class WorkerSelector:
    """Chooses workers. ``retries`` calls back what is lost in a zone that turns out to be unreachable."""

    def __init__(self, state: RouterState, retries: RetryPolicy) -> None:
        self.state, self.retries = state, retries
        self.homes_per_worker, self.cross_zone_penalty = 0.0, 0.0
        self.update_settings(state.settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """What follows from the settings alone."""
        prices = settings.prices
        self.homes_per_worker = MAX_HOMES_PER_WORKER_SHARE / (1.0 + IDLE_MEMORY_WEIGHT * prices.idle_memory)
        self.cross_zone_penalty = CROSS_ZONE_WEIGHT * prices.cross_zone

    def select(self, now_ms: float, pending: PendingRequest) -> WorkerRecord | None:
        """The worker for the next attempt: one not tried and not ejected, else a tried one, else any."""
        state, function, function_id = self.state, pending.function, pending.request.function_id
        constraints = state.constraints
        if constraints is not None and not constraints.limits_loading:
            constraints = None
        instances = state.gossip.instances(now_ms, function_id) if state.gossip is not None else {}
        if constraints is not None:
            instances = constraints.expected_instances(now_ms, function_id) | instances
        if instances or function.gossiped_instances:
            function.on_gossip(now_ms, instances, state.workers.by_id, HOME_AFFINITY)
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        search = _Search(
            now_ms,
            pending,
            state.service_times.class_ms(pending.request.class_index),
            is_idempotent,
            {attempt.endpoint.worker_id for attempt in pending.attempts},
            constraints,
            constraints is not None and self.has_spare_instance(now_ms, pending, is_idempotent),
        )
        self.retries.recall_from_unreachable_zones(now_ms)
        for may_be_repeated, may_be_ejected in ((False, False), (True, False), (True, True)):
            if (worker := self._cheapest(search, may_be_repeated, may_be_ejected)) is not None:
                return worker
        return None

    def _cheapest(self, search: _Search, may_be_repeated: bool, may_be_ejected: bool) -> WorkerRecord | None:
        now_ms, pending, rng = search.now_ms, search.pending, self.state.rng
        least_cost, ties = math.inf, 0
        cheapest: WorkerRecord | None = None
        for worker, placement_penalty in self._candidates(now_ms, pending):
            if not self._can_take(search, worker, may_be_repeated, may_be_ejected):
                continue
            cost = self.cost(now_ms, pending.function, worker, pending.class_and_tenant) + placement_penalty
            if worker.is_ejected and not may_be_ejected:  # half-open: by cost alone it would stay out
                cost -= worker.outlier_score + TRIAL_BONUS
            if cost < least_cost - TIE:
                least_cost, ties, cheapest = cost, 1, worker
            elif cost <= least_cost + TIE:
                ties += 1
                if rng.random() * ties < 1.0:  # each of the ties is as likely
                    cheapest = worker
            if placement_penalty > SPARE_WORKERS * PLACEMENT_STEP and least_cost < math.inf:
                break
        return cheapest

    def _can_take(
        self, search: _Search, worker: WorkerRecord, may_be_repeated: bool, may_be_ejected: bool
    ) -> bool:
        """Whether the worker may get the call in this pass."""
        now_ms, pending = search.now_ms, search.pending
        if search.constraints is not None:
            keep_alive_ms = self.state.settings.keep_alive_ms
            has_instance = pending.function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms)
            if not search.constraints.may_route(
                now_ms, pending, worker, has_instance, search.has_spare_instance
            ):
                return False
        if not self.is_eligible(pending, worker):
            return False
        if not may_be_repeated and worker.endpoint.worker_id in search.tried:
            return False
        if not (may_be_ejected or is_available(worker, now_ms, search.is_idempotent)):
            return False
        return self._can_reach(now_ms, worker, search.is_idempotent) and self.fits_slow_start(
            now_ms, worker, search.work_ms
        )

    # Which workers there are to choose from.

    def _candidates(self, now_ms: float, pending: PendingRequest) -> Iterator[tuple[WorkerRecord, float]]:
        """Workers with affinity, then the function's homes, then the others, with the penalty of their place.

        Routers that share nothing agree on the homes, by rendezvous hashing; their number follows the
        function's part of the calls, which every router's own traffic shows.
        """
        state, function = self.state, pending.function
        workers, keep_alive_ms = state.workers.by_id, state.settings.keep_alive_ms
        if function.placement_epoch != state.workers.placement_epoch:
            function.placement_epoch = state.workers.placement_epoch
            function.placement_order = placement_order(
                function.hash, workers.values(), state.settings.weight_meaning in WEIGHTED
            )
        order: Sequence[WorkerRecord] = function.placement_order
        homes = self.home_count(now_ms, function)
        if state.constraints is not None and state.constraints.limits_loading:
            order, homes = state.constraints.home_workers(now_ms, pending.request.function_id, order, homes)
        for worker_id in list(function.affinity):
            if function.read_affinity(now_ms, worker_id, keep_alive_ms) > 0.0 and worker_id in workers:
                yield workers[worker_id], 0.0
        place = 0
        for worker in order:
            if worker.endpoint.state is not EndpointState.READY:
                continue
            place += 1
            if place > homes:
                yield worker, min(place - homes, SPARE_WORKERS + 1) * PLACEMENT_STEP
            elif homes > 1:
                affinity = function.affinity.get(worker.endpoint.worker_id, 0.0)
                yield worker, HOME_JITTER * (worker.jitter - 1.0) - max(0.0, HOME_AFFINITY - affinity)
            else:
                yield worker, 0.0

    def home_count(self, now_ms: float, function: FunctionRecord) -> int:
        """How many workers are home to a function, 1 and up."""
        state = self.state
        fraction = state.traffic.popularity.call_fraction(now_ms, function.recent_calls)
        if state.gossip is not None:  # who knows where others have instances need not guess where they would
            fraction *= 1.0 - state.gossip.peer_coverage(now_ms)
        fleet_calls_per_ms = state.traffic.calls_per_ms * state.live_router_count
        max_retained = fleet_calls_per_ms * state.settings.keep_alive_ms / MIN_CALLS_PER_HOME
        return 1 + int(fraction * min(self.homes_per_worker * len(state.workers.by_id), max_retained))

    # Which of them may have the call.

    def is_eligible(self, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """Rules 2 and 3: may this request go to this worker."""
        endpoint, scope = worker.endpoint, pending.request_class.deduplication_scope
        if endpoint.state is not EndpointState.READY:
            return False
        if pending.request_class.idempotency is not Idempotency.WITH_KEY or scope is DeduplicationScope.ALL:
            return True
        executed_at = [attempt.endpoint for attempt in pending.possibly_executed()]
        if scope is DeduplicationScope.ZONE:
            return all(other.zone == endpoint.zone for other in executed_at)
        return all(other.cell == endpoint.cell for other in executed_at)

    def _can_reach(self, now_ms: float, worker: WorkerRecord, is_idempotent: bool) -> bool:
        """A call into an unreachable zone is lost with its time; where all are silent, that tells nothing."""
        zones = self.state.zones
        if not zones.unreachable or self.state.workers.is_every_zone_unreachable:
            return True
        return zones.may_send(now_ms, worker.endpoint.zone, is_idempotent)

    def fits_slow_start(self, now_ms: float, worker: WorkerRecord, work_ms: float) -> bool:
        """Slow start: whether this router may send a worker that started lately one more call."""
        state = self.state
        rules = state.settings.rules
        if (capacity := worker.available_capacity(now_ms, rules)) >= 1.0:
            return True
        work_per_ms = state.traffic.worker_share(now_ms, capacity, state.service_times, state.workers)
        return slow_start.fits_budget(
            rules,
            now_ms,
            worker.slow_start_sends,
            jitter=worker.jitter,
            work_per_ms=work_per_ms,
            work_ms=work_ms,
        )

    # What they cost.

    def cost(
        self, now_ms: float, function: FunctionRecord, worker: WorkerRecord, class_and_tenant: ClassAndTenant
    ) -> float:
        """The placement cost, without the penalty for the place."""
        state, worker_id = self.state, worker.endpoint.worker_id
        in_flight = worker.in_flight + PEER_LOAD_WEIGHT * worker.peers_in_flight
        if (instance := function.gossiped_instances.get(worker_id)) is not None:
            in_flight += instance.in_flight  # these take its very lanes
        load = (
            in_flight / function.concurrency
            + worker.read_excess_load(now_ms)
            + state.traffic.reported_excess(now_ms, worker)
        )
        rejections = worker.rejections.get(class_and_tenant)
        penalty = worker.outlier_score + (rejections.read(now_ms) if rejections else 0.0)
        penalty += self.cross_zone_penalty if worker.endpoint.zone != state.settings.zone else 0.0
        return 1.0 - function.affinity.get(worker_id, 0.0) + load / LOAD_PER_AFFINITY + penalty

    # Which of them run the function.

    def has_spare_instance(self, now_ms: float, pending: PendingRequest, is_idempotent: bool) -> bool:
        """Does an instance with room run at any worker where the call may go?"""
        workers, function = self.state.workers.by_id, pending.function
        keep_alive_ms = self.state.settings.keep_alive_ms
        max_in_flight = function.concurrency * LOAD_PER_AFFINITY
        near = (workers[worker_id] for worker_id in function.affinity if worker_id in workers)
        return any(
            self.is_eligible(pending, worker)
            and is_available(worker, now_ms, is_idempotent)
            and self._can_reach(now_ms, worker, is_idempotent)
            and function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms)
            and worker.in_flight + worker.peers_in_flight < max_in_flight
            for worker in near
        )

    def cheapest_warm(self, now_ms: float, pending: PendingRequest) -> WorkerRecord | None:
        """The cheapest worker with affinity to the function that may take the call at once."""
        function, workers = pending.function, self.state.workers.by_id
        keep_alive_ms = self.state.settings.keep_alive_ms
        work_ms = self.state.service_times.class_ms(pending.request.class_index)
        near = [workers[worker_id] for worker_id in list(function.affinity) if worker_id in workers]
        allowed = [w for w in near if self.is_eligible(pending, w) and is_available(w, now_ms, True)]
        warm = [
            worker
            for worker in allowed
            if function.read_affinity(now_ms, worker.endpoint.worker_id, keep_alive_ms) > 0
            and self.fits_slow_start(now_ms, worker, work_ms)
        ]
        return min(warm, key=lambda w: self.cost(now_ms, function, w, pending.class_and_tenant), default=None)
