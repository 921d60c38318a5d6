"""The queue of updates to disseminate, and its byte budget."""

from __future__ import annotations

from cedarthread.membership.codec import MAX_UPDATES, UPDATE_BYTES
from cedarthread.membership.dissemination import BURST_BYTES, MIN_BATCH_UPDATES, DisseminationBuffer


def test_updates_are_sent_a_limited_number_of_times_the_least_sent_update_first() -> None:
    buffer = DisseminationBuffer(3, 0.0)  # sends each update 3 * log2(4) = 6 times
    buffer.add(1)
    assert buffer.take() == (1,)
    buffer.add(2)
    assert buffer.take() == (2, 1)
    rounds = [buffer.take() for _ in range(6)]
    assert [taken.count(1) for taken in rounds] == [1, 1, 1, 1, 0, 0]
    assert [taken.count(2) for taken in rounds] == [1, 1, 1, 1, 1, 0]


def test_the_byte_budget_limits_all_but_required_updates() -> None:
    buffer = DisseminationBuffer(200, 0.0)
    for member_index in range(200):
        buffer.add(member_index)
    taken_updates = 0
    while taken := buffer.take():
        assert len(taken) <= MAX_UPDATES
        taken_updates += len(taken)
    assert taken_updates == BURST_BYTES // UPDATE_BYTES
    assert not buffer.can_send_batch()
    assert buffer.take((7,)) == (7,)
    buffer.refill(100.0 * UPDATE_BYTES * MIN_BATCH_UPDATES)
    assert buffer.can_send_batch()
