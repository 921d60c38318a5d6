"""Contract tiers beside one router: it wires the parts together and decides nothing that they do not.

``decide.py`` asks ``arrived`` for a call's rank, ``refuses`` how the refusals fall, ``victim`` whom a call
displaces, and tells what became of them. Pure: clock and seed are handed in.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping, Sequence

from cedarthread.components.interface import (
    AttemptCompleted,
    EntriesChanged,
    MessageType,
    Notification,
    OutboundMessage,
    PeersChanged,
    QuotaEscrow,
    ReplicatedState,
    SettingsChanged,
    WallClockRead,
)
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings
from cedarthread.priority import call_priority as ranks
from cedarthread.priority import load_shedding
from cedarthread.priority.call_priority import NO_PRIORITY, CallPriority
from cedarthread.priority.contracts import EffectiveContracts
from cedarthread.priority.load_pressure import LoadPressureEstimator, OverloadStateMachine, PressureGossip
from cedarthread.priority.preemption import (
    CallStage,
    PreemptionCandidate,
    PreemptionClaim,
    PreemptionLimits,
    choose_victim,
)
from cedarthread.priority.usage import QuotaBucket, TenantUsage
from cedarthread.statistics import DecayingCounter

PREEMPTION_POOL = "preempts"  # the pool of the preemptions that the fleet may make a second
PREEMPT_QUEUED_LEVEL, PREEMPT_RUNNING_LEVEL = (
    2,
    3,
)  # levels from which those that wait, and those that run, are displaced
MAX_WASTED_SHARE = 0.02  # part of the work served that preempting may throw away
BUDGET_WINDOW_MS = 10_000.0  # ms over which that part holds
PREEMPTED_RETENTION_MS, MAX_REMEMBERED_PREEMPTIONS = (
    120_000.0,
    8192,
)  # ms for which a displaced call is remembered; how many: then none any more


class PriorityComponent:
    """Who is preempted under cluster overload, at one router."""

    message_types = frozenset({int(MessageType.LOAD_PRESSURE)})

    def __init__(
        self, replicated_state: ReplicatedState, escrow: QuotaEscrow, settings: RouterSettings, seed: int
    ) -> None:
        self.replicated_state, self.escrow = replicated_state, escrow
        self.rng = random.Random(seed ^ 0x7469_6572)
        self.contracts = EffectiveContracts(replicated_state)
        self.usage, self.pressure_estimator, self.shedding_order = (
            TenantUsage(escrow),
            LoadPressureEstimator(),
            load_shedding.SheddingOrder(),
        )
        self.pressure_gossip = PressureGossip(settings.router_index, max(1, settings.router_count), seed)
        self.overload, self.recent_value = OverloadStateMachine(), DecayingCounter(BUDGET_WINDOW_MS)
        self.recent_calls = DecayingCounter(BUDGET_WINDOW_MS)
        self.preemption_bucket, self.preemptions_milli_per_second, self.preemption_attempts = (
            QuotaBucket(self.rng.random()),
            -1,
            DecayingCounter(BUDGET_WINDOW_MS),
        )
        self.completed_work, self.wasted_work = (
            DecayingCounter(BUDGET_WINDOW_MS),
            DecayingCounter(BUDGET_WINDOW_MS),
        )  # ms of work
        self.preempted_at: dict[int, float] = {}  # by identity: when
        self.counters = {"waiting": 0, "running": 0, "floor": 0, "again": 0, "budget": 0}
        self.settings = settings

    # The part.

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of pressure."""
        self.pressure_gossip.on_message(now, sender, data)
        return ()

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Some times a second: read what acts, count pressure anew, tell it on."""
        self.contracts.refresh(now)
        self.usage.on_tick(now, self.contracts.effective)
        self._request_preemption_budget(now)
        for identity in [one for one, at in self.preempted_at.items() if now - at > PREEMPTED_RETENTION_MS]:
            del self.preempted_at[identity]
        self.pressure_gossip.record_own(
            now, self.pressure_estimator.pressure(now), self.pressure_estimator.calls_per_second(now)
        )
        messages: list[OutboundMessage] = [
            SendToPeer(data, peer) for peer, data in self.pressure_gossip.messages_due(now)
        ]
        return messages + self._update_overload_level(now)

    def on_notification(self, now: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Something that parts share has changed."""
        if isinstance(notification, EntriesChanged):
            self.contracts.refresh(now)
            self.usage.on_tick(now, self.contracts.effective)
        elif isinstance(notification, PeersChanged):
            self.pressure_gossip.alive_peers, self.pressure_gossip.router_count = (
                notification.alive_peers,
                notification.router_count,
            )
        elif isinstance(notification, SettingsChanged):
            self.settings = notification.settings
        elif isinstance(notification, AttemptCompleted) and notification.outcome is Outcome.OK:
            self.pressure_estimator.record_completion(now)
            self.completed_work.add(now, notification.work_ms)
        elif isinstance(notification, WallClockRead):
            pass  # nothing here goes by wall time
        return ()

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read."""
        pressure = self.pressure_gossip.fleet_pressure(now)
        figures = {
            "tiers_level": str(self.overload_level(now)),
            "tiers_pressure": "unknown" if pressure is None else f"{pressure:.2f}",
            "tiers_contracts": str(len(self.contracts.effective)),
            "tiers_not_sure": str(sum(not one.is_certain for one in self.contracts.effective.values())),
            "tiers_unreadable": str(
                self.contracts.unreadable_count
                + self.pressure_gossip.unreadable_count
                + self.pressure_gossip.invalid_count
            ),
        }
        return figures | {f"tiers_{name}": str(count) for name, count in self.counters.items()}

    # What the decisions ask.

    def on_arrival(
        self,
        now: float,
        tenant: int | str | None,
        value: float = 1.0,
        utilization: float = 0.0,
        is_client_retry: bool = False,
    ) -> CallPriority:
        """A call came: its rank. ``tenant`` by its number in the settings or by its caller's name; ``value``:
        its worth for its time; ``fill``: ms that calls must wait over those at which a jam begins."""
        if not is_client_retry:  # those refused come again: they would make the pressure grow by itself
            self.pressure_estimator.record_arrival(now, utilization)
        if self.contracts.overload_parameters is None:
            return NO_PRIORITY
        tenant_name = self._tenant_name(tenant)
        contract = self.contracts.for_tenant(tenant_name)
        is_within_quota = (
            tenant_name is not None
            and tenant_name in self.contracts.effective
            and self.usage.record_call(now, tenant_name, contract, is_client_retry)
        )
        priority = ranks.assign_priority(tenant_name, contract, is_within_quota)
        self.recent_value.add(now, value)
        self.recent_calls.add(now, 1.0)
        self.shedding_order.record_arrival(self._shedding_score(now, priority, value))
        return priority

    def overload_level(self, now: float) -> int:
        """The level of cluster overload; 0 for who is not fresh: it might preempt whom it should not."""
        return (
            self.overload.level
            if self.contracts.overload_parameters is not None and self.replicated_state.is_fresh(now)
            else 0
        )

    def shed_probability(
        self, now: float, priority: CallPriority, shed_probability: float, value: float = 1.0
    ) -> float | None:
        """The part of calls like this to refuse where ``late`` of all must be; None: as without tiers.

        ``late``: the strength of the jam for the least aim of a class, whatever this call's own is; also 0
        is told. Worth and rank are weighed here, and a short queue costs nothing while calls are enough."""
        shed_probability = self.shedding_order.smooth(now, shed_probability)
        if self.overload_level(now) < 1:
            return None
        return self.shedding_order.shed_probability(
            shed_probability, self._shedding_score(now, priority, value)
        )

    def record_rejected(self, now: float, priority: CallPriority, is_client_retry: bool = False) -> None:
        """A call was refused: its tenant's floor knows."""
        if not is_client_retry:
            self.usage.record_rejected(now, priority.tenant_name)

    def choose_victim(
        self, now: float, claim: PreemptionClaim, candidates: Iterable[PreemptionCandidate]
    ) -> int | None:
        """The number of the call that the claim displaces, which is then counted as displaced; None: none."""
        level = self.overload_level(now)
        if (
            level < PREEMPT_QUEUED_LEVEL
            or len(self.preempted_at) >= MAX_REMEMBERED_PREEMPTIONS
            or claim.expected_wait_ms + claim.service_time_ms <= claim.time_left_ms
        ):
            return None
        self.preemption_attempts.add(now, 1.0)
        self._refill_preemption_bucket(now)
        if self.preemption_bucket.tokens < 1.0:
            self.counters["budget"] += 1
            return None
        waste_budget_ms = MAX_WASTED_SHARE * self.completed_work.read(now) - self.wasted_work.read(now)
        max_retry_after_ms = self.settings.limits.max_retry_after_ms
        victim = choose_victim(
            claim,
            candidates,
            PreemptionLimits(
                level >= PREEMPT_RUNNING_LEVEL,
                waste_budget_ms,
                max_retry_after_ms,
                lambda view: self._can_preempt(now, view),
            ),
        )
        if victim is None:
            return None
        self.preemption_bucket.try_take()
        self.preempted_at[victim.retry_identity] = now
        self.usage.record_rejected(now, victim.priority.tenant_name)
        if victim.stage is CallStage.WRITTEN:
            self.wasted_work.add(now, victim.spent_work_ms)
        self.counters["running" if victim.stage is CallStage.WRITTEN else "waiting"] += 1
        return victim.request_id

    def rejection_reason(self, priority: CallPriority) -> str:
        """What the displaced client is told: of its own contract, and of nobody else's."""
        tier_name = self.contracts.for_tenant(priority.tenant_name).tier_name
        side = "within" if priority.is_within_quota else "beyond"
        return f"preempted under cluster overload: tier {tier_name}, {side} contract; try again later"

    # Inside.

    def _tenant_name(self, tenant: int | str | None) -> str | None:
        if isinstance(tenant, int):
            known = self.settings.tenants
            return known[tenant].name if 0 <= tenant < len(known) else None
        return tenant

    def _shedding_score(
        self, now: float, priority: CallPriority, value: float
    ) -> load_shedding.SheddingScore:
        mean_value = self.recent_value.read(now) / max(self.recent_calls.read(now), 1e-9)
        is_at_floor = not self.usage.can_reject(
            now, priority.tenant_name, self.contracts.for_tenant(priority.tenant_name).floor_permille
        )
        return load_shedding.shedding_score(priority, value / max(mean_value, 1e-9), is_at_floor)

    def _can_preempt(self, now: float, candidate: PreemptionCandidate) -> bool:
        """Floors hold, and nobody is displaced twice."""
        if candidate.retry_identity in self.preempted_at:
            self.counters["again"] += 1
            return False
        if not self.usage.can_reject(
            now,
            candidate.priority.tenant_name,
            self.contracts.for_tenant(candidate.priority.tenant_name).floor_permille,
        ):
            self.counters["floor"] += 1
            return False
        return True

    def _request_preemption_budget(self, now: float) -> None:
        parameters = self.contracts.overload_parameters
        if parameters is None:
            return
        if parameters.preemptions_milli_per_second != self.preemptions_milli_per_second:
            self.preemptions_milli_per_second = parameters.preemptions_milli_per_second
            self.escrow.open_pool(
                PREEMPTION_POOL, parameters.preemptions_milli_per_second, is_consumable=False, ends_at_ms=None
            )
        requested_milli_per_second = math.ceil(
            1000.0 * self.preemption_attempts.read(now) / BUDGET_WINDOW_MS * 1000.0
        )
        self.escrow.request(
            now, PREEMPTION_POOL, min(requested_milli_per_second, parameters.preemptions_milli_per_second)
        )
        self._refill_preemption_bucket(now)

    def _refill_preemption_bucket(self, now: float) -> None:
        """Nothing is saved up while there is no overload: all routers would spend it at once."""
        if self.overload.level < PREEMPT_QUEUED_LEVEL:
            self.preemption_bucket = QuotaBucket(self.rng.random(), filled_at_ms=now)
        self.preemption_bucket.refill(
            now, min(self.escrow.available(now, PREEMPTION_POOL), max(0, self.preemptions_milli_per_second))
        )

    def _update_overload_level(self, now: float) -> list[OutboundMessage]:
        previous_level = self.overload.level
        level = self.overload.update(
            now, self.pressure_gossip.fleet_pressure(now), self.contracts.overload_parameters
        )
        if level == previous_level:
            return []
        return [LogMessage(f"tiers: cluster overload level {level}, was {previous_level}")]
