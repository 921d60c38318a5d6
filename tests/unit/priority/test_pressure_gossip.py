"""Gossip of load pressure: the datagram, its propagation in a large fleet, and invalid datagrams."""

from __future__ import annotations

import random

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.priority import codec
from cedarthread.priority.codec import RouterPressure
from cedarthread.priority.pressure_gossip import PressureGossip

LARGE_FLEET = 200  # routers
STEP_MS = 250.0
DELIVERY_MS = 60.0
LOSS_RATE = 0.2
END_MS = 15_000.0


def test_datagrams_round_trip_and_ages_only_grow() -> None:
    reports = [
        RouterPressure(index, index / 32.0, 1.05**index, 50.0 * index) for index in range(codec.MAX_ENTRIES)
    ]
    data = codec.encode(reports)
    assert codec.decode(data) == tuple(reports)
    assert len(data) <= MAX_DATAGRAM_BYTES
    decoded = codec.decode(codec.encode([RouterPressure(1, 1.0, 9.0, 101.0)]))
    assert not isinstance(decoded, MalformedDatagram)
    assert decoded[0].age_ms == 150.0
    with pytest.raises(ValueError):
        codec.encode([*reports, reports[0]])


def test_in_a_large_fleet_reports_of_a_majority_arrive_in_bounded_bytes() -> None:
    rng = random.Random(1)
    sent_bytes = 0
    fleet = [PressureGossip(router_index, LARGE_FLEET, router_index) for router_index in range(LARGE_FLEET)]
    for gossip in fleet:
        gossip.alive_peers = tuple(index for index in range(LARGE_FLEET) if index != gossip.router_index)
    for step in range(60):
        now_ms = step * STEP_MS
        for gossip in fleet:
            gossip.record_own(now_ms, gossip.router_index % 2, 50.0)
            for peer_index, data in gossip.messages_due(now_ms):
                assert len(data) <= MAX_DATAGRAM_BYTES
                sent_bytes += len(data)
                if rng.random() > LOSS_RATE:
                    fleet[peer_index].on_message(now_ms + DELIVERY_MS, gossip.router_index, data)
    bytes_per_second = sent_bytes / LARGE_FLEET / (END_MS / 1000.0)
    assert bytes_per_second < 1024.0
    assert all(gossip.fleet_pressure(END_MS) is not None for gossip in fleet)
    fleet[0].alive_peers = tuple(range(1, 100))
    assert fleet[0].fleet_pressure(END_MS) is None, "half of the configured routers are not a majority"


def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    rng = random.Random(2)
    gossip = PressureGossip(0, 3, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        gossip.on_message(0.0, 1, rng.choice([data, bytes((0xC6,)) + data]))
    of_sender = RouterPressure(1, 1.0, 1.0, 0.0)
    of_receiver = RouterPressure(0, 7.9, 1.0, 0.0)
    expired = RouterPressure(2, 1.0, 1.0, 9e9)
    gossip.on_message(0.0, 1, codec.encode([of_sender, of_receiver, expired]))
    assert gossip.unreadable_count + gossip.invalid_count == 2000
    assert set(gossip.reports) == {1}, "a router never accepts its own pressure from others"
    unknown_router = RouterPressure(3, 1.0, 1.0, 0.0)
    gossip.on_message(0.0, 1, codec.encode([of_sender, unknown_router]))
    assert gossip.invalid_count
    assert 3 not in gossip.reports
