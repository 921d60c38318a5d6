"""Callers of the invoke API who return to a call that they have handed in before."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, serve_uppercase, service
from tests.integration import invoke_caller
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    RESPOND_ASYNC,
    Authority,
    Caller,
    read_invoke_config,
)
from tests.integration.termination_harness import leave_unanswered, reload_settings

if TYPE_CHECKING:
    from collections.abc import Callable

authority = invoke_caller.authority
KEY = {"Idempotency_Key": "k1"}


def change_effect(settings: dict[str, Any]) -> None:
    settings["classes"][1]["effect"] = "fragile"


def move_class(settings: dict[str, Any]) -> None:
    settings["classes"].reverse()


def drop_class(settings: dict[str, Any]) -> None:
    settings["classes"].pop(1)


# Guards against new settings after which a returning caller is told that its key is another call's.
@pytest.mark.parametrize("change", [change_effect, move_class, drop_class])
@pytest.mark.parametrize("fields", [KEY, KEY | RESPOND_ASYNC])
@pytest.mark.parametrize("is_pending", [False, True])
def test_a_caller_that_returns_after_new_settings_gets_its_result(
    authority: Authority,
    change: Callable[[dict[str, Any]], None],
    fields: dict[str, str],
    *,
    is_pending: bool,
) -> None:
    path = FUNCTION_PATH + "revise"

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            context = authority.caller(ALLOWED_CALLER_ID)
            async with Caller(running, context) as caller:
                caller.send("POST", path, b"x", **fields)
                await worker.wait_until(lambda: len(worker.calls) == 1)
            answer = serve_uppercase(worker, worker.calls[0])
            if not is_pending:
                worker.answer(worker.calls[0], answer or {})
            reload_settings(running, change)
            async with Caller(running, context) as caller:
                waiting = {"Prefer": "respond-async, wait=10"} if "Prefer" in fields else {}
                caller.send("POST", path, b"x", **fields | waiting)
                if is_pending:
                    worker.answer(worker.calls[0], answer or {})
                response = await caller.read()
                assert (response.status, response.body) == (200, b"X")
                other_body = await caller.request("POST", path, b"y", **fields)
                assert other_body.status == (404 if change is drop_class else 422)
            assert len(worker.calls) == 1

    asyncio.run(scenario())
