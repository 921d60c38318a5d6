"""The base class of both kinds of fake process: commands, clock, recording and simulated network paths."""

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

# Before the RUN command, traffic is assumed to start this far in the future, so that no fault is active.
NOT_STARTED_S = 1e6


class Command(StrEnum):
    """A command of the harness to a fake process: the value of ``do`` in a line of JSON."""

    START = "start"  # Never sent. A process reports START once it listens.
    CONNECT = "connect"  # ``routers``: numbers of the routers that clients connect to.
    RUN = "run"  # ``start_time_s``: start of traffic, by the machine's monotonic clock.
    SAVE_RECORDING = "save recording"  # ``path``: path of the file to write.


class FakeProcess:
    """A fake process; owns its recording and tasks. Subclasses listen, send traffic and carry out faults.

    Args:
        plan: The plan of the run.
        number: The number of this process; 0 runs the workers.
    """

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        self.plan = plan
        self.scenario = plan.scenario
        self.number = number
        self.loop = asyncio.get_running_loop()
        self.start_time_s = self.loop.time() + NOT_STARTED_S
        self.network = Network(plan.scenario.faults, 1000 * plan.scenario.seed + number)
        self.recording = Recording()
        self.is_recording_closed = False  # True from SAVE_RECORDING on; later facts come from the shutdown.
        self.tasks: list[asyncio.Task[None]] = []

    def now_ms(self) -> float:
        """Return the time since the start of traffic in ms."""
        return (self.loop.time() - self.start_time_s) * 1000.0

    def record(self, fact: Fact) -> None:
        """Record a fact, unless the recording is closed."""
        if not self.is_recording_closed:
            self.recording.facts.append(fact)

    def call_after(self, delay_ms: float, callback: Callable[[], object]) -> None:
        """Call after a delay in ms; without a delay, call before returning."""
        if delay_ms <= 0.0:
            callback()
        else:
            self.loop.call_later(delay_ms / 1000.0, callback)

    async def wait_until(self, at_s: float) -> None:
        """Wait until a time in s since the start of traffic."""
        await asyncio.sleep(max(0.0, at_s - self.now_ms() / 1000.0))

    async def on_command(self, command: Command, arguments: dict[str, Any]) -> None:
        """Carry out a command of the harness."""
        if command is Command.RUN:
            self.start_time_s = arguments["start_time_s"]
            self.tasks = [self.loop.create_task(self.run_fault(fault)) for fault in self.scenario.faults]
            self.tasks += [self.loop.create_task(self.run_traffic())]
        elif command is Command.SAVE_RECORDING:
            await asyncio.gather(*(task for task in self.tasks if task.done()))  # Raises a task's exception.
            self.is_recording_closed = True
            Path(arguments["path"]).write_bytes(pickle.dumps(self.finish_recording()))

    async def start(self) -> None:
        """Start listening."""

    async def run_traffic(self) -> None:
        """Send the traffic of this process."""

    async def run_fault(self, fault: Fault) -> None:
        """Carry out one fault of the scenario; ignore kinds of faults that other processes carry out."""

    def finish_recording(self) -> Recording:
        """Return the complete recording."""
        return self.recording
