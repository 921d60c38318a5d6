"""Entries of the replicated store that declare priority tiers and tenants' contracts: records and codec.

An entry's body is a MessagePack array in canonical form: each meaning has exactly one encoding, so equal
declarations have equal digests. Numbers are fixed-point integers (``FIXED_POINT_SCALE``), which compare the
same on all routers. docs/design/priority.md, step 1, gives the reasons for these records.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.replicated_state import Entry, EntryKind
from cedarthread.model.call_priority import MAX_TIERS

if TYPE_CHECKING:
    from cedarthread.fleet_config import FleetConfig

TIER_ORDER_NAME = "order"  # the name of the only entry of EntryKind.TIERS
FIXED_POINT_SCALE = 1000  # integer units that represent one call per second, the whole capacity or one second
MAX_RATE_MILLI_PER_SECOND = 10**9  # a million calls per second, more than any fleet serves
MAX_NAME_BYTES = 64  # limit for names, the same as in ``fleet_config``
MAX_ERROR_CHARACTERS = 80  # maximum characters of a decoder's message, which may quote hostile input

# The ranges of a tier order's values in fixed point; ``fleet_config`` checks the fleet file against them.
ONSET_PERMILLE_RANGE = (500, 10_000)
MIN_RELEASE_PERMILLE = 100
MAX_DWELL_MS = 600_000


class ContractTerms(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A tenant's contract."""

    tier_name: str
    rate_milli_per_second: int
    floor_permille: int  # share of the calls within quota that is always served


class TierOrder(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The order of tiers and the parameters of cluster overload; the first tier is preempted last."""

    tier_names: tuple[str, ...]
    onset_permille: int  # load pressure at which overload starts, in 1/1000 of capacity
    release_permille: int  # load pressure under which overload ends, in 1/1000 of capacity
    dwell_ms: int
    preemptions_milli_per_second: int


BodyT = TypeVar("BodyT", ContractTerms, TierOrder)


class ContractEntry(NamedTuple):
    """An entry to propose to the replicated store; the name is a tenant's or ``TIER_ORDER_NAME``."""

    kind: EntryKind
    name: str
    body: bytes


def entries_from_config(fleet: FleetConfig) -> list[ContractEntry]:
    """Return the entries that a valid fleet file declares.

    A file without tiers declares no entry, and so ends no contract.
    """
    if not fleet.tier:
        return []
    overload = fleet.overload
    tier_order = TierOrder(
        tuple(tier.name for tier in fleet.tier),
        _to_fixed_point(overload.onset),
        _to_fixed_point(overload.end),
        _to_fixed_point(overload.dwell),  # seconds to ms
        _to_fixed_point(overload.preempts),
    )
    entries = [ContractEntry(EntryKind.TIERS, TIER_ORDER_NAME, msgspec.msgpack.encode(tier_order))]
    for contract in fleet.contract:
        terms = ContractTerms(contract.tier, _to_fixed_point(contract.rate), _to_fixed_point(contract.floor))
        entries.append(ContractEntry(EntryKind.CONTRACT, contract.tenant, msgspec.msgpack.encode(terms)))
    return entries


def _to_fixed_point(value: float) -> int:
    return round(value * FIXED_POINT_SCALE)


def decode_contract(entry: Entry) -> ContractTerms | MalformedDatagram:
    """Return the contract that an entry declares, or why the body is malformed; never raise."""
    terms = _decode(entry.body, ContractTerms)
    if isinstance(terms, MalformedDatagram):
        return terms
    if not _is_valid_name(terms.tier_name) or not _is_valid_name(entry.name):
        return MalformedDatagram("a name is not 1 to 64 bytes long")
    rate = terms.rate_milli_per_second
    floor = terms.floor_permille
    if not (0 <= rate <= MAX_RATE_MILLI_PER_SECOND and 0 <= floor <= FIXED_POINT_SCALE):
        return MalformedDatagram(f"rate {rate} or floor {floor} is out of range")
    return terms


def decode_tier_order(entry: Entry) -> TierOrder | MalformedDatagram:
    """Return the tiers that an entry declares, or why the body is malformed; never raise."""
    order = _decode(entry.body, TierOrder)
    if isinstance(order, MalformedDatagram):
        return order
    names = order.tier_names
    if entry.name != TIER_ORDER_NAME or not 1 <= len(names) <= MAX_TIERS or len(set(names)) < len(names):
        return MalformedDatagram(f"invalid tier order: {len(names)} tiers in an entry named {entry.name!r}")
    if not all(map(_is_valid_name, names)):
        return MalformedDatagram("a name is not 1 to 64 bytes long")
    min_onset, max_onset = ONSET_PERMILLE_RANGE
    onset = order.onset_permille
    release = order.release_permille
    if not (min_onset <= onset <= max_onset and MIN_RELEASE_PERMILLE <= release <= onset):
        return MalformedDatagram(f"onset {onset} or end {release} is out of range")
    dwell_ms = order.dwell_ms
    preemptions = order.preemptions_milli_per_second
    if not (0 <= dwell_ms <= MAX_DWELL_MS and 0 <= preemptions <= MAX_RATE_MILLI_PER_SECOND):
        return MalformedDatagram(f"dwell {dwell_ms} or preempts {preemptions} is out of range")
    return order


def _is_valid_name(name: str) -> bool:
    return 1 <= len(name.encode()) <= MAX_NAME_BYTES


def _decode(body: bytes, body_type: type[BodyT]) -> BodyT | MalformedDatagram:
    try:
        value = msgspec.msgpack.decode(body, type=body_type)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return MalformedDatagram(str(error)[:MAX_ERROR_CHARACTERS])
    if msgspec.msgpack.encode(value) != body:  # a second encoding of one meaning would have another digest
        return MalformedDatagram("the encoding is not canonical")
    return value
