"""The roster: the workers by name, with what the resolver or the configuration told of each."""

from __future__ import annotations

import logging
import math
import re
import zlib
from dataclasses import dataclass, replace
from typing import Any

from cedarthread import interface as i
from cedarthread.wire import positive

log = logging.getLogger("cedarthread.roster")

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


def address(text: str) -> tuple[str, int]:
    """``10.0.0.4:5050`` or ``[::1]:5050`` as host and port; ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) < 6 and int(port) < 65536):
        raise ValueError(f"{text[:80]!r} is no host:port")
    return host.removeprefix("[").removesuffix("]"), int(port)


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
        before = self.by_number()
        if whole:
            names = {entry.name for entry in told}
            self.listings = {name: entry for name, entry in self.listings.items() if name in names}
        for entry in told:
            if entry.state is i.WorkerState.GONE:
                self.listings.pop(entry.name, None)
            else:
                self.listings[entry.name] = entry
        after = self.by_number()
        changed = [entry for number, entry in after.items() if before.get(number) != entry]
        gone = [entry for number, entry in before.items() if number not in after]
        changed += [replace(entry, state=i.WorkerState.GONE) for entry in gone]
        kind = i.ListKind.CACHED if first else i.ListKind.DELTA
        return i.Membership(kind, version, tuple(self._worker(entry) for entry in changed))

    def by_number(self) -> dict[int, Listing]:
        """The workers by number. Of two names under one number the first listed counts."""
        found: dict[int, Listing] = {}
        for entry in self.listings.values():
            first = found.setdefault(worker_number(entry.name), entry)
            if first is not entry:
                log.warning(
                    "runners %s and %s share a number: the second is left out", first.name, entry.name
                )
        return found

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
    """An entry of the configuration's list; ValueError, KeyError or TypeError where it is none."""
    host, port = address(str(entry["address"]))
    weight, started = float(entry.get("weight", 1)), float(entry.get("since_ms", 0))
    if not (math.isfinite(weight) and math.isfinite(started)):
        raise ValueError(f"weight or since_ms of {entry['name']} is no number")
    return Listing(
        str(entry["name"]),
        host,
        port,
        str(entry["zone"]),
        str(entry["type"]),
        int(entry.get("group", 0)),
        _STATES[entry["status"]],
        weight,
        started,
    )
