"""What operators declare for the fleet reaches all routers and takes effect, on a virtual clock."""

from __future__ import annotations

import dataclasses
import heapq
import random
import subprocess
import sys
from collections.abc import Callable
from functools import partial

import pytest

from cedarthread.components.interface import EntryKind
from cedarthread.components.node import RoutingNode
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
from tests.helpers import LIMITS, settings, worker

START = 1_800_000_000_000.0  # Unix ms at the first moment of the virtual clock
NOTHING = b"[sharing]\nperiod = 200\n"


def window(begins: float, ends: float, allowance: int = 0) -> bytes:
    """A file with one window, its times in s from the start."""
    at, to = (
        f"2027-01-15T{8 + int(s // 3600):02}:{int(s // 60) % 60:02}:{int(s) % 60:02}Z" for s in (begins, ends)
    )
    return (
        f'[sharing]\nperiod = 200\nclock-error = 0\n[[freeze]]\nid = "cycle"\nstart = {at}\nend = {to}\n'
        f'author = "desk"\nreason = "close"\nallowance = {allowance}\n'
    ).encode()


class Fleet:
    """Hosted routers; workers that load at a first call and keep their own book of it."""

    def __init__(self, count: int, seed: int, loss: float = 0.1, peers: bool = True) -> None:
        limits = dataclasses.replace(LIMITS, allows_gossip=peers)
        self.told = [settings(router_count=count, router_index=n, limits=limits) for n in range(count)]
        self.routers = [RoutingNode(one, seed * 100 + n, n + 1) for n, one in enumerate(self.told)]
        self.rng, self.loss = random.Random(seed), loss
        self.now, self.serial = 0.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.loads: list[tuple[float, int, int]] = []  # the workers' book: when, worker, function
        self.stand: set[tuple[int, int]] = set()
        self.ends: dict[int, list[str]] = {}
        self.words: list[str] = []
        for who in range(count):
            self.act(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 7))))
            self.declare(who, NOTHING)

    def declare(self, who: int, text: bytes) -> None:
        self.take(
            who,
            self.routers[who].apply_fleet_config(
                self.now, parse_fleet_config(text), lambda: START + self.now
            ),
        )

    def after(self, ms: float, what: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.due, (self.now + ms, self.serial, what))

    def act(self, who: int, event: Event) -> None:
        self.take(who, self.routers[who].handle(self.now, event))

    def take(self, who: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.after(action.at_ms - self.now, partial(self.act, who, TimerFired(action.token)))
            elif isinstance(action, SendToPeer):
                assert len(action.data) <= 256
                for to in range(len(self.routers)) if action.peer_index is None else [action.peer_index]:
                    if to != who and self.rng.random() >= self.loss:
                        heard = partial(self.act, to, PeerMessageReceived(who, action.data))
                        self.after(self.rng.uniform(1.0, 40.0), heard)
            elif isinstance(action, LogMessage):
                self.words.append(action.message)
            elif isinstance(action, (RejectRequest, FailRequest)):
                self.ends[action.request_id].append(type(action).__name__)
            elif isinstance(action, StartAttempt):
                self.sent(who, action)

    def sent(self, who: int, action: StartAttempt) -> None:
        function, at = action.request_id % 1000, action.worker_id
        note, took = StartKind.WARM, 40.0
        if (at, function) not in self.stand:
            self.stand.add((at, function))
            self.loads.append((self.now, at, function))
            note, took = StartKind.COLD, 400.0
        ended = AttemptEnded(action.request_id, 0, at, Outcome.OK, took, True, note)
        self.ends[action.request_id].append("ok")
        self.after(took, lambda: self.act(who, ended))

    def ask(self, who: int, function: int) -> int:
        self.serial += 1
        number = self.serial * 1000 + function
        self.ends[number] = []
        self.act(who, RequestArrived(number, function, 0, self.now + 3000.0))
        return number

    def ask_all(self, rounds: int, functions: int) -> list[int]:
        """Calls of all functions at all routers, one after the other."""
        numbers = []
        for _ in range(rounds):
            for function in range(functions):
                for who in range(len(self.routers)):
                    self.run(150.0)
                    numbers.append(self.ask(who, function))
        return numbers

    def run(self, ms: float) -> None:
        upto = self.now + ms
        while self.due and self.due[0][0] <= upto:
            self.now, _, what = heapq.heappop(self.due)
            what()
        self.now = upto


@pytest.mark.parametrize("seed", [1, 2])
def test_a_window_declared_at_one_router_freezes_placement_at_all(seed: int) -> None:
    fleet = Fleet(7, seed)
    fleet.run(30_000.0)  # what bounds a return is over
    for function in range(3):
        fleet.ask(function, function)
    fleet.run(3_000.0)
    assert all(
        one.fleet_components is not None and one.fleet_components.store.is_fresh(fleet.now)
        for one in fleet.routers
    )
    assert len(fleet.loads) == 3
    fleet.declare(4, window(50.0, 90.0))
    fleet.ask_all(8, 3)  # the copies stay in use
    placed = len(fleet.loads)
    numbers = fleet.ask_all(1, 5)
    fleet.run(3_000.0)
    assert len(fleet.loads) == placed
    for number in numbers:  # who finds a copy is served, who can't is refused once, and before its time
        assert fleet.ends[number] == (["ok"] if number % 1000 < 3 else ["RejectRequest"])
    assert all(one.status(fleet.now)["freeze_window_cycle"] == "in force" for one in fleet.routers)
    fleet.run(40_000.0)
    late = [fleet.ask(who, 4) for who in range(7)]
    fleet.run(4_000.0)
    assert all(fleet.ends[number] == ["ok"] for number in late) and fleet.loads[-1][2] == 4


def test_the_exception_budget_belongs_to_the_fleet_not_to_a_router() -> None:
    fleet = Fleet(7, 3)
    fleet.run(30_000.0)
    fleet.declare(0, window(60.0, 120.0, allowance=2))
    fleet.run(35_000.0)
    for turn in range(8):
        for who in range(7):
            fleet.ask(who, 10 * turn + who)
        fleet.run(3_000.0)
    assert len(fleet.loads) == 2


def test_settings_that_move_instances_are_deferred_until_the_window_ends() -> None:
    fleet = Fleet(3, 4)
    fleet.declare(0, window(30.0, 60.0))
    fleet.run(35_000.0)
    one = fleet.routers[1]
    one.update_settings(dataclasses.replace(fleet.told[1], keep_alive_ms=99_000.0), fleet.now)
    assert one.router.state.settings.keep_alive_ms == fleet.told[1].keep_alive_ms
    fleet.run(40_000.0)
    assert one.router.state.settings.keep_alive_ms == 99_000.0


def test_without_gossip_each_router_acts_on_its_own_file_alone() -> None:
    fleet = Fleet(2, 5, peers=False)
    fleet.declare(0, window(10.0, 60.0))
    fleet.run(15_000.0)
    both = [fleet.ask(who, 3) for who in range(2)]
    fleet.run(4_000.0)
    assert [fleet.ends[number] for number in both] == [["RejectRequest"], ["ok"]]
    assert fleet.routers[1].fleet_components is not None and not fleet.routers[
        1
    ].fleet_components.store.entries(EntryKind.FREEZE)


def test_nothing_of_it_is_imported_where_no_fleet_file_is_named() -> None:
    text = (
        "import sys, cedarthread.service, cedarthread.cli, cedarthread.simulator.host\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('msgspec', 'apsw', 'structlog') or"
        " m.split('.')[1:2] in (['sharing'], ['advice'], ['tiers'], ['freeze'], ['store'], ['recovery'],"
        " ['register'])])"
    )
    assert subprocess.run([sys.executable, "-c", text], capture_output=True, text=True).stdout == "[]\n"


def test_after_a_stall_a_window_that_has_begun_counts_before_pending_events() -> None:
    """Who stood still over a window's beginning may not place what lay in its buffers meanwhile."""
    fleet = Fleet(3, 6)
    fleet.run(30_000.0)
    fleet.declare(0, window(60.0, 120.0))
    fleet.run(20_000.0)
    stopped, fleet.due = 2, [one for one in fleet.due if one[0] < fleet.now]  # all stand still
    fleet.run(20_000.0)
    number = fleet.ask(stopped, 77)
    assert not fleet.loads and fleet.ends[number] == []


def test_an_unreachable_worker_loses_its_placements() -> None:
    fleet = Fleet(1, 7, peers=False)
    fleet.run(30_000.0)
    fleet.ask(0, 5)
    fleet.run(1_000.0)
    sharing = fleet.routers[0].fleet_components
    assert sharing is not None
    fleet.declare(0, window(50.0, 90.0))
    fleet.run(5_000.0)
    number = fleet.ask(0, 5)
    (_, at, _), *_ = fleet.loads
    standing = sharing.change_freeze.gate.placements
    assert standing.has_placement(5, at)
    lost = AttemptEnded(number, 0, at, Outcome.CONNECT_FAILED, 5.0, False, is_unreachable=True)
    fleet.act(0, lost)
    assert not standing.has_placement(5, at)


def test_a_contract_declared_elsewhere_sets_priorities_once_all_routers_know_it() -> None:
    caller = "spiffe://gaz.example/north"
    told = '[[tier]]\nname = "firm"\n[[tier]]\nname = "standard"\n'
    told += f'[[contract]]\ntenant = "{caller}"\ntier = "firm"\nrate = 70\n'
    fleet = Fleet(7, 8)
    fleet.run(30_000.0)
    fleet.declare(4, NOTHING + told.encode())
    ranks = []
    for wait in (3_000.0, 12_000.0):
        fleet.run(wait)
        for who, name in ((1, caller), (1, "spiffe://gaz.example/else")):
            fleet.serial += 1
            number = fleet.serial * 1000
            fleet.ends[number] = []
            fleet.act(who, RequestArrived(number, 0, 0, fleet.now + 3000.0, caller=name))
            opened = fleet.routers[who].router.pending_requests[number].call_priority
            assert opened is not None
            ranks.append((opened.is_highest(), opened.is_within_quota))
    assert ranks[0][0] is False and ranks[2] == (True, True) and ranks[3] == (False, False)


def test_a_start_of_all_routers_is_frozen_briefly_and_one_memory_of_a_window_is_enough() -> None:
    fleet = Fleet(9, 9)
    fleet.run(1_600.0)
    sharings = [one.fleet_components for one in fleet.routers if one.fleet_components is not None]
    assert not any(one.store.is_fresh(fleet.now) or one.change_freeze.gate.is_uncertain for one in sharings)
    fleet.run(27_000.0)
    fleet.declare(0, window(50.0, 600.0))
    fleet.run(40_000.0)
    for who in range(1, 9):  # all but one forget
        fleet.routers[who] = RoutingNode(fleet.told[who], who, 1000 + who)
        fleet.act(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 7))))
        fleet.declare(who, NOTHING)
    for turn in range(10):
        for who in range(9):
            fleet.ask(who, 10 * turn + who)
        fleet.run(400.0)
    assert not fleet.loads
    now = [one.fleet_components for one in fleet.routers[1:] if one.fleet_components is not None]
    assert all(one.store.entries(EntryKind.FREEZE) for one in now)
