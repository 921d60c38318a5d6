"""The interface of the replicated state: versioned entries that every router stores."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of an entry. The greater of two versions wins."""

    counter: int  # value of a Lamport clock
    author: int  # index of the router that wrote the version
    incarnation: int  # incarnation of the author's process


class EntryKind(StrEnum):
    """The kind of declaration in an entry. The values are stored and sent, so they must not change."""

    TIERS = "tiers"  # the order of priority tiers, and the overload thresholds
    CONTRACT = "contract"  # the tier, rate and floor of one tenant
    FREEZE = "freeze"  # one change freeze window
    REVOKE = "revoke"  # the revocation of a window, which ends it early and so relaxes the restriction
    BREAK_GLASS = "break"  # a break-glass exception in a window, which relaxes the restriction


@dataclass(frozen=True, slots=True)
class Entry:
    """An entry of the replicated store."""

    kind: EntryKind
    name: str
    version: Version
    body: bytes
    replaces_digest: int = 0  # digest of the entry that the author replaced; 0: none


@dataclass(frozen=True, slots=True)
class ReplicatedEntry:
    """An entry as stored at one router. Times are on the monotonic clock of that router."""

    entry: Entry
    received_at_ms: float  # time at which this router first received the entry
    # Time at which this router first knew that a majority stores the entry; None: not yet.
    replicated_at_ms: float | None


class ReplicatedState(Protocol):
    """The interface of the replicated store for components, implemented by ``replication/store.py``.

    Guarantee (proof in docs/design/replication.md): an entry known at time t to be on a majority is known to
    every fresh router from t + ``staleness_bound_ms`` on. Therefore a restriction is in force from its
    reception on, and a relaxation from ``replicated_at_ms`` + ``staleness_bound_ms`` on. A router that is not
    fresh applies the strictest combination (greatest lower bound) of all entries that may be in force.
    """

    @property
    def staleness_bound_ms(self) -> float:
        """Return the staleness bound (``B`` in docs/design/replication.md)."""

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """Return all entries of a kind in the order of their names."""

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether a majority of routers recently confirmed that this router has all their entries."""

    def fresh_since(self, now_ms: float) -> float | None:
        """Return the time since which this router has been continuously fresh; None: it is not fresh."""
