"""Change freeze: no function is placed at a new worker while a window is in effect.

Placements are read from the workers' recordings.

A window is in effect from the later of its start and its declaration plus the staleness bound, until its end.
A revoked window ends at the latest at the revocation plus the staleness bound.

The staleness bound is that of ``ReplicatedStore``: a router that acts on its replicated state lacks no entry
that a majority of the routers had that long ago.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from cedarthread import fleet_config
from cedarthread.replication.store import ReplicatedStore
from cedarthread.testing.cluster.router_files import resolve_times
from cedarthread.testing.cluster.scenario import FaultKind, NodeKind, NodeRange, Scenario
from cedarthread.testing.cluster.scenario_file import parse_scenario

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.cluster.recordings import Placement
    from cedarthread.testing.cluster.result import Result

FLEET_CONFIG = "[sharing]\nperiod = 200\nclock-error = 100\n"
# Minimum share of the calls that are served. In the 24 s of the quick form these calls may fail:
# - an eighth of the calls for 15.5 s, because they are to a hot function that must not be placed at more
#   workers (8%);
# - the calls to instances on a quarter of the workers, for 2 s (2%);
# - the calls of four routers, for 7 s (5%).
MIN_SERVED_FRACTION = 0.85
# Time until routers know of a worker's restart. Until then the design does not guarantee the freeze at that
# worker.
RESTART_LISTING_MS = 500.0
MIN_VALUE_FRACTION = 0.98  # Minimum share of the value per second of a run without a window.
VALUE_FROM_S = 18  # Start of the comparison of the value per second, s from the start of traffic.
VALUE_TO_S = 30  # End of the comparison of the value per second, s from the start of traffic.
RATE_WINDOWS_PER_S = 4
INTERVAL_WITHOUT_WINDOW_MS = (16_000.0, 28_000.0)  # Interval that the table shows for a run without a window.

FaultTable = dict[str, object]  # A fault, as a TOML table of a scenario file.


def window_config(start_s: float, end_s: float, exception_budget: int = 3, extra_text: str = "") -> str:
    """Return a fleet config with one window; its times are s from the start of traffic."""
    times = f"start = @{start_s:g}\nend = @{end_s:g}\n"
    window = f'[[freeze]]\nid = "cycle"\n{times}allowance = {exception_budget}\n'
    return FLEET_CONFIG + window + 'author = "desk"\nreason = "cycle closes"\n' + extra_text


REVOCATION = '[[revoke]]\nfreeze = "cycle"\nauthor = "desk"\nreason = "closed early"\n'
# Settings with which each function has more home workers.
LONGER_KEEP_ALIVE = '{"specifics": {"keep-alive": 30000, "order-limit": 10000}}'
LOSSY_NETWORK: list[FaultTable] = [
    {"kind": "loss", "who": "router", "to": "router", "figure": 0.2},
    {"kind": "double", "who": "router", "to": "router", "figure": 0.1},
    {"kind": "reorder", "who": "router", "to": "router"},
]


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """Return one short run with several faults at once, for CI."""
    last = routers - 1
    half = routers // 2
    faults: list[FaultTable] = [
        *LOSSY_NETWORK,
        {"kind": "declare", "at": 7.0, "who": "router:1", "what": window_config(9.0, 28.0)},
        {"kind": "hot", "at": 12.5, "who": f"router:0-{half - 1}", "figure": 0.25},
        {
            "kind": "cut",
            "at": 12.5,
            "until": 15.5,
            "who": f"router:0-{half - 1}",
            "to": f"router:{half}-{last}",
        },
        {"kind": "stop", "at": 13.0, "until": 19.5, "who": f"router:{last}"},
        {"kind": "clock", "at": 14.0, "who": "router:3", "figure": 3_600_000.0},
        {"kind": "die", "at": 15.0, "until": 17.0, "who": "runner:0-2"},
        {"kind": "retune", "at": 15.5, "who": "router", "what": LONGER_KEEP_ALIVE},
        {"kind": "kill", "at": 16.0, "until": 17.0, "who": f"router:{half}-{half + 2}"},
        {
            "kind": "declare",
            "at": 20.5,
            "who": "router:2",
            "what": window_config(9.0, 28.0, extra_text=REVOCATION),
        },
    ]
    yield parse_scenario(
        {
            "name": "quick",
            "seed": seed,
            "routers": routers,
            "seconds": 24.0,
            "settle": 10.0,
            "fleet": FLEET_CONFIG,
        }
        | {"declares": "router", "fault": faults}
    )


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """Return runs of whole fleets: one without a window, one with a window, then one for each fault."""
    base: dict[str, object] = {
        "seed": seed,
        "settle": 12.0,
        "routers": routers,
        "runners": 40,
        "functions": 200,
        "rate": 600.0,
    }
    base |= {"warm_up": 6.0, "seconds": 30.0, "store_at_once": 40, "store_most": 300}
    base |= {"fleet": FLEET_CONFIG, "declares": "router"}
    for name, faults in _cases(routers).items():
        yield parse_scenario(base | {"name": name, "fault": faults})


def _cases(routers: int) -> dict[str, list[FaultTable]]:
    """Return the faults of each run of the full form, by name of the run."""
    last = routers - 1
    half = routers // 2
    declaration: FaultTable = {
        "kind": "declare",
        "at": 10.0,
        "who": "router:1",
        "what": window_config(12.0, 32.0, 6),
    }
    return {
        "calm, no window": [],
        "calm": [declaration],
        "runners die, back empty": [
            declaration,
            {"kind": "die", "at": 18.0, "until": 21.0, "who": "runner:0-3"},
        ],
        "halves cut, lossy": [
            *LOSSY_NETWORK,
            declaration,
            {
                "kind": "cut",
                "at": 17.0,
                "until": 26.0,
                "who": f"router:0-{half - 1}",
                "to": f"router:{half}-{last}",
            },
        ],
        "a tenth an hour ahead": [
            declaration,
            {"kind": "clock", "at": 18.0, "who": f"router:0-{routers // 10}", "figure": 3_600_000.0},
        ],
        "a third restarted, no disk": [
            declaration,
            {"kind": "restart", "at": 18.0, "who": f"router:0-{routers // 3}"},
        ],
        "retuned": [declaration, {"kind": "retune", "at": 18.0, "who": "router", "what": LONGER_KEEP_ALIVE}],
    }


@dataclass(frozen=True, slots=True)
class EffectiveWindow:
    """The time in which a window is in effect, ms from the start of traffic, and its exception budget."""

    start_ms: float
    end_ms: float
    exception_budget: int


def staleness_bound_ms(scenario: Scenario) -> float:
    """Return the staleness bound that the replicated store computes for a scenario."""
    sharing = _parse_fleet_config(scenario.fleet_config).sharing
    store = ReplicatedStore(
        *(0, scenario.router_count, 1, 1),
        period_ms=sharing.period,
        window_ms=sharing.fresh,
        clock_rate=sharing.clock_rate,
    )
    return store.staleness_bound_ms


def _parse_fleet_config(text: str) -> fleet_config.FleetConfig:
    return fleet_config.parse_fleet_config(resolve_times(text, 0.0).encode())


def effective_window(scenario: Scenario) -> EffectiveWindow | None:
    """Return when a run's window must be in effect, with its exception budget; None if none was declared."""
    bound_ms = staleness_bound_ms(scenario)
    window = None
    declarations = [fault for fault in scenario.faults if fault.kind is FaultKind.FLEET_CONFIG]
    for declaration in sorted(declarations, key=lambda fault: fault.start_s):
        config = _parse_fleet_config(declaration.text)
        declared_at_ms = 1000.0 * declaration.start_s
        for freeze in config.freeze:
            start_ms, end_ms = (1000.0 * time.timestamp() for time in (freeze.start, freeze.end))
            if window is None:
                window = EffectiveWindow(max(start_ms, declared_at_ms + bound_ms), end_ms, freeze.allowance)
            if config.revoke:
                end_ms = min(window.end_ms, declared_at_ms + bound_ms)
                window = EffectiveWindow(window.start_ms, end_ms, window.exception_budget)
    return window


@dataclass(frozen=True, slots=True)
class _Restart:
    at_ms: float
    workers: NodeRange


def placement_changes_ms(scenario: Scenario, placements: Sequence[Placement]) -> list[float]:
    """Return the times of each function's first placement at a worker since the worker's last start.

    A placement does not count if the function was there before the restart and routers may not have detected
    the restart yet.
    """
    restarts = [
        _Restart(1000.0 * fault.end_s, fault.targets)
        for fault in scenario.faults
        if fault.kind is FaultKind.CRASH_WORKER
    ]
    # Known instances as (function, worker, incarnation of the worker, which is the number of its restarts).
    known: set[tuple[int, int, int]] = set()
    changes_ms = []
    for at_ms, function, worker in sorted(placements):
        restarted_at_ms = sorted(
            restart.at_ms
            for restart in restarts
            if restart.at_ms <= at_ms and restart.workers.includes(NodeKind.WORKER, worker)
        )
        incarnation = len(restarted_at_ms)
        if (function, worker, incarnation) in known:
            continue
        known.add((function, worker, incarnation))
        is_restart_recent = bool(restarted_at_ms) and at_ms - restarted_at_ms[-1] < RESTART_LISTING_MS
        if not (is_restart_recent and (function, worker, incarnation - 1) in known):
            changes_ms.append(at_ms)
    return changes_ms


class WindowChanges(NamedTuple):
    """Numbers of placement changes: made while a window was in effect, and allowed by the window."""

    made: int
    allowed: int


def changes_in_window(scenario: Scenario, placements: Sequence[Placement]) -> WindowChanges:
    """Return the number of changes that were made in the window, and the number that the window allowed."""
    window = effective_window(scenario)
    if window is None:
        return WindowChanges(0, 0)
    changes_ms = placement_changes_ms(scenario, placements)
    return WindowChanges(
        sum(window.start_ms <= at_ms < window.end_ms for at_ms in changes_ms), window.exception_budget
    )


def _value_rate(result: Result) -> float:
    """Return the mean value served per second in the time that is compared."""
    first = RATE_WINDOWS_PER_S * VALUE_FROM_S
    last = RATE_WINDOWS_PER_S * VALUE_TO_S
    return fmean(result.value_rates[first:last] or [0.0])


def failed_checks(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """Return the failed checks of a run."""
    failed_checks = list(result.violations)
    changes = changes_in_window(result.scenario, result.placements)
    if result.is_void:
        failed_checks.append(f"void: the harness itself was {result.lag_ms:.0f} ms late")
    if changes.made > changes.allowed:
        failed_checks.append(f"{changes.made} placement changes in the window, {changes.allowed} allowed")
    if result.served_fraction < MIN_SERVED_FRACTION:
        failed_checks.append(f"{result.served_fraction:.3f} of the calls served, below the minimum")
    if result.scenario_name == "calm" and earlier:
        rate = _value_rate(result)
        rate_without_window = _value_rate(earlier[0])
        if rate < MIN_VALUE_FRACTION * rate_without_window:
            failed_checks.append(
                f"value served per second only {rate:.0f}, but {rate_without_window:.0f} without a window"
            )
    return failed_checks


def table_row(result: Result) -> str:
    """Return the line of a run in the Markdown table."""
    window = effective_window(result.scenario)
    changes_ms = placement_changes_ms(result.scenario, result.placements)
    start_ms, end_ms = (window.start_ms, window.end_ms) if window else INTERVAL_WITHOUT_WINDOW_MS
    cells = [
        result.scenario_name,
        f"{result.served_fraction:.3f}",
        f"{_value_rate(result):.0f}",
        f"{staleness_bound_ms(result.scenario) / 1000.0:.1f}",
        f"{start_ms / 1000.0:.1f}-{end_ms / 1000.0:.1f}",
        str(sum(at_ms < start_ms for at_ms in changes_ms)),
        str(sum(start_ms <= at_ms < end_ms for at_ms in changes_ms)),
        str(window.exception_budget) if window else "any",
        str(sum(at_ms >= end_ms for at_ms in changes_ms)),
        str(len(result.violations)),
        f"{result.cpu_ms_per_call:.2f}",
        f"{result.lag_ms:.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


TABLE_HEADER = (
    "| run | served | worth/s | B, s | binds, s | changes before | in it | allowed | after "
    "| breaches | CPU ms/call | rig late ms |"
)
TABLE_SEPARATOR = "|" + " --- |" * 12
