"""Replicated entries as they are encoded for the wire and for the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread import fleet_config
from cedarthread.change_freeze import window_entries
from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.priority import contract_entries
from cedarthread.replication import entry as entry_codec
from tests.golden_builders.sample import Sample, require_well_formed, to_plain

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

# The operators' fleet file: every section and every kind of declared entry.
FLEET_FILE = b"""
[sharing]
period = 200
clock-error = 250
[disk]
folder = "kept"
sync = "each"
[overload]
onset = 1.2
end = 0.8
dwell = 2.0
preempts = 35.5
[[tier]]
name = "gold"
[[tier]]
name = "best-effort"
[[contract]]
tenant = "shop"
tier = "gold"
rate = 12.5
floor = 0.25
[[contract]]
tenant = "m\xc3\xbcller"
tier = "best-effort"
rate = 3
[[freeze]]
id = "fair"
start = 2026-03-01T08:00:00Z
end = 2026-03-01T14:30:00+01:00
author = "ops"
reason = "spring fair"
rooms = ["room-b", "room-a"]
functions = ["7f3a9c21e0b4d655", "0000000000000001"]
tenants = ["shop"]
frozen = ["unload", "first-copy"]
allowance = 12
[[freeze]]
id = "all"
start = 2026-03-02T00:00:00Z
end = 2026-03-02T01:00:00Z
author = "ops"
reason = ""
[[revoke]]
freeze = "all"
author = "lead"
reason = "not needed"
[[break-glass]]
freeze = "fair"
author = "lead"
reason = "outage"
end = 2026-03-01T09:00:00Z
"""


def build_entries() -> list[Sample]:
    """Return the encoding of each entry that the fleet file declares."""
    return [
        Sample(
            f"{entry.kind.value} {entry.name}",
            entry_codec.encode(entry),
            _read_entry,
            lambda data: entry_codec.encode(_decode_entry(data)),
        )
        for entry in declared_entries()
    ]


def declared_entries() -> list[Entry]:
    """Return the entries that the fleet file declares, each with its own version."""
    config = fleet_config.parse_fleet_config(FLEET_FILE)
    bodies: list[tuple[EntryKind, str, bytes]] = [
        *contract_entries.entries_from_config(config),
        *window_entries.entries_from_config(config),
    ]
    return [
        Entry(kind, name, Version(number + 1, number % 3, 2**63 + number), body, number * 2**60)
        for number, (kind, name, body) in enumerate(bodies)
    ]


def _decode_entry(data: bytes) -> Entry:
    entry = entry_codec.decode(data)
    if isinstance(entry, entry_codec.RejectedEntry):
        raise ValueError(entry.reason)
    return entry


def _decode_body(entry: Entry) -> object:
    if entry.kind is EntryKind.TIERS:
        return contract_entries.decode_tier_order(entry)
    if entry.kind is EntryKind.CONTRACT:
        return contract_entries.decode_contract(entry)
    return window_entries.decode(entry.kind, entry.name, entry.body)


def _read_entry(data: bytes) -> Json:
    entry = _decode_entry(data)
    hashes = [entry_codec.entry_digest(entry), entry_codec.key_hash(entry.kind, entry.name)]
    return [to_plain(entry), to_plain(hashes), to_plain(require_well_formed(_decode_body(entry)))]
