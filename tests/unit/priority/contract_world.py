"""A model of two routers and two edits of one contract, explored exhaustively.

The routers apply the contracts of two tenants: the contract of ``mill`` is edited, that of ``town`` is not.
The exploration checks that the routers never contradict each other on which tenant has precedence.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.priority import contract_entries
from cedarthread.priority.call_priority import assign_priority
from cedarthread.priority.contracts import EffectiveContracts

if TYPE_CHECKING:
    from collections.abc import Iterator

BOUND_TICKS = 2.0  # the staleness bound
LAST_TICK = 4
INITIAL_TICK = -99.0  # tick of the initial entries, long before the first edit


class FakeReplicatedState:
    """The replicated store of one router: one contract that is edited, and one that is not."""

    staleness_bound_ms = BOUND_TICKS

    def __init__(self, contract: ReplicatedEntry, *, reaches_majority: bool) -> None:
        self.contract = contract
        self.reaches_majority = reaches_majority

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        return (TIER_ORDER,) if kind is EntryKind.TIERS else (self.contract, UNEDITED_CONTRACT)

    def is_fresh(self, now_ms: float) -> bool:
        return self.reaches_majority

    def fresh_since(self, now_ms: float) -> float | None:
        return None


def _replicated(
    kind: EntryKind, name: str, body: object, edit: int, received_at: float, replicated_at: float | None
) -> ReplicatedEntry:
    entry = Entry(kind, name, Version(edit, 0, 0), msgspec.msgpack.encode(body))
    return ReplicatedEntry(entry, received_at, replicated_at)


TIER_ORDER = _replicated(
    EntryKind.TIERS,
    "order",
    contract_entries.TierOrder(("a", "b", "c"), 1100, 900, 0, 0),
    0,
    INITIAL_TICK,
    INITIAL_TICK,
)
UNEDITED_CONTRACT = _replicated(
    EntryKind.CONTRACT, "town", contract_entries.ContractTerms("b", 0, 0), 0, INITIAL_TICK, INITIAL_TICK
)


class KnownEdit(NamedTuple):
    """An edit of the contract of ``mill``, as known to one router."""

    edit: int
    received_at: float
    known_replicated_at: float | None


KnownEdits = tuple[KnownEdit, ...]
ReplicatedAt = tuple[float | None, ...]  # by edit: when a majority had received it


class ModelState(NamedTuple):
    """A state of the model: the time, the edits that were made, and the edits known to each router."""

    now_ms: int
    last_edit: int
    replicated_at: ReplicatedAt
    routers: tuple[KnownEdits, KnownEdits]
    contradiction_ticks: int  # duration of the contradiction that is still present


def _precedence(known: KnownEdits, now_ms: float, replicated_at: ReplicatedAt, first_tier: str) -> int:
    """Return 1 if ``mill`` outranks ``town`` at a router, -1 if ``town`` outranks ``mill``, else 0."""
    is_fresh = all(
        at is None or at + BOUND_TICKS > now_ms or known[-1].edit >= edit
        for edit, at in enumerate(replicated_at)
    )
    tiers = (first_tier, "c" if first_tier == "a" else "a", first_tier)
    state = FakeReplicatedState(UNEDITED_CONTRACT, reaches_majority=is_fresh)
    contracts = EffectiveContracts(state)
    for edit, received_at, known_replicated_at in known:
        terms = contract_entries.ContractTerms(tiers[edit], 0, 0)
        for at in (None, known_replicated_at):
            state.contract = _replicated(EntryKind.CONTRACT, "mill", terms, edit, received_at, at)
            contracts.refresh(received_at if edit else INITIAL_TICK)
    contracts.refresh(now_ms)
    edited, unedited = (
        assign_priority(name, contracts.for_tenant(name), is_within_quota=True) for name in ("mill", "town")
    )
    return edited.outranks(unedited) - unedited.outranks(edited)


def _successors(state: ModelState) -> Iterator[ModelState]:
    """Yield the states after one edit, delivery, replication or confirmation of replication at a router."""
    now_ms = float(state.now_ms)
    for router in (0, 1):
        own_edits = state.routers[router]
        other_edits = state.routers[1 - router]

        def with_known_edits(
            known: KnownEdits, router: int = router, last_edit: int = state.last_edit
        ) -> ModelState:
            routers = (known, state.routers[1]) if router == 0 else (state.routers[0], known)
            return state._replace(routers=routers, last_edit=last_edit)

        # The first router makes at most the first edit, because the routers are symmetric.
        if state.last_edit < router + 1:
            edit = state.last_edit + 1
            yield with_known_edits((*own_edits, KnownEdit(edit, now_ms, None)), last_edit=edit)
        if other_edits[-1].edit > own_edits[-1].edit:
            yield with_known_edits((*own_edits, KnownEdit(other_edits[-1].edit, now_ms, None)))
        latest = own_edits[-1]
        if latest.known_replicated_at is None and state.replicated_at[latest.edit] is not None:
            yield with_known_edits((*own_edits[:-1], latest._replace(known_replicated_at=now_ms)))
        if state.replicated_at[latest.edit] is None:  # a majority that includes this router receives the edit
            before = state.replicated_at[: latest.edit]
            after = state.replicated_at[latest.edit + 1 :]
            yield state._replace(replicated_at=(*before, now_ms, *after))


class Exploration(NamedTuple):
    """The result of an exploration."""

    state_count: int
    precedence_count: int  # states in which one tenant outranks the other at the first router
    longest_contradiction_ticks: int


def explore(first_tier: str, max_ticks: float = math.inf) -> Exploration:
    """Explore all runs of two routers and two edits, or until a contradiction exceeds ``max_ticks``."""
    start: KnownEdits = (KnownEdit(0, INITIAL_TICK, INITIAL_TICK),)
    pending = [ModelState(0, 0, (INITIAL_TICK, None, None), (start, start), 0)]
    seen = set(pending)
    precedence_count = 0
    longest_ticks = 0
    precedence_by_state: dict[tuple[KnownEdits, int, ReplicatedAt], int] = {}
    while pending and longest_ticks <= max_ticks:
        state = pending.pop()
        keys = [(known, state.now_ms, state.replicated_at) for known in state.routers]
        for key in keys:
            if key not in precedence_by_state:
                precedence_by_state[key] = _precedence(
                    key[0], float(state.now_ms), state.replicated_at, first_tier
                )
        first_precedence, other_precedence = (precedence_by_state[key] for key in keys)
        precedence_count += first_precedence != 0
        contradiction_ticks = state.contradiction_ticks + 1 if first_precedence * other_precedence < 0 else 0
        longest_ticks = max(longest_ticks, contradiction_ticks)
        successors = list(_successors(state))
        if state.now_ms < LAST_TICK:
            successors.append(
                state._replace(now_ms=state.now_ms + 1, contradiction_ticks=contradiction_ticks)
            )
        for successor in successors:
            if successor not in seen:
                seen.add(successor)
                pending.append(successor)
    return Exploration(len(seen), precedence_count, longest_ticks)
