"""The escrow of one or two routers: allotments, leases, grants, the disk, rate limits, and invalid bytes."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarthread.components.messages import MessageType
from cedarthread.components.notifications import PeersChanged
from cedarthread.escrow import codec
from cedarthread.escrow.allotment import allotment, allotment_order
from cedarthread.escrow.codec import EscrowRequest, EscrowResponse
from cedarthread.escrow.escrow import Escrow
from cedarthread.escrow.grantor import RESPONSE_BURST
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RESERVE_DIVISOR, Borrower, RatePool
from cedarthread.escrow.requester import REQUEST_BURST
from cedarthread.model.actions import SendToPeer

if TYPE_CHECKING:
    from cedarthread.components.component import Component
    from cedarthread.components.quota_escrow import QuotaEscrow

READY_MS = 5000.0  # by then a router's own rate is available


def two_escrows(total: int, is_consumable: bool, **settings: Any) -> list[Escrow]:
    """Routers 0 and 1 of a fleet of two, with the pool "p"."""
    escrows = [
        Escrow(index, 2, 50 + index, index, clock_rate=0.001, has_memory=True, **settings)
        for index in range(2)
    ]
    for escrow in escrows:
        escrow.open_pool("p", total, is_consumable=is_consumable, ends_at_ms=None)
    return escrows


def request_from(escrow: Escrow, now_ms: float, amount: int) -> bytes:
    """The one request that a router sends for what it wants."""
    escrow.request(now_ms, "p", amount)
    (message,) = escrow.on_tick(now_ms + 300.0)
    assert isinstance(message, SendToPeer)
    return message.data


def response_of(escrow: Escrow, now_ms: float, sender: int, request: bytes) -> bytes:
    """The one response to a request."""
    (message,) = escrow.on_message(now_ms, sender, request)
    assert isinstance(message, SendToPeer) and message.peer_index == sender
    return message.data


@given(st.lists(st.integers(0, 10**9), min_size=2, max_size=2), st.integers(1, 300), st.text())
def test_allotments_add_up_and_no_mix_of_two_totals_exceeds_the_greater(
    totals: list[int], count: int, name: str
) -> None:
    less, more = sorted(totals)
    places = allotment_order(codec.pool_key(name), count)
    assert sorted(places) == list(range(count))
    allotments = [[allotment(total, count, place) for place in range(count)] for total in (less, more)]
    assert [sum(row) for row in allotments] == [less, more]
    assert all(a <= b for a, b in zip(*allotments, strict=True))


@given(st.one_of(st.binary(max_size=80), st.binary(min_size=1, max_size=80).map(lambda b: b"\xc4" + b)))
def test_no_bytes_raise_or_change_what_is_available(data: bytes) -> None:
    escrow, _ = two_escrows(100, True)
    assert not escrow.on_message(READY_MS, 1, data) and escrow.available(READY_MS, "p") == 50
    assert escrow.counters["unreadable"] + escrow.counters["unknown"] == 1


def test_messages_decode_as_they_were_encoded() -> None:
    for message in (EscrowRequest(1, 2**64 - 1, 3, 4), EscrowResponse(1, 2, 3, 2**64 - 1, 5, 6, 7, 8, 9, 10)):
        data = codec.encode(message)
        assert codec.decode(data) == message and data[0] == MessageType.ESCROW and len(data) < 80


def test_protocols_are_met_and_unknown_senders_and_pools_are_counted() -> None:
    escrow, two = two_escrows(100, False)
    component: Component = escrow
    quota_escrow: QuotaEscrow = escrow
    assert component.message_types == {MessageType.ESCROW}
    assert quota_escrow.available(READY_MS, "none") == 0 and not quota_escrow.consume(READY_MS, "p")
    request = request_from(two, READY_MS, 80)
    for sender in (0, 2, -1):
        assert not escrow.on_message(READY_MS, sender, request)
    assert escrow.status(READY_MS)["grants-strangers"] == "3"
    escrow.open_pool("p", 10**6, is_consumable=True, ends_at_ms=None)
    assert escrow.available(READY_MS, "p") == 50, "a pool keeps its kind"
    assert escrow.status(READY_MS)["grants-lies"] == "1"
    two.open_pool("q", 9, is_consumable=True, ends_at_ms=None)
    two.request(READY_MS, "p", 0)
    two.request(READY_MS, "q", 9)
    assert not escrow.on_message(READY_MS, 1, next(iter(two.on_tick(READY_MS + 900.0))).data)  # type: ignore[union-attr]
    assert escrow.status(READY_MS)["grants-unknown"] == "1"


def test_a_lease_counts_once_and_ends_later_at_the_giver_than_at_the_taker() -> None:
    giver, taker = two_escrows(100, False)
    assert taker.available(100.0, "p") == 0, "leases of an earlier incarnation may be out"
    request = request_from(taker, READY_MS, 80)
    sent = READY_MS + 300.0
    response = response_of(giver, sent + 200.0, 1, request)
    assert giver.available(sent + 200.0, "p") == 20, "lowered before it was granted"
    for _ in range(3):
        taker.on_message(sent + 400.0, 0, response)
    assert taker.available(sent + 400.0, "p") == 80
    assert not giver.on_message(sent + 500.0, 1, request), "a duplicated request"
    assert taker.available(sent + LEASE_TERM_MS, "p") == 50, "the term counts from the request"
    assert giver.available(sent + 200.0 + LEASE_TERM_MS * 1.0019, "p") == 20
    assert giver.available(sent + 200.0 + LEASE_TERM_MS * 1.0021, "p") == 50


def test_a_wanted_lease_is_renewed_and_an_unwanted_one_ends() -> None:
    giver, taker = two_escrows(100, False)
    taker.request(READY_MS, "p", 80)
    for now_ms in range(int(READY_MS), int(READY_MS + 15_000), 250):
        for request in taker.on_tick(float(now_ms)):
            for response in giver.on_message(float(now_ms), 1, request.data):  # type: ignore[union-attr]
                taker.on_message(float(now_ms), 0, response.data)  # type: ignore[union-attr]
        if now_ms > READY_MS + 500:
            assert taker.available(float(now_ms), "p") == 80
        if now_ms == READY_MS + 10_000:
            taker.request(float(now_ms), "p", 10)
            break
    assert giver.available(READY_MS + 10_000 + 1.01 * LEASE_TERM_MS, "p") == 50


def test_responses_that_match_no_request_or_exceed_it_add_nothing() -> None:
    giver, taker = two_escrows(100, True)
    response = codec.decode(response_of(giver, READY_MS + 300.0, 1, request_from(taker, READY_MS, 60)))
    assert isinstance(response, EscrowResponse) and response.amount == 10
    names = (
        "pool_key",
        "incarnation",
        "serial",
        "requester_incarnation",
        "nonce",
        "amount",
        "term_ms",
        "total",
        "available",
        "hinted_peer",
    )
    fields = {name: getattr(response, name) for name in names}
    for wrong in ({"requester_incarnation": 7}, {"nonce": 7}, {"amount": 11}, {"term_ms": 9}):
        taker.on_message(READY_MS + 400.0, 0, codec.encode(EscrowResponse(**(fields | wrong))))
        assert taker.available(READY_MS + 400.0, "p") == 50, wrong
    taker.on_message(READY_MS + 400.0, 0, codec.encode(response))
    assert taker.available(READY_MS + 400.0, "p") == 60


def test_a_lost_grant_of_a_count_is_repeated_not_granted_twice() -> None:
    giver, taker = two_escrows(100, True)
    request = request_from(taker, READY_MS, 60)
    first = response_of(giver, READY_MS + 300.0, 1, request)
    retries = [message for message in taker.on_tick(READY_MS + 900.0) if isinstance(message, SendToPeer)]
    assert [message.data for message in retries] == [request], "under the same nonce"
    assert response_of(giver, READY_MS + 1000.0, 1, request) == first and giver.available(READY_MS, "p") == 40


def test_without_memory_a_count_is_zero_unless_new_and_nothing_revives_it() -> None:
    escrow = Escrow(0, 2, 1, 1, clock_rate=0.001)
    escrow.open_pool("old", 10, is_consumable=True, ends_at_ms=9000.0)
    escrow.open_pool("new", 10, is_consumable=True, ends_at_ms=9000.0, is_new=True)
    escrow.open_pool("old", 20, is_consumable=True, ends_at_ms=9000.0)
    assert (escrow.available(0.0, "old"), escrow.available(0.0, "new"), escrow.available(9000.0, "new")) == (
        0,
        5,
        0,
    )
    escrow.on_tick(9001.0)
    assert not escrow.on_message(9001.0, 1, codec.encode(EscrowRequest(codec.pool_key("new"), 5, 1, 1))), (
        "ended: no response"
    )
    escrow.open_pool("new", 10, is_consumable=True, ends_at_ms=20_000.0)
    assert escrow.consume(9002.0, "new", 5) and not escrow.consume(9003.0, "new"), (
        "postponing the end brings nothing back"
    )


@pytest.mark.parametrize("write_failed", [False, True])
def test_with_a_disk_no_unit_is_used_before_it_is_written_off(write_failed: bool) -> None:
    escrow, _ = two_escrows(100, True, is_durable=True)
    assert (
        escrow.available(0.0, "p") == 0
        and escrow.image_to_write(0.0) is None
        and not escrow.consume(0.0, "p", 4)
    )
    image = escrow.image_to_write(0.0)
    assert image is not None and escrow.image_to_write(0.0) is None and escrow.available(0.0, "p") == 0
    if write_failed:
        escrow.mark_write_failed()
        assert escrow.available(0.0, "p") == 0 and escrow.image_to_write(0.0) == image
    escrow.mark_written(0.0)
    free = escrow.available(0.0, "p")
    assert 4 <= free <= 8 and escrow.consume(0.0, "p", 4)
    later = Escrow(0, 2, 9, 9, clock_rate=0.001, has_memory=True, is_durable=False)
    assert later.restore(image)
    later.open_pool("p", 100, is_consumable=True, ends_at_ms=None)
    assert later.available(0.0, "p") == 50 - free, "what was free counts as used"


@given(st.binary(max_size=60))
def test_an_invalid_image_does_not_raise_and_is_no_memory(data: bytes) -> None:
    escrow = Escrow(0, 2, 1, 1, clock_rate=0.001, has_memory=True)
    if not escrow.restore(data):
        escrow.open_pool("p", 10, is_consumable=True, ends_at_ms=None)
        assert escrow.available(0.0, "p") == 0


@pytest.mark.parametrize("seed", range(20))
def test_a_changed_rate_keeps_to_the_greater_total_until_leases_end(seed: int) -> None:
    rng = random.Random(seed)
    giver, taker = two_escrows(100, False)
    taker.on_message(
        READY_MS + 300.0, 0, response_of(giver, READY_MS + 300.0, 1, request_from(taker, READY_MS, 100))
    )
    order = rng.sample([giver, taker], 2)
    for now_ms, escrow in zip((READY_MS + 1000.0, READY_MS + 2000.0), order, strict=True):
        escrow.open_pool("p", 30, is_consumable=False, ends_at_ms=None)
        assert sum(either.available(now_ms, "p") for either in (giver, taker)) <= 100
    end = READY_MS + 2000.0 + LEASE_TERM_MS * 1.003
    assert giver.available(end, "p") == taker.available(end, "p") == 15


def test_a_newcomer_gets_an_even_share_at_the_next_renewal() -> None:
    rate = RatePool("p", 1, 0, 4, clock_drift_factor=1.0, ready_at_ms=0.0)
    rate.total = 400
    first, newcomer = Borrower(1, 1), Borrower(2, 1)
    assert rate.lend(0.0, first, 1, 500) == rate.lendable(0.0)
    assert rate.lend(1900.0, newcomer, 1, 60) == 0
    assert rate.lend(2400.0, first, 2, 500) == rate.lendable(0.0) // 2


def test_requests_and_responses_are_rate_limited_and_only_alive_peers_are_asked() -> None:
    escrow = Escrow(0, 200, 1, 1, clock_rate=0.001, has_memory=True)
    for number in range(40):
        escrow.open_pool(f"p{number}", 2000, is_consumable=True, ends_at_ms=None)
        escrow.request(0.0, f"p{number}", 500)
    escrow.on_notification(0.0, PeersChanged((3, 4), 3, {}))
    messages = [message for message in escrow.on_tick(300.0) if isinstance(message, SendToPeer)]
    assert len(messages) == REQUEST_BURST and {message.peer_index for message in messages} == {3, 4}
    requests = [codec.encode(EscrowRequest(codec.pool_key("p0"), 5, nonce, 1)) for nonce in range(200)]
    assert sum(len(escrow.on_message(300.0, 7, data)) for data in requests) == RESPONSE_BURST
    assert escrow.counters["drowned"] == 200 - RESPONSE_BURST


def test_a_denial_hints_at_a_peer_that_may_have_units() -> None:
    escrow = Escrow(0, 3, 1, 1, clock_rate=0.001, has_memory=True)
    escrow.open_pool("p", 3, is_consumable=True, ends_at_ms=None)
    for nonce, (sender, hint) in enumerate([(2, codec.NO_HINT), (1, 2), (2, codec.NO_HINT)]):
        request = codec.encode(EscrowRequest(codec.pool_key("p"), 5, nonce, 1))
        response = codec.decode(response_of(escrow, 0.0, sender, request))
        assert isinstance(response, EscrowResponse)
        assert (response.amount, response.hinted_peer) == (int(nonce == 0), hint)


def test_fluctuating_demand_does_not_cancel_every_backoff() -> None:
    escrow = Escrow(0, 50, 1, 1, clock_rate=0.001, has_memory=True)
    escrow.open_pool("p", 50_000, is_consumable=False, ends_at_ms=None)
    sent_by_tick = []
    for tick in range(480):
        escrow.request(READY_MS + 250.0 * tick, "p", 5000 + tick % 2)
        sent_by_tick.append(len(escrow.on_tick(READY_MS + 250.0 * tick)))
    assert max(sent_by_tick) > 5 and sum(sent_by_tick[80:]) < 100, sent_by_tick


def test_a_count_lowered_and_raised_again_gains_nothing() -> None:
    escrow, _ = two_escrows(100, True)
    for total, left in ((80, 30), (60, 10), (80, 10), (100, 10), (120, 20), (60, 0)):
        escrow.open_pool("p", total, is_consumable=True, ends_at_ms=None)
        assert escrow.available(0.0, "p") == left


def test_a_giver_keeps_its_demand_and_a_reserve() -> None:
    for demand, left in ((0, 50 // RESERVE_DIVISOR), (30, 30)):
        giver, taker = two_escrows(100, False)
        giver.request(READY_MS, "p", demand)
        response_of(giver, READY_MS + 300.0, 1, request_from(taker, READY_MS, 100))
        assert giver.available(READY_MS + 300.0, "p") == left


def test_a_giver_that_waits_for_its_disk_grants_on_the_retry() -> None:
    giver, taker = two_escrows(100, True, is_durable=True)
    request = request_from(taker, READY_MS, 60)
    assert not giver.on_message(READY_MS + 300.0, 1, request)
    assert giver.image_to_write(READY_MS + 300.0) is not None
    giver.mark_written(READY_MS + 310.0)
    response = codec.decode(response_of(giver, READY_MS + 800.0, 1, request))
    assert isinstance(response, EscrowResponse) and response.amount == 10, "not what waits for its own disk"
    taker.on_message(READY_MS + 900.0, 0, codec.encode(response))
    assert taker.image_to_write(READY_MS + 900.0) is not None
    taker.mark_written(READY_MS + 910.0)
    assert taker.available(READY_MS + 910.0, "p") == 50 + response.amount
