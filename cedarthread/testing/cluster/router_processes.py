"""The router processes of one run and the faults at routers. ``stop_all`` stops each process by its id."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.router_files import RouterAddresses, RouterFiles
from cedarthread.testing.cluster.scenario import Fault, FaultKind, NodeKind, Scenario

if TYPE_CHECKING:
    from collections.abc import Sequence

READY_TIMEOUT_S = 60.0  # Maximum time from the start of a router until it accepts connections.
READY_POLL_S = 0.05  # Interval between two connection attempts to a router that is starting.
STOP_TIMEOUT_S = 10  # Time from SIGTERM to SIGKILL for a router that does not end.
LOG_TAIL_CHARACTERS = 300  # Length of the end of the log in the error for a router that ended early.
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
CONTROL_FILE_FAULTS = (
    FaultKind.SHIFT_CLOCK,
    FaultKind.CLOCK_RATE,
    FaultKind.DISK,
    FaultKind.SYSTEM_CALLS,
)


class RouterProcesses:
    """The router processes of one run, their files and their ports.

    For each port, the instance owns a bound socket that does not listen, so that the port stays reserved
    while the router's process is down.

    Args:
        scenario: The scenario of the run.
        folder: The folder for the routers' files and the compiled modules.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        numbers = range(scenario.router_count)
        self._reserved_sockets = [reserve_port() for _ in numbers]
        self.ports = [int(reserved.getsockname()[1]) for reserved in self._reserved_sockets]
        self.files = [RouterFiles(scenario, folder, number) for number in numbers]
        self.start_unix_s = 0.0  # Start of traffic as Unix time in s; ``ClusterRun`` sets it.
        self.processes: dict[int, subprocess.Popen[bytes]] = {}  # Latest process by router number.
        self._ended_cpu_s: dict[int, float] = {}  # CPU time of a router's processes that were killed.
        # The routers share one cache of compiled modules, because compiling takes 1 s of CPU per process.
        self._environment = {
            name: value for name, value in os.environ.items() if name != "PYTHONDONTWRITEBYTECODE"
        }
        self._environment["PYTHONPYCACHEPREFIX"] = str(folder / "compiled")
        faulty = {fault.targets for fault in scenario.faults if fault.kind in CONTROL_FILE_FAULTS}
        self.routers_with_control_files = {
            number
            for number in numbers
            if any(targets.includes(NodeKind.ROUTER, number) for targets in faulty)
        }

    def write_config(
        self, number: int, known_endpoints: Sequence[dict[str, Any]], addresses: RouterAddresses
    ) -> None:
        """Write the configuration and control files of one router."""
        self.files[number].write(self.ports[number], known_endpoints, addresses)

    def start(self, number: int) -> None:
        """Start a router's process; use ``router_entry`` if a fault or an injected defect requires it."""
        files = self.files[number]
        scenario = self.scenario
        module = "cedarthread"
        arguments = []
        if number in self.routers_with_control_files or scenario.injected_defect:
            disk = str(files.disk) if scenario.has_store else ""
            module = "cedarthread.testing.cluster.router_entry"
            arguments = [str(files.clock), disk, str(files.system_calls), scenario.injected_defect]
        options = ["--fleet", str(files.fleet_config)] if files.fleet_config.exists() else []
        with files.log.open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments, "serve", "--log", "warning", *options],
                env=self._environment | {"BALANCER_CONFIG": str(files.config)},
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def wait_until_ready(self, number: int) -> None:
        """Return when a router accepts connections.

        Raises:
            OSError: The process ended first; the message contains the end of its log.
            TimeoutError: The router did not accept connections within ``READY_TIMEOUT_S``.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if self.processes[number].poll() is not None:
                    raise OSError(
                        f"router {number} exited early: {self.read_log(number)[-LOG_TAIL_CHARACTERS:]}"
                    )
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
                    writer.transport.abort()
                    return
                await asyncio.sleep(READY_POLL_S)

    def read_log(self, number: int) -> str:
        """Return the log of a router: warnings and errors of all its processes."""
        return self.files[number].log.read_text(errors="replace")

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a router's process, unless the process has ended."""
        if signal_number is signal.SIGKILL:
            self._ended_cpu_s[number] = self.cpu_seconds(number)
        if self.processes[number].poll() is None:
            self.processes[number].send_signal(signal_number)

    def cpu_seconds(self, number: int) -> float:
        """Return the CPU time in s that all processes of a router have used."""
        ended_s = self._ended_cpu_s.get(number, 0.0)
        try:
            stat = Path(f"/proc/{self.processes[number].pid}/stat").read_text()
        except OSError:
            return ended_s
        fields = stat.rpartition(")")[2].split()  # The first element is the third field of proc(5).
        return ended_s + (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND  # Fields utime, stime.

    def begin_fault(self, fault: Fault, number: int) -> None:
        """Start a fault at one router."""
        match fault.kind:
            case FaultKind.KILL_ROUTER:
                self.send_signal(number, signal.SIGKILL)
            case FaultKind.RESTART_ROUTER:
                self.send_signal(number, signal.SIGKILL)
                self.start(number)
            case FaultKind.TERMINATE_ROUTER:
                self.send_signal(number, signal.SIGTERM)
            case FaultKind.PAUSE_ROUTER:
                self.send_signal(number, signal.SIGSTOP)
            case _:
                self._change_files(fault, number)

    def _change_files(self, fault: Fault, number: int) -> None:
        """Start a fault by changing a file; send SIGHUP if the router reads the file only on that signal."""
        files = self.files[number]
        match fault.kind:
            case FaultKind.SYSTEM_CALLS:
                files.set_failing_system_calls(fault.amount)
            case FaultKind.SHIFT_CLOCK:
                files.set_clock(offset_ms=fault.amount)
            case FaultKind.CLOCK_RATE:
                files.set_clock(rate=fault.amount)
            case FaultKind.DISK:
                files.set_disk_fault(fault.text, fault.amount)
            case FaultKind.MOVE_DISCOVERY:
                files.set_discovery_port(files.moved_discovery_port)
                self.send_signal(number, signal.SIGHUP)
            case FaultKind.FLEET_CONFIG:
                files.write_fleet_config(fault.text, self.start_unix_s)
                self.send_signal(number, signal.SIGHUP)
            case FaultKind.RELOAD_SETTINGS:
                files.change_settings(fault.text)
                self.send_signal(number, signal.SIGHUP)

    def end_fault(self, fault: Fault, number: int) -> None:
        """End a fault at one router. A fleet config and reloaded settings stay in effect."""
        match fault.kind:
            case FaultKind.KILL_ROUTER | FaultKind.TERMINATE_ROUTER:
                self.start(number)
            case FaultKind.MOVE_DISCOVERY:
                self.files[number].set_discovery_port(self.files[number].discovery_port)
                self.send_signal(number, signal.SIGHUP)
            case FaultKind.SYSTEM_CALLS:
                self.files[number].set_failing_system_calls()
            case FaultKind.PAUSE_ROUTER:
                self.send_signal(number, signal.SIGCONT)
            case FaultKind.SHIFT_CLOCK | FaultKind.CLOCK_RATE:
                self.files[number].set_clock()
            case FaultKind.DISK:
                self.files[number].set_disk_fault()

    def stop_all(self) -> dict[int, int]:
        """Stop all routers, and return the exit code of each router's latest process."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        exit_codes: dict[int, int] = {}
        for number, process in self.processes.items():
            try:
                exit_codes[number] = process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[number] = process.wait()
        for reserved in self._reserved_sockets:
            reserved.close()
        return exit_codes


def reserve_port() -> socket.socket:
    """Return a socket that reserves a free TCP port of loopback and does not listen."""
    reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved
