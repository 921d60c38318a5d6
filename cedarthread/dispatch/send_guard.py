"""The guard that permits or refuses each attempt and preload immediately before its first byte is written.

The router selected the worker earlier. Since then the endpoint list may have changed, or the client may have
disconnected, so the guard checks the rules of sending (``SendRefusal``) again. The module does no I/O. Only
``SendGuard`` writes the set of ready workers. The dispatcher passes a refusal of an attempt to the log; the
worker connection then ends the attempt as not sent.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from cedarthread.model.settings import Idempotency, RouterSettings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.dispatch.calls import Attempt


class SendRefusal(StrEnum):
    """The rule that forbids a send. The value is logged at level debug if the send is an attempt."""

    ATTEMPT_ENDED = "attempt_ended"
    CALL_COMPLETE = "call_complete"
    CLIENT_DISCONNECTED = (
        "client_gone"  # the client has closed its writing half; `abandon` covers a full close
    )
    DEADLINE_PASSED = "deadline_passed"  # of the call
    WORKER_NOT_READY = "worker_not_ready"  # in another state, such as draining, or not on the list
    RETRY_WINDOW_PASSED = "retry_window_passed"  # a worker may have dropped the idempotency key by now
    TOO_MANY_ATTEMPTS = "too_many_attempts"
    ATTEMPT_IN_FLIGHT = "attempt_in_flight"  # another attempt of the call
    MAY_HAVE_EXECUTED = "may_have_executed"  # an earlier attempt of a call that is not idempotent


class SendGuard:
    """Guard that owns the set of ready workers and refuses each send that a rule forbids."""

    def __init__(self) -> None:
        self._ready_workers: frozenset[int] | None = None  # None: no endpoint list has arrived yet

    def update_ready_workers(self, worker_ids: Iterable[int]) -> None:
        """Replace the set of ready workers; sends to all other workers are refused."""
        self._ready_workers = frozenset(worker_ids)

    def refuse_worker(self, worker_id: int) -> SendRefusal | None:
        """Return the rule that forbids a send to a worker; None: the send is permitted.

        Before the first endpoint list all workers are permitted, because no drain is known yet.
        """
        if self._ready_workers is not None and worker_id not in self._ready_workers:
            return SendRefusal.WORKER_NOT_READY
        return None

    def refuse_attempt(self, now_ms: float, attempt: Attempt, settings: RouterSettings) -> SendRefusal | None:
        """Return the rule that forbids an attempt; None: the attempt is permitted.

        The first rule that applies is returned. The caller must have called ``Call.refresh_client_state``.
        """
        call = attempt.call
        if attempt.is_ended:
            return SendRefusal.ATTEMPT_ENDED
        if call.is_complete:
            return SendRefusal.CALL_COMPLETE
        if call.is_client_closing:
            return SendRefusal.CLIENT_DISCONNECTED
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
    """Return the rule that forbids a retry; None: the retry is permitted."""
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
