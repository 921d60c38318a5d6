"""The calls of the invoke API: synchronous calls, and calls with stored results.

Stored calls are shared with the other processes of the same listen address, if there is a shared table.
"""

from __future__ import annotations

import logging
import secrets
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Call, CallRejected, CallResult, call_deadline_ms
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.logs import format_event
from cedarthread.model.settings import Idempotency
from cedarthread.protocols.http import Response, problem_response
from cedarthread.protocols.invoke.remote_calls import RemoteCalls
from cedarthread.protocols.invoke.requests import CallRequest, StoredCallReference, worker_idempotency_key
from cedarthread.protocols.invoke.shared_calls import SharedCall, SharedCalls, SharedCallsUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from cedarthread.dispatch.dispatcher import Dispatcher

log = logging.getLogger(__name__)

EVICTION_PERIOD_S = 10.0  # time between evictions of expired shared calls
PROCESS_NAME_BYTES = 9


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
        self._clock_s = clock_s
        self._shared_calls: SharedCalls | None = None  # None: no other process can take or serve the calls
        self._remote_calls: RemoteCalls | None = None
        self._unrecorded: dict[str, CallResult] = {}  # results that could not be recorded yet, by call id
        self._evict_shared_at_s = 0.0

    def share(self, path: Path) -> None:
        """Share the stored calls with the other processes that use the same file.

        Raises:
            SharedCallsUnavailableError: The file cannot be used.
        """
        process = secrets.token_urlsafe(PROCESS_NAME_BYTES)
        self._shared_calls = SharedCalls(path, process, self._clock_s)
        self._remote_calls = RemoteCalls(self._shared_calls, self.deferred_calls.complete)

    def stop_sharing(self) -> None:
        """Close the table of shared calls, which keeps the results for the other processes."""
        if self._shared_calls is not None:
            self._record_results(self._shared_calls)
            self._shared_calls.close()
            self._shared_calls = None

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

    def find(self, owner: str, call_id: str) -> DeferredCall | None:
        """Return the stored call with this id, or None if it is unknown or belongs to another owner.

        Raises:
            SharedCallsUnavailableError: The call may be stored by another process.
        """
        known = self.deferred_calls.find(owner, call_id)
        if known is None and self._shared_calls is not None:
            return self._adopt(self._shared_calls.find(owner, call_id))
        return known

    def _find_by_key(self, owner: str, key: str | None) -> DeferredCall | None:
        """Return the stored call of an owner with an idempotency key, in whichever process it is."""
        if key is None:
            return None
        known = self.deferred_calls.find_by_key(owner, key)
        if known is None and self._shared_calls is not None:
            return self._adopt(self._shared_calls.find_by_key(owner, key))
        return known

    def _adopt(self, shared_call: SharedCall | None) -> DeferredCall | None:
        if shared_call is None or self._remote_calls is None:
            return None
        return self._remote_calls.adopt(shared_call)

    def has_executed_call(self, owner: str, request: CallRequest) -> bool:
        """Return whether a stored call with the request's key may have been executed."""
        known = self._find_by_key(owner, request.idempotency_key)
        return known is not None and not isinstance(known.result, CallRejected)

    def find_stored_call(self, owner: str, reference: StoredCallReference | None) -> DeferredCall | None:
        """Return the stored call to which a returning caller refers, or None if there is none."""
        if reference is None:
            return None
        known = self._find_by_key(owner, reference.idempotency_key)
        return known if known is not None and known.fingerprint == reference.fingerprint else None

    def find_or_start_stored_call(
        self, owner: str, request: CallRequest, *, is_deferred: bool
    ) -> DeferredCall | Response:
        """Return the stored call with the request's key, or start a new one.

        A stored call that was rejected was not executed, so it is started again, as a client retry.

        Returns:
            The stored call, or a problem response if the key belongs to another call or the store is full.

        Raises:
            SharedCallsUnavailableError: Another process may have taken the call. No call was started.
        """
        limits = self.deferred_calls.limits
        retention_s = limits.retention_s if is_deferred else limits.retry_retention_s
        known = self._find_by_key(owner, request.idempotency_key)
        if known is not None and known.fingerprint != request.fingerprint():
            return _key_conflict()
        if known is not None and not isinstance(known.result, CallRejected):
            self._extend_retention(known, retention_s)
            return known
        if known is not None:
            self.deferred_calls.remove(known)
        stored = self.deferred_calls.add(owner, request.idempotency_key, request.fingerprint(), retention_s)
        if stored is None:
            return problem_response(503, "too many calls are kept", {"Retry-After": "5"}, repeat="harmless")
        on_result = partial(self._complete, stored)
        call = self.build_call(owner, request, on_result, is_client_retry=known is not None)
        in_force = self._claim(stored, call, known)
        if in_force is not stored:
            self.deferred_calls.remove(stored)
            return in_force if in_force.fingerprint == stored.fingerprint else _key_conflict()
        stored.call = call
        self.dispatcher.submit(call)
        return stored

    def _claim(self, stored: DeferredCall, call: Call, replaced: DeferredCall | None) -> DeferredCall:
        """Record a new call for all processes; return the call of another one if that was faster."""
        if self._shared_calls is None or self._remote_calls is None:
            return stored
        remaining_s = (call.deadline_ms - self.dispatcher.clock()) / 1000.0
        shared_call = SharedCall(
            stored.call_id,
            stored.owner,
            stored.idempotency_key,
            stored.fingerprint,
            stored.retention_s,
            self._clock_s() + remaining_s,
        )
        try:
            in_force = self._shared_calls.add(shared_call, replaced.call_id if replaced is not None else None)
        except SharedCallsUnavailableError:
            self.deferred_calls.remove(stored)
            raise
        return stored if in_force.call_id == stored.call_id else self._remote_calls.adopt(in_force)

    def _complete(self, stored: DeferredCall, result: CallResult) -> None:
        """Record the result for all processes, and notify the waiters of this one."""
        if self._shared_calls is not None:
            self._unrecorded[stored.call_id] = result
            self._record_results(self._shared_calls)
        self.deferred_calls.complete(stored, result)

    def _record_results(self, shared_calls: SharedCalls) -> None:
        """Record the results that are not recorded yet; those that cannot be are tried again later."""
        try:
            for call_id, result in list(self._unrecorded.items()):
                shared_calls.complete(call_id, result)
                del self._unrecorded[call_id]
        except SharedCallsUnavailableError as error:
            log.warning(format_event("shared_calls_failed", operation="record_result", error=error))

    def _extend_retention(self, known: DeferredCall, retention_s: float) -> None:
        if known.retention_s >= retention_s:
            return
        known.retention_s = retention_s
        if self._shared_calls is not None:
            try:
                self._shared_calls.extend_retention(known.call_id, retention_s)
            except SharedCallsUnavailableError as error:
                log.warning(format_event("shared_calls_failed", operation="extend_retention", error=error))

    def cancel_stored_call(self, stored: DeferredCall) -> None:
        """Cancel a stored call, or delete its result, at the owner's request.

        Raises:
            SharedCallsUnavailableError: The process that took the call cannot be told.
        """
        if self._shared_calls is not None:
            self._shared_calls.request_cancel(stored.call_id)
        if not stored.is_remote:
            self._cancel_local_call(stored)

    def _cancel_local_call(self, stored: DeferredCall) -> None:
        if stored.call is not None:
            self.dispatcher.abandon_call(stored.call)
        self.deferred_calls.remove(stored)
        stored.notify_waiters()

    def sweep(self) -> None:
        """Evict expired results, and cancel the calls that owners cancelled at other processes."""
        self.deferred_calls.evict_expired()
        if self._shared_calls is None:
            return
        self._record_results(self._shared_calls)
        try:
            self._sweep_shared_calls(self._shared_calls)
        except SharedCallsUnavailableError as error:
            log.warning(format_event("shared_calls_failed", operation="sweep", error=error))

    def _sweep_shared_calls(self, shared_calls: SharedCalls) -> None:
        if len(self.deferred_calls):
            for call_id in shared_calls.take_cancelled():
                stored = self.deferred_calls.find_by_id(call_id)
                if stored is not None:
                    self._cancel_local_call(stored)
        now_s = self._clock_s()
        if now_s >= self._evict_shared_at_s:
            self._evict_shared_at_s = now_s + EVICTION_PERIOD_S
            shared_calls.evict_expired()


def _key_conflict() -> Response:
    return problem_response(422, "this Idempotency-Key belongs to another call")
