"""The routing node, which consists of one router and its components.

The simulator's adapter and the dispatcher both host a ``RoutingNode``. The node does no I/O: its host passes
in events and times, and executes the returned actions in order. Times are ms of the host's clock, which never
steps back. Only ``RoutingNode`` writes its state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.components.notifications import SettingsChanged
from cedarthread.logs import format_event
from cedarthread.membership.codec import MemberStatus
from cedarthread.model.actions import Action, LogMessage, SetTimer
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.node.attempt_observer import AttemptObserver
from cedarthread.node.component_set import ComponentSet
from cedarthread.routing.function_table import DEFAULT_MAX_FUNCTIONS
from cedarthread.routing.router import Router

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.fleet_config import FleetConfig
    from cedarthread.gossip.load_gossip import LoadGossip
    from cedarthread.membership.swim import SwimMembership
    from cedarthread.model.settings import RouterSettings
    from cedarthread.node.fleet_components import FleetComponents

COMPONENT_TIMER_TOKEN = 2**32 - 1  # token of the components' timer; tokens of the router are below 2^31
TICK_PERIOD_MS = 250.0  # time between ticks of the components
TICK_STALLED_MS = 500.0  # time without a tick after which the next event is preceded by a tick
MAX_LOGGED_MEMBERS = 8  # maximum number of membership changes in one log line


class RoutingNode:
    """A router and its components, which together consume events and produce actions.

    Args:
        settings: The settings in force.
        seed: Seed of the random number generators of the router and the components.
        incarnation: A random number that identifies this start of the process; None: derived from the seed.
        max_functions: The limit on the router's records of functions.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        incarnation: int | None = None,
        max_functions: int = DEFAULT_MAX_FUNCTIONS,
    ) -> None:
        self.seed = seed
        self.incarnation = incarnation
        self.settings = settings
        self.router = Router(settings, seed, max_functions)
        self.components = ComponentSet(seed, incarnation)
        self._attempts = AttemptObserver(self.router, self.components)
        self._is_timer_set = False
        self._last_tick_at_ms = 0.0
        self.update_settings(settings)

    @property
    def load_gossip(self) -> LoadGossip | None:
        """Return the gossip of load between routers; None: the settings forbid gossip."""
        return self.components.load_gossip

    @property
    def membership(self) -> SwimMembership | None:
        """Return the membership of the fleet; None: the settings forbid gossip."""
        return self.components.membership

    @property
    def fleet_components(self) -> FleetComponents | None:
        """Return the components that the fleet file configures; None: no fleet file is configured."""
        return self.components.fleet

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event, and return the actions to execute in order."""
        components = self.components
        if not components.active:  # the settings forbid gossip, and no fleet file is configured
            return self.router.handle(now_ms, event)
        actions: list[Action] = []
        if components.fleet is not None and now_ms - self._last_tick_at_ms > TICK_STALLED_MS:
            actions += self._on_tick(now_ms)  # a change freeze may have started or ended meanwhile
            actions += components.fleet.on_entries_changed(now_ms)
        if type(event) is PeerMessageReceived:
            actions += components.on_peer_message(now_ms, event)
        elif type(event) is TimerFired and event.token == COMPONENT_TIMER_TOKEN:
            actions += self._on_tick(now_ms)
        else:
            actions += self._on_router_event(now_ms, event)
        if components.membership is not None and components.membership.status_changes:
            actions += self._on_membership_changes(now_ms, components.membership)
        if components.fleet is not None:
            actions += components.fleet.on_entries_changed(now_ms)
        if components.load_gossip is not None:
            if components.load_gossip.changed_workers:
                self._apply_peer_load(components.load_gossip.changed_workers)
            actions += components.load_gossip.collect_due_datagrams(now_ms)
        self._set_timer(now_ms, actions)
        return actions

    def status(self, now_ms: float) -> dict[str, str]:
        """Return the metrics of the components for operators, by name."""
        return self.components.status(now_ms)

    def apply_fleet_config(
        self, now_ms: float, fleet_config: FleetConfig, wall_clock_ms: Callable[[], float]
    ) -> list[Action]:
        """Apply the operators' fleet file, and return the actions to execute in order.

        Args:
            now_ms: Current time of the host's clock.
            fleet_config: The fleet file.
            wall_clock_ms: Reads the wall clock, Unix time in ms.
        """
        if self.components.fleet is None:
            self._create_fleet_components(now_ms, fleet_config, wall_clock_ms)
        assert self.components.fleet is not None
        actions: list[Action] = [*self.components.fleet.apply_fleet_config(now_ms, fleet_config)]
        self._set_timer(now_ms, actions)
        return actions

    def _create_fleet_components(
        self, now_ms: float, fleet_config: FleetConfig, wall_clock_ms: Callable[[], float]
    ) -> None:
        # Imported here, so that the libraries of the fleet components are loaded only if needed.
        from cedarthread.node.fleet_components import FleetComponents

        incarnation = self.seed if self.incarnation is None else self.incarnation
        fleet = FleetComponents(
            fleet_config, self.settings, self.seed, incarnation, now_ms=now_ms, wall_clock_ms=wall_clock_ms
        )
        self.components.fleet = fleet
        self.router.state.constraints = fleet.constraints
        self.components.update(self.settings)
        self._notify_peers_changed(now_ms)
        fleet.notify(now_ms, self.router.state.workers.snapshot())
        self._on_tick(now_ms)

    def update_settings(self, settings: RouterSettings, now_ms: float = 0.0) -> None:
        """Apply new settings, which must contain all previous request classes at the same indexes.

        Components that the new settings forbid are dropped.
        """
        if self.components.fleet is not None:  # a change freeze may defer changes that move instances
            gate = self.components.fleet.change_freeze.gate
            settings = gate.admitted_settings(now_ms, self.settings, settings)
        self.settings = settings
        self.router.update_settings(settings)
        self.router.state.live_router_count = max(1, settings.router_count)
        self.components.update(settings)
        if self.components.load_gossip is None:
            self._is_timer_set = self._is_timer_set and bool(self.components.active)
            self._reset_peer_load()
        self.router.state.gossip = self.components.load_gossip
        self.components.notify(now_ms, SettingsChanged(settings))
        self._notify_peers_changed(now_ms)

    def _set_timer(self, now_ms: float, actions: list[Action]) -> None:
        """Add an action that sets the timer for the next tick, unless the timer is already set."""
        if not self._is_timer_set:
            self._is_timer_set = True
            actions.append(SetTimer(now_ms + TICK_PERIOD_MS, COMPONENT_TIMER_TOKEN))

    def _on_tick(self, now_ms: float) -> list[Action]:
        actions: list[Action] = []
        fleet = self.components.fleet
        if fleet is not None:
            actions += fleet.before_tick(now_ms)
            if (settings := fleet.released_settings(now_ms)) is not None:
                self.update_settings(settings, now_ms)
            self.components.update(self.settings)
        actions += self.components.on_tick(now_ms)
        self._is_timer_set = False
        self._last_tick_at_ms = now_ms
        return actions

    def _on_router_event(self, now_ms: float, event: Event) -> list[Action]:
        load_gossip = self.components.load_gossip
        fleet = self.components.fleet
        if type(event) is AttemptEnded:
            self._attempts.record_ended(now_ms, event)
        elif type(event) is EndpointUpdate and fleet is not None:
            fleet.notify(now_ms, event)
        actions = self.router.handle(now_ms, event)
        if type(event) is RequestArrived and not event.is_client_retry and load_gossip is not None:
            load_gossip.on_first_attempt()
        self._attempts.record_started(actions)
        return actions

    def _notify_peers_changed(self, now_ms: float) -> list[Action]:
        """Notify the router and components of the live peers, which determine quotas and gossip targets."""
        membership = self.components.membership
        if membership is None:
            return []
        self.router.state.live_router_count = membership.alive_count()
        return self.components.notify(now_ms, membership.peers_changed(now_ms))

    def _on_membership_changes(self, now_ms: float, membership: SwimMembership) -> list[Action]:
        """Notify the router and the components of membership changes, and log all except suspicions."""
        changes = [
            f"{change.member_index}:{change.status.name.lower()}"
            for change in membership.status_changes
            if change.status is not MemberStatus.SUSPECT
        ]
        membership.status_changes.clear()
        actions = self._notify_peers_changed(now_ms)
        if not changes:
            return actions
        line = format_event(
            "members_changed",
            alive=membership.alive_count(),
            configured=membership.router_count,
            changes=",".join(changes[:MAX_LOGGED_MEMBERS]),
        )
        return [*actions, LogMessage(line)]

    def _apply_peer_load(self, in_flight_by_worker: dict[int, float]) -> None:
        """Copy the gossiped counts of attempts in flight to the worker records, and clear the counts."""
        for worker_id, in_flight in in_flight_by_worker.items():
            if (worker := self.router.workers.get(worker_id)) is not None:
                worker.peers_in_flight = in_flight
        in_flight_by_worker.clear()

    def _reset_peer_load(self) -> None:
        """Reset the load and the instances that peers reported by gossip."""
        for worker in self.router.workers.values():
            worker.peers_in_flight = 0.0
        for function in self.router.functions.values():
            function.gossiped_instances = {}
