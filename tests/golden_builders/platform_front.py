"""Calls through a complete router on loopback: the responses to the client, and the lines to the worker."""

from __future__ import annotations

import asyncio
import base64
import json
import re
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols import msgpack
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.service import Service
from cedarthread.testing.fakes.client import pack_call, pack_health_check
from tests.golden_builders.local_service import RESPONSE_TIMEOUT_S, local_config, stop_service
from tests.golden_builders.sample import FUNCTION_ID, Sample

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tests.golden_builders.sample import Json

FAILING_BODY = b"lost"
UNANSWERED_BODY = b"hold"
UNANSWERED_CALL = 9
INTERRUPT = b"\x93\x02\xa9interrupt\x91\x09"  # The notification that ends call 9.
REMAINING_TIME = re.compile(rb'"max":[0-9]+')  # Varies from run to run.


class ClientCall(NamedTuple):
    """A call of the client, with its fields in addition to the common ones."""

    name: str
    class_name: str
    body: bytes
    fields: Mapping[str, str]


COMMON_FIELDS = {"limit": "3000", "item": "7f3a9c21e0b4d655"}
CALLS = (
    ClientCall("call", "check", b"body", {}),
    ClientCall("keyed call", "revise", b"", {"unique": "5c0f", "props": "lanes:2;memory_mb:512"}),
    ClientCall("call that fails", "confirm", FAILING_BODY, {}),
    ClientCall("keyed call without key", "revise", b"", {}),
    ClientCall("no such class", "nosuch", b"", {}),
)


class RecordingWorker:
    """A worker that records each line and chooses its response by the line's body."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.ended = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until the router closes it."""
        while line := await reader.readline():
            self.lines.append(line)
            message: dict[str, Json] = json.loads(line)
            response = self._response(message)
            if response is not None:
                writer.write(json.dumps(response | {"id": message["id"]}).encode() + b"\n")
        writer.close()
        self.ended.set()

    async def wait_for_lines(self, count: int) -> None:
        """Wait until the worker has received ``count`` lines."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while len(self.lines) < count:
                await asyncio.sleep(0.005)

    @staticmethod
    def _response(message: Mapping[str, Json]) -> dict[str, Json] | None:
        body = message.get("body")
        if message["op"] == "LOAD":
            return {"op": "HIT", "fields": {"pods": 2}}
        if message["op"] != "CALL" or body == base64.b64encode(UNANSWERED_BODY).decode():
            return None
        if body == base64.b64encode(FAILING_BODY).decode():
            return {"op": "FAULT"}
        return {"op": "HIT", "fields": {"remark": "hit"}, "body": body}


async def build_platform_front() -> list[Sample]:
    """Return the responses to a client's messages, and each line that the worker has received."""
    worker = RecordingWorker()
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    running = Service(local_config(_endpoint_record(server)))
    await running.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
    samples = await _call_responses(reader, writer)
    await _end_unanswered_call(worker, writer)
    running.workers.preload(1, FUNCTION_ID, 2)
    await worker.wait_for_lines(6)
    running.workers.unload(1, FUNCTION_ID)
    await worker.wait_for_lines(7)
    for number, line in enumerate(worker.lines):
        samples.append(Sample(f"runner line {number}", REMAINING_TIME.sub(b'"max":0', line)))
    writer.transport.abort()
    stop_service(running)
    server.close()
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        await worker.ended.wait()
    return samples


def _endpoint_record(server: asyncio.Server) -> EndpointRecord:
    port: int = server.sockets[0].getsockname()[1]
    return EndpointRecord("s-00000001", "127.0.0.1", port, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)


async def _call_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list[Sample]:
    writer.write(pack_health_check())
    samples = [Sample("platform health", await _read_message(reader))]
    for number, call in enumerate(CALLS, 1):
        fields = COMMON_FIELDS | {"txn": f"{number:016x}"} | dict(call.fields)
        writer.write(pack_call(number, call.class_name, call.body, fields))
        samples.append(Sample(f"platform {call.name}", await _read_message(reader)))
    return samples


async def _end_unanswered_call(worker: RecordingWorker, writer: asyncio.StreamWriter) -> None:
    """Send a call that the worker does not answer, and interrupt it once the worker has received it.

    The class of the call forbids a second attempt, and its deadline is far away, so that only the client's
    interrupt ends the call.
    """
    fields = COMMON_FIELDS | {"txn": f"{UNANSWERED_CALL:016x}", "limit": "100000"}
    writer.write(pack_call(UNANSWERED_CALL, "confirm", UNANSWERED_BODY, fields))
    await worker.wait_for_lines(4)
    writer.write(INTERRUPT)
    await worker.wait_for_lines(5)


async def _read_message(reader: asyncio.StreamReader) -> bytes:
    """Return the bytes of the next message to the client."""
    data = b""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while not isinstance(msgpack.parse(memoryview(data)), msgpack.ParsedValue):
            data += await reader.readexactly(1)
    return data
