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

from typing import TYPE_CHECKING

from cedarthread.model.call_priority import LOWEST_PRIORITY, OVER_QUOTA_OFFSET, CallPriority

if TYPE_CHECKING:
    from cedarthread.priority.contracts import EffectiveContract


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
    request's id makes the order total.
    """
    return (-priority.best_position, priority_weight, -arrived_at_ms, request_id)
