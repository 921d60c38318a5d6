"""The priority of a call: a table of its tenant's tier by whether it is within quota. 0 is the highest.

    tier of the tenant      within quota    over quota
    first (say firm)                  0            64
    second (standard)                 1            65
    third (interruptible)             2            66
    no contract                       -           127

Everything within quota goes before everything over quota: nobody's contract pays for what another takes
over its own, whatever its tier. Where it is not known which version of a contract is in effect elsewhere,
the priority is a range.
"""

from __future__ import annotations

from dataclasses import dataclass

from cedarthread.priority.contract_entries import MAX_TIERS
from cedarthread.priority.contracts import EffectiveContract

OVER_QUOTA_OFFSET = MAX_TIERS + 1  # added to the tier's index for a call over quota
LOWEST_PRIORITY = OVER_QUOTA_OFFSET + MAX_TIERS


@dataclass(frozen=True, slots=True)
class CallPriority:
    """The position of one call in the table, 0 is the highest priority.

    ``worst_position`` counts where it preempts, ``best_position`` where it may be preempted, ``position``
    where it may be rejected: the worst that the versions known here give."""

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


def assign_priority(
    tenant_name: str | None, contract: EffectiveContract, is_within_quota: bool
) -> CallPriority:
    """The priority of a call. While the tenant's contract is not certain, it may be anywhere in the table."""
    position = contract.tier_index + (0 if is_within_quota else OVER_QUOTA_OFFSET)
    if not contract.is_certain:
        return CallPriority(0, LOWEST_PRIORITY, position, tenant_name, is_within_quota)
    return CallPriority(position, position, position, tenant_name, is_within_quota)


def preemption_key(
    priority: CallPriority, priority_weight: float, arrived_at_ms: float, request_id: int
) -> tuple[float, ...]:
    """The sort key of the calls that may be preempted; the least goes first.

    The lowest priority, then the least weight, then the latest arrival, which has waited and cost least; the
    request's id makes the order total."""
    return (-priority.best_position, priority_weight, -arrived_at_ms, request_id)
