"""The control address on loopback: replies, invalid lines, and a flood of connections."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cedarthread.protocols import control
from cedarthread.testing.fakes.scripted import (
    ScriptedWorker,
    answer_with,
    ask_control,
    client,
    pack_call,
    serve_uppercase,
    service,
)
from tests.unit.lifecycle.builders import info_metrics


def test_ping_replies_yes_while_serving_and_no_while_draining() -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running:
            assert await ask_control(running, b"PING\n") == ["YES"]
            running.state.is_serving = False
            assert await ask_control(running, b"PING\r\n") == ["NO"]
            running.state.is_serving = True
            running.request_shutdown()
            assert await ask_control(running, b"PING\n") == ["NO"]

    asyncio.run(scenario())


def test_info_counts_the_responses_that_the_client_received() -> None:
    """Each response to the client is counted once for its class, and so is each written attempt."""

    def fail_every_third_call(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        return (
            serve_uppercase(worker, message)
            if int(message["id"], 16) % 3
            else answer_with("ERROR")(worker, message)
        )

    async def scenario() -> None:
        worker = ScriptedWorker(fail_every_third_call)
        async with service(worker) as running, client(running) as caller:
            answer_counts = {"passed": 0, "bad_gateway": 0, "dropped": 0}
            for number in range(1, 13):
                answer = await caller.call(number, "confirm", b"x")
                count_name = (
                    "passed" if answer[2] is None else {"Lost": "bad_gateway"}.get(answer[2][0], "dropped")
                )
                answer_counts[count_name] += 1
            info = info_metrics(await ask_control(running, b"INFO\n"))
            assert {name: info[f"router.handled.confirm.{name}"] for name in answer_counts} == answer_counts
            assert info["router.handled.confirm.upstream_tries"] == len(worker.calls) == 12
            assert info["router.upstream_tries"] == 12
            assert info["router.in_progress"] == 0
            assert info["router.handled.check.passed"] == 0
            assert info["router.known_runners"] == 1
            assert info["router.skipped_runners"] in (0, 1)
            assert info["router.loads"] == 0

    asyncio.run(scenario())


def test_a_call_rejected_by_the_server_counts_as_dropped() -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker(lambda worker, message: None)) as running,
            client(running) as caller,
        ):
            for number in range(1, 34):  # one call more than a connection may have open
                caller.writer.write(pack_call(number, "check", b"x"))
            assert (await caller.read())[1:3] == [33, ["Backoff", {"later": "500"}]]
            info = info_metrics(await ask_control(running, b"INFO\n"))
            assert info["router.handled.check.dropped"] == 1
            assert info["router.in_progress"] == 32

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"STATUS\n", "unknown command"),
        (b"P" * 300, "line over"),
        (b"PIN", "line cut short"),
    ],
)
def test_an_invalid_line_is_answered_no_with_a_reason(line: bytes, reason: str) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running:
            reader, writer = await asyncio.open_connection("127.0.0.1", running.control_port)
            writer.write(line)
            if reason == "line cut short":
                writer.write_eof()
            async with asyncio.timeout(10):
                reply = (await reader.read()).decode()
            writer.transport.abort()
            assert reply.startswith(f"NO {reason}")
            assert reply.endswith("\n")
            assert reply.count("\n") == 1
            assert await ask_control(running, b"PING\n") == ["YES"]  # other connections are unaffected

    asyncio.run(scenario())


def test_control_replies_during_a_flood_of_idle_and_half_written_connections() -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running:
            connections = []
            for number in range(300):
                _, writer = await asyncio.open_connection("127.0.0.1", running.port)
                writer.write(pack_call(number + 1, "check", b"x")[: number % 7])
                connections.append(writer)
            for _ in range(2 * control.MAX_CONNECTIONS):  # idle control connections, more than the limit
                _, writer = await asyncio.open_connection("127.0.0.1", running.control_port)
                connections.append(writer)
            assert await ask_control(running, b"PING\n") == ["YES"]
            assert len(running.control.connections) <= control.MAX_CONNECTIONS
            for writer in connections:
                writer.transport.abort()

    asyncio.run(scenario())
