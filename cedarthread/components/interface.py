"""The interface of the components beside the router, and the notifications that pass between them.

``RoutingNode`` (``node.py``) hosts the components: it passes each its own datagrams, ticks and notifications.
Components know each other only by the protocols of this module. They do no I/O. Times are ms on a steady
clock that is passed in; the wall clock comes as a notification.
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
    RECOVERY = 0xC5  # warm instances, queried by routers that restarted
    LOAD_PRESSURE = 0xC6  # how overloaded a router is, and what tenants have used


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of an entry; the greater one wins.

    ``counter`` is a Lamport clock, ``incarnation`` that of the author's process.
    """

    counter: int
    author: int
    incarnation: int


class EntryKind(StrEnum):
    """What an entry declares. The values are stored and sent: they stay."""

    TIERS = "tiers"  # the order of priority tiers, and the overload thresholds
    CONTRACT = "contract"  # the tier, rate and floor of one tenant
    FREEZE = "freeze"  # one change freeze window
    REVOKE = "revoke"  # ends a window early: it relaxes the restriction
    BREAK_GLASS = "break"  # break-glass exception in a window: it relaxes the restriction


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the replicated store.

    ``replaces_digest``: digest of the entry that its author saw it replace; 0 for none.
    """

    kind: EntryKind
    name: str
    version: Version
    body: bytes
    replaces_digest: int = 0


@dataclass(frozen=True, slots=True)
class ReplicatedEntry:
    """An entry as stored at one router; times on that router's steady clock."""

    entry: Entry
    received_at_ms: float  # when this router first received it
    replicated_at_ms: float | None  # when a majority was first known to have it; None: not yet


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Which other routers are alive, of how many, and for how long in their current incarnation."""

    alive_peers: tuple[int, ...]
    router_count: int
    alive_for_ms: Mapping[int, float]


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings are in force."""

    settings: RouterSettings


@dataclass(frozen=True, slots=True)
class WallClockRead:
    """The wall clock was read: Unix time in ms."""

    unix_ms: float


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Entries were received here, or became known to be replicated to a majority."""

    entries: tuple[ReplicatedEntry, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt ended. ``was_warm``: whether an instance was loaded at the worker; None: not reported."""

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
    """A component beside the router: without I/O, on the clock and the seed that are passed in."""

    @property
    def message_types(self) -> frozenset[int]:
        """The types (first bytes) of the datagrams that this component handles."""

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a datagram of one of its types; malformed ones are counted, never raised on."""

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Called several times a second: returns what is to be sent now."""

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Handle a change that components share."""

    def status(self, now_ms: float) -> Mapping[str, str]:
        """The component's figures for operators (``INFO``): text by name."""


class ReplicatedState(Protocol):
    """What components read of the replicated store (``replication/store.py``).

    Guarantee (proof in docs/design/register.md): an entry known at time t to be on a majority is known to
    every fresh router from t + ``staleness_bound_ms`` on. Hence a restriction takes effect when it is
    received, a relaxation from ``replicated_at_ms`` + ``staleness_bound_ms`` on, and a router that is not
    fresh acts under the strictest combination (greatest lower bound) of what may be in force.
    """

    @property
    def staleness_bound_ms(self) -> float:
        """The staleness bound in ms (``B`` in docs/design/register.md)."""

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, in the order of their names."""

    def is_fresh(self, now_ms: float) -> bool:
        """Whether a majority of routers confirmed lately that this one lacks none of their entries."""

    def fresh_since(self, now_ms: float) -> float | None:
        """Since when it has been fresh without interruption; None: it is not fresh."""


class QuotaEscrow(Protocol):
    """What components ask of the quota escrow (``escrow/escrow.py``): reserved amounts of fleet-wide totals.

    Amounts are whole numbers of a unit that the pool's user chooses. The sum of what all routers may use
    never exceeds the total of a pool, whatever is lost, duplicated, delayed, partitioned or restarted (proof
    in docs/design/grants.md).
    """

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool.

        ``is_consumable``: what is used is gone (a count); otherwise the amount is a rate, which is returned.
        ``ends_at_ms``: when the pool ends, on the steady clock; None: never.
        """

    def available(self, now_ms: float, name: str) -> int:
        """How much of a pool this router may use now; 0 for one that is unknown or has ended."""

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        """Use an amount of a consumable pool; False, and nothing used, if this router may not."""

    def request(self, now_ms: float, name: str, amount: int) -> None:
        """This router could use this amount in all; what it lacks is requested from its peers."""
