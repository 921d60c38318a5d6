"""Mass restart: most routers are killed and started again, and must not overload shared services.

Each run is compared with a run of the same arrivals without faults.
"""

from __future__ import annotations

from statistics import fmean
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.messages import MessageType
from cedarthread.testing.cluster.fact_reader import CLASS_VALUE
from cedarthread.testing.cluster.facts import (
    AttemptSent,
    CallAnswered,
    CallSubmitted,
    NoRouterAvailable,
    router_of,
)
from cedarthread.testing.cluster.recordings import (
    CONNECTIONS_PREFIX,
    DISCOVERY_QUERIES,
    LOADS,
    PEER_DATAGRAMS_PREFIX,
)
from cedarthread.testing.cluster.scenario import FaultKind, Scenario, SubjectKind
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.cluster.service_levels import (
    PEAK_WINDOW_MS,
    peak_count,
    time_to_full_service,
    window_sums,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.cluster.result import Result

FLEET_CONFIG = "[sharing]\nperiod = 100\n"
UNDISTURBED = "undisturbed"
DOWNTIME_S = 0.6  # Time from a router's kill to its start; the process needs more time until it serves.
# Latency objective of both classes; a call that is served later does not count.
LATENCY_OBJECTIVE_MS = 1000.0
STEP_MS = 250.0  # Time from the start of one window of served value to the start of the next.
WINDOW_MS = 1000.0  # Length of the windows of served value.
UNDISTURBED_WINDOWS = 8  # Number of windows before the last kill that give the undisturbed share.
LIST_REFRESH_MS = 600.0  # Maximum time until a router has the current list: the time of three queries.
MAX_PEAK_RATIO = 1.5  # Maximum ratio of a peak in 250 ms to the peak of the undisturbed run.
# Connections at one worker in 250 ms that do no harm: each needs some 0.2 ms of the worker's time.
CONNECTION_PEAK_FLOOR = 24
QUERY_PEAK_FLOOR = 1.25  # Queries per router in 250 ms that do no harm: a router queries five times a second.
# Recovery datagrams per router in 250 ms that do no harm: six queries, and answers from both full buckets.
PEER_DATAGRAM_FLOOR = 45
MIN_SERVED_FRACTION = 0.9  # Minimum share of the value before the kill; with less there is no full service.
MAX_RECOVERY_S = 5.0  # Maximum time from the last kill to full service, in the quick form.

ScenarioText = dict[str, object]  # A scenario or a fault, as in scenario files.


def _shared(*, has_store: bool) -> ScenarioText:
    """Return the keys of a scenario in which routers share their state, with or without stores."""
    return {"fleet": FLEET_CONFIG, "declares": "router", "store": has_store}


def quick(seed: int, routers: int = 24) -> Iterator[Scenario]:
    """Return a run without faults, and one of the same arrivals with most routers killed and other faults."""
    last = routers - 1
    most = int(0.8 * routers)
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
    base: ScenarioText = {"seed": seed, "routers": routers, "warm_up": 7.0, "seconds": 12.0}
    base |= _shared(has_store=True)
    yield parse_scenario(base | {"name": UNDISTURBED})
    yield parse_scenario(base | {"name": "quick", "fault": faults})


def full(seed: int, routers: int = 200) -> Iterator[Scenario]:
    """Return runs for each source of recovered state, then runs with faulty disks and crashed workers."""
    size: ScenarioText = {"warm_up": 6.0, "seconds": 26.0, "runners": 40, "functions": 200, "rate": 600.0}
    size |= {"store_at_once": 40, "store_most": 300}
    last = routers - 1
    half = routers // 2
    killed_at_s = 12.0
    kill: ScenarioText = {
        "kind": "kill",
        "at": killed_at_s,
        "until": killed_at_s + DOWNTIME_S,
        "who": "router",
    }
    most = kill | {"who": f"router:0-{int(0.7 * routers) - 1}"}
    thirds = [
        (index * half // 3, (index + 1) * half // 3 - 1, ("older", "flipped", "gone")[index])
        for index in range(3)
    ]
    disk_faults: list[ScenarioText] = [
        {"kind": "disk", "at": killed_at_s - 0.1, "who": f"router:{first}-{end}", "what": what}
        for first, end, what in thirds
    ]
    worker_crash: ScenarioText = {
        "kind": "die",
        "at": killed_at_s,
        "until": killed_at_s + 0.4,
        "who": "runner:0-9",
    }
    pair: ScenarioText = {"who": "router", "to": "router"}
    worse: list[ScenarioText] = [
        worker_crash,
        {"kind": "loss", "figure": 0.2} | pair,
        {"kind": "double", "figure": 0.1} | pair,
        {"kind": "reorder"} | pair,
        {"kind": "hide", "at": killed_at_s, "who": "runner:10", "to": "router"},
        {
            "kind": "stall",
            "at": killed_at_s,
            "until": killed_at_s + 2.0,
            "who": f"router:0-{half}",
            "to": "runner:11",
        },
        {"kind": "clock", "at": killed_at_s - 0.5, "who": f"router:{half}-{last}", "figure": -4000.0},
    ]
    none: ScenarioText = {"seed": seed, "routers": routers} | size
    peers = none | _shared(has_store=False)
    both = none | _shared(has_store=True)
    for name, base, faults in (
        (UNDISTURBED, both, []),
        ("70%, no file", none, [most]),
        ("70%, peers", peers, [most]),
        ("70%, both", both, [most]),
        ("100%, no file", none, [kill]),
        ("100%, peers", peers, [kill]),
        ("100%, both", both, [kill]),
        ("100%, store only", both | {"talk": False}, [kill]),
        ("100%, half of the disks lie", both, [kill, *disk_faults]),
        ("copies lost too, no file", none, [kill, worker_crash]),
        ("copies lost too, both", both, [kill, worker_crash]),
        ("all at once", both, [kill, *disk_faults, *worse]),
    ):
        yield parse_scenario(base | {"name": name, "fault": faults})


class _Submission(NamedTuple):
    at_ms: float
    value: float


def served_value_shares(result: Result) -> list[float]:
    """Return the value served within the latency objective as shares of the submitted value, by window.

    Windows of 1 s contain the calls that were submitted in them. Windows of answers would vary by chance
    alone: a window of 300 calls would lack a share of 0.05 now and then.
    """
    submissions: dict[str, _Submission] = {}
    submitted = [fact for fact in result.facts if isinstance(fact, CallSubmitted | NoRouterAvailable)]
    steps = 1 + int(max((fact.at_ms for fact in submitted), default=0.0) // STEP_MS)
    total_value = [0.0] * steps
    served_value = [0.0] * steps
    for fact in result.facts:
        if fact.at_ms < 0.0:
            continue
        if isinstance(fact, CallSubmitted | NoRouterAvailable):
            request_class = fact.request_class if isinstance(fact, CallSubmitted) else "check"
            submission = _Submission(fact.at_ms, CLASS_VALUE[request_class])
            submissions[fact.call_id] = submission
            total_value[int(fact.at_ms // STEP_MS)] += submission.value
        elif isinstance(fact, CallAnswered):
            if fact.result != "served":
                continue
            submission = submissions[fact.call_id]
            if fact.at_ms - submission.at_ms <= LATENCY_OBJECTIVE_MS:
                served_value[int(submission.at_ms // STEP_MS)] += submission.value
    width = int(WINDOW_MS / STEP_MS)
    return [
        served / max(1.0, total)
        for served, total in zip(
            window_sums(served_value, width), window_sums(total_value, width), strict=True
        )
    ]


def last_kill_s(result: Result) -> float:
    """Return when the last router was killed; 0 if none was."""
    return max((fault.start_s for fault in result.faults if fault.kind == FaultKind.KILL_ROUTER), default=0.0)


def undisturbed_share(result: Result) -> float:
    """Return the mean share in the last windows before the last kill.

    Earlier windows do not count, because a fleet that starts cold serves little.
    """
    shares = served_value_shares(result)
    end_s = last_kill_s(result) or len(shares) * STEP_MS / 1000.0
    last = int((end_s - WINDOW_MS / 1000.0) * 1000.0 / STEP_MS)
    return fmean(shares[max(0, last - UNDISTURBED_WINDOWS) : max(1, last)])


def time_to_recover_s(result: Result) -> float | None:
    """Return the time from the last kill until the share is as before the kill; None if it never is."""
    return time_to_full_service(
        served_value_shares(result), last_kill_s(result), undisturbed_rate=undisturbed_share(result)
    )


def peak_counts(result: Result, since_s: float = 0.0) -> dict[str, int]:
    """Return the peaks in 250 ms after a time, one for each service that restarted routers share."""
    peaks = {
        name: peak_count([at_ms for at_ms in times if at_ms >= 1000.0 * since_s])
        for name, times in result.time_series.items()
    }
    at_workers = [peak for name, peak in peaks.items() if name.startswith(CONNECTIONS_PREFIX)]
    return {
        "loads": peaks.get(LOADS, 0),
        "connections at a runner": max(at_workers, default=0),
        "questions": peaks.get(DISCOVERY_QUERIES, 0),
        "datagrams of a return": peaks.get(f"{PEER_DATAGRAMS_PREFIX}{MessageType.RECOVERY:02x}", 0),
    }


def stale_attempts(result: Result) -> int:
    """Return the number of attempts to a worker that the router's list had lacked for long enough."""
    faults = result.scenario.faults
    hide_faults = [fault for fault in faults if fault.kind is FaultKind.HIDE_WORKER]
    kill_faults = [fault for fault in faults if fault.kind is FaultKind.KILL_ROUTER]
    hidden_at_ms = 1000.0 * max((fault.start_s for fault in hide_faults), default=0.0)
    first_call_at_ms: dict[int, float] = {}  # of a router, since it was killed
    count = 0
    for fact in result.facts:
        if not isinstance(fact, CallSubmitted | AttemptSent):
            continue
        router = router_of(fact.call_id)
        if isinstance(fact, CallSubmitted) and any(
            1000.0 * fault.start_s <= fact.at_ms and fault.subjects.includes(SubjectKind.ROUTER, router)
            for fault in kill_faults
        ):
            first_call_at_ms.setdefault(router, fact.at_ms)
        if not isinstance(fact, AttemptSent):
            continue
        since_ms = max(hidden_at_ms, first_call_at_ms.get(router, 0.0)) + LIST_REFRESH_MS
        count += any(
            since_ms <= fact.sent_at_ms < 1000.0 * fault.end_s
            and fault.subjects.includes(SubjectKind.WORKER, fact.worker)
            and fault.affects_peer(SubjectKind.ROUTER, router)
            for fault in hide_faults
        )
    return count


def peak_floors(result: Result) -> dict[str, float]:
    """Return the peaks that do no harm, even if the peaks of the undisturbed run are lower.

    For loads: the number that the package store serves at full speed, where each lasts the whole load time.
    """
    scenario = result.scenario
    return {
        "loads": scenario.store_full_speed_loads * min(1.0, PEAK_WINDOW_MS / scenario.load_ms),
        "connections at a runner": CONNECTION_PEAK_FLOOR,
        "questions": QUERY_PEAK_FLOOR * scenario.router_count,
        "datagrams of a return": PEER_DATAGRAM_FLOOR * scenario.router_count,
    }


def failings(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """Return the failed checks of a run."""
    failings = list(result.violations)
    if result.is_void:
        failings.append(f"void: the rig itself was {result.lag_ms:.0f} ms late")
    share = undisturbed_share(result)
    if result.scenario_name == UNDISTURBED:
        if share < MIN_SERVED_FRACTION:
            failings.append(f"{share:.2f} of the calls served")
        return failings
    failings += _peak_failings(result, earlier)
    if (count := stale_attempts(result)) > 0:
        failings.append(f"stale: {count} calls went to a runner that the list lacked")
    recovery_s = time_to_recover_s(result)
    if recovery_s is None or share < MIN_SERVED_FRACTION:
        failings.append("full service was not reached")
    elif result.scenario_name == "quick" and recovery_s > MAX_RECOVERY_S:
        failings.append(f"full service {recovery_s:.1f} s after the last death")
    return failings


def _peak_failings(result: Result, earlier: Sequence[Result]) -> list[str]:
    undisturbed = next((other for other in earlier if other.scenario_name == UNDISTURBED), None)
    undisturbed_peaks: dict[str, int] = {}
    if undisturbed is not None:
        undisturbed_peaks = peak_counts(undisturbed, undisturbed.scenario.warm_up_s)
    floors = peak_floors(result)
    failings = []
    for what, peak in peak_counts(result, last_kill_s(result)).items():
        bound = max(MAX_PEAK_RATIO * undisturbed_peaks.get(what, 0), floors[what])
        if peak > bound:
            failings.append(
                f"{peak} {what} in 250 ms, {undisturbed_peaks.get(what, 0)} undisturbed, bound {bound:.0f}"
            )
    return failings


def row(result: Result) -> str:
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


HEAD = (
    "| run | served | before | full service s | loads | connections at a runner | questions "
    "| datagrams of a return | stale | breaches | CPU ms/call | rig late ms |"
)
RULE = "|" + " --- |" * 12
