"""Leases of a rate: their terms, renewal, fair shares, reserves, and a total that changes."""

from __future__ import annotations

import random

import pytest

from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RESERVE_DIVISOR, Borrower, RatePool
from tests.unit.escrow.builders import (
    POOL,
    READY_MS,
    TICK_DELAY_MS,
    datagrams,
    request_from,
    response_of,
    two_escrows,
)


def test_a_lease_counts_once_and_ends_later_at_the_lender_than_at_the_borrower() -> None:
    lender, borrower = two_escrows(100, is_consumable=False)
    assert borrower.available(100.0, POOL) == 0, "leases of an earlier incarnation may still run"
    request = request_from(borrower, READY_MS, 80)
    sent_at_ms = READY_MS + TICK_DELAY_MS
    granted_at_ms = sent_at_ms + 200.0
    response = response_of(lender, granted_at_ms, 1, request)
    assert lender.available(granted_at_ms, POOL) == 20, "deducted before the grant is sent"
    for _ in range(3):
        borrower.on_message(sent_at_ms + 400.0, 0, response)
    assert borrower.available(sent_at_ms + 400.0, POOL) == 80
    assert not lender.on_message(sent_at_ms + 500.0, 1, request), "a duplicated request"
    assert borrower.available(sent_at_ms + LEASE_TERM_MS, POOL) == 50, "the term counts from the request"
    assert lender.available(granted_at_ms + LEASE_TERM_MS * 1.0019, POOL) == 20
    assert lender.available(granted_at_ms + LEASE_TERM_MS * 1.0021, POOL) == 50


def test_a_needed_lease_is_renewed_and_an_unneeded_one_ends() -> None:
    lender, borrower = two_escrows(100, is_consumable=False)
    borrower.request(READY_MS, POOL, 80)
    demand_ends_at_ms = READY_MS + 10_000
    for tick_at_ms in range(int(READY_MS), int(READY_MS + 15_000), 250):
        now_ms = float(tick_at_ms)
        for request in datagrams(borrower.on_tick(now_ms)):
            for response in datagrams(lender.on_message(now_ms, 1, request)):
                borrower.on_message(now_ms, 0, response)
        if now_ms > READY_MS + 500:
            assert borrower.available(now_ms, POOL) == 80
        if now_ms == demand_ends_at_ms:
            borrower.request(now_ms, POOL, 10)
            break
    assert lender.available(demand_ends_at_ms + 1.01 * LEASE_TERM_MS, POOL) == 50


@pytest.mark.parametrize("seed", range(20))
def test_a_lowered_rate_stays_within_the_greater_total_until_leases_end(seed: int) -> None:
    rng = random.Random(seed)
    lender, borrower = two_escrows(100, is_consumable=False)
    granted_at_ms = READY_MS + TICK_DELAY_MS
    response = response_of(lender, granted_at_ms, 1, request_from(borrower, READY_MS, 100))
    borrower.on_message(granted_at_ms, 0, response)
    order = rng.sample([lender, borrower], 2)
    for now_ms, escrow in zip((READY_MS + 1000.0, READY_MS + 2000.0), order, strict=True):
        escrow.open_pool(POOL, 30, is_consumable=False, ends_at_ms=None)
        assert sum(either.available(now_ms, POOL) for either in (lender, borrower)) <= 100
    leases_ended_at_ms = READY_MS + 2000.0 + LEASE_TERM_MS * 1.003
    assert lender.available(leases_ended_at_ms, POOL) == borrower.available(leases_ended_at_ms, POOL) == 15


def test_a_new_borrower_gets_an_even_share_at_the_next_renewal() -> None:
    pool = RatePool(POOL, 1, 0, 4, clock_drift_factor=1.0, ready_at_ms=0.0)
    pool.total = 400
    first_borrower = Borrower(1, 1)
    new_borrower = Borrower(2, 1)
    assert pool.lend(0.0, first_borrower, 1, 500) == pool.lendable(0.0)
    assert pool.lend(1900.0, new_borrower, 1, 60) == 0
    assert pool.lend(2400.0, first_borrower, 2, 500) == pool.lendable(0.0) // 2


def test_a_lender_retains_its_demand_and_a_reserve() -> None:
    for demand, remaining in ((0, 50 // RESERVE_DIVISOR), (30, 30)):
        lender, borrower = two_escrows(100, is_consumable=False)
        lender.request(READY_MS, POOL, demand)
        granted_at_ms = READY_MS + TICK_DELAY_MS
        response_of(lender, granted_at_ms, 1, request_from(borrower, READY_MS, 100))
        assert lender.available(granted_at_ms, POOL) == remaining
