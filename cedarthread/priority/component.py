"""The priority component: call priorities, load shedding and preemption under cluster overload.

The router asks ``on_arrival`` for a call's priority, ``shed_probability`` how load shedding falls on it and
``choose_victim`` which call it preempts, and reports what became of the calls. Pure: the clock (ms, steady)
and the seed are handed in. Design: docs/design/priority.md.
"""

from __future__ import annotations

import random
from enum import StrEnum
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
from cedarthread.priority.preemption import (
    CallStage,
    PreemptionCandidate,
    PreemptionClaim,
    PreemptionLimits,
    choose_victim,
)
from cedarthread.priority.preemption_budget import BUDGET_WINDOW_MS, PreemptionBudget
from cedarthread.priority.pressure_gossip import PressureGossip
from cedarthread.priority.usage import TenantUsage
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.components.replicated_state import ReplicatedState
    from cedarthread.model.settings import RouterSettings

SHEDDING_LEVEL = 1  # overload level from which load shedding is weighted by priority
PREEMPT_QUEUED_LEVEL = 2  # from which queued calls are preempted
PREEMPT_RUNNING_LEVEL = 3  # from which running calls are preempted too
PREEMPTED_RETENTION_MS = 120_000.0  # for which a preempted call is remembered: its client came back by then
MAX_REMEMBERED_PREEMPTIONS = 8192  # past which no call is preempted: it might be one that was before
MIN_DIVISOR = 1e-9  # in place of a mean of nothing
SEED_SALT = 0x7469_6572  # keeps these draws apart from those of other users of the router's seed


class PreemptionEvent(StrEnum):
    """What is counted; the values are the names of the figures that operators read."""

    QUEUED_PREEMPTED = "waiting"
    RUNNING_PREEMPTED = "running"
    PROTECTED_BY_FLOOR = "floor"
    ALREADY_PREEMPTED = "again"
    BUDGET_EXHAUSTED = "budget"


class PriorityComponent:
    """Which calls are rejected or preempted under cluster overload, at one router."""

    message_types = frozenset({int(MessageType.LOAD_PRESSURE)})

    def __init__(
        self, replicated_state: ReplicatedState, escrow: QuotaEscrow, settings: RouterSettings, seed: int
    ) -> None:
        self.replicated_state, self.settings = replicated_state, settings
        self.contracts = EffectiveContracts(replicated_state)
        self.usage = TenantUsage(escrow)
        self.pressure_estimator = LoadPressureEstimator()
        self.pressure_gossip = PressureGossip(settings.router_index, max(1, settings.router_count), seed)
        self.overload = OverloadStateMachine()
        self.shedding_order = SheddingOrder()
        self.recent_value = DecayingCounter(BUDGET_WINDOW_MS)  # sum of the values of recent calls
        self.recent_calls = DecayingCounter(BUDGET_WINDOW_MS)
        self.preemption_budget = PreemptionBudget(escrow, random.Random(seed ^ SEED_SALT))
        self.preempted_at: dict[int, float] = {}  # ms, by the call's retry identity
        self.counters = dict.fromkeys(PreemptionEvent, 0)

    # The component interface.

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of load pressure."""
        self.pressure_gossip.on_message(now_ms, sender, data)
        return ()

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Follow the contracts, measure load pressure, gossip it and update the overload level."""
        self.contracts.refresh(now_ms)
        self.usage.on_tick(now_ms, self.contracts.effective)
        self.preemption_budget.on_tick(now_ms, self.contracts.overload_parameters, self._may_preempt())
        for retry_identity in [
            identity for identity, at in self.preempted_at.items() if now_ms - at > PREEMPTED_RETENTION_MS
        ]:
            del self.preempted_at[retry_identity]
        estimator = self.pressure_estimator
        self.pressure_gossip.record_own(
            now_ms, estimator.pressure(now_ms), estimator.calls_per_second(now_ms)
        )
        messages: list[OutboundMessage] = [
            SendToPeer(data, peer_index) for peer_index, data in self.pressure_gossip.messages_due(now_ms)
        ]
        return messages + self._update_overload_level(now_ms)

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Follow new entries, peers and settings, and count what is served."""
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
        return ()  # other notifications, as the wall clock's, concern nothing here

    def status(self, now_ms: float) -> Mapping[str, str]:
        """The figures that operators read; their names are part of the operators' interface."""
        pressure = self.pressure_gossip.fleet_pressure(now_ms)
        gossip = self.pressure_gossip
        unreadable = self.contracts.unreadable_count + gossip.unreadable_count + gossip.invalid_count
        contracts = self.contracts.effective
        figures = {
            "tiers_level": str(self.overload_level(now_ms)),
            "tiers_pressure": "unknown" if pressure is None else f"{pressure:.2f}",
            "tiers_contracts": str(len(contracts)),
            "tiers_not_sure": str(sum(not contract.is_certain for contract in contracts.values())),
            "tiers_unreadable": str(unreadable),
        }
        return figures | {f"tiers_{event.value}": str(count) for event, count in self.counters.items()}

    # What the router asks.

    def on_arrival(
        self,
        now_ms: float,
        tenant: int | str | None,
        value: float = 1.0,
        utilization: float = 0.0,
        is_client_retry: bool = False,
    ) -> CallPriority:
        """A call came: its priority.

        ``tenant``: its index in the settings or its caller's name; ``value``: of the call for its time;
        ``utilization``: the wait that calls must expect over the one at which overload begins.
        """
        if not is_client_retry:  # rejected calls come again: they would make the pressure grow by itself
            self.pressure_estimator.record_arrival(now_ms, utilization)
        if self.contracts.overload_parameters is None:
            return NO_PRIORITY
        tenant_name = self._tenant_name(tenant)
        contract = self.contracts.for_tenant(tenant_name)
        is_within_quota = (
            tenant_name is not None
            and tenant_name in self.contracts.effective
            and self.usage.record_call(now_ms, tenant_name, contract, is_client_retry)
        )
        priority = assign_priority(tenant_name, contract, is_within_quota)
        self.recent_value.add(now_ms, value)
        self.recent_calls.add(now_ms, 1.0)
        self.shedding_order.record_arrival(self._shedding_score(now_ms, priority, value))
        return priority

    def overload_level(self, now_ms: float) -> int:
        """The level of cluster overload; 0 at a router that is not fresh: it could preempt wrong calls."""
        acts = self.contracts.overload_parameters is not None and self.replicated_state.is_fresh(now_ms)
        return self.overload.level if acts else 0

    def shed_probability(
        self, now_ms: float, priority: CallPriority, shed_probability: float, value: float = 1.0
    ) -> float | None:
        """The probability to reject a call like this where ``shed_probability`` of all must be rejected.

        None: priorities don't matter now. ``shed_probability`` is the overload estimator's for the
        strictest latency objective, whatever this call's own is, and is also to be told when it is 0. Value
        and priority are weighed here.
        """
        shed_probability = self.shedding_order.smooth(now_ms, shed_probability)
        if self.overload_level(now_ms) < SHEDDING_LEVEL:
            return None
        return self.shedding_order.shed_probability(
            shed_probability, self._shedding_score(now_ms, priority, value)
        )

    def record_rejected(self, now_ms: float, priority: CallPriority, is_client_retry: bool = False) -> None:
        """A call was rejected: it counts against its tenant's floor."""
        if not is_client_retry:
            self.usage.record_rejected(now_ms, priority.tenant_name)

    def choose_victim(
        self, now_ms: float, claim: PreemptionClaim, candidates: Iterable[PreemptionCandidate]
    ) -> int | None:
        """The request id of the call that the claim preempts, which then counts as preempted; None: none."""
        level = self.overload_level(now_ms)
        is_in_time = claim.expected_wait_ms + claim.service_time_ms <= claim.remaining_ms
        if level < PREEMPT_QUEUED_LEVEL or len(self.preempted_at) >= MAX_REMEMBERED_PREEMPTIONS or is_in_time:
            return None
        if not self.preemption_budget.has_token(now_ms, self._may_preempt()):
            self.counters[PreemptionEvent.BUDGET_EXHAUSTED] += 1
            return None
        limits = PreemptionLimits(
            allows_running=level >= PREEMPT_RUNNING_LEVEL,
            waste_budget_ms=self.preemption_budget.waste_budget_ms(now_ms),
            max_retry_after_ms=self.settings.limits.max_retry_after_ms,
            is_allowed=lambda candidate: self._can_preempt(now_ms, candidate),
        )
        victim = choose_victim(claim, candidates, limits)
        if victim is None:
            return None
        self._record_preempted(now_ms, victim)
        return victim.request_id

    def rejection_reason(self, priority: CallPriority) -> str:
        """What the preempted call's client is told: about its own contract and nobody else's."""
        tier_name = self.contracts.for_tenant(priority.tenant_name).tier_name
        side = "within" if priority.is_within_quota else "beyond"
        return f"preempted under cluster overload: tier {tier_name}, {side} contract; try again later"

    # Inside.

    def _may_preempt(self) -> bool:
        return self.overload.level >= PREEMPT_QUEUED_LEVEL

    def _record_preempted(self, now_ms: float, victim: PreemptionCandidate) -> None:
        is_running = victim.stage is CallStage.WRITTEN
        self.preemption_budget.spend(now_ms, victim.consumed_work_ms if is_running else None)
        self.preempted_at[victim.retry_identity] = now_ms
        self.usage.record_rejected(now_ms, victim.priority.tenant_name)
        event = PreemptionEvent.RUNNING_PREEMPTED if is_running else PreemptionEvent.QUEUED_PREEMPTED
        self.counters[event] += 1

    def _tenant_name(self, tenant: int | str | None) -> str | None:
        if isinstance(tenant, int):
            tenants = self.settings.tenants
            return tenants[tenant].name if 0 <= tenant < len(tenants) else None
        return tenant

    def _shedding_score(self, now_ms: float, priority: CallPriority, value: float) -> SheddingScore:
        mean_value = self.recent_value.read(now_ms) / max(self.recent_calls.read(now_ms), MIN_DIVISOR)
        floor_permille = self.contracts.for_tenant(priority.tenant_name).floor_permille
        is_at_floor = not self.usage.can_reject(now_ms, priority.tenant_name, floor_permille)
        return shedding_score(priority, value / max(mean_value, MIN_DIVISOR), is_at_floor)

    def _can_preempt(self, now_ms: float, candidate: PreemptionCandidate) -> bool:
        """Whether floors hold without this call; no call is preempted twice."""
        if candidate.retry_identity in self.preempted_at:
            self.counters[PreemptionEvent.ALREADY_PREEMPTED] += 1
            return False
        tenant_name = candidate.priority.tenant_name
        if not self.usage.can_reject(
            now_ms, tenant_name, self.contracts.for_tenant(tenant_name).floor_permille
        ):
            self.counters[PreemptionEvent.PROTECTED_BY_FLOOR] += 1
            return False
        return True

    def _update_overload_level(self, now_ms: float) -> list[OutboundMessage]:
        previous_level = self.overload.level
        level = self.overload.update(
            now_ms, self.pressure_gossip.fleet_pressure(now_ms), self.contracts.overload_parameters
        )
        if level == previous_level:
            return []
        return [LogMessage(format_event("overload_level_changed", level=level, previous=previous_level))]
