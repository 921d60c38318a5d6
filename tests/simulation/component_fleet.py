"""A simulated fleet of routing nodes with fleet files, on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import random
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import (
    Action,
    FailRequest,
    LogMessage,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
)
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.node.routing_node import RoutingNode
from tests.helpers import LIMITS, settings, worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.node.fleet_components import FleetComponents

START_UNIX_MS = 1_800_000_000_000.0  # Unix time when the virtual clock is 0
EMPTY_FLEET_FILE = b"[sharing]\nperiod = 200\n"  # no windows or contracts
WARM_LATENCY_MS = 40.0  # if an instance is loaded
COLD_LATENCY_MS = 400.0  # if no instance is loaded
ENDPOINTS = tuple(worker(worker_id) for worker_id in range(1, 7))
ENDPOINT_LIST = EndpointUpdate(EndpointUpdateKind.CACHED, 1, ENDPOINTS)


def _timestamp(at_s: float) -> str:
    """Return a time, given in s after the start, in the format of a fleet file."""
    return f"2027-01-15T{8 + int(at_s // 3600):02}:{int(at_s // 60) % 60:02}:{int(at_s) % 60:02}Z"


def freeze_window(start_s: float, end_s: float, allowance: int = 0) -> bytes:
    """Return a fleet file with one change freeze window, from ``start_s`` to ``end_s`` after the start."""
    return (
        "[sharing]\nperiod = 200\nclock-error = 0\n"
        f'[[freeze]]\nid = "cycle"\nstart = {_timestamp(start_s)}\nend = {_timestamp(end_s)}\n'
        f'author = "desk"\nreason = "close"\nallowance = {allowance}\n'
    ).encode()


class ColdStart(NamedTuple):
    """A cold start, as observed at the worker."""

    at_ms: float
    worker_id: int
    function_id: int


class Fleet:
    """Routing nodes on a virtual clock, and workers that load a function at its first call and record it.

    The function id of a request is ``request_id % 1000``.

    Args:
        router_count: Number of routers.
        seed: Seed of the simulation.
        loss_rate: Fraction of the datagrams between routers that are lost.
        allows_gossip: Whether the routers may send datagrams.
    """

    def __init__(
        self, router_count: int, seed: int, loss_rate: float = 0.1, *, allows_gossip: bool = True
    ) -> None:
        limits = dataclasses.replace(LIMITS, allows_gossip=allows_gossip)
        self.router_settings = [
            settings(router_count=router_count, router_index=index, limits=limits)
            for index in range(router_count)
        ]
        self.routers = [
            RoutingNode(own_settings, seed * 100 + index, index + 1)
            for index, own_settings in enumerate(self.router_settings)
        ]
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.now_ms = 0.0
        self.serial = 0  # orders timers at the same time, and makes request ids unique
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.cold_starts: list[ColdStart] = []
        self.loaded: set[tuple[int, int]] = set()  # worker id and function id
        self.results: dict[int, list[str]] = {}  # by request id
        self.log_lines: list[str] = []
        for index in range(router_count):
            self.handle(index, ENDPOINT_LIST)
            self.apply_fleet_file(index, EMPTY_FLEET_FILE)

    def apply_fleet_file(self, index: int, text: bytes) -> None:
        """Apply a fleet file at a router."""
        config = parse_fleet_config(text)
        node = self.routers[index]
        self.execute(index, node.apply_fleet_config(self.now_ms, config, lambda: START_UNIX_MS + self.now_ms))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.timers, (self.now_ms + delay_ms, self.serial, callback))

    def handle(self, index: int, event: Event) -> None:
        self.execute(index, self.routers[index].handle(self.now_ms, event))

    def execute(self, index: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.after(action.at_ms - self.now_ms, partial(self.handle, index, TimerFired(action.token)))
            elif isinstance(action, SendToPeer):
                self.send_to_peers(index, action)
            elif isinstance(action, LogMessage):
                self.log_lines.append(action.message)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.results[action.request_id].append(type(action).__name__)
            elif isinstance(action, StartAttempt):
                self.start_attempt(index, action)

    def send_to_peers(self, index: int, action: SendToPeer) -> None:
        assert len(action.data) <= 256
        for peer in range(len(self.routers)) if action.peer_index is None else [action.peer_index]:
            if peer != index and self.rng.random() >= self.loss_rate:
                received = partial(self.handle, peer, PeerMessageReceived(index, action.data))
                self.after(self.rng.uniform(1.0, 40.0), received)

    def start_attempt(self, index: int, action: StartAttempt) -> None:
        function_id = action.request_id % 1000
        worker_id = action.worker_id
        start_kind = StartKind.WARM
        latency_ms = WARM_LATENCY_MS
        if (worker_id, function_id) not in self.loaded:
            self.loaded.add((worker_id, function_id))
            self.cold_starts.append(ColdStart(self.now_ms, worker_id, function_id))
            start_kind = StartKind.COLD
            latency_ms = COLD_LATENCY_MS
        ended = AttemptEnded(action.request_id, 0, worker_id, Outcome.OK, latency_ms, True, start_kind)
        self.results[action.request_id].append("ok")
        self.after(latency_ms, lambda: self.handle(index, ended))

    def call(self, index: int, function_id: int, caller: str | None = None) -> int:
        """Submit a request at a router, and return its id."""
        self.serial += 1
        request_id = self.serial * 1000 + function_id
        self.results[request_id] = []
        self.handle(index, RequestArrived(request_id, function_id, 0, self.now_ms + 3000.0, caller=caller))
        return request_id

    def call_all(self, rounds: int, functions: int) -> list[int]:
        """Submit requests of all functions at all routers, one every 150 ms, and return their ids."""
        request_ids = []
        for _ in range(rounds):
            for function_id in range(functions):
                for index in range(len(self.routers)):
                    self.run(150.0)
                    request_ids.append(self.call(index, function_id))
        return request_ids

    def run(self, duration_ms: float) -> None:
        """Run the timers of the next ``duration_ms``."""
        until_ms = self.now_ms + duration_ms
        while self.timers and self.timers[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self.timers)
            callback()
        self.now_ms = until_ms

    def components(self, index: int) -> FleetComponents:
        """Return the fleet components of a router, which exist after a fleet file was applied."""
        components = self.routers[index].fleet_components
        assert components is not None
        return components

    def all_components(self) -> list[FleetComponents]:
        return [self.components(index) for index in range(len(self.routers))]
