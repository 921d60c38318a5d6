"""Rule ``drain`` on a real process: no call reaches a worker later than the grace after a drain notification.

The router counts as notified of a drain once discovery has sent a reply with the drain, whether the router
could read that reply or not, and at the latest NOTICE_LIMIT_S after the drain.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.integration.drain_harness import (
    CALL_LIMIT_S,
    GRACE_S,
    SLACK_S,
    NotifyingDiscovery,
    Reply,
    cut,
    drain_setup,
    lost,
    old,
    server_failure,
)
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from pathlib import Path

DEADLINE_SLACK_S = 0.15  # by which a worker's deadline of a call may exceed the client's
# Time after which the router counts as notified without a reply (the platform's protocol specification).
NOTICE_LIMIT_S = 1.5


@pytest.mark.parametrize(
    "script",
    [
        [lost] * 5,
        [cut] * 5,
        [lost, server_failure, cut, lost, server_failure, lost],
        [lost, old, cut, lost, server_failure],
    ],
    ids=["lost", "cut short", "mixed", "old between"],
)
def test_a_drain_is_followed_though_several_replies_in_a_row_are_unusable(
    tmp_path: Path, script: list[Reply]
) -> None:
    """The regular poll alone needs one period per failed reply, and three periods exceed the grace."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            setup.discovery.change(*setup.list_with_drain(), script=script)
            notified_at_s = await setup.wait_until_notified()

            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            await asyncio.sleep(max(0.0, notified_at_s + GRACE_S + 2 * SLACK_S - time.monotonic()))
            setup.check_drain(notified_at_s)

    run_scenario(scenario)


def test_a_resumed_process_polls_discovery_before_it_sends_queued_calls(tmp_path: Path) -> None:
    """A worker drains while the process is suspended; calls are in the process's sockets when it resumes."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            await setup.process.suspend()
            setup.discovery.change(*setup.list_with_drain())
            notified_at_s = setup.discovery.changed_at_s + NOTICE_LIMIT_S
            await asyncio.sleep(NOTICE_LIMIT_S + GRACE_S + 2 * SLACK_S)
            setup.process.resume()

            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            served_count = len(setup.staying.received_at_s)
            async with asyncio.timeout(10):
                while len(setup.staying.received_at_s) == served_count:
                    await asyncio.sleep(0.005)
            setup.check_drain(notified_at_s)

    run_scenario(scenario)


def test_a_reply_of_the_old_discovery_server_counts_until_the_new_one_replies(tmp_path: Path) -> None:
    """SIGHUP changes discovery to a silent server while a reply of the old server is on its way."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            silent = NotifyingDiscovery(setup.listed, script=[lost] * 1000)
            await silent.server.start()
            unanswered: list[tuple[bytes, tuple[str, int]]] = []
            setup.discovery.server.on_query = lambda query, address: unanswered.append((query, address))
            async with asyncio.timeout(10):
                while not unanswered:
                    await asyncio.sleep(0.002)

            setup.process.update_config(dns=f"127.0.0.1:{silent.server.port}")
            setup.process.reload()
            await silent.wait_for_query()
            setup.discovery.change(*setup.list_with_drain())
            for query, address in unanswered:
                setup.discovery.on_query(query, address)

            notified_at_s = await setup.wait_until_notified()
            await asyncio.sleep(GRACE_S + 5 * SLACK_S)
            setup.check_drain(notified_at_s)
            silent.server.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("stall_s", [0.3, 1.0, 2.5])
def test_after_a_stall_workers_get_no_later_deadline_than_clients_have(
    tmp_path: Path, stall_s: float
) -> None:
    """Calls are unread in the process's sockets while their clients' limits run."""

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            await setup.discovery.wait_for_query()

            await setup.process.suspend()
            suspended_at_s = time.monotonic()
            await asyncio.sleep(stall_s)
            setup.process.resume()

            client_deadline_s = setup.traffic.deadline_s
            resumed_at_s = time.monotonic()
            workers = (setup.draining, setup.staying)  # neither drains here: both may receive the calls
            async with asyncio.timeout(10):
                while not any(
                    received_at_s > resumed_at_s + 0.3
                    for worker in workers
                    for received_at_s in worker.received_at_s
                ):
                    await asyncio.sleep(0.005)
            sent_since_suspension = [
                attempt
                for attempt in (*setup.draining.deadlines, *setup.staying.deadlines)
                if suspended_at_s < client_deadline_s[attempt.call_id] - CALL_LIMIT_S
            ]
            excess_s = [
                (attempt.call_id, attempt.deadline_s - client_deadline_s[attempt.call_id])
                for attempt in sent_since_suspension
            ]
            late = [(call_id, round(by_s, 3)) for call_id, by_s in excess_s if by_s > DEADLINE_SLACK_S]
            assert not late, late[:5]

    run_scenario(scenario)


def test_a_reply_of_an_earlier_numbering_hides_no_drain(tmp_path: Path) -> None:
    """List serials start again when a router starts; the first reply is from before, with a serial ahead.

    The router once applied such a reply, and then ignored the drain, whose serial was the same.
    """

    def earlier_numbering(discovery: NotifyingDiscovery, query: bytes) -> bytes:
        return discovery.encode(query, discovery.serial + 1, discovery.workers)

    async def scenario() -> None:
        async with drain_setup(tmp_path) as setup:
            setup.discovery.script = [earlier_numbering]
            for _ in range(8):  # replies of the present numbering, without a change
                await setup.discovery.wait_for_query()

            setup.discovery.change(*setup.list_with_drain())
            notified_at_s = await setup.wait_until_notified()

            await asyncio.sleep(GRACE_S + 4 * SLACK_S)
            setup.check_drain(notified_at_s)

    run_scenario(scenario)
