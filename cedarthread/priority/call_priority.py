"""The priority of a call, from its tenant's tier and whether the call is within quota; 0 is the highest.

    tier of the tenant      within quota    over quota
    first (such as firm)              0            64
    second (standard)                 1            65
    third (interruptible)             2            66
    no contract                       -           127

A call within quota has precedence over each call over quota, regardless of tiers, so that a tenant's calls
over quota never displace another tenant's calls within quota. While several versions of a contract may be
in effect at other routers, the priority is a range.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.model.call_priority import LOWEST_PRIORITY, OVER_QUOTA_OFFSET, CallPriority

if TYPE_CHECKING:
    from cedarthread.priority.contracts import EffectiveContract


def assign_priority(
    tenant_name: str | None, contract: EffectiveContract, *, is_within_quota: bool
) -> CallPriority:
    """Return the priority of a call; the range of all priorities until the contract has converged."""
    position = contract.tier_index + (0 if is_within_quota else OVER_QUOTA_OFFSET)
    if not contract.is_converged:
        return CallPriority(0, LOWEST_PRIORITY, position, tenant_name, is_within_quota)
    return CallPriority(position, position, position, tenant_name, is_within_quota)


def preemption_key(
    priority: CallPriority, priority_weight: float, arrived_at_ms: float, request_id: int
) -> tuple[float, ...]:
    """Return the sort key of a call that may be preempted; the call with the least key is preempted first.

    The order is: the lowest priority, the least weight, then the latest arrival, because that call has waited
    and consumed the least. The request id makes the order total.
    """
    return (-priority.best_position, priority_weight, -arrived_at_ms, request_id)
