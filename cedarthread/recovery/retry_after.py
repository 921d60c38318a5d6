"""The range from which the router draws the Retry-After of a rejected client."""

from __future__ import annotations

from typing import NamedTuple


class RetryAfterFractions(NamedTuple):
    """The bounds of the range, as fractions of the maximum Retry-After."""

    lower: float
    upper: float


RETRY_AFTER_FRACTIONS = RetryAfterFractions(0.05, 0.15)
MASS_RESTART_RETRY_AFTER_FRACTION = 0.6
"""Upper fraction while a recovering router detects a mass restart, to spread retries over more time."""
MASS_RESTART_RETRY_AFTER_FRACTIONS = RETRY_AFTER_FRACTIONS._replace(upper=MASS_RESTART_RETRY_AFTER_FRACTION)
