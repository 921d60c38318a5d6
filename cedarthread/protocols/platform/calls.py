"""The open calls of one platform connection: submits requests as calls and responds with their results."""

from __future__ import annotations

import weakref
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Call, CallResult
from cedarthread.protocols.platform.codec import (
    encode_bad_request,
    encode_call_result,
    encode_health,
    parse_call,
)

if TYPE_CHECKING:
    from cedarthread.protocols.platform.owners import CallConnection

CALL_PARAMETERS = 2  # number of parameters of a call: fields and body
# Maximum number of interrupted calls per connection whose attempts still run. Without CANCEL they run on, so
# that a client which gives up on all its open calls and sends as many again is still served.
MAX_INTERRUPTED_CALLS = 64
MAX_OPEN_CALLS = 32  # maximum number of open calls per connection; further calls are rejected


def _is_message_id(value: int) -> bool:
    return 0 <= value < 2**64 and not isinstance(value, bool)


class PlatformCalls:
    """The open calls of one connection, by message id; writes exactly one response per request."""

    def __init__(self, connection: CallConnection) -> None:
        # The connection owns this object. A strong reference back would keep each closed connection and its
        # buffer until the garbage collector runs: 26 MB were measured on a long day with little traffic.
        self.connection: CallConnection = weakref.proxy(connection)
        self.server = connection.server
        self.open: dict[int, Call] = {}  # open calls by message id
        self.interrupted_calls = 0  # interrupted calls that still have an attempt in flight

    def handle_message(self, message: object) -> bool:
        """Process one message; return False if it is invalid and has no message id for a response."""
        match message:
            case [0, int(message_id), str(method), list(params)] if _is_message_id(message_id):
                return self._handle_request(message_id, method, params)
            case [2, "interrupt", [int(message_id)]] if _is_message_id(message_id):
                if (call := self.open.pop(message_id, None)) is not None:
                    self._interrupt(call)
                return True
            case [2, str(), list()]:
                return True  # other notifications have no response
        return False

    def _handle_request(self, message_id: int, method: str, params: list[object]) -> bool:
        if message_id in self.open:
            return False  # the client would mistake an error with this id for the response to the open call
        # A class may have the same name as the health check. Only a call has a body.
        if method == "check" and len(params) < CALL_PARAMETERS:
            self.connection.write(encode_health(message_id, is_ready=self.server.is_ready))
            return True
        dispatcher = self.server.dispatcher
        class_index = dispatcher.current_class_index.get(method)
        if class_index is None or len(params) != CALL_PARAMETERS:
            self.connection.write(encode_bad_request(message_id, "no such method"))
            return True
        call = parse_call(class_index, dispatcher.settings, params[0], params[1], dispatcher.arrival_ms())
        if isinstance(call, Call) and (reason := dispatcher.refuse_call_id(call)) is not None:
            call = reason
        if isinstance(call, str):
            self.connection.write(encode_bad_request(message_id, call))
        else:
            self._submit(message_id, call)
        return True

    def _interrupt(self, call: Call) -> None:
        """Abandon a call, which counts against the client until its last attempt has ended."""
        self.interrupted_calls += 1
        call.on_removed = self._on_interrupted_call_removed
        self.server.dispatcher.abandon_call(call)

    def _on_interrupted_call_removed(self) -> None:
        self.interrupted_calls -= 1

    def _submit(self, message_id: int, call: Call) -> None:
        dispatcher = self.server.dispatcher
        call.on_result = partial(self._send_call_result, message_id)
        if self._must_reject():
            dispatcher.reject_call(call)
            return
        self.open[message_id] = call
        call.refresh_client_state = self.connection.refresh_client_state
        dispatcher.submit(call)

    def _must_reject(self) -> bool:
        """Return whether further calls are rejected: no attempt of them may start, or a limit is reached."""
        connection = self.connection
        if connection.is_half_closed or connection.is_backlogged:
            return True
        # The first limit bounds memory when clients read slowly; the second protects clients from a flood.
        if self.server.must_read_responses(connection):
            return True
        return len(self.open) >= MAX_OPEN_CALLS or self.interrupted_calls >= MAX_INTERRUPTED_CALLS

    def _send_call_result(self, message_id: int, result: CallResult) -> None:
        self.open.pop(message_id, None)
        if not self.connection.is_closed:
            self.connection.write(encode_call_result(message_id, result))

    def on_client_half_closed(self) -> None:
        """Reject the calls without an attempt in flight, because the client has closed its sending side."""
        for call in list(self.open.values()):
            self.server.dispatcher.client_half_closed(call)

    def fail_all(self) -> None:
        """Fail the open calls, so that each gets a response."""
        for call in list(self.open.values()):
            self.server.dispatcher.fail_call(call)

    def abandon_all(self) -> None:
        """Abandon the open calls, because the client has disconnected."""
        abandoned = self.open
        self.open = {}
        for call in abandoned.values():
            self.server.dispatcher.abandon_call(call)
