"""The settings of a router: request classes, tenants, limits, rule parameters and prices.

Plain data without logic. All times are milliseconds; ``None`` means that a value is not configured.
``cedarthread/settings_parser.py`` maps the operators' key names to these fields.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The idempotency of a request class: whether a request may be executed more than once."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    WITH_KEY = "keyed"  # workers deduplicate by idempotency key, within a scope and a window
    NOT_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """The group of workers that deduplicate requests by idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NotLoadedBehavior(Enum):
    """The behavior of a worker that receives a request for a function it has not loaded."""

    LOAD = "load"  # load the function while the request waits
    REJECT = "miss"  # respond NOT_LOADED; functions are loaded only by preloads


class DiscoveryMode(Enum):
    """The mode in which the router receives the endpoint list."""

    PUSH = "push"
    POLL = "ask"


class LoadReportSource(Enum):
    """The messages that carry the load reports of workers."""

    NONE = "none"
    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"


class WeightMeaning(Enum):
    """The meaning of an endpoint's weight."""

    NONE = "none"  # the weight has no meaning
    NOMINAL = "nominal"  # the worker's registered capacity
    APPROXIMATE = "rough"  # the worker's capacity, approximately
    LIVE = "live"  # the worker's capacity over its requests in flight, sampled earlier


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with the same latency objective, deadline and idempotency.

    The priority weights are the points scored by a response: within the latency objective, and after it.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float  # how long workers remember an idempotency key
    is_streaming: bool
    latency_objective_work_factor: float  # multiple of the request's work added to the objective


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    quota_fraction: float
    quota_per_second: float | None


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of the deployment: upper bounds, and which mechanisms are enabled."""

    max_attempts: int
    max_pending_requests: int
    can_cancel: bool
    allows_health_checks: bool
    allows_gossip: bool
    allows_hedging: bool
    sends_retry_after: bool
    max_retry_after_ms: float
    max_attempts_per_connection: int = 32  # concurrent attempts on one connection to a worker
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 30000.0  # an idle connection is closed after this time


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """The parameters of the operators' rules: retries, draining, slow start, polling, preloads."""

    answer_slack_ms: float  # how long after its deadline a request may still get its final answer
    drain_grace_ms: float  # how long after a worker starts to drain it may still receive calls
    slow_start_min_capacity: float  # guaranteed fraction of a worker's capacity at its start
    slow_start_ms: float  # time after its start from which a worker has its full capacity
    collapse_multiple: float  # a cold worker collapses above this multiple of its capacity
    collapse_window_ms: float  # window over which the load of a cold worker is measured
    max_poll_delay_ms: float
    preload_allowance: float  # preloads allowed in each window, in addition to preload_share
    # Preloads allowed in addition to preload_allowance, as a fraction of the requests in the window.
    preload_share: float
    preload_window_ms: float  # length of the window for the preload limits; 0: preloads are unlimited


@dataclass(frozen=True, slots=True)
class Prices:
    """Points deducted from the score of the service, by cause."""

    fetch: float
    health_check: float
    peer_message: float
    cross_zone: float
    wasted_work: float
    late_failure: float
    idle_memory: float


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """The settings of one router."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    rules: RuleParameters
    prices: Prices
    router_count: int
    router_index: int
    zone: int
    tick_ms: float
    discovery_mode: DiscoveryMode
    when_not_loaded: NotLoadedBehavior
    allows_preloading: bool
    instance_keep_alive_ms: float  # time after its last call for which an idle instance stays loaded
    preload_timeout_ms: float
    reports_start_kind: bool
    reports_concurrency: bool
    over_quota_weight: float
    load_report_source: LoadReportSource = LoadReportSource.NONE
    load_report_columns: tuple[str, ...] = ()
    memory_mb_by_kind: tuple[float, ...] = ()  # memory in MB, by worker kind
    weight_meaning: WeightMeaning = WeightMeaning.NONE
    zones: tuple[str, ...] = ()
    worker_kinds: tuple[str, ...] = ()
