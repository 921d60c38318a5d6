"""All decisions of a gateway. Its types stand in cedarthread/model.py: read that first.

One flow: eligible workers -> load-balanced distance -> admit (send, hold, refuse) -> on outcome: learn, then
finish, move or fail. ``Router.handle(now, event)`` returns the actions; time and seed come from outside.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from cedarthread.gossip.load_gossip import InstanceLoad, LoadGossip
from cedarthread.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    PreloadFunction,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    PreloadEnded,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from cedarthread.model.outcomes import NOT_EXECUTED, Outcome, StartKind
from cedarthread.model.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    NotLoadedBehavior,
    RouterSettings,
    WeightMeaning,
)
from cedarthread.routing import outlier_detection, preload_budget, slow_start
from cedarthread.routing.outlier_detection import (
    EJECTION_THRESHOLD,
    FAILURE_GAIN,
    MAX_EJECTED_FRACTION,
    MAX_FAILURE_GAIN,
    MAX_SILENT_EJECTED_FRACTION,
    OVERDUE_MULTIPLE,
)
from cedarthread.routing.overload import OverloadEstimator
from cedarthread.routing.popularity import Popularity
from cedarthread.routing.rendezvous import hash64, rendezvous_score
from cedarthread.routing.state import (
    EXCESS_LOAD_PRIOR_COUNT,
    MIN_LOAD_MEMORY_MS,
    Attempt,
    FunctionRecord,
    PendingRequest,
    WorkerRecord,
)
from cedarthread.routing.zone_reachability import ZoneReachability
from cedarthread.statistics import DecayingCounter, DecayingMean, Ewma, WindowedMaximum

if TYPE_CHECKING:
    from cedarthread.components.constraints import RoutingConstraints

# The design's own numbers.
AFFINITY_GAIN = 0.03  # share by which a send moves warmth: up on the chosen worker, down on the others
LOAD_PER_AFFINITY = 4.0  # requests out, in lanes, that weigh as much as a whole step from warm to cold
MAX_HOMES_PER_WORKER_SHARE = (
    10.0  # homes of a function for each worker that its part of the calls would fill, at most
)
MIN_CALLS_PER_HOME = (
    14.0  # calls of the fleet that each home has to get while a copy may lie idle: loads are dear
)
IDLE_MEMORY_WEIGHT = 10.0  # a price of idle memory makes them fewer, for each holds copies: by half at 0.1
SPARE_WORKERS = 2  # workers after the homes that are looked at too
HOME_JITTER = (
    0.1  # distance by which a gateway prefers one home of such a function: no more than warmth lacks
)
HOME_AFFINITY = 0.9  # warmth that the homes of a function with several have at least: others' calls go there
CROSS_ZONE_WEIGHT = (
    6.5  # distance to another zone, for each whole point that crossing there costs: 0.3 at 0.046
)
PLACEMENT_STEP = 0.25  # distance added for each place behind the homes: one request out, by FACTOR

# Learning.
RATE_WINDOW_MS = 5000.0  # ms, time constant of rates: some windows of rule 4, well under a warm-up
INITIAL_SERVICE_DIVISOR = 4.0  # before any answer, service is taken to need the aim divided by this
MIN_AFFINITY = 0.01  # warmth under this is forgotten
MAX_LOAD_MEMORY_MS = 12000.0  # ms in which what answers show of a worker fades, at most
RESPONSES_PER_MEMORY = 4.0  # between least and most, the time that so many own calls to one worker take
REPORTED_LOAD_WEIGHT = (
    0.05  # part of a request out that each one of others weighs, three times it where own are rare
)
REPORT_MEMORY_FRACTION = (
    0.25  # part of that time in which what it said to hold fades: that changes with every call
)
PEER_LOAD_WEIGHT = 0.3  # part of a request out that each one of others weighs, where they tell of them
CONCURRENCY_WEIGHT = 0.25  # part of a request out that each request of others weighs: a worker has some cores

# Attempts.
TRIAL_BONUS = 0.5  # distance by which a half-open trial is nearer than the worker would be, were it sound
HEDGE_AFTER_MULTIPLE = 2.5  # times its expected time after which a second copy is sent, where that is allowed
STALL_THRESHOLD_MS = 100.0  # ms that a timer may come late before the gateway takes itself for stalled

# Admission.
RETRY_BUDGET_PER_REQUEST, MAX_RETRY_BUDGET = (
    0.15,
    10.0,
)  # retry budget: moves earned by each first try; most saved up
CLIENT_RETRY_SHED_FACTOR = (
    3.0  # times that a client's marked repeat is refused as often: its first try has had its turn
)
MAX_SHED_PROBABILITY = 0.95  # the rest always passes: it shows when the jam is over
MIN_PEERS_HEARD_FRACTION = 0.5  # part of the other routers that must be heard for calls to wait for copies
RETRY_AFTER_RANGE = (
    0.05,
    0.15,
)  # parts of the longest wait that a refused client is told to keep away, least and most
MIN_TIME_LEFT_FRACTION = (
    0.5  # part of its expected time under which a request's time left is not enough to begin
)
REJECTION_MEMORY_MS = 3000.0  # ms in which it fades that a worker turned a class or tenant away
MAX_QUEUED_FRACTION = 0.5  # part of its time for which a request that has not been sent is held at most
QUEUE_CHECK_MS = 50.0  # ms between looks at what is held
MIN_TIME_LEFT_MS = 20.0  # ms before the client's time is up by which a held request is answered
LOG_INTERVAL_MS = 5000.0  # ms between two log lines of one kind

_RESPONSES = (Outcome.OK, Outcome.OVERLOADED, Outcome.ERROR, Outcome.NOT_LOADED)


class Router:
    """The decisions of one gateway."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.workers: dict[int, WorkerRecord] = {}
        self.functions: dict[int, FunctionRecord] = {}  # the least lately used first
        self.pending_requests: dict[int, PendingRequest] = {}
        self.queued_requests: dict[int, PendingRequest] = {}
        self.orphaned_attempts: dict[tuple[int, int], Attempt] = {}  # still out when their request was closed
        self.class_service_ms = [Ewma() for _ in settings.classes]
        self.service_ms_per_work = [Ewma() for _ in settings.classes]  # time per hinted work
        self.tenant_calls = [DecayingCounter(RATE_WINDOW_MS) for _ in settings.tenants]
        self.recent_calls = DecayingCounter(RATE_WINDOW_MS)
        self.overload, self.popularity, self.zone_reachability = (
            OverloadEstimator(),
            Popularity(),
            ZoneReachability(settings.zone),
        )
        self.first_call_at_ms = math.inf  # when the first call came
        self.calls_per_ms, self.call_rarity, self.usual_reported_in_flight = (
            0.0,
            1.0,
            0.0,
        )  # by ``_measure``, with the next
        self.load_memory_ms = MIN_LOAD_MEMORY_MS  # ms in which what a worker showed fades
        self.reported_in_flight = DecayingMean.with_time_constant(
            RATE_WINDOW_MS
        )  # requests of others that a worker says to hold
        self.admitted_by_class = [
            DecayingCounter(RATE_WINDOW_MS) for _ in settings.classes
        ]  # first tries that were not refused
        self.mean_value, self.load_ms = Ewma(), Ewma()
        self.retry_budget, self.preloads_in_flight = MAX_RETRY_BUDGET, 0
        self.preload_times, self.request_times = deque[float](), deque[float]()
        self.timer_queue: list[tuple[float, int, int, int]] = []  # due, serial, request (-1: none), attempt
        self.timer_token, self.timer_at_ms = 0, math.inf
        self.stalled_at_ms, self.queue_check_at_ms = (
            -math.inf,
            math.inf,
        )  # last stall; when what is held is looked at next
        self.is_subscribed, self.poll_backoff_ms, self.poll_at_ms = False, 0.0, math.inf
        self.logged_at_ms: dict[str, float] = {}
        self.actions: list[Action] = []
        self.gossip: LoadGossip | None = None
        self.constraints: RoutingConstraints | None = (
            None  # of what the fleet shares: contracts, freezes, returns
        )
        self.live_router_count = max(
            1, settings.router_count
        )  # gateways that are there, as far as that is known
        self.ready_peak = WindowedMaximum()  # workers that were ready lately
        self._apply_settings(settings)
        (
            self.now_ms,
            self.timer_serial,
            self.placement_epoch,
            self.ready_count,
            self.is_every_zone_unreachable,
        ) = 0.0, 0, 0, 0, True
        self.handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: self._on_attempt_ended,
            RequestArrived: self._on_request,
            TimerFired: self._on_timer,
            EndpointUpdate: self._on_endpoint_update,
            StreamStarted: self._on_stream_started,
            ClientDisconnected: self._on_client_disconnected,
            PreloadEnded: self._on_preload_ended,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done, in order."""
        self.now_ms, self.actions = now, []
        if now > self.timer_at_ms + STALL_THRESHOLD_MS:
            self.stalled_at_ms = now  # no turn when one was due: what comes now is old, judge nobody by it
        if (
            take := self.handlers.get(type(event))
        ) is not None:  # messages go to the talk; probes are not sent
            take(event)
        due = max(self.timer_queue[0][0], now + 1.0) if self.timer_queue else math.inf
        if due < self.timer_at_ms:
            self.timer_token, self.timer_at_ms = (self.timer_token + 1) % 2**31, due
            self.actions.append(SetTimer(self.timer_at_ms, self.timer_token))
        return self.actions

    # The list of workers.

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FAILED:
            self.poll_backoff_ms = min(
                max(2 * self.poll_backoff_ms, self.settings.rules.max_poll_delay_ms / 16),
                self.settings.rules.max_poll_delay_ms,
            )
            self.poll_at_ms = self.now_ms + self.poll_backoff_ms * self.rng.uniform(0.5, 1.0)
            return self._schedule(self.poll_at_ms)
        self.poll_backoff_ms = 0.0
        if event.kind is not EndpointUpdateKind.DELTA:
            told = {entry.worker_id for entry in event.endpoints}
            for worker, view in self.workers.items():
                if worker not in told:
                    view.endpoint = replace(view.endpoint, state=EndpointState.REMOVED)
        for entry in event.endpoints:
            old = self.workers.get(entry.worker_id)
            if old is None:
                self.workers[entry.worker_id] = WorkerRecord(
                    entry, hash64(entry.worker_id), self.rng.random()
                )
                self.placement_epoch += 1
                continue
            anew = entry.started_at_ms is not None and entry.started_at_ms != old.endpoint.started_at_ms
            if anew or entry.state is EndpointState.REMOVED:
                self._forget_worker(entry.worker_id)
            if anew:
                outlier_detection.reset(old)
                self.zone_reachability.on_worker_restarted(entry.zone)
                old.jitter = self.rng.random()
            old.endpoint = entry
        for worker, view in list(self.workers.items()):
            if view.endpoint.state is EndpointState.REMOVED and not view.in_flight:
                self._forget_worker(worker)
                del self.workers[worker]
                self.placement_epoch += 1
        self._count_ready()
        if self.settings.discovery_mode is DiscoveryMode.POLL and not self.is_subscribed:
            self.poll_at_ms = self.now_ms
            self._schedule(self.now_ms)
        self._drain_queue()

    def _count_ready(self) -> None:
        """Workers that this router can send to: those of a zone cut off from it take none of its calls."""
        ready = [v for v in self.workers.values() if v.endpoint.state is EndpointState.READY]
        reached = sum(v.endpoint.zone not in self.zone_reachability.unreachable for v in ready)
        before, self.ready_count, self.is_every_zone_unreachable = (
            self.ready_count,
            reached or len(ready),
            not reached,
        )
        self.ready_peak.on_change(self.now_ms, before, self.ready_count)

    def _forget_worker(self, worker: int) -> None:
        if self.gossip is not None:
            self.gossip.forget_worker(worker)
        for function in self.functions.values():
            function.forget_worker(worker)
            self.preloads_in_flight -= worker in function.preloading_workers
            function.preloading_workers.discard(worker)

    # Requests.

    def _on_request(self, request: RequestArrived) -> None:
        now = self.now_ms
        if self.settings.rules.preload_window_ms > 0 and self.settings.allows_preloading:
            preload_budget.record_request(self.settings.rules, self.request_times, now)
        key = (request.class_index, request.tenant_index)
        job = PendingRequest(
            request, self.settings.classes[request.class_index], self._record_call(request), key, now
        )
        self.pending_requests[request.request_id] = job
        over = 1.0
        if request.tenant_index is not None and request.tenant_index < len(self.tenant_calls):
            self.tenant_calls[request.tenant_index].add(now, 1.0)
            part = self.tenant_calls[request.tenant_index].read(now) / sum(
                t.read(now) for t in self.tenant_calls
            )
            over = part / max(self.settings.tenants[request.tenant_index].quota_fraction, 0.01)
        if self._should_shed(job, over):
            return self._reject_or_fail(job)
        if not request.is_client_retry:  # a client's repeats earn nothing: they could drain what others need
            self.retry_budget = min(self.retry_budget + RETRY_BUDGET_PER_REQUEST, MAX_RETRY_BUDGET)
            self.admitted_by_class[request.class_index].add(now, 1.0)
        self._dispatch(job)

    def _record_call(self, request: RequestArrived) -> FunctionRecord:
        """The state of the request's function; those that have gone cold are dropped."""
        now, key = self.now_ms, request.function_id
        function = self.functions.pop(key, None)
        if function is None:
            function = FunctionRecord(hash64(key))
            while self.functions:
                oldest = next(iter(self.functions))
                if now - self.functions[oldest].last_used_at_ms < 2 * max(
                    self.settings.keep_alive_ms, self.popularity.window_ms
                ):
                    break
                self.preloads_in_flight -= len(self.functions.pop(oldest).preloading_workers)
        self.functions[key] = function
        function.last_used_at_ms = now
        function.concurrency = max(request.concurrency or 1.0, 1.0)
        self.popularity.on_call(now, function.recent_calls, self.calls_per_ms)
        self.recent_calls.add(now, 1.0)
        self.overload.on_call(now)
        self.first_call_at_ms = min(self.first_call_at_ms, now)
        self._update_rates()
        return function

    def _should_shed(self, job: PendingRequest, over: float) -> bool:
        """Early refusal of what cannot be answered in time, by worth for its time and tenant share."""
        left, expected = job.request.deadline_ms - self.now_ms, self._expected_ms(job)
        if left < MIN_TIME_LEFT_FRACTION * expected:
            return True
        value = max(job.request_class.priority_weight, 1e-6) / max(
            self._class_work_ms(job.request.class_index), 1.0
        )
        self.mean_value.add(value)
        aim = min(
            left,
            job.request_class.latency_objective_ms
            + job.request_class.latency_objective_work_factor * expected,
        )
        # Between a class's own time and one time for all, later for those of more worth: what has little time
        # is not refused first for that alone, nor is what has much of it never.
        aim = math.sqrt(max(aim, 1.0) * self.mean_objective_ms * value / self.mean_value.mean)
        late, bent = self.overload.shed_probability(self.now_ms, aim, self._healthy_worker_ids()), None
        if self.constraints is not None:
            least = min(klass.latency_objective_ms for klass in self.settings.classes)
            jam = self.overload.shed_probability(self.now_ms, least, self._healthy_worker_ids())
            bent = self.constraints.shed_probability(
                self.now_ms, job, value, self.overload.utilization(self.now_ms, least), jam
            )
        if late <= 0.0 and not bent:
            return False
        late *= CLIENT_RETRY_SHED_FACTOR if job.request.is_client_retry else 1.0
        part = min(
            MAX_SHED_PROBABILITY,
            late * min(max(over, 0.5), 2.0) ** 2 * math.sqrt(self.mean_value.mean / value),
        )
        part = (
            part
            if bent is None
            else min(
                MAX_SHED_PROBABILITY,
                bent * (CLIENT_RETRY_SHED_FACTOR if job.request.is_client_retry else 1.0),
            )
        )
        self._log_throttled(
            "shed", f"refusing {part:.2f} of calls like one that could not be answered in time"
        )
        return self.rng.random() < part

    def _healthy_worker_ids(self) -> Iterator[int]:
        return (worker for worker, view in self.workers.items() if not view.is_ejected)

    def _dispatch(self, job: PendingRequest) -> None:
        """Send the request to the nearest eligible worker, or hold it, or end it."""
        self.queued_requests.pop(job.request.request_id, None)
        if len(job.attempts) >= self.settings.limits.max_attempts or not self._may_retry(job):
            return self._reject_or_fail(job)
        view = self._select_worker(job)
        if (
            view is not None
            and self.settings.when_not_loaded is NotLoadedBehavior.REJECT
            and self.settings.allows_preloading
        ):
            view = self._preload(job, view)
        if self.constraints is not None and self.constraints.overload_level(self.now_ms):
            self._preempt(job, view)
        if view is not None and not self._should_wait(job, view) and self._may_start_instance(job, view):
            return self._start_attempt(job, view)
        if any(a.is_in_flight for a in job.attempts):
            return
        # What has not been sent by half of its time had better be told so: its client can still go elsewhere.
        half = job.arrived_at_ms + MAX_QUEUED_FRACTION * (job.request.deadline_ms - job.arrived_at_ms)
        if self.now_ms + QUEUE_CHECK_MS > (
            job.request.deadline_ms - MIN_TIME_LEFT_MS if job.possibly_executed() else half
        ):
            return self._reject_or_fail(job)
        if self.queue_check_at_ms == math.inf:
            self.queue_check_at_ms = self.now_ms + QUEUE_CHECK_MS
            self._schedule(self.queue_check_at_ms)
        self.queued_requests[job.request.request_id] = job

    def _preempt(self, job: PendingRequest, view: WorkerRecord | None) -> None:
        """A call that would be late may take the place of one that contracts rank lower, if that may go."""
        assert self.constraints is not None
        number = self.constraints.preemption_victim(
            self.now_ms, job, view, self._expected_ms(job), self.pending_requests, self.queued_requests
        )
        if number is not None and (other := self.pending_requests.get(number)) is not None:
            self._log_throttled(
                "preempt",
                f"call {number} of class {other.request_class.name} gives way: {other.preemption_reason}",
            )
            self._reject_or_fail(other)

    def _may_start_instance(self, job: PendingRequest, view: WorkerRecord) -> bool:
        """May the call go there, if that begins a load? Freezes bound it, and returns of many at once do."""
        advice = self.constraints
        if advice is None or not advice.limits_loading or self._has_instance(job, view):
            return True
        return advice.may_load(
            self.now_ms,
            job,
            view,
            self._has_spare_instance(job, job.request_class.idempotency is Idempotency.IDEMPOTENT),
        )

    def _has_instance(self, job: PendingRequest, view: WorkerRecord) -> bool:
        """Is a copy known to stand there: found by own calls, or told by others?"""
        found = job.function.instance_seen_at_ms.get(view.endpoint.worker_id, -math.inf)
        told = job.function.gossiped_instances.get(view.endpoint.worker_id)
        return self.now_ms - found <= self.settings.keep_alive_ms or (
            told is not None and told.warm_age_ms is not None
        )

    def _has_spare_instance(self, job: PendingRequest, safe: bool) -> bool:
        """Does a copy stand with room at any worker where the call may go?"""
        near = (self.workers[w] for w in job.function.affinity if w in self.workers)
        return any(
            self._is_eligible(job, v)
            and outlier_detection.is_available(v, self.now_ms, safe)
            and self._is_zone_open(v, safe)
            and self._has_instance(job, v)
            and v.in_flight + v.peers_in_flight < job.function.concurrency * LOAD_PER_AFFINITY
            for v in near
        )

    def _should_wait(self, job: PendingRequest, view: WorkerRecord) -> bool:
        """Had the call better wait for a copy than begin a load? Who does not hear all others can't tell."""
        function, request = job.function, job.request
        if (
            self.gossip is None
            or job.attempts
            or self.gossip.peer_coverage(self.now_ms) < MIN_PEERS_HEARD_FRACTION
        ):
            return False
        warm = self._affinity(function, view.endpoint.worker_id) > 0.0
        told = {
            w: copy
            for w, copy in function.gossiped_instances.items()
            if w in self.workers and not self.workers[w].is_ejected
        }
        load = self.load_ms.mean or request.load_time_ms or job.request_class.latency_objective_ms
        times = (self.now_ms - job.arrived_at_ms, self._expected_ms(job), load)
        return function.instance_queue.should_wait(
            request.request_id, view.endpoint.worker_id, warm, told, function.concurrency, times
        )

    def _may_retry(self, job: PendingRequest) -> bool:
        """Rule 2: may the request be sent at all, after what it went through."""
        ran = job.possibly_executed()
        if not ran or job.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            job.request_class.idempotency is Idempotency.WITH_KEY
            and self.now_ms
            < ran[0].started_at_ms + job.request_class.deduplication_window_ms - MIN_TIME_LEFT_MS
        )

    def _is_eligible(self, job: PendingRequest, view: WorkerRecord) -> bool:
        """Rules 2 and 3: may this request go to this worker."""
        if view.endpoint.state is not EndpointState.READY:
            return False
        if (
            job.request_class.idempotency is not Idempotency.WITH_KEY
            or job.request_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        ran = [a.endpoint for a in job.possibly_executed()]
        if job.request_class.deduplication_scope is DeduplicationScope.ZONE:
            return all(worker.zone == view.endpoint.zone for worker in ran)
        return all(worker.cell == view.endpoint.cell for worker in ran)

    def _select_worker(self, job: PendingRequest) -> WorkerRecord | None:
        """The eligible worker with the smallest load-balanced distance, ties at random."""
        tried = {a.endpoint.worker_id for a in job.attempts}
        safe, work = (
            job.request_class.idempotency is Idempotency.IDEMPOTENT,
            self._class_work_ms(job.request.class_index),
        )
        told = self.gossip.instances(self.now_ms, job.request.function_id) if self.gossip is not None else {}
        advice = (
            self.constraints if self.constraints is not None and self.constraints.limits_loading else None
        )
        if advice is not None:
            told = advice.expected_instances(self.now_ms, job.request.function_id) | told
        if told or job.function.gossiped_instances:
            self._apply_gossip(job.function, told)
        standing = advice is not None and self._has_spare_instance(job, safe)
        self._check_zones()
        for again, sick in ((False, False), (True, False), (True, True)):
            best, ties = math.inf, 0
            found: WorkerRecord | None = None
            for view, far in self._candidates(job):
                if advice and not advice.may_route(
                    self.now_ms, job, view, self._has_instance(job, view), standing
                ):
                    continue
                if not self._is_eligible(job, view) or (not again and view.endpoint.worker_id in tried):
                    continue
                if not (
                    sick or outlier_detection.is_available(view, self.now_ms, safe)
                ) or not self._is_zone_open(view, safe):
                    continue
                if not self._fits_slow_start(view, work):
                    continue
                distance = self._placement_cost(job.function, view, job.class_and_tenant) + far
                if view.is_ejected and not sick:  # half-open: nobody would choose it, and it would stay out
                    distance -= view.outlier_score + TRIAL_BONUS
                if distance < best - 1e-9:
                    best, ties, found = distance, 1, view
                elif distance <= best + 1e-9:
                    ties += 1
                    if self.rng.random() * ties < 1.0:
                        found = view
                if far > SPARE_WORKERS * PLACEMENT_STEP and best < math.inf:
                    break
            if found is not None:
                return found
        return None

    def _is_zone_open(self, view: WorkerRecord, safe: bool) -> bool:
        """A call into a silent zone is lost with its time; where all are silent, that tells nothing."""
        return self.is_every_zone_unreachable or self.zone_reachability.may_send(
            self.now_ms, view.endpoint.zone, safe
        )

    def _check_zones(self) -> None:
        """Zones that have fallen silent: what may be repeated elsewhere is called back from there."""
        if self.now_ms == self.stalled_at_ms or not (
            zones := self.zone_reachability.find_unreachable(self.now_ms)
        ):
            return
        self._count_ready()
        self._log_throttled("cut", f"nothing comes from zones {zones}")
        for job in self.pending_requests.values():
            last = job.attempts[-1] if job.attempts else None
            if last is None or not last.is_in_flight or last.endpoint.zone not in zones or job.is_streaming:
                continue
            number = len(job.attempts) - 1
            free = (
                job.request_class.idempotency is Idempotency.IDEMPOTENT
                or job.request_class.deduplication_scope is DeduplicationScope.ALL
            )
            if (
                free
                and self._may_retry(job)
                and self.settings.limits.can_cancel
                and job.last_cancelled_attempt < number
            ):
                job.last_cancelled_attempt = number
                self.actions.append(CancelAttempt(job.request.request_id, number))

    def _apply_gossip(self, function: FunctionRecord, told: dict[int, InstanceLoad]) -> None:
        """A copy that another router found stands as a home does."""
        function.gossiped_instances = told
        for worker, copy in told.items():
            found = -math.inf if copy.warm_age_ms is None else self.now_ms - copy.warm_age_ms
            if worker in self.workers and found > function.last_sent_at_ms.get(worker, -math.inf):
                function.affinity[worker] = max(function.affinity.get(worker, 0.0), HOME_AFFINITY)
                function.last_sent_at_ms[worker] = found

    def _candidates(self, job: PendingRequest) -> Iterator[tuple[WorkerRecord, float]]:
        """Warm workers, then the function's homes, then the others, with what their place adds.

        Homes come by weighted rendezvous hashing: gateways that share nothing agree on them, and their number
        follows the function's part of the calls, which every gateway's own traffic shows."""
        function = job.function
        if function.placement_epoch != self.placement_epoch:
            function.placement_epoch, function.placement_order = (
                self.placement_epoch,
                self._placement_order(function),
            )
        order: Sequence[WorkerRecord] = function.placement_order
        homes = self._home_count(function)
        if self.constraints is not None and self.constraints.limits_loading:
            order, homes = self.constraints.home_workers(self.now_ms, job.request.function_id, order, homes)
        for worker in list(function.affinity):
            if self._affinity(function, worker) > 0.0 and worker in self.workers:
                yield self.workers[worker], 0.0
        place = 0
        for view in order:
            if view.endpoint.state is not EndpointState.READY:
                continue
            place += 1
            lent = max(0.0, HOME_AFFINITY - function.affinity.get(view.endpoint.worker_id, 0.0))
            shared = HOME_JITTER * (view.jitter - 1.0) - lent if homes > 1 else 0.0
            yield view, shared if place <= homes else min(place - homes, SPARE_WORKERS + 1) * PLACEMENT_STEP

    def _home_count(self, function: FunctionRecord) -> int:
        part = self.popularity.call_fraction(self.now_ms, function.recent_calls)
        if self.gossip is not None:  # who knows where others found copies need not guess where they would
            part *= 1.0 - self.gossip.peer_coverage(self.now_ms)
        kept = self.calls_per_ms * self.live_router_count * self.settings.keep_alive_ms / MIN_CALLS_PER_HOME
        return 1 + int(part * min(self.homes_per_worker * len(self.workers), kept))

    def _update_rates(self) -> None:
        """Once a call: own calls a ms, right after the start too, and how rare those to one worker are."""
        known = 1.0 - math.exp(-max(1.0, self.now_ms - self.first_call_at_ms) / RATE_WINDOW_MS)
        self.calls_per_ms = self.recent_calls.read(self.now_ms) / RATE_WINDOW_MS / known
        wanted = RESPONSES_PER_MEMORY * len(self.workers) / self.calls_per_ms
        self.load_memory_ms = min(max(wanted, MIN_LOAD_MEMORY_MS), MAX_LOAD_MEMORY_MS)
        self.call_rarity = self.load_memory_ms / MIN_LOAD_MEMORY_MS
        self.usual_reported_in_flight = self.reported_in_flight.read(self.now_ms, MIN_AFFINITY)

    def _placement_order(self, function: FunctionRecord) -> list[WorkerRecord]:
        sized = self.settings.weight_meaning in (WeightMeaning.NOMINAL, WeightMeaning.APPROXIMATE)

        def place(view: WorkerRecord) -> float:
            return rendezvous_score(
                function.hash, view.hash, view.endpoint.weight if sized and view.endpoint.weight else 1.0
            )

        return sorted(self.workers.values(), key=place)

    def _affinity(self, function: FunctionRecord, worker: int) -> float:
        warmth = function.affinity.get(worker, 0.0)
        if warmth and (
            warmth < MIN_AFFINITY
            or self.now_ms - function.last_sent_at_ms[worker] > self.settings.keep_alive_ms
        ):
            del function.affinity[worker], function.last_sent_at_ms[worker]
            return 0.0
        return warmth

    def _placement_cost(
        self, function: FunctionRecord, view: WorkerRecord, key: tuple[int, int | None]
    ) -> float:
        out = view.in_flight + PEER_LOAD_WEIGHT * view.peers_in_flight
        if (copy := function.gossiped_instances.get(view.endpoint.worker_id)) is not None:
            out += copy.in_flight  # these take its very lanes
        load = out / function.concurrency + view.read_excess_load(self.now_ms) + self._reported_excess(view)
        turned = view.rejections.get(key)
        guard = view.outlier_score + (turned.read(self.now_ms) if turned else 0.0)
        guard += self.cross_zone_penalty if view.endpoint.zone != self.settings.zone else 0.0
        return 1.0 - function.affinity.get(view.endpoint.worker_id, 0.0) + load / LOAD_PER_AFFINITY + guard

    def _start_attempt(self, job: PendingRequest, view: WorkerRecord) -> None:
        worker, function, request = view.endpoint.worker_id, job.function, job.request
        cold = self.now_ms - function.instance_seen_at_ms.get(worker, -math.inf) > self.settings.keep_alive_ms
        load = (
            (self.load_ms.mean or request.load_time_ms or job.request_class.latency_objective_ms)
            if cold
            else 0.0
        )
        expected = self._expected_ms(job) + load
        view.has_trial_in_flight = view.has_trial_in_flight or view.is_ejected
        attempt = Attempt(
            view.endpoint,
            self.now_ms,
            expected,
            job.class_and_tenant,
            cold,
            view.is_ejected,
            function.service_ms.count > 0,
        )
        attempt.retry_cost, job.next_attempt_cost = job.next_attempt_cost, 0.0
        job.attempts.append(attempt)
        view.in_flight += 1
        if not cold:
            self.overload.on_attempt_started(worker)
        function.affinity = {
            other: (1.0 - AFFINITY_GAIN) * warmth for other, warmth in function.affinity.items()
        }
        function.affinity[worker] = function.affinity.get(worker, 0.0) + AFFINITY_GAIN
        function.last_sent_at_ms[worker] = self.now_ms
        if self._available_capacity(view) < 1.0:
            view.slow_start_sends.append((self.now_ms, self._class_work_ms(request.class_index)))
        function.instance_queue.remove(request.request_id)
        this = (request.request_id, len(job.attempts) - 1)
        self.zone_reachability.on_attempt_started(
            self.now_ms, this, worker, view.endpoint.zone, self._expected_ms(job)
        )
        self.actions.append(StartAttempt(request.request_id, worker))
        times = HEDGE_AFTER_MULTIPLE if self.settings.limits.allows_hedging else OVERDUE_MULTIPLE
        self._schedule(self.now_ms + times * expected, request.request_id, len(job.attempts) - 1)

    # What is expected of a worker.

    def _expected_ms(self, job: PendingRequest) -> float:
        """Service time of a warm call, by the hint, else function, else class, else the aim."""
        if job.request.work is not None and self.service_ms_per_work[job.request.class_index].count:
            return job.request.work * self.service_ms_per_work[job.request.class_index].mean
        if job.function.service_ms.count:
            return job.function.service_ms.mean
        return self._class_work_ms(job.request.class_index)

    def _class_work_ms(self, klass: int) -> float:
        """Rule 4 counts the mean work of a class; its usual service time stands for it."""
        return (
            self.class_service_ms[klass].mean
            or self.settings.classes[klass].latency_objective_ms / INITIAL_SERVICE_DIVISOR
        )

    def _available_capacity(self, view: WorkerRecord) -> float:
        """The part of its capacity that a worker has at least, by its told start or what looked like one."""
        age = self.now_ms - max(view.endpoint.started_at_ms or -math.inf, view.unreachable_at_ms)
        return slow_start.available_capacity(self.settings.rules, age)

    def _fits_slow_start(self, view: WorkerRecord, work: float) -> bool:
        """Slow start: whether this router may send a worker that started lately one more call."""
        if (part := self._available_capacity(view)) >= 1.0:
            return True
        # Counted anew by what calls need now: what the first guess made of them may be several times that.
        demand = sum(
            d.read(self.now_ms) * self._class_work_ms(klass) for klass, d in enumerate(self.admitted_by_class)
        )
        # Where others have left, the demand for each that is ready is more than one can carry.
        share = part * demand / RATE_WINDOW_MS / max(1.0, self.ready_count, self.ready_peak.read(self.now_ms))
        return slow_start.fits_budget(
            self.settings.rules, self.now_ms, view.slow_start_sends, view.jitter, share, work
        )

    # Health.

    def update_settings(self, settings: RouterSettings) -> None:
        """New settings whose classes only add to the old ones: open requests keep theirs."""
        added = range(len(self.settings.classes), len(settings.classes))
        self.class_service_ms += [Ewma() for _ in added]
        self.service_ms_per_work += [Ewma() for _ in added]
        self.admitted_by_class += [DecayingCounter(RATE_WINDOW_MS) for _ in added]
        self._apply_settings(settings)

    def _apply_settings(self, settings: RouterSettings) -> None:
        """What hangs on the settings alone."""
        self.settings, told = settings, settings.load_report_columns
        self.ready_peak.time_constant_ms = max(1.0, settings.rules.slow_start_ms)
        self.mean_objective_ms = sum(klass.latency_objective_ms for klass in settings.classes) / max(
            1, len(settings.classes)
        )
        self.homes_per_worker = MAX_HOMES_PER_WORKER_SHARE / (
            1.0 + IDLE_MEMORY_WEIGHT * settings.prices.idle_memory
        )
        self.cross_zone_penalty = CROSS_ZONE_WEIGHT * settings.prices.cross_zone
        self.in_flight_column = told.index("inflight") if "inflight" in told else -1

    def reported_load(self, event: AttemptEnded) -> tuple[float, float] | None:
        """The calls that a worker says to hold, and how many of them are this router's."""
        view = self.workers.get(event.worker_id)
        if view is None or not 0 <= self.in_flight_column < len(event.load_report):
            return None
        held = event.load_report[self.in_flight_column]
        return None if held is None else (held, float(view.in_flight))

    def endpoint_snapshot(self) -> EndpointUpdate:
        """All workers as they are listed now."""
        return EndpointUpdate(
            EndpointUpdateKind.CACHED, 0, tuple(view.endpoint for view in self.workers.values())
        )

    def skipped_worker_count(self) -> int:
        """Listed workers that calls now pass by: set aside, or not ready."""
        listed = [v for v in self.workers.values() if v.endpoint.state is not EndpointState.REMOVED]
        return sum(v.is_ejected or v.endpoint.state is not EndpointState.READY for v in listed)

    def _observe_health(
        self, view: WorkerRecord, bad: float, cap: float = MAX_EJECTED_FRACTION, gain: float = FAILURE_GAIN
    ) -> None:
        """Feed one observation, 0 sound to 1 broken, and open or close the breaker by it."""
        if outlier_detection.observe(view, self.workers.values(), bad, cap, gain):
            outlier_detection.eject(view, self.now_ms, self.call_rarity, self.rng)
            self._log_throttled("eject", f"worker {view.endpoint.worker_id} set aside")

    def _learn_worker(self, event: AttemptEnded, attempt: Attempt) -> None:
        """What one outcome tells of its worker."""
        view = self.workers.get(event.worker_id)
        if view is None:
            return
        now, outcome, aim = (
            self.now_ms,
            event.outcome,
            max(self.settings.classes[attempt.class_and_tenant[0]].latency_objective_ms, 1.0),
        )
        self._learn_load_report(view, event.load_report)
        view.in_flight -= 1
        slow_start.on_attempt_ended(view.slow_start_sends, attempt.started_at_ms, was_sent=not event.is_local)
        view.has_trial_in_flight = view.has_trial_in_flight and not attempt.is_trial
        if outcome in (Outcome.OK, Outcome.OVERLOADED):
            view.last_response_at_ms = now
        if now == self.stalled_at_ms:
            return
        if outcome is Outcome.OK:
            if attempt.class_and_tenant in view.rejections:
                view.rejections[attempt.class_and_tenant].move_towards(now, 0.5, 0.0)
            if not attempt.is_cold:
                others = CONCURRENCY_WEIGHT * max(0, (event.reported_concurrency or 0) - 1)
                over = max(event.latency_ms / max(attempt.expected_ms, 1.0) - 1.0, others)
                view.excess_load.add(now, over, self.load_memory_ms)
            view.outlier_score = (
                min(view.outlier_score, EJECTION_THRESHOLD / 2) if attempt.is_trial else view.outlier_score
            )
            self._observe_health(view, 0.0)
        elif outcome is Outcome.OVERLOADED:
            view.rejections.setdefault(
                attempt.class_and_tenant, DecayingCounter(REJECTION_MEMORY_MS)
            ).move_towards(now, 0.5, 2.0)
            view.excess_load.add(
                now, max(view.read_excess_load(now), aim / max(attempt.expected_ms, 1.0)), self.load_memory_ms
            )
        elif (
            blame := outlier_detection.ejection_weight(view, now, event, attempt, self.call_rarity)
        ) is not None:
            self._observe_health(view, 1.0, *blame)
            if attempt.is_trial and view.is_ejected:
                outlier_detection.eject(view, now, self.call_rarity, self.rng)

    def _learn_load_report(self, view: WorkerRecord, report: tuple[float | None, ...]) -> None:
        """What others have out there: most of its load where gateways are many and each sends it little."""
        if 0 <= self.in_flight_column < len(report) and (held := report[self.in_flight_column]) is not None:
            others = max(0.0, held - view.in_flight)
            view.reported_in_flight.add(self.now_ms, others, REPORT_MEMORY_FRACTION * self.load_memory_ms)
            self.reported_in_flight.add(self.now_ms, others, RATE_WINDOW_MS)

    def _reported_excess(self, view: WorkerRecord) -> float:
        """Requests of others there beyond what workers hold usually: nothing where nothing is known."""
        beyond = (
            view.reported_in_flight.read(self.now_ms, EXCESS_LOAD_PRIOR_COUNT, self.usual_reported_in_flight)
            - self.usual_reported_in_flight
        )
        return REPORTED_LOAD_WEIGHT * self.call_rarity * beyond

    def _check_attempt(self, number: int, job: PendingRequest) -> None:
        """An attempt that is out for long: silence is a symptom; safe requests get another try in time."""
        attempt = job.attempts[number]
        if not attempt.is_in_flight or job.is_streaming:
            return
        if self.now_ms == self.stalled_at_ms:  # what came meanwhile is read first
            return self._schedule(self.now_ms + STALL_THRESHOLD_MS, job.request.request_id, number)
        view = self.workers.get(attempt.endpoint.worker_id)
        silent, age = (
            view is None or view.last_response_at_ms < attempt.started_at_ms,
            self.now_ms - attempt.started_at_ms,
        )
        if (
            view is not None
            and silent
            and not attempt.is_overdue
            and age >= OVERDUE_MULTIPLE * attempt.expected_ms
        ):
            attempt.is_overdue = True
            self._observe_health(view, 1.0, MAX_SILENT_EJECTED_FRACTION)
        expected = self._expected_ms(job)
        if (
            job.request.deadline_ms - self.now_ms <= expected
            or job.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        ):
            return
        if (
            self.retry_budget >= 1.0
            and len(job.attempts) < self.settings.limits.max_attempts
            and job.last_cancelled_attempt < number
        ):
            second = self.settings.limits.allows_hedging and (
                silent or age >= HEDGE_AFTER_MULTIPLE * attempt.expected_ms
            )
            if second or (self.settings.limits.can_cancel and (view is None or view.is_ejected)):
                job.last_cancelled_attempt = number
                if not second:
                    self.actions.append(CancelAttempt(job.request.request_id, number))
                elif self._may_retry(job):
                    self.retry_budget -= 1.0
                    self._dispatch(job)
                return
        self._schedule(self.now_ms + max(expected, MIN_TIME_LEFT_MS), job.request.request_id, number)

    # Outcomes.

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        job = self.pending_requests.get(event.request_id)
        if job is None:  # closed before; the outcome still tells of its worker
            attempt = self.orphaned_attempts.pop((event.request_id, event.attempt_index), None)
        else:
            attempt = job.attempts[event.attempt_index] if event.attempt_index < len(job.attempts) else None
        if attempt is None or not attempt.is_in_flight:
            return
        attempt.is_in_flight = False
        if not attempt.is_cold:
            self.overload.on_attempt_ended(self.now_ms, event.worker_id, event.outcome is Outcome.OK)
        attempt.may_have_executed = event.outcome not in NOT_EXECUTED
        if event.is_local:  # nobody has had it
            self.retry_budget = min(self.retry_budget + attempt.retry_cost, MAX_RETRY_BUDGET)
        this, dial = (event.request_id, event.attempt_index), event.outcome is Outcome.CONNECT_FAILED
        answers = event.outcome in _RESPONSES
        if self.zone_reachability.on_attempt_ended(
            self.now_ms, this, answers, event.latency_ms, dial and event.is_unreachable
        ):
            self._count_ready()
        self._learn_worker(event, attempt)
        if job is None:
            return
        self._learn_function(event, attempt, job)
        if event.is_final:
            self._complete(job)
        elif event.outcome is not Outcome.OK and not any(a.is_in_flight for a in job.attempts):
            self._retry(job, event.outcome)
        # A lane is free: two leave for it. With one it would stand empty until the next call comes there.
        for request in [
            one for one in job.function.instance_queue.waiting_requests if one in self.queued_requests
        ][:SPARE_WORKERS]:
            self._dispatch(self.queued_requests[request])

    def _learn_function(self, event: AttemptEnded, attempt: Attempt, job: PendingRequest) -> None:
        function = job.function
        if event.outcome is Outcome.OK:
            function.instance_seen_at_ms[event.worker_id] = self.now_ms
            function.instance_queue.on_response(event.worker_id, event.start_kind is StartKind.COLD)
            for doubted in [
                a for a in job.attempts if a.has_suspect_error and a.endpoint.worker_id in self.workers
            ]:
                self._observe_health(self.workers[doubted.endpoint.worker_id], 1.0, gain=MAX_FAILURE_GAIN)
            if event.start_kind in (StartKind.COLD, StartKind.PENDING):
                self.load_ms.add(max(0.0, event.latency_ms - self._expected_ms(job)))
            else:
                function.service_ms.add(event.latency_ms)
                self.class_service_ms[job.request.class_index].add(event.latency_ms)
                if job.request.work is not None:
                    self.service_ms_per_work[job.request.class_index].add(event.latency_ms / job.request.work)
                function.affinity[event.worker_id] = 1.0
                function.last_sent_at_ms.setdefault(event.worker_id, attempt.started_at_ms)
        elif event.outcome is Outcome.NOT_LOADED or event.start_kind is StartKind.LOAD_FAILED:
            function.affinity.pop(event.worker_id, None)
            function.instance_seen_at_ms.pop(event.worker_id, None)
            function.instance_queue.instances.pop(event.worker_id, None)

    def _retry(self, job: PendingRequest, outcome: Outcome) -> None:
        """Try the next-nearest worker, within the retry budget; moves proved harmless and cheap are free."""
        cost = 0.0 if outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_LOADED) else 1.0
        over = job.request.deadline_ms - self.now_ms <= MIN_TIME_LEFT_MS or outcome is Outcome.NOT_SENT
        if over or self.retry_budget < cost:
            return self._reject_or_fail(job)
        self.retry_budget -= cost
        job.next_attempt_cost = cost
        self._dispatch(job)

    def _reject_or_fail(self, job: PendingRequest) -> None:
        """The final answer: refused where that is harmless, else failed."""
        keyed_all = (
            job.request_class.idempotency is Idempotency.WITH_KEY
            and job.request_class.deduplication_scope is DeduplicationScope.ALL
        )
        if (
            job.request_class.idempotency is Idempotency.IDEMPOTENT
            or keyed_all
            or not job.possibly_executed()
        ):
            parts = (
                RETRY_AFTER_RANGE
                if self.constraints is None
                else self.constraints.retry_after_range(self.now_ms)
            )
            after = self.settings.limits.max_retry_after_ms * self.rng.uniform(*parts)
            told = after if self.settings.limits.sends_retry_after and after > 0 else None
            self.actions.append(RejectRequest(job.request.request_id, told, job.preemption_reason))
            if self.constraints is not None and not job.preemption_reason:
                self.constraints.on_rejected(self.now_ms, job)
        else:
            self.actions.append(FailRequest(job.request.request_id))
        self._complete(job)

    def _complete(self, job: PendingRequest) -> None:
        self.pending_requests.pop(job.request.request_id, None)
        self.queued_requests.pop(job.request.request_id, None)
        job.function.instance_queue.remove(job.request.request_id)
        for number, attempt in enumerate(job.attempts):
            if attempt.is_in_flight:
                self.orphaned_attempts[(job.request.request_id, number)] = attempt
        if not job.is_streaming:
            self._cancel_attempts(job, -1)

    def _cancel_attempts(self, job: PendingRequest, but: int) -> None:
        for number, attempt in enumerate(job.attempts):
            if attempt.is_in_flight and number != but and self.settings.limits.can_cancel:
                self.actions.append(CancelAttempt(job.request.request_id, number))

    def _on_stream_started(self, event: StreamStarted) -> None:
        if (job := self.pending_requests.get(event.request_id)) is not None:
            job.is_streaming = True
            self._cancel_attempts(job, event.attempt_index)
        if (view := self.workers.get(event.worker_id)) is not None:
            view.last_response_at_ms = self.now_ms
            if self.zone_reachability.on_response(self.now_ms, view.endpoint.zone):
                self._count_ready()

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        if (job := self.pending_requests.get(event.request_id)) is not None:
            self._complete(job)

    # Orders to load, where a worker answers MISS.

    def _preload(self, job: PendingRequest, chosen: WorkerRecord) -> WorkerRecord | None:
        """Where to send now; a cold choice is ordered to load, and a warm worker serves meanwhile, if any."""
        function, worker = job.function, chosen.endpoint.worker_id
        if self._affinity(function, worker) > 0:
            return chosen
        wanted = worker not in function.preloading_workers and self.now_ms >= function.preload_not_before_ms
        if wanted and self._may_preload() and self._may_start_instance(job, chosen):
            function.preloading_workers.add(worker)
            self.preloads_in_flight += 1
            self.preload_times.append(self.now_ms)
            self.actions.append(PreloadFunction(worker, job.request.function_id, 1))
        near = [self.workers[w] for w in list(function.affinity) if w in self.workers]
        warm = [
            v
            for v in near
            if self._is_eligible(job, v) and outlier_detection.is_available(v, self.now_ms, True)
        ]
        work = self._class_work_ms(job.request.class_index)
        warm = [
            v
            for v in warm
            if self._affinity(function, v.endpoint.worker_id) > 0 and self._fits_slow_start(v, work)
        ]
        return (
            min(warm, key=lambda v: self._placement_cost(function, v, job.class_and_tenant)) if warm else None
        )

    def _may_preload(self) -> bool:
        """Under this gateway's part of what the fleet may load at once, and inside the ration of rule 5."""
        share = len(self.workers) / self.live_router_count
        return preload_budget.may_preload(
            self.settings.rules,
            self.now_ms,
            self.preloads_in_flight,
            share,
            self.preload_times,
            self.request_times,
        )

    def _on_preload_ended(self, event: PreloadEnded) -> None:
        function = self.functions.get(event.function_id)
        if function is None or event.worker_id not in function.preloading_workers:
            return
        function.preloading_workers.discard(event.worker_id)
        self.preloads_in_flight -= 1
        if event.outcome is Outcome.OK and event.instances > 0:
            function.affinity[event.worker_id] = 1.0
            function.last_sent_at_ms[event.worker_id] = self.now_ms
            function.preload_backoff_ms = 0.0
            self.load_ms.add(event.latency_ms)
        else:
            function.preload_backoff_ms = min(
                max(2 * function.preload_backoff_ms, self.load_ms.mean, 1.0), self.settings.keep_alive_ms
            )
            function.preload_not_before_ms = self.now_ms + function.preload_backoff_ms * self.rng.uniform(
                0.5, 1.0
            )
        self._drain_queue()

    # Time.

    def _schedule(self, at: float, request: int = -1, attempt: int = 0) -> None:
        self.timer_serial += 1
        heapq.heappush(self.timer_queue, (at, self.timer_serial, request, attempt))

    def _drain_queue(self) -> None:
        for job in list(self.queued_requests.values()):
            self._dispatch(job)

    def _on_timer(self, event: TimerFired) -> None:
        if event.token != self.timer_token:
            return
        self.timer_at_ms = math.inf
        while self.timer_queue and self.timer_queue[0][0] <= self.now_ms + 0.5:  # due times come rounded
            _, _, request, attempt = heapq.heappop(self.timer_queue)
            if (job := self.pending_requests.get(request)) is not None:
                self._check_attempt(attempt, job)
        if self.now_ms >= self.poll_at_ms:
            self.poll_at_ms = math.inf
            self.is_subscribed = True
            self.actions.append(SubscribeEndpoints(True))
        if self.now_ms >= self.queue_check_at_ms - 0.5:
            self.queue_check_at_ms = math.inf
            self._drain_queue()

    def _log_throttled(self, kind: str, text: str) -> None:
        if self.now_ms - self.logged_at_ms.get(kind, -math.inf) >= LOG_INTERVAL_MS:
            self.logged_at_ms[kind] = self.now_ms
            self.actions.append(LogMessage(f"{kind}: {text}"))
