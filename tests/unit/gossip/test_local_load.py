"""The table of this router's own load, and its dirty entries."""

from __future__ import annotations

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.gossip import codec
from cedarthread.gossip.local_load import LocalLoadTable

KEEP_ALIVE_MS = 1000.0


def test_an_attempt_counts_from_its_start_to_its_end() -> None:
    table = LocalLoadTable()
    table.record_start(4, 7)
    table.record_start(4, 8)
    assert table.in_flight_by_worker == {4: 2}
    assert table.workers_by_function == {7: {4}, 8: {4}}
    assert table.record_end(10.0, 4, 7, is_loaded=True)
    assert table.in_flight_by_worker == {4: 1}
    assert table.workers_by_function == {8: {4}}
    assert table.instances[4, 7].warm_at_ms == 10.0


def test_an_attempt_that_was_never_recorded_changes_nothing() -> None:
    table = LocalLoadTable()
    assert not table.record_end(10.0, 4, 7, is_loaded=True)
    assert not table.instances
    assert not table.dirty


def test_the_end_of_an_attempt_updates_the_warm_instance_unless_its_state_is_unknown() -> None:
    table = LocalLoadTable()
    for now_ms, is_loaded, warm_at_ms in ((10.0, True, 10.0), (20.0, None, 10.0), (30.0, False, None)):
        table.record_start(4, 7)
        table.record_end(now_ms, 4, 7, is_loaded=is_loaded)
        assert table.instances[4, 7].warm_at_ms == warm_at_ms


def test_a_worker_that_loses_its_warm_instances_retains_its_calls_in_flight() -> None:
    table = LocalLoadTable()
    table.record_start(4, 7)
    table.record_start(4, 8)
    table.record_end(10.0, 4, 7, is_loaded=True)
    table.forget_warm_instances(4)
    assert list(table.instances) == [(4, 8)]
    assert table.instances[4, 8].in_flight == 1


def test_refresh_marks_entries_with_calls_and_drops_those_without_calls_and_warm_instance() -> None:
    table = LocalLoadTable()
    for function_hash in (7, 8, 9):
        table.record_start(4, function_hash)
    table.record_end(0.0, 4, 7, is_loaded=True)
    table.record_end(900.0, 4, 8, is_loaded=True)
    table.dirty.clear()
    table.refresh(KEEP_ALIVE_MS + 1.0, KEEP_ALIVE_MS)
    assert sorted(table.instances) == [(4, 8), (4, 9)]
    assert table.dirty == {4: {9: None}}


def test_dirty_entries_are_taken_in_order_as_many_as_fit_into_a_datagram() -> None:
    table = LocalLoadTable()
    for function_hash in range(100):
        table.record_start(5, function_hash)
    table.record_start(4, 0)
    taken: list[int] = []
    while table.dirty:
        updates = table.take_dirty(0.0)
        size = codec.encoded_size(len(updates), sum(len(update.instances) for update in updates))
        assert size <= MAX_DATAGRAM_BYTES
        taken += [update.worker_id for update in updates for _ in update.instances]
    assert taken == [5] * 100 + [4]


def test_the_most_recent_warm_instances_are_marked_first() -> None:
    table = LocalLoadTable()
    for function_hash, now_ms in ((7, 10.0), (8, 30.0), (9, 20.0)):
        table.record_start(4, function_hash)
        table.record_end(now_ms, 4, function_hash, is_loaded=True)
    table.dirty.clear()
    table.mark_warm_dirty(2)
    assert list(table.dirty[4]) == [8, 9]
