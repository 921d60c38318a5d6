"""Validation of numbers from external input: settings, endpoint lists and requests."""

from __future__ import annotations

import math

# The largest valid number. Adding a larger number to a clock value in ms can leave the clock value unchanged,
# and a timer that is set to the sum would fire in an endless loop.
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
        TypeError: The value is neither a number nor a string, contrary to its annotation.
        ValueError: The value is a string that is not a number, NaN, or out of range.
        OverflowError: The value is an integer that is too large for a float.
    """
    number = float(value)
    if not minimum <= number <= MAX_NUMBER:
        raise ValueError(f"{number} is outside the range {minimum:g} to {MAX_NUMBER:g}")
    return number
