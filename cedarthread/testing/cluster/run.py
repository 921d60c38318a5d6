"""One run: routers and stand-ins as processes, what befalls routers by the timeline, books at the end."""

from __future__ import annotations

import asyncio
import json
import pickle
import signal
import socket
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from cedarthread.testing.cluster.evaluation import Result, evaluate
from cedarthread.testing.cluster.fake_process import CALL_DEADLINE_MS, EndpointListTimeline, router_host
from cedarthread.testing.cluster.recordings import ClusterPlan, Recording
from cedarthread.testing.cluster.router_processes import RouterProcesses, reserve_port
from cedarthread.testing.cluster.scenario import FAULT_SUBJECTS, Fault, Scenario

ROUTERS_PER_PROCESS = 50  # routers that one process of stand-ins bears
START_LEAD_S = 0.2  # s from the word to go until traffic begins, so that all processes have heard it


class FakeProcessHandle:
    """One process of stand-ins."""

    def __init__(self, folder: Path, number: int, descriptors: list[int]) -> None:
        self.folder, self.number, self.descriptors = folder, number, descriptors
        self.process: asyncio.subprocess.Process | None = None
        self._command_lock = asyncio.Lock()  # one order at a time: answers carry no number

    async def start(self) -> None:
        """Till its sockets listen."""
        self.process = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-m",
                "cedarthread.testing.cluster.fake_process",
                str(self.folder),
                str(self.number),
            ),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            pass_fds=self.descriptors,
            start_new_session=True,  # an interrupt of the terminal is the rig's to take, which then ends them
        )
        await self._read_reply("start")

    async def send_command(self, do: str, **what: Any) -> None:
        """Till it has done what it is told."""
        assert self.process is not None and self.process.stdin is not None
        async with self._command_lock:
            self.process.stdin.write(json.dumps({"do": do} | what).encode() + b"\n")
            await self._read_reply(do)

    async def _read_reply(self, what: str) -> None:
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line or json.loads(line)["did"] != what:
            raise OSError(f"stand-ins {self.number} failed at {what}: {line!r}")

    async def fetch_recording(self) -> Recording:
        """What it saw."""
        to = self.folder / f"book{self.number}"
        await self.send_command("book", to=str(to))
        return cast(Recording, pickle.loads(to.read_bytes()))

    async def kill(self) -> None:
        """End it."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class ClusterRun:
    """One run of one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.start_time_s = self.loop.time()
        self.routers = RouterProcesses(scenario, folder)
        self.worker_sockets = [reserve_port() for _ in range(scenario.runners)]
        self.relay_sockets, self.discovery_sockets = (
            [_bind_udp() for _ in range(scenario.routers)] for _ in range(2)
        )
        parts = 1 + (scenario.routers - 1) // ROUTERS_PER_PROCESS
        told = [
            [(one.fileno(), _port_of(one)) for one in kind]
            for kind in (self.relay_sockets, self.discovery_sockets)
        ]
        self.plan = ClusterPlan(
            scenario, parts, self.routers.ports, [_port_of(one) for one in self.worker_sockets], *told
        )
        shared = [fd for kind in told for fd, _ in kind]
        self.fake_processes = [FakeProcessHandle(folder, n, shared if n else []) for n in range(1 + parts)]

    async def run(self) -> Result:
        """Start, serve and end it all."""
        scenario = self.scenario
        try:
            await self.start()
            await asyncio.sleep(scenario.settle)
            self.start_time_s, self.routers.start_unix_s = (
                self.loop.time() + START_LEAD_S,
                time.time() + START_LEAD_S,
            )
            await self.command_all("go", zero=self.start_time_s)
            await asyncio.gather(
                self._measure_warm_up_cpu(), *(self._run_fault(n) for n in range(len(scenario.faults)))
            )
            await self._wait_until(scenario.warm_up + scenario.seconds + CALL_DEADLINE_MS / 1000.0 + 0.3)
            used = sum(self.routers.cpu_seconds(n) for n in range(scenario.routers)) - self.cpu_at_warm_up_s
            books = [await worker.fetch_recording() for worker in self.fake_processes]
        finally:
            codes = await self.end()
        odd = {n: code for n, code in codes.items() if code not in (0, -signal.SIGKILL)}
        return evaluate(scenario, books, used, odd)

    async def start(self) -> None:
        """All processes, till routers serve and clients are connected."""
        (self.folder / "plan").write_bytes(pickle.dumps(self.plan))
        await asyncio.gather(*(worker.start() for worker in self.fake_processes))
        known = [
            {"name": one.name, "address": f"127.0.0.1:{one.port}", "zone": "room-a", "type": "std"}
            | {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}
            for one in EndpointListTimeline(
                replace(self.scenario, faults=()), self.plan.worker_ports
            ).list_at(0.0, 0)[1]
        ]
        peers = [f"127.0.0.1:{port}" for _, port in self.plan.peer_relays]
        every = range(self.scenario.routers)
        for number, (_, port) in enumerate(self.plan.peer_relays):
            resolver = self.plan.discovery_servers[number][1]
            self.routers.write_config(number, known, resolver, peers, f"{router_host(number)}:{port}")
            self.routers.start(number)
            if not number:
                await self.routers.wait_until_ready(
                    number
                )  # the first one compiles the modules for all others
        await asyncio.gather(*(self.routers.wait_until_ready(number) for number in every))
        await self.command_all("connect", routers=list(every))

    async def command_all(self, do: str, **what: Any) -> None:
        """Tell all stand-ins."""
        await asyncio.gather(*(worker.send_command(do, **what) for worker in self.fake_processes))

    async def end(self) -> dict[int, int]:
        """End all processes; the exit codes of the routers."""
        codes = self.routers.stop_all()
        await asyncio.gather(*(worker.kill() for worker in self.fake_processes))
        for one in (*self.worker_sockets, *self.relay_sockets, *self.discovery_sockets):
            one.close()
        return codes

    async def _wait_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.start_time_s + at - self.loop.time()))

    async def _measure_warm_up_cpu(self) -> None:
        await self._wait_until(self.scenario.warm_up)
        self.cpu_at_warm_up_s = sum(self.routers.cpu_seconds(n) for n in range(self.scenario.routers))

    # What befalls routers.

    async def _run_fault(self, place: int) -> None:
        fault = self.scenario.faults[place]
        if FAULT_SUBJECTS.get(fault.kind) != "router":
            return
        which = range(fault.subjects.first, fault.subjects.last + 1)
        await self._wait_until(fault.start_s)
        for number in which:
            self._begin_fault(fault, number)
        if fault.kind == "restart":
            await self._reconnect_clients(which)
        if fault.end_s < self.scenario.warm_up + self.scenario.seconds:
            await self._wait_until(fault.end_s)
            for number in which:
                self._end_fault(fault, number)
            if fault.kind == "kill":
                await self._reconnect_clients(which)

    def _begin_fault(self, fault: Fault, number: int) -> None:
        if fault.kind in ("kill", "restart"):
            self.routers.send_signal(number, signal.SIGKILL)
            if fault.kind == "restart":
                self.routers.start(number)
        elif fault.kind == "stop":
            self.routers.send_signal(number, signal.SIGSTOP)
        elif fault.kind == "clock":
            self.routers.set_clock(number, off=fault.amount)
        elif fault.kind == "rate":
            self.routers.set_clock(number, rate=fault.amount)
        elif fault.kind == "disk":
            self.routers.set_disk_fault(number, fault.text, fault.amount)
        elif fault.kind == "declare":
            self.routers.reload_fleet_config(number, fault.text)
        elif fault.kind == "retune":
            self.routers.reload_settings(number, fault.text)

    def _end_fault(self, fault: Fault, number: int) -> None:
        if fault.kind == "kill":
            self.routers.start(number)
        elif fault.kind == "stop":
            self.routers.send_signal(number, signal.SIGCONT)
        elif fault.kind in ("clock", "rate"):
            self.routers.set_clock(number)
        elif fault.kind == "disk":
            self.routers.set_disk_fault(number)

    async def _reconnect_clients(self, which: range) -> None:
        """Each router that serves again has its client at once."""

        async def one(number: int) -> None:
            await self.routers.wait_until_ready(number)
            await self.fake_processes[1 + number % self.plan.client_process_count].send_command(
                "connect", routers=[number]
            )

        await asyncio.gather(*(one(number) for number in which))


def _bind_udp() -> socket.socket:
    """A UDP port of loopback."""
    one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    one.bind(("127.0.0.1", 0))
    return one


def _port_of(one: socket.socket) -> int:
    return int(one.getsockname()[1])
