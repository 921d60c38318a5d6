"""The fuzz target of a complete connection of a platform client."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import msgpack as reference

from cedarthread.protocols.platform.connection import MAX_MESSAGE_BYTES, PlatformConnection
from cedarthread.protocols.platform.server import PlatformServer
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.fuzzing.msgpack_target import generate_value
from cedarthread.testing.fuzzing.mutation import EDGE_STRINGS, mutate_bytes
from cedarthread.testing.fuzzing.stream_target import StreamTarget, dispatcher_with_echo, feed

if TYPE_CHECKING:
    import random

    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop

FUNCTION = "00000000000000a1"


def generate_message(rng: random.Random, number: int) -> object:
    """Return a message of the platform's protocol, valid or nearly valid."""
    class_name = rng.choice(("check", "revise", "confirm", "none"))
    fields = {"txn": f"{number:016x}", "limit": "2000", "item": FUNCTION, "unique": f"u{number}"}
    if rng.random() < 0.5:
        name = rng.choice(("txn", "limit", "item", "props", "props", "second", "unique", "extra"))
        properties = (
            "memory_mb:512;lanes:2",
            "lanes:nan",
            "lanes:1e309",
            "lanes:-0",
            "lanes:1;lanes:2",
            "lanes:5e-324",
        )
        fields[name] = rng.choice(properties if name == "props" else EDGE_STRINGS)[:60]
        if rng.random() < 0.3:
            del fields[name]
    body: Any = rng.choice((b"", b"body", rng.randbytes(40), "text", b"z" * 17_000))
    match rng.randrange(12):
        case 0:
            return [0, number, "check", [{}]]
        case 1:
            return [2, "interrupt", [rng.randrange(1, number + 1)]]
        case 2:
            return [2, "other", [1]]
        case 3:
            return [0, number, class_name, [fields]]
        case 4:
            return [0, rng.choice((number, 0, -1, 2**64 - 1, True, 1.5)), class_name, [fields, body]]
        case 5:
            return generate_value(rng, 3)
    return [0, number, class_name, [fields, body]]


class PlatformTarget(StreamTarget):
    """A complete connection of a platform client."""

    name = "platform"
    modules = (
        "cedarthread.protocols.platform.calls",
        "cedarthread.protocols.platform.codec",
        "cedarthread.protocols.platform.connection",
        "cedarthread.protocols.platform.server",
        "cedarthread.transport.connection",
        "cedarthread.transport.read_buffer",
    )

    def generate(self, rng: random.Random) -> bytes:
        """Return several messages, possibly truncated."""
        messages = [generate_message(rng, index + 1) for index in range(rng.choice((1, 2, 4, 10, 40)))]
        data = b"".join(self._pack(message) for message in messages)
        return rng.randbytes(1) + (data if rng.random() < 0.8 else data[: rng.randrange(len(data) + 1)])

    def _pack(self, message: object) -> bytes:
        try:
            return bytes(reference.packb(message))
        except (OverflowError, UnicodeEncodeError, ValueError):
            return b"\xc0"

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """Return the stream with a message repeated, changed or removed, or with changed bytes."""
        if rng.random() < 0.5:
            return mutate_bytes(data, rng)
        unpacker = reference.Unpacker(raw=False, strict_map_key=False, read_size=1024, max_buffer_size=2**24)
        unpacker.feed(data)
        ends = [0]
        try:
            while True:
                unpacker.skip()
                ends.append(unpacker.tell())
        except (reference.OutOfData, ValueError):
            pass
        messages = [data[start:end] for start, end in itertools.pairwise(ends)]
        if not messages:
            return mutate_bytes(data, rng)
        chosen = rng.randrange(len(messages))
        position = rng.randrange(len(messages))
        inserted = messages[chosen] if rng.random() < 0.7 else mutate_bytes(messages[chosen], rng)
        messages.insert(position, inserted)
        if rng.random() < 0.4:
            del messages[chosen]
        return b"".join(messages) + data[ends[-1] :]

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> object:
        """Return the numbers of the answered calls, and check that no number has more answers than requests.

        The result is None if the answers depend on the timing of the pieces of the stream, and True if the
        connection is closing.
        """
        dispatcher, flusher = dispatcher_with_echo(loop)
        server = PlatformServer(dispatcher, 8, flusher, 2**20)
        output = bytearray()
        transport = MemoryTransport(loop, output.extend)
        connection = PlatformConnection(server)
        transport.connect(connection)
        await feed(transport, data, seed)
        calls = dispatcher.calls
        has_call = dispatcher.pending_calls or calls.pending_ids or calls.pending_body_bytes != 0
        require(not has_call, "a call, its id or its body bytes remain")
        require(server.queued_bytes == 0, f"{server.queued_bytes} bytes of answers are still queued")
        require(len(connection.buffer._data) <= MAX_MESSAGE_BYTES, "the read buffer exceeds its limit")
        unpacker = reference.Unpacker(raw=False, strict_map_key=True, max_buffer_size=2**24)
        unpacker.feed(bytes(output))
        answer_counts: dict[Any, int] = {}
        for message in unpacker:
            require(
                isinstance(message, list) and len(message) == 4 and message[0] == 1,
                f"invalid answer: {message!r}",
            )
            answer_counts[message[1]] = answer_counts.get(message[1], 0) + 1
        require(unpacker.tell() == len(output), "incomplete data after the last answer")
        request_counts = self._request_counts(data)
        # Whether a call is still pending when it is interrupted or repeated depends on timing.
        depends_on_time = b"interrupt" in data or any(count > 1 for count in request_counts.values())
        for number, count in answer_counts.items():
            requested = request_counts.get(number, 0)
            require(count <= requested, f"{count} answers with number {number}, {requested} requests")
        if depends_on_time:
            return None
        # The answers before a connection closes depend on timing, but whether the connection closes does not.
        return transport.is_closing() or sorted(map(repr, answer_counts))

    def _request_counts(self, data: bytes) -> dict[Any, int]:
        unpacker = reference.Unpacker(
            raw=False, strict_map_key=False, object_pairs_hook=list, max_buffer_size=2**24
        )
        unpacker.feed(data)
        counts: dict[Any, int] = {}
        try:
            for message in unpacker:
                if isinstance(message, list) and len(message) == 4 and isinstance(message[1], int):
                    counts[message[1]] = counts.get(message[1], 0) + 1
        except (ValueError, reference.StackError, UnicodeDecodeError):
            pass
        return counts
