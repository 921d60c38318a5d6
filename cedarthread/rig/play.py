"""One run: routers as processes, stand-ins in this one, faults by the timeline, and what the ledger says."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, cast

from cedarthread.ledger.book import Figures, Ledger, Terms, Tried
from cedarthread.rig.fleet import Fleet
from cedarthread.rig.network import Network
from cedarthread.rig.replay import CHOICES, Arrival, Play, runners, schedule
from cedarthread.rig.scenario import Fault, Scenario
from cedarthread.spread import evenness
from cedarthread.standins.client import Client, health, pack_call
from cedarthread.standins.model import Visit
from cedarthread.standins.resolver import Listed, ResolverServer
from cedarthread.standins.runner import RunnerServer, made

DEADLINE = 3000.0  # ms
SPOILT = 60.0  # ms by which one call in a hundred may leave late at most: past it the run is void
TERMS = {"check": Terms("retryable"), "confirm": Terms("fragile")}
LONGEST = 256  # bytes of a datagram
WAY = 2.0  # ms from a router to a runner


@dataclass(slots=True)
class Result:
    """What one run showed."""

    scenario: str
    seed: int
    even: evenness.Evenness
    others: dict[str, evenness.Evenness]
    answers: dict[str, int]
    breaches: list[str]
    late: float  # ms that the rig itself was late, the 99th percentile
    cpu: float  # ms of a router's CPU for each call
    bytes_: float  # that a router sent to others in a second
    datagrams: tuple[int, int]  # passed, dropped
    held: list[list[float]] = field(default_factory=list)  # work a core by runner and second, from the start
    faults: list[tuple[str, float, float]] = field(default_factory=list)

    @property
    def void(self) -> bool:
        """Was it spoilt by the rig itself?"""
        return self.late > SPOILT

    @property
    def served(self) -> float:
        """The part of the calls that were served, 0 to 1."""
        return self.answers.get("served", 0) / max(1, sum(self.answers.values()))

    def table(self) -> dict[str, Any]:
        """As JSON has it."""
        return asdict(self) | {"void": self.void}


class _Relay(asyncio.DatagramProtocol):
    """Stands for one router towards all others."""

    def __init__(self, rig: Rig, number: int) -> None:
        self.rig, self.number = rig, number
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.rig.datagram(addr, self.number, data)


class Rig:
    """One run of one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = asyncio.get_running_loop()
        self.zero = self.loop.time()
        self.spread = random.Random(scenario.seed)
        self.network = Network(scenario.faults, scenario.seed)
        self.ledger = Ledger(Figures(slack=250.0))
        self.fleet = Fleet(scenario, folder)
        self.servers = [
            RunnerServer(model, self.clock, self._passes(model.number), self.came, self.went, self.gave_up)
            for model in runners(scenario)
        ]
        self.clients: dict[int, Client] = {}
        self.relays: list[_Relay] = []
        self.resolvers: list[ResolverServer] = []
        self.serial = 1
        self.started = [0.0] * scenario.runners
        self.hides = [fault for fault in scenario.faults if fault.kind == "hide"]
        self.lists: dict[tuple[int, frozenset[int]], tuple[Listed, ...]] = {}
        self.visits: list[Visit] = []
        self.tries: defaultdict[str, list[tuple[int, Tried]]] = defaultdict(list)
        # The calls that each client waits for: number and name.
        self.open: dict[int, dict[int, str]] = {n: {} for n in range(scenario.routers)}
        self.answers: Counter[str] = Counter()
        self.sent: Counter[int] = Counter()  # bytes to other routers
        self.ports: list[int] = []  # of the relays, and of the routers at their own addresses
        self.where: dict[tuple[str, int], int] = {}
        self.late: list[float] = []
        self.ending = False

    def clock(self) -> float:
        """ms since the traffic began."""
        return (self.loop.time() - self.zero) * 1000.0

    async def play(self) -> Result:
        """Start, serve and end it all."""
        try:
            await self._start()
            arrivals = schedule(self.scenario)
            self.zero = self.loop.time()
            timeline = [self._fault(fault) for fault in self.scenario.faults]
            await asyncio.gather(self._traffic(arrivals), self._mark(), *timeline)
            await asyncio.sleep(DEADLINE / 1000.0 + 0.3)
            used = [self.fleet.cpu(n) for n in range(self.scenario.routers)]
        finally:
            self.ending = True
            codes = self.fleet.end()
            self._stop()
        self.ledger.close(self.clock())
        return self._result(arrivals, used, codes)

    async def _start(self) -> None:
        for server in self.servers:
            await server.start()
            self.ledger.told(0.0, self._number(server.model.number), "ready")
        for number in range(self.scenario.routers):
            relay, resolver = _Relay(self, number), ResolverServer(lambda n=number: self._listed(n), "room-a")  # type: ignore[misc]
            await self.loop.create_datagram_endpoint(lambda r=relay: r, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
            await resolver.start()
            self.relays.append(relay)
            self.resolvers.append(resolver)
        self.ports = ports = [
            cast(asyncio.DatagramTransport, r.transport).get_extra_info("sockname")[1] for r in self.relays
        ]
        self.where = {(_home(n), port): n for n, port in enumerate(ports)}
        known = [
            {"name": one.name, "address": f"127.0.0.1:{one.port}", "zone": "room-a", "type": "std"}
            | {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}
            for one in self._listed(0)[1]
        ]
        peers = [f"127.0.0.1:{port}" for port in ports]
        for number, port in enumerate(ports):
            at = f"{_home(number)}:{port}"
            self.fleet.write(number, known, self.resolvers[number].port, peers, at)
            self.fleet.start(number)
        await asyncio.gather(*(self.fleet.ready(number) for number in range(self.scenario.routers)))
        await asyncio.gather(*(self._connect(number) for number in range(self.scenario.routers)))
        self.used = [self.fleet.cpu(n) for n in range(self.scenario.routers)]

    async def _mark(self) -> None:
        await asyncio.sleep(self.scenario.warm_up)
        self.used = [self.fleet.cpu(n) for n in range(self.scenario.routers)]
        self.sent.clear()

    def _stop(self) -> None:
        for server in self.servers:
            server.die()
        for relay in self.relays:
            if relay.transport is not None:
                relay.transport.close()
        for resolver in self.resolvers:
            resolver.stop()
        for client in self.clients.values():
            if client.transport is not None:
                client.transport.abort()

    # What routers see.

    @staticmethod
    def _number(runner: int) -> int:
        return runner + 1

    def _listed(self, router: int) -> tuple[int, tuple[Listed, ...]]:
        now, hidden = self.clock() / 1000.0, set[int]()
        for fault in self.hides:
            if fault.holds(now) and fault.to is not None and fault.to.has("router", router):
                hidden |= {n for n in range(self.scenario.runners) if fault.who.has("runner", n)}
        key = self.serial, frozenset(hidden)
        if key not in self.lists:
            self.lists[key] = tuple(
                Listed(f"s-{self._number(n):08x}", server.port, started=self.started[n])
                for n, server in enumerate(self.servers)
                if n not in hidden
            )
        return self.serial, self.lists[key]

    def datagram(self, addr: tuple[str, int], to: int, data: bytes) -> None:
        """A router sent a datagram to another."""
        sender = self.where.get((addr[0], addr[1]))
        if sender is None or sender == to or self.ending:
            return
        self.sent[sender] += len(data)
        if len(data) > LONGEST:
            self.ledger.rest(self.clock(), f"bytes of a datagram of router {sender}", len(data), LONGEST)
        for delay in self.network.datagram(self.clock(), ("router", sender), ("router", to)):
            self._after(delay, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        transport = self.relays[sender].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, (_home(to), self.ports[to]))

    def _passes(self, runner: int) -> Any:
        def passes(name: str, there: bool, then: Any) -> None:
            router = ("router", int(name[:4], 16))
            a, b = (router, ("runner", runner)) if there else (("runner", runner), router)
            wait = self.network.stream(self.clock(), a, b)
            # What gives a call up comes before its repeat.
            self._after(max(wait, WAY) if there else wait, then)

        return passes

    def _after(self, wait: float, then: Any) -> None:
        if wait <= 0.0:
            then()
        else:
            self.loop.call_later(wait / 1000.0, then)

    # Clients.

    async def _connect(self, number: int) -> None:
        def told(call: int, kind: str, body: bytes) -> None:
            wait = self.network.stream(self.clock(), ("router", number), ("client", number))
            self._after(wait, lambda: self._answered(number, call, kind, body))

        def lost() -> None:
            for name in self.open[number].values():
                self.ledger.left(self.clock(), name)
                self.answers["left"] += 1
            self.open[number].clear()

        client = Client(told, lost)
        await self.loop.create_connection(lambda: client, "127.0.0.1", self.fleet.ports[number])
        client.send(health())  # a connection has little time for its first message
        self.clients[number] = client

    def _answered(self, client: int, call: int, kind: str, body: bytes) -> None:
        name = self.open[client].pop(call, None)
        if name is not None:
            self.answers[kind] += 1
            self.ledger.answered(self.clock(), name, kind, body)

    async def _traffic(self, arrivals: list[Arrival]) -> None:
        for serial, arrival in enumerate(arrivals):
            if (wait := arrival.at - self.clock()) > 0.0:
                await asyncio.sleep(wait / 1000.0)
            elif serial % 32 == 0:
                await asyncio.sleep(0.0)
            self.late.append(max(0.0, self.clock() - arrival.at))
            router = self._takes(arrival.router)
            if router < 0:
                self.answers["no router"] += 1
                continue
            client = self.clients[router]
            klass = "confirm" if arrival.unsafe else "check"
            name = f"{router:04x}{arrival.name[4:]}"
            fields = {"txn": name, "limit": f"{DEADLINE:.0f}", "item": f"{arrival.function:016x}"}
            data = pack_call(
                serial,
                klass,
                f"{arrival.need:.3f}".encode(),
                fields | {"props": f"lanes:{self.scenario.lanes}"},
            )
            now = self.clock()
            self.ledger.taken(now, name, TERMS[klass], now + DEADLINE)
            self.open[router][serial] = name
            wait = self.network.stream(now, ("client", router), ("router", router))
            self._after(wait, lambda c=client, d=data: c.send(d))

    def _takes(self, router: int) -> int:
        """The router that takes a call: the client's own, or any other that is there; -1 for none."""
        if self._there(router):
            return router
        left = [number for number in self.clients if self._there(number)]
        return self.spread.choice(left) if left else -1

    def _there(self, router: int) -> bool:
        client = self.clients.get(router)
        return client is not None and client.transport is not None

    # What runners book.

    def came(self, visit: Visit) -> None:
        """A call came whole to a runner."""
        self.visits.append(visit)
        for runner, tried in self.tries[visit.name]:
            if tried.out and self._faulty(int(visit.name[:4], 16), runner):
                self.ledger.ended(tried, True)  # its router gave it up, and could not say so
        tried = self.ledger.out(self.clock(), visit.name, self._number(visit.runner))
        self.tries[visit.name].append((visit.runner, tried))

    def _faulty(self, router: int, runner: int) -> bool:
        way = self.network.stream(self.clock(), ("router", router), ("runner", runner))
        back = self.network.stream(self.clock(), ("runner", runner), ("router", router))
        return way + back > 0.0 or self.servers[runner].silent or self.servers[runner].model.slow > 1.0

    def went(self, visit: Visit) -> None:
        """A call left its runner, or was lost there."""
        if visit.note not in ("shed", "spawn_failed", "lost"):
            self.ledger.made(visit.name, made(visit.name))
        for runner, tried in self.tries[visit.name]:
            if runner == visit.runner and tried.out:
                self.ledger.ended(tried, visit.note not in ("shed",))

    def gave_up(self, name: str, runner: int) -> None:
        """A router said that it waits no more."""
        for at, tried in self.tries[name]:
            if at == runner and tried.out:
                self.ledger.ended(tried, True)

    # Faults.

    async def _fault(self, fault: Fault) -> None:
        end = self.scenario.warm_up + self.scenario.seconds
        await self._until(fault.at)
        which = range(fault.who.first, fault.who.last + 1)
        await self._begin(fault, which)
        if fault.until < end:
            await self._until(fault.until)
            await self._over(fault, which)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - self.clock() / 1000.0))

    async def _begin(self, fault: Fault, which: range) -> None:
        for number in which:
            if fault.kind in ("kill", "restart"):
                self.fleet.signal(number, signal.SIGKILL)
                if fault.kind == "restart":
                    self.fleet.start(number)
            elif fault.kind == "stop":
                self.fleet.signal(number, signal.SIGSTOP)
            elif fault.kind == "die":
                self.servers[number].die()
            elif fault.kind == "slow":
                self.servers[number].model.slow = fault.figure
            elif fault.kind == "silent":
                self.servers[number].silent = True
            elif fault.kind == "clock":
                self.fleet.clock(number, fault.figure)
        self.serial += fault.kind == "hide"
        if fault.kind == "restart":
            await asyncio.gather(*(self._back(number) for number in which))

    async def _over(self, fault: Fault, which: range) -> None:
        for number in which:
            if fault.kind == "kill":
                self.fleet.start(number)
            elif fault.kind == "stop":
                for name in self.open[number].values():  # what came to it meanwhile has been given up
                    self.ledger.left(self.clock(), name)
                self.fleet.signal(number, signal.SIGCONT)
            elif fault.kind == "die":
                self.started[number] = 1000.0 + self.clock()
                await self.servers[number].start()
            elif fault.kind == "slow":
                self.servers[number].model.slow = 1.0
            elif fault.kind == "silent":
                self.servers[number].silent = False
            elif fault.kind == "clock":
                self.fleet.clock(number, 0.0)
        self.serial += fault.kind in ("hide", "die")
        if fault.kind == "kill":
            await asyncio.gather(*(self._back(number) for number in which))

    async def _back(self, number: int) -> None:
        await self.fleet.ready(number)
        await self._connect(number)

    # The result.

    def _workers(self) -> dict[int, evenness.Worker]:
        end = 1000.0 * (self.scenario.warm_up + self.scenario.seconds)
        found = {}
        for number in range(self.scenario.runners):
            spans, at = [], 0.0
            out = [
                f for f in self.scenario.faults if f.kind in ("die", "silent") and f.who.has("runner", number)
            ]
            for fault in sorted(out, key=lambda one: one.at):
                spans.append((at, 1000.0 * fault.at))
                at = 1000.0 * fault.until
            found[number] = evenness.Worker(self.scenario.cores, (*spans, (at, end)))
        return found

    def _result(self, arrivals: list[Arrival], used: list[float], codes: dict[int, int]) -> Result:
        scenario, workers = self.scenario, self._workers()
        begin, end = 1000.0 * scenario.warm_up, 1000.0 * (scenario.warm_up + scenario.seconds)

        def figures(visits: list[Visit]) -> evenness.Evenness:
            return evenness.measure(visits, workers, begin, end, scenario.lanes)

        others = {name: figures(Play(scenario, name).run(arrivals)) for name in CHOICES}
        calls = sum(arrival.at >= begin for arrival in arrivals)
        spent = sum(after - before for after, before in zip(used, self.used, strict=True))
        odd = [
            f"router {n} ended with {code}" for n, code in codes.items() if code not in (0, -signal.SIGKILL)
        ]
        late = sorted(self.late)
        return Result(
            scenario.name,
            scenario.seed,
            figures(self.visits),
            others,
            dict(self.answers),
            [str(breach) for breach in self.ledger.breaches] + odd,
            late[int(0.99 * (len(late) - 1))] if late else 0.0,
            1000.0 * spent / max(1, calls),
            sum(self.sent.values()) / scenario.routers / scenario.seconds,
            (self.network.passed, self.network.dropped),
            evenness.by_second(self.visits, workers, end),
            [(fault.kind, fault.at, fault.until) for fault in scenario.faults],
        )


def _home(number: int) -> str:
    return f"127.3.{number >> 8}.{number & 255}"
