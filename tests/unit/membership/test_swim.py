"""The parts of SWIM in isolation: member table, dissemination buffer and failure detector."""

from __future__ import annotations

import random

import pytest

from cedarthread.membership.codec import MAX_UPDATES, UPDATE_BYTES, MemberStatus, MemberUpdate, MessageKind
from cedarthread.membership.dissemination import BURST_BYTES, MIN_BATCH_UPDATES, DisseminationBuffer
from cedarthread.membership.failure_detector import (
    ACK_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    PROBES_PER_DEAD_PROBE,
    RELAY_EXPIRY_MS,
    STARTUP_GRACE_MS,
    FailureDetector,
    OutgoingMessage,
)
from cedarthread.membership.member_table import MAX_INCARNATION_STEP, MemberTable, StatusChange

ALIVE = MemberStatus.ALIVE
SUSPECT = MemberStatus.SUSPECT
DEAD = MemberStatus.DEAD


def make_table(router_count: int = 4) -> MemberTable:
    return MemberTable(0, router_count, DisseminationBuffer(router_count, 0.0), 0.0)


@pytest.mark.parametrize(
    ("known", "update", "expected"),
    [
        ((3, ALIVE), (3, SUSPECT), (3, SUSPECT)),
        ((3, SUSPECT), (3, DEAD), (3, DEAD)),
        ((3, SUSPECT), (3, ALIVE), (3, SUSPECT)),
        ((3, DEAD), (3, SUSPECT), (3, DEAD)),
        ((3, DEAD), (4, ALIVE), (4, ALIVE)),
        ((3, ALIVE), (2, DEAD), (3, ALIVE)),
        ((3, ALIVE), (3 + MAX_INCARNATION_STEP, DEAD), (3 + MAX_INCARNATION_STEP, DEAD)),
        ((3, ALIVE), (4 + MAX_INCARNATION_STEP, DEAD), (3, ALIVE)),
    ],
)
def test_a_higher_incarnation_or_a_worse_status_at_the_same_incarnation_overrides(
    known: tuple[int, MemberStatus], update: tuple[int, MemberStatus], expected: tuple[int, MemberStatus]
) -> None:
    table = make_table()
    table.merge(1.0, MemberUpdate(2, *known))
    table.merge(2.0, MemberUpdate(2, *update))
    assert table.update_of(2) == MemberUpdate(2, *expected)


@pytest.mark.parametrize(
    ("update", "expected"),
    [
        ((5, ALIVE), 5),
        ((5, SUSPECT), 6),
        ((5, DEAD), 6),
        ((4, DEAD), 5),
        ((6, ALIVE), 7),
        ((6 + MAX_INCARNATION_STEP, DEAD), 5),
    ],
)
def test_only_an_accusation_or_a_later_incarnation_raises_the_own_incarnation(
    update: tuple[int, MemberStatus], expected: int
) -> None:
    table = make_table()
    table.incarnation = 5
    table.merge(1.0, MemberUpdate(0, *update))
    assert table.incarnation == expected
    assert table.status_of(0) is ALIVE


def test_an_update_without_change_is_not_disseminated() -> None:
    buffer = DisseminationBuffer(4, 0.0)
    table = MemberTable(0, 4, buffer, 0.0)
    table.merge(1.0, MemberUpdate(2, 3, SUSPECT))
    assert list(buffer.pending) == [2]
    buffer.pending.clear()
    for update in (MemberUpdate(2, 3, SUSPECT), MemberUpdate(2, 3, ALIVE), MemberUpdate(2, 2, DEAD)):
        table.merge(2.0, update)
    assert not buffer.pending


def test_each_status_change_is_recorded_once() -> None:
    table = make_table()
    table.set_status(1.0, 2, SUSPECT)
    table.set_status(2.0, 2, SUSPECT)
    table.set_status(3.0, 2, DEAD)
    assert table.status_changes == [StatusChange(2, SUSPECT), StatusChange(2, DEAD)]
    assert table.alive_peers() == [1, 3]
    assert table.dead_peers() == [2]


def test_updates_are_sent_a_limited_number_of_times_the_least_sent_update_first() -> None:
    buffer = DisseminationBuffer(3, 0.0)  # 3 * log2(4) = 6 times
    buffer.add(1)
    assert buffer.take() == (1,)
    buffer.add(2)
    assert buffer.take() == (2, 1)
    rounds = [buffer.take() for _ in range(6)]
    assert [taken.count(1) for taken in rounds] == [1, 1, 1, 1, 0, 0]
    assert [taken.count(2) for taken in rounds] == [1, 1, 1, 1, 1, 0]


def test_the_byte_budget_limits_all_but_required_updates() -> None:
    buffer = DisseminationBuffer(200, 0.0)
    for member_index in range(200):
        buffer.add(member_index)
    taken_updates = 0
    while taken := buffer.take():
        assert len(taken) <= MAX_UPDATES
        taken_updates += len(taken)
    assert taken_updates == BURST_BYTES // UPDATE_BYTES
    assert not buffer.can_send_batch()
    assert buffer.take((7,)) == (7,)
    buffer.refill(100.0 * UPDATE_BYTES * MIN_BATCH_UPDATES)
    assert buffer.can_send_batch()


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
