"""An in-memory worker, which reports the requests that it receives to the invariant checker.

The checker identifies a call by the call's body, because the router passes the body to the worker unchanged
but assigns its own call ID.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop
    from cedarthread.testing.invariants import AttemptRecord, InvariantChecker

NOT_EXECUTED_RESPONSES = ("NONE", "SHED", "LATE")


@dataclass(eq=False, slots=True)
class UnansweredRequest:
    """A call or a preload request that a worker has received and not answered."""

    message_id: str
    call_key: str
    connection: MemoryWorkerConnection
    attempt: AttemptRecord | None = None  # record of the attempt; None for a preload request
    function: str = ""


class MemoryWorkerConnection:
    """The worker's end of one connection, with the requests that are unanswered on it.

    Args:
        worker: The worker that the connection leads to.
    """

    def __init__(self, worker: MemoryWorker) -> None:
        self.worker = worker
        self.transport = MemoryTransport(worker.loop, self.on_bytes, self.on_close)
        self.buffer = b""
        self.line_start_byte = 0  # offset in bytes from the start of the stream to the incomplete line
        self.first_byte_at_ms = 0.0  # time at which the first byte of the incomplete line arrived
        self.unanswered_requests: list[UnansweredRequest] = []
        self.is_open = True

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
                self.worker.checker.on_attempt_ended(request.attempt, may_have_executed=True)
        self.unanswered_requests.clear()
        self.worker.connections.remove(self)


class MemoryWorker:
    """A worker that answers a request only when a step of the script makes it.

    Args:
        number: The worker's number, which is also its port.
        loop: The virtual loop.
        checker: The checker that records the attempts and preloads.
        called_functions: The functions that clients have called; the worker must receive no other.
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
        self.window_bytes: int | None = None  # bytes that the worker reads from a new connection; None: all
        self.started_at_ms = 0.0
        self.connections: list[MemoryWorkerConnection] = []

    def connect(self) -> MemoryTransport:
        """Return the router's end of a new connection.

        Raises:
            ConnectionRefusedError: The worker refuses connections.
        """
        if self.refuses_connections:
            raise ConnectionRefusedError(111, "refused")
        if self.hangs_connections:
            transport = MemoryTransport(self.loop)
            transport.never_connects = True
            return transport
        connection = MemoryWorkerConnection(self)
        connection.transport.peer_window_bytes = self.window_bytes
        self.connections.append(connection)
        return connection.transport

    def on_line(
        self,
        connection: MemoryWorkerConnection,
        message: dict[str, Any],
        first_byte_at_ms: float,
        handed_over_at_ms: float,
    ) -> None:
        """Process a complete line from the router.

        Args:
            connection: The connection that the line arrived on.
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
                raise Finding(f"function {message['fields']['thing']} was not called by any client")
            if any(request.message_id == message_id for request in connection.unanswered_requests):
                raise Finding(f"two calls with id {message_id} are pending on one connection")
            attempt = self.checker.on_attempt_started(
                now_ms, key, self.number, first_byte_at_ms, handed_over_at_ms
            )
            connection.unanswered_requests.append(
                UnansweredRequest(message_id, key, connection, attempt, message["fields"]["thing"])
            )
        elif op == "CANCEL":
            for request in list(connection.unanswered_requests):
                if request.message_id == message_id and request.attempt is not None:
                    connection.unanswered_requests.remove(request)
                    self.checker.on_attempt_ended(request.attempt, may_have_executed=True)
        elif op == "LOAD":
            self.checker.on_preload(now_ms, self.number, message["fields"]["pods"], first_byte_at_ms)
            connection.unanswered_requests.append(
                UnansweredRequest(message_id, "", connection, None, message["fields"]["thing"])
            )
        elif op not in ("UNLOAD", "PING"):
            raise Finding(f"worker received the unknown op {op}")

    def unanswered_requests(self) -> list[UnansweredRequest]:
        """Return the unanswered requests, oldest first on each connection."""
        return [request for connection in self.connections for request in connection.unanswered_requests]

    def answer(
        self, request: UnansweredRequest, op: str, fields: dict[str, Any], *, twice: bool = False
    ) -> None:
        """Send the answer to a call or a preload request as one line, or as the same line twice."""
        message: dict[str, Any] = {"op": op, "id": request.message_id, "fields": fields}
        if op == "HIT" and request.attempt is not None:
            body = f"{request.call_key}@{self.number}".encode()
            self.checker.on_body_produced(request.call_key, body)
            message["body"] = base64.b64encode(body).decode()
        request.connection.unanswered_requests.remove(request)
        if request.attempt is not None:
            may_have_executed = op not in NOT_EXECUTED_RESPONSES
            self.checker.on_attempt_ended(request.attempt, may_have_executed=may_have_executed)
        request.connection.transport.peer_send(json.dumps(message).encode() + b"\n")
        if twice:
            request.connection.transport.peer_send(json.dumps(message).encode() + b"\n")

    def reset_connections(self) -> None:
        """Reset all connections of the worker."""
        for connection in list(self.connections):
            connection.transport.peer_reset()

    def restart(self) -> None:
        """Restart the worker: reset its connections and accept new ones."""
        self.started_at_ms = self.loop.unix_ms()
        self.reset_connections()
        self.refuses_connections = False
        self.hangs_connections = False

    def resume_reading(self) -> None:
        """Read without a limit on open and new connections."""
        self.window_bytes = None
        for connection in list(self.connections):
            connection.transport.peer_accept(None)
