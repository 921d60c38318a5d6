"""Direct and indirect probes, suspicion, and relayed pings."""

from __future__ import annotations

import random

import pytest

from cedarthread.membership.codec import MemberStatus, MessageKind
from cedarthread.membership.failure_detector import (
    ACK_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    PROBES_PER_DEAD_PROBE,
    RELAY_EXPIRY_MS,
    STARTUP_GRACE_MS,
    FailureDetector,
    OutgoingMessage,
)
from tests.unit.membership.builders import make_table

ALIVE = MemberStatus.ALIVE
SUSPECT = MemberStatus.SUSPECT
DEAD = MemberStatus.DEAD


def test_a_member_is_probed_indirectly_before_it_is_suspected() -> None:
    table = make_table()
    detector = FailureDetector(table, random.Random(1), 0.0)
    for member in table.members.values():
        member.received_at_ms = 0.0
    now_ms = 2 * PROBE_INTERVAL_MS
    (ping,) = detector.on_tick(now_ms)
    assert ping.kind is MessageKind.PING
    assert detector.on_tick(now_ms + ACK_TIMEOUT_MS - 1.0) == []
    requests = detector.on_tick(now_ms + ACK_TIMEOUT_MS)
    others = sorted({1, 2, 3} - {ping.peer_index})
    assert sorted(requests) == [
        OutgoingMessage(MessageKind.PING_REQUEST, other, ping.nonce, ping.peer_index) for other in others
    ]
    assert table.status_of(ping.peer_index) is ALIVE
    detector.on_tick(now_ms + 2 * ACK_TIMEOUT_MS)
    assert table.status_of(ping.peer_index) is SUSPECT


@pytest.mark.parametrize("probe_end", ["ack", "activity", "reset"])
def test_a_probe_that_has_ended_suspects_no_member(probe_end: str) -> None:
    table = make_table()
    detector = FailureDetector(table, random.Random(1), 0.0)
    for member in table.members.values():
        member.received_at_ms = 0.0
    (ping,) = detector.on_tick(PROBE_INTERVAL_MS + 1.0)
    if probe_end == "ack":
        assert detector.on_ack(ping.peer_index, ping.nonce) == []
    elif probe_end == "activity":
        detector.on_activity(ping.peer_index)
    else:
        detector.reset()
    for member in table.members.values():
        member.received_at_ms = PROBE_INTERVAL_MS + 1.0 + 2 * ACK_TIMEOUT_MS
    for timeouts in (1, 2):
        assert detector.on_tick(PROBE_INTERVAL_MS + 1.0 + timeouts * ACK_TIMEOUT_MS) == []
    assert table.status_changes == []


def test_a_member_that_never_sent_a_datagram_is_suspected_only_after_the_startup_grace() -> None:
    table = make_table(2)
    detector = FailureDetector(table, random.Random(1), 0.0)
    now_ms = PROBE_INTERVAL_MS
    while now_ms < STARTUP_GRACE_MS - ACK_TIMEOUT_MS:
        detector.on_tick(now_ms)
        now_ms += ACK_TIMEOUT_MS
    assert table.status_of(1) is ALIVE
    while now_ms < STARTUP_GRACE_MS + 4 * PROBE_INTERVAL_MS:
        detector.on_tick(now_ms)
        now_ms += ACK_TIMEOUT_MS
    assert table.status_of(1) is SUSPECT


def test_one_in_several_probes_is_sent_to_a_dead_member() -> None:
    table = make_table(3)
    detector = FailureDetector(table, random.Random(1), 0.0)
    table.set_status(0.0, 2, DEAD)
    pings: list[int] = []
    for step in range(1, 2000):
        now_ms = 100.0 * step
        for message in detector.on_tick(now_ms):
            pings.append(message.peer_index)
            detector.on_ack(message.peer_index, message.nonce)
    probes_between = "".join(str(index) for index in pings).split("2")
    assert len(probes_between) > 40
    assert max(len(probes) for probes in probes_between) == PROBES_PER_DEAD_PROBE - 1


def test_a_relayed_ping_is_acknowledged_to_its_requester_until_it_expires() -> None:
    detector = FailureDetector(make_table(), random.Random(1), 0.0)
    ping = detector.on_ping_request(0.0, 1, 77, 2)
    assert (ping.kind, ping.peer_index) == (MessageKind.PING, 2)
    assert detector.on_ack(2, ping.nonce) == [OutgoingMessage(MessageKind.ACK, 1, 77, 2)]
    assert detector.on_ack(2, ping.nonce) == [], "acknowledged once"
    late = detector.on_ping_request(0.0, 1, 78, 2)
    detector.on_tick(RELAY_EXPIRY_MS + 1.0)
    assert detector.on_ack(2, late.nonce) == []
