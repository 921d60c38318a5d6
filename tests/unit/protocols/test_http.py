"""Parsing of HTTP heads that are truncated or contain garbage."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.protocols import http

fixed_examples = settings(derandomize=True, deadline=None, max_examples=60)
BODY = b"abc"
POST = b"POST /v1/functions/7f3a9c21e0b4d655/check HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n" + BODY
MAX_BODY_BYTES = 16


@fixed_examples
@given(st.integers(0, len(POST) - 4))
def test_a_truncated_head_is_incomplete(received_bytes: int) -> None:
    parsed = http.parse_head(memoryview(POST)[:received_bytes], MAX_BODY_BYTES)
    expected = http.IncompleteHead if received_bytes < POST.find(BODY) else http.RequestHead
    assert isinstance(parsed, expected)


@fixed_examples
@given(st.binary(max_size=200), st.integers(0, len(POST)))
def test_garbage_after_the_start_of_a_head_raises_nothing(garbage: bytes, valid_bytes: int) -> None:
    data = POST[:valid_bytes] + garbage + b"\r\n\r\n"
    parsed = http.parse_head(memoryview(data), MAX_BODY_BYTES)
    assert not isinstance(parsed, http.RequestHead) or parsed.head_bytes <= len(data)
