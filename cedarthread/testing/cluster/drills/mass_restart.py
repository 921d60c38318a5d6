"""The drill of the return: most routers are killed and come back, and what they share must not drown.

All is judged beside a run of the same arrivals in which nothing happens."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from statistics import fmean

from cedarthread.components.interface import MessageType
from cedarthread.testing.cluster.evaluation import CLASS_VALUE, Result
from cedarthread.testing.cluster.recordings import peak_count, time_to_full_service
from cedarthread.testing.cluster.scenario import Scenario, parse_scenario

FLEET_CONFIG = "[sharing]\nperiod = 100\n"
UNDISTURBED = "undisturbed"
DOWNTIME_S = 0.6  # s that a killed router is gone at least; its process takes some more to start
LATENCY_OBJECTIVE_MS = 1000.0  # ms in which a call must be served to count: the goal of both classes
STEP_MS, WINDOW_MS = 250.0, 1000.0  # ms
LIST_REFRESH_MS = (
    600.0  # ms in which a router must have the list that its resolver gives: three of its questions
)
MAX_PEAK_RATIO = 1.5  # of the undisturbed peak in 250 ms
CONNECTION_PEAK_FLOOR = (
    24  # connections at one runner in 250 ms that are no harm: some 0.2 ms of its time each
)
PEER_DATAGRAM_FLOOR = (
    45  # datagrams of a return for each router in 250 ms: six questions, answers by both buckets when full
)
MIN_SERVED_FRACTION = (
    0.9  # of the calls, where nothing happens: else there is no full service to come back to
)
MAX_RECOVERY_S = 5.0  # s from the last death to full service, in the quick form

ScenarioText = dict[str, object]


def _base(seed: int, routers: int, disk: bool, fleet: bool = True) -> ScenarioText:
    given: ScenarioText = {"fleet": FLEET_CONFIG, "declares": "router", "store": disk} if fleet else {}
    return {"seed": seed, "routers": routers} | given


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """The same arrivals undisturbed, and with most routers killed among several faults."""
    last, most = routers - 1, int(0.8 * routers)
    faults: list[ScenarioText] = [
        {"kind": "loss", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "double", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "reorder", "at": 0.0, "who": "router", "to": "router"},
        {"kind": "kill", "at": 10.0, "until": 10.0 + DOWNTIME_S, "who": f"router:0-{most - 1}"},
        {"kind": "cut", "at": 9.0, "until": 11.5, "who": "router:0-3", "to": f"router:{most}-{last}"},
        {"kind": "stall", "at": 10.5, "until": 12.0, "who": "router:4-5", "to": "runner:3"},
        {"kind": "die", "at": 10.0, "until": 10.4, "who": "runner:0-1"},
        {"kind": "hide", "at": 10.2, "who": "runner:2", "to": "router"},
        {"kind": "clock", "at": 9.5, "who": "router:6-8", "figure": -4000.0},
        {"kind": "disk", "at": 9.9, "who": "router:9-11", "what": "older"},
    ]
    base = _base(seed, routers, disk=True) | {"warm_up": 7.0, "seconds": 12.0}
    yield parse_scenario(base | {"name": UNDISTURBED})
    yield parse_scenario(base | {"name": "quick", "fault": faults})


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """What is remembered, in turn; then disks that lie, and runners that lose their copies too."""
    size: ScenarioText = {"warm_up": 6.0, "seconds": 26.0, "runners": 40, "functions": 200, "rate": 600.0}
    size |= {"store_at_once": 40, "store_most": 300}
    last, half, death = routers - 1, routers // 2, 12.0
    kill: ScenarioText = {"kind": "kill", "at": death, "until": death + DOWNTIME_S, "who": "router"}
    most = kill | {"who": f"router:0-{int(0.7 * routers) - 1}"}
    parts = [(n * half // 3, (n + 1) * half // 3 - 1, ("older", "flipped", "gone")[n]) for n in range(3)]
    lies: list[ScenarioText] = [
        {"kind": "disk", "at": death - 0.1, "who": f"router:{a}-{b}", "what": lie} for a, b, lie in parts
    ]
    anew: ScenarioText = {"kind": "die", "at": death, "until": death + 0.4, "who": "runner:0-9"}
    pair: ScenarioText = {"who": "router", "to": "router"}
    worse: list[ScenarioText] = [
        anew,
        {"kind": "loss", "figure": 0.2} | pair,
        {"kind": "double", "figure": 0.1} | pair,
        {"kind": "reorder"} | pair,
        {"kind": "hide", "at": death, "who": "runner:10", "to": "router"},
        {"kind": "stall", "at": death, "until": death + 2.0, "who": f"router:0-{half}", "to": "runner:11"},
        {"kind": "clock", "at": death - 0.5, "who": f"router:{half}-{last}", "figure": -4000.0},
    ]
    none, peers, both = (_base(seed, routers, *kind) | size for kind in ((False, False), (False,), (True,)))
    yield parse_scenario(both | {"name": UNDISTURBED})
    yield parse_scenario(none | {"name": "70%, no file", "fault": [most]})
    yield parse_scenario(peers | {"name": "70%, peers", "fault": [most]})
    yield parse_scenario(both | {"name": "70%, both", "fault": [most]})
    yield parse_scenario(none | {"name": "100%, no file", "fault": [kill]})
    yield parse_scenario(peers | {"name": "100%, peers", "fault": [kill]})
    yield parse_scenario(both | {"name": "100%, both", "fault": [kill]})
    yield parse_scenario(both | {"name": "100%, store only", "talk": False, "fault": [kill]})
    yield parse_scenario(both | {"name": "100%, half of the disks lie", "fault": [kill, *lies]})
    yield parse_scenario(none | {"name": "copies lost too, no file", "fault": [kill, anew]})
    yield parse_scenario(both | {"name": "copies lost too, both", "fault": [kill, anew]})
    yield parse_scenario(both | {"name": "all at once", "fault": [kill, *lies, *worse]})


# What the books show.


def served_value_shares(result: Result) -> list[float]:
    """Worth served in the wanted time, of all that was asked, by windows of 1 s of asking.

    Not by when it was answered: chance alone has a window of 300 calls lack 0.05 now and then."""
    asked: dict[str, tuple[float, float]] = {}
    end = max((at for at, kind, *_ in result.facts if kind in ("taken", "no router")), default=0.0)
    every, good = ([0.0] * (1 + int(end // STEP_MS)) for _ in range(2))
    for at, kind, name, *more in result.facts:
        if at < 0.0 or kind not in ("taken", "no router", "answered"):
            continue
        if kind != "answered":
            asked[name] = at, CLASS_VALUE[more[0]] if more else CLASS_VALUE["check"]
            every[int(at // STEP_MS)] += asked[name][1]
        elif more[0] == "served" and at - asked[name][0] <= LATENCY_OBJECTIVE_MS:
            good[int(asked[name][0] // STEP_MS)] += asked[name][1]
    wide = int(WINDOW_MS / STEP_MS)
    return [
        sum(good[n : n + wide]) / max(1.0, sum(every[n : n + wide])) for n in range(len(every) - wide + 1)
    ]


def last_kill_s(result: Result) -> float:
    """The last one of routers, s."""
    return max((at for kind, at, _ in result.faults if kind == "kill"), default=0.0)


def undisturbed_share(result: Result) -> float:
    """The mean share in the last windows before the last death: a fleet that starts cold serves little."""
    last = int(
        ((last_kill_s(result) or len(served_value_shares(result)) * STEP_MS / 1000.0) - 1.0)
        * 1000.0
        / STEP_MS
    )
    return fmean(served_value_shares(result)[max(0, last - 8) : max(1, last)])


def time_to_recover_s(result: Result) -> float | None:
    """Seconds from the last death to full service, which is that of before."""
    return time_to_full_service(
        served_value_shares(result), last_kill_s(result), undisturbed_rate=undisturbed_share(result)
    )


def peak_counts(result: Result, since: float = 0.0) -> dict[str, int]:
    """The most in 250 ms from a time on, s: loads, connections at the worst runner, questions."""
    told = {
        name: peak_count([at for at in times if at >= 1000.0 * since])
        for name, times in result.time_series.items()
    }
    at_runner = [most for name, most in told.items() if name.startswith("connections:")]
    return {
        "loads": told.get("loads", 0),
        "connections at a runner": max(at_runner, default=0),
        "questions": told.get("questions", 0),
        "datagrams of a return": told.get(f"peers:{MessageType.RECOVERY:02x}", 0),
    }


def stale_attempts(result: Result) -> int:
    """Calls that were sent to a runner which the router's list had lacked for long enough."""
    hides = [fault for fault in result.scenario.faults if fault.kind == "hide"]
    kills = [fault for fault in result.scenario.faults if fault.kind == "kill"]
    first: dict[int, float] = {}  # when a router took its first call in this life, ms
    found = 0
    for at, kind, name, *more in result.facts:
        router = int(name[:4], 16)
        if kind == "taken" and any(
            1000.0 * one.start_s <= at and one.subjects.includes("router", router) for one in kills
        ):
            first.setdefault(router, at)
        if kind != "handed":
            continue
        since = (
            max(1000.0 * max((one.start_s for one in hides), default=0.0), first.get(router, 0.0))
            + LIST_REFRESH_MS
        )
        found += any(
            since <= more[1] < 1000.0 * one.end_s
            and one.subjects.includes("runner", more[0])
            and one.peers is not None
            and one.peers.includes("router", router)
            for one in hides
        )
    return found


def peak_floors(result: Result) -> dict[str, float]:
    """Peaks that are no harm however few there are on other days.

    Loads: as many as the store serves at full speed, each of them taking its whole time."""
    of = result.scenario
    return {
        "loads": of.store_at_once * min(1.0, 250.0 / of.load),
        "connections at a runner": CONNECTION_PEAK_FLOOR,
        "questions": 1.25 * of.routers,  # each asks five times a second
        "datagrams of a return": PEER_DATAGRAM_FLOOR * of.routers,
    }


def failings(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """What a run shows that must not be."""
    found = list(result.violations)
    if result.is_void:
        found.append(f"void: the rig itself was {result.lag_ms:.0f} ms late")
    if result.scenario_name == UNDISTURBED:
        return (
            found
            if undisturbed_share(result) >= MIN_SERVED_FRACTION
            else [*found, f"{undisturbed_share(result):.2f} of the calls served"]
        )
    calm = next((one for one in earlier if one.scenario_name == UNDISTURBED), None)
    usual, least = peak_counts(calm, calm.scenario.warm_up) if calm is not None else {}, peak_floors(result)
    for what, most in peak_counts(result, last_kill_s(result)).items():
        bound = max(MAX_PEAK_RATIO * usual.get(what, 0), least[what])
        if most > bound:
            found.append(f"{most} {what} in 250 ms, {usual.get(what, 0)} undisturbed, bound {bound:.0f}")
    if (calls := stale_attempts(result)) > 0:
        found.append(f"stale: {calls} calls went to a runner that the list lacked")
    full = time_to_recover_s(result)
    if full is None or undisturbed_share(result) < MIN_SERVED_FRACTION:
        found.append("full service was not reached")
    elif result.scenario_name == "quick" and full > MAX_RECOVERY_S:
        found.append(f"full service {full:.1f} s after the last death")
    return found


def row(result: Result) -> str:
    """A run as a line of a Markdown table."""
    full, last = time_to_recover_s(result), last_kill_s(result)
    most = peak_counts(result, last or result.scenario.warm_up)
    told = "never" if full is None else f"{full:.2f}"
    cells = [result.scenario_name, f"{result.served_fraction:.3f}", f"{undisturbed_share(result):.3f}", told]
    cells += [str(one) for one in chain(most.values(), (stale_attempts(result), len(result.violations)))]
    return "| " + " | ".join([*cells, f"{result.cpu_ms_per_call:.2f}", f"{result.lag_ms:.0f}"]) + " |"


HEAD = (
    "| run | served | before | full service s | loads | connections at a runner | questions "
    "| datagrams of a return | stale | breaches | CPU ms/call | rig late ms |"
)
RULE = "|" + " --- |" * 12
