"""Checks of numbers that come from outside: settings, endpoint lists, requests."""

from __future__ import annotations

import math
from typing import Any

# No valid number is larger: added to a clock in ms, more could leave it as it is, and a timer never ends.
MAX_NUMBER = 1e15


def positive_or_none(value: Any) -> float | None:
    """The value if it is a positive finite number, else None."""
    if isinstance(value, (int, float)) and math.isfinite(value) and value > 0:
        return float(value)
    return None


def bounded_number(value: Any, minimum: float = 0.0) -> float:
    """The value as a number from ``minimum`` to ``MAX_NUMBER``; ValueError or TypeError if it is none."""
    number = float(value)
    if not minimum <= number <= MAX_NUMBER:
        raise ValueError(f"{number} is not from {minimum:g} to 1e+15")
    return number
