"""The drill of freeze windows: by the runners' books alone, nothing comes to stand where it did not.

A window binds from declared + B, or its start if that is later, to its end; revoked: to B after that."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import fmean

from cedarthread import fleet_config
from cedarthread.replication.store import ReplicatedStore
from cedarthread.testing.cluster.evaluation import Result
from cedarthread.testing.cluster.router_processes import stamped
from cedarthread.testing.cluster.scenario import Scenario, parse

SHARING = "[sharing]\nperiod = 200\nclock-error = 100\n"
# Served at least, quick form. Lost in 24 s may be: an eighth of calls, to a hot function without a new home,
# for 15.5 s (8%); what stood on a quarter of the runners for 2 s (2%); calls of four routers for 7 s (5%).
SERVED = 0.85
NEWS = (
    500.0  # ms until a runner's new start is listed and read: the design page says that it does not cover it
)
WORTH = 0.98  # of a calm day's worth without a window


def window(start: float, end: float, allowance: int = 3, more: str = "") -> str:
    """An operators' file with one window; times in s from the beginning of the run."""
    told = f'[[freeze]]\nid = "cycle"\nstart = @{start:g}\nend = @{end:g}\nallowance = {allowance}\n'
    return SHARING + told + 'author = "desk"\nreason = "cycle closes"\n' + more


REVOKED = '[[revoke]]\nfreeze = "cycle"\nauthor = "desk"\nreason = "closed early"\n'
LONGER = '{"specifics": {"keep-alive": 30000, "order-limit": 10000}}'  # wants more homes for each function
LOSSY: list[dict[str, object]] = [
    {"kind": "loss", "who": "router", "to": "router", "figure": 0.2},
    {"kind": "double", "who": "router", "to": "router", "figure": 0.1},
    {"kind": "reorder", "who": "router", "to": "router"},
]


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """One short run with several faults at once, for CI."""
    last, half = routers - 1, routers // 2
    faults: list[dict[str, object]] = [
        *LOSSY,
        {"kind": "declare", "at": 7.0, "who": "router:1", "what": window(9.0, 28.0)},
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
        {"kind": "retune", "at": 15.5, "who": "router", "what": LONGER},
        {"kind": "kill", "at": 16.0, "until": 17.0, "who": f"router:{half}-{half + 2}"},
        {"kind": "declare", "at": 20.5, "who": "router:2", "what": window(9.0, 28.0, more=REVOKED)},
    ]
    yield parse(
        {"name": "quick", "seed": seed, "routers": routers, "seconds": 24.0, "settle": 10.0, "fleet": SHARING}
        | {"declares": "router", "fault": faults}
    )


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """A calm day with and without a window, then each hard case: whole fleets."""
    base: dict[str, object] = {
        "seed": seed,
        "settle": 12.0,
        "routers": routers,
        "runners": 40,
        "functions": 200,
        "rate": 600.0,
    }
    base |= {"warm_up": 6.0, "seconds": 30.0, "store_at_once": 40, "store_most": 300}
    base |= {"fleet": SHARING, "declares": "router"}
    last, half = routers - 1, routers // 2
    told: dict[str, object] = {
        "kind": "declare",
        "at": 10.0,
        "who": "router:1",
        "what": window(12.0, 32.0, 6),
    }
    cases: dict[str, list[dict[str, object]]] = {
        "calm, no window": [],
        "calm": [told],
        "runners die, back empty": [told, {"kind": "die", "at": 18.0, "until": 21.0, "who": "runner:0-3"}],
        "halves cut, lossy": [
            *LOSSY,
            told,
            {
                "kind": "cut",
                "at": 17.0,
                "until": 26.0,
                "who": f"router:0-{half - 1}",
                "to": f"router:{half}-{last}",
            },
        ],
        "a tenth an hour ahead": [
            told,
            {"kind": "clock", "at": 18.0, "who": f"router:0-{routers // 10}", "figure": 3_600_000.0},
        ],
        "a third restarted, no disk": [
            told,
            {"kind": "restart", "at": 18.0, "who": f"router:0-{routers // 3}"},
        ],
        "retuned": [told, {"kind": "retune", "at": 18.0, "who": "router", "what": LONGER}],
    }
    for name, faults in cases.items():
        yield parse(base | {"name": name, "fault": faults})


@dataclass(frozen=True, slots=True)
class Bound:
    """When a window binds, in ms from the beginning, and the changes that it allows."""

    begin: float
    end: float
    allowance: int


def bound(scenario: Scenario) -> float:
    """B in ms, by the formula of the register's design page."""
    told = fleet_config.parse_fleet_config(stamped(scenario.fleet, 0.0).encode()).sharing
    one = ReplicatedStore(
        0, scenario.routers, 1, 1, period_ms=told.period, window_ms=told.fresh, clock_rate=told.clock_rate
    )
    return one.staleness_bound_ms


def binds(scenario: Scenario) -> Bound | None:
    """The window of a run, as it must hold at all; None where none was declared."""
    wait, found = bound(scenario), None
    for fault in sorted((f for f in scenario.faults if f.kind == "declare"), key=lambda f: f.at):
        file, at = fleet_config.parse_fleet_config(stamped(fault.what, 0.0).encode()), 1000.0 * fault.at
        for one in file.freeze:
            begin, end = (1000.0 * time.timestamp() for time in (one.start, one.end))
            if found is None:
                found = Bound(max(begin, at + wait), end, one.allowance)
            if file.revoke:
                found = Bound(found.begin, min(found.end, at + wait), found.allowance)
    return found


def changes(scenario: Scenario, placed: Sequence[tuple[float, int, int]]) -> list[float]:
    """When functions first came to stand where they did not stand in this life of the runner, ms.

    But for those that are sent to where they stood before the news of the runner's new start can be there."""
    lives = [(1000.0 * f.until, f.who) for f in scenario.faults if f.kind == "die"]
    stood: set[tuple[int, int, int]] = set()
    found = []
    for at, function, runner in sorted(placed):
        backs = sorted(back for back, who in lives if back <= at and who.has("runner", runner))
        life = len(backs)
        if (function, runner, life) not in stood:
            stood.add((function, runner, life))
            if not (backs and at - backs[-1] < NEWS and (function, runner, life - 1) in stood):
                found.append(at)
    return found


def beyond(scenario: Scenario, placed: Sequence[tuple[float, int, int]]) -> tuple[int, int]:
    """Changes while the window bound, and how many it allowed."""
    window = binds(scenario)
    if window is None:
        return 0, 0
    return sum(window.begin <= at < window.end for at in changes(scenario, placed)), window.allowance


def _worth(result: Result) -> float:
    """Served a second, from the 18th to the 30th s."""
    return fmean(result.worths[4 * 18 : 4 * 30] or [0.0])


def failings(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """What a run shows that must not be."""
    found, (made, allowed) = list(result.breaches), beyond(result.played, result.placed)
    if result.void:
        found.append(f"void: the rig itself was {result.late:.0f} ms late")
    if made > allowed:
        found.append(f"{made} placement changes in the window, {allowed} allowed")
    if result.served < SERVED:
        found.append(f"{result.served:.3f} of the calls served")
    if result.scenario == "calm" and earlier and _worth(result) < WORTH * _worth(earlier[0]):
        found.append(f"worth {_worth(result):.0f} a second, {_worth(earlier[0]):.0f} without a window")
    return found


def row(result: Result) -> str:
    """A run as a line of a Markdown table."""
    window, allowed = binds(result.played), beyond(result.played, result.placed)[1]
    all_ = changes(result.played, result.placed)
    begin, end = (window.begin, window.end) if window else (16_000.0, 28_000.0)
    cells = [result.scenario, f"{result.served:.3f}", f"{_worth(result):.0f}"]
    cells += [f"{bound(result.played) / 1000.0:.1f}", f"{begin / 1000.0:.1f}-{end / 1000.0:.1f}"]
    cells += [str(sum(at < begin for at in all_)), str(sum(begin <= at < end for at in all_))]
    cells += [str(allowed) if window else "any", str(sum(at >= end for at in all_))]
    cells += [str(len(result.breaches)), f"{result.cpu:.2f}", f"{result.late:.0f}"]
    return "| " + " | ".join(cells) + " |"


HEAD = (
    "| run | served | worth/s | B, s | binds, s | changes before | in it | allowed | after "
    "| breaches | CPU ms/call | rig late ms |"
)
RULE = "|" + " --- |" * 12
