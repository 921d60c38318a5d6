"""The calls of the process, from acceptance until their last attempt has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.dispatch.calls import Call

# Bodies of pending calls, where the service does not say otherwise: a quarter of the 192 MB of memory that
# the platform gives a router by default.
DEFAULT_MAX_BODY_BYTES = 48 * 2**20


class CallTable:
    """Pending calls, and completed ones of which an attempt is in flight or an event not handled yet."""

    def __init__(self, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES) -> None:
        self.pending: dict[int, Call] = {}  # by request id
        self.pending_ids: set[str] = set()  # the clients' ids of the pending calls
        self.pending_body_bytes = 0
        self.max_body_bytes = max_body_bytes
        self.completing: dict[int, Call] = {}  # by request id

    def is_full(self, max_pending_calls: int) -> bool:
        """Is there no room for a further call?"""
        return len(self.pending) >= max_pending_calls or self.pending_body_bytes >= self.max_body_bytes

    def add(self, call: Call) -> None:
        """Add a call as pending."""
        self.pending[call.request_id] = call
        self.pending_ids.add(call.call_id)
        self.pending_body_bytes += len(call.body)

    def find(self, request_id: int) -> Call | None:
        """The call of that id, pending or completing."""
        return self.pending.get(request_id) or self.completing.get(request_id)

    def release(self, call: Call) -> None:
        """Mark a pending call as complete; it stays known until ``forget_completed`` finds no attempt."""
        call.is_complete = True
        self.pending_body_bytes -= len(call.body)
        self.pending_ids.discard(call.call_id)
        del self.pending[call.request_id]
        self.completing[call.request_id] = call

    def forget_completed(self) -> None:
        """Forget completed calls whose attempts have all ended."""
        for call in list(self.completing.values()):
            if all(attempt.is_ended for attempt in call.attempts):
                del self.completing[call.request_id]
                # Call and attempts refer to each other: without this, each call with its body would wait
                # for the garbage collector, which comes once in thousands of calls.
                call.attempts.clear()
