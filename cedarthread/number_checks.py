"""Checks of numbers from outside: settings, endpoint lists, requests."""

from __future__ import annotations

import math

# The largest valid number. A larger number added to a clock in ms can leave the clock's value unchanged, and
# a timer that is set to the sum would fire in an endless loop.
MAX_NUMBER = 1e15


def positive_or_none(value: object) -> float | None:
    """Return the value if it is a positive finite number, else None.

    Raises:
        OverflowError: The value is an integer that is too large for a float.
    """
    if isinstance(value, (int, float)) and math.isfinite(value) and value > 0:
        return float(value)
    return None


def bounded_number(value: float | str, minimum: float = 0.0) -> float:
    """Return the value as a number from ``minimum`` to ``MAX_NUMBER``.

    Raises:
        TypeError: The value is neither a number nor a text, whatever its annotation promised.
        ValueError: The value is a text without a number, not a number (NaN), or outside the bounds.
        OverflowError: The value is an integer that is too large for a float.
    """
    number = float(value)
    if not minimum <= number <= MAX_NUMBER:
        raise ValueError(f"{number} is not from {minimum:g} to {MAX_NUMBER:g}")
    return number
