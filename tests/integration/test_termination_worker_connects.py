"""Connects to workers that complete late, never complete, or fail because no descriptor is free."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, client, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    CreateConnection,
    DelayedConnects,
    reset_connection,
    result_name,
    running_router,
    wait_until,
)


def test_a_call_is_written_to_a_connection_that_is_established_late(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        delayed_connects = DelayedConnects(monkeypatch)
        async with running_router(worker, limits=SETTINGS["limits"] | {"connect-timeout": 5000}) as (
            _,
            caller,
        ):
            delayed_connects.ports.add(worker.port)
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await wait_until(lambda: delayed_connects.resume_events, "the connect has started")
            delayed_connects.resume_events[0].set()
            assert await caller.read() == [1, 1, None, [b"X", {}]]

    asyncio.run(scenario())


@pytest.mark.parametrize("end_cause", ["deadline", "interrupt", "reset"])
def test_a_call_that_ends_before_its_connection_is_established_is_not_sent(
    end_cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The call is past its deadline, or its client has interrupted it or reset the client connection.

    The worker connection then carries the next call.
    """

    async def scenario() -> None:
        worker = ScriptedWorker()
        delayed_connects = DelayedConnects(monkeypatch)
        limits = SETTINGS["limits"] | {"connect-timeout": 5000}
        async with (
            running_router(worker, limits=limits) as (running, caller),
            client(running) as disconnecting_client,
        ):
            delayed_connects.ports.add(worker.port)
            disconnecting_client.writer.write(
                pack_call(1, "confirm", b"x", limit="400" if end_cause == "deadline" else LONG_TIMEOUT_MS)
            )
            await wait_until(lambda: delayed_connects.resume_events, "the connect has started")
            if end_cause == "deadline":
                assert result_name(await disconnecting_client.read()) == "rejected"  # the call never ran
            elif end_cause == "interrupt":
                disconnecting_client.writer.write(INTERRUPT_PREFIX + b"\x01")
            else:
                reset_connection(disconnecting_client.writer)
            await wait_until(lambda: not running.dispatcher.pending_calls, "the call has ended")
            delayed_connects.ports.clear()
            delayed_connects.resume_events[0].set()
            assert await caller.call(2, "confirm", b"y") == [1, 2, None, [b"Y", {}]]
            assert [call["id"] for call in worker.calls] == [f"{2:016x}"]
            assert len(worker.writers) == 1

    asyncio.run(scenario())


def test_calls_that_wait_for_a_connection_that_is_never_established_are_sent_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The waiting calls are sent to another worker, including those that are not idempotent."""

    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker()]
        delayed_connects = DelayedConnects(monkeypatch)
        limits = SETTINGS["limits"] | {"connect-timeout": 50}
        async with running_router(*workers, limits=limits) as (running, caller):
            delayed_connects.ports |= {worker.port for worker in workers}
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await wait_until(lambda: delayed_connects.resume_events, "the connect has started")
            [chosen_number] = [number for number, pool in running.workers.pools.items() if pool.connections]
            delayed_connects.ports = {workers[chosen_number - 1].port}
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            assert workers[chosen_number - 1].calls == []
            assert len(workers[2 - chosen_number].calls) == 1

    asyncio.run(scenario())


def test_without_a_free_descriptor_the_call_is_rejected_and_no_worker_counts_as_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            loop = asyncio.get_running_loop()
            create_connection: CreateConnection = loop.create_connection

            async def fail(*args: Any, **options: Any) -> Any:
                raise OSError(errno.EMFILE, "too many open files")

            monkeypatch.setattr(loop, "create_connection", fail)
            assert result_name(await caller.call(1, "confirm", b"x", limit="400")) == "rejected"
            max_connections = running.workers.max_connections
            running.workers.max_connections = 0
            assert result_name(await caller.call(2, "confirm", b"x", limit="400")) == "rejected"
            running.workers.max_connections = max_connections
            monkeypatch.setattr(loop, "create_connection", create_connection)
            assert running.dispatcher.router.workers[1].unreachable_at_ms < 0.0, (
                "the worker must not count as unreachable"
            )
            assert await caller.call(3, "confirm", b"x") == [1, 3, None, [b"X", {}]]

    asyncio.run(scenario())
