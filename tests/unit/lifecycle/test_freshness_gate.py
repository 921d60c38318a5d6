"""The freshness gate, which closes when a discovery query is late by a stall and opens on a fresh list."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from cedarthread.lifecycle.freshness_gate import MIN_STALL_S, FreshnessGate
from cedarthread.protocols.discovery.poll_schedule import PollSchedule
from cedarthread.protocols.discovery.query_tracker import QueryTracker

if TYPE_CHECKING:
    from collections.abc import Callable

DRAIN_GRACE_S = 0.5
STALL_S = 0.2  # longer than the fraction of the drain grace by which a late query closes the gate
POLL_DELAY_S = 0.01


class GateWithSchedule:
    """A freshness gate with its schedule and queries, which records sent queries and resumed waiters."""

    def __init__(self) -> None:
        self.schedule = PollSchedule()
        self.queries = QueryTracker(lambda: 0.5, DRAIN_GRACE_S)
        self.gate = FreshnessGate(self.schedule, self.queries)
        self.sent_query_count = 0
        self.resumed: list[str] = []
        self.gate.add_reopen_callback(lambda: self.resumed.append("dispatcher"))
        self.gate.add_reopen_callback(lambda: self.resumed.append("workers"))

    def send_query(self) -> None:
        self.sent_query_count += 1

    def start_polling(self) -> None:
        self.schedule.start(self.send_query)
        self.schedule.schedule(asyncio.get_running_loop().time() + POLL_DELAY_S, self.send_query)


def run(scenario: Callable[[GateWithSchedule], None]) -> None:
    """Run a scenario on an event loop; scenarios block the loop to simulate a stall of the process."""

    async def test() -> None:
        scenario(GateWithSchedule())

    asyncio.run(test())


def test_the_gate_is_open_without_discovery_even_after_a_stall() -> None:
    def scenario(case: GateWithSchedule) -> None:
        time.sleep(STALL_S)
        assert case.gate.is_open()
        assert case.gate.input_delay_ms() == 0.0

    run(scenario)


def test_the_gate_stays_open_while_the_next_query_is_not_overdue() -> None:
    def scenario(case: GateWithSchedule) -> None:
        case.start_polling()
        assert case.gate.is_open()
        assert case.sent_query_count == 0

    run(scenario)


def test_an_overdue_query_closes_the_gate_and_sends_one_query_immediately() -> None:
    def scenario(case: GateWithSchedule) -> None:
        case.start_polling()
        time.sleep(STALL_S)
        assert not case.gate.is_open()
        assert not case.gate.is_open()
        assert case.sent_query_count == 1
        assert case.gate.input_delay_ms() >= 1000.0 * (STALL_S - POLL_DELAY_S - MIN_STALL_S)

    run(scenario)


def test_a_fresh_list_opens_the_gate_and_resumes_the_waiters_in_order() -> None:
    def scenario(case: GateWithSchedule) -> None:
        case.start_polling()
        time.sleep(STALL_S)
        assert not case.gate.is_open()
        case.gate.on_list_confirmed()
        assert case.resumed == [], "the list is older than the stall"
        case.queries.fresh_as_of_s = asyncio.get_running_loop().time()
        case.gate.on_list_confirmed()
        assert case.resumed == ["dispatcher", "workers"]

    run(scenario)


def test_the_gate_opens_after_a_fraction_of_the_drain_grace_without_a_discovery_reply() -> None:
    async def test() -> None:
        case = GateWithSchedule()
        case.start_polling()
        time.sleep(STALL_S)  # noqa: ASYNC251  # stalls the process
        assert not case.gate.is_open()
        async with asyncio.timeout(10):
            while not case.resumed:
                await asyncio.sleep(0.01)
        assert case.resumed == ["dispatcher", "workers"]

    asyncio.run(test())


def test_a_stopped_schedule_sends_no_query() -> None:
    def scenario(case: GateWithSchedule) -> None:
        case.start_polling()
        case.schedule.poll_now()
        assert case.sent_query_count == 1
        case.schedule.stop()
        case.schedule.poll_now()
        assert case.sent_query_count == 1
        assert not case.schedule.is_polling

    run(scenario)
