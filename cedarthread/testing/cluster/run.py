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

from cedarthread.testing.cluster.evaluation import Result, judged
from cedarthread.testing.cluster.fake_process import DEADLINE, Lists, home
from cedarthread.testing.cluster.recordings import Book, Plan
from cedarthread.testing.cluster.router_processes import Fleet, reserve
from cedarthread.testing.cluster.scenario import AT, Fault, Scenario

A_PART = 50  # routers that one process of stand-ins bears
LEAD = 0.2  # s from the word to go until traffic begins, so that all processes have heard it


class Worker:
    """One process of stand-ins."""

    def __init__(self, folder: Path, number: int, descriptors: list[int]) -> None:
        self.folder, self.number, self.descriptors = folder, number, descriptors
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()  # one order at a time: answers carry no number

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
        await self._did("start")

    async def order(self, do: str, **what: Any) -> None:
        """Till it has done what it is told."""
        assert self.process is not None and self.process.stdin is not None
        async with self.lock:
            self.process.stdin.write(json.dumps({"do": do} | what).encode() + b"\n")
            await self._did(do)

    async def _did(self, what: str) -> None:
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line or json.loads(line)["did"] != what:
            raise OSError(f"stand-ins {self.number} failed at {what}: {line!r}")

    async def book(self) -> Book:
        """What it saw."""
        to = self.folder / f"book{self.number}"
        await self.order("book", to=str(to))
        return cast(Book, pickle.loads(to.read_bytes()))

    async def end(self) -> None:
        """End it."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Rig:
    """One run of one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.zero = self.loop.time()
        self.fleet = Fleet(scenario, folder)
        self.runners = [reserve() for _ in range(scenario.runners)]
        self.relays, self.resolvers = ([_udp() for _ in range(scenario.routers)] for _ in range(2))
        parts = 1 + (scenario.routers - 1) // A_PART
        told = [[(one.fileno(), _port(one)) for one in kind] for kind in (self.relays, self.resolvers)]
        self.plan = Plan(scenario, parts, self.fleet.ports, [_port(one) for one in self.runners], *told)
        shared = [fd for kind in told for fd, _ in kind]
        self.workers = [Worker(folder, n, shared if n else []) for n in range(1 + parts)]

    async def play(self) -> Result:
        """Start, serve and end it all."""
        scenario = self.scenario
        try:
            await self.start()
            await asyncio.sleep(scenario.settle)
            self.zero, self.fleet.zero = self.loop.time() + LEAD, time.time() + LEAD
            await self.all("go", zero=self.zero)
            await asyncio.gather(self._mark(), *(self._fault(n) for n in range(len(scenario.faults))))
            await self._until(scenario.warm_up + scenario.seconds + DEADLINE / 1000.0 + 0.3)
            used = sum(self.fleet.cpu(n) for n in range(scenario.routers)) - self.used
            books = [await worker.book() for worker in self.workers]
        finally:
            codes = await self.end()
        odd = {n: code for n, code in codes.items() if code not in (0, -signal.SIGKILL)}
        return judged(scenario, books, used, odd)

    async def start(self) -> None:
        """All processes, till routers serve and clients are connected."""
        (self.folder / "plan").write_bytes(pickle.dumps(self.plan))
        await asyncio.gather(*(worker.start() for worker in self.workers))
        known = [
            {"name": one.name, "address": f"127.0.0.1:{one.port}", "zone": "room-a", "type": "std"}
            | {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}
            for one in Lists(replace(self.scenario, faults=()), self.plan.runners).at(0.0, 0)[1]
        ]
        peers = [f"127.0.0.1:{port}" for _, port in self.plan.relays]
        every = range(self.scenario.routers)
        for number, (_, port) in enumerate(self.plan.relays):
            resolver = self.plan.resolvers[number][1]
            self.fleet.write(number, known, resolver, peers, f"{home(number)}:{port}")
            self.fleet.start(number)
            if not number:
                await self.fleet.ready(number)  # the first one compiles the modules for all others
        await asyncio.gather(*(self.fleet.ready(number) for number in every))
        await self.all("connect", routers=list(every))

    async def all(self, do: str, **what: Any) -> None:
        """Tell all stand-ins."""
        await asyncio.gather(*(worker.order(do, **what) for worker in self.workers))

    async def end(self) -> dict[int, int]:
        """End all processes; the exit codes of the routers."""
        codes = self.fleet.end()
        await asyncio.gather(*(worker.end() for worker in self.workers))
        for one in (*self.runners, *self.relays, *self.resolvers):
            one.close()
        return codes

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.zero + at - self.loop.time()))

    async def _mark(self) -> None:
        await self._until(self.scenario.warm_up)
        self.used = sum(self.fleet.cpu(n) for n in range(self.scenario.routers))

    # What befalls routers.

    async def _fault(self, place: int) -> None:
        fault = self.scenario.faults[place]
        if AT.get(fault.kind) != "router":
            return
        which = range(fault.who.first, fault.who.last + 1)
        await self._until(fault.at)
        for number in which:
            self._begin(fault, number)
        if fault.kind == "restart":
            await self._back(which)
        if fault.until < self.scenario.warm_up + self.scenario.seconds:
            await self._until(fault.until)
            for number in which:
                self._over(fault, number)
            if fault.kind == "kill":
                await self._back(which)

    def _begin(self, fault: Fault, number: int) -> None:
        if fault.kind in ("kill", "restart"):
            self.fleet.signal(number, signal.SIGKILL)
            if fault.kind == "restart":
                self.fleet.start(number)
        elif fault.kind == "stop":
            self.fleet.signal(number, signal.SIGSTOP)
        elif fault.kind == "clock":
            self.fleet.clock(number, off=fault.figure)
        elif fault.kind == "rate":
            self.fleet.clock(number, rate=fault.figure)
        elif fault.kind == "disk":
            self.fleet.disk(number, fault.what, fault.figure)
        elif fault.kind == "declare":
            self.fleet.declare(number, fault.what)
        elif fault.kind == "retune":
            self.fleet.retune(number, fault.what)

    def _over(self, fault: Fault, number: int) -> None:
        if fault.kind == "kill":
            self.fleet.start(number)
        elif fault.kind == "stop":
            self.fleet.signal(number, signal.SIGCONT)
        elif fault.kind in ("clock", "rate"):
            self.fleet.clock(number)
        elif fault.kind == "disk":
            self.fleet.disk(number)

    async def _back(self, which: range) -> None:
        """Each router that serves again has its client at once."""

        async def one(number: int) -> None:
            await self.fleet.ready(number)
            await self.workers[1 + number % self.plan.parts].order("connect", routers=[number])

        await asyncio.gather(*(one(number) for number in which))


def _udp() -> socket.socket:
    """A UDP port of loopback."""
    one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    one.bind(("127.0.0.1", 0))
    return one


def _port(one: socket.socket) -> int:
    return int(one.getsockname()[1])
