"""The workers' wire: one JSON object a line, both ways.

Requests are ``CALL``, ``CANCEL``, ``LOAD`` and ``UNLOAD``; a response bears the id of its request and one of
``HIT``, ``NONE``, ``SHED``, ``FAULT`` and ``LATE``. This module alone knows these words.
"""

from __future__ import annotations

import binascii
import json
import math
from typing import Any, NamedTuple

from cedarthread.dispatch.calls import AttemptResult, Call
from cedarthread.model.outcomes import Outcome, StartKind

MAX_LINE_BYTES = 384 * 1024  # a response: a body of 256 KiB is 349,528 bytes in base64, then its fields
MAX_REPORTED_CONCURRENCY = 30  # the most calls of one function that a worker reports
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
    instances: int  # loaded


def encode_call(call: Call, class_name_json: str, timeout_ms: float) -> bytes:
    """The line that starts an attempt.

    Its shape is fixed, so only strings from outside pass through the JSON encoder; ``class_name_json`` has
    passed through it already.
    """
    key = "" if call.idempotency_key is None else f',"replay":{json.dumps(call.idempotency_key)}'
    limit = max(1, int(timeout_ms))
    fields = f'"profile":{class_name_json},"thing":"{call.function_id:016x}","max":{limit}{key}'
    head = f'{{"op":"CALL","id":"{call.call_id}","fields":{{{fields}}},"body":"'
    return b"".join((head.encode(), binascii.b2a_base64(call.body, newline=False), b'"}\n'))


def encode_message(op: str, message_id: str, fields: dict[str, Any] | None = None) -> bytes:
    """A line without a body."""
    message = {"op": op, "id": message_id} | ({"fields": fields} if fields is not None else {})
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def encode_cancel(call_id: str) -> bytes:
    """The line that has the worker drop an attempt. It has no response."""
    return encode_message("CANCEL", call_id)


def encode_preload(message_id: str, function_id: int, instances: int) -> bytes:
    """The line that has the worker load instances of a function."""
    return encode_message("LOAD", message_id, {"thing": f"{function_id:016x}", "pods": instances})


def encode_unload(function_id: int) -> bytes:
    """The line that has the worker unload idle instances of a function. It has no response."""
    return encode_message("UNLOAD", f"{function_id:016x}")


def parse_line(line: memoryview) -> dict[str, Any] | None:
    """The message of one line, None if the line is no JSON object."""
    try:
        message = json.loads(str(line, "utf-8"))  # json takes no memoryview: the copy cannot be avoided
    except (ValueError, RecursionError):
        return None
    return message if isinstance(message, dict) else None


def parse_call_response(message: dict[str, Any], report_columns: tuple[str, ...]) -> AttemptResult | None:
    """The result that a response to a call gives; None if it is malformed.

    After a malformed response nothing is known of what ran, nor of what follows on the connection.
    """
    outcome, fields = _OUTCOME_BY_OP.get(str(message.get("op"))), message.get("fields") or {}
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
    """The result that a response to a preload request gives; a malformed one counts as an error."""
    fields = message.get("fields")
    instances = _parse_count(fields.get("pods")) if isinstance(fields, dict) else None
    return PreloadResponse(_OUTCOME_BY_OP.get(str(message.get("op")), Outcome.ERROR), instances or 0)


def parse_load_report(text: Any, columns: tuple[str, ...]) -> tuple[float | None, ...]:
    """The values of ``inflight:7;util:0.61`` in the order of the columns; None where one is not reported."""
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


def _parse_count(value: Any) -> int | None:
    try:
        return min(max(0, int(value)), MAX_REPORTED_CONCURRENCY)
    except (TypeError, ValueError, OverflowError):
        return None
