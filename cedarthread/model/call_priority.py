"""The priority of a call; 0 is the highest. ``priority/call_priority.py`` assigns priorities by contract."""

from __future__ import annotations

from dataclasses import dataclass

MAX_TIERS = 63  # a tier index and its over-quota offset fit in 7 bits
OVER_QUOTA_OFFSET = MAX_TIERS + 1  # number added to the tier's index for a call over quota
LOWEST_PRIORITY = OVER_QUOTA_OFFSET + MAX_TIERS


@dataclass(frozen=True, slots=True)
class CallPriority:
    """The position of one call in the table of tiers; 0 is the highest priority.

    A router may know several versions of the contracts. ``worst_position`` determines whether the call
    preempts another, ``best_position`` whether another preempts it, and ``position``, the worst of the known
    versions, whether it may be rejected.
    """

    best_position: int
    worst_position: int
    position: int = LOWEST_PRIORITY
    tenant_name: str | None = None
    is_within_quota: bool = False

    def outranks(self, other: CallPriority) -> bool:
        """Return whether the call has the higher priority in every version that a router may apply."""
        return self.worst_position < other.best_position

    def is_highest(self) -> bool:
        """Return whether the call is in the first tier and within quota in all known versions."""
        return self.position == 0


# The priority of a call while no tiers are in effect; such a call neither preempts nor is preempted.
NO_PRIORITY = CallPriority(0, LOWEST_PRIORITY)
