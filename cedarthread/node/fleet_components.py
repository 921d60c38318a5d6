"""The components that the operators' fleet file switches on, connected to each other.

This module and what it imports are loaded only where a fleet file is named. Where the settings forbid gossip,
a router acts on its own file alone: as a fleet of one, whose replicated store is always fresh.
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
    from cedarthread.fleet_config import FleetConfig
    from cedarthread.model.events import AttemptEnded
    from cedarthread.model.settings import RouterSettings


class _Identity(NamedTuple):
    """Who this router is to its peers, and on which clock."""

    router_index: int
    router_count: int
    incarnation: int
    seed: int
    clock_rate: float  # fraction by which a steady clock may run fast or slow


class FleetComponents:
    """Replicated store, escrow, priorities, change freeze and restart recovery of one router."""

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
        """``wall_clock_ms``: reads the wall clock, Unix ms."""
        sharing = fleet_config.sharing
        has_peers = settings.limits.allows_gossip and settings.router_count > 1
        self.router_count = settings.router_count if has_peers else 1
        self.wall_clock_ms = wall_clock_ms
        self._identity = _Identity(
            settings.router_index if has_peers else 0,
            self.router_count,
            incarnation,
            seed,
            sharing.clock_rate,
        )
        self.store = ReplicatedStore(
            self._identity.router_index,
            self._identity.router_count,
            incarnation,
            seed,
            period_ms=sharing.period,
            window_ms=sharing.fresh,
            clock_rate=sharing.clock_rate,
            now_ms=now_ms,
        )
        self.escrow = self._new_escrow(now_ms, has_memory=self.router_count == 1, is_durable=False)
        self.escrow_pools = EscrowPools(self.escrow, self.store)
        self.priority = PriorityComponent(self.store, self.escrow_pools, settings, seed)
        self.recovery = RecoveryComponent(settings, seed ^ incarnation, now_ms)
        self.change_freeze = ChangeFreezeComponent(
            settings,
            sharing,
            self.store,
            self.escrow_pools,
            now_ms=now_ms,
            has_read_enough_peers=self.store.has_read_enough_peers,
            acquire_release=self.recovery.admission.try_acquire_release,
        )
        self.constraints = FleetConstraints(self.priority, self.change_freeze.gate, self.recovery)
        self.persister = self._new_persister(now_ms) if fleet_config.disk else None
        self.rejected_entries = 0  # of the fleet file, by the replicated store

    def _new_escrow(self, now_ms: float, *, has_memory: bool, is_durable: bool) -> Escrow:
        identity = self._identity
        return Escrow(
            identity.router_index,
            identity.router_count,
            identity.incarnation,
            identity.seed,
            clock_rate=identity.clock_rate,
            now_ms=now_ms,
            has_memory=has_memory,
            is_durable=is_durable,
        )

    def _new_persister(self, now_ms: float) -> StatePersister:
        return StatePersister(self.store, self.recovery, self._on_state_recovered, now_ms)

    def _on_state_recovered(self, now_ms: float, escrow_image: bytes | None) -> None:
        """Begin the escrow anew with its persisted image; None where none could be recovered."""
        persister = self.persister
        is_durable = persister is not None and not persister.is_degraded
        has_memory = escrow_image is not None or self.router_count == 1
        self.escrow = self._new_escrow(now_ms, has_memory=has_memory, is_durable=is_durable)
        if escrow_image is not None:
            self.escrow.restore(escrow_image)
        self.escrow_pools.escrow = self.escrow
        if persister is not None:
            persister.escrow = self.escrow

    @property
    def components(self) -> tuple[Component, ...]:
        """The components, in the order of their ticks."""
        return (self.store, self.escrow, self.priority, self.change_freeze, self.recovery)

    def apply_fleet_config(self, now_ms: float, fleet_config: FleetConfig) -> list[OutboundMessage]:
        """Propose the file's entries to the replicated store; those that it holds already change nothing."""
        messages: list[OutboundMessage] = []
        for kind, name, body in (
            *contract_entries.entries_from_config(fleet_config),
            *window_entries.entries_from_config(fleet_config),
        ):
            proposed = self.store.propose(now_ms, kind, name, body)
            if isinstance(proposed, RejectedEntry):
                self.rejected_entries += 1
                error = f"{proposed.location}: {proposed.problem}"
                line = format_event("entry_rejected", kind=kind, name=name, error=error)
                messages.append(LogMessage(line))
        return messages + list(self.on_entries_changed(now_ms))

    def on_entries_changed(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Pass entries that came or changed to the components, and refresh the routing constraints."""
        entries = self.store.take_changes()
        if entries and self.persister is not None:
            self.persister.on_entries_changed(entries)
        messages = self.notify(now_ms, EntriesChanged(entries)) if entries else []
        self.constraints.refresh(now_ms)
        return messages

    def before_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Before a tick: read the wall clock, and take the samples of the peers' clocks."""
        clock, samples = self.change_freeze.wall_clock, self.store.peer_clock_samples
        for sender, (unix_ms, sent_at_ms, received_at_ms) in samples.items():
            clock.add_sample(received_at_ms, sender, unix_ms, sent_at_ms)
        samples.clear()
        messages = self.notify(now_ms, WallClockRead(self.wall_clock_ms()))
        self.store.unix_ms = clock.unix_ms(now_ms)
        return messages

    def released_settings(self, now_ms: float) -> RouterSettings | None:
        """Settings that a change freeze deferred and that may be in force now; None where there are none.

        Deferred loads and home workers need no such release: the router's own calls want them again. Here
        they are only removed from the deferred changes, at the pace of the recovery.
        """
        deferred = self.change_freeze.gate.deferred_settings
        released = self.change_freeze.release_deferred_changes(now_ms)
        return deferred if any(change.kind is PlacementChangeKind.SETTINGS for change in released) else None

    def notify(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        """Pass a notification to these components."""
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
        was_warm: bool | None,
    ) -> None:
        """An attempt has ended. ``was_warm``: an instance was loaded before it; None: unknown."""
        if event.outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
            self.change_freeze.on_worker_down(now_ms, event.worker_id)
        completed = AttemptCompleted(
            event.worker_id, function_id, tenant_index, event.latency_ms, event.outcome, was_warm
        )
        self.notify(now_ms, completed)

    def status(self) -> Mapping[str, str]:
        """The figures that belong to no single component."""
        return {"declared_unusable": str(self.rejected_entries), "routers": str(self.router_count)}
