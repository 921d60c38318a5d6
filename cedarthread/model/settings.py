"""What a router is configured with: request classes, tenants, limits, rule parameters and prices.

Plain records without logic. All times are milliseconds; ``None`` stands for a value that was not configured.
``cedarthread/settings_parser.py`` maps the operators' key names to these fields.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"  # may be executed any number of times
    WITH_KEY = "keyed"  # workers drop repeats of one idempotency key, within a scope and a window
    NOT_IDEMPOTENT = "unsafe"  # must never be executed twice


class DeduplicationScope(Enum):
    """The workers among which repeats of one idempotency key are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NotLoadedBehavior(Enum):
    """What a worker does with a request for a function that it has not loaded."""

    LOAD = "load"  # load the function while the request waits
    REJECT = "miss"  # answer NOT_LOADED; only a preload brings the function


class DiscoveryMode(Enum):
    """How the endpoint list reaches the router."""

    PUSH = "push"
    POLL = "ask"


class LoadReportSource(Enum):
    """Where workers report their load."""

    NONE = "none"
    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"


class WeightMeaning(Enum):
    """What the weight of an endpoint means."""

    NONE = "none"  # nothing
    NOMINAL = "nominal"  # its registered capacity
    APPROXIMATE = "rough"  # its capacity, approximately
    LIVE = "live"  # its capacity over its requests in flight, sampled earlier


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests that share an objective, a deadline and the rules for repeating them.

    Priority weights are the points that an answer earns: in time, and after the objective.
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
    latency_objective_work_factor: float  # the objective grows by this many times the request's work


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota of the service."""

    name: str
    quota_fraction: float
    quota_per_second: float | None


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits: bounds, and mechanisms that are switched on or off."""

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
    idle_timeout_ms: float = 30000.0  # a connection that carries nothing is closed after this time


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """The parameters of the operators' five rules (repeats, draining, cold workers, polling, preloads)."""

    answer_slack_ms: float
    drain_grace_ms: float
    slow_start_min_capacity: float  # fraction of its capacity that a started worker has at least
    slow_start_ms: float  # after this time it has its full capacity
    collapse_multiple: float  # a cold worker collapses above this multiple of what it can carry
    collapse_window_ms: float  # the window over which its load is counted
    max_poll_delay_ms: float
    preload_allowance: float
    preload_share: float
    preload_window_ms: float  # 0: preloads are not limited


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
    """All settings of one router."""

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
    keep_alive_ms: float
    preload_timeout_ms: float
    reports_start_kind: bool
    reports_concurrency: bool
    over_quota_weight: float
    load_report_source: LoadReportSource = LoadReportSource.NONE
    load_report_columns: tuple[str, ...] = ()
    memory_by_kind: tuple[float, ...] = ()
    weight_meaning: WeightMeaning = WeightMeaning.NONE
    zones: tuple[str, ...] = ()
    worker_kinds: tuple[str, ...] = ()
