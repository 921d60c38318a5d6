"""Answers of the platform server to invalid fields and messages."""

from __future__ import annotations

import asyncio

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, client, pack_call, service
from tests.integration.worker_behaviors import leave_unanswered


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
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker) as running, client(running) as caller:
            answer = await caller.call(1, class_name, b"", **fields)
            assert answer[:2] == [1, 1]
            assert answer[2][0] == "BadRequest"
            assert answer[3] is None
            assert await caller.call(2, "check", b"y") == [1, 2, None, [b"Y", {}]]
            assert len(worker.calls) == 1

    asyncio.run(scenario())


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
def test_malformed_or_out_of_range_values_get_an_error(fields: dict[str, str]) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            assert (await caller.call(1, "check", b"x", **fields))[2][0] == "BadRequest"

    asyncio.run(scenario())


def test_an_invalid_message_closes_its_connection_and_no_other() -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as invalid, client(running) as valid:
            invalid.writer.write(b"\xc1 no message")
            assert await invalid.read() is None
            assert await valid.call(1, "check", b"x") == [1, 1, None, [b"X", {}]]

    asyncio.run(scenario())


def test_an_invalid_message_fails_each_open_call_and_no_response_is_lost() -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        async with service(worker) as running, client(running) as caller:
            caller.writer.write(pack_call(1, "confirm"))
            await worker.wait_until(lambda: len(worker.calls) == 1)
            # More bytes than the router reads before it closes the connection.
            caller.writer.write(b"\x91\x05" + b"\xff" * 500_000)
            assert (await caller.read())[:3] == [1, 1, ["Lost", {}]]
            assert await caller.read() is None  # an orderly close, not a reset
            await worker.wait_until(lambda: worker.cancelled_ids == [f"{1:016x}"])

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"\x94\x00\x01\xa5check\xc6\x03\x93\x87\x00",  # announces a body of 60 MB
        b"\x94\x00\x01\xa5check\xdd\xff\xff\xff\xff",
        b"\x94\x00\x01\xa5check\x92\x82\xa1a\xa1b\xa1a\xa1c\xc4\x00",  # a duplicate field
        b"\x91" * 2000,
        b"\x94\x00\xc3\xa5check\x91\x80",  # the message id is ``true``
    ],
)
def test_input_that_cannot_become_a_message_closes_its_connection_without_being_buffered(data: bytes) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker()) as running, client(running) as caller:
            caller.writer.write(data)
            assert await caller.read() is None
            assert all(
                len(connection.buffer._data) <= 8192
                for connection in running.platform.unvalidated_connections
            )

    asyncio.run(scenario())
