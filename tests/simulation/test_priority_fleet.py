"""Priority tiers in a simulated fleet: value served, preemptions, floors and the overload level.

The checks read the records of clients and workers, and no metric of the components. Each injected defect must
be found by a check.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections import Counter
from typing import TYPE_CHECKING

import pytest

from cedarthread.model.settings import Idempotency
from cedarthread.priority import preemption, preemption_budget, preemptor, pressure_gossip, usage
from cedarthread.priority.body_history import BodyHistory
from cedarthread.priority.contracts import OverloadParameters
from cedarthread.priority.overload_level import OverloadStateMachine
from tests.simulation.contract_edits import contradiction_of_edited_contracts
from tests.simulation.priority_fleet import MEASURED_UNTIL_MS, SimulatedFleet
from tests.simulation.priority_records import (
    CLASSES,
    FLEET_FILE,
    PREEMPTIONS_PER_SECOND,
    ROUTER_COUNT,
    FakeEscrow,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.priority import contract_entries
    from cedarthread.priority.preemption import PreemptionCandidate, PreemptionClaim


def double_capacity(now_ms: float) -> tuple[float, float, float]:
    """Return rates below the capacity until 8 s, then twice the capacity; the first tenant's is constant."""
    return (45.0, 120.0, 155.0) if now_ms > 8000.0 else (45.0, 15.0, 20.0)


def burst(now_ms: float) -> tuple[float, float, float]:
    """Return rates that rise to 2.4 times the usual for 7 s; the fleet has capacity for the burst."""
    factor = 2.4 if 10_000.0 < now_ms < 17_000.0 else 1.0
    return (18.0 * factor, 18.0 * factor, 18.0 * factor)


def test_at_twice_the_capacity_the_first_tier_is_served_and_little_value_is_lost() -> None:
    seed = 1
    until_ms = MEASURED_UNTIL_MS + 1000.0
    with_priorities = SimulatedFleet(seed, double_capacity).run(until_ms)
    without_priorities = SimulatedFleet(seed, double_capacity, uses_priorities=False).run(until_ms)
    alone = SimulatedFleet(seed, lambda now_ms: (45.0, 15.0, 20.0)).run(until_ms)
    assert with_priorities.value_served(0) >= 0.98 * alone.value_served(0)
    assert with_priorities.value_served(None) >= 0.97 * without_priorities.value_served(None)
    assert without_priorities.value_served(0) < 0.7 * alone.value_served(0), (
        "otherwise the test shows nothing"
    )
    assert with_priorities.wasted_work_ms <= 0.03 * with_priorities.completed_work_ms


# Checks: each runs a fleet, and returns the violation that it finds, or None.


def _local_overload(seed: int) -> str | None:
    """Overload one router and partition another; neither is an overload of the cluster."""
    fleet = SimulatedFleet(seed, lambda now_ms: (20.0, 20.0, 20.0))
    fleet.forced_shed_probability[2] = 0.8
    fleet.routers[2].component.pressure_estimator.pressure = lambda now_ms: 3.0  # type: ignore[method-assign]
    fleet.partitioned.add(4)
    fleet.routers[4].component.pressure_estimator.pressure = lambda now_ms: 3.0  # type: ignore[method-assign]
    return (
        "a router detected cluster overload where there is none"
        if fleet.run(30_000.0).highest_level()
        else None
    )


def _short_burst(seed: int) -> str | None:
    fleet = SimulatedFleet(seed, burst).run(25_000.0)
    lost = sum(call.answered_at_ms is None for call in fleet.calls.values() if call.arrived_at_ms < 24_000.0)
    assert lost < 0.04 * len(fleet.calls), "the fleet must be able to serve the burst"
    return "a router detected cluster overload where there is none" if fleet.highest_level() else None


def _queued_preempted(seed: int) -> str | None:
    """Queue all calls and reject none, so that only the preemption of queued calls frees capacity."""
    return _check_preemptions(SimulatedFleet(seed, double_capacity, never_sheds=True), were_running=False)


def _running_preempted(seed: int) -> str | None:
    """Preempt running instead of queued calls, because the next worker of a queued call is unknown."""
    fleet = SimulatedFleet(seed, double_capacity, never_sheds=True, hides_queued_workers=True)
    return _check_preemptions(fleet, were_running=True)


def _check_preemptions(fleet: SimulatedFleet, *, were_running: bool) -> str | None:
    until_ms = 40_000.0
    preemptions = fleet.run(until_ms).preemptions
    if len(preemptions) < 60 or sum(each.was_running == were_running for each in preemptions) < 30:
        return f"too few calls are preempted to show anything: {len(preemptions)}"
    if any(
        each.was_running and CLASSES[each.call.class_index].idempotency is Idempotency.NOT_IDEMPOTENT
        for each in preemptions
    ):
        return "a written call that must not run twice was preempted"
    if max(Counter(each.call.retry_identity for each in preemptions).values()) > 1:
        return "a call was preempted twice"
    if fleet.wasted_work_ms > 0.03 * fleet.completed_work_ms:
        return f"{fleet.wasted_work_ms / fleet.completed_work_ms:.3f} of the work is wasted"
    spans = [(preemptions[0].at_ms, until_ms), *((from_ms, 2000.0) for from_ms in range(9000, 38_000, 500))]
    for from_ms, span_ms in spans:
        count = sum(from_ms <= each.at_ms < from_ms + span_ms for each in preemptions)
        budget = PREEMPTIONS_PER_SECOND * (min(span_ms, until_ms - from_ms) / 1000.0 + 1.0) + ROUTER_COUNT
        if count > budget:
            return f"{count} calls were preempted within {span_ms:.0f} ms"
    return None


def _floor_held(seed: int) -> str | None:
    """Let only the calls of one small tenant be preempted, while all other calls claim their capacity."""
    fleet_file = FLEET_FILE.replace(b"rate = 60", b"rate = 900").replace(b"preempts = 6", b"preempts = 60")
    fleet = SimulatedFleet(
        seed,
        lambda now_ms: (290.0, 0.0, 8.0) if now_ms > 5000.0 else (30.0, 0.0, 8.0),
        never_sheds=True,
        fleet_file=fleet_file,
    )
    fleet.run(22_000.0)
    calls = sum(
        call.tenant_index == 2 and call.arrived_at_ms > 12_000.0
        for call in fleet.calls.values()
        if not call.is_client_retry
    )
    preempted = sum(each.call.arrived_at_ms > 12_000.0 for each in fleet.preemptions)
    assert preempted > 0.1 * calls, "otherwise the check shows nothing"
    return (
        f"{preempted} of {calls} calls were preempted with a floor of a half"
        if preempted > 0.5 * calls
        else None
    )


def _tenant_exceeds_quota(seed: int) -> str | None:
    """Send far more than the first tenant's quota; another tenant's calls within quota are served."""
    until_ms = MEASURED_UNTIL_MS - 1000.0  # later calls may still be in progress
    over_quota = SimulatedFleet(
        seed, lambda now_ms: (250.0, 45.0, 5.0) if now_ms > 8000.0 else (45.0, 45.0, 5.0)
    )
    alone = SimulatedFleet(seed, lambda now_ms: (0.0, 45.0, 0.0))
    value = over_quota.run(MEASURED_UNTIL_MS).value_served(1, until_ms=until_ms)
    served_share = value / alone.run(MEASURED_UNTIL_MS).value_served(1, until_ms=until_ms)
    return f"{served_share:.2f} of a tenant's value within quota was served" if served_share < 0.6 else None


def _level_flaps(seed: int) -> str | None:
    """Vary the pressure slowly around the onset, then fast and widely; the level must not follow."""
    machine = OverloadStateMachine()
    rng = random.Random(seed)
    changes = 0
    parameters = OverloadParameters(1.1, 0.9, 2000.0, 6000)
    for step in range(2000):
        now_ms = step * 250.0
        previous_level = machine.level
        slow_wave = 1.1 + 0.15 * math.sin(now_ms / 3000.0)
        machine.update(now_ms, slow_wave if step < 1000 else rng.uniform(0.7, 1.5), parameters)
        changes += machine.level != previous_level
    return f"{changes} changes of the overload level" if changes != 1 else None


CHECKS = {
    check.__name__: check
    for check in (
        _local_overload,
        _short_burst,
        _queued_preempted,
        _running_preempted,
        _floor_held,
        _tenant_exceeds_quota,
        _level_flaps,
        contradiction_of_edited_contracts,
    )
}


@pytest.mark.parametrize("check", CHECKS.values(), ids=CHECKS)
def test_checks_find_no_violation(check: Callable[[int], str | None]) -> None:
    assert check(3) is None


def _can_preempt_twice(self: preemptor.Preemptor, now_ms: float, candidate: PreemptionCandidate) -> bool:
    return self.usage.can_reject(
        now_ms,
        candidate.priority.tenant_name,
        self.contracts.for_tenant(candidate.priority.tenant_name).floor_permille,
    )


def _ignores_retry_mark(
    claim: PreemptionClaim, candidates: list[PreemptionCandidate], limits: preemption.PreemptionLimits
) -> PreemptionCandidate | None:
    return preemption.choose_victim(
        claim, [dataclasses.replace(candidate, is_client_retry=False) for candidate in candidates], limits
    )


def _own_pressure_only(self: pressure_gossip.PressureGossip, now_ms: float) -> float | None:
    return self.reports[self.router_index].pressure if self.router_index in self.reports else None


def _greatest_value(weighted_values: list[tuple[float, float]]) -> float:
    return max(value for value, _ in weighted_values)


def _no_hysteresis(self: OverloadStateMachine, pressure: float, parameters: OverloadParameters) -> int:
    if pressure >= parameters.onset and not self.level:
        return 1
    return -1 if pressure < parameters.onset and self.level else 0


def _no_dwell(
    self: OverloadStateMachine, now_ms: float, pressure: float, parameters: OverloadParameters
) -> int:
    self.level += self._requested_step(pressure, parameters)
    return self.level


def _newest_body_only(
    self: BodyHistory[contract_entries.ContractTerms], now_ms: float, staleness_bound_ms: float
) -> tuple[contract_entries.ContractTerms, ...]:
    if self.pending:
        return (self.pending[-1].value,)
    return (self.stable_body,) if self.stable_body else ()


def _unlimited_budget(self: preemption_budget.PreemptionBudget, now_ms: float, *, may_preempt: bool) -> None:
    self.bucket.tokens = 9.0


DEFECTS: dict[str, tuple[str, list[tuple[object, str, object]]]] = {
    "floor ignored": ("_floor_held", [(usage.TenantUsage, "can_reject", lambda *_: True)]),
    "written call that is not idempotent preempted": (
        "_running_preempted",
        [(preemption, "is_safe_to_reject", lambda *_: True)],
    ),
    "complete rate per router": (
        "_tenant_exceeds_quota",
        [(FakeEscrow, "available", lambda self, now_ms, name: self.totals.get(name, 0))],
    ),
    "calls over quota count as within": (
        "_tenant_exceeds_quota",
        [(usage.QuotaBucket, "try_take", lambda self: True)],
    ),
    "edits act at once": (
        "contradiction_of_edited_contracts",
        [
            (BodyHistory, "effective_bodies", _newest_body_only),
            (BodyHistory, "is_converged", lambda self: True),
        ],
    ),
    "only the own pressure counts": (
        "_local_overload",
        [(pressure_gossip.PressureGossip, "fleet_pressure", _own_pressure_only)],
    ),
    "the greatest pressure counts": (
        "_local_overload",
        [(pressure_gossip, "_lower_weighted_median", _greatest_value)],
    ),
    "a call preempted twice": (
        "_queued_preempted",
        [
            (preemptor.Preemptor, "_can_preempt", _can_preempt_twice),
            (preemptor, "choose_victim", _ignores_retry_mark),
        ],
    ),
    "no hysteresis": ("_level_flaps", [(OverloadStateMachine, "_requested_step", _no_hysteresis)]),
    "no dwell": ("_level_flaps", [(OverloadStateMachine, "update", _no_dwell)]),
    "no budget": ("_running_preempted", [(preemption_budget.PreemptionBudget, "_refill", _unlimited_budget)]),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_injected_defects_are_found(defect: str, monkeypatch: pytest.MonkeyPatch) -> None:
    check, changes = DEFECTS[defect]
    for owner, name, value in changes:
        monkeypatch.setattr(owner, name, value)
    assert CHECKS[check](3) is not None
