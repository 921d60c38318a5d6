"""The dispatcher with a fake worker transport: each call gets exactly one result."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.dispatch.calls import AttemptResult, CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from tests.unit.dispatch.builders import make_dispatcher, run_iterations, submit_call

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.model.actions import Action

OUTCOMES = [outcome for outcome in Outcome if outcome not in (Outcome.OK, Outcome.NOT_SENT)]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from([*OUTCOMES, Outcome.OK]), st.integers(0, 2)), max_size=12))
def test_every_call_gets_one_result_and_one_attempt_at_a_time(endings: list[tuple[Outcome, int]]) -> None:
    async def test() -> None:
        dispatcher, _transport = make_dispatcher()
        results: list[list[CallResult]] = [[] for _ in range(3)]
        calls = [submit_call(dispatcher, results[class_index], class_index) for class_index in range(3)]
        for outcome, class_index in endings:
            await run_iterations()
            in_flight = [attempt for attempt in calls[class_index].attempts if not attempt.is_ended]
            assert len(in_flight) <= 1
            for attempt in in_flight:
                dispatcher.attempt_ended(attempt, AttemptResult(outcome, b"y"))
                # Ending the same attempt again has no effect.
                dispatcher.attempt_ended(attempt, AttemptResult(Outcome.OK, b"z"))
        await run_iterations()
        dispatcher.complete_all_by(dispatcher.clock())
        while dispatcher.pending_calls:
            await asyncio.sleep(0)
        await run_iterations()
        assert [len(results_of_call) for results_of_call in results] == [1, 1, 1]
        possibly_executed = [attempt for attempt in calls[2].attempts if attempt.may_have_executed()]
        assert (
            dispatcher.calls.pending_body_bytes == 0
            and not dispatcher.router.pending_requests
            and not dispatcher.router.orphaned_attempts
        )
        # A call that is not idempotent is only retried after the previous attempt has ended.
        for attempt in possibly_executed[:-1]:
            assert attempt.is_ended
        assert all(not isinstance(result, CallSucceeded) or result.body == b"y" for result, *_ in results)

    asyncio.run(test())


def test_a_call_gets_a_result_even_if_the_router_raises() -> None:
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
        assert isinstance(results[0], CallRejected)
        assert results[0].timed_out

    asyncio.run(test())


def test_the_deadline_cancels_the_attempt_and_fails_a_call_that_may_have_executed() -> None:
    async def test() -> None:
        dispatcher, transport = make_dispatcher()
        results: list[CallResult] = []
        submit_call(dispatcher, results, class_index=2, limit_ms=250.0)
        while not results:
            await asyncio.sleep(0)
        assert results == [CallFailed(timed_out=True)]
        assert transport.cancelled == transport.sent

    asyncio.run(test())


def test_a_call_beyond_the_limit_on_body_bytes_is_rejected_immediately() -> None:
    async def test() -> None:
        dispatcher, transport = make_dispatcher()
        dispatcher.calls.pending_body_bytes = 2**40
        results: list[CallResult] = []
        submit_call(dispatcher, results)
        assert len(results) == 1
        assert isinstance(results[0], CallRejected)
        assert not transport.sent

    asyncio.run(test())


def test_a_rejection_by_the_router_is_delivered_in_the_same_iteration_with_a_retry_after() -> None:
    async def test() -> None:
        dispatcher, _ = make_dispatcher(worker_count=1)
        results: list[CallResult] = []
        call = submit_call(dispatcher, results)
        await run_iterations()
        dispatcher.router.state.retry_budget.tokens = 0.0
        dispatcher.attempt_ended(call.attempts[0], AttemptResult(Outcome.OVERLOADED))
        await run_iterations()
        assert len(results) == 1
        assert isinstance(results[0], CallRejected)
        assert (results[0].retry_after_ms or 0) > 0

    asyncio.run(test())


def test_all_calls_share_one_timer() -> None:
    """Guard against replaced timers that are not cancelled, which took 13% of the CPU time."""

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


def test_a_late_iteration_completes_overdue_calls_first() -> None:
    """Guard against missed deadlines, because the loop runs its timers late while CPU time is scarce."""

    async def test() -> None:
        dispatcher, _ = make_dispatcher()
        now_ms = dispatcher.clock()
        dispatcher.context.clock = lambda: now_ms
        results: list[CallResult] = []
        submit_call(dispatcher, results, class_index=2, limit_ms=1000.0)
        await run_iterations()
        result_counts_at_flush: list[int] = []
        dispatcher.flush_output = lambda: result_counts_at_flush.append(len(results))
        # No timer has fired, because no time has passed on the event loop's clock.
        dispatcher.context.clock = lambda: now_ms + 1001.0
        dispatcher.endpoints_changed(EndpointUpdate(EndpointUpdateKind.DELTA, 2))
        await asyncio.sleep(0)
        assert results == [CallFailed(timed_out=True)]
        assert result_counts_at_flush == [1]

    asyncio.run(test())
