"""Load balance metrics: how evenly the load is spread over the workers, by the workers' own call records.

docs/design/spread.md defines the terms. Times are ms. Test runs evaluate the router's decisions by these
metrics; the router does not read them. This module has no state.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from statistics import fmean, pstdev
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from cedarthread.testing.intervals import Interval, intersect_intervals, merge_intervals, subtract_intervals

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

WINDOW_MS = 1000.0  # work and arrivals are averaged over windows of this length
HOTSPOT_RATIO = 3.0  # a hotspot gets more arrivals than this many times its fair share
HOTSPOT_DEVIATIONS = 4.0  # a hotspot exceeds its fair share by this many Poisson standard deviations


class CallRecord(Protocol):
    """One call at one worker; ``worker_model.WorkerCall`` implements this protocol."""

    worker: int
    function: int
    arrived_at_ms: float
    queued_at_ms: float  # when the call started to wait for a slot or core; waits for loads do not count
    started_at_ms: float  # when the execution started
    ended_at_ms: float  # when the worker answered, rejected or lost the call
    remark: str  # "spawn": an instance was loaded for the call; "shed", "spawn_failed": rejected


@dataclass(frozen=True, slots=True)
class WorkerAvailability:
    """The cores of a worker, and the intervals in which the worker was ready."""

    cores: int
    ready_intervals: tuple[Interval, ...]

    def is_ready_throughout(self, start_ms: float, end_ms: float) -> bool:
        """Return whether the worker was ready during the whole interval."""
        return any(
            ready_start_ms <= start_ms and end_ms <= ready_end_ms
            for ready_start_ms, ready_end_ms in self.ready_intervals
        )

    def is_ready_within(self, start_ms: float, end_ms: float) -> bool:
        """Return whether the worker was ready during a part of the interval."""
        return any(
            ready_start_ms < end_ms and start_ms < ready_end_ms
            for ready_start_ms, ready_end_ms in self.ready_intervals
        )


class Hotspot(NamedTuple):
    """A window in which one worker received far more than its share of the arrivals."""

    start_ms: float
    worker_id: int
    arrivals: int
    fair_share: float  # arrivals at all workers in the window, times the worker's part of the cores


@dataclass(frozen=True, slots=True)
class LoadBalanceMetrics:
    """The load balance figures of one run."""

    peak_to_mean: float  # maximum over mean of the workers' work per core; averaged over the windows
    coefficient_of_variation: float  # deviation over mean of the work per core; averaged over the windows
    longest_idle_ms: float  # longest time that a ready worker was empty while a call waited elsewhere
    hotspots: tuple[Hotspot, ...]
    loads_per_1000_calls: float
    excess_loads: int  # loads beyond the number of instances that concurrent calls needed
    call_count: int

    def as_json(self) -> dict[str, Any]:
        """Return the figures under their names in result files."""
        return {
            "peak_to_mean": self.peak_to_mean,
            "variation": self.coefficient_of_variation,
            "idle": self.longest_idle_ms,
            "herds": self.hotspots,
            "loads": self.loads_per_1000_calls,
            "beyond": self.excess_loads,
            "calls": self.call_count,
        }


def measure(
    records: Iterable[CallRecord],
    workers: Mapping[int, WorkerAvailability],
    start_ms: float,
    end_ms: float,
    concurrency: int,
) -> LoadBalanceMetrics:
    """Return the metrics of an interval.

    Args:
        records: the calls at all workers.
        workers: cores and ready intervals, by worker id.
        start_ms: start of the interval.
        end_ms: end of the interval.
        concurrency: calls that one instance executes at the same time.
    """
    present = sorted(
        (record for record in records if record.arrived_at_ms < end_ms and record.ended_at_ms > start_ms),
        key=lambda record: record.arrived_at_ms,
    )
    arrived = [record for record in present if start_ms <= record.arrived_at_ms]
    ratios: list[float] = []
    variations: list[float] = []
    for window in _windows(start_ms, end_ms, WINDOW_MS):
        work = _work_per_core(present, workers, *window)
        if len(work) > 1 and (mean := fmean(work.values())) > 0.0:
            ratios.append(max(work.values()) / mean)
            variations.append(pstdev(work.values()) / mean)
    loads = sum(record.remark == "spawn" for record in arrived)
    idle_times_ms = (
        _longest_idle_ms(worker_id, worker, present, start_ms, end_ms)
        for worker_id, worker in workers.items()
    )
    return LoadBalanceMetrics(
        fmean(ratios) if ratios else 1.0,
        fmean(variations) if variations else 0.0,
        max(idle_times_ms, default=0.0),
        tuple(_hotspots(arrived, workers, start_ms, end_ms)),
        1000.0 * loads / max(1, len(arrived)),
        max(0, loads - _instances_needed(arrived, concurrency)),
        len(arrived),
    )


def work_per_core_by_second(
    records: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], end_ms: float
) -> list[list[float]]:
    """Return the mean calls per core in each second from 0 on, by worker in the order of the worker ids."""
    seconds = math.ceil(end_ms / WINDOW_MS)
    work = {worker_id: [0.0] * seconds for worker_id in workers}
    for record in records:
        last_second = int(min(record.ended_at_ms, end_ms) / WINDOW_MS)
        for second in range(int(record.arrived_at_ms / WINDOW_MS), min(last_second + 1, seconds)):
            inside_ms = min(record.ended_at_ms, (second + 1) * WINDOW_MS) - max(
                record.arrived_at_ms, second * WINDOW_MS
            )
            cores = workers[record.worker].cores
            work[record.worker][second] += max(0.0, inside_ms) / WINDOW_MS / cores
    return [work[worker_id] for worker_id in sorted(work)]


def _windows(start_ms: float, end_ms: float, step_ms: float) -> list[Interval]:
    """Return the windows of ``WINDOW_MS`` that start every ``step_ms`` and end within the interval."""
    count = int((end_ms - start_ms - WINDOW_MS) / step_ms) + 1
    return [(start_ms + index * step_ms, start_ms + index * step_ms + WINDOW_MS) for index in range(count)]


def _work_per_core(
    records: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], start_ms: float, end_ms: float
) -> dict[int, float]:
    """Return the mean calls per core, loading and queued included, of each worker that was always ready."""
    busy_ms = {
        worker_id: 0.0
        for worker_id, worker in workers.items()
        if worker.is_ready_throughout(start_ms, end_ms)
    }
    for record in records:
        if record.worker in busy_ms and record.arrived_at_ms < end_ms and record.ended_at_ms > start_ms:
            busy_ms[record.worker] += min(record.ended_at_ms, end_ms) - max(record.arrived_at_ms, start_ms)
    return {
        worker_id: ms / (end_ms - start_ms) / workers[worker_id].cores for worker_id, ms in busy_ms.items()
    }


def _longest_idle_ms(
    worker_id: int, worker: WorkerAvailability, records: list[CallRecord], start_ms: float, end_ms: float
) -> float:
    """Return the longest time that this worker was ready and empty while a call waited elsewhere."""
    occupied = merge_intervals(
        (record.arrived_at_ms, record.ended_at_ms) for record in records if record.worker == worker_id
    )
    waiting_elsewhere = merge_intervals(
        (record.queued_at_ms, record.started_at_ms)
        for record in records
        if record.worker != worker_id and record.queued_at_ms < record.started_at_ms < math.inf
    )
    ready = [
        (max(ready_start_ms, start_ms), min(ready_end_ms, end_ms))
        for ready_start_ms, ready_end_ms in worker.ready_intervals
    ]
    empty = subtract_intervals(ready, occupied)
    idle = intersect_intervals(empty, waiting_elsewhere)
    return max((idle_end_ms - idle_start_ms for idle_start_ms, idle_end_ms in idle), default=0.0)


def _hotspots(
    arrived: list[CallRecord], workers: Mapping[int, WorkerAvailability], start_ms: float, end_ms: float
) -> Iterator[Hotspot]:
    """Yield the hotspots.

    The windows overlap by half, so that a hotspot across the border of two windows is found as well. A
    hotspot that several windows contain is yielded once.
    """
    last_seen_ms: dict[int, float] = {}
    for window_start_ms, window_end_ms in _windows(start_ms, end_ms, WINDOW_MS / 2):
        arrivals: defaultdict[int, int] = defaultdict(int)
        for record in arrived:
            if window_start_ms <= record.arrived_at_ms < window_end_ms:
                arrivals[record.worker] += 1
        cores = {
            worker_id: worker.cores
            for worker_id, worker in workers.items()
            if worker.is_ready_within(window_start_ms, window_end_ms)
        }
        for worker_id, count in arrivals.items():
            share = sum(arrivals.values()) * cores.get(worker_id, 0) / max(1, sum(cores.values()))
            # With at most HOTSPOT_RATIO equal workers, even all arrivals do not exceed that many shares.
            if len(cores) > HOTSPOT_RATIO and _is_hotspot(count, share):
                if window_start_ms - last_seen_ms.get(worker_id, -math.inf) > WINDOW_MS:
                    yield Hotspot(window_start_ms, worker_id, count, share)
                last_seen_ms[worker_id] = window_start_ms


def _is_hotspot(count: int, share: float) -> bool:
    """Return whether the count is far above the share and more than chance explains.

    One is added to the variance, because four calls at one worker are chance when almost no calls arrive.
    """
    return count > HOTSPOT_RATIO * share and count > share + HOTSPOT_DEVIATIONS * math.sqrt(share + 1.0)


def _instances_needed(arrived: list[CallRecord], concurrency: int) -> int:
    """Return the minimum number of instances for the peak of concurrent calls, summed over the functions."""
    needed = 0
    steps_by_function: defaultdict[int, list[tuple[float, int]]] = defaultdict(list)
    for record in arrived:
        if record.started_at_ms < record.ended_at_ms:
            steps_by_function[record.function] += [(record.started_at_ms, 1), (record.ended_at_ms, -1)]
    for steps in steps_by_function.values():
        running = 0
        peak = 0
        for _, step in sorted(steps):
            running += step
            peak = max(peak, running)
        needed += math.ceil(peak / concurrency)
    return needed
