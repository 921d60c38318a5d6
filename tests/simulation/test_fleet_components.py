"""What operators declare for the fleet reaches all routers and takes effect, on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import importlib.util
import random
import subprocess
import sys
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import pytest

from cedarthread.components.replicated_state import EntryKind
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

START = 1_800_000_000_000.0  # Unix ms at the first moment of the virtual clock
NOTHING = b"[sharing]\nperiod = 200\n"
WARM_MS, COLD_MS = 40.0, 400.0  # latency with and without a loaded instance
ENDPOINTS = tuple(worker(worker_id) for worker_id in range(1, 7))
ENDPOINT_LIST = EndpointUpdate(EndpointUpdateKind.CACHED, 1, ENDPOINTS)


def _timestamp(at_s: float) -> str:
    """A time in s after the start, as a fleet file writes it."""
    return f"2027-01-15T{8 + int(at_s // 3600):02}:{int(at_s // 60) % 60:02}:{int(at_s) % 60:02}Z"


def window(begins_s: float, ends_s: float, allowance: int = 0) -> bytes:
    """A fleet file with one freeze window, its times in s after the start."""
    return (
        "[sharing]\nperiod = 200\nclock-error = 0\n"
        f'[[freeze]]\nid = "cycle"\nstart = {_timestamp(begins_s)}\nend = {_timestamp(ends_s)}\n'
        f'author = "desk"\nreason = "close"\nallowance = {allowance}\n'
    ).encode()


class ColdStart(NamedTuple):
    """A load of an instance, as its worker saw it."""

    at_ms: float
    worker_id: int
    function_id: int


class Fleet:
    """Routing nodes on a virtual clock; workers that load a function at its first call, and record that.

    A request's id holds its function's: ``request_id % 1000``.
    """

    def __init__(self, count: int, seed: int, loss: float = 0.1, allows_gossip: bool = True) -> None:
        limits = dataclasses.replace(LIMITS, allows_gossip=allows_gossip)
        self.router_settings = [
            settings(router_count=count, router_index=index, limits=limits) for index in range(count)
        ]
        self.routers = [
            RoutingNode(own_settings, seed * 100 + index, index + 1)
            for index, own_settings in enumerate(self.router_settings)
        ]
        self.rng, self.loss = random.Random(seed), loss
        self.now_ms, self.serial = 0.0, 0
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.cold_starts: list[ColdStart] = []
        self.loaded: set[tuple[int, int]] = set()  # worker and function
        self.results: dict[int, list[str]] = {}  # by request id
        self.log_lines: list[str] = []
        for index in range(count):
            self.handle(index, ENDPOINT_LIST)
            self.declare(index, NOTHING)

    def declare(self, index: int, text: bytes) -> None:
        config = parse_fleet_config(text)
        node = self.routers[index]
        self.execute(index, node.apply_fleet_config(self.now_ms, config, lambda: START + self.now_ms))

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
            if peer != index and self.rng.random() >= self.loss:
                received = partial(self.handle, peer, PeerMessageReceived(index, action.data))
                self.after(self.rng.uniform(1.0, 40.0), received)

    def start_attempt(self, index: int, action: StartAttempt) -> None:
        function_id, worker_id = action.request_id % 1000, action.worker_id
        start_kind, latency_ms = StartKind.WARM, WARM_MS
        if (worker_id, function_id) not in self.loaded:
            self.loaded.add((worker_id, function_id))
            self.cold_starts.append(ColdStart(self.now_ms, worker_id, function_id))
            start_kind, latency_ms = StartKind.COLD, COLD_MS
        ended = AttemptEnded(action.request_id, 0, worker_id, Outcome.OK, latency_ms, True, start_kind)
        self.results[action.request_id].append("ok")
        self.after(latency_ms, lambda: self.handle(index, ended))

    def call(self, index: int, function_id: int, caller: str | None = None) -> int:
        """Submit a request at a router; returns its id."""
        self.serial += 1
        request_id = self.serial * 1000 + function_id
        self.results[request_id] = []
        self.handle(index, RequestArrived(request_id, function_id, 0, self.now_ms + 3000.0, caller=caller))
        return request_id

    def call_all(self, rounds: int, functions: int) -> list[int]:
        """Requests of all functions at all routers, one after the other; returns their ids."""
        request_ids = []
        for _ in range(rounds):
            for function_id in range(functions):
                for index in range(len(self.routers)):
                    self.run(150.0)
                    request_ids.append(self.call(index, function_id))
        return request_ids

    def run(self, duration_ms: float) -> None:
        until_ms = self.now_ms + duration_ms
        while self.timers and self.timers[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self.timers)
            callback()
        self.now_ms = until_ms

    def components(self, index: int) -> FleetComponents:
        """The fleet components of a router, which exist once a fleet file was applied."""
        components = self.routers[index].fleet_components
        assert components is not None
        return components

    def all_components(self) -> list[FleetComponents]:
        return [self.components(index) for index in range(len(self.routers))]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_window_declared_at_one_router_freezes_placement_at_all(seed: int) -> None:
    fleet = Fleet(7, seed)
    fleet.run(30_000.0)  # the restart recovery, which limits loads, is over
    for function_id in range(3):
        fleet.call(function_id, function_id)
    fleet.run(3_000.0)
    assert all(components.store.is_fresh(fleet.now_ms) for components in fleet.all_components())
    assert len(fleet.cold_starts) == 3
    fleet.declare(4, window(50.0, 90.0))
    fleet.call_all(8, 3)  # the instances stay in use
    cold_starts = len(fleet.cold_starts)
    request_ids = fleet.call_all(1, 5)
    fleet.run(3_000.0)
    assert len(fleet.cold_starts) == cold_starts
    for request_id in request_ids:  # one without an instance is rejected once, and before its deadline
        assert fleet.results[request_id] == (["ok"] if request_id % 1000 < 3 else ["RejectRequest"])
    assert all(node.status(fleet.now_ms)["freeze_window_cycle"] == "in force" for node in fleet.routers)
    fleet.run(40_000.0)
    after_the_window = [fleet.call(index, 4) for index in range(7)]
    fleet.run(4_000.0)
    assert all(fleet.results[request_id] == ["ok"] for request_id in after_the_window)
    assert fleet.cold_starts[-1].function_id == 4


def test_the_exception_budget_belongs_to_the_fleet_not_to_a_router() -> None:
    fleet = Fleet(7, 3)
    fleet.run(30_000.0)
    fleet.declare(0, window(60.0, 120.0, allowance=2))
    fleet.run(35_000.0)
    for round_number in range(8):
        for index in range(7):
            fleet.call(index, 10 * round_number + index)
        fleet.run(3_000.0)
    assert len(fleet.cold_starts) == 2


def test_settings_that_move_instances_are_deferred_until_the_window_ends() -> None:
    fleet = Fleet(3, 4)
    fleet.declare(0, window(30.0, 60.0))
    fleet.run(35_000.0)
    node, old_settings = fleet.routers[1], fleet.router_settings[1]
    node.update_settings(dataclasses.replace(old_settings, keep_alive_ms=99_000.0), fleet.now_ms)
    assert node.router.state.settings.keep_alive_ms == old_settings.keep_alive_ms
    fleet.run(40_000.0)
    assert node.router.state.settings.keep_alive_ms == 99_000.0


def test_without_gossip_each_router_acts_on_its_own_file_alone() -> None:
    fleet = Fleet(2, 5, allows_gossip=False)
    fleet.declare(0, window(10.0, 60.0))
    fleet.run(15_000.0)
    request_ids = [fleet.call(index, 3) for index in range(2)]
    fleet.run(4_000.0)
    assert [fleet.results[request_id] for request_id in request_ids] == [["RejectRequest"], ["ok"]]
    assert not fleet.components(1).store.entries(EntryKind.FREEZE)


# What a router without a fleet file must not import: each costs time and memory at the start.
FLEET_MODULES = (
    "cedarthread.change_freeze",
    "cedarthread.node.constraints",
    "cedarthread.node.escrow_pools",
    "cedarthread.node.fleet_components",
    "cedarthread.node.preemption_view",
    "cedarthread.escrow",
    "cedarthread.fleet_config",
    "cedarthread.persistence",
    "cedarthread.priority",
    "cedarthread.recovery",
    "cedarthread.replication",
)
FLEET_LIBRARIES = ("apsw", "msgspec", "structlog")


def test_nothing_of_it_is_imported_where_no_fleet_file_is_named() -> None:
    for module in FLEET_MODULES:
        assert importlib.util.find_spec(module) is not None, f"{module} has another name now"
    script = (
        "import sys, cedarthread.service, cedarthread.cli, cedarthread.simulator.host\n"
        f"unwanted = {FLEET_MODULES + FLEET_LIBRARIES!r}\n"
        "print([m for m in sys.modules if any(m == name or m.startswith(name + '.') for name in unwanted)])"
    )
    assert subprocess.run([sys.executable, "-c", script], capture_output=True, text=True).stdout == "[]\n"


def test_after_a_stall_a_window_that_has_begun_counts_before_pending_events() -> None:
    """A router that stalled while a window began may not place a request that waited in its buffers."""
    fleet = Fleet(3, 6)
    fleet.run(30_000.0)
    fleet.declare(0, window(60.0, 120.0))
    fleet.run(20_000.0)
    fleet.timers = [timer for timer in fleet.timers if timer[0] < fleet.now_ms]  # all routers stall
    fleet.run(20_000.0)
    request_id = fleet.call(2, 77)
    assert not fleet.cold_starts
    assert fleet.results[request_id] == []


def test_an_unreachable_worker_loses_its_placements() -> None:
    fleet = Fleet(1, 7, allows_gossip=False)
    fleet.run(30_000.0)
    fleet.call(0, 5)
    fleet.run(1_000.0)
    fleet.declare(0, window(50.0, 90.0))
    fleet.run(5_000.0)
    request_id = fleet.call(0, 5)
    worker_id = fleet.cold_starts[0].worker_id
    placements = fleet.components(0).change_freeze.gate.placements
    assert placements.has_placement(5, worker_id)
    unreachable = AttemptEnded(
        request_id, 0, worker_id, Outcome.CONNECT_FAILED, 5.0, False, is_unreachable=True
    )
    fleet.handle(0, unreachable)
    assert not placements.has_placement(5, worker_id)


def test_a_contract_declared_elsewhere_sets_priorities_once_all_routers_know_it() -> None:
    tenant, stranger = "spiffe://gaz.example/north", "spiffe://gaz.example/else"
    contract = '[[tier]]\nname = "firm"\n[[tier]]\nname = "standard"\n'
    contract += f'[[contract]]\ntenant = "{tenant}"\ntier = "firm"\nrate = 70\n'
    fleet = Fleet(7, 8)
    fleet.run(30_000.0)
    fleet.declare(4, NOTHING + contract.encode())
    priorities = []
    for wait_ms in (3_000.0, 12_000.0):
        fleet.run(wait_ms)
        for caller in (tenant, stranger):
            request_id = fleet.call(1, 0, caller)
            priority = fleet.routers[1].router.pending_requests[request_id].call_priority
            assert priority is not None
            priorities.append((priority.is_highest(), priority.is_within_quota))
    assert priorities[0][0] is False
    assert priorities[2] == (True, True)
    assert priorities[3] == (False, False)


def test_a_start_of_all_routers_is_frozen_briefly_and_one_memory_of_a_window_is_enough() -> None:
    fleet = Fleet(9, 9)
    fleet.run(1_600.0)
    assert not any(
        components.store.is_fresh(fleet.now_ms) or components.change_freeze.gate.is_uncertain
        for components in fleet.all_components()
    )
    fleet.run(27_000.0)
    fleet.declare(0, window(50.0, 600.0))
    fleet.run(40_000.0)
    for index in range(1, 9):  # all but one forget
        fleet.routers[index] = RoutingNode(fleet.router_settings[index], index, 1000 + index)
        fleet.handle(index, ENDPOINT_LIST)
        fleet.declare(index, NOTHING)
    for round_number in range(10):
        for index in range(9):
            fleet.call(index, 10 * round_number + index)
        fleet.run(400.0)
    assert not fleet.cold_starts
    assert all(fleet.components(index).store.entries(EntryKind.FREEZE) for index in range(1, 9))
