"""A freeze window at one router: a state machine over the versions of the window's entries.

A restriction is in effect as soon as this router receives its entry. A relaxation is in effect only after its
entry has been on a majority of routers for the staleness bound. One rule implements both: all versions of a
window are in effect together until a later version has been on a majority for the staleness bound
(docs/design/change-freeze.md, steps 12 to 16). The window registry adds versions; the change freeze component
updates the state.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Generic, TypeVar

from cedarthread.change_freeze.window_entries import (
    ALL_CHANGE_KINDS,
    MAX_WINDOW_MS,
    BreakGlass,
    Revocation,
    WindowBody,
    WindowTerms,
    strictest_union,
)

if TYPE_CHECKING:
    from cedarthread.components.replicated_state import ReplicatedEntry

# Maximum number of versions in effect together for one window; the two oldest are merged if there are more.
MAX_VERSIONS = 8


class WindowState(StrEnum):
    """The state of a window at one router; the values are shown to operators."""

    DECLARED = "declared"
    PENDING = "due"  # the window starts within the staleness bound
    IN_FORCE = "in force"
    LIFTED = "broken open"  # lifted by break-glass
    ENDED = "ended"
    REVOKED = "revoked"


FINAL_STATES = (WindowState.ENDED, WindowState.REVOKED)


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of the monotonic clock, and of the wall clock as a range in Unix ms."""

    now_ms: float  # time on the monotonic clock
    earliest_unix_ms: float
    latest_unix_ms: float
    # How long after an entry is on a majority it is on all fresh routers; B in docs/design/replication.md:
    staleness_bound_ms: float
    lead_ms: float = 0.0  # how early windows start, because the next reading may be that much later


_BodyT = TypeVar("_BodyT", WindowTerms, Revocation, BreakGlass)


@dataclass(slots=True)
class _StoredVersion(Generic[_BodyT]):
    """A version of an entry, with its decoded body."""

    replicated: ReplicatedEntry
    body: _BodyT
    is_predecessor_unknown: bool = False  # whether the version replaces one that this router never received

    def is_effective(self, reading: ClockReading) -> bool:
        """Return whether all fresh routers have this version, so that its relaxations are in effect."""
        replicated_at_ms = self.replicated.replicated_at_ms
        return (
            replicated_at_ms is not None and reading.now_ms >= replicated_at_ms + reading.staleness_bound_ms
        )


@dataclass(slots=True)
class FreezeWindow:
    """A window at one router: the versions of its entries that may be in effect, oldest first."""

    window_id: str
    versions: list[_StoredVersion[WindowTerms]] = field(default_factory=list)
    break_glass: list[_StoredVersion[BreakGlass]] = field(default_factory=list)
    revocation: _StoredVersion[Revocation] | None = None
    state: WindowState = WindowState.DECLARED
    was_declared_late: bool = False  # whether it was declared less than the staleness bound before its start

    def add(self, replicated: ReplicatedEntry, body: WindowBody) -> bool:
        """Add an entry, or update its replication time; return whether the entry is new."""
        if isinstance(body, Revocation):
            is_new = self.revocation is None
            if is_new or not self._is_older(replicated, self.revocation):
                self.revocation = _StoredVersion(replicated, body)
            return is_new
        if isinstance(body, BreakGlass):
            return self._add_version(self.break_glass, replicated, body)
        is_new = self._add_version(self.versions, replicated, body)
        if is_new and len(self.versions) > MAX_VERSIONS:
            first, second = self.versions[:2]
            merged = strictest_union(first.body, second.body)
            self.versions[:2] = [_StoredVersion(second.replicated, merged, first.is_predecessor_unknown)]
        return is_new

    @staticmethod
    def _is_older(replicated: ReplicatedEntry, version: _StoredVersion[Revocation] | None) -> bool:
        return version is not None and replicated.entry.version < version.replicated.entry.version

    @staticmethod
    def _add_version(
        versions: list[_StoredVersion[_BodyT]], replicated: ReplicatedEntry, body: _BodyT
    ) -> bool:
        for version in versions:
            if version.replicated.entry == replicated.entry:
                version.replicated = replicated
                return False
        if versions and replicated.entry.version < versions[-1].replicated.entry.version:
            return False  # an old version that arrives late; the replicated store never reverts to one
        is_predecessor_unknown = not versions and replicated.entry.replaces_digest != 0
        versions.append(_StoredVersion(replicated, body, is_predecessor_unknown))
        return True

    def update(self, reading: ClockReading) -> tuple[WindowTerms, ...]:
        """Drop superseded versions, set the state, and return the terms in force."""
        _drop_superseded(self.versions, reading)
        _drop_superseded(self.break_glass, reading)
        in_force = tuple(
            terms
            for version in self.versions
            if (terms := self._terms_in_force(version, reading)) is not None
        )
        self.state = self._next_state(reading, has_terms_in_force=bool(in_force))
        return in_force if self.state is WindowState.IN_FORCE else ()

    def _terms_in_force(
        self, version: _StoredVersion[WindowTerms], reading: ClockReading
    ) -> WindowTerms | None:
        terms = version.body
        if (
            version.is_predecessor_unknown
            and not version.is_effective(reading)
            and reading.now_ms < version.replicated.received_at_ms + MAX_WINDOW_MS
        ):
            # Other routers may still apply the replaced version. Its terms are unknown here, so every kind
            # of change is frozen.
            return WindowTerms(
                terms.window_id,
                0,
                terms.end_unix_ms,
                (),
                (),
                (),
                ALL_CHANGE_KINDS,
                0,
                terms.author,
                terms.reason,
            )
        has_started = reading.latest_unix_ms + reading.lead_ms >= terms.start_unix_ms
        return terms if has_started and reading.earliest_unix_ms < terms.end_unix_ms else None

    def _next_state(self, reading: ClockReading, *, has_terms_in_force: bool) -> WindowState:
        """Return the next state. ``has_terms_in_force``: whether the terms of a version are in force."""
        if self.revocation is not None and (
            self.state is WindowState.REVOKED or self.revocation.is_effective(reading)
        ):  # a later version of the revocation does not end the revoked state
            return WindowState.REVOKED
        if has_terms_in_force:
            return WindowState.LIFTED if self._is_lifted(reading) else WindowState.IN_FORCE
        if self.versions and all(
            reading.earliest_unix_ms >= version.body.end_unix_ms for version in self.versions
        ):
            return WindowState.ENDED
        starts_soon = any(
            reading.latest_unix_ms + reading.staleness_bound_ms >= version.body.start_unix_ms
            for version in self.versions
        )
        return WindowState.PENDING if starts_soon else WindowState.DECLARED

    def _is_lifted(self, reading: ClockReading) -> bool:
        """Return whether break-glass is in effect.

        Break-glass starts once all fresh routers have its oldest version, and ends at the earliest end of its
        versions.
        """
        return (
            bool(self.break_glass)
            and self.break_glass[0].is_effective(reading)
            and all(reading.latest_unix_ms < version.body.end_unix_ms for version in self.break_glass)
        )

    def earliest_start_unix_ms(self) -> float:
        """Return the earliest start of the versions in effect; 0 without a version."""
        return min((version.body.start_unix_ms for version in self.versions), default=0)

    def latest_end_unix_ms(self) -> float:
        """Return the latest end of the versions in effect; 0 without a version."""
        return max((version.body.end_unix_ms for version in self.versions), default=0)

    def minimum_exception_budget(self) -> int:
        """Return the least exception budget of the versions in effect.

        A budget rises only after all fresh routers have the version that raises it.
        """
        return min((version.body.exception_budget for version in self.versions), default=0)


def _drop_superseded(versions: list[_StoredVersion[_BodyT]], reading: ClockReading) -> None:
    """Drop all versions before the latest one that all fresh routers have."""
    for index in range(len(versions) - 1, 0, -1):
        if versions[index].is_effective(reading):
            del versions[:index]
            break
