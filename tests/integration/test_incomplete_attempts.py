"""Attempts that end while only a part of their line has been written to a worker that does not read."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import pytest

from cedarthread.dispatch.calls import Progress
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.worker import connections
from cedarthread.testing.fakes.scripted import ScriptedWorker, client, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.termination_harness import (
    INTERRUPT_PREFIX,
    LONG_TIMEOUT_MS,
    connect_with_small_buffers,
    leave_unanswered,
    result_name,
    running_router,
    wait_until,
)
from tests.integration.worker_harness import FIRST_ID, WorkerHarness

if TYPE_CHECKING:
    from cedarthread.protocols.worker.connection import WorkerConnection

INCOMPLETE_ID = f"{3:016x}"
LATE_S = 5.0  # as if the event loop were late by this time


def has_incomplete_call(connection: WorkerConnection) -> bool:
    """Return whether the router has written only a part of the call with INCOMPLETE_ID."""
    connection.refresh_progress()
    request = connection.in_flight.get(INCOMPLETE_ID)
    return getattr(request, "progress", None) is Progress.PARTLY_WRITTEN


# Guards against a call that is refused as never run, and runs once its worker reads the rest of its line.
@pytest.mark.parametrize("can_cancel", [False, True])
@pytest.mark.parametrize("end", ["deadline", "interrupt", "half_close"])
def test_a_call_that_ends_while_partly_written_never_reaches_its_worker(
    monkeypatch: pytest.MonkeyPatch, end: str, *, can_cancel: bool
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        limits = SETTINGS["limits"] | {"cancel": can_cancel}
        async with running_router(worker, limits=limits) as (running, caller), client(running) as other:
            connection = await connect_with_small_buffers(running, worker, caller)
            worker.behavior = leave_unanswered
            # An open call on the same connection, so that the connection is not closed as unused.
            other.writer.write(pack_call(2, "confirm", b"x", limit=LONG_TIMEOUT_MS))
            await wait_until(lambda: f"{2:016x}" in connection.in_flight, "call 2 is written")
            limit_ms = "400" if end == "deadline" else LONG_TIMEOUT_MS
            caller.writer.write(pack_call(3, "confirm", b"y" * 16_000, limit=limit_ms))
            await wait_until(lambda: has_incomplete_call(connection), "call 3 is partly written")
            if end == "deadline":
                # The worker reads on after the refusal, before a CANCEL has had its time.
                monkeypatch.setattr(connections, "CANCEL_SETTLE_S", LATE_S)
            elif end == "interrupt":
                caller.writer.write(INTERRUPT_PREFIX + b"\x03")
            else:
                caller.writer.write_eof()
            if end == "interrupt":
                counts = running.dispatcher.result_counts
                await wait_until(lambda: counts["abandoned"] == 1, "the call is abandoned")
                await wait_until(lambda: connection.is_closed, "the connection is closed")
            else:
                assert result_name(await caller.read()) == "rejected"
            worker.writers[0].transport.resume_reading()  # type: ignore[attr-defined]
            await worker_reads_to_end(worker)
            assert INCOMPLETE_ID not in [message["id"] for message in worker.calls]
            monkeypatch.undo()
            assert result_name(await other.read()) == "failed"  # its connection was closed

    asyncio.run(scenario())


async def worker_reads_to_end(worker: ScriptedWorker) -> None:
    """Wait until the worker has read the end of its first connection, or the call with INCOMPLETE_ID."""
    await wait_until(
        lambda: (
            worker.writers[0].is_closing() or INCOMPLETE_ID in [message["id"] for message in worker.calls]
        ),
        "the worker has read all that was written",
    )


# Guards against a preload that a worker receives after its slot in the preload budget was released.
def test_a_preload_that_ends_while_partly_written_aborts_its_connection() -> None:
    async def scenario() -> None:
        harness = WorkerHarness(10)
        harness.workers.preload(1, 7, 1)
        harness.flush()
        [preload] = harness.connection.in_flight.values()
        harness.workers.preloads._on_timeout(preload, harness.connection)  # type: ignore[arg-type]
        assert [event.outcome for event in harness.dispatcher.preloads] == [Outcome.TIMEOUT]
        assert harness.transport.is_aborted

    asyncio.run(scenario())


# Guards against a retry that starts while the rest of an earlier attempt can still be written.
@pytest.mark.parametrize(
    ("accepted_bytes", "outcome", "is_aborted"),
    [(10, Outcome.CONNECT_FAILED, True), (10_000, Outcome.TIMEOUT, False)],
)
def test_without_cancel_an_attempt_ends_as_not_executed_only_if_its_rest_cannot_be_written(
    accepted_bytes: int, outcome: Outcome, *, is_aborted: bool
) -> None:
    async def scenario() -> None:
        harness = WorkerHarness(accepted_bytes)
        settings = harness.workers.settings
        limits = dataclasses.replace(settings.limits, can_cancel=False)
        harness.workers.update_settings(dataclasses.replace(settings, limits=limits))
        attempt = harness.send(FIRST_ID)
        harness.flush()
        harness.workers.cancel(attempt)
        assert harness.dispatcher.outcomes == {FIRST_ID: outcome}
        assert harness.transport.is_aborted is is_aborted

    asyncio.run(scenario())
