"""Crossings whose faults are open: each of these fails, and says at which lines in docs/design/endings.md."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cedarthread.net import runners as net_runners
from cedarthread.standins.resolver import Listed, ResolverServer
from cedarthread.standins.scripted import Runner, client, hit, pack_call, says
from cedarthread.standins.settings import SETTINGS
from tests.test_endings import (
    INTERRUPT,
    LONG,
    fence,
    mute,
    narrow,
    pooled,
    reset,
    routed,
    settled,
    told,
    until,
)


def test_a_call_that_the_front_turns_away_counts_as_taken() -> None:
    async def test() -> None:
        async with routed(Runner()) as (running, caller):
            running.platform.most_queued = -1
            assert told(await caller.call(1, "check", b"x")) == "refused"
            assert running.planner.counts["taken"] == running.planner.counts["refused"] == 1

    asyncio.run(test())


def test_the_answer_lost_after_a_bad_message_counts_as_failed() -> None:
    """The client has its one answer, so its class's figures must hold it."""

    async def test() -> None:
        runner = Runner(mute)
        async with routed(runner) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await runner.until(lambda: len(runner.calls) == 1)
            caller.writer.write(b"\x91\x05")
            assert told(await caller.read()) == "failed"
            assert running.planner.handled["confirm"]["bad_gateway"] == 1
            assert running.planner.counts["failed"] == 1 and running.planner.counts["left"] == 0

    asyncio.run(test())


@pytest.mark.parametrize("spoilt", [b"\xc1", pack_call(1, "confirm", b"y" * 1000)[:500]])
def test_a_clients_bad_message_is_told_with_where_and_what(
    spoilt: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "cedarthread.platform")
    where: list[str] = []

    async def test() -> None:
        async with routed(Runner()) as (running, caller), client(running) as bad:
            where.append("{}:{}".format(*bad.writer.get_extra_info("sockname")))
            await fence(bad, 8)
            bad.writer.write(spoilt)
            await until(lambda: bad.writer.transport.get_write_buffer_size() == 0, "it has left")
            await fence(caller, 9)
            reset(bad.writer)
            await until(lambda: len(running.platform.connections) == 1, "its end")

    asyncio.run(test())
    assert [where[0] in r.getMessage() for r in caplog.records] == [True]


def test_an_attempt_of_a_call_that_was_left_ends_with_its_time_where_no_cancel_is_allowed() -> None:
    """Where the settings forbid to cancel, a silent runner must not keep stream and figures for good."""

    async def test() -> None:
        runner = Runner(mute)
        async with routed(runner, limits=SETTINGS["limits"] | {"cancel": False}) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit="500"))
            await runner.until(lambda: len(runner.calls) == 1)
            caller.writer.write(INTERRUPT + b"\x01")
            await fence(caller, 9)
            await settled(running)

    asyncio.run(test())


def test_an_idle_client_that_has_not_read_its_answers_makes_no_room() -> None:
    """Its close waits for it, uncounted: such clients could take every descriptor."""

    async def test() -> None:
        def long(runner: Runner, message: dict[str, Any]) -> dict[str, Any]:
            return hit(runner, message) | {"body": "QUFB" * 60_000}

        async with routed(Runner(long)) as (running, caller), client(running) as slow:
            await fence(slow, 8)
            [connection] = running.platform.connections
            slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
            number = 1
            while not connection.paused:  # more answers than the sockets take
                slow.writer.write(pack_call(number, "check", b"x"))
                await until(lambda: running.planner.counts["served"] == number, "it is served")  # noqa: B023
                await asyncio.sleep(0)
                number += 1
            await fence(caller, 9)  # so the slow one is the least lately used
            running.platform.most = 2
            async with client(running) as new:
                await until(lambda: running.platform.strangers or new.reader.at_eof(), "let in, or not")
                every = [*running.platform.connections, *running.platform.strangers]
                assert connection in every or connection.closed, "open, and counted no more"

    asyncio.run(test())


def test_of_two_moves_of_the_resolver_the_last_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGHUP twice; the first address is slow to look up and comes up last."""

    async def test() -> None:
        asked: list[str] = []

        def server(name: str) -> ResolverServer:
            def tells() -> tuple[int, tuple[Listed, ...]] | None:
                asked.append(name)
                return None

            return ResolverServer(tells, "room-a")

        first, last = server("first"), server("last")
        await first.start()
        await last.start()
        loop = asyncio.get_running_loop()
        gate = {first.port: asyncio.Event(), last.port: asyncio.Event()}
        open_, done = loop.create_datagram_endpoint, list[int]()

        async def held(make: Any, remote_addr: Any = None, **more: Any) -> Any:
            await gate[remote_addr[1]].wait()
            made = await open_(make, remote_addr=remote_addr, **more)
            done.append(remote_addr[1])
            return made

        async with routed(Runner()) as (running, _):
            monkeypatch.setattr(loop, "create_datagram_endpoint", held)
            for port in (first.port, last.port):
                running._background(running._follow(("127.0.0.1", port)))
            gate[last.port].set()
            await until(lambda: done == [last.port], "the last is there")
            gate[first.port].set()
            await until(lambda: not running._tasks, "both moves have ended")
            asked.clear()
            await until(lambda: asked, "the next query")
            assert set(asked) == {"last"}
            running.resolver.stop()
        first.stop()
        last.stop()

    asyncio.run(test())


def test_a_keyed_call_that_was_shed_is_not_bound_by_its_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """SHED proves that it never ran: there is nothing that its repeat could come too late for."""
    classes = [klass | {"repeat-window": 300} for klass in SETTINGS["classes"]]

    async def test() -> None:
        runners = [Runner(mute), Runner(mute)]
        limits = SETTINGS["limits"] | {"send-cap": 2}
        async with routed(*runners, classes=classes, limits=limits) as (running, caller):
            caller.writer.write(pack_call(1, "revise", b"x", unique="5c0f", limit=LONG))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            at = 0 if runners[0].calls else 1
            runners[1 - at].behave = hit
            clock = running.planner.clock
            monkeypatch.setattr(running.planner, "clock", lambda: clock() + 400.0)  # its window is over
            runners[at].answer(runners[at].calls[0], says("SHED")(runners[at], {}) or {})
            assert told(await caller.read()) == "served"
            assert len(pooled(running)) == 2

    asyncio.run(test())


def test_a_send_that_never_left_costs_no_budget() -> None:
    """The worker is full and the client leaves, in one turn: the move that follows comes to nothing."""

    async def test() -> None:
        runners = [Runner(mute), Runner(mute)]
        async with routed(*runners) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            planner = running.planner
            [call] = planner.calls.values()
            before = planner.router.budget
            [connection] = [c for c in pooled(running) if c.open]
            assert connection._answer({"op": "SHED", "id": call.name})  # as read in this turn
            caller.writer.write(INTERRUPT + b"\x01")
            planner.abandon(call)
            await settled(running)
            assert len(call.attempts) == 2 and len(runners[0].calls + runners[1].calls) == 1
            assert planner.router.budget == before

    asyncio.run(test())


@pytest.mark.parametrize("first", ["reads", "time"])
def test_what_a_client_gives_up_on_a_slow_connection_takes_others_with_it_at_last(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its runner reads nothing at the moment: the others there go on, if it takes the CANCEL in time."""

    async def test() -> None:
        runner = Runner()
        async with routed(runner) as (running, caller):
            connection = await narrow(running, runner, caller)
            runner.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            runner.behave = mute
            caller.writer.write(pack_call(2, "confirm", b"x", limit=LONG))
            await runner.until(lambda: len(runner.calls) == 2)
            runner.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(pack_call(3, "check", b"y" * 16_000, limit=LONG))
            await until(lambda: connection.paused, "the runner's window is full")
            monkeypatch.setattr(net_runners, "CANCEL_SETTLES", 10.0 if first == "reads" else 0.0)
            caller.writer.write(INTERRUPT + b"\x03")
            if first == "time":
                assert told(await caller.read()) == "failed"  # it has not been told but by closing
                return
            await fence(caller, 9)
            runner.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            await runner.until(lambda: runner.cancelled == [f"{3:016x}"])
            runner.answer(runner.calls[1], hit(runner, runner.calls[1]))
            assert told(await caller.read()) == "served"
            [timer] = [h for h in running.planner._loop._scheduled if "_given_up" in repr(h)]  # type: ignore
            timer._run()  # its time has come: the call counts as given up
            timer.cancel()

    asyncio.run(test())
