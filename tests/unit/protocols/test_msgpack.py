"""MessagePack parsing: messages in fragments, truncated input, garbage, and round trips."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.scripted import pack_call
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.flusher import Flusher

fixed_examples = settings(derandomize=True, deadline=None, max_examples=60)
MAX_BUFFER_BYTES = 64 * 1024
CALL_BODIES = [bytes(range(256)) * number for number in range(1, 40)]
CALLS = [
    pack_call(number, "check", body, props="lanes:2") for number, body in enumerate(CALL_BODIES, start=1)
]


class CallBodyCollector(BufferedConnection):
    """A connection that collects the bodies of the MessagePack calls that it receives."""

    def __init__(self) -> None:
        super().__init__(MAX_BUFFER_BYTES, Flusher())
        self.collected: list[Any] = []
        self.is_rejected = False  # the connection was closed because of its input

    def close(self) -> None:
        self.is_rejected = True

    def on_data(self, data: memoryview) -> int | None:
        offset = 0
        while offset < len(data):
            parsed = msgpack.parse(data, offset)
            if isinstance(parsed, msgpack.Incomplete):
                return offset
            if not isinstance(parsed, msgpack.ParsedValue):
                return None
            self.collected.append(bytes(parsed.value[3][1]))
            offset = parsed.end
        return offset


class LineCollector(CallBodyCollector):
    """A connection that collects the lines that it receives."""

    def on_data(self, data: memoryview) -> int | None:
        offset = 0
        while (end := self.buffer.find(b"\n", offset)) >= 0:
            self.collected.append(bytes(data[offset:end]))
            offset = end + 1
        return offset


def feed(
    collector_class: type[CallBodyCollector], raw: bytes, fragment_sizes: list[int]
) -> CallBodyCollector:
    """Feed ``raw`` to a new collector in fragments of these sizes, and then the rest."""

    async def feed_fragments() -> CallBodyCollector:
        collector = collector_class()
        offset = 0
        for fragment_size in [*fragment_sizes, len(raw)]:
            remaining = fragment_size
            while offset < len(raw) and remaining > 0 and not collector.is_rejected:
                space = collector.get_buffer(-1)
                count = min(remaining, len(space), len(raw) - offset)
                space[:count] = raw[offset : offset + count]
                offset += count
                remaining -= count
                space.release()
                collector.buffer_updated(count)
        return collector

    return asyncio.run(feed_fragments())


@fixed_examples
@given(st.lists(st.integers(1, 30_000), max_size=60))
def test_messages_are_complete_for_every_split_of_the_stream(fragment_sizes: list[int]) -> None:
    assert feed(CallBodyCollector, b"".join(CALLS), fragment_sizes).collected == CALL_BODIES
    lines = [json.dumps({"n": "x" * length}).encode() for length in range(0, 9000, 300)]
    assert feed(LineCollector, b"\n".join(lines) + b"\n", fragment_sizes).collected == lines


@fixed_examples
@given(st.binary(max_size=300), st.integers(0, 200))
def test_garbage_after_the_start_of_a_message_raises_nothing(garbage: bytes, valid_bytes: int) -> None:
    data = CALLS[0][:valid_bytes] + garbage
    parsed = msgpack.parse(memoryview(data))
    assert not isinstance(parsed, msgpack.ParsedValue) or parsed.end <= len(data)


@fixed_examples
@given(st.integers(0, len(CALLS[3]) - 1))
def test_a_truncated_message_is_incomplete_and_never_malformed(received_bytes: int) -> None:
    assert isinstance(msgpack.parse(memoryview(CALLS[3])[:received_bytes]), msgpack.Incomplete)


def test_a_value_that_is_nested_too_deeply_or_too_long_is_malformed() -> None:
    assert isinstance(msgpack.parse(memoryview(b"\x91" * 50)), msgpack.Malformed)
    assert isinstance(msgpack.parse(memoryview(b"\xdd\xff\xff\xff\xff")), msgpack.Malformed)
    assert feed(CallBodyCollector, b"\xc6\x00\xff\xff\xff" + b"x" * 70_000, []).is_rejected


@fixed_examples
@given(st.integers(0, 2**64 - 1), st.binary(max_size=300), st.text(max_size=60))
def test_packed_values_are_parsed_to_the_same_values(number: int, raw: bytes, text: str) -> None:
    packed = b"\x93" + msgpack.pack_uint(number) + msgpack.pack_bin(raw) + msgpack.pack_str(text)
    parsed = msgpack.parse(memoryview(packed))
    assert isinstance(parsed, msgpack.ParsedValue)
    assert parsed.value == [number, raw, text]
