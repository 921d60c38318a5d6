"""Scenario sets: their registration, random faults, and the checks of results."""

from __future__ import annotations

import dataclasses
from importlib import import_module
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.facts import (
    AttemptSent,
    CallAnswered,
    CallSubmitted,
    Fact,
    NoRouterAvailable,
)
from cedarthread.testing.cluster.injected_defects import DEFECTS
from cedarthread.testing.cluster.result import DatagramCounts, FaultSpan, Result
from cedarthread.testing.cluster.scenario import FaultKind
from cedarthread.testing.cluster.scenario_file import load_scenario, parse_scenario
from cedarthread.testing.cluster.scenarios import (
    SCENARIO_MODULES,
    faults,
    load_scenario_set,
    load_spread,
    mass_restart,
    restart_measurements,
)
from cedarthread.testing.load_balance import Hotspot, LoadBalanceMetrics

if TYPE_CHECKING:
    from pathlib import Path


def make_result(**changes: Any) -> Result:
    """Return a result that passes every check, with some fields changed."""
    load_balance = LoadBalanceMetrics(1.2, 0.2, 100.0, (), 5.0, 0, 1000)
    good = Result(
        scenario_name="x",
        seed=1,
        load_balance=load_balance,
        replayed={"all": load_balance},
        answers={"served": 1000},
        violations=[],
        lag_ms=2.0,
        cpu_ms_per_call=1.0,
        peer_bytes_per_second=0.0,
        datagrams=DatagramCounts(0, 0),
    )
    return dataclasses.replace(good, **changes)


def test_every_registered_scenario_set_and_defect_can_be_loaded() -> None:
    for name in SCENARIO_MODULES:
        scenario_set = load_scenario_set(name)
        assert all(list(make(1, 24)) for make in (scenario_set.quick, scenario_set.full))
        assert scenario_set.TABLE_HEADER
    for path in DEFECTS.values():
        module, _, function = path.partition(":")
        assert callable(getattr(import_module(module), function))


def test_a_generated_scenario_is_a_valid_file_and_the_same_for_a_seed(tmp_path: Path) -> None:
    for seed in range(30):
        document = faults.generate_scenario(seed, 8)
        assert document == faults.generate_scenario(seed, 8)
        (tmp_path / "draw.toml").write_text(faults.as_toml(document))
        assert load_scenario(tmp_path / "draw.toml") == parse_scenario(document)
    assert faults.generate_scenario(1, 8) != faults.generate_scenario(2, 8)


def test_load_spread_reports_each_failed_check() -> None:
    assert load_spread.failed_checks(make_result()) == []
    load_balance = make_result().load_balance
    result_by_failed_check = {
        "void": make_result(lag_ms=100.0),
        "hotspot": make_result(
            load_balance=dataclasses.replace(load_balance, hotspots=(Hotspot(1000.0, 3, 50, 9.0),))
        ),
        "idle for 2500": make_result(load_balance=dataclasses.replace(load_balance, longest_idle_ms=2500.0)),
        "peak-to-mean 1.70": make_result(load_balance=dataclasses.replace(load_balance, peak_to_mean=1.7)),
        "0.50 of the calls": make_result(answers={"served": 500, "refused": 500}),
        "two attempts": make_result(violations=["attempts: two attempts in flight"]),
    }
    for text, result in result_by_failed_check.items():
        assert [text in failed_check for failed_check in load_spread.failed_checks(result)] == [True]


def restart_result() -> Result:
    """Return the result of a call every 20 ms, of which those from 5 to 7 s find no router.

    The router is killed at 5 s. Worker 1 is hidden from then on, and no call is sent to it.
    """
    fault_tables = [
        {"kind": "kill", "at": 5.0, "until": 6.0, "who": "router"},
        {"kind": "hide", "at": 5.0, "who": "runner:1", "to": "router"},
    ]
    facts: list[Fact] = []
    for number in range(800):
        at_ms = 20.0 * number
        call_id = f"0000{number:x}"
        if 250 <= number < 350:
            facts.append(NoRouterAvailable(at_ms, call_id))
            continue
        facts.append(CallSubmitted(at_ms, call_id, "check", 3000.0, ""))
        facts.append(AttemptSent(at_ms + 1, call_id, 0, at_ms))
        facts.append(CallAnswered(at_ms + 9, call_id, "served", b""))
    return make_result(
        scenario_name="quick",
        facts=facts,
        scenario=parse_scenario({"name": "quick", "routers": 1, "runners": 2, "fault": fault_tables}),
        faults=[FaultSpan(FaultKind.KILL_ROUTER, 5.0, 6.0)],
    )


def test_mass_restart_reports_each_failed_check() -> None:
    good = restart_result()
    undisturbed = make_result(scenario_name=mass_restart.UNDISTURBED)
    assert restart_measurements.time_to_recover_s(good) == 3.0
    assert mass_restart.failed_checks(good, [undisturbed]) == []
    stale_attempt = AttemptSent(9000.0, "0000x", 1, 8000.0)
    result_by_failed_check = {
        "loads in": dataclasses.replace(good, time_series={"loads": [6000.0] * 11}),
        "connections": dataclasses.replace(good, time_series={"connections:1": [6000.0] * 25}),
        "stale: 1": dataclasses.replace(good, facts=[*good.facts, stale_attempt]),
        "not reached": dataclasses.replace(
            good, facts=[fact for fact in good.facts if fact.at_ms < 10_000.0]
        ),
        "two attempts": dataclasses.replace(good, violations=["attempts: two attempts in flight"]),
    }
    for text, result in result_by_failed_check.items():
        assert [
            text in failed_check for failed_check in mass_restart.failed_checks(result, [undisturbed])
        ] == [True]
