"""Propagation and effect of operators' declarations in a fleet of routers, on a virtual clock."""

from __future__ import annotations

import dataclasses
import importlib.util
import subprocess
import sys

import pytest

from cedarthread.components.replicated_state import EntryKind
from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.node.routing_node import RoutingNode
from tests.simulation.component_fleet import EMPTY_FLEET_FILE, ENDPOINT_LIST, Fleet, freeze_window


@pytest.mark.parametrize("seed", [1, 2])
def test_a_window_declared_at_one_router_freezes_placement_at_all(seed: int) -> None:
    fleet = Fleet(7, seed)
    fleet.run(30_000.0)  # until restart recovery ends, which limits the loading of instances
    for function_id in range(3):
        fleet.call(function_id, function_id)
    fleet.run(3_000.0)
    assert all(components.store.is_fresh(fleet.now_ms) for components in fleet.all_components())
    assert len(fleet.cold_starts) == 3
    fleet.apply_fleet_file(4, freeze_window(50.0, 90.0))
    fleet.call_all(8, 3)  # the instances stay in use
    cold_starts = len(fleet.cold_starts)
    request_ids = fleet.call_all(1, 5)
    fleet.run(3_000.0)
    assert len(fleet.cold_starts) == cold_starts
    for request_id in request_ids:  # a request without an instance is rejected once, before its deadline
        assert fleet.results[request_id] == (["ok"] if request_id % 1000 < 3 else ["RejectRequest"])
    assert all(node.status(fleet.now_ms)["freeze_window_cycle"] == "in force" for node in fleet.routers)
    fleet.run(40_000.0)
    after_the_window = [fleet.call(index, 4) for index in range(7)]
    fleet.run(4_000.0)
    assert all(fleet.results[request_id] == ["ok"] for request_id in after_the_window)
    assert fleet.cold_starts[-1].function_id == 4


def test_the_exception_budget_belongs_to_the_fleet_not_to_a_router() -> None:
    fleet = Fleet(7, 3)
    fleet.run(30_000.0)
    fleet.apply_fleet_file(0, freeze_window(60.0, 120.0, allowance=2))
    fleet.run(35_000.0)
    for round_number in range(8):
        for index in range(7):
            fleet.call(index, 10 * round_number + index)
        fleet.run(3_000.0)
    assert len(fleet.cold_starts) == 2


def test_settings_that_move_instances_are_deferred_until_the_window_ends() -> None:
    fleet = Fleet(3, 4)
    fleet.apply_fleet_file(0, freeze_window(30.0, 60.0))
    fleet.run(35_000.0)
    node = fleet.routers[1]
    old_settings = fleet.router_settings[1]
    node.update_settings(dataclasses.replace(old_settings, instance_keep_alive_ms=99_000.0), fleet.now_ms)
    assert node.router.state.settings.instance_keep_alive_ms == old_settings.instance_keep_alive_ms
    fleet.run(40_000.0)
    assert node.router.state.settings.instance_keep_alive_ms == 99_000.0


def test_without_gossip_each_router_applies_only_its_own_fleet_file() -> None:
    fleet = Fleet(2, 5, allows_gossip=False)
    fleet.apply_fleet_file(0, freeze_window(10.0, 60.0))
    fleet.run(15_000.0)
    request_ids = [fleet.call(index, 3) for index in range(2)]
    fleet.run(4_000.0)
    assert [fleet.results[request_id] for request_id in request_ids] == [["RejectRequest"], ["ok"]]
    assert not fleet.components(1).store.entries(EntryKind.FREEZE)


# Modules that a router without a fleet file must not import, because each costs time and memory at startup.
FLEET_MODULES = (
    "cedarthread.change_freeze",
    "cedarthread.node.constraints",
    "cedarthread.node.escrow_pools",
    "cedarthread.node.fleet_components",
    "cedarthread.node.preemption_view",
    "cedarthread.escrow",
    "cedarthread.fleet_config",
    "cedarthread.persistence",
    "cedarthread.priority",
    "cedarthread.recovery",
    "cedarthread.replication",
)
FLEET_LIBRARIES = ("apsw", "msgspec", "structlog")


def test_no_fleet_module_is_imported_without_a_fleet_file() -> None:
    for module in FLEET_MODULES:
        assert importlib.util.find_spec(module) is not None, f"module {module} not found; was it renamed?"
    script = (
        "import sys, cedarthread.service, cedarthread.cli, cedarthread.simulator.host\n"
        f"unwanted = {FLEET_MODULES + FLEET_LIBRARIES!r}\n"
        "print([m for m in sys.modules if any(m == name or m.startswith(name + '.') for name in unwanted)])"
    )
    assert (
        subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=False).stdout
        == "[]\n"
    )


def test_a_window_that_started_during_a_stall_applies_before_pending_events() -> None:
    """A router that stalls past the start of a window must not place requests buffered during the stall."""
    fleet = Fleet(3, 6)
    fleet.run(30_000.0)
    fleet.apply_fleet_file(0, freeze_window(60.0, 120.0))
    fleet.run(20_000.0)
    # All routers stall, because their pending timers are removed.
    fleet.timers = [timer for timer in fleet.timers if timer[0] < fleet.now_ms]
    fleet.run(20_000.0)
    request_id = fleet.call(2, 77)
    assert not fleet.cold_starts
    assert fleet.results[request_id] == []


def test_an_unreachable_worker_loses_its_placements() -> None:
    fleet = Fleet(1, 7, allows_gossip=False)
    fleet.run(30_000.0)
    fleet.call(0, 5)
    fleet.run(1_000.0)
    fleet.apply_fleet_file(0, freeze_window(50.0, 90.0))
    fleet.run(5_000.0)
    request_id = fleet.call(0, 5)
    worker_id = fleet.cold_starts[0].worker_id
    placements = fleet.components(0).change_freeze.gate.placements
    assert placements.has_placement(5, worker_id)
    unreachable = AttemptEnded(
        request_id, 0, worker_id, Outcome.CONNECT_FAILED, 5.0, False, is_unreachable=True
    )
    fleet.handle(0, unreachable)
    assert not placements.has_placement(5, worker_id)


def test_a_contract_declared_elsewhere_sets_priorities_once_all_routers_know_it() -> None:
    tenant = "spiffe://gaz.example/north"
    other_caller = "spiffe://gaz.example/else"
    contract = '[[tier]]\nname = "firm"\n[[tier]]\nname = "standard"\n'
    contract += f'[[contract]]\ntenant = "{tenant}"\ntier = "firm"\nrate = 70\n'
    fleet = Fleet(7, 8)
    fleet.run(30_000.0)
    fleet.apply_fleet_file(4, EMPTY_FLEET_FILE + contract.encode())
    priorities = []
    for wait_ms in (3_000.0, 12_000.0):
        fleet.run(wait_ms)
        for caller in (tenant, other_caller):
            request_id = fleet.call(1, 0, caller)
            priority = fleet.routers[1].router.pending_requests[request_id].call_priority
            assert priority is not None
            priorities.append((priority.is_highest(), priority.is_within_quota))
    assert priorities[0][0] is False
    assert priorities[2] == (True, True)
    assert priorities[3] == (False, False)


def test_after_a_start_of_all_routers_the_store_is_stale_and_one_router_restores_a_window_to_all() -> None:
    fleet = Fleet(9, 9)
    fleet.run(1_600.0)
    assert not any(
        components.store.is_fresh(fleet.now_ms) or components.change_freeze.gate.is_uncertain
        for components in fleet.all_components()
    )
    fleet.run(27_000.0)
    fleet.apply_fleet_file(0, freeze_window(50.0, 600.0))
    fleet.run(40_000.0)
    for index in range(1, 9):  # all routers but one restart with no stored state
        fleet.routers[index] = RoutingNode(fleet.router_settings[index], index, 1000 + index)
        fleet.handle(index, ENDPOINT_LIST)
        fleet.apply_fleet_file(index, EMPTY_FLEET_FILE)
    for round_number in range(10):
        for index in range(9):
            fleet.call(index, 10 * round_number + index)
        fleet.run(400.0)
    assert not fleet.cold_starts
    assert all(fleet.components(index).store.entries(EntryKind.FREEZE) for index in range(1, 9))
