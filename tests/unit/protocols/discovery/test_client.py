"""The discovery client with the replies of the fake discovery server."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME, DiscoveryClient
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.testing.fakes.discovery_server import ListedWorker, encode_reply

if TYPE_CHECKING:
    import pytest


def test_the_router_parses_the_replies_of_the_fake_discovery_server() -> None:
    workers = (
        ListedWorker("s-00000001", 4001),
        ListedWorker("s-00000002", 4002, is_draining=True, started_at_ms=7.0),
    )
    reply = dns.parse(encode_reply(dns.encode_query(9, SERVICE_NAME), 5, workers, "room-a"))
    assert isinstance(reply, dns.Reply)
    assert (reply.query_id, reply.serial) == (9, 5)
    records = endpoints_from_reply(reply)
    assert not isinstance(records, str)
    assert [(record.name, record.port, record.state.value, record.started_at_ms) for record in records] == [
        ("s-00000001", 4001, "ready", 0.0),
        ("s-00000002", 4002, "draining", 7.0),
    ]


def test_a_reply_equal_to_the_last_one_is_not_parsed_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Five replies arrive each second; parsing a long list each time used half of an idle router's CPU."""

    async def receive_replies() -> None:
        serials: list[int] = []
        client = DiscoveryClient(lambda serial, endpoints: serials.append(serial))
        parse_count = 0

        def counting_parse(data: bytes) -> dns.Reply | dns.UnusableReply:
            nonlocal parse_count
            parse_count += 1
            return dns.parse(data)

        monkeypatch.setattr(
            "cedarthread.protocols.discovery.client.dns",
            SimpleNamespace(parse=counting_parse, UnusableReply=dns.UnusableReply),
        )
        workers = (ListedWorker("s-00000001", 4001),)
        for query_id in (1, 2, 3, 4, 5):
            client.queries.on_sent(query_id, 0.0)
        for query_id, serial in ((1, 5), (2, 5), (3, 5), (9, 5), (4, 6), (5, 6)):
            client.last_usable_reply_at = 0.0
            client.datagram_received(
                encode_reply(dns.encode_query(query_id, SERVICE_NAME), serial, workers, "room-a"), None
            )
            assert bool(client.last_usable_reply_at) is (query_id in (2, 3, 5)), (
                "a reply to no pending query does not count, and a new list needs a second reply"
            )
        assert serials == [5, 6]
        assert parse_count == 4

    asyncio.run(receive_replies())
