"""A freeze in a simulated fleet: no placement changes beyond the exception budget, despite failures.

Each scenario returns the violations that it finds. Each injected defect must be found by a scenario.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections.abc import Callable

import pytest

from cedarthread.change_freeze import stale_hold, window
from cedarthread.change_freeze.admission_gate import AdmissionGate
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.deferred_changes import ReleaseRateLimiter
from cedarthread.change_freeze.placement_changes import (
    AdmissionAnswer,
    AdmissionDecision,
    PlacementChange,
    PlacementChangeKind,
)
from cedarthread.change_freeze.wall_clock import WallClock
from cedarthread.change_freeze.window_entries import BreakGlass, Revocation
from cedarthread.components.replicated_state import EntryKind
from tests.simulation.change_freeze_fleet import (
    DELIVERY_SPREAD_MS,
    STALENESS_BOUND_MS,
    SimulatedFleet,
)
from tests.simulation.change_freeze_records import Partition
from tests.unit.change_freeze import builders
from tests.unit.change_freeze.builders import EPOCH_UNIX_MS, FakeEscrow

WINDOW_START_MS = 20_000.0
WINDOW_END_MS = 60_000.0
RUN_END_MS = 80_000.0
NEVER_MS = 1e9
window_terms = functools.partial(builders.window_terms, start_ms=WINDOW_START_MS, end_ms=WINDOW_END_MS)
REVOCATION = Revocation("w", "ops", "over")

# The violations that a scenario found, one message each.
Violations = list[str]
Scenario = Callable[[SimulatedFleet], Violations]


def violation(text: str, *, when: bool) -> Violations:
    return [text] if when else []


def changes_over_budget(
    fleet: SimulatedFleet, from_ms: float, until_ms: float, exception_budget: int = 0
) -> Violations:
    count = fleet.count_placements(from_ms, until_ms)
    text = f"{count} changes from {from_ms} to {until_ms} ms, of which {exception_budget} are permitted"
    return violation(text, when=count > exception_budget)


def quiet_window(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(RUN_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *violation(
            "a function was unloaded",
            when=any(WINDOW_START_MS <= at_ms < WINDOW_END_MS for at_ms in fleet.unloads_at_ms),
        ),
        *violation(
            "nothing was requested or released", when=fleet.count_placements(WINDOW_END_MS, RUN_END_MS) == 0
        ),
        *violation("calls were rejected", when=bool(fleet.rejections_at_ms)),
    ]


def declared_late(fleet: SimulatedFleet) -> Violations:
    fleet.run(15_000.0).declare(EntryKind.FREEZE, window_terms(start_ms=15_100.0))
    fleet.run(WINDOW_END_MS)
    is_logged = all("late_in_force_from=" in "".join(router.log_lines) for router in fleet.routers)
    return [
        *changes_over_budget(fleet, 15_000.0 + STALENESS_BOUND_MS, WINDOW_END_MS),
        *violation("the late declaration was not logged", when=not is_logged),
    ]


def workers_stop(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms(exception_budget=7))
    fleet.run(25_000.0)
    for worker_id in range(6):
        fleet.stop_worker(worker_id, restarts=worker_id % 2 == 0, drains=worker_id == 5)
        fleet.run(fleet.now_ms + 4_000.0)
    fleet.run(WINDOW_END_MS)
    is_unused = fleet.count_placements(WINDOW_START_MS, WINDOW_END_MS) == 0
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS, 7),
        *violation("the exception budget was not used", when=is_unused),
        *violation(
            "a call was rejected although a placed worker had capacity",
            when=bool(fleet.needless_rejections_at_ms),
        ),
    ]


def window_revoked(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(30_000.0).declare(EntryKind.REVOKE, REVOCATION)
    fleet.run(WINDOW_END_MS - 5_000.0)
    effective_from = 30_000.0 + STALENESS_BOUND_MS
    released = fleet.count_placements(effective_from + DELIVERY_SPREAD_MS, WINDOW_END_MS - 5_000.0)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, effective_from),
        *violation("the window was not revoked", when=released == 0),
    ]


def break_glass(fleet: SimulatedFleet) -> Violations:
    lifted = BreakGlass("w", int(EPOCH_UNIX_MS + 45_000.0), "ops", "fire")
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(25_000.0).declare(EntryKind.BREAK_GLASS, lifted)
    fleet.run(WINDOW_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, 25_000.0 + STALENESS_BOUND_MS),
        *changes_over_budget(fleet, 45_000.0, WINDOW_END_MS),
        *violation("the window was not lifted", when=fleet.count_placements(31_000.0, 44_000.0) == 0),
    ]


def window_edited(fleet: SimulatedFleet) -> Violations:
    """Overlap, extend and later shorten a window; only the shortening waits for the staleness bound."""
    fleet.declare(EntryKind.FREEZE, window_terms(end_ms=40_000.0))
    fleet.declare(
        EntryKind.FREEZE, window_terms(start_ms=35_000.0, end_ms=50_000.0, window_id="x", function_ids=(1, 2))
    )
    fleet.run(39_900.0 - STALENESS_BOUND_MS).declare(EntryKind.FREEZE, window_terms(), replaces_digest=1)
    fleet.run(45_000.0).declare(EntryKind.FREEZE, window_terms(end_ms=46_000.0), replaces_digest=2)
    fleet.run(RUN_END_MS)
    effective_from = 45_000.0 + STALENESS_BOUND_MS
    released = fleet.count_placements(effective_from + DELIVERY_SPREAD_MS + 3000.0, WINDOW_END_MS)
    in_overlap = any(
        WINDOW_START_MS <= placement.at_ms < 50_000.0 and placement.function_id in (1, 2)
        for placement in fleet.placements
    )
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, effective_from),
        *violation("the overlapping window was not enforced", when=in_overlap),
        *violation("the window was not shortened", when=released == 0),
    ]


def clocks_step(fleet: SimulatedFleet) -> Violations:
    """Step three clocks by hours or by 80 s, then all clocks at once, as a wrong time source would."""
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(25_000.0)
    for router_index, step_ms in ((1, 7_200_000.0), (2, -7_200_000.0), (3, 80_000.0)):
        fleet.routers[router_index].wall_clock_step_ms = step_ms
    fleet.run(40_000.0)
    for router in fleet.routers:
        router.wall_clock_step_ms = 36_000_000.0
    fleet.run(RUN_END_MS)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *violation("the window did not end", when=fleet.count_placements(WINDOW_END_MS, RUN_END_MS) == 0),
    ]


def clock_behind_from_start(fleet: SimulatedFleet) -> Violations:
    """Set a router's clock back by hours from its start; the window starts by the other routers' clocks."""
    fleet.routers[3].wall_clock_step_ms = -7_200_000.0
    fleet.restart_router(3, has_disk=False)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, window_terms(start_ms=21_000.0))
    fleet.run(WINDOW_END_MS)
    is_logged = "wall_clock_deviating offset_s=-" in "".join(fleet.routers[3].log_lines)
    return [
        *changes_over_budget(fleet, 21_000.0, WINDOW_END_MS),
        *violation("the deviation of the clock was not logged", when=not is_logged),
    ]


def routers_restart(fleet: SimulatedFleet) -> Violations:
    """Restart routers in the window, two without their entries, of which one is partitioned as well."""
    fleet.declare(EntryKind.FREEZE, window_terms(exception_budget=3))
    fleet.run(28_000.0)
    fleet.routers[4].partition = Partition(28_000.0, 45_000.0)
    for router_index in (1, 2, 4):
        fleet.restart_router(router_index, has_disk=router_index == 2)
    return changes_over_budget(fleet.run(WINDOW_END_MS), WINDOW_START_MS, WINDOW_END_MS, 3)


def all_routers_partitioned(fleet: SimulatedFleet) -> Violations:
    """Partition all routers long before the end; the window still ends on time."""
    fleet.declare(EntryKind.FREEZE, window_terms(end_ms=100_000.0))
    fleet.run(25_000.0)
    for router in fleet.routers:
        router.partition = Partition(25_000.0, NEVER_MS)
    fleet.run(110_000.0)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, 100_000.0),
        *violation("the window did not end", when=fleet.count_placements(100_000.0, 110_000.0) == 0),
    ]


def partitioned_router(fleet: SimulatedFleet) -> Violations:
    """Declare a window while a router is partitioned; the router freezes without the entry."""
    fleet.routers[2].partition = Partition(12_000.0, 50_000.0)
    fleet.run(16_000.0).declare(EntryKind.FREEZE, window_terms(start_ms=21_000.0))
    return changes_over_budget(fleet.run(WINDOW_END_MS), 21_000.0, WINDOW_END_MS)


def settings_reloaded(fleet: SimulatedFleet) -> Violations:
    fleet.declare(EntryKind.FREEZE, window_terms())
    fleet.run(30_000.0)
    for router in fleet.routers:
        prices = dataclasses.replace(router.settings.prices, idle_memory=0.5)
        router.reload_settings(dataclasses.replace(router.settings, prices=prices))
    fleet.run(RUN_END_MS)
    are_applied = all(router.settings.prices.idle_memory == 0.5 for router in fleet.routers)
    return [
        *changes_over_budget(fleet, WINDOW_START_MS, WINDOW_END_MS),
        *violation("the new settings were never applied", when=not are_applied),
    ]


def released_slowly(fleet: SimulatedFleet) -> Violations:
    """Check that deferred changes are released slowly: the peak is near that of a fleet without a window."""
    fleet.declare(EntryKind.FREEZE, window_terms())
    peak = fleet.run(RUN_END_MS).peak_placements(WINDOW_END_MS, RUN_END_MS)
    max_peak = 1.5 * SimulatedFleet().start().run(WINDOW_END_MS).peak_placements(10_000.0, WINDOW_END_MS)
    return violation(f"{peak} changes in 250 ms, {max_peak} at most", when=peak > max_peak)


SCENARIOS = (
    quiet_window,
    declared_late,
    workers_stop,
    window_revoked,
    break_glass,
    window_edited,
    clocks_step,
    clock_behind_from_start,
    routers_restart,
    all_routers_partitioned,
    partitioned_router,
    settings_reloaded,
    released_slowly,
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_no_placement_changes_beyond_the_exception_budget(
    scenario: Scenario,
) -> None:
    assert scenario(SimulatedFleet().start().run(10_000.0)) == []


class EscrowWithTotalPerRouter(FakeEscrow):
    has_total_per_router = True


def admit_all_preloads(gate: AdmissionGate, now_ms: float, change: PlacementChange) -> AdmissionDecision:
    return (
        AdmissionDecision(AdmissionAnswer.PERMITTED)
        if change.kind is PlacementChangeKind.PRELOAD
        else ORIGINAL_ADMIT(gate, now_ms, change)
    )


ORIGINAL_ADMIT = AdmissionGate.admit
ORIGINAL_ON_HOST_READING = WallClock.on_host_reading
# Name, owner and attribute of the replaced function, the defect, and the scenario that must find the defect.
INJECTED_DEFECTS: tuple[tuple[str, object, str, object, Scenario], ...] = (
    (
        "settings bypass the gate",
        AdmissionGate,
        "admitted_settings",
        lambda gate, now_ms, old, new: new,
        settings_reloaded,
    ),
    ("preloads bypass the gate", AdmissionGate, "admit", admit_all_preloads, quiet_window),
    (
        "complete exception budget per router",
        SimulatedFleet,
        "escrow_type",
        EscrowWithTotalPerRouter,
        workers_stop,
    ),
    (
        "revocation relaxes at once",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        window_revoked,
    ),
    (
        "break-glass relaxes at once",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        break_glass,
    ),
    (
        "shortening relaxes at once",
        window._StoredVersion,
        "is_effective",
        lambda version, reading: True,
        window_edited,
    ),
    (
        "clock steps are followed",
        WallClock,
        "on_host_reading",
        lambda clock, now_ms, unix_ms, requires_confirmation: ORIGINAL_ON_HOST_READING(
            clock, now_ms, unix_ms, requires_confirmation=False
        ),
        clocks_step,
    ),
    (
        "a deviating clock is trusted",
        WallClock,
        "deviation_ms",
        lambda clock, now_ms: 0.0,
        clock_behind_from_start,
    ),
    (
        "a restarted router does not freeze",
        ChangeFreezeComponent,
        "_update_uncertainty",
        lambda freeze, now_ms: None,
        routers_restart,
    ),
    ("a partitioned router does not freeze", stale_hold, "STALE_HOLD_MS", 0.0, partitioned_router),
    (
        "all deferred changes are released at once",
        ReleaseRateLimiter,
        "__call__",
        lambda limiter, now_ms: True,
        released_slowly,
    ),
    ("a window ends only for a fresh router", stale_hold, "STALE_HOLD_MS", math.inf, all_routers_partitioned),
)


@pytest.mark.parametrize(
    "name,owner,attribute,defect,scenario", INJECTED_DEFECTS, ids=[name for name, *_ in INJECTED_DEFECTS]
)
def test_injected_defects_are_found(
    name: str,
    owner: object,
    attribute: str,
    defect: object,
    scenario: Scenario,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(owner, attribute, defect)
    assert scenario(SimulatedFleet().start().run(10_000.0)) != []
