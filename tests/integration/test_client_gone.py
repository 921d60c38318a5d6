"""A client that has closed its connection or taken its request back has gone: no attempt begins after it.

The client is a plain socket: what it does has been done, down to the router's end of the connection, when the
call returns, and the router has read none of it. So each crossing is forced: the router's next turn is the
runner's answer, the connection that comes up, or its timer, and what the client did stands unread.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.protocols import msgpack
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.testing.fakes.client import without_views
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, serve_uppercase, service

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from cedarthread.dispatch.calls import Attempt
    from cedarthread.protocols.platform.connection import PlatformConnection
    from cedarthread.service import Service


def run(test: Coroutine[Any, Any, None]) -> None:
    async def run_in_time() -> None:
        async with asyncio.timeout(30):
            await test

    asyncio.run(run_in_time())


def cancel(number: int) -> bytes:
    return b"\x93\x02\xa9interrupt\x91" + msgpack.pack_uint(number)


class Peer:
    """A client whose every act is done when the call returns."""

    def __init__(self, running: Service) -> None:
        self.sock = socket.create_connection(("127.0.0.1", running.port))
        self.name = self.sock.getsockname()
        self.received = b""

    def call(self, number: int, class_name: str = "check", body: bytes = b"x", **fields: str) -> None:
        self.sock.sendall(pack_call(number, class_name, body, **fields))

    def cancel(self, *numbers: int) -> None:
        self.sock.sendall(b"".join(map(cancel, numbers)))

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def half_close(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    async def read(self) -> Any:
        """The next answer; None at the end."""
        loop = asyncio.get_running_loop()
        self.sock.setblocking(False)
        while not isinstance(parsed := msgpack.parse(memoryview(self.received)), msgpack.ParsedValue):
            more = await loop.sock_recv(self.sock, 65536)
            if not more:
                return None
            self.received += more
        self.received = self.received[parsed.end :]
        return without_views(parsed.value)


def at_router(running: Service, peer: Peer) -> PlatformConnection:
    every = [*running.platform.unproven_connections, *running.platform.connections]
    return next(c for c in every if c.transport and c.transport.get_extra_info("peername") == peer.name)


async def until(met: Callable[[], bool]) -> None:
    while not met():
        await asyncio.sleep(0)


GOING: dict[str, Callable[[Peer], None]] = {
    "cancel": lambda peer: peer.cancel(1),
    "close": Peer.close,
    "reset": Peer.reset,
    "half-close": Peer.half_close,
}


@pytest.mark.parametrize("going", GOING)
@pytest.mark.parametrize("slow", [False, True])
def test_no_retry_once_the_client_has_disconnected(going: str, slow: bool) -> None:
    """The refusal of a runner is read first, what the client did stands unread; ``slow``: the router does
    not read from that client at all, as its answers wait.
    """

    async def test() -> None:
        held_calls: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def hold_call(runner: ScriptedWorker, message: dict[str, Any]) -> None:
            held_calls.append((runner, message))

        first, second = ScriptedWorker(hold_call), ScriptedWorker(hold_call)
        async with service(first, second) as running:
            peer = Peer(running)
            peer.call(1)
            await until(lambda: len(held_calls) == 1)
            if slow:
                at_router(running, peer).pause_writing()  # as asyncio says once the peer's window is full
            runner, message = held_calls[0]
            runner.answer(message, {"op": "SHED", "fields": {}})
            GOING[going](peer)
            await until(lambda: not running.dispatcher.pending_calls)
            fence = Peer(running)
            first.behavior = second.behavior = serve_uppercase
            for number in range(2, 10):  # enough that both runners have heard all that was sent before
                fence.call(number)
                assert (await fence.read())[1:3] == [number, None]
            assert [one["id"] for one in first.calls + second.calls].count(f"{1:016x}") == 1
            if going == "half-close":  # it may still read: it has its one answer, a refusal
                at_router(running, peer).resume_writing() if slow else None
                assert (await peer.read())[2][0] == "Backoff"
                assert await peer.read() is None

    run(test())


@pytest.mark.parametrize("going", GOING)
def test_a_call_of_a_gone_client_is_not_written_once_its_connection_comes_up(
    going: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        released, dial = asyncio.Event(), WorkerConnectionPool._connect_within_timeout

        async def late(pool: WorkerConnectionPool, connection: WorkerConnection) -> None:
            await released.wait()
            await dial(pool, connection)

        monkeypatch.setattr(WorkerConnectionPool, "_connect_within_timeout", late)
        runner = ScriptedWorker()
        async with service(runner) as running:
            peer, other = Peer(running), Peer(running)
            peer.call(1)
            await until(lambda: len(running.dispatcher.pending_calls) == 1)
            released.set()
            opened = WorkerConnection.on_connected

            def disconnect_first(connection: WorkerConnection) -> None:
                GOING[going](peer)  # the last thing before what waited there leaves
                opened(connection)

            monkeypatch.setattr(WorkerConnection, "on_connected", disconnect_first)
            await until(lambda: not running.dispatcher.pending_calls)
            other.call(2)
            assert (await other.read())[1:3] == [2, None]
            assert [one["id"] for one in runner.calls] == [f"{2:016x}"]
            if going == "half-close":
                assert (await peer.read())[2][0] == "Backoff"
                assert await peer.read() is None

    run(test())


@pytest.mark.parametrize("going", GOING)
def test_a_request_that_is_read_after_its_client_has_gone_is_not_sent(going: str) -> None:
    """The process was late: the request and its end stand in the socket together when it first reads."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner) as running:
            warm, peer = Peer(running), Peer(running)
            warm.call(2)
            assert (await warm.read())[1:3] == [2, None]  # a connection to the runner stands: nothing waits
            peer.call(1, body=b"y" * 16_000 if going == "cancel" else b"x")  # longer than one read takes
            GOING[going](peer)
            taken = running.dispatcher.result_counts["accepted"]
            await until(lambda: going == "reset" or running.dispatcher.result_counts["accepted"] > taken)
            warm.call(3)
            assert (await warm.read())[1:3] == [3, None]
            assert not running.dispatcher.pending_calls
            assert [one["id"] for one in runner.calls] == [f"{2:016x}", f"{3:016x}"]

    run(test())


def test_after_a_half_close_the_attempt_in_flight_still_brings_its_response() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running:
            peer = Peer(running)
            peer.call(1)
            await mute.wait_until(lambda: len(mute.calls) == 1)
            peer.half_close()
            await until(lambda: at_router(running, peer).is_half_closed)
            mute.answer(mute.calls[0], serve_uppercase(mute, mute.calls[0]))
            assert await peer.read() == [1, 1, None, [b"X", {}]]
            assert await peer.read() is None
            assert mute.cancelled_ids == []

    run(test())


def test_a_flood_that_waits_for_its_pass_is_read_before_any_of_it_is_sent() -> None:
    """Calls and their CANCELs in one piece: none of them runs."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner) as running:
            warm, peer = Peer(running), Peer(running)
            warm.call(1)
            assert (await warm.read())[1:3] == [1, None]
            numbers = range(100, 130)
            peer.sock.sendall(b"".join(pack_call(n, "check", b"z") for n in numbers))
            peer.cancel(*numbers)
            await until(lambda: running.dispatcher.result_counts["abandoned"] == len(numbers))
            warm.call(2)
            assert (await warm.read())[1:3] == [2, None]
            assert len(runner.calls) == 2
            assert not running.dispatcher.pending_calls

    run(test())


def test_a_cancel_behind_an_unread_flood_is_seen() -> None:
    """More messages than a turn takes stand in the socket before it."""

    async def test() -> None:
        held_calls: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def hold_call(runner: ScriptedWorker, message: dict[str, Any]) -> None:
            held_calls.append((runner, message))

        first, second = ScriptedWorker(hold_call), ScriptedWorker(hold_call)
        async with service(first, second) as running:
            peer, fence = Peer(running), Peer(running)
            peer.call(1)
            await until(lambda: len(held_calls) == 1)
            at_router(running, peer).pause_writing()  # its answers wait: nothing is read from it
            runner, message = held_calls[0]
            runner.answer(message, {"op": "SHED", "fields": {}})
            peer.sock.sendall(b"\x93\x02\xa4noop\x90" * 40)
            peer.cancel(1)
            await until(lambda: not running.dispatcher.pending_calls)
            first.behavior = second.behavior = serve_uppercase
            for number in range(2, 10):
                fence.call(number)
                assert (await fence.read())[1:3] == [number, None]
            assert [one["id"] for one in first.calls + second.calls].count(f"{1:016x}") == 1

    run(test())


@pytest.mark.parametrize("seed", range(6))
def test_under_load_no_attempt_is_written_after_its_client_has_gone(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Forty clients ask, go and come back in every way while runners answer, refuse and break at random.

    What counts is the order of acts in this one process: a client's end, and an attempt's last byte.
    """

    async def test() -> None:
        rng, gone_call_ids, late = random.Random(seed), set[str](), list[str]()
        count_written = Dispatcher.count_attempt_written

        def wrote(dispatcher: Dispatcher, attempt: Attempt) -> None:
            if attempt.call.call_id in gone_call_ids:
                late.append(attempt.call.call_id)
            count_written(dispatcher, attempt)

        monkeypatch.setattr(Dispatcher, "count_attempt_written", wrote)

        def behave(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
            what = rng.random()
            if what < 0.1:
                for writer in runner.writers:
                    writer.transport.abort()
                runner.writers.clear()
            if what < 0.25:
                return None
            return {"op": "SHED", "fields": {}} if what < 0.6 else serve_uppercase(runner, message)

        runners = [ScriptedWorker(behave) for _ in range(3)]
        async with service(*runners) as running:
            number = 0
            for _ in range(12):
                peers = [Peer(running) for _ in range(40)]
                open_numbers: dict[Peer, list[int]] = {}
                for peer in peers:
                    for _ in range(rng.randrange(1, 5)):
                        number += 1
                        open_numbers.setdefault(peer, []).append(number)
                        peer.call(number, rng.choice(["check", "confirm"]), limit="400")
                rng.shuffle(peers)
                for peer in peers:
                    for _ in range(rng.randrange(3)):
                        await asyncio.sleep(0)
                    if rng.random() < 0.5:
                        some = rng.sample(open_numbers[peer], rng.randrange(len(open_numbers[peer]) + 1))
                        peer.cancel(*some)
                        gone_call_ids.update(f"{one:016x}" for one in some)
                    else:
                        rng.choice([Peer.close, Peer.reset, Peer.half_close])(peer)
                        gone_call_ids.update(f"{one:016x}" for one in open_numbers[peer])
                for peer in peers:
                    peer.close()
                await until(lambda: not running.dispatcher.pending_calls)
            assert late == []
            assert running.dispatcher.result_counts["served"]
            assert sum(len(runner.calls) for runner in runners) > 100

    run(test())
