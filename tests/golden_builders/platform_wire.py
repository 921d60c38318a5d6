"""Messages between the platform's clients and the router (msgpack)."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from cedarthread.dispatch import calls
from cedarthread.protocols import msgpack
from cedarthread.protocols.platform.codec import encode_call_result, encode_error, encode_health, parse_call
from cedarthread.testing.fakes.client import pack_call, pack_health_check
from tests.golden_builders.sample import Sample, to_plain
from tests.helpers import settings

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

CLASS_INDEXES = {"a": 0, "c": 2}  # Indexes of the request classes in ``tests.helpers.settings``.
UINT_BOUNDARIES = (0, 127, 128, 255, 256, 65535, 65536, 2**32 - 1, 2**32, 2**64 - 1)


def build_platform_wire() -> list[Sample]:
    """Return requests, responses, and the msgpack forms of numbers, texts and bytes."""
    return [
        *_requests(),
        *_responses(),
        *(Sample(f"number {number}", msgpack.pack_uint(number), _read_message) for number in UINT_BOUNDARIES),
        Sample("text", msgpack.pack_str("\u00e9" * 30), _read_message),
        Sample("bytes", msgpack.pack_bin(bytes(300)), _read_message),
        Sample("long bytes sha256", hashlib.sha256(msgpack.pack_bin(bytes(70_000))).digest()),
        Sample("fields", msgpack.pack_fields({"a": "b", "later": "5"}), _read_message),
    ]


def _requests() -> list[Sample]:
    common = {"txn": "00000000000000a1", "limit": "3000", "item": "7f3a9c21e0b4d655"}
    requests: dict[str, tuple[str, dict[str, str]]] = {
        "call": ("a", {}),
        "keyed call": ("c", {"unique": "5c0f", "props": "memory_mb:512;lanes:2", "second": "1"}),
        "keyed call without key": ("c", {}),
        "bad function": ("a", {"item": "7f3a"}),
        "bad limit": ("a", {"limit": "-5"}),
        "limit out of range": ("a", {"limit": "0"}),
        "bad figures": ("a", {"props": "lanes:-1"}),
    }
    samples = [
        Sample(f"request {name}", pack_call(7, class_name, b"in\x00", common | fields), _read_request)
        for name, (class_name, fields) in requests.items()
    ]
    return [*samples, Sample("request health", pack_health_check(), _read_message)]


def _responses() -> list[Sample]:
    results: dict[str, calls.CallResult] = {
        "served": calls.CallSucceeded(b"body \x00\xff"),
        "served long": calls.CallSucceeded(bytes(range(256)) * 2),
        "refused": calls.CallRejected(250.4),
        "refused with reason": calls.CallRejected(0.2, False, "frozen"),
        "refused without time": calls.CallRejected(None, True),
        "failed": calls.CallFailed(),
        "failed late": calls.CallFailed(True),
    }
    return [
        *(
            Sample(f"response {name}", encode_call_result(70_000, result), _read_message)
            for name, result in results.items()
        ),
        Sample("response no", encode_error(3, "BadRequest", {"reason": "x" * 40}), _read_message),
        Sample("response ready", encode_health(3, is_ready=True), _read_message),
        Sample("response not ready", encode_health(2**32, is_ready=False), _read_message),
    ]


def _parse(data: bytes) -> msgpack.ParsedValue:
    parsed = msgpack.parse(memoryview(data))
    if not isinstance(parsed, msgpack.ParsedValue):
        raise ValueError("incomplete or malformed msgpack value")
    return parsed


def _read_message(data: bytes) -> Json:
    parsed = _parse(data)
    return [to_plain(parsed.value), parsed.end]


def _read_request(data: bytes) -> Json:
    _, _, class_name, (fields, body) = _parse(data).value
    call = parse_call(CLASS_INDEXES[class_name], settings(), fields, body, 1000.0)
    if isinstance(call, str):
        return call
    return to_plain(
        (
            call.call_id,
            call.class_index,
            call.function_id,
            call.deadline_ms,
            call.body,
            call.idempotency_key,
            call.concurrency,
            call.memory_mb,
            call.is_client_retry,
        )
    )
