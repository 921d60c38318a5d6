"""The change freeze: a small world explored exhaustively; entries, clocks, the gate and placement paths."""

from __future__ import annotations

import dataclasses
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread import fleet_config
from cedarthread.change_freeze import placement_paths
from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.call_routing import PlacementCandidate, RoutingVerdict, route_call
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.placement_changes import (
    AdmissionAnswer,
    FreezeRule,
    PlacementChange,
    PlacementChangeKind,
)
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
from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.notifications import WallClockRead
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from tests import helpers
from tests.simulation.test_change_freeze import EPOCH_UNIX_MS, FakeEscrow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

STEP_MS, FRESHNESS_STEPS, BOUND_STEPS = 1000.0, 1, 2  # a step of the world, ms; the register's times in steps
START_STEP, END_STEP, SHORTENED_END_STEP, LAST_STEP = 3, 7, 5, 9
CHANGE_STEPS = (1, START_STEP + 1)  # when the surroundings change
MIN_STATES = 25_000
NEVER = 99  # past the last step
MS_PER_HOUR = 3_600_000.0


def window_terms(end: float = END_STEP, **changes: object) -> WindowTerms:
    base = WindowTerms(
        "w",
        int(EPOCH_UNIX_MS + START_STEP * STEP_MS),
        int(EPOCH_UNIX_MS + end * STEP_MS),
        (),
        (),
        (),
        ALL_CHANGE_KINDS,
        0,
        "ops",
        "why",
    )
    return msgspec.structs.replace(base, **changes)


# The entries of the small world: a window, and three that relax it, of which one follows.
WINDOW, SHORTENED, REVOKED, LIFTED = range(4)
BODIES: tuple[tuple[EntryKind, WindowBody], ...] = (
    (EntryKind.FREEZE, window_terms()),
    (EntryKind.FREEZE, window_terms(SHORTENED_END_STEP)),
    (EntryKind.REVOKE, Revocation("w", "ops", "why")),
    (EntryKind.BREAK_GLASS, BreakGlass("w", int(EPOCH_UNIX_MS + (END_STEP - 1) * STEP_MS), "ops", "why")),
)
ENTRIES = tuple(
    Entry(kind, "w", Version(n + 1, 0, 1), encode(body), replaces_digest=n if n == 1 else 0)
    for n, (kind, body) in enumerate(BODIES)
)
SETTINGS = helpers.settings(router_count=3)


@dataclass
class SmallWorld:
    """One router and its surroundings, which may do all that the replicated store's theorem permits.

    By entry: the step at which a majority held it, at which it came here, and at which this router learnt
    that a majority holds it.
    """

    relaxing_entry: int = SHORTENED  # the entry of ``BODIES`` that follows the window
    step_index: int = 0
    replicated_at: dict[int, int] = field(default_factory=dict)
    received_at: dict[int, int] = field(default_factory=dict)
    known_replicated_at: dict[int, int] = field(default_factory=dict)
    hears_majority: bool = True
    wall_clock_step_ms: float = 0.0
    stepped_before_window: bool = False  # the step came before any window did, so it was followed
    has_restarted: bool = False
    staleness_bound_ms: float = BOUND_STEPS * STEP_MS
    component: ChangeFreezeComponent | None = None
    make_copy: Callable[[], SmallWorld] | None = None

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        newest: dict[str, ReplicatedEntry] = {}
        for n, at in sorted(self.received_at.items()):
            if BODIES[n][0] is kind:
                body, settled = BODIES[n][1], self.known_replicated_at.get(n)
                newest[body.window_id] = ReplicatedEntry(
                    ENTRIES[n], at * STEP_MS, None if settled is None else settled * STEP_MS
                )
        return tuple(newest.values())

    def is_fresh(self, now_ms: float) -> bool:
        return self.hears_majority

    def fresh_since(self, now_ms: float) -> float | None:
        return None

    def may_be_fresh(self) -> bool:
        """The theorem: a fresh router holds what a majority held ``FRESHNESS_STEPS`` before, and knows that.

        An earlier version may have been replaced by a later one.
        """
        missing = [
            n
            for n, at in self.replicated_at.items()
            if self.step_index > at + FRESHNESS_STEPS and n not in self.received_at
        ]
        unknown = any(
            self.step_index > at + FRESHNESS_STEPS and n not in self.known_replicated_at
            for n, at in self.received_at.items()
        )
        return not unknown and all(n == WINDOW and SHORTENED in self.received_at for n in missing)

    def look(self) -> None:
        """Let the component read its clock, compare it with others' and tick."""
        now_ms = self.step_index * STEP_MS
        if self.component is None:
            sharing = fleet_config.SharingConfig(clock_error=0.0, clock_rate=0.0)
            self.component = ChangeFreezeComponent(
                SETTINGS, sharing, self, FakeEscrow(0, True), now_ms=now_ms
            )
        host_unix_ms = EPOCH_UNIX_MS + now_ms + self.wall_clock_step_ms
        self.component.on_notification(now_ms, WallClockRead(host_unix_ms))
        if self.hears_majority:  # so it can compare clocks
            for peer_index in (1, 2):
                self.component.wall_clock.add_sample(now_ms, peer_index, EPOCH_UNIX_MS + now_ms, now_ms)
        self.component.on_tick(now_ms)

    def state_key(self) -> tuple[object, ...]:
        assert self.component is not None
        window = self.component.registry.windows.get("w")
        versions = (
            tuple(
                (version.body.end_unix_ms, self._age(version.replicated.replicated_at_ms))
                for version in window.versions
            )
            if window is not None
            else ()
        )
        ages = tuple(
            tuple((n, min(self.step_index - at, BOUND_STEPS + 1)) for n, at in sorted(steps.items()))
            for steps in (self.replicated_at, self.known_replicated_at)
        )
        gate = (
            self.component.gate.rules,
            self.component.gate.is_uncertain,
            self.component.stale_hold.last_fresh_at_ms is None,
            window.state if window else "",
        )
        clock = (
            self.component.wall_clock.followed_offset_ms,
            self.component.wall_clock.unfollowed_offset_ms,
            len(self.component.wall_clock.samples) > 0,
        )
        own_state = (
            self.hears_majority,
            self.wall_clock_step_ms,
            self.stepped_before_window,
            self.has_restarted,
            versions,
            gate,
            clock,
        )
        return self.step_index, ages, tuple(sorted(self.received_at)), *own_state

    def _age(self, replicated_at_ms: float | None) -> float:
        """Past the bound a version is in effect: how old it is makes no difference to what follows."""
        if replicated_at_ms is None:
            return -1.0
        return min(self.step_index * STEP_MS - replicated_at_ms, self.staleness_bound_ms)

    def successors(self) -> Iterator[SmallWorld]:
        for transitions in (self._replicate, self._deliver, self._learn_replicated):
            yield from transitions()
        if self.step_index in CHANGE_STEPS:
            yield self._changed(hears_majority=not self.hears_majority)
        if not self.wall_clock_step_ms and self.step_index == START_STEP + 1:
            for hours in (-5, 5):
                yield self._changed(
                    wall_clock_step_ms=hours * MS_PER_HOUR, stepped_before_window=not self.received_at
                )
        if not self.has_restarted and self.step_index == START_STEP + 1:
            # It restarts with no entries, or with the latest ones: not with what those replaced.
            latest = {
                n: at
                for n, at in self.received_at.items()
                if n != WINDOW or SHORTENED not in self.received_at
            }
            for kept_entries in ({}, latest):
                yield self._changed(
                    component=None,
                    has_restarted=True,
                    hears_majority=False,
                    received_at=kept_entries,
                    known_replicated_at={},
                )
        if self.step_index < LAST_STEP:
            yield self._changed(step_index=self.step_index + 1)

    def _changed(self, **changes: object) -> SmallWorld:
        if self.make_copy is None:
            self.make_copy = helpers.copier(self, (SETTINGS, *(body for _, body in BODIES), *ENTRIES))
        world = self.make_copy()
        for name, value in changes.items():
            setattr(world, name, value)
        return world

    def _replicate(self) -> Iterator[SmallWorld]:
        for n in (WINDOW, self.relaxing_entry) if WINDOW in self.replicated_at else (WINDOW,):
            if n not in self.replicated_at and self.step_index in CHANGE_STEPS:
                yield self._changed(replicated_at=self.replicated_at | {n: self.step_index})

    def _deliver(self) -> Iterator[SmallWorld]:
        for n in self.replicated_at:
            if n not in self.received_at and not (n == WINDOW and SHORTENED in self.received_at):
                yield self._changed(received_at=self.received_at | {n: self.step_index})

    def _learn_replicated(self) -> Iterator[SmallWorld]:
        for n in self.received_at:
            if n not in self.known_replicated_at:
                yield self._changed(known_replicated_at=self.known_replicated_at | {n: self.step_index})

    def violation(self) -> str | None:
        """What is wrong in this state, judged by the surroundings' truth alone; None: nothing."""
        assert self.component is not None
        is_open = not self.component.gate.is_frozen(
            PlacementChange(PlacementChangeKind.FIRST_INSTANCE, None, 1)
        )
        relaxed_at = min(
            (at + BOUND_STEPS for n, at in self.replicated_at.items() if n != WINDOW), default=NEVER
        )
        must_be_frozen = (
            WINDOW in self.replicated_at
            and self.step_index > max(START_STEP, self.replicated_at[WINDOW] + FRESHNESS_STEPS)
            and self.step_index < min(END_STEP, relaxed_at)
        )
        if must_be_frozen and is_open and self.has_restarted and not self.hears_majority:
            return "a restarted router changed placements in the window, before it was fresh"
        if must_be_frozen and is_open and self.hears_majority:
            return "a fresh router changed placements in the window"
        trusts_wrong_clock = self.wall_clock_step_ms and (self.has_restarted or self.stepped_before_window)
        lacks_predecessor = SHORTENED in self.received_at and WINDOW not in self.received_at
        must_have_ended = self.step_index >= END_STEP + (BOUND_STEPS if lacks_predecessor else 0)
        if not is_open and must_have_ended and self.hears_majority and not trusts_wrong_clock:
            return "the window did not end"
        return None


def explore(relaxing_entry: int) -> tuple[int, set[str]]:
    first = SmallWorld(relaxing_entry)
    first.look()
    seen, pending, violations = {first.state_key()}, [first], set[str]()
    while pending:
        state = pending.pop()
        if (violation := state.violation()) is not None:
            violations.add(violation)
        for successor in state.successors():
            if successor.hears_majority and not successor.may_be_fresh():
                successor.hears_majority = False
            successor.look()
            if (key := successor.state_key()) not in seen:
                seen.add(key)
                pending.append(successor)
    return len(seen), violations


def test_exhaustive_exploration_finds_no_violation() -> None:
    state_count = 0
    for relaxing_entry in (SHORTENED, REVOKED, LIFTED):
        count, violations = explore(relaxing_entry)
        state_count += count
        assert violations == set()
    print(f"freeze: {state_count} states")
    assert state_count >= MIN_STATES


FLEET_FILE = b"""
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


def test_fleet_file_round_trips_through_canonical_bodies() -> None:
    bodies = {
        kind: decode(kind, name, raw)
        for kind, name, raw in entries_from_config(fleet_config.parse_fleet_config(FLEET_FILE))
    }
    terms = bodies[EntryKind.FREEZE]
    assert isinstance(terms, WindowTerms)
    assert terms.function_ids == (1, 255) and terms.frozen_kinds == ("order", "unload")
    assert terms.end_unix_ms - terms.start_unix_ms == MS_PER_HOUR
    assert isinstance(bodies[EntryKind.REVOKE], Revocation)
    with pytest.raises(fleet_config.FleetConfigError, match="reason"):
        entries_from_config(fleet_config.parse_fleet_config(FLEET_FILE.replace(b"done", b"d" * 513)))


INVALID_TERMS = (
    {"end_unix_ms": int(EPOCH_UNIX_MS)},
    {"end_unix_ms": int(EPOCH_UNIX_MS + 13 * MS_PER_HOUR)},
    {"exception_budget": -1},
    {"zone_names": ("b", "a")},
    {"function_ids": (2**64 - 1, 0)},
    {"frozen_kinds": ("unload", "order")},
    {"window_id": "v"},
    {"tenant_names": ("",)},
    {"reason": "x" * 513},
)


@pytest.mark.parametrize("change", INVALID_TERMS, ids=str)
def test_invalid_windows_are_returned_as_errors(change: dict[str, object]) -> None:
    invalid = msgspec.structs.replace(window_terms(), **change)
    assert isinstance(decode(EntryKind.FREEZE, "w", encode(window_terms())), WindowTerms)
    assert isinstance(decode(EntryKind.FREEZE, "w", encode(invalid)), MalformedDatagram)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80), st.sampled_from(list(EntryKind)))
def test_decoding_random_bytes_raises_nothing(raw: bytes, kind: EntryKind) -> None:
    valid = encode(window_terms())
    assert isinstance(decode(kind, "w", raw), MalformedDatagram)
    assert isinstance(decode(EntryKind.FREEZE, "w", valid[:-1] + raw), WindowTerms | MalformedDatagram)


def test_a_deviating_clock_widens_windows_and_one_wrong_peer_does_not() -> None:
    clock = WallClock(5, 500.0, 0.001)
    clock.on_host_reading(0.0, EPOCH_UNIX_MS, has_window=True)
    for peer, offset_ms in ((1, 0.0), (2, 40.0), (3, 9e6)):
        clock.add_sample(10.0, peer, EPOCH_UNIX_MS + offset_ms, 0.0)
    assert clock.deviation_ms(10.0) == 0.0
    for peer in (1, 2):
        clock.add_sample(10.0, peer, EPOCH_UNIX_MS + 9e6, 0.0)
    earliest, latest = clock.unix_ms_bounds(10.0)
    assert clock.deviation_ms(10.0) > 8.9e6
    assert earliest < EPOCH_UNIX_MS + 10.0 and latest > EPOCH_UNIX_MS + 9e6
    clock.add_sample(10.0, 99, EPOCH_UNIX_MS, 0.0)
    clock.add_sample(10.0, 1, float("nan"), 0.0)
    assert clock.invalid_sample_count == 2
    assert clock.deviation_ms(200_000.0) == 0.0  # samples have expired


def test_a_clock_step_is_followed_once_most_peers_confirm_it() -> None:
    clock = WallClock(3, 500.0, 0.001)
    clock.on_host_reading(0.0, EPOCH_UNIX_MS, has_window=True)
    stepped = EPOCH_UNIX_MS + 7.2e6
    line = clock.on_host_reading(100.0, stepped, has_window=True)
    assert line == "wall_clock_stepped step_s=+7199.9 followed=false"
    assert clock.unix_ms(100.0) == EPOCH_UNIX_MS + 100.0
    assert clock.on_host_reading(200.0, stepped + 100.0, has_window=True) is None
    for peer in (1, 2):
        clock.add_sample(300.0, peer, stepped + 200.0, 298.0)
    line = clock.on_host_reading(300.0, stepped + 200.0, has_window=True)
    assert line == "wall_clock_stepped step_s=+7199.9 followed=true"
    assert clock.unix_ms(300.0) > EPOCH_UNIX_MS + 7e6


def test_calls_prefer_open_workers_and_skip_draining_ones() -> None:
    placed, full = PlacementCandidate(1, True, True, True, 5.0), PlacementCandidate(1, True, True, False)
    not_placed, draining = PlacementCandidate(2, True, False, True), PlacementCandidate(3, False, True, True)
    assert route_call([not_placed, placed], is_load_permitted=True) == (RoutingVerdict.SEND, 1)
    assert route_call([not_placed, full], is_load_permitted=True) == (RoutingVerdict.LOAD, 2)
    assert route_call([not_placed, full], is_load_permitted=False) == (RoutingVerdict.WAIT, 1)
    assert route_call([draining, not_placed], is_load_permitted=False) == (RoutingVerdict.REJECT, None)


def test_placements_survive_a_corrupted_list_but_not_a_restart() -> None:
    placements = PlacementTable()
    worker, restarted = helpers.worker(1, started=5.0), helpers.worker(1, started=6.0)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, (worker,)))
    placements.record(0.0, 7, 1)
    placements.is_frozen = True
    placements.expire(1e9)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 2))
    assert not placements.has_placement(7, 1) and placements.has_lost_most(7)
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 3, (worker,)))
    assert placements.has_placement(7, 1)  # the list before was corrupted
    placements.on_endpoint_update(EndpointUpdate(EndpointUpdateKind.DELTA, 4, (restarted,)))
    assert not placements.has_placement(7, 1)


def _decision_modules() -> dict[str, str]:
    """Source by dotted name below the package, of all modules that decide where functions are placed."""
    package = Path(placement_paths.__file__).parents[1]
    return {
        f"{folder}.{file.stem}": file.read_text()
        for folder in ("routing", "node", "components")
        for file in sorted((package / folder).glob("*.py"))
    }


def test_every_placement_path_is_listed_and_asks_the_gate() -> None:
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
        unasked = re.sub(rf"\b{path.gate_name}\b", "free", modules[path.module])
        assert path.function in [site.function for site in placement_paths.find_sites_bypassing_gate(unasked)]


def test_a_new_placement_path_is_found_and_must_ask_the_gate() -> None:
    added = "def _prefetch(self):\n    self.actions.append(PreloadFunction(1, 2, 1))\n"
    by_module = added.replace("PreloadFunction", "actions.PreloadFunction")
    for source in (added, by_module):
        unlisted = placement_paths.find_unlisted_sites("routing.router", source)
        assert [site.function for site in unlisted] == ["_prefetch"]
        assert placement_paths.find_sites_bypassing_gate(source) == unlisted
    asking = added.replace("self.actions", "if self.gate.admit(self.now, 1).is_permitted: self.actions")
    assert placement_paths.find_sites_bypassing_gate(asking) == []


def test_homes_are_kept_and_the_strictest_of_two_windows_holds() -> None:
    escrow = FakeEscrow(0, False)
    may_release = True
    gate = AdmissionGate(escrow, lambda now_ms: may_release)
    gate.is_active, rule = True, FreezeRule("a", frozenset(ALL_CHANGE_KINDS), frozenset({0}), None, None, 9)
    assert gate.home_workers(0.0, 7, (1, 2, 3), 2) == ((1, 2, 3), 2)
    gate.rules = (rule, dataclasses.replace(rule, window_id="b", zone_indexes=None))
    assert gate.home_workers(1.0, 7, (3, 2, 1), 3) == ([1, 2, 3], 2)  # neither moved nor added
    assert gate.home_workers(1.0, 7, (3, 2), 2) == ([2, 3], 1)  # lost ones are not replaced
    escrow.open_pool("freeze/a", 60, is_consumable=True, ends_at_ms=None)
    escrow.open_pool("freeze/b", 6, is_consumable=True, ends_at_ms=None)
    first, second = (
        PlacementChange(PlacementChangeKind.FIRST_INSTANCE, worker, 7, 0, None, True) for worker in (4, 5)
    )
    answers = [gate.admit(2.0, change).answer for change in (first, first, second)]
    assert answers == [
        AdmissionAnswer.PERMITTED_BY_EXCEPTION,
        AdmissionAnswer.PERMITTED,  # a placement uses up one exception, once
        AdmissionAnswer.DENIED,
    ]
    gate.rules = ()
    may_release = False
    call: Any = {"function_id": 7, "worker_id": 5, "zone_index": 0, "tenant_index": None, "is_placed": False}
    assert not gate.can_send(3.0, **call, has_alternatives=True)  # still deferred
    assert gate.can_send(3.0, **call, has_alternatives=False)  # but service comes first
    may_release = True
    assert {deferred.kind for deferred in gate.release(4.0)} == {
        PlacementChangeKind.HOME_WORKERS,
        PlacementChangeKind.FIRST_INSTANCE,
    }
    assert not gate.deferred_changes
    assert gate.home_workers(5.0, 7, (3, 2, 1), 3) == ((3, 2, 1), 3)
