"""Client disconnects, interrupts, deadlines and evictions, before or after the response to an open call."""

from __future__ import annotations

import asyncio

import pytest

from cedarthread.protocols.worker import connections as worker_connections
from cedarthread.testing.fakes.scripted import ScriptedWorker, client, pack_call, serve_uppercase
from tests.integration.termination_harness import (
    CLOSE_METHODS,
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    connect_with_small_buffers,
    leave_unanswered,
    result_name,
    running_router,
    wait_until,
    wait_until_input_read,
    wait_until_settled,
)


@pytest.mark.parametrize("first", ["disconnect", "response"])
@pytest.mark.parametrize("disconnect_method", ["interrupt", *CLOSE_METHODS])
def test_a_client_that_disconnects_before_the_response_cancels_its_call(
    disconnect_method: str, first: str
) -> None:
    """After a disconnect, no response is delivered and the worker receives a CANCEL.

    After the response, a disconnect has no effect.
    """

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller), client(running) as disconnecting_client:
            disconnecting_client.writer.write(pack_call(1, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await worker.wait_until(lambda: len(worker.calls) == 1)

            async def disconnect() -> None:
                if disconnect_method == "interrupt":
                    disconnecting_client.writer.write(INTERRUPT_PREFIX + b"\x01")
                    await wait_until_input_read(disconnecting_client, 8)
                else:
                    CLOSE_METHODS[disconnect_method](disconnecting_client.writer)

            if first == "disconnect":
                await disconnect()
                if disconnect_method != "close":
                    await worker.wait_until(lambda: worker.cancelled_ids != [])
                else:  # a FIN may be a half-close, so a response that arrives is still delivered
                    await wait_until(
                        lambda: any(connection.is_half_closed for connection in running.platform.connections),
                        "the router has read EOF",
                    )
                worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            else:
                worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
                assert result_name(await disconnecting_client.read()) == "served"
                await disconnect()
            worker.behavior = serve_uppercase
            assert await caller.call(2, "confirm", b"y") == [1, 2, None, [b"Y", {}]]
            await wait_until_settled(running)
            counts = running.dispatcher.result_counts
            is_abandoned = first == "disconnect" and disconnect_method != "close"
            assert (counts["served"], counts["abandoned"]) == ((1, 1) if is_abandoned else (2, 0))
            assert worker.cancelled_ids == ([f"{1:016x}"] if is_abandoned else [])

    asyncio.run(scenario())


def test_an_interrupt_and_a_response_in_one_event_loop_iteration_end_each_call_once() -> None:
    """In either order each call ends once and has at most one response."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            for number in range(1, 21):
                caller.writer.write(pack_call(number, "confirm", b"x", limit=LONG_TIMEOUT_MS))
                await worker.wait_until(lambda: len(worker.calls) == number)  # noqa: B023
                worker.answer(worker.calls[-1], serve_uppercase(worker, worker.calls[-1]))
                caller.writer.write(INTERRUPT_PREFIX + bytes((number,)))
                await wait_until(lambda: not running.dispatcher.pending_calls, "the call has ended")
            caller.writer.write(b"\x94\x00\x63\xa5check\x90")
            answered_numbers = []
            while (message := await caller.read())[1] != 0x63:
                answered_numbers.append(message[1])
            assert (
                len(answered_numbers)
                == len(set(answered_numbers))
                == running.dispatcher.result_counts["served"]
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["deadline", "response"])
def test_a_call_past_its_deadline_fails_and_its_attempt_is_cancelled(first: str) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            caller.writer.write(
                pack_call(1, "confirm", b"x", limit="500" if first == "deadline" else LONG_TIMEOUT_MS)
            )
            await worker.wait_until(lambda: len(worker.calls) == 1)
            if first == "deadline":
                assert result_name(await caller.read()) == "failed"
                await worker.wait_until(lambda: worker.cancelled_ids == [f"{1:016x}"])
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            if first == "response":
                assert result_name(await caller.read()) == "served"
                running.dispatcher.deadlines.on_timer()  # as if the deadline passed in this loop iteration
            await wait_until_input_read(caller, 9)
            assert len(worker.cancelled_ids) == (first == "deadline")

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["read", "timeout"])
def test_a_cancel_that_is_not_read_in_time_aborts_the_slow_connection_and_its_other_calls(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other calls on a stalled worker's connection continue if the worker reads the CANCEL in time."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            connection = await connect_with_small_buffers(running, worker, caller)
            worker.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            worker.behavior = leave_unanswered
            caller.writer.write(pack_call(2, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await worker.wait_until(lambda: len(worker.calls) == 2)
            worker.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(pack_call(3, "check", b"y" * 16_000, limit=LONG_TIMEOUT_MS))
            await wait_until(lambda: connection.is_write_paused, "the worker's receive window is full")
            monkeypatch.setattr(worker_connections, "CANCEL_SETTLE_S", 10.0 if first == "read" else 0.0)
            caller.writer.write(INTERRUPT_PREFIX + b"\x03")
            if first == "timeout":
                # The router can cancel only by closing the connection, which also ends call 2.
                assert result_name(await caller.read()) == "failed"
                return
            await wait_until_input_read(caller, 9)
            worker.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            await worker.wait_until(lambda: worker.cancelled_ids == [f"{3:016x}"])
            worker.answer(worker.calls[1], serve_uppercase(worker, worker.calls[1]))
            assert result_name(await caller.read()) == "served"
            scheduled = running.dispatcher.context.loop._scheduled  # type: ignore[attr-defined]
            [timer] = [handle for handle in scheduled if "_finish_cancel" in repr(handle)]
            timer._run()  # as if CANCEL_SETTLE_S had passed: the call counts as cancelled
            timer.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["eviction", "request"])
def test_a_connection_with_an_open_request_is_not_evicted(first: str) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            running.platform.max_connections = 1
            await wait_until_input_read(caller, 9)
            if first == "request":
                caller.writer.write(pack_call(1, "confirm", b"x"))
                await worker.wait_until(lambda: len(worker.calls) == 1)
            async with client(running) as second_client:
                assert (await second_client.read() is None) if first == "request" else True
                if first == "eviction":
                    assert await caller.read() is None
                    worker.behavior = serve_uppercase
                    assert result_name(await second_client.call(1, "confirm", b"x")) == "served"
                else:
                    worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
                    assert await caller.read() == [1, 1, None, [b"X", {}]]

    asyncio.run(scenario())
