"""Codec of the platform protocol: MessagePack-RPC requests to calls, call results to responses.

No other module uses the field and error names of the protocol (``txn``, ``item``, ``unique``, ``limit``,
``second``, ``props``; ``Backoff``, ``Lost``, ``BadRequest``).
"""

from __future__ import annotations

import math
import re
from functools import lru_cache
from typing import NamedTuple

from cedarthread.dispatch.calls import Call, CallRejected, CallResult, CallSucceeded, call_deadline_ms
from cedarthread.model.settings import Idempotency, RouterSettings
from cedarthread.protocols import msgpack

MAX_BODY_BYTES = 16 * 1024
MAX_LIMIT_DIGITS = 9  # maximum number of digits of a time limit in ms; allows up to 11 days
# Texts of properties whose values are cached. The cache is shared by all clients, so long texts stay out.
MAX_CACHED_PROPS = 4096
MAX_CACHED_PROPS_CHARACTERS = 128
_HEX_ID = re.compile(r"[0-9a-fA-F]{16}\Z")
_RESPONSE_START = b"\x94\x01"  # start of a response: an array of four items: 1, id, error, result
_RESULT_START = b"\xc0\x92"  # start of a result: no error (nil), then the result as an array of two
_ERROR_START = b"\x92"  # start of an error, which is an array of two
_NO_RESULT = b"\xc0"  # nil in place of a result
_EMPTY_MAP = b"\x80"
_TRUE = b"\xc3"
_FALSE = b"\xc2"


class FunctionProperties(NamedTuple):
    """Properties of a function as stated in a request; None if not stated."""

    concurrency: float | None
    memory_mb: float | None


def parse_props(text: str) -> FunctionProperties:
    """Parse properties such as ``memory_mb:512;lanes:2``.

    Raises:
        ValueError: A property is not a positive number or is repeated.
    """
    return _parse_short_props(text) if len(text) <= MAX_CACHED_PROPS_CHARACTERS else _parse_props(text)


@lru_cache(maxsize=MAX_CACHED_PROPS)  # all calls of a function carry the same text
def _parse_short_props(text: str) -> FunctionProperties:
    return _parse_props(text)


def _parse_props(text: str) -> FunctionProperties:
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, digits = pair.partition(":")
        if name in ("lanes", "memory_mb"):
            if name in values or not 0.0 < float(digits) < math.inf:
                raise ValueError(pair)
            values[name] = float(digits)
    return FunctionProperties(values.get("lanes"), values.get("memory_mb"))


def parse_call(
    class_index: int, settings: RouterSettings, fields: object, body: object, arrival_ms: float
) -> Call | str:
    """Parse the call in a request; if it is invalid, return the reason to report to the client.

    Args:
        class_index: The index of the class that the request names.
        settings: The current settings.
        fields: The first parameter of the request.
        body: The second parameter of the request.
        arrival_ms: The time at which the client's time limit starts, on the dispatcher's clock.
    """
    if not isinstance(fields, dict) or set(map(type, fields.values())) - {str}:
        return "the fields are no map of strings"
    raw_body = body.encode() if isinstance(body, str) else body
    if not isinstance(raw_body, (bytes, memoryview)) or len(raw_body) > MAX_BODY_BYTES:
        return "the body is not bytes of at most 16 KiB"
    call_id = fields.get("txn", "")
    function_hex = fields.get("item", "")
    key = fields.get("unique")
    if not _HEX_ID.match(call_id) or not _HEX_ID.match(function_hex):
        return "txn and item take 16 hex digits"
    if settings.classes[class_index].idempotency is Idempotency.WITH_KEY and not key:
        return "a keyed class needs unique"
    limit = fields.get("limit", "")
    if not (limit.isascii() and limit.isdigit() and len(limit) <= MAX_LIMIT_DIGITS):
        return "limit takes whole milliseconds"
    if float(limit) <= 0.0 or fields.get("second", "1") != "1":
        return "limit or second is out of range"
    try:
        properties = parse_props(fields.get("props", ""))
    except ValueError:
        return "props takes positive figures"
    return Call(
        call_id=call_id,
        class_index=class_index,
        function_id=int(function_hex, 16),
        deadline_ms=call_deadline_ms(arrival_ms, float(limit)),
        body=bytes(raw_body),
        on_result=lambda result: None,  # replaced when the call is submitted
        idempotency_key=key,
        concurrency=properties.concurrency,
        memory_mb=properties.memory_mb,
        is_client_retry=fields.get("second") == "1",
    )


def encode_call_result(message_id: int, result: CallResult) -> bytes:
    """Encode the response with the result of a call."""
    if isinstance(result, CallSucceeded):
        head = _RESPONSE_START + msgpack.pack_uint(message_id) + _RESULT_START
        return head + msgpack.pack_bin(result.body) + _EMPTY_MAP
    if isinstance(result, CallRejected):
        fields: dict[str, str] = {}
        if result.retry_after_ms is not None:
            fields["later"] = str(max(1, round(result.retry_after_ms)))
        if result.reason:
            fields["reason"] = result.reason
        return encode_error(message_id, "Backoff", fields)
    return encode_error(message_id, "Lost", {})


def encode_error(message_id: int, error_name: str, fields: dict[str, str]) -> bytes:
    """Encode an error response."""
    head = _RESPONSE_START + msgpack.pack_uint(message_id) + _ERROR_START + msgpack.pack_str(error_name)
    return head + msgpack.pack_fields(fields) + _NO_RESULT


def encode_bad_request(message_id: int, reason: str) -> bytes:
    """Encode the error response to an invalid request."""
    return encode_error(message_id, "BadRequest", {"why": reason})


def encode_health(message_id: int, *, is_ready: bool) -> bytes:
    """Encode the response to a health check."""
    head = _RESPONSE_START + msgpack.pack_uint(message_id) + _RESULT_START
    return head + (_TRUE if is_ready else _FALSE) + _EMPTY_MAP
