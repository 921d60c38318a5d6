"""A model of one router with the change freeze component and its environment, explored exhaustively.

The environment may do all that the replicated store permits: replicate, deliver and confirm entries in any
order, partition or restart the router, and step its clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.placement_changes import PlacementChange, PlacementChangeKind
from cedarthread.change_freeze.window_entries import BreakGlass, Revocation, WindowBody, encode
from cedarthread.components.notifications import WallClockRead
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import SharingConfig
from tests import helpers
from tests.unit.change_freeze.builders import EPOCH_UNIX_MS, FakeEscrow, window_terms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

STEP_MS = 1000.0
FRESHNESS_STEPS = 1
BOUND_STEPS = 2  # the staleness bound
START_STEP = 3
END_STEP = 7
SHORTENED_END_STEP = 5
LAST_STEP = 9
CHANGE_STEPS = (1, START_STEP + 1)  # steps at which the environment changes
NEVER = 99  # later than the last step
MS_PER_HOUR = 3_600_000.0

# Indexes of the entries: a window, and three entries that relax the window. A run has one of these three.
WINDOW, SHORTENED, REVOKED, LIFTED = range(4)


def _window_until(end_step: int) -> WindowBody:
    return window_terms(START_STEP * STEP_MS, end_step * STEP_MS)


BODIES: tuple[tuple[EntryKind, WindowBody], ...] = (
    (EntryKind.FREEZE, _window_until(END_STEP)),
    (EntryKind.FREEZE, _window_until(SHORTENED_END_STEP)),
    (EntryKind.REVOKE, Revocation("w", "ops", "why")),
    (EntryKind.BREAK_GLASS, BreakGlass("w", int(EPOCH_UNIX_MS + (END_STEP - 1) * STEP_MS), "ops", "why")),
)
ENTRIES = tuple(
    Entry(kind, "w", Version(index + 1, 0, 1), encode(body), replaces_digest=int(index == SHORTENED))
    for index, (kind, body) in enumerate(BODIES)
)
SETTINGS = helpers.settings(router_count=3)


@dataclass
class RouterModel:
    """One router and its environment, which may do all that the replicated store's guarantees permit."""

    relaxing_entry: int = SHORTENED  # the entry of ``BODIES`` that follows the window
    step_index: int = 0
    # By index of an entry, the step at which a majority had the entry, the router received the entry, and the
    # router knew of the majority:
    replicated_at: dict[int, int] = field(default_factory=dict)
    received_at: dict[int, int] = field(default_factory=dict)
    known_replicated_at: dict[int, int] = field(default_factory=dict)
    reaches_majority: bool = True
    wall_clock_step_ms: float = 0.0
    # Whether the wall clock stepped before the router received an entry; if so, the clock applied the step.
    stepped_before_window: bool = False
    has_restarted: bool = False
    staleness_bound_ms: float = BOUND_STEPS * STEP_MS
    component: ChangeFreezeComponent | None = None
    make_copy: Callable[[], RouterModel] | None = None

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        newest: dict[str, ReplicatedEntry] = {}
        for index, step in sorted(self.received_at.items()):
            if BODIES[index][0] is kind:
                body = BODIES[index][1]
                replicated_step = self.known_replicated_at.get(index)
                replicated_at_ms = None if replicated_step is None else replicated_step * STEP_MS
                newest[body.window_id] = ReplicatedEntry(ENTRIES[index], step * STEP_MS, replicated_at_ms)
        return tuple(newest.values())

    def is_fresh(self, now_ms: float) -> bool:
        return self.reaches_majority

    def fresh_since(self, now_ms: float) -> float | None:
        return None

    def may_be_fresh(self) -> bool:
        """Return whether the guarantees of the replicated store permit that the router is fresh.

        A fresh router has each entry that a majority had ``FRESHNESS_STEPS`` before, or a later version, and
        knows of the majority.
        """
        missing = [
            index
            for index, step in self.replicated_at.items()
            if self.step_index > step + FRESHNESS_STEPS and index not in self.received_at
        ]
        has_unconfirmed = any(
            self.step_index > step + FRESHNESS_STEPS and index not in self.known_replicated_at
            for index, step in self.received_at.items()
        )
        is_superseded = SHORTENED in self.received_at
        return not has_unconfirmed and all(index == WINDOW and is_superseded for index in missing)

    def tick(self) -> None:
        """Pass a reading of the host's clock and samples of other clocks to the component, then tick."""
        now_ms = self.step_index * STEP_MS
        if self.component is None:
            sharing = SharingConfig(clock_error=0.0, clock_rate=0.0)
            escrow = FakeEscrow(0, is_empty=True)
            self.component = ChangeFreezeComponent(SETTINGS, sharing, self, escrow, now_ms=now_ms)
        host_unix_ms = EPOCH_UNIX_MS + now_ms + self.wall_clock_step_ms
        self.component.on_notification(now_ms, WallClockRead(host_unix_ms))
        if self.reaches_majority:
            for peer_index in (1, 2):
                self.component.wall_clock.add_sample(now_ms, peer_index, EPOCH_UNIX_MS + now_ms, now_ms)
        self.component.on_tick(now_ms)

    def state_key(self) -> tuple[object, ...]:
        """Return a key that is equal for states with equal successors."""
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
            tuple(
                (index, min(self.step_index - step, BOUND_STEPS + 1)) for index, step in sorted(steps.items())
            )
            for steps in (self.replicated_at, self.known_replicated_at)
        )
        gate = (
            self.component.gate.rules,
            self.component.gate.is_uncertain,
            self.component.stale_hold.last_fresh_at_ms is None,
            window.state if window else "",
        )
        clock = (
            self.component.wall_clock.applied_offset_ms,
            self.component.wall_clock.unconfirmed_offset_ms,
            len(self.component.wall_clock.samples) > 0,
        )
        own_state = (
            self.reaches_majority,
            self.wall_clock_step_ms,
            self.stepped_before_window,
            self.has_restarted,
            versions,
            gate,
            clock,
        )
        return self.step_index, ages, tuple(sorted(self.received_at)), *own_state

    def _age(self, replicated_at_ms: float | None) -> float:
        """Return the age of a version, limited to the bound, after which the age has no effect."""
        if replicated_at_ms is None:
            return -1.0
        return min(self.step_index * STEP_MS - replicated_at_ms, self.staleness_bound_ms)

    def successors(self) -> Iterator[RouterModel]:
        for transitions in (self._replicate, self._deliver, self._confirm_replicated):
            yield from transitions()
        if self.step_index in CHANGE_STEPS:
            yield self._changed(reaches_majority=not self.reaches_majority)
        if not self.wall_clock_step_ms and self.step_index == START_STEP + 1:
            for hours in (-5, 5):
                yield self._changed(
                    wall_clock_step_ms=hours * MS_PER_HOUR, stepped_before_window=not self.received_at
                )
        if not self.has_restarted and self.step_index == START_STEP + 1:
            # The router restarts without entries, or with the latest versions of its entries.
            latest = {
                index: step
                for index, step in self.received_at.items()
                if index != WINDOW or SHORTENED not in self.received_at
            }
            for restored in ({}, latest):
                yield self._changed(
                    component=None,
                    has_restarted=True,
                    reaches_majority=False,
                    received_at=restored,
                    known_replicated_at={},
                )
        if self.step_index < LAST_STEP:
            yield self._changed(step_index=self.step_index + 1)

    def _changed(self, **changes: object) -> RouterModel:
        if self.make_copy is None:
            self.make_copy = helpers.make_copier(self, (SETTINGS, *(body for _, body in BODIES), *ENTRIES))
        model = self.make_copy()
        for name, value in changes.items():
            setattr(model, name, value)
        return model

    def _replicate(self) -> Iterator[RouterModel]:
        indexes = (WINDOW, self.relaxing_entry) if WINDOW in self.replicated_at else (WINDOW,)
        for index in indexes:
            if index not in self.replicated_at and self.step_index in CHANGE_STEPS:
                yield self._changed(replicated_at=self.replicated_at | {index: self.step_index})

    def _deliver(self) -> Iterator[RouterModel]:
        for index in self.replicated_at:
            is_superseded = index == WINDOW and SHORTENED in self.received_at
            if index not in self.received_at and not is_superseded:
                yield self._changed(received_at=self.received_at | {index: self.step_index})

    def _confirm_replicated(self) -> Iterator[RouterModel]:
        for index in self.received_at:
            if index not in self.known_replicated_at:
                yield self._changed(known_replicated_at=self.known_replicated_at | {index: self.step_index})

    def violation(self) -> str | None:
        """Return the violation in this state, according to the true state of the environment; None: none."""
        assert self.component is not None
        permits_changes = not self.component.gate.is_frozen(
            PlacementChange(PlacementChangeKind.FIRST_INSTANCE, None, 1)
        )
        relaxed_at = min(
            (step + BOUND_STEPS for index, step in self.replicated_at.items() if index != WINDOW),
            default=NEVER,
        )
        must_be_frozen = (
            WINDOW in self.replicated_at
            and self.step_index > max(START_STEP, self.replicated_at[WINDOW] + FRESHNESS_STEPS)
            and self.step_index < min(END_STEP, relaxed_at)
        )
        if must_be_frozen and permits_changes and self.has_restarted and not self.reaches_majority:
            return "a restarted router changed placements in the window, before it was fresh"
        if must_be_frozen and permits_changes and self.reaches_majority:
            return "a fresh router changed placements in the window"
        trusts_wrong_clock = self.wall_clock_step_ms and (self.has_restarted or self.stepped_before_window)
        lacks_predecessor = SHORTENED in self.received_at and WINDOW not in self.received_at
        must_have_ended = self.step_index >= END_STEP + (BOUND_STEPS if lacks_predecessor else 0)
        if not permits_changes and must_have_ended and self.reaches_majority and not trusts_wrong_clock:
            return "the window did not end"
        return None


class Exploration(NamedTuple):
    """The number of states explored, and the violations found."""

    state_count: int
    violations: set[str]


def explore(relaxing_entry: int) -> Exploration:
    """Explore all runs with the window and one relaxing entry."""
    first = RouterModel(relaxing_entry)
    first.tick()
    seen = {first.state_key()}
    pending = [first]
    violations = set[str]()
    while pending:
        state = pending.pop()
        if (violation := state.violation()) is not None:
            violations.add(violation)
        for successor in state.successors():
            if successor.reaches_majority and not successor.may_be_fresh():
                successor.reaches_majority = False
            successor.tick()
            if (key := successor.state_key()) not in seen:
                seen.add(key)
                pending.append(successor)
    return Exploration(len(seen), violations)
