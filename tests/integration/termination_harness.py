"""Helpers of the termination tests: a router with scripted workers and clients, and checks at the end.

A call, a connection or the process may end while another event is pending. The helpers here fix the order
of such events: a scripted worker leaves a call unanswered until the test answers, ``DelayedConnects``
suspends the connects to workers, and ``wait_until_input_read`` returns once the router has read a client's
bytes. ``wait_until_settled`` checks at the end of a test that the router has released all state of its calls.
docs/design/termination.md lists that state and the cases.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread import config
from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fakes.scripted import (
    ScriptedClient,
    ScriptedWorker,
    client,
    endpoint_record,
    service,
)
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from cedarthread.protocols.worker.connection import WorkerConnection
    from cedarthread.service import Service

# Prefixes of the qualified names of the worker protocol's timer callbacks.
TIMER_CALLBACK_PREFIXES = (
    "WorkerConnections.",
    "WorkerConnection.",
    "WorkerConnectionPool.",
    "PreloadRequests.",
)
# An interrupt message of the platform protocol without its last field, the packed number of the call.
INTERRUPT_PREFIX = b"\x93\x02\xa9interrupt\x91"
LONG_TIMEOUT_MS = "60000"  # a call timeout that expires in no test
WAIT_TIMEOUT_S = 5.0  # for conditions that normally become true within milliseconds
SETTLE_TIMEOUT_S = 2.0
CreateConnection = Callable[..., Any]  # as ``loop.create_connection``


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST instead of FIN."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


CLOSE_METHODS: dict[str, Callable[[asyncio.StreamWriter], None]] = {
    "close": lambda writer: writer.close(),
    "reset": reset_connection,
}


def leave_unanswered(worker: ScriptedWorker, message: dict[str, Any]) -> None:
    """Send no response, so that the test can send one later."""


async def wait_until(condition: Callable[[], Any], description: str) -> None:
    """Run the event loop until a condition is true; fail the test after WAIT_TIMEOUT_S."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)
    except TimeoutError:
        pytest.fail(f"timed out waiting for the condition: {description}")


def unreleased_call_state(running: Service) -> dict[str, Any]:
    """Return the state of calls that the router still holds, by name; empty once all state is released."""
    call_state = {
        **_dispatcher_state(running),
        **_routing_state(running),
        **_connection_state(running),
        **_count_differences(running),
        "timers": _worker_timers(),
    }
    return {name: value for name, value in call_state.items() if value}


def _dispatcher_state(running: Service) -> dict[str, Any]:
    dispatcher = running.dispatcher
    return {
        "pending calls": dispatcher.pending_calls,
        "completed calls": dispatcher.calls.completed,
        "pending call ids": dispatcher.calls.pending_ids,
        "pending body bytes": dispatcher.calls.pending_body_bytes,
        "queued events": dispatcher._event_queue,
    }


def _routing_state(running: Service) -> dict[str, Any]:
    router = running.dispatcher.router
    return {
        "pending requests": router.pending_requests,
        "queued requests": router.queued_requests,
        "orphaned attempts": router.orphaned_attempts,
        "attempts in flight by zone": router.state.zones.in_flight,
        "workers with attempts in flight": [
            view.endpoint.worker_id
            for view in router.workers.values()
            if view.in_flight or view.has_trial_in_flight
        ],
        "attempts in the overload estimator": router.state.overload.total_in_flight,
        "preloads in flight": router.state.functions.preloads_in_flight
        or [function for function in router.functions.values() if function.preloading_workers],
    }


def _connection_state(running: Service) -> dict[str, Any]:
    platform = running.platform
    worker_connections = all_worker_connections(running)
    client_connections = [*platform.connections, *platform.unvalidated_connections]
    return {
        "connections of attempts": running.workers._connection_by_attempt,
        "calls in flight on worker connections": [
            name for connection in worker_connections for name in connection.in_flight
        ],
        "unwritten lines to workers": [
            line
            for connection in worker_connections
            for line in (*connection.line_queue.queued, *connection.line_queue.buffered)
        ],
        "open calls of clients": [
            number for connection in client_connections for number in connection.calls.open
        ],
        "queued bytes to clients": platform.queued_bytes,
    }


def _count_differences(running: Service) -> dict[str, Any]:
    """Return the differences between accepted calls and results, and between results and class counters."""
    counts = running.dispatcher.result_counts
    result_count = counts["served"] + counts["rejected"] + counts["failed"]
    result_counts_by_class = [
        sum(counters[name] for name in ("passed", "dropped", "bad_gateway"))
        for counters in running.dispatcher.class_counters.values()
    ]
    return {
        "accepted calls without a result": counts["accepted"] - result_count - counts["abandoned"],
        "results missing from class counters": result_count - sum(result_counts_by_class),
    }


def _worker_timers() -> list[str]:
    """Return the callbacks of the event loop's pending timers that start with TIMER_CALLBACK_PREFIXES."""
    scheduled = asyncio.get_running_loop()._scheduled  # type: ignore[attr-defined]
    timers = [handle for handle in scheduled if not handle.cancelled()]
    names = [getattr(handle._callback, "__qualname__", "") for handle in timers]
    return [name for name in names if name.startswith(TIMER_CALLBACK_PREFIXES)]


async def wait_until_settled(running: Service) -> None:
    """Wait until the router has released all state of its calls, including attempts just cancelled."""
    try:
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while unreleased_call_state(running):
                await asyncio.sleep(0.001)
    except TimeoutError:
        assert unreleased_call_state(running) == {}


class DelayedConnects:
    """A patch of the event loop that suspends connects to chosen worker ports until the test resumes them.

    Attributes:
        ports: The ports whose connects are suspended; tests change the set.
        resume_events: One event for each suspended connect, in order; setting the event resumes the connect.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.loop = asyncio.get_running_loop()
        self.ports = set[int]()
        self.resume_events: list[asyncio.Event] = []
        self._create_connection: CreateConnection = self.loop.create_connection
        monkeypatch.setattr(self.loop, "create_connection", self.create_connection)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect as the event loop does, but first wait for the event if the port is in ``ports``."""
        if port in self.ports:
            self.resume_events.append(asyncio.Event())
            await self.resume_events[-1].wait()
        return await self._create_connection(protocol_factory, host, port, **options)


def all_worker_connections(running: Service) -> list[WorkerConnection]:
    """Return the router's connections to all workers."""
    return [connection for pool in running.workers.pools.values() for connection in pool.connections]


def update_endpoint_list(
    running: Service, workers: list[ScriptedWorker], *states: EndpointState, **changes: Any
) -> None:
    """Apply a complete endpoint list of these workers, without those whose state is REMOVED."""
    records = [
        endpoint_record(worker, number, state)
        for number, (worker, state) in enumerate(zip(workers, states, strict=True), 1)
    ]
    records = [
        dataclasses.replace(record, **changes)
        for record in records
        if record.state is not EndpointState.REMOVED
    ]
    running.update_endpoints(running.endpoint_list.version + 1, records, is_complete=True)


def result_name(message: Any) -> str:
    """Return the result of a platform protocol response: "served", "rejected" or "failed"."""
    return {None: "served", "Backoff": "rejected", "Lost": "failed"}[message[2] and message[2][0]]


@asynccontextmanager
async def running_router(
    *workers: ScriptedWorker, **changes: Any
) -> AsyncIterator[tuple[Service, ScriptedClient]]:
    """Run a router with one client; check at the end that the router has released all state of its calls."""
    async with AsyncExitStack() as stack:
        running = await stack.enter_async_context(service(*workers, **changes))
        yield running, await stack.enter_async_context(client(running))
        await wait_until_settled(running)


async def wait_until_input_read(caller: ScriptedClient, number: int) -> None:
    """Wait until the router has read all that the client sent, by awaiting the response to a health check."""
    caller.writer.write(b"\x94\x00" + bytes((number,)) + b"\xa5check\x90")
    assert (await caller.read())[:2] == [1, number]


async def connect_with_small_buffers(
    running: Service, worker: ScriptedWorker, caller: ScriptedClient
) -> WorkerConnection:
    """Open a worker connection with buffers smaller than one long call, and pause the worker's reads."""
    listening_socket = worker.server.sockets[0]
    # Accepted sockets inherit the buffer size.
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    assert result_name(await caller.call(1, "check", b"x")) == "served"
    [connection] = all_worker_connections(running)
    assert connection.transport is not None
    connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    worker.writers[0].transport.pause_reading()  # type: ignore[attr-defined]
    return connection


def encode_config_file(settings: dict[str, Any]) -> bytes:
    """Return a configuration file with these settings."""
    return json.dumps({"listen": "127.0.0.1:0", "settings": settings}).encode()


def reload_settings(running: Service, change: Callable[[dict[str, Any]], None]) -> None:
    """Reload the configuration, as on SIGHUP, with a copy of the settings that ``change`` edits in place."""
    changed = json.loads(json.dumps(SETTINGS))
    change(changed)
    running.reloader.load_config = lambda: config.decode(encode_config_file(changed), {})
    running.reload()
