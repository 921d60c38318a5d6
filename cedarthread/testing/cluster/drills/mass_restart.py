"""The drill of the return: most routers are killed and come back, and what they share must not drown.

All is judged beside a run of the same arrivals in which nothing happens."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import chain
from statistics import fmean

from cedarthread.components.interface import MessageType
from cedarthread.testing.cluster.evaluation import WORTH, Result
from cedarthread.testing.cluster.recordings import peak, time_to_full_service
from cedarthread.testing.cluster.scenario import Scenario, parse

SHARING = "[sharing]\nperiod = 100\n"
CALM = "undisturbed"
AWAY = 0.6  # s that a killed router is gone at least; its process takes some more to start
WANTED = 1000.0  # ms in which a call must be served to count: the goal of both classes
STEP, WINDOW = 250.0, 1000.0  # ms
HEARD = 600.0  # ms in which a router must have the list that its resolver gives: three of its questions
TIMES = 1.5  # of the undisturbed peak in 250 ms
RUNNER = 24  # connections at one runner in 250 ms that are no harm: some 0.2 ms of its time each
PEER = 45  # datagrams of a return for each router in 250 ms: six questions, answers by both buckets when full
SERVED = 0.9  # of the calls, where nothing happens: else there is no full service to come back to
QUICK_FULL = 5.0  # s from the last death to full service, in the quick form

Told = dict[str, object]


def _base(seed: int, routers: int, disk: bool, fleet: bool = True) -> Told:
    given: Told = {"fleet": SHARING, "declares": "router", "store": disk} if fleet else {}
    return {"seed": seed, "routers": routers} | given


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """The same arrivals undisturbed, and with most routers killed among several faults."""
    last, most = routers - 1, int(0.8 * routers)
    faults: list[Told] = [
        {"kind": "loss", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "double", "at": 0.0, "who": "router", "to": "router", "figure": 0.1},
        {"kind": "reorder", "at": 0.0, "who": "router", "to": "router"},
        {"kind": "kill", "at": 10.0, "until": 10.0 + AWAY, "who": f"router:0-{most - 1}"},
        {"kind": "cut", "at": 9.0, "until": 11.5, "who": "router:0-3", "to": f"router:{most}-{last}"},
        {"kind": "stall", "at": 10.5, "until": 12.0, "who": "router:4-5", "to": "runner:3"},
        {"kind": "die", "at": 10.0, "until": 10.4, "who": "runner:0-1"},
        {"kind": "hide", "at": 10.2, "who": "runner:2", "to": "router"},
        {"kind": "clock", "at": 9.5, "who": "router:6-8", "figure": -4000.0},
        {"kind": "disk", "at": 9.9, "who": "router:9-11", "what": "older"},
    ]
    base = _base(seed, routers, disk=True) | {"warm_up": 7.0, "seconds": 12.0}
    yield parse(base | {"name": CALM})
    yield parse(base | {"name": "quick", "fault": faults})


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """What is remembered, in turn; then disks that lie, and runners that lose their copies too."""
    size: Told = {"warm_up": 6.0, "seconds": 26.0, "runners": 40, "functions": 200, "rate": 600.0}
    size |= {"store_at_once": 40, "store_most": 300}
    last, half, death = routers - 1, routers // 2, 12.0
    kill: Told = {"kind": "kill", "at": death, "until": death + AWAY, "who": "router"}
    most = kill | {"who": f"router:0-{int(0.7 * routers) - 1}"}
    parts = [(n * half // 3, (n + 1) * half // 3 - 1, ("older", "flipped", "gone")[n]) for n in range(3)]
    lies: list[Told] = [
        {"kind": "disk", "at": death - 0.1, "who": f"router:{a}-{b}", "what": lie} for a, b, lie in parts
    ]
    anew: Told = {"kind": "die", "at": death, "until": death + 0.4, "who": "runner:0-9"}
    pair: Told = {"who": "router", "to": "router"}
    worse: list[Told] = [
        anew,
        {"kind": "loss", "figure": 0.2} | pair,
        {"kind": "double", "figure": 0.1} | pair,
        {"kind": "reorder"} | pair,
        {"kind": "hide", "at": death, "who": "runner:10", "to": "router"},
        {"kind": "stall", "at": death, "until": death + 2.0, "who": f"router:0-{half}", "to": "runner:11"},
        {"kind": "clock", "at": death - 0.5, "who": f"router:{half}-{last}", "figure": -4000.0},
    ]
    none, peers, both = (_base(seed, routers, *kind) | size for kind in ((False, False), (False,), (True,)))
    yield parse(both | {"name": CALM})
    yield parse(none | {"name": "70%, no file", "fault": [most]})
    yield parse(peers | {"name": "70%, peers", "fault": [most]})
    yield parse(both | {"name": "70%, both", "fault": [most]})
    yield parse(none | {"name": "100%, no file", "fault": [kill]})
    yield parse(peers | {"name": "100%, peers", "fault": [kill]})
    yield parse(both | {"name": "100%, both", "fault": [kill]})
    yield parse(both | {"name": "100%, store only", "talk": False, "fault": [kill]})
    yield parse(both | {"name": "100%, half of the disks lie", "fault": [kill, *lies]})
    yield parse(none | {"name": "copies lost too, no file", "fault": [kill, anew]})
    yield parse(both | {"name": "copies lost too, both", "fault": [kill, anew]})
    yield parse(both | {"name": "all at once", "fault": [kill, *lies, *worse]})


# What the books show.


def shares(result: Result) -> list[float]:
    """Worth served in the wanted time, of all that was asked, by windows of 1 s of asking.

    Not by when it was answered: chance alone has a window of 300 calls lack 0.05 now and then."""
    asked: dict[str, tuple[float, float]] = {}
    end = max((at for at, kind, *_ in result.facts if kind in ("taken", "no router")), default=0.0)
    every, good = ([0.0] * (1 + int(end // STEP)) for _ in range(2))
    for at, kind, name, *more in result.facts:
        if at < 0.0 or kind not in ("taken", "no router", "answered"):
            continue
        if kind != "answered":
            asked[name] = at, WORTH[more[0]] if more else WORTH["check"]
            every[int(at // STEP)] += asked[name][1]
        elif more[0] == "served" and at - asked[name][0] <= WANTED:
            good[int(asked[name][0] // STEP)] += asked[name][1]
    wide = int(WINDOW / STEP)
    return [
        sum(good[n : n + wide]) / max(1.0, sum(every[n : n + wide])) for n in range(len(every) - wide + 1)
    ]


def death(result: Result) -> float:
    """The last one of routers, s."""
    return max((at for kind, at, _ in result.faults if kind == "kill"), default=0.0)


def before(result: Result) -> float:
    """The mean share in the last windows before the last death: a fleet that starts cold serves little."""
    last = int(((death(result) or len(shares(result)) * STEP / 1000.0) - 1.0) * 1000.0 / STEP)
    return fmean(shares(result)[max(0, last - 8) : max(1, last)])


def till_full(result: Result) -> float | None:
    """Seconds from the last death to full service, which is that of before."""
    return time_to_full_service(shares(result), death(result), before=before(result))


def peaks(result: Result, since: float = 0.0) -> dict[str, int]:
    """The most in 250 ms from a time on, s: loads, connections at the worst runner, questions."""
    told = {name: peak([at for at in times if at >= 1000.0 * since]) for name, times in result.times.items()}
    at_runner = [most for name, most in told.items() if name.startswith("connections:")]
    return {
        "loads": told.get("loads", 0),
        "connections at a runner": max(at_runner, default=0),
        "questions": told.get("questions", 0),
        "datagrams of a return": told.get(f"peers:{MessageType.RECOVERY:02x}", 0),
    }


def stale(result: Result) -> int:
    """Calls that were sent to a runner which the router's list had lacked for long enough."""
    hides = [fault for fault in result.played.faults if fault.kind == "hide"]
    kills = [fault for fault in result.played.faults if fault.kind == "kill"]
    first: dict[int, float] = {}  # when a router took its first call in this life, ms
    found = 0
    for at, kind, name, *more in result.facts:
        router = int(name[:4], 16)
        if kind == "taken" and any(1000.0 * one.at <= at and one.who.has("router", router) for one in kills):
            first.setdefault(router, at)
        if kind != "handed":
            continue
        since = max(1000.0 * max((one.at for one in hides), default=0.0), first.get(router, 0.0)) + HEARD
        found += any(
            since <= more[1] < 1000.0 * one.until
            and one.who.has("runner", more[0])
            and one.to is not None
            and one.to.has("router", router)
            for one in hides
        )
    return found


def floors(result: Result) -> dict[str, float]:
    """Peaks that are no harm however few there are on other days.

    Loads: as many as the store serves at full speed, each of them taking its whole time."""
    of = result.played
    return {
        "loads": of.store_at_once * min(1.0, 250.0 / of.load),
        "connections at a runner": RUNNER,
        "questions": 1.25 * of.routers,  # each asks five times a second
        "datagrams of a return": PEER * of.routers,
    }


def failings(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """What a run shows that must not be."""
    found = list(result.breaches)
    if result.void:
        found.append(f"void: the rig itself was {result.late:.0f} ms late")
    if result.scenario == CALM:
        return found if before(result) >= SERVED else [*found, f"{before(result):.2f} of the calls served"]
    calm = next((one for one in earlier if one.scenario == CALM), None)
    usual, least = peaks(calm, calm.played.warm_up) if calm is not None else {}, floors(result)
    for what, most in peaks(result, death(result)).items():
        bound = max(TIMES * usual.get(what, 0), least[what])
        if most > bound:
            found.append(f"{most} {what} in 250 ms, {usual.get(what, 0)} undisturbed, bound {bound:.0f}")
    if (calls := stale(result)) > 0:
        found.append(f"stale: {calls} calls went to a runner that the list lacked")
    full = till_full(result)
    if full is None or before(result) < SERVED:
        found.append("full service was not reached")
    elif result.scenario == "quick" and full > QUICK_FULL:
        found.append(f"full service {full:.1f} s after the last death")
    return found


def row(result: Result) -> str:
    """A run as a line of a Markdown table."""
    full, last = till_full(result), death(result)
    most = peaks(result, last or result.played.warm_up)
    told = "never" if full is None else f"{full:.2f}"
    cells = [result.scenario, f"{result.served:.3f}", f"{before(result):.3f}", told]
    cells += [str(one) for one in chain(most.values(), (stale(result), len(result.breaches)))]
    return "| " + " | ".join([*cells, f"{result.cpu:.2f}", f"{result.late:.0f}"]) + " |"


HEAD = (
    "| run | served | before | full service s | loads | connections at a runner | questions "
    "| datagrams of a return | stale | breaches | CPU ms/call | rig late ms |"
)
RULE = "|" + " --- |" * 12
