"""The model of a runner behind a socket: JSON lines, as the platform's protocol has them."""

from __future__ import annotations

import asyncio
import base64
import json
import math
from collections.abc import Callable
from typing import Any, cast

from cedarthread.testing.fakes.worker_model import WorkerCall, WorkerModel

Deliver = Callable[[str, bool, Callable[[], None]], None]  # a call's name, to the runner?, what is done then
OnWorkerCall = Callable[[WorkerCall], None]
OnCallId = Callable[[str, int], None]


class _Connection(asyncio.Protocol):
    """One router's connection."""

    def __init__(self, server: FakeWorkerServer) -> None:
        self.server, self.buffer = server, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.accepted_at_ms.append(self.server.clock())

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.server.on_line(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connection_lost(self)


class FakeWorkerServer:
    """Serves one runner. ``passes`` is the network; ``handed`` tells of each call that a router let go of,
    which the network may still hold, ``came`` and ``went`` of each visit."""

    def __init__(
        self,
        model: WorkerModel,
        clock: Callable[[], float],
        passes: Deliver,
        handed: OnCallId,
        came: OnWorkerCall,
        went: OnWorkerCall,
        gave_up: OnCallId,
    ) -> None:
        self.model, self.clock, self.deliver = model, clock, passes
        self.on_sent, self.on_arrived, self.on_ended, self.on_cancelled = handed, came, went, gave_up
        self.port = 0
        self.is_silent = False
        self._server: asyncio.Server | None = None
        self._connection_by_call: dict[str, _Connection] = {}  # by call
        self.connections: set[_Connection] = set()
        self.accepted_at_ms: list[float] = []  # when connections came
        self.timer_lags_ms: list[float] = []  # ms by which it looked late at what was due
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen; at a return, where it listened before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", self.port, backlog=1024, reuse_port=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def connection_lost(self, connection: _Connection) -> None:
        """A router closed it: it waits for nothing there any more."""
        self.connections.discard(connection)
        for name in [name for name, at in self._connection_by_call.items() if at is connection]:
            self.on_cancelled(name, self.model.number)

    def on_line(self, connection: _Connection, line: bytes) -> None:
        """A whole line came."""
        message = json.loads(line)
        if message["op"] == "CANCEL":
            self.on_cancelled(message["id"], self.model.number)
        elif message["op"] == "CALL" and not self.is_silent:
            self._connection_by_call[message["id"]] = connection
            self.on_sent(message["id"], self.model.number)
            self.deliver(message["id"], True, lambda: self._on_call(message, connection))

    def _on_call(self, message: dict[str, Any], connection: _Connection) -> None:
        if connection not in self.connections:
            return
        now, body = self.clock(), base64.b64decode(message["body"])
        self._answer_all(self.model.advance(now))
        visit = WorkerCall(
            message["id"], self.model.number, int(message["fields"]["thing"], 16), now, float(body)
        )
        self.on_arrived(visit)
        if not self.model.on_call(now, visit):
            self._answer_all([visit])
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (due := self.model.next_event_at_ms()) < math.inf:
            wait = max(0.0, due - self.clock()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.timer_lags_ms.append(self.clock() - self.model.next_event_at_ms())
        self._answer_all(self.model.advance(self.clock()))
        self._set_timer()

    def _answer_all(self, visits: list[WorkerCall]) -> None:
        for visit in visits:
            connection = self._connection_by_call.pop(visit.call_id, None)
            self.on_ended(visit)
            if connection is not None and not self.is_silent:
                answer = _answer(visit, self.model.in_flight)
                self.deliver(visit.call_id, False, lambda w=connection, a=answer: self._write(w, a))  # type: ignore[misc]

    def _write(self, connection: _Connection, answer: bytes) -> None:
        if connection in self.connections:
            connection.transport.write(answer)

    def crash(self) -> None:
        """End at once: connections break, all that it held is lost."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.connections.clear()
        for visit in self.model.crash(self.clock()):
            visit.remark = "lost"
            self._connection_by_call.pop(visit.call_id, None)
            self.on_ended(visit)
        self._set_timer()


def _answer(visit: WorkerCall, held: int) -> bytes:
    op = {"shed": "SHED", "spawn_failed": "FAULT"}.get(visit.remark, "HIT")
    fields = {"remark": visit.remark, "report": f"inflight:{held};x1:0"}
    body = base64.b64encode(response_body(visit.call_id)).decode() if op == "HIT" else ""
    return json.dumps({"op": op, "id": visit.call_id, "fields": fields, "body": body}).encode() + b"\n"


def response_body(name: str) -> bytes:
    """The body that a runner makes for a call."""
    return b"made for " + name.encode()
