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
from cedarthread.testing.cluster.policy_replay import Arrival, generate_arrivals, worker_models
from cedarthread.testing.cluster.recordings import ClusterPlan, Recording
from cedarthread.testing.cluster.scenario import Fault, Scenario
from cedarthread.testing.fakes.client import FakeClient, pack_call, pack_health_check
from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker
from cedarthread.testing.fakes.worker_model import WorkerCall
from cedarthread.testing.fakes.worker_server import FakeWorkerServer

CALL_DEADLINE_MS = 3000.0  # ms
NOT_STARTED_S = 1e6  # s
ROUTER_TO_WORKER_MS = 2.0  # ms from a router to a runner
LISTING_DELAY_S = 0.05  # s after its return that a runner is listed with its new start


def router_host(number: int) -> str:
    """The address from which a router talks to others."""
    return f"127.3.{number >> 8}.{number & 255}"


class EndpointListTimeline:
    """What each router's resolver lists when: by the timeline alone, alike in each process."""

    def __init__(self, scenario: Scenario, ports: list[int]) -> None:
        self.scenario, self.worker_ports = scenario, ports
        end = scenario.warm_up + scenario.seconds
        self.hide_faults = [f for f in scenario.faults if f.kind == "hide"]
        self.crash_faults = [f for f in scenario.faults if f.kind == "die" and f.end_s < end]
        self.change_times_s = [at for f in self.hide_faults for at in (f.start_s, f.end_s)]
        self.change_times_s += [f.end_s + LISTING_DELAY_S for f in self.crash_faults]
        self._list_by_version: dict[tuple[int, frozenset[int]], tuple[ListedWorker, ...]] = {}

    def list_at(self, now: float, router: int) -> tuple[int, tuple[ListedWorker, ...]]:
        """The serial and the list at a time in ms."""
        now, count = now / 1000.0, range(self.scenario.runners)
        serial, hidden = 1 + sum(at <= now for at in self.change_times_s), set[int]()
        for fault in self.hide_faults:
            if fault.is_active(now) and fault.peers is not None and fault.peers.includes("router", router):
                hidden |= {n for n in count if fault.subjects.includes("runner", n)}
        key = serial, frozenset(hidden)
        if key not in self._list_by_version:
            self._list_by_version[key] = tuple(
                ListedWorker(
                    f"s-{n + 1:08x}", self.worker_ports[n], started_at_ms=self._started_at_ms(now, n)
                )
                for n in count
                if n not in hidden
            )
        return serial, self._list_by_version[key]

    def _started_at_ms(self, now: float, number: int) -> float:
        back = [
            f.end_s
            for f in self.crash_faults
            if f.end_s + LISTING_DELAY_S <= now and f.subjects.includes("runner", number)
        ]
        return 1000.0 * (1.0 + max(back)) if back else 0.0


class FakeProcess:
    """What both kinds have: the clock, the book, the network, the timeline."""

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        self.plan, self.scenario, self.number = plan, plan.scenario, number
        self.loop = asyncio.get_running_loop()
        self.start_time_s = (
            self.loop.time() + NOT_STARTED_S
        )  # nothing of the timeline holds before it is told to go
        self.network = Network(plan.scenario.faults, 1000 * plan.scenario.seed + number)
        self.recording = Recording()
        self.is_recording_closed = False  # the book is: what comes now is the end of the run itself
        self.tasks: list[asyncio.Task[None]] = []

    def now_ms(self) -> float:
        """ms since the traffic began."""
        return (self.loop.time() - self.start_time_s) * 1000.0

    def record(self, kind: str, *what: Any) -> None:
        """Put one down."""
        if not self.is_recording_closed:
            self.recording.facts.append((self.now_ms(), kind, *what))

    def call_after(self, wait: float, then: Callable[[], Any]) -> None:
        """Do it after so many ms, or at once."""
        if wait <= 0.0:
            then()
        else:
            self.loop.call_later(wait / 1000.0, then)

    async def wait_until(self, at: float) -> None:
        """Wait till so many s after the beginning."""
        await asyncio.sleep(max(0.0, at - self.now_ms() / 1000.0))

    async def on_command(self, told: dict[str, Any]) -> None:
        """Do what the rig says."""
        if told["do"] == "go":
            self.start_time_s = told["zero"]
            self.tasks = [self.loop.create_task(self.run_fault(fault)) for fault in self.scenario.faults]
            self.tasks += [self.loop.create_task(self.run_traffic())]
        elif told["do"] == "book":
            await asyncio.gather(*(task for task in self.tasks if task.done()))  # a failure ends the process
            self.is_recording_closed = True
            Path(told["to"]).write_bytes(pickle.dumps(self.finish_recording()))

    async def start(self) -> None:
        """Listen."""

    async def run_traffic(self) -> None:
        """What goes out."""

    async def run_fault(self, fault: Fault) -> None:
        """Do one fault of the timeline, where it is done here."""

    def finish_recording(self) -> Recording:
        """The book, whole."""
        return self.recording


class FakeWorkerProcess(FakeProcess):
    """All runners, and the store behind them."""

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        super().__init__(plan, number)
        self._loop_iteration_ms: float | None = None  # when this turn of the loop began to read
        self.servers = [
            FakeWorkerServer(
                model,
                self.now_ms,
                self._deliver_for(model.number),
                self.on_call_sent,
                self.on_call_arrived,
                self.on_call_ended,
                self.on_call_cancelled,
            )
            for model in worker_models(plan.scenario)
        ]

    async def start(self) -> None:
        """Listen at the ports of the plan."""
        for server, port in zip(self.servers, self.plan.worker_ports, strict=True):
            server.port = port
            await server.start()

    def _deliver_for(self, runner: int) -> Any:
        def passes(name: str, there: bool, then: Any) -> None:
            router = ("router", int(name[:4], 16))
            a, b = (router, ("runner", runner)) if there else (("runner", runner), router)
            wait = self.network.stream_delay_ms(self.now_ms(), a, b)
            self.call_after(max(wait, ROUTER_TO_WORKER_MS) if there else wait, then)

        return passes

    def on_call_arrived(self, visit: WorkerCall) -> None:
        """A call came whole to a runner."""
        if not self.is_recording_closed:
            self.recording.worker_calls.append(visit)

    def on_call_sent(self, name: str, runner: int) -> None:
        """A router has let go of a call."""
        if not self.is_recording_closed:
            now = self.loop_iteration_ms()
            self.recording.facts.append((now + ROUTER_TO_WORKER_MS, "handed", name, runner, now))

    def on_call_ended(self, visit: WorkerCall) -> None:
        """A call left its runner, or was lost there."""
        self.record("went", visit.call_id, visit.worker, visit.remark)

    def on_call_cancelled(self, name: str, runner: int) -> None:
        """A router said that it waits no more."""
        if not self.is_recording_closed:
            self.recording.facts.append((self.loop_iteration_ms(), "gave_up", name, runner))

    def loop_iteration_ms(self) -> float:
        """One time for all that is read in a turn of the loop. It is read in no order of when it was sent:
        what gives a call up must not seem to come after the repeat that followed it on another connection."""
        if self._loop_iteration_ms is None:
            self._loop_iteration_ms = self.now_ms()
            self.loop.call_soon(self._end_loop_iteration)
        return self._loop_iteration_ms

    def _end_loop_iteration(self) -> None:
        self._loop_iteration_ms = None

    async def run_fault(self, fault: Fault) -> None:
        """Runners die, come back, slow down, fall silent."""
        if fault.kind not in ("die", "slow", "silent"):
            return
        which = self.servers[fault.subjects.first : fault.subjects.last + 1]
        await self.wait_until(fault.start_s)
        for server in which:
            if fault.kind == "die":
                server.crash()
            elif fault.kind == "slow":
                server.model.slowdown = fault.amount
            else:
                server.is_silent = True
        if fault.end_s >= self.scenario.warm_up + self.scenario.seconds:
            return
        await self.wait_until(fault.end_s)
        for server in which:
            if fault.kind == "die":
                await server.start()
            elif fault.kind == "slow":
                server.model.slowdown = 1.0
            else:
                server.is_silent = False

    def finish_recording(self) -> Recording:
        """With what servers and models kept themselves."""
        for server in self.servers:
            number = server.model.number
            self.recording.lags_ms += server.timer_lags_ms
            self.recording.connections += [(at, number) for at in server.accepted_at_ms]
            self.recording.placements += [(at, function, number) for at, function in server.model.placements]
        return self.recording


class _PeerRelay(asyncio.DatagramProtocol):
    """Stands for one router towards all others."""

    def __init__(self, front: FakeClientProcess, number: int) -> None:
        self.process, self.number = front, number

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.process.on_peer_datagram(addr, self.number, data)


class FakeClientProcess(FakeProcess):
    """Clients, relays and resolvers of the routers whose number leaves ``number - 1`` by the parts."""

    def __init__(self, plan: ClusterPlan, number: int) -> None:
        super().__init__(plan, number)
        self.router_numbers = range(number - 1, plan.scenario.routers, plan.client_process_count)
        self.rng = random.Random(1000 * plan.scenario.seed + number)
        self.list_timeline = EndpointListTimeline(plan.scenario, plan.worker_ports)
        self.discovery_faults = [f for f in plan.scenario.faults if f.kind in ("mute", "spoilt")]
        self.clients: dict[int, FakeClient] = {}
        # The calls that each client waits for: number and name.
        self.pending_calls: dict[int, dict[int, str]] = {n: {} for n in self.router_numbers}
        self.router_by_address = {(router_host(n), port): n for n, (_, port) in enumerate(plan.peer_relays)}
        # What a relay gets may go out in another's name, whose process only that part of it shares.
        self.relay_sockets = [socket.socket(fileno=fd) for fd, _ in plan.peer_relays]
        for one in self.relay_sockets:
            one.setblocking(False)

    async def start(self) -> None:
        """Take up the sockets of the plan that are of this part."""
        for number in self.router_numbers:
            relay = _PeerRelay(self, number)
            await self.loop.create_datagram_endpoint(lambda r=relay: r, sock=self.relay_sockets[number].dup())  # type: ignore[misc]
            resolver = FakeDiscoveryServer(
                lambda n=number: self.list_timeline.list_at(self.now_ms(), n),  # type: ignore[misc]
                "room-a",
                lambda make, give, n=number: self.on_discovery_query(n, make, give),  # type: ignore[misc]
            )
            await resolver.start(socket.socket(fileno=self.plan.discovery_servers[number][0]))

    async def on_command(self, told: dict[str, Any]) -> None:
        """Clients come, and what a router that stood still was asked is given up."""
        if told["do"] == "connect":
            await asyncio.gather(
                *(self.connect_client(n) for n in told["routers"] if n in self.router_numbers)
            )
        await super().on_command(told)

    # Between routers, and to the resolver.

    def on_peer_datagram(self, addr: tuple[str, int], to: int, data: bytes) -> None:
        """A router sent a datagram to another."""
        sender, now = self.router_by_address.get((addr[0], addr[1])), self.now_ms()
        if sender is None or sender == to or self.is_recording_closed:
            return
        self.recording.peer_datagrams.append((now, sender, data[0] if data else 0, len(data)))
        delays = self.network.datagram_delays_ms(now, ("router", sender), ("router", to))
        self.recording.datagram_counts["passed" if delays else "dropped"] += max(1, len(delays))
        for delay in delays:
            self.call_after(delay, lambda: self._deliver(sender, to, data))

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        try:
            self.relay_sockets[sender].sendto(data, (router_host(to), self.plan.peer_relays[to][1]))
        except OSError:  # a full buffer loses it, as networks do
            self.recording.datagram_counts["dropped"] += 1

    def on_discovery_query(
        self, router: int, make: Callable[[], bytes], give: Callable[[bytes], None]
    ) -> None:
        """A router asked its resolver."""
        now = self.now_ms()
        if not self.is_recording_closed:
            self.recording.discovery_queries.append((now, router))
        odd = [
            f
            for f in self.discovery_faults
            if f.is_active(now / 1000.0) and f.subjects.includes("resolver", router)
        ]
        if any(fault.kind == "mute" for fault in odd):
            return
        for delay in self.network.datagram_delays_ms(now, ("router", router), ("resolver", router)):
            whole = make()
            if any(self.rng.random() < fault.amount for fault in odd):
                whole = corrupt(whole, self.rng)
            self.call_after(delay, lambda w=whole: give(w))  # type: ignore[misc]

    # Clients.

    async def connect_client(self, number: int) -> None:
        """A client of a router."""

        def told(call: int, kind: str, body: bytes) -> None:
            wait = self.network.stream_delay_ms(self.now_ms(), ("router", number), ("client", number))
            self.call_after(wait, lambda: self._on_answer(number, call, kind, body))

        client = FakeClient(told, lambda: self.abandon_calls(number))
        await self.loop.create_connection(lambda: client, "127.0.0.1", self.plan.router_ports[number])
        client.send(pack_health_check())  # a connection has little time for its first message
        self.clients[number] = client

    def abandon_calls(self, number: int) -> None:
        """Nobody waits any more for what this client asked."""
        for name in self.pending_calls[number].values():
            self.record("left", name)
        self.pending_calls[number].clear()

    def _on_answer(self, client: int, call: int, kind: str, body: bytes) -> None:
        if (name := self.pending_calls[client].pop(call, None)) is not None:
            self.record("answered", name, kind, body)

    async def run_traffic(self) -> None:
        """The calls of the schedule that are of this part, each at its time whatever became of others."""
        for serial, arrival in enumerate(generate_arrivals(self.scenario)):
            if arrival.router not in self.router_numbers:
                continue
            if (wait := arrival.at_ms - self.now_ms()) > 0.0:
                await asyncio.sleep(wait / 1000.0)
            elif serial % 32 == 0:
                await asyncio.sleep(0.0)
            self.recording.lags_ms.append(max(0.0, self.now_ms() - arrival.at_ms))
            router = self._choose_router(arrival.router)
            if router < 0:
                self.record("no router", arrival.call_id)
            else:
                self._send_call(serial, arrival, router)

    def _send_call(self, serial: int, arrival: Arrival, router: int) -> None:
        client, klass = self.clients[router], "confirm" if arrival.is_not_idempotent else "check"
        name = f"{router:04x}{arrival.call_id[4:]}"
        fields = {"txn": name, "limit": f"{CALL_DEADLINE_MS:.0f}", "item": f"{arrival.function:016x}"}
        fields |= {"props": f"lanes:{self.scenario.lanes}"} | (
            {"tenant": arrival.tenant} if arrival.tenant else {}
        )
        data = pack_call(serial, klass, f"{arrival.service_ms:.3f}".encode(), fields)
        now = self.now_ms()
        self.record("taken", name, klass, now + CALL_DEADLINE_MS, arrival.tenant)
        self.pending_calls[router][serial] = name
        wait = self.network.stream_delay_ms(now, ("client", router), ("router", router))
        self.call_after(wait, lambda: client.send(data))

    def _choose_router(self, router: int) -> int:
        """The router that takes a call: the client's own, or any other that is there; -1 for none."""
        if self._is_connected(router):
            return router
        left = [number for number in self.clients if self._is_connected(number)]
        return self.rng.choice(left) if left else -1

    def _is_connected(self, router: int) -> bool:
        client = self.clients.get(router)
        return client is not None and client.transport is not None

    async def run_fault(self, fault: Fault) -> None:
        """What came to a router that stood still has been given up by the time that it goes on."""
        if fault.kind == "stop":
            end = self.scenario.warm_up + self.scenario.seconds
            await self.wait_until(
                (fault.end_s if fault.end_s < end else end + CALL_DEADLINE_MS / 1000.0) - 0.02
            )
            for number in self.router_numbers:
                if fault.subjects.includes("router", number):
                    self.abandon_calls(number)


def corrupt(data: bytes, rng: random.Random) -> bytes:
    """A reply cut short, or with a byte changed."""
    at = rng.randrange(len(data))
    if rng.random() < 0.5:
        return data[:at]
    return data[:at] + bytes((data[at] ^ rng.randrange(1, 256),)) + data[at + 1 :]


async def main(folder: Path, number: int) -> None:
    """Do what the lines on the standard input say, till it ends."""
    plan = cast(ClusterPlan, pickle.loads((folder / "plan").read_bytes()))
    part = FakeClientProcess(plan, number) if number else FakeWorkerProcess(plan, number)
    await part.start()
    gc.disable()  # a short life, and books that only grow: its pauses would pass for the routers'
    lines = asyncio.StreamReader()
    await part.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    print(json.dumps({"did": "start"}), flush=True)
    while line := await lines.readline():
        told = json.loads(line)
        await part.on_command(told)
        print(json.dumps({"did": told["do"]}), flush=True)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
