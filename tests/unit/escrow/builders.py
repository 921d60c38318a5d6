"""Escrows of a fleet of two with one pool, and the datagrams that they exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.escrow import codec
from cedarthread.escrow.codec import EscrowResponse
from cedarthread.escrow.escrow import Escrow
from cedarthread.model.actions import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.components.messages import OutboundMessage

POOL = "p"
CLOCK_RATE = 0.001
READY_MS = 5000.0  # time from which a router may use its own units of a rate
TICK_DELAY_MS = 300.0  # time from the demand to the tick that sends the request


def two_escrows(total: int, *, is_consumable: bool, is_durable: bool = False) -> list[Escrow]:
    """Return the escrows of routers 0 and 1 of a fleet of two, with one open pool."""
    escrows = [
        Escrow(
            router_index,
            2,
            50 + router_index,
            router_index,
            clock_rate=CLOCK_RATE,
            has_complete_history=True,
            is_durable=is_durable,
        )
        for router_index in range(2)
    ]
    for escrow in escrows:
        escrow.open_pool(POOL, total, is_consumable=is_consumable, ends_at_ms=None)
    return escrows


def datagrams(messages: Iterable[OutboundMessage]) -> list[bytes]:
    """Return the bytes of messages that must all be datagrams to one peer."""
    contents: list[bytes] = []
    for message in messages:
        assert isinstance(message, SendToPeer)
        contents.append(message.data)
    return contents


def request_from(escrow: Escrow, now_ms: float, amount: int) -> bytes:
    """Set a router's demand and return the one request that it sends at its next tick."""
    escrow.request(now_ms, POOL, amount)
    (request,) = datagrams(escrow.on_tick(now_ms + TICK_DELAY_MS))
    return request


def response_of(escrow: Escrow, now_ms: float, sender: int, request: bytes) -> bytes:
    """Deliver a request and return the one response to it."""
    (message,) = escrow.on_message(now_ms, sender, request)
    assert isinstance(message, SendToPeer)
    assert message.peer_index == sender
    return message.data


def decoded_response(data: bytes) -> EscrowResponse:
    """Decode a datagram that must be a response."""
    response = codec.decode(data)
    assert isinstance(response, EscrowResponse)
    return response
