"""Reading of requests from connections of the invoke API, and the conditions that close a connection."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, service
from tests.integration import invoke_caller
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    Authority,
    Caller,
    read_invoke_config,
)

authority = invoke_caller.authority


@pytest.mark.parametrize(
    ("method", "path", "fields", "expected_status"),
    [
        ("POST", FUNCTION_PATH + "revise", {}, 400),  # a keyed class without its key
        ("POST", FUNCTION_PATH + "check", {"Call-Timeout-Ms": "0"}, 400),
        ("POST", FUNCTION_PATH + "check", {"Call-Lanes": "many"}, 400),
        ("POST", FUNCTION_PATH + "check", {"Content-Length": "99999"}, 413),
        ("POST", FUNCTION_PATH + "check", {"Transfer-Encoding": "chunked"}, 400),
        ("POST", FUNCTION_PATH + "nosuch", {}, 404),
        ("GET", FUNCTION_PATH + "check", {}, 405),
        ("GET", "/v1/calls/nosuch", {}, 404),
        ("GET", "/v1/ready", {"Host": "a, b"}, 400),
        ("GET", "/v1/ready", {}, 200),
    ],
)
def test_each_request_gets_its_status_and_none_is_forwarded(
    authority: Authority, method: str, path: str, fields: dict[str, str], expected_status: int
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                assert (await caller.request(method, path, b"", **fields)).status == expected_status
            assert not worker.calls

    asyncio.run(scenario())


def test_requests_in_fragments_and_two_at_once_are_served(authority: Authority) -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller,
        ):
            caller.send("POST", FUNCTION_PATH + "check", b"a")
            caller.send("POST", FUNCTION_PATH + "check", b"b")  # pipelined on the same connection
            assert [(await caller.read()).body for _ in range(2)] == [b"A", b"B"]
            fields = "Host: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
            head = f"POST {FUNCTION_PATH}check HTTP/1.1\r\n{fields}\r\n"
            for byte in head.encode():
                caller.writer.write(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await caller.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            caller.writer.write(b"cd")
            assert (await caller.read()).body == b"CD"
            caller.writer.write(b"no request\r\n\r\n")
            assert (await caller.read()).status == 400
            assert await caller.reader.read() == b""  # the connection is closed

    asyncio.run(scenario())


def test_a_request_that_arrives_too_slowly_is_answered_with_a_timeout(authority: Authority) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running:
            assert running.invoke is not None
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                caller.writer.write(b"POST /v1")  # an incomplete head
                while not any(
                    connection.request_started_at is not None for connection in running.invoke.connections
                ):
                    await asyncio.sleep(0)
                running.invoke.sweep(asyncio.get_running_loop().time() + 11.0)
                assert (await caller.read()).status == 408

    asyncio.run(scenario())


def test_an_invalid_head_is_answered_although_input_follows_it(authority: Authority) -> None:
    """Closing the connection while input is unread would reset it, and the caller would lose the answer."""

    async def scenario() -> None:
        async with (
            service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller,
        ):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"
            caller.writer.write(head + b"x" * 500_000)
            assert (await caller.read()).status == 413
            async with asyncio.timeout(10):
                assert await caller.reader.read() == b""

    asyncio.run(scenario())


def test_an_idle_caller_is_evicted_at_the_connection_limit(authority: Authority) -> None:
    async def scenario() -> None:
        config = dataclasses.replace(read_invoke_config(authority), max_connections=2)
        context = authority.caller(ALLOWED_CALLER_ID)
        async with (
            service(ScriptedWorker(), invoke=config) as running,
            Caller(running, context) as first,
            Caller(running, context) as second,
        ):
            for caller in (first, second, first):
                assert (await caller.request("GET", "/v1/ready")).status == 200
            async with Caller(running, context) as third:
                for caller in (third, first):
                    assert (await caller.request("GET", "/v1/ready")).status == 200
                async with asyncio.timeout(10):
                    assert await second.reader.read() == b""

    asyncio.run(scenario())
