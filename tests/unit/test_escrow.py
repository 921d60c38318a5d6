"""The grants of one or two routers: cutting, lending, giving, the disk, bounds, and bytes of any kind."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarthread.components.interface import Component, MessageType, PeersChanged, QuotaEscrow
from cedarthread.escrow import codec as form
from cedarthread.escrow.allotment import allotment, allotment_order
from cedarthread.escrow.codec import EscrowRequest, EscrowResponse
from cedarthread.escrow.escrow import Escrow
from cedarthread.escrow.grantor import RESPONSE_BURST
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RESERVE_DIVISOR, Borrower, RatePool
from cedarthread.escrow.requester import REQUEST_BURST
from cedarthread.model.actions import SendToPeer

WARM = 5000.0  # ms by which a router's own rates are its own


def pair(total: int, spent: bool, **named: Any) -> list[Escrow]:
    made = [Escrow(n, 2, 50 + n, n, clock_rate=0.001, has_memory=True, **named) for n in range(2)]
    for grants in made:
        grants.open_pool("p", total, is_consumable=spent, ends_at_ms=None)
    return made


def asks(grants: Escrow, now: float, amount: int) -> bytes:
    """The one ask that a router sends for what it wants."""
    grants.request(now, "p", amount)
    (tell,) = grants.on_tick(now + 300.0)
    assert isinstance(tell, SendToPeer)
    return tell.data


def answer(grants: Escrow, now: float, sender: int, ask: bytes) -> bytes:
    (tell,) = grants.on_message(now, sender, ask)
    assert isinstance(tell, SendToPeer) and tell.peer_index == sender
    return tell.data


@given(st.lists(st.integers(0, 10**9), min_size=2, max_size=2), st.integers(1, 300), st.text())
def test_parts_sum_up_to_the_total_and_no_mix_of_two_totals_passes_the_greater(
    totals: list[int], count: int, name: str
) -> None:
    less, more = sorted(totals)
    places = allotment_order(form.pool_key(name), count)
    assert sorted(places) == list(range(count))
    parts = [[allotment(total, count, place) for place in range(count)] for total in (less, more)]
    assert [sum(part) for part in parts] == [less, more]
    assert all(a <= b for a, b in zip(*parts, strict=True))


@given(st.one_of(st.binary(max_size=80), st.binary(min_size=1, max_size=80).map(lambda b: b"\xc4" + b)))
def test_bytes_of_any_kind_raise_nothing_and_give_nothing(data: bytes) -> None:
    one, _ = pair(100, True)
    assert not one.on_message(WARM, 1, data) and one.available(WARM, "p") == 50
    assert one.counters["unreadable"] + one.counters["unknown"] == 1


def test_forms_come_back_as_they_went() -> None:
    for message in (EscrowRequest(1, 2**64 - 1, 3, 4), EscrowResponse(1, 2, 3, 2**64 - 1, 5, 6, 7, 8, 9, 10)):
        data = form.encode(message)
        assert form.decode(data) == message and data[0] == MessageType.ESCROW and len(data) < 80


def test_the_protocols_are_kept_and_strangers_and_unknown_pools_are_counted() -> None:
    one, two = pair(100, False)
    part: Component = one
    allowance: QuotaEscrow = one
    assert (
        allowance.available(WARM, "none") == 0
        and not allowance.consume(WARM, "p")
        and part.message_types == {MessageType.ESCROW}
    )
    ask = asks(two, WARM, 80)
    for sender in (0, 2, -1):
        assert not one.on_message(WARM, sender, ask)
    assert one.status(WARM)["grants-strangers"] == "3"
    one.open_pool("p", 10**6, is_consumable=True, ends_at_ms=None)
    assert one.available(WARM, "p") == 50 and one.status(WARM)["grants-lies"] == "1", "a pool keeps its kind"
    two.open_pool("q", 9, is_consumable=True, ends_at_ms=None)
    two.request(WARM, "p", 0)
    two.request(WARM, "q", 9)
    assert not one.on_message(WARM, 1, next(iter(two.on_tick(WARM + 900.0))).data)  # type: ignore[union-attr]
    assert one.status(WARM)["grants-unknown"] == "1"


def test_a_rate_is_lent_counted_once_and_comes_back_later_than_it_ends() -> None:
    giver, taker = pair(100, False)
    assert taker.available(100.0, "p") == 0, "an earlier life's loans may be out"
    ask = asks(taker, WARM, 80)
    sent = WARM + 300.0
    told = answer(giver, sent + 200.0, 1, ask)
    assert giver.available(sent + 200.0, "p") == 20, "lowered before it was said"
    for _ in range(3):
        taker.on_message(sent + 400.0, 0, told)
    assert taker.available(sent + 400.0, "p") == 80
    assert not giver.on_message(sent + 500.0, 1, ask), "a doubled ask"
    assert taker.available(sent + LEASE_TERM_MS, "p") == 50, "the end counts from when it asked"
    assert giver.available(sent + 200.0 + LEASE_TERM_MS * 1.0019, "p") == 20
    assert giver.available(sent + 200.0 + LEASE_TERM_MS * 1.0021, "p") == 50


def test_a_loan_that_is_wanted_goes_on_and_one_that_is_not_ends() -> None:
    giver, taker = pair(100, False)
    taker.request(WARM, "p", 80)
    for now in range(int(WARM), int(WARM + 15_000), 250):
        for tell in taker.on_tick(float(now)):
            for back in giver.on_message(float(now), 1, tell.data):  # type: ignore[union-attr]
                taker.on_message(float(now), 0, back.data)  # type: ignore[union-attr]
        if now > WARM + 500:
            assert taker.available(float(now), "p") == 80
        if now == WARM + 10_000:
            taker.request(float(now), "p", 10)
            break
    assert giver.available(WARM + 10_000 + 1.01 * LEASE_TERM_MS, "p") == 50


def test_answers_of_another_life_or_to_no_ask_or_too_great_add_nothing() -> None:
    giver, taker = pair(100, True)
    told = form.decode(answer(giver, WARM + 300.0, 1, asks(taker, WARM, 60)))
    assert isinstance(told, EscrowResponse) and told.amount == 10
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
    fields = {name: getattr(told, name) for name in names}
    for wrong in ({"requester_incarnation": 7}, {"nonce": 7}, {"amount": 11}, {"term_ms": 9}):
        taker.on_message(WARM + 400.0, 0, form.encode(EscrowResponse(**(fields | wrong))))
        assert taker.available(WARM + 400.0, "p") == 50, wrong
    taker.on_message(WARM + 400.0, 0, form.encode(told))
    assert taker.available(WARM + 400.0, "p") == 60


def test_a_lost_grant_of_a_count_is_said_again_not_made_again() -> None:
    giver, taker = pair(100, True)
    ask = asks(taker, WARM, 60)
    first = answer(giver, WARM + 300.0, 1, ask)
    again = [tell for tell in taker.on_tick(WARM + 900.0) if isinstance(tell, SendToPeer)]
    assert [tell.data for tell in again] == [ask], "under the same nonce"
    assert answer(giver, WARM + 1000.0, 1, ask) == first and giver.available(WARM, "p") == 40


def test_without_memory_a_count_is_zero_unless_it_is_new_and_ends_at_its_end() -> None:
    one = Escrow(0, 2, 1, 1, clock_rate=0.001)
    one.open_pool("old", 10, is_consumable=True, ends_at_ms=9000.0)
    one.open_pool("new", 10, is_consumable=True, ends_at_ms=9000.0, is_new=True)
    one.open_pool("old", 20, is_consumable=True, ends_at_ms=9000.0)
    assert (one.available(0.0, "old"), one.available(0.0, "new"), one.available(9000.0, "new")) == (0, 5, 0)
    one.on_tick(9001.0)
    assert not one.on_message(9001.0, 1, form.encode(EscrowRequest(form.pool_key("new"), 5, 1, 1))), (
        "over: no answer"
    )
    one.open_pool("new", 10, is_consumable=True, ends_at_ms=20_000.0)
    assert one.consume(9002.0, "new", 5) and not one.consume(9003.0, "new"), (
        "an end moved later makes nothing anew"
    )


@pytest.mark.parametrize("died", [False, True])
def test_with_a_disk_nothing_is_used_before_it_is_gone_there(died: bool) -> None:
    one, _ = pair(100, True, is_durable=True)
    assert one.available(0.0, "p") == 0 and one.image_to_write(0.0) is None and not one.consume(0.0, "p", 4)
    image = one.image_to_write(0.0)
    assert image is not None and one.image_to_write(0.0) is None and one.available(0.0, "p") == 0
    if died:
        one.mark_write_failed()
        assert one.available(0.0, "p") == 0 and one.image_to_write(0.0) == image
    one.mark_written(0.0)
    free = one.available(0.0, "p")
    assert 4 <= free <= 8 and one.consume(0.0, "p", 4)
    later = Escrow(0, 2, 9, 9, clock_rate=0.001, has_memory=True, is_durable=False)
    assert later.restore(image)
    later.open_pool("p", 100, is_consumable=True, ends_at_ms=None)
    assert later.available(0.0, "p") == 50 - free, "what was free then counts as used"


@given(st.binary(max_size=60))
def test_an_image_of_any_bytes_raises_nothing_and_is_no_memory(data: bytes) -> None:
    one = Escrow(0, 2, 1, 1, clock_rate=0.001, has_memory=True)
    if not one.restore(data):
        one.open_pool("p", 10, is_consumable=True, ends_at_ms=None)
        assert one.available(0.0, "p") == 0


@pytest.mark.parametrize("seed", range(20))
def test_a_changed_rate_keeps_to_the_greater_total_then_to_the_new_one(seed: int) -> None:
    rng = random.Random(seed)
    giver, taker = pair(100, False)
    taker.on_message(WARM + 300.0, 0, answer(giver, WARM + 300.0, 1, asks(taker, WARM, 100)))
    order = rng.sample([giver, taker], 2)
    for now, grants in zip((WARM + 1000.0, WARM + 2000.0), order, strict=True):
        grants.open_pool("p", 30, is_consumable=False, ends_at_ms=None)
        assert sum(g.available(now, "p") for g in (giver, taker)) <= 100
    end = WARM + 2000.0 + LEASE_TERM_MS * 1.003
    assert giver.available(end, "p") == taker.available(end, "p") == 15


def test_who_comes_fresh_gets_an_even_share_at_the_next_renewal() -> None:
    rate = RatePool("p", 1, 0, 4, 1.0, 0.0)
    rate.total = 400
    assert (
        rate.lend(0.0, Borrower(1, 1), 1, 500) == rate.lendable(0.0)
        and rate.lend(1900.0, Borrower(2, 1), 1, 60) == 0
    )
    assert rate.lend(2400.0, Borrower(1, 1), 2, 500) == rate.lendable(0.0) // 2


def test_asks_and_answers_are_bounded_and_only_the_present_are_asked() -> None:
    one = Escrow(0, 200, 1, 1, clock_rate=0.001, has_memory=True)
    for n in range(40):
        one.open_pool(f"p{n}", 2000, is_consumable=True, ends_at_ms=None)
        one.request(0.0, f"p{n}", 500)
    one.on_notification(0.0, PeersChanged((3, 4), 3, {}))
    told = [tell for tell in one.on_tick(300.0) if isinstance(tell, SendToPeer)]
    assert len(told) == REQUEST_BURST and {tell.peer_index for tell in told} == {3, 4}
    ask = [form.encode(EscrowRequest(form.pool_key("p0"), 5, nonce, 1)) for nonce in range(200)]
    assert sum(len(one.on_message(300.0, 7, data)) for data in ask) == RESPONSE_BURST
    assert one.counters["drowned"] == 200 - RESPONSE_BURST


def test_who_has_none_says_who_may() -> None:
    one = Escrow(0, 3, 1, 1, clock_rate=0.001, has_memory=True)
    one.open_pool("p", 3, is_consumable=True, ends_at_ms=None)
    for nonce, (sender, hint) in enumerate([(2, form.NO_HINT), (1, 2), (2, form.NO_HINT)]):
        said = form.decode(
            answer(one, 0.0, sender, form.encode(EscrowRequest(form.pool_key("p"), 5, nonce, 1)))
        )
        assert isinstance(said, EscrowResponse) and (said.amount, said.hinted_peer) == (int(nonce == 0), hint)


def test_trembling_demand_does_not_keep_the_asks_up() -> None:
    one = Escrow(0, 50, 1, 1, clock_rate=0.001, has_memory=True)
    one.open_pool("p", 50_000, is_consumable=False, ends_at_ms=None)
    told = []
    for turn in range(480):
        one.request(WARM + 250.0 * turn, "p", 5000 + turn % 2)
        told.append(len(one.on_tick(WARM + 250.0 * turn)))
    assert max(told) > 5 and sum(told[80:]) < 100, told


def test_a_count_lowered_and_raised_back_has_nothing_minted() -> None:
    one, _ = pair(100, True)
    for total, left in ((80, 30), (60, 10), (80, 10), (100, 10), (120, 20), (60, 0)):
        one.open_pool("p", total, is_consumable=True, ends_at_ms=None)
        assert one.available(0.0, "p") == left


def test_a_giver_keeps_what_it_wants_and_a_little_for_its_next_calls() -> None:
    for want, left in ((0, 50 // RESERVE_DIVISOR), (30, 30)):
        giver, taker = pair(100, False)
        giver.request(WARM, "p", want)
        answer(giver, WARM + 300.0, 1, asks(taker, WARM, 100))
        assert giver.available(WARM + 300.0, "p") == left


def test_who_waits_for_its_disk_says_nothing_and_grants_when_asked_again() -> None:
    giver, taker = pair(100, True, is_durable=True)
    ask = asks(taker, WARM, 60)
    assert not giver.on_message(WARM + 300.0, 1, ask) and giver.image_to_write(WARM + 300.0) is not None
    giver.mark_written(WARM + 310.0)
    told = form.decode(answer(giver, WARM + 800.0, 1, ask))
    assert isinstance(told, EscrowResponse) and told.amount == 10, "not what waits for its own disk"
    taker.on_message(WARM + 900.0, 0, form.encode(told))
    assert taker.image_to_write(WARM + 900.0) is not None
    taker.mark_written(WARM + 910.0)
    assert taker.available(WARM + 910.0, "p") == 50 + told.amount
