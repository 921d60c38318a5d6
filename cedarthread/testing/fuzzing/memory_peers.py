"""The peers of a router in memory: platform clients and workers.

Each peer reports the messages that it receives to the invariant checker. The checker identifies a call by the
call's body, because the router passes the body to the worker unchanged but assigns its own call ID.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

from cedarthread.testing.fakes.client import answer_kind
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop

if TYPE_CHECKING:
    from cedarthread.testing.invariants import AttemptRecord, CallGuarantees, InvariantChecker

NOT_EXECUTED_RESPONSES = ("NONE", "SHED", "LATE")


@dataclass(eq=False, slots=True)
class UnansweredRequest:
    """A call or a preload request that a worker has received and not answered."""

    message_id: str
    call_key: str
    link: WorkerLink
    attempt: AttemptRecord | None = None  # None for a preload request
    function: str = ""


class WorkerLink:
    """The worker's end of one connection, with the requests that are unanswered on it."""

    def __init__(self, worker: MemoryWorker, transport: MemoryTransport) -> None:
        self.worker = worker
        self.transport = transport
        self.buffer = b""
        self.line_start_byte = 0  # position of the incomplete line in the stream
        self.first_byte_at_ms = 0.0  # when the first byte of the incomplete line arrived
        self.unanswered_requests: list[UnansweredRequest] = []
        self.is_open = True
        transport.on_bytes = self.on_bytes
        transport.on_close = self.on_close

    def on_bytes(self, data: bytes) -> None:
        """Receive bytes from the router and process the complete lines."""
        now_ms = self.worker.loop.unix_ms()
        if not self.buffer:
            self.first_byte_at_ms = now_ms
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            handed_over_at_ms = max(
                write.at_ms for write in self.transport.writes if write.first_byte <= self.line_start_byte
            )
            self.line_start_byte += len(line) + 1
            self.worker.on_line(self, json.loads(line), self.first_byte_at_ms, handed_over_at_ms)
            self.first_byte_at_ms = now_ms

    def on_close(self) -> None:
        """Cancel the unanswered requests, because either end has closed the connection."""
        self.is_open = False
        for request in self.unanswered_requests:
            if request.attempt is not None:
                self.worker.checker.on_attempt_ended(request.attempt, True)
        self.unanswered_requests.clear()
        self.worker.links.remove(self)


class MemoryWorker:
    """A worker that answers a request only when a step of the script says so.

    Args:
        number: The worker's number, which is also its port.
        loop: The virtual loop.
        checker: The checker that records the attempts and preloads.
        called_functions: The functions that clients have called; the worker must be sent no other.
    """

    def __init__(
        self, number: int, loop: VirtualLoop, checker: InvariantChecker, called_functions: set[str]
    ) -> None:
        self.number = number
        self.loop = loop
        self.checker = checker
        self.called_functions = called_functions
        self.name = f"s-{number:08x}"
        self.refuses_connections = False
        self.hangs_connections = False
        self.window_bytes: int | None = None  # bytes that it reads from a new connection; None for all
        self.started_at_ms = 0.0
        self.links: list[WorkerLink] = []

    def connect(self) -> MemoryTransport:
        """Return the router's end of a new connection.

        Raises:
            ConnectionRefusedError: The worker refuses connections.
        """
        if self.refuses_connections:
            raise ConnectionRefusedError(111, "refused")
        transport = MemoryTransport(self.loop)
        if self.hangs_connections:
            transport.never_connects = True
            return transport
        transport.peer_window_bytes = self.window_bytes
        self.links.append(WorkerLink(self, transport))
        return transport

    def on_line(
        self, link: WorkerLink, message: dict[str, Any], first_byte_at_ms: float, handed_over_at_ms: float
    ) -> None:
        """Process a complete line from the router.

        Args:
            link: The connection that the line arrived on.
            message: The decoded line.
            first_byte_at_ms: When the first byte of the line arrived.
            handed_over_at_ms: When the router wrote the start of the line to its transport.
        """
        now_ms = self.loop.unix_ms()
        op = message["op"]
        message_id = message["id"]
        if op == "CALL":
            key = base64.b64decode(message["body"]).decode()
            if message["fields"]["thing"] not in self.called_functions:
                raise Finding(f"function {message['fields']['thing']} was never asked for")
            if any(request.message_id == message_id for request in link.unanswered_requests):
                raise Finding(f"two calls named {message_id} are open on one connection")
            attempt = self.checker.on_attempt_started(
                now_ms, key, self.number, first_byte_at_ms, handed_over_at_ms
            )
            link.unanswered_requests.append(
                UnansweredRequest(message_id, key, link, attempt, message["fields"]["thing"])
            )
        elif op == "CANCEL":
            for request in list(link.unanswered_requests):
                if request.message_id == message_id and request.attempt is not None:
                    link.unanswered_requests.remove(request)
                    self.checker.on_attempt_ended(request.attempt, True)
        elif op == "LOAD":
            self.checker.on_preload(now_ms, self.number, message["fields"]["pods"], first_byte_at_ms)
            link.unanswered_requests.append(
                UnansweredRequest(message_id, "", link, None, message["fields"]["thing"])
            )
        elif op not in ("UNLOAD", "PING"):
            raise Finding(f"a worker was sent {op}")

    def unanswered_requests(self) -> list[UnansweredRequest]:
        """Return the unanswered requests, oldest first on each connection."""
        return [request for link in self.links for request in link.unanswered_requests]

    def answer(
        self, request: UnansweredRequest, op: str, fields: dict[str, Any], *, twice: bool = False
    ) -> None:
        """Send the answer to a call or a preload request as one line, or as the same line twice."""
        message: dict[str, Any] = {"op": op, "id": request.message_id, "fields": fields}
        if op == "HIT" and request.attempt is not None:
            body = f"{request.call_key}@{self.number}".encode()
            self.checker.on_body_produced(request.call_key, body)
            message["body"] = base64.b64encode(body).decode()
        request.link.unanswered_requests.remove(request)
        if request.attempt is not None:
            self.checker.on_attempt_ended(request.attempt, op not in NOT_EXECUTED_RESPONSES)
        request.link.transport.peer_send(json.dumps(message).encode() + b"\n")
        if twice:
            request.link.transport.peer_send(json.dumps(message).encode() + b"\n")

    def reset_connections(self) -> None:
        """Reset all connections of the worker."""
        for link in list(self.links):
            link.transport.peer_reset()

    def restart(self) -> None:
        """Restart the worker: reset its connections and accept new ones."""
        self.started_at_ms = self.loop.unix_ms()
        self.reset_connections()
        self.refuses_connections = False
        self.hangs_connections = False

    def resume_reading(self) -> None:
        """Read everything again on present and new connections."""
        self.window_bytes = None
        for link in list(self.links):
            link.transport.peer_accept(None)


class MemoryClient:
    """A platform client on one connection.

    Args:
        loop: The virtual loop.
        checker: The checker that records the calls and answers.
        protocol: The router's protocol for the connection.
    """

    def __init__(self, loop: VirtualLoop, checker: InvariantChecker, protocol: Any) -> None:
        self.loop = loop
        self.checker = checker
        self.transport = MemoryTransport(loop)
        self.transport.on_bytes = self.on_bytes
        self.transport.on_close = self.on_close
        self.pending_calls: dict[int, str] = {}  # the calls' keys by their number on the connection
        self.last_number = 0
        self.is_open = True
        self.is_reading_paused = False
        self.is_write_closed = False  # whether the client has closed its end or sent a malformed request
        self._unpacker = msgpack.Unpacker(raw=False, strict_map_key=True)
        self.transport.connect(protocol)

    def on_close(self) -> None:
        """Abandon the pending calls if the client has paused reading, because it may lose answers.

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
            fields: Further fields of the message.
        """
        self.last_number += 1
        now_ms = self.loop.unix_ms()
        self.pending_calls[self.last_number] = key
        self.checker.on_call_submitted(now_ms, key, guarantees, now_ms + timeout_ms)
        if (
            self.is_reading_paused or not self.is_open
        ):  # the router closes a connection beyond its limit at once
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
                raise Finding(f"a client was sent {message!r}")
            _, number, error, result = message
            key = self.pending_calls.get(number)
            if error is not None and error[0] == "BadRequest":
                raise Finding(f"a good request was answered {error!r}")
            if key is None:
                raise Finding(f"an answer under the number {number}, which is not in use")
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
        """Close the client's end of the connection and continue to read.

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
