"""Notification of the components when attempts start and end.

Only ``AttemptObserver`` writes its state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import Action, StartAttempt
from cedarthread.model.outcomes import Outcome, StartKind

if TYPE_CHECKING:
    from cedarthread.model.events import AttemptEnded
    from cedarthread.node.component_set import ComponentSet
    from cedarthread.routing.router import Router

# Whether an instance of the function is loaded at the worker after an attempt, by the start kind.
_IS_LOADED_AFTER = {
    StartKind.WARM: True,
    StartKind.COLD: True,
    StartKind.PENDING: True,
    StartKind.LOAD_FAILED: False,
}
# Whether an instance of the function was loaded at the worker before the attempt, by the start kind.
_WAS_WARM = {StartKind.WARM: True, StartKind.COLD: False, StartKind.PENDING: False}


class _InFlightAttempt(NamedTuple):
    """The function and tenant of an attempt in flight."""

    function_id: int
    tenant_index: int | None


class AttemptObserver:
    """Observer of attempts, which notifies the components when an attempt starts and ends.

    Stores the function and tenant of each attempt in flight, because ``AttemptEnded`` does not contain them.

    Args:
        router: Supplies the function and tenant of the request when an attempt starts.
        components: The components to notify.
    """

    def __init__(self, router: Router, components: ComponentSet) -> None:
        self._router = router
        self._components = components
        self._in_flight: dict[tuple[int, int], _InFlightAttempt] = {}  # attempts by request id and worker id

    def record_started(self, actions: list[Action]) -> None:
        """Record the attempts that the router's actions start."""
        for action in actions:
            if type(action) is not StartAttempt:
                continue
            pending = self._router.pending_requests.get(action.request_id)
            if pending is None:
                continue
            request = pending.request
            key = action.request_id, action.worker_id
            self._in_flight[key] = _InFlightAttempt(request.function_id, request.tenant_index)
            if self._components.load_gossip is not None:
                self._components.load_gossip.on_attempt_sent(action.worker_id, request.function_id)

    def record_ended(self, now_ms: float, event: AttemptEnded) -> None:
        """Record the end of an attempt; ignore an attempt whose start was not recorded."""
        attempt = self._in_flight.pop((event.request_id, event.worker_id), None)
        if attempt is None:
            return
        components = self._components
        if components.load_gossip is not None:
            is_loaded = _is_loaded_after(event)
            components.load_gossip.on_attempt_ended(
                now_ms, event.worker_id, attempt.function_id, is_loaded=is_loaded
            )
        if components.fleet is not None:
            was_warm = _WAS_WARM.get(event.start_kind)
            components.fleet.on_attempt_ended(
                now_ms, event, attempt.function_id, attempt.tenant_index, was_warm=was_warm
            )
            reported_load = self._router.feedback.reported_load(event)
            if reported_load is not None:
                components.fleet.recovery.on_load_report(*reported_load)


def _is_loaded_after(event: AttemptEnded) -> bool | None:
    """Return whether an instance of the function is loaded at the worker after the attempt; None: unknown."""
    if event.outcome is Outcome.OK:
        return True
    if event.outcome is Outcome.NOT_LOADED:
        return False
    return _IS_LOADED_AFTER.get(event.start_kind)
