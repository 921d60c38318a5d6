"""What both kinds of fake processes share: the clock, the recording, the network and the timeline."""

from __future__ import annotations

import asyncio
import pickle
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.recordings import Recording

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.testing.cluster.facts import Fact
    from cedarthread.testing.cluster.plan import ClusterPlan
    from cedarthread.testing.cluster.scenario import Fault

NOT_STARTED_S = 1e6  # until the start is known, no fault is active


class Command(StrEnum):
    """What the harness has a process do: a line of JSON with it as ``do``."""

    START = "start"  # never sent: a process reports it once it listens
    CONNECT = "connect"  # ``routers``: numbers of those whose clients connect
    RUN = "run"  # ``start_time_s``: when traffic starts, by the machine's monotonic clock
    SAVE_RECORDING = "save recording"  # ``path``: of the file


class FakeProcess:
    """One process of fakes. Subclasses listen, send traffic and carry out faults."""

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        self.plan, self.scenario, self.number = plan, plan.scenario, number
        self.loop = asyncio.get_running_loop()
        self.start_time_s = self.loop.time() + NOT_STARTED_S
        self.network = Network(plan.scenario.faults, 1000 * plan.scenario.seed + number)
        self.recording = Recording()
        self.is_recording_closed = False  # what comes after is the end of the run itself
        self.tasks: list[asyncio.Task[None]] = []

    def now_ms(self) -> float:
        """Time since traffic started."""
        return (self.loop.time() - self.start_time_s) * 1000.0

    def record(self, fact: Fact) -> None:
        """Record a fact, while the run lasts."""
        if not self.is_recording_closed:
            self.recording.facts.append(fact)

    def call_after(self, delay_ms: float, callback: Callable[[], Any]) -> None:
        """Call after a delay, or at once where there is none."""
        if delay_ms <= 0.0:
            callback()
        else:
            self.loop.call_later(delay_ms / 1000.0, callback)

    async def wait_until(self, at_s: float) -> None:
        """Wait until a time since traffic started."""
        await asyncio.sleep(max(0.0, at_s - self.now_ms() / 1000.0))

    async def on_command(self, command: Command, arguments: dict[str, Any]) -> None:
        """Do what the harness says."""
        if command is Command.RUN:
            self.start_time_s = arguments["start_time_s"]
            self.tasks = [self.loop.create_task(self.run_fault(fault)) for fault in self.scenario.faults]
            self.tasks += [self.loop.create_task(self.run_traffic())]
        elif command is Command.SAVE_RECORDING:
            await asyncio.gather(*(task for task in self.tasks if task.done()))  # a failure ends the process
            self.is_recording_closed = True
            Path(arguments["path"]).write_bytes(pickle.dumps(self.finish_recording()))

    async def start(self) -> None:
        """Listen."""

    async def run_traffic(self) -> None:
        """Send what this process sends."""

    async def run_fault(self, fault: Fault) -> None:
        """Carry out one fault of the scenario, where this process carries it out."""

    def finish_recording(self) -> Recording:
        """The complete recording."""
        return self.recording
