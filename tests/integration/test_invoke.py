"""Calls over the invoke API: a caller, a router and workers on loopback, in one process."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import socket
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fakes.scripted import (
    Behavior,
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    serve_uppercase,
    service,
)
from tests.integration import invoke_caller
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    PORTAL_ID,
    RESPOND_ASYNC,
    Authority,
    Caller,
    read_invoke_config,
)
from tests.integration.worker_behaviors import leave_unanswered

if TYPE_CHECKING:
    from cedarthread.service import Service

authority = invoke_caller.authority


def test_synchronous_and_deferred_calls_are_served(authority: Authority) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                status, _, body = await caller.request(
                    "POST", FUNCTION_PATH + "check", b"abc", Call_Lanes="4"
                )
                assert (status, body) == (200, b"ABC")
                status, fields, _ = await caller.request(
                    "POST", FUNCTION_PATH + "confirm", b"later", **RESPOND_ASYNC
                )
                assert status == 202
                assert fields["preference-applied"] == "respond-async"
                status, _, body = await caller.request("GET", fields["location"], Prefer="wait=5")
                assert (status, body) == (200, b"LATER")
                assert (await caller.request("DELETE", fields["location"])).status == 204
                assert (await caller.request("GET", fields["location"])).status == 404
            assert len(worker.calls) == 2

    asyncio.run(scenario())


def test_a_keyed_call_is_executed_once_although_its_caller_disconnects_and_returns(
    authority: Authority,
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            context = authority.caller(PORTAL_ID)
            keyed_fields = RESPOND_ASYNC | {"Idempotency-Key": '"nomination-1"'}
            async with Caller(running, context) as caller:
                status, fields, _ = await caller.request(
                    "POST", FUNCTION_PATH + "confirm", b"x", **keyed_fields
                )
                assert status == 202
                caller.send("GET", fields["location"], Prefer="wait=20")
                await worker.wait_until(lambda: len(worker.calls) == 1)
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            async with Caller(running, context) as caller:
                _, repeated_fields, _ = await caller.request(
                    "POST",
                    FUNCTION_PATH + "confirm",
                    b"x",
                    **keyed_fields | {"Prefer": "respond-async, wait=5"},
                )
                status, _, body = await caller.request("GET", fields["location"], Prefer="wait=5")
                assert (status, body) == (200, b"X")
                assert repeated_fields.get("location", fields["location"]) == fields["location"]
                assert (
                    await caller.request("POST", FUNCTION_PATH + "confirm", b"other", **keyed_fields)
                ).status == 422
            assert len(worker.calls) == 1
            assert not worker.cancelled_ids

    asyncio.run(scenario())


def test_a_deferred_call_completes_while_its_worker_drains(authority: Authority) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with (
            service(worker, invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(PORTAL_ID)) as caller,
        ):
            _, fields, _ = await caller.request("POST", FUNCTION_PATH + "confirm", b"x", **RESPOND_ASYNC)
            await worker.wait_until(lambda: len(worker.calls) == 1)
            running.update_endpoints(
                2, [endpoint_record(worker, 1, EndpointState.DRAINING)], is_complete=True
            )
            rejected = await caller.request("POST", FUNCTION_PATH + "confirm", b"y", Call_Timeout_Ms="200")
            assert rejected.status in (503, 504), "a draining worker must get no new call"
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            status, _, body = await caller.request("GET", fields["location"], Prefer="wait=5")
            assert (status, body) == (200, b"X")
            assert len(worker.calls) == 1

    asyncio.run(scenario())


def test_after_a_synchronous_caller_has_disconnected_its_call_is_not_retried(authority: Authority) -> None:
    """The router reads the worker's rejection while the caller's disconnect is still unread.

    Reading is paused below TLS, so that the disconnect stays in the socket's receive buffer.
    """

    async def scenario() -> None:
        received: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def leave_pending(worker: ScriptedWorker, message: dict[str, Any]) -> None:
            received.append((worker, message))

        first = ScriptedWorker(leave_pending)
        second = ScriptedWorker(leave_pending)
        async with (
            service(first, second, invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller,
            client(running) as other,
        ):
            caller.send("POST", FUNCTION_PATH + "check", b"x")
            while not received:
                await asyncio.sleep(0)
            assert running.invoke is not None
            (connection,) = running.invoke.connections
            assert connection.transport is not None
            tls_transport: Any = connection.transport
            tls_transport._ssl_protocol._transport.pause_reading()
            worker, message = received[0]
            worker.answer(message, {"op": "SHED", "fields": {}})
            caller_socket = caller.writer.get_extra_info("socket")
            with socket.socket(
                caller_socket.family, caller_socket.type, fileno=os.dup(caller_socket.fileno())
            ) as duplicate:
                duplicate.shutdown(socket.SHUT_RDWR)
            while running.dispatcher.pending_calls:
                await asyncio.sleep(0)
            first.behavior = serve_uppercase
            second.behavior = serve_uppercase
            for number in range(2, 10):
                assert (await other.call(number, "check", b"x"))[2] is None
            call_ids = [call["id"] for call in first.calls + second.calls]
            assert call_ids.count(message["id"]) == 1

    asyncio.run(scenario())


def test_a_synchronous_caller_that_disconnects_ends_its_call(authority: Authority) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                caller.send("POST", FUNCTION_PATH + "check", b"x")
                await worker.wait_until(lambda: len(worker.calls) == 1)
            await worker.wait_until(lambda: len(worker.cancelled_ids) == 1)
            assert not running.dispatcher.pending_calls

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("behavior", "expected_status", "repeat"),
    [
        (answer_with("FAULT"), 502, "unknown"),
        (answer_with("SHED"), 503, "harmless"),
        (leave_unanswered, 504, "unknown"),
    ],
)
def test_results_are_mapped_to_problem_details(
    authority: Authority, behavior: Behavior, expected_status: int, repeat: str
) -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker(behavior), invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller,
        ):
            status, fields, body = await caller.request(
                "POST", FUNCTION_PATH + "confirm", b"x", Call_Timeout_Ms="300"
            )
            assert status == expected_status
            assert fields["content-type"] == "application/problem+json"
            problem = json.loads(body)
            assert problem["status"] == expected_status
            assert problem["repeat"] == repeat
            assert ("retry-after" in fields) == (repeat == "harmless")

    asyncio.run(scenario())


def test_shutdown_completes_synchronous_and_deferred_calls(authority: Authority) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            context = authority.caller(ALLOWED_CALLER_ID)
            async with Caller(running, context) as caller, Caller(running, context) as other:
                _, fields, _ = await other.request("POST", FUNCTION_PATH + "confirm", b"b", **RESPOND_ASYNC)
                caller.send("POST", FUNCTION_PATH + "check", b"a")
                await worker.wait_until(lambda: len(worker.calls) == 2)
                shutdown = asyncio.create_task(running.shut_down())
                while running.platform.is_ready:
                    await asyncio.sleep(0)
                for call in worker.calls:
                    worker.answer(call, serve_uppercase(worker, call))
                assert (await caller.read()).body == b"A"
                async with Caller(running, context) as late_caller:
                    assert (
                        await late_caller.request("POST", FUNCTION_PATH + "check", b"c", **RESPOND_ASYNC)
                    ).status == 503
                async with Caller(running, context) as late_caller:
                    assert (
                        await late_caller.request("GET", fields["location"], Prefer="wait=3")
                    ).body == b"B"
                await shutdown

    asyncio.run(scenario())


def test_the_same_share_of_synchronous_and_of_deferred_calls_is_served(authority: Authority) -> None:
    """Both styles send the same calls, and the worker fails the same ones; the share is weighted by class."""
    weights = {"check": 2, "revise": 5, "confirm": 5}

    async def served_share(running: Service, *, is_deferred: bool) -> float:
        sent_weight = 0
        served_weight = 0
        async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
            for number in range(60):
                class_name = ("check", "revise", "confirm")[number % 3]
                fields = {"Idempotency-Key": f"{is_deferred}-{number}"}
                if is_deferred:
                    fields |= RESPOND_ASYNC
                response = await caller.request("POST", FUNCTION_PATH + class_name, b"%d" % number, **fields)
                if is_deferred:
                    location = response.fields["location"]
                    response = await caller.request("GET", location, Prefer="wait=5")
                sent_weight += weights[class_name]
                served_weight += weights[class_name] * (response.status == 200)
        return served_weight / sent_weight

    async def scenario() -> None:
        def fail_every_seventh(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
            number = int(base64.b64decode(message["body"]))
            if number % 7 == 3:
                return answer_with("FAULT")(worker, message)
            return serve_uppercase(worker, message)

        shares = []
        for is_deferred in (False, True):
            async with service(
                ScriptedWorker(fail_every_seventh), invoke=read_invoke_config(authority)
            ) as running:
                shares.append(await served_share(running, is_deferred=is_deferred))
        assert shares[0] == shares[1]
        assert 0.5 < shares[0] < 1.0

    asyncio.run(scenario())


def test_platform_and_invoke_share_one_dispatcher(authority: Authority) -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running,
            client(running) as platform,
        ):
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                assert (await platform.call(1, "check", b"x"))[3] == [b"X", {}]
                assert (await caller.request("POST", FUNCTION_PATH + "check", b"y")).body == b"Y"
            assert running.dispatcher.result_counts["served"] == 2

    asyncio.run(scenario())
