"""Selection of the positions at which a target truncates an input.

A parser must never accept a truncated input as complete.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def sample_truncation_points(rng: random.Random, data: bytes, max_points: int = 12) -> list[int]:
    """Return sorted positions to truncate at: all positions of a short input, a sample of a long one."""
    return (
        list(range(len(data)))
        if len(data) <= max_points
        else sorted(rng.sample(range(len(data)), max_points))
    )
