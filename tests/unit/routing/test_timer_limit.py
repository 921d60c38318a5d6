"""The limit on due times of requests that have been closed."""

from __future__ import annotations

from cedarthread.routing.timers import MIN_PRUNED_ENTRIES, TimerSchedule

FAR_MS = 1e9


def test_due_times_of_closed_requests_are_dropped_and_those_of_open_ones_kept() -> None:
    timers = TimerSchedule()
    timers.schedule(5.0)
    for request_id in range(3 * MIN_PRUNED_ENTRIES):
        timers.schedule(FAR_MS + request_id, request_id)
        timers.prune({7}, 1)
    assert len(timers.entries) <= 2 * MIN_PRUNED_ENTRIES
    due = [entry.request_id for entry in timers.pop_due(5.0)]
    assert due == [-1]
    assert 7 in {entry.request_id for entry in timers.entries}
    assert timers.entries[0] == min(timers.entries)
