"""Freshness: which responses count, until when, and how ages are reported to peers."""

from __future__ import annotations

from cedarthread.replication import messages
from cedarthread.replication.store import ReplicatedStore
from cedarthread.replication.sync_exchange import MAX_TICK_GAP_MS
from tests.unit.replication.builders import next_request, response_to


def test_a_response_counts_once_from_the_requested_peer_and_not_after_a_pause() -> None:
    store = ReplicatedStore(0, 3, 1, 1, period_ms=400.0)
    store.restore((), is_voter=True)

    peer, request = next_request(store, 500.0)
    other_peer = 3 - peer
    store.on_message(510.0, other_peer, response_to(request))
    assert not store.is_fresh(510.0)

    peer, request = next_request(store, 1500.0)
    store.on_message(1600.0, peer, response_to(request))
    assert store.is_fresh(1600.0)
    assert store.fresh_since(1700.0) == 1600.0
    assert store.is_fresh(1500.0 + store.window_ms)
    assert not store.is_fresh(1501.0 + store.window_ms)

    peer, request = next_request(store, 2500.0)
    store.on_tick(2500.0 + MAX_TICK_GAP_MS + 1.0)
    store.on_message(4600.0, peer, response_to(request))
    assert not store.is_fresh(1501.0 + store.window_ms)


def test_ages_are_reported_as_the_fastest_clock_measures_them() -> None:
    store = ReplicatedStore(0, 3, 1, 1, window_ms=4800.0, clock_rate=0.05)
    freshness = store.replica.freshness
    freshness.read_as_voter_at_ms[1] = 0.0
    freshness.read_at_ms[1] = 0.0
    ages = [byte & messages.AGE_UNKNOWN for byte in freshness.encode_ages(2000.0, 0)]
    assert ages == [messages.AGE_UNKNOWN, 23, messages.AGE_UNKNOWN]
    assert freshness.encode_ages(6000.0, 0)[1] == messages.AGE_UNKNOWN


def test_ages_of_a_large_fleet_are_requested_in_segments() -> None:
    store = ReplicatedStore(0, 300, 1, 1)
    freshness = store.replica.freshness
    assert len(freshness.encode_ages(0.0, 0)) == 208
    assert len(freshness.encode_ages(0.0, 208)) == 92
    first_routers = {next_request(store, now_ms).request.first_router for now_ms in (1e3, 2e3, 3e3, 4e3)}
    assert first_routers == {0, 208}
