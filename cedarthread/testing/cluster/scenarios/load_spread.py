"""Load spread: how evenly routers load the workers under faults, compared with an omniscient policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.cluster.policy_replay import OMNISCIENT
from cedarthread.testing.cluster.scenario_file import parse_scenario

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario

MAX_IDLE_MS = 2000.0  # Maximum time that a worker is idle while a call is queued at another worker.
MAX_PEAK_TO_MEAN_RATIO = 1.3  # Maximum ratio to the omniscient policy's peak-to-mean.
MIN_SERVED_FRACTION = 0.9  # Minimum share of the calls that are served.


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """Return one short run with several faults at once, for CI."""
    yield parse_scenario(
        {
            "name": "quick",
            "seed": seed,
            "routers": routers,
            "seconds": 10.0,
            "fault": [
                {"kind": "loss", "at": 0.0, "who": "router", "to": "router", "figure": 0.2},
                {"kind": "double", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
                {"kind": "reorder", "at": 0.0, "who": "router", "to": "router"},
                {"kind": "die", "at": 5.0, "until": 7.0, "who": "runner:0"},
                {"kind": "kill", "at": 6.0, "until": 8.0, "who": "router:0-3"},
                {"kind": "stop", "at": 6.5, "until": 9.0, "who": "router:4"},
            ],
        }
    )


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """Return runs of whole fleets: one without faults, then one for each fault."""
    base = {
        "seed": seed,
        "routers": routers,
        "runners": 40,
        "functions": 200,
        "rate": 600.0,
        "warm_up": 6.0,
        "seconds": 16.0,
        "store_at_once": 40,
        "store_most": 300,
    }
    for name, faults in _cases(routers).items():
        yield parse_scenario(base | {"name": name, "fault": faults})


def _cases(routers: int) -> dict[str, list[dict[str, object]]]:
    """Return the faults of each run of the full form, by name of the run."""
    last = routers - 1
    half = routers // 2
    return {
        "no fault": [],
        "runners back empty": [{"kind": "die", "at": 9.0, "until": 13.0, "who": "runner:0-1"}],
        "70% of the routers killed": [{"kind": "kill", "at": 10.0, "who": f"router:0-{int(0.7 * last)}"}],
        "halves see different lists": [
            {"kind": "hide", "at": 9.0, "until": 16.0, "who": "runner:0-3", "to": f"router:0-{half - 1}"}
        ],
        "runners slow, not dead": [
            {"kind": "slow", "at": 9.0, "until": 17.0, "who": "runner:0-1", "figure": 4.0}
        ],
        "a function hot at one room's routers": [
            {"kind": "hot", "at": 9.0, "who": f"router:0-{max(0, routers // 10 - 1)}", "figure": 0.8}
        ],
        "routers paused and back": [
            {"kind": "stop", "at": 8.0, "until": 18.0, "who": f"router:0-{max(0, routers // 20)}"}
        ],
        "a lossy network, halves cut": [
            {"kind": "loss", "at": 0.0, "who": "router", "to": "router", "figure": 0.3},
            {"kind": "double", "at": 0.0, "who": "router", "to": "router", "figure": 0.2},
            {"kind": "reorder", "at": 0.0, "who": "router", "to": "router"},
            {
                "kind": "cut",
                "at": 9.0,
                "until": 16.0,
                "who": f"router:0-{half - 1}",
                "to": f"router:{half}-{last}",
            },
        ],
    }


def failed_checks(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """Return the failed checks of a run."""
    metrics = result.load_balance
    omniscient = result.replayed[OMNISCIENT]
    failed_checks = list(result.violations)
    if result.is_void:
        failed_checks.append(f"void: the harness itself was {result.lag_ms:.0f} ms late")
    failed_checks += [
        f"hotspot at {hotspot.start_ms / 1000:.1f} s: {hotspot.arrivals} calls to runner "
        f"{hotspot.worker_id}, fair share {hotspot.fair_share:.1f}"
        for hotspot in metrics.hotspots
    ]
    if metrics.longest_idle_ms > MAX_IDLE_MS:
        failed_checks.append(
            f"a runner idle for {metrics.longest_idle_ms:.0f} ms while a call was queued at another"
        )
    if metrics.peak_to_mean > MAX_PEAK_TO_MEAN_RATIO * omniscient.peak_to_mean:
        failed_checks.append(
            f"peak-to-mean {metrics.peak_to_mean:.2f}, too far above {omniscient.peak_to_mean:.2f} of the "
            "omniscient policy"
        )
    if result.served_fraction < MIN_SERVED_FRACTION:
        failed_checks.append(f"{result.served_fraction:.2f} of the calls served, below the minimum")
    return failed_checks


def table_row(result: Result) -> str:
    """Return the line of a run in the Markdown table."""
    metrics = result.load_balance
    omniscient = result.replayed[OMNISCIENT]
    cells = [
        result.scenario_name,
        f"{result.served_fraction:.3f}",
        f"{metrics.peak_to_mean:.2f}",
        f"{omniscient.peak_to_mean:.2f}",
        f"{metrics.coefficient_of_variation:.2f}",
        f"{metrics.longest_idle_ms:.0f}",
        f"{len(metrics.hotspots)}",
        f"{metrics.loads_per_1000_calls:.0f}",
        f"{omniscient.loads_per_1000_calls:.0f}",
        f"{metrics.excess_loads}",
        f"{len(result.violations)}",
        f"{result.cpu_ms_per_call:.2f}",
        f"{result.peer_bytes_per_second:.0f}",
        f"{result.lag_ms:.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


TABLE_HEADER = (
    "| run | served | peak-to-mean | all-seeing | variation | idle ms | herds | loads/1000 | all-seeing "
    "| beyond need | breaches | CPU ms/call | B/s a router | rig late ms |"
)
TABLE_SEPARATOR = "|" + " --- |" * 14
