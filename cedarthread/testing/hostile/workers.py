"""A process of workers that answer each call after a fixed time, or fail it, or never answer.

    python -m cedarthread.testing.hostile.workers COUNT SERVICE_MS BEHAVIOR

Standard output gets one line of JSON with the ports, and at the end of standard input one more with the ids
of the calls received that must not be repeated, in order of arrival.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sys
from enum import StrEnum
from typing import cast


class Behavior(StrEnum):
    """How workers answer calls."""

    SERVE = "serve"
    SERVE_LONG = "serve-long"  # with a long body
    FAIL = "fail"
    SILENT = "silent"


UNSAFE_CLASS = "confirm"  # the class whose calls must not be repeated
_LONG_BODY = base64.b64encode(b"x" * 16_000).decode()
_RESPONSE_FIELDS = {"remark": "hit", "report": "inflight:1;x1:0"}


class WorkerLines(asyncio.Protocol):
    """One router's connection to a worker."""

    def __init__(self, service_s: float, behavior: Behavior, received_ids: list[str]) -> None:
        self._service_s = service_s
        self._behavior = behavior
        self._received_ids = received_ids
        self._buffer = b""
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Answer the calls in the complete lines (called by asyncio)."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            message = json.loads(line)
            if message["op"] == "CALL":
                if message["fields"]["profile"] == UNSAFE_CLASS:
                    self._received_ids.append(message["id"])
                self._answer(message["id"])

    def _answer(self, call_id: str) -> None:
        if self._behavior is Behavior.SILENT:
            return
        op = "FAULT" if self._behavior is Behavior.FAIL else "HIT"
        body = _LONG_BODY if self._behavior is Behavior.SERVE_LONG else ""
        response = {"op": op, "id": call_id, "fields": _RESPONSE_FIELDS, "body": body}
        line = json.dumps(response).encode() + b"\n"
        self._loop.call_later(self._service_s, self._write, line)

    def _write(self, line: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(line)


async def serve(count: int, service_ms: float, behavior: Behavior) -> None:
    """Serve until the end of standard input."""
    loop = asyncio.get_running_loop()
    received_ids: list[str] = []
    servers = [
        await loop.create_server(
            lambda: WorkerLines(service_ms / 1000.0, behavior, received_ids), "127.0.0.1", 0, backlog=1024
        )
        for _ in range(count)
    ]
    print(json.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)
    print(json.dumps(received_ids), flush=True)


def main() -> None:
    """Serve as the arguments say."""
    asyncio.run(serve(int(sys.argv[1]), float(sys.argv[2]), Behavior(sys.argv[3])))


if __name__ == "__main__":
    main()
