"""The fuzz target of a complete connection of the invoke API."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from typing import TYPE_CHECKING

from cedarthread.protocols.invoke.config import InvokeConfig
from cedarthread.protocols.invoke.connection import InvokeConnection
from cedarthread.protocols.invoke.server import InvokeServer
from cedarthread.protocols.invoke.spiffe import Identity
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.http_reply import read_reply
from cedarthread.testing.fuzzing.http_target import EDGE_HEADERS, generate_request
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.stream_target import StreamTarget, dispatcher_with_echo, feed

if TYPE_CHECKING:
    import random

    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop

PAST_RETENTION_S = 400  # waiting time that is longer than any result is stored


class InvokeTarget(StreamTarget):
    """A complete connection of the invoke API, after the caller's identity was verified."""

    name = "invoke"
    modules = (
        "cedarthread.protocols.invoke.calls",
        "cedarthread.protocols.invoke.connection",
        "cedarthread.protocols.invoke.handler",
        "cedarthread.protocols.invoke.requests",
        "cedarthread.protocols.invoke.responses",
        "cedarthread.protocols.invoke.server",
        "cedarthread.protocols.http",
    )

    def generate(self, rng: random.Random) -> bytes:
        """Return several pipelined requests."""
        return rng.randbytes(1) + b"".join(generate_request(rng) for _ in range(rng.choice((1, 2, 5))))

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """Return the stream with an inserted header field or with changed bytes."""
        line_ends = [position for position in range(len(data)) if data.startswith(b"\r\n", position)]
        if line_ends and rng.random() < 0.4:
            position = rng.choice(line_ends)
            return data[:position] + b"\r\n" + rng.choice(EDGE_HEADERS) + data[position:]
        return mutate_bytes(data, rng)

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> object:
        """Return the statuses of the responses in order."""
        dispatcher, flusher = dispatcher_with_echo(loop)
        unused = Path("nowhere")
        allowed = ("spiffe://gaz.example/*",)
        config = InvokeConfig(unused, "", 0, "gaz.example", unused, unused, unused, allowed, 8)
        server = InvokeServer(dispatcher, config, flusher, loop.time)
        connection = InvokeConnection(server)
        connection.peer = Identity("spiffe://gaz.example/a", "gaz.example", math.inf)
        output = bytearray()
        transport = MemoryTransport(loop, output.extend)
        transport.connect(connection)
        await feed(transport, data, seed)
        statuses = []
        rest = bytes(output)
        while (parsed := read_reply(rest)) is not None:
            status = parsed.reply.status
            require(100 <= status < 600, f"invalid status {status}")
            statuses.append(status)
            rest = rest[parsed.end :]
        require(not rest, f"incomplete data after the last response: {rest[:60]!r}")
        require(not dispatcher.pending_calls, "a call is still pending")
        transport.peer_reset()
        await asyncio.sleep(PAST_RETENTION_S)
        server.sweep(loop.time())
        stored = server.calls.deferred_calls
        require(
            stored.reserved_bytes == 0 and len(stored) == 0, "a result is stored beyond its retention period"
        )
        # Whether the server sends 100 Continue depends on how the stream is split.
        return [status for status in statuses if status != 100]
