"""Preloading: decides which worker loads a function, if workers reject calls of functions not loaded.

All times are ms on the monotonic clock, passed in by the caller. The policy updates the preload fields of
``FunctionRecord`` through ``FunctionTable``, and the preload budget.
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
    """The preload policy of one router; it requests preloads within the preload budget.

    Args:
        state: The router's state.
        selector: Selects a warm worker while a preload is in flight.
        admission: Decides whether a new instance may start at a worker.
    """

    def __init__(self, state: RouterState, selector: WorkerSelector, admission: AdmissionPolicy) -> None:
        self.state = state
        self.selector = selector
        self.admission = admission

    def on_request(self, now_ms: float) -> None:
        """Credit a new request to the preload budget, if rule 5 limits preloads."""
        settings = self.state.settings
        if settings.rules.preload_window_ms > 0 and settings.allows_preloading:
            self.state.preload_budget.on_request(now_ms, settings.rules)

    def select_warm_worker(
        self, now_ms: float, pending: PendingRequest, chosen: WorkerRecord
    ) -> WorkerRecord | None:
        """Return the worker to send to now; None: none is warm.

        If the selected worker is cold and cannot load on demand, request a preload there and return the
        cheapest warm worker instead. Without preloading, return the selected worker.
        """
        state = self.state
        function = pending.function
        worker_id = chosen.endpoint.worker_id
        settings = state.settings
        if settings.when_not_loaded is not NotLoadedBehavior.REJECT or not settings.allows_preloading:
            return chosen
        if function.read_affinity(now_ms, worker_id, settings.instance_keep_alive_ms) > 0:
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
        """Return whether the preload budget permits one more preload now."""
        state = self.state
        in_flight = state.functions.preloads_in_flight
        workers_per_router = len(state.workers.by_id) / state.live_router_count
        return state.preload_budget.may_preload(now_ms, state.settings.rules, in_flight, workers_per_router)
