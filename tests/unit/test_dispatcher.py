"""The planner with a stand-in for the way to the workers: one answer each, whatever happens."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
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
from cedarthread.model.actions import Action
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS


class Ways:
    """Keeps what is sent."""

    def __init__(self, planner: Dispatcher) -> None:
        self.planner = planner
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        attempt.progress = Progress.WRITTEN
        self.sent.append(attempt)

    def refresh_progress(self, attempt: Attempt) -> None: ...

    def withdraw_unsent(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)
        self.planner.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None: ...

    def unload(self, worker_id: int, function_id: int) -> None: ...

    def close_idle_connections(self, worker_id: int) -> None: ...


def make(workers: int = 2) -> tuple[Dispatcher, Ways]:
    planner = Dispatcher(settings_from_object(SETTINGS), 3)
    ways = Ways(planner)
    planner.connect_workers(ways)
    listed = tuple(Endpoint(n, 0, 0, 0, EndpointState.READY, None, None) for n in range(1, workers + 1))
    planner.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    return planner, ways


def call(planner: Dispatcher, answers: list[CallResult], klass: int = 0, left: float = 2000.0) -> Call:
    made = Call("a" * 16, klass, 7, planner.clock() + left, b"x", answers.append)
    planner.submit(made)
    return made


async def turns(count: int = 5) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


OUTCOMES = [o for o in Outcome if o not in (Outcome.OK, Outcome.NOT_SENT)]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.sampled_from([*OUTCOMES, Outcome.OK]), st.integers(0, 2)), max_size=12))
def test_every_call_gets_one_answer_and_one_attempt_at_a_time(fates: list[tuple[Outcome, int]]) -> None:
    async def test() -> None:
        planner, _ways = make()
        answers: list[list[CallResult]] = [[] for _ in range(3)]
        calls = [call(planner, answers[klass], klass) for klass in range(3)]
        for outcome, klass in fates:
            await turns()
            out = [a for a in calls[klass].attempts if not a.is_ended]
            assert len(out) <= 1
            for attempt in out:
                planner.attempt_ended(attempt, AttemptResult(outcome, b"y"))
                planner.attempt_ended(
                    attempt, AttemptResult(Outcome.OK, b"z")
                )  # a second end counts for nothing
        await turns()
        planner.complete_all_by(planner.clock())
        while planner.pending_calls:
            await asyncio.sleep(0)
        await turns()
        assert [len(got) for got in answers] == [1, 1, 1]
        ran = [a for a in calls[2].attempts if a.may_have_executed()]
        assert (
            planner.calls.pending_body_bytes == 0
            and not planner.router.pending_requests
            and not planner.router.orphaned_attempts
        )
        for attempt in ran[:-1]:  # an unsafe call goes on only after what proves that it never ran
            assert attempt.is_ended
        assert all(not isinstance(got[0], CallSucceeded) or got[0].body == b"y" for got in answers)

    asyncio.run(test())


def test_a_broken_connection_tells_by_how_far_the_attempt_had_come() -> None:
    blank = Call("a" * 16, 0, 7, 0.0, b"", lambda answer: None)
    for progress in Progress:
        attempt = Attempt(blank, 0, 1, 0.0, progress)
        ran = progress >= Progress.WRITTEN
        assert connection_lost_result(attempt).outcome is (Outcome.RESET if ran else Outcome.CONNECT_FAILED)


def test_decisions_that_raise_leave_no_call_unanswered() -> None:
    async def test() -> None:
        planner, _ = make()

        def fail(now: float, event: Any) -> list[Action]:
            raise RuntimeError("a fault of the module")

        handle: Callable[..., list[Action]] = fail
        planner.router.handle = handle  # type: ignore[method-assign]
        answers: list[CallResult] = []
        call(planner, answers, left=20.0)
        while not answers:
            await asyncio.sleep(0)
        assert isinstance(answers[0], CallRejected) and answers[0].timed_out

    asyncio.run(test())


def test_time_up_cancels_the_attempt_and_fails_what_may_have_run() -> None:
    async def test() -> None:
        planner, ways = make()
        answers: list[CallResult] = []
        call(planner, answers, klass=2, left=250.0)
        while not answers:
            await asyncio.sleep(0)
        assert answers == [CallFailed(timed_out=True)] and ways.cancelled == ways.sent

    asyncio.run(test())


def test_bodies_beyond_the_bound_are_refused_at_once() -> None:
    async def test() -> None:
        planner, ways = make()
        planner.calls.pending_body_bytes = 2**40
        answers: list[CallResult] = []
        call(planner, answers)
        assert len(answers) == 1 and isinstance(answers[0], CallRejected) and not ways.sent

    asyncio.run(test())


def test_a_refusal_by_the_decisions_is_not_held_back() -> None:
    """What the module gives up on is answered in the same turn, with the time to keep away."""

    async def test() -> None:
        planner, _ = make(workers=1)
        answers: list[CallResult] = []
        made = call(planner, answers)
        await turns()
        planner.router.state.retry_budget.tokens = 0.0
        planner.attempt_ended(made.attempts[0], AttemptResult(Outcome.OVERLOADED))
        await turns()
        assert (
            len(answers) == 1
            and isinstance(answers[0], CallRejected)
            and (answers[0].retry_after_ms or 0) > 0
        )

    asyncio.run(test())


def test_the_timer_of_all_calls_does_not_breed() -> None:
    """Each call due before the others moved the one timer, and the old one lived on: 13% of the CPU."""

    async def test() -> None:
        planner, _ = make()
        handles: list[asyncio.TimerHandle] = []
        at = planner.context.call_at

        def kept(at_ms: float, callback: Callable[..., None], *args: Any) -> asyncio.TimerHandle:
            handles.append(at(at_ms, callback, *args))
            return handles[-1]

        planner.context.call_at = kept  # type: ignore[method-assign]
        answers: list[CallResult] = []
        for number in range(50):
            call(planner, answers, left=5000.0 - number)
        assert sum(not handle.cancelled() for handle in handles) == 1

    asyncio.run(test())


def test_a_tenth_of_the_limit_is_kept_for_the_way_back() -> None:
    assert call_deadline_ms(1000.0, 2000.0) == 2800.0
    assert call_deadline_ms(1000.0, 100.0) == 1060.0  # but never less than 40 ms, where there are so many
    assert call_deadline_ms(1000.0, 20.0) == 1010.0


def test_a_late_turn_answers_what_is_overdue_before_anything_else() -> None:
    """With the CPU short, a turn's reading comes before its timers: answers missed their limit behind it."""

    async def test() -> None:
        planner, _ = make()
        now = planner.clock()
        planner.context.clock = lambda: now
        answers: list[CallResult] = []
        call(planner, answers, klass=2, left=1000.0)
        await turns()
        written: list[int] = []
        planner.flush_output = lambda: written.append(len(answers))
        planner.context.clock = lambda: (
            now + 1001.0
        )  # no timer has fired, since no time has passed for the loop
        planner.endpoints_changed(EndpointUpdate(EndpointUpdateKind.DELTA, 2))
        await asyncio.sleep(0)
        assert answers == [CallFailed(timed_out=True)] and written == [1]

    asyncio.run(test())


def test_a_step_of_the_wall_clock_moves_no_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    wall, since = [1_760_000_000.0], [50.0]
    told = SimpleNamespace(time=lambda: wall[0], monotonic=lambda: since[0])
    monkeypatch.setattr(clock_module, "time", told)
    clock = clock_module.steady_unix_clock_ms()
    assert clock() == 1_760_000_000_000.0
    since[0] += 2.0
    for step in (-3600.0, 7200.0):
        wall[0] += step
        assert clock() == 1_760_000_002_000.0
