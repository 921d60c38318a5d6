"""The parts that the operators' file switches on, wired to each other. Loaded only where a file is named.

Where routers may not talk each has its file alone: a register of one, which is always fresh."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from cedarthread.change_freeze import window_entries
from cedarthread.change_freeze.component import ChangeFreezeComponent
from cedarthread.components.constraints import RoutingConstraints
from cedarthread.components.interface import (
    AttemptCompleted,
    Component,
    EntriesChanged,
    Notification,
    OutboundMessage,
    WallClockRead,
)
from cedarthread.escrow.escrow import Escrow
from cedarthread.fleet_config import FleetConfig
from cedarthread.model.actions import LogMessage
from cedarthread.model.events import AttemptEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.model.settings import RouterSettings
from cedarthread.persistence.state_persister import StatePersister
from cedarthread.priority import contract_entries
from cedarthread.priority.component import PriorityComponent
from cedarthread.recovery.component import RecoveryComponent
from cedarthread.replication.entry import RejectedEntry
from cedarthread.replication.store import ReplicatedStore

DISK_OPEN_GRACE_MS = (
    2500.0  # ms that the disks of others may take to open: what they remember comes up only then
)


class EscrowPools:
    """The grants as the parts use them: a count that this life saw declared was used by no earlier one."""

    def __init__(self, grants: Escrow, register: ReplicatedStore) -> None:
        self.escrow, self.store = grants, register
        self.now = 0.0
        self.is_new_pool: dict[str, bool] = {}  # counts by whether they were declared in this life

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        """Open or change a pool."""
        if is_consumable and name not in self.is_new_pool:
            self.is_new_pool[name] = self._was_declared_in_this_incarnation()
        self.escrow.open_pool(
            name,
            total,
            is_consumable=is_consumable,
            ends_at_ms=ends_at_ms,
            is_new=is_consumable and self.is_new_pool[name],
        )

    def _was_declared_in_this_incarnation(self) -> bool:
        """Was a count that is heard of first now declared in this life? Who has been fresh for a while had
        all that was in force before; shortly after a start of all, a late disk may still bring it up."""
        since = self.store.fresh_since(self.now)
        return since is not None and self.now - since >= self.store.staleness_bound_ms + DISK_OPEN_GRACE_MS

    def available(self, now: float, name: str) -> int:
        """How much of it this router may use now."""
        return self.escrow.available(now, name)

    def consume(self, now: float, name: str, amount: int = 1) -> bool:
        """Use so much of a count."""
        return self.escrow.consume(now, name, amount)

    def request(self, now: float, name: str, amount: int) -> None:
        """This router could use so much in all."""
        self.escrow.request(now, name, amount)


class FleetComponents:
    """What one router shares with the fleet."""

    def __init__(
        self,
        fleet_config: FleetConfig,
        settings: RouterSettings,
        seed: int,
        incarnation: int,
        now: float,
        wall_clock_ms: Callable[[], float],
    ) -> None:
        has_peers = settings.limits.allows_gossip and settings.router_count > 1
        router_index, count = (settings.router_index, settings.router_count) if has_peers else (0, 1)
        told, self.wall_clock_ms = fleet_config.sharing, wall_clock_ms
        self.router_count = settings.router_count if has_peers else 1
        self.store = ReplicatedStore(
            router_index,
            count,
            incarnation,
            seed,
            period_ms=told.period,
            window_ms=told.fresh,
            clock_rate=told.clock_rate,
            now=now,
        )
        self._identity = router_index, count, incarnation, seed, told.clock_rate
        self.escrow = self._new_escrow(now, count == 1, stored=False)
        self.escrow_pools = EscrowPools(self.escrow, self.store)
        self.priority = PriorityComponent(self.store, self.escrow_pools, settings, seed)
        self.change_freeze = ChangeFreezeComponent(
            settings,
            told,
            self.store,
            self.escrow_pools,
            now=now,
            has_read_enough_peers=self.store.has_read_enough_peers,
        )
        self.recovery = RecoveryComponent(settings, seed ^ incarnation, now)
        self.constraints = RoutingConstraints(self.priority, self.change_freeze.gate, self.recovery)
        self.change_freeze.gate.take_release = lambda at: int(self.recovery.admission.try_acquire_release(at))
        self.persister = (
            StatePersister(self.store, self.recovery, self._on_state_recovered, now)
            if fleet_config.disk
            else None
        )
        self.rejected_entries = 0  # entries that could not be declared

    def _new_escrow(self, now: float, remembered: bool, stored: bool) -> Escrow:
        me, count, life, seed, rate = self._identity
        return Escrow(
            me, count, life, seed, clock_rate=rate, now=now, has_memory=remembered, is_durable=stored
        )

    def _on_state_recovered(self, now: float, image: bytes | None) -> None:
        """The store has been believed, or given up: grants begin with what they remember."""
        keeping = self.persister
        stored = keeping is not None and not keeping.is_degraded
        self.escrow = self._new_escrow(now, image is not None or self.router_count == 1, stored)
        if image is not None:
            self.escrow.restore(image)
        self.escrow_pools.escrow = self.escrow
        if keeping is not None:
            keeping.escrow = self.escrow

    @property
    def components(self) -> tuple[Component, ...]:
        """In the order of their turns."""
        return (self.store, self.escrow, self.priority, self.change_freeze, self.recovery)

    def apply_fleet_config(self, now: float, fleet_config: FleetConfig) -> list[OutboundMessage]:
        """What the file says, at this router: what others hold already is no news."""
        messages: list[OutboundMessage] = []
        for kind, name, body in (
            *contract_entries.entries_from_config(fleet_config),
            *window_entries.entries_from_config(fleet_config),
        ):
            made = self.store.propose(now, kind, name, body)
            if isinstance(made, RejectedEntry):
                self.rejected_entries += 1
                messages.append(
                    LogMessage(f"{kind} {name!r} was not declared: {made.location}: {made.problem}")
                )
        return messages + list(self.on_entries_changed(now))

    def on_entries_changed(self, now: float) -> Sequence[OutboundMessage]:
        """Entries that came or changed, and the wall clock, go to the parts that act on them."""
        entries = self.store.take_changes()
        if entries and self.persister is not None:
            self.persister.on_entries_changed(now, entries)
        messages = self.notify(now, EntriesChanged(entries)) if entries else []
        self.constraints.refresh(now)
        return messages

    def before_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Before the parts' turn: the wall clock, others' too."""
        clock, walls = self.change_freeze.wall_clock, self.store.peer_clock_samples
        for sender, (wall, sent, heard) in walls.items():
            clock.add_sample(heard, sender, wall, sent)
        walls.clear()
        messages = self.notify(now, WallClockRead(self.wall_clock_ms()))
        self.store.unix_ms = clock.unix_ms(now)
        return messages

    def released_settings(self, now: float) -> RouterSettings | None:
        """Settings that a freeze held back and that may be in force now. Loads and homes that it held back
        are wanted again by the router's own calls, so here they are only counted off, under the pace."""
        held = self.change_freeze.gate.deferred_settings
        wishes = self.change_freeze.release_deferred_changes(now)
        return held if any(wish.kind == "retune" for wish in wishes) else None

    def notify(self, now: float, notification: Notification) -> list[OutboundMessage]:
        """A fact for all of these parts."""
        self.escrow_pools.now = now
        return [word for part in self.components for word in part.on_notification(now, notification)]

    def on_attempt_ended(
        self, now: float, event: AttemptEnded, function: int, tenant: int | None, warm: bool | None
    ) -> None:
        """An attempt ended."""
        if event.outcome is Outcome.CONNECT_FAILED and event.is_unreachable:
            self.change_freeze.on_worker_down(now, event.worker_id)
        self.notify(
            now, AttemptCompleted(event.worker_id, function, tenant, event.latency_ms, event.outcome, warm)
        )

    def status(self, now: float) -> Mapping[str, str]:
        """Figures of the whole."""
        return {"declared_unusable": str(self.rejected_entries), "routers": str(self.router_count)}
