"""A fake worker: serves a worker model on a socket, with the JSON lines of the worker protocol."""

from __future__ import annotations

import asyncio
import base64
import json
import math
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol, cast

from cedarthread.testing.fakes.worker_model import WorkerCall, WorkerModel

if TYPE_CHECKING:
    from collections.abc import Callable

LISTEN_BACKLOG = 1024  # enough for hundreds of routers to connect at the same time


class Deliver(Protocol):
    """A function that simulates the network between the router of a call and the worker."""

    def __call__(self, call_id: str, is_to_worker: bool, callback: Callable[[], None], /) -> None:
        """Call ``callback`` when a message of the call arrives at the worker, or at the router."""


class WorkerObserver(Protocol):
    """An observer of the calls at a worker."""

    def on_call_sent(self, call_id: str, worker: int, time_limit_ms: float) -> None:
        """Observe that a router sent a call with this time limit; the network may still delay the call."""

    def on_call_arrived(self, call: WorkerCall) -> None:
        """Observe that a call arrived at the worker."""

    def on_call_ended(self, call: WorkerCall) -> None:
        """Observe that the worker answered, rejected or lost a call."""

    def on_call_cancelled(self, call_id: str, worker: int) -> None:
        """Observe that the router cancelled a call or closed its connection."""


class _Connection(asyncio.Protocol):
    """The connection of one router."""

    def __init__(self, server: FakeWorkerServer) -> None:
        self.server = server
        self.buffer = b""  # received bytes of an incomplete line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.server.connections.add(self)
        self.server.accepted_at_ms.append(self.server.clock())

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.server.on_line(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connection_lost(self)


class FakeWorkerServer:
    """The server of one worker model; owns the connections of the routers.

    Args:
        model: the worker model that handles the calls.
        clock: returns the time in ms.
        deliver: simulates the network between routers and worker.
        observer: observer of the calls.
    """

    def __init__(
        self, model: WorkerModel, clock: Callable[[], float], deliver: Deliver, observer: WorkerObserver
    ) -> None:
        self.model = model
        self.clock = clock
        self.deliver = deliver
        self.observer = observer
        self.port = 0
        self.is_silent = False  # whether the worker leaves connections open and calls unanswered
        self._server: asyncio.Server | None = None
        self._connection_by_call: dict[str, _Connection] = {}
        self.connections: set[_Connection] = set()
        self.accepted_at_ms: list[float] = []  # times at which connections were accepted
        self.timer_lags_ms: list[float] = []  # lateness of each timer when it fired
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen on a free port, or after a crash on the same port as before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", self.port, backlog=LISTEN_BACKLOG, reuse_port=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def connection_lost(self, connection: _Connection) -> None:
        """Remove a connection; its calls count as cancelled."""
        self.connections.discard(connection)
        cancelled = [call_id for call_id, caller in self._connection_by_call.items() if caller is connection]
        for call_id in cancelled:
            del self._connection_by_call[call_id]
            self.observer.on_call_cancelled(call_id, self.model.number)

    def on_line(self, connection: _Connection, line: bytes) -> None:
        """Process a complete line of a router."""
        message = json.loads(line)
        call_id = message["id"]
        if message["op"] == "CANCEL":
            self.observer.on_call_cancelled(call_id, self.model.number)
        elif message["op"] == "CALL" and not self.is_silent:
            self._connection_by_call[call_id] = connection
            time_limit_ms = float(message["fields"].get("max", 0.0))
            self.observer.on_call_sent(call_id, self.model.number, time_limit_ms)
            self.deliver(call_id, True, partial(self._on_call, message, connection))

    def _on_call(self, message: dict[str, Any], connection: _Connection) -> None:
        if connection not in self.connections:
            return
        now_ms = self.clock()
        service_ms = float(base64.b64decode(message["body"]))
        self._answer_all(self.model.advance(now_ms))
        function = int(message["fields"]["thing"], 16)
        call = WorkerCall(message["id"], self.model.number, function, now_ms, service_ms)
        self.observer.on_call_arrived(call)
        if not self.model.on_call(now_ms, call):
            self._answer_all([call])
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (next_event_at_ms := self.model.next_event_at_ms()) < math.inf:
            delay_s = max(0.0, next_event_at_ms - self.clock()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.timer_lags_ms.append(self.clock() - self.model.next_event_at_ms())
        self._answer_all(self.model.advance(self.clock()))
        self._set_timer()

    def _answer_all(self, calls: list[WorkerCall]) -> None:
        for call in calls:
            connection = self._connection_by_call.pop(call.call_id, None)
            self.observer.on_call_ended(call)
            if connection is not None and not self.is_silent:
                answer = _encode_answer(call, self.model.in_flight)
                self.deliver(call.call_id, False, partial(self._write, connection, answer))

    def _write(self, connection: _Connection, answer: bytes) -> None:
        if connection in self.connections:
            connection.transport.write(answer)

    def reset_connections(self) -> None:
        """Reset all connections; their calls count as cancelled."""
        for connection in list(self.connections):
            connection.transport.abort()
            self.connection_lost(connection)

    def crash(self) -> None:
        """Stop listening, reset all connections and lose all calls."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.connections.clear()
        for call in self.model.crash(self.clock()):
            call.remark = "lost"
            self._connection_by_call.pop(call.call_id, None)
            self.observer.on_call_ended(call)
        self._set_timer()


def _encode_answer(call: WorkerCall, in_flight: int) -> bytes:
    op = {"shed": "SHED", "spawn_failed": "FAULT"}.get(call.remark, "HIT")
    fields = {"remark": call.remark, "report": f"inflight:{in_flight};x1:0"}
    body = base64.b64encode(response_body(call.call_id)).decode() if op == "HIT" else ""
    return json.dumps({"op": op, "id": call.call_id, "fields": fields, "body": body}).encode() + b"\n"


def response_body(call_id: str) -> bytes:
    """Return the body that a worker produces for a call."""
    return b"made for " + call_id.encode()
