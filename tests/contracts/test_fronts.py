"""Tests of the contract between a router and its clients, for each protocol in ``ROUTERS``."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.settings import SETTINGS
from tests.contracts.router_harness import Answer, AnswerKind, RouterHarness, WorkerAction
from tests.contracts.simulator_harness import SimulatorHarness
from tests.contracts.socket_harness import InvokeHarness, PlatformHarness
from tests.integration import invoke_caller

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from tests.integration.invoke_caller import Authority

authority = invoke_caller.authority

ROUTERS: dict[str, Callable[[], RouterHarness]] = {
    "wire": SimulatorHarness,
    "platform": PlatformHarness,
    "invoke": InvokeHarness,
}


async def a_call_gets_exactly_one_answer(router: RouterHarness) -> None:
    """Check one answer although an attempt ends twice, by two responses or by one and a broken connection."""
    for number, actions in (
        (1, (WorkerAction.SERVE, WorkerAction.SERVE, WorkerAction.REJECT)),
        (2, (WorkerAction.SERVE, WorkerAction.BREAK_CONNECTION)),
        (3, (WorkerAction.BREAK_CONNECTION, WorkerAction.SERVE)),
    ):
        router.call(number, "confirm")
        attempt = await router.first_attempt(number)
        for action in actions:
            router.respond(attempt, action)
        await router.serve_call(10 + number)
        assert len(router.answers_to(number)) == 1


async def a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled(router: RouterHarness) -> None:
    """Check that after a cancellation neither a later response nor the deadline produces an answer."""
    for number, timeout_ms in ((1, 900), (2, 400)):
        router.call(number, "confirm", timeout_ms)
        await router.first_attempt(number)
    router.disconnect(1)
    await router.wait_until(lambda: router.cancelled != set() or router.answers_to(2) != [])
    assert router.cancelled == {1}
    assert router.answers_to(2) == []
    router.respond(router.attempts[0], WorkerAction.SERVE)
    router.call(3, "confirm", 1200)
    await router.wait_until(lambda: router.answers_to(3) != [])
    assert [number for number, _ in router.answers] == [2, 3]


async def a_draining_worker_gets_no_calls(router: RouterHarness) -> None:
    first_worker = await router.serve_call(1)
    router.drain(first_worker)
    assert {await router.serve_call(number) for number in range(2, 8)} == {3 - first_worker}


async def a_call_that_all_workers_reject_is_rejected_with_a_retry_time(router: RouterHarness) -> None:
    router.is_rejecting = True
    router.call(1, "check", 300)
    await router.wait_until(lambda: router.answers_to(1) != [])
    (answer,) = router.answers_to(1)
    assert answer.kind is AnswerKind.REJECTED
    assert 0.0 < answer.retry_after_ms <= SETTINGS["limits"]["max-retry-after"]
    assert {attempt.worker for attempt in router.attempts} == {1, 2}


async def a_call_that_may_not_run_twice_fails_without_a_retry_when_its_connection_breaks(
    router: RouterHarness,
) -> None:
    await router.serve_call(1)
    router.call(2, "confirm")
    router.respond(await router.first_attempt(2), WorkerAction.BREAK_CONNECTION)
    await router.wait_until(lambda: router.answers_to(2) != [])
    assert router.answers_to(2) == [Answer(AnswerKind.FAILED, 0.0)]
    assert [attempt.call_number for attempt in router.attempts] == [1, 2]


async def each_call_is_answered_by_its_own_deadline(router: RouterHarness) -> None:
    """Check the deadline of each call; the call that is sent last has the earliest deadline."""
    for number, timeout_ms in ((1, 900), (2, 300)):
        router.call(number, "confirm", timeout_ms)
        await router.first_attempt(number)
    await router.wait_until(lambda: len(router.answers) == 2)
    failed = Answer(AnswerKind.FAILED, 0.0)
    assert router.answers == [(2, failed), (1, failed)]


RULES = [
    a_call_gets_exactly_one_answer,
    a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled,
    a_draining_worker_gets_no_calls,
    a_call_that_all_workers_reject_is_rejected_with_a_retry_time,
    a_call_that_may_not_run_twice_fails_without_a_retry_when_its_connection_breaks,
    each_call_is_answered_by_its_own_deadline,
]


@pytest.mark.parametrize("rule", RULES)
@pytest.mark.parametrize("make", ROUTERS.values(), ids=list(ROUTERS))
def test_the_contract_holds(
    make: Callable[[], RouterHarness],
    rule: Callable[[RouterHarness], Coroutine[Any, Any, None]],
    authority: Authority,
) -> None:
    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            router = make()
            await router.open(stack, authority)
            await rule(router)

    asyncio.run(scenario())
