"""The decisions of one router and the parts that stand beside them.

Hosted alike by the simulator's adapter and the planner. What the settings forbid is not made. The parts are
listed in ``_join`` alone; each is asked in turn, told of what changes, and given its own datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cedarthread.components.interface import Component, Notification, SettingsChanged
from cedarthread.gossip.load_gossip import LoadGossip
from cedarthread.membership.codec import MemberStatus
from cedarthread.membership.swim import SwimMembership
from cedarthread.model.actions import Action, LogMessage, SetTimer, StartAttempt
from cedarthread.model.endpoints import EndpointUpdate
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import RouterSettings
from cedarthread.routing.router import Router

if TYPE_CHECKING:
    from cedarthread.components.fleet import FleetComponents
    from cedarthread.fleet_config import FleetConfig

COMPONENT_TIMER_TOKEN = 2**32 - 1  # the token of the timer beside the router, whose own stay under 2^31
TICK_PERIOD_MS = 250.0  # ms between the parts' turns
TICK_STALLED_MS = 500.0  # ms without a turn after which one comes before anything else
MAX_LOGGED_MEMBERS = 8  # members that one log line names

_IS_LOADED_AFTER = {
    StartKind.WARM: True,
    StartKind.COLD: True,
    StartKind.PENDING: True,
    StartKind.LOAD_FAILED: False,
}
_WAS_WARM = {StartKind.WARM: True, StartKind.COLD: False, StartKind.PENDING: False}


class RoutingNode:
    """One router, and the parts that stand beside it."""

    def __init__(self, settings: RouterSettings, seed: int, incarnation: int | None = None) -> None:
        """``life``: a number drawn anew at each start; None: from the seed, where that is."""
        self.seed, self.incarnation, self.settings = seed, incarnation, settings
        self.fleet_components: FleetComponents | None = (
            None  # what operators declare for the fleet, where a file is named
        )
        self.router = Router(settings, seed)
        self.load_gossip: LoadGossip | None = None
        self.membership: SwimMembership | None = None
        self.components: list[Component] = []
        self.component_by_message_type: dict[int, Component] = {}
        # Attempts that are out: request and worker to function and tenant.
        self.in_flight: dict[tuple[int, int], tuple[int, int | None]] = {}
        self.is_timer_set, self.last_tick_at_ms = False, 0.0
        self.update_settings(settings)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return what is to be done, in order."""
        if not self.components:
            return self.router.handle(now, event)
        actions: list[Action] = []
        if self.fleet_components is not None and now - self.last_tick_at_ms > TICK_STALLED_MS:
            actions += self._on_tick(now)  # what has begun or ended meanwhile counts before what comes now
            actions += self.fleet_components.on_entries_changed(now)
        if type(event) is PeerMessageReceived:
            actions += self._on_peer_message(now, event)
        elif type(event) is TimerFired and event.token == COMPONENT_TIMER_TOKEN:
            actions += self._on_tick(now)
        else:
            actions += self._on_router_event(now, event)
        if self.membership is not None and self.membership.status_changes:
            actions += self._on_membership_changes(now, self.membership)
        if self.fleet_components is not None:
            actions += self.fleet_components.on_entries_changed(now)
        if self.load_gossip is not None:
            if self.load_gossip.changed_workers:
                self._apply_peer_load(self.load_gossip.changed_workers)
            actions += self.load_gossip.collect_due_datagrams(now)
        if not self.is_timer_set:
            self.is_timer_set = True
            actions.append(SetTimer(now + TICK_PERIOD_MS, COMPONENT_TIMER_TOKEN))
        return actions

    def status(self, now: float) -> dict[str, str]:
        """What operators read of the parts."""
        told = dict(self.fleet_components.status(now)) if self.fleet_components is not None else {}
        return told | {name: figure for part in self.components for name, figure in part.status(now).items()}

    def apply_fleet_config(
        self, now: float, fleet_config: FleetConfig, wall_clock_ms: Callable[[], float]
    ) -> list[Action]:
        """Take the operators' file, read whole. ``wall``: the wall clock, Unix ms."""
        if self.fleet_components is None:
            from cedarthread.components.fleet import FleetComponents

            life = self.seed if self.incarnation is None else self.incarnation
            self.fleet_components = FleetComponents(
                fleet_config, self.settings, self.seed, life, now, wall_clock_ms
            )
            self.router.state.constraints = self.fleet_components.constraints
            self._update_components(self.settings)
            self._notify_peers_changed(now)
            self.fleet_components.notify(now, self.router.state.workers.snapshot())
            self._on_tick(now)
        actions: list[Action] = [*self.fleet_components.apply_fleet_config(now, fleet_config)]
        if not self.is_timer_set:
            self.is_timer_set = True
            actions.append(SetTimer(now + TICK_PERIOD_MS, COMPONENT_TIMER_TOKEN))
        return actions

    def _on_tick(self, now: float) -> list[Action]:
        """Some times a second."""
        actions: list[Action] = []
        if self.fleet_components is not None:
            actions += self.fleet_components.before_tick(now)
            if (settings := self.fleet_components.released_settings(now)) is not None:
                self.update_settings(settings, now)
            self._update_components(self.settings)
        for part in self.components:
            actions += part.on_tick(now)
        self.is_timer_set, self.last_tick_at_ms = False, now
        return actions

    def update_settings(self, settings: RouterSettings, now: float = 0.0) -> None:
        """New settings whose classes only add to the old ones; what they now forbid ends."""
        if self.fleet_components is not None:  # what would move copies may have to wait
            settings = self.fleet_components.change_freeze.gate.admitted_settings(
                now, self.settings, settings
            )
        self.settings = settings
        self.router.update_settings(settings)
        self.router.state.live_router_count = max(1, settings.router_count)
        self._update_components(settings)
        if self.load_gossip is None:
            self.is_timer_set = self.is_timer_set and bool(self.components)
            for view in self.router.workers.values():
                view.peers_in_flight = 0.0
            for function in self.router.functions.values():
                function.gossiped_instances = {}
        self.router.state.gossip = self.load_gossip
        self._notify_components(now, SettingsChanged(settings))
        self._notify_peers_changed(now)

    def _update_components(self, settings: RouterSettings) -> None:
        """The parts, in the order of their turns."""
        if settings.limits.allows_gossip and settings.router_count > 1:
            if self.membership is None or self.membership.router_count != settings.router_count:
                self.membership = SwimMembership(settings.router_index, settings.router_count, self.seed)
            self.load_gossip = self.load_gossip or LoadGossip(settings, self.seed, self.incarnation)
        else:
            self.load_gossip = self.membership = None
        shared = self.fleet_components.components if self.fleet_components is not None else ()
        every: tuple[Component | None, ...] = (self.load_gossip, self.membership, *shared)
        self.components = [part for part in every if part is not None]
        self.component_by_message_type = {
            form: part for part in self.components for form in part.message_types
        }

    def _notify_components(self, now: float, notification: Notification) -> Sequence[Action]:
        return [word for part in self.components for word in part.on_notification(now, notification)]

    def _on_peer_message(self, now: float, event: PeerMessageReceived) -> Sequence[Action]:
        """A datagram goes to the part whose it is; one of no known form is the talk's to count."""
        if self.membership is not None:
            self.membership.record_activity(now, event.sender_index)
        part = self.component_by_message_type.get(event.data[0] if event.data else 0, self.load_gossip)
        return part.on_message(now, event.sender_index, event.data) if part is not None else []

    def _on_router_event(self, now: float, event: Event) -> list[Action]:
        """The router's own events."""
        talk, sharing = self.load_gossip, self.fleet_components
        if type(event) is AttemptEnded:
            self._record_ended_attempt(now, event)
        elif type(event) is EndpointUpdate and sharing is not None:
            sharing.notify(now, event)
        actions = self.router.handle(now, event)
        if type(event) is RequestArrived and not event.is_client_retry and talk is not None:
            talk.on_first_attempt()
        self._record_started_attempts(actions)
        return actions

    def _notify_peers_changed(self, now: float) -> Sequence[Action]:
        """Who is there: shares of the fleet's work, and whom the parts tell, go by it."""
        if self.membership is None:
            return []
        self.router.state.live_router_count = self.membership.alive_count()
        return self._notify_components(now, self.membership.peers_changed(now))

    def _on_membership_changes(self, now: float, membership: SwimMembership) -> list[Action]:
        """Members are held otherwise than before."""
        words = [
            f"{c.member_index} {c.status.name.lower()}"
            for c in membership.status_changes
            if c.status is not MemberStatus.SUSPECT
        ]
        membership.status_changes.clear()
        actions = list(self._notify_peers_changed(now))
        named = ", ".join(words[:MAX_LOGGED_MEMBERS])
        text = f"members: {membership.alive_count()} of {membership.router_count} routers there; {named}"
        return [*actions, LogMessage(text)] if words else actions

    def _apply_peer_load(self, moved: dict[int, float]) -> None:
        """Calls of others at a worker have changed, as the talk has it."""
        for worker, calls in moved.items():
            if (view := self.router.workers.get(worker)) is not None:
                view.peers_in_flight = calls
        moved.clear()

    def _record_started_attempts(self, actions: list[Action]) -> None:
        for action in actions:
            if (
                type(action) is StartAttempt
                and (job := self.router.pending_requests.get(action.request_id)) is not None
            ):
                self.in_flight[action.request_id, action.worker_id] = (
                    job.request.function_id,
                    job.request.tenant_index,
                )
                if self.load_gossip is not None:
                    self.load_gossip.on_attempt_sent(action.worker_id, job.request.function_id)

    def _record_ended_attempt(self, now: float, event: AttemptEnded) -> None:
        function, tenant = self.in_flight.pop((event.request_id, event.worker_id), (None, None))
        if function is None:
            return
        if self.load_gossip is not None:
            stands = True if event.outcome is Outcome.OK else _IS_LOADED_AFTER.get(event.start_kind)
            stands = False if event.outcome is Outcome.NOT_LOADED else stands
            self.load_gossip.on_attempt_ended(now, event.worker_id, function, stands)
        if self.fleet_components is not None:
            self.fleet_components.on_attempt_ended(
                now, event, function, tenant, _WAS_WARM.get(event.start_kind)
            )
            held = self.router.feedback.reported_load(event)
            if held is not None:
                self.fleet_components.recovery.on_load_report(*held)
