"""The control address on loopback: its replies, bad lines, and a flood beside it."""

from __future__ import annotations

import asyncio
import re
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


def figures(lines: list[str]) -> dict[str, int]:
    assert lines[0] == "YES"
    assert lines[-1] == "END"
    pairs = [re.fullmatch(r"(router\.[\w.]+)=(\d+)", line) for line in lines[1:-1]]
    assert all(pairs), lines
    return {pair[1]: int(pair[2]) for pair in pairs if pair}


def test_ping_says_yes_once_serving_and_no_while_draining() -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running:
            assert await ask_control(running, b"PING\n") == ["YES"]
            running.state.is_serving = False
            assert await ask_control(running, b"PING\r\n") == ["NO"]
            running.state.is_serving = True
            running.request_shutdown()
            assert await ask_control(running, b"PING\n") == ["NO"]

    asyncio.run(test())


def test_info_counts_what_the_client_saw() -> None:
    """Each answer the client got is counted once under its class, and each attempt written whole."""

    def mixed(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        return (
            serve_uppercase(runner, message)
            if int(message["id"], 16) % 3
            else answer_with("ERROR")(runner, message)
        )

    async def test() -> None:
        runner = ScriptedWorker(mixed)
        async with service(runner) as running, client(running) as caller:
            seen = {"passed": 0, "bad_gateway": 0, "dropped": 0}
            for number in range(1, 13):
                answer = await caller.call(number, "confirm", b"x")
                kind = "passed" if answer[2] is None else {"Lost": "bad_gateway"}.get(answer[2][0], "dropped")
                seen[kind] += 1
            info = figures(await ask_control(running, b"INFO\n"))
            assert {name: info[f"router.handled.confirm.{name}"] for name in seen} == seen
            assert info["router.handled.confirm.upstream_tries"] == len(runner.calls) == 12
            assert info["router.upstream_tries"] == 12
            assert info["router.in_progress"] == 0
            assert info["router.handled.check.passed"] == 0
            assert info["router.known_runners"] == 1
            assert info["router.skipped_runners"] in (0, 1)
            assert info["router.loads"] == 0

    asyncio.run(test())


def test_a_call_rejected_by_the_server_counts_as_dropped() -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker(lambda runner, message: None)) as running,
            client(running) as caller,
        ):
            for number in range(1, 34):  # one more than a connection may hold open
                caller.writer.write(pack_call(number, "check", b"x"))
            assert (await caller.read())[1:3] == [33, ["Backoff", {"later": "500"}]]
            info = figures(await ask_control(running, b"INFO\n"))
            assert info["router.handled.check.dropped"] == 1
            assert info["router.in_progress"] == 32

    asyncio.run(test())


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (b"STATUS\n", "unknown command"),
        (b"P" * 300, "line over"),
        (b"PIN", "line cut short"),
    ],
)
def test_an_invalid_line_gets_no_and_its_reason(line: bytes, why: str) -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running:
            reader, writer = await asyncio.open_connection("127.0.0.1", running.control_port)
            writer.write(line)
            if why == "line cut short":
                writer.write_eof()
            async with asyncio.timeout(10):
                reply = (await reader.read()).decode()
            writer.transport.abort()
            assert reply.startswith(f"NO {why}")
            assert reply.endswith("\n")
            assert reply.count("\n") == 1
            assert await ask_control(running, b"PING\n") == ["YES"]  # nothing else was touched

    asyncio.run(test())


def test_control_answers_beside_a_flood_of_idle_and_half_written_connections() -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running:
            connections = []
            for number in range(300):
                _, writer = await asyncio.open_connection("127.0.0.1", running.port)
                writer.write(pack_call(number + 1, "check", b"x")[: number % 7])
                connections.append(writer)
            for _ in range(2 * control.MAX_CONNECTIONS):  # idle control connections, more than may stay
                _, writer = await asyncio.open_connection("127.0.0.1", running.control_port)
                connections.append(writer)
            assert await ask_control(running, b"PING\n") == ["YES"]
            assert len(running.control.connections) <= control.MAX_CONNECTIONS
            for writer in connections:
                writer.transport.abort()

    asyncio.run(test())
