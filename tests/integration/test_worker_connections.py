"""Progress of attempts by the bytes that a worker's socket accepts, and outcomes when connections fail."""

from __future__ import annotations

import asyncio
import gc
import logging
import weakref
from typing import TYPE_CHECKING

import pytest

from cedarthread.dispatch.calls import Progress
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker.requests import PendingPreload
from tests.integration.worker_harness import FIRST_ID, SECOND_ID, THIRD_ID, WorkerHarness

if TYPE_CHECKING:
    from cedarthread.protocols.worker.connection import WorkerConnection


@pytest.mark.parametrize(
    ("accepted_bytes", "progress", "outcomes"),
    [
        # Both lines are complete, so both attempts may have executed.
        (10_000, (Progress.WRITTEN, Progress.WRITTEN), (Outcome.RESET, Outcome.RESET)),
        # The second line is incomplete, so the second attempt has not executed.
        (250, (Progress.WRITTEN, Progress.PARTLY_WRITTEN), (Outcome.RESET, Outcome.CONNECT_FAILED)),
        # The second line is not passed to the transport.
        (
            10,
            (Progress.PARTLY_WRITTEN, Progress.UNWRITTEN),
            (Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED),
        ),
    ],
)
def test_a_partly_written_attempt_is_not_executed(
    accepted_bytes: int, progress: tuple[Progress, Progress], outcomes: tuple[Outcome, Outcome]
) -> None:
    async def scenario() -> None:
        harness = WorkerHarness(accepted_bytes)
        first = harness.send(FIRST_ID)
        second = harness.send(SECOND_ID)
        harness.flush()
        assert (first.progress, second.progress) == progress
        third = harness.send(THIRD_ID) if harness.connection.is_write_paused else None
        harness.flush()
        harness.connection.connection_lost(ConnectionResetError())
        first_outcomes = list(harness.dispatcher.outcomes.values())[:2]
        assert tuple(first_outcomes) == outcomes
        if third is not None:  # queued behind the other lines; no byte of it is written
            assert third.progress is Progress.UNWRITTEN
            assert harness.dispatcher.outcomes[THIRD_ID] is Outcome.CONNECT_FAILED

    asyncio.run(scenario())


def test_an_attempt_that_is_completely_written_later_may_have_executed() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10)
        attempt = harness.send(FIRST_ID)
        harness.flush()
        assert attempt.progress is Progress.PARTLY_WRITTEN
        harness.connection.resume_writing()
        harness.connection.connection_lost(None)
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.RESET}

    asyncio.run(scenario())


def test_a_write_that_fails_at_once_has_sent_nothing() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        harness.send(FIRST_ID)
        harness.transport.write = lambda data: harness.transport.abort()  # type: ignore[method-assign]
        harness.flush()
        harness.connection.connection_lost(BrokenPipeError())
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.CONNECT_FAILED}

    asyncio.run(scenario())


def test_an_attempt_at_a_worker_that_reads_nothing_is_cancelled_by_closing_the_connection() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10)
        attempt = harness.send(FIRST_ID)
        harness.flush()
        harness.workers.cancel(attempt)
        assert harness.dispatcher.outcomes == {}, "the worker must have time to read the CANCEL"
        while not harness.dispatcher.outcomes:
            await asyncio.sleep(0)
        assert harness.transport.is_aborted
        assert harness.dispatcher.outcomes == {FIRST_ID: Outcome.CANCELLED}

    asyncio.run(scenario())


def test_requests_queued_past_their_write_deadline_are_withdrawn() -> None:
    """A preload is withdrawn after half a second, a retry of a keyed call after its deduplication window."""

    async def scenario() -> None:
        harness = WorkerHarness(10)
        harness.send(FIRST_ID)
        harness.flush()  # the worker reads no further, so later requests are queued
        late = harness.send(SECOND_ID)
        late.write_deadline_ms = harness.dispatcher.clock() - 1.0
        harness.workers.preload(1, 7, 1)
        (preload,) = [
            line.request
            for line in harness.connection.line_queue.queued
            if isinstance(line.request, PendingPreload)
        ]
        harness.workers.preloads._on_write_timeout(preload, harness.connection)
        assert [event.outcome for event in harness.dispatcher.preloads] == [Outcome.CONNECT_FAILED]
        written = harness.transport.written
        harness.transport.buffered_bytes = 0
        harness.connection.resume_writing()
        assert harness.transport.written == written
        assert harness.dispatcher.outcomes[SECOND_ID] is Outcome.CONNECT_FAILED

    asyncio.run(scenario())


def test_after_a_drain_update_a_connection_with_unread_lines_is_aborted() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10)
        harness.send(FIRST_ID)
        harness.flush()
        buffered = list(harness.connection.line_queue.buffered)
        harness.pool.retire(close_now=False)
        assert not harness.transport.is_aborted
        harness.connection.abort_if_unwritten(buffered)
        assert harness.transport.is_aborted

    asyncio.run(scenario())


def test_a_failed_connect_leaves_nothing_for_the_garbage_collector(caplog: pytest.LogCaptureFixture) -> None:
    """Reference cycles are freed only by a collection of the oldest generation, which is rare.

    In a long run such cycles occupied 26 MB.
    """

    async def connect() -> weakref.ref[WorkerConnection]:
        pool = WorkerHarness(0).pool
        pool.connections.clear()
        connection = pool.acquire("a")
        assert connection is not None
        connection_reference = weakref.ref(connection)
        del connection
        await asyncio.wait(pool.connecting.values())
        await asyncio.sleep(0)  # lets the callbacks of the task run
        assert not pool.connections
        assert not pool.connecting
        return connection_reference

    caplog.set_level(logging.INFO)
    gc.collect()
    gc.disable()
    try:
        connection_reference = asyncio.run(connect())
        assert [record.name for record in caplog.records] == ["cedarthread.protocols.worker.pool"]
        caplog.clear()
        assert connection_reference() is None
    finally:
        gc.enable()


def test_a_call_is_written_with_the_time_left_at_its_first_byte() -> None:
    """The time left when the worker was selected would be too long after a slow connect or a stall."""

    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        now_ms = harness.dispatcher.clock()
        harness.dispatcher.context.clock = lambda: now_ms
        harness.send(FIRST_ID)
        now_ms += 400.0
        harness.flush()
        assert b'"max":600' in harness.transport.written

    asyncio.run(scenario())


def test_an_attempt_whose_deadline_has_passed_or_whose_worker_drains_is_not_written() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        now_ms = harness.dispatcher.clock()
        harness.dispatcher.context.clock = lambda: now_ms
        harness.send(FIRST_ID)
        now_ms += 1000.0
        harness.flush()
        harness.send(SECOND_ID)
        harness.workers.preload(1, 7, 1)
        harness.dispatcher.worker_states_changed({1: EndpointState.DRAINING})
        harness.flush()
        assert harness.transport.written == b""
        assert set(harness.dispatcher.outcomes.values()) == {Outcome.CONNECT_FAILED}
        assert [event.outcome for event in harness.dispatcher.preloads] == [Outcome.CONNECT_FAILED]

    asyncio.run(scenario())


def test_while_sending_is_suspended_only_cancels_are_written() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10_000)
        first = harness.send(FIRST_ID)
        harness.flush()
        harness.workers.may_send = lambda: False
        harness.send(SECOND_ID)
        harness.workers.cancel(first)
        harness.flush()
        assert harness.transport.written.endswith(b'{"op":"CANCEL","id":"aaaaaaaaaaaaaaaa"}\n')
        assert SECOND_ID.encode() not in harness.transport.written
        harness.workers.may_send = lambda: True
        harness.workers.flush_held()
        assert SECOND_ID.encode() in harness.transport.written

    asyncio.run(scenario())
