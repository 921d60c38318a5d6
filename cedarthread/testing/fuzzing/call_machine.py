"""The call machine: a complete router and all its peers on a virtual clock, driven by a script.

An input is a script: each byte selects the next step. The invariant checker evaluates the messages that
clients and workers received. At the end of a run, the router must have released every resource that it
acquired.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.testing.fuzzing.client_steps import ClientSteps
from cedarthread.testing.fuzzing.endpoint_publisher import EndpointPublisher
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.memory_worker import MemoryWorker
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.router_under_test import MAX_DEADLINE_MS, Mode, RouterUnderTest
from cedarthread.testing.fuzzing.script import STEPS, WORKER_COUNT, generate_script
from cedarthread.testing.fuzzing.script_steps import DiscoverySteps, ProcessSteps, step_actions
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual
from cedarthread.testing.fuzzing.worker_steps import WorkerSteps

if TYPE_CHECKING:
    import random

    from cedarthread.testing.fuzzing.memory_transport import MemoryTransport

MAX_SCRIPT_BYTES = 400
PIPELINED_ROUNDS = 4  # rounds of waiting; several, because the router serves pipelined requests one by one
PIPELINED_ROUND_MS = 3000.0
COLLECT_ROUNDS = 400  # maximum rounds; many, because a stopping invoke server closes after each response
COLLECT_ROUND_MS = 50.0
RETENTION_S = 125.0  # waiting time that is longer than the router stores any answer
RECLAIM_S = 20.0  # time after the last sweep within which the timers of closed connections expire


class CallMachine:
    """The state of a run of a script: the router under test, its workers and its clients.

    Args:
        loop: The virtual loop that the run owns.
        choices: The script; its first two bytes set the mode and the duration of a stall.
    """

    def __init__(self, loop: VirtualLoop, choices: FuzzedDataProvider) -> None:
        self.choices = choices
        mode = choices.consume_byte()
        stall_ms = float(choices.consume_byte() % 4) * 100.0 * bool(mode & Mode.STALLS)
        router = RouterUnderTest(loop, mode, stall_ms)
        self.router = router
        self.checker = router.checker
        self.workers = [
            MemoryWorker(number, loop, router.checker, router.called_functions)
            for number in range(1, WORKER_COUNT + 1)
        ]
        loop.dial = self._dial
        self.client_steps = ClientSteps(router, choices)
        self.actions = step_actions(
            self.client_steps,
            WorkerSteps(self.workers, choices),
            DiscoverySteps(EndpointPublisher(router, self.workers), choices),
            ProcessSteps(router, choices, stall_ms),
        )

    def _dial(self, factory: object, host: str, port: int) -> MemoryTransport:
        return self.workers[port - 1].connect()  # a worker's port is its number

    async def run(self) -> None:
        """Run the script until its end or the first violation, then finish the run."""
        while self.choices.has_more() and not self.checker.violations:
            waiting = self.actions[self.choices.pick(STEPS)]()
            if waiting is not None:
                await waiting
        if not self.checker.violations:
            await self.finish()

    async def finish(self) -> None:
        """Let every deadline pass, close all connections, and check that no resource leaks."""
        router = self.router
        clients = self.client_steps.clients
        for client in clients:
            client.transport.peer_accept(None)
        await router.advance(MAX_DEADLINE_MS + 500.0)
        await self._finish_invoke_callers()
        self.checker.check_all_answered(router.now_ms())
        for worker in self.workers:
            worker.reset_connections()
        for client in clients:
            if client.is_open:
                client.disconnect()
        await router.advance(1000.0)
        await asyncio.sleep(RETENTION_S)
        router.sweep()
        await asyncio.sleep(RECLAIM_S)
        router.check_nothing_remains()

    async def _finish_invoke_callers(self) -> None:
        callers = self.client_steps.invoke_callers
        for _ in range(PIPELINED_ROUNDS):
            is_waiting = any(caller.is_connected and caller.pending_requests for caller in callers)
            if self.router.dispatcher.pending_calls or is_waiting:
                await self.router.advance(PIPELINED_ROUND_MS)
        for _ in range(COLLECT_ROUNDS):
            if not any(caller.deferred_calls or caller.pending_requests for caller in callers):
                break
            for caller in callers:
                caller.collect()
            await self.router.advance(COLLECT_ROUND_MS)


def run_script(data: bytes) -> CallMachine:
    """Run a script and return the machine in its final state.

    Raises:
        Finding: The checker reports a violation, or a callback raised an exception.
    """
    machines: list[CallMachine] = []

    async def work(loop: VirtualLoop) -> None:
        machines.append(CallMachine(loop, FuzzedDataProvider(data)))
        await machines[0].run()

    loop = run_virtual(work)
    if machines[0].checker.violations:
        raise Finding(str(machines[0].checker.violations[0]))
    if loop.failures:
        raise Finding(loop.failures[0])
    return machines[0]


class CallMachineTarget(Target):
    """A complete router that is driven by scripts."""

    name = "calls"
    modules = (
        "cedarthread.dispatch",
        "cedarthread.routing.admission",
        "cedarthread.routing.attempt_tracker",
        "cedarthread.routing.discovery_polling",
        "cedarthread.routing.estimators",
        "cedarthread.routing.feedback",
        "cedarthread.routing.function_table",
        "cedarthread.routing.log_throttle",
        "cedarthread.routing.preload_budget",
        "cedarthread.routing.preloading",
        "cedarthread.routing.request_table",
        "cedarthread.routing.retries",
        "cedarthread.routing.retry_budget",
        "cedarthread.routing.router",
        "cedarthread.routing.router_state",
        "cedarthread.routing.selection",
        "cedarthread.routing.timers",
        "cedarthread.routing.worker_table",
        "cedarthread.protocols.platform.calls",
        "cedarthread.protocols.platform.calls",
        "cedarthread.protocols.platform.codec",
        "cedarthread.protocols.platform.connection",
        "cedarthread.protocols.platform.server",
        "cedarthread.protocols.worker.codec",
        "cedarthread.protocols.worker.connection",
        "cedarthread.protocols.worker.line_queue",
        "cedarthread.protocols.worker.pool",
        "cedarthread.protocols.worker.preloads",
        "cedarthread.protocols.worker.connections",
    )
    line_budget = Budget(400_000, 12_000)
    byte_budget = Budget(4 * 2**20, 20_000)
    test_runs = 150

    def generate(self, rng: random.Random) -> bytes:
        """Return a script of random steps, or of the steps of one scenario."""
        return generate_script(rng)

    def check(self, data: bytes) -> None:
        """Run the script."""
        run_script(data[:MAX_SCRIPT_BYTES])
