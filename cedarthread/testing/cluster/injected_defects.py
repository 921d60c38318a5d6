"""Defects that a scenario injects into the routers, to show that the evaluation finds them.

A defect is a line of ``DEFECTS``: its name in scenario files, and ``module:function``, a function that
patches the program. The function runs in a router's process before the router starts, and imports the
modules that it patches locally, so that other processes do not import them.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarthread.change_freeze.placement_changes import PlacementChange
    from cedarthread.model.endpoints import EndpointUpdate
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord

DEFECTS = {
    "chance": "cedarthread.testing.cluster.injected_defects:popularity_by_chance",
    "eager": "cedarthread.testing.cluster.injected_defects:overreact_to_reports",
    "twice": "cedarthread.testing.cluster.injected_defects:retry_always",
    "gate bypassed": "cedarthread.testing.cluster.injected_defects:bypass_admission_gate",
    "allowance each": "cedarthread.testing.cluster.injected_defects:exception_budget_per_router",
    "retuned around": "cedarthread.testing.cluster.injected_defects:follow_settings_in_window",
    "revoked at once": "cedarthread.testing.cluster.injected_defects:revoke_at_once",
    "clock followed": "cedarthread.testing.cluster.injected_defects:trust_host_clock",
    "unlisted": "cedarthread.testing.cluster.injected_defects:keep_unlisted_workers",
    "drown": "cedarthread.testing.cluster.injected_defects:flood_peer_queries",
    "ramp": "cedarthread.testing.cluster.injected_defects:unlimited_recovery_loads",
    "drains ignored": "cedarthread.testing.cluster.injected_defects:ignore_drains",
    "list late": "cedarthread.testing.cluster.injected_defects:poll_seldom",
    "no hold": "cedarthread.testing.cluster.injected_defects:send_after_stall",
    "stale limit": "cedarthread.testing.cluster.injected_defects:count_time_from_reading",
    "gone unseen": "cedarthread.testing.cluster.injected_defects:ignore_disconnected_clients",
    "functions unlimited": "cedarthread.testing.hostile.defects:unlimited_functions",
    "turns unlimited": "cedarthread.testing.hostile.defects:unlimited_turns",
    "ids forgotten": "cedarthread.testing.hostile.defects:forget_executed_ids",
    "believes": "cedarthread.testing.cluster.injected_defects:trust_earlier_incarnations",
}


def inject(name: str) -> None:
    """Inject a defect into this process; an empty name injects none."""
    if name:
        module, _, function = DEFECTS[name].partition(":")
        getattr(import_module(module), function)()


def popularity_by_chance() -> None:
    """Make a function count as popular after two calls, which chance alone can produce."""
    from cedarthread.routing import popularity

    popularity.CALLS_IN_WINDOW = 1.0
    popularity.MIN_CALL_COUNT = 1.0


def overreact_to_reports() -> None:
    """Make all routers overreact to each load report, so that they move their calls together."""
    from cedarthread.routing import estimators

    estimators.REPORTED_LOAD_WEIGHT = 2.0


def retry_always() -> None:
    """Make routers retry calls of any class that may have been executed; disable the guard against that."""
    from cedarthread.dispatch import send_guard
    from cedarthread.routing import retries

    send_guard._refuse_retry = lambda attempt, settings: None
    retries.RetryPolicy.may_attempt = lambda self, now_ms, pending: True  # type: ignore[method-assign]


def bypass_admission_gate() -> None:
    """Make routing and loads ignore a change freeze."""
    from cedarthread.node import constraints

    constraints.FleetConstraints.may_route = lambda *arguments, **named: True  # type: ignore[method-assign]
    constraints.FleetConstraints.may_load = lambda *arguments, **named: True  # type: ignore[method-assign]


def exception_budget_per_router() -> None:
    """Let each router use a window's complete exception budget by itself."""
    from cedarthread.change_freeze import admission_gate

    def has_own_budget(self: admission_gate.AdmissionGate, now_ms: float, change: PlacementChange) -> bool:
        rules = [rule for rule in self.rules if rule.covers(change)]
        return bool(rules) and all(self.exceptions_used < rule.exception_budget for rule in rules)

    admission_gate.AdmissionGate._has_exception = has_own_budget  # type: ignore[method-assign]
    admission_gate.AdmissionGate._use_exception = (  # type: ignore[method-assign]
        lambda self, now_ms, change, rules: has_own_budget(self, now_ms, change)
    )


def follow_settings_in_window() -> None:
    """Apply new settings completely in a window, so that home workers move."""
    from cedarthread.change_freeze import admission_gate

    admission_gate.AdmissionGate.admitted_settings = lambda self, now_ms, old, new: new  # type: ignore[method-assign]


def revoke_at_once() -> None:
    """Make a revocation take effect as soon as it is received."""
    from cedarthread.change_freeze import window

    window._StoredVersion.is_effective = lambda self, reading: True  # type: ignore[method-assign]


def trust_host_clock() -> None:
    """Trust the host's wall clock without regard to the clocks of other routers."""
    from cedarthread.change_freeze import wall_clock

    def follow_host(
        self: wall_clock.WallClock, now_ms: float, unix_ms: float, *, requires_confirmation: bool
    ) -> None:
        self.applied_offset_ms = unix_ms - now_ms

    wall_clock.WallClock.on_host_reading = follow_host  # type: ignore[method-assign]

    def constant_bounds(self: wall_clock.WallClock, now_ms: float) -> wall_clock.UnixTimeBounds:
        unix_ms = self.unix_ms(now_ms)
        return wall_clock.UnixTimeBounds(unix_ms - self.max_error_ms, unix_ms + self.max_error_ms)

    wall_clock.WallClock.unix_ms_bounds = constant_bounds  # type: ignore[method-assign]


def keep_unlisted_workers() -> None:
    """Make routers send calls to a worker that the endpoint list no longer has."""
    from dataclasses import replace

    from cedarthread.routing import router

    on_endpoint_update = router.Router._on_endpoint_update

    def add_unlisted(self: router.Router, now_ms: float, update: EndpointUpdate) -> None:
        listed = {endpoint.worker_id for endpoint in update.endpoints}
        unlisted = [record.endpoint for worker_id, record in self.workers.items() if worker_id not in listed]
        on_endpoint_update(self, now_ms, replace(update, endpoints=(*update.endpoints, *unlisted)))

    router.Router._on_endpoint_update = add_unlisted  # type: ignore[method-assign]


def flood_peer_queries() -> None:
    """Make a restarted router query all peers at once and repeatedly, and peers answer every query."""
    from cedarthread.recovery import pacing_limits, peer_query
    from cedarthread.statistics import TokenBucket

    pacing_limits.PacingLimits.peer_queries = 1e4  # type: ignore[misc]
    peer_query.MAX_PENDING_QUERIES = 1000
    peer_query.RESPONSE_TIMEOUT_MS = 50.0
    peer_query.INITIAL_BACKOFF_MS = 1.0
    peer_query.INITIAL_SPREAD_MS = 1.0
    endless = type("Endless", (TokenBucket,), {"take": lambda *arguments: True})
    peer_query.__dict__["TokenBucket"] = endless


def unlimited_recovery_loads() -> None:
    """Remove the limit on loads during recovery."""
    from cedarthread.recovery.component import RecoveryComponent

    RecoveryComponent.try_acquire_load = lambda self, now_ms, function_id: True  # type: ignore[method-assign]


def trust_earlier_incarnations() -> None:
    """Make an instance from before a worker's restart count as present."""
    from cedarthread.recovery import warm_state

    warm_state.start_tag = lambda started_at_ms: 0


def ignore_drains() -> None:
    """Make a worker that is listed as draining count as ready."""
    from dataclasses import replace

    from cedarthread.model.endpoints import EndpointState
    from cedarthread.protocols.discovery import endpoint_records

    parse = endpoint_records._endpoint_from_records

    def parse_as_ready(*arguments: Any) -> EndpointRecord | str:
        record = parse(*arguments)
        return record if isinstance(record, str) else replace(record, state=EndpointState.READY)

    endpoint_records._endpoint_from_records = parse_as_ready  # type: ignore[assignment]


def poll_seldom() -> None:
    """Query discovery only every two seconds, and do not retry failed queries."""
    from cedarthread.protocols.discovery.query_tracker import QueryTracker

    QueryTracker.next_query_at_s = lambda self: self.last_sent_at_s + 2.0  # type: ignore[method-assign]


def send_after_stall() -> None:
    """Send queued requests after a stall before the endpoint list has been refreshed."""
    from cedarthread.lifecycle.freshness_gate import FreshnessGate

    FreshnessGate.is_open = lambda self: True  # type: ignore[method-assign]


def count_time_from_reading() -> None:
    """Measure a client's time limit from the read of its request, not from arrival in the socket buffer."""
    from cedarthread.dispatch.dispatcher import Dispatcher

    Dispatcher.arrival_ms = lambda self: self.context.clock()  # type: ignore[method-assign]


def ignore_disconnected_clients() -> None:
    """Continue a call after its client has closed the connection."""
    from cedarthread.dispatch.dispatcher import Dispatcher

    Dispatcher.abandon_call = lambda self, call: None  # type: ignore[method-assign]
    Dispatcher.client_half_closed = lambda self, call: None  # type: ignore[method-assign]
