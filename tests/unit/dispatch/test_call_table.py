"""The table of pending and completed calls."""

from __future__ import annotations

import gc

from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.calls import Attempt, Call
from tests.unit.dispatch.builders import make_call


def test_the_table_is_full_at_the_limit_on_calls_or_on_bytes() -> None:
    calls = CallTable(max_body_bytes=5)
    calls.add(make_call(1))
    assert not calls.is_full(2)
    assert calls.is_full(1)
    calls.add(make_call(2))
    assert calls.is_full(100), "6 bytes are more than 5"


def test_a_completed_call_stays_in_the_table_until_its_attempts_have_ended() -> None:
    calls = CallTable()
    call = make_call(1)
    calls.add(call)
    call.attempts.append(Attempt(call, 0, 1, 0.0))
    calls.mark_completed(call)
    assert call.is_complete
    assert not calls.pending
    assert not calls.pending_ids
    assert calls.pending_body_bytes == 0
    calls.remove_completed()
    assert calls.find(1) is call
    call.attempts[0].is_ended = True
    calls.remove_completed()
    assert calls.find(1) is None
    assert not calls.completed


def test_a_removed_call_is_freed_without_the_garbage_collector() -> None:
    """Guard against a reference cycle, which keeps the body in memory for thousands of further calls."""

    def run_call(calls: CallTable) -> None:
        call = make_call(1)
        calls.add(call)
        call.attempts.append(Attempt(call, 0, 1, 0.0, is_ended=True))
        calls.mark_completed(call)
        calls.remove_completed()

    def count_calls() -> int:
        return sum(isinstance(tracked, (Call, Attempt)) for tracked in gc.get_objects())

    gc.collect()
    gc.disable()
    try:
        count_before = count_calls()
        run_call(CallTable())
        assert count_calls() == count_before
    finally:
        gc.enable()
