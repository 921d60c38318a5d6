"""A platform client's complete connection."""

from __future__ import annotations

import itertools
import random
from typing import Any

import msgpack as reference

from cedarthread.protocols.platform_connection import MAX_MESSAGE_BYTES, PlatformConnection
from cedarthread.protocols.platform_server import PlatformServer
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.msgpack_target import generate_value
from cedarthread.testing.fuzzing.mutation import EDGE_STRINGS, mutate_bytes
from cedarthread.testing.fuzzing.stream_target import StreamTarget, dispatcher_with_echo, feed
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop

FUNCTION = "00000000000000a1"


def generate_message(rng: random.Random, number: int) -> Any:
    """One message of the platform's protocol, good or odd."""
    klass = rng.choice(("check", "revise", "confirm", "none"))
    fields = {"txn": f"{number:016x}", "limit": "2000", "item": FUNCTION, "unique": f"u{number}"}
    if rng.random() < 0.5:
        name = rng.choice(("txn", "limit", "item", "props", "props", "second", "unique", "extra"))
        figures = (
            "memory_mb:512;lanes:2",
            "lanes:nan",
            "lanes:1e309",
            "lanes:-0",
            "lanes:1;lanes:2",
            "lanes:5e-324",
        )
        fields[name] = rng.choice(figures if name == "props" else EDGE_STRINGS)[:60]
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
            return [0, number, klass, [fields]]
        case 4:
            return [0, rng.choice((number, 0, -1, 2**64 - 1, True, 1.5)), klass, [fields, body]]
        case 5:
            return generate_value(rng, 3)
    return [0, number, klass, [fields, body]]


class PlatformTarget(StreamTarget):
    """A platform client's whole connection."""

    name = "platform"
    modules = (
        "cedarthread.protocols.platform_calls",
        "cedarthread.protocols.platform_codec",
        "cedarthread.protocols.platform_connection",
        "cedarthread.protocols.platform_server",
        "cedarthread.transport.connection",
        "cedarthread.transport.read_buffer",
    )

    def generate(self, rng: random.Random) -> bytes:
        """Some messages in a row, perhaps the last one cut off."""
        messages = [generate_message(rng, n + 1) for n in range(rng.choice((1, 2, 4, 10, 40)))]
        data = b"".join(self._pack(message) for message in messages)
        return rng.randbytes(1) + (data if rng.random() < 0.8 else data[: rng.randrange(len(data) + 1)])

    def _pack(self, message: Any) -> bytes:
        try:
            return bytes(reference.packb(message))
        except (OverflowError, UnicodeEncodeError, ValueError):
            return b"\xc0"

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """Whole messages swapped, doubled or dropped, or bytes."""
        if rng.random() < 0.5:
            return mutate_bytes(data, rng)
        unpacker = reference.Unpacker(raw=False, strict_map_key=False, read_size=1024, max_buffer_size=2**24)
        unpacker.feed(data)
        marks = [0]
        try:
            while True:
                unpacker.skip()
                marks.append(unpacker.tell())
        except (reference.OutOfData, ValueError):
            pass
        parts = [data[a:b] for a, b in itertools.pairwise(marks)]
        if not parts:
            return mutate_bytes(data, rng)
        at = rng.randrange(len(parts))
        parts.insert(
            rng.randrange(len(parts)), parts[at] if rng.random() < 0.7 else mutate_bytes(parts[at], rng)
        )
        if rng.random() < 0.4:
            del parts[at]
        return b"".join(parts) + data[marks[-1] :]

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """Per number, what was answered to it and how often; each number asked gets one answer."""
        planner, flusher, _ = dispatcher_with_echo(loop)
        front = PlatformServer(planner, 8, flusher, 2**20)
        transport, out = MemoryTransport(loop), bytearray()
        transport.on_bytes = out.extend
        connection = PlatformConnection(front)
        transport.connect(connection)
        await feed(transport, data, seed)
        require(
            not planner.pending_calls
            and not planner.calls.pending_ids
            and planner.calls.pending_body_bytes == 0,
            "a call is left",
        )
        require(front.queued_bytes == 0, f"{front.queued_bytes} bytes of answers are left")
        require(len(connection.buffer._data) <= MAX_MESSAGE_BYTES, "the buffer grew past its limit")
        unpacker = reference.Unpacker(raw=False, strict_map_key=True, max_buffer_size=2**24)
        unpacker.feed(bytes(out))
        answers: dict[Any, int] = {}
        for message in unpacker:
            require(isinstance(message, list) and len(message) == 4 and message[0] == 1, f"sent {message!r}")
            answers[message[1]] = answers.get(message[1], 0) + 1
        require(unpacker.tell() == len(out), "bytes after the last answer")
        asked = self._asked(data)
        # Whether an interrupt or a number used twice meets an open call depends on the time between them.
        timing = b"interrupt" in data or any(count > 1 for count in asked.values())
        for number, count in answers.items():
            require(
                count <= asked.get(number, 0),
                f"{count} answers to number {number}, asked {asked.get(number, 0)}",
            )
        # What a broken connection answers with depends on what had been served by then; that it answers, not.
        return None if timing else transport.is_closing() or sorted(map(repr, answers))

    def _asked(self, data: bytes) -> dict[Any, int]:
        unpacker = reference.Unpacker(
            raw=False, strict_map_key=False, object_pairs_hook=list, max_buffer_size=2**24
        )
        unpacker.feed(data)
        asked: dict[Any, int] = {}
        try:
            for message in unpacker:
                if isinstance(message, list) and len(message) == 4 and isinstance(message[1], int):
                    asked[message[1]] = asked.get(message[1], 0) + 1
        except (ValueError, reference.StackError, UnicodeDecodeError):
            pass
        return asked
