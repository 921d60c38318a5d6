"""How evenly load lies on the workers, from their own books. The terms stand in docs/design/spread.md.

Times in ms. What is measured here is never read by a decision: it is the figure that decisions are judged by.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from statistics import fmean, pstdev
from typing import Protocol

WINDOW_MS = 1000.0  # ms
HOTSPOT_RATIO, HOTSPOT_DEVIATIONS = (
    3.0,
    4.0,
)  # times its share, and standard deviations past it, at which a worker gets a herd


class CallRecord(Protocol):
    """One call at one worker."""

    runner: int
    function: int
    at: float  # when it came
    waits: float  # since when it waited for a lane or a core, and not for a load
    began: float  # when it began to run
    ended: float  # when it left
    note: str  # "spawn": a copy was loaded for it; "shed", "spawn_failed": not taken in


@dataclass(frozen=True, slots=True)
class WorkerAvailability:
    """A worker: its cores, and from when to when it was ready."""

    cores: int
    ready_intervals: tuple[tuple[float, float], ...]

    def is_ready_throughout(self, begin: float, end: float) -> bool:
        """Was it ready all the time between?"""
        return any(at <= begin and end <= until for at, until in self.ready_intervals)


@dataclass(frozen=True, slots=True)
class LoadBalanceMetrics:
    """The figures of one run."""

    peak_to_mean: float  # of held work a core, by windows
    variation: float  # standard deviation of it over its mean, by windows
    idle: float  # ms that a ready worker held nothing while a call waited elsewhere, the longest
    herds: tuple[tuple[float, int, int, float], ...]  # when, worker, calls that came, its share
    loads: float  # for 1,000 calls
    beyond: int  # loads beyond what the functions' calls needed at once
    calls: int


def measure(
    stays: Iterable[CallRecord],
    workers: Mapping[int, WorkerAvailability],
    begin: float,
    end: float,
    concurrency: int,
) -> LoadBalanceMetrics:
    """The figures of what came between ``begin`` and ``end``; ``lanes``: calls that a copy serves at once."""
    inside = sorted((s for s in stays if s.at < end and s.ended > begin), key=lambda s: s.at)
    came = [s for s in inside if begin <= s.at]
    ratios, spreads = [], []
    for window in _windows(begin, end, WINDOW_MS):
        held = _work_per_core(inside, workers, *window)
        if len(held) > 1 and (mean := fmean(held.values())) > 0.0:
            ratios.append(max(held.values()) / mean)
            spreads.append(pstdev(held.values()) / mean)
    loads = sum(s.note == "spawn" for s in came)
    return LoadBalanceMetrics(
        fmean(ratios) if ratios else 1.0,
        fmean(spreads) if spreads else 0.0,
        max(
            (_longest_idle_ms(number, worker, inside, begin, end) for number, worker in workers.items()),
            default=0.0,
        ),
        tuple(_hotspots(came, workers, begin, end)),
        1000.0 * loads / max(1, len(came)),
        max(0, loads - _instances_needed(came, concurrency)),
        len(came),
    )


def work_per_core_by_second(
    stays: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], end: float
) -> list[list[float]]:
    """Held work a core of each worker, by the second from 0 on."""
    held = {number: [0.0] * math.ceil(end / WINDOW_MS) for number in workers}
    for stay in stays:
        for second in range(
            int(stay.at / WINDOW_MS), min(int(min(stay.ended, end) / WINDOW_MS) + 1, len(held[0]))
        ):
            inside = min(stay.ended, (second + 1) * WINDOW_MS) - max(stay.at, second * WINDOW_MS)
            held[stay.runner][second] += max(0.0, inside) / WINDOW_MS / workers[stay.runner].cores
    return [held[number] for number in sorted(held)]


def _windows(begin: float, end: float, step: float) -> list[tuple[float, float]]:
    return [
        (begin + n * step, begin + n * step + WINDOW_MS)
        for n in range(int((end - begin - WINDOW_MS) / step) + 1)
    ]


def _work_per_core(
    stays: Iterable[CallRecord], workers: Mapping[int, WorkerAvailability], begin: float, end: float
) -> dict[int, float]:
    """Mean held work a core, of each worker that was ready all the time."""
    held = {number: 0.0 for number, worker in workers.items() if worker.is_ready_throughout(begin, end)}
    for stay in stays:
        if stay.runner in held and stay.at < end and stay.ended > begin:
            held[stay.runner] += min(stay.ended, end) - max(stay.at, begin)
    return {number: sum_ / (end - begin) / workers[number].cores for number, sum_ in held.items()}


def _longest_idle_ms(
    number: int, worker: WorkerAvailability, stays: list[CallRecord], begin: float, end: float
) -> float:
    """The longest time in which this one held nothing while, all the time, some call waited elsewhere."""
    own = _merge_intervals((s.at, s.ended) for s in stays if s.runner == number)
    waits = _merge_intervals(
        (s.waits, s.began) for s in stays if s.runner != number and s.waits < s.began < math.inf
    )
    ready = [(max(at, begin), min(until, end)) for at, until in worker.ready_intervals]
    free = _subtract_intervals(ready, own)
    return max((until - at for at, until in _intersect_intervals(free, waits)), default=0.0)


def _merge_intervals(spans: Iterable[tuple[float, float]]) -> list[tuple[float, float]]:
    whole: list[tuple[float, float]] = []
    for at, until in sorted(span for span in spans if span[0] < span[1]):
        if whole and at <= whole[-1][1]:
            whole[-1] = (whole[-1][0], max(whole[-1][1], until))
        else:
            whole.append((at, until))
    return whole


def _subtract_intervals(
    spans: list[tuple[float, float]], taken: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    """What is in ``spans`` and not in ``taken``."""
    left: list[tuple[float, float]] = []
    for at, until in spans:
        for begin, end in taken:
            if end <= at or begin >= until:
                continue
            if begin > at:
                left.append((at, begin))
            at = end
        if at < until:
            left.append((at, until))
    return left


def _intersect_intervals(
    one: list[tuple[float, float]], other: list[tuple[float, float]]
) -> list[tuple[float, float]]:
    """What is in both, by one pass over the two."""
    found, a, b = [], 0, 0
    while a < len(one) and b < len(other):
        at, until = max(one[a][0], other[b][0]), min(one[a][1], other[b][1])
        if at < until:
            found.append((at, until))
        if one[a][1] < other[b][1]:
            a += 1
        else:
            b += 1
    return found


def _hotspots(
    came: list[CallRecord], workers: Mapping[int, WorkerAvailability], begin: float, end: float
) -> Iterable[tuple[float, int, int, float]]:
    """Herds, in windows that overlap by half: one that straddles a bound is seen too."""
    last: dict[int, float] = {}
    for at, until in _windows(begin, end, WINDOW_MS / 2):
        counts: defaultdict[int, int] = defaultdict(int)
        for stay in came:
            if at <= stay.at < until:
                counts[stay.runner] += 1
        ready = {
            n: w.cores for n, w in workers.items() if any(a < until and at < u for a, u in w.ready_intervals)
        }
        for number, count in counts.items():
            share = sum(counts.values()) * ready.get(number, 0) / max(1, sum(ready.values()))
            if (
                count > HOTSPOT_RATIO * share
                and count > share + HOTSPOT_DEVIATIONS * math.sqrt(share + 1.0)
                and len(ready) > HOTSPOT_RATIO
            ):
                if at - last.get(number, -math.inf) > WINDOW_MS:
                    yield at, number, count, share
                last[number] = at


def _instances_needed(came: list[CallRecord], concurrency: int) -> int:
    """Copies that the functions' calls took at once at most, by the fewest."""
    needed = 0
    by_function: defaultdict[int, list[tuple[float, int]]] = defaultdict(list)
    for stay in came:
        if stay.began < stay.ended:
            by_function[stay.function] += [(stay.began, 1), (stay.ended, -1)]
    for steps in by_function.values():
        out = most = 0
        for _, step in sorted(steps):
            out += step
            most = max(most, out)
        needed += math.ceil(most / concurrency)
    return needed
