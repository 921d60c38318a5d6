"""The steps of a script that discovery and the process perform, and the action of every step.

A step reads its parameters from the script; their order is part of the corpus.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fuzzing.script import Step

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.client_steps import ClientSteps
    from cedarthread.testing.fuzzing.endpoint_publisher import EndpointPublisher
    from cedarthread.testing.fuzzing.router_under_test import RouterUnderTest
    from cedarthread.testing.fuzzing.target import FuzzedDataProvider
    from cedarthread.testing.fuzzing.worker_steps import WorkerSteps

PAUSES_MS = (0.0, 1.0, 5.0, 12.0, 40.0, 60.0, 250.0, 600.0, 1500.0, 3000.0)
LOOP_ITERATIONS = 4  # iterations that suffice for callbacks that schedule one another without a delay

StepAction = Callable[[], None] | Callable[[], Awaitable[None]]


class DiscoverySteps:
    """The steps of discovery.

    Args:
        publisher: The publisher of the endpoint list.
        choices: The script.
    """

    def __init__(self, publisher: EndpointPublisher, choices: FuzzedDataProvider) -> None:
        self.publisher = publisher
        self.choices = choices

    def change_list(self) -> None:
        """Change the endpoint list, publish it, deliver an earlier version again, or report a failure."""
        publisher = self.publisher
        worker = self.choices.pick(publisher.workers)
        match self.choices.consume_byte() % 6:
            case 0:
                publisher.list_worker(worker, EndpointState.DRAINING)
            case 1:
                publisher.unlist_worker(worker)
            case 2:
                worker.restart()
                publisher.list_worker(worker, EndpointState.READY)
            case 3:
                publisher.redeliver(self.choices.consume_byte() % len(publisher.published))
                return
            case 4:
                publisher.fail()
                return
            case _:
                publisher.list_worker(worker, EndpointState.READY)
        if self.choices.consume_byte() & 1:
            publisher.publish()


class ProcessSteps:
    """The steps that advance time or act on the router's process.

    Args:
        router: The router.
        choices: The script.
        stall_ms: The duration of the only stall of the run; 0 for no stall.
    """

    def __init__(self, router: RouterUnderTest, choices: FuzzedDataProvider, stall_ms: float) -> None:
        self.router = router
        self.choices = choices
        self.stall_ms = stall_ms
        self._is_shutting_down = False

    async def pause(self) -> None:
        """Advance time."""
        await self.router.advance(self.choices.pick(PAUSES_MS))

    async def run_ready(self) -> None:
        """Run the callbacks that are ready, without advancing time."""
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    def stall(self) -> None:
        """Stall the process, at most once, for the time that the second byte of the script selects."""
        if self.stall_ms:
            self.router.loop.skip(self.stall_ms / 1000.0)
            self.stall_ms = 0.0

    def shut_down(self) -> None:
        """Shut the router down as on SIGTERM, at most once and only in the second half of the script."""
        if not self._is_shutting_down and self.choices.position > len(self.choices.data) // 2:
            self._is_shutting_down = True
            self.router.begin_shutdown()


def step_actions(
    clients: ClientSteps, workers: WorkerSteps, discovery: DiscoverySteps, process: ProcessSteps
) -> dict[Step, StepAction]:
    """Return the action of each step; the caller awaits an action that returns an awaitable."""
    return {
        Step.CALL: clients.call,
        Step.ANSWER: workers.answer,
        Step.PAUSE: process.pause,
        Step.RUN_READY: process.run_ready,
        Step.WORKER_FAULT: workers.fault,
        Step.LIST_CHANGE: discovery.change_list,
        Step.INVOKE_CALLER: clients.invoke_caller,
        Step.BURST: clients.burst,
        Step.ANSWER_ALL: workers.answer_all,
        Step.INTERRUPT: clients.interrupt,
        Step.CLIENT_FAULT: clients.fault,
        Step.BAD_ANSWER: workers.bad_answer,
        Step.STALL: process.stall,
        Step.SHUTDOWN: process.shut_down,
    }
