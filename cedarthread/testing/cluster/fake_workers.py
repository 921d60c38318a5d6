"""The fake process that runs all workers and their package store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.cluster.facts import AttemptCancelled, AttemptEnded, AttemptSent, router_of
from cedarthread.testing.cluster.policy_replay import worker_models
from cedarthread.testing.cluster.process_base import FakeProcess
from cedarthread.testing.cluster.recordings import AcceptedConnection, Placement, Recording
from cedarthread.testing.cluster.scenario import Fault, FaultKind, Node, NodeKind
from cedarthread.testing.fakes.worker_server import Deliver, FakeWorkerServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.testing.cluster.plan import ClusterPlan
    from cedarthread.testing.fakes.worker_model import WorkerCall

ROUTER_TO_WORKER_MS = 2.0  # Minimum delay from a router to a worker.
WORKER_FAULTS = (
    FaultKind.CRASH_WORKER,
    FaultKind.SLOW_WORKER,
    FaultKind.SILENCE_WORKER,
    FaultKind.RESET_CONNECTIONS,
)


class FakeWorkerProcess(FakeProcess):
    """The fake process of all workers; the listener of their servers, which call its ``on_call_`` methods.

    Args:
        plan: The plan of the run.
        number: The process number, 0.
    """

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        super().__init__(plan, number)
        self._loop_iteration_ms: float | None = None
        self.servers = [
            FakeWorkerServer(model, self.now_ms, self._deliver_for(model.number), self)
            for model in worker_models(plan.scenario)
        ]

    async def start(self) -> None:
        """Start the workers' servers at the ports of the plan."""
        for server, port in zip(self.servers, self.plan.worker_ports, strict=True):
            server.port = port
            await server.start()

    def _deliver_for(self, worker: int) -> Deliver:
        worker_node = Node(NodeKind.WORKER, worker)

        def deliver(call_id: str, is_to_worker: bool, callback: Callable[[], None]) -> None:
            router = Node(NodeKind.ROUTER, router_of(call_id))
            source, destination = (router, worker_node) if is_to_worker else (worker_node, router)
            delay_ms = self.network.stream_delay_ms(self.now_ms(), source, destination)
            self.call_after(max(delay_ms, ROUTER_TO_WORKER_MS) if is_to_worker else delay_ms, callback)

        return deliver

    def on_call_arrived(self, call: WorkerCall) -> None:
        """Record that an attempt arrived at a worker."""
        if not self.is_recording_closed:
            self.recording.worker_calls.append(call)

    def on_call_sent(self, call_id: str, worker: int, time_limit_ms: float) -> None:
        """Record that a router wrote an attempt to the network."""
        sent_at_ms = self.loop_iteration_ms()
        arrival_ms = sent_at_ms + ROUTER_TO_WORKER_MS
        self.record(AttemptSent(arrival_ms, call_id, worker, sent_at_ms, time_limit_ms))

    def on_call_ended(self, call: WorkerCall) -> None:
        """Record that an attempt ended at its worker, with an answer or by a loss."""
        self.record(AttemptEnded(self.now_ms(), call.call_id, call.worker, call.remark))

    def on_call_cancelled(self, call_id: str, worker: int) -> None:
        """Record that a router cancelled an attempt."""
        self.record(AttemptCancelled(self.loop_iteration_ms(), call_id, worker))

    def loop_iteration_ms(self) -> float:
        """Return one time for all bytes that are read in an iteration of the event loop.

        Within an iteration, the order of reading connections is not the order of sending. With a time for
        each read, a cancellation could seem later than the retry that followed it on another connection.
        """
        if self._loop_iteration_ms is None:
            self._loop_iteration_ms = self.now_ms()
            self.loop.call_soon(self._end_loop_iteration)
        return self._loop_iteration_ms

    def _end_loop_iteration(self) -> None:
        self._loop_iteration_ms = None

    async def run_fault(self, fault: Fault) -> None:
        """Crash, restart, slow down or silence workers, or reset their connections."""
        if fault.kind not in WORKER_FAULTS:
            return
        servers = [self.servers[number] for number in fault.targets.numbers]
        await self.wait_until(fault.start_s)
        for server in servers:
            if fault.kind is FaultKind.CRASH_WORKER:
                server.crash()
            elif fault.kind is FaultKind.RESET_CONNECTIONS:
                server.reset_connections()
            elif fault.kind is FaultKind.SLOW_WORKER:
                server.model.slowdown = fault.amount
            else:
                server.is_silent = True
        if fault.end_s >= self.scenario.end_s or fault.kind is FaultKind.RESET_CONNECTIONS:
            return
        await self.wait_until(fault.end_s)
        for server in servers:
            if fault.kind is FaultKind.CRASH_WORKER:
                await server.start()
            elif fault.kind is FaultKind.SLOW_WORKER:
                server.model.slowdown = 1.0
            else:
                server.is_silent = False

    def finish_recording(self) -> Recording:
        """Return the recording, completed by the figures that the servers and the worker models recorded."""
        for server in self.servers:
            number = server.model.number
            self.recording.lags_ms += server.timer_lags_ms
            self.recording.connections += [
                AcceptedConnection(at_ms, number) for at_ms in server.accepted_at_ms
            ]
            self.recording.placements += [
                Placement(at_ms, function, number) for at_ms, function in server.model.placements
            ]
        return self.recording
