"""Clusters of router processes under faults: the rules are kept, and injected defects are found."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.cluster import cli
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.cluster.scenarios import faults, load_spread

if TYPE_CHECKING:
    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario


def run_side_by_side(scenarios: list[Scenario]) -> list[Result]:
    """Run scenarios at the same time, and return their results in order."""

    async def run_all() -> list[Result]:
        return await asyncio.gather(*map(cli.run_scenario, scenarios))

    return asyncio.run(run_all())


def test_injected_defects_are_found() -> None:
    """Popularity by chance, overreaction to load reports, retries of calls that may have been executed."""
    crashes = [
        {"kind": "die", "at": 3.0 + number, "until": 5.0 + number, "who": f"runner:{number}"}
        for number in range(3)
    ]
    small = {"routers": 12, "runners": 6, "rate": 120.0, "warm_up": 2.0, "seconds": 6.0, "fault": crashes}
    (quick,) = load_spread.quick(1)
    quick = dataclasses.replace(quick, is_gossip_enabled=False)
    scenarios = [dataclasses.replace(quick, injected_defect=defect) for defect in ("chance", "eager")]
    scenarios.append(parse_scenario(small | {"plant": "twice"}))
    chance, eager, retrying = run_side_by_side(scenarios)
    for overreacting in (chance, eager):
        assert any(
            "of the calls served" in failed_check for failed_check in load_spread.failed_checks(overreacting)
        )
    assert any("effects" in failed_check for failed_check in load_spread.failed_checks(retrying))


def test_many_processes_obey_the_rules_and_spread_load_under_faults(tmp_path: Path) -> None:
    """A worker restarts empty, routers are killed and paused, datagrams are lost and duplicated."""
    (quick,) = load_spread.quick(3, routers=12)
    more_faults = [
        {"kind": "stall", "at": 6.0, "until": 8.0, "who": "router:5", "to": "runner:1-2"},
        {"kind": "spoilt", "at": 5.0, "until": 9.0, "who": "resolver:6", "figure": 0.7},
        {"kind": "mute", "at": 5.0, "until": 8.0, "who": "resolver:7"},
        {"kind": "rate", "at": 5.0, "until": 9.0, "who": "router:8", "figure": 1.01},
        {"kind": "clock", "at": 6.0, "until": 8.0, "who": "router:9", "figure": 400.0},
        {"kind": "burst", "at": 7.0, "until": 8.0, "who": "router", "figure": 2.0},
    ]
    additional = parse_scenario({"routers": 12, "runners": 8, "fault": more_faults}).faults
    scenario = dataclasses.replace(
        quick,
        calls_per_second=150.0,
        worker_count=8,
        duration_s=8.0,
        tenants="hydro 0.5",
        faults=quick.faults + additional,
    )
    result = asyncio.run(cli.run_scenario(scenario))
    assert not result.is_void
    assert result.answers_by_tenant["hydro"]["served"] > 300
    query_counts = [
        len([at_ms for at_ms in result.time_series["questions"] if start_ms <= at_ms < start_ms + 1000.0])
        for start_ms in (2000.0, 5500.0)
    ]
    assert 50 <= query_counts[0] <= 65
    assert result.peak_counts["loads"] > 3
    assert min(result.value_rates[16:20]) > 200.0
    assert result.violations == []
    assert result.answers["served"] > 0.9 * sum(result.answers.values())
    assert not result.load_balance.hotspots
    assert result.datagrams.passed > 100 and result.datagrams.dropped > 10, (
        "routers sent gossip, and some of it was lost"
    )
    (tmp_path / "x.json").write_text(json.dumps(result.to_json()))
    assert cli.main(["rig", "report", str(tmp_path)]) == 0
    assert "<svg" in (tmp_path / "x.svg").read_text()


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process(tmp_path: Path, signal_number: signal.Signals) -> None:
    command = [sys.executable, "-m", "cedarthread", "drill", "spread", "--routers", "6", "--seed", "2"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=Path(__file__).parents[2]
    )
    listing = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    while len(children := listing.read_text().split()) < 6:
        assert process.poll() is None
    process.send_signal(signal_number)
    process.communicate(timeout=30)
    assert [child for child in children if Path(f"/proc/{child}").exists()] == []


def test_processes_obey_the_rules_under_random_faults_that_overlap() -> None:
    """A small soak test: three random scenarios of the drill ``faults`` run at the same time."""
    scenarios = [scenario for seed in (5, 7, 9) for scenario in faults.quick(seed, 6, 6.0)]
    for result in run_side_by_side(scenarios):
        assert faults.failed_checks(result) == [], result.seed
        assert sum(result.answers.values()) > 100


def test_the_soak_finds_ignored_drains() -> None:
    drains = [
        {"kind": "drain", "at": 2.0 + number, "until": 6.0, "who": f"runner:{number}", "to": "router"}
        for number in (0, 1)
    ]
    small = {"routers": 4, "runners": 4, "rate": 120.0, "warm_up": 1.0, "seconds": 5.0, "fault": drains}
    result = asyncio.run(cli.run_scenario(parse_scenario(small | {"plant": "drains ignored"})))
    assert faults.violations_by_rule(result)["drain"] > 0
