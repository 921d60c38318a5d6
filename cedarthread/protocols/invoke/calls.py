"""The calls of the invoke API: synchronous calls, and calls with stored results."""

from __future__ import annotations

import secrets
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Call, CallRejected, CallResult, call_deadline_ms
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.model.settings import Idempotency
from cedarthread.protocols.http import Response, problem_response
from cedarthread.protocols.invoke.requests import CallRequest, StoredCallReference, worker_idempotency_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.dispatcher import Dispatcher


class InvokeCalls:
    """Creates the dispatcher's calls for requests and owns the stored calls.

    Deferred calls are stored, as are synchronous calls with an idempotency key, for client retries with it.

    Args:
        dispatcher: Receives the calls.
        clock_s: The clock of the retention times.
    """

    def __init__(self, dispatcher: Dispatcher, clock_s: Callable[[], float]) -> None:
        self.dispatcher = dispatcher
        self.deferred_calls = DeferredCalls(DeferredLimits(), clock_s)

    def build_call(
        self,
        owner: str,
        request: CallRequest,
        on_result: Callable[[CallResult], None],
        *,
        is_client_retry: bool = False,
    ) -> Call:
        """Create the dispatcher's call for a request from this owner."""
        request_class = self.dispatcher.settings.classes[request.class_index]
        key = request.idempotency_key
        needs_worker_key = request_class.idempotency is Idempotency.WITH_KEY
        return Call(
            call_id=secrets.token_hex(8),
            class_index=request.class_index,
            function_id=int(request.function_hex, 16),
            deadline_ms=call_deadline_ms(self.dispatcher.arrival_ms(), request.timeout_ms),
            body=request.body,
            on_result=on_result,
            idempotency_key=worker_idempotency_key(owner, key) if needs_worker_key and key else None,
            concurrency=request.concurrency,
            memory_mb=request.memory_mb,
            is_client_retry=is_client_retry,
            caller_identity=owner,
        )

    def has_executed_call(self, owner: str, request: CallRequest) -> bool:
        """Return whether a stored call with the request's key may have been executed."""
        key = request.idempotency_key
        known = self.deferred_calls.find_by_key(owner, key) if key is not None else None
        return known is not None and not isinstance(known.result, CallRejected)

    def find_stored_call(self, owner: str, reference: StoredCallReference | None) -> DeferredCall | None:
        """Return the stored call to which a returning caller refers, or None if there is none."""
        if reference is None:
            return None
        known = self.deferred_calls.find_by_key(owner, reference.idempotency_key)
        return known if known is not None and known.fingerprint == reference.fingerprint else None

    def find_or_start_stored_call(
        self, owner: str, request: CallRequest, *, is_deferred: bool
    ) -> DeferredCall | Response:
        """Return the stored call with the request's key, or start a new one.

        A stored call that was rejected was not executed, so it is started again, as a client retry.

        Returns:
            The stored call, or a problem response if the key belongs to another call or the store is full.
        """
        limits = self.deferred_calls.limits
        retention_s = limits.retention_s if is_deferred else limits.retry_retention_s
        key = request.idempotency_key
        known = self.deferred_calls.find_by_key(owner, key) if key is not None else None
        if known is not None and known.fingerprint != request.fingerprint():
            return problem_response(422, "this Idempotency-Key belongs to another call")
        if known is not None and not isinstance(known.result, CallRejected):
            known.retention_s = max(known.retention_s, retention_s)
            return known
        if known is not None:
            self.deferred_calls.remove(known)
        stored = self.deferred_calls.add(owner, key, request.fingerprint(), retention_s)
        if stored is None:
            return problem_response(503, "too many calls are kept", {"Retry-After": "5"}, repeat="harmless")
        on_result = partial(self.deferred_calls.complete, stored)
        call = stored.call = self.build_call(owner, request, on_result, is_client_retry=known is not None)
        self.dispatcher.submit(call)
        return stored

    def cancel_stored_call(self, stored: DeferredCall) -> None:
        """Cancel a stored call, or delete its result, at the owner's request."""
        if stored.call is not None:
            self.dispatcher.abandon_call(stored.call)
        self.deferred_calls.remove(stored)
        waiters = stored.waiters
        stored.waiters = []
        for wake in waiters:
            wake()
