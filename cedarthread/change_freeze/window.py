"""Freeze windows: their bodies in the register, and each as a machine of states with edits by version.

What restricts acts as soon as it is held, what relaxes from ``settled`` + bound on (design page of the
register). Both come out of one rule: of a window all versions act together, until a later one has been
settled for so long.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum
from typing import Generic, TypeVar, get_args

import msgspec

from cedarthread import fleet_config
from cedarthread.components.interface import EntryKind, ReplicatedEntry
from cedarthread.fleet_config import MAX_WINDOW_SECONDS as LONGEST_S
from cedarthread.fleet_config import FleetConfigError, FrozenAction
from cedarthread.gossip.codec import MalformedDatagram

MAX_WINDOW_MS = LONGEST_S * 1000.0  # ms that a window lasts at most
MAX_VERSIONS = 8  # of one window that act together; more are joined into one that covers them
MAX_NAMES, MAX_TEXT_BYTES = 256, 512  # names of a kind in one body, bytes of a reason or an author, at most
MAX_NAME_BYTES = 64  # bytes of a name at most
ALL_CHANGE_KINDS: tuple[FrozenAction, ...] = get_args(FrozenAction)
MAX_EXCEPTION_BUDGET = 10_000  # placement changes of an allowance at most


class _EntryBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A body is an array of values in a fixed order: one meaning has one spelling."""


class WindowTerms(_EntryBody, frozen=True):
    """What one version of a window says. Times are Unix ms; no name of a kind: all of them."""

    window_id: str
    start_unix_ms: int
    end_unix_ms: int
    zone_names: tuple[str, ...]
    function_ids: tuple[int, ...]
    tenant_names: tuple[str, ...]
    frozen_kinds: tuple[FrozenAction, ...]
    exception_budget: int
    author: str
    reason: str


class Revocation(_EntryBody, frozen=True):
    """Ends a window early, for good: one that is wanted after all takes another id."""

    window_id: str
    author: str
    reason: str


class BreakGlass(_EntryBody, frozen=True):
    """Lifts a window until ``end``, Unix ms."""

    window_id: str
    end_unix_ms: int
    author: str
    reason: str


WindowBody = WindowTerms | Revocation | BreakGlass
_BODY_TYPES: dict[EntryKind, type[WindowTerms] | type[Revocation] | type[BreakGlass]] = {
    EntryKind.FREEZE: WindowTerms,
    EntryKind.REVOKE: Revocation,
    EntryKind.BREAK_GLASS: BreakGlass,
}


def entries_from_config(fleet: fleet_config.FleetConfig) -> list[tuple[EntryKind, str, bytes]]:
    """Kind, name and body of each entry of a file; FleetError for one that no router would take."""
    made: list[tuple[EntryKind, WindowBody]] = []
    made += [(EntryKind.FREEZE, _window_terms(window)) for window in fleet.freeze]
    made += [(EntryKind.REVOKE, Revocation(r.freeze, r.author, r.reason)) for r in fleet.revoke]
    made += [
        (EntryKind.BREAK_GLASS, BreakGlass(b.freeze, _to_unix_ms(b.end), b.author, b.reason))
        for b in fleet.break_glass
    ]
    for kind, body in made:
        if (wrong := _error_in(body)) is not None:
            raise FleetConfigError(f"{kind} ({body.window_id}): {wrong}")
    return [(kind, body.window_id, encode(body)) for kind, body in made]


def encode(body: WindowBody) -> bytes:
    """The one spelling of a body."""
    return msgspec.msgpack.encode(body)


def decode(kind: EntryKind, name: str, raw: bytes) -> WindowBody | MalformedDatagram:
    """What an entry's body says. Whatever it holds, no error is raised."""
    if (body_type := _BODY_TYPES.get(kind)) is None:
        return MalformedDatagram(f"{kind} is not about windows")
    try:
        body = msgspec.msgpack.decode(raw, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, RecursionError) as error:
        return MalformedDatagram(str(error))
    if body.window_id != name:
        return MalformedDatagram("the body is of another window than its name")
    if (problem := _error_in(body)) is not None:
        return MalformedDatagram(problem)
    # Two spellings of one meaning would have two digests, and seem to be an edit each.
    return body if encode(body) == raw else MalformedDatagram("not in the one spelling")


def _window_terms(window: fleet_config.FreezeWindowConfig) -> WindowTerms:
    return WindowTerms(
        window.id,
        _to_unix_ms(window.start),
        _to_unix_ms(window.end),
        _sorted_unique(window.rooms),
        tuple(sorted({int(name, 16) for name in window.functions})),
        _sorted_unique(window.tenants),
        tuple(what for what in ALL_CHANGE_KINDS if what in window.frozen),
        window.allowance,
        window.author,
        window.reason,
    )


def _to_unix_ms(time: datetime) -> int:
    return round(time.timestamp() * 1000.0)


def _sorted_unique(names: Sequence[str]) -> tuple[str, ...]:
    return tuple(sorted(set(names)))


def _error_in(body: WindowBody) -> str | None:
    """What is wrong with a body, None for nothing: entries come over the wire, from whoever wrote them."""
    if not 1 <= len(body.window_id.encode()) <= MAX_NAME_BYTES:
        return "no name of 1 to 64 bytes"
    if max(len(body.author.encode()), len(body.reason.encode())) > MAX_TEXT_BYTES:
        return f"author or reason is over {MAX_TEXT_BYTES} bytes"
    if isinstance(body, Revocation):
        return None
    if not 0 <= body.end_unix_ms < 2**53:
        return "the end is no time"
    if isinstance(body, BreakGlass):
        return None
    if (
        not 0 <= body.start_unix_ms < body.end_unix_ms
        or body.end_unix_ms - body.start_unix_ms > MAX_WINDOW_MS
    ):
        return f"a window lasts up to {LONGEST_S / 3600:g} hours"
    if not 0 <= body.exception_budget <= MAX_EXCEPTION_BUDGET:
        return f"the allowance is not 0 to {MAX_EXCEPTION_BUDGET}"
    return _error_in_names(body)


def _error_in_names(terms: WindowTerms) -> str | None:
    for names in (terms.zone_names, terms.tenant_names, terms.function_ids):
        if len(names) > MAX_NAMES or len(set(names)) < len(names) or list(names) != sorted(names):
            return f"names are not up to {MAX_NAMES}, in order, each once"
    if any(
        not 1 <= len(name.encode()) <= MAX_NAME_BYTES for name in (*terms.zone_names, *terms.tenant_names)
    ):
        return "no name of 1 to 64 bytes"
    if any(not 0 <= function < 2**64 for function in terms.function_ids):
        return "no function of 64 bits"
    if tuple(what for what in ALL_CHANGE_KINDS if what in terms.frozen_kinds) != terms.frozen_kinds:
        return "what is frozen is not in order, each once"
    return None


def strictest_union(first: WindowTerms, second: WindowTerms) -> WindowTerms:
    """Terms as strict as both together at any time: wider than needed, never narrower."""

    def either(a: tuple[str, ...], b: tuple[str, ...]) -> tuple[str, ...]:
        return _sorted_unique((*a, *b)) if a and b else ()

    functions = (
        (*first.function_ids, *second.function_ids) if first.function_ids and second.function_ids else ()
    )
    return WindowTerms(
        first.window_id,
        min(first.start_unix_ms, second.start_unix_ms),
        max(first.end_unix_ms, second.end_unix_ms),
        either(first.zone_names, second.zone_names),
        tuple(sorted(set(functions))),
        either(first.tenant_names, second.tenant_names),
        tuple(what for what in ALL_CHANGE_KINDS if what in first.frozen_kinds or what in second.frozen_kinds),
        min(first.exception_budget, second.exception_budget),
        second.author,
        second.reason,
    )


class WindowState(StrEnum):
    """How a window stands at one router."""

    DECLARED = "declared"
    PENDING = "due"  # it begins within the bound
    IN_FORCE = "in force"
    LIFTED = "broken open"
    ENDED = "ended"
    REVOKED = "revoked"


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One look at the clocks: ``now`` steady; ``least`` and ``most``: wall time, Unix ms, as it may be."""

    now_ms: float
    earliest_unix_ms: float
    latest_unix_ms: float
    staleness_bound_ms: float  # ms, B of the register's design page
    lead_ms: float = 0.0  # ms by which windows begin earlier: the next look may come so late


_BodyT = TypeVar("_BodyT", WindowTerms, Revocation, BreakGlass)


@dataclass(slots=True)
class _HeldVersion(Generic[_BodyT]):
    replicated: ReplicatedEntry
    body: _BodyT
    is_predecessor_unknown: bool = False  # it replaced one that this router never held

    def is_effective(self, reading: ClockReading) -> bool:
        """Whether all that are fresh know it by now, so that what it relaxes is relaxed."""
        return (
            self.replicated.replicated_at_ms is not None
            and reading.now_ms >= self.replicated.replicated_at_ms + reading.staleness_bound_ms
        )


@dataclass(slots=True)
class FreezeWindow:
    """One window as one router holds it: its versions that still act, the oldest first."""

    window_id: str
    versions: list[_HeldVersion[WindowTerms]] = field(default_factory=list)
    break_glass: list[_HeldVersion[BreakGlass]] = field(default_factory=list)
    revocation: _HeldVersion[Revocation] | None = None
    state: WindowState = WindowState.DECLARED
    was_declared_late: bool = False  # it was declared with less lead than the bound

    def add(self, replicated: ReplicatedEntry, body: WindowBody) -> bool:
        """Hold an entry or what is newly known of it; whether it is an edit that was not held before."""
        if isinstance(body, Revocation):
            is_new = self.revocation is None
            if is_new or not self._is_older(replicated, self.revocation):
                self.revocation = _HeldVersion(replicated, body)
            return is_new
        if isinstance(body, BreakGlass):
            return self._add_version(self.break_glass, replicated, body)
        is_new = self._add_version(self.versions, replicated, body)
        if is_new and len(self.versions) > MAX_VERSIONS:
            first, second = self.versions[:2]
            self.versions[:2] = [
                _HeldVersion(
                    second.replicated, strictest_union(first.body, second.body), first.is_predecessor_unknown
                )
            ]
        return is_new

    @staticmethod
    def _is_older(replicated: ReplicatedEntry, version: _HeldVersion[Revocation] | None) -> bool:
        return version is not None and replicated.entry.version < version.replicated.entry.version

    @staticmethod
    def _add_version(versions: list[_HeldVersion[_BodyT]], replicated: ReplicatedEntry, body: _BodyT) -> bool:
        for version in versions:
            if version.replicated.entry == replicated.entry:
                version.replicated = replicated
                return False
        if versions and replicated.entry.version < versions[-1].replicated.entry.version:
            return False  # the register never goes back: an old one that comes late
        versions.append(
            _HeldVersion(replicated, body, not versions and replicated.entry.replaces_digest != 0)
        )
        return True

    def update(self, reading: ClockReading) -> tuple[WindowTerms, ...]:
        """Take what has come to act by now, set the state, and return the terms in force."""
        for versions in (self.versions, self.break_glass):
            for index in range(len(versions) - 1, 0, -1):
                if versions[index].is_effective(reading):
                    del versions[:index]
                    break
        in_force = tuple(
            terms for edit in self.versions if (terms := self._terms_in_force(edit, reading)) is not None
        )
        self.state = self._next_state(reading, bool(in_force))
        return in_force if self.state is WindowState.IN_FORCE else ()

    def _terms_in_force(
        self, version: _HeldVersion[WindowTerms], reading: ClockReading
    ) -> WindowTerms | None:
        terms = version.body
        if (
            version.is_predecessor_unknown
            and not version.is_effective(reading)
            and reading.now_ms < version.replicated.received_at_ms + MAX_WINDOW_MS
        ):
            # What it replaced is unknown, and others may act by that still: everything may be frozen.
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
        return (
            terms
            if reading.latest_unix_ms + reading.lead_ms >= terms.start_unix_ms
            and reading.earliest_unix_ms < terms.end_unix_ms
            else None
        )

    def _next_state(self, reading: ClockReading, is_covered: bool) -> WindowState:
        if self.revocation is not None and (
            self.state is WindowState.REVOKED or self.revocation.is_effective(reading)
        ):  # once revoked, a later wording of the revocation does not bring the window back
            return WindowState.REVOKED
        if is_covered:
            return WindowState.LIFTED if self._is_lifted(reading) else WindowState.IN_FORCE
        if self.versions and all(reading.earliest_unix_ms >= edit.body.end_unix_ms for edit in self.versions):
            return WindowState.ENDED
        due = any(
            reading.latest_unix_ms + reading.staleness_bound_ms >= edit.body.start_unix_ms
            for edit in self.versions
        )
        return WindowState.PENDING if due else WindowState.DECLARED

    def _is_lifted(self, reading: ClockReading) -> bool:
        """Break-glass holds from when all know of it, to the earliest end that is held."""
        return (
            bool(self.break_glass)
            and self.break_glass[0].is_effective(reading)
            and all(reading.latest_unix_ms < g.body.end_unix_ms for g in self.break_glass)
        )

    def earliest_start_unix_ms(self) -> float:
        """The earliest start of what is held, Unix ms."""
        return min((edit.body.start_unix_ms for edit in self.versions), default=0)

    def latest_end_unix_ms(self) -> float:
        """The latest end of what is held, Unix ms."""
        return max((edit.body.end_unix_ms for edit in self.versions), default=0)

    def minimum_exception_budget(self) -> int:
        """The least of what is held: it rises only once all know."""
        return min((edit.body.exception_budget for edit in self.versions), default=0)
