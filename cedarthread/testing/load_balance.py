"""Load balance metrics: how evenly load lies on the workers, from the workers' own call records.

The terms are defined in docs/design/spread.md. Times are ms. No decision reads these figures: they are what
the decisions are judged by.
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

WINDOW_MS = 1000.0  # over which work and arrivals are averaged
HOTSPOT_RATIO = 3.0  # times its fair share of the arrivals that makes a worker a hotspot
HOTSPOT_DEVIATIONS = 4.0  # and standard deviations of a Poisson count beyond it, so that chance is none


class CallRecord(Protocol):
    """One call at one worker."""

    worker: int
    function: int
    arrived_at_ms: float  # arrival
    queued_at_ms: float  # since when it waited for a free slot or core, and not for a load
    started_at_ms: float  # of its execution
    ended_at_ms: float  # when it left the worker
    remark: str  # "spawn": an instance was loaded for it; "shed", "spawn_failed": not accepted


@dataclass(frozen=True, slots=True)
class WorkerAvailability:
    """A worker's cores, and the intervals in which it was ready."""

    cores: int
    ready_intervals: tuple[Interval, ...]

    def is_ready_throughout(self, begin: float, end: float) -> bool:
        """Whether it was ready all the time between."""
        return any(
            ready_begin <= begin and end <= ready_end for ready_begin, ready_end in self.ready_intervals
        )

    def is_ready_within(self, begin: float, end: float) -> bool:
        """Whether it was ready at any time between."""
        return any(ready_begin < end and begin < ready_end for ready_begin, ready_end in self.ready_intervals)


class Hotspot(NamedTuple):
    """A window in which one worker got far more than its share of the arrivals."""

    begin_ms: float
    worker_id: int
    arrivals: int
    fair_share: float  # of all arrivals, by its cores


@dataclass(frozen=True, slots=True)
class LoadBalanceMetrics:
    """The figures of one run."""

    peak_to_mean: float  # of the work per core, as the mean over windows
    coefficient_of_variation: float  # of the work per core, as the mean over windows
    longest_idle_ms: float  # that a ready worker was empty while a call waited elsewhere
    hotspots: tuple[Hotspot, ...]
    loads_per_1000_calls: float
    excess_loads: int  # beyond what the functions' calls needed at the same time
    call_count: int

    def as_json(self) -> dict[str, Any]:
        """The figures under the names that result files have."""
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
    begin: float,
    end: float,
    concurrency: int,
) -> LoadBalanceMetrics:
    """The figures of the time between; `concurrency`: calls that one instance executes at the same time."""
    present = sorted(
        (record for record in records if record.arrived_at_ms < end and record.ended_at_ms > begin),
        key=lambda record: record.arrived_at_ms,
    )
    arrived = [record for record in present if begin <= record.arrived_at_ms]
    ratios: list[float] = []
    variations: list[float] = []
    for window in _windows(begin, end, WINDOW_MS):
        work = _work_per_core(present, workers, *window)
        if len(work) > 1 and (mean := fmean(work.values())) > 0.0:
            ratios.append(max(work.values()) / mean)
            variations.append(pstdev(work.values()) / mean)
    loads = sum(record.remark == "spawn" for record in arrived)
    idle_times_ms = (
        _longest_idle_ms(worker_id, worker, present, begin, end) for worker_id, worker in workers.items()
    )
    return LoadBalanceMetrics(
        fmean(ratios) if ratios else 1.0,
        fmean(variations) if variations else 0.0,
        max(idle_times_ms, default=0.0),
        tuple(_hotspots(arrived, workers, begin, end)),
        1000.0 * loads / max(1, len(arrived)),
        max(0, loads - _instances_needed(arrived, concurrency)),
        len(arrived),
    )


def work_per_core_by_second(
    records: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], end: float
) -> list[list[float]]:
    """Mean calls per core at each worker, by the second from 0 on; workers in the order of their ids."""
    seconds = math.ceil(end / WINDOW_MS)
    work = {worker_id: [0.0] * seconds for worker_id in workers}
    for record in records:
        last_second = int(min(record.ended_at_ms, end) / WINDOW_MS)
        for second in range(int(record.arrived_at_ms / WINDOW_MS), min(last_second + 1, seconds)):
            inside_ms = min(record.ended_at_ms, (second + 1) * WINDOW_MS) - max(
                record.arrived_at_ms, second * WINDOW_MS
            )
            cores = workers[record.worker].cores
            work[record.worker][second] += max(0.0, inside_ms) / WINDOW_MS / cores
    return [work[worker_id] for worker_id in sorted(work)]


def _windows(begin: float, end: float, step_ms: float) -> list[Interval]:
    """Windows of `WINDOW_MS` that begin every `step_ms`."""
    count = int((end - begin - WINDOW_MS) / step_ms) + 1
    return [(begin + index * step_ms, begin + index * step_ms + WINDOW_MS) for index in range(count)]


def _work_per_core(
    records: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], begin: float, end: float
) -> dict[int, float]:
    """Mean calls per core, loads and queues included, of each worker that was ready all the time."""
    busy_ms = {
        worker_id: 0.0 for worker_id, worker in workers.items() if worker.is_ready_throughout(begin, end)
    }
    for record in records:
        if record.worker in busy_ms and record.arrived_at_ms < end and record.ended_at_ms > begin:
            busy_ms[record.worker] += min(record.ended_at_ms, end) - max(record.arrived_at_ms, begin)
    return {worker_id: ms / (end - begin) / workers[worker_id].cores for worker_id, ms in busy_ms.items()}


def _longest_idle_ms(
    worker_id: int, worker: WorkerAvailability, records: list[CallRecord], begin: float, end: float
) -> float:
    """The longest time in which this worker was empty while, all the time, some call waited elsewhere."""
    occupied = merge_intervals(
        (record.arrived_at_ms, record.ended_at_ms) for record in records if record.worker == worker_id
    )
    waiting_elsewhere = merge_intervals(
        (record.queued_at_ms, record.started_at_ms)
        for record in records
        if record.worker != worker_id and record.queued_at_ms < record.started_at_ms < math.inf
    )
    ready = [(max(at, begin), min(until, end)) for at, until in worker.ready_intervals]
    empty = subtract_intervals(ready, occupied)
    idle = intersect_intervals(empty, waiting_elsewhere)
    return max((until - at for at, until in idle), default=0.0)


def _hotspots(
    arrived: list[CallRecord], workers: Mapping[int, WorkerAvailability], begin: float, end: float
) -> Iterator[Hotspot]:
    """Hotspots, in windows that overlap by half: one that straddles a bound is seen too, and given once."""
    last_seen_ms: dict[int, float] = {}
    for window_begin, window_end in _windows(begin, end, WINDOW_MS / 2):
        arrivals: defaultdict[int, int] = defaultdict(int)
        for record in arrived:
            if window_begin <= record.arrived_at_ms < window_end:
                arrivals[record.worker] += 1
        cores = {
            worker_id: worker.cores
            for worker_id, worker in workers.items()
            if worker.is_ready_within(window_begin, window_end)
        }
        for worker_id, count in arrivals.items():
            share = sum(arrivals.values()) * cores.get(worker_id, 0) / max(1, sum(cores.values()))
            if len(cores) > HOTSPOT_RATIO and _is_hotspot(count, share):
                if window_begin - last_seen_ms.get(worker_id, -math.inf) > WINDOW_MS:
                    yield Hotspot(window_begin, worker_id, count, share)
                last_seen_ms[worker_id] = window_begin


def _is_hotspot(count: int, share: float) -> bool:
    """Far above the share, and more than chance explains.

    One is added to the variance: where next to no calls arrive, four at one worker are chance.
    """
    return count > HOTSPOT_RATIO * share and count > share + HOTSPOT_DEVIATIONS * math.sqrt(share + 1.0)


def _instances_needed(arrived: list[CallRecord], concurrency: int) -> int:
    """The fewest instances that suffice for the most calls that each function had running at once."""
    needed = 0
    steps_by_function: defaultdict[int, list[tuple[float, int]]] = defaultdict(list)
    for record in arrived:
        if record.started_at_ms < record.ended_at_ms:
            steps_by_function[record.function] += [(record.started_at_ms, 1), (record.ended_at_ms, -1)]
    for steps in steps_by_function.values():
        running = peak = 0
        for _, step in sorted(steps):
            running += step
            peak = max(peak, running)
        needed += math.ceil(peak / concurrency)
    return needed
