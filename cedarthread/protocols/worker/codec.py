"""Codec of the worker protocol: one JSON object per line, in both directions.

Requests are ``CALL``, ``CANCEL``, ``LOAD`` and ``UNLOAD``. A response has the id of its request and one of
``HIT``, ``NONE``, ``SHED``, ``FAULT`` and ``LATE``. No other module uses these protocol keywords.
"""

from __future__ import annotations

import binascii
import json
import math
from typing import Any, NamedTuple, cast

from cedarthread.dispatch.calls import AttemptResult, Call
from cedarthread.model.outcomes import Outcome, StartKind

# Longest line of a response: a 256 KiB body is 349,528 bytes in base64, plus the fields.
MAX_LINE_BYTES = 384 * 1024
MAX_REPORTED_CONCURRENCY = 30  # concurrent calls of one function; larger counts in a response are capped
_OUTCOME_BY_OP = {
    "HIT": Outcome.OK,
    "NONE": Outcome.NOT_LOADED,
    "SHED": Outcome.OVERLOADED,
    "FAULT": Outcome.ERROR,
    "LATE": Outcome.NOT_SENT,
}
_START_KIND_BY_REMARK = {
    "hit": StartKind.WARM,
    "spawn": StartKind.COLD,
    "pending": StartKind.PENDING,
    "spawn_failed": StartKind.LOAD_FAILED,
}


class PreloadResponse(NamedTuple):
    """A worker's response to a preload request."""

    outcome: Outcome
    instances: int  # number of loaded instances of the function


def encode_call(call: Call, class_name_json: str, timeout_ms: float) -> bytes:
    """Encode the line that starts an attempt.

    The structure is fixed, so only externally supplied strings go through the JSON encoder. This function is
    on the path of every call.

    Args:
        call: The call.
        class_name_json: The name of the call's class, encoded as JSON in advance.
        timeout_ms: The time until the call's deadline.
    """
    key = "" if call.idempotency_key is None else f',"replay":{json.dumps(call.idempotency_key)}'
    limit = max(1, int(timeout_ms))
    fields = f'"profile":{class_name_json},"thing":"{call.function_id:016x}","max":{limit}{key}'
    head = f'{{"op":"CALL","id":"{call.call_id}","fields":{{{fields}}},"body":"'
    return b"".join((head.encode(), binascii.b2a_base64(call.body, newline=False), b'"}\n'))


def encode_message(op: str, message_id: str, fields: dict[str, Any] | None = None) -> bytes:
    """Encode a line without a body."""
    message = {"op": op, "id": message_id} | ({"fields": fields} if fields is not None else {})
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def encode_cancel(call_id: str) -> bytes:
    """Encode the line that cancels an attempt. The worker sends no response to it."""
    return encode_message("CANCEL", call_id)


def encode_preload(message_id: str, function_id: int, instances: int) -> bytes:
    """Encode the line that requests instances of a function."""
    return encode_message("LOAD", message_id, {"thing": f"{function_id:016x}", "pods": instances})


def encode_unload(function_id: int) -> bytes:
    """Encode the line that unloads idle instances of a function. The worker sends no response to it."""
    return encode_message("UNLOAD", f"{function_id:016x}")


def parse_line(line: memoryview) -> dict[str, Any] | None:
    """Parse the message on one line; return None if the line is not a JSON object."""
    try:
        message = json.loads(str(line, "utf-8"))  # json does not accept a memoryview
    except (ValueError, RecursionError):
        return None
    return message if isinstance(message, dict) else None


def parse_call_response(message: dict[str, Any], report_columns: tuple[str, ...]) -> AttemptResult | None:
    """Parse the response to a call; return None if it is malformed.

    A malformed response does not show whether its call was executed, and the input after it is undefined.
    """
    outcome = _OUTCOME_BY_OP.get(str(message.get("op")))
    fields = message.get("fields") or {}
    if outcome is None or not isinstance(fields, dict):
        return None
    body = b""
    if outcome is Outcome.OK:
        try:
            body = binascii.a2b_base64(message["body"], strict_mode=True)
        except (binascii.Error, KeyError, TypeError, ValueError):
            return None
    start_kind = _START_KIND_BY_REMARK.get(str(fields.get("remark")), StartKind.UNKNOWN)
    concurrency = _parse_count(fields.get("depth", 0))
    load_report = parse_load_report(fields.get("report"), report_columns)
    return AttemptResult(outcome, body, start_kind, concurrency, load_report)


def parse_preload_response(message: dict[str, Any]) -> PreloadResponse:
    """Parse the response to a preload request; a malformed response counts as an error."""
    fields = message.get("fields")
    instances = _parse_count(fields.get("pods")) if isinstance(fields, dict) else None
    return PreloadResponse(_OUTCOME_BY_OP.get(str(message.get("op")), Outcome.ERROR), instances or 0)


def parse_load_report(text: object, columns: tuple[str, ...]) -> tuple[float | None, ...]:
    """Parse a load report such as ``inflight:7;util:0.61``.

    Returns the values in the order of the columns, with None for a column that is not reported; an empty
    tuple if there is no report.
    """
    if not isinstance(text, str) or not text:
        return ()
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, digits = pair.partition(":")
        try:
            value = float(digits)
        except ValueError:
            continue
        if math.isfinite(value):
            values[name] = value
    return tuple(values.get(column) for column in columns)


def _parse_count(value: object) -> int | None:
    try:
        return min(max(0, int(cast("int", value))), MAX_REPORTED_CONCURRENCY)
    except (TypeError, ValueError, OverflowError):
        return None
