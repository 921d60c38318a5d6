"""Mass restart: most routers are killed and started again, and must not overload shared services.

Each run is compared with a run of the same arrivals without faults.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.cluster.scenarios.restart_measurements import (
    last_kill_s,
    peak_counts,
    peak_floors,
    stale_attempts,
    time_to_recover_s,
    undisturbed_share,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario

FLEET_CONFIG = "[sharing]\nperiod = 100\n"
UNDISTURBED = "undisturbed"
DOWNTIME_S = 0.6  # Time from a router's kill to its start; the process needs more time until it serves.
MAX_PEAK_RATIO = 1.5  # Maximum ratio of a peak in 250 ms to the peak of the undisturbed run.
# Minimum share of the submitted value that is served before the kill. If less is served, a return to that
# level does not count as full service.
MIN_VALUE_FRACTION = 0.9
MAX_RECOVERY_S = 5.0  # Maximum time from the last kill to full service, in the quick form.

ScenarioTable = dict[str, object]  # A scenario or a fault, as a TOML table of a scenario file.

# Scenario keys that give the full form its size.
FULL_SIZE: ScenarioTable = {
    "warm_up": 6.0,
    "seconds": 26.0,
    "runners": 40,
    "functions": 200,
    "rate": 600.0,
    "store_at_once": 40,
    "store_most": 300,
}
KILLED_AT_S = 12.0  # Time at which the routers are killed, s from the start of traffic.
WORKER_CRASH: ScenarioTable = {
    "kind": "die",
    "at": KILLED_AT_S,
    "until": KILLED_AT_S + 0.4,
    "who": "runner:0-9",
}


def _replication_keys(*, has_store: bool) -> ScenarioTable:
    """Return the scenario keys with which routers replicate state, with or without stores on disk."""
    return {"fleet": FLEET_CONFIG, "declares": "router", "store": has_store}


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """Return a run without faults, and one of the same arrivals in which most routers are killed, for CI."""
    last = routers - 1
    killed_count = int(0.8 * routers)
    faults: list[ScenarioTable] = [
        {"kind": "loss", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "double", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "reorder", "at": 0.0, "who": "router", "to": "router"},
        {"kind": "kill", "at": 10.0, "until": 10.0 + DOWNTIME_S, "who": f"router:0-{killed_count - 1}"},
        {"kind": "cut", "at": 9.0, "until": 11.5, "who": "router:0-3", "to": f"router:{killed_count}-{last}"},
        {"kind": "stall", "at": 10.5, "until": 12.0, "who": "router:4-5", "to": "runner:3"},
        {"kind": "die", "at": 10.0, "until": 10.4, "who": "runner:0-1"},
        {"kind": "hide", "at": 10.2, "who": "runner:2", "to": "router"},
        {"kind": "clock", "at": 9.5, "who": "router:6-8", "figure": -4000.0},
        {"kind": "disk", "at": 9.9, "who": "router:9-11", "what": "older"},
    ]
    base: ScenarioTable = {"seed": seed, "routers": routers, "warm_up": 7.0, "seconds": 12.0}
    base |= _replication_keys(has_store=True)
    yield parse_scenario(base | {"name": UNDISTURBED})
    yield parse_scenario(base | {"name": "quick", "fault": faults})


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """Return runs for each source of state to recover from, then with faulty disks and crashed workers."""
    without_replication: ScenarioTable = {"seed": seed, "routers": routers} | FULL_SIZE
    without_stores = without_replication | _replication_keys(has_store=False)
    with_stores = without_replication | _replication_keys(has_store=True)
    kill_most = _kill(f"router:0-{int(0.7 * routers) - 1}")
    kill_all = _kill("router")
    disk_faults = _disk_faults(routers // 2)
    for name, base, faults in (
        (UNDISTURBED, with_stores, []),
        ("70%, no file", without_replication, [kill_most]),
        ("70%, peers", without_stores, [kill_most]),
        ("70%, both", with_stores, [kill_most]),
        ("100%, no file", without_replication, [kill_all]),
        ("100%, peers", without_stores, [kill_all]),
        ("100%, both", with_stores, [kill_all]),
        ("100%, store only", with_stores | {"talk": False}, [kill_all]),
        ("100%, half of the disks lie", with_stores, [kill_all, *disk_faults]),
        ("copies lost too, no file", without_replication, [kill_all, WORKER_CRASH]),
        ("copies lost too, both", with_stores, [kill_all, WORKER_CRASH]),
        (
            "all at once",
            with_stores,
            [kill_all, *disk_faults, WORKER_CRASH, *_network_and_clock_faults(routers)],
        ),
    ):
        yield parse_scenario(base | {"name": name, "fault": faults})


def _kill(targets: str) -> ScenarioTable:
    """Return a fault that kills some routers."""
    return {"kind": "kill", "at": KILLED_AT_S, "until": KILLED_AT_S + DOWNTIME_S, "who": targets}


def _disk_faults(count: int) -> list[ScenarioTable]:
    """Return a disk fault for each of the first ``count`` routers: one kind for each third of them."""
    return [
        {
            "kind": "disk",
            "at": KILLED_AT_S - 0.1,
            "who": f"router:{index * count // 3}-{(index + 1) * count // 3 - 1}",
            "what": disk_fault,
        }
        for index, disk_fault in enumerate(("older", "flipped", "gone"))
    ]


def _network_and_clock_faults(routers: int) -> list[ScenarioTable]:
    """Return faults of the network, the endpoint lists and the clocks."""
    half = routers // 2
    between_routers: ScenarioTable = {"who": "router", "to": "router"}
    return [
        {"kind": "loss", "figure": 0.2} | between_routers,
        {"kind": "double", "figure": 0.1} | between_routers,
        {"kind": "reorder"} | between_routers,
        {"kind": "hide", "at": KILLED_AT_S, "who": "runner:10", "to": "router"},
        {
            "kind": "stall",
            "at": KILLED_AT_S,
            "until": KILLED_AT_S + 2.0,
            "who": f"router:0-{half}",
            "to": "runner:11",
        },
        {
            "kind": "clock",
            "at": KILLED_AT_S - 0.5,
            "who": f"router:{half}-{routers - 1}",
            "figure": -4000.0,
        },
    ]


def failed_checks(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """Return the failed checks of a run."""
    failed_checks = list(result.violations)
    if result.is_void:
        failed_checks.append(f"void: the harness itself was {result.lag_ms:.0f} ms late")
    share = undisturbed_share(result)
    if result.scenario_name == UNDISTURBED:
        if share < MIN_VALUE_FRACTION:
            failed_checks.append(f"{share:.2f} of the submitted value served in time, below the minimum")
        return failed_checks
    failed_checks += _failed_peak_checks(result, earlier)
    if (count := stale_attempts(result)) > 0:
        failed_checks.append(f"stale: {count} attempts at a runner that was missing from the endpoint list")
    recovery_s = time_to_recover_s(result)
    if recovery_s is None or share < MIN_VALUE_FRACTION:
        failed_checks.append("full service was not reached")
    elif result.scenario_name == "quick" and recovery_s > MAX_RECOVERY_S:
        failed_checks.append(f"full service too late, {recovery_s:.1f} s after the last kill")
    return failed_checks


def _failed_peak_checks(result: Result, earlier: Sequence[Result]) -> list[str]:
    undisturbed = next((other for other in earlier if other.scenario_name == UNDISTURBED), None)
    undisturbed_peaks: dict[str, int] = {}
    if undisturbed is not None:
        undisturbed_peaks = peak_counts(undisturbed, undisturbed.scenario.warm_up_s)
    floors = peak_floors(result)
    failed_checks = []
    for name, peak in peak_counts(result, last_kill_s(result)).items():
        bound = max(MAX_PEAK_RATIO * undisturbed_peaks.get(name, 0), floors[name])
        if peak > bound:
            failed_checks.append(
                f"{peak} {name} in 250 ms, {undisturbed_peaks.get(name, 0)} undisturbed, bound {bound:.0f}"
            )
    return failed_checks


def table_row(result: Result) -> str:
    """Return the line of a run in the Markdown table."""
    recovery_s = time_to_recover_s(result)
    peaks = peak_counts(result, last_kill_s(result) or result.scenario.warm_up_s)
    cells = [
        result.scenario_name,
        f"{result.served_fraction:.3f}",
        f"{undisturbed_share(result):.3f}",
        "never" if recovery_s is None else f"{recovery_s:.2f}",
        *map(str, peaks.values()),
        str(stale_attempts(result)),
        str(len(result.violations)),
        f"{result.cpu_ms_per_call:.2f}",
        f"{result.lag_ms:.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


TABLE_HEADER = (
    "| run | served | before | full service s | loads | connections at a runner | questions "
    "| datagrams of a return | stale | breaches | CPU ms/call | rig late ms |"
)
TABLE_SEPARATOR = "|" + " --- |" * 12
