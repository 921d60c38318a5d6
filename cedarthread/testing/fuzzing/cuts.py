"""Where inputs are cut: a prefix must never pass for the whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random


def sample_cuts(rng: random.Random, data: bytes, max_cuts: int = 12) -> list[int]:
    """Positions to cut at: all of a short input, some of a long one."""
    return list(range(len(data))) if len(data) <= max_cuts else sorted(rng.sample(range(len(data)), max_cuts))
