"""Parsing of workers' responses to calls: malformed objects and bodies."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.protocols.worker.codec import parse_call_response

fixed_examples = settings(derandomize=True, deadline=None, max_examples=60)


@fixed_examples
@given(st.dictionaries(st.sampled_from(["op", "fields", "body", "id"]), st.from_type(type) | st.text()))
def test_every_json_object_is_rejected_as_malformed_or_has_an_outcome(message: dict[str, Any]) -> None:
    result = parse_call_response(message, ("inflight",))
    assert result is None or result.outcome is not None


def test_a_successful_response_needs_a_valid_body() -> None:
    """A body that cannot be decoded must not be returned to the client as a success."""
    for malformed in (
        {"op": "HIT", "body": "%%%"},
        {"op": "HIT", "body": 7},
        {"op": "HIT"},
        {"op": "OK"},
        {},
    ):
        assert parse_call_response(malformed, ()) is None
    result = parse_call_response(
        {"op": "HIT", "body": "QQ==", "fields": {"depth": "3", "report": "x1:2"}}, ("x1",)
    )
    assert result is not None
    assert (result.body, result.reported_concurrency, result.load_report) == (b"A", 3, (2.0,))
