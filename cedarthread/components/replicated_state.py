"""The replicated state as components read it: versioned entries that every router stores."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


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
