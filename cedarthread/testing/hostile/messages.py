"""The messages of hostile clients of the platform protocol: valid, invalid, ever new or always the same."""

from __future__ import annotations

import os
from collections.abc import Callable
from enum import StrEnum

from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.client import pack_call, pack_health_check

FUNCTION = "7f3a9c21e0b4d655"
LONG_LIMIT_MS = 3000
SHORT_LIMIT_MS = 3  # expires before a worker can respond
UNSAFE_LIMIT_MS = 1500
LONG_TEXT_CHARACTERS = 30_000
LARGE_BODY = b"x" * 16_000
ID_BYTES = 8

MakeMessage = Callable[[int], bytes]  # takes the message's number on its connection


class MessageKind(StrEnum):
    """What a hostile client sends, over and over."""

    CALLS = "calls"  # valid calls of one function
    NEW_NAMES = "new-names"  # valid calls, each of a new function
    SHORT_LIMITS = "short-limits"  # calls of new functions that expire at once
    UNSAFE = "unsafe"  # calls of new functions, of a class that must not be repeated
    INTERRUPTS = "interrupts"  # calls of new functions, each followed by its interrupt
    HEALTH_CHECKS = "health-checks"
    BAD_REQUESTS = "bad-requests"  # requests without the fields of a call
    NOTIFICATIONS = "notifications"  # notifications without meaning
    LONG_PROPERTIES = "long-properties"  # calls with a long and new text of properties
    LONG_KEYS = "long-keys"  # calls with a long and new idempotency key
    LARGE_BODIES = "large-bodies"  # calls with the longest body


def _random_id() -> str:
    return os.urandom(ID_BYTES).hex()


def _fields(function: str, limit_ms: int, txn: str = "") -> dict[str, str]:
    return {"txn": txn or _random_id(), "limit": str(limit_ms), "item": function}


def pack_interrupt(number: int) -> bytes:
    """Return the interrupt of the call with this number."""
    return b"\x93\x02" + msgpack.pack_str("interrupt") + b"\x91" + msgpack.pack_uint(number)


def pack_long_text_call(number: int, class_name: str, field: str) -> bytes:
    """Return a call with a field whose value is long and new."""
    text = _random_id() + ":" + "x" * LONG_TEXT_CHARACTERS
    short_fields = _fields(FUNCTION, LONG_LIMIT_MS)
    pairs = b"".join(msgpack.pack_str(key) + msgpack.pack_str(value) for key, value in short_fields.items())
    long_value = b"\xda" + len(text).to_bytes(2, "big") + text.encode()
    fields = bytes((0x80 | (len(short_fields) + 1),)) + pairs + msgpack.pack_str(field) + long_value
    head = b"\x94\x00" + msgpack.pack_uint(number) + msgpack.pack_str(class_name)
    return head + b"\x92" + fields + msgpack.pack_bin(b"x")


def pack_many_fields_head(number: int, count: int) -> bytes:
    """Return the head of a call that announces and has very many short fields."""
    head = b"\x94\x00" + msgpack.pack_uint(number) + msgpack.pack_str("check") + b"\x92"
    pairs = b"".join(msgpack.pack_str(f"{index:x}") + b"\xa1x" for index in range(count))
    return head + b"\xde" + count.to_bytes(2, "big") + pairs


def _call(number: int, function: str, limit_ms: int, body: bytes = b"x") -> bytes:
    return pack_call(number, "check", body, _fields(function, limit_ms))


def pack_unsafe_call(number: int, call_id: str) -> bytes:
    """Return a call with this id of a new function and of a class that must not be repeated."""
    return pack_call(number, "confirm", b"x", _fields(_random_id(), UNSAFE_LIMIT_MS, txn=call_id))


def _interrupted_call(number: int) -> bytes:
    return _call(number, _random_id(), LONG_LIMIT_MS) + pack_interrupt(number)


def _bad_request(number: int) -> bytes:
    return pack_call(number, "check", b"x", {"limit": "x"})


MESSAGES: dict[MessageKind, MakeMessage] = {
    MessageKind.CALLS: lambda number: _call(number, FUNCTION, LONG_LIMIT_MS),
    MessageKind.NEW_NAMES: lambda number: _call(number, _random_id(), LONG_LIMIT_MS),
    MessageKind.SHORT_LIMITS: lambda number: _call(number, _random_id(), SHORT_LIMIT_MS),
    MessageKind.UNSAFE: lambda number: pack_unsafe_call(number, _random_id()),
    MessageKind.INTERRUPTS: _interrupted_call,
    MessageKind.HEALTH_CHECKS: lambda number: pack_health_check(),
    MessageKind.BAD_REQUESTS: _bad_request,
    MessageKind.NOTIFICATIONS: lambda number: b"\x93\x02\xa4none\x90",
    MessageKind.LONG_PROPERTIES: lambda number: pack_long_text_call(number, "check", "props"),
    MessageKind.LONG_KEYS: lambda number: pack_long_text_call(number, "revise", "unique"),
    MessageKind.LARGE_BODIES: lambda number: _call(number, FUNCTION, LONG_LIMIT_MS, LARGE_BODY),
}
