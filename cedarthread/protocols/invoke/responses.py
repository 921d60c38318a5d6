"""Construction of the responses of the invoke API."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import CallRejected, CallResult, CallSucceeded
from cedarthread.protocols.http import Response, problem_response

if TYPE_CHECKING:
    from cedarthread.dispatch.deferred import DeferredCall

DRAINING_DETAIL = "this process is about to end"


def render_call_result(result: CallResult) -> Response:
    """Render a call's result; ``repeat`` in a problem states whether the client may safely retry."""
    if isinstance(result, CallSucceeded):
        return Response(200, {"Content-Type": "application/octet-stream"}, result.body)
    if isinstance(result, CallRejected):
        retry_after_s = max(1, math.ceil((result.retry_after_ms or 0.0) / 1000.0))
        detail = f"not done; trying again is harmless{'; ' if result.reason else ''}{result.reason}"
        return problem_response(
            504 if result.timed_out else 503,
            detail,
            {"Retry-After": str(retry_after_s)},
            repeat="harmless",
            retry_after_ms=round(result.retry_after_ms or 0.0),
        )
    if result.timed_out:
        return problem_response(504, "no answer in time; it may have run", repeat="unknown")
    return problem_response(502, "the worker failed; it may have run", repeat="unknown")


def pending_response(deferred_call: DeferredCall) -> Response:
    """Render the response for a deferred call without a result, with the location to collect it."""
    headers = {
        "Location": f"/v1/calls/{deferred_call.call_id}",
        "Preference-Applied": "respond-async",
        "Retry-After": "1",
        "Content-Type": "application/json",
        "Cache-Control": "no-store",
    }
    return Response(202, headers, b'{"state": "pending"}')


def ready_response(*, is_ready: bool) -> Response:
    """Render the readiness of this process."""
    if is_ready:
        return Response(200, {"Content-Type": "text/plain"}, b"ready\n")
    return problem_response(503, DRAINING_DETAIL, {"Retry-After": "1"})
