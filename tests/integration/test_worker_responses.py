"""Effects of lines from a worker on attempts, preloads and the connection."""

from __future__ import annotations

import asyncio
import json

import pytest

from cedarthread.model.outcomes import Outcome
from tests.integration.worker_harness import FIRST_ID, SECOND_ID, WorkerHarness


def test_an_abandoned_attempt_is_cancelled_and_its_late_response_ignored() -> None:
    """Responses are matched by message id, so a retry at the same worker needs another connection."""

    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        attempt = harness.send(FIRST_ID)
        harness.flush()
        harness.workers.cancel(attempt)
        harness.flush()
        assert b'{"op":"CANCEL","id":"aaaaaaaaaaaaaaaa"}\n' in harness.transport.written
        assert not harness.connection.can_accept(FIRST_ID)
        assert harness.connection.can_accept(SECOND_ID)
        harness.receive(b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa","body":""}\n')
        assert harness.dispatcher.outcomes == {}, (
            "the attempt must stay open, as the worker may not have read the CANCEL yet"
        )
        while not harness.dispatcher.outcomes:
            await asyncio.sleep(0)
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.CANCELLED}

    asyncio.run(scenario())


def test_a_line_that_is_not_a_response_closes_its_connection() -> None:
    async def scenario() -> None:
        for line in (b"no json\n", b"[1]\n", b"\xff\n"):
            harness = WorkerHarness(10_000)
            assert harness.connection.on_data(memoryview(b"")) == 0
            read_buffer = harness.connection.get_buffer(-1)
            read_buffer[: len(line)] = line
            read_buffer.release()
            harness.connection.buffer.advance(len(line))
            with harness.connection.buffer.peek() as data:
                assert harness.connection.on_data(data) is None

    asyncio.run(scenario())


def test_preloads_are_sent_and_answered_under_their_message_id() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        harness.workers.preload(1, 7, 2)
        harness.workers.preload(1, 8, 1)
        harness.workers.preload(2, 9, 1)  # an unknown worker
        harness.workers.unload(1, 7)
        harness.flush()
        lines = harness.transport.written.splitlines()
        assert json.loads(lines[0]) == {
            "op": "LOAD",
            "id": "load-1",
            "fields": {"thing": f"{7:016x}", "pods": 2},
        }
        assert json.loads(lines[-1]) == {"op": "UNLOAD", "id": f"{7:016x}"}
        harness.receive(b'{"op":"HIT","id":"load-1","fields":{"pods":"2"}}\n')
        harness.connection.connection_lost(None)
        preload_results = [
            (event.function_id, event.outcome, event.instances) for event in harness.dispatcher.preloads
        ]
        assert preload_results == [
            (9, Outcome.CONNECT_FAILED, 0),
            (7, Outcome.OK, 2),
            (8, Outcome.RESET, 0),
        ]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "line",
    [
        b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa","body":"%%%"}\n',
        b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa"}\n',
        b'{"op":"WHAT","id":"aaaaaaaaaaaaaaaa"}\n',
        b'{"op":"HIT","body":""}\n',
    ],
)
def test_a_malformed_response_fails_its_connection_and_each_attempt_by_its_progress(line: bytes) -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        harness.send(FIRST_ID)
        harness.flush()
        harness.send(SECOND_ID)  # no byte of it is written
        harness.receive(line)
        assert harness.transport.is_aborted
        harness.connection.connection_lost(None)
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.RESET, SECOND_ID: Outcome.CONNECT_FAILED}

    asyncio.run(scenario())


def test_duplicate_responses_and_unknown_ids_are_ignored() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        harness.send(FIRST_ID)
        harness.flush()
        shed = b'{"op":"SHED","id":"aaaaaaaaaaaaaaaa"}\n'
        harness.receive(b'{"op":"HIT","id":"0000000000000000","body":""}\n' + shed + shed)
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.OVERLOADED}
        assert not harness.transport.is_aborted
        # A late duplicate must not end a second attempt of the call.
        assert not harness.connection.can_accept(FIRST_ID)
        assert harness.connection.can_accept(SECOND_ID)

    asyncio.run(scenario())


def test_an_endless_response_aborts_its_connection() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        harness.send(FIRST_ID)
        harness.flush()
        for _ in range(200):
            if not harness.transport.is_aborted:
                harness.receive(b"x" * len(harness.connection.get_buffer(-1)))
        assert harness.transport.is_aborted

    asyncio.run(scenario())
