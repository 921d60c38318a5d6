"""The priority of a call, 0 is the highest; ``priority/call_priority.py`` assigns it by contract."""

from __future__ import annotations

from dataclasses import dataclass

MAX_TIERS = 63  # a tier index and its over-quota offset fit in 7 bits
OVER_QUOTA_OFFSET = MAX_TIERS + 1  # added to the tier's index for a call over quota
LOWEST_PRIORITY = OVER_QUOTA_OFFSET + MAX_TIERS


@dataclass(frozen=True, slots=True)
class CallPriority:
    """The position of one call in the table, 0 is the highest priority.

    ``worst_position`` counts where it preempts, ``best_position`` where it may be preempted, ``position``
    where it may be rejected: the worst that the versions known here give.
    """

    best_position: int
    worst_position: int
    position: int = LOWEST_PRIORITY
    tenant_name: str | None = None
    is_within_quota: bool = False

    def outranks(self, other: CallPriority) -> bool:
        """Whether it goes before the other by every version that may be in effect at a router."""
        return self.worst_position < other.best_position

    def is_highest(self) -> bool:
        """Whether it is of the first tier and within quota, by all that is known."""
        return self.position == 0


# Of a call while no tiers are in effect: it preempts no call and no call preempts it.
NO_PRIORITY = CallPriority(0, LOWEST_PRIORITY)
