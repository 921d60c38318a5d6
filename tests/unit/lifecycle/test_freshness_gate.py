"""The freshness gate: it closes when a discovery query is overdue, and opens when the list is fresh."""

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
STALL_S = 0.2  # longer than the part of the drain grace after which a query counts as overdue
POLL_DELAY_S = 0.01


class GateWithSchedule:
    """A freshness gate, its schedule and queries, and what happened to them."""

    def __init__(self) -> None:
        self.schedule = PollSchedule()
        self.queries = QueryTracker(lambda: 0.5, DRAIN_GRACE_S)
        self.gate = FreshnessGate(self.schedule, self.queries)
        self.sent_query_count = 0
        self.resumed: list[str] = []
        self.gate.add_waiter(lambda: self.resumed.append("dispatcher"))
        self.gate.add_waiter(lambda: self.resumed.append("workers"))

    def send_query(self) -> None:
        self.sent_query_count += 1

    def start_polling(self) -> None:
        self.schedule.start(self.send_query)
        self.schedule.schedule(asyncio.get_running_loop().time() + POLL_DELAY_S, self.send_query)


def run(scenario: Callable[[GateWithSchedule], None]) -> None:
    """Run a scenario on an event loop; the scenario blocks the loop to stall the process."""

    async def test() -> None:
        scenario(GateWithSchedule())

    asyncio.run(test())


def test_the_gate_is_open_without_discovery_however_late_the_process_is() -> None:
    def scenario(router: GateWithSchedule) -> None:
        time.sleep(STALL_S)
        assert router.gate.is_open()
        assert router.gate.input_delay_ms() == 0.0

    run(scenario)


def test_the_gate_stays_open_while_the_next_query_is_not_overdue() -> None:
    def scenario(router: GateWithSchedule) -> None:
        router.start_polling()
        assert router.gate.is_open()
        assert router.sent_query_count == 0

    run(scenario)


def test_an_overdue_query_closes_the_gate_and_sends_one_query_at_once() -> None:
    def scenario(router: GateWithSchedule) -> None:
        router.start_polling()
        time.sleep(STALL_S)
        assert not router.gate.is_open()
        assert not router.gate.is_open()
        assert router.sent_query_count == 1
        assert router.gate.input_delay_ms() >= 1000.0 * (STALL_S - POLL_DELAY_S - MIN_STALL_S)

    run(scenario)


def test_a_fresh_list_opens_the_gate_and_resumes_the_waiters_in_order() -> None:
    def scenario(router: GateWithSchedule) -> None:
        router.start_polling()
        time.sleep(STALL_S)
        assert not router.gate.is_open()
        router.gate.on_fresh()
        assert router.resumed == [], "the list is older than the stall"
        router.queries.fresh_as_of_s = asyncio.get_running_loop().time()
        router.gate.on_fresh()
        assert router.resumed == ["dispatcher", "workers"]

    run(scenario)


def test_the_gate_opens_after_a_part_of_the_drain_grace_while_discovery_is_silent() -> None:
    async def test() -> None:
        router = GateWithSchedule()
        router.start_polling()
        time.sleep(STALL_S)  # noqa: ASYNC251  # stalls the process
        assert not router.gate.is_open()
        async with asyncio.timeout(10):
            while not router.resumed:
                await asyncio.sleep(0.01)
        assert router.resumed == ["dispatcher", "workers"]

    asyncio.run(test())


def test_a_schedule_that_has_stopped_sends_no_query() -> None:
    def scenario(router: GateWithSchedule) -> None:
        router.start_polling()
        router.schedule.poll_now()
        assert router.sent_query_count == 1
        router.schedule.stop()
        router.schedule.poll_now()
        assert router.sent_query_count == 1
        assert not router.schedule.is_polling

    run(scenario)
