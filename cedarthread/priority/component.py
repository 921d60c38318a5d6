"""The priority component: call priorities, load shedding and preemption under cluster overload.

The router calls ``on_arrival`` for the priority of a call, ``shed_probability`` for the probability to reject
the call, and ``choose_victim`` for the call to preempt, and reports rejected and completed calls. The
component does no I/O: the caller passes the monotonic clock (ms) and the seed.
Design: docs/design/priority.md.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import (
    AttemptCompleted,
    EntriesChanged,
    Notification,
    PeersChanged,
    SettingsChanged,
)
from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.call_priority import NO_PRIORITY, CallPriority
from cedarthread.model.outcomes import Outcome
from cedarthread.priority.call_priority import assign_priority
from cedarthread.priority.contracts import EffectiveContracts
from cedarthread.priority.load_pressure import LoadPressureEstimator
from cedarthread.priority.load_shedding import SheddingOrder, SheddingScore, shedding_score
from cedarthread.priority.overload_level import OverloadStateMachine
from cedarthread.priority.preemption_budget import BUDGET_WINDOW_MS, PreemptionBudget
from cedarthread.priority.preemptor import PREEMPT_QUEUED_LEVEL, Preemptor
from cedarthread.priority.pressure_gossip import PressureGossip
from cedarthread.priority.usage import TenantUsage
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.components.replicated_state import ReplicatedState
    from cedarthread.model.settings import RouterSettings
    from cedarthread.priority.preemption import PreemptionCandidate, PreemptionClaim

SHEDDING_LEVEL = 1  # overload level from which load shedding is weighted by priority
MIN_DIVISOR = 1e-9  # lower bound of a divisor, which avoids a division by zero
SEED_SALT = 0x7469_6572  # makes these random draws independent of others from the router's seed


class PriorityComponent:
    """The priorities of one router; owns contracts, usage, load pressure, overload level and budgets.

    Args:
        replicated_state: Contains the entries that declare tiers and contracts.
        escrow: Contains the pools of quotas and preemptions.
        settings: The router's settings.
        seed: Seeds the random draws of gossip and of the preemption budget.
    """

    message_types = frozenset({int(MessageType.LOAD_PRESSURE)})

    def __init__(
        self, replicated_state: ReplicatedState, escrow: QuotaEscrow, settings: RouterSettings, seed: int
    ) -> None:
        self.replicated_state = replicated_state
        self.settings = settings
        self.contracts = EffectiveContracts(replicated_state)
        self.usage = TenantUsage(escrow)
        self.pressure_estimator = LoadPressureEstimator()
        self.pressure_gossip = PressureGossip(settings.router_index, max(1, settings.router_count), seed)
        self.overload = OverloadStateMachine()
        self.shedding_order = SheddingOrder()
        self.recent_value = DecayingCounter(BUDGET_WINDOW_MS)  # sum of the values of recent calls
        self.recent_calls = DecayingCounter(BUDGET_WINDOW_MS)
        self.preemption_budget = PreemptionBudget(escrow, random.Random(seed ^ SEED_SALT))
        self.preemptor = Preemptor(self.contracts, self.usage, self.preemption_budget)

    # Methods of the component interface.

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Store the reports of a load pressure datagram."""
        self.pressure_gossip.on_message(now_ms, sender, data)
        return ()

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Update contracts, quotas and the overload level, and return the gossip of load pressure."""
        self.contracts.refresh(now_ms)
        self.usage.on_tick(now_ms, self.contracts.effective)
        self.preemptor.on_tick(now_ms, self.overload.level)
        estimator = self.pressure_estimator
        self.pressure_gossip.record_own(
            now_ms, estimator.pressure(now_ms), estimator.calls_per_second(now_ms)
        )
        messages: list[OutboundMessage] = [
            SendToPeer(due.data, due.peer_index) for due in self.pressure_gossip.messages_due(now_ms)
        ]
        return messages + self._update_overload_level(now_ms)

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Process new entries, peers and settings, and count served calls."""
        if isinstance(notification, EntriesChanged):
            self.contracts.refresh(now_ms)
            self.usage.on_tick(now_ms, self.contracts.effective)
        elif isinstance(notification, PeersChanged):
            self.pressure_gossip.alive_peers = notification.alive_peers
            self.pressure_gossip.router_count = notification.router_count
        elif isinstance(notification, SettingsChanged):
            self.settings = notification.settings
        elif isinstance(notification, AttemptCompleted) and notification.outcome is Outcome.OK:
            self.pressure_estimator.record_completion(now_ms)
            self.preemption_budget.record_completed_work(now_ms, notification.work_ms)
        return ()

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the metrics for operators; their names are part of the operators' interface."""
        pressure = self.pressure_gossip.fleet_pressure(now_ms)
        gossip = self.pressure_gossip
        unreadable = self.contracts.unreadable_count + gossip.unreadable_count + gossip.invalid_count
        contracts = self.contracts.effective
        metrics = {
            "tiers_level": str(self.overload_level(now_ms)),
            "tiers_pressure": "unknown" if pressure is None else f"{pressure:.2f}",
            "tiers_contracts": str(len(contracts)),
            "tiers_not_sure": str(sum(not contract.is_converged for contract in contracts.values())),
            "tiers_unreadable": str(unreadable),
        }
        return metrics | {
            f"tiers_{event.value}": str(count) for event, count in self.preemptor.counters.items()
        }

    # Methods for the router.

    def on_arrival(
        self,
        now_ms: float,
        tenant: int | str | None,
        value: float = 1.0,
        utilization: float = 0.0,
        *,
        is_client_retry: bool = False,
    ) -> CallPriority:
        """Count a call that arrived, and return its priority.

        Args:
            now_ms: The time on the monotonic clock.
            tenant: The tenant's index in the settings, or the caller's name; None: unknown.
            value: The call's priority weight, divided by its expected work.
            utilization: The expected wait divided by the wait at which overload starts.
            is_client_retry: Whether the client retries a call that was rejected.
        """
        if not is_client_retry:  # otherwise retries of rejected calls would raise the load pressure further
            self.pressure_estimator.record_arrival(now_ms, utilization)
        if self.contracts.overload_parameters is None:
            return NO_PRIORITY
        tenant_name = self._tenant_name(tenant)
        contract = self.contracts.for_tenant(tenant_name)
        is_within_quota = (
            tenant_name is not None
            and tenant_name in self.contracts.effective
            and self.usage.record_call(now_ms, tenant_name, contract, is_client_retry=is_client_retry)
        )
        priority = assign_priority(tenant_name, contract, is_within_quota=is_within_quota)
        self.recent_value.add(now_ms, value)
        self.recent_calls.add(now_ms, 1.0)
        self.shedding_order.record_arrival(self._shedding_score(now_ms, priority, value))
        return priority

    def overload_level(self, now_ms: float) -> int:
        """Return the level of cluster overload.

        The level is 0 without overload parameters, and while this router is not fresh, because its contracts
        may then differ from those of other routers.
        """
        is_effective = self.contracts.overload_parameters is not None and self.replicated_state.is_fresh(
            now_ms
        )
        return self.overload.level if is_effective else 0

    def shed_probability(
        self, now_ms: float, priority: CallPriority, shed_probability: float, value: float = 1.0
    ) -> float | None:
        """Return the probability to reject a call with this priority; None while priorities do not apply.

        The router calls this method for each call, even if ``shed_probability`` is 0, because the method
        smooths that probability over time.

        Args:
            now_ms: The time on the monotonic clock.
            priority: The call's priority.
            shed_probability: The fraction of all calls to reject, by the overload estimator. The estimate is
                for the strictest latency objective of all classes.
            value: The call's priority weight, divided by its expected work.
        """
        shed_probability = self.shedding_order.smooth(now_ms, shed_probability)
        if self.overload_level(now_ms) < SHEDDING_LEVEL:
            return None
        return self.shedding_order.shed_probability(
            shed_probability, self._shedding_score(now_ms, priority, value)
        )

    def record_rejected(
        self, now_ms: float, priority: CallPriority, *, is_client_retry: bool = False
    ) -> None:
        """Count a rejected call against its tenant's floor, unless the call is a client's retry."""
        if not is_client_retry:
            self.usage.record_rejected(now_ms, priority.tenant_name)

    def choose_victim(
        self, now_ms: float, claim: PreemptionClaim, candidates: Iterable[PreemptionCandidate]
    ) -> int | None:
        """Return the request id of the call to preempt, and count the preemption; None: no call."""
        level = self.overload_level(now_ms)
        if level < PREEMPT_QUEUED_LEVEL:
            return None
        return self.preemptor.choose_victim(
            now_ms,
            claim,
            candidates,
            level=level,
            max_retry_after_ms=self.settings.limits.max_retry_after_ms,
        )

    def rejection_reason(self, priority: CallPriority) -> str:
        """Return the reason for the client of a preempted call; it mentions only this client's contract."""
        tier_name = self.contracts.for_tenant(priority.tenant_name).tier_name
        side = "within" if priority.is_within_quota else "beyond"
        return f"preempted under cluster overload: tier {tier_name}, {side} contract; try again later"

    def _tenant_name(self, tenant: int | str | None) -> str | None:
        if isinstance(tenant, int):
            tenants = self.settings.tenants
            return tenants[tenant].name if 0 <= tenant < len(tenants) else None
        return tenant

    def _shedding_score(self, now_ms: float, priority: CallPriority, value: float) -> SheddingScore:
        mean_value = self.recent_value.read(now_ms) / max(self.recent_calls.read(now_ms), MIN_DIVISOR)
        floor_permille = self.contracts.for_tenant(priority.tenant_name).floor_permille
        is_at_floor = not self.usage.can_reject(now_ms, priority.tenant_name, floor_permille)
        return shedding_score(priority, value / max(mean_value, MIN_DIVISOR), is_at_floor=is_at_floor)

    def _update_overload_level(self, now_ms: float) -> list[OutboundMessage]:
        previous_level = self.overload.level
        level = self.overload.update(
            now_ms, self.pressure_gossip.fleet_pressure(now_ms), self.contracts.overload_parameters
        )
        if level == previous_level:
            return []
        return [LogMessage(format_event("overload_level_changed", level=level, previous=previous_level))]
