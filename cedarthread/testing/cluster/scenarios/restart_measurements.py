"""Measurements of a mass restart: time to recover, peaks, and attempts based on an outdated endpoint list."""

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
from cedarthread.testing.cluster.scenario import FaultKind, NodeKind
from cedarthread.testing.cluster.service_levels import (
    PEAK_WINDOW_MS,
    peak_count,
    time_to_full_service,
    window_sums,
)

if TYPE_CHECKING:
    from cedarthread.testing.cluster.result import Result

# Latency objective of both classes; a call that is served later does not count.
LATENCY_OBJECTIVE_MS = 1000.0
STEP_MS = 250.0  # Time from the start of one window of served value to the start of the next.
WINDOW_MS = 1000.0  # Length of the windows of served value.
UNDISTURBED_WINDOWS = 8  # Number of windows before the last kill that give the undisturbed share.
LIST_REFRESH_MS = 600.0  # Maximum time until a router has the current list: three query intervals.
# Connections to one worker in 250 ms that do no harm: each takes some 0.2 ms of the worker's time.
CONNECTION_PEAK_FLOOR = 24
QUERY_PEAK_FLOOR = 1.25  # Queries per router in 250 ms that do no harm: a router queries five times a second.
# Recovery datagrams per router in 250 ms that do no harm: six queries, and the responses that both full
# token buckets of ``recovery/peer_query.py`` allow (complete and busy responses).
PEER_DATAGRAM_FLOOR = 45


class _Submission(NamedTuple):
    at_ms: float
    value: float


def served_value_shares(result: Result) -> list[float]:
    """Return the value served within the latency objective as shares of the submitted value, by window.

    Windows of 1 s count the calls that were submitted in them. Windows that counted the answers received in
    them would vary by chance alone: a window of 300 calls would lack a share of 0.05 now and then.
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
    """Return the mean share of the value that was served in the last windows before the last kill.

    Earlier windows do not count, because a fleet that starts cold serves little.
    """
    shares = served_value_shares(result)
    end_s = last_kill_s(result) or len(shares) * STEP_MS / 1000.0
    last = int((end_s - WINDOW_MS / 1000.0) * 1000.0 / STEP_MS)
    return fmean(shares[max(0, last - UNDISTURBED_WINDOWS) : max(1, last)])


def time_to_recover_s(result: Result) -> float | None:
    """Return the time from the last kill until the served share is stable near the share before the kill.

    None means that it does not recover.
    """
    return time_to_full_service(
        served_value_shares(result), last_kill_s(result), undisturbed_rate=undisturbed_share(result)
    )


def peak_counts(result: Result, since_s: float = 0.0) -> dict[str, int]:
    """Return the peak in 250 ms after a time, for each shared resource on which a restart puts load."""
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
    """Return the number of attempts to a worker that was missing from the router's list for long enough."""
    faults = result.scenario.faults
    hide_faults = [fault for fault in faults if fault.kind is FaultKind.HIDE_WORKER]
    kill_faults = [fault for fault in faults if fault.kind is FaultKind.KILL_ROUTER]
    hidden_at_ms = 1000.0 * max((fault.start_s for fault in hide_faults), default=0.0)
    first_call_at_ms: dict[int, float] = {}  # Time of the first call after a kill, by router number.
    count = 0
    for fact in result.facts:
        if not isinstance(fact, CallSubmitted | AttemptSent):
            continue
        router = router_of(fact.call_id)
        if isinstance(fact, CallSubmitted) and any(
            1000.0 * fault.start_s <= fact.at_ms and fault.targets.includes(NodeKind.ROUTER, router)
            for fault in kill_faults
        ):
            first_call_at_ms.setdefault(router, fact.at_ms)
        if not isinstance(fact, AttemptSent):
            continue
        since_ms = max(hidden_at_ms, first_call_at_ms.get(router, 0.0)) + LIST_REFRESH_MS
        count += any(
            since_ms <= fact.sent_at_ms < 1000.0 * fault.end_s
            and fault.targets.includes(NodeKind.WORKER, fact.worker)
            and fault.affects_peer(NodeKind.ROUTER, router)
            for fault in hide_faults
        )
    return count


def peak_floors(result: Result) -> dict[str, float]:
    """Return the peaks that are accepted even if the peaks of the undisturbed run are lower.

    For loads: the number that the package store serves at full speed, as each lasts the whole load time.
    """
    scenario = result.scenario
    return {
        "loads": scenario.store_full_speed_loads * min(1.0, PEAK_WINDOW_MS / scenario.load_ms),
        "connections at a runner": CONNECTION_PEAK_FLOOR,
        "questions": QUERY_PEAK_FLOOR * scenario.router_count,
        "datagrams of a return": PEER_DATAGRAM_FLOOR * scenario.router_count,
    }
