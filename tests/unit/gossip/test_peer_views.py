"""The peers' reports of their load, and their expiry."""

from __future__ import annotations

from cedarthread.gossip.codec import InstanceUpdate, LoadUpdate, WorkerUpdate
from cedarthread.gossip.peer_views import (
    COVERAGE_CACHE_MS,
    FULL_STATE_INTERVAL_MS,
    IN_FLIGHT_EXPIRY_MS,
    MAX_PAST_INCARNATIONS,
    PeerViews,
)

KEEP_ALIVE_MS = 10_000.0


def report(
    sequence_number: int, in_flight: int, *, incarnation: int = 1, is_warm: bool = False
) -> LoadUpdate:
    instance = InstanceUpdate(7, in_flight, 0.0 if is_warm else None)
    worker = WorkerUpdate(4, in_flight, (instance,))
    return LoadUpdate(incarnation, sequence_number, False, (worker,))


def test_an_older_sequence_number_changes_nothing() -> None:
    views = PeerViews()
    assert views.merge(0.0, 1, report(2, 5)) == {4: 5.0}
    assert views.merge(1.0, 1, report(1, 9)) == {4: 5.0}
    assert [entry.in_flight for _, entry in views.instance_reports(7)] == [5]
    assert views.merge(2.0, 1, report(3, 6)) == {4: 6.0}


def test_calls_in_flight_add_up_over_peers_and_expire_without_a_refresh() -> None:
    views = PeerViews()
    views.merge(0.0, 1, report(1, 5))
    views.merge(100.0, 2, report(1, 3))
    assert views.in_flight(IN_FLIGHT_EXPIRY_MS, 4) == 8.0
    assert views.in_flight(IN_FLIGHT_EXPIRY_MS + 1.0, 4) == 3.0
    assert views.expire(IN_FLIGHT_EXPIRY_MS + 1.0, KEEP_ALIVE_MS) == {4: 3.0}
    assert views.expire(IN_FLIGHT_EXPIRY_MS + 2.0, KEEP_ALIVE_MS) == {}, "it has expired already"


def test_a_warm_instance_outlives_the_calls_in_flight_up_to_its_keep_alive_time() -> None:
    views = PeerViews()
    views.merge(0.0, 1, report(1, 5, is_warm=True))
    views.expire(IN_FLIGHT_EXPIRY_MS + 1.0, KEEP_ALIVE_MS)
    assert [worker_id for worker_id, _ in views.instance_reports(7)] == [4]
    views.expire(KEEP_ALIVE_MS + 1.0, KEEP_ALIVE_MS)
    assert views.instance_reports(7) == []


def test_a_new_incarnation_replaces_the_view_and_past_incarnations_are_ignored() -> None:
    views = PeerViews()
    for incarnation in range(MAX_PAST_INCARNATIONS + 1):
        assert views.merge(0.0, 1, report(1, incarnation, incarnation=incarnation)) == {4: float(incarnation)}
    for incarnation in range(MAX_PAST_INCARNATIONS):
        assert views.merge(1.0, 1, report(9, 60, incarnation=incarnation)) == {}
    assert views.in_flight(1.0, 4) == MAX_PAST_INCARNATIONS


def test_a_full_state_is_sent_once_per_interval() -> None:
    views = PeerViews()
    request = LoadUpdate(1, 1, True, ())
    for now_ms in (0.0, FULL_STATE_INTERVAL_MS - 1.0, FULL_STATE_INTERVAL_MS):
        views.merge(now_ms, 2, request)
    assert views.full_state_requests == [2, 2]


def test_coverage_is_the_fraction_of_peers_with_recent_gossip_and_is_cached() -> None:
    views = PeerViews()
    assert views.coverage(0.0, 4) == 0.0
    views.merge(1.0, 1, report(1, 0))
    assert views.coverage(1.0, 4) == 0.25, "a new peer invalidates the cached coverage"
    assert views.coverage(1.0 + COVERAGE_CACHE_MS - 1.0, 2) == 0.25
    assert views.coverage(1.0 + COVERAGE_CACHE_MS, 2) == 0.5
    assert views.coverage(2.0 + IN_FLIGHT_EXPIRY_MS, 2) == 0.0
    assert views.coverage(2.0 + IN_FLIGHT_EXPIRY_MS + COVERAGE_CACHE_MS, 0) == 0.0


def test_the_reports_of_a_worker_or_of_an_instance_can_be_dropped() -> None:
    views = PeerViews()
    views.merge(0.0, 1, report(1, 5, is_warm=True))
    views.discard_instance(4, 8)
    views.discard_instance(5, 7)
    assert len(views.instance_reports(7)) == 1
    views.discard_instance(4, 7)
    assert views.instance_reports(7) == []
    assert views.in_flight(0.0, 4) == 5.0
    views.merge(1.0, 1, report(2, 5, is_warm=True))
    views.forget_warm_instances(4)
    assert views.instance_reports(7) == []
