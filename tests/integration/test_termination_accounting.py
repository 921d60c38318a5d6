"""Counting of each call exactly once: results, class counters, log lines, retry budget, deduplication."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker
from cedarthread.testing.fakes.scripted import ScriptedWorker, answer_with, client, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    DelayedConnects,
    all_worker_connections,
    leave_unanswered,
    reset_connection,
    result_name,
    running_router,
    wait_until,
    wait_until_input_read,
    wait_until_settled,
)


def test_a_call_that_the_server_rejects_counts_as_accepted_and_rejected() -> None:
    async def scenario() -> None:
        async with running_router(ScriptedWorker()) as (running, caller):
            running.platform.max_queued_bytes = -1
            assert result_name(await caller.call(1, "check", b"x")) == "rejected"
            counts = running.dispatcher.result_counts
            assert counts["accepted"] == counts["rejected"] == 1

    asyncio.run(scenario())


def test_a_call_ended_by_its_clients_invalid_message_counts_as_failed() -> None:
    """The client receives a response, so the counters of the call's class must include the call."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            caller.writer.write(b"\x91\x05")
            assert result_name(await caller.read()) == "failed"
            assert running.dispatcher.class_counters["confirm"]["bad_gateway"] == 1
            assert running.dispatcher.result_counts["failed"] == 1
            assert running.dispatcher.result_counts["abandoned"] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("invalid_message", [b"\xc1", pack_call(1, "confirm", b"y" * 1000)[:500]])
def test_a_clients_invalid_message_is_logged_once_with_the_clients_address(
    invalid_message: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", "cedarthread.protocols")
    client_addresses: list[str] = []

    async def scenario() -> None:
        async with running_router(ScriptedWorker()) as (running, caller), client(running) as invalid_client:
            client_addresses.append("{}:{}".format(*invalid_client.writer.get_extra_info("sockname")))
            await wait_until_input_read(invalid_client, 8)
            invalid_client.writer.write(invalid_message)
            await wait_until(
                lambda: invalid_client.writer.transport.get_write_buffer_size() == 0, "the message is sent"
            )
            await wait_until_input_read(caller, 9)
            reset_connection(invalid_client.writer)
            await wait_until(lambda: len(running.platform.connections) == 1, "the connection is closed")

    asyncio.run(scenario())
    assert [client_addresses[0] in record.getMessage() for record in caplog.records] == [True]


def test_an_attempt_of_an_abandoned_call_ends_at_the_deadline_if_cancel_is_disabled() -> None:
    """If the settings forbid CANCEL, a silent worker must not hold a slot and in-flight counts forever."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with running_router(worker, limits=SETTINGS["limits"] | {"cancel": False}) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit="500"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            caller.writer.write(INTERRUPT_PREFIX + b"\x01")
            await wait_until_input_read(caller, 9)
            await wait_until_settled(running)

    asyncio.run(scenario())


def test_a_keyed_call_that_a_worker_shed_is_retried_after_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SHED proves that the call never ran, so a retry after the window cannot execute the call twice."""
    classes = [class_settings | {"repeat-window": 300} for class_settings in SETTINGS["classes"]]

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        limits = SETTINGS["limits"] | {"send-cap": 2}
        async with running_router(*workers, classes=classes, limits=limits) as (running, caller):
            caller.writer.write(pack_call(1, "revise", b"x", unique="5c0f", limit=LONG_TIMEOUT_MS))
            await wait_until(lambda: workers[0].calls or workers[1].calls, "a worker has received the call")
            chosen_index = 0 if workers[0].calls else 1
            workers[1 - chosen_index].behavior = serve_uppercase
            clock = running.dispatcher.clock
            # The deduplication window of 300 ms is over.
            monkeypatch.setattr(running.dispatcher.context, "clock", lambda: clock() + 400.0)
            chosen_worker = workers[chosen_index]
            chosen_worker.answer(chosen_worker.calls[0], answer_with("SHED")(chosen_worker, {}) or {})
            assert result_name(await caller.read()) == "served"
            assert len(all_worker_connections(running)) == 2

    asyncio.run(scenario())


def test_an_idle_client_that_has_not_read_its_responses_is_not_evicted() -> None:
    """Otherwise clients that read nothing could use up all descriptors.

    Closing such a connection waits until the client has read, while the connection is no longer counted.
    """

    async def scenario() -> None:
        def serve_long_body(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
            return serve_uppercase(worker, message) | {"body": "QUFB" * 60_000}

        async with (
            running_router(ScriptedWorker(serve_long_body)) as (running, caller),
            client(running) as slow_client,
        ):
            await wait_until_input_read(slow_client, 8)
            [connection] = running.platform.connections
            slow_client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            number = 1
            while not connection.is_write_paused:  # until the responses exceed the socket buffers
                slow_client.writer.write(pack_call(number, "check", b"x"))
                await wait_until(
                    lambda: running.dispatcher.result_counts["served"] == number,  # noqa: B023
                    "the call is served",
                )
                await asyncio.sleep(0)
                number += 1
            await wait_until_input_read(caller, 9)  # so that the slow client is the least recently used
            running.platform.max_connections = 2
            async with client(running) as new_client:
                await wait_until(
                    lambda: running.platform.unvalidated_connections or new_client.reader.at_eof(),
                    "the new client is accepted or rejected",
                )
                counted = [*running.platform.connections, *running.platform.unvalidated_connections]
                assert connection in counted or connection.is_closed, "the connection is open but not counted"

    asyncio.run(scenario())


def test_of_two_changes_of_the_discovery_address_the_last_applies(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of two consecutive reloads, the first address's socket becomes ready after the second address's."""

    async def scenario() -> None:
        polled_servers: list[str] = []

        def create_server(name: str) -> FakeDiscoveryServer:
            def list_nothing() -> tuple[int, tuple[ListedWorker, ...]] | None:
                polled_servers.append(name)
                return None

            return FakeDiscoveryServer(list_nothing, "room-a")

        first_server = create_server("first")
        last_server = create_server("last")
        await first_server.start()
        await last_server.start()
        loop = asyncio.get_running_loop()
        may_open = {first_server.port: asyncio.Event(), last_server.port: asyncio.Event()}
        create_datagram_endpoint = loop.create_datagram_endpoint
        opened_ports: list[int] = []

        async def open_when_allowed(protocol_factory: Any, remote_addr: Any = None, **options: Any) -> Any:
            await may_open[remote_addr[1]].wait()
            endpoint = await create_datagram_endpoint(protocol_factory, remote_addr=remote_addr, **options)
            opened_ports.append(remote_addr[1])
            return endpoint

        async with running_router(ScriptedWorker()) as (running, _):
            monkeypatch.setattr(loop, "create_datagram_endpoint", open_when_allowed)
            for port in (first_server.port, last_server.port):
                running.discovery.start_polling("127.0.0.1", port)
            may_open[last_server.port].set()
            await wait_until(lambda: opened_ports == [last_server.port], "the last socket is open")
            may_open[first_server.port].set()
            await asyncio.sleep(0)
            assert opened_ports == [last_server.port], "the first address must not be connected"
            polled_servers.clear()
            await wait_until(lambda: polled_servers, "the next query has arrived")
            assert set(polled_servers) == {"last"}
            running.discovery.stop()
        first_server.stop()
        last_server.stop()

    asyncio.run(scenario())


def test_a_connection_established_as_its_connect_timeout_expires_carries_its_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connect timeout expires after ``connection_made`` but before the connecting task resumes."""

    async def scenario() -> None:
        on_connected = WorkerConnection.on_connected

        def expire_connect_timeout(connection: WorkerConnection) -> None:
            on_connected(connection)
            assert connection.connect_timeout is not None
            if (expires_at_s := connection.connect_timeout.when()) is not None:
                connection.connect_timeout.reschedule(expires_at_s - 3600.0)

        monkeypatch.setattr(WorkerConnection, "on_connected", expire_connect_timeout)
        async with running_router(ScriptedWorker()) as (running, caller):
            assert result_name(await caller.call(1, "confirm", b"x")) == "served"
            assert len(all_worker_connections(running)) == 1
            assert not all_worker_connections(running)[0].is_closed

    asyncio.run(scenario())


def test_an_attempt_that_was_never_written_consumes_no_retry_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """A worker sheds the call, and the client interrupts the call while its retry waits for a connection."""

    async def scenario() -> None:
        workers = [ScriptedWorker(leave_unanswered), ScriptedWorker(leave_unanswered)]
        async with running_router(*workers) as (running, caller):
            caller.writer.write(pack_call(1, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await wait_until(lambda: workers[0].calls or workers[1].calls, "a worker has received the call")
            router = running.dispatcher.router
            full_worker = workers[0] if workers[0].calls else workers[1]
            tokens_before = router.state.retry_budget.tokens
            delayed_connects = DelayedConnects(monkeypatch)
            delayed_connects.ports.update(worker.port for worker in workers if worker is not full_worker)
            full_worker.answer(full_worker.calls[0], answer_with("SHED")(full_worker, {}) or {})
            await wait_until(lambda: delayed_connects.resume_events, "the retry waits for its connection")
            assert router.state.retry_budget.tokens == tokens_before - 1.0
            caller.writer.write(INTERRUPT_PREFIX + b"\x01")
            await wait_until_input_read(caller, 9)
            await wait_until(lambda: not router.orphaned_attempts, "the attempt has ended")
            assert router.state.retry_budget.tokens == tokens_before
            assert len(workers[0].calls + workers[1].calls) == 1
            delayed_connects.resume_events[0].set()

    asyncio.run(scenario())


def test_clients_that_disconnect_during_a_connect_do_not_count_against_its_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with running_router(worker) as (running, caller):
            delayed_connects = DelayedConnects(monkeypatch)
            delayed_connects.ports.add(worker.port)
            for number in range(1, 6):
                caller.writer.write(pack_call(number, "check", b"x", limit=LONG_TIMEOUT_MS))
                await wait_until(lambda: running.dispatcher.pending_calls, "the call is pending")
                caller.writer.write(INTERRUPT_PREFIX + bytes((number,)))
                await wait_until(
                    lambda: not running.dispatcher.pending_calls and not running.dispatcher.calls.completed,
                    "the call has ended",
                )
            [view] = running.dispatcher.router.workers.values()
            assert view.outlier_score == 0.0
            assert not view.is_ejected
            for may_connect in delayed_connects.resume_events:
                may_connect.set()

    asyncio.run(scenario())
