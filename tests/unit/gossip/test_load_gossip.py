"""The gossip component: what it sends at which cost, and what it accepts from peers."""

from __future__ import annotations

import random

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.gossip import codec
from cedarthread.gossip.codec import InstanceUpdate, LoadUpdate, WorkerUpdate
from cedarthread.gossip.load_gossip import MAX_FANOUT, MIN_SEND_INTERVAL_MS, LoadGossip
from cedarthread.gossip.peer_views import IN_FLIGHT_EXPIRY_MS, MAX_IN_FLIGHT_PER_PEER
from cedarthread.gossip.send_budget import BURST_DATAGRAMS, GOSSIP_COST_PER_CALL
from tests.helpers import settings
from tests.unit.gossip.builders import changed_by, deliver, encoded_update, make_gossip, warm_instance


@pytest.mark.parametrize("data", [b"", b"\0" * 257, b"\0" * 10, bytes((codec.MESSAGE_TYPE,)) + b"\0" * 11])
def test_a_malformed_datagram_is_counted_and_changes_no_load(data: bytes) -> None:
    gossip = make_gossip(0)
    assert changed_by(gossip, 0.0, 1, data) == {}
    assert gossip.malformed_datagrams == 1
    assert changed_by(gossip, 0.0, 7, b"") == {}
    assert changed_by(gossip, 0.0, 0, b"") == {}
    assert gossip.unknown_senders == 2


def test_no_datagram_exceeds_the_size_limit() -> None:
    instances = tuple(InstanceUpdate(number, 1, None) for number in range(50))
    with pytest.raises(ValueError):
        codec.encode(LoadUpdate(1, 1, False, (WorkerUpdate(1, 1, instances),)))
    gossip = make_gossip(0, price=0.0)
    for number in range(2000):
        gossip.on_attempt_sent(number % 40, number)
    datagrams = [
        datagram
        for batch in range(50)
        for datagram in gossip.collect_due_datagrams(MIN_SEND_INTERVAL_MS * batch)
    ]
    assert max(len(datagram.data) for datagram in datagrams) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("seed", range(5))
def test_lost_duplicated_and_reordered_datagrams_leave_no_wrong_counts(seed: int) -> None:
    """If datagrams carried changes instead of state, a lost one would leave the counts wrong for good."""
    rng = random.Random(seed)
    sender = make_gossip(0, price=0.0)
    receiver = make_gossip(1, price=0.0)
    in_flight: list[tuple[int, int]] = []  # worker and function
    in_transit: list[bytes] = []
    now_ms = 0.0
    for _ in range(600):
        now_ms += 10.0
        if rng.random() < 0.5 or not in_flight:
            in_flight.append((rng.randrange(5), rng.randrange(20)))
            sender.on_attempt_sent(*in_flight[-1])
        else:
            ended = in_flight.pop(rng.randrange(len(in_flight)))
            sender.on_attempt_ended(now_ms, *ended, is_loaded=rng.choice([True, None]))
        for datagram in sender.collect_due_datagrams(now_ms):
            in_transit += [datagram.data] * rng.choice([0, 0, 1, 1, 2])
        rng.shuffle(in_transit)
        for _ in range(rng.randrange(3)):
            if in_transit:
                receiver.on_message(now_ms, 0, in_transit.pop())
    for _ in range(60):  # from here on all datagrams arrive
        now_ms += 50.0
        deliver(sender, receiver, now_ms)
    receiver.on_tick(now_ms)
    for worker_id in range(5):
        expected = sum(attempt_worker == worker_id for attempt_worker, _ in in_flight)
        assert receiver.in_flight_of_peers(now_ms, worker_id) == expected
        for function_id in range(20):
            load = receiver.instances(now_ms, function_id).get(worker_id)
            assert (load.in_flight if load else 0) == in_flight.count((worker_id, function_id))


def test_false_reports_of_a_peer_are_capped_and_expire() -> None:
    gossip = make_gossip(0)
    false_report = WorkerUpdate(4, 255, (warm_instance(7, in_flight=255),))
    assert changed_by(gossip, 1000.0, 1, encoded_update(9, 1, false_report)) == {4: MAX_IN_FLIGHT_PER_PEER}
    assert gossip.instances(1000.0, 7)[4].warm_age_ms == 0.0
    gossip.on_attempt_sent(4, 7)
    gossip.on_attempt_ended(1100.0, 4, 7, is_loaded=False)
    assert 4 not in gossip.instances(1100.0, 7), "this router found no instance there"
    assert gossip.in_flight_of_peers(1000.0 + IN_FLIGHT_EXPIRY_MS + 1.0, 4) == 0.0


def test_datagrams_of_a_past_incarnation_are_ignored() -> None:
    gossip = make_gossip(0)
    old_datagram = encoded_update(1, 50, WorkerUpdate(4, 9))
    assert changed_by(gossip, 0.0, 1, old_datagram) == {4: 9.0}
    assert changed_by(gossip, 1.0, 1, encoded_update(2, 1, requests_full_state=True)) == {}
    assert gossip.in_flight_of_peers(1.0, 4) == 0.0, "its calls ended with its incarnation"
    assert changed_by(gossip, 2.0, 1, old_datagram) == {}
    assert gossip.in_flight_of_peers(2.0, 4) == 0.0


def test_a_router_that_starts_requests_and_receives_the_full_state() -> None:
    running = make_gossip(0)
    starting = make_gossip(1)
    for number in range(30):
        running.on_attempt_sent(number % 4, number)
        running.on_attempt_ended(1000.0, number % 4, number, is_loaded=True)
    running.collect_due_datagrams(1000.0)
    running.collect_due_datagrams(2000.0)
    (request,) = starting.collect_due_datagrams(3000.0)
    running.on_message(3005.0, 1, request.data)
    full_state = running.collect_due_datagrams(3010.0)
    assert full_state
    assert all(datagram.peer_index == 1 for datagram in full_state)
    for datagram in full_state:
        starting.on_message(3015.0, 0, datagram.data)
    assert all(starting.instances(3015.0, number)[number % 4].warm_age_ms for number in range(30))
    running.on_message(3020.0, 1, request.data)
    assert running.collect_due_datagrams(3100.0) == [], "requested twice, sent once"


@pytest.mark.parametrize("router_count", [3, 50, 400])
def test_the_cost_of_gossip_is_bounded_at_any_fleet_size(router_count: int) -> None:
    gossip = make_gossip(0, router_count, price=0.01)
    spent_bytes = 0.0
    calls = 3000
    now_ms = 0.0
    for number in range(calls):
        now_ms += 20.0
        gossip.on_first_attempt()
        gossip.on_attempt_sent(number % 50, number % 200)
        gossip.on_attempt_ended(now_ms, number % 50, number % 200, is_loaded=True)
        for datagram in gossip.collect_due_datagrams(now_ms):
            receivers = min(router_count - 1, MAX_FANOUT) if datagram.peer_index is None else 1
            spent_bytes += len(datagram.data) * receivers
    burst_bytes = BURST_DATAGRAMS * MAX_DATAGRAM_BYTES * MAX_FANOUT
    earned_bytes = calls * GOSSIP_COST_PER_CALL / 0.01 * MAX_DATAGRAM_BYTES
    assert 0.1 * earned_bytes < spent_bytes <= earned_bytes + burst_bytes


def test_datagrams_of_a_router_that_restarts_with_the_same_seed_are_accepted_at_once() -> None:
    sender_settings = settings(router_count=2, router_index=1)
    receiver = make_gossip(0, 2)
    for incarnation in (7, 8):
        sender = LoadGossip(sender_settings, 9, incarnation)
        sender.has_started = True
        for _ in range(10 - incarnation):  # the first incarnation sends more datagrams
            sender.on_attempt_sent(4, 42)
            now_ms = 1000.0 * incarnation
            for datagram in sender.collect_due_datagrams(now_ms + 100.0 * sender.sequence_number):
                receiver.on_message(now_ms, 1, datagram.data)
    assert receiver.in_flight_of_peers(8000.0, 4) == 2.0
