"""Queries and replies of the endpoint discovery (DNS)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.testing.fakes import discovery_server
from tests.golden_builders.sample import Sample, to_plain

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json


def build_discovery() -> list[Sample]:
    """Return the router's query, and replies: complete, empty, cut off, marked truncated, or errors."""
    query = dns.encode_query(0xBEEF, SERVICE_NAME)
    workers = (
        discovery_server.ListedWorker("s-00000001", 9001, False, 0.0),
        discovery_server.ListedWorker("s-00000002", 9002, True, 1234.0),
    )
    reply = discovery_server.encode_reply(query, 41, workers, "room-a")
    return [
        Sample("query", query),
        Sample("reply", reply, _read_reply),
        Sample(
            "reply that lists nobody", discovery_server.encode_reply(query, 42, (), "room-a"), _read_reply
        ),
        Sample("reply cut short", reply[:-3], _read_reply),
        Sample("reply truncated", reply[:2] + b"\x86" + reply[3:], _read_reply),
        Sample("reply that says no", reply[:3] + b"\x03" + reply[4:], _read_reply),
        Sample("query for a reply", query, _read_reply),
    ]


def _read_reply(data: bytes) -> Json:
    reply = dns.parse(data)
    if isinstance(reply, dns.UnusableReply):
        return reply.reason
    return [to_plain(reply), to_plain(endpoints_from_reply(reply))]
