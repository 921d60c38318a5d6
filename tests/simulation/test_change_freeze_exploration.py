"""The freeze part in a small world that is explored whole, and its bodies, clocks and paths one by one."""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread import fleet_config
from cedarthread.change_freeze import placement_paths
from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict, route_call
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.placement_changes import AdmissionAnswer, FreezeRule, PlacementChange
from cedarthread.change_freeze.placement_table import PlacementTable
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window_entries import (
    ALL_CHANGE_KINDS,
    BreakGlass,
    Revocation,
    WindowBody,
    WindowTerms,
    decode,
    encode,
    entries_from_config,
)
from cedarthread.components.interface import Entry, EntryKind, ReplicatedEntry, Version, WallClockRead
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from tests import helpers
from tests.simulation.test_change_freeze import T0, Grants

UNIT, V, B = 1000.0, 1, 2  # a step of the world, ms; the register's times in steps
STARTS, ENDS, CUT_SHORT, LAST = 3, 7, 5, 9
TURNS = (1, STARTS + 1)  # when the surroundings change
LEAST_STATES = 25_000


def terms(end: float = ENDS, **changes: object) -> WindowTerms:
    base = WindowTerms(
        "w", int(T0 + STARTS * UNIT), int(T0 + end * UNIT), (), (), (), ALL_CHANGE_KINDS, 0, "ops", "why"
    )
    return msgspec.structs.replace(base, **changes)


BODIES: tuple[tuple[EntryKind, WindowBody], ...] = (
    (EntryKind.FREEZE, terms()),
    (EntryKind.FREEZE, terms(CUT_SHORT)),
    (EntryKind.REVOKE, Revocation("w", "ops", "why")),
    (EntryKind.BREAK_GLASS, BreakGlass("w", int(T0 + (ENDS - 1) * UNIT), "ops", "why")),
)
ENTRIES = tuple(
    Entry(kind, "w", Version(n + 1, 0, 1), encode(body), replaces_digest=n if n == 1 else 0)
    for n, (kind, body) in enumerate(BODIES)
)
SETTINGS = helpers.settings(router_count=3)


@dataclass
class World:
    """One router and its surroundings: entry by entry when it was settled in truth, when it came here, and
    when this router learnt that it is settled. The surroundings do what the register's theorem lets them."""

    relaxes: int = 1  # the entry of ``BODIES`` that follows the window
    t: int = 0
    settled: dict[int, int] = field(default_factory=dict)
    here: dict[int, int] = field(default_factory=dict)
    known: dict[int, int] = field(default_factory=dict)
    hears_majority: bool = True
    step: float = 0.0
    early: bool = False  # the step came before any window did, so it was followed
    restarted: bool = False
    staleness_bound_ms: float = B * UNIT
    part: ChangeFreezeComponent | None = None
    copy: Callable[[], World] | None = None

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        newest: dict[str, ReplicatedEntry] = {}
        for n, at in sorted(self.here.items()):
            if BODIES[n][0] is kind:
                body, settled = BODIES[n][1], self.known.get(n)
                newest[body.window_id] = ReplicatedEntry(
                    ENTRIES[n], at * UNIT, None if settled is None else settled * UNIT
                )
        return tuple(newest.values())

    def is_fresh(self, now: float) -> bool:
        return self.hears_majority

    def fresh_since(self, now: float) -> float | None:
        return None

    def may_be_fresh(self) -> bool:
        """The theorem: who is fresh holds what was settled V before, and reads of the same majority that it
        is; an earlier version may have been replaced."""
        lacks = [n for n, s in self.settled.items() if self.t > s + V and n not in self.here]
        unknown = any(self.t > at + V and n not in self.known for n, at in self.here.items())
        return not unknown and all(n == 0 and 1 in self.here for n in lacks)

    def look(self) -> None:
        if self.part is None:
            sharing = fleet_config.SharingConfig(clock_error=0.0, clock_rate=0.0)
            self.part = ChangeFreezeComponent(SETTINGS, sharing, self, Grants(0, True), now=self.t * UNIT)
        self.part.on_notification(self.t * UNIT, WallClockRead(T0 + self.t * UNIT + self.step))
        if self.hears_majority:  # it hears a majority, so it can compare clocks
            for other in (1, 2):
                self.part.wall_clock.add_sample(self.t * UNIT, other, T0 + self.t * UNIT, self.t * UNIT)
        self.part.on_tick(self.t * UNIT)

    def key(self) -> tuple[object, ...]:
        assert self.part is not None
        w = self.part.registry.windows.get("w")
        versions = (
            tuple((e.body.end_unix_ms, self._age(e.replicated.replicated_at_ms)) for e in w.versions)
            if w is not None
            else ()
        )
        ages = tuple(tuple((n, min(self.t - at, B + 1)) for n, at in sorted(d.items())) for d in self._told())
        gate = (
            self.part.gate.rules,
            self.part.gate.is_uncertain,
            self.part.stale_hold.last_fresh_at_ms is None,
            w.state if w else "",
        )
        clock = (
            self.part.wall_clock.followed_offset_ms,
            self.part.wall_clock.unfollowed_offset_ms,
            len(self.part.wall_clock.samples) > 0,
        )
        mine = self.hears_majority, self.step, self.early, self.restarted, versions, gate, clock
        return self.t, ages, tuple(sorted(self.here)), *mine

    def _told(self) -> tuple[dict[int, int], ...]:
        return self.settled, self.known

    def _age(self, settled: float | None) -> float:
        """What is older than the bound acts: how old it is makes no difference to what follows."""
        return -1.0 if settled is None else min(self.t * UNIT - settled, self.staleness_bound_ms)

    def next(self) -> Iterator[World]:
        for what in (self._settles, self._comes, self._learns):
            yield from what()
        for fresh in (True, False):
            if fresh is not self.hears_majority and self.t in TURNS:
                yield self._but(hears_majority=fresh)
        if not self.step and self.t == STARTS + 1:
            yield from (self._but(step=h * 3_600_000.0, early=not self.here) for h in (-5, 5))
        if not self.restarted and self.t == STARTS + 1:
            # It comes back with nothing, or with what came last: not with what that replaced.
            for kept in ({}, {n: at for n, at in self.here.items() if n != 0 or 1 not in self.here}):
                yield self._but(part=None, restarted=True, hears_majority=False, here=kept, known={})
        if self.t < LAST:
            yield self._but(t=self.t + 1)

    def _but(self, **changes: object) -> World:
        if self.copy is None:
            self.copy = helpers.copier(self, (SETTINGS, *(body for _, body in BODIES), *ENTRIES))
        new = self.copy()
        for name, value in changes.items():
            setattr(new, name, value)
        return new

    def _settles(self) -> Iterator[World]:
        for n in (0, self.relaxes) if 0 in self.settled else (0,):
            if n not in self.settled and self.t in TURNS:
                yield self._but(settled=self.settled | {n: self.t})

    def _comes(self) -> Iterator[World]:
        for n in self.settled:
            if n not in self.here and not (n == 0 and 1 in self.here):
                yield self._but(here=self.here | {n: self.t})

    def _learns(self) -> Iterator[World]:
        for n in self.here:
            if n not in self.known:
                yield self._but(known=self.known | {n: self.t})

    def wrong(self) -> str | None:
        """What the rules hold against this state, by the surroundings' truth alone."""
        assert self.part is not None
        yes = not self.part.gate.is_frozen(PlacementChange("first-copy", None, 1))
        relaxed = min((s + B for n, s in self.settled.items() if n > 0), default=99)
        claimed = 0 in self.settled and max(STARTS, self.settled[0] + V) < self.t < min(ENDS, relaxed)
        if claimed and yes and self.restarted and not self.hears_majority:
            return "a router that came back moved copies in the window, before it was fresh"
        if claimed and yes and self.hears_majority:
            return "a router that is fresh moved copies in the window"
        wider = self.step and (self.restarted or self.early)  # it trusted a clock that is off by hours
        blind = B if 1 in self.here and 0 not in self.here else 0  # what was cut short is unknown to it
        if not yes and self.t >= ENDS + blind and self.hears_majority and not wider:
            return "the window did not end"
        return None


def explored(relaxes: int) -> tuple[int, set[str]]:
    first = World(relaxes)
    first.look()
    seen, todo, wrong = {first.key()}, [first], set[str]()
    while todo:
        state = todo.pop()
        if (why := state.wrong()) is not None:
            wrong.add(why)
        for after in state.next():
            if after.hears_majority and not after.may_be_fresh():
                after.hears_majority = False
            after.look()
            if (key := after.key()) not in seen:
                seen.add(key)
                todo.append(after)
    return len(seen), wrong


def test_a_small_world_explored_whole_keeps_the_rules() -> None:
    states = 0
    for relaxes in range(1, len(BODIES)):
        count, wrong = explored(relaxes)
        states += count
        assert wrong == set()
    print(f"freeze: {states} states")
    assert states >= LEAST_STATES


FILE = b"""
[[freeze]]
id = "w"
start = 2027-01-15T08:00:20+01:00
end = 2027-01-15T09:00:20+01:00
author = "ops"
reason = "cycle"
functions = ["00000000000000ff", "0000000000000001"]
frozen = ["unload", "order"]
allowance = 2
[[revoke]]
freeze = "w"
author = "ops"
reason = "done"
"""


def test_a_file_becomes_bodies_in_one_spelling_and_back() -> None:
    made = {
        kind: decode(kind, name, raw)
        for kind, name, raw in entries_from_config(fleet_config.parse_fleet_config(FILE))
    }
    taken = made[EntryKind.FREEZE]
    assert (
        isinstance(taken, WindowTerms)
        and taken.function_ids == (1, 255)
        and taken.frozen_kinds == ("order", "unload")
    )
    assert taken.end_unix_ms - taken.start_unix_ms == 3_600_000 and isinstance(
        made[EntryKind.REVOKE], Revocation
    )
    with pytest.raises(fleet_config.FleetConfigError, match="reason"):
        entries_from_config(fleet_config.parse_fleet_config(FILE.replace(b"done", b"d" * 513)))


BAD = (
    {"end_unix_ms": int(T0)},
    {"end_unix_ms": int(T0 + 13 * 3_600_000)},
    {"exception_budget": -1},
    {"zone_names": ("b", "a")},
    {"function_ids": (2**64 - 1, 0)},
    {"frozen_kinds": ("unload", "order")},
    {"window_id": "v"},
    {"tenant_names": ("",)},
    {"reason": "x" * 513},
)


@pytest.mark.parametrize("change", BAD, ids=str)
def test_bad_windows_from_the_wire_are_values(change: dict[str, object]) -> None:
    assert isinstance(decode(EntryKind.FREEZE, "w", encode(terms())), WindowTerms)
    assert isinstance(
        decode(EntryKind.FREEZE, "w", encode(msgspec.structs.replace(terms(), **change))), MalformedDatagram
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80), st.sampled_from(list(EntryKind)))
def test_hostile_bytes_raise_nothing(raw: bytes, kind: EntryKind) -> None:
    good = encode(terms())
    assert isinstance(decode(kind, "w", raw), MalformedDatagram)
    assert isinstance(decode(EntryKind.FREEZE, "w", good[:-1] + raw), WindowTerms | MalformedDatagram)


def test_a_clock_that_is_off_widens_the_window_and_a_lone_liar_does_not() -> None:
    clock = WallClock(5, 500.0, 0.001)
    clock.on_host_reading(0.0, T0, True)
    for other, ahead in ((1, 0.0), (2, 40.0), (3, 9e6)):
        clock.add_sample(10.0, other, T0 + ahead, 0.0)
    assert clock.deviation_ms(10.0) == 0.0
    for other in (1, 2):
        clock.add_sample(10.0, other, T0 + 9e6, 0.0)
    least, most = clock.unix_ms_bounds(10.0)
    assert clock.deviation_ms(10.0) > 8.9e6 and least < T0 + 10.0 and most > T0 + 9e6
    clock.add_sample(10.0, 99, T0, 0.0)
    clock.add_sample(10.0, 1, float("nan"), 0.0)
    assert (
        clock.invalid_sample_count == 2 and clock.deviation_ms(200_000.0) == 0.0
    )  # what was heard long ago tells nothing


def test_a_step_is_followed_once_most_others_tell_that_time() -> None:
    clock = WallClock(3, 500.0, 0.001)
    clock.on_host_reading(0.0, T0, True)
    assert "not followed" in str(clock.on_host_reading(100.0, T0 + 7.2e6, True))
    assert (
        clock.unix_ms(100.0) == T0 + 100.0 and clock.on_host_reading(200.0, T0 + 7.2e6 + 100.0, True) is None
    )
    for other in (1, 2):
        clock.add_sample(300.0, other, T0 + 7.2e6 + 200.0, 298.0)
    assert (
        "followed" in str(clock.on_host_reading(300.0, T0 + 7.2e6 + 200.0, True))
        and clock.unix_ms(300.0) > T0 + 7e6
    )


def test_service_comes_first_and_who_drains_before_all() -> None:
    stands, full = PlacementCandidate(1, True, True, True, 5.0), PlacementCandidate(1, True, True, False)
    cold, drains = PlacementCandidate(2, True, False, True), PlacementCandidate(3, False, True, True)
    assert route_call([cold, stands], True) == (RoutingVerdict.SEND, 1)
    assert route_call([cold, full], True) == (RoutingVerdict.LOAD, 2) and route_call([cold, full], False) == (
        RoutingVerdict.WAIT,
        1,
    )
    assert route_call([drains, cold], False) == (RoutingVerdict.REJECT, None)


def test_copies_stand_where_they_stood_and_a_new_start_has_none() -> None:
    standing = PlacementTable()
    standing.on_endpoint_update(
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, (helpers.worker(1, started=5.0),))
    )
    standing.record(0.0, 7, 1)
    standing.is_frozen = True
    standing.expire(1e9)
    standing.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2))
    assert not standing.has_placement(7, 1) and standing.has_lost_most(7)
    standing.on_endpoint_update(
        EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 3, (helpers.worker(1, started=5.0),))
    )
    assert standing.has_placement(7, 1)  # the list was spoilt
    standing.on_endpoint_update(
        EndpointUpdate(EndpointUpdateKind.DELTA, 4, (helpers.worker(1, started=6.0),))
    )
    assert not standing.has_placement(7, 1)


def _decision_modules() -> dict[str, str]:
    """Source by dotted name below the package, of all modules that decide where functions are placed."""
    package = Path(placement_paths.__file__).parents[1]
    return {
        f"{folder}.{file.stem}": file.read_text()
        for folder in ("routing", "components")
        for file in sorted((package / folder).glob("*.py"))
    }


def test_every_path_of_placement_is_on_the_list_and_asks_the_gate() -> None:
    modules = _decision_modules()
    for module, source in modules.items():
        assert placement_paths.find_unlisted_sites(module, source) == []
        assert placement_paths.find_sites_bypassing_gate(source) == []
    assert {
        (module, site.function, site.act)
        for module, source in modules.items()
        for site in placement_paths.find_change_sites(source)
    } == {(path.module, path.function, path.act) for path in placement_paths.PLACEMENT_PATHS}
    for path in placement_paths.PLACEMENT_PATHS:
        unasked = re.sub(rf"\b{path.asks_by}\b", "free", modules[path.module])
        assert path.function in [site.function for site in placement_paths.find_sites_bypassing_gate(unasked)]


def test_a_new_path_of_placement_is_found_and_must_ask_the_gate() -> None:
    added = "def _prefetch(self):\n    self.actions.append(PreloadFunction(1, 2, 1))\n"
    by_module = added.replace("PreloadFunction", "actions.PreloadFunction")
    for source in (added, by_module):
        unlisted = placement_paths.find_unlisted_sites("routing.router", source)
        assert [site.function for site in unlisted] == ["_prefetch"]
        assert placement_paths.find_sites_bypassing_gate(source) == unlisted
    asking = added.replace("self.actions", "if self.gate.admit(self.now, 1).is_permitted: self.actions")
    assert placement_paths.find_sites_bypassing_gate(asking) == []


def test_homes_stay_and_the_stricter_of_two_windows_holds() -> None:
    grants = Grants(0, False)
    gate = AdmissionGate(grants)
    gate.is_active, rule = True, FreezeRule("a", frozenset(ALL_CHANGE_KINDS), frozenset({0}), None, None, 9)
    assert gate.home_workers(0.0, 7, (1, 2, 3), 2) == ((1, 2, 3), 2)
    gate.rules = (rule, dataclasses.replace(rule, window_id="b", zone_indexes=None))
    assert gate.home_workers(1.0, 7, (3, 2, 1), 3) == ([1, 2, 3], 2)  # neither moved nor added
    assert gate.home_workers(1.0, 7, (3, 2), 2) == ([2, 3], 1)  # who is lost is not made up for
    grants.open_pool("freeze/a", 60, is_consumable=True, ends_at_ms=None)
    grants.open_pool("freeze/b", 6, is_consumable=True, ends_at_ms=None)
    first, second = (PlacementChange("first-copy", worker, 7, 0, None, True) for worker in (4, 5))
    answers = [gate.admit(2.0, change).answer for change in (first, first, second)]
    assert answers == [
        AdmissionAnswer.PERMITTED_BY_EXCEPTION,
        AdmissionAnswer.PERMITTED,
        AdmissionAnswer.DENIED,
    ]  # the same place is paid for once
    gate.rules, gate.take_release = (), lambda now: 0
    call: Any = {"function_id": 7, "worker_id": 5, "zone_index": 0, "tenant_index": None, "is_placed": False}
    assert not gate.can_send(3.0, **call, has_alternatives=True)  # held back still
    assert gate.can_send(3.0, **call, has_alternatives=False)  # but service comes first
    gate.take_release = lambda now: 1
    assert {w.kind for w in gate.release(4.0)} == {"homes", "first-copy"} and not gate.deferred_changes
    assert gate.home_workers(5.0, 7, (3, 2, 1), 3) == ((3, 2, 1), 3)
