"""Worker selection: picks the eligible worker of lowest placement cost; ties are broken at random.

Candidates are the workers with affinity to the function, its home workers by weighted rendezvous hashing, and
the next eligible workers in that order (``EXTRA_CANDIDATES``). The cost is a sum in units of affinity (0 cold
to 1 warm): 1 less the affinity, plus load, outlier score, rejections, crossing zones, and a penalty for the
place in the order of candidates. All times are ms on the monotonic clock, passed in by the caller.
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
MAX_HOMES_PER_WORKER = 10.0  # all workers are homes of a function with 1/10 of the calls
MIN_CALLS_PER_HOME = 14.0  # calls of a function per home in a keep-alive time, because loading is expensive
IDLE_MEMORY_WEIGHT = 10.0  # weight of the price of idle memory: a price of 0.1 halves the number of homes
EXTRA_CANDIDATES = 2  # candidates after the homes that are considered even if a worker was found
HOME_JITTER = 0.1  # maximum cost difference between homes by jitter; at most 1 - HOME_AFFINITY
HOME_AFFINITY = 0.9  # minimum affinity where other routers call too: several homes, gossiped instances

# Placement cost.
CROSS_ZONE_WEIGHT = 6.5  # cost of another zone per point of the cross-zone price: 0.3 at 0.046
PLACEMENT_STEP = 0.25  # cost of each place after the homes, the same as of one request in flight
PEER_LOAD_WEIGHT = 0.3  # weight of another router's request in flight, from gossip
LOAD_PER_AFFINITY = 4.0  # requests in flight per instance that cost as much as a cold instance
TRIAL_DISCOUNT = 0.5  # deducted from the cost of a half-open trial, so that it is preferred
COST_TOLERANCE = 1e-9  # costs that differ by no more count as equal
WEIGHTED = (WeightMeaning.NOMINAL, WeightMeaning.APPROXIMATE)  # weights that scale how often a worker is home


@dataclass(slots=True)
class _Search:
    """The inputs of one selection; the last two fields are set for each pass over the candidates."""

    now_ms: float
    pending: PendingRequest
    work_ms: float
    is_idempotent: bool
    attempted_ids: set[int]  # ids of workers that had an attempt of the request
    constraints: RoutingConstraints | None  # None: nothing limits loading now
    has_spare_instance: bool
    may_be_repeated: bool = False  # a worker that had an attempt may be selected
    may_be_ejected: bool = False  # an ejected worker may be selected without a trial being due


class WorkerSelector:
    """The worker selection of one router.

    Args:
        state: The router's state.
        retries: Cancels attempts in zones found unreachable.
    """

    def __init__(self, state: RouterState, retries: RetryPolicy) -> None:
        self.state = state
        self.retries = retries
        self.homes_per_worker = 0.0  # homes of a function with all calls; scaled by its fraction of the calls
        self.cross_zone_penalty = 0.0
        self.update_settings(state.settings)

    def update_settings(self, settings: RouterSettings) -> None:
        """Compute the number of homes and the cross-zone penalty from prices in the new settings."""
        prices = settings.prices
        self.homes_per_worker = MAX_HOMES_PER_WORKER / (1.0 + IDLE_MEMORY_WEIGHT * prices.idle_memory)
        self.cross_zone_penalty = CROSS_ZONE_WEIGHT * prices.cross_zone

    def select(self, now_ms: float, pending: PendingRequest) -> WorkerRecord | None:
        """Return the worker for the next attempt, in three passes; None: no worker is eligible.

        The first pass considers workers without an attempt of the request, the second also those with one,
        the third also ejected ones.
        """
        state = self.state
        function = pending.function
        function_id = pending.request.function_id
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
            constraints is not None and self.has_spare_instance(now_ms, pending, is_idempotent=is_idempotent),
        )
        self.retries.cancel_in_unreachable_zones(now_ms)
        for may_be_repeated, may_be_ejected in ((False, False), (True, False), (True, True)):
            search.may_be_repeated = may_be_repeated
            search.may_be_ejected = may_be_ejected
            if (worker := self._cheapest(search)) is not None:
                return worker
        return None

    def _cheapest(self, search: _Search) -> WorkerRecord | None:
        """Return the candidate of lowest cost that may receive the call in this pass, ties at random."""
        now_ms = search.now_ms
        pending = search.pending
        min_cost = math.inf
        ties = 0
        cheapest: WorkerRecord | None = None
        for worker, placement_penalty in self._candidates(now_ms, pending):
            if not self._may_receive(search, worker):
                continue
            cost = self.cost(now_ms, pending.function, worker, pending.class_and_tenant) + placement_penalty
            if worker.is_ejected and not search.may_be_ejected:  # a trial, which the score would prevent
                cost -= worker.outlier_score + TRIAL_DISCOUNT
            if cost < min_cost - COST_TOLERANCE:
                min_cost = cost
                ties = 1
                cheapest = worker
            elif cost <= min_cost + COST_TOLERANCE:
                ties += 1
                if self.state.rng.random() * ties < 1.0:  # reservoir sampling: all ties are equally likely
                    cheapest = worker
            if placement_penalty > EXTRA_CANDIDATES * PLACEMENT_STEP and min_cost < math.inf:
                break
        return cheapest

    def _may_receive(self, search: _Search, worker: WorkerRecord) -> bool:
        """Return whether the worker may receive the call in this pass."""
        now_ms = search.now_ms
        pending = search.pending
        if search.constraints is not None:
            keep_alive_ms = self.state.settings.instance_keep_alive_ms
            has_instance = pending.function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms)
            if not search.constraints.may_route(
                now_ms, pending, worker, is_loaded=has_instance, has_alternative=search.has_spare_instance
            ):
                return False
        if not self.is_eligible(pending, worker):
            return False
        if not search.may_be_repeated and worker.endpoint.worker_id in search.attempted_ids:
            return False
        if not (search.may_be_ejected or is_available(worker, now_ms, is_idempotent=search.is_idempotent)):
            return False
        return self._is_zone_usable(
            now_ms, worker, is_idempotent=search.is_idempotent
        ) and self.fits_slow_start(now_ms, worker, search.work_ms)

    def _candidates(self, now_ms: float, pending: PendingRequest) -> Iterator[tuple[WorkerRecord, float]]:
        """Yield workers with affinity, then the homes, then all others, each with its placement penalty.

        Rendezvous hashing gives all routers the same homes without communication. The number of homes follows
        the function's fraction of the calls, which each router estimates from its own traffic.
        """
        state = self.state
        function = pending.function
        workers = state.workers.by_id
        keep_alive_ms = state.settings.instance_keep_alive_ms
        if function.placement_epoch != state.workers.placement_epoch:
            function.placement_epoch = state.workers.placement_epoch
            function.placement_order = placement_order(
                function.hash, workers.values(), is_weighted=state.settings.weight_meaning in WEIGHTED
            )
        order: Sequence[WorkerRecord] = function.placement_order
        home_count = self.home_count(now_ms, function)
        if state.constraints is not None and state.constraints.limits_loading:
            order, home_count = state.constraints.home_workers(
                now_ms, pending.request.function_id, order, home_count
            )
        for worker_id in list(function.affinity):
            if function.read_affinity(now_ms, worker_id, keep_alive_ms) > 0.0 and worker_id in workers:
                yield workers[worker_id], 0.0
        place = 0
        for worker in order:
            if worker.endpoint.state is not EndpointState.READY:
                continue
            place += 1
            if place > home_count:
                yield worker, min(place - home_count, EXTRA_CANDIDATES + 1) * PLACEMENT_STEP
            elif home_count > 1:
                affinity = function.affinity.get(worker.endpoint.worker_id, 0.0)
                yield worker, HOME_JITTER * (worker.jitter - 1.0) - max(0.0, HOME_AFFINITY - affinity)
            else:
                yield worker, 0.0

    def home_count(self, now_ms: float, function: FunctionRecord) -> int:
        """Return the number of home workers of a function, at least 1."""
        state = self.state
        fraction = state.traffic.popularity.call_fraction(now_ms, function.recent_calls)
        if state.gossip is not None:  # gossip reports instances, so that fewer homes are needed
            fraction *= 1.0 - state.gossip.peer_coverage(now_ms)
        fleet_calls_per_ms = state.traffic.calls_per_ms * state.live_router_count
        max_retained = fleet_calls_per_ms * state.settings.instance_keep_alive_ms / MIN_CALLS_PER_HOME
        return 1 + int(fraction * min(self.homes_per_worker * len(state.workers.by_id), max_retained))

    def is_eligible(self, pending: PendingRequest, worker: WorkerRecord) -> bool:
        """Return whether the worker is ready and the deduplication scope of the request permits it."""
        endpoint = worker.endpoint
        scope = pending.request_class.deduplication_scope
        if endpoint.state is not EndpointState.READY:
            return False
        if pending.request_class.idempotency is not Idempotency.WITH_KEY or scope is DeduplicationScope.ALL:
            return True
        return pending.may_repeat_key_at(endpoint, scope)

    def _is_zone_usable(self, now_ms: float, worker: WorkerRecord, *, is_idempotent: bool) -> bool:
        """Return whether the worker's zone is reachable or due for a trial, or no zone is reachable."""
        zones = self.state.zones
        if not zones.unreachable or self.state.workers.is_every_zone_unreachable:
            return True
        return zones.may_send(now_ms, worker.endpoint.zone, is_idempotent=is_idempotent)

    def fits_slow_start(self, now_ms: float, worker: WorkerRecord, work_ms: float) -> bool:
        """Return whether a worker in slow start may get one more call from this router."""
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

    def cost(
        self, now_ms: float, function: FunctionRecord, worker: WorkerRecord, class_and_tenant: ClassAndTenant
    ) -> float:
        """Return the cost of a call at the worker, without the placement penalty."""
        state = self.state
        worker_id = worker.endpoint.worker_id
        in_flight = worker.in_flight + PEER_LOAD_WEIGHT * worker.peers_in_flight
        if (instance := function.gossiped_instances.get(worker_id)) is not None:
            in_flight += instance.in_flight  # in full, because calls of this function occupy its instances
        load = (
            in_flight / function.concurrency
            + worker.read_excess_load(now_ms)
            + state.traffic.reported_excess(now_ms, worker)
        )
        rejections = worker.rejections.get(class_and_tenant)
        penalty = worker.outlier_score + (rejections.read(now_ms) if rejections else 0.0)
        penalty += self.cross_zone_penalty if worker.endpoint.zone != state.settings.zone else 0.0
        return 1.0 - function.affinity.get(worker_id, 0.0) + load / LOAD_PER_AFFINITY + penalty

    def has_spare_instance(self, now_ms: float, pending: PendingRequest, *, is_idempotent: bool) -> bool:
        """Return whether an eligible worker has an instance with under 4 requests per concurrency unit."""
        function = pending.function
        keep_alive_ms = self.state.settings.instance_keep_alive_ms
        max_in_flight = function.concurrency * LOAD_PER_AFFINITY
        return any(
            self.is_eligible(pending, worker)
            and is_available(worker, now_ms, is_idempotent=is_idempotent)
            and self._is_zone_usable(now_ms, worker, is_idempotent=is_idempotent)
            and function.has_instance(now_ms, worker.endpoint.worker_id, keep_alive_ms)
            and worker.in_flight + worker.peers_in_flight < max_in_flight
            for worker in self._workers_with_affinity(function)
        )

    def cheapest_warm(self, now_ms: float, pending: PendingRequest) -> WorkerRecord | None:
        """Return the cheapest eligible warm worker, without regard to zones and constraints."""
        function = pending.function
        class_and_tenant = pending.class_and_tenant
        keep_alive_ms = self.state.settings.instance_keep_alive_ms
        work_ms = self.state.service_times.class_ms(pending.request.class_index)
        warm = [
            worker
            for worker in self._workers_with_affinity(function)
            if self.is_eligible(pending, worker)
            and is_available(worker, now_ms, is_idempotent=True)
            and function.read_affinity(now_ms, worker.endpoint.worker_id, keep_alive_ms) > 0
            and self.fits_slow_start(now_ms, worker, work_ms)
        ]
        return min(
            warm, key=lambda worker: self.cost(now_ms, function, worker, class_and_tenant), default=None
        )

    def _workers_with_affinity(self, function: FunctionRecord) -> list[WorkerRecord]:
        workers = self.state.workers.by_id
        return [workers[worker_id] for worker_id in function.affinity if worker_id in workers]
