"""The dispatcher's tables: pending and completing calls, their deadlines and their figures."""

from __future__ import annotations

import asyncio
import gc
from typing import TYPE_CHECKING

from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.calls import Attempt, Call, CallFailed, CallRejected, CallSucceeded
from cedarthread.dispatch.context import DispatchContext
from cedarthread.dispatch.deadlines import CallDeadlines
from cedarthread.dispatch.figures import CLASS_FIGURES, CallFigures
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROUTER_SETTINGS = settings_from_object(SETTINGS)


def make_call(request_id: int, body: bytes = b"xyz") -> Call:
    call = Call(f"{request_id:016x}", 0, 7, 1000.0, body, lambda result: None)
    call.request_id, call.class_name = request_id, ROUTER_SETTINGS.classes[0].name
    return call


def test_a_table_is_full_by_number_or_by_bytes() -> None:
    calls = CallTable(max_body_bytes=5)
    calls.add(make_call(1))
    assert not calls.is_full(2)
    assert calls.is_full(1)
    calls.add(make_call(2))
    assert calls.is_full(100), "6 bytes are more than 5"


def test_a_released_call_is_known_until_its_attempts_have_ended() -> None:
    calls, call = CallTable(), make_call(1)
    calls.add(call)
    call.attempts.append(Attempt(call, 0, 1, 0.0))
    calls.release(call)
    assert call.is_complete
    assert not calls.pending
    assert not calls.pending_ids
    assert calls.pending_body_bytes == 0
    calls.forget_completed()
    assert calls.find(1) is call
    call.attempts[0].is_ended = True
    calls.forget_completed()
    assert calls.find(1) is None
    assert not calls.completing


def on_clock(scenario: Callable[[CallTable, CallDeadlines, list[float], list[int]], Awaitable[None]]) -> None:
    """Run a scenario with a clock that it sets, and the ids of the calls that were due."""

    async def run() -> None:
        now_ms, due = [0.0], list[int]()
        context = DispatchContext(ROUTER_SETTINGS, lambda: now_ms[0])
        calls = CallTable()
        deadlines = CallDeadlines(context, calls, lambda call: due.append(call.request_id))
        await scenario(calls, deadlines, now_ms, due)

    asyncio.run(run())


def test_calls_are_due_in_the_order_of_their_deadlines() -> None:
    async def scenario(
        calls: CallTable, deadlines: CallDeadlines, now_ms: list[float], due: list[int]
    ) -> None:
        for request_id, at_ms in ((1, 300.0), (2, 100.0), (3, 200.0)):
            call = make_call(request_id)
            calls.add(call)
            deadlines.schedule(at_ms, call)
        now_ms[0] = 250.0
        deadlines.run_if_due(now_ms[0])
        assert due == [2, 3]
        now_ms[0] = 300.0
        deadlines.run_if_due(now_ms[0])
        assert due == [2, 3, 1]

    on_clock(scenario)


def test_a_call_that_is_complete_is_never_due() -> None:
    async def scenario(
        calls: CallTable, deadlines: CallDeadlines, now_ms: list[float], due: list[int]
    ) -> None:
        call = make_call(1)
        calls.add(call)
        deadlines.schedule(100.0, call)
        calls.release(call)
        now_ms[0] = 500.0
        deadlines.run_if_due(now_ms[0])
        assert due == []

    on_clock(scenario)


def test_nothing_is_due_before_its_time() -> None:
    async def scenario(
        calls: CallTable, deadlines: CallDeadlines, now_ms: list[float], due: list[int]
    ) -> None:
        call = make_call(1)
        calls.add(call)
        deadlines.schedule(100.0, call)
        now_ms[0] = 99.0
        deadlines.run_if_due(now_ms[0])
        assert due == []

    on_clock(scenario)


def test_results_are_counted_by_kind_and_class() -> None:
    figures, call = CallFigures(ROUTER_SETTINGS), make_call(1)
    for _ in range(4):
        figures.count_accepted()
    figures.count_result(call, CallSucceeded(b""))
    figures.count_result(call, CallRejected(None))
    figures.count_result(call, CallFailed())
    figures.count_client_disconnected()
    figures.count_attempt_written(call)
    assert figures.by_result == {"accepted": 4, "served": 1, "rejected": 1, "failed": 1, "abandoned": 1}
    assert figures.by_class[call.class_name] == dict.fromkeys(CLASS_FIGURES, 1)
    others = [counts for name, counts in figures.by_class.items() if name != call.class_name]
    assert others
    assert all(counts == dict.fromkeys(CLASS_FIGURES, 0) for counts in others)


def test_a_forgotten_call_is_freed_without_the_garbage_collector() -> None:
    """With its body it would wait for the next collection, thousands of calls later."""

    def run_call(calls: CallTable) -> None:
        call = make_call(1)
        calls.add(call)
        call.attempts.append(Attempt(call, 0, 1, 0.0, is_ended=True))
        calls.release(call)
        calls.forget_completed()

    def count_calls() -> int:
        return sum(isinstance(one, (Call, Attempt)) for one in gc.get_objects())

    gc.collect()
    gc.disable()
    try:
        before = count_calls()
        run_call(CallTable())
        assert count_calls() == before
    finally:
        gc.enable()
