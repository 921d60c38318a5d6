"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998): an order that all routers agree on."""

from __future__ import annotations

import math

_MASK = 2**64 - 1


def mix(x: int) -> int:
    """A fixed 64-bit hash, the same at every router."""
    x = ((x + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9) & _MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & _MASK
    return x ^ (x >> 31)


def rank(function: int, worker: int, size: float) -> float:
    """Where a worker stands in a function's order, least first, by the hashes of both; twice the size, twice
    as often the first."""
    x = ((function ^ worker) * 0x94D049BB133111EB) & _MASK
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & _MASK
    return -math.log(((x >> 11) + 1) / 2**53) / size
