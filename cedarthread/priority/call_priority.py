"""The rank of a call: a table of tier by within or beyond contract. The lower is preempted later.

    tier of the tenant      within      beyond
    first (say firm)           0          64
    second (standard)          1          65
    third (interruptible)      2          66
    no contract                -         127

All that is within goes before all that is beyond: nobody's contract pays for what another takes beyond its
own, whatever its tier. Where it is not known which body of a contract acts elsewhere, the rank is a span.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.priority.contracts import MAX_TIERS, EffectiveContract

OVER_QUOTA_OFFSET = MAX_TIERS + 1  # added beyond contract
LOWEST_PRIORITY = OVER_QUOTA_OFFSET + MAX_TIERS


@dataclass(frozen=True, slots=True)
class CallPriority:
    """The place of one call. ``most`` counts where it displaces, ``least`` where it may be displaced,
    ``place`` where it may be refused: the worst that the known bodies give."""

    best_position: int
    worst_position: int
    position: int = LOWEST_PRIORITY
    tenant_name: str | None = None
    is_within_quota: bool = False

    def outranks(self, other: CallPriority) -> bool:
        """Does it go before the other by every body that may act at a router?"""
        return self.worst_position < other.best_position

    def is_highest(self) -> bool:
        """Is it of the first tier, within contract, by all that is known?"""
        return self.position == 0


NO_PRIORITY = CallPriority(
    0, LOWEST_PRIORITY
)  # of a call while no tiers act: it displaces nobody and nobody displaces it


def assign_priority(
    tenant_name: str | None, contract: EffectiveContract, is_within_quota: bool
) -> CallPriority:
    """The rank of a call of this tenant. One whose contract is not sure may be either side of the table."""
    position = contract.tier_index + (0 if is_within_quota else OVER_QUOTA_OFFSET)
    if not contract.is_certain:
        return CallPriority(0, LOWEST_PRIORITY, position, tenant_name, is_within_quota)
    return CallPriority(position, position, position, tenant_name, is_within_quota)


def preemption_key(
    priority: CallPriority, priority_weight: float, arrived_at_ms: float, request_id: int
) -> tuple[float, ...]:
    """Who is displaced first: the least key. Of one rank that of least worth, then the youngest, which has
    waited and cost least; the number makes the order total."""
    return (-priority.best_position, priority_weight, -arrived_at_ms, request_id)
