"""Entries of the replicated store that declare freeze windows: records, validation and codec.

An entry's body is a MessagePack array in canonical form: each meaning has exactly one encoding. Equal
declarations therefore have equal digests and do not count as edits. Times are Unix ms.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from cedarthread.change_freeze.placement_changes import PlacementChangeKind
from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.replicated_state import EntryKind
from cedarthread.fleet_config import MAX_WINDOW_SECONDS, FleetConfigError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from datetime import datetime

    from cedarthread import fleet_config

MAX_WINDOW_MS = MAX_WINDOW_SECONDS * 1000.0
MAX_NAMES = 256  # maximum number of zones, functions or tenants in one body
MAX_TEXT_BYTES = 512  # longest reason or author
MAX_NAME_BYTES = 64
MAX_EXCEPTION_BUDGET = 10_000  # maximum number of placement changes by exception per window
MAX_UNIX_MS = 2**53  # greatest Unix time; a float represents no greater whole number exactly
ALL_CHANGE_KINDS = tuple(PlacementChangeKind)  # all kinds in the canonical order of a body


class _EntryBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The body of an entry: on the wire an array of values in the order of the fields."""


class WindowTerms(_EntryBody, frozen=True):
    """The terms of one version of a window. An empty tuple of names, ids or tenants means all of them."""

    window_id: str
    start_unix_ms: int
    end_unix_ms: int
    zone_names: tuple[str, ...]
    function_ids: tuple[int, ...]
    tenant_names: tuple[str, ...]
    frozen_kinds: tuple[PlacementChangeKind, ...]
    exception_budget: int
    author: str
    reason: str


class Revocation(_EntryBody, frozen=True):
    """The body that ends a window early and permanently; a later window requires another id."""

    window_id: str
    author: str
    reason: str


class BreakGlass(_EntryBody, frozen=True):
    """The body that lifts a window until ``end_unix_ms``."""

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


class WindowEntry(NamedTuple):
    """An entry to propose to the replicated store; the name is the window's id."""

    kind: EntryKind
    name: str
    body: bytes


def entries_from_config(fleet: fleet_config.FleetConfig) -> list[WindowEntry]:
    """Return the entries that a fleet file declares.

    Raises:
        FleetConfigError: An entry is invalid, so that no router would accept it.
    """
    windows = [(EntryKind.FREEZE, _window_terms(window)) for window in fleet.freeze]
    revocations = [
        (EntryKind.REVOKE, Revocation(revoked.freeze, revoked.author, revoked.reason))
        for revoked in fleet.revoke
    ]
    break_glass = [
        (
            EntryKind.BREAK_GLASS,
            BreakGlass(lifted.freeze, _to_unix_ms(lifted.end), lifted.author, lifted.reason),
        )
        for lifted in fleet.break_glass
    ]
    bodies: list[tuple[EntryKind, WindowBody]] = [*windows, *revocations, *break_glass]
    for kind, body in bodies:
        if (problem := _validation_error(body)) is not None:
            raise FleetConfigError(f"{kind} ({body.window_id}): {problem}")
    return [WindowEntry(kind, body.window_id, encode(body)) for kind, body in bodies]


def encode(body: WindowBody) -> bytes:
    """Return the canonical encoding of a body."""
    return msgspec.msgpack.encode(body)


def decode(kind: EntryKind, name: str, raw: bytes) -> WindowBody | MalformedDatagram:
    """Return the body of an entry, or why the bytes are malformed; never raise, even on hostile bytes."""
    if (body_type := _BODY_TYPES.get(kind)) is None:
        return MalformedDatagram(f"entries of kind {kind} do not concern windows")
    try:
        body = msgspec.msgpack.decode(raw, type=body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError, RecursionError) as error:
        return MalformedDatagram(str(error))
    if body.window_id != name:
        return MalformedDatagram("the window id in the body differs from the name of the entry")
    if (problem := _validation_error(body)) is not None:
        return MalformedDatagram(problem)
    # A second encoding of one meaning would have another digest, and would count as an edit.
    return body if encode(body) == raw else MalformedDatagram("the encoding is not canonical")


def _window_terms(window: fleet_config.FreezeWindowConfig) -> WindowTerms:
    return WindowTerms(
        window.id,
        _to_unix_ms(window.start),
        _to_unix_ms(window.end),
        _sorted_unique(window.rooms),
        tuple(sorted({int(name, 16) for name in window.functions})),
        _sorted_unique(window.tenants),
        tuple(kind for kind in ALL_CHANGE_KINDS if kind in window.frozen),
        window.allowance,
        window.author,
        window.reason,
    )


def _to_unix_ms(time: datetime) -> int:
    return round(time.timestamp() * 1000.0)


def _sorted_unique(names: Sequence[str]) -> tuple[str, ...]:
    return tuple(sorted(set(names)))


def _validation_error(body: WindowBody) -> str | None:
    """Return what is invalid in a body, or None. Entries arrive over the network from any author."""
    if not 1 <= len(body.window_id.encode()) <= MAX_NAME_BYTES:
        return "a name is not 1 to 64 bytes long"
    if max(len(body.author.encode()), len(body.reason.encode())) > MAX_TEXT_BYTES:
        return f"the author or the reason is longer than {MAX_TEXT_BYTES} bytes"
    if isinstance(body, Revocation):
        return None
    if not 0 <= body.end_unix_ms < MAX_UNIX_MS:
        return "the end is out of range"
    if isinstance(body, BreakGlass):
        return None
    duration_ms = body.end_unix_ms - body.start_unix_ms
    if not 0 <= body.start_unix_ms < body.end_unix_ms or duration_ms > MAX_WINDOW_MS:
        return (
            f"the start is invalid, or the window is empty or longer than {MAX_WINDOW_SECONDS / 3600:g} hours"
        )
    if not 0 <= body.exception_budget <= MAX_EXCEPTION_BUDGET:
        return f"the allowance is outside 0 to {MAX_EXCEPTION_BUDGET}"
    return _name_list_error(body)


def _name_list_error(terms: WindowTerms) -> str | None:
    for names in (terms.zone_names, terms.tenant_names, terms.function_ids):
        if len(names) > MAX_NAMES or len(set(names)) < len(names) or list(names) != sorted(names):
            return f"a list has more than {MAX_NAMES} names, or is not sorted without duplicates"
    if any(
        not 1 <= len(name.encode()) <= MAX_NAME_BYTES for name in (*terms.zone_names, *terms.tenant_names)
    ):
        return "a name is not 1 to 64 bytes long"
    if any(not 0 <= function_id < 2**64 for function_id in terms.function_ids):
        return "a function id is not an unsigned 64-bit integer"
    if tuple(kind for kind in ALL_CHANGE_KINDS if kind in terms.frozen_kinds) != terms.frozen_kinds:
        return "the frozen kinds are not in canonical order without duplicates"
    return None


def strictest_union(first: WindowTerms, second: WindowTerms) -> WindowTerms:
    """Return terms that at any time are at least as strict as both inputs combined, and may be stricter."""

    def union(names: tuple[str, ...], other_names: tuple[str, ...]) -> tuple[str, ...]:
        return _sorted_unique((*names, *other_names)) if names and other_names else ()

    function_ids: tuple[int, ...] = ()
    if first.function_ids and second.function_ids:
        function_ids = (*first.function_ids, *second.function_ids)
    return WindowTerms(
        first.window_id,
        min(first.start_unix_ms, second.start_unix_ms),
        max(first.end_unix_ms, second.end_unix_ms),
        union(first.zone_names, second.zone_names),
        tuple(sorted(set(function_ids))),
        union(first.tenant_names, second.tenant_names),
        tuple(kind for kind in ALL_CHANGE_KINDS if kind in first.frozen_kinds or kind in second.frozen_kinds),
        min(first.exception_budget, second.exception_budget),
        second.author,
        second.reason,
    )
