"""A process of stand-ins: all runners and their store, or clients, relays and resolvers of some routers.

    python -m cedarthread.testing.cluster.fake_process FOLDER NUMBER

FOLDER holds the plan. Number 0 stands for the runners, each other one for a part of the routers. Orders come
as lines of JSON, and each is answered by one; the book of what was seen is written at the end. Facts carry
times of one clock that all processes of a machine share, so that the judge can put the books together.
"""

from __future__ import annotations

import asyncio
import gc
import json
import pickle
import random
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from cedarthread.testing.cluster.network import Network
from cedarthread.testing.cluster.policy_replay import Arrival, runners, schedule
from cedarthread.testing.cluster.recordings import Book, Plan
from cedarthread.testing.cluster.scenario import Fault, Scenario
from cedarthread.testing.fakes.client import Client, health, pack_call
from cedarthread.testing.fakes.discovery_server import Listed, ResolverServer
from cedarthread.testing.fakes.worker_model import Visit
from cedarthread.testing.fakes.worker_server import RunnerServer

DEADLINE = 3000.0  # ms
BEFORE = 1e6  # s
WAY = 2.0  # ms from a router to a runner
LISTED = 0.05  # s after its return that a runner is listed with its new start


def home(number: int) -> str:
    """The address from which a router talks to others."""
    return f"127.3.{number >> 8}.{number & 255}"


class Lists:
    """What each router's resolver lists when: by the timeline alone, alike in each process."""

    def __init__(self, scenario: Scenario, ports: list[int]) -> None:
        self.scenario, self.ports = scenario, ports
        end = scenario.warm_up + scenario.seconds
        self.hides = [f for f in scenario.faults if f.kind == "hide"]
        self.back = [f for f in scenario.faults if f.kind == "die" and f.until < end]
        self.changes = [at for f in self.hides for at in (f.at, f.until)]
        self.changes += [f.until + LISTED for f in self.back]
        self.made: dict[tuple[int, frozenset[int]], tuple[Listed, ...]] = {}

    def at(self, now: float, router: int) -> tuple[int, tuple[Listed, ...]]:
        """The serial and the list at a time in ms."""
        now, count = now / 1000.0, range(self.scenario.runners)
        serial, hidden = 1 + sum(at <= now for at in self.changes), set[int]()
        for fault in self.hides:
            if fault.holds(now) and fault.to is not None and fault.to.has("router", router):
                hidden |= {n for n in count if fault.who.has("runner", n)}
        key = serial, frozenset(hidden)
        if key not in self.made:
            self.made[key] = tuple(
                Listed(f"s-{n + 1:08x}", self.ports[n], started=self._started(now, n))
                for n in count
                if n not in hidden
            )
        return serial, self.made[key]

    def _started(self, now: float, number: int) -> float:
        back = [f.until for f in self.back if f.until + LISTED <= now and f.who.has("runner", number)]
        return 1000.0 * (1.0 + max(back)) if back else 0.0


class Part:
    """What both kinds have: the clock, the book, the network, the timeline."""

    def __init__(self, plan: Plan, number: int) -> None:
        self.plan, self.scenario, self.number = plan, plan.scenario, number
        self.loop = asyncio.get_running_loop()
        self.zero = self.loop.time() + BEFORE  # nothing of the timeline holds before it is told to go
        self.network = Network(plan.scenario.faults, 1000 * plan.scenario.seed + number)
        self.book = Book()
        self.closed = False  # the book is: what comes now is the end of the run itself
        self.tasks: list[asyncio.Task[None]] = []

    def clock(self) -> float:
        """ms since the traffic began."""
        return (self.loop.time() - self.zero) * 1000.0

    def fact(self, kind: str, *what: Any) -> None:
        """Put one down."""
        if not self.closed:
            self.book.facts.append((self.clock(), kind, *what))

    def after(self, wait: float, then: Callable[[], Any]) -> None:
        """Do it after so many ms, or at once."""
        if wait <= 0.0:
            then()
        else:
            self.loop.call_later(wait / 1000.0, then)

    async def until(self, at: float) -> None:
        """Wait till so many s after the beginning."""
        await asyncio.sleep(max(0.0, at - self.clock() / 1000.0))

    async def order(self, told: dict[str, Any]) -> None:
        """Do what the rig says."""
        if told["do"] == "go":
            self.zero = told["zero"]
            self.tasks = [self.loop.create_task(self.fault(fault)) for fault in self.scenario.faults]
            self.tasks += [self.loop.create_task(self.traffic())]
        elif told["do"] == "book":
            await asyncio.gather(*(task for task in self.tasks if task.done()))  # a failure ends the process
            self.closed = True
            Path(told["to"]).write_bytes(pickle.dumps(self.finish()))

    async def start(self) -> None:
        """Listen."""

    async def traffic(self) -> None:
        """What goes out."""

    async def fault(self, fault: Fault) -> None:
        """Do one fault of the timeline, where it is done here."""

    def finish(self) -> Book:
        """The book, whole."""
        return self.book


class RunnersPart(Part):
    """All runners, and the store behind them."""

    def __init__(self, plan: Plan, number: int) -> None:
        super().__init__(plan, number)
        self.read: float | None = None  # when this turn of the loop began to read
        self.servers = [
            RunnerServer(
                model,
                self.clock,
                self._passes(model.number),
                self.handed,
                self.came,
                self.went,
                self.gave_up,
            )
            for model in runners(plan.scenario)
        ]

    async def start(self) -> None:
        """Listen at the ports of the plan."""
        for server, port in zip(self.servers, self.plan.runners, strict=True):
            server.port = port
            await server.start()

    def _passes(self, runner: int) -> Any:
        def passes(name: str, there: bool, then: Any) -> None:
            router = ("router", int(name[:4], 16))
            a, b = (router, ("runner", runner)) if there else (("runner", runner), router)
            wait = self.network.stream(self.clock(), a, b)
            self.after(max(wait, WAY) if there else wait, then)

        return passes

    def came(self, visit: Visit) -> None:
        """A call came whole to a runner."""
        if not self.closed:
            self.book.visits.append(visit)

    def handed(self, name: str, runner: int) -> None:
        """A router has let go of a call."""
        if not self.closed:
            now = self.turn()
            self.book.facts.append((now + WAY, "handed", name, runner, now))

    def went(self, visit: Visit) -> None:
        """A call left its runner, or was lost there."""
        self.fact("went", visit.name, visit.runner, visit.note)

    def gave_up(self, name: str, runner: int) -> None:
        """A router said that it waits no more."""
        if not self.closed:
            self.book.facts.append((self.turn(), "gave_up", name, runner))

    def turn(self) -> float:
        """One time for all that is read in a turn of the loop. It is read in no order of when it was sent:
        what gives a call up must not seem to come after the repeat that followed it on another connection."""
        if self.read is None:
            self.read = self.clock()
            self.loop.call_soon(self._turned)
        return self.read

    def _turned(self) -> None:
        self.read = None

    async def fault(self, fault: Fault) -> None:
        """Runners die, come back, slow down, fall silent."""
        if fault.kind not in ("die", "slow", "silent"):
            return
        which = self.servers[fault.who.first : fault.who.last + 1]
        await self.until(fault.at)
        for server in which:
            if fault.kind == "die":
                server.die()
            elif fault.kind == "slow":
                server.model.slow = fault.figure
            else:
                server.silent = True
        if fault.until >= self.scenario.warm_up + self.scenario.seconds:
            return
        await self.until(fault.until)
        for server in which:
            if fault.kind == "die":
                await server.start()
            elif fault.kind == "slow":
                server.model.slow = 1.0
            else:
                server.silent = False

    def finish(self) -> Book:
        """With what servers and models kept themselves."""
        for server in self.servers:
            number = server.model.number
            self.book.late += server.late
            self.book.connections += [(at, number) for at in server.accepted]
            self.book.placed += [(at, function, number) for at, function in server.model.placed]
        return self.book


class _Relay(asyncio.DatagramProtocol):
    """Stands for one router towards all others."""

    def __init__(self, front: FrontPart, number: int) -> None:
        self.front, self.number = front, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.front.datagram(addr, self.number, data)


class FrontPart(Part):
    """Clients, relays and resolvers of the routers whose number leaves ``number - 1`` by the parts."""

    def __init__(self, plan: Plan, number: int) -> None:
        super().__init__(plan, number)
        self.mine = range(number - 1, plan.scenario.routers, plan.parts)
        self.rng = random.Random(1000 * plan.scenario.seed + number)
        self.lists = Lists(plan.scenario, plan.runners)
        self.odd = [f for f in plan.scenario.faults if f.kind in ("mute", "spoilt")]
        self.clients: dict[int, Client] = {}
        # The calls that each client waits for: number and name.
        self.open: dict[int, dict[int, str]] = {n: {} for n in self.mine}
        self.where = {(home(n), port): n for n, (_, port) in enumerate(plan.relays)}
        # What a relay gets may go out in another's name, whose process only that part of it shares.
        self.sockets = [socket.socket(fileno=fd) for fd, _ in plan.relays]
        for one in self.sockets:
            one.setblocking(False)

    async def start(self) -> None:
        """Take up the sockets of the plan that are of this part."""
        for number in self.mine:
            relay = _Relay(self, number)
            await self.loop.create_datagram_endpoint(lambda r=relay: r, sock=self.sockets[number].dup())  # type: ignore[misc]
            resolver = ResolverServer(
                lambda n=number: self.lists.at(self.clock(), n),  # type: ignore[misc]
                "room-a",
                lambda make, give, n=number: self.question(n, make, give),  # type: ignore[misc]
            )
            await resolver.start(socket.socket(fileno=self.plan.resolvers[number][0]))

    async def order(self, told: dict[str, Any]) -> None:
        """Clients come, and what a router that stood still was asked is given up."""
        if told["do"] == "connect":
            await asyncio.gather(*(self.connect(n) for n in told["routers"] if n in self.mine))
        await super().order(told)

    # Between routers, and to the resolver.

    def datagram(self, addr: tuple[str, int], to: int, data: bytes) -> None:
        """A router sent a datagram to another."""
        sender, now = self.where.get((addr[0], addr[1])), self.clock()
        if sender is None or sender == to or self.closed:
            return
        self.book.peers.append((now, sender, data[0] if data else 0, len(data)))
        delays = self.network.datagram(now, ("router", sender), ("router", to))
        self.book.datagrams["passed" if delays else "dropped"] += max(1, len(delays))
        for delay in delays:
            self.after(delay, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        try:
            self.sockets[sender].sendto(data, (home(to), self.plan.relays[to][1]))
        except OSError:  # a full buffer loses it, as networks do
            self.book.datagrams["dropped"] += 1

    def question(self, router: int, make: Callable[[], bytes], give: Callable[[bytes], None]) -> None:
        """A router asked its resolver."""
        now = self.clock()
        if not self.closed:
            self.book.questions.append((now, router))
        odd = [f for f in self.odd if f.holds(now / 1000.0) and f.who.has("resolver", router)]
        if any(fault.kind == "mute" for fault in odd):
            return
        for delay in self.network.datagram(now, ("router", router), ("resolver", router)):
            whole = make()
            if any(self.rng.random() < fault.figure for fault in odd):
                whole = spoilt(whole, self.rng)
            self.after(delay, lambda w=whole: give(w))  # type: ignore[misc]

    # Clients.

    async def connect(self, number: int) -> None:
        """A client of a router."""

        def told(call: int, kind: str, body: bytes) -> None:
            wait = self.network.stream(self.clock(), ("router", number), ("client", number))
            self.after(wait, lambda: self._answered(number, call, kind, body))

        client = Client(told, lambda: self.left(number))
        await self.loop.create_connection(lambda: client, "127.0.0.1", self.plan.routers[number])
        client.send(health())  # a connection has little time for its first message
        self.clients[number] = client

    def left(self, number: int) -> None:
        """Nobody waits any more for what this client asked."""
        for name in self.open[number].values():
            self.fact("left", name)
        self.open[number].clear()

    def _answered(self, client: int, call: int, kind: str, body: bytes) -> None:
        if (name := self.open[client].pop(call, None)) is not None:
            self.fact("answered", name, kind, body)

    async def traffic(self) -> None:
        """The calls of the schedule that are of this part, each at its time whatever became of others."""
        for serial, arrival in enumerate(schedule(self.scenario)):
            if arrival.router not in self.mine:
                continue
            if (wait := arrival.at - self.clock()) > 0.0:
                await asyncio.sleep(wait / 1000.0)
            elif serial % 32 == 0:
                await asyncio.sleep(0.0)
            self.book.late.append(max(0.0, self.clock() - arrival.at))
            router = self._takes(arrival.router)
            if router < 0:
                self.fact("no router", arrival.name)
            else:
                self._ask(serial, arrival, router)

    def _ask(self, serial: int, arrival: Arrival, router: int) -> None:
        client, klass = self.clients[router], "confirm" if arrival.unsafe else "check"
        name = f"{router:04x}{arrival.name[4:]}"
        fields = {"txn": name, "limit": f"{DEADLINE:.0f}", "item": f"{arrival.function:016x}"}
        fields |= {"props": f"lanes:{self.scenario.lanes}"} | (
            {"tenant": arrival.tenant} if arrival.tenant else {}
        )
        data = pack_call(serial, klass, f"{arrival.need:.3f}".encode(), fields)
        now = self.clock()
        self.fact("taken", name, klass, now + DEADLINE, arrival.tenant)
        self.open[router][serial] = name
        wait = self.network.stream(now, ("client", router), ("router", router))
        self.after(wait, lambda: client.send(data))

    def _takes(self, router: int) -> int:
        """The router that takes a call: the client's own, or any other that is there; -1 for none."""
        if self._there(router):
            return router
        left = [number for number in self.clients if self._there(number)]
        return self.rng.choice(left) if left else -1

    def _there(self, router: int) -> bool:
        client = self.clients.get(router)
        return client is not None and client.transport is not None

    async def fault(self, fault: Fault) -> None:
        """What came to a router that stood still has been given up by the time that it goes on."""
        if fault.kind == "stop":
            end = self.scenario.warm_up + self.scenario.seconds
            await self.until((fault.until if fault.until < end else end + DEADLINE / 1000.0) - 0.02)
            for number in self.mine:
                if fault.who.has("router", number):
                    self.left(number)


def spoilt(data: bytes, rng: random.Random) -> bytes:
    """A reply cut short, or with a byte changed."""
    at = rng.randrange(len(data))
    if rng.random() < 0.5:
        return data[:at]
    return data[:at] + bytes((data[at] ^ rng.randrange(1, 256),)) + data[at + 1 :]


async def main(folder: Path, number: int) -> None:
    """Do what the lines on the standard input say, till it ends."""
    plan = cast(Plan, pickle.loads((folder / "plan").read_bytes()))
    part = FrontPart(plan, number) if number else RunnersPart(plan, number)
    await part.start()
    gc.disable()  # a short life, and books that only grow: its pauses would pass for the routers'
    lines = asyncio.StreamReader()
    await part.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    print(json.dumps({"did": "start"}), flush=True)
    while line := await lines.readline():
        told = json.loads(line)
        await part.order(told)
        print(json.dumps({"did": told["do"]}), flush=True)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
