"""Settings that are reloaded while a call is open."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, answer_with, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    LONG_TIMEOUT_MS,
    all_worker_connections,
    leave_unanswered,
    reload_settings,
    result_name,
    running_router,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Callable


def remove_check_class(settings: dict[str, Any]) -> None:
    settings["classes"] = [entry for entry in settings["classes"] if entry["name"] != "check"]


def make_check_class_not_idempotent(settings: dict[str, Any]) -> None:
    settings["classes"][0]["effect"] = "fragile"


@pytest.mark.parametrize("change", [remove_check_class, make_check_class_not_idempotent])
@pytest.mark.parametrize("first", ["settings", "response"])
def test_an_open_call_keeps_its_class_when_the_class_is_removed_or_changed(
    change: Callable[[dict[str, Any]], None], first: str
) -> None:
    """A call accepted as idempotent stays idempotent, so it is retried on the other worker after a FAULT."""

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        async with running_router(*workers) as (running, caller):
            caller.writer.write(pack_call(1, "check", b"x"))
            await wait_until(lambda: workers[0].calls or workers[1].calls, "a worker has received the call")
            chosen_index = 0 if workers[0].calls else 1
            workers[1 - chosen_index].behavior = serve_uppercase
            if first == "settings":
                reload_settings(running, change)
            chosen_worker = workers[chosen_index]
            chosen_worker.answer(chosen_worker.calls[0], answer_with("FAULT")(chosen_worker, {}) or {})
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if first == "response":
                reload_settings(running, change)
            assert {call["fields"]["profile"] for worker in workers for call in worker.calls} == {"check"}
            assert running.dispatcher.class_counters["check"]["passed"] == 1

    asyncio.run(scenario())


def limit_to_one_attempt(settings: dict[str, Any]) -> None:
    settings["limits"]["send-cap"] = 1


@pytest.mark.parametrize("first", ["settings", "response"])
def test_an_attempt_limit_lowered_below_a_calls_attempts_rejects_the_call(first: str) -> None:
    async def scenario() -> None:
        attempt_count = 0

        def shed_all_but_second(worker: ScriptedWorker, message: dict[str, Any]) -> Any:
            nonlocal attempt_count
            attempt_count += 1
            return None if attempt_count == 2 else answer_with("SHED")(worker, message)

        workers = [ScriptedWorker(shed_all_but_second) for _ in range(3)]
        async with running_router(*workers) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await wait_until(lambda: attempt_count == 2, "the second attempt is sent")
            sent_once = [
                worker
                for worker in workers
                if worker.calls and worker.calls[0] == worker.calls[-1] and not worker.cancelled_ids
            ]
            assert sent_once
            busy_connections = [
                connection for connection in all_worker_connections(running) if connection.in_flight
            ]
            [chosen_number] = [
                number
                for number, pool in running.workers.pools.items()
                if busy_connections[0] in pool.connections
            ]
            worker = workers[chosen_number - 1]
            if first == "settings":
                reload_settings(running, limit_to_one_attempt)
            worker.answer(worker.calls[0], answer_with("SHED")(worker, {}) or {})
            assert result_name(await caller.read()) == "rejected"
            if first == "response":
                reload_settings(running, limit_to_one_attempt)
            assert attempt_count == (2 if first == "settings" else SETTINGS["limits"]["send-cap"])

    asyncio.run(scenario())
