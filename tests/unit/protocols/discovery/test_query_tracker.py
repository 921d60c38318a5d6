"""Times of discovery queries: regular, earlier after a failure, and regular again in a long outage."""

from __future__ import annotations

import itertools

import pytest

from cedarthread.protocols.discovery.query_tracker import (
    CONFIRMING_REPLIES,
    MAX_POLL_INTERVAL_S,
    QueryTracker,
)

GRACE_S = 0.5
ROUND_TRIP_S = 0.002


class Driver:
    """Sends each query when it is due, on a virtual clock."""

    def __init__(self, grace_s: float = GRACE_S) -> None:
        self.now_s = 100.0
        self.sent_at_s: list[float] = []
        self.tracker = QueryTracker(lambda: 0.5, grace_s)

    def query(self, *, is_answered: bool) -> None:
        """Send a query and wait until the next is due; a usable reply arrives if ``is_answered``."""
        number = len(self.sent_at_s)
        self.sent_at_s.append(self.now_s)
        self.tracker.on_sent(number, self.now_s)
        if is_answered:
            self.tracker.on_usable_reply(number, self.now_s + ROUND_TRIP_S)
        self.now_s = self.tracker.next_query_at_s()

    def intervals_s(self, first: int) -> list[float]:
        """Return the times between queries, from the query with this index."""
        times = self.sent_at_s[first:]
        return [later - earlier for earlier, later in itertools.pairwise(times)]


def test_while_replies_arrive_queries_are_sent_at_the_regular_interval() -> None:
    driver = Driver()
    for _ in range(20):
        driver.query(is_answered=True)
    assert driver.intervals_s(0) == pytest.approx([MAX_POLL_INTERVAL_S] * 19)


@pytest.mark.parametrize("grace_s", [0.1, 0.5, 2.0])
def test_ten_queries_fit_into_the_grace_period_after_the_first_lost_reply(grace_s: float) -> None:
    driver = Driver(grace_s)
    for _ in range(5):
        driver.query(is_answered=True)
    failed_at_s = driver.now_s
    while driver.now_s < failed_at_s + grace_s:
        driver.query(is_answered=False)
    assert sum(failed_at_s < sent_at_s <= failed_at_s + grace_s for sent_at_s in driver.sent_at_s) >= min(
        10, grace_s / 0.012
    )


def test_in_a_long_outage_queries_are_regular_and_after_it_two_replies_confirm_the_list() -> None:
    driver = Driver()
    for _ in range(5):
        driver.query(is_answered=True)
    outage_at_s = driver.now_s
    while driver.now_s < outage_at_s + 10.0:
        driver.query(is_answered=False)
    first_late_query = sum(sent_at_s <= outage_at_s + 2 * GRACE_S for sent_at_s in driver.sent_at_s)
    intervals_s = driver.intervals_s(first_late_query)
    assert intervals_s == pytest.approx([MAX_POLL_INTERVAL_S] * len(intervals_s))
    first = len(driver.sent_at_s)
    for _ in range(6):
        driver.query(is_answered=True)
    short_intervals_s = [
        interval_s for interval_s in driver.intervals_s(first) if interval_s < MAX_POLL_INTERVAL_S / 2
    ]
    assert len(short_intervals_s) == CONFIRMING_REPLIES - 1


def test_after_an_unusable_reply_the_next_query_is_sent_earlier() -> None:
    driver = Driver()
    driver.query(is_answered=True)
    driver.tracker.on_sent(7, driver.now_s)
    driver.tracker.on_unusable_reply(driver.now_s + ROUND_TRIP_S)
    assert driver.tracker.next_query_at_s() < driver.now_s + 0.04


def test_the_list_is_as_fresh_as_the_latest_answered_query() -> None:
    tracker = QueryTracker(lambda: 0.5)
    for number, at_s in enumerate((1.0, 1.2, 1.4)):
        tracker.on_sent(number, at_s)
    tracker.on_usable_reply(1, 1.5)
    assert tracker.fresh_as_of_s == 1.2
    tracker.on_usable_reply(0, 1.6)
    assert tracker.fresh_as_of_s == 1.2
    assert tracker.accepts(2)
    assert not tracker.accepts(9)


def test_replies_of_a_slow_server_do_not_count_as_lost() -> None:
    """With a measured round trip of 80 ms, the next query is sent later than 80 ms."""
    tracker = QueryTracker(lambda: 0.5)
    now_s = 10.0
    for number in range(40):
        tracker.on_sent(number, now_s)
        tracker.on_usable_reply(number, now_s + 0.08)
        now_s = tracker.next_query_at_s()
    tracker.on_sent(99, now_s)
    assert tracker.next_query_at_s() > now_s + 0.08
