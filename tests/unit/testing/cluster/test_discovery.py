"""Fake discovery servers of a cluster run: endpoint lists over time, and corrupted replies."""

from __future__ import annotations

import random

from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME
from cedarthread.testing.cluster.endpoint_timeline import EndpointListTimeline
from cedarthread.testing.cluster.fake_clients import corrupt
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.fakes.discovery_server import ListedWorker, encode_reply


def test_endpoint_lists_follow_the_timeline_and_versions_never_decrease() -> None:
    faults = [
        {"kind": "hide", "at": 2.0, "until": 4.0, "who": "runner:0", "to": "router:1"},
        {"kind": "die", "at": 1.0, "until": 3.0, "who": "runner:1"},
    ]
    timeline = EndpointListTimeline(parse_scenario({"runners": 2, "fault": faults}), [4001, 4002])
    lists = [timeline.list_at(1000.0 * at_s, 1) for at_s in (-1e6, 1.5, 2.5, 3.5, 4.5)]
    assert [version for version, _ in lists] == [1, 1, 2, 3, 4]
    assert [[worker.port for worker in workers] for _, workers in lists[1:4]] == [
        [4001, 4002],
        [4002],
        [4002],
    ]
    assert [workers[-1].started_at_ms for _, workers in lists] == [0.0, 0.0, 0.0, 4000.0, 4000.0]
    assert len(timeline.list_at(2500.0, 0)[1]) == 2, "the worker is hidden from router 1 alone"


def test_a_corrupt_reply_differs_and_parsing_it_raises_nothing() -> None:
    reply = encode_reply(dns.encode_query(9, SERVICE_NAME), 5, (ListedWorker("s-00000001", 4001),), "room-a")
    rng = random.Random(1)
    for _ in range(300):
        corrupt_reply = corrupt(reply, rng)
        assert corrupt_reply != reply
        assert isinstance(dns.parse(corrupt_reply), (dns.Reply, dns.UnusableReply))
