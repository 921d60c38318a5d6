"""Random cuts of valid messages and random garbage against every parser, from fixed seeds."""

from __future__ import annotations

import asyncio
import json
import struct
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.protocols import dns, http, msgpack
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.protocols.worker.codec import parse_call_response
from cedarthread.testing.fakes.scripted import pack_call
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.flusher import Flusher
from cedarthread.transport.read_buffer import ReadBuffer
from tests.unit.protocols.dns_replies import NAME_ERROR_FLAGS, TRUNCATED_FLAGS, discovery_reply

fixed = settings(derandomize=True, deadline=None, max_examples=60)
CALLS = [pack_call(n, "check", bytes(range(256)) * n, props="lanes:2") for n in range(1, 40)]
POST = b"POST /v1/functions/7f3a9c21e0b4d655/check HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"


class MessageCollector(BufferedConnection):
    """Takes MessagePack values or lines out of a stream."""

    def __init__(self, lines: bool, max_buffer_bytes: int) -> None:
        super().__init__(max_buffer_bytes, Flusher())
        self.lines, self.got, self.bad = lines, list[Any](), False

    def close(self) -> None:
        self.bad = True

    def on_data(self, data: memoryview) -> int | None:
        at = 0
        while at < len(data):
            if self.lines:
                end = self.buffer.find(b"\n", at)
                if end < 0:
                    break
                self.got.append(bytes(data[at:end]))
                at = end + 1
                continue
            parsed = msgpack.parse(data, at)
            if not isinstance(parsed, msgpack.ParsedValue):
                return at if isinstance(parsed, msgpack.Incomplete) else None
            self.got.append(bytes(parsed.value[3][1]))
            at = parsed.end
        return at


def feed(raw: bytes, cuts: list[int], lines: bool) -> MessageCollector:
    async def run() -> MessageCollector:
        stream, at = MessageCollector(lines, 64 * 1024), 0
        for cut in [*cuts, len(raw)]:
            while at < len(raw) and cut > 0 and not stream.bad:
                space = stream.get_buffer(-1)
                size = min(cut, len(space), len(raw) - at)
                space[:size] = raw[at : at + size]
                at, cut = at + size, cut - size
                space.release()
                stream.buffer_updated(size)
        return stream

    return asyncio.run(run())


@fixed
@given(st.lists(st.integers(1, 30_000), max_size=60))
def test_messages_are_complete_however_the_stream_is_split(cuts: list[int]) -> None:
    assert feed(b"".join(CALLS), cuts, False).got == [bytes(range(256)) * n for n in range(1, 40)]
    lines = [json.dumps({"n": "x" * n}).encode() for n in range(0, 9000, 300)]
    assert feed(b"\n".join(lines) + b"\n", cuts, True).got == lines


@fixed
@given(st.binary(max_size=300), st.integers(0, 200))
def test_msgpack_parses_garbage_to_a_value(garbage: bytes, at: int) -> None:
    data = CALLS[0][:at] + garbage
    parsed = msgpack.parse(memoryview(data))
    assert not isinstance(parsed, msgpack.ParsedValue) or parsed.end <= len(data)


@fixed
@given(st.integers(0, len(CALLS[3]) - 1))
def test_a_truncated_message_is_incomplete_and_never_malformed(at: int) -> None:
    assert isinstance(msgpack.parse(memoryview(CALLS[3])[:at]), msgpack.Incomplete)


def test_what_is_too_deep_or_too_long_is_malformed() -> None:
    assert isinstance(msgpack.parse(memoryview(b"\x91" * 50)), msgpack.Malformed)
    assert isinstance(msgpack.parse(memoryview(b"\xdd\xff\xff\xff\xff")), msgpack.Malformed)
    assert feed(b"\xc6\x00\xff\xff\xff" + b"x" * 70_000, [], False).bad


@fixed
@given(st.integers(0, 2**64 - 1), st.binary(max_size=300), st.text(max_size=60))
def test_msgpack_reads_what_it_packs(number: int, raw: bytes, text: str) -> None:
    packed = b"\x93" + msgpack.pack_uint(number) + msgpack.pack_bin(raw) + msgpack.pack_str(text)
    parsed = msgpack.parse(memoryview(packed))
    assert isinstance(parsed, msgpack.ParsedValue) and parsed.value == [number, raw, text]


def test_a_discovery_reply_is_parsed() -> None:
    parsed = dns.parse(discovery_reply())
    assert isinstance(parsed, dns.Reply) and (parsed.query_id, parsed.serial) == (7, 9)
    endpoints = endpoints_from_reply(parsed)
    assert isinstance(endpoints, list) and len(endpoints) == 1
    endpoint = endpoints[0]
    assert (endpoint.name, endpoint.host, endpoint.port, endpoint.zone) == (
        "s-00c41f7a",
        "10.1.0.9",
        5050,
        "east",
    )
    assert (endpoint.state.value, endpoint.weight, endpoint.kind, endpoint.cell, endpoint.started_at_ms) == (
        *("draining", 4.0, "std", 2),
        120.0,
    )


def test_a_truncated_reply_and_an_error_are_unusable() -> None:
    """Else what they lack would pass for gone."""
    assert isinstance(dns.parse(discovery_reply(TRUNCATED_FLAGS)), dns.UnusableReply)
    assert isinstance(dns.parse(discovery_reply(NAME_ERROR_FLAGS)), dns.UnusableReply)


def test_a_compression_loop_ends() -> None:
    loop = struct.pack(">6H", 7, 0x8400, 1, 0, 0, 0) + b"\xc0\x0c\0\x21\0\x01"
    assert isinstance(dns.parse(loop), dns.UnusableReply)


@fixed
@given(st.integers(0, len(discovery_reply())), st.binary(max_size=120))
def test_dns_parses_garbage_to_a_value(at: int, garbage: bytes) -> None:
    parsed = dns.parse(discovery_reply()[:at] + garbage)
    assert isinstance(parsed, dns.UnusableReply) or endpoints_from_reply(parsed) is not None


@fixed
@given(st.integers(0, len(POST) - 4))
def test_a_truncated_http_head_is_incomplete(at: int) -> None:
    parsed = http.parse_head(memoryview(POST)[:at], 16)
    assert isinstance(parsed, http.IncompleteHead if at < POST.find(b"abc") else http.RequestHead)


@fixed
@given(st.binary(max_size=200), st.integers(0, len(POST)))
def test_http_parses_garbage_to_a_value(garbage: bytes, at: int) -> None:
    parsed = http.parse_head(memoryview(POST[:at] + garbage + b"\r\n\r\n"), 16)
    assert not isinstance(parsed, http.RequestHead) or parsed.head_bytes <= at + len(garbage) + 4


@fixed
@given(st.dictionaries(st.sampled_from(["op", "fields", "body", "id"]), st.from_type(type) | st.text()))
def test_any_object_from_a_worker_ends_an_attempt(message: dict[str, Any]) -> None:
    ending = parse_call_response(message, ("inflight",))
    assert ending is None or ending.outcome is not None


def test_a_successful_response_needs_a_valid_body() -> None:
    """What can't be decoded must never reach the client as served."""
    for spoilt in ({"op": "HIT", "body": "%%%"}, {"op": "HIT", "body": 7}, {"op": "HIT"}, {"op": "OK"}, {}):
        assert parse_call_response(spoilt, ()) is None
    good = parse_call_response(
        {"op": "HIT", "body": "QQ==", "fields": {"depth": "3", "report": "x1:2"}}, ("x1",)
    )
    assert good is not None
    assert (good.body, good.reported_concurrency, good.load_report) == (b"A", 3, (2.0,))


def test_the_read_buffer_reuses_its_space() -> None:
    buffer = ReadBuffer(32 * 1024)
    for _ in range(20):
        free_bytes = len(buffer.writable_space())
        buffer.advance(free_bytes)
        buffer.consume(free_bytes)
    assert len(buffer.writable_space()) == 8 * 1024
