"""The escrow component: protocols, unknown senders, false responses, rate limits, hints and backoff."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from cedarthread.components.messages import MessageType
from cedarthread.components.notifications import PeersChanged
from cedarthread.escrow import codec
from cedarthread.escrow.codec import EscrowRequest
from cedarthread.escrow.escrow import Escrow
from cedarthread.escrow.grantor import RESPONSE_BURST
from cedarthread.escrow.requester import REQUEST_BURST
from cedarthread.model.actions import SendToPeer
from tests.unit.escrow.builders import (
    CLOCK_RATE,
    POOL,
    READY_MS,
    TICK_DELAY_MS,
    datagrams,
    decoded_response,
    request_from,
    response_of,
    two_escrows,
)

if TYPE_CHECKING:
    from cedarthread.components.component import Component
    from cedarthread.components.quota_escrow import QuotaEscrow


def test_protocols_are_met_and_unknown_senders_and_pools_are_counted() -> None:
    escrow, peer = two_escrows(100, is_consumable=False)
    component: Component = escrow
    quota_escrow: QuotaEscrow = escrow
    assert component.message_types == {MessageType.ESCROW}
    assert quota_escrow.available(READY_MS, "none") == 0
    assert not quota_escrow.consume(READY_MS, POOL)
    request = request_from(peer, READY_MS, 80)
    for sender in (0, 2, -1):
        assert not escrow.on_message(READY_MS, sender, request)
    assert escrow.status(READY_MS)["grants-strangers"] == "3"
    escrow.open_pool(POOL, 10**6, is_consumable=True, ends_at_ms=None)
    assert escrow.available(READY_MS, POOL) == 50, "the kind of a pool does not change"
    assert escrow.status(READY_MS)["grants-lies"] == "1"
    peer.open_pool("q", 9, is_consumable=True, ends_at_ms=None)
    peer.request(READY_MS, POOL, 0)
    peer.request(READY_MS, "q", 9)
    request_for_unknown_pool = datagrams(peer.on_tick(READY_MS + 900.0))[0]
    assert not escrow.on_message(READY_MS, 1, request_for_unknown_pool)
    assert escrow.status(READY_MS)["grants-unknown"] == "1"


def test_responses_that_match_no_request_or_exceed_it_add_no_units() -> None:
    granting, requesting = two_escrows(100, is_consumable=True)
    request = request_from(requesting, READY_MS, 60)
    response = decoded_response(response_of(granting, READY_MS + TICK_DELAY_MS, 1, request))
    assert response.amount == 10
    now_ms = READY_MS + 400.0
    false_fields: list[dict[str, Any]] = [
        {"requester_incarnation": 7},
        {"nonce": 7},
        {"amount": 11},
        {"term_ms": 9},
    ]
    for false_field in false_fields:
        false_response = dataclasses.replace(response, **false_field)
        requesting.on_message(now_ms, 0, codec.encode(false_response))
        assert requesting.available(now_ms, POOL) == 50, false_field
    requesting.on_message(now_ms, 0, codec.encode(response))
    assert requesting.available(now_ms, POOL) == 60


def test_requests_and_responses_are_rate_limited_and_only_alive_peers_are_sent_requests() -> None:
    escrow = Escrow(0, 200, 1, 1, clock_rate=CLOCK_RATE, has_complete_history=True)
    for number in range(40):
        escrow.open_pool(f"p{number}", 2000, is_consumable=True, ends_at_ms=None)
        escrow.request(0.0, f"p{number}", 500)
    escrow.on_notification(0.0, PeersChanged((3, 4), 3, {}))
    messages = [message for message in escrow.on_tick(300.0) if isinstance(message, SendToPeer)]
    assert len(messages) == REQUEST_BURST
    assert {message.peer_index for message in messages} == {3, 4}
    requests = [codec.encode(EscrowRequest(codec.pool_key("p0"), 5, nonce, 1)) for nonce in range(200)]
    assert sum(len(escrow.on_message(300.0, 7, data)) for data in requests) == RESPONSE_BURST
    assert escrow.counters["drowned"] == 200 - RESPONSE_BURST


def test_a_denial_hints_at_a_peer_that_may_have_units() -> None:
    escrow = Escrow(0, 3, 1, 1, clock_rate=CLOCK_RATE, has_complete_history=True)
    escrow.open_pool(POOL, 3, is_consumable=True, ends_at_ms=None)
    for nonce, (sender, hinted_peer) in enumerate([(2, codec.NO_HINT), (1, 2), (2, codec.NO_HINT)]):
        request = codec.encode(EscrowRequest(codec.pool_key(POOL), 5, nonce, 1))
        response = decoded_response(response_of(escrow, 0.0, sender, request))
        assert (response.amount, response.hinted_peer) == (int(nonce == 0), hinted_peer)


def test_fluctuating_demand_does_not_cancel_every_backoff() -> None:
    escrow = Escrow(0, 50, 1, 1, clock_rate=CLOCK_RATE, has_complete_history=True)
    escrow.open_pool(POOL, 50_000, is_consumable=False, ends_at_ms=None)
    sent_by_tick: list[int] = []
    for tick in range(480):
        now_ms = READY_MS + 250.0 * tick
        escrow.request(now_ms, POOL, 5000 + tick % 2)
        sent_by_tick.append(len(escrow.on_tick(now_ms)))
    assert max(sent_by_tick) > 5, sent_by_tick
    assert sum(sent_by_tick[80:]) < 100, sent_by_tick
