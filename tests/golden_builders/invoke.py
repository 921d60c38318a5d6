"""Requests and responses of the invoke API (HTTP)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.dispatch import calls
from cedarthread.protocols import http
from cedarthread.protocols.invoke.requests import parse_call_request, worker_idempotency_key
from cedarthread.protocols.invoke.responses import render_call_result
from tests.golden_builders.sample import Sample, text_sample, to_plain
from tests.helpers import settings

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

FUNCTION_PATH = "/v1/functions/7f3a9c21e0b4d655/"
MAX_BODY_BYTES = 1000


def build_invoke() -> list[Sample]:
    """Return call requests, heads of requests, answers to calls, and a problem of each status."""
    samples = [Sample(f"request {name}", data, _read_call_request) for name, data in _call_requests().items()]
    samples += [Sample(f"head {name}", data, _read_head) for name, data in _heads().items()]
    for name, result in _call_results().items():
        samples.append(Sample(f"answer {name}", render_call_result(result).encode(keep_alive=True)))
    for status in sorted(http.REASON_PHRASES):
        response = http.problem_response(status, "why", {"Retry-After": "1"}, repeat="harmless")
        samples.append(Sample(f"problem {status}", response.encode(keep_alive=status % 2 == 0)))
    samples.append(text_sample("key at the worker", worker_idempotency_key("spiffe://a/b", "k1")))
    return samples


def _call_requests() -> dict[str, bytes]:
    numeric_headers = ("Call-Timeout-Ms: 700", "Call-Lanes: 2", "Call-Memory-Mb: 512")
    return {
        "call": _post(FUNCTION_PATH + "a"),
        "keyed call": _post(FUNCTION_PATH + "c", 'Idempotency-Key: "k1"', *numeric_headers),
        "no such class": _post(FUNCTION_PATH + "nosuch"),
        "bad key": _post(FUNCTION_PATH + "c", "Idempotency-Key: a b"),
        "no key": _post(FUNCTION_PATH + "c"),
        "bad limit": _post(FUNCTION_PATH + "a", "Call-Timeout-Ms: -1"),
        "bad figure": _post(FUNCTION_PATH + "a", "Call-Lanes: two"),
    }


def _heads() -> dict[str, bytes]:
    return {
        "deferred": _post(FUNCTION_PATH + "a", "Prefer: respond-async, wait=10", "X: a", "X: b"),
        "old version": b"GET /v1/ready HTTP/1.0\r\n\r\n",
        "closing": b"GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n",
        "not whole": b"GET /v1/ready HTTP/1.1\r\nHost",
        "malformed line": b"GET\r\n\r\n",
        "malformed version": b"GET / HTTQ/1\r\n\r\n",
        "other version": b"GET / HTTP/2.0\r\n\r\n",
        "no host": b"GET / HTTP/1.1\r\n\r\n",
        "malformed field": b"GET / HTTP/1.1\r\nHost : r\r\n\r\n",
        "expectation": b"GET / HTTP/1.1\r\nHost: r\r\nExpect: x\r\n\r\n",
        "chunked": b"POST / HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n",
        "malformed length": b"POST / HTTP/1.1\r\nHost: r\r\nContent-Length: x\r\n\r\n",
        "too large": b"POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 1001\r\n\r\n",
    }


def _call_results() -> dict[str, calls.CallResult]:
    return {
        "served": calls.CallSucceeded(b"body"),
        "refused": calls.CallRejected(250.4),
        "refused in time": calls.CallRejected(1500.0, True, "frozen"),
        "refused without time": calls.CallRejected(None),
        "failed": calls.CallFailed(),
        "failed late": calls.CallFailed(True),
    }


def _post(target: str, *fields: str) -> bytes:
    lines = [f"POST {target} HTTP/1.1", "Host: r", *fields, "Content-Length: 2"]
    return ("\r\n".join(lines) + "\r\n\r\nin").encode("latin-1")


def _read_head(data: bytes) -> Json:
    head = http.parse_head(memoryview(data), MAX_BODY_BYTES)
    if isinstance(head, http.IncompleteHead):
        return "short"
    if isinstance(head, http.InvalidRequest):
        return [head.status, head.reason]
    return to_plain(
        (
            head.method,
            head.target,
            head.headers,
            head.content_length,
            head.head_bytes,
            head.keep_alive,
            head.preferences(),
        )
    )


def _read_call_request(data: bytes) -> Json:
    head = http.parse_head(memoryview(data), MAX_BODY_BYTES)
    if not isinstance(head, http.RequestHead):
        raise ValueError("incomplete or invalid request head")
    router_settings = settings()
    class_indexes = {request_class.name: index for index, request_class in enumerate(router_settings.classes)}
    request = parse_call_request(router_settings, class_indexes, head, data[head.head_bytes :])
    if isinstance(request, http.Response):
        return request.encode(keep_alive=True).decode("latin-1")
    fields = (
        request.class_index,
        request.function_hex,
        request.idempotency_key,
        request.body,
        request.timeout_ms,
        request.concurrency,
        request.memory_mb,
    )
    class_name, *function_and_digest = request.fingerprint()
    if class_indexes[class_name] != request.class_index:
        raise ValueError(f"fingerprint of class {class_name}, request of class {request.class_index}")
    # The golden file shows the class by its index, which the fingerprint contained in place of its name.
    fingerprint = (str(request.class_index), *function_and_digest)
    return [to_plain(fields), to_plain(fingerprint)]
