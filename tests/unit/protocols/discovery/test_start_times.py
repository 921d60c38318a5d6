"""Start times of workers if clocks may be an hour off: the first list with a start bounds its start time."""

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


def corrected_starts(
    times: StartTimes, now_ms: float, previous_age_ms: float | None = 200.0, **reported_ms: float
) -> dict[str, float]:
    """Return the corrected start times of a list, by the name of the worker.

    Args:
        times: The corrections, including the state from earlier lists.
        now_ms: The arrival time of the list, by the router's clock.
        previous_age_ms: The time since the previous list was up to date; None if there is none.
        reported_ms: The start times in the list, by the name of the worker.
    """
    fresh_as_of_ms = None if previous_age_ms is None else now_ms - previous_age_ms
    records = [
        EndpointRecord(name, "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, started_at_ms)
        for name, started_at_ms in reported_ms.items()
    ]
    return {
        record.name: record.started_at_ms for record in times.correct_list(records, now_ms, fresh_as_of_ms)
    }


def test_with_synchronized_clocks_start_times_stay_as_reported() -> None:
    times = StartTimes()
    assert corrected_starts(times, NOW_MS, None, a=0.0, b=NOW_MS - 3000.0, c=NOW_MS - HOUR_MS) == {
        "a": 0.0,
        "b": NOW_MS - 3000.0,
        "c": NOW_MS - HOUR_MS,
    }
    late = NOW_MS - MAX_LISTING_DELAY_MS
    assert corrected_starts(times, NOW_MS + 10_000.0, 10_000.0, a=late)["a"] == late, (
        "after an outage of 10 s"
    )
    ahead = NOW_MS + 20_000.0 + MAX_CLOCK_DIFFERENCE_MS
    assert corrected_starts(times, NOW_MS + 20_000.0, a=ahead)["a"] == ahead


@pytest.mark.parametrize("ahead_ms", [-HOUR_MS, HOUR_MS, -3000.0])
def test_a_worker_that_starts_while_the_router_runs_has_a_recent_start_for_every_clock_difference(
    ahead_ms: float,
) -> None:
    """This router's clock is ``ahead_ms`` ahead of the clock by which start times are reported."""
    times = StartTimes()
    corrected_starts(times, NOW_MS, None, a=0.0, b=0.0)
    listed_ms = NOW_MS + 60_000.0
    (corrected_ms,) = corrected_starts(times, listed_ms, a=listed_ms - 1000.0 - ahead_ms).values()
    assert listed_ms - MAX_LISTING_DELAY_MS <= corrected_ms <= listed_ms + MAX_CLOCK_DIFFERENCE_MS
    later = corrected_starts(times, listed_ms + 30_000.0, a=listed_ms - 1000.0 - ahead_ms)
    assert later == {"a": corrected_ms}, "a known start does not change"


def test_a_restart_reveals_the_offset_between_the_clocks() -> None:
    times = StartTimes()
    corrected_starts(times, NOW_MS, None, a=NOW_MS - 100_000.0 - HOUR_MS, b=0.0)
    listed_ms = NOW_MS + 60_000.0
    corrected_starts(times, listed_ms, a=listed_ms - 2000.0 - HOUR_MS)
    (corrected_ms,) = corrected_starts(times, listed_ms + 5000.0, b=listed_ms + 4000.0 - HOUR_MS).values()
    assert abs(corrected_ms - (listed_ms + 4000.0)) <= USUAL_LISTING_DELAY_MS


def test_in_the_first_list_a_start_in_the_future_counts_as_a_start_now() -> None:
    assert corrected_starts(StartTimes(), NOW_MS, None, a=NOW_MS + HOUR_MS) == {"a": NOW_MS}
