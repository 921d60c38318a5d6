"""Counts: repeated grants, restarts without memory, totals that change, and units written off on the disk."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cedarthread.escrow import codec
from cedarthread.escrow.codec import EscrowRequest
from cedarthread.escrow.escrow import Escrow
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


def test_a_lost_grant_of_a_count_is_repeated_not_granted_twice() -> None:
    granting, requesting = two_escrows(100, is_consumable=True)
    request = request_from(requesting, READY_MS, 60)
    first_response = response_of(granting, READY_MS + TICK_DELAY_MS, 1, request)
    retries = datagrams(requesting.on_tick(READY_MS + 900.0))
    assert retries == [request], "under the same nonce"
    assert response_of(granting, READY_MS + 1000.0, 1, request) == first_response
    assert granting.available(READY_MS, POOL) == 40


def test_without_memory_a_count_is_zero_unless_new_and_reopening_restores_no_units() -> None:
    escrow = Escrow(0, 2, 1, 1, clock_rate=CLOCK_RATE)
    escrow.open_pool("old", 10, is_consumable=True, ends_at_ms=9000.0)
    escrow.open_pool("new", 10, is_consumable=True, ends_at_ms=9000.0, is_new=True)
    escrow.open_pool("old", 20, is_consumable=True, ends_at_ms=9000.0)
    assert escrow.available(0.0, "old") == 0
    assert escrow.available(0.0, "new") == 5
    assert escrow.available(9000.0, "new") == 0
    escrow.on_tick(9001.0)
    request = codec.encode(EscrowRequest(codec.pool_key("new"), 5, 1, 1))
    assert not escrow.on_message(9001.0, 1, request), "ended: no response"
    escrow.open_pool("new", 10, is_consumable=True, ends_at_ms=20_000.0)
    assert escrow.consume(9002.0, "new", 5)
    assert not escrow.consume(9003.0, "new"), "postponing the end restores no units"


def test_a_count_lowered_and_raised_again_gains_no_units() -> None:
    escrow, _ = two_escrows(100, is_consumable=True)
    for total, remaining in ((80, 30), (60, 10), (80, 10), (100, 10), (120, 20), (60, 0)):
        escrow.open_pool(POOL, total, is_consumable=True, ends_at_ms=None)
        assert escrow.available(0.0, POOL) == remaining


@pytest.mark.parametrize("write_failed", [False, True])
def test_with_a_disk_no_unit_is_used_before_it_is_written_off(write_failed: bool) -> None:
    escrow, _ = two_escrows(100, is_consumable=True, is_durable=True)
    assert escrow.available(0.0, POOL) == 0
    assert escrow.take_due_image(0.0) is None
    assert not escrow.consume(0.0, POOL, 4)
    image = escrow.take_due_image(0.0)
    assert image is not None
    assert escrow.take_due_image(0.0) is None
    assert escrow.available(0.0, POOL) == 0
    if write_failed:
        escrow.mark_write_failed()
        assert escrow.available(0.0, POOL) == 0
        assert escrow.take_due_image(0.0) == image
    escrow.mark_written(0.0)
    free = escrow.available(0.0, POOL)
    assert 4 <= free <= 8
    assert escrow.consume(0.0, POOL, 4)
    later = Escrow(0, 2, 9, 9, clock_rate=CLOCK_RATE, has_complete_history=True, is_durable=False)
    assert later.restore(image)
    later.open_pool(POOL, 100, is_consumable=True, ends_at_ms=None)
    assert later.available(0.0, POOL) == 50 - free, "free units count as used after a restart"


@given(st.binary(max_size=60))
def test_an_invalid_image_does_not_raise_and_leaves_no_memory(data: bytes) -> None:
    escrow = Escrow(0, 2, 1, 1, clock_rate=CLOCK_RATE, has_complete_history=True)
    if not escrow.restore(data):
        escrow.open_pool(POOL, 10, is_consumable=True, ends_at_ms=None)
        assert escrow.available(0.0, POOL) == 0


def test_a_router_whose_units_wait_for_the_disk_grants_them_on_the_retry() -> None:
    granting, requesting = two_escrows(100, is_consumable=True, is_durable=True)
    request = request_from(requesting, READY_MS, 60)
    requested_at_ms = READY_MS + TICK_DELAY_MS
    assert not granting.on_message(requested_at_ms, 1, request)
    assert granting.take_due_image(requested_at_ms) is not None
    granting.mark_written(READY_MS + 310.0)
    response = decoded_response(response_of(granting, READY_MS + 800.0, 1, request))
    assert response.amount == 10, "without the units that the requesting router has yet to write off"
    requesting.on_message(READY_MS + 900.0, 0, codec.encode(response))
    assert requesting.take_due_image(READY_MS + 900.0) is not None
    requesting.mark_written(READY_MS + 910.0)
    assert requesting.available(READY_MS + 910.0, POOL) == 50 + response.amount
