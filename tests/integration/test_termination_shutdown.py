"""Calls, requests and connections that arrive shortly before or during the shutdown of the process."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    LONG_TIMEOUT_MS,
    leave_unanswered,
    result_name,
    running_router,
    wait_until,
    wait_until_input_read,
)


def test_at_shutdown_every_call_is_answered_in_time_and_its_attempt_cancelled() -> None:
    """Calls from before and after SIGTERM, whose own timeouts are later, each get one response in time."""
    classes = [entry | {"deadline": 300, "goal-time": 100} for entry in SETTINGS["classes"]]

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker, classes=classes) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            shutdown = asyncio.create_task(running.shut_down())
            await wait_until(
                lambda: running.dispatcher.shutdown_deadline_ms is not None, "the dispatcher is shutting down"
            )
            caller.writer.write(pack_call(2, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await worker.wait_until(lambda: len(worker.calls) == 2)
            responses = [await caller.read(), await caller.read()]
            assert {(response[1], result_name(response)) for response in responses} == {
                (1, "failed"),
                (2, "failed"),
            }
            assert await caller.read() is None
            await shutdown
            assert running.dispatcher.clock() < (running.dispatcher.shutdown_deadline_ms or 0.0) + 250.0

    asyncio.run(scenario())


@pytest.mark.parametrize("first", ["close", "request"])
def test_a_request_read_before_the_close_at_shutdown_is_answered(first: str) -> None:
    """A request read before the close is answered; a later one is not accepted, and its client can retry."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            await wait_until_input_read(caller, 9)
            if first == "close":
                running.platform.drain()
            caller.writer.write(pack_call(1, "confirm", b"x"))
            if first == "request":
                await wait_until(lambda: running.dispatcher.result_counts["accepted"], "the call is accepted")
                running.platform.drain()
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert await caller.read() is None
            assert running.dispatcher.result_counts["accepted"] == len(worker.calls) == (first == "request")

    asyncio.run(scenario())


def test_a_connection_in_the_backlog_at_shutdown_is_accepted_and_served() -> None:
    """Closing the listener would reset the connection and lose a request that is already in its socket."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, _):
            backlog_socket = socket.socket()
            backlog_socket.setblocking(False)
            # The kernel completes the handshake; the router has not accepted the connection yet.
            with pytest.raises(BlockingIOError):
                backlog_socket.connect(("127.0.0.1", running.port))
            running.platform.stop_listening()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(backlog_socket, pack_call(1, "confirm", b"x"))
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(backlog_socket, 100))[:4] == b"\x94\x01\x01\xc0"
            backlog_socket.close()

    asyncio.run(scenario())
