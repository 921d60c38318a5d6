"""The contracts and overload parameters that are in effect at one router.

While several versions of an entry may be in effect at some router, quotas use the greatest lower bound of
the versions, and a tenant neither preempts nor is preempted by its tier until the routers have converged
on one version (docs/design/priority.md, steps 1 to 7).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.components.replicated_state import EntryKind, ReplicatedState
from cedarthread.model.call_priority import MAX_TIERS
from cedarthread.priority.body_history import HistoriesByName
from cedarthread.priority.contract_entries import (
    FIXED_POINT_SCALE,
    TIER_ORDER_NAME,
    ContractTerms,
    TierOrder,
    decode_contract,
    decode_tier_order,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class EffectiveContract:
    """A tenant's contract as in effect at this router: the strictest of the versions in effect."""

    tier_index: int  # greatest tier index of all versions; 0 is preempted last
    rate_milli_per_second: int  # least rate of all versions
    floor_permille: int  # protected share of the calls within quota; the greatest of all versions
    tier_name: str  # name of the tier in the newest version, for messages
    is_converged: bool  # whether no other version may be in effect at a fresh router


NO_CONTRACT = EffectiveContract(MAX_TIERS, 0, 0, "none", is_converged=True)
UNKNOWN_CONTRACT = EffectiveContract(MAX_TIERS, 0, 0, "unknown", is_converged=False)


@dataclass(frozen=True, slots=True)
class OverloadParameters:
    """The parameters of cluster overload: of all versions in effect, the values that preempt least."""

    onset: float  # load pressure at which overload starts; 1 is the fleet's capacity
    release: float  # load pressure under which overload ends
    dwell_ms: float
    preemptions_milli_per_second: int


class EffectiveContracts:
    """The contracts in effect at one router, as of the last ``refresh``."""

    def __init__(self, replicated_state: ReplicatedState) -> None:
        self.replicated_state = replicated_state
        self.tier_orders = HistoriesByName[TierOrder](EntryKind.TIERS, decode_tier_order)
        self.contract_terms = HistoriesByName[ContractTerms](EntryKind.CONTRACT, decode_contract)
        self.effective: dict[str, EffectiveContract] = {}
        self.overload_parameters: OverloadParameters | None = None  # None: no tiers are known
        self.is_fresh = False

    @property
    def unreadable_count(self) -> int:
        """Number of entries with a malformed body, which are ignored."""
        return self.tier_orders.unreadable_count + self.contract_terms.unreadable_count

    def refresh(self, now_ms: float) -> None:
        """Update the contracts from the replicated store, on each change of entries and on each tick."""
        self.tier_orders.refresh(self.replicated_state)
        self.contract_terms.refresh(self.replicated_state)
        staleness_bound_ms = self.replicated_state.staleness_bound_ms
        self.is_fresh = self.replicated_state.is_fresh(now_ms)
        history = self.tier_orders.histories.get(TIER_ORDER_NAME)
        effective_orders = history.effective_bodies(now_ms, staleness_bound_ms) if history is not None else ()
        is_converged = history is not None and history.is_converged() and self.is_fresh
        self.overload_parameters = _greatest_lower_bound(effective_orders) if effective_orders else None
        self.effective = {
            tenant_name: _effective_contract(
                terms.effective_bodies(now_ms, staleness_bound_ms),
                effective_orders,
                is_converged=is_converged and terms.is_converged(),
            )
            for tenant_name, terms in self.contract_terms.histories.items()
        }

    def for_tenant(self, tenant_name: str | None) -> EffectiveContract:
        """Return the contract in effect for a tenant.

        If no entry is found, a fresh router knows that the tenant has no contract. A router that is not fresh
        does not know.
        """
        found = self.effective.get(tenant_name) if tenant_name is not None else None
        return found or (NO_CONTRACT if self.is_fresh else UNKNOWN_CONTRACT)


def _greatest_lower_bound(tier_orders: Iterable[TierOrder]) -> OverloadParameters:
    """Return the parameters that preempt no more than any of these tier orders."""
    orders = tuple(tier_orders)
    return OverloadParameters(
        max(order.onset_permille for order in orders) / FIXED_POINT_SCALE,
        max(order.release_permille for order in orders) / FIXED_POINT_SCALE,
        float(max(order.dwell_ms for order in orders)),
        min(order.preemptions_milli_per_second for order in orders),
    )


def _effective_contract(
    bodies: tuple[ContractTerms, ...], tier_orders: tuple[TierOrder, ...], *, is_converged: bool
) -> EffectiveContract:
    return EffectiveContract(
        max(
            (_tier_index(order, body.tier_name) for order in tier_orders for body in bodies),
            default=MAX_TIERS,
        ),
        min(body.rate_milli_per_second for body in bodies),
        max(body.floor_permille for body in bodies),
        bodies[-1].tier_name,
        is_converged,
    )


def _tier_index(order: TierOrder, tier_name: str) -> int:
    """Return the index of a tier, 0 for the one preempted last; ``MAX_TIERS`` for an unknown tier."""
    return order.tier_names.index(tier_name) if tier_name in order.tier_names else MAX_TIERS
