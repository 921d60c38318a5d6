"""Connections that end while their peer has not read all output: nothing that is owed is dropped.

The router's sockets and those of the peers have small buffers, and the peers read nothing until the end is
under way, so that the output waits in the router.
"""

from __future__ import annotations

import asyncio
import base64
import logging
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.calls import CallSucceeded
from cedarthread.lifecycle import shutdown
from cedarthread.protocols.control import ControlReply, ControlServer
from cedarthread.protocols.platform.codec import encode_call_result
from cedarthread.protocols.platform.server import IDLE_CLIENT_TIMEOUT_S, MESSAGE_TIMEOUT_S
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, service
from cedarthread.transport import acceptor, connection
from cedarthread.transport.flusher import Flusher
from tests.integration import invoke_caller
from tests.integration.client_sockets import BlockingClient
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    Authority,
    read_invoke_config,
)
from tests.integration.termination_harness import leave_unanswered, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from cedarthread.protocols.invoke.connection import InvokeConnection
    from cedarthread.protocols.platform.connection import PlatformConnection
    from cedarthread.service import Service
    from cedarthread.transport.connection import BufferedConnection

authority = invoke_caller.authority

SMALL_BUFFER_BYTES = 4096
LONG_BODY = b"long" * 57_500  # 230,000 bytes
CALLS = 4


def limit_send_buffer(connection: BufferedConnection) -> None:
    """Make the router's socket accept only a small part of a long response."""
    assert connection.transport is not None
    router_socket = connection.transport.get_extra_info("socket")
    router_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


def slow_socket(port: int) -> socket.socket:
    """Return a connected socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect(("127.0.0.1", port))
    return sock


def answer_long(worker: ScriptedWorker, message: dict[str, Any]) -> None:
    """Answer a call with a long body."""
    worker.answer(message, {"op": "HIT", "fields": {}, "body": base64.b64encode(LONG_BODY).decode()})


@asynccontextmanager
async def owing_router(
    following_input: bytes = b"",
) -> AsyncIterator[tuple[Service, BlockingClient, PlatformConnection]]:
    """Run a router that owes a client CALLS long responses, of which some are still queued.

    Args:
        following_input: Sent by the client behind its calls.
    """
    worker = ScriptedWorker(leave_unanswered)
    async with service(worker) as running:
        slow = BlockingClient(running.port)
        slow.sock.close()
        slow.sock = slow_socket(running.port)
        messages = [pack_call(number, "check", b"x") for number in range(1, CALLS + 1)]
        slow.sock.sendall(b"".join(messages) + following_input)
        await worker.wait_until(lambda: len(worker.calls) == CALLS)
        [owing] = running.platform.connections
        limit_send_buffer(owing)
        answer_long(worker, worker.calls[0])
        await wait_until(lambda: owing.is_write_paused, "the client's window is full")
        for message in worker.calls[1:]:
            answer_long(worker, message)
        await wait_until(lambda: not running.dispatcher.pending_calls, "all calls are complete")
        await wait_until(lambda: owing.write_queue, "responses are queued")
        try:
            yield running, slow, owing
        finally:
            slow.close()


async def read_long_responses(slow: BlockingClient) -> set[int]:
    """Read all responses, or to the end of the connection; return the numbers of those that came whole."""
    expected = {
        number: encode_call_result(number, CallSucceeded(LONG_BODY)) for number in range(1, CALLS + 1)
    }
    loop = asyncio.get_running_loop()
    slow.sock.setblocking(False)
    received = b""
    while len(received) < sum(map(len, expected.values())):
        data = await loop.sock_recv(slow.sock, 65536)
        if not data:
            break
        received += data
    return {number for number, response in expected.items() if response in received}


def half_close(running: Service, slow: BlockingClient, owing: PlatformConnection) -> None:
    slow.half_close()
    owing.refresh_client_state()


ENDS: dict[str, Callable[[Service, BlockingClient, PlatformConnection], object]] = {
    "drain": lambda running, slow, owing: running.platform.drain(),
    "invalid message": lambda running, slow, owing: owing.fail_calls_and_close(),
    "close": lambda running, slow, owing: owing.close(),
    "half-close of the client": half_close,
}


# Guards against queued responses that are dropped when the router closes the connection of a slow client.
@pytest.mark.parametrize("end", ENDS)
def test_a_slow_client_gets_all_queued_responses_before_its_connection_ends(end: str) -> None:
    async def scenario() -> None:
        async with owing_router() as (running, slow, owing):
            ENDS[end](running, slow, owing)
            assert not running.platform.evict_idle(), "a connection that owes responses is not evicted"
            assert not running.platform.is_drained()
            reading = asyncio.create_task(read_long_responses(slow))
            while not reading.done():
                running.platform.close_idle_connections() if end == "drain" else None
                await asyncio.sleep(0)
            assert await reading == set(range(1, CALLS + 1))
            running.platform.close_idle_connections() if end == "drain" else None
            assert await slow.read() is None

    asyncio.run(scenario())


# Guards against a planned restart that ends the process, or a connection, while responses are queued.
def test_a_shutdown_waits_until_a_slow_client_has_all_responses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "SHUTDOWN_GRACE_S", 0.01)

    async def scenario() -> None:
        async with owing_router() as (running, slow, _):
            ending = asyncio.create_task(running.shut_down())
            await wait_until(lambda: running.platform.is_draining, "the shutdown drains the clients")
            await asyncio.sleep(3 * shutdown.DRAIN_POLL_S)
            assert not ending.done()
            assert await read_long_responses(slow) == set(range(1, CALLS + 1))
            assert await slow.read() is None
            await ending

    asyncio.run(scenario())


# Guards against a shutdown that ends before it has read what a slow client sent in time.
def test_a_shutdown_serves_the_requests_that_a_slow_client_sent_before_its_connection_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(shutdown, "SHUTDOWN_GRACE_S", 0.01)
    monkeypatch.setattr(shutdown, "DRAIN_POLL_S", 0.0)

    async def scenario() -> None:
        async with owing_router() as (running, slow, _):
            slow.sock.setblocking(True)
            slow.call(CALLS + 1)  # unread, because the router has paused reading
            ending = asyncio.create_task(running.shut_down())
            await wait_until(lambda: running.platform.is_draining, "the shutdown drains the clients")
            assert await read_long_responses(slow) == set(range(1, CALLS + 1))
            await wait_until(lambda: running.dispatcher.pending_calls, "the request is read")
            running.dispatcher.fail_call(next(iter(running.dispatcher.pending_calls.values())))
            response = await slow.read()
            assert (response[1], response[2][0]) == (CALLS + 1, "Lost")
            assert await slow.read() is None
            await ending

    asyncio.run(scenario())


# Guards against counting the time for which the router itself does not read as the client's.
def test_a_message_that_the_router_stops_reading_is_not_late() -> None:
    fifth_call = pack_call(5, "check", b"y" * 500)

    async def scenario() -> None:
        async with owing_router(following_input=fifth_call[:300]) as (running, slow, owing):
            loop = asyncio.get_running_loop()
            assert owing.message_started_at is not None
            running.platform.sweep(loop.time() + 2 * MESSAGE_TIMEOUT_S)
            owing.message_started_at -= 2 * MESSAGE_TIMEOUT_S  # as if reading had been paused for so long
            assert owing.reading_paused_at_s is not None
            owing.reading_paused_at_s -= 2 * MESSAGE_TIMEOUT_S
            assert await read_long_responses(slow) == set(range(1, CALLS + 1))
            await wait_until(lambda: owing.reading_paused_at_s is None, "the router reads again")
            running.platform.sweep(loop.time())
            assert not owing.is_closing()
            # From now on the time is the client's again.
            running.platform.sweep(loop.time() + 2 * MESSAGE_TIMEOUT_S)
            assert await slow.read() is None

    asyncio.run(scenario())


@pytest.mark.parametrize("is_closing", [False, True])
def test_a_client_that_reads_nothing_is_aborted_after_a_limit(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, *, is_closing: bool
) -> None:
    monkeypatch.setattr(connection, "CLOSING_OUTPUT_TIMEOUT_S", 0.05)
    caplog.set_level(logging.WARNING)

    async def scenario() -> None:
        async with owing_router() as (running, _, owing):
            if is_closing:
                owing.lingering_close()
            else:
                now_s = asyncio.get_running_loop().time()
                running.platform.sweep(now_s)
                running.platform.sweep(now_s + IDLE_CLIENT_TIMEOUT_S - 1.0)
                assert not owing.is_closing()
                running.platform.sweep(now_s + IDLE_CLIENT_TIMEOUT_S + 1.0)
            await wait_until(lambda: owing.is_closed, "the connection is aborted")

    asyncio.run(scenario())
    assert ["output_dropped" in record.getMessage() for record in caplog.records] == [True]


class SlowCaller:
    """A caller of the invoke API that does not read until it is told to."""

    def __init__(self, running: Service, authority: Authority) -> None:
        assert running.invoke is not None
        self.invoke = running.invoke
        self.port = running.invoke_port
        self.context = authority.caller(ALLOWED_CALLER_ID)

    async def send_call(self, *header_lines: str) -> InvokeConnection:
        """Send a synchronous call, and return the router's side of the connection."""
        self.sock = await asyncio.to_thread(lambda: self.context.wrap_socket(slow_socket(self.port)))
        lines = (f"POST {FUNCTION_PATH}check HTTP/1.1", "Host: x", "Content-Length: 1", *header_lines)
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\nx")
        await wait_until(
            lambda: any(caller.is_busy for caller in self.invoke.connections), "the call is accepted"
        )
        [owing] = self.invoke.connections
        limit_send_buffer(owing)
        return owing

    def read_body(self) -> bytes:
        """Read the response in a thread, and return the body as far as it arrives."""
        received = b""
        while b"\r\n\r\n" not in received or len(received.partition(b"\r\n\r\n")[2]) < len(LONG_BODY):
            data = self.sock.recv(65536)
            if not data:
                break
            received += data
        return received.partition(b"\r\n\r\n")[2]


# Guards against encrypted output that is cut when the router closes the connection or its process ends.
@pytest.mark.parametrize("header_lines", [(), ("Connection: close",)])
def test_a_slow_caller_gets_its_whole_encrypted_response(
    authority: Authority, monkeypatch: pytest.MonkeyPatch, header_lines: tuple[str, ...]
) -> None:
    shutdown_timeout_s = 0.05
    monkeypatch.setitem(acceptor._TLS_TIMEOUTS, "ssl_shutdown_timeout", shutdown_timeout_s)

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            assert running.invoke is not None
            caller = SlowCaller(running, authority)
            owing = await caller.send_call(*header_lines)
            await worker.wait_until(lambda: len(worker.calls) == 1)
            answer_long(worker, worker.calls[0])
            await wait_until(lambda: not running.dispatcher.pending_calls, "the call is complete")
            await asyncio.sleep(2 * shutdown_timeout_s)
            assert owing.transport is not None
            assert owing.transport.get_write_buffer_size() == 0, "all output is encrypted"
            assert owing.has_unsent_output()
            assert not running.invoke.is_drained()
            assert await asyncio.to_thread(caller.read_body) == LONG_BODY
            await wait_until(running.invoke.is_drained, "all output is sent")
            caller.sock.close()

    asyncio.run(scenario())


# Guards against a reply to an operator that is cut because the operator reads slowly.
def test_a_slow_operator_gets_the_whole_reply(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "LINGER_S", 0.01)
    lines = ["x" * 100] * 40_000

    async def scenario() -> None:
        server = ControlServer({"INFO": lambda: ControlReply(is_success=True, lines=lines)}, Flusher())
        port = server.listen("127.0.0.1", 0)
        operator = slow_socket(port)
        operator.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(operator, b"INFO\n")
        await wait_until(
            lambda: any(reply.has_unsent_output() for reply in server.connections), "the window is full"
        )
        await asyncio.sleep(5 * connection.LINGER_S)
        received = b""
        while data := await loop.sock_recv(operator, 65536):
            received += data
        assert received.decode().splitlines() == ["YES", *lines]
        operator.close()
        server.stop_listening()

    asyncio.run(scenario())
