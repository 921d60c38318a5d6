"""Debts that two places settled, or none: counts, figures, log lines, streams, proofs that nothing ran."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker
from cedarthread.testing.fakes.scripted import ScriptedWorker, answer_with, client, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.test_endings import (
    INTERRUPT,
    LONG,
    DelayedConnects,
    all_worker_connections,
    fence,
    mute,
    reset,
    result_name,
    running_router,
    until,
    wait_until_settled,
)


def test_a_call_that_the_server_rejects_counts_as_taken() -> None:
    async def test() -> None:
        async with running_router(ScriptedWorker()) as (running, caller):
            running.platform.max_queued_bytes = -1
            assert result_name(await caller.call(1, "check", b"x")) == "refused"
            assert (
                running.dispatcher.result_counts["accepted"]
                == running.dispatcher.result_counts["rejected"]
                == 1
            )

    asyncio.run(test())


def test_the_answer_lost_after_a_bad_message_counts_as_failed() -> None:
    """The client has its one answer, so its class's figures must hold it."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            caller.writer.write(b"\x91\x05")
            assert result_name(await caller.read()) == "failed"
            assert running.dispatcher.class_figures["confirm"]["bad_gateway"] == 1
            assert running.dispatcher.result_counts["failed"] == 1
            assert running.dispatcher.result_counts["abandoned"] == 0

    asyncio.run(test())


@pytest.mark.parametrize("spoilt", [b"\xc1", pack_call(1, "confirm", b"y" * 1000)[:500]])
def test_a_clients_invalid_message_is_logged_with_where_and_what(
    spoilt: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "cedarthread.protocols")
    where: list[str] = []

    async def test() -> None:
        async with running_router(ScriptedWorker()) as (running, caller), client(running) as bad:
            where.append("{}:{}".format(*bad.writer.get_extra_info("sockname")))
            await fence(bad, 8)
            bad.writer.write(spoilt)
            await until(lambda: bad.writer.transport.get_write_buffer_size() == 0, "it has left")
            await fence(caller, 9)
            reset(bad.writer)
            await until(lambda: len(running.platform.connections) == 1, "its end")

    asyncio.run(test())
    assert [where[0] in r.getMessage() for r in caplog.records] == [True]


def test_an_attempt_of_an_abandoned_call_ends_at_the_deadline_where_no_cancel_is_allowed() -> None:
    """Where the settings forbid to cancel, a silent runner must not keep stream and figures for good."""

    async def test() -> None:
        runner = ScriptedWorker(mute)
        async with running_router(runner, limits=SETTINGS["limits"] | {"cancel": False}) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit="500"))
            await runner.wait_until(lambda: len(runner.calls) == 1)
            caller.writer.write(INTERRUPT + b"\x01")
            await fence(caller, 9)
            await wait_until_settled(running)

    asyncio.run(test())


def test_a_call_with_a_key_that_a_worker_shed_is_not_bound_by_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SHED proves that it never ran: there is nothing that its repeat could come too late for."""
    classes = [klass | {"repeat-window": 300} for klass in SETTINGS["classes"]]

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        limits = SETTINGS["limits"] | {"send-cap": 2}
        async with running_router(*runners, classes=classes, limits=limits) as (running, caller):
            caller.writer.write(pack_call(1, "revise", b"x", unique="5c0f", limit=LONG))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            at = 0 if runners[0].calls else 1
            runners[1 - at].behavior = serve_uppercase
            clock = running.dispatcher.clock
            monkeypatch.setattr(
                running.dispatcher.context, "clock", lambda: clock() + 400.0
            )  # its window is over
            runners[at].answer(runners[at].calls[0], answer_with("SHED")(runners[at], {}) or {})
            assert result_name(await caller.read()) == "served"
            assert len(all_worker_connections(running)) == 2

    asyncio.run(test())


def test_an_idle_client_that_has_not_read_its_responses_is_not_evicted() -> None:
    """Its close waits for it, uncounted: such clients could take every descriptor."""

    async def test() -> None:
        def long(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
            return serve_uppercase(runner, message) | {"body": "QUFB" * 60_000}

        async with running_router(ScriptedWorker(long)) as (running, caller), client(running) as slow:
            await fence(slow, 8)
            [connection] = running.platform.connections
            slow.writer.transport.pause_reading()  # type: ignore[attr-defined]
            number = 1
            while not connection.is_write_paused:  # more answers than the sockets take
                slow.writer.write(pack_call(number, "check", b"x"))
                await until(lambda: running.dispatcher.result_counts["served"] == number, "it is served")  # noqa: B023
                await asyncio.sleep(0)
                number += 1
            await fence(caller, 9)  # so the slow one is the least lately used
            running.platform.max_connections = 2
            async with client(running) as new:
                await until(
                    lambda: running.platform.unproven_connections or new.reader.at_eof(), "let in, or not"
                )
                every = [*running.platform.connections, *running.platform.unproven_connections]
                assert connection in every or connection.is_closed, "open, and counted no more"

    asyncio.run(test())


def test_of_two_changes_of_the_discovery_address_the_last_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGHUP twice; the first address is slow to look up and comes up last."""

    async def test() -> None:
        asked: list[str] = []

        def server(name: str) -> FakeDiscoveryServer:
            def tells() -> tuple[int, tuple[ListedWorker, ...]] | None:
                asked.append(name)
                return None

            return FakeDiscoveryServer(tells, "room-a")

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

        async with running_router(ScriptedWorker()) as (running, _):
            monkeypatch.setattr(loop, "create_datagram_endpoint", held)
            for port in (first.port, last.port):
                running.discovery.start_polling("127.0.0.1", port)
            gate[last.port].set()
            await until(lambda: done == [last.port], "the last is there")
            gate[first.port].set()
            await asyncio.sleep(0)
            assert done == [last.port], "the first move was given up"
            asked.clear()
            await until(lambda: asked, "the next query")
            assert set(asked) == {"last"}
            running.discovery.stop()
        first.stop()
        last.stop()

    asyncio.run(test())


def test_a_connection_that_comes_up_in_the_loop_pass_of_its_timeout_carries_its_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time to come up ends right after the connection is there, before asyncio has told its dial so."""

    async def test() -> None:
        opened = WorkerConnection.on_connected

        def late(connection: WorkerConnection) -> None:
            opened(connection)
            assert connection.connect_timeout is not None
            if (when := connection.connect_timeout.when()) is not None:  # its time is up now
                connection.connect_timeout.reschedule(when - 3600.0)

        monkeypatch.setattr(WorkerConnection, "on_connected", late)
        async with running_router(ScriptedWorker()) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            assert len(all_worker_connections(running)) == 1
            assert not all_worker_connections(running)[0].is_closed

    asyncio.run(test())


def test_an_attempt_that_was_never_written_costs_no_retry_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """A runner is full, and the client leaves while the move waits for a connection to the other one."""

    async def test() -> None:
        runners = [ScriptedWorker(mute), ScriptedWorker(mute)]
        async with running_router(*runners) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG))
            await until(lambda: runners[0].calls or runners[1].calls, "the call is there")
            router, full = running.dispatcher.router, runners[0] if runners[0].calls else runners[1]
            before, slow = router.state.retry_budget.tokens, DelayedConnects(monkeypatch)
            slow.ports.update(one.port for one in runners if one is not full)
            full.answer(full.calls[0], answer_with("SHED")(full, {}) or {})
            await until(lambda: slow.waiting, "the move waits for its connection")
            assert router.state.retry_budget.tokens == before - 1.0
            caller.writer.write(INTERRUPT + b"\x01")
            await fence(caller, 9)
            await until(lambda: not router.orphaned_attempts, "its end")
            assert router.state.retry_budget.tokens == before
            assert len(runners[0].calls + runners[1].calls) == 1
            slow.waiting[0].set()

    asyncio.run(test())


def test_clients_that_disconnect_while_a_connection_comes_up_are_no_fault_of_its_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with running_router(runner) as (running, caller):
            slow = DelayedConnects(monkeypatch)
            slow.ports.add(runner.port)
            for number in range(1, 6):
                caller.writer.write(pack_call(number, "check", b"x", limit=LONG))
                await until(lambda: running.dispatcher.pending_calls, "it waits")
                caller.writer.write(INTERRUPT + bytes((number,)))
                await until(
                    lambda: not running.dispatcher.pending_calls and not running.dispatcher.calls.completing,
                    "it has left",
                )
            [view] = running.dispatcher.router.workers.values()
            assert view.outlier_score == 0.0
            assert not view.is_ejected
            for one in slow.waiting:
                one.set()

    asyncio.run(test())
