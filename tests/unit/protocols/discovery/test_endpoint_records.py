"""Endpoint records from the replies of the discovery server."""

from __future__ import annotations

import pytest

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply

TARGET = "s-00c41f7a.east.hosts"
TEXTS = {"kind": "std", "cell": "2", "started": "120"}


def reply_with(texts: dict[str, str]) -> dns.Reply:
    reply = dns.Reply(query_id=7)
    reply.srv_records.append(dns.SrvRecord(0, 40, 5050, TARGET))
    reply.addresses[TARGET] = "10.1.0.9"
    reply.texts[TARGET] = texts
    return reply


def test_a_complete_reply_gives_cell_and_start_time() -> None:
    records = endpoints_from_reply(reply_with(TEXTS))
    assert not isinstance(records, str)
    [record] = records
    assert (record.cell, record.started_at_ms) == (2, 120.0)


@pytest.mark.parametrize("key", ["cell", "started"])
def test_a_reply_without_the_cell_or_the_start_time_of_a_worker_is_unusable(key: str) -> None:
    """Guards against a default that loosens a rule: one cell for all, or a cold worker taken for warm."""
    texts = {name: value for name, value in TEXTS.items() if name != key}
    assert endpoints_from_reply(reply_with(texts)) == f"invalid TXT record of {TARGET}"
