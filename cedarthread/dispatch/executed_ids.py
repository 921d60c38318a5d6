"""The ids of calls that may have been executed and must not be executed again.

A client may leave while its call runs, and send a call with the same id on another connection. Each entry is
kept until the client has given up on any call with that id. A full table refuses further calls that would
need an entry, because an entry is never dropped before that time. Times are ms on the dispatcher's clock. The
module does no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from cedarthread.dispatch.calls import Progress
from cedarthread.model.settings import Idempotency

if TYPE_CHECKING:
    from cedarthread.dispatch.calls import Attempt, Call
    from cedarthread.model.settings import RequestClass

DEFAULT_MAX_IDS = 32_768


class SharedIds(Protocol):
    """The ids that the processes of one address tell each other."""

    def add(self, call_id: str, now_ms: float, expires_at_ms: float) -> None:
        """Tell the other processes of an id."""

    def contains(self, call_id: str, now_ms: float) -> bool:
        """Return whether any process has told of this id, and it has not expired."""


class ExecutedIds:
    """The ids of calls of one process whose class does not allow that they are executed twice.

    Args:
        max_ids: The number of ids at which further calls of such classes are refused.
    """

    def __init__(self, max_ids: int = DEFAULT_MAX_IDS) -> None:
        self.max_ids = max_ids
        self.shared: SharedIds | None = None  # None: no other process serves the address
        self._expires_at_ms: dict[str, float] = {}  # in the order in which they were added

    def __len__(self) -> int:
        return len(self._expires_at_ms)

    def on_call_ended(self, now_ms: float, call: Call, request_class: RequestClass) -> None:
        """Keep the id of a completed or abandoned call if the call may have been or may yet be executed."""
        if _must_not_repeat(call, request_class):
            self._drop_expired(now_ms)
            self._expires_at_ms.pop(call.call_id, None)
            self._expires_at_ms[call.call_id] = _expires_at_ms(now_ms, call, request_class)

    def on_client_left(self, now_ms: float, call: Call, request_class: RequestClass) -> None:
        """Tell the other processes of a call that may be executed, because its client may come to them."""
        if self.shared is not None and _must_not_repeat(call, request_class):
            expires_at_ms = _expires_at_ms(now_ms, call, request_class)
            self.shared.add(call.call_id, now_ms, expires_at_ms)

    def contains(self, call_id: str, now_ms: float) -> bool:
        """Return whether a call with this id may have been executed."""
        if self._expires_at_ms.get(call_id, 0.0) > now_ms:
            return True
        return self.shared is not None and self.shared.contains(call_id, now_ms)

    def is_full(self, now_ms: float) -> bool:
        """Return whether no further id can be kept."""
        if len(self._expires_at_ms) < self.max_ids:
            return False
        self._drop_expired(now_ms)
        return len(self._expires_at_ms) >= self.max_ids

    def _drop_expired(self, now_ms: float) -> None:
        while self._expires_at_ms:
            oldest_id = next(iter(self._expires_at_ms))
            if self._expires_at_ms[oldest_id] > now_ms:
                return
            del self._expires_at_ms[oldest_id]


def _expires_at_ms(now_ms: float, call: Call, request_class: RequestClass) -> float:
    return max(now_ms, call.deadline_ms) + request_class.deadline_ms


def _must_not_repeat(call: Call, request_class: RequestClass) -> bool:
    """Return whether the class forbids to execute a call twice, and it may have been or may be executed."""
    is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
    return not is_idempotent and any(map(_may_be_executed, call.attempts))


def _may_be_executed(attempt: Attempt) -> bool:
    """Return whether a worker has executed an attempt or may yet, also if only a part has been written."""
    return attempt.progress >= Progress.PARTLY_WRITTEN and not attempt.is_not_executed
