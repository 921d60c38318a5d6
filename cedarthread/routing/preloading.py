"""Preloading: whether to ask a worker to load a function, where a call to a cold worker would be rejected.

All times are ms of the clock that is handed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.actions import PreloadFunction
from cedarthread.model.settings import NotLoadedBehavior

if TYPE_CHECKING:
    from cedarthread.routing.admission import AdmissionPolicy
    from cedarthread.routing.records import PendingRequest, WorkerRecord
    from cedarthread.routing.router_state import RouterState
    from cedarthread.routing.selection import WorkerSelector


class PreloadPolicy:
    """Requests preloads, within the router's part of what the fleet may load at once and rule 5's ration."""

    def __init__(self, state: RouterState, selector: WorkerSelector, admission: AdmissionPolicy) -> None:
        self.state, self.selector, self.admission = state, selector, admission

    def on_request(self, now_ms: float) -> None:
        """A request came: it earns preloads while the window of rule 5 lasts."""
        settings = self.state.settings
        if settings.rules.preload_window_ms > 0 and settings.allows_preloading:
            self.state.preload_budget.on_request(now_ms, settings.rules)

    def warm_worker(
        self, now_ms: float, pending: PendingRequest, chosen: WorkerRecord
    ) -> WorkerRecord | None:
        """Where to send now: a cold choice is asked to load, and a warm worker serves meanwhile, if any."""
        state, function, worker_id = self.state, pending.function, chosen.endpoint.worker_id
        settings = state.settings
        if settings.when_not_loaded is not NotLoadedBehavior.REJECT or not settings.allows_preloading:
            return chosen
        if function.read_affinity(now_ms, worker_id, settings.keep_alive_ms) > 0:
            return chosen
        if (
            worker_id not in function.preloading_workers
            and now_ms >= function.preload_not_before_ms
            and self.may_preload(now_ms)
            and self.admission.may_start_instance(now_ms, pending, chosen)
        ):
            state.functions.start_preload(function, worker_id)
            state.preload_budget.on_preload(now_ms)
            state.actions.append(PreloadFunction(worker_id, pending.request.function_id, 1))
        return self.selector.cheapest_warm(now_ms, pending)

    def may_preload(self, now_ms: float) -> bool:
        """Under this router's part of what the fleet may load at once, and inside the ration of rule 5."""
        state = self.state
        in_flight = state.functions.preloads_in_flight
        workers_per_router = len(state.workers.by_id) / state.live_router_count
        return state.preload_budget.may_preload(now_ms, state.settings.rules, in_flight, workers_per_router)
