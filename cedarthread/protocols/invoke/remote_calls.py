"""Stored calls that another process has taken, as this process serves them to returning callers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from cedarthread.dispatch.deferred import DeferredCall
from cedarthread.logs import format_event
from cedarthread.protocols.invoke.shared_calls import SharedCall, SharedCalls, SharedCallsUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.calls import CallResult

log = logging.getLogger(__name__)

POLL_PERIOD_S = 0.05  # time between checks for the results that callers wait for


class RemoteCalls:
    """The calls of other processes for which a caller of this process waits; polls for their results.

    Args:
        shared_calls: The table of the calls of all processes.
        complete: Gives a call its result and notifies its waiters.
    """

    def __init__(
        self, shared_calls: SharedCalls, complete: Callable[[DeferredCall, CallResult], None]
    ) -> None:
        self._shared_calls = shared_calls
        self._complete = complete
        self._pending: list[DeferredCall] = []
        self._poll_timer: asyncio.TimerHandle | None = None

    def adopt(self, shared_call: SharedCall) -> DeferredCall:
        """Return a call of another process; if it is pending, its waiters will be notified."""
        entry = DeferredCall(
            shared_call.call_id,
            shared_call.owner,
            shared_call.idempotency_key,
            shared_call.fingerprint,
            result=shared_call.result,
            retention_s=shared_call.retention_s,
            is_remote=True,
        )
        if entry.result is None:
            self._pending.append(entry)
            self._schedule_poll()
        return entry

    def _schedule_poll(self) -> None:
        if self._poll_timer is None and self._pending:
            self._poll_timer = asyncio.get_running_loop().call_later(POLL_PERIOD_S, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        waited_for = [entry for entry in self._pending if entry.waiters]
        try:
            self._pending = [entry for entry in waited_for if not self._check(entry)]
        except SharedCallsUnavailableError as error:
            log.warning(format_event("shared_calls_failed", operation="poll", error=error))
            self._pending = [entry for entry in waited_for if entry.waiters]
        self._schedule_poll()

    def _check(self, entry: DeferredCall) -> bool:
        """Notify the waiters if a call has its result or was cancelled; return whether it has ended."""
        shared_call = self._shared_calls.find(entry.owner, entry.call_id)
        if shared_call is not None and shared_call.result is None:
            return False
        if shared_call is not None and shared_call.result is not None:
            self._complete(entry, shared_call.result)
        else:
            entry.notify_waiters()
        return True
