"""Replies of a discovery server: valid, truncated, malformed, and garbage."""

from __future__ import annotations

import struct

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols import dns
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from tests.unit.protocols.dns_replies import NAME_ERROR_FLAGS, TRUNCATED_FLAGS, discovery_reply

fixed_examples = settings(derandomize=True, deadline=None, max_examples=60)


def test_a_discovery_reply_is_parsed_to_its_endpoints() -> None:
    parsed = dns.parse(discovery_reply())
    assert isinstance(parsed, dns.Reply)
    assert (parsed.query_id, parsed.serial) == (7, 9)
    endpoints = endpoints_from_reply(parsed)
    assert isinstance(endpoints, list)
    (endpoint,) = endpoints
    assert endpoint.name == "s-00c41f7a"
    assert endpoint.host == "10.1.0.9"
    assert endpoint.port == 5050
    assert endpoint.zone == "east"
    assert endpoint.state is EndpointState.DRAINING
    assert endpoint.weight == 4.0
    assert endpoint.kind == "std"
    assert endpoint.cell == 2
    assert endpoint.started_at_ms == 120.0


def test_a_truncated_reply_and_an_error_are_unusable() -> None:
    """Otherwise workers missing from them would count as removed."""
    assert isinstance(dns.parse(discovery_reply(TRUNCATED_FLAGS)), dns.UnusableReply)
    assert isinstance(dns.parse(discovery_reply(NAME_ERROR_FLAGS)), dns.UnusableReply)


def test_a_reply_with_a_loop_of_compression_pointers_is_unusable() -> None:
    reply = struct.pack(">6H", 7, 0x8400, 1, 0, 0, 0) + b"\xc0\x0c\0\x21\0\x01"
    assert isinstance(dns.parse(reply), dns.UnusableReply)


@fixed_examples
@given(st.integers(0, len(discovery_reply())), st.binary(max_size=120))
def test_garbage_after_the_start_of_a_reply_raises_nothing(valid_bytes: int, garbage: bytes) -> None:
    parsed = dns.parse(discovery_reply()[:valid_bytes] + garbage)
    assert isinstance(parsed, dns.UnusableReply) or endpoints_from_reply(parsed) is not None
