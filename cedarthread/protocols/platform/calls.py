"""The open calls of one platform connection: requests become calls, results become responses."""

from __future__ import annotations

import weakref
from functools import partial
from typing import TYPE_CHECKING, Any

from cedarthread.dispatch.calls import Call, CallResult
from cedarthread.protocols.platform.codec import encode_answer, encode_bad_request, encode_health, parse_call

if TYPE_CHECKING:
    from cedarthread.protocols.platform.connection import PlatformConnection

CALL_PARAMETERS = 2  # fields and body
MAX_OPEN_CALLS = 32  # of one connection; further ones are rejected


def _is_message_id(value: int) -> bool:
    return 0 <= value < 2**64 and not isinstance(value, bool)


class PlatformCalls:
    """Acts on the messages of one connection, and writes one response for each request."""

    def __init__(self, connection: PlatformConnection) -> None:
        # The connection owns this object. A strong reference back would make each closed connection, with its
        # buffer, wait for the garbage collector: 26 MB on a long day with little traffic.
        self.connection: PlatformConnection = weakref.proxy(connection)
        self.server = connection.server
        self.open: dict[int, Call] = {}  # by message id

    def handle_message(self, message: Any) -> bool:
        """Act on one message; False if it is invalid and names no request that could be answered."""
        match message:
            case [0, int(message_id), str(method), list(params)] if _is_message_id(message_id):
                return self._handle_request(message_id, method, params)
            case [2, "interrupt", [int(message_id)]] if _is_message_id(message_id):
                if (call := self.open.pop(message_id, None)) is not None:
                    self.server.dispatcher.abandon_call(call)
                return True
            case [2, str(), list()]:
                return True  # a notification of another kind asks for no response
        return False

    def _handle_request(self, message_id: int, method: str, params: list[Any]) -> bool:
        if message_id in self.open:
            return False  # an error under this id would pass for the open call's response
        # A class may bear the name of the health check: a call has a body, a health check has none.
        if method == "check" and len(params) < CALL_PARAMETERS:
            self.connection.write(encode_health(message_id, self.server.is_ready))
            return True
        dispatcher = self.server.dispatcher
        class_index = dispatcher.current_class_index.get(method)
        if class_index is None or len(params) != CALL_PARAMETERS:
            self.connection.write(encode_bad_request(message_id, "no such method"))
            return True
        call = parse_call(class_index, dispatcher.settings, params[0], params[1], dispatcher.arrival_ms())
        if isinstance(call, Call) and call.call_id in dispatcher.calls.pending_ids:
            call = "a call of this txn is open"  # a worker could not tell the two apart
        if isinstance(call, str):
            self.connection.write(encode_bad_request(message_id, call))
        else:
            self._submit(message_id, call)
        return True

    def _submit(self, message_id: int, call: Call) -> None:
        dispatcher = self.server.dispatcher
        call.on_result = partial(self._send_answer, message_id)
        # The first bound protects memory from clients that read slowly, the second others from a flood.
        if self.server.queued_bytes > self.server.max_queued_bytes or len(self.open) >= MAX_OPEN_CALLS:
            dispatcher.reject_call(call)
            return
        self.open[message_id] = call
        call.refresh_client_state = self.connection.refresh_client_state
        dispatcher.submit(call)
        if self.connection.is_half_closed:
            dispatcher.client_closing(call)

    def _send_answer(self, message_id: int, result: CallResult) -> None:
        self.open.pop(message_id, None)
        if not self.connection.is_closed:
            self.connection.write(encode_answer(message_id, result))

    def on_client_closing(self) -> None:
        """The client sends no more: attempts in flight may be answered, calls without one are rejected."""
        for call in list(self.open.values()):
            self.server.dispatcher.client_closing(call)

    def fail_all(self) -> None:
        """Fail the open calls: each gets its one response now."""
        for call in list(self.open.values()):
            self.server.dispatcher.fail_call(call)

    def abandon_all(self) -> None:
        """Abandon the open calls: nobody is there for their results."""
        calls, self.open = self.open, {}
        for call in calls.values():
            self.server.dispatcher.abandon_call(call)
