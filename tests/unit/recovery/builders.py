"""Builders of endpoint lists, warm states and components for the recovery tests."""

from __future__ import annotations

from cedarthread.components.notifications import AttemptCompleted, PeersChanged
from cedarthread.model.endpoints import Endpoint, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.warm_state import WarmState
from tests.helpers import settings, worker

KEEP_ALIVE_MS = 10_000.0
LONG_UPTIME_MS = 90_000.0
FUNCTION = 7


def endpoint_update(
    *endpoints: Endpoint, kind: EndpointUpdateKind = EndpointUpdateKind.CACHED
) -> EndpointUpdate:
    return EndpointUpdate(kind, 1, endpoints)


def endpoint_delta(*endpoints: Endpoint) -> EndpointUpdate:
    return endpoint_update(*endpoints, kind=EndpointUpdateKind.DELTA)


def empty_warm_state() -> WarmState:
    """Return a warm state without observations whose endpoint list has the workers 1 and 2."""
    warm_state = WarmState(KEEP_ALIVE_MS)
    warm_state.on_endpoint_update(0.0, endpoint_update(worker(1, started_at_ms=50.0), worker(2)))
    return warm_state


def completed(worker_id: int, function_id: int, *, was_warm: bool = True) -> AttemptCompleted:
    return AttemptCompleted(worker_id, function_id, None, 50.0, Outcome.OK, was_warm)


def component_in_service(now_ms: float = 1000.0, **changes: object) -> RecoveryComponent:
    """Return the component of a router in service, 40 s after its start; the function is warm on worker 1."""
    recovery = RecoveryComponent(settings(router_count=3, **changes), 4, now_ms)
    recovery.on_notification(now_ms, endpoint_update(worker(1, started_at_ms=50.0), worker(2)))
    recovery.on_notification(now_ms, PeersChanged((1, 2), 3, {1: LONG_UPTIME_MS, 2: LONG_UPTIME_MS}))
    for step in range(400):
        if not step % 2:
            recovery.on_tick(now_ms + step * 100.0)
        recovery.on_notification(now_ms + step * 100.0, completed(1, FUNCTION))
    assert recovery.is_in_service()
    return recovery
