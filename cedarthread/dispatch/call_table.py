"""The calls of the process, from acceptance until their last attempt has ended.

``Dispatcher``, ``CallCompletion`` and ``ActionExecutor`` write this state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.dispatch.calls import Call

# Default limit on the total size of the bodies of pending calls: a quarter of the 192 MB of memory that the
# platform assigns to a router by default.
DEFAULT_MAX_BODY_BYTES = 48 * 2**20


class CallTable:
    """Table of the pending calls and of the completed calls that still have an attempt in flight.

    A completed call also stays in the table until the current batch of events has been processed.

    Args:
        max_body_bytes: The table is full when the bodies of all pending calls reach this total size.
    """

    def __init__(self, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES) -> None:
        self.pending: dict[int, Call] = {}  # pending calls by request id
        self.pending_ids: set[str] = set()  # ``Call.call_id`` of each pending call
        self.pending_body_bytes = 0  # bodies and idempotency keys of the pending calls
        self.max_body_bytes = max_body_bytes
        # Completed calls by request id; removed when their attempts have ended.
        self.completed: dict[int, Call] = {}

    def is_full(self, max_pending_calls: int) -> bool:
        """Return whether new calls must be rejected."""
        return len(self.pending) >= max_pending_calls or self.pending_body_bytes >= self.max_body_bytes

    def add(self, call: Call) -> None:
        """Add a call as pending."""
        self.pending[call.request_id] = call
        self.pending_ids.add(call.call_id)
        self.pending_body_bytes += _held_bytes(call)

    def find(self, request_id: int) -> Call | None:
        """Return the pending or completed call with this id, or None if the table does not contain it."""
        return self.pending.get(request_id) or self.completed.get(request_id)

    def mark_completed(self, call: Call) -> None:
        """Mark a pending call as complete; it stays in the table until ``remove_completed`` removes it."""
        call.is_complete = True
        self.pending_body_bytes -= _held_bytes(call)
        call.body = b""  # no further attempt starts, and lines being written have their own copy
        self.pending_ids.discard(call.call_id)
        del self.pending[call.request_id]
        self.completed[call.request_id] = call

    def remove_completed(self) -> None:
        """Remove completed calls that have no attempt in flight."""
        for call in list(self.completed.values()):
            if all(attempt.is_ended for attempt in call.attempts):
                del self.completed[call.request_id]
                # A call and its attempts form a reference cycle. Break the cycle, because otherwise the call
                # and its body stay in memory until the next garbage collection, thousands of calls later.
                call.attempts.clear()
                call.on_removed()


def _held_bytes(call: Call) -> int:
    """Return the size of what a client chose for a call, beside what each call needs."""
    return len(call.body) + len(call.idempotency_key or "")
