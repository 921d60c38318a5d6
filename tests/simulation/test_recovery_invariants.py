"""Invariant checks on the simulation's records, and the injected defects that the checks must find."""

from __future__ import annotations

import copy
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

import pytest

from cedarthread import statistics
from cedarthread.components.notifications import AttemptCompleted
from cedarthread.model.actions import SendToPeer
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.recovery import codec, peer_query, snapshot
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.recovery.pacing import Pacer
from cedarthread.recovery.state_machine import RecoveryStateMachine
from cedarthread.recovery.warm_state import AgedObservation, Observation, ObservationSource, WarmState
from tests.helpers import settings, worker
from tests.simulation.recovery_fleet import (
    SETTLED_MS,
    SimulatedFleet,
    fault_free_load_peak,
    settled_fleet,
)
from tests.simulation.recovery_records import peak

Violations = set[str]
Check = Callable[[SimulatedFleet, int], Violations]


@pytest.fixture(scope="module")
def settled() -> SimulatedFleet:
    return settled_fleet()


@pytest.fixture(scope="module")
def fault_free_peak() -> int:
    return fault_free_load_peak()


def responses_in_a_query_storm() -> int:
    """Return how many response datagrams a surviving router sends while 100 others query it for 1 s."""
    surviving_router = RecoveryComponent(settings(router_count=102, router_index=0), 1, 0.0)
    endpoints = tuple(worker(worker_id) for worker_id in range(30))
    surviving_router.on_notification(0.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, 1, endpoints))
    for function_id in range(600):
        completed = AttemptCompleted(function_id % 30, function_id, None, 1.0, Outcome.OK, True)
        surviving_router.on_notification(1.0, completed)
    response_count = 0
    for nonce in range(2000):
        query = codec.encode(codec.Query(nonce, nonce % 4, 4))
        response_count += sum(
            isinstance(message, SendToPeer) and message.data[1] == codec.DatagramKind.RESPONSE
            for message in surviving_router.on_message(1.0 + nonce / 2, 1 + nonce % 100, query)
        )
    return response_count


def check_restart_with_store(settled: SimulatedFleet, fault_free_peak: int) -> Violations:
    """Check a restart of all routers with a store, while workers restart and one drains."""
    fleet = copy.deepcopy(settled)
    fleet.restart_routers(1.0, has_store=True)
    fleet.run(SETTLED_MS + 500.0)
    fleet.restart_workers([0, 1, 2, 4], {3})
    fleet.run(SETTLED_MS + 4000.0)
    violations = {
        # The peak is 4 to 6 loads, depending on the seed, and 22 to 31 without pacing.
        "stampede of loads": peak(fleet.records.load_times, SETTLED_MS) > 4 * fault_free_peak,
        "stale decisions": fleet.records.stale_decisions > 0,
        "understated age": bool(fleet.understated_ages()),
    }
    return {name for name, is_violated in violations.items() if is_violated}


def check_restart_with_peers(settled: SimulatedFleet, fault_free_peak: int) -> Violations:
    """Check a restart of seven in ten routers without a store."""
    fleet = copy.deepcopy(settled)
    value_before = fleet.records.mean_value(SETTLED_MS - 10_000.0, SETTLED_MS)
    killed_at_ms = fleet.restart_routers(0.7, has_store=False)
    fleet.run(SETTLED_MS + 10_000.0)
    violations = {
        "understated age": bool(fleet.understated_ages()),
        "slow recovery": fleet.records.recovery_ms(killed_at_ms, value_before) > 1500.0,
    }
    return {name for name, is_violated in violations.items() if is_violated}


def check_response_limit(settled: SimulatedFleet, fault_free_peak: int) -> Violations:
    """Check the number of response datagrams that one surviving router sends."""
    max_responses = peer_query.RESPONSES_PER_SECOND + peer_query.RESPONSE_BURST
    return {"surviving router overloaded"} if responses_in_a_query_storm() > max_responses else set()


def is_usable_without(
    *, ready: bool = False, start: bool = False
) -> Callable[[WarmState, float, int, int, Observation], bool]:
    """Return ``WarmState.is_usable`` without its check of the worker's state or of its start tag."""

    def is_usable(
        warm_state: WarmState, now_ms: float, worker_id: int, tag: int, observation: Observation
    ) -> bool:
        listed = warm_state.workers.get(worker_id)
        if listed is None or not (ready or listed.is_ready) or not (start or listed.start_tag == tag):
            return False
        return observation.is_warm and now_ms - observation.observed_at_ms <= warm_state.keep_alive_ms

    return is_usable


ORIGINAL_MERGE_REMOTE = WarmState.merge_remote
ORIGINAL_RESTORE_OBSERVATION = snapshot.restore_observation


def merge_without_age(
    warm_state: WarmState,
    now_ms: float,
    requested_at_ms: float,
    aged: AgedObservation,
    source: ObservationSource,
) -> bool:
    return ORIGINAL_MERGE_REMOTE(warm_state, now_ms, now_ms, dataclasses.replace(aged, age_ms=0.0), source)


def restore_without_growth(
    warm_state: WarmState, now_ms: float, age_growth_ms: float, row: snapshot.ObservationRow
) -> bool:
    return ORIGINAL_RESTORE_OBSERVATION(warm_state, now_ms, 0.0, row)


@dataclass(frozen=True)
class InjectedDefect:
    """A replacement of one function, with the check that must find it and the violation it must report."""

    owner: object
    name: str
    replacement: object
    check: Check
    violation: str


INJECTED_DEFECTS: dict[str, InjectedDefect] = {
    "loads not paced": InjectedDefect(
        Pacer,
        "try_acquire_load",
        lambda pacer, now_ms: 1.0,
        check_restart_with_store,
        "stampede of loads",
    ),
    "observation of an earlier incarnation used": InjectedDefect(
        WarmState,
        "is_usable",
        is_usable_without(start=True),
        check_restart_with_store,
        "stale decisions",
    ),
    "observation of a draining worker used": InjectedDefect(
        WarmState,
        "is_usable",
        is_usable_without(ready=True),
        check_restart_with_store,
        "stale decisions",
    ),
    "age counted from the response": InjectedDefect(
        WarmState,
        "merge_remote",
        merge_without_age,
        check_restart_with_peers,
        "understated age",
    ),
    "responses unbounded": InjectedDefect(
        statistics.TokenBucket,
        "take",
        lambda *_: True,
        check_response_limit,
        "surviving router overloaded",
    ),
    "phases ended by timeouts alone": InjectedDefect(
        RecoveryStateMachine,
        "_is_phase_complete",
        lambda machine, evidence: False,
        check_restart_with_peers,
        "slow recovery",
    ),
    "stored ages not grown": InjectedDefect(
        snapshot,
        "restore_observation",
        restore_without_growth,
        check_restart_with_store,
        "understated age",
    ),
}


@pytest.mark.parametrize("check", [check_restart_with_store, check_restart_with_peers, check_response_limit])
def test_the_checks_find_no_violation_in_the_unmodified_component(
    settled: SimulatedFleet, fault_free_peak: int, check: Check
) -> None:
    assert check(settled, fault_free_peak) == set()


@pytest.mark.parametrize("defect_name", INJECTED_DEFECTS)
def test_a_check_finds_each_injected_defect(
    settled: SimulatedFleet, fault_free_peak: int, defect_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    defect = INJECTED_DEFECTS[defect_name]
    monkeypatch.setattr(defect.owner, defect.name, defect.replacement)
    assert defect.violation in defect.check(settled, fault_free_peak)
