"""The roster: the workers by name, with what the resolver or the configuration told of each."""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass, replace
from typing import Any

from cedarthread import interface as i
from cedarthread.wire import positive

_NUMBERED = re.compile(r"[a-z]+-([0-9a-f]{8})\Z")
_STATES = {s.value: s for s in i.WorkerState}


def worker_number(name: str) -> int:
    """A worker's number: the same at every router, since all agree on a function's homes by it."""
    match = _NUMBERED.match(name)
    return int(match[1], 16) if match else zlib.crc32(name.encode())


@dataclass(frozen=True, slots=True)
class Listing:
    """One worker, as it was told."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: i.WorkerState
    weight: float
    started: float


def _place(names: tuple[str, ...], name: str) -> int:
    return names.index(name) if name in names else len(names)


class Roster:
    """What is known of the workers now."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.version = -1
        self.listings: dict[str, Listing] = {}

    def event(self, version: int, told: list[Listing], whole: bool) -> i.Membership | None:
        """Take news in; the event for the planner, or None where nothing is new."""
        if version <= self.version:
            return None  # a reply that was overtaken by a later one
        first = self.version < 0
        self.version = version
        changed = [entry for entry in told if self.listings.get(entry.name) != entry]
        if whole:
            names = {entry.name for entry in told}
            gone = [entry for name, entry in self.listings.items() if name not in names]
            changed += [replace(entry, state=i.WorkerState.GONE) for entry in gone]
        for entry in changed:
            if entry.state is i.WorkerState.GONE:
                self.listings.pop(entry.name, None)
            else:
                self.listings[entry.name] = entry
        kind = i.ListKind.CACHED if first else i.ListKind.DELTA
        return i.Membership(kind, version, tuple(self._worker(entry) for entry in changed))

    def _worker(self, entry: Listing) -> i.Worker:
        return i.Worker(
            worker_number(entry.name),
            _place(self.settings.zones, entry.zone),
            _place(self.settings.kinds, entry.kind),
            entry.cell,
            entry.state,
            positive(entry.weight),
            positive(entry.started),
        )


def listing_from_json(entry: dict[str, Any]) -> Listing:
    """An entry of the configuration's list."""
    host, _, port = str(entry["address"]).rpartition(":")
    return Listing(
        str(entry["name"]),
        host,
        int(port),
        str(entry["zone"]),
        str(entry["type"]),
        int(entry.get("group", 0)),
        _STATES[entry["status"]],
        float(entry.get("weight", 1)),
        float(entry.get("since_ms", 0)),
    )
