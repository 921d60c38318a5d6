"""Callers of the invoke API who return to a call that they have handed in before."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, serve_uppercase, service
from tests.integration import invoke_caller
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    PORTAL_ID,
    RESPOND_ASYNC,
    Authority,
    Caller,
    read_invoke_config,
)
from tests.integration.termination_harness import leave_unanswered, reload_settings, wait_until

if TYPE_CHECKING:
    import ssl
    from collections.abc import AsyncIterator, Callable
    from pathlib import Path

    from cedarthread.service import Service

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


@asynccontextmanager
async def two_processes(
    authority: Authority, worker: ScriptedWorker, folder: Path
) -> AsyncIterator[tuple[Service, Service]]:
    """Run two routers that share their stored calls, as two processes do on one address.

    Each has a port of its own, so that a test decides to which of them a caller comes.
    """
    config = read_invoke_config(authority)
    async with service(worker, invoke=config) as old, service(invoke=config) as new:
        new.update_endpoints(2, list(old.endpoint_list.records.values()), is_complete=True)
        for running in (old, new):
            assert running.invoke is not None
            running.invoke.calls.share(folder / "calls.db")
        yield old, new


async def hand_in(running: Service, context: ssl.SSLContext, **fields: str) -> str:
    """Hand in a deferred call, leave, and return the location of its result."""
    async with Caller(running, context) as caller:
        response = await caller.request("POST", FUNCTION_PATH + "confirm", b"x", **RESPOND_ASYNC, **fields)
    assert response.status == 202
    return response.fields["location"]


# Guards against results that are unknown at the other process of an upgrade.
@pytest.mark.parametrize("old_is", ["serving", "shutting down", "gone"])
@pytest.mark.parametrize("way", ["location", "key"])
def test_a_caller_that_returns_to_another_process_gets_its_result(
    authority: Authority, tmp_path: Path, old_is: str, way: str
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with two_processes(authority, worker, tmp_path) as (old, new):
            context = authority.caller(ALLOWED_CALLER_ID)
            location = await hand_in(old, context, **KEY)
            await wait_until(lambda: old.dispatcher.result_counts["served"] == 1, "the call has run")
            if old_is == "shutting down":
                old.request_shutdown()
                assert old.invoke is not None
                old.invoke.is_ready = False
            elif old_is == "gone":
                assert old.invoke is not None
                old.invoke.stop_listening()
            async with Caller(new, context) as caller:
                if way == "location":
                    response = await caller.request("GET", location)
                else:
                    response = await caller.request("POST", FUNCTION_PATH + "confirm", b"x", **KEY)
            assert (response.status, response.body) == (200, b"X")
            async with Caller(new, authority.caller(PORTAL_ID)) as stranger:
                assert (await stranger.request("GET", location)).status == 404
            assert len(worker.calls) == 1

    asyncio.run(scenario())


# Guards against a key that runs twice because each process of an upgrade has keys of its own.
@pytest.mark.parametrize("is_ready", [True, False])
def test_a_pending_call_of_another_process_is_waited_for_and_not_started_again(
    authority: Authority, tmp_path: Path, *, is_ready: bool
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with two_processes(authority, worker, tmp_path) as (old, new):
            context = authority.caller(ALLOWED_CALLER_ID)
            await hand_in(old, context, **KEY)
            await worker.wait_until(lambda: len(worker.calls) == 1)
            assert new.invoke is not None
            new.invoke.is_ready = is_ready  # also a process that shuts down has no "harmless" for it
            async with Caller(new, context) as caller:
                waiting = {"Prefer": "respond-async, wait=10"}
                caller.send("POST", FUNCTION_PATH + "confirm", b"x", **KEY, **waiting)
                remote_calls = new.invoke.calls._remote_calls
                assert remote_calls is not None
                await wait_until(lambda: remote_calls._pending, "the caller waits")
                worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]) or {})
                response = await caller.read()
                assert (response.status, response.body) == (200, b"X")
            async with Caller(new, context) as caller:
                other_body = await caller.request("POST", FUNCTION_PATH + "confirm", b"y", **KEY)
                assert other_body.status == 422
            assert len(worker.calls) == 1

    asyncio.run(scenario())


def test_a_call_is_cancelled_through_another_process(authority: Authority, tmp_path: Path) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with two_processes(authority, worker, tmp_path) as (old, new):
            context = authority.caller(ALLOWED_CALLER_ID)
            location = await hand_in(old, context)
            await worker.wait_until(lambda: len(worker.calls) == 1)
            async with Caller(new, context) as caller:
                assert (await caller.request("DELETE", location)).status == 204
                assert (await caller.request("GET", location)).status == 404
            await worker.wait_until(lambda: len(worker.cancelled_ids) == 1)
            async with Caller(old, context) as caller:
                assert (await caller.request("GET", location)).status == 404

    asyncio.run(scenario())


def test_a_call_that_cannot_be_recorded_for_other_processes_is_not_started(
    authority: Authority, tmp_path: Path
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with two_processes(authority, worker, tmp_path) as (old, _):
            assert old.invoke is not None
            assert old.invoke.calls._shared_calls is not None
            old.invoke.calls._shared_calls.close()
            async with Caller(old, authority.caller(ALLOWED_CALLER_ID)) as caller:
                keyed = await caller.request("POST", FUNCTION_PATH + "confirm", b"x", **KEY)
                assert (keyed.status, b'"repeat": "unknown"' in keyed.body) == (503, True)
                without_key = await caller.request("POST", FUNCTION_PATH + "confirm", b"x")
                assert without_key.status == 200
            assert len(worker.calls) == 1

    asyncio.run(scenario())
