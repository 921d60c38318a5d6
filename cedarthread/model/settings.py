"""What a router is configured with: request classes, limits, rule parameters and prices.

Times are milliseconds. ``None`` stands for a value that was not configured. No logic here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "safe"  # may run any number of times
    WITH_KEY = "keyed"  # a group of workers drops repeats, for a while
    NOT_IDEMPOTENT = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The workers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class NotLoadedBehavior(Enum):
    """What a worker does with a request whose function it lacks."""

    LOAD = "load"  # it loads the function while the request waits
    REJECT = "miss"  # it answers MISS; only an order brings the function


class DiscoveryMode(Enum):
    """How the list of workers comes."""

    PUSH = "push"
    POLL = "ask"


class LoadReportSource(Enum):
    """Where workers tell their load."""

    NONE = "none"
    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"


class WeightMeaning(Enum):
    """What the weight of a listed worker means."""

    NONE = "none"  # nothing
    NOMINAL = "nominal"  # its registered size
    APPROXIMATE = "rough"  # its size, roughly
    LIVE = "live"  # its size over what it holds, sampled earlier


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_ms: float  # how long a keyed repeat is remembered
    is_streaming: bool
    latency_objective_work_factor: float  # the aim grows by this many times the request's own work


@dataclass(frozen=True, slots=True)
class Tenant:
    """One of those who share the service."""

    name: str
    quota_fraction: float
    quota_per_second: float | None


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int
    max_pending_requests: int
    can_cancel: bool
    allows_health_checks: bool
    allows_gossip: bool
    allows_hedging: bool
    sends_retry_after: bool
    max_retry_after_ms: float
    max_attempts_per_connection: int = 32  # attempts that one connection to a worker carries at a time
    connect_timeout_ms: float = 250.0
    idle_timeout_ms: float = 30000.0  # a connection without work is closed after this time


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """The figures of the rules."""

    answer_slack_ms: float
    drain_grace_ms: float
    slow_start_min_capacity: float  # share of its capacity that a started worker has at least
    slow_start_ms: float  # by then it has all of it
    collapse_multiple: float
    collapse_window_ms: float
    max_poll_delay_ms: float
    preload_allowance: float
    preload_share: float
    preload_window_ms: float  # 0: orders are not rationed


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the service, by cause."""

    fetch: float
    health_check: float
    peer_message: float
    cross_zone: float
    wasted_work: float
    late_failure: float
    idle_memory: float


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """All that a gateway is told at its start."""

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
