"""The load of one function at one worker, summed over all routers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """The attempts in flight of one function at one worker, and the age of its last warm response."""

    in_flight: int  # attempts of all routers in flight, including this one's
    warm_age_ms: float | None  # time since another router's last warm response there; None: none recently
