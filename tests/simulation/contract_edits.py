"""Edits of contracts in a fleet of replicated stores that pull from each other, on virtual time (ms)."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from collections import defaultdict
from typing import NamedTuple

import msgspec

from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.priority import contract_entries
from cedarthread.priority.call_priority import assign_priority
from cedarthread.priority.contracts import EffectiveContracts
from tests.simulation.priority_records import (
    EDITED_TENANTS,
    FLEET_FILE,
    STALENESS_BOUND_MS,
    FakeReplicatedState,
)

ROUTER_COUNT = 5
STEP_COUNT = 4000  # number of simulated steps, of 100 ms each


class PullingReplicatedState(FakeReplicatedState):
    """A replicated store that pulls from others and tracks which routers have each entry."""

    def __init__(self, router_index: int, router_count: int) -> None:
        super().__init__()
        self.router_index = router_index
        self.router_count = router_count
        self.confirmed_at_ms = [-math.inf] * router_count
        self.holders: dict[Entry, set[int]] = defaultdict(set)

    def pull(self, now_ms: float, other: PullingReplicatedState) -> None:
        self.confirmed_at_ms[self.router_index] = now_ms
        other.confirmed_at_ms[other.router_index] = now_ms
        self.confirmed_at_ms = [
            max(pair) for pair in zip(self.confirmed_at_ms, other.confirmed_at_ms, strict=True)
        ]
        for entry, holders in other.holders.items():
            self.holders[entry] |= holders
        for replicated in other.entry_by_name.values():
            self.add(now_ms, replicated.entry)
            self.holders[replicated.entry] |= {self.router_index, other.router_index}
        self.confirm_replicated(now_ms)

    def add(self, now_ms: float, entry: Entry) -> None:
        previous = self.entry_by_name.get((entry.kind, entry.name))
        if previous is None or previous.entry.version < entry.version:
            self.entry_by_name[entry.kind, entry.name] = ReplicatedEntry(entry, now_ms, None)
            self.holders[entry].add(self.router_index)

    def confirm_replicated(self, now_ms: float) -> None:
        for key, replicated in self.entry_by_name.items():
            has_majority = 2 * len(self.holders[replicated.entry]) > self.router_count
            if replicated.replicated_at_ms is None and has_majority:
                self.entry_by_name[key] = dataclasses.replace(replicated, replicated_at_ms=now_ms)

    def is_fresh(self, now_ms: float) -> bool:
        oldest_ms = now_ms - (STALENESS_BOUND_MS - 500.0)
        recent_count = sum(
            at_ms > oldest_ms or index == self.router_index
            for index, at_ms in enumerate(self.confirmed_at_ms)
        )
        return 2 * recent_count > self.router_count


class OneWayPartition(NamedTuple):
    """The routers that neither pull nor are pulled from, and those from which no router pulls."""

    isolated: set[int]
    not_pulled_from: set[int]


def _pull_at_random(
    now_ms: float, states: list[PullingReplicatedState], partition: OneWayPartition, rng: random.Random
) -> None:
    """Let each router pull from a random peer, unless the pull is lost or one of the two is partitioned."""
    unreachable = partition.isolated | partition.not_pulled_from
    for router_index in range(ROUTER_COUNT):
        peer_index = rng.randrange(ROUTER_COUNT)
        is_lost = rng.random() >= 0.2 or router_index == peer_index
        if not is_lost and router_index not in partition.isolated and peer_index not in unreachable:
            states[router_index].pull(now_ms, states[peer_index])


def contradiction_of_edited_contracts(seed: int) -> str | None:
    """Edit two contracts repeatedly while pulls are lost and routers are partitioned, some in one direction.

    Return a message if two routers disagree on which tenant has precedence for over the staleness bound.
    """
    rng = random.Random(seed)
    states = [PullingReplicatedState(router_index, ROUTER_COUNT) for router_index in range(ROUTER_COUNT)]
    contracts = [EffectiveContracts(state) for state in states]
    for kind, name, body in contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE)):
        for state in states:
            state.add(0.0, Entry(kind, name, Version(0, 0, 0), body))
    partition = OneWayPartition(set(), set())
    longest_ms = 0.0
    decision_count = 0
    contradicts_since_ms: dict[tuple[int, int], float] = {}
    for step in range(STEP_COUNT):
        now_ms = step * 100.0
        if step % 200 == 100:  # every 20 s
            partition = OneWayPartition({rng.randrange(ROUTER_COUNT)}, {rng.randrange(ROUTER_COUNT)})
        _pull_at_random(now_ms, states, partition, rng)
        if step % 40 == 20 and step > 200:
            author = rng.choice([*partition.not_pulled_from, rng.randrange(ROUTER_COUNT)])
            _edit_contract(now_ms, states[author], rng)
        precedence_by_router = [_precedence(now_ms, each) for each in contracts]
        decision_count += sum(map(abs, precedence_by_router))
        for pair in itertools.product(range(ROUTER_COUNT), range(ROUTER_COUNT)):
            if precedence_by_router[pair[0]] * precedence_by_router[pair[1]] < 0:
                since_ms = contradicts_since_ms.setdefault(pair, now_ms)
                longest_ms = max(longest_ms, now_ms - since_ms)
            else:
                contradicts_since_ms.pop(pair, None)
    if decision_count < 0.1 * STEP_COUNT * ROUTER_COUNT:
        return f"only {decision_count} precedence decisions, too few to show anything"
    return (
        f"two routers contradicted each other for {longest_ms:.0f} ms"
        if longest_ms > STALENESS_BOUND_MS
        else None
    )


def _edit_contract(now_ms: float, author: PullingReplicatedState, rng: random.Random) -> None:
    name = rng.choice(EDITED_TENANTS)
    terms = contract_entries.ContractTerms(rng.choice(("firm", "standard", "interruptible")), 60_000, 0)
    counter = author.entry_by_name[EntryKind.CONTRACT, name].entry.version.counter + 1
    version = Version(counter, author.router_index, 0)
    author.add(now_ms, Entry(EntryKind.CONTRACT, name, version, msgspec.msgpack.encode(terms)))


def _precedence(now_ms: float, contracts: EffectiveContracts) -> int:
    """Return 1 if the first of ``EDITED_TENANTS`` outranks the other at a router, -1 if outranked, else 0."""
    contracts.refresh(now_ms)
    first, other = (
        assign_priority(name, contracts.for_tenant(name), is_within_quota=True) for name in EDITED_TENANTS
    )
    return first.outranks(other) - other.outranks(first)
