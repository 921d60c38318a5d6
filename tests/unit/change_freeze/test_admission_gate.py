"""The admission gate: retained homes, exceptions of overlapping windows, and deferred changes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.placement_changes import (
    AdmissionAnswer,
    FreezeRule,
    PlacementChange,
    PlacementChangeKind,
)
from cedarthread.change_freeze.window_entries import ALL_CHANGE_KINDS
from tests.unit.change_freeze.builders import FakeEscrow

FUNCTION_ID = 7
RULE_OF_ZONE_0 = FreezeRule("a", frozenset(ALL_CHANGE_KINDS), frozenset({0}), None, None, 9)
RULE_OF_ALL_ZONES = replace(RULE_OF_ZONE_0, window_id="b", zone_indexes=None)


@dataclass
class FakeReleaseLimiter:
    """A limiter that permits all releases or none."""

    permits_release: bool = True

    def __call__(self, now_ms: float) -> bool:
        return self.permits_release


def _emergency_load(worker_id: int) -> PlacementChange:
    return PlacementChange(
        PlacementChangeKind.FIRST_INSTANCE, worker_id, FUNCTION_ID, 0, None, is_emergency=True
    )


def test_homes_are_retained_and_the_strictest_of_two_windows_decides() -> None:
    escrow = FakeEscrow(0, is_empty=False)
    limiter = FakeReleaseLimiter()
    gate = AdmissionGate(escrow, limiter)
    gate.is_active = True
    assert gate.home_workers(0.0, FUNCTION_ID, (1, 2, 3), 2) == ((1, 2, 3), 2)

    gate.rules = (RULE_OF_ZONE_0, RULE_OF_ALL_ZONES)
    assert gate.home_workers(1.0, FUNCTION_ID, (3, 2, 1), 3) == ([1, 2, 3], 2), "homes neither move nor grow"
    assert gate.home_workers(1.0, FUNCTION_ID, (3, 2), 2) == ([2, 3], 1), "lost homes are not replaced"

    escrow.open_pool("freeze/a", 60, is_consumable=True, ends_at_ms=None)
    escrow.open_pool("freeze/b", 6, is_consumable=True, ends_at_ms=None)
    changes = (_emergency_load(4), _emergency_load(4), _emergency_load(5))
    answers = [gate.admit(2.0, change).answer for change in changes]
    assert answers == [
        AdmissionAnswer.PERMITTED_BY_EXCEPTION,
        AdmissionAnswer.PERMITTED,  # the same placement has already consumed its exception
        AdmissionAnswer.DENIED,
    ]

    gate.rules = ()
    limiter.permits_release = False
    call: Any = {
        "function_id": FUNCTION_ID,
        "worker_id": 5,
        "zone_index": 0,
        "tenant_index": None,
        "is_placed": False,
    }
    assert not gate.can_send(3.0, **call, has_alternatives=True), "the change is still deferred"
    assert gate.can_send(3.0, **call, has_alternatives=False), "an emergency has precedence"

    limiter.permits_release = True
    assert {deferred.kind for deferred in gate.release(4.0)} == {
        PlacementChangeKind.HOME_WORKERS,
        PlacementChangeKind.FIRST_INSTANCE,
    }
    assert not gate.deferred_changes
    assert gate.home_workers(5.0, FUNCTION_ID, (3, 2, 1), 3) == ((3, 2, 1), 3)
