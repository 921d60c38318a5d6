"""Contract tiers, each part by itself."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import replace

import msgspec
import pytest

from cedarthread.components.interface import Entry, EntryKind, ReplicatedEntry, Version
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.model.settings import DeduplicationScope, Idempotency
from cedarthread.priority import codec, contract_entries
from cedarthread.priority.body_history import BodyHistory
from cedarthread.priority.call_priority import CallPriority, assign_priority
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
    found = contract_entries.entries_from_config(parse_fleet_config(FLEET_FILE.encode()))
    tiers, mill = (Entry(kind, name, Version(1, 0, 0), body) for kind, name, body in found)
    assert contract_entries.decode_tier_order(tiers) == contract_entries.TierOrder(
        ("firm", "standard"), 1100, 900, 3000, 20000
    )
    assert contract_entries.decode_contract(mill) == contract_entries.ContractTerms("firm", 12500, 250)
    assert contract_entries.entries_from_config(parse_fleet_config(b"")) == []
    rng = random.Random(1)
    for _ in range(3000):
        body = bytearray(rng.choice([tiers.body, mill.body, rng.randbytes(20)]))
        body[rng.randrange(len(body))] = rng.randrange(256)
        for read in (contract_entries.decode_tier_order, contract_entries.decode_contract):
            value = read(Entry(EntryKind.TIERS, "order", Version(1, 0, 0), bytes(body)))
            assert isinstance(value, MalformedDatagram) or msgspec.msgpack.encode(value) == bytes(body)
    spelt = mill.body.replace(b"\xcc\xfa", b"\xcd\x00\xfa")  # 250 in two ways
    assert spelt != mill.body and isinstance(
        contract_entries.decode_contract(Entry(mill.kind, "mill", mill.version, spelt)), MalformedDatagram
    )


def test_datagrams_round_trip_and_ages_only_grow() -> None:
    reports = [RouterPressure(n, n / 32.0, 1.05**n, 50.0 * n) for n in range(codec.MAX_ENTRIES)]
    data = codec.encode(reports)
    assert codec.decode(data) == tuple(reports) and len(data) <= MAX_DATAGRAM_BYTES
    again = codec.decode(codec.encode([RouterPressure(1, 1.0, 9.0, 101.0)]))
    assert not isinstance(again, MalformedDatagram) and again[0].age_ms == 150.0
    with pytest.raises(ValueError):
        codec.encode([*reports, reports[0]])


def test_in_a_large_fleet_reports_of_a_majority_arrive_in_bounded_bytes() -> None:
    count, rng, sent = 200, random.Random(1), 0
    fleet = [PressureGossip(me, count, me) for me in range(count)]
    for gossip in fleet:
        gossip.alive_peers = tuple(n for n in range(count) if n != gossip.router_index)
    for step in range(60):
        for gossip in fleet:
            gossip.record_own(step * 250.0, gossip.router_index % 2, 50.0)
            for peer_index, data in gossip.messages_due(step * 250.0):
                assert len(data) <= MAX_DATAGRAM_BYTES
                sent += len(data)
                if rng.random() > 0.2:
                    fleet[peer_index].on_message(step * 250.0 + 60.0, gossip.router_index, data)
    assert sent / count / 15.0 < 1024.0 and all(one.fleet_pressure(15_000.0) is not None for one in fleet)
    fleet[0].alive_peers = tuple(range(1, 100))
    assert fleet[0].fleet_pressure(15_000.0) is None, "half of the configured routers are no majority"


def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    rng, gossip = random.Random(2), PressureGossip(0, 3, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        gossip.on_message(0.0, 1, rng.choice([data, bytes((0xC6,)) + data]))
    gossip.on_message(
        0.0,
        1,
        codec.encode(
            [
                RouterPressure(1, 1.0, 1.0, 0.0),
                RouterPressure(0, 7.9, 1.0, 0.0),
                RouterPressure(2, 1.0, 1.0, 9e9),
            ]
        ),
    )
    assert gossip.unreadable_count + gossip.invalid_count == 2000 and set(gossip.reports) == {1}, (
        "own pressure is never taken from others"
    )
    gossip.on_message(
        0.0, 1, codec.encode([RouterPressure(1, 1.0, 1.0, 0.0), RouterPressure(3, 1.0, 1.0, 0.0)])
    )
    assert gossip.invalid_count and 3 not in gossip.reports


def test_quota_bucket_never_exceeds_its_rate_by_more_than_its_depth() -> None:
    rng, bucket, passed = random.Random(3), QuotaBucket(), 0
    area = now = 0.0
    rate = 5000
    for _ in range(5000):
        step, new = rng.uniform(0.0, 400.0), rng.choice([0, 500, 5000, 50_000])
        area += min(rate, new) / 1000.0 * step / 1000.0
        now, rate = now + step, new
        bucket.refill(now, rate)
        while bucket.try_take():
            passed += 1
        assert passed <= area + 50.0
    assert passed > 1000


def _candidate(request_id: int, **changes: object) -> PreemptionCandidate:
    low_priority = CallPriority(66, 66, 66, "bulk")
    candidate = PreemptionCandidate(
        request_id,
        request_id,
        low_priority,
        CallStage.WRITTEN,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.ALL,
        1.0,
        float(request_id),
        1,
        80.0,
        0.0,
        20.0,
    )
    return replace(candidate, **changes)  # type: ignore[arg-type]


CLAIM = PreemptionClaim(CallPriority(0, 0, 0, "mill", True), 100.0, 300.0, 500.0, {1: 0.0, 2: 250.0})
LIMITS = PreemptionLimits(True, 50.0, 2000.0, lambda view: True)
WITH_KEY = {"idempotency": Idempotency.WITH_KEY, "deduplication_left_ms": 2500.0}


@pytest.mark.parametrize(
    ("changes", "chosen"),
    [
        ({}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT}, False),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.UNWRITTEN}, True),
        ({"idempotency": Idempotency.NOT_IDEMPOTENT, "stage": CallStage.QUEUED}, True),
        (WITH_KEY, True),
        (WITH_KEY | {"deduplication_left_ms": 1900.0}, False),
        (WITH_KEY | {"deduplication_scope": DeduplicationScope.ZONE}, False),
        ({"stage": CallStage.STREAMING}, False),
        ({"priority": CallPriority(0, 0, 0, "other", True)}, False),
        ({"priority": CallPriority(0, 127, 66, "edited")}, False),
        ({"is_client_retry": True}, False),
        ({"attempts_in_flight": 2}, False),
        ({"worker_id": None}, False),
        ({"worker_id": 2}, False),
        ({"worker_id": 3}, False),
        ({"spent_work_ms": 90.0}, False),
        ({"spent_work_ms": 51.0, "time_to_free_ms": 99.0}, False),
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
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, is_allowed=lambda view: False)) is None
    assert choose_victim(CLAIM, [_candidate(1)], replace(LIMITS, allows_running=False)) is None


# Small worlds, explored whole.

BOUND_TICKS, LAST_TICK = 2.0, 4  # ticks: the bound of the small world, and its end


class FixedState:
    """A register as the small world has it: one contract that is edited, one that is not."""

    staleness_bound_ms = BOUND_TICKS

    def __init__(self, bodies: ReplicatedEntry, fresh: bool) -> None:
        self.contract, self.hears_majority = bodies, fresh

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        return (TIER_ORDER,) if kind is EntryKind.TIERS else (self.contract, TOWN_CONTRACT)

    def is_fresh(self, now: float) -> bool:
        return self.hears_majority

    def fresh_since(self, now: float) -> float | None:
        return None


def _replicated(
    kind: EntryKind, name: str, value: object, number: int, heard: float, settled: float | None
) -> ReplicatedEntry:
    return ReplicatedEntry(
        Entry(kind, name, Version(number, 0, 0), msgspec.msgpack.encode(value)), heard, settled
    )


TIER_ORDER = _replicated(
    EntryKind.TIERS, "order", contract_entries.TierOrder(("a", "b", "c"), 1100, 900, 0, 0), 0, -99.0, -99.0
)
TOWN_CONTRACT = _replicated(
    EntryKind.CONTRACT, "town", contract_entries.ContractTerms("b", 0, 0), 0, -99.0, -99.0
)
KnownEdits = tuple[
    tuple[int, float, float | None], ...
]  # of one router: edit, when heard, when known to be settled
WorldState = tuple[int, int, tuple[float | None, ...], tuple[KnownEdits, KnownEdits], int]


def _preemption_sign(known: KnownEdits, now: float, settled: tuple[float | None, ...], first: str) -> int:
    """1: the mill goes before the town here; -1: after it; 0: neither."""
    fresh = all(
        at is None or at + BOUND_TICKS > now or known[-1][0] >= edit for edit, at in enumerate(settled)
    )
    tiers = (first, "c" if first == "a" else "a", first)
    state = FixedState(TOWN_CONTRACT, fresh)
    contracts = EffectiveContracts(state)
    for edit, heard, replicated_at in known:
        for known_replicated_at in (None, replicated_at):
            state.contract = _replicated(
                EntryKind.CONTRACT,
                "mill",
                contract_entries.ContractTerms(tiers[edit], 0, 0),
                edit,
                heard,
                known_replicated_at,
            )
            contracts.refresh(heard if edit else -99.0)
    contracts.refresh(now)
    mill, town = (assign_priority(name, contracts.for_tenant(name), True) for name in ("mill", "town"))
    return mill.outranks(town) - town.outranks(mill)


def _successors(state: WorldState) -> Iterator[WorldState]:
    now, last, settled, routers, streak = state
    for router in (0, 1):
        own_edits, other_edits = routers[router], routers[1 - router]

        def put(known: KnownEdits, me: int = router) -> tuple[KnownEdits, KnownEdits]:
            return (known, routers[1]) if me == 0 else (routers[0], known)

        if last < router + 1:  # the first edit by the first, for they are alike
            yield now, last + 1, settled, put((*own_edits, (last + 1, float(now), None))), streak
        if other_edits[-1][0] > own_edits[-1][0]:
            yield now, last, settled, put((*own_edits, (other_edits[-1][0], float(now), None))), streak
        edit, heard, replicated_at = own_edits[-1]
        if replicated_at is None and settled[edit] is not None:
            yield now, last, settled, put((*own_edits[:-1], (edit, heard, float(now)))), streak
        if settled[edit] is None:  # the majority that holds it includes this one
            yield now, last, (*settled[:edit], float(now), *settled[edit + 1 :]), routers, streak


def _explore(first: str, max_ticks: float = math.inf) -> tuple[int, int, int]:
    """States of all runs of two routers and two edits, acts in them, ticks of the longest contradiction; it
    ends with the first that is longer than ``most``."""
    start: KnownEdits = ((0, -99.0, -99.0),)
    pending: list[WorldState] = [(0, 0, (-99.0, None, None), (start, start), 0)]
    seen, acts, longest = set(pending), 0, 0
    memo: dict[tuple[KnownEdits, int, tuple[float | None, ...]], int] = {}
    while pending and longest <= max_ticks:
        state = pending.pop()
        now, last, settled, routers, streak = state
        new = list(_successors(state))
        for known in routers:
            if (known, now, settled) not in memo:
                memo[known, now, settled] = _preemption_sign(known, float(now), settled, first)
        first_sign, second_sign = (memo[known, now, settled] for known in routers)
        acts += first_sign != 0
        streak = streak + 1 if first_sign * second_sign < 0 else 0
        longest = max(longest, streak)
        if now < LAST_TICK:
            new.append((now + 1, last, settled, routers, streak))
        for following in new:
            if following not in seen:
                seen.add(following)
                pending.append(following)
    return len(seen), acts, longest


def test_no_two_routers_contradict_each_other_for_longer_than_the_bound() -> None:
    states, acts, longest = _explore("a")
    print(f"{states} states, {acts} acts, {longest} ticks")
    assert states > 10_000 and acts > 1000 and longest == 0


def _is_certain_too_early(self: BodyHistory[contract_entries.ContractTerms]) -> bool:
    return self.certain_body is not None


def test_exploration_finds_an_edit_that_takes_effect_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(BodyHistory, "is_certain", _is_certain_too_early)
    assert _explore("a", BOUND_TICKS)[2] > BOUND_TICKS


PARAMETERS = OverloadParameters(1.0, 0.8, 2.0, 0)


def test_overload_level_moves_one_step_after_a_dwell_and_resets_at_once() -> None:
    """All runs of pressures: a level changes only where each of the last three looks asked for it."""
    pressures = (None, 0.7, 0.9, 1.1, 1.3, 1.5)
    seen = set[tuple[int, int, float | None, tuple[float | None, ...]]]()
    pending: list[tuple[int, int, float | None, tuple[float | None, ...]]] = [(0, 0, None, (None,) * 3)]
    while pending:
        level, requested_step, age, last_pressures = pending.pop()
        for pressure in pressures:
            machine = OverloadStateMachine()
            machine.level, machine.requested_step, machine.requested_since_ms = (
                level,
                requested_step,
                None if age is None else 10.0 - age,
            )
            next_level = machine.update(11.0, pressure, PARAMETERS)
            last_three = [-1.0 if one is None else one for one in (*last_pressures[1:], pressure)]
            if pressure is None:
                assert next_level == 0
            elif next_level > level:
                assert next_level == level + 1 and min(last_three) >= LEVEL_MULTIPLES[level]
            elif next_level < level:
                assert next_level == level - 1 and max(last_three) < LEVEL_MULTIPLES[level - 1] * 0.8
            age_now = (
                None if machine.requested_since_ms is None else min(3.0, 11.0 - machine.requested_since_ms)
            )
            state = next_level, machine.requested_step, age_now, (*last_pressures[1:], pressure)
            if state not in seen:
                seen.add(state)
                pending.append(state)
    assert len(seen) > 300 and {level for level, *_ in seen} == {0, 1, 2, 3}
