"""The suspension of work after a stall of the process."""

from __future__ import annotations

import pytest

from cedarthread.dispatch.stall_hold import StallSuspension


def test_a_stall_suspends_work_until_the_list_is_fresh_or_for_a_fifth_of_the_drain_grace() -> None:
    suspension = StallSuspension()
    grace_s = 0.5
    assert suspension.start_if_stalled(10.1, 10.0, grace_s) is None, "a slightly late timer is not a stall"
    assert not suspension.is_active(10.1)
    assert suspension.start_if_stalled(13.0, 10.0, grace_s) == pytest.approx(0.1)
    assert suspension.is_active(13.05)
    assert suspension.start_if_stalled(13.05, 10.0, grace_s) is None, "one stall, one suspension"
    assert not suspension.end_if_fresh(9.9), "the reply belongs to a poll from before the stall"
    assert suspension.is_active(13.05)
    assert suspension.end_if_fresh(13.0)
    assert not suspension.is_active(13.05)
    assert suspension.start_if_stalled(20.0, 15.0, grace_s) is not None
    assert not suspension.is_active(20.11), "discovery may be down"
