"""Worker connections that close or become idle, and preloads that end, before or after a response or call."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker.connections import IDLE_CLOSE_FRACTION
from cedarthread.testing.fakes.scripted import ScriptedWorker, answer_with, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    CLOSE_METHODS,
    LONG_TIMEOUT_MS,
    all_worker_connections,
    connect_with_small_buffers,
    leave_unanswered,
    result_name,
    running_router,
    wait_until,
    wait_until_input_read,
    wait_until_settled,
)

if TYPE_CHECKING:
    from cedarthread.model.events import PreloadEnded


@pytest.mark.parametrize("close_method", list(CLOSE_METHODS))
@pytest.mark.parametrize("class_name", ["check", "confirm"])
@pytest.mark.parametrize("position", ["before", "middle", "after"])
def test_a_call_is_served_if_its_response_is_complete_when_the_connection_ends(
    close_method: str, class_name: str, position: str, caplog: pytest.LogCaptureFixture
) -> None:
    """If the connection closes before or within the response, the call may have run.

    If the connection closes right after the response, before the router has read it, the call is served.
    """
    caplog.set_level("INFO", "cedarthread.protocols")

    def end_connection(worker: ScriptedWorker, message: dict[str, Any]) -> None:
        line = json.dumps(serve_uppercase(worker, message) | {"id": message["id"]}).encode() + b"\n"
        worker.writers[-1].write({"before": b"", "middle": line[:40], "after": line}[position])
        CLOSE_METHODS[close_method](worker.writers[-1])

    async def scenario() -> None:
        workers = [ScriptedWorker(end_connection), ScriptedWorker(end_connection)]
        async with running_router(*workers, limits=SETTINGS["limits"] | {"send-cap": 2}) as (running, caller):
            response = await caller.call(1, class_name, b"x")
            is_idempotent = class_name == "check"
            assert result_name(response) == (
                "served" if position == "after" else "rejected" if is_idempotent else "failed"
            )
            attempt_count = len(workers[0].calls + workers[1].calls)
            assert attempt_count == (1 if position == "after" or not is_idempotent else 2)
            assert running.dispatcher.class_counters[class_name]["upstream_tries"] == attempt_count
            await wait_until(lambda: not all_worker_connections(running), "all worker connections are closed")

    asyncio.run(scenario())
    messages = [record.getMessage() for record in caplog.records]
    truncated = [message for message in messages if message.startswith("worker_response_truncated ")]
    assert len(truncated) == (0 if position != "middle" else 1 if class_name == "confirm" else 2)
    assert all(line.startswith("worker_response_truncated worker=s-0000000") for line in truncated), (
        "the log line must name the worker"
    )


def test_a_workers_half_close_ends_its_calls_at_once() -> None:
    """The calls in flight end at once, even if the worker does not read the data queued for it."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            connection = await connect_with_small_buffers(running, worker, caller)
            last_number = 9
            for number in range(2, last_number + 1):
                caller.writer.write(pack_call(number, "confirm", b"y" * 16_000, limit=LONG_TIMEOUT_MS))
            await wait_until(
                lambda: len(running.dispatcher.pending_calls) == last_number - 1, "all calls are accepted"
            )
            await wait_until(lambda: connection.is_write_paused, "the worker's receive window is full")
            worker.writers[0].write_eof()
            results = {}
            for _ in range(2, last_number + 1):
                message = await caller.read()
                results[message[1]] = result_name(message)
            assert set(results) == set(range(2, last_number + 1))
            # The worker never received the last call, so the router sends it on a new connection.
            assert results[last_number] == "served"

    asyncio.run(scenario())


@pytest.mark.parametrize("connection", ["same", "other"])
def test_a_duplicate_response_is_ignored(connection: str) -> None:
    """A response for a completed call is ignored and affects no other call.

    The response may arrive on the same or on another connection.
    """

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        async with running_router(*workers) as (running, caller):
            for number in (1, 2):
                caller.writer.write(
                    pack_call(number, "confirm", b"x", item=f"{number:016x}", limit=LONG_TIMEOUT_MS)
                )
            await wait_until(lambda: len(workers[0].calls + workers[1].calls) == 2, "both calls are sent")
            received = {call["id"]: (worker, call) for worker in workers for call in worker.calls}
            worker, first_call = received[f"{1:016x}"]
            other_worker = next(other for other in workers if other is not worker)
            worker.answer(first_call, serve_uppercase(worker, first_call))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if connection == "same":
                worker.answer(first_call, answer_with("FAULT")(worker, first_call) or {})
                worker.answer(first_call, serve_uppercase(worker, first_call))
            elif other_worker.writers:
                other_worker.answer(first_call, serve_uppercase(worker, first_call))
            second_worker, second_call = received[f"{2:016x}"]
            second_worker.answer(second_call, serve_uppercase(second_worker, second_call))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            await wait_until_input_read(caller, 9)
            assert running.dispatcher.result_counts["served"] == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["sweep", "call"])
def test_an_idle_close_fails_no_call_and_closes_no_connection_in_use(first: str) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            after_idle_timeout_s = asyncio.get_running_loop().time() + 30.0 * IDLE_CLOSE_FRACTION + 0.01
            if first == "sweep":
                running.workers.sweep(after_idle_timeout_s)
                assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]
            else:
                worker.behavior = leave_unanswered
                caller.writer.write(pack_call(2, "confirm", b"x"))
                await worker.wait_until(lambda: len(worker.calls) == 2)
                running.workers.sweep(after_idle_timeout_s)
                worker.answer(worker.calls[1], serve_uppercase(worker, worker.calls[1]))
                assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert len(worker.writers) == (2 if first == "sweep" else 1)

    asyncio.run(scenario())


def test_a_call_after_a_workers_idle_close_uses_a_new_connection() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            worker.writers[0].close()
            await wait_until(lambda: not all_worker_connections(running), "the router has read the close")
            assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]

    asyncio.run(scenario())


def test_after_a_stall_past_the_idle_timeout_no_call_is_sent_on_the_old_connection() -> None:
    """The process stalled when its idle sweep was due, so a close by the worker may be in transit."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            [old_connection] = all_worker_connections(running)
            # As after a stall past the idle timeout.
            old_connection.last_used_at -= 30.0 * IDLE_CLOSE_FRACTION + 0.01
            assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]
            assert len(worker.writers) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["response", "timeout", "connection"])
def test_a_preload_ends_once_and_leaves_neither_slot_nor_timer(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A preload ends with its response, timeout or connection; a lost preload must release its slot."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        specifics = SETTINGS["specifics"] | {"order-limit": 40 if first == "timeout" else 10_000}
        async with running_router(worker, specifics=specifics) as (running, caller):
            preload_ends: list[PreloadEnded] = []
            monkeypatch.setattr(running.dispatcher, "preload_ended", preload_ends.append)
            running.workers.preload(1, 7, 1)
            await worker.wait_until(lambda: len(worker.calls) == 1)
            loaded = {"op": "HIT", "fields": {"pods": 1}}
            if first == "response":
                worker.answer(worker.calls[0], loaded)
            elif first == "connection":
                worker.writers[0].transport.abort()
            await wait_until(lambda: preload_ends, "the preload has ended")
            if first == "timeout":
                await wait_until_settled(running)
                worker.answer(worker.calls[0], loaded)  # late, so it is ignored
                worker.behavior = serve_uppercase
                assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            expected = {"response": Outcome.OK, "timeout": Outcome.TIMEOUT, "connection": Outcome.RESET}
            await wait_until_settled(running)
            assert [end.outcome for end in preload_ends] == [expected[first]]

    asyncio.run(scenario())
