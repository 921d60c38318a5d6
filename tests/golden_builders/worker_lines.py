"""Lines of the worker protocol, between router and worker."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from cedarthread.dispatch import calls
from cedarthread.protocols.worker.codec import encode_call, encode_message, parse_call_response
from tests.golden_builders.sample import FUNCTION_ID, Sample, to_plain

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

CALL_ID = "00000000000000a1"
LOAD_ID = "load-1"
REPORT_COLUMNS = ("inflight", "x1", "util")


def build_worker_lines() -> list[Sample]:
    """Return a line of each kind to the worker, and the responses that a worker may give to a call."""
    function = f"{FUNCTION_ID:016x}"
    fields = {"remark": "spawn", "depth": 4, "report": "inflight:7;util:0.61;odd:x"}
    responses: dict[str, dict[str, object]] = {
        "hit": {"op": "HIT", "id": "a1", "fields": fields, "body": "AAEC"},
        "hit awaited": {"op": "HIT", "id": "a1", "fields": {"remark": "pending", "depth": 99}, "body": ""},
        "miss": {"op": "NONE", "id": "a1", "fields": {"remark": "spawn_failed"}},
        "full": {"op": "SHED", "id": "a1", "fields": {"report": "x1:3"}},
        "failed": {"op": "FAULT", "id": "a1"},
        "moot": {"op": "LATE", "id": "a1", "fields": {"remark": "hit"}},
        "unknown": {"op": "OTHER", "id": "a1"},
        "spoilt body": {"op": "HIT", "id": "a1", "fields": {}, "body": "?"},
    }
    return [
        Sample("call", encode_call(_call(b"body \x00\xff", None), '"check"', 1234.9)),
        Sample("keyed call", encode_call(_call(b"", 'k"\u00e9'), json.dumps("rev\u00fc"), 0.2)),
        Sample("load", encode_message("LOAD", LOAD_ID, {"thing": function, "pods": 2})),
        Sample("cancel", encode_message("CANCEL", CALL_ID)),
        Sample("unload", encode_message("UNLOAD", function)),
        *(
            Sample(f"answer {name}", json.dumps(response).encode(), _read_response)
            for name, response in responses.items()
        ),
    ]


def _call(body: bytes, idempotency_key: str | None) -> calls.Call:
    return calls.Call(CALL_ID, 0, FUNCTION_ID, 0.0, body, lambda result: None, idempotency_key)


def _read_response(data: bytes) -> Json:
    return to_plain(parse_call_response(json.loads(data), REPORT_COLUMNS))
