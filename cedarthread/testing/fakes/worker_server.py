"""The model of a runner behind a socket: JSON lines, as the platform's protocol has them."""

from __future__ import annotations

import asyncio
import base64
import json
import math
from collections.abc import Callable
from typing import Any, cast

from cedarthread.testing.fakes.worker_model import Runner, Visit

Passes = Callable[[str, bool, Callable[[], None]], None]  # a call's name, to the runner?, what is done then
Seen = Callable[[Visit], None]
GivenUp = Callable[[str, int], None]


class _Connection(asyncio.Protocol):
    """One router's connection."""

    def __init__(self, server: RunnerServer) -> None:
        self.server, self.held = server, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.accepted.append(self.server.clock())

    def data_received(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            self.server.line(self, line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.lost(self)


class RunnerServer:
    """Serves one runner. ``passes`` is the network; ``handed`` tells of each call that a router let go of,
    which the network may still hold, ``came`` and ``went`` of each visit."""

    def __init__(
        self,
        model: Runner,
        clock: Callable[[], float],
        passes: Passes,
        handed: GivenUp,
        came: Seen,
        went: Seen,
        gave_up: GivenUp,
    ) -> None:
        self.model, self.clock, self.passes = model, clock, passes
        self.handed, self.came, self.went, self.gave_up = handed, came, went, gave_up
        self.port = 0
        self.silent = False
        self._server: asyncio.Server | None = None
        self._connections: dict[str, _Connection] = {}  # by call
        self.connections: set[_Connection] = set()
        self.accepted: list[float] = []  # when connections came
        self.late: list[float] = []  # ms by which it looked late at what was due
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Listen; at a return, where it listened before."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), "127.0.0.1", self.port, backlog=1024, reuse_port=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def lost(self, connection: _Connection) -> None:
        """A router closed it: it waits for nothing there any more."""
        self.connections.discard(connection)
        for name in [name for name, at in self._connections.items() if at is connection]:
            self.gave_up(name, self.model.number)

    def line(self, connection: _Connection, line: bytes) -> None:
        """A whole line came."""
        message = json.loads(line)
        if message["op"] == "CANCEL":
            self.gave_up(message["id"], self.model.number)
        elif message["op"] == "CALL" and not self.silent:
            self._connections[message["id"]] = connection
            self.handed(message["id"], self.model.number)
            self.passes(message["id"], True, lambda: self._call(message, connection))

    def _call(self, message: dict[str, Any], connection: _Connection) -> None:
        if connection not in self.connections:
            return
        now, body = self.clock(), base64.b64decode(message["body"])
        self._ended(self.model.advance(now))
        visit = Visit(message["id"], self.model.number, int(message["fields"]["thing"], 16), now, float(body))
        self.came(visit)
        if not self.model.arrive(now, visit):
            self._ended([visit])
        self._look()

    def _look(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if (due := self.model.due()) < math.inf:
            wait = max(0.0, due - self.clock()) / 1000.0
            self._timer = asyncio.get_running_loop().call_later(wait, self._due)

    def _due(self) -> None:
        self._timer = None
        self.late.append(self.clock() - self.model.due())
        self._ended(self.model.advance(self.clock()))
        self._look()

    def _ended(self, visits: list[Visit]) -> None:
        for visit in visits:
            connection = self._connections.pop(visit.name, None)
            self.went(visit)
            if connection is not None and not self.silent:
                answer = _answer(visit, self.model.held)
                self.passes(visit.name, False, lambda w=connection, a=answer: self._write(w, a))  # type: ignore[misc]

    def _write(self, connection: _Connection, answer: bytes) -> None:
        if connection in self.connections:
            connection.transport.write(answer)

    def die(self) -> None:
        """End at once: connections break, all that it held is lost."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()
        self.connections.clear()
        for visit in self.model.die(self.clock()):
            visit.note = "lost"
            self._connections.pop(visit.name, None)
            self.went(visit)
        self._look()


def _answer(visit: Visit, held: int) -> bytes:
    op = {"shed": "SHED", "spawn_failed": "FAULT"}.get(visit.note, "HIT")
    fields = {"remark": visit.note, "report": f"inflight:{held};x1:0"}
    body = base64.b64encode(made(visit.name)).decode() if op == "HIT" else ""
    return json.dumps({"op": op, "id": visit.name, "fields": fields, "body": body}).encode() + b"\n"


def made(name: str) -> bytes:
    """The body that a runner makes for a call."""
    return b"made for " + name.encode()
