"""The deadlines of calls on one timer, with a fake clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.dispatch.call_table import CallTable
from cedarthread.dispatch.context import DispatchContext
from cedarthread.dispatch.deadlines import MAX_ENTRIES_PER_CALL, MIN_PRUNED_ENTRIES, CallDeadlines
from tests.unit.dispatch.builders import ROUTER_SETTINGS, make_call

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from cedarthread.dispatch.calls import Call


class DeadlinesOnFakeClock:
    """Deadlines on a fake clock, and the request ids of the calls that became due."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.due: list[int] = []
        self.calls = CallTable()
        context = DispatchContext(ROUTER_SETTINGS, lambda: self.now_ms)
        self.deadlines = CallDeadlines(context, self.calls, lambda call: self.due.append(call.request_id))

    def add_call(self, request_id: int, at_ms: float) -> Call:
        """Add a pending call that is due at ``at_ms``."""
        call = make_call(request_id)
        self.calls.add(call)
        self.deadlines.schedule(at_ms, call)
        return call

    def run_at(self, now_ms: float) -> None:
        """Set the clock and handle the due calls."""
        self.now_ms = now_ms
        self.deadlines.run_if_due(now_ms)


def run_on_loop(scenario: Callable[[DeadlinesOnFakeClock], Awaitable[None]]) -> None:
    """Run a scenario on an event loop."""

    async def run() -> None:
        await scenario(DeadlinesOnFakeClock())

    asyncio.run(run())


def test_calls_are_due_in_the_order_of_their_deadlines() -> None:
    async def scenario(case: DeadlinesOnFakeClock) -> None:
        for request_id, at_ms in ((1, 300.0), (2, 100.0), (3, 200.0)):
            case.add_call(request_id, at_ms)
        case.run_at(250.0)
        assert case.due == [2, 3]
        case.run_at(300.0)
        assert case.due == [2, 3, 1]

    run_on_loop(scenario)


def test_a_completed_call_is_never_due() -> None:
    async def scenario(case: DeadlinesOnFakeClock) -> None:
        call = case.add_call(1, 100.0)
        case.calls.mark_completed(call)
        case.run_at(500.0)
        assert case.due == []

    run_on_loop(scenario)


def test_a_call_is_not_due_before_its_deadline() -> None:
    async def scenario(case: DeadlinesOnFakeClock) -> None:
        case.add_call(1, 100.0)
        case.run_at(99.0)
        assert case.due == []

    run_on_loop(scenario)


def test_entries_of_completed_calls_with_late_deadlines_are_dropped() -> None:
    async def scenario(case: DeadlinesOnFakeClock) -> None:
        first = case.add_call(0, 100.0)
        for request_id in range(1, 3 * MIN_PRUNED_ENTRIES):
            case.calls.mark_completed(case.add_call(request_id, 1e6 + request_id))
            case.calls.remove_completed()
        assert len(case.deadlines._timer_queue) <= MIN_PRUNED_ENTRIES + MAX_ENTRIES_PER_CALL + 1
        assert first.request_id in case.calls.pending
        case.run_at(100.0)
        assert case.due == [0]

    run_on_loop(scenario)
