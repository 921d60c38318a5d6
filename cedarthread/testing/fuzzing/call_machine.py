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
from cedarthread.protocols.invoke import InvokeConnection, InvokeServer
from cedarthread.protocols.invoke_config import InvokeConfig
from cedarthread.protocols.platform_connection import PlatformConnection
from cedarthread.protocols.platform_server import PlatformServer
from cedarthread.protocols.spiffe import Identity
from cedarthread.protocols.workers import WorkerConnections
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.invoke_caller import InvokeCaller
from cedarthread.testing.fuzzing.memory_peers import HeldRequest, MemoryClient, MemoryWorker
from cedarthread.testing.fuzzing.target import Finding, FuzzedDataProvider, Target
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop, run_virtual
from cedarthread.testing.invariants import CallGuarantees, InvariantChecker, InvariantLimits
from cedarthread.transport.flusher import Flusher

CALLER_IDENTITIES = ("spiffe://gaz.example/desk/a", "spiffe://gaz.example/desk/b")
FUNCTIONS = ("00000000000000a1", "00000000000000b2", "00000000000000c3")
WORKER_COUNT, CLIENT_COUNT = 4, 3
PAUSES_MS = (0.0, 1.0, 5.0, 12.0, 40.0, 60.0, 250.0, 600.0, 1500.0, 3000.0)
MAX_DEADLINE_MS = 5000.0
STEPS: tuple[str, ...] = (
    *("call",) * 6,
    *("answer",) * 5,
    *("pause",) * 4,
    *("breathe",) * 3,
    *("trouble",) * 3,
)
STEPS += (*("news",) * 2, *("caller",) * 3, "burst", "answer_all", "interrupt", "client_goes", "spoilt")
STEPS += ("stall", "end")
STEP_INPUT_BYTES = {
    "call": 6,
    "answer": 5,
    "caller": 4,
    "news": 3,
    "end": 0,
}  # bytes that a step reads, one if not here
# What a drawn script is mostly about; a step's further bytes are drawn but for those that stand here.
THEMES: tuple[tuple[tuple[str, bytes], ...], ...] = (
    (
        *(("trouble", bytes((w, case))) for w in range(WORKER_COUNT) for case in (3, 4)),
        *(("burst", b""),) * 5,
    ),
    (("caller", b""), ("caller", b""), ("pause", b""), ("answer", b""), ("end", b""), ("call", b"")),
    (("news", b""), ("call", b""), ("answer", b""), ("pause", b""), ("trouble", b"")),
    (
        *(("trouble", bytes((w, 3))) for w in range(WORKER_COUNT)),
        *(("burst", b""), ("pause", b"")) * 4,
        ("call", b""),
    ),
)


def call_guarantees(top: dict[str, Any], klass: int) -> CallGuarantees:
    """A class's promises, from the settings as the operators write them."""
    told = top["classes"][klass]
    return CallGuarantees(
        told["effect"], told.get("group", "all"), float(told.get("repeat-window", 0)) + 50.0
    )


def invariant_limits(top: dict[str, Any], stall: float) -> InvariantLimits:
    """The ledger's figures; a stall of the whole process excuses so many ms."""
    special, rules = top["specifics"], top["obligations"]
    return InvariantLimits(
        max_attempts=top["limits"]["send-cap"],
        answer_slack_ms=rules["answer-slack"] + 50.0 + stall,
        drain_slack_ms=rules["stop-sending-within"] + 50.0 + stall,
        preload_window_ms=special.get("load-window", 0),
        preload_allowance=special.get("loads-anyway", 0),
        preload_share=special.get("load-share", 0),
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


class RouterWorld:
    """One router with all its peers."""

    def __init__(self, loop: VirtualLoop, dice: FuzzedDataProvider) -> None:
        self.loop, self.choices = loop, dice
        mode = dice.consume_byte()
        self.raw_settings = drawn_settings.settings(
            preloads_on_miss=bool(mode & 1), supports_cancel=not mode & 2
        )
        stall = float(dice.consume_byte() % 4) * 100.0 * bool(mode & 4)
        self.stall_ms, self.now_ms = stall, loop.unix_ms
        self.checker = InvariantChecker(invariant_limits(self.raw_settings, stall))
        settings = settings_from_object(self.raw_settings)
        self.dispatcher = Dispatcher(settings, mode, clock=loop.unix_ms)
        self.flusher = Flusher()
        self.dispatcher.flush_output = self.flusher.flush_all
        self.worker_connections = WorkerConnections(
            settings, self.dispatcher, 6 if mode & 8 else 40, self.flusher
        )
        self.dispatcher.connect_workers(self.worker_connections)
        self.platform = PlatformServer(self.dispatcher, 8, self.flusher, 2**16)
        nowhere = Path("nowhere")
        allow = ("spiffe://gaz.example/desk/*",)
        config = InvokeConfig(nowhere, "", 0, "gaz.example", nowhere, nowhere, nowhere, allow, 8)
        self.invoke = InvokeServer(self.dispatcher, config, self.flusher, loop.time)
        self.endpoint_list = EndpointList(settings)
        self.called_functions: set[str] = set()
        self.workers = [
            MemoryWorker(n, loop, self.checker, self.called_functions) for n in range(1, WORKER_COUNT + 1)
        ]
        self.clients: list[MemoryClient] = []  # all there ever were
        self.current: dict[int, MemoryClient] = {}
        self.invoke_callers: list[InvokeCaller] = []
        self.listed_workers: dict[int, EndpointRecord] = {}
        self.published_lists: list[list[EndpointRecord]] = []
        self.list_version = self.call_count = 0
        self.is_shutting_down = False
        loop.dial = self._dial
        if mode & 16:
            shaky = random.Random(mode)
            loop.jitter = lambda: shaky.random() * 0.015
        for worker in self.workers:
            self._set_listing(worker, EndpointState.READY)
        self._publish_list()

    def _dial(self, factory: Any, host: str, port: int) -> MemoryTransport:
        return self.workers[port - 1].connect()

    # The news.

    def _set_listing(self, worker: MemoryWorker, state: EndpointState) -> None:
        room, cell = f"room-{'ab'[worker.number % 2]}", worker.number // 2
        weight = 1.0
        self.listed_workers[worker.number] = EndpointRecord(
            worker.name, "10.0.0.1", worker.number, room, "std", cell, state, weight, worker.started_at_ms
        )

    def _publish_list(self) -> None:
        """The whole list, as it is now."""
        self.list_version += 1
        told = list(self.listed_workers.values())
        self.published_lists.append(told)
        self._deliver_list(self.list_version, told)

    def _deliver_list(self, serial: int, told: list[EndpointRecord]) -> None:
        if serial > self.endpoint_list.version:
            named = {listing.name for listing in told}
            for listing in told:
                zone = self.raw_settings["localities"].index(listing.zone)
                self.checker.on_worker_state(
                    self.now_ms(), listing.port, listing.state.value, zone, listing.cell
                )
            for worker in self.workers:
                if worker.name not in named:
                    self.checker.on_worker_state(self.now_ms(), worker.number, "gone")
        event = self.endpoint_list.apply_update(serial, told, True)
        if event is not None:
            self.worker_connections.update_endpoints(self.endpoint_list.by_worker_id())
            self.dispatcher.endpoints_changed(event)

    # Steps of the script.

    def client(self) -> MemoryClient:
        """One of the clients, connected."""
        at = self.choices.consume_byte() % CLIENT_COUNT
        client = self.current.get(at)
        if client is None or not client.is_open or client.is_write_closed or client.transport.sent_eof:
            client = self.current[at] = MemoryClient(self.loop, self.checker, _Connection(self.platform))
            self.clients.append(client)
        return client

    def next_call_key(self) -> str:
        """A key that no other call of the run has."""
        self.call_count += 1
        return f"c{self.call_count}"

    def step_call(self) -> None:
        """A client calls, perhaps with the message cut in two."""
        client, klass = self.client(), self.choices.consume_byte() % len(self.raw_settings["classes"])
        limit = self.choices.pick((5000, 2000, 400, 150, 60))
        function = self.choices.pick(FUNCTIONS)
        self.called_functions.add(function)
        key, more = self.next_call_key(), {}
        if self.raw_settings["classes"][klass]["effect"] == "dedup":
            more["unique"] = f"u{key}"
        if self.choices.consume_byte() & 1:
            more["second"] = "1"
        name = self.raw_settings["classes"][klass]["name"]
        data = client.encode_call(
            key, name, function, limit, call_guarantees(self.raw_settings, klass), **more
        )
        cut = self.choices.consume_byte() % 8
        for part in (data[: 7 * cut], data[7 * cut :]):
            client.transport.peer_send(part)

    def step_burst(self) -> None:
        """Many calls at once."""
        for _ in range(2 + self.choices.consume_byte() % 12):
            client = self.client()
            klass = self.choices.pick((0, 0, 2, 1))
            key, function = self.next_call_key(), self.choices.pick(FUNCTIONS)
            self.called_functions.add(function)
            more = {"unique": key} if klass == 1 else {}
            name = self.raw_settings["classes"][klass]["name"]
            client.transport.peer_send(
                client.encode_call(
                    key, name, function, 3000, call_guarantees(self.raw_settings, klass), **more
                )
            )

    def step_interrupt(self) -> None:
        """A client stops waiting, perhaps for a call that has its answer."""
        client = self.client()
        if client.pending_calls:
            client.transport.peer_send(client.encode_interrupt(self.choices.pick(list(client.pending_calls))))

    def step_client_goes(self) -> None:
        """A client hangs up, stops writing, reads no more or sends what makes no sense."""
        client = self.client()
        match self.choices.consume_byte() % 5:
            case 0:
                client.disconnect()
            case 1:
                client.stop_writing()
            case 2:
                client.is_reading_paused = True
                client.transport.peer_window_bytes = 0
                for key in client.pending_calls.values():
                    self.checker.on_call_abandoned(self.now_ms(), key)
            case 3:
                client.transport.peer_accept(None)
            case _:
                client.is_write_closed = True
                client.transport.peer_send(
                    self.choices.pick((b"\xc1", b"\x94\x00\xff", b"\x91" * 40, b"\x00" * 90))
                )

    def _pick_held_request(self) -> tuple[MemoryWorker, HeldRequest] | None:
        every = [(worker, held) for worker in self.workers for held in worker.held_requests()]
        return self.choices.pick(every) if every else None

    def step_answer(self) -> None:
        """A worker answers what it holds, once or twice."""
        if (found := self._pick_held_request()) is None:
            return
        worker, held = found
        op = self.choices.pick(("HIT", "HIT", "HIT", "NONE", "SHED", "FAULT", "LATE"))
        if held.attempt is None:
            op = {"NONE": "FAULT", "LATE": "SHED"}.get(op, op)
            fields: dict[str, Any] = {"pods": 1 if op == "HIT" else 0}
        else:
            remark = self.choices.pick(("hit", "spawn", "pending", "spawn_failed", "odd"))
            fields = {"remark": remark, "depth": self.choices.consume_byte() % 9, "report": "inflight:1;x1:0"}
        worker.answer(held, op, fields, twice=self.choices.consume_byte() % 4 == 3)

    def step_answer_all(self) -> None:
        """The workers answer all that they hold."""
        for worker in self.workers:
            for held in worker.held_requests():
                fields = {"pods": 1} if held.attempt is None else {"remark": "hit"}
                if held.link.is_open:
                    worker.answer(held, "HIT", fields)

    def step_spoilt(self) -> None:
        """A worker says what is no answer, or half of one."""
        if (found := self._pick_held_request()) is not None:
            _, held = found
            name = held.message_id
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
            held.link.transport.peer_send(self.choices.pick(lines))

    def step_trouble(self) -> None:
        """A worker breaks, dies, hangs, reads slowly, or is well again."""
        worker = self.choices.pick(self.workers)
        match self.choices.consume_byte() % 8:
            case 0:
                worker.reset_connections()
            case 1:
                worker.refuses_connections = True
                worker.reset_connections()
            case 2:
                worker.hangs_connections = True
            case 3:
                worker.window_bytes = self.choices.consume_byte() * 2
                for link in worker.links:  # the line at which it stops is taken in part
                    link.transport.peer_window_bytes = worker.window_bytes
            case 4:
                more = self.choices.consume_byte()
                for link in worker.links:
                    link.transport.peer_accept(more)
            case 5 if worker.links:
                link = self.choices.pick(worker.links)
                link.transport.peer_reset()
            case _:
                worker.refuses_connections = worker.hangs_connections = False
                worker.resume_reading()

    def step_news(self) -> None:
        """The list changes, and is told now, late, twice or out of order."""
        worker = self.choices.pick(self.workers)
        match self.choices.consume_byte() % 6:
            case 0:
                self._set_listing(worker, EndpointState.DRAINING)
            case 1:
                self.listed_workers.pop(worker.number, None)
            case 2:
                worker.started_at_ms = self.now_ms()
                worker.reset_connections()
                worker.refuses_connections = worker.hangs_connections = False
                self._set_listing(worker, EndpointState.READY)
            case 3:
                back = self.choices.consume_byte() % len(self.published_lists)
                return self._deliver_list(
                    self.list_version - back, self.published_lists[-1 - back]
                )  # overtaken: counts for nothing
            case 4:
                return self.dispatcher.endpoints_changed(
                    EndpointUpdate(EndpointUpdateKind.FAILED, self.list_version)
                )
            case _:
                self._set_listing(worker, EndpointState.READY)
        if self.choices.consume_byte() & 1:
            self._publish_list()

    async def step_pause(self) -> None:
        """Time passes."""
        await self.advance(self.choices.pick(PAUSES_MS))

    async def step_breathe(self) -> None:
        """All that is ready runs."""
        for _ in range(4):
            await asyncio.sleep(0)

    def step_stall(self) -> None:
        """The whole process stands still."""
        if self.stall_ms:
            self.loop._now += self.stall_ms / 1000.0
            self.stall_ms = 0.0

    def step_end(self) -> None:
        """SIGTERM, once, late in the script."""
        if not self.is_shutting_down and self.choices.position > len(self.choices.data) // 2:
            self.is_shutting_down = True
            self.platform.is_ready = self.invoke.is_ready = False
            self.dispatcher.complete_all_by(self.now_ms() + MAX_DEADLINE_MS + 200.0)

    def step_caller(self) -> None:
        """A caller of the invoke API acts."""
        at = self.choices.consume_byte() % len(CALLER_IDENTITIES)
        while len(self.invoke_callers) <= at:
            self.invoke_callers.append(InvokeCaller(self, CALLER_IDENTITIES[len(self.invoke_callers)]))
        self.invoke_callers[at].act(self.choices)

    def invoke_connection(self, owner: str) -> InvokeConnection:
        """A new connection of a caller whose certificate has been checked."""
        connection = InvokeConnection(self.invoke)
        connection.peer = Identity(owner, "gaz.example", math.inf)
        return connection

    # Time and the end.

    def sweep(self) -> None:
        """What the service does four times a second."""
        self.platform.sweep(self.loop.time())
        self.worker_connections.sweep(self.loop.time())
        self.invoke.sweep(self.loop.time())

    async def advance(self, ms: float) -> None:
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
            client.transport.peer_accept(None)
        await self.advance(MAX_DEADLINE_MS + 500.0)
        for _ in range(4):  # requests behind each other on a connection have their time one after another
            if self.dispatcher.pending_calls or any(
                caller.is_connected and caller.pending_requests for caller in self.invoke_callers
            ):
                await self.advance(3000.0)
        for _ in range(400):  # once told to end, the front closes after each response
            if not any(caller.deferred_calls or caller.pending_requests for caller in self.invoke_callers):
                break
            for caller in self.invoke_callers:
                caller.collect()
            await self.advance(50.0)
        self.checker.check_all_answered(self.now_ms())
        for worker in self.workers:
            worker.reset_connections()
        for client in self.clients:
            if client.is_open:
                client.disconnect()
        await self.advance(1000.0)
        await asyncio.sleep(125.0)  # the longest that an answer is kept
        self.sweep()
        await asyncio.sleep(20.0)
        self.check_nothing_remains()

    def check_nothing_remains(self) -> None:
        """What a run took and must have given back."""
        planner, router, now = self.dispatcher, self.dispatcher.router, self.now_ms()
        queued, carrying = self.platform.queued_bytes, self.worker_connections._connection_by_attempt
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
            ("bytes of kept answers", abs(self.invoke.deferred_calls.reserved_bytes)),
            ("kept answers", len(self.invoke.deferred_calls)),
            ("client connections", len(self.platform.connections) + len(self.platform.unproven_connections)),
        ):
            self.checker.check_remaining(now, what, figure)
        self.checker.check_remaining(
            now, "timers", self.loop.timer_count(), 2
        )  # the decisions' one, and this run's own
        counts = planner.result_counts
        ends = counts["served"] + counts["refused"] + counts["failed"] + counts["left"]
        self.checker.check_remaining(now, "calls counted without an end", counts["taken"] - ends)

    async def run(self) -> None:
        """The script, then the end."""
        while self.choices.has_more() and not self.checker.violations:
            done = getattr(self, f"step_{self.choices.pick(STEPS)}")()
            if done is not None:
                await done
        if not self.checker.violations:
            await self.finish()


def run_script(
    data: bytes, make: Callable[[VirtualLoop, FuzzedDataProvider], RouterWorld] = RouterWorld
) -> RouterWorld:
    """Play a script; the world as it is at the end. A breach, or a callback that failed, is a finding."""
    kept: list[RouterWorld] = []

    async def work(loop: VirtualLoop) -> None:
        kept.append(make(loop, FuzzedDataProvider(data)))
        await kept[0].run()

    loop = run_virtual(work)
    if kept[0].checker.violations:
        raise Finding(str(kept[0].checker.violations[0]))
    if loop.failures:
        raise Finding(loop.failures[0])
    return kept[0]


class CallMachineTarget(Target):
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
    line_budget = (400_000, 12_000)
    byte_budget = (4 * 2**20, 20_000)
    test_runs = 150

    def generate(self, rng: random.Random) -> bytes:
        """A script of up to 120 bytes, of all steps alike or on one theme."""
        if rng.random() < 0.35:
            return rng.randbytes(rng.choice((20, 60, 120)))
        theme, script = rng.choice(THEMES), rng.randbytes(2)
        for _ in range(rng.choice((4, 10, 20))):
            step, told = rng.choice(theme)
            more = rng.randbytes(STEP_INPUT_BYTES.get(step, 1))
            if step == "burst":
                more = rng.randbytes(1)
                more += rng.randbytes(3 * (2 + more[0] % 12))
            script += bytes((STEPS.index(step),)) + told + more
        return script

    def check(self, data: bytes) -> None:
        """Play it."""
        run_script(data[:400])
