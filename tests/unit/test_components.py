"""The parts beside the router: one interface, one list, each datagram to the part whose it is."""

from __future__ import annotations

import dataclasses

import pytest

from cedarthread.components.interface import MessageType, Notification, OutboundMessage, SettingsChanged
from cedarthread.components.node import COMPONENT_TIMER_TOKEN, RoutingNode
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.model.events import PeerMessageReceived, TimerFired
from tests.helpers import LIMITS, settings

TOLD = settings(router_count=3, router_index=0)


class Noted:
    """Keeps what it is asked and told."""

    message_types = frozenset({MessageType.LOAD_PRESSURE})

    def __init__(self) -> None:
        self.seen: list[str] = []

    def on_message(self, now: float, sender: int, data: bytes) -> list[OutboundMessage]:
        self.seen.append(f"hear {sender} {data[1:].decode()}")
        return [LogMessage("heard")]

    def on_tick(self, now: float) -> list[OutboundMessage]:
        self.seen.append("turn")
        return [SendToPeer(b"\xc6now", 1)]

    def on_notification(self, now: float, fact: Notification) -> list[OutboundMessage]:
        self.seen.append(type(fact).__name__)
        return []

    def status(self, now: float) -> dict[str, str]:
        return {"noted": str(len(self.seen))}


def hosted() -> tuple[RoutingNode, Noted]:
    decisions, noted = RoutingNode(TOLD, 1), Noted()
    decisions.components.active.append(noted)
    decisions.components.by_message_type[MessageType.LOAD_PRESSURE] = noted
    return decisions, noted


def test_each_datagram_goes_to_the_part_whose_it_is() -> None:
    decisions, noted = hosted()
    assert LogMessage("heard") in decisions.handle(1.0, PeerMessageReceived(2, b"\xc6word"))
    for data in (b"", b"\x00", b"\xc1", b"\xc2" + bytes(300)):  # of no form, or of others'
        decisions.handle(2.0, PeerMessageReceived(2, data))
    assert noted.seen == ["hear 2 word"]
    assert (
        decisions.load_gossip is not None and decisions.load_gossip.malformed_datagrams == 3
    )  # what is of no form, and its own
    assert decisions.membership is not None and decisions.membership.malformed_datagrams == 1


def test_all_turn_at_one_timer_and_say_how_they_stand() -> None:
    decisions, _ = hosted()
    actions = decisions.handle(250.0, TimerFired(COMPONENT_TIMER_TOKEN))
    assert SendToPeer(b"\xc6now", 1) in actions
    assert [type(a).__name__ for a in actions].count("SetTimer") == 1
    assert decisions.status(250.0) | {"noted": "1"} == decisions.status(250.0)


@pytest.mark.parametrize("peers", [True, False])
def test_new_settings_are_told_and_what_they_forbid_is_not_made(peers: bool) -> None:
    decisions = RoutingNode(TOLD, 1)
    told = dataclasses.replace(TOLD, limits=dataclasses.replace(LIMITS, allows_gossip=peers))
    decisions.update_settings(told)
    assert [type(part).__name__ for part in decisions.components.active] == (
        ["LoadGossip", "SwimMembership"] if peers else []
    )
    assert (decisions.router.state.gossip is decisions.load_gossip) and (
        decisions.load_gossip is not None
    ) is peers
    decisions, noted = hosted()
    decisions.components.notify(0.0, SettingsChanged(told))
    assert noted.seen == ["SettingsChanged"]
