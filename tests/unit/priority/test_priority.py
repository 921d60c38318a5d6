"""Priority tiers: contracts, load pressure, quotas, preemption and overload levels, each by itself."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.call_priority import CallPriority
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.priority import codec, contract_entries
from cedarthread.priority.body_history import BodyHistory
from cedarthread.priority.call_priority import assign_priority
from cedarthread.priority.codec import RouterPressure
from cedarthread.priority.contracts import EffectiveContracts, OverloadParameters
from cedarthread.priority.overload_level import LEVEL_MULTIPLES, OverloadStateMachine
from cedarthread.priority.preemption import (
    CallStage,
    PreemptionCandidate,
    PreemptionClaim,
    PreemptionLimits,
    choose_victim,
)
from cedarthread.priority.pressure_gossip import PressureGossip
from cedarthread.priority.usage import QuotaBucket

if TYPE_CHECKING:
    from collections.abc import Iterator

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


def test_fleet_file_round_trips_through_entries_and_bad_bodies_are_errors() -> None:
    declared = contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE.encode()))
    tiers, mill = (Entry(kind, name, Version(1, 0, 0), body) for kind, name, body in declared)
    assert contract_entries.decode_tier_order(tiers) == contract_entries.TierOrder(
        ("firm", "standard"), 1100, 900, 3000, 20000
    )
    assert contract_entries.decode_contract(mill) == contract_entries.ContractTerms("firm", 12500, 250)
    assert contract_entries.entries_from_config(parse_fleet_config(b"")) == []
    rng = random.Random(1)
    for _ in range(3000):
        body = bytearray(rng.choice([tiers.body, mill.body, rng.randbytes(20)]))
        body[rng.randrange(len(body))] = rng.randrange(256)
        for decode in (contract_entries.decode_tier_order, contract_entries.decode_contract):
            value = decode(Entry(EntryKind.TIERS, "order", Version(1, 0, 0), bytes(body)))
            assert isinstance(value, MalformedDatagram) or msgspec.msgpack.encode(value) == bytes(body)
    longer = mill.body.replace(b"\xcc\xfa", b"\xcd\x00\xfa")  # 250 in 16 bits instead of 8
    assert longer != mill.body
    not_canonical = Entry(mill.kind, "mill", mill.version, longer)
    assert isinstance(contract_entries.decode_contract(not_canonical), MalformedDatagram)


def test_datagrams_round_trip_and_ages_only_grow() -> None:
    reports = [RouterPressure(n, n / 32.0, 1.05**n, 50.0 * n) for n in range(codec.MAX_ENTRIES)]
    data = codec.encode(reports)
    assert codec.decode(data) == tuple(reports)
    assert len(data) <= MAX_DATAGRAM_BYTES
    decoded = codec.decode(codec.encode([RouterPressure(1, 1.0, 9.0, 101.0)]))
    assert not isinstance(decoded, MalformedDatagram)
    assert decoded[0].age_ms == 150.0
    with pytest.raises(ValueError):
        codec.encode([*reports, reports[0]])


def test_in_a_large_fleet_reports_of_a_majority_arrive_in_bounded_bytes() -> None:
    count, rng, sent_bytes = 200, random.Random(1), 0
    fleet = [PressureGossip(router_index, count, router_index) for router_index in range(count)]
    for gossip in fleet:
        gossip.alive_peers = tuple(n for n in range(count) if n != gossip.router_index)
    for step in range(60):
        for gossip in fleet:
            gossip.record_own(step * 250.0, gossip.router_index % 2, 50.0)
            for peer_index, data in gossip.messages_due(step * 250.0):
                assert len(data) <= MAX_DATAGRAM_BYTES
                sent_bytes += len(data)
                if rng.random() > 0.2:
                    fleet[peer_index].on_message(step * 250.0 + 60.0, gossip.router_index, data)
    assert sent_bytes / count / 15.0 < 1024.0
    assert all(gossip.fleet_pressure(15_000.0) is not None for gossip in fleet)
    fleet[0].alive_peers = tuple(range(1, 100))
    assert fleet[0].fleet_pressure(15_000.0) is None, "half of the configured routers are no majority"


def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    rng, gossip = random.Random(2), PressureGossip(0, 3, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        gossip.on_message(0.0, 1, rng.choice([data, bytes((0xC6,)) + data]))
    sender = RouterPressure(1, 1.0, 1.0, 0.0)
    receiver, expired = RouterPressure(0, 7.9, 1.0, 0.0), RouterPressure(2, 1.0, 1.0, 9e9)
    gossip.on_message(0.0, 1, codec.encode([sender, receiver, expired]))
    assert gossip.unreadable_count + gossip.invalid_count == 2000
    assert set(gossip.reports) == {1}, "own pressure is never taken from others"
    no_router = RouterPressure(3, 1.0, 1.0, 0.0)
    gossip.on_message(0.0, 1, codec.encode([sender, no_router]))
    assert gossip.invalid_count
    assert 3 not in gossip.reports


def test_quota_bucket_never_exceeds_its_rate_by_more_than_its_depth() -> None:
    rng, bucket, taken = random.Random(3), QuotaBucket(), 0
    earned = now_ms = 0.0
    rate = 5000
    for _ in range(5000):
        step_ms, next_rate = rng.uniform(0.0, 400.0), rng.choice([0, 500, 5000, 50_000])
        earned += min(rate, next_rate) / 1000.0 * step_ms / 1000.0
        now_ms, rate = now_ms + step_ms, next_rate
        bucket.refill(now_ms, rate)
        while bucket.try_take():
            taken += 1
        assert taken <= earned + 50.0  # the depth at the highest rate
    assert taken > 1000


def _candidate(request_id: int, **changes: object) -> PreemptionCandidate:
    low_priority = CallPriority(66, 66, 66, "bulk")
    candidate = PreemptionCandidate(
        request_id=request_id,
        retry_identity=request_id,
        priority=low_priority,
        stage=CallStage.WRITTEN,
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        priority_weight=1.0,
        arrived_at_ms=float(request_id),
        worker_id=1,
        time_to_free_ms=80.0,
        consumed_work_ms=20.0,
    )
    return replace(candidate, **changes)  # type: ignore[arg-type]


CLAIM = PreemptionClaim(
    CallPriority(0, 0, 0, "mill", True),
    service_time_ms=100.0,
    remaining_ms=300.0,
    expected_wait_ms=500.0,
    wait_by_worker_ms={1: 0.0, 2: 250.0},
)
LIMITS = PreemptionLimits(
    allows_running=True,
    waste_budget_ms=50.0,
    max_retry_after_ms=2000.0,
    is_allowed=lambda candidate: True,
)
WITH_KEY = {"idempotency": Idempotency.WITH_KEY, "deduplication_remaining_ms": 2500.0}


@pytest.mark.parametrize(
    ("changes", "chosen"),
    [
        ({}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT}, False),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.UNWRITTEN}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.QUEUED}, True),
        (WITH_KEY, True),
        (WITH_KEY | {"deduplication_remaining_ms": 1900.0}, False),
        (WITH_KEY | {"deduplication_scope": DeduplicationScope.ZONE}, False),
        ({"stage": CallStage.STREAMING}, False),
        ({"priority": CallPriority(0, 0, 0, "other", True)}, False),
        ({"priority": CallPriority(0, 127, 66, "edited")}, False),
        ({"is_client_retry": True}, False),
        ({"attempts_in_flight": 2}, False),
        ({"worker_id": None}, False),
        ({"worker_id": 2}, False),
        ({"worker_id": 3}, False),
        ({"consumed_work_ms": 90.0}, False),
        ({"consumed_work_ms": 51.0, "time_to_free_ms": 99.0}, False),
        ({"stage": CallStage.QUEUED, "time_to_free_ms": 250.0}, False),
    ],
)
def test_only_safe_and_useful_candidates_are_preempted(changes: dict[str, object], chosen: bool) -> None:
    assert (choose_victim(CLAIM, [_candidate(1, **changes)], LIMITS) is not None) is chosen


def test_the_lowest_priority_then_least_weight_then_youngest_is_preempted() -> None:
    candidates = [
        _candidate(1, priority=CallPriority(64, 64, 64)),
        _candidate(2, priority_weight=2.0),
        _candidate(3),
        _candidate(4),
        _candidate(5, arrived_at_ms=0.0),
    ]
    preempted = []
    while (victim := choose_victim(CLAIM, candidates, LIMITS)) is not None:
        preempted.append(victim.request_id)
        candidates.remove(victim)
    assert preempted == [4, 3, 5, 2, 1]
    assert choose_victim(replace(CLAIM, expected_wait_ms=200.0), [_candidate(1)], LIMITS) is None, (
        "it is served in time anyway"
    )
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, is_allowed=lambda candidate: False)) is None
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, allows_running=False)) is None


# Small worlds, explored exhaustively.

BOUND_TICKS, LAST_TICK = 2.0, 4  # the staleness bound of the small world, and its end
LONG_AGO = -99.0  # ticks


class FixedState:
    """The replicated store of the small world: one contract that is edited, one that is not."""

    staleness_bound_ms = BOUND_TICKS

    def __init__(self, contract: ReplicatedEntry, hears_majority: bool) -> None:
        self.contract, self.hears_majority = contract, hears_majority

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        return (TIER_ORDER,) if kind is EntryKind.TIERS else (self.contract, TOWN_CONTRACT)

    def is_fresh(self, now_ms: float) -> bool:
        return self.hears_majority

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
    LONG_AGO,
    LONG_AGO,
)
TOWN_CONTRACT = _replicated(
    EntryKind.CONTRACT, "town", contract_entries.ContractTerms("b", 0, 0), 0, LONG_AGO, LONG_AGO
)


class KnownEdit(NamedTuple):
    """An edit of the mill's contract as one router holds it."""

    edit: int
    received_at: float
    known_replicated_at: float | None


KnownEdits = tuple[KnownEdit, ...]
ReplicatedAt = tuple[float | None, ...]  # by edit: when a majority held it


class WorldState(NamedTuple):
    now_ms: int
    last_edit: int
    replicated_at: ReplicatedAt
    routers: tuple[KnownEdits, KnownEdits]
    contradiction_ticks: int  # without a break, until now


def _preemption_sign(known: KnownEdits, now_ms: float, replicated_at: ReplicatedAt, first_tier: str) -> int:
    """1: the mill goes before the town here; -1: after it; 0: neither."""
    is_fresh = all(
        at is None or at + BOUND_TICKS > now_ms or known[-1].edit >= edit
        for edit, at in enumerate(replicated_at)
    )
    tiers = (first_tier, "c" if first_tier == "a" else "a", first_tier)
    state = FixedState(TOWN_CONTRACT, is_fresh)
    contracts = EffectiveContracts(state)
    for edit, received_at, known_replicated_at in known:
        terms = contract_entries.ContractTerms(tiers[edit], 0, 0)
        for at in (None, known_replicated_at):
            state.contract = _replicated(EntryKind.CONTRACT, "mill", terms, edit, received_at, at)
            contracts.refresh(received_at if edit else LONG_AGO)
    contracts.refresh(now_ms)
    mill, town = (
        assign_priority(name, contracts.for_tenant(name), is_within_quota=True) for name in ("mill", "town")
    )
    return mill.outranks(town) - town.outranks(mill)


def _successors(state: WorldState) -> Iterator[WorldState]:
    now_ms = float(state.now_ms)
    for router in (0, 1):
        own_edits, other_edits = state.routers[router], state.routers[1 - router]

        def knowing(known: KnownEdits, router: int = router, last_edit: int = state.last_edit) -> WorldState:
            routers = (known, state.routers[1]) if router == 0 else (state.routers[0], known)
            return state._replace(routers=routers, last_edit=last_edit)

        if state.last_edit < router + 1:  # the first edit by the first router, for they are alike
            edit = state.last_edit + 1
            yield knowing((*own_edits, KnownEdit(edit, now_ms, None)), last_edit=edit)
        if other_edits[-1].edit > own_edits[-1].edit:
            yield knowing((*own_edits, KnownEdit(other_edits[-1].edit, now_ms, None)))
        latest = own_edits[-1]
        if latest.known_replicated_at is None and state.replicated_at[latest.edit] is not None:
            yield knowing((*own_edits[:-1], latest._replace(known_replicated_at=now_ms)))
        if state.replicated_at[latest.edit] is None:  # the majority that holds it includes this router
            before, after = state.replicated_at[: latest.edit], state.replicated_at[latest.edit + 1 :]
            yield state._replace(replicated_at=(*before, now_ms, *after))


class Exploration(NamedTuple):
    state_count: int
    act_count: int  # states in which a tenant goes before the other at the first router
    longest_contradiction_ticks: int


def _explore(first_tier: str, max_ticks: float = math.inf) -> Exploration:
    """All runs of two routers and two edits, until a contradiction lasts for longer than ``max_ticks``."""
    start: KnownEdits = (KnownEdit(0, LONG_AGO, LONG_AGO),)
    pending = [WorldState(0, 0, (LONG_AGO, None, None), (start, start), 0)]
    seen, act_count, longest = set(pending), 0, 0
    signs: dict[tuple[KnownEdits, int, ReplicatedAt], int] = {}
    while pending and longest <= max_ticks:
        state = pending.pop()
        keys = [(known, state.now_ms, state.replicated_at) for known in state.routers]
        for key in keys:
            if key not in signs:
                signs[key] = _preemption_sign(key[0], float(state.now_ms), state.replicated_at, first_tier)
        first_sign, second_sign = (signs[key] for key in keys)
        act_count += first_sign != 0
        contradiction_ticks = state.contradiction_ticks + 1 if first_sign * second_sign < 0 else 0
        longest = max(longest, contradiction_ticks)
        successors = list(_successors(state))
        if state.now_ms < LAST_TICK:
            successors.append(
                state._replace(now_ms=state.now_ms + 1, contradiction_ticks=contradiction_ticks)
            )
        for successor in successors:
            if successor not in seen:
                seen.add(successor)
                pending.append(successor)
    return Exploration(len(seen), act_count, longest)


def test_no_two_routers_contradict_each_other_for_longer_than_the_bound() -> None:
    explored = _explore("a")
    print(explored)
    assert explored.state_count > 10_000
    assert explored.act_count > 1000
    assert explored.longest_contradiction_ticks == 0


def _is_certain_too_early(self: BodyHistory[contract_entries.ContractTerms]) -> bool:
    return self.certain_body is not None


def test_exploration_finds_an_edit_that_takes_effect_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BodyHistory, "is_certain", _is_certain_too_early)
    assert _explore("a", BOUND_TICKS).longest_contradiction_ticks > BOUND_TICKS


PARAMETERS = OverloadParameters(1.0, 0.8, 2.0, 0)


def test_overload_level_moves_one_step_after_a_dwell_and_resets_at_once() -> None:
    """All runs of pressures: a level changes only where each of the last three pressures asked for it."""
    pressures = (None, 0.7, 0.9, 1.1, 1.3, 1.5)
    seen = set[tuple[int, int, float | None, tuple[float | None, ...]]]()
    pending: list[tuple[int, int, float | None, tuple[float | None, ...]]] = [(0, 0, None, (None,) * 3)]
    while pending:
        level, requested_step, age_ms, last_pressures = pending.pop()
        for pressure in pressures:
            machine = OverloadStateMachine()
            machine.level, machine.requested_step = level, requested_step
            machine.requested_since_ms = None if age_ms is None else 10.0 - age_ms
            next_level = machine.update(11.0, pressure, PARAMETERS)
            last_three = [-1.0 if each is None else each for each in (*last_pressures[1:], pressure)]
            if pressure is None:
                assert next_level == 0
            elif next_level > level:
                assert next_level == level + 1
                assert min(last_three) >= LEVEL_MULTIPLES[level]
            elif next_level < level:
                assert next_level == level - 1
                assert max(last_three) < LEVEL_MULTIPLES[level - 1] * 0.8
            since_ms = machine.requested_since_ms
            next_age_ms = None if since_ms is None else min(3.0, 11.0 - since_ms)
            state = next_level, machine.requested_step, next_age_ms, (*last_pressures[1:], pressure)
            if state not in seen:
                seen.add(state)
                pending.append(state)
    assert len(seen) > 300
    assert {level for level, *_ in seen} == {0, 1, 2, 3}
