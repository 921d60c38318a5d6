"""The load of one function at one worker, summed over all routers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceLoad:
    """Attempts in flight and the age of the last warm instance of one function at one worker."""

    in_flight: int  # attempts of all routers, those of this router included
    warm_age_ms: float | None  # since another router's last warm response there; None: none recently
