"""The components that exist if a fleet file is configured, and the connections between them.

This module and its imports are loaded only if a fleet file is configured. If the settings forbid gossip, the
router acts on its own fleet file alone, as a fleet of one router. The replicated store of such a fleet is
always fresh.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.change_freeze import window_entries
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.change_freeze.placement_changes import PlacementChangeKind
from cedarthread.components.notifications import AttemptCompleted, EntriesChanged, Notification, WallClockRead
from cedarthread.escrow.escrow import Escrow
from cedarthread.logs import format_event
from cedarthread.model.actions import LogMessage
from cedarthread.model.outcomes import Outcome
from cedarthread.node.constraints import FleetConstraints
from cedarthread.node.escrow_pools import EscrowPools
from cedarthread.persistence.state_persister import StatePersister
from cedarthread.priority import contract_entries
from cedarthread.priority.component import PriorityComponent
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.replication.entry import RejectedEntry
from cedarthread.replication.store import ReplicatedStore

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from cedarthread.components.component import Component
    from cedarthread.components.messages import OutboundMessage
    from cedarthread.fleet_config import FleetConfig, SharingConfig
    from cedarthread.model.events import AttemptEnded
    from cedarthread.model.settings import RouterSettings


class _RouterIdentity(NamedTuple):
    """The identity of this router among its peers, and the accuracy of its clock."""

    router_index: int
    router_count: int
    incarnation: int
    seed: int
    clock_rate: float  # maximum relative rate error of a monotonic clock


def _router_identity(
    settings: RouterSettings, seed: int, incarnation: int, clock_rate: float
) -> _RouterIdentity:
    """Return the identity of this router: without peers, the only router of a fleet of one."""
    has_peers = settings.limits.allows_gossip and settings.router_count > 1
    return _RouterIdentity(
        settings.router_index if has_peers else 0,
        settings.router_count if has_peers else 1,
        incarnation,
        seed,
        clock_rate,
    )


class FleetComponents:
    """Replicated store, escrow, priorities, change freeze and restart recovery of one router.

    Args:
        fleet_config: The fleet file.
        settings: The settings in force.
        seed: Seed of the random number generators of the components.
        incarnation: A random number that identifies this start of the process.
        now_ms: Current time of the monotonic clock.
        wall_clock_ms: Reads the wall clock, Unix time in ms.
    """

    def __init__(
        self,
        fleet_config: FleetConfig,
        settings: RouterSettings,
        seed: int,
        incarnation: int,
        *,
        now_ms: float,
        wall_clock_ms: Callable[[], float],
    ) -> None:
        sharing = fleet_config.sharing
        self._identity = _router_identity(settings, seed, incarnation, sharing.clock_rate)
        self.router_count = self._identity.router_count
        self.wall_clock_ms = wall_clock_ms
        self.store = self._new_store(now_ms, sharing)
        self.escrow = self._new_escrow(now_ms, has_complete_history=self.router_count == 1, is_durable=False)
        self.escrow_pools = EscrowPools(self.escrow, self.store)
        self.priority = PriorityComponent(self.store, self.escrow_pools, settings, seed)
        self.recovery = RecoveryComponent(settings, seed ^ incarnation, now_ms)
        self.change_freeze = ChangeFreezeComponent(
            settings,
            sharing,
            self.store,
            self.escrow_pools,
            now_ms=now_ms,
            has_completed_bootstrap=self.store.has_completed_bootstrap,
            try_acquire_release=self.recovery.admission.try_acquire_release,
        )
        self.constraints = FleetConstraints(self.priority, self.change_freeze.gate, self.recovery)
        self.persister = self._new_persister(now_ms) if fleet_config.disk else None
        self.rejected_entries = 0  # entries of the fleet file that the replicated store rejected

    def _new_store(self, now_ms: float, sharing: SharingConfig) -> ReplicatedStore:
        identity = self._identity
        return ReplicatedStore(
            identity.router_index,
            identity.router_count,
            identity.incarnation,
            identity.seed,
            period_ms=sharing.period,
            window_ms=sharing.fresh,
            clock_rate=identity.clock_rate,
            now_ms=now_ms,
        )

    def _new_escrow(self, now_ms: float, *, has_complete_history: bool, is_durable: bool) -> Escrow:
        identity = self._identity
        return Escrow(
            identity.router_index,
            identity.router_count,
            identity.incarnation,
            identity.seed,
            clock_rate=identity.clock_rate,
            now_ms=now_ms,
            has_complete_history=has_complete_history,
            is_durable=is_durable,
        )

    def _new_persister(self, now_ms: float) -> StatePersister:
        return StatePersister(self.store, self.recovery, self._on_state_recovered, now_ms)

    def _on_state_recovered(self, now_ms: float, escrow_image: bytes | None) -> None:
        """Replace the escrow by one with the persisted image; None: no image could be recovered."""
        persister = self.persister
        is_durable = persister is not None and not persister.is_degraded
        has_complete_history = escrow_image is not None or self.router_count == 1
        self.escrow = self._new_escrow(
            now_ms, has_complete_history=has_complete_history, is_durable=is_durable
        )
        if escrow_image is not None:
            self.escrow.restore(escrow_image)
        self.escrow_pools.escrow = self.escrow
        if persister is not None:
            persister.escrow = self.escrow

    @property
    def components(self) -> tuple[Component, ...]:
        """Return the components in the order of their ticks."""
        return (self.store, self.escrow, self.priority, self.change_freeze, self.recovery)

    def apply_fleet_config(self, now_ms: float, fleet_config: FleetConfig) -> list[OutboundMessage]:
        """Propose the entries of the file to the replicated store; entries already stored change nothing."""
        messages: list[OutboundMessage] = []
        for kind, name, body in (
            *contract_entries.entries_from_config(fleet_config),
            *window_entries.entries_from_config(fleet_config),
        ):
            proposed = self.store.propose(now_ms, kind, name, body)
            if isinstance(proposed, RejectedEntry):
                self.rejected_entries += 1
                error = f"{proposed.location}: {proposed.reason}"
                line = format_event("entry_rejected", kind=kind, name=name, error=error)
                messages.append(LogMessage(line))
        return messages + list(self.on_entries_changed(now_ms))

    def on_entries_changed(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Notify the components of new and changed entries, and refresh the routing constraints."""
        entries = self.store.take_changes()
        if entries and self.persister is not None:
            self.persister.on_entries_changed(entries)
        messages = self.notify(now_ms, EntriesChanged(entries)) if entries else []
        self.constraints.refresh(now_ms)
        return messages

    def before_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Update the Unix time before a tick, from the wall clock and from samples of the peers' clocks."""
        clock = self.change_freeze.wall_clock
        samples = self.store.peer_clock_samples
        for sender, sample in samples.items():
            clock.add_sample(sample.received_at_ms, sender, sample.unix_ms, sample.sent_at_ms)
        samples.clear()
        messages = self.notify(now_ms, WallClockRead(self.wall_clock_ms()))
        self.store.unix_ms = clock.unix_ms(now_ms)
        return messages

    def released_settings(self, now_ms: float) -> RouterSettings | None:
        """Return settings that a change freeze deferred and that may now apply; None: there are none.

        Deferred loads and changes of home workers need no action here, because later requests cause the same
        changes again. This method only removes them from the deferred changes, at the rate that the recovery
        allows.
        """
        deferred = self.change_freeze.gate.deferred_settings
        released = self.change_freeze.release_deferred_changes(now_ms)
        return deferred if any(change.kind is PlacementChangeKind.SETTINGS for change in released) else None

    def notify(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        """Pass a notification to the fleet components, and return the resulting messages."""
        self.escrow_pools.now_ms = now_ms
        return [
            message
            for component in self.components
            for message in component.on_notification(now_ms, notification)
        ]

    def on_attempt_ended(
        self,
        now_ms: float,
        event: AttemptEnded,
        function_id: int,
        tenant_index: int | None,
        *,
        was_warm: bool | None,
    ) -> None:
        """Notify the fleet components of the end of an attempt.

        Args:
            now_ms: Current time of the monotonic clock.
            event: The end of the attempt.
            function_id: The function of the request.
            tenant_index: The tenant of the request; None: of no tenant.
            was_warm: Whether an instance was loaded at the worker before the attempt; None: unknown.
        """
        if event.outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
            self.change_freeze.on_worker_down(now_ms, event.worker_id)
        completed = AttemptCompleted(
            event.worker_id, function_id, tenant_index, event.latency_ms, event.outcome, was_warm
        )
        self.notify(now_ms, completed)

    def status(self) -> Mapping[str, str]:
        """Return the metrics that belong to no single component."""
        return {"declared_unusable": str(self.rejected_entries), "routers": str(self.router_count)}
