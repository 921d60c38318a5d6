"""Starts of workers on a clock that may be an hour off: what a list first shows of a start bounds it."""

from __future__ import annotations

import pytest

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.protocols.discovery.start_times import (
    MAX_CLOCK_DIFFERENCE_MS,
    MAX_LISTING_DELAY_MS,
    USUAL_LISTING_DELAY_MS,
    StartTimes,
)

HOUR_MS = 3_600_000.0
NOW_MS = 1_700_000_000_000.0  # by this router's clock


def starts(
    times: StartTimes, now_ms: float, fresh_for_ms: float | None = 200.0, **reported_ms: float
) -> dict[str, float]:
    """The corrected starts of a list with these workers; the one before was up to date so long ago."""
    fresh_as_of_ms = None if fresh_for_ms is None else now_ms - fresh_for_ms
    records = [
        EndpointRecord(name, "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, started_at_ms)
        for name, started_at_ms in reported_ms.items()
    ]
    return {
        record.name: record.started_at_ms for record in times.correct_list(records, now_ms, fresh_as_of_ms)
    }


def test_with_clocks_in_step_starts_are_as_reported() -> None:
    times = StartTimes()
    assert starts(times, NOW_MS, None, a=0.0, b=NOW_MS - 3000.0, c=NOW_MS - HOUR_MS) == {
        "a": 0.0,
        "b": NOW_MS - 3000.0,
        "c": NOW_MS - HOUR_MS,
    }
    late = NOW_MS - MAX_LISTING_DELAY_MS
    assert starts(times, NOW_MS + 10_000.0, 10_000.0, a=late)["a"] == late, "after an outage of 10 s"
    ahead = NOW_MS + 20_000.0 + MAX_CLOCK_DIFFERENCE_MS
    assert starts(times, NOW_MS + 20_000.0, a=ahead)["a"] == ahead


@pytest.mark.parametrize("off_ms", [-HOUR_MS, HOUR_MS, -3000.0])
def test_a_worker_that_starts_while_the_router_runs_is_cold_whatever_its_clock_says(off_ms: float) -> None:
    """``off_ms``: by which this router's clock is ahead of the reported times."""
    times = StartTimes()
    starts(times, NOW_MS, None, a=0.0, b=0.0)
    listed_ms = NOW_MS + 60_000.0
    (corrected_ms,) = starts(times, listed_ms, a=listed_ms - 1000.0 - off_ms).values()
    assert listed_ms - MAX_LISTING_DELAY_MS <= corrected_ms <= listed_ms + MAX_CLOCK_DIFFERENCE_MS
    later = starts(times, listed_ms + 30_000.0, a=listed_ms - 1000.0 - off_ms)
    assert later == {"a": corrected_ms}, "a known start does not move"


def test_a_restart_shows_by_how_much_the_clocks_differ() -> None:
    times = StartTimes()
    starts(times, NOW_MS, None, a=NOW_MS - 100_000.0 - HOUR_MS, b=0.0)
    listed_ms = NOW_MS + 60_000.0
    starts(times, listed_ms, a=listed_ms - 2000.0 - HOUR_MS)
    (second_ms,) = starts(times, listed_ms + 5000.0, b=listed_ms + 4000.0 - HOUR_MS).values()
    assert abs(second_ms - (listed_ms + 4000.0)) <= USUAL_LISTING_DELAY_MS


def test_in_the_first_list_a_start_that_lies_ahead_is_a_start_just_now() -> None:
    assert starts(StartTimes(), NOW_MS, None, a=NOW_MS + HOUR_MS) == {"a": NOW_MS}
