"""Calls over the platform protocol: a client, a router and workers on loopback, in one process."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
from typing import Any

from cedarthread.dispatch.calls import CallSucceeded
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.platform.codec import encode_call_result
from cedarthread.testing.fakes.scripted import (
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    pack_call,
    serve_uppercase,
    service,
)
from tests.integration.worker_behaviors import leave_unanswered


def test_a_call_reaches_a_worker_unchanged_and_its_response_comes_back() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker) as running, client(running) as caller:
            answer = await caller.call(1, "revise", b"a\x00b", unique="5c0f", props="memory_mb:512;lanes:2")
            assert answer == [1, 1, None, [b"A\x00B", {}]]
            [call] = worker.calls
            assert call["id"] == f"{1:016x}"
            assert call["op"] == "CALL"
            fields = call["fields"]
            assert fields["profile"] == "revise"
            assert fields["thing"] == "7f3a9c21e0b4d655"
            assert fields["replay"] == "5c0f"
            assert 0 < fields["max"] <= 3000

    asyncio.run(scenario())


def test_a_call_of_a_class_named_like_the_health_check_is_distinguished_by_its_body() -> None:
    """Both use the method ``check``; only a call has a body."""

    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            caller.writer.write(b"\x94\x00\x01\xa5check\x91\x80")
            assert await caller.read() == [1, 1, None, [True, {}]]
            assert await caller.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]
            running.platform.is_ready = False
            caller.writer.write(b"\x94\x00\x03\xa5check\x91\x80")
            assert await caller.read() == [1, 3, None, [False, {}]]

    asyncio.run(scenario())


def test_a_call_that_was_not_executed_is_retried_and_one_that_may_have_been_is_not() -> None:
    async def scenario() -> None:
        def shed_once(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
            if len(first.calls + second.calls) == 1:
                return {"op": "SHED", "fields": {}}
            return serve_uppercase(worker, message)

        first = ScriptedWorker(shed_once)
        second = ScriptedWorker(shed_once)
        async with service(first, second) as running, client(running) as caller:
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            first.behavior = answer_with("FAULT")
            second.behavior = answer_with("FAULT")
            answer = await caller.call(2, "confirm", b"x")
            assert answer[2][0] == "Lost"
            assert [call["id"] for call in first.calls + second.calls].count(f"{2:016x}") == 1

    asyncio.run(scenario())


def test_a_call_that_was_written_before_its_connection_broke_counts_as_possibly_executed() -> None:
    async def scenario() -> None:
        def break_connection(worker: ScriptedWorker, message: dict[str, Any]) -> None:
            worker.writers[-1].transport.abort()

        first = ScriptedWorker(break_connection)
        second = ScriptedWorker(break_connection)
        async with service(first, second) as running, client(running) as caller:
            answer = await caller.call(1, "confirm", b"x")
            assert answer[2][0] == "Lost"
            assert len(first.calls + second.calls) == 1
            answer = await caller.call(2, "check", b"x")  # an idempotent class, so it is retried at the other
            ids_at_first = {call["id"] for call in first.calls}
            ids_at_second = {call["id"] for call in second.calls}
            assert ids_at_first & ids_at_second == {f"{2:016x}"}

    asyncio.run(scenario())


def test_a_refused_connection_proves_that_nothing_was_executed() -> None:
    async def scenario() -> None:
        stopped = ScriptedWorker()
        live = ScriptedWorker()
        async with service(stopped, live) as running, client(running) as caller:
            stopped.stop()
            for number in range(1, 9):  # some of them are sent to the stopped worker first
                answer = await caller.call(number, "confirm", b"x", item=f"{number:016x}")
                assert answer == [1, number, None, [b"X", {}]]

    asyncio.run(scenario())


def test_a_call_is_answered_before_its_time_limit_and_its_attempt_is_cancelled() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await caller.call(1, "confirm", b"x", limit="300")
            assert answer[2][0] == "Lost"
            assert loop.time() - started_at < 0.3
            await worker.wait_until(lambda: worker.cancelled_ids == [f"{1:016x}"])

    asyncio.run(scenario())


def test_an_interrupt_ends_a_call_without_a_response() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            caller.writer.write(b"\x93\x02\xa9interrupt\x91\x01")
            await worker.wait_until(lambda: worker.cancelled_ids == [f"{1:016x}"])
            worker.behavior = serve_uppercase
            assert await caller.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]
            assert not running.dispatcher.pending_calls

    asyncio.run(scenario())


def test_a_drain_update_withdraws_unwritten_calls() -> None:
    """Otherwise a call queued for a slow worker could be written long after the drain update."""

    async def scenario() -> None:
        first = ScriptedWorker()
        second = ScriptedWorker()
        async with service(first, second) as running, client(running) as caller:
            await caller.call(1, "check", b"x")
            pool = next(pool for pool in running.workers.pools.values() if pool.connections)
            pool.connections[0].is_write_paused = True  # as after a write that the socket does not accept
            caller.writer.write(pack_call(2, "confirm", b"x"))
            while not pool.connections[0].line_queue.queued:
                await asyncio.sleep(0)
            slow, other = (first, second) if pool.endpoint.port == first.port else (second, first)
            records = [
                endpoint_record(
                    worker, number, EndpointState.DRAINING if worker is slow else EndpointState.READY
                )
                for number, worker in enumerate((first, second), 1)
            ]
            running.update_endpoints(2, records, is_complete=True)
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert [call["id"] for call in other.calls] == [f"{2:016x}"]

    asyncio.run(scenario())


def test_shutdown_answers_every_accepted_call() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            shutdown = asyncio.create_task(running.shut_down())
            await asyncio.sleep(0)
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            worker.behavior = serve_uppercase
            # New calls are still accepted in the grace period.
            assert await caller.call(2, "check", b"y") == [1, 2, None, [b"Y", {}]]
            await shutdown

    asyncio.run(scenario())


def test_a_late_restart_update_spares_the_connections_made_since() -> None:
    """An endpoint list shows a restart seconds late, when the new process already executes calls."""

    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            created_at_ms = running.workers.pools[1].connections[0].created_at_ms
            earlier_start = dataclasses.replace(endpoint_record(worker, 1), started_at_ms=created_at_ms - 1.0)
            running.update_endpoints(2, [earlier_start], is_complete=True)
            worker.answer(worker.calls[0], serve_uppercase(worker, worker.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await worker.wait_until(lambda: len(worker.calls) == 2)
            later_start = dataclasses.replace(earlier_start, started_at_ms=created_at_ms + 60_000.0)
            running.update_endpoints(3, [later_start], is_complete=True)
            assert (await caller.read())[2][0] == "Lost", (
                "the process that executed the call has ended, so the call must be answered as lost"
            )

    asyncio.run(scenario())


def test_a_long_response_comes_back_complete() -> None:
    """By the platform's documentation, one response in sixteen is long, up to 230,000 bytes.

    Its base64 line is longer.
    """

    def serve_long(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
        return {"op": "HIT", "fields": {}, "body": base64.b64encode(b"L" * 230_000).decode()}

    async def scenario() -> None:
        worker = ScriptedWorker(serve_long)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            response = encode_call_result(1, CallSucceeded(b"L" * 230_000))  # longer than a client may send
            async with asyncio.timeout(10):
                received = await caller.reader.read(len(response))
                while len(received) < len(response) and (more := await caller.reader.read(len(response))):
                    received += more
            assert received == response
            assert len(worker.writers) == 1, "the connection to the worker must stay in use"

    asyncio.run(scenario())
