"""The dispatch of datagrams, ticks and notifications to the components of a routing node."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

import pytest

from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, SettingsChanged
from cedarthread.model.actions import LogMessage, SendToPeer, SetTimer
from cedarthread.model.events import PeerMessageReceived, TimerFired
from cedarthread.node.routing_node import COMPONENT_TIMER_TOKEN, RoutingNode
from tests.helpers import LIMITS, settings

SETTINGS = settings(router_count=3, router_index=0)


class RecordingComponent:
    """A component that records its datagrams, ticks and notifications."""

    message_types = frozenset({MessageType.LOAD_PRESSURE})

    def __init__(self) -> None:
        self.received: list[str] = []

    def on_message(self, now_ms: float, sender: int, data: bytes) -> list[OutboundMessage]:
        self.received.append(f"message {sender} {data[1:].decode()}")
        return [LogMessage("received")]

    def on_tick(self, now_ms: float) -> list[OutboundMessage]:
        self.received.append("tick")
        return [SendToPeer(b"\xc6now", 1)]

    def on_notification(self, now_ms: float, notification: Notification) -> list[OutboundMessage]:
        self.received.append(type(notification).__name__)
        return []

    def status(self, now_ms: float) -> dict[str, str]:
        return {"component": str(len(self.received))}


class NodeWithComponent(NamedTuple):
    """A routing node and a component that was added to it."""

    node: RoutingNode
    component: RecordingComponent


def node_with_component() -> NodeWithComponent:
    node = RoutingNode(SETTINGS, 1)
    component = RecordingComponent()
    node.components.active.append(component)
    node.components.by_message_type[MessageType.LOAD_PRESSURE] = component
    return NodeWithComponent(node, component)


def test_each_datagram_reaches_the_component_of_its_type() -> None:
    node, component = node_with_component()
    assert LogMessage("received") in node.handle(1.0, PeerMessageReceived(2, b"\xc6word"))
    for data in (b"", b"\x00", b"\xc1", b"\xc2" + bytes(300)):  # unknown types, or types of other components
        node.handle(2.0, PeerMessageReceived(2, data))
    assert component.received == ["message 2 word"]
    # Gossip counts its own malformed datagrams and those of unknown types.
    assert node.load_gossip is not None
    assert node.load_gossip.malformed_datagrams == 3
    assert node.membership is not None
    assert node.membership.malformed_datagrams == 1


def test_one_timer_ticks_all_components_and_status_merges_their_metrics() -> None:
    node, _ = node_with_component()
    actions = node.handle(250.0, TimerFired(COMPONENT_TIMER_TOKEN))
    assert SendToPeer(b"\xc6now", 1) in actions
    assert sum(isinstance(action, SetTimer) for action in actions) == 1
    assert node.status(250.0) | {"component": "1"} == node.status(250.0)


@pytest.mark.parametrize("allows_gossip", [True, False])
def test_components_are_notified_of_new_settings_and_forbidden_ones_do_not_exist(allows_gossip: bool) -> None:
    node = RoutingNode(SETTINGS, 1)
    new_settings = dataclasses.replace(
        SETTINGS, limits=dataclasses.replace(LIMITS, allows_gossip=allows_gossip)
    )
    node.update_settings(new_settings)
    assert [type(component).__name__ for component in node.components.active] == (
        ["LoadGossip", "SwimMembership"] if allows_gossip else []
    )
    assert node.router.state.gossip is node.load_gossip
    assert (node.load_gossip is not None) is allows_gossip
    node, component = node_with_component()
    node.components.notify(0.0, SettingsChanged(new_settings))
    assert component.received == ["SettingsChanged"]
