"""A connection to a worker over a transport whose socket accepts a limited number of bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    from cedarthread.model.events import PreloadEnded
    from cedarthread.model.outcomes import Outcome

FIRST_ID = "a" * 16
SECOND_ID = "b" * 16
THIRD_ID = "c" * 16
ENDPOINT = EndpointRecord("s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
CALL_TIMEOUT_MS = 1000.0


class LimitedTransport:
    """A transport whose socket accepts ``accepted_bytes`` in all; it buffers the rest."""

    def __init__(self, accepted_bytes: int) -> None:
        self.accepted_bytes = accepted_bytes
        self.buffered_bytes = 0
        self.is_aborted = False
        self.written = b""  # all bytes from the connection; some may still be in the buffer

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0, "high must be 0, so that a connection that is not paused has an empty buffer"

    def write(self, data: bytes) -> None:
        self.written += data
        accepted = min(self.accepted_bytes, len(data))
        self.accepted_bytes -= accepted
        self.buffered_bytes += len(data) - accepted

    def get_write_buffer_size(self) -> int:
        return self.buffered_bytes

    def get_extra_info(self, _name: str, default: object = None) -> object:
        return default  # a transport without a socket, as of a pipe

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


class RecordingDispatcher(Dispatcher):
    """A dispatcher that records how attempts and preloads end."""

    def __init__(self) -> None:
        super().__init__(settings_from_object(SETTINGS), 1)
        self.outcomes: dict[str, Outcome] = {}  # the first outcome of each call, by call id
        self.preloads: list[PreloadEnded] = []

    def preload_ended(self, event: PreloadEnded) -> None:
        self.preloads.append(event)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.outcomes.setdefault(attempt.call.call_id, result.outcome)


class WorkerHarness:
    """One worker, with the number 1, and an established connection to it."""

    def __init__(self, accepted_bytes: int) -> None:
        self.dispatcher = RecordingDispatcher()
        self.workers = WorkerConnections(self.dispatcher.settings, self.dispatcher, 10, Flusher())
        self.pool = WorkerConnectionPool(self.workers, ENDPOINT)
        self.workers.pools[1] = self.pool
        self.connection = WorkerConnection(self.pool)
        self.pool.connections.append(self.connection)
        self.transport = LimitedTransport(accepted_bytes)
        self.connection.connection_made(cast("Any", self.transport))

    def send(self, call_id: str) -> Attempt:
        """Start an attempt of a call with a body of 60 bytes."""
        deadline_ms = self.dispatcher.clock() + CALL_TIMEOUT_MS
        call = Call(call_id, 2, 7, deadline_ms, b"x" * 60, lambda result: None)
        attempt = Attempt(call, 0, 1, self.dispatcher.clock())
        self.workers.send(attempt)
        return attempt

    def receive(self, data: bytes) -> None:
        """Deliver bytes to the connection as if the worker had sent them."""
        buffer = self.connection.get_buffer(-1)
        buffer[: len(data)] = data
        buffer.release()
        self.connection.buffer_updated(len(data))

    def flush(self) -> None:
        """Flush the connection; pause its writing if the transport has buffered some of the bytes."""
        self.connection.flush()
        if self.transport.buffered_bytes and not self.connection.is_write_paused:
            self.connection.pause_writing()
