"""Evaluation of a run: merges the recordings of all processes in order of time and computes the result."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.testing.cluster.arrivals import Arrival, generate_arrivals
from cedarthread.testing.cluster.fact_reader import FactReader
from cedarthread.testing.cluster.policy_replay import POLICIES, PolicyReplay
from cedarthread.testing.cluster.recordings import Recording, merge_recordings
from cedarthread.testing.cluster.result import DatagramCounts, FaultSpan, Result
from cedarthread.testing.cluster.scenario import FaultKind, NodeKind, Scenario
from cedarthread.testing.cluster.service_levels import peak_count, value_rates
from cedarthread.testing.load_balance import (
    LoadBalanceMetrics,
    WorkerAvailability,
    measure,
    work_per_core_by_second,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.testing.cluster.facts import RouterStarted
    from cedarthread.testing.invariants import InvariantChecker

LATENCY_PERCENTILES = (50, 90, 99, 99.9)
LAG_PERCENTILE = 0.99


def evaluate(
    scenario: Scenario,
    recordings: Sequence[Recording],
    cpu_s: float,
    exit_codes: Mapping[int, int],
    router_starts: Sequence[RouterStarted] = (),
) -> Result:
    """Return the result of a run.

    Args:
        scenario: The scenario of the run.
        recordings: The recordings of all fake processes, the workers' first.
        cpu_s: CPU time of all routers after the warm-up.
        exit_codes: Unexpected exit codes, neither 0 nor that of SIGKILL, by router number.
        router_starts: Starts of routers after the first start of each.
    """
    merged = merge_recordings(recordings)
    workers = _worker_availability(scenario)
    start_ms = 1000.0 * scenario.warm_up_s
    end_ms = 1000.0 * scenario.end_s
    facts = sorted(
        chain(router_starts, *(recording.facts for recording in recordings)), key=lambda fact: fact.at_ms
    )
    reader = FactReader(scenario)
    arrivals = generate_arrivals(scenario)
    _check_datagrams(merged, reader.checker)
    reader.read(facts)
    reader.checker.check_all_answered(end_ms)
    lags_ms = [_percentile(recording.lags_ms, LAG_PERCENTILE) for recording in recordings]
    time_series = merged.time_series()
    worker_calls = sorted(merged.worker_calls, key=lambda call: call.arrived_at_ms)
    unexpected_ends = [f"router {number} exited with code {code}" for number, code in exit_codes.items()]
    return Result(
        scenario_name=scenario.name,
        seed=scenario.seed,
        load_balance=measure(worker_calls, workers, start_ms, end_ms, scenario.concurrency),
        replayed=_replay_policies(scenario, arrivals, workers),
        answers=dict(reader.answers),
        violations=[*map(str, reader.checker.violations), *unexpected_ends],
        lag_ms=max(lags_ms),
        cpu_ms_per_call=1000.0 * cpu_s / max(1, sum(arrival.at_ms >= start_ms for arrival in arrivals)),
        peer_bytes_per_second=_peer_bytes(merged, start_ms) / scenario.router_count / scenario.duration_s,
        datagrams=DatagramCounts(merged.datagram_counts["passed"], merged.datagram_counts["dropped"]),
        work_per_core=work_per_core_by_second(worker_calls, workers, end_ms),
        faults=[FaultSpan(fault.kind, fault.start_s, fault.end_s) for fault in scenario.faults],
        latency_ms=reader.latency_ms(LATENCY_PERCENTILES),
        value_rates=value_rates(reader.served, end_ms),
        lags_ms=lags_ms,
        peak_counts={
            name: peak_count([at_ms for at_ms in times if at_ms >= start_ms])
            for name, times in time_series.items()
        },
        answers_by_tenant={tenant: dict(counts) for tenant, counts in reader.answers_by_tenant.items()},
        time_series=time_series,
        placements=sorted(merged.placements),
        facts=facts,
        scenario=scenario,
    )


def _check_datagrams(recording: Recording, checker: InvariantChecker) -> None:
    for datagram in recording.peer_datagrams:
        resource = f"length in bytes of a datagram of router {datagram.sender}"
        checker.check_remaining(datagram.at_ms, resource, datagram.length, MAX_DATAGRAM_BYTES)


def _replay_policies(
    scenario: Scenario, arrivals: list[Arrival], workers: Mapping[int, WorkerAvailability]
) -> dict[str, LoadBalanceMetrics]:
    """Return the load balance of each policy for the same arrivals."""
    start_ms = 1000.0 * scenario.warm_up_s
    end_ms = 1000.0 * scenario.end_s
    return {
        policy: measure(
            PolicyReplay(scenario, policy).run(arrivals), workers, start_ms, end_ms, scenario.concurrency
        )
        for policy in POLICIES
    }


def _peer_bytes(recording: Recording, since_ms: float) -> int:
    return sum(datagram.length for datagram in recording.peer_datagrams if datagram.at_ms >= since_ms)


def _percentile(values: Sequence[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))] if values else 0.0


def _worker_availability(scenario: Scenario) -> dict[int, WorkerAvailability]:
    end_ms = 1000.0 * scenario.end_s
    availability = {}
    for number in range(scenario.worker_count):
        outages = [
            fault
            for fault in scenario.faults
            if fault.kind in (FaultKind.CRASH_WORKER, FaultKind.SILENCE_WORKER)
            and fault.targets.includes(NodeKind.WORKER, number)
        ]
        ready = []
        ready_since_ms = 0.0
        for outage in sorted(outages, key=lambda fault: fault.start_s):
            ready.append((ready_since_ms, 1000.0 * outage.start_s))
            ready_since_ms = 1000.0 * outage.end_s
        availability[number] = WorkerAvailability(
            scenario.cores_per_worker, (*ready, (ready_since_ms, end_ms))
        )
    return availability
