"""An in-memory platform client, which reports calls and answers to the invariant checker.

The checker identifies a call by the call's body, because the router passes the body to the worker unchanged
but assigns its own call ID.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from cedarthread.testing.fakes.client import answer_kind
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport

if TYPE_CHECKING:
    import asyncio

    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop
    from cedarthread.testing.invariants import CallGuarantees, InvariantChecker


class MemoryClient:
    """A platform client on one connection.

    Args:
        loop: The virtual loop.
        checker: The checker that records the calls and answers.
        protocol: The router's protocol for the connection.
    """

    def __init__(
        self, loop: VirtualLoop, checker: InvariantChecker, protocol: asyncio.BufferedProtocol
    ) -> None:
        self.loop = loop
        self.checker = checker
        self.transport = MemoryTransport(loop, self.on_bytes, self.on_close)
        self.pending_calls: dict[int, str] = {}  # call keys by the call's number on the connection
        self.last_number = 0
        self.is_open = True
        self.is_reading_paused = False
        self.is_write_closed = False  # whether the client half-closed or sent a malformed request
        self._unpacker = msgpack.Unpacker(raw=False, strict_map_key=True)
        self.transport.connect(protocol)

    def on_close(self) -> None:
        """Abandon the pending calls if the client has paused reading, because answers may be lost.

        Either end may have closed the connection.
        """
        self.is_open = False
        if self.is_reading_paused:
            for key in self.pending_calls.values():
                self.checker.on_call_abandoned(self.loop.unix_ms(), key)

    def encode_call(
        self,
        key: str,
        class_name: str,
        function: str,
        timeout_ms: int,
        guarantees: CallGuarantees,
        **fields: str,
    ) -> bytes:
        """Record a call with the checker and return its message.

        Args:
            key: The call's key, which is also its body.
            class_name: The name of the request class.
            function: The function to call.
            timeout_ms: The client's timeout.
            guarantees: The guarantees of the request class, which the checker enforces.
            fields: Further fields of the message, which may replace the usual ones.
        """
        self.last_number += 1
        now_ms = self.loop.unix_ms()
        self.pending_calls[self.last_number] = key
        self.checker.on_call_submitted(now_ms, key, guarantees, now_ms + timeout_ms)
        # The router immediately closes a connection beyond its connection limit.
        if self.is_reading_paused or not self.is_open:
            self.checker.on_call_abandoned(now_ms, key)
        all_fields = {"txn": f"{int(key[1:]):016x}", "limit": str(timeout_ms), "item": function} | fields
        return bytes(msgpack.packb([0, self.last_number, class_name, [all_fields, key.encode()]]))

    def encode_interrupt(self, number: int) -> bytes:
        """Record that the client interrupts a call, and return the interrupt message."""
        self.checker.on_call_abandoned(self.loop.unix_ms(), self.pending_calls[number])
        self.checker.on_client_disconnected(self.loop.unix_ms(), self.pending_calls[number])
        return bytes(msgpack.packb([2, "interrupt", [number]]))

    def on_bytes(self, data: bytes) -> None:
        """Receive answers and report them to the checker."""
        self._unpacker.feed(data)
        for message in self._unpacker:
            if not isinstance(message, list) or len(message) != 4 or message[0] != 1:
                raise Finding(f"client received an invalid message: {message!r}")
            _, number, error, result = message
            key = self.pending_calls.get(number)
            if error is not None and error[0] == "BadRequest":
                raise Finding(f"valid request was rejected: {error!r}")
            if key is None:
                raise Finding(f"answer with number {number}, which no call has")
            self.checker.on_answer(self.loop.unix_ms(), key, answer_kind(error), result[0] if result else b"")

    def can_send(self) -> bool:
        """Return whether the client can send further requests."""
        return self.is_open and not self.is_write_closed and not self.transport.sent_eof

    def pause_reading(self) -> None:
        """Stop reading, and abandon the pending calls."""
        self.is_reading_paused = True
        self.transport.peer_window_bytes = 0
        for key in self.pending_calls.values():
            self.checker.on_call_abandoned(self.loop.unix_ms(), key)

    def stop_writing(self) -> None:
        """Half-close the connection: send no more requests and continue to read.

        The router must answer each pending call, and must not start another attempt for it.
        """
        self.is_write_closed = True
        for key in self.pending_calls.values():
            self.checker.on_client_disconnected(self.loop.unix_ms(), key)
        self.transport.peer_send_eof()

    def disconnect(self) -> None:
        """Abandon the pending calls and reset the connection."""
        for key in self.pending_calls.values():
            self.checker.on_call_abandoned(self.loop.unix_ms(), key)
            self.checker.on_client_disconnected(self.loop.unix_ms(), key)
        self.transport.peer_reset()
