"""Serves the requests of one invoke connection: starts calls, waits for results, responds."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.http import Response, problem_response
from cedarthread.protocols.invoke.requests import (
    READY_PATH,
    UNKNOWN_CLASS_STATUS,
    deferred_call_id,
    is_call_path,
    parse_call_request,
    parse_stored_call_reference,
    wait_preference_s,
)
from cedarthread.protocols.invoke.responses import (
    DRAINING_DETAIL,
    pending_response,
    ready_response,
    render_call_result,
)
from cedarthread.protocols.invoke.shared_calls import SharedCallsUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cedarthread.dispatch.calls import Call, CallResult
    from cedarthread.dispatch.deferred import DeferredCall
    from cedarthread.protocols import http
    from cedarthread.protocols.invoke.owners import CallServer


log = logging.getLogger(__name__)


def _ignore_response(_: Response) -> None:
    pass


def _nothing_to_refresh() -> bool:
    return True


class InvokeHandler:
    """The request that is being served on one connection.

    Args:
        server: The server of the connection.
        respond: Writes the one response of the request.
        refresh_client_state: Detects a disconnect of the caller.
    """

    def __init__(
        self,
        server: CallServer,
        respond: Callable[[Response], None],
        refresh_client_state: Callable[[], bool],
    ) -> None:
        self.server = server
        self.respond = respond
        self.refresh_client_state = refresh_client_state
        self.call: Call | None = None  # a synchronous call that ends with the connection
        self.deferred_call: DeferredCall | None = None  # the request waits for its result
        self._wait_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def handle(self, owner: str, head: http.RequestHead, body: bytes) -> None:
        """Serve a request from this owner."""
        try:
            self._route(owner, head, body)
        except SharedCallsUnavailableError as error:
            log.warning(format_event("shared_calls_failed", operation="request", error=error))
            self.respond(
                problem_response(
                    503, "stored calls cannot be read now", {"Retry-After": "1"}, repeat="unknown"
                )
            )

    def _route(self, owner: str, head: http.RequestHead, body: bytes) -> None:
        call_id = deferred_call_id(head.target)
        if head.target == READY_PATH and head.method == "GET":
            self.respond(ready_response(is_ready=self.server.is_ready))
        elif call_id is not None and head.method in ("GET", "DELETE"):
            self._serve_deferred_call(owner, head, call_id)
        elif is_call_path(head.target) and head.method == "POST":
            self._start_call(owner, head, body)
        elif call_id is not None or head.target == READY_PATH or is_call_path(head.target):
            allowed = "GET, DELETE" if call_id is not None else "GET" if head.target == READY_PATH else "POST"
            self.respond(problem_response(405, "no such method here", {"Allow": allowed}))
        else:
            self.respond(problem_response(404, "nothing here"))

    def detach(self) -> None:
        """Drop the references to a closed connection, so that it is freed without garbage collection."""
        self.respond = _ignore_response
        self.refresh_client_state = _nothing_to_refresh

    def abandon(self) -> None:
        """Abandon the synchronous call of a closed connection; a stored call continues."""
        self._stop_waiting()
        self.abandon_call()

    def abandon_call(self) -> None:
        """Abandon the synchronous call, if there is one."""
        call = self.call
        self.call = None
        if call is not None:
            self.server.dispatcher.abandon_call(call)

    def _start_call(self, owner: str, head: http.RequestHead, body: bytes) -> None:
        dispatcher = self.server.dispatcher
        calls = self.server.calls
        request = parse_call_request(dispatcher.settings, dispatcher.current_class_index, head, body)
        preferences = head.preferences()
        is_deferred = "respond-async" in preferences
        if isinstance(request, Response):
            # The class of a stored call may have been removed from the settings since the call was taken.
            known = None
            if request.status == UNKNOWN_CLASS_STATUS:
                known = calls.find_stored_call(owner, parse_stored_call_reference(head, body))
            if known is None:
                self.respond(request)
            else:
                self._wait_for_stored_call(known, preferences, is_deferred=is_deferred)
            return
        if is_deferred and not self.server.is_ready and not calls.has_executed_call(owner, request):
            response = problem_response(503, DRAINING_DETAIL, {"Retry-After": "1"}, repeat="harmless")
            self.respond(response)
            return
        if not is_deferred and request.idempotency_key is None:
            self.call = calls.build_call(owner, request, self._on_result)
            self.call.refresh_client_state = self.refresh_client_state
            dispatcher.submit(self.call)
            return
        stored = calls.find_or_start_stored_call(owner, request, is_deferred=is_deferred)
        if isinstance(stored, Response):
            self.respond(stored)
            return
        self._wait_for_stored_call(stored, preferences, is_deferred=is_deferred)

    def _wait_for_stored_call(
        self, stored: DeferredCall, preferences: Mapping[str, str], *, is_deferred: bool
    ) -> None:
        """Respond with the result of a stored call; a deferred request waits no longer than it prefers."""
        wait_s = wait_preference_s(preferences) if is_deferred else math.inf
        self._wait_for_result(stored, wait_s, is_deferred=is_deferred)

    def _on_result(self, result: CallResult) -> None:
        self.call = None
        self.respond(render_call_result(result))

    def _serve_deferred_call(self, owner: str, head: http.RequestHead, call_id: str) -> None:
        deferred_call = self.server.calls.find(owner, call_id)
        if deferred_call is None:
            self.respond(problem_response(404, "no such call of yours"))
            return
        if head.method == "DELETE":
            self.server.calls.cancel_stored_call(deferred_call)
            self.respond(Response(204, {}))
            return
        self._wait_for_result(deferred_call, wait_preference_s(head.preferences()), is_deferred=True)

    def _wait_for_result(self, deferred_call: DeferredCall, wait_s: float, *, is_deferred: bool) -> None:
        """Respond with the result, or with the pending state after ``wait_s`` seconds."""
        if deferred_call.result is not None:
            self._respond_with_result(deferred_call)
            return
        if wait_s <= 0:
            self.respond(pending_response(deferred_call))
            return
        self.deferred_call = deferred_call
        deferred_call.waiters.append(self._on_deferred_result)
        if is_deferred:
            self._wait_timer = self._loop.call_later(wait_s, self._on_wait_expired)

    def _on_deferred_result(self) -> None:
        if (deferred_call := self.deferred_call) is not None:
            self._stop_waiting()
            self._respond_with_result(deferred_call)

    def _on_wait_expired(self) -> None:
        if (deferred_call := self.deferred_call) is not None:
            self._stop_waiting()
            self.respond(pending_response(deferred_call))

    def _respond_with_result(self, deferred_call: DeferredCall) -> None:
        if deferred_call.result is None:  # the call was cancelled while this request waited
            self.respond(problem_response(404, "the call was given up"))
            return
        deferred_call.is_collected = True
        self.respond(render_call_result(deferred_call.result))

    def _stop_waiting(self) -> None:
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None
        if self.deferred_call is not None and self._on_deferred_result in self.deferred_call.waiters:
            self.deferred_call.waiters.remove(self._on_deferred_result)
        self.deferred_call = None
