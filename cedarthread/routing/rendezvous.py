"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998): an order that all routers agree on."""

from __future__ import annotations

import math

_MASK = 2**64 - 1


def hash64(x: int) -> int:
    """A fixed 64-bit hash, the same at every router."""
    x = ((x + 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9) & _MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & _MASK
    return x ^ (x >> 31)


def rendezvous_score(function_hash: int, worker_hash: int, weight: float) -> float:
    """Where a worker stands in a function's order, least first, by the hashes of both; twice the size, twice
    as often the first."""
    x = ((function_hash ^ worker_hash) * 0x94D049BB133111EB) & _MASK
    x = ((x ^ (x >> 29)) * 0xBF58476D1CE4E5B9) & _MASK
    return -math.log(((x >> 11) + 1) / 2**53) / weight
