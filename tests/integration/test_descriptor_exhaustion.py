"""A router in the test process that has no free descriptor, or connections that cannot close yet."""

from __future__ import annotations

import asyncio
import dataclasses
import errno
import os
import socket
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.calls import CallSucceeded
from cedarthread.protocols.platform.codec import encode_call_result
from cedarthread.testing.fakes.scripted import (
    ScriptedWorker,
    ask_control,
    client,
    pack_call,
    serve_uppercase,
    service,
)
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.transport import descriptor_budget
from tests.integration import invoke_caller
from tests.integration.client_sockets import HEALTH_CHECK, close_all
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    Authority,
    Caller,
    read_invoke_config,
)
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from cedarthread.protocols.platform.connection import PlatformConnection

authority = invoke_caller.authority  # a fixture


def open_descriptors() -> list[str]:
    """Return the numbers of this process's open descriptors, including the one that lists the directory."""
    return os.listdir("/proc/self/fd")


def test_commands_are_answered_during_a_connection_flood_at_the_control_address() -> None:
    """All connections are in the backlog at once, and new ones cannot be evicted for later ones."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with service(ScriptedWorker()) as running:
            running.control.max_connections = descriptor_budget.SECONDARY_ACCEPTS_PER_ITERATION
            count_before = len(open_descriptors())
            connections = [socket.create_connection(("127.0.0.1", running.control_port)) for _ in range(61)]
            connections[-1].sendall(b"PING\n")
            connections[-1].setblocking(False)
            async with asyncio.timeout(10):
                assert await loop.sock_recv(connections[-1], 64) == b"YES\n"
            max_accepted = running.control.max_connections + descriptor_budget.SECONDARY_ACCEPTS_PER_ITERATION
            assert len(open_descriptors()) - count_before - len(connections) <= max_accepted
            close_all(connections)

    run_scenario(scenario)


def test_a_connect_without_a_free_descriptor_does_not_count_against_the_worker() -> None:
    """Regression test: two such failures in a row opened the worker's circuit breaker."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        worker = ScriptedWorker()
        async with service(worker) as running, client(running) as caller:
            create_connection = loop.create_connection

            async def fail(*_: Any, **__: Any) -> Any:
                raise OSError(errno.EMFILE, "too many")

            loop.create_connection = fail  # type: ignore[method-assign]
            for number in range(1, 5):
                response = await caller.call(number, "confirm", b"x")
                assert response[2][0] == "Backoff", "a call that never ran must be rejected"
            [view] = running.dispatcher.router.workers.values()
            assert view.outlier_score == 0.0
            assert not view.is_ejected
            assert not worker.calls
            loop.create_connection = create_connection  # type: ignore[method-assign]
            assert await caller.call(9, "confirm", b"x") == [1, 9, None, [b"X", {}]]

    run_scenario(scenario)


def test_a_connect_without_a_free_descriptor_evicts_an_idle_client() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        worker = ScriptedWorker()
        failure_count = 0
        async with service(worker) as running, client(running) as idle_client, client(running) as caller:
            idle_client.writer.write(HEALTH_CHECK)
            assert (await idle_client.read())[3][0] is True
            create_connection = loop.create_connection

            async def fail_once(*arguments: Any, **options: Any) -> Any:
                nonlocal failure_count
                if not failure_count:
                    failure_count += 1
                    raise OSError(errno.EMFILE, "too many")
                return await create_connection(*arguments, **options)

            loop.create_connection = fail_once  # type: ignore[method-assign]
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert failure_count == 1
            assert await idle_client.read() is None, "the idle client must be evicted"
            info = await ask_control(running, b"INFO\n")
            assert "router.upstream_tries=1" in info

    run_scenario(scenario)


def test_at_the_connection_limit_an_idle_worker_connection_is_closed() -> None:
    async def scenario() -> None:
        workers = [ScriptedWorker(), ScriptedWorker(), ScriptedWorker()]
        async with service(*workers) as running, client(running) as caller:
            running.workers.max_connections = 1
            for number in range(1, 20):
                response = await caller.call(number, "confirm", b"x", item=f"{number * 7919:016x}")
                assert response == [1, number, None, [b"X", {}]]
                assert sum(len(pool.connections) for pool in running.workers.pools.values()) == 1
            assert sum(bool(worker.calls) for worker in workers) > 1
            assert not any(view.outlier_score for view in running.dispatcher.router.workers.values())

    run_scenario(scenario)


def test_an_abandoned_connect_releases_its_descriptor() -> None:
    """Regression test: the descriptor stayed open, uncounted, until the connect timeout."""

    async def scenario() -> None:
        with socket.socket() as full_listener:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            # Four connects fill the backlog, so that no later connect completes.
            backlog = [socket.socket() for _ in range(4)]
            for connection in backlog:
                connection.setblocking(False)
                connection.connect_ex(full_listener.getsockname())
            limits = SETTINGS["limits"] | {"connect-timeout": 60_000}
            async with service(ScriptedWorker(), limits=limits) as running:
                [pool] = running.workers.pools.values()
                pool.endpoint = dataclasses.replace(pool.endpoint, port=full_listener.getsockname()[1])
                open_before = set(open_descriptors())
                worker_connection = pool.acquire("a")
                assert worker_connection is not None
                while len(open_descriptors()) <= len(open_before):
                    await asyncio.sleep(0)
                worker_connection.abort()
                for _ in range(10):
                    await asyncio.sleep(0)
                assert not pool.connecting
                assert set(open_descriptors()) == open_before
            close_all(backlog)

    run_scenario(scenario)


def test_a_client_that_has_not_read_its_responses_stays_open_and_counted() -> None:
    """Regression test: the descriptor stayed open beyond the limit, uncounted, until the client had read."""

    def serve_long_body(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        return serve_uppercase(worker, message) | {"body": "QUJD" * 65536}

    def has_only_unread_responses(connection: PlatformConnection) -> bool:
        return (
            not connection.calls.open
            and connection.is_write_paused
            and not connection.has_unprocessed_messages
        )

    async def scenario() -> None:
        async with service(ScriptedWorker(serve_long_body)) as running, client(running) as slow_client:
            platform = running.platform
            platform.max_connections = 1
            for number in range(1, 33):
                slow_client.writer.write(pack_call(number, "check", b"x"))
            slow_client.reader._transport.pause_reading()  # type: ignore[attr-defined]
            while not any(has_only_unread_responses(connection) for connection in platform.connections):
                await asyncio.sleep(0)
            async with client(running) as rejected_client:
                assert await rejected_client.read() is None, "the new connection must be closed"
            assert len(platform.connections) == 1
            slow_client.reader._transport.resume_reading()  # type: ignore[attr-defined]
            result = CallSucceeded(b"ABC" * 65536)
            total_bytes = sum(len(encode_call_result(number, result)) for number in range(1, 33))
            async with asyncio.timeout(10):
                received = await slow_client.reader.readexactly(total_bytes)
                assert len(received) == total_bytes, "every response must be delivered"

    run_scenario(scenario)


def test_callers_that_never_finish_a_handshake_stay_within_the_connection_limit(authority: Authority) -> None:
    """Regression test: callers counted only after the handshake, so they could use every descriptor."""

    async def scenario() -> None:
        config = dataclasses.replace(read_invoke_config(authority), max_connections=4)
        async with service(ScriptedWorker(), invoke=config) as running:
            assert running.invoke is not None
            count_before = len(open_descriptors())
            silent_callers = [socket.create_connection(("127.0.0.1", running.invoke_port)) for _ in range(40)]
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                response = await caller.request("POST", FUNCTION_PATH + "check", b"a")
                assert response.body == b"A"
                # Besides the silent callers' sockets: four accepted, and both ends of a worker connection.
                max_count = count_before + len(silent_callers) + 4 + 2
                assert len(open_descriptors()) <= max_count + 1  # and the caller's own socket
                assert len(running.invoke.connections) <= 4
            close_all(silent_callers)

    run_scenario(scenario)


def test_the_backlog_at_shutdown_is_accepted_over_several_event_loop_iterations() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        async with service(ScriptedWorker()) as running:
            connections = [
                socket.create_connection(("127.0.0.1", running.port))
                for _ in range(3 * descriptor_budget.CLIENT_ACCEPTS_PER_ITERATION)
            ]
            for connection in connections:
                connection.sendall(HEALTH_CHECK)
                connection.setblocking(False)
            running.platform.stop_listening()
            assert not running.platform.is_drained(), "the backlog must not be accepted all at once"
            async with asyncio.timeout(10):
                responses = [await loop.sock_recv(connection, 64) for connection in connections]
                assert all(responses), "each connection must be answered"
                while not running.platform.is_drained():
                    await asyncio.sleep(0)
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", running.port))
            close_all(connections)

    run_scenario(scenario)
