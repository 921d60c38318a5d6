"""The roster: the workers by name, with what the resolver or the configuration told of each."""

from __future__ import annotations

import logging
import math
import re
import zlib
from dataclasses import dataclass, replace
from typing import Any

from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.settings import RouterSettings
from cedarthread.simulator.codec import positive_or_none

log = logging.getLogger("cedarthread.roster")

_NUMBERED = re.compile(r"[a-z]+-([0-9a-f]{8})\Z")
_STATES = {s.value: s for s in EndpointState}


def worker_id_from_name(name: str) -> int:
    """A worker's number: the same at every router, since all agree on a function's homes by it."""
    match = _NUMBERED.match(name)
    return int(match[1], 16) if match else zlib.crc32(name.encode())


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One worker, as it was told."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_at_ms: float


def parse_address(text: str) -> tuple[str, int]:
    """``10.0.0.4:5050`` or ``[::1]:5050`` as host and port; ValueError where it is none."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) < 6 and int(port) < 65536):
        raise ValueError(f"{text[:80]!r} is no host:port")
    return host.removeprefix("[").removesuffix("]"), int(port)


def _index_of(names: tuple[str, ...], name: str) -> int:
    return names.index(name) if name in names else len(names)


class EndpointList:
    """What is known of the workers now."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.version = -1
        self.records: dict[str, EndpointRecord] = {}

    def apply_update(
        self, version: int, records: list[EndpointRecord], is_snapshot: bool
    ) -> EndpointUpdate | None:
        """Take news in; the event for the planner, or None where nothing is new."""
        if version <= self.version:
            return None  # a reply that was overtaken by a later one
        first = self.version < 0
        self.version = version
        before = self.by_worker_id()
        if is_snapshot:
            names = {entry.name for entry in records}
            self.records = {name: entry for name, entry in self.records.items() if name in names}
        for entry in records:
            if entry.state is EndpointState.REMOVED:
                self.records.pop(entry.name, None)
            else:
                self.records[entry.name] = entry
        after = self.by_worker_id()
        changed = [entry for number, entry in after.items() if before.get(number) != entry]
        gone = [entry for number, entry in before.items() if number not in after]
        changed += [replace(entry, state=EndpointState.REMOVED) for entry in gone]
        kind = EndpointUpdateKind.CACHED if first else EndpointUpdateKind.DELTA
        return EndpointUpdate(kind, version, tuple(self._to_endpoint(entry) for entry in changed))

    def by_worker_id(self) -> dict[int, EndpointRecord]:
        """The workers by number. Of two names under one number the first listed counts."""
        found: dict[int, EndpointRecord] = {}
        for entry in self.records.values():
            first = found.setdefault(worker_id_from_name(entry.name), entry)
            if first is not entry:
                log.warning(
                    "runners %s and %s share a number: the second is left out", first.name, entry.name
                )
        return found

    def _to_endpoint(self, entry: EndpointRecord) -> Endpoint:
        return Endpoint(
            worker_id_from_name(entry.name),
            _index_of(self.settings.zones, entry.zone),
            _index_of(self.settings.worker_kinds, entry.kind),
            entry.cell,
            entry.state,
            positive_or_none(entry.weight),
            positive_or_none(entry.started_at_ms),
        )


def endpoint_from_json(entry: dict[str, Any]) -> EndpointRecord:
    """An entry of the configuration's list; ValueError, KeyError or TypeError where it is none."""
    host, port = parse_address(str(entry["address"]))
    weight, started = float(entry.get("weight", 1)), float(entry.get("since_ms", 0))
    if not (math.isfinite(weight) and math.isfinite(started)):
        raise ValueError(f"weight or since_ms of {entry['name']} is no number")
    return EndpointRecord(
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
