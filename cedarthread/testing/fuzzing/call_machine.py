"""The call machine: planner, decisions, fronts and runners' connections, whole, on a virtual clock.

An input is a script: each byte is a choice of what happens next. The ledger judges by what clients and
workers saw; at the end all that a run took must be back to nought.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.protocols.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.invoke_config import InvokeConfig
from cedarthread.protocols.invoke_connection import InvokeConnection
from cedarthread.protocols.invoke_server import InvokeServer
from cedarthread.protocols.platform_connection import PlatformConnection
from cedarthread.protocols.platform_server import PlatformServer
from cedarthread.protocols.spiffe import Identity
from cedarthread.protocols.workers import WorkerConnections
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.invoke_caller import Caller
from cedarthread.testing.fuzzing.memory_peers import Client, Held, Worker
from cedarthread.testing.fuzzing.target import Dice, Finding, Target
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop, play
from cedarthread.testing.invariants import Figures, Ledger, Terms
from cedarthread.transport.flusher import Flusher

OWNERS = ("spiffe://gaz.example/desk/a", "spiffe://gaz.example/desk/b")
FUNCTIONS = ("00000000000000a1", "00000000000000b2", "00000000000000c3")
WORKERS, CLIENTS = 4, 3
PAUSES = (0.0, 1.0, 5.0, 12.0, 40.0, 60.0, 250.0, 600.0, 1500.0, 3000.0)
LONGEST = 5000.0
STEPS: tuple[str, ...] = (
    *("call",) * 6,
    *("answer",) * 5,
    *("pause",) * 4,
    *("breathe",) * 3,
    *("trouble",) * 3,
)
STEPS += (*("news",) * 2, *("caller",) * 3, "burst", "answer_all", "interrupt", "client_goes", "spoilt")
STEPS += ("stall", "end")
READS = {"call": 6, "answer": 5, "caller": 4, "news": 3, "end": 0}  # bytes that a step reads, one if not here
# What a drawn script is mostly about; a step's further bytes are drawn but for those that stand here.
THEMES: tuple[tuple[tuple[str, bytes], ...], ...] = (
    (*(("trouble", bytes((w, case))) for w in range(WORKERS) for case in (3, 4)), *(("burst", b""),) * 5),
    (("caller", b""), ("caller", b""), ("pause", b""), ("answer", b""), ("end", b""), ("call", b"")),
    (("news", b""), ("call", b""), ("answer", b""), ("pause", b""), ("trouble", b"")),
    (
        *(("trouble", bytes((w, 3))) for w in range(WORKERS)),
        *(("burst", b""), ("pause", b"")) * 4,
        ("call", b""),
    ),
)


def terms(top: dict[str, Any], klass: int) -> Terms:
    """A class's promises, from the settings as the operators write them."""
    told = top["classes"][klass]
    return Terms(told["effect"], told.get("group", "all"), float(told.get("repeat-window", 0)) + 50.0)


def figures(top: dict[str, Any], stall: float) -> Figures:
    """The ledger's figures; a stall of the whole process excuses so many ms."""
    special, rules = top["specifics"], top["obligations"]
    return Figures(
        attempts=top["limits"]["send-cap"],
        slack=rules["answer-slack"] + 50.0 + stall,
        drain=rules["stop-sending-within"] + 50.0 + stall,
        order_window=special.get("load-window", 0),
        order_free=special.get("loads-anyway", 0),
        order_share=special.get("load-share", 0),
    )


class _Connection(PlatformConnection):
    """What waits in the socket waits in the transport here."""

    def has_unread_input(self) -> bool:
        """Does input wait?"""
        return self.transport is not None and bool(getattr(self.transport, "_in"))  # noqa: B009

    def read_available(self) -> bool:
        """Take it, reading paused or not."""
        if not super().read_available():
            return False
        if self.discard_budget is None and isinstance(self.transport, MemoryTransport):
            self.transport.deliver(paused=True)
        return True


class World:
    """One router with all its peers."""

    def __init__(self, loop: VirtualLoop, dice: Dice) -> None:
        self.loop, self.dice = loop, dice
        mode = dice.byte()
        self.top = drawn_settings.settings(miss=bool(mode & 1), cancel=not mode & 2)
        stall = float(dice.byte() % 4) * 100.0 * bool(mode & 4)
        self.stall, self.now = stall, loop.unix_ms
        self.ledger = Ledger(figures(self.top, stall))
        settings = settings_from_object(self.top)
        self.planner = Dispatcher(settings, mode, clock=loop.unix_ms)
        self.flusher = Flusher()
        self.planner.flush_output = self.flusher.flush_all
        self.runners = WorkerConnections(settings, self.planner, 6 if mode & 8 else 40, self.flusher)
        self.planner.connect_workers(self.runners)
        self.platform = PlatformServer(self.planner, 8, self.flusher, 2**16)
        nowhere = Path("nowhere")
        allow = ("spiffe://gaz.example/desk/*",)
        config = InvokeConfig(nowhere, "", 0, "gaz.example", nowhere, nowhere, nowhere, allow, 8)
        self.invoke = InvokeServer(self.planner, config, self.flusher, loop.time)
        self.roster = EndpointList(settings)
        self.asked: set[str] = set()
        self.workers = [Worker(n, loop, self.ledger, self.asked) for n in range(1, WORKERS + 1)]
        self.clients: list[Client] = []  # all there ever were
        self.current: dict[int, Client] = {}
        self.callers: list[Caller] = []
        self.listed: dict[int, EndpointRecord] = {}
        self.old_news: list[list[EndpointRecord]] = []
        self.serial = self.count = 0
        self.ending = False
        loop.dial = self._dial
        if mode & 16:
            shaky = random.Random(mode)
            loop.jitter = lambda: shaky.random() * 0.015
        for worker in self.workers:
            self._list(worker, EndpointState.READY)
        self._tell()

    def _dial(self, factory: Any, host: str, port: int) -> MemoryTransport:
        return self.workers[port - 1].connect()

    # The news.

    def _list(self, worker: Worker, state: EndpointState) -> None:
        room, cell = f"room-{'ab'[worker.number % 2]}", worker.number // 2
        weight = 1.0
        self.listed[worker.number] = EndpointRecord(
            worker.name, "10.0.0.1", worker.number, room, "std", cell, state, weight, worker.started
        )

    def _tell(self) -> None:
        """The whole list, as it is now."""
        self.serial += 1
        told = list(self.listed.values())
        self.old_news.append(told)
        self._news(self.serial, told)

    def _news(self, serial: int, told: list[EndpointRecord]) -> None:
        if serial > self.roster.version:
            named = {listing.name for listing in told}
            for listing in told:
                zone = self.top["localities"].index(listing.zone)
                self.ledger.told(self.now(), listing.port, listing.state.value, zone, listing.cell)
            for worker in self.workers:
                if worker.name not in named:
                    self.ledger.told(self.now(), worker.number, "gone")
        event = self.roster.apply_update(serial, told, True)
        if event is not None:
            self.runners.update_endpoints(self.roster.by_worker_id())
            self.planner.endpoints_changed(event)

    # Steps of the script.

    def client(self) -> Client:
        """One of the clients, connected."""
        at = self.dice.byte() % CLIENTS
        client = self.current.get(at)
        if client is None or not client.up or client.spent or client.transport.sent_eof:
            client = self.current[at] = Client(self.loop, self.ledger, _Connection(self.platform))
            self.clients.append(client)
        return client

    def _key(self) -> str:
        self.count += 1
        return f"c{self.count}"

    def step_call(self) -> None:
        """A client calls, perhaps with the message cut in two."""
        client, klass = self.client(), self.dice.byte() % len(self.top["classes"])
        limit = self.dice.pick((5000, 2000, 400, 150, 60))
        function = self.dice.pick(FUNCTIONS)
        self.asked.add(function)
        key, more = self._key(), {}
        if self.top["classes"][klass]["effect"] == "dedup":
            more["unique"] = f"u{key}"
        if self.dice.byte() & 1:
            more["second"] = "1"
        name = self.top["classes"][klass]["name"]
        data = client.call(key, name, function, limit, terms(self.top, klass), **more)
        cut = self.dice.byte() % 8
        for part in (data[: 7 * cut], data[7 * cut :]):
            client.transport.send(part)

    def step_burst(self) -> None:
        """Many calls at once."""
        for _ in range(2 + self.dice.byte() % 12):
            client = self.client()
            klass = self.dice.pick((0, 0, 2, 1))
            key, function = self._key(), self.dice.pick(FUNCTIONS)
            self.asked.add(function)
            more = {"unique": key} if klass == 1 else {}
            name = self.top["classes"][klass]["name"]
            client.transport.send(client.call(key, name, function, 3000, terms(self.top, klass), **more))

    def step_interrupt(self) -> None:
        """A client stops waiting, perhaps for a call that has its answer."""
        client = self.client()
        if client.open:
            client.transport.send(client.interrupt(self.dice.pick(list(client.open))))

    def step_client_goes(self) -> None:
        """A client hangs up, stops writing, reads no more or sends what makes no sense."""
        client = self.client()
        match self.dice.byte() % 5:
            case 0:
                client.hang_up()
            case 1:
                client.stop_writing()
            case 2:
                client.slow = True
                client.transport.room = 0
                for key in client.open.values():
                    self.ledger.left(self.now(), key)
            case 3:
                client.transport.take(None)
            case _:
                client.spent = True
                client.transport.send(self.dice.pick((b"\xc1", b"\x94\x00\xff", b"\x91" * 40, b"\x00" * 90)))

    def _held(self) -> tuple[Worker, Held] | None:
        every = [(worker, held) for worker in self.workers for held in worker.held()]
        return self.dice.pick(every) if every else None

    def step_answer(self) -> None:
        """A worker answers what it holds, once or twice."""
        if (found := self._held()) is None:
            return
        worker, held = found
        op = self.dice.pick(("HIT", "HIT", "HIT", "NONE", "SHED", "FAULT", "LATE"))
        if held.tried is None:
            op = {"NONE": "FAULT", "LATE": "SHED"}.get(op, op)
            fields: dict[str, Any] = {"pods": 1 if op == "HIT" else 0}
        else:
            remark = self.dice.pick(("hit", "spawn", "pending", "spawn_failed", "odd"))
            fields = {"remark": remark, "depth": self.dice.byte() % 9, "report": "inflight:1;x1:0"}
        worker.answer(held, op, fields, twice=self.dice.byte() % 4 == 3)

    def step_answer_all(self) -> None:
        """The workers answer all that they hold."""
        for worker in self.workers:
            for held in worker.held():
                fields = {"pods": 1} if held.tried is None else {"remark": "hit"}
                if held.link.up:
                    worker.answer(held, "HIT", fields)

    def step_spoilt(self) -> None:
        """A worker says what is no answer, or half of one."""
        if (found := self._held()) is not None:
            _, held = found
            name = held.name
            lines = (
                b'{"op":"HIT","id":"%s","fields":{},"body":"%%%%"}\n' % name.encode(),
                b'{"op":"HIT","id":"%s"}\n' % name.encode(),
                b'{"op":"WHAT","id":"%s","fields":{}}\n' % name.encode(),
                b'{"op":"HIT","id":"nobody","fields":{},"body":"eA=="}\n',
                b'{"op":"HIT","id":"%s","fie' % name.encode(),
                b"[" * 3000 + b"\n",
                b'{"op":["HIT"],"id":"%s","fields":[]}\n' % name.encode(),
                b'{"id":7}\n',
            )
            held.link.transport.send(self.dice.pick(lines))

    def step_trouble(self) -> None:
        """A worker breaks, dies, hangs, reads slowly, or is well again."""
        worker = self.dice.pick(self.workers)
        match self.dice.byte() % 8:
            case 0:
                worker.reset()
            case 1:
                worker.refuses = True
                worker.reset()
            case 2:
                worker.hangs = True
            case 3:
                worker.room = self.dice.byte() * 2
                for link in worker.links:  # the line at which it stops is taken in part
                    link.transport.room = worker.room
            case 4:
                more = self.dice.byte()
                for link in worker.links:
                    link.transport.take(more)
            case 5 if worker.links:
                link = self.dice.pick(worker.links)
                link.transport.hang_up()
            case _:
                worker.refuses = worker.hangs = False
                worker.flow()

    def step_news(self) -> None:
        """The list changes, and is told now, late, twice or out of order."""
        worker = self.dice.pick(self.workers)
        match self.dice.byte() % 6:
            case 0:
                self._list(worker, EndpointState.DRAINING)
            case 1:
                self.listed.pop(worker.number, None)
            case 2:
                worker.started = self.now()
                worker.reset()
                worker.refuses = worker.hangs = False
                self._list(worker, EndpointState.READY)
            case 3:
                back = self.dice.byte() % len(self.old_news)
                return self._news(
                    self.serial - back, self.old_news[-1 - back]
                )  # overtaken: counts for nothing
            case 4:
                return self.planner.endpoints_changed(EndpointUpdate(EndpointUpdateKind.FAILED, self.serial))
            case _:
                self._list(worker, EndpointState.READY)
        if self.dice.byte() & 1:
            self._tell()

    async def step_pause(self) -> None:
        """Time passes."""
        await self.wait(self.dice.pick(PAUSES))

    async def step_breathe(self) -> None:
        """All that is ready runs."""
        for _ in range(4):
            await asyncio.sleep(0)

    def step_stall(self) -> None:
        """The whole process stands still."""
        if self.stall:
            self.loop._now += self.stall / 1000.0
            self.stall = 0.0

    def step_end(self) -> None:
        """SIGTERM, once, late in the script."""
        if not self.ending and self.dice.at > len(self.dice.data) // 2:
            self.ending = True
            self.platform.is_ready = self.invoke.is_ready = False
            self.planner.complete_all_by(self.now() + LONGEST + 200.0)

    def step_caller(self) -> None:
        """A caller of the invoke API acts."""
        at = self.dice.byte() % len(OWNERS)
        while len(self.callers) <= at:
            self.callers.append(Caller(self, OWNERS[len(self.callers)]))
        self.callers[at].act(self.dice)

    def invoke_connection(self, owner: str) -> InvokeConnection:
        """A new connection of a caller whose certificate has been checked."""
        connection = InvokeConnection(self.invoke)
        connection.peer = Identity(owner, "gaz.example", math.inf)
        return connection

    # Time and the end.

    def sweep(self) -> None:
        """What the service does four times a second."""
        self.platform.sweep(self.loop.time())
        self.runners.sweep(self.loop.time())
        self.invoke.sweep(self.loop.time())

    async def wait(self, ms: float) -> None:
        """Let so much time pass."""
        while ms > 0:
            part = min(ms, 250.0)
            await asyncio.sleep(part / 1000.0)
            self.sweep()
            ms -= part
        await asyncio.sleep(0)

    async def finish(self) -> None:
        """Let every deadline pass, and look at what is left."""
        for client in self.clients:
            client.transport.take(None)
        await self.wait(LONGEST + 500.0)
        for _ in range(4):  # requests behind each other on a connection have their time one after another
            if self.planner.pending_calls or any(caller.up and caller.waiting for caller in self.callers):
                await self.wait(3000.0)
        for _ in range(400):  # once told to end, the front closes after each response
            if not any(caller.names or caller.waiting for caller in self.callers):
                break
            for caller in self.callers:
                caller.collect()
            await self.wait(50.0)
        self.ledger.close(self.now())
        for worker in self.workers:
            worker.reset()
        for client in self.clients:
            if client.up:
                client.hang_up()
        await self.wait(1000.0)
        await asyncio.sleep(125.0)  # the longest that an answer is kept
        self.sweep()
        await asyncio.sleep(20.0)
        self.rests()

    def rests(self) -> None:
        """What a run took and must have given back."""
        planner, router, now = self.planner, self.planner.router, self.now()
        queued, carrying = self.platform.queued_bytes, self.runners._connection_by_attempt
        for what, figure in (
            ("open calls", len(planner.pending_calls)),
            ("names", len(planner.calls.pending_ids)),
            ("bytes of bodies", abs(planner.calls.pending_body_bytes)),
            ("settled calls", len(planner.calls.completing)),
            ("attempts carried", len(carrying)),
            ("bytes of answers", abs(queued)),
            ("calls open in the decisions", len(router.pending_requests) + len(router.queued_requests)),
            ("attempts out in the decisions", len(router.orphaned_attempts)),
            ("worker loads in the decisions", sum(abs(v.in_flight) for v in router.workers.values())),
            ("bytes of kept answers", abs(self.invoke.calls.deferred_calls.reserved_bytes)),
            ("kept answers", len(self.invoke.calls.deferred_calls)),
            ("client connections", len(self.platform.connections) + len(self.platform.unproven_connections)),
        ):
            self.ledger.rest(now, what, figure)
        self.ledger.rest(now, "timers", self.loop.timers(), 2)  # the decisions' one, and this run's own
        counts = planner.result_counts
        ends = counts["served"] + counts["refused"] + counts["failed"] + counts["left"]
        self.ledger.rest(now, "calls counted without an end", counts["taken"] - ends)

    async def run(self) -> None:
        """The script, then the end."""
        while self.dice.more() and not self.ledger.breaches:
            done = getattr(self, f"step_{self.dice.pick(STEPS)}")()
            if done is not None:
                await done
        if not self.ledger.breaches:
            await self.finish()


def run_world(data: bytes, make: Callable[[VirtualLoop, Dice], World] = World) -> World:
    """Play a script; the world as it is at the end. A breach, or a callback that failed, is a finding."""
    kept: list[World] = []

    async def work(loop: VirtualLoop) -> None:
        kept.append(make(loop, Dice(data)))
        await kept[0].run()

    loop = play(work)
    if kept[0].ledger.breaches:
        raise Finding(str(kept[0].ledger.breaches[0]))
    if loop.failures:
        raise Finding(loop.failures[0])
    return kept[0]


class CallMachine(Target):
    """The whole router under scripts."""

    name = "calls"
    modules = (
        "cedarthread.dispatch",
        "cedarthread.routing.router",
        "cedarthread.protocols.platform_codec",
        "cedarthread.protocols.platform_connection",
        "cedarthread.protocols.platform_server",
        "cedarthread.protocols.worker_codec",
        "cedarthread.protocols.worker_connection",
        "cedarthread.protocols.worker_line_queue",
        "cedarthread.protocols.worker_pool",
        "cedarthread.protocols.worker_preloads",
        "cedarthread.protocols.workers",
    )
    work = (400_000, 12_000)
    memory = (4 * 2**20, 20_000)
    runs = 150

    def draw(self, rng: random.Random) -> bytes:
        """A script of up to 120 bytes, of all steps alike or on one theme."""
        if rng.random() < 0.35:
            return rng.randbytes(rng.choice((20, 60, 120)))
        theme, script = rng.choice(THEMES), rng.randbytes(2)
        for _ in range(rng.choice((4, 10, 20))):
            step, told = rng.choice(theme)
            more = rng.randbytes(READS.get(step, 1))
            if step == "burst":
                more = rng.randbytes(1)
                more += rng.randbytes(3 * (2 + more[0] % 12))
            script += bytes((STEPS.index(step),)) + told + more
        return script

    def check(self, data: bytes) -> None:
        """Play it."""
        run_world(data[:400])
