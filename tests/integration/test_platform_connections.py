"""Connections of platform clients: limits, eviction and closing."""

from __future__ import annotations

import asyncio
import gc
import socket
import weakref

import pytest

from cedarthread.protocols.platform.calls import MAX_OPEN_CALLS
from cedarthread.testing.fakes.scripted import (
    TIMEOUT_S,
    ScriptedWorker,
    client,
    pack_call,
    serve_uppercase,
    service,
)
from tests.integration.worker_behaviors import leave_unanswered


def test_the_bytes_of_unread_responses_are_bounded() -> None:
    """Clients that send calls without reading the responses must not exhaust the memory."""

    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as slow, client(running) as other:
            running.platform.max_queued_bytes = 20_000
            await slow.call(1, "check", b"x")
            connection_by_peer = {
                connection.transport.get_extra_info("peername"): connection
                for connection in running.platform.connections
                if connection.transport
            }
            connection = connection_by_peer[slow.writer.get_extra_info("sockname")]
            connection.is_write_paused = True  # as asyncio reports once the peer's window is full
            for number in (2, 3):
                slow.writer.write(pack_call(number, "check", b"y" * 16_000))
            while running.platform.queued_bytes <= 20_000:
                await asyncio.sleep(0)
            # The client that does not read pays, and not the other one, which has nothing queued.
            assert await other.call(4, "check", b"x") == [1, 4, None, [b"X", {}]]
            slow.writer.write(pack_call(4, "check", b"x"))
            while running.dispatcher.result_counts["rejected"] < 1:
                await asyncio.sleep(0)
            running.platform.max_queued_bytes = 0
            assert (await other.call(6, "check", b"x"))[2][0] == "Backoff", "its share is used up, too"
            connection.resume_writing()
            answers = {answer[1]: answer[2] for answer in [await slow.read() for _ in range(3)]}
            assert answers.keys() == {2, 3, 4}
            assert answers[4][0] == "Backoff"
            assert running.platform.queued_bytes == 0
            running.platform.max_queued_bytes = 20_000
            assert await other.call(5, "check", b"x") == [1, 5, None, [b"X", {}]]

    asyncio.run(scenario())


def test_the_open_calls_of_one_connection_are_bounded_and_further_calls_are_rejected() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(b"".join(pack_call(number, "check") for number in range(1, 101)))
            rejected = [await caller.read() for _ in range(100 - MAX_OPEN_CALLS)]
            assert {answer[2][0] for answer in rejected} == {"Backoff"}
            await worker.wait_until(lambda: len(worker.calls) == MAX_OPEN_CALLS)
            assert len(running.dispatcher.pending_calls) == MAX_OPEN_CALLS

    asyncio.run(scenario())


def test_at_the_limit_an_idle_connection_is_evicted() -> None:
    """Idle connections must not prevent new clients from connecting."""

    async def scenario() -> None:
        async with service(ScriptedWorker()) as running:
            running.platform.max_connections = 2
            async with client(running) as first, client(running) as second:
                for number, caller in enumerate((first, second), 1):
                    assert await caller.call(number, "check", b"x") == [1, number, None, [b"X", {}]]
                assert await first.call(3, "check", b"x") == [1, 3, None, [b"X", {}]]
                async with client(running) as third:
                    assert await third.call(4, "check", b"x") == [1, 4, None, [b"X", {}]]
                    assert await second.read() is None  # the least recently used
                    assert await first.call(5, "check", b"x") == [1, 5, None, [b"X", {}]]

    asyncio.run(scenario())


def test_a_connection_without_a_complete_message_is_closed_and_one_with_a_served_call_stays_open() -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker()) as running,
            client(running) as silent,
            client(running) as incomplete,
            client(running) as validated,
        ):
            assert await validated.call(1, "check", b"x") == [1, 1, None, [b"X", {}]]
            incomplete.writer.write(pack_call(1, "check", b"x")[:40])
            while not any(connection.needed_bytes for connection in running.platform.unvalidated_connections):
                await asyncio.sleep(0)
            running.platform.sweep(asyncio.get_running_loop().time() + 3.0)
            assert await silent.read() is None
            assert await incomplete.read() is None
            assert await validated.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]

    asyncio.run(scenario())


def test_while_draining_each_connection_closes_once_it_is_idle() -> None:
    """After the grace period the router accepts no connections, so that clients connect to its successor."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as idle, client(running) as busy:
            worker.behavior = serve_uppercase
            assert (await idle.call(1, "check", b"x"))[2] is None
            worker.behavior = leave_unanswered
            busy.writer.write(pack_call(2, "confirm", b"y"))
            await worker.wait_until(lambda: len(worker.calls) == 2)
            shutdown = asyncio.create_task(running.shut_down())
            assert await idle.read() is None  # closed, because it has no open call
            assert running.platform.is_draining
            assert running.platform._acceptor is None
            worker.answer(worker.calls[1], serve_uppercase(worker, worker.calls[1]))
            assert await busy.read() == [1, 2, None, [b"Y", {}]]
            assert await busy.read() is None  # closed once its last response is sent
            await shutdown

    asyncio.run(scenario())


def test_client_connections_send_without_delay() -> None:
    """With Nagle's algorithm, a response written after another waits for a delayed ACK, up to 40 ms."""

    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            await caller.call(1, "check", b"x")
            [connection] = running.platform.connections
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(scenario())


@pytest.mark.parametrize("call_count", [0, 2])
def test_a_closed_connection_is_freed_without_the_garbage_collector(call_count: int) -> None:
    """With little traffic the garbage collector rarely runs, and closed connections would occupy memory."""

    async def scenario() -> None:
        async with service(ScriptedWorker()) as running:
            async with client(running) as caller:
                for number in range(call_count):
                    assert (await caller.call(number, "check", b"x"))[2] is None
                caller.writer.write(b"\x94\x00\x09\xa5check\x91\x80")
                await caller.read()
                (connection,) = running.platform.connections
                connection_reference = weakref.ref(connection)
                del connection
            async with asyncio.timeout(TIMEOUT_S):
                while running.platform.connections or running.platform.unvalidated_connections:
                    await asyncio.sleep(0)
            for _ in range(3):  # lets the callbacks of the close run
                await asyncio.sleep(0)
            assert connection_reference() is None

    gc.collect()
    gc.disable()
    try:
        asyncio.run(scenario())
    finally:
        gc.enable()
