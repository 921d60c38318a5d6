"""Endpoint list updates that arrive before or after the response to an open call."""

from __future__ import annotations

import asyncio

import pytest

from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, serve_uppercase
from tests.integration.termination_harness import (
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    DelayedConnects,
    all_worker_connections,
    leave_unanswered,
    result_name,
    running_router,
    update_endpoint_list,
    wait_until,
    wait_until_input_read,
    wait_until_settled,
)

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED


@pytest.mark.parametrize("first", ["update", "response"])
def test_a_call_completes_on_a_draining_worker_whose_connection_then_closes(first: str) -> None:
    """A call that was already sent completes; the connection closes once no call is in flight on it."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            if first == "update":
                update_endpoint_list(running, [worker], DRAINING)
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if first == "response":
                update_endpoint_list(running, [worker], DRAINING)
            running.workers.sweep(running.discovery._loop.time())
            await wait_until(
                lambda: not all_worker_connections(running), "the connection to the draining worker is closed"
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["update", "connection"])
def test_a_drain_redirects_a_call_whose_connection_is_not_established_yet(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A drain before the connection is established sends the call to the other worker and aborts the connect.

    If the drain arrives later, the call has already been sent.
    """

    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        delayed_connects = DelayedConnects(monkeypatch)
        async with running_router(*workers) as (running, caller):
            delayed_connects.ports |= {worker.port for worker in workers}
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await wait_until(lambda: delayed_connects.resume_events, "the connect has started")
            [(chosen_number, pool)] = [
                entry for entry in running.workers.pools.items() if entry[1].connections
            ]
            delayed_connects.ports.clear()
            states = [DRAINING if number == chosen_number else READY for number in (1, 2)]
            if first == "update":
                update_endpoint_list(running, workers, *states)
                assert not pool.connections, "a connect that no call waits for must be aborted"
                assert await caller.read() == [1, 1, None, [b"X", {}]]
                delayed_connects.resume_events[0].set()
                await wait_until(lambda: not pool.connecting, "the connect has ended")
                assert not pool.connections
            else:
                delayed_connects.resume_events[0].set()
                await workers[chosen_number - 1].wait_until(lambda: workers[chosen_number - 1].calls != [])
                update_endpoint_list(running, workers, *states)
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert len(workers[chosen_number - 1].calls) == (first == "connection")

    asyncio.run(scenario())


@pytest.mark.parametrize("class_name", ["check", "confirm"])
@pytest.mark.parametrize("first", ["update", "response"])
def test_removing_a_worker_ends_its_calls_and_retries_idempotent_ones(first: str, class_name: str) -> None:
    """The removed worker's connections close at once.

    A call without a response may have run, so only an idempotent call is sent to the other worker.
    """

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        async with running_router(*workers) as (running, caller):
            caller.writer.write(pack_call(1, class_name, b"x"))
            await wait_until(lambda: workers[0].calls or workers[1].calls, "a worker has received the call")
            chosen_index = 0 if workers[0].calls else 1
            states = [REMOVED if index == chosen_index else READY for index in (0, 1)]
            chosen_worker = workers[chosen_index]
            workers[1 - chosen_index].behavior = serve_uppercase
            if first == "response":
                chosen_worker.answer(
                    chosen_worker.calls[0], serve_uppercase(chosen_worker, chosen_worker.calls[0])
                )
                assert result_name(await caller.read()) == "served"
                update_endpoint_list(running, workers, *states)
            else:
                update_endpoint_list(running, workers, *states)
                chosen_worker.answer(
                    chosen_worker.calls[0], serve_uppercase(chosen_worker, chosen_worker.calls[0])
                )
                assert result_name(await caller.read()) == ("served" if class_name == "check" else "failed")
            await wait_until_input_read(caller, 9)
            assert len(workers[1 - chosen_index].calls) == (first == "update" and class_name == "check")
            assert running.dispatcher.result_counts["accepted"] == 1

    asyncio.run(scenario())


def test_a_removed_worker_does_not_count_as_skipped() -> None:
    """INFO does not count the worker, even if one of the worker's attempts ends after the update."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            update_endpoint_list(running, [worker], REMOVED)
            assert result_name(await caller.read()) == "failed"
            await wait_until_settled(running)
            status_lines = running.status.lines()
            assert "router.known_runners=0" in status_lines
            assert "router.skipped_runners=0" in status_lines

    asyncio.run(scenario())


def test_an_update_with_a_restart_and_a_drain_withdraws_unwritten_calls() -> None:
    """The connection was opened after the worker's restart, so it stays open.

    Calls that are still queued on the connection must not be written.
    """

    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*workers) as (running, caller):
            assert result_name(await caller.call(1, "check", b"x")) == "served"
            [(chosen_number, pool)] = [
                entry for entry in running.workers.pools.items() if entry[1].connections
            ]
            # As after a write that exceeded the worker's receive window.
            pool.connections[0].is_write_paused = True
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await wait_until(
                lambda: pool.connections[0].line_queue.queued, "the call is queued for the slow worker"
            )
            states = [DRAINING if number == chosen_number else READY for number in (1, 2)]
            update_endpoint_list(
                running, workers, *states, started_at_ms=pool.connections[0].created_at_ms - 1.0
            )
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert [call["id"] for call in workers[2 - chosen_number].calls] == [f"{2:016x}"]

    asyncio.run(scenario())


@pytest.mark.parametrize("class_name", ["check", "confirm"])
@pytest.mark.parametrize("first", ["update", "response"])
def test_a_changed_address_ends_open_calls_and_retries_idempotent_ones(first: str, class_name: str) -> None:
    """A call ends with its connection to the old address; if idempotent, it is retried at the new one."""

    async def scenario() -> None:
        old_worker = ScriptedWorker(leave_unanswered)
        new_worker = ScriptedWorker()
        await new_worker.start()
        async with running_router(old_worker) as (running, caller):
            caller.writer.write(pack_call(1, class_name, b"x"))
            await old_worker.wait_until(lambda: len(old_worker.calls) == 1)
            if first == "response":
                old_worker.answer(old_worker.calls[0], serve_uppercase(old_worker, old_worker.calls[0]))
                assert result_name(await caller.read()) == "served"
            update_endpoint_list(running, [new_worker], READY)
            if first == "update":
                assert result_name(await caller.read()) == ("served" if class_name == "check" else "failed")
            assert result_name(await caller.call(2, class_name, b"x")) == "served"
            assert [call["id"] for call in old_worker.calls] == [f"{1:016x}"]
        new_worker.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["update", "interrupt", "deadline"])
def test_a_queued_call_ends_or_is_sent_once_a_worker_appears(first: str) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            update_endpoint_list(running, [worker], DRAINING)
            caller.writer.write(
                pack_call(1, "confirm", b"x", limit="500" if first == "deadline" else LONG_TIMEOUT_MS)
            )
            await wait_until(
                lambda: running.dispatcher.router.queued_requests,
                "the call is queued because no worker is ready",
            )
            if first == "interrupt":
                caller.writer.write(INTERRUPT_PREFIX + b"\x01")
                await wait_until_input_read(caller, 9)
            elif first == "deadline":
                assert result_name(await caller.read()) == "rejected"
            update_endpoint_list(running, [worker], READY)
            if first == "update":
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert result_name(await caller.call(2, "confirm", b"x")) == "served"
            assert len(worker.calls) == (2 if first == "update" else 1)

    asyncio.run(scenario())
