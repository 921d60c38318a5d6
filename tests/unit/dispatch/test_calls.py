"""Calls and attempts: deadlines, and the result of a lost connection."""

from __future__ import annotations

from cedarthread.dispatch.calls import Attempt, Call, Progress, call_deadline_ms, connection_lost_result
from cedarthread.model.outcomes import Outcome


def test_a_lost_connection_ends_a_written_attempt_as_reset_and_any_other_as_not_connected() -> None:
    call = Call("a" * 16, 0, 7, 0.0, b"", lambda result: None)
    for progress in Progress:
        attempt = Attempt(call, 0, 1, 0.0, progress)
        is_written = progress >= Progress.WRITTEN
        expected = Outcome.RESET if is_written else Outcome.CONNECT_FAILED
        assert connection_lost_result(attempt).outcome is expected


def test_a_tenth_of_the_time_limit_is_reserved_as_margin() -> None:
    assert call_deadline_ms(1000.0, 2000.0) == 2800.0
    # The margin is at least 40 ms, but at most half of the time limit.
    assert call_deadline_ms(1000.0, 100.0) == 1060.0
    assert call_deadline_ms(1000.0, 20.0) == 1010.0
