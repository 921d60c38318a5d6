"""The dispatcher with a fake worker transport: each call gets one result, whatever happens."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.dispatch import clock as clock_module
from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Call,
    CallFailed,
    CallRejected,
    CallResult,
    CallSucceeded,
    Progress,
    call_deadline_ms,
    connection_lost_result,
)
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from cedarthread.model.actions import Action


class FakeTransport:
    """Records the attempts that are sent and cancelled."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        attempt.progress = Progress.WRITTEN
        self.sent.append(attempt)

    def refresh_progress(self, attempt: Attempt) -> None: ...

    def withdraw_unsent(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None: ...

    def unload(self, worker_id: int, function_id: int) -> None: ...

    def close_idle_connections(self, worker_id: int) -> None: ...


def make_dispatcher(worker_count: int = 2) -> tuple[Dispatcher, FakeTransport]:
    dispatcher = Dispatcher(settings_from_object(SETTINGS), 3)
    transport = FakeTransport(dispatcher)
    dispatcher.connect_workers(transport)
    endpoints = tuple(
        Endpoint(n, 0, 0, 0, EndpointState.READY, None, None) for n in range(1, worker_count + 1)
    )
    dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
    return dispatcher, transport


def submit_call(
    dispatcher: Dispatcher, results: list[CallResult], class_index: int = 0, limit_ms: float = 2000.0
) -> Call:
    call = Call("a" * 16, class_index, 7, dispatcher.clock() + limit_ms, b"x", results.append)
    dispatcher.submit(call)
    return call


async def iterate(count: int = 5) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


OUTCOMES = [outcome for outcome in Outcome if outcome not in (Outcome.OK, Outcome.NOT_SENT)]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from([*OUTCOMES, Outcome.OK]), st.integers(0, 2)), max_size=12))
def test_every_call_gets_one_result_and_one_attempt_at_a_time(endings: list[tuple[Outcome, int]]) -> None:
    async def test() -> None:
        dispatcher, _transport = make_dispatcher()
        results: list[list[CallResult]] = [[] for _ in range(3)]
        calls = [submit_call(dispatcher, results[class_index], class_index) for class_index in range(3)]
        for outcome, class_index in endings:
            await iterate()
            in_flight = [attempt for attempt in calls[class_index].attempts if not attempt.is_ended]
            assert len(in_flight) <= 1
            for attempt in in_flight:
                dispatcher.attempt_ended(attempt, AttemptResult(outcome, b"y"))
                # A second end counts for nothing.
                dispatcher.attempt_ended(attempt, AttemptResult(Outcome.OK, b"z"))
        await iterate()
        dispatcher.complete_all_by(dispatcher.clock())
        while dispatcher.pending_calls:
            await asyncio.sleep(0)
        await iterate()
        assert [len(results_of_call) for results_of_call in results] == [1, 1, 1]
        possibly_executed = [attempt for attempt in calls[2].attempts if attempt.may_have_executed()]
        assert (
            dispatcher.calls.pending_body_bytes == 0
            and not dispatcher.router.pending_requests
            and not dispatcher.router.orphaned_attempts
        )
        for attempt in possibly_executed[:-1]:  # no retry of a call that is not idempotent before its end
            assert attempt.is_ended
        assert all(not isinstance(result, CallSucceeded) or result.body == b"y" for result, *_ in results)

    asyncio.run(test())


def test_the_result_of_a_lost_connection_depends_on_the_progress() -> None:
    call = Call("a" * 16, 0, 7, 0.0, b"", lambda result: None)
    for progress in Progress:
        attempt = Attempt(call, 0, 1, 0.0, progress)
        is_written = progress >= Progress.WRITTEN
        expected = Outcome.RESET if is_written else Outcome.CONNECT_FAILED
        assert connection_lost_result(attempt).outcome is expected


def test_a_router_that_raises_leaves_no_call_without_a_result() -> None:
    async def test() -> None:
        dispatcher, _ = make_dispatcher()

        def fail(now_ms: float, event: Any) -> list[Action]:
            raise RuntimeError("a fault of the router")

        handle: Callable[..., list[Action]] = fail
        dispatcher.router.handle = handle  # type: ignore[method-assign]
        results: list[CallResult] = []
        submit_call(dispatcher, results, limit_ms=20.0)
        while not results:
            await asyncio.sleep(0)
        assert isinstance(results[0], CallRejected) and results[0].timed_out

    asyncio.run(test())


def test_the_deadline_cancels_the_attempt_and_fails_a_call_that_may_have_executed() -> None:
    async def test() -> None:
        dispatcher, transport = make_dispatcher()
        results: list[CallResult] = []
        submit_call(dispatcher, results, class_index=2, limit_ms=250.0)
        while not results:
            await asyncio.sleep(0)
        assert results == [CallFailed(timed_out=True)] and transport.cancelled == transport.sent

    asyncio.run(test())


def test_a_call_beyond_the_bound_on_bodies_is_rejected_at_once() -> None:
    async def test() -> None:
        dispatcher, transport = make_dispatcher()
        dispatcher.calls.pending_body_bytes = 2**40
        results: list[CallResult] = []
        submit_call(dispatcher, results)
        assert len(results) == 1 and isinstance(results[0], CallRejected) and not transport.sent

    asyncio.run(test())


def test_a_rejection_by_the_router_is_delivered_in_the_same_iteration() -> None:
    """The client also learns after which time it may retry."""

    async def test() -> None:
        dispatcher, _ = make_dispatcher(worker_count=1)
        results: list[CallResult] = []
        call = submit_call(dispatcher, results)
        await iterate()
        dispatcher.router.state.retry_budget.tokens = 0.0
        dispatcher.attempt_ended(call.attempts[0], AttemptResult(Outcome.OVERLOADED))
        await iterate()
        assert (
            len(results) == 1
            and isinstance(results[0], CallRejected)
            and (results[0].retry_after_ms or 0) > 0
        )

    asyncio.run(test())


def test_all_calls_share_one_timer() -> None:
    """When an earlier call moves the timer, the old one must not live on: that took 13% of the CPU."""

    async def test() -> None:
        dispatcher, _ = make_dispatcher()
        handles: list[asyncio.TimerHandle] = []
        call_at = dispatcher.context.call_at

        def recorded(at_ms: float, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
            handles.append(call_at(at_ms, callback, *args))
            return handles[-1]

        dispatcher.context.call_at = recorded  # type: ignore[method-assign, assignment]
        results: list[CallResult] = []
        for number in range(50):
            submit_call(dispatcher, results, limit_ms=5000.0 - number)
        assert sum(not handle.cancelled() for handle in handles) == 1

    asyncio.run(test())


def test_a_tenth_of_the_time_limit_is_kept_back() -> None:
    assert call_deadline_ms(1000.0, 2000.0) == 2800.0
    assert call_deadline_ms(1000.0, 100.0) == 1060.0  # at least 40 ms, but at most half of the limit
    assert call_deadline_ms(1000.0, 20.0) == 1010.0


def test_a_late_iteration_completes_overdue_calls_first() -> None:
    """With the CPU short, an iteration reads sockets before its timers run: results missed their limit."""

    async def test() -> None:
        dispatcher, _ = make_dispatcher()
        now_ms = dispatcher.clock()
        dispatcher.context.clock = lambda: now_ms
        results: list[CallResult] = []
        submit_call(dispatcher, results, class_index=2, limit_ms=1000.0)
        await iterate()
        result_counts_at_flush: list[int] = []
        dispatcher.flush_output = lambda: result_counts_at_flush.append(len(results))
        # No timer has fired, since no time has passed for the loop.
        dispatcher.context.clock = lambda: now_ms + 1001.0
        dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.DELTA, 2))
        await asyncio.sleep(0)
        assert results == [CallFailed(timed_out=True)] and result_counts_at_flush == [1]

    asyncio.run(test())


def test_a_step_of_the_wall_clock_moves_no_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    wall_s, monotonic_s = [1_760_000_000.0], [50.0]
    clocks = SimpleNamespace(time=lambda: wall_s[0], monotonic=lambda: monotonic_s[0])
    monkeypatch.setattr(clock_module, "time", clocks)
    clock = clock_module.steady_unix_clock_ms()
    assert clock() == 1_760_000_000_000.0
    monotonic_s[0] += 2.0
    for step_s in (-3600.0, 7200.0):
        wall_s[0] += step_s
        assert clock() == 1_760_000_002_000.0
