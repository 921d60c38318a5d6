"""The types of datagrams between routers, and the messages that a component passes to its host."""

from __future__ import annotations

from enum import IntEnum

from cedarthread.model.actions import LogMessage, SendToPeer


class MessageType(IntEnum):
    """The first byte of each kind of datagram between routers."""

    GOSSIP = 0xC1
    MEMBERSHIP = 0xC2
    REPLICATION = 0xC3
    ESCROW = 0xC4
    RECOVERY = 0xC5  # queries by recovering routers for warm instances, and the responses
    LOAD_PRESSURE = 0xC6  # reports of how overloaded a router is and how much its tenants use


OutboundMessage = SendToPeer | LogMessage
