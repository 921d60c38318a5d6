"""Workers with scripted answers and clients, for a router that runs in the test's own process."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from cedarthread.config import Config
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols import msgpack
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.service import Service
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes import client as fake_client
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from cedarthread.protocols.invoke.config import InvokeConfig

FUNCTION = "7f3a9c21e0b4d655"
TIMEOUT_S = 10  # longest wait for a message, after which the test fails
Behavior = Callable[["ScriptedWorker", dict[str, Any]], dict[str, Any] | None]  # (worker, call) -> answer


def serve_uppercase(_: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
    """Serve the call with its body in upper case, so that the answer differs from the request."""
    body = base64.b64encode(base64.b64decode(message["body"]).upper()).decode()
    return {"op": "HIT", "fields": {"remark": "hit", "report": "inflight:1;x1:0"}, "body": body}


def answer_with(op: str) -> Behavior:
    """Return a behavior that answers each call with this operation."""
    return lambda worker, message: {"op": op, "fields": {}}


class ScriptedWorker:
    """A worker that answers each call with the result of ``behavior``; if that is None, it sends no answer.

    Args:
        behavior: returns the answer to a call, or None.
    """

    def __init__(self, behavior: Behavior = serve_uppercase) -> None:
        self.behavior = behavior
        self.calls: list[dict[str, Any]] = []
        self.cancelled_ids: list[str] = []
        self.message_received = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self) -> None:
        """Listen on loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while (line := await reader.readline()).endswith(b"\n"):  # an incomplete line ends the connection
            message = json.loads(line)
            if message["op"] == "CANCEL":
                self.cancelled_ids.append(message["id"])
            else:
                self.calls.append(message)
                if (answer := self.behavior(self, message)) is not None:
                    self.answer(message, answer, writer)
            self.message_received.set()
        writer.close()

    def answer(
        self, message: dict[str, Any], answer: dict[str, Any], writer: asyncio.StreamWriter | None = None
    ) -> None:
        """Send the answer to a call on the given connection, or on the most recent one."""
        line = json.dumps(answer | {"id": message["id"]}).encode() + b"\n"
        (writer or self.writers[-1]).write(line)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition is true, evaluating it after each message that arrives."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self.message_received.clear()
                await self.message_received.wait()

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def endpoint_record(
    worker: ScriptedWorker, number: int, state: EndpointState = EndpointState.READY
) -> EndpointRecord:
    """Return the record of a worker in an endpoint list."""
    return EndpointRecord(f"s-{number:08x}", "127.0.0.1", worker.port, "room-a", "std", 0, state, 1.0, 0.0)


@asynccontextmanager
async def service(
    *workers: ScriptedWorker, invoke: InvokeConfig | None = None, **changes: Any
) -> AsyncIterator[Service]:
    """Run a complete router in this process with these workers, and with ``changes`` to the settings."""
    for worker in workers:
        await worker.start()
    endpoints = ((1, tuple(endpoint_record(worker, number) for number, worker in enumerate(workers, 1))),)
    settings = settings_from_object(SETTINGS | changes)
    running = Service(
        Config("n0", "127.0.0.1", 0, 7, 1024, 192 * 2**20, None, settings, endpoints, ("127.0.0.1", 0)),
        invoke,
    )
    await running.start()
    try:
        yield running
    finally:
        running.platform.stop_listening()
        running.control.stop_listening()
        if running.invoke is not None:
            running.invoke.stop_listening()
        for pool in running.workers.pools.values():
            for connection in list(pool.connections):
                connection.abort()
        for worker in workers:
            worker.stop()
        await asyncio.sleep(0)


async def ask_control(running: Service, line: bytes) -> list[str]:
    """Send one line to the control address, and return the lines of the reply."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.control_port)
    try:
        writer.write(line)
        async with asyncio.timeout(TIMEOUT_S):
            return (await reader.read()).decode().splitlines()
    finally:
        writer.transport.abort()


def pack_call(number: int, class_name: str, body: bytes = b"", **fields: str) -> bytes:
    """Return a call message with default fields, updated with ``fields``."""
    all_fields = {"txn": f"{number:016x}", "limit": "3000", "item": FUNCTION} | fields
    return fake_client.pack_call(number, class_name, body, all_fields)


class ScriptedClient:
    """A client of the platform's protocol on an open connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.buffer = b""

    async def read(self) -> Any:
        """Return the next message with bytes in place of memory views; None if the connection ended."""
        async with asyncio.timeout(TIMEOUT_S):
            while not isinstance(parsed := msgpack.parse(memoryview(self.buffer)), msgpack.ParsedValue):
                data = await self.reader.read(65536)
                if not data:
                    return None
                self.buffer += data
        self.buffer = self.buffer[parsed.end :]
        return fake_client.replace_memoryviews(parsed.value)

    async def call(self, number: int, class_name: str, body: bytes = b"", **fields: str) -> Any:
        """Send a call, and return the next message."""
        self.writer.write(pack_call(number, class_name, body, **fields))
        return await self.read()


@asynccontextmanager
async def client(running: Service) -> AsyncIterator[ScriptedClient]:
    """Connect a client to a router, and reset the connection when the context ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    try:
        yield ScriptedClient(reader, writer)
    finally:
        writer.transport.abort()
        await asyncio.sleep(0)
