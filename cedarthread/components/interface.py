"""What stands beside the router: one small interface for all parts, and the facts that pass between them.

``decisions.py`` lists the parts in one place, asks each in turn and passes facts on; no part knows another
but by the protocols here. Times are ms on a steady clock that only moves forward; wall time comes as a fact.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Protocol

from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings


class MessageType(IntEnum):
    """The first byte of each kind of datagram between routers."""

    GOSSIP = 0xC1
    MEMBERSHIP = 0xC2
    REPLICATION = 0xC3
    ESCROW = 0xC4
    RECOVERY = 0xC5  # what stands warm, asked for by routers that come back
    LOAD_PRESSURE = 0xC6  # how jammed a router is, and what tenants used


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Which of two edits of one entry holds: the greater. ``counter`` is Lamport's, ``life`` its author's."""

    counter: int
    author: int
    incarnation: int


class EntryKind(StrEnum):
    """What an entry is about."""

    TIERS = "tiers"  # order of the tiers and the figures of overload
    CONTRACT = "contract"  # one tenant's tier, rate and floor
    FREEZE = "freeze"  # one window
    REVOKE = "revoke"  # ends a window early: it relaxes
    BREAK_GLASS = "break"  # break-glass in a window: it relaxes


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry. ``over``: digest of the entry that its author knew it to replace, 0 for none."""

    kind: EntryKind
    name: str
    version: Version
    body: bytes
    replaces_digest: int = 0


@dataclass(frozen=True, slots=True)
class ReplicatedEntry:
    """An entry as one router holds it now, times on its own steady clock."""

    entry: Entry
    received_at_ms: float  # when it first came here
    replicated_at_ms: float | None  # when a majority was first known to hold it; None: not known to


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The other routers that are there, of how many in all, and how long each has been in this life."""

    alive_peers: tuple[int, ...]
    router_count: int
    alive_for_ms: Mapping[int, float]  # ms


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force."""

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class WallClockRead:
    """The wall clock now, Unix ms."""

    unix_ms: float


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries of the register that came or changed here."""

    entries: tuple[ReplicatedEntry, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """A call's attempt ended, for those who count: tenant, work in ms, and whether a copy stood there."""

    worker_id: int
    function_id: int
    tenant_index: int | None
    work_ms: float
    outcome: Outcome
    was_warm: bool | None


Notification = (
    PeersChanged | SettingsChanged | WallClockRead | EntriesChanged | AttemptCompleted | EndpointUpdate
)
OutboundMessage = SendToPeer | LogMessage


class Component(Protocol):
    """One part beside the router: pure, on the clock and the seed that are handed in."""

    @property
    def message_types(self) -> frozenset[int]:
        """The datagrams that are its own, by their first byte."""

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of one of its forms; whatever it holds, no error is raised."""

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Some times a second: what is to be told now."""

    def on_notification(self, now: float, fact: Notification) -> Sequence[OutboundMessage]:
        """Something that parts share has changed."""

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read at ``INFO``: a figure a name."""


class ReplicatedState(Protocol):
    """What the parts read of the register (``register/register.py``).

    Theorem of its design page: an entry known to be settled at time t is known from t + ``bound`` on to every
    router that is fresh. So: what restricts acts as soon as it is held; what relaxes acts from ``settled`` +
    ``bound`` on; who is not fresh acts under the cautious meet."""

    @property
    def staleness_bound_ms(self) -> float:
        """B of the design page, ms."""

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, by name."""

    def is_fresh(self, now: float) -> bool:
        """Has a majority of the configured routers confirmed lately that this one lacks nothing of theirs?"""

    def fresh_since(self, now: float) -> float | None:
        """Since when it is fresh without a break; None: it is not."""


class QuotaEscrow(Protocol):
    """What the parts ask of the grants (``register/grants.py``): parts of a total that the fleet shares.

    Amounts are whole numbers of a unit that the pool's user chooses. The sum of what all routers may use
    never passes the total of a pool, whatever is lost, doubled, late, cut off or restarted (design page)."""

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool. ``spent``: what is used is gone (a count); else it is a rate, given back.
        ``until``: when the pool ends, ms on the steady clock; None: it does not."""

    def available(self, now: float, name: str) -> int:
        """How much of it this router may use now; 0 for a pool that is unknown or over."""

    def consume(self, now: float, name: str, amount: int = 1) -> bool:
        """Use so much of a pool that is spent; False, and nothing used, where this router may not."""

    def request(self, now: float, name: str, amount: int) -> None:
        """This router could use so much in all: others are asked for what it lacks."""
