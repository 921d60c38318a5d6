"""One cluster run: starts routers and fakes as processes, injects router faults, evaluates the recordings."""

from __future__ import annotations

import asyncio
import pickle
import signal
import socket
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from cedarthread.testing.cluster.endpoint_timeline import EndpointListTimeline
from cedarthread.testing.cluster.evaluation import evaluate
from cedarthread.testing.cluster.facts import RouterStarted
from cedarthread.testing.cluster.plan import CALL_DEADLINE_MS, ClusterPlan, InheritedSocket, router_host
from cedarthread.testing.cluster.process_base import Command
from cedarthread.testing.cluster.process_handle import FakeProcessHandle
from cedarthread.testing.cluster.router_files import RouterAddresses
from cedarthread.testing.cluster.router_processes import RouterProcesses, reserve_port
from cedarthread.testing.cluster.scenario import FAULT_TARGET_KINDS, Fault, FaultKind, NodeKind, Scenario

if TYPE_CHECKING:
    from pathlib import Path

    from cedarthread.testing.cluster.result import Result

FAILURE_MARKERS = (" rule_violated ", "Traceback")  # A router's log line with one of these is a violation.
ROUTERS_PER_PROCESS = 50  # Maximum routers per fake process for clients, peer relays and discovery servers.
# Time from the RUN command to the start of traffic, so that every process has received it.
START_LEAD_S = 0.2
LAST_RESPONSES_S = 0.3  # Time after the last call's deadline in which the last responses arrive.
# By the operators' acceptance rules: the longest deadline, but at most 3 s, plus 0.7 s.
SIGKILL_AFTER_SIGTERM_S = min(3.0, CALL_DEADLINE_MS / 1000.0) + 0.7


class ClusterRun:
    """A run of a scenario; owns all processes and reserved sockets of the run.

    Args:
        scenario: The scenario to run.
        folder: An existing folder for the files of all processes.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.start_time_s = self.loop.time()
        self.cpu_at_warm_up_s = 0.0
        self.router_starts: list[RouterStarted] = []
        self.routers = RouterProcesses(scenario, folder)
        self.worker_sockets = [reserve_port() for _ in range(scenario.worker_count)]
        self.relay_sockets = [_bind_udp() for _ in range(scenario.router_count)]
        self.discovery_sockets = [_bind_udp() for _ in range(scenario.router_count)]
        self.moved_discovery_sockets = [_bind_udp() for _ in range(scenario.router_count)]
        client_processes = 1 + (scenario.router_count - 1) // ROUTERS_PER_PROCESS
        self.plan = ClusterPlan(
            scenario,
            client_processes,
            self.routers.ports,
            [_port_of(reserved) for reserved in self.worker_sockets],
            [InheritedSocket(reserved.fileno(), _port_of(reserved)) for reserved in self.relay_sockets],
            [InheritedSocket(reserved.fileno(), _port_of(reserved)) for reserved in self.discovery_sockets],
            [
                InheritedSocket(reserved.fileno(), _port_of(reserved))
                for reserved in self.moved_discovery_sockets
            ],
        )
        inherited_descriptors = [
            reserved.descriptor
            for reserved in (
                *self.plan.peer_relays,
                *self.plan.discovery_servers,
                *self.plan.moved_discovery_servers,
            )
        ]
        self.fake_processes = [  # Process 0 runs the workers.
            FakeProcessHandle(folder, number, inherited_descriptors if number else [])
            for number in range(1 + client_processes)
        ]

    async def run(self) -> Result:
        """Start all processes, wait until the timeline ends, stop all processes and return the evaluation."""
        scenario = self.scenario
        numbers = range(self.scenario.router_count)
        try:
            await self.start()
            await asyncio.sleep(scenario.settle_s)
            self.start_time_s = self.loop.time() + START_LEAD_S
            self.routers.start_unix_s = time.time() + START_LEAD_S
            await self.command_all(Command.RUN, start_time_s=self.start_time_s)
            await asyncio.gather(
                self._measure_warm_up_cpu(), *(self._run_fault(fault) for fault in scenario.faults)
            )
            await self._wait_until(scenario.end_s + CALL_DEADLINE_MS / 1000.0 + LAST_RESPONSES_S)
            cpu_s = sum(map(self.routers.cpu_seconds, numbers)) - self.cpu_at_warm_up_s
            recordings = [await process.fetch_recording() for process in self.fake_processes]
        finally:
            exit_codes = await self.end()
        unexpected = {number: code for number, code in exit_codes.items() if code not in (0, -signal.SIGKILL)}
        result = evaluate(scenario, recordings, cpu_s, unexpected, self.router_starts)
        result.violations += self._logged_failures()
        return result

    def _logged_failures(self) -> list[str]:
        """Return a violation for each log line of a router that reports a violated rule or an exception."""
        return [
            f"log of router {number}: {line}"
            for number in range(self.scenario.router_count)
            for line in self.routers.read_log(number).splitlines()
            if any(marker in line for marker in FAILURE_MARKERS)
        ]

    async def start(self) -> None:
        """Start all processes; return when all routers accept connections and all clients are connected."""
        (self.folder / "plan").write_bytes(pickle.dumps(self.plan))
        await asyncio.gather(*(process.start() for process in self.fake_processes))
        faultless_timeline = EndpointListTimeline(replace(self.scenario, faults=()), self.plan.worker_ports)
        known_endpoints = [
            {"name": worker.name, "address": f"127.0.0.1:{worker.port}", "zone": "room-a", "type": "std"}
            | {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}
            for worker in faultless_timeline.list_at(0.0, 0).workers
        ]
        peers = [f"127.0.0.1:{relay.port}" for relay in self.plan.peer_relays]
        router_numbers = range(self.scenario.router_count)
        for number in router_numbers:
            addresses = RouterAddresses(
                discovery_port=self.plan.discovery_servers[number].port,
                moved_discovery_port=self.plan.moved_discovery_servers[number].port,
                peer_address=f"{router_host(number)}:{self.plan.peer_relays[number].port}",
                peers=peers,
            )
            self.routers.write_config(number, known_endpoints, addresses)
            self.routers.start(number)
            if number == 0:  # Router 0 compiles the modules for all routers.
                await self.routers.wait_until_ready(number)
        await asyncio.gather(*map(self.routers.wait_until_ready, router_numbers))
        await self.command_all(Command.CONNECT, routers=list(router_numbers))

    async def command_all(self, command: Command, **arguments: object) -> None:
        """Send a command to all fake processes."""
        await asyncio.gather(*(process.send_command(command, **arguments) for process in self.fake_processes))

    async def end(self) -> dict[int, int]:
        """Stop all processes, close the reserved sockets and return the exit codes by router number."""
        exit_codes = self.routers.stop_all()
        await asyncio.gather(*(process.kill() for process in self.fake_processes))
        for reserved in (
            *self.worker_sockets,
            *self.relay_sockets,
            *self.discovery_sockets,
            *self.moved_discovery_sockets,
        ):
            reserved.close()
        return exit_codes

    async def _wait_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self.start_time_s + at_s - self.loop.time()))

    async def _measure_warm_up_cpu(self) -> None:
        await self._wait_until(self.scenario.warm_up_s)
        self.cpu_at_warm_up_s = sum(map(self.routers.cpu_seconds, range(self.scenario.router_count)))

    async def _run_fault(self, fault: Fault) -> None:
        if FAULT_TARGET_KINDS.get(fault.kind) is not NodeKind.ROUTER:
            return
        numbers = fault.targets.numbers
        await self._wait_until(fault.start_s)
        for number in numbers:
            self.routers.begin_fault(fault, number)
        if fault.kind is FaultKind.RESTART_ROUTER:
            self._record_starts(numbers)
            await self._reconnect_clients(numbers)
        if fault.kind is FaultKind.TERMINATE_ROUTER:
            await self._wait_until(fault.start_s + SIGKILL_AFTER_SIGTERM_S)
            for number in numbers:
                self.routers.send_signal(number, signal.SIGKILL)
        if fault.end_s < self.scenario.end_s:
            await self._wait_until(fault.end_s)
            for number in numbers:
                self.routers.end_fault(fault, number)
            if fault.kind in (FaultKind.KILL_ROUTER, FaultKind.TERMINATE_ROUTER):
                self._record_starts(numbers)
                await self._reconnect_clients(numbers)

    def _record_starts(self, numbers: range) -> None:
        at_ms = 1000.0 * (self.loop.time() - self.start_time_s)
        self.router_starts += [RouterStarted(at_ms, number) for number in numbers]

    async def _reconnect_clients(self, numbers: range) -> None:
        """Connect the client of each router as soon as the router accepts connections again."""

        async def reconnect(number: int) -> None:
            await self.routers.wait_until_ready(number)
            process = self.fake_processes[1 + number % self.plan.client_process_count]
            await process.send_command(Command.CONNECT, routers=[number])

        await asyncio.gather(*map(reconnect, numbers))


def _bind_udp() -> socket.socket:
    """Return a UDP socket that is bound to a free port of loopback."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    return bound


def _port_of(bound: socket.socket) -> int:
    return int(bound.getsockname()[1])
