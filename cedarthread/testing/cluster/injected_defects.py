"""Defects that a drill plants in the routers, to see that its judge finds them: a line of ``PLANTS`` each.

A defect is a function's place, as ``module:function``; it is run in a router's process before that serves.
Nothing of the program is imported before.
"""

from __future__ import annotations

from importlib import import_module

from cedarthread.model.endpoints import EndpointUpdate

DEFECTS = {
    "chance": "cedarthread.testing.cluster.injected_defects:chance",
    "eager": "cedarthread.testing.cluster.injected_defects:eager",
    "twice": "cedarthread.testing.cluster.injected_defects:twice",
    "gate bypassed": "cedarthread.testing.cluster.injected_defects:bypassed",
    "allowance each": "cedarthread.testing.cluster.injected_defects:each",
    "retuned around": "cedarthread.testing.cluster.injected_defects:around",
    "revoked at once": "cedarthread.testing.cluster.injected_defects:at_once",
    "clock followed": "cedarthread.testing.cluster.injected_defects:followed",
    "unlisted": "cedarthread.testing.cluster.injected_defects:unlisted",
    "drown": "cedarthread.testing.cluster.injected_defects:drown",
    "ramp": "cedarthread.testing.cluster.injected_defects:ramp",
    "believes": "cedarthread.testing.cluster.injected_defects:believes",
}


def inject(name: str) -> None:
    """Put one in this process; no name: nothing."""
    if name:
        module, _, function = DEFECTS[name].partition(":")
        getattr(import_module(module), function)()


def chance() -> None:
    """What chance sent twice passes for popular."""
    from cedarthread.routing import popularity

    popularity.CALLS_IN_WINDOW, popularity.MIN_CALL_COUNT = 1.0, 1.0


def eager() -> None:
    """All move at once at each report."""
    from cedarthread.routing import estimators

    estimators.REPORTED_LOAD_WEIGHT = 2.0


def twice() -> None:
    """What may have run is sent again, whatever its class."""
    from cedarthread.routing import retries

    retries.RetryPolicy.may_attempt = lambda self, now, pending: True  # type: ignore[method-assign]


def bypassed() -> None:
    """What a freeze says of a load is not asked."""
    from cedarthread.components import constraints

    constraints.RoutingConstraints.may_route = lambda *told: True  # type: ignore[method-assign]
    constraints.RoutingConstraints.may_load = lambda *told: True  # type: ignore[method-assign]


def each() -> None:
    """Every router may use the whole of a window's allowance."""
    from cedarthread.change_freeze import admission_gate
    from cedarthread.change_freeze.placement_changes import PlacementChange

    def permits(self: admission_gate.AdmissionGate, now: float, change: PlacementChange) -> bool:
        rules = [rule for rule in self.rules if rule.covers(change)]
        return bool(rules) and all(self.exceptions_used < rule.exception_budget for rule in rules)

    admission_gate.AdmissionGate._has_exception = permits  # type: ignore[method-assign]
    admission_gate.AdmissionGate._use_exception = lambda self, now, change, rules: permits(self, now, change)  # type: ignore[method-assign]


def around() -> None:
    """New settings are followed whole in a window, and homes with them."""
    from cedarthread.change_freeze import admission_gate

    admission_gate.AdmissionGate.admitted_settings = lambda self, now, old, new: new  # type: ignore[method-assign]


def at_once() -> None:
    """A revocation acts as soon as it is heard."""
    from cedarthread.change_freeze import window

    window._HeldVersion.is_effective = lambda self, reading: True  # type: ignore[method-assign]


def followed() -> None:
    """The host's wall clock is believed, whatever others tell."""
    from cedarthread.change_freeze import wall_clock

    def follow_host(self: wall_clock.WallClock, now: float, unix_ms: float, has_window: bool) -> None:
        self.followed_offset_ms = unix_ms - now

    wall_clock.WallClock.on_host_reading = follow_host  # type: ignore[method-assign]

    def constant_bounds(self: wall_clock.WallClock, now: float) -> tuple[float, float]:
        unix_ms = self.unix_ms(now)
        return unix_ms - self.max_error_ms, unix_ms + self.max_error_ms

    wall_clock.WallClock.unix_ms_bounds = constant_bounds  # type: ignore[method-assign]


def unlisted() -> None:
    """A runner that the list has no more is sent calls as before."""
    from dataclasses import replace

    from cedarthread.routing import router

    members = router.Router._on_endpoint_update

    def keeps(self: router.Router, now: float, update: EndpointUpdate) -> None:
        told = {entry.worker_id for entry in update.endpoints}
        kept = [view.endpoint for worker, view in self.workers.items() if worker not in told]
        members(self, now, replace(update, endpoints=(*update.endpoints, *kept)))

    router.Router._on_endpoint_update = keeps  # type: ignore[method-assign]


def drown() -> None:
    """Who comes back asks all at once, again and again, and who is asked answers all."""
    from cedarthread.recovery import pacing_limits, peer_query
    from cedarthread.statistics import TokenBucket

    pacing_limits.PacingLimits.peer_queries = 1e4  # type: ignore[misc]
    (
        peer_query.MAX_PENDING_QUERIES,
        peer_query.RESPONSE_TIMEOUT_MS,
        peer_query.INITIAL_BACKOFF_MS,
        peer_query.INITIAL_SPREAD_MS,
    ) = 1000, 50.0, 1.0, 1.0
    endless = type("Endless", (TokenBucket,), {"take": lambda *told: True})
    peer_query.__dict__["TokenBucket"] = endless


def ramp() -> None:
    """A return bounds no load."""
    from cedarthread.recovery.component import RecoveryComponent

    RecoveryComponent.try_acquire_load = lambda self, now, function_id: True  # type: ignore[method-assign]


def believes() -> None:
    """What stood at an earlier start of a runner passes for standing."""
    from cedarthread.recovery import warm_state

    warm_state.start_tag = lambda started_at_ms: 0
