"""The guard that permits or refuses each attempt and preload immediately before its first byte is written.

The endpoint list may have changed, or the client may have disconnected, since the router selected the worker,
so the guard checks the sending rules (``SendRefusal``) again. The module does no I/O. Only ``SendGuard``
modifies the set of ready workers. The dispatcher logs a refused attempt, and the worker connection then ends
it as not sent.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from cedarthread.model.settings import Idempotency, RouterSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.dispatch.calls import Attempt


class SendRefusal(StrEnum):
    """The rule that forbids a send; for an attempt, its value is logged at debug level."""

    ATTEMPT_ENDED = "attempt_ended"
    CALL_COMPLETE = "call_complete"
    # The client has closed its sending side; ``CallCompletion.abandon`` handles a full close.
    CLIENT_DISCONNECTED = "client_gone"
    # The client has sent so much that an interrupt or close may be among what is unread.
    CLIENT_INPUT_UNREAD = "client_input_unread"
    DEADLINE_PASSED = "deadline_passed"  # the deadline of the call has passed
    # The worker is in another state, such as draining, or not in the endpoint list.
    WORKER_NOT_READY = "worker_not_ready"
    RETRY_WINDOW_PASSED = "retry_window_passed"  # the worker may have forgotten the idempotency key
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    ATTEMPT_IN_FLIGHT = "attempt_in_flight"  # another attempt of the call is in flight
    # An earlier attempt of a call that is not idempotent may have been executed.
    MAY_HAVE_EXECUTED = "may_have_executed"


class SendGuard:
    """Guard that owns the set of ready workers and refuses sends that a rule forbids."""

    def __init__(self) -> None:
        self._ready_workers: frozenset[int] | None = None  # None: no endpoint list has arrived yet

    def update_ready_workers(self, worker_ids: Iterable[int]) -> None:
        """Replace the set of ready workers; sends to all other workers are refused."""
        self._ready_workers = frozenset(worker_ids)

    def refuse_worker(self, worker_id: int) -> SendRefusal | None:
        """Return the rule that forbids a send to a worker, or None if the send is permitted.

        Until the first endpoint list arrives, all workers are permitted, because no drain is known yet.
        """
        if self._ready_workers is not None and worker_id not in self._ready_workers:
            return SendRefusal.WORKER_NOT_READY
        return None

    def refuse_attempt(
        self,
        now_ms: float,
        attempt: Attempt,
        settings: RouterSettings,
        *,
        is_client_known: bool = True,
    ) -> SendRefusal | None:
        """Return the rule that forbids an attempt, or None if the attempt is permitted.

        If several rules apply, the first is returned.

        Args:
            now_ms: Current time on the dispatcher's clock.
            attempt: The attempt.
            settings: The settings in force.
            is_client_known: The result of ``Call.refresh_client_state``, which must be called before.
        """
        call = attempt.call
        if attempt.is_ended:
            return SendRefusal.ATTEMPT_ENDED
        if call.is_complete:
            return SendRefusal.CALL_COMPLETE
        if call.is_client_half_closed:
            return SendRefusal.CLIENT_DISCONNECTED
        if not is_client_known:
            return SendRefusal.CLIENT_INPUT_UNREAD
        if now_ms >= call.deadline_ms:
            return SendRefusal.DEADLINE_PASSED
        if now_ms > attempt.write_deadline_ms:
            return SendRefusal.RETRY_WINDOW_PASSED
        if attempt.index > 0:  # a retry
            refusal = _refuse_retry(attempt, settings)
            if refusal is not None:
                return refusal
        return self.refuse_worker(attempt.worker_id)


def _refuse_retry(attempt: Attempt, settings: RouterSettings) -> SendRefusal | None:
    """Return the rule that forbids a retry, or None if the retry is permitted."""
    call = attempt.call
    if attempt.index >= settings.limits.max_attempts:
        return SendRefusal.TOO_MANY_ATTEMPTS
    earlier = [other for other in call.attempts if other is not attempt]
    if any(not other.is_ended for other in earlier):
        return SendRefusal.ATTEMPT_IN_FLIGHT
    is_repeatable = settings.classes[call.class_index].idempotency is not Idempotency.NOT_IDEMPOTENT
    if not is_repeatable and any(other.may_have_executed() for other in earlier):
        return SendRefusal.MAY_HAVE_EXECUTED
    return None
