"""Contracts and the order of tiers as entries of the register, and what of them acts here now.

A router can't know which body of a name another acts by while an edit is on its way. So each keeps the
bodies that may act (``History``): by the least of them it grants, and nobody displaces or is displaced by a
tier until one body is sure: docs/design/tiers.md, steps 1 to 7.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from cedarthread.components.interface import Entry, EntryKind, ReplicatedEntry, ReplicatedState
from cedarthread.fleet_config import FleetConfig
from cedarthread.gossip.codec import MalformedDatagram

MAX_TIERS = 63
TIER_ORDER_NAME = "order"  # the name of the one entry of Kind.TIERS
FIXED_POINT_SCALE = 1000  # units of a body's figures to one: 1/1000 call a second, 1/1000 of capacity
MAX_PENDING_BODIES = 8  # bodies of one name that may act at once; more make it unknown
MAX_RATE_MILLI_PER_SECOND = 10**9


class ContractTerms(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One tenant's contract. ``rate`` in 1/1000 call a second, ``floor`` in 1/1000 of that."""

    tier_name: str
    rate_milli_per_second: int
    floor_permille: int


class TierOrder(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Tiers, preempted last first; parts of capacity in 1/1000, ``dwell`` ms, ``preempts`` 1/1000 a s."""

    tier_names: tuple[str, ...]
    onset_permille: int
    release_permille: int
    dwell_ms: int
    preemptions_milli_per_second: int


T = TypeVar("T", ContractTerms, TierOrder)


def entries_from_config(fleet: FleetConfig) -> list[tuple[EntryKind, str, bytes]]:
    """The entries of a checked file. One without tiers says nothing of them: it ends nobody's contract."""
    if not fleet.tier:
        return []
    overload = fleet.overload
    order = TierOrder(
        tuple(tier.name for tier in fleet.tier),
        _to_fixed_point(overload.onset),
        _to_fixed_point(overload.end),
        _to_fixed_point(overload.dwell),  # s to ms
        _to_fixed_point(overload.preempts),
    )
    entries = [(EntryKind.TIERS, TIER_ORDER_NAME, msgspec.msgpack.encode(order))]
    for contract in fleet.contract:
        terms = ContractTerms(contract.tier, _to_fixed_point(contract.rate), _to_fixed_point(contract.floor))
        entries.append((EntryKind.CONTRACT, contract.tenant, msgspec.msgpack.encode(terms)))
    return entries


def _to_fixed_point(value: float) -> int:
    return round(value * FIXED_POINT_SCALE)


def decode_contract(entry: Entry) -> ContractTerms | MalformedDatagram:
    """The contract that an entry declares. Whatever its body holds, no error is raised."""
    value = _decode(entry.body, ContractTerms)
    if isinstance(value, MalformedDatagram):
        return value
    if not _is_valid_name(value.tier_name) or not _is_valid_name(entry.name):
        return MalformedDatagram("no name of 1 to 64 bytes")
    if not (
        0 <= value.rate_milli_per_second <= MAX_RATE_MILLI_PER_SECOND
        and 0 <= value.floor_permille <= FIXED_POINT_SCALE
    ):
        return MalformedDatagram(f"rate {value.rate_milli_per_second}, floor {value.floor_permille}")
    return value


def decode_tier_order(entry: Entry) -> TierOrder | MalformedDatagram:
    """The order of tiers that an entry declares. Whatever its body holds, no error is raised."""
    value = _decode(entry.body, TierOrder)
    if isinstance(value, MalformedDatagram):
        return value
    names = value.tier_names
    if entry.name != TIER_ORDER_NAME or not 1 <= len(names) <= MAX_TIERS or len(set(names)) < len(names):
        return MalformedDatagram(f"{len(names)} tiers under {entry.name!r}")
    if not all(map(_is_valid_name, names)):
        return MalformedDatagram("no name of 1 to 64 bytes")
    if not (500 <= value.onset_permille <= 10_000 and 100 <= value.release_permille <= value.onset_permille):
        return MalformedDatagram(f"onset {value.onset_permille}, end {value.release_permille}")
    if not (
        0 <= value.dwell_ms <= 600_000
        and 0 <= value.preemptions_milli_per_second <= MAX_RATE_MILLI_PER_SECOND
    ):
        return MalformedDatagram(f"dwell {value.dwell_ms}, preempts {value.preemptions_milli_per_second}")
    return value


def _is_valid_name(name: str) -> bool:
    return 1 <= len(name.encode()) <= 64


def _decode(body: bytes, kind: type[T]) -> T | MalformedDatagram:
    try:
        value = msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return MalformedDatagram(str(error)[:80])
    if msgspec.msgpack.encode(value) != body:  # two spellings of one meaning would have two digests
        return MalformedDatagram("not the canonical encoding")
    return value


@dataclass(slots=True)
class _PendingBody(Generic[T]):
    entry: Entry
    value: T
    received_at_ms: float
    replicated_at_ms: float | None


@dataclass(slots=True)
class BodyHistory(Generic[T]):
    """The bodies of one name that may act at some router: the last that all know, and those after it."""

    certain_body: T | None = None  # None: what held before is not known here
    pending: list[_PendingBody[T]] = field(default_factory=list)

    def add(self, held: ReplicatedEntry, value: T) -> None:
        """The register holds this body now, perhaps with more known of it than before."""
        if self.pending and self.pending[-1].entry == held.entry:
            if self.pending[-1].replicated_at_ms is None:
                self.pending[-1].replicated_at_ms = held.replicated_at_ms
            return
        self.pending.append(_PendingBody(held.entry, value, held.received_at_ms, held.replicated_at_ms))
        if len(self.pending) > MAX_PENDING_BODIES:
            self.certain_body = None
            del self.pending[0]

    def effective_bodies(self, now: float, staleness_bound_ms: float) -> tuple[T, ...]:
        """The bodies that may act, as far as they are known here: the oldest first."""
        for index in reversed(range(len(self.pending))):
            body = self.pending[index]
            if body.replicated_at_ms is not None and now >= body.replicated_at_ms + staleness_bound_ms:
                self.certain_body = body.value  # from here on no router that is fresh acts by an earlier one
                del self.pending[: index + 1]
                break
        first = () if self.certain_body is None else (self.certain_body,)
        return first + tuple(body.value for body in self.pending)

    def is_certain(self) -> bool:
        """Is the sure one all that may act? After ``known``. Not while anything is pending: it may have come
        in place of one that others act by, and who wrote it need not have known of that (step 5)."""
        return self.certain_body is not None and not self.pending


class _HistoriesByName(Generic[T]):
    """The histories of one kind."""

    def __init__(self, kind: EntryKind, decode: Callable[[Entry], T | MalformedDatagram]) -> None:
        self.entry_kind = kind
        self.decode: Callable[[Entry], T | MalformedDatagram] = decode
        self.histories: dict[str, BodyHistory[T]] = {}
        self.last_entries: dict[str, Entry] = {}  # the last entry of each name, readable or not
        self.unreadable_count = 0

    def refresh(self, shared: ReplicatedState) -> None:
        for held in shared.entries(self.entry_kind):
            name = held.entry.name
            anew = self.last_entries.get(name) != held.entry
            if not anew and (name not in self.histories or not self.histories[name].pending):
                continue
            value = self.decode(held.entry)
            self.last_entries[name] = held.entry
            if isinstance(value, MalformedDatagram):
                self.unreadable_count += anew
            else:
                self.histories.setdefault(name, BodyHistory()).add(held, value)


@dataclass(frozen=True, slots=True)
class EffectiveContract:
    """What acts of a tenant's contract here now. Tiers by their place, 0 is preempted last."""

    tier_index: int  # the worst of the tiers that it may have
    rate_milli_per_second: int  # 1/1000 call a second, the least that may act
    floor_permille: int  # 1/1000 of that, the greatest that may act
    tier_name: str  # by the newest body, for people
    is_certain: bool  # may no other body act at a router that is fresh?


NO_CONTRACT = EffectiveContract(MAX_TIERS, 0, 0, "none", True)
UNKNOWN_CONTRACT = EffectiveContract(MAX_TIERS, 0, 0, "unknown", False)


@dataclass(frozen=True, slots=True)
class OverloadParameters:
    """The figures of overload that act now: of all that may, those by which least is preempted."""

    onset: float
    release: float
    dwell_ms: float  # ms
    preemptions_milli_per_second: int  # 1/1000 a second


class EffectiveContracts:
    """All contracts, as they act at this router."""

    def __init__(self, shared: ReplicatedState) -> None:
        self.replicated_state = shared
        self.tier_orders = _HistoriesByName[TierOrder](EntryKind.TIERS, decode_tier_order)
        self.contract_terms = _HistoriesByName[ContractTerms](EntryKind.CONTRACT, decode_contract)
        self.effective: dict[str, EffectiveContract] = {}
        self.overload_parameters: OverloadParameters | None = (
            None  # None: no tiers are declared, or none act yet
        )
        self.is_fresh = False

    @property
    def unreadable_count(self) -> int:
        """Entries whose body could not be read; they are as if they had not come."""
        return self.tier_orders.unreadable_count + self.contract_terms.unreadable_count

    def refresh(self, now: float) -> None:
        """Bring what acts up to date: at each change of the register and at each turn."""
        self.tier_orders.refresh(self.replicated_state)
        self.contract_terms.refresh(self.replicated_state)
        staleness_bound_ms, self.is_fresh = (
            self.replicated_state.staleness_bound_ms,
            self.replicated_state.is_fresh(now),
        )
        history = self.tier_orders.histories.get(TIER_ORDER_NAME)
        effective_orders = history.effective_bodies(now, staleness_bound_ms) if history is not None else ()
        is_certain = history is not None and history.is_certain() and self.is_fresh
        self.overload_parameters = _greatest_lower_bound(effective_orders) if effective_orders else None
        self.effective = {
            name: _effective_contract(
                one.effective_bodies(now, staleness_bound_ms),
                effective_orders,
                is_certain and one.is_certain(),
            )
            for name, one in self.contract_terms.histories.items()
        }

    def for_tenant(self, tenant: str | None) -> EffectiveContract:
        """What acts for a tenant; one that is fresh and knows no contract of it knows that none acts."""
        found = self.effective.get(tenant) if tenant is not None else None
        return found or (NO_CONTRACT if self.is_fresh else UNKNOWN_CONTRACT)


def _greatest_lower_bound(tier_orders: Iterable[TierOrder]) -> OverloadParameters:
    orders = tuple(tier_orders)
    return OverloadParameters(
        max(one.onset_permille for one in orders) / FIXED_POINT_SCALE,
        max(one.release_permille for one in orders) / FIXED_POINT_SCALE,
        float(max(one.dwell_ms for one in orders)),
        min(one.preemptions_milli_per_second for one in orders),
    )


def _effective_contract(
    bodies: tuple[ContractTerms, ...], tier_orders: tuple[TierOrder, ...], is_certain: bool
) -> EffectiveContract:
    return EffectiveContract(
        max(
            (_tier_index(order, body.tier_name) for order in tier_orders for body in bodies),
            default=MAX_TIERS,
        ),
        min(body.rate_milli_per_second for body in bodies),
        max(body.floor_permille for body in bodies),
        bodies[-1].tier_name,
        is_certain,
    )


def _tier_index(order: TierOrder, tier_name: str) -> int:
    return order.tier_names.index(tier_name) if tier_name in order.tier_names else MAX_TIERS
