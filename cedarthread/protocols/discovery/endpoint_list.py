"""The endpoint list: the latest record of each worker, from discovery or from the configuration."""

from __future__ import annotations

import logging
import re
import zlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.number_checks import positive_or_none

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.model.settings import RouterSettings

log = logging.getLogger(__name__)

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_ECHOED_CHARACTERS = 80  # maximum number of characters of an invalid address in an error message
_NUMBERED_NAME = re.compile(r"[a-z]+-([0-9a-f]{8})\Z")


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One worker as listed. `kind` is the worker's type, `cell` its group within the zone."""

    name: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_at_ms: float


def worker_id_from_name(name: str) -> int:
    """Return the id of a worker; all routers derive the same id, because functions are placed by id."""
    match = _NUMBERED_NAME.match(name)
    return int(match[1], 16) if match else zlib.crc32(name.encode())


def parse_address(text: str) -> tuple[str, int]:
    """Parse ``10.0.0.4:5050`` or ``[::1]:5050`` into host and port.

    Raises:
        ValueError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS and int(port) <= MAX_PORT):
        raise ValueError(f"{text[:MAX_ECHOED_CHARACTERS]!r} is not an address of the form host:port")
    return host.removeprefix("[").removesuffix("]"), int(port)


class EndpointList:
    """The endpoint list in use, by worker name, and its version."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.version = -1
        self.records: dict[str, EndpointRecord] = {}  # endpoints by worker name
        self._must_reapply = False  # a list of the same version must be applied again, as after a demotion
        # Indexes of the zones that the settings do not name, in the order of their first listing.
        self._unnamed_zones: dict[str, int] = {}

    def apply_update(
        self, version: int, records: list[EndpointRecord], *, is_snapshot: bool
    ) -> EndpointUpdate | None:
        """Apply a reported list.

        Args:
            version: The version of the list.
            records: The reported workers.
            is_snapshot: Whether the list has all workers; otherwise it has only the changed ones.

        Returns:
            The event for the dispatcher; None if the version is not newer.
        """
        if version < self.version or (version == self.version and not self._must_reapply):
            return None  # a later reply was applied before
        is_first = self.version < 0
        self.version = version
        self._must_reapply = False
        before = self.by_worker_id()
        if is_snapshot:
            names = {record.name for record in records}
            self.records = {name: record for name, record in self.records.items() if name in names}
        for record in records:
            if record.state is EndpointState.REMOVED:
                self.records.pop(record.name, None)
            else:
                self.records[record.name] = record
        after = self.by_worker_id()
        changed = [record for worker_id, record in after.items() if before.get(worker_id) != record]
        removed = [record for worker_id, record in before.items() if worker_id not in after]
        changed += [replace(record, state=EndpointState.REMOVED) for record in removed]
        kind = EndpointUpdateKind.CACHED if is_first else EndpointUpdateKind.DELTA
        return EndpointUpdate(kind, version, tuple(self._to_endpoint(record) for record in changed))

    def replace_all(self, version: int, records: list[EndpointRecord]) -> EndpointUpdate | None:
        """Apply a complete list even if its version is lower, because version numbering may restart.

        Returns the event for the dispatcher; None if the list has no change.
        """
        previous = self.version
        if 0 <= version <= previous:
            self.version = version
            self._must_reapply = True
        event = self.apply_update(version, records, is_snapshot=True)
        return event if event is not None and (event.endpoints or version != previous) else None

    def demote(self, is_demoted: Callable[[str], bool]) -> EndpointUpdate | None:
        """Mark ready workers as draining until the next complete list.

        Args:
            is_demoted: Returns whether to demote the worker with a given name.

        Returns:
            The event for the dispatcher; None if no worker was demoted.
        """
        demoted = [
            replace(record, state=EndpointState.DRAINING)
            for record in self.records.values()
            if record.state is EndpointState.READY and is_demoted(record.name)
        ]
        if not demoted:
            return None
        self._must_reapply = True
        self.records |= {record.name: record for record in demoted}
        endpoints = tuple(self._to_endpoint(record) for record in demoted)
        return EndpointUpdate(EndpointUpdateKind.DELTA, self.version, endpoints)

    def by_worker_id(self) -> dict[int, EndpointRecord]:
        """Return the workers by id; if two names have the same id, the first listed one takes precedence."""
        records: dict[int, EndpointRecord] = {}
        for record in self.records.values():
            first = records.setdefault(worker_id_from_name(record.name), record)
            if first is not record:
                log.warning(format_event("worker_id_conflict", listed=first.name, ignored=record.name))
        return records

    def _to_endpoint(self, record: EndpointRecord) -> Endpoint:
        return Endpoint(
            worker_id_from_name(record.name),
            self._zone_index(record.zone),
            _index_of(self.settings.worker_kinds, record.kind),
            record.cell,
            record.state,
            positive_or_none(record.weight),
            positive_or_none(record.started_at_ms),
        )

    def _zone_index(self, zone: str) -> int:
        """Return the index of a zone; each zone that the settings do not name has an index of its own.

        With a common index they would count as one zone, in which a key may be sent again.
        """
        zones = self.settings.zones
        if zone in zones:
            return zones.index(zone)
        return self._unnamed_zones.setdefault(zone, len(zones) + len(self._unnamed_zones))


def _index_of(names: tuple[str, ...], name: str) -> int:
    """Return the index of a name; for an unknown name, the first index after the known ones."""
    return names.index(name) if name in names else len(names)
