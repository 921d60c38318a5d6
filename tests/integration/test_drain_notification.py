"""Rule ``drain`` on a real process: no call reaches a draining worker after the grace period.

The grace period starts when the router counts as notified of the drain: once the discovery server has sent a
reply with the drain, whether the router could use that reply or not, and at the latest PROMPT_NOTICE_S after
the drain.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.integration.drain_harness import (
    CALL_TIMEOUT_S,
    GRACE_PERIOD_S,
    TOLERANCE_S,
    RecordingDiscovery,
    ReplyEncoder,
    drain_setup,
    no_reply,
    previous_reply,
    servfail_reply,
    truncated_reply,
)
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from pathlib import Path

DEADLINE_TOLERANCE_S = 0.15  # how much later than the client's a worker's deadline of a call may be
PROMPT_NOTICE_S = 1.5  # after which the router counts as notified without a reply (document PROTOCOL)


@pytest.mark.parametrize(
    "script",
    [
        [no_reply] * 5,
        [truncated_reply] * 5,
        [no_reply, servfail_reply, truncated_reply, no_reply, servfail_reply, no_reply],
        [no_reply, previous_reply, truncated_reply, no_reply, servfail_reply],
    ],
    ids=["lost", "truncated", "mixed", "previous list"],
)
def test_a_drain_is_applied_although_several_consecutive_replies_are_unusable(
    tmp_path: Path, script: list[ReplyEncoder]
) -> None:
    """The regular poll alone needs one period per failed reply, and three periods exceed the grace period."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            setup.discovery.change_list(*setup.list_with_drain(), script=script)
            notified_at_s = await setup.wait_until_notified()

            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            await asyncio.sleep(max(0.0, notified_at_s + GRACE_PERIOD_S + 2 * TOLERANCE_S - time.monotonic()))
            setup.check_drain(notified_at_s)

    run_scenario(scenario)


def test_a_resumed_process_polls_discovery_before_it_sends_queued_calls(tmp_path: Path) -> None:
    """A worker drains while the process is suspended; unread calls are in its sockets when it resumes."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            await setup.process.suspend()
            setup.discovery.change_list(*setup.list_with_drain())
            notified_at_s = setup.discovery.changed_at_s + PROMPT_NOTICE_S
            await asyncio.sleep(PROMPT_NOTICE_S + GRACE_PERIOD_S + 2 * TOLERANCE_S)
            setup.process.resume()

            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            served_count = len(setup.ready_worker.received_at_s)
            async with asyncio.timeout(10):
                while len(setup.ready_worker.received_at_s) == served_count:
                    await asyncio.sleep(0.005)
            setup.check_drain(notified_at_s)

    run_scenario(scenario)


def test_a_reply_of_the_old_discovery_server_counts_until_the_new_one_replies(tmp_path: Path) -> None:
    """SIGHUP changes the discovery address to a silent server while a reply of the old server is pending."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            silent_discovery = RecordingDiscovery(setup.listed, script=[no_reply] * 1000)
            await silent_discovery.server.start()
            unanswered_queries: list[tuple[bytes, tuple[str, int]]] = []
            setup.discovery.server.on_query = lambda query, address: unanswered_queries.append(
                (query, address)
            )
            async with asyncio.timeout(10):
                while not unanswered_queries:
                    await asyncio.sleep(0.002)

            setup.process.update_config(dns=f"127.0.0.1:{silent_discovery.server.port}")
            setup.process.reload()
            await silent_discovery.wait_for_query()
            setup.discovery.change_list(*setup.list_with_drain())
            for query, address in unanswered_queries:
                setup.discovery.on_query(query, address)

            notified_at_s = await setup.wait_until_notified()
            await asyncio.sleep(GRACE_PERIOD_S + 5 * TOLERANCE_S)
            setup.check_drain(notified_at_s)
            silent_discovery.server.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("stall_s", [0.3, 1.0, 2.5])
def test_after_a_stall_workers_get_no_later_deadline_than_clients_have(
    tmp_path: Path, stall_s: float
) -> None:
    """Calls are unread in the process's sockets while their clients' timeouts elapse."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            await setup.process.suspend()
            suspended_at_s = time.monotonic()
            await asyncio.sleep(stall_s)
            setup.process.resume()

            client_deadline_s = setup.traffic.deadline_s
            resumed_at_s = time.monotonic()
            # Neither worker drains here, so both may receive the calls.
            workers = (setup.draining_worker, setup.ready_worker)
            async with asyncio.timeout(10):
                while not any(
                    received_at_s > resumed_at_s + 0.3
                    for worker in workers
                    for received_at_s in worker.received_at_s
                ):
                    await asyncio.sleep(0.005)
            sent_since_suspension = [
                attempt
                for attempt in (*setup.draining_worker.deadlines, *setup.ready_worker.deadlines)
                if suspended_at_s < client_deadline_s[attempt.call_id] - CALL_TIMEOUT_S
            ]
            excess_s = [
                (attempt.call_id, attempt.deadline_s - client_deadline_s[attempt.call_id])
                for attempt in sent_since_suspension
            ]
            late = [(call_id, round(by_s, 3)) for call_id, by_s in excess_s if by_s > DEADLINE_TOLERANCE_S]
            assert not late, late[:5]

    run_scenario(scenario)


def test_a_reply_with_serials_from_before_a_restart_does_not_hide_a_drain(tmp_path: Path) -> None:
    """List serials restart when a router starts; the first reply is an earlier one, with a higher serial.

    Regression test: the router applied such a reply and then ignored the drain, whose serial was the same.
    """

    def reply_with_higher_serial(discovery: RecordingDiscovery, query: bytes) -> bytes:
        return discovery.encode(query, discovery.serial + 1, discovery.workers)

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            setup.discovery.script = [reply_with_higher_serial]
            for _ in range(8):  # replies of the current numbering, without a change
                await setup.discovery.wait_for_query()

            setup.discovery.change_list(*setup.list_with_drain())
            notified_at_s = await setup.wait_until_notified()

            await asyncio.sleep(GRACE_PERIOD_S + 4 * TOLERANCE_S)
            setup.check_drain(notified_at_s)

    run_scenario(scenario)
