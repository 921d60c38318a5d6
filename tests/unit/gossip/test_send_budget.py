"""The token bucket that paces gossip."""

from __future__ import annotations

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.gossip.send_budget import (
    BURST_DATAGRAMS,
    GOSSIP_COST_PER_CALL,
    UNPRICED_BYTES_PER_MS,
    SendBudget,
)


def test_with_priced_datagrams_only_calls_refill_the_budget() -> None:
    budget = SendBudget(price=0.01, fanout=2)
    before = budget.available_bytes
    budget.refill(1000.0)
    assert budget.available_bytes == before
    budget.credit_call()
    assert budget.available_bytes == pytest.approx(before + GOSSIP_COST_PER_CALL / 0.01 * MAX_DATAGRAM_BYTES)


def test_with_free_datagrams_only_time_refills_the_budget() -> None:
    budget = SendBudget(price=0.0, fanout=2)
    budget.spend(int(budget.available_bytes))
    budget.credit_call()
    assert budget.available_bytes == 0.0
    budget.refill(10.0)
    assert budget.available_bytes == 10.0 * UNPRICED_BYTES_PER_MS
    budget.refill(15.0)
    assert budget.available_bytes == 15.0 * UNPRICED_BYTES_PER_MS, "each ms counts once"


def test_the_balance_is_capped_at_the_burst() -> None:
    budget = SendBudget(price=0.0, fanout=3)
    budget.refill(1e9)
    assert budget.available_bytes == BURST_DATAGRAMS * MAX_DATAGRAM_BYTES * 3


def test_a_negative_balance_is_refilled_first() -> None:
    budget = SendBudget(price=0.0, fanout=1)
    budget.spend(int(budget.available_bytes) + 100)
    budget.refill(5.0)
    assert budget.available_bytes == 5.0 * UNPRICED_BYTES_PER_MS - 100.0


def test_new_settings_retain_the_balance() -> None:
    budget = SendBudget(price=0.01, fanout=2)
    before = budget.available_bytes
    budget.configure(price=0.02, fanout=4)
    assert budget.available_bytes == before
    assert budget.bytes_per_call == GOSSIP_COST_PER_CALL / 0.02 * MAX_DATAGRAM_BYTES
