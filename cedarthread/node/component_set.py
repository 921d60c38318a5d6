"""The components of one router, and the dispatch of datagrams, ticks and notifications to them.

``RoutingNode`` sets ``fleet`` and calls ``update``; only ``ComponentSet`` writes the rest.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.gossip.load_gossip import LoadGossip
from cedarthread.membership.swim import SwimMembership

if TYPE_CHECKING:
    from cedarthread.components.component import Component
    from cedarthread.components.notifications import Notification
    from cedarthread.model.actions import Action
    from cedarthread.model.events import PeerMessageReceived
    from cedarthread.model.settings import RouterSettings
    from cedarthread.node.fleet_components import FleetComponents


class ComponentSet:
    """The components of one router, in the order of their ticks.

    Components that the settings forbid are not created.

    Args:
        seed: Seed of the random number generators of membership and gossip.
        incarnation: A random number that identifies this start of the process; None: derived from the seed.
    """

    def __init__(self, seed: int, incarnation: int | None) -> None:
        self.load_gossip: LoadGossip | None = None
        self.membership: SwimMembership | None = None
        self.fleet: FleetComponents | None = None  # None: no fleet file is configured
        self.active: list[Component] = []
        self.by_message_type: dict[int, Component] = {}
        self._seed = seed
        self._incarnation = incarnation

    def update(self, settings: RouterSettings) -> None:
        """Create the components that the settings allow, and drop those that the settings forbid.

        Existing components remain. Membership is replaced if the number of routers has changed.
        """
        if settings.limits.allows_gossip and settings.router_count > 1:
            if self.membership is None or self.membership.router_count != settings.router_count:
                self.membership = SwimMembership(settings.router_index, settings.router_count, self._seed)
            self.load_gossip = self.load_gossip or LoadGossip(settings, self._seed, self._incarnation)
        else:
            self.load_gossip = None
            self.membership = None
        fleet_components = self.fleet.components if self.fleet is not None else ()
        candidates: tuple[Component | None, ...] = (self.load_gossip, self.membership, *fleet_components)
        self.active = [component for component in candidates if component is not None]
        self.by_message_type = {
            message_type: component for component in self.active for message_type in component.message_types
        }

    def on_tick(self, now_ms: float) -> list[Action]:
        """Tick each component, and return the resulting actions."""
        return [action for component in self.active for action in component.on_tick(now_ms)]

    def notify(self, now_ms: float, notification: Notification) -> list[Action]:
        """Pass a notification to each component, and return the resulting actions."""
        return [
            action for component in self.active for action in component.on_notification(now_ms, notification)
        ]

    def on_peer_message(self, now_ms: float, event: PeerMessageReceived) -> list[Action]:
        """Pass a datagram to the component of its type; gossip counts unknown types as malformed."""
        if self.membership is not None:
            self.membership.record_activity(now_ms, event.sender_index)
        message_type = event.data[0] if event.data else 0
        component = self.by_message_type.get(message_type, self.load_gossip)
        return (
            list(component.on_message(now_ms, event.sender_index, event.data))
            if component is not None
            else []
        )

    def status(self, now_ms: float) -> dict[str, str]:
        """Return the metrics of all components by name."""
        metrics = dict(self.fleet.status()) if self.fleet is not None else {}
        for component in self.active:
            metrics.update(component.status(now_ms))
        return metrics
