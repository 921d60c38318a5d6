"""Entries that declare, revoke and lift windows: the fleet file, validation and hostile bytes."""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread import fleet_config
from cedarthread.change_freeze.window_entries import (
    ALL_CHANGE_KINDS,
    Revocation,
    WindowTerms,
    decode,
    encode,
    entries_from_config,
)
from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.replicated_state import EntryKind
from tests.unit.change_freeze.builders import EPOCH_UNIX_MS, window_terms

MS_PER_HOUR = 3_600_000.0
VALID_TERMS = window_terms(3000.0, 7000.0)
FLEET_FILE = b"""
[[freeze]]
id = "w"
start = 2027-01-15T08:00:20+01:00
end = 2027-01-15T09:00:20+01:00
author = "ops"
reason = "cycle"
functions = ["00000000000000ff", "0000000000000001"]
frozen = ["unload", "order"]
allowance = 2
[[revoke]]
freeze = "w"
author = "ops"
reason = "done"
"""


def test_change_kinds_are_those_of_the_fleet_file_in_canonical_order() -> None:
    assert [kind.value for kind in ALL_CHANGE_KINDS] == list(get_args(fleet_config.FrozenChange))


def test_fleet_file_round_trips_through_canonical_bodies() -> None:
    bodies = {
        kind: decode(kind, name, raw)
        for kind, name, raw in entries_from_config(fleet_config.parse_fleet_config(FLEET_FILE))
    }
    terms = bodies[EntryKind.FREEZE]
    assert isinstance(terms, WindowTerms)
    assert terms.function_ids == (1, 255)
    assert terms.frozen_kinds == ("order", "unload")
    assert terms.end_unix_ms - terms.start_unix_ms == MS_PER_HOUR
    assert isinstance(bodies[EntryKind.REVOKE], Revocation)
    with pytest.raises(fleet_config.FleetConfigError, match="reason"):
        entries_from_config(fleet_config.parse_fleet_config(FLEET_FILE.replace(b"done", b"d" * 513)))


INVALID_TERMS = (
    {"end_unix_ms": int(EPOCH_UNIX_MS)},
    {"end_unix_ms": int(EPOCH_UNIX_MS + 13 * MS_PER_HOUR)},
    {"exception_budget": -1},
    {"zone_names": ("b", "a")},
    {"function_ids": (2**64 - 1, 0)},
    {"frozen_kinds": ("unload", "order")},
    {"window_id": "v"},
    {"tenant_names": ("",)},
    {"reason": "x" * 513},
)


@pytest.mark.parametrize("change", INVALID_TERMS, ids=str)
def test_invalid_windows_are_returned_as_errors(change: dict[str, object]) -> None:
    invalid = msgspec.structs.replace(VALID_TERMS, **change)
    assert isinstance(decode(EntryKind.FREEZE, "w", encode(VALID_TERMS)), WindowTerms)
    assert isinstance(decode(EntryKind.FREEZE, "w", encode(invalid)), MalformedDatagram)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=80), st.sampled_from(list(EntryKind)))
def test_decoding_random_bytes_raises_nothing(raw: bytes, kind: EntryKind) -> None:
    valid = encode(VALID_TERMS)
    assert isinstance(decode(kind, "w", raw), MalformedDatagram)
    assert isinstance(decode(EntryKind.FREEZE, "w", valid[:-1] + raw), WindowTerms | MalformedDatagram)
