"""The limit on function records: what a full table forgets."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.routing.function_table import MAX_EVICTION_CANDIDATES, FunctionTable

EXPIRY_MS = 1e9
MAX_FUNCTIONS = 8


def call(table: FunctionTable, now_ms: float, function_id: int) -> None:
    table.on_call(now_ms, function_id, 1.0, EXPIRY_MS)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 40), max_size=300))
def test_a_table_without_open_requests_never_exceeds_its_limit(function_ids: list[int]) -> None:
    table = FunctionTable(MAX_FUNCTIONS)
    for now_ms, function_id in enumerate(function_ids):
        call(table, now_ms, function_id)
        assert len(table.by_id) <= MAX_FUNCTIONS
        assert function_id in table.by_id
        assert table._called_once.keys() <= table.by_id.keys()


def test_calls_of_ever_new_functions_do_not_displace_one_that_was_called_again() -> None:
    table = FunctionTable(MAX_FUNCTIONS)
    call(table, 0.0, 1)
    call(table, 1.0, 1)
    for number in range(1000):
        call(table, 2.0 + number, 100 + number)
    assert 1 in table.by_id
    assert table.evicted_count == 1000 - (MAX_FUNCTIONS - 1)


def test_a_function_with_an_open_request_or_a_preload_is_not_forgotten() -> None:
    table = FunctionTable(MAX_FUNCTIONS)
    in_use = table.on_call(0.0, 1, 1.0, EXPIRY_MS)
    in_use.open_requests = 1
    preloading = table.on_call(0.0, 2, 1.0, EXPIRY_MS)
    table.start_preload(preloading, 7)
    for number in range(100):
        call(table, 1.0 + number, 100 + number)
    assert {1, 2} <= table.by_id.keys()
    assert table.preloads_in_flight == 1


def test_the_table_grows_while_all_candidates_are_in_use() -> None:
    table = FunctionTable(MAX_FUNCTIONS)
    for function_id in range(MAX_FUNCTIONS + MAX_EVICTION_CANDIDATES):
        table.on_call(0.0, function_id, 1.0, EXPIRY_MS).open_requests = 1
    assert len(table.by_id) == MAX_FUNCTIONS + MAX_EVICTION_CANDIDATES
