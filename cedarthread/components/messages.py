"""Datagrams between routers: their types, and what a component asks its host to send or log."""

from __future__ import annotations

from enum import IntEnum

from cedarthread.model.actions import LogMessage, SendToPeer


class MessageType(IntEnum):
    """The first byte of each kind of datagram between routers."""

    GOSSIP = 0xC1
    MEMBERSHIP = 0xC2
    REPLICATION = 0xC3
    ESCROW = 0xC4
    RECOVERY = 0xC5  # warm instances, queried by routers that restarted
    LOAD_PRESSURE = 0xC6  # how overloaded a router is, and what tenants have used


OutboundMessage = SendToPeer | LogMessage
