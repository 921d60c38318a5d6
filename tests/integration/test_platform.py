"""The platform's path on loopback: client, function router, runners."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import gc
import socket
import weakref
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.dispatch.calls import CallSucceeded
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.platform.calls import MAX_OPEN_CALLS
from cedarthread.protocols.platform.codec import encode_answer
from cedarthread.testing.fakes.scripted import (
    TIMEOUT_S,
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    pack_call,
    serve_uppercase,
    service,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


def test_a_call_reaches_a_worker_unchanged_and_its_response_comes_back() -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner) as running, client(running) as caller:
            answer = await caller.call(1, "revise", b"a\x00b", unique="5c0f", props="memory_mb:512;lanes:2")
            assert answer == [1, 1, None, [b"A\x00B", {}]]
            [call] = runner.calls
            assert call["id"] == f"{1:016x}"
            assert call["op"] == "CALL"
            fields = call["fields"]
            assert fields["profile"] == "revise"
            assert fields["thing"] == "7f3a9c21e0b4d655"
            assert fields["replay"] == "5c0f"
            assert 0 < fields["max"] <= 3000

    run(test())


def test_a_class_named_like_the_health_check_is_distinguished_from_it() -> None:
    """Both use the method 'check'; only a call has a body."""

    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            caller.writer.write(b"\x94\x00\x01\xa5check\x91\x80")
            assert await caller.read() == [1, 1, None, [True, {}]]
            assert await caller.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]
            running.platform.is_ready = False
            caller.writer.write(b"\x94\x00\x03\xa5check\x91\x80")
            assert await caller.read() == [1, 3, None, [False, {}]]

    run(test())


@pytest.mark.parametrize(
    ("class_name", "fields"),
    [
        ("nosuch", {}),
        ("check", {"item": "7f3a"}),
        ("check", {"txn": "zz"}),
        ("check", {"limit": "-5"}),
        ("check", {"limit": ""}),
        ("revise", {}),  # a keyed class without its key
    ],
)
def test_invalid_fields_get_an_error_and_nothing_is_forwarded(
    class_name: str, fields: dict[str, str]
) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner) as running, client(running) as caller:
            answer = await caller.call(1, class_name, b"", **fields)
            assert answer[:2] == [1, 1]
            assert answer[2][0] == "BadRequest"
            assert answer[3] is None
            assert await caller.call(2, "check", b"y") == [1, 2, None, [b"Y", {}]]
            assert len(runner.calls) == 1

    run(test())


def test_garbage_closes_its_connection_and_no_other() -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as bad, client(running) as good:
            bad.writer.write(b"\xc1 no message")
            assert await bad.read() is None
            assert await good.call(1, "check", b"x") == [1, 1, None, [b"X", {}]]

    run(test())


def test_what_was_not_executed_is_retried_and_what_may_have_been_is_not() -> None:
    async def test() -> None:
        def shed_once(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
            return (
                {"op": "SHED", "fields": {}}
                if len(first.calls + second.calls) == 1
                else serve_uppercase(runner, message)
            )

        first, second = ScriptedWorker(shed_once), ScriptedWorker(shed_once)
        async with service(first, second) as running, client(running) as caller:
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            first.behavior = second.behavior = answer_with("FAULT")
            answer = await caller.call(2, "confirm", b"x")
            assert answer[2][0] == "Lost"
            assert len([c for c in first.calls + second.calls if c["id"] == f"{2:016x}"]) == 1

    run(test())


def test_a_connection_that_breaks_under_a_written_call_does_not_prove_that_it_was_not_executed() -> None:
    async def test() -> None:
        def cut(runner: ScriptedWorker, message: dict[str, Any]) -> None:
            runner.writers[-1].transport.abort()

        first, second = ScriptedWorker(cut), ScriptedWorker(cut)
        async with service(first, second) as running, client(running) as caller:
            answer = await caller.call(1, "confirm", b"x")
            assert answer[2][0] == "Lost"
            assert len(first.calls + second.calls) == 1
            answer = await caller.call(2, "check", b"x")  # safe to repeat: it is tried elsewhere too
            assert {c["id"] for c in first.calls} & {c["id"] for c in second.calls} == {f"{2:016x}"}

    run(test())


def test_a_refused_connection_proves_that_nothing_was_executed() -> None:
    async def test() -> None:
        dead, live = ScriptedWorker(), ScriptedWorker()
        async with service(dead, live) as running, client(running) as caller:
            dead.stop()
            for number in range(1, 9):  # also where the dead one is chosen first
                answer = await caller.call(number, "confirm", b"x", item=f"{number:016x}")
                assert answer == [1, number, None, [b"X", {}]]

    run(test())


def test_the_response_is_sent_before_the_limit_and_the_attempt_cancelled() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answer = await caller.call(1, "confirm", b"x", limit="300")
            assert answer[2][0] == "Lost"
            assert loop.time() - started_at < 0.3
            await mute.wait_until(lambda: mute.cancelled_ids == [f"{1:016x}"])

    run(test())


def test_an_interrupt_ends_a_call_without_a_response() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm"))
            await mute.wait_until(lambda: len(mute.calls) == 1)
            caller.writer.write(b"\x93\x02\xa9interrupt\x91\x01")
            await mute.wait_until(lambda: mute.cancelled_ids == [f"{1:016x}"])
            mute.behavior = serve_uppercase
            assert await caller.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]
            assert not running.dispatcher.pending_calls

    run(test())


def test_a_drain_update_withdraws_what_is_unwritten() -> None:
    """A call that waits for a slow runner's socket must not leave long after the drain was told."""

    async def test() -> None:
        slow, other = ScriptedWorker(), ScriptedWorker()
        async with service(slow, other) as running, client(running) as caller:
            await caller.call(1, "check", b"x")
            pool = next(pool for pool in running.workers.pools.values() if pool.connections)
            at = 1 if pool.endpoint.port == slow.port else 2
            pool.connections[0].is_write_paused = True  # as after a write that the peer's window did not take
            caller.writer.write(pack_call(2, "confirm", b"x"))
            while not pool.connections[0].lines.queued:
                await asyncio.sleep(0)
            records = [endpoint_record(slow, 1), endpoint_record(other, 2)]
            records[at - 1] = endpoint_record((slow, other)[at - 1], at, EndpointState.DRAINING)
            running.update_endpoints(2, records, is_complete=True)
            assert await caller.read() == [1, 2, None, [b"X", {}]]
            assert [c["id"] for c in (slow, other)[2 - at].calls] == [f"{2:016x}"]

    run(test())


def test_shutdown_answers_every_accepted_call() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await mute.wait_until(lambda: len(mute.calls) == 1)
            ending = asyncio.create_task(running.shut_down())
            await asyncio.sleep(0)
            mute.answer(mute.calls[0], serve_uppercase(mute, mute.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            mute.behavior = serve_uppercase
            assert await caller.call(2, "check", b"y") == [1, 2, None, [b"Y", {}]]  # within the grace
            await ending

    run(test())


def test_a_late_restart_update_spares_the_connections_made_since() -> None:
    """The news that a runner has started anew comes seconds late; calls already run on the new process."""

    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            await mute.wait_until(lambda: len(mute.calls) == 1)
            begun = running.workers.pools[1].connections[0].created_at_ms
            anew = dataclasses.replace(endpoint_record(mute, 1), started_at_ms=begun - 1.0)
            running.update_endpoints(2, [anew], is_complete=True)
            mute.answer(mute.calls[0], serve_uppercase(mute, mute.calls[0]))
            assert await caller.read() == [1, 1, None, [b"X", {}]]
            caller.writer.write(pack_call(2, "confirm", b"x"))
            await mute.wait_until(lambda: len(mute.calls) == 2)
            running.update_endpoints(
                3, [dataclasses.replace(anew, started_at_ms=begun + 60_000.0)], is_complete=True
            )
            assert (await caller.read())[2][0] == "Lost"  # it ran on a process that is no more

    run(test())


def test_responses_that_nobody_reads_are_bounded() -> None:
    """Clients that ask and do not read their answers must not take the memory."""

    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as slow, client(running) as other:
            running.platform.max_queued_bytes = 20_000
            await slow.call(1, "check", b"x")
            mine = slow.writer.get_extra_info("sockname")
            by_peer = {
                c.transport.get_extra_info("peername"): c for c in running.platform.connections if c.transport
            }
            connection = by_peer[mine]
            connection.is_write_paused = True  # as asyncio says once the peer's window is full
            for number in (2, 3):
                slow.writer.write(pack_call(number, "check", b"y" * 16_000))
            while running.platform.queued_bytes <= 20_000:
                await asyncio.sleep(0)
            assert (await other.call(4, "check", b"x"))[2][0] == "Backoff"
            connection.resume_writing()
            assert {(await slow.read())[1] for _ in range(2)} == {2, 3}
            assert running.platform.queued_bytes == 0
            assert await other.call(5, "check", b"x") == [1, 5, None, [b"X", {}]]

    run(test())


def test_at_the_limit_an_idle_connection_is_evicted() -> None:
    """Clients that asked once and stayed must not keep new ones out."""

    async def test() -> None:
        async with service(ScriptedWorker()) as running:
            running.platform.max_connections = 2
            async with client(running) as first, client(running) as second:
                for number, caller in enumerate((first, second), 1):
                    assert await caller.call(number, "check", b"x") == [1, number, None, [b"X", {}]]
                assert await first.call(3, "check", b"x") == [1, 3, None, [b"X", {}]]
                async with client(running) as third:
                    assert await third.call(4, "check", b"x") == [1, 4, None, [b"X", {}]]
                    assert await second.read() is None  # the least lately used
                    assert await first.call(5, "check", b"x") == [1, 5, None, [b"X", {}]]

    run(test())


def test_an_invalid_message_fails_each_open_call_and_no_response_is_lost() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm"))
            await mute.wait_until(lambda: len(mute.calls) == 1)
            caller.writer.write(b"\x91\x05" + b"\xff" * 500_000)  # far more than is read before the end
            assert (await caller.read())[:3] == [1, 1, ["Lost", {}]]
            assert await caller.read() is None  # an end, not a reset
            await mute.wait_until(lambda: mute.cancelled_ids == [f"{1:016x}"])

    run(test())


def test_a_client_without_a_valid_message_is_closed_and_one_with_a_request_stays() -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker()) as running,
            client(running) as silent,
            client(running) as half,
            client(running) as proven_client,
        ):
            assert await proven_client.call(1, "check", b"x") == [1, 1, None, [b"X", {}]]
            half.writer.write(pack_call(1, "check", b"x")[:40])
            while not any(c.needed_bytes for c in running.platform.unproven_connections):
                await asyncio.sleep(0)
            running.platform.sweep(asyncio.get_running_loop().time() + 3.0)
            assert await silent.read() is None
            assert await half.read() is None
            assert await proven_client.call(2, "check", b"x") == [1, 2, None, [b"X", {}]]

    run(test())


def test_open_calls_of_one_connection_are_bounded_and_a_flood_waits_for_its_pass() -> None:
    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as caller:
            caller.writer.write(b"".join(pack_call(number, "check") for number in range(1, 101)))
            refused = [await caller.read() for _ in range(100 - MAX_OPEN_CALLS)]
            assert {answer[2][0] for answer in refused} == {"Backoff"}
            await mute.wait_until(lambda: len(mute.calls) == MAX_OPEN_CALLS)
            assert len(running.dispatcher.pending_calls) == MAX_OPEN_CALLS

    run(test())


@pytest.mark.parametrize(
    "fields",
    [
        {"limit": "0"},
        {"limit": "nan"},
        {"limit": "-5"},
        {"second": "yes"},
        {"props": "lanes:nan"},
        {"props": "lanes:-2"},
        {"props": "memory_mb:1e999"},
        {"props": "lanes:x"},
        {"props": "lanes:2;lanes:3"},
        {"txn": "12"},
        {"item": ""},
    ],
)
def test_numbers_out_of_range_get_an_error(fields: dict[str, str]) -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            assert (await caller.call(1, "check", b"x", **fields))[2][0] == "BadRequest"

    run(test())


@pytest.mark.parametrize(
    "data",
    [
        b"\x94\x00\x01\xa5check\xc6\x03\x93\x87\x00",  # 60 MB are said to follow
        b"\x94\x00\x01\xa5check\xdd\xff\xff\xff\xff",
        b"\x94\x00\x01\xa5check\x92\x82\xa1a\xa1b\xa1a\xa1c\xc4\x00",  # a field twice
        b"\x91" * 2000,
        b"\x94\x00\xc3\xa5check\x91\x80",  # true is no number
    ],
)
def test_input_that_can_never_be_a_message_closes_its_connection_unread(data: bytes) -> None:
    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            caller.writer.write(data)
            assert await caller.read() is None
            assert all(len(c.buffer._data) <= 8192 for c in running.platform.unproven_connections)

    run(test())


def test_a_long_response_comes_back_complete() -> None:
    """DAYS.md: one answer in sixteen is long, up to 230,000 bytes; its base64 line is longer still."""

    def long(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
        return {"op": "HIT", "fields": {}, "body": base64.b64encode(b"L" * 230_000).decode()}

    async def test() -> None:
        runner = ScriptedWorker(long)
        async with service(runner) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm", b"x"))
            response = encode_answer(1, CallSucceeded(b"L" * 230_000))  # longer than a client may send
            async with asyncio.timeout(10):
                got = await caller.reader.read(len(response))
                while len(got) < len(response) and (more := await caller.reader.read(len(response))):
                    got += more
            assert got == response
            assert len(runner.writers) == 1  # the connection to the runner was kept

    run(test())


def test_while_draining_each_connection_closes_once_it_is_idle() -> None:
    """After the grace, clients move to a successor: no new connection, and open ones close when idle."""

    async def test() -> None:
        mute = ScriptedWorker(lambda runner, message: None)
        async with service(mute) as running, client(running) as idle, client(running) as busy:
            mute.behavior = serve_uppercase
            assert (await idle.call(1, "check", b"x"))[2] is None
            mute.behavior = lambda runner, message: None
            busy.writer.write(pack_call(2, "confirm", b"y"))
            await mute.wait_until(lambda: len(mute.calls) == 2)
            ending = asyncio.create_task(running.shut_down())
            assert await idle.read() is None  # closed, with nothing open
            assert running.platform.is_draining
            assert running.platform._acceptor is None
            mute.answer(mute.calls[1], serve_uppercase(mute, mute.calls[1]))
            assert await busy.read() == [1, 2, None, [b"Y", {}]]
            assert await busy.read() is None  # closed once its last answer left
            await ending

    run(test())


def test_client_connections_send_without_delay() -> None:
    """With Nagle's algorithm on, an answer written after another waited for a delayed ACK, up to 40 ms."""

    async def test() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            await caller.call(1, "check", b"x")
            [connection] = running.platform.connections
            assert connection.transport is not None
            sock = connection.transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(test())


@pytest.mark.parametrize("calls", [0, 2])
def test_a_closed_connection_is_freed_without_the_garbage_collector(calls: int) -> None:
    """On a day with little traffic the collector hardly runs, and each one would keep its buffer."""

    async def test() -> None:
        async with service(ScriptedWorker()) as running:
            async with client(running) as caller:
                for number in range(calls):
                    assert (await caller.call(number, "check", b"x"))[2] is None
                caller.writer.write(b"\x94\x00\x09\xa5check\x91\x80")
                await caller.read()
                (connection,) = running.platform.connections
                remaining = weakref.ref(connection)
                del connection
            async with asyncio.timeout(TIMEOUT_S):
                while running.platform.connections or running.platform.unproven_connections:
                    await asyncio.sleep(0)
            for _ in range(3):  # what the loop still holds of the close
                await asyncio.sleep(0)
            assert remaining() is None

    gc.collect()
    gc.disable()
    try:
        run(test())
    finally:
        gc.enable()
