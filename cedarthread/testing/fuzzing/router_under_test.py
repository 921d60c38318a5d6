"""A complete router on a virtual clock, with the invariant checker that its peers report to.

Dispatcher, router, platform and invoke servers and worker connections are the production classes. The first
byte of the script sets the mode: preloads, no cancellation, a stall, few file descriptors, late timers.
"""

from __future__ import annotations

import asyncio
import math
import random
from enum import IntFlag
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.protocols.discovery.endpoint_list import EndpointList
from cedarthread.protocols.invoke.config import InvokeConfig
from cedarthread.protocols.invoke.connection import InvokeConnection
from cedarthread.protocols.invoke.server import InvokeServer
from cedarthread.protocols.invoke.spiffe import Identity
from cedarthread.protocols.platform.connection import PlatformConnection
from cedarthread.protocols.platform.server import PlatformServer
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.invariants import CallGuarantees, Idempotency, InvariantChecker, InvariantLimits
from cedarthread.transport.flusher import Flusher
from cedarthread.transport.socket_reader import ReadStop, SocketState

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop

FUNCTIONS = ("00000000000000a1", "00000000000000b2", "00000000000000c3")
MAX_DEADLINE_MS = 5000.0  # longest deadline of the request classes in the fuzzing settings
TIME_LIMIT_TOLERANCE_MS = 50.0  # added to the time limit of each invariant, for bytes that wait in a socket
SWEEP_PERIOD_MS = 250.0  # time between two periodic sweeps, as in the service
MAX_TIMER_DELAY_S = 0.015  # maximum lateness of a timer in the mode LATE_TIMERS
TRUST_DOMAIN = "gaz.example"


class Mode(IntFlag):
    """Flags of a run: the bits of the first byte of the script."""

    PRELOADS_ON_MISS = 1
    NO_CANCEL = 2
    STALLS = 4
    FEW_DESCRIPTORS = 8
    LATE_TIMERS = 16


def call_guarantees(raw_settings: dict[str, Any], class_index: int) -> CallGuarantees:
    """Return the guarantees of a request class according to the settings document."""
    request_class = raw_settings["classes"][class_index]
    return CallGuarantees(
        Idempotency(request_class["effect"]),
        request_class.get("group", "all"),
        float(request_class.get("repeat-window", 0)) + TIME_LIMIT_TOLERANCE_MS,
    )


def invariant_limits(raw_settings: dict[str, Any], stall_ms: float) -> InvariantLimits:
    """Return the checker's limits; its time limits include ``stall_ms`` for a stall of the process."""
    specifics = raw_settings["specifics"]
    obligations = raw_settings["obligations"]
    return InvariantLimits(
        max_attempts=raw_settings["limits"]["send-cap"],
        answer_slack_ms=obligations["answer-slack"] + TIME_LIMIT_TOLERANCE_MS + stall_ms,
        drain_slack_ms=obligations["stop-sending-within"] + TIME_LIMIT_TOLERANCE_MS + stall_ms,
        preload_window_ms=specifics.get("load-window", 0),
        preload_allowance=specifics.get("loads-anyway", 0),
        preload_share=specifics.get("load-share", 0),
    )


class MemoryPlatformConnection(PlatformConnection):
    """A platform connection whose unread input is in a memory transport instead of a socket."""

    def has_unread_input(self) -> bool:
        """Return whether the transport has unread input."""
        return self.transport is not None and bool(getattr(self.transport, "_unread_input"))  # noqa: B009

    def socket_state(self) -> SocketState:
        """Return the state of the transport; a broken one has told the connection so."""
        has_eof = bool(getattr(self.transport, "_is_peer_eof"))  # noqa: B009
        has_input = has_eof or self.has_unread_input()
        return SocketState(has_input=has_input, is_closed_by_peer=has_eof, is_broken=False)

    def read_once(self) -> ReadStop | None:
        """Read the available input even if reading is paused."""
        if isinstance(self.transport, MemoryTransport):
            self.transport.deliver(ignores_pause=True)
        return None


class RouterUnderTest:
    """The router's components, connected as in the service, with the checker and the virtual clock.

    Args:
        loop: The virtual loop.
        mode: The flags of ``Mode``; also the seed of the router's random choices.
        stall_ms: The duration of a stall of the process, which the checker tolerates.
    """

    def __init__(self, loop: VirtualLoop, mode: int, stall_ms: float) -> None:
        self.loop = loop
        self.now_ms = loop.unix_ms
        self.raw_settings = fuzz_settings.settings(
            preloads_on_miss=bool(mode & Mode.PRELOADS_ON_MISS), supports_cancel=not mode & Mode.NO_CANCEL
        )
        self.checker = InvariantChecker(invariant_limits(self.raw_settings, stall_ms))
        settings = settings_from_object(self.raw_settings)
        self.flusher = Flusher()
        self.dispatcher = Dispatcher(settings, mode, clock=loop.unix_ms, flush_output=self.flusher.flush_all)
        descriptors = 6 if mode & Mode.FEW_DESCRIPTORS else 40
        self.worker_connections = WorkerConnections(settings, self.dispatcher, descriptors, self.flusher)
        self.dispatcher.connect_workers(self.worker_connections)
        self.platform = PlatformServer(self.dispatcher, 8, self.flusher, 2**16)
        self.invoke = InvokeServer(self.dispatcher, _invoke_config(), self.flusher, loop.time)
        self.endpoint_list = EndpointList(settings)
        self.called_functions: set[str] = set()
        self._call_count = 0
        if mode & Mode.LATE_TIMERS:
            delays = random.Random(mode)
            loop.jitter = lambda: delays.random() * MAX_TIMER_DELAY_S

    def next_call_key(self) -> str:
        """Return a key that is unique among the calls of the run."""
        self._call_count += 1
        return f"c{self._call_count}"

    def class_name(self, class_index: int) -> str:
        """Return the name of a request class."""
        return str(self.raw_settings["classes"][class_index]["name"])

    def class_needs_key(self, class_index: int) -> bool:
        """Return whether calls of the class must have an idempotency key."""
        return bool(self.raw_settings["classes"][class_index]["effect"] == "dedup")

    def guarantees(self, class_index: int) -> CallGuarantees:
        """Return the guarantees of a request class."""
        return call_guarantees(self.raw_settings, class_index)

    def connect_invoke(self, identity: str) -> InvokeConnection:
        """Return the protocol of a new invoke connection with an authenticated caller."""
        connection = InvokeConnection(self.invoke)
        connection.peer = Identity(identity, TRUST_DOMAIN, math.inf)
        return connection

    def begin_shutdown(self) -> None:
        """Start the shutdown that the service starts on SIGTERM."""
        self.platform.is_ready = False
        self.invoke.is_ready = False
        self.dispatcher.complete_all_by(self.now_ms() + MAX_DEADLINE_MS + 200.0)

    def sweep(self) -> None:
        """Run the periodic sweeps of the service."""
        self.platform.sweep(self.loop.time())
        self.worker_connections.sweep(self.loop.time())
        self.invoke.sweep(self.loop.time())

    async def advance(self, duration_ms: float) -> None:
        """Advance time while running the periodic sweeps."""
        while duration_ms > 0:
            step_ms = min(duration_ms, SWEEP_PERIOD_MS)
            await asyncio.sleep(step_ms / 1000.0)
            self.sweep()
            duration_ms -= step_ms
        await asyncio.sleep(0)

    def check_nothing_remains(self) -> None:
        """Report to the checker every resource that the run acquired and has not released."""
        dispatcher = self.dispatcher
        router = self.dispatcher.router
        now_ms = self.now_ms()
        calls = dispatcher.calls
        connections = self.platform.connections
        for resource, remaining in (
            ("pending calls", len(dispatcher.pending_calls)),
            ("pending call ids", len(calls.pending_ids)),
            ("bytes of call bodies", abs(calls.pending_body_bytes)),
            ("completed calls", len(calls.completed)),
            ("attempts on worker connections", len(self.worker_connections._connection_by_attempt)),
            ("bytes of queued answers", abs(self.platform.queued_bytes)),
            ("requests in the router", len(router.pending_requests) + len(router.queued_requests)),
            ("orphaned attempts in the router", len(router.orphaned_attempts)),
            (
                "worker load in the router",
                sum(abs(worker.in_flight) for worker in router.workers.values()),
            ),
            ("reserved bytes of deferred calls", abs(self.invoke.calls.deferred_calls.reserved_bytes)),
            ("deferred calls", len(self.invoke.calls.deferred_calls)),
            ("client connections", len(connections) + len(self.platform.unvalidated_connections)),
        ):
            self.checker.check_remaining(now_ms, resource, remaining)
        # Two timers remain set: the dispatcher's timer and the timer of this run's own sleep.
        self.checker.check_remaining(now_ms, "timers", self.loop.timer_count(), 2)
        counts = dispatcher.result_counts
        ends = counts["served"] + counts["rejected"] + counts["failed"] + counts["abandoned"]
        self.checker.check_remaining(
            now_ms, "accepted calls without a counted result", counts["accepted"] - ends
        )


def _invoke_config() -> InvokeConfig:
    unused = Path("nowhere")
    allowed = (f"spiffe://{TRUST_DOMAIN}/desk/*",)
    return InvokeConfig(unused, "", 0, TRUST_DOMAIN, unused, unused, unused, allowed, 8)
