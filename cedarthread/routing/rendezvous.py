"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998): all routers compute the same worker order."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.routing.records import WorkerRecord

_MASK = 2**64 - 1
_GOLDEN_GAMMA = 0x9E3779B97F4A7C15  # this and the two multipliers are the constants of SplitMix64
_MULTIPLIER_1 = 0xBF58476D1CE4E5B9
_MULTIPLIER_2 = 0x94D049BB133111EB
_FLOAT_BITS = 53  # mantissa bits of a double: the upper hash bits are mapped to the interval (0, 1]


def hash64(value: int) -> int:
    """Return a fixed 64-bit hash, the same at every router, by SplitMix64 (Steele, Lea and Flood, 2014)."""
    mixed = ((value + _GOLDEN_GAMMA) * _MULTIPLIER_1) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * _MULTIPLIER_2) & _MASK
    return mixed ^ (mixed >> 31)


def rendezvous_score(function_hash: int, worker_hash: int, weight: float) -> float:
    """Return the sort key of a worker for a function; twice the weight makes it first twice as often."""
    mixed = ((function_hash ^ worker_hash) * _MULTIPLIER_2) & _MASK
    mixed = ((mixed ^ (mixed >> 29)) * _MULTIPLIER_1) & _MASK
    return -math.log(((mixed >> (64 - _FLOAT_BITS)) + 1) / 2**_FLOAT_BITS) / weight


def placement_order(
    function_hash: int, workers: Iterable[WorkerRecord], *, is_weighted: bool
) -> list[WorkerRecord]:
    """Return all workers in the function's order, weighted by the endpoint list if ``is_weighted``."""

    def score(worker: WorkerRecord) -> float:
        weight = worker.endpoint.weight if is_weighted and worker.endpoint.weight else 1.0
        return rendezvous_score(function_hash, worker.hash, weight)

    return sorted(workers, key=score)
