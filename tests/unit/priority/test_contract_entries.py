"""Entries that declare tiers and contracts: the fleet file, the canonical encoding and malformed bodies."""

from __future__ import annotations

import random

import msgspec

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.priority import contract_entries

FLEET_FILE = """
[overload]
onset = 1.1
[[tier]]
name = "firm"
[[tier]]
name = "standard"
[[contract]]
tenant = "mill"
tier = "firm"
rate = 12.5
floor = 0.25
"""


def _declared_entries() -> tuple[Entry, Entry]:
    """Return the tier order and the contract that ``FLEET_FILE`` declares."""
    declared = contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE.encode()))
    tier_order, contract = (Entry(kind, name, Version(1, 0, 0), body) for kind, name, body in declared)
    return tier_order, contract


def test_fleet_file_round_trips_through_entries() -> None:
    tier_order, contract = _declared_entries()
    assert contract_entries.decode_tier_order(tier_order) == contract_entries.TierOrder(
        ("firm", "standard"), 1100, 900, 3000, 20000
    )
    assert contract_entries.decode_contract(contract) == contract_entries.ContractTerms("firm", 12500, 250)


def test_empty_fleet_file_declares_no_entries() -> None:
    assert contract_entries.entries_from_config(parse_fleet_config(b"")) == []


def test_random_bodies_are_errors_or_canonical() -> None:
    tier_order, contract = _declared_entries()
    rng = random.Random(1)
    for _ in range(3000):
        body = bytearray(rng.choice([tier_order.body, contract.body, rng.randbytes(20)]))
        body[rng.randrange(len(body))] = rng.randrange(256)
        for decode in (contract_entries.decode_tier_order, contract_entries.decode_contract):
            value = decode(Entry(EntryKind.TIERS, "order", Version(1, 0, 0), bytes(body)))
            assert isinstance(value, MalformedDatagram) or msgspec.msgpack.encode(value) == bytes(body)


def test_encoding_that_is_not_canonical_is_an_error() -> None:
    _, contract = _declared_entries()
    longer_body = contract.body.replace(b"\xcc\xfa", b"\xcd\x00\xfa")  # 250 in 16 bits instead of 8
    assert longer_body != contract.body
    not_canonical = Entry(contract.kind, "mill", contract.version, longer_body)
    assert isinstance(contract_entries.decode_contract(not_canonical), MalformedDatagram)
