"""What ends a call, a connection or the process, crossed with what may come at that instant, in both orders.

The stand-ins hold or release the byte, the reply or the connection; nothing here sleeps and hopes. Each test
ends by ``wait_until_settled``: every obligation has been met. Paths and obligations stand in
docs/design/endings.md.
"""

from __future__ import annotations

import asyncio
import dataclasses
import errno
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread import config
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker import connections as workers
from cedarthread.protocols.worker.connections import IDLE_CLOSE_FRACTION
from cedarthread.testing.fakes.scripted import (
    ScriptedClient,
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    pack_call,
    serve_uppercase,
    service,
)
from cedarthread.testing.fakes.settings import SETTINGS
from tests.unit.lifecycle.builders import file_with

if TYPE_CHECKING:
    from cedarthread.model.events import PreloadEnded
    from cedarthread.protocols.worker.connection import WorkerConnection
    from cedarthread.service import Service

# The classes of the workers' side: methods of theirs are what its timers call.
TIMER_OWNERS = ("WorkerConnections.", "WorkerConnection.", "WorkerConnectionPool.", "PreloadRequests.")
INTERRUPT = b"\x93\x02\xa9interrupt\x91"
LONG = "60000"  # ms of a limit that no test waits for
Dial = Callable[..., Any]


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by RST, where a mere close would send FIN."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


CLOSE: dict[str, Callable[[asyncio.StreamWriter], None]] = {"close": lambda w: w.close(), "reset": reset}


def mute(runner: ScriptedWorker, message: dict[str, Any]) -> None:
    """No answer, till the test gives one."""


async def until(met: Callable[[], Any], what: str) -> None:
    """Turns of the loop till it is so; it is a matter of milliseconds, or it fails."""
    try:
        async with asyncio.timeout(5):
            while not met():
                await asyncio.sleep(0)
    except TimeoutError:
        pytest.fail(f"never: {what}")


def unmet_obligations(running: Service) -> dict[str, Any]:
    """The obligations that are not met yet, by name; empty once all are met."""
    dispatcher, runners, front = running.dispatcher, running.workers, running.platform
    router, counts = dispatcher.router, dispatcher.result_counts
    worker_connections = [c for pool in runners.pools.values() for c in pool.connections]
    client_connections = [*front.connections, *front.unproven_connections]
    ends = counts["served"] + counts["rejected"] + counts["failed"]
    figures = [
        sum(f[n] for n in ("passed", "dropped", "bad_gateway")) for f in dispatcher.class_figures.values()
    ]
    timers = [h for h in asyncio.get_running_loop()._scheduled if not h.cancelled()]  # type: ignore[attr-defined]
    names = [getattr(h._callback, "__qualname__", "") for h in timers]
    obligations = {
        "calls": dispatcher.pending_calls,
        "over": dispatcher.calls.completing,
        "names": dispatcher.calls.pending_ids,
        "bytes": dispatcher.calls.pending_body_bytes,
        "inbox": dispatcher._event_queue,
        "open": router.pending_requests,
        "held": router.queued_requests,
        "late": router.orphaned_attempts,
        "reach": router.state.zones.in_flight,
        "pending": [
            v.endpoint.worker_id for v in router.workers.values() if v.in_flight or v.has_trial_in_flight
        ],
        "jam": router.state.overload.total_in_flight,
        "loads": router.state.functions.preloads_in_flight
        or [f for f in router.functions.values() if f.preloading_workers],
        "carrying": runners._connection_by_attempt,
        "streams": [name for c in worker_connections for name in c.in_flight],
        "lines": [line for c in worker_connections for line in (*c.lines.queued, *c.lines.buffered)],
        "requests": [number for c in client_connections for number in c.calls.open],
        "queued": front.queued_bytes,
        "figures of all": counts["accepted"] - ends - counts["abandoned"],
        "figures of classes": ends - sum(figures),
        "timers": [n for n in names if n.startswith(TIMER_OWNERS)],
    }
    return {name: value for name, value in obligations.items() if value}


async def wait_until_settled(running: Service) -> None:
    """Every obligation is met, now or as soon as cancelled attempts have been reported."""
    try:
        async with asyncio.timeout(2):
            while unmet_obligations(running):
                await asyncio.sleep(0.001)
    except TimeoutError:
        assert unmet_obligations(running) == {}


class DelayedConnects:
    """Connections to workers that come up when the test says so, and not before."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.loop, self.ports = asyncio.get_running_loop(), set[int]()
        self.waiting: list[asyncio.Event] = []
        self._dial: Dial = self.loop.create_connection
        monkeypatch.setattr(self.loop, "create_connection", self.dial)

    async def dial(self, make: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        if port in self.ports:
            self.waiting.append(asyncio.Event())
            await self.waiting[-1].wait()
        return await self._dial(make, host, port, **more)


def all_worker_connections(running: Service) -> list[WorkerConnection]:
    return [c for pool in running.workers.pools.values() for c in pool.connections]


def list_workers(
    running: Service, runners: list[ScriptedWorker], *states: EndpointState, **changes: Any
) -> None:
    """An update of the endpoint list; a removed worker is not listed."""
    records = [endpoint_record(r, n, s) for n, (r, s) in enumerate(zip(runners, states, strict=True), 1)]
    records = [dataclasses.replace(e, **changes) for e in records if e.state is not EndpointState.REMOVED]
    running.update_endpoints(running.endpoint_list.version + 1, records, is_complete=True)


def result_name(message: Any) -> str:
    """Served, refused or failed."""
    return {None: "served", "Backoff": "refused", "Lost": "failed"}[message[2] and message[2][0]]


@asynccontextmanager
async def running_router(
    *runners: ScriptedWorker, **changes: Any
) -> AsyncIterator[tuple[Service, ScriptedClient]]:
    """A router and one client; at the end every obligation must be met."""
    async with AsyncExitStack() as stack:
        running = await stack.enter_async_context(service(*runners, **changes))
        yield running, await stack.enter_async_context(client(running))
        await wait_until_settled(running)


async def fence(caller: ScriptedClient, number: int) -> None:
    """A check on the same connection: all that the client sent before has been read by then."""
    caller.writer.write(b"\x94\x00" + bytes((number,)) + b"\xa5check\x90")
    assert (await caller.read())[:2] == [1, number]


READY, DRAINING, GONE = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


# News of a runner.


@pytest.mark.parametrize("first", ["news", "answer"])
def test_a_drain_update_and_a_response(first: str) -> None:
    """What has left goes on, and its connection ends when it carries nothing."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            if first == "news":
                list_workers(running, [runner], DRAINING)
            runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if first == "answer":
                list_workers(running, [runner], DRAINING)
            running.workers.sweep(running.discovery._loop.time())
            await until(
                lambda: not all_worker_connections(running), "the connection to the draining runner is closed"
            )

    asyncio.run(test())


@pytest.mark.parametrize("first", ["news", "connection"])
def test_a_drain_update_and_a_connection_that_comes_up(first: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Told before: the call goes elsewhere and the dial is given up. Told after: the call has left."""

    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        held = DelayedConnects(monkeypatch)
        async with running_router(*runners) as (running, caller):
            held.ports |= {runner.port for runner in runners}
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await until(lambda: held.waiting, "a dial")
            [(at, pool)] = [(n, p) for n, p in running.workers.pools.items() if p.connections]
            held.ports.clear()
            states = [DRAINING if n == at else READY for n in (1, 2)]
            if first == "news":
                list_workers(running, runners, *states)
                assert not pool.connections, "a dial that nothing waits for is given up"
                assert await caller.read() == [1, 1, None, [b"X", {}]]
                held.waiting[0].set()
                await until(lambda: not pool.connecting, "the end of the dial")
                assert not pool.connections
            else:
                held.waiting[0].set()
                await runners[at - 1].wait_until(lambda: runners[at - 1].calls != [])
                list_workers(running, runners, *states)
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            ran = runners[at - 1].calls
            assert len(ran) == (first == "connection")

    asyncio.run(test())


@pytest.mark.parametrize("klass", ["check", "confirm"])
@pytest.mark.parametrize("first", ["news", "answer"])
def test_an_update_that_removes_a_worker_and_a_response(first: str, klass: str) -> None:
    """Its connections end at once. A call without its answer may have run: a safe one goes elsewhere."""

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        async with running_router(*runners) as (running, caller):
            caller.writer.write(pack_call(1, klass, b"x"))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            at = 0 if runners[0].calls else 1
            states = [GONE if n == at else READY for n in (0, 1)]
            runners[1 - at].behavior = serve_uppercase
            if first == "answer":
                runners[at].answer(runners[at].calls[0], serve_uppercase(runners[at], runners[at].calls[0]))
                assert result_name(await caller.read()) == "served"
                list_workers(running, runners, *states)
            else:
                list_workers(running, runners, *states)
                runners[at].answer(runners[at].calls[0], serve_uppercase(runners[at], runners[at].calls[0]))
                assert result_name(await caller.read()) == ("served" if klass == "check" else "failed")
            await fence(caller, 9)
            assert len(runners[1 - at].calls) == (first == "news" and klass == "check")
            assert running.dispatcher.result_counts["accepted"] == 1

    asyncio.run(test())


def test_a_removed_worker_does_not_count_as_skipped() -> None:
    """INFO: it is listed no more, also where an attempt of it ends only after the news."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            list_workers(running, [runner], GONE)
            assert result_name(await caller.read()) == "failed"
            await wait_until_settled(running)
            figures = running.status.lines()
            assert "router.known_runners=0" in figures
            assert "router.skipped_runners=0" in figures

    asyncio.run(test())


def test_an_update_with_a_restart_and_a_drain_withdraws_what_is_unwritten() -> None:
    """The connection was begun since the start, so it stays; what waits on it must not leave any more."""

    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        async with running_router(*runners) as (running, caller):
            assert result_name(await caller.call(1, "check", b"x")) == "served"
            [(at, pool)] = [(n, p) for n, p in running.workers.pools.items() if p.connections]
            pool.connections[0].is_write_paused = True  # as after a write that the peer's window did not take
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await until(lambda: pool.connections[0].lines.queued, "the call waits for the slow runner")
            states = [DRAINING if n == at else READY for n in (1, 2)]
            list_workers(running, runners, *states, started_at_ms=pool.connections[0].created_at_ms - 1.0)
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert [c["id"] for c in runners[2 - at].calls] == [f"{2:016x}"]

    asyncio.run(test())


@pytest.mark.parametrize("klass", ["check", "confirm"])
@pytest.mark.parametrize("first", ["news", "answer"])
def test_a_worker_changes_its_address_under_an_open_call(first: str, klass: str) -> None:
    """What ran at the old address has ended with its connections; a safe call is sent to the new one."""

    async def test() -> None:
        old, new = ScriptedWorker(mute), ScriptedWorker()
        await new.start()
        async with running_router(old) as (running, caller):
            caller.writer.write(pack_call(1, klass, b"x"))
            await old.wait_until(lambda: len(old.calls) == 1)
            if first == "answer":
                old.answer(old.calls[0], serve_uppercase(old, old.calls[0]))
                assert result_name(await caller.read()) == "served"
            list_workers(running, [new], READY)
            if first == "news":
                assert result_name(await caller.read()) == ("served" if klass == "check" else "failed")
            assert result_name(await caller.call(2, klass, b"x")) == "served"
            assert [c["id"] for c in old.calls] == [f"{1:016x}"]
        new.stop()

    asyncio.run(test())


@pytest.mark.parametrize("first", ["news", "interrupt", "time"])
def test_a_queued_call_ends_or_is_sent_once_a_worker_appears(first: str) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            list_workers(running, [runner], DRAINING)
            caller.writer.write(pack_call(1, "confirm", b"x", limit="500" if first == "time" else LONG))
            await until(lambda: running.dispatcher.router.queued_requests, "no runner is ready: it is held")
            if first == "interrupt":
                caller.writer.write(INTERRUPT + b"\x01")
                await fence(caller, 9)
            elif first == "time":
                assert result_name(await caller.read()) == "refused"
            list_workers(running, [runner], READY)
            if first == "news":
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert result_name(await caller.call(2, "confirm", b"x")) == "served"
            assert len(runner.calls) == (2 if first == "news" else 1)

    asyncio.run(test())


# A runner's connection ends.


@pytest.mark.parametrize("how", list(CLOSE))
@pytest.mark.parametrize("klass", ["check", "confirm"])
@pytest.mark.parametrize("place", ["before", "middle", "after"])
def test_a_workers_connection_ends_before_during_or_after_its_response(
    how: str, klass: str, place: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Before and in the middle: it may have run. After, in the same write: it is answered."""
    caplog.set_level("INFO", "cedarthread.protocols")

    def end(runner: ScriptedWorker, message: dict[str, Any]) -> None:
        line = json.dumps(serve_uppercase(runner, message) | {"id": message["id"]}).encode() + b"\n"
        runner.writers[-1].write({"before": b"", "middle": line[:40], "after": line}[place])
        CLOSE[how](runner.writers[-1])

    async def test() -> None:
        runners = [ScriptedWorker(end), ScriptedWorker(end)]
        async with running_router(*runners, limits=SETTINGS["limits"] | {"send-cap": 2}) as (running, caller):
            answer = await caller.call(1, klass, b"x")
            unsafe = klass == "confirm"
            assert result_name(answer) == (
                "served" if place == "after" else "failed" if unsafe else "refused"
            )
            ran = len(runners[0].calls + runners[1].calls)
            assert ran == (1 if place == "after" or unsafe else 2)
            assert running.dispatcher.class_figures[klass]["upstream_tries"] == ran
            await until(lambda: not all_worker_connections(running), "all connections have ended")

    asyncio.run(test())
    cut = [r.getMessage() for r in caplog.records if r.getMessage().startswith("worker_response_truncated ")]
    assert len(cut) == (0 if place != "middle" else 1 if klass == "confirm" else 2)
    assert all(line.startswith("worker_response_truncated worker=s-0000000") for line in cut), "it says where"


async def narrow(running: Service, runner: ScriptedWorker, caller: ScriptedClient) -> WorkerConnection:
    """A connection whose sockets take less than one long call while the runner does not read, as now."""
    runner.server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # accepted ones inherit it
    assert result_name(await caller.call(1, "check", b"x")) == "served"
    [connection] = all_worker_connections(running)
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    runner.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
    return connection


def test_a_worker_that_half_closes_can_answer_nothing() -> None:
    """Its half-close ends what is open there at once, also where it does not read what waits for it."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            connection = await narrow(running, runner, caller)
            last = 9
            for number in range(2, last + 1):
                caller.writer.write(pack_call(number, "confirm", b"y" * 16_000, limit=LONG))
            await until(lambda: len(running.dispatcher.pending_calls) == last - 1, "all are taken")
            await until(lambda: connection.is_write_paused, "the runner's window is full")
            runner.writers[0].write_eof()
            ends = {(a := await caller.read())[1]: result_name(a) for _ in range(2, last + 1)}
            assert set(ends) == set(range(2, last + 1))
            assert ends[last] == "served"  # it had never run, and leaves on a new connection

    asyncio.run(test())


@pytest.mark.parametrize("where", ["same", "other"])
def test_a_duplicate_response_is_ignored(where: str) -> None:
    """For an ended call, on its connection or on another one: passed over, and nothing else is touched."""

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        async with running_router(*runners) as (running, caller):
            for number in (1, 2):
                caller.writer.write(pack_call(number, "confirm", b"x", item=f"{number:016x}", limit=LONG))
            await until(lambda: len(runners[0].calls + runners[1].calls) == 2, "both are out")
            calls = {c["id"]: (r, c) for r in runners for c in r.calls}
            runner, first = calls[f"{1:016x}"]
            other = next(r for r in runners if r is not runner)
            runner.answer(first, serve_uppercase(runner, first))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if where == "same":
                runner.answer(first, answer_with("FAULT")(runner, first) or {})
                runner.answer(first, serve_uppercase(runner, first))
            elif other.writers:
                other.answer(first, serve_uppercase(runner, first))
            second_at, second = calls[f"{2:016x}"]
            second_at.answer(second, serve_uppercase(second_at, second))
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            await fence(caller, 9)
            assert running.dispatcher.result_counts["served"] == 2

    asyncio.run(test())


# A connection that comes up late, or never.


def test_a_connection_comes_up_late_and_the_call_is_written_to_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        held = DelayedConnects(monkeypatch)
        async with running_router(runner, limits=SETTINGS["limits"] | {"connect-timeout": 5000}) as (
            _,
            caller,
        ):
            held.ports.add(runner.port)
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await until(lambda: held.waiting, "a dial")
            held.waiting[0].set()
            assert await caller.read() == [1, 1, None, [b"X", {}]]

    asyncio.run(test())


@pytest.mark.parametrize("how", ["time", "interrupt", "reset"])
def test_a_call_ends_before_its_connection_comes_up(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Out of time, given up, or the client is gone: it never leaves; the connection serves the next call."""

    async def test() -> None:
        runner = ScriptedWorker()
        held = DelayedConnects(monkeypatch)
        limits = SETTINGS["limits"] | {"connect-timeout": 5000}
        async with running_router(runner, limits=limits) as (running, caller), client(running) as leaver:
            held.ports.add(runner.port)
            leaver.writer.write(pack_call(1, "confirm", b"x", limit="400" if how == "time" else LONG))
            await until(lambda: held.waiting, "a dial")
            if how == "time":
                assert result_name(await leaver.read()) == "refused"  # it has never run
            elif how == "interrupt":
                leaver.writer.write(INTERRUPT + b"\x01")
            else:
                reset(leaver.writer)
            await until(lambda: not running.dispatcher.pending_calls, "the call has ended")
            held.ports.clear()
            held.waiting[0].set()
            assert await caller.call(2, "confirm", b"y") == [1, 2, None, [b"Y", {}]]
            assert [c["id"] for c in runner.calls] == [f"{2:016x}"]
            assert len(runner.writers) == 1

    asyncio.run(test())


def test_a_connection_that_never_comes_up_has_executed_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The calls that wait for it go elsewhere, an unsafe one too."""

    async def test() -> None:
        runners = [ScriptedWorker(), ScriptedWorker()]
        held = DelayedConnects(monkeypatch)
        limits = SETTINGS["limits"] | {"connect-timeout": 50}
        async with running_router(*runners, limits=limits) as (running, caller):
            held.ports |= {runner.port for runner in runners}
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await until(lambda: held.waiting, "a dial")
            [at] = [n for n, p in running.workers.pools.items() if p.connections]
            held.ports = {runners[at - 1].port}
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert runners[at - 1].calls == []
            assert len(runners[2 - at].calls) == 1

    asyncio.run(test())


def test_without_a_descriptor_for_a_worker_the_call_is_rejected_and_no_worker_at_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            loop = asyncio.get_running_loop()
            dial: Dial = loop.create_connection

            async def fail(*args: Any, **more: Any) -> Any:
                raise OSError(errno.EMFILE, "too many open files")

            monkeypatch.setattr(loop, "create_connection", fail)
            assert result_name(await caller.call(1, "confirm", b"x", limit="400")) == "refused"
            most, running.workers.max_connections = running.workers.max_connections, 0
            assert result_name(await caller.call(2, "confirm", b"x", limit="400")) == "refused"
            running.workers.max_connections = most
            monkeypatch.setattr(loop, "create_connection", dial)
            assert running.dispatcher.router.workers[1].unreachable_at_ms < 0.0, (
                "that proves nothing of the runner"
            )
            assert await caller.call(3, "confirm", b"x") == [1, 3, None, [b"X", {}]]

    asyncio.run(test())


# Idle closes.


@pytest.mark.parametrize("first", ["sweep", "call"])
def test_our_idle_close_and_a_call(first: str) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            late = asyncio.get_running_loop().time() + 30.0 * IDLE_CLOSE_FRACTION + 0.01
            if first == "sweep":
                running.workers.sweep(late)
                assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]
            else:
                runner.behavior = mute
                caller.writer.write(pack_call(2, "confirm", b"x"))
                await runner.wait_until(lambda: len(runner.calls) == 2)
                running.workers.sweep(late)
                runner.answer(runner.calls[1], serve_uppercase(runner, runner.calls[1]))
                assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert len(runner.writers) == (2 if first == "sweep" else 1)

    asyncio.run(test())


def test_a_workers_idle_close_that_was_read_and_a_call() -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            runner.writers[0].close()
            await until(lambda: not all_worker_connections(running), "the close is read")
            assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]

    asyncio.run(test())


def test_after_a_stall_past_the_idle_timeout_no_call_is_sent_on_the_old_connection() -> None:
    """The process stood still when its look at idle connections was due: the runner's close is under way."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            [old] = all_worker_connections(running)
            old.last_used_at -= 30.0 * IDLE_CLOSE_FRACTION + 0.01  # as after that time without a turn
            assert await caller.call(2, "confirm", b"x") == [1, 2, None, [b"X", {}]]
            assert len(runner.writers) == 2

    asyncio.run(test())


# Orders to load.


@pytest.mark.parametrize("first", ["answer", "time", "connection"])
def test_a_preload_ends_once_and_leaves_neither_slot_nor_timer(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its answer, its time or the end of its connection: a lost order must not hold its place for good."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        specifics = SETTINGS["specifics"] | {"order-limit": 40 if first == "time" else 10_000}
        async with running_router(runner, specifics=specifics) as (running, caller):
            ends: list[PreloadEnded] = []
            monkeypatch.setattr(running.dispatcher, "preload_ended", ends.append)
            running.workers.preload(1, 7, 1)
            await runner.wait_until(lambda: len(runner.calls) == 1)
            done = {"op": "HIT", "fields": {"pods": 1}}
            if first == "answer":
                runner.answer(runner.calls[0], done)
            elif first == "connection":
                runner.writers[0].transport.abort()
            await until(lambda: ends, "the order has ended")
            if first == "time":
                await wait_until_settled(running)
                runner.answer(runner.calls[0], done)  # late: for nobody
                runner.behavior = serve_uppercase
                assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            outcome = {"answer": Outcome.OK, "time": Outcome.TIMEOUT, "connection": Outcome.RESET}
            await wait_until_settled(running)
            assert [end.outcome for end in ends] == [outcome[first]]

    asyncio.run(test())


# The client's end, and its time.


@pytest.mark.parametrize("first", ["leaves", "answer"])
@pytest.mark.parametrize("how", ["interrupt", *CLOSE])
def test_a_client_disconnects_and_a_response_comes(how: str, first: str) -> None:
    """No answer after an interrupt, and the runner is told; after the answer an interrupt is for nobody."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller), client(running) as leaver:
            leaver.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await runner.wait_until(lambda: len(runner.calls) == 1)

            async def leave() -> None:
                if how == "interrupt":
                    leaver.writer.write(INTERRUPT + b"\x01")
                    await fence(leaver, 8)
                else:
                    CLOSE[how](leaver.writer)

            if first == "leaves":
                await leave()
                if how != "close":
                    await runner.wait_until(lambda: runner.cancelled_ids != [])
                else:  # it may have stopped writing only: an answer that comes is still for it
                    await until(lambda: any(c.is_half_closed for c in running.platform.connections), "EOF")
                runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
            else:
                runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
                assert result_name(await leaver.read()) == "served"
                await leave()
            runner.behavior = serve_uppercase
            assert await caller.call(2, "confirm", b"y") == [1, 2, None, [b"Y", {}]]
            await wait_until_settled(running)
            ends, gone = running.dispatcher.result_counts, first == "leaves" and how != "close"
            assert (ends["served"], ends["abandoned"]) == ((1, 1) if gone else (2, 0))
            assert runner.cancelled_ids == ([f"{1:016x}"] if gone else [])

    asyncio.run(test())


def test_an_interrupt_and_a_response_in_one_loop_pass() -> None:
    """Whichever is read first: one end for each call, and at most one answer."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            for number in range(1, 21):
                caller.writer.write(pack_call(number, "confirm", b"x", limit=LONG))
                await runner.wait_until(lambda: len(runner.calls) == number)  # noqa: B023
                runner.answer(runner.calls[-1], serve_uppercase(runner, runner.calls[-1]))
                caller.writer.write(INTERRUPT + bytes((number,)))
                await until(lambda: not running.dispatcher.pending_calls, "it has ended")
            caller.writer.write(b"\x94\x00\x63\xa5check\x90")
            answered = []
            while (message := await caller.read())[1] != 0x63:
                answered.append(message[1])
            assert len(answered) == len(set(answered)) == running.dispatcher.result_counts["served"]

    asyncio.run(test())


@pytest.mark.parametrize("first", ["time", "answer"])
def test_a_deadline_and_a_response(first: str) -> None:
    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit="500" if first == "time" else LONG))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            if first == "time":
                assert result_name(await caller.read()) == "failed"
                await runner.wait_until(lambda: runner.cancelled_ids == [f"{1:016x}"])
            runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
            if first == "answer":
                assert result_name(await caller.read()) == "served"
                running.dispatcher.deadlines.on_timer()  # its time, had it come in this very turn
            await fence(caller, 9)
            assert len(runner.cancelled_ids) == (first == "time")

    asyncio.run(test())


@pytest.mark.parametrize("first", ["reads", "time"])
def test_a_cancel_on_a_slow_connection_aborts_it_with_the_others_if_it_is_not_read_in_time(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its runner reads nothing at the moment: the others there go on, if it takes the CANCEL in time."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            connection = await narrow(running, runner, caller)
            runner.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            runner.behavior = mute
            caller.writer.write(pack_call(2, "confirm", b"x", limit=LONG))
            await runner.wait_until(lambda: len(runner.calls) == 2)
            runner.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(pack_call(3, "check", b"y" * 16_000, limit=LONG))
            await until(lambda: connection.is_write_paused, "the runner's window is full")
            monkeypatch.setattr(workers, "CANCEL_SETTLE_S", 10.0 if first == "reads" else 0.0)
            caller.writer.write(INTERRUPT + b"\x03")
            if first == "time":
                assert result_name(await caller.read()) == "failed"  # it has not been told but by closing
                return
            await fence(caller, 9)
            runner.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            await runner.wait_until(lambda: runner.cancelled_ids == [f"{3:016x}"])
            runner.answer(runner.calls[1], serve_uppercase(runner, runner.calls[1]))
            assert result_name(await caller.read()) == "served"
            [timer] = [h for h in running.dispatcher.context.loop._scheduled if "_finish_cancel" in repr(h)]  # type: ignore
            timer._run()  # its time has come: the call counts as given up
            timer.cancel()

    asyncio.run(test())


# The end of the process.


def test_at_shutdown_every_call_is_answered_in_time_and_its_attempt_cancelled() -> None:
    """Of calls before and after SIGTERM, whose own time is longer, each gets its one answer in time."""
    classes = [klass | {"deadline": 300, "goal-time": 100} for klass in SETTINGS["classes"]]

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner, classes=classes) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            ending = asyncio.create_task(running.shut_down())
            await until(lambda: running.dispatcher.shutdown_deadline_ms is not None, "it has been told")
            caller.writer.write(pack_call(2, "confirm", b"x", limit=LONG))
            await runner.wait_until(lambda: len(runner.calls) == 2)
            answers = [await caller.read(), await caller.read()]
            assert {(a[1], result_name(a)) for a in answers} == {(1, "failed"), (2, "failed")}
            assert await caller.read() is None
            await ending
            assert running.dispatcher.clock() < (running.dispatcher.shutdown_deadline_ms or 0.0) + 250.0

    asyncio.run(test())


@pytest.mark.parametrize("first", ["close", "request"])
def test_a_request_crosses_the_close_at_shutdown(first: str) -> None:
    """Read before the close: answered in full. Read after it: not taken, so its client sends it anew."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            await fence(caller, 9)
            if first == "close":
                running.platform.drain()
            caller.writer.write(pack_call(1, "confirm", b"x"))
            if first == "request":
                await until(lambda: running.dispatcher.result_counts["accepted"], "it is taken")
                running.platform.drain()
                assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert await caller.read() is None
            assert running.dispatcher.result_counts["accepted"] == len(runner.calls) == (first == "request")

    asyncio.run(test())


def test_a_connection_in_the_backlog_at_shutdown_is_accepted_and_served() -> None:
    """A listener that closes would reset it unheard, with the request that it may hold."""

    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, _):
            caller = socket.socket()
            caller.setblocking(False)
            with pytest.raises(BlockingIOError):  # the kernel takes it in; this process has had no turn yet
                caller.connect(("127.0.0.1", running.port))
            running.platform.stop_listening()
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, pack_call(1, "confirm", b"x"))
            async with asyncio.timeout(10):
                assert (await loop.sock_recv(caller, 100))[:4] == b"\x94\x01\x01\xc0"
            caller.close()

    asyncio.run(test())


@pytest.mark.parametrize("first", ["eviction", "request"])
def test_a_request_crosses_its_connections_eviction(first: str) -> None:
    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            running.platform.max_connections = 1
            await fence(caller, 9)
            if first == "request":
                caller.writer.write(pack_call(1, "confirm", b"x"))
                await runner.wait_until(lambda: len(runner.calls) == 1)
            async with client(running) as second:
                assert (await second.read() is None) if first == "request" else True
                if first == "eviction":
                    assert await caller.read() is None
                    runner.behavior = serve_uppercase
                    assert result_name(await second.call(1, "confirm", b"x")) == "served"
                else:
                    runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
                    assert await caller.read() == [1, 1, None, [b"X", {}]]

    asyncio.run(test())


# New settings under open calls.


def take(running: Service, change: Callable[[dict[str, Any]], None]) -> None:
    """SIGHUP, with the file changed like this."""
    changed = json.loads(json.dumps(SETTINGS))
    change(changed)
    running.reloader.load_config = lambda: config.decode(file_with(changed), {})
    running.reload()


def drop(result_name: dict[str, Any]) -> None:
    result_name["classes"] = [c for c in result_name["classes"] if c["name"] != "check"]


def effect(result_name: dict[str, Any]) -> None:
    result_name["classes"][0]["effect"] = "fragile"


@pytest.mark.parametrize("change", [drop, effect])
@pytest.mark.parametrize("first", ["settings", "end"])
def test_a_class_is_removed_or_changed_under_an_open_call(
    change: Callable[[dict[str, Any]], None], first: str
) -> None:
    """A call taken as safe goes on as such: it may have run, and is tried elsewhere."""

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        async with running_router(*runners) as (running, caller):
            caller.writer.write(pack_call(1, "check", b"x"))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            at = 0 if runners[0].calls else 1
            runners[1 - at].behavior = serve_uppercase
            if first == "settings":
                take(running, change)
            runners[at].answer(runners[at].calls[0], answer_with("FAULT")(runners[at], {}) or {})
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            if first == "end":
                take(running, change)
            assert {c["fields"]["profile"] for r in runners for c in r.calls} == {"check"}
            assert running.dispatcher.class_figures["check"]["passed"] == 1

    asyncio.run(test())


@pytest.mark.parametrize("first", ["settings", "end"])
def test_fewer_attempts_are_allowed_than_a_call_has_had(first: str) -> None:
    async def test() -> None:
        count = [0]

        def shed(runner: ScriptedWorker, message: dict[str, Any]) -> Any:
            count[0] += 1
            return None if count[0] == 2 else answer_with("SHED")(runner, message)

        runners = [ScriptedWorker(shed), ScriptedWorker(shed), ScriptedWorker(shed)]
        async with running_router(*runners) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await until(lambda: count[0] == 2, "the second attempt is out")
            [runner] = [r for r in runners if r.calls and r.calls[0] == r.calls[-1] and not r.cancelled_ids][
                -1:
            ]
            out = [c for c in all_worker_connections(running) if c.in_flight]
            [at] = [n for n, p in running.workers.pools.items() if out[0] in p.connections]
            runner = runners[at - 1]
            if first == "settings":
                take(running, lambda result_name: result_name["limits"].update({"send-cap": 1}))
            runner.answer(runner.calls[0], answer_with("SHED")(runner, {}) or {})
            assert result_name(await caller.read()) == "refused"
            if first == "end":
                take(running, lambda result_name: result_name["limits"].update({"send-cap": 1}))
            assert count[0] == (2 if first == "settings" else SETTINGS["limits"]["send-cap"])

    asyncio.run(test())
