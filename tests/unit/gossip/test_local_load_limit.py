"""The limits on this router's own load table, whose functions clients choose."""

from __future__ import annotations

from cedarthread.gossip.local_load import MAX_DIRTY_PER_WORKER, MAX_INSTANCES, LocalLoadTable

WORKER = 7


def test_calls_of_ever_new_functions_do_not_grow_the_table_and_its_unsent_changes() -> None:
    table = LocalLoadTable()
    table.record_start(WORKER, 1)
    for function_hash in range(2, 2 * MAX_INSTANCES):
        table.record_start(WORKER, function_hash)
        table.record_end(0.0, WORKER, function_hash, is_loaded=True)
    assert len(table.instances) == MAX_INSTANCES
    assert (WORKER, 1) in table.instances, "its call is in flight"
    assert len(table.dirty[WORKER]) == MAX_DIRTY_PER_WORKER
    assert table.in_flight_by_worker == {WORKER: 1}
