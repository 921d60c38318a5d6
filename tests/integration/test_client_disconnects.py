"""Tests that no attempt starts after the client has closed its connection or interrupted its call.

The clients are blocking sockets (``client_sockets.py``), so a client's disconnect is unread in the router's
socket when the test continues. The router then handles a worker's response, a connect or a timer first.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, serve_uppercase, service
from tests.integration.client_sockets import DISCONNECTS, BlockingClient
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.calls import Attempt
    from cedarthread.protocols.platform.connection import PlatformConnection
    from cedarthread.service import Service

SCENARIO_TIMEOUT_S = 30.0


def router_connection(running: Service, client: BlockingClient) -> PlatformConnection:
    """Return the router's end of a client's connection."""
    connections = [*running.platform.unvalidated_connections, *running.platform.connections]
    return next(
        connection
        for connection in connections
        if connection.transport and connection.transport.get_extra_info("peername") == client.local_address
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition is true; the scenario's timeout bounds the wait."""
    while not condition():
        await asyncio.sleep(0)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("is_write_paused", [False, True])
def test_no_retry_once_the_client_has_disconnected(disconnect: str, is_write_paused: bool) -> None:
    """The router reads the worker's SHED before it reads the client's disconnect.

    With ``is_write_paused`` the router does not read from the client, because responses to the client are
    queued.
    """

    async def scenario() -> None:
        unanswered_calls: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def leave_unanswered(worker: ScriptedWorker, message: dict[str, Any]) -> None:
            unanswered_calls.append((worker, message))

        first_worker = ScriptedWorker(leave_unanswered)
        second_worker = ScriptedWorker(leave_unanswered)
        async with service(first_worker, second_worker) as running:
            client = BlockingClient(running.port)
            client.call(1)
            await wait_until(lambda: len(unanswered_calls) == 1)
            if is_write_paused:
                # As asyncio does once the client's receive window is full.
                router_connection(running, client).pause_writing()
            worker, message = unanswered_calls[0]
            worker.answer(message, {"op": "SHED", "fields": {}})
            DISCONNECTS[disconnect](client)
            await wait_until(lambda: not running.dispatcher.pending_calls)
            other_client = BlockingClient(running.port)
            first_worker.behavior = serve_uppercase
            second_worker.behavior = serve_uppercase
            for number in range(2, 10):  # enough calls that both workers have read everything sent earlier
                other_client.call(number)
                assert (await other_client.read())[1:3] == [number, None]
            assert [call["id"] for call in first_worker.calls + second_worker.calls].count(f"{1:016x}") == 1
            if disconnect == "half-close":  # the client may still read, so it receives its single response
                router_connection(running, client).resume_writing() if is_write_paused else None
                assert (await client.read())[2][0] == "Backoff"
                assert await client.read() is None

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_a_disconnected_clients_call_is_not_written_when_the_worker_connection_is_established(
    disconnect: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        may_connect = asyncio.Event()
        connect_within_timeout = WorkerConnectionPool._connect_within_timeout

        async def connect_when_allowed(pool: WorkerConnectionPool, connection: WorkerConnection) -> None:
            await may_connect.wait()
            await connect_within_timeout(pool, connection)

        monkeypatch.setattr(WorkerConnectionPool, "_connect_within_timeout", connect_when_allowed)
        worker = ScriptedWorker()
        async with service(worker) as running:
            client = BlockingClient(running.port)
            other_client = BlockingClient(running.port)
            client.call(1)
            await wait_until(lambda: len(running.dispatcher.pending_calls) == 1)
            may_connect.set()
            on_connected = WorkerConnection.on_connected

            def disconnect_first(connection: WorkerConnection) -> None:
                DISCONNECTS[disconnect](client)  # immediately before the queued call is written
                on_connected(connection)

            monkeypatch.setattr(WorkerConnection, "on_connected", disconnect_first)
            await wait_until(lambda: not running.dispatcher.pending_calls)
            other_client.call(2)
            assert (await other_client.read())[1:3] == [2, None]
            assert [call["id"] for call in worker.calls] == [f"{2:016x}"]
            if disconnect == "half-close":
                assert (await client.read())[2][0] == "Backoff"
                assert await client.read() is None

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


@pytest.mark.parametrize("disconnect", DISCONNECTS)
def test_a_request_read_after_its_client_has_disconnected_is_not_sent(disconnect: str) -> None:
    """The request and the disconnect are both in the socket when the router first reads."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker) as running:
            warm_client = BlockingClient(running.port)
            client = BlockingClient(running.port)
            warm_client.call(2)
            # The worker connection is open now, so no later call waits for a connect.
            assert (await warm_client.read())[1:3] == [2, None]
            # A call that an interrupt follows is longer than one read returns.
            client.call(1, body=b"y" * 16_000 if disconnect == "cancel" else b"x")
            DISCONNECTS[disconnect](client)
            accepted_before = running.dispatcher.result_counts["accepted"]
            await wait_until(
                lambda: (
                    disconnect == "reset" or running.dispatcher.result_counts["accepted"] > accepted_before
                )
            )
            warm_client.call(3)
            assert (await warm_client.read())[1:3] == [3, None]
            assert not running.dispatcher.pending_calls
            assert [call["id"] for call in worker.calls] == [f"{2:016x}", f"{3:016x}"]

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


def test_after_a_half_close_the_response_of_the_attempt_in_flight_is_delivered() -> None:
    async def scenario() -> None:
        silent_worker = ScriptedWorker(lambda worker, message: None)
        async with service(silent_worker) as running:
            client = BlockingClient(running.port)
            client.call(1)
            await silent_worker.wait_until(lambda: len(silent_worker.calls) == 1)
            client.half_close()
            await wait_until(lambda: router_connection(running, client).is_half_closed)
            silent_worker.answer(
                silent_worker.calls[0], serve_uppercase(silent_worker, silent_worker.calls[0])
            )
            assert await client.read() == [1, 1, None, [b"X", {}]]
            assert await client.read() is None
            assert silent_worker.cancelled_ids == []

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


def test_calls_whose_interrupts_are_already_in_the_socket_are_not_sent() -> None:
    """The router reads the interrupts of the 30 calls before it sends any of the calls."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker) as running:
            warm_client = BlockingClient(running.port)
            client = BlockingClient(running.port)
            warm_client.call(1)
            assert (await warm_client.read())[1:3] == [1, None]
            numbers = range(100, 130)
            client.sock.sendall(b"".join(pack_call(number, "check", b"z") for number in numbers))
            client.interrupt(*numbers)
            await wait_until(lambda: running.dispatcher.result_counts["abandoned"] == len(numbers))
            warm_client.call(2)
            assert (await warm_client.read())[1:3] == [2, None]
            assert len(worker.calls) == 2
            assert not running.dispatcher.pending_calls

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


def test_an_interrupt_behind_many_unread_messages_prevents_the_retry() -> None:
    """More messages precede the interrupt in the socket than the router reads in one event loop iteration."""

    async def scenario() -> None:
        unanswered_calls: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def leave_unanswered(worker: ScriptedWorker, message: dict[str, Any]) -> None:
            unanswered_calls.append((worker, message))

        first_worker = ScriptedWorker(leave_unanswered)
        second_worker = ScriptedWorker(leave_unanswered)
        async with service(first_worker, second_worker) as running:
            client = BlockingClient(running.port)
            other_client = BlockingClient(running.port)
            client.call(1)
            await wait_until(lambda: len(unanswered_calls) == 1)
            # Responses to the client are queued, so the router does not read from the client.
            router_connection(running, client).pause_writing()
            worker, message = unanswered_calls[0]
            worker.answer(message, {"op": "SHED", "fields": {}})
            client.sock.sendall(b"\x93\x02\xa4noop\x90" * 40)
            client.interrupt(1)
            await wait_until(lambda: not running.dispatcher.pending_calls)
            first_worker.behavior = serve_uppercase
            second_worker.behavior = serve_uppercase
            for number in range(2, 10):
                other_client.call(number)
                assert (await other_client.read())[1:3] == [number, None]
            assert [call["id"] for call in first_worker.calls + second_worker.calls].count(f"{1:016x}") == 1

    run_scenario(scenario, SCENARIO_TIMEOUT_S)


@pytest.mark.parametrize("seed", range(6))
def test_under_load_no_attempt_is_written_after_its_client_has_disconnected(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Forty clients at a time call and disconnect in every way while workers serve, shed and fail at random.

    The test checks that no attempt is completely written after its client has disconnected; both happen in
    one process, so their order is known.
    """

    async def scenario() -> None:
        rng = random.Random(seed)
        abandoned_call_ids: set[str] = set()
        late_call_ids: list[str] = []
        count_attempt_written = Dispatcher.count_attempt_written

        def record_late_attempt(dispatcher: Dispatcher, attempt: Attempt) -> None:
            if attempt.call.call_id in abandoned_call_ids:
                late_call_ids.append(attempt.call.call_id)
            count_attempt_written(dispatcher, attempt)

        monkeypatch.setattr(Dispatcher, "count_attempt_written", record_late_attempt)

        def behave(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
            draw = rng.random()
            if draw < 0.1:
                for writer in worker.writers:
                    writer.transport.abort()
                worker.writers.clear()
            if draw < 0.25:
                return None
            return {"op": "SHED", "fields": {}} if draw < 0.6 else serve_uppercase(worker, message)

        workers = [ScriptedWorker(behave) for _ in range(3)]
        async with service(*workers) as running:
            number = 0
            for _ in range(12):
                clients = [BlockingClient(running.port) for _ in range(40)]
                open_numbers: dict[BlockingClient, list[int]] = {}
                for client in clients:
                    for _ in range(rng.randrange(1, 5)):
                        number += 1
                        open_numbers.setdefault(client, []).append(number)
                        client.call(number, rng.choice(["check", "confirm"]), limit="400")
                rng.shuffle(clients)
                for client in clients:
                    for _ in range(rng.randrange(3)):
                        await asyncio.sleep(0)
                    if rng.random() < 0.5:
                        interrupted = rng.sample(
                            open_numbers[client], rng.randrange(len(open_numbers[client]) + 1)
                        )
                        client.interrupt(*interrupted)
                        abandoned_call_ids.update(f"{call:016x}" for call in interrupted)
                    else:
                        disconnect = rng.choice(
                            [BlockingClient.close, BlockingClient.reset, BlockingClient.half_close]
                        )
                        disconnect(client)
                        abandoned_call_ids.update(f"{call:016x}" for call in open_numbers[client])
                for client in clients:
                    client.close()
                await wait_until(lambda: not running.dispatcher.pending_calls)
            assert late_call_ids == []
            assert running.dispatcher.result_counts["served"]
            assert sum(len(worker.calls) for worker in workers) > 100

    run_scenario(scenario, SCENARIO_TIMEOUT_S)
