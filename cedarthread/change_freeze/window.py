"""One freeze window at one router: a state machine over the versions of its entries that may be in effect.

What restricts is in effect as soon as it is held; what relaxes is in effect only once it has been
replicated to a majority for the staleness bound. Both come out of one rule: all versions of a window are in
effect together until a later one has been replicated for so long (docs/design/freeze.md, steps 12 to 16).
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

MAX_VERSIONS = 8  # of one window that are in effect together; more are merged into one that covers them


class WindowState(StrEnum):
    """The state of a window at one router; the values are figures that operators read."""

    DECLARED = "declared"
    PENDING = "due"  # it begins within the staleness bound
    IN_FORCE = "in force"
    LIFTED = "broken open"  # by break-glass
    ENDED = "ended"
    REVOKED = "revoked"


FINAL_STATES = (WindowState.ENDED, WindowState.REVOKED)


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One look at the clocks: the steady clock, and the wall clock as a range, in Unix ms."""

    now_ms: float  # steady clock
    earliest_unix_ms: float
    latest_unix_ms: float
    staleness_bound_ms: float  # B of the replicated store's design page
    lead_ms: float = 0.0  # by which windows begin earlier: the next look may come so much later


_BodyT = TypeVar("_BodyT", WindowTerms, Revocation, BreakGlass)


@dataclass(slots=True)
class _StoredVersion(Generic[_BodyT]):
    """One version of an entry as this router holds it."""

    replicated: ReplicatedEntry
    body: _BodyT
    is_predecessor_unknown: bool = False  # it replaced a version that this router never held

    def is_effective(self, reading: ClockReading) -> bool:
        """Whether all fresh routers hold it by now, so that what it relaxes is relaxed."""
        replicated_at_ms = self.replicated.replicated_at_ms
        return (
            replicated_at_ms is not None and reading.now_ms >= replicated_at_ms + reading.staleness_bound_ms
        )


@dataclass(slots=True)
class FreezeWindow:
    """One window as one router holds it: its versions that may be in effect, the oldest first."""

    window_id: str
    versions: list[_StoredVersion[WindowTerms]] = field(default_factory=list)
    break_glass: list[_StoredVersion[BreakGlass]] = field(default_factory=list)
    revocation: _StoredVersion[Revocation] | None = None
    state: WindowState = WindowState.DECLARED
    was_declared_late: bool = False  # less than the staleness bound before its start

    def add(self, replicated: ReplicatedEntry, body: WindowBody) -> bool:
        """Hold an entry, or what is newly known of its replication; whether it was not held before."""
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
            return False  # the replicated store never goes back: this is an old version that comes late
        is_predecessor_unknown = not versions and replicated.entry.replaces_digest != 0
        versions.append(_StoredVersion(replicated, body, is_predecessor_unknown))
        return True

    def update(self, reading: ClockReading) -> tuple[WindowTerms, ...]:
        """Drop versions that are superseded by now, set the state, and return the terms in force."""
        _drop_superseded(self.versions, reading)
        _drop_superseded(self.break_glass, reading)
        in_force = tuple(
            terms
            for version in self.versions
            if (terms := self._terms_in_force(version, reading)) is not None
        )
        self.state = self._next_state(reading, bool(in_force))
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
            # Other routers may still act on the unknown version that it replaced: all may be frozen.
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
        has_begun = reading.latest_unix_ms + reading.lead_ms >= terms.start_unix_ms
        return terms if has_begun and reading.earliest_unix_ms < terms.end_unix_ms else None

    def _next_state(self, reading: ClockReading, is_covered: bool) -> WindowState:
        if self.revocation is not None and (
            self.state is WindowState.REVOKED or self.revocation.is_effective(reading)
        ):  # once revoked, a later version of the revocation does not bring the window back
            return WindowState.REVOKED
        if is_covered:
            return WindowState.LIFTED if self._is_lifted(reading) else WindowState.IN_FORCE
        if self.versions and all(
            reading.earliest_unix_ms >= version.body.end_unix_ms for version in self.versions
        ):
            return WindowState.ENDED
        begins_soon = any(
            reading.latest_unix_ms + reading.staleness_bound_ms >= version.body.start_unix_ms
            for version in self.versions
        )
        return WindowState.PENDING if begins_soon else WindowState.DECLARED

    def _is_lifted(self, reading: ClockReading) -> bool:
        """Break-glass lasts from when all fresh routers hold it to the earliest end that is held."""
        return (
            bool(self.break_glass)
            and self.break_glass[0].is_effective(reading)
            and all(reading.latest_unix_ms < version.body.end_unix_ms for version in self.break_glass)
        )

    def earliest_start_unix_ms(self) -> float:
        """The earliest start of the versions held; 0 where none is."""
        return min((version.body.start_unix_ms for version in self.versions), default=0)

    def latest_end_unix_ms(self) -> float:
        """The latest end of the versions held; 0 where none is."""
        return max((version.body.end_unix_ms for version in self.versions), default=0)

    def minimum_exception_budget(self) -> int:
        """The least budget of the versions held: it rises only once all fresh routers know."""
        return min((version.body.exception_budget for version in self.versions), default=0)


def _drop_superseded(versions: list[_StoredVersion[_BodyT]], reading: ClockReading) -> None:
    """Drop all versions before the latest one that all fresh routers hold."""
    for index in range(len(versions) - 1, 0, -1):
        if versions[index].is_effective(reading):
            del versions[:index]
            break
