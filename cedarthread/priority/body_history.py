"""The versions of an entry's body that may be in effect at some router while an edit spreads.

While an edit is being replicated, a router cannot know which version another router applies. For each entry,
a router therefore stores the *stable* body, which has been on a majority for the staleness bound, so that no
fresh router applies an earlier one, and the *pending* bodies after the stable one (docs/design/priority.md,
steps 3 and 4). ``HistoriesByName`` adds the versions from the replicated store.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Generic

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.priority.contract_entries import BodyT

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, ReplicatedState

MAX_PENDING_BODIES = 8  # maximum per entry; above this count the stable body counts as unknown


@dataclass(slots=True)
class _PendingBody(Generic[BodyT]):
    """A version with predecessors that may still be in effect elsewhere.

    Times are ms on the monotonic clock.
    """

    entry: Entry
    value: BodyT
    received_at_ms: float
    # Time at which a majority was first known to have the entry; None: not yet.
    replicated_at_ms: float | None


@dataclass(slots=True)
class BodyHistory(Generic[BodyT]):
    """The versions of one entry that may be in effect at some router, oldest first."""

    stable_body: BodyT | None = None  # oldest body that may be in effect; None: unknown at this router
    pending: list[_PendingBody[BodyT]] = field(default_factory=list)

    def add(self, replicated: ReplicatedEntry, value: BodyT) -> None:
        """Add the latest version in the replicated store, or update when that version was replicated."""
        if self.pending and self.pending[-1].entry == replicated.entry:
            if self.pending[-1].replicated_at_ms is None:
                self.pending[-1].replicated_at_ms = replicated.replicated_at_ms
            return
        self.pending.append(
            _PendingBody(replicated.entry, value, replicated.received_at_ms, replicated.replicated_at_ms)
        )
        if len(self.pending) > MAX_PENDING_BODIES:
            self.stable_body = None
            del self.pending[0]

    def effective_bodies(self, now_ms: float, staleness_bound_ms: float) -> tuple[BodyT, ...]:
        """Drop superseded versions, and return the known versions that may be in effect, oldest first."""
        for index in reversed(range(len(self.pending))):
            body = self.pending[index]
            if body.replicated_at_ms is not None and now_ms >= body.replicated_at_ms + staleness_bound_ms:
                self.stable_body = body.value  # no fresh router applies an earlier version any more
                del self.pending[: index + 1]
                break
        stable = () if self.stable_body is None else (self.stable_body,)
        return stable + tuple(body.value for body in self.pending)

    def is_converged(self) -> bool:
        """Return whether the stable body is the only one that may be in effect.

        The result is valid after ``effective_bodies``, which updates the stable body. While a version is
        pending, the result is False: the pending version may have replaced one that other routers apply and
        that its author did not know (docs/design/priority.md, step 5).
        """
        return self.stable_body is not None and not self.pending


class HistoriesByName(Generic[BodyT]):
    """The histories of all entries of one kind, by name.

    Args:
        entry_kind: The kind of the entries.
        decode: Returns the body of an entry, or why the body is malformed.
    """

    def __init__(self, entry_kind: EntryKind, decode: Callable[[Entry], BodyT | MalformedDatagram]) -> None:
        self.entry_kind = entry_kind
        self.decode: Callable[[Entry], BodyT | MalformedDatagram] = decode
        self.histories: dict[str, BodyHistory[BodyT]] = {}
        self.last_entries: dict[str, Entry] = {}  # last entry by name, readable or not
        self.unreadable_count = 0

    def refresh(self, replicated_state: ReplicatedState) -> None:
        """Add the entries in the replicated store; count and ignore each malformed body."""
        for replicated in replicated_state.entries(self.entry_kind):
            name = replicated.entry.name
            is_new = self.last_entries.get(name) != replicated.entry
            if not is_new and (name not in self.histories or not self.histories[name].pending):
                continue
            value = self.decode(replicated.entry)
            self.last_entries[name] = replicated.entry
            if isinstance(value, MalformedDatagram):
                self.unreadable_count += is_new
            else:
                self.histories.setdefault(name, BodyHistory()).add(replicated, value)
