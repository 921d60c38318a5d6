"""When discovery is queried next, and how fresh the endpoint list is. It does no I/O; times are loop seconds.

Queries and replies are datagrams: some are lost, some replies can't be used. A regular poll alone would need
as many periods as replies fail, and a drain has to be followed within the drain grace. So a query without a
usable reply is retried soon, by a timeout that follows the round-trip time (RFC 6298).
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_POLL_INTERVAL_S = 0.2  # between regular polls
DEFAULT_DRAIN_GRACE_S = 0.5  # where the settings give none
# Shares of the drain grace: two regular polls and their retries fit into it.
POLL_GRACE_FRACTION = 0.4
RETRY_GRACE_FRACTION = 0.06  # between retries: a dozen and more fit into the grace
MIN_RETRY_INTERVAL_S = 0.01  # however short the grace is
RETRY_JITTER = 0.2  # part of a retry interval that is drawn, so that routers do not retry in step
# Usable replies after a failed query until the pace is the regular one again. One alone may be old news.
CONFIRMING_REPLIES = 2
MAX_OUTSTANDING_QUERIES = 64  # the latest queries whose replies are still accepted: 12 s at the regular pace

# RFC 6298, section 2.
RTT_GAIN, RTT_DEVIATION_GAIN, RTT_DEVIATIONS = 1 / 8, 1 / 4, 4.0


@dataclass(slots=True)
class _Query:
    query_id: int
    sent_at_s: float
    is_answered: bool = False


class RoundTripTime:
    """A smoothed round-trip time and the timeout that follows from it (RFC 6298)."""

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._deviation_s = 0.0

    def add_sample(self, sample_s: float) -> None:
        """Take one measured round trip."""
        if self._smoothed_s is None:
            self._smoothed_s, self._deviation_s = sample_s, sample_s / 2
            return
        error_s = sample_s - self._smoothed_s
        self._deviation_s += RTT_DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._smoothed_s += RTT_GAIN * error_s

    def timeout_s(self) -> float:
        """After which a reply is taken for lost; 0 before the first sample."""
        return (self._smoothed_s or 0.0) + RTT_DEVIATIONS * self._deviation_s


class QueryTracker:
    """The queries of one router to discovery."""

    def __init__(self, draw: Callable[[], float], drain_grace_s: float = DEFAULT_DRAIN_GRACE_S) -> None:
        """``draw`` gives a random number from 0 to 1."""
        self._draw = draw
        self.fresh_as_of_s = -math.inf  # the list is at least as new as it was then
        self.last_sent_at_s = -math.inf
        self._queries: deque[_Query] = deque(maxlen=MAX_OUTSTANDING_QUERIES)
        self._round_trip_time = RoundTripTime()
        self._retrying_since_s: float | None = None
        self._missing_confirmations = 0
        self.update_drain_grace(drain_grace_s)

    def update_drain_grace(self, drain_grace_s: float) -> None:
        """Follow new settings."""
        self.drain_grace_s = drain_grace_s if drain_grace_s > 0.0 else DEFAULT_DRAIN_GRACE_S
        self.poll_interval_s = min(MAX_POLL_INTERVAL_S, POLL_GRACE_FRACTION * self.drain_grace_s)
        self.retry_interval_s = max(MIN_RETRY_INTERVAL_S, RETRY_GRACE_FRACTION * self.drain_grace_s)

    def on_sent(self, query_id: int, now_s: float) -> None:
        """A query is sent. One before it that has no usable reply yet has failed, if it was sent long ago."""
        if self._is_latest_overdue(now_s):
            self._on_failed(self._queries[-1].sent_at_s)
        self._queries.append(_Query(query_id, now_s))
        self.last_sent_at_s = now_s

    def accepts(self, query_id: int) -> bool:
        """Is this the id of a query whose reply is still of use?"""
        return self._find(query_id) is not None

    def on_usable_reply(self, query_id: int, now_s: float) -> None:
        """A query has its reply, perhaps once more."""
        query = self._find(query_id)
        if query is None:
            return
        if not query.is_answered:
            query.is_answered = True
            self._round_trip_time.add_sample(now_s - query.sent_at_s)
        if query.sent_at_s <= self.fresh_as_of_s:
            return
        self.fresh_as_of_s = query.sent_at_s
        if self._missing_confirmations:
            self._missing_confirmations -= 1
            self._retrying_since_s = now_s if self._missing_confirmations else None

    def on_unusable_reply(self, now_s: float) -> None:
        """A reply came that can't be used, or nobody listens there."""
        self._on_failed(now_s)

    def on_unconfirmed_reply(self, now_s: float) -> None:
        """A reply came that one more has to confirm."""
        if not self._missing_confirmations:
            self._retrying_since_s, self._missing_confirmations = now_s, 1

    def restart_retries(self, now_s: float) -> None:
        """Query at the pace of retries from now on, as after a move to another server."""
        self._retrying_since_s, self._missing_confirmations = now_s, CONFIRMING_REPLIES

    def next_query_at_s(self) -> float:
        """When the next query is due, if nothing comes before."""
        regular_s = self.last_sent_at_s + self.poll_interval_s
        if self._is_retrying():
            interval_s = max(self.retry_interval_s, self._reply_timeout_s())
            interval_s *= 1.0 - RETRY_JITTER * self._draw()
            return min(regular_s, self.last_sent_at_s + interval_s)
        if self._queries and not (self._queries[-1].is_answered or self._missing_confirmations):
            return min(regular_s, self.last_sent_at_s + self._reply_timeout_s())
        return regular_s

    def _is_retrying(self) -> bool:
        """Retries are frequent for the time of the grace; in a longer outage the regular pace goes on."""
        since_s = self._retrying_since_s
        return since_s is not None and self.last_sent_at_s < since_s + self.drain_grace_s

    def _on_failed(self, at_s: float) -> None:
        if not self._missing_confirmations:
            self._retrying_since_s = at_s
        self._missing_confirmations = CONFIRMING_REPLIES

    def _is_latest_overdue(self, now_s: float) -> bool:
        if not self._queries or self._queries[-1].is_answered:
            return False
        latest = self._queries[-1]
        return latest.sent_at_s > self.fresh_as_of_s and now_s >= latest.sent_at_s + self.retry_interval_s

    def _reply_timeout_s(self) -> float:
        return min(self.poll_interval_s, max(self.retry_interval_s, self._round_trip_time.timeout_s()))

    def _find(self, query_id: int) -> _Query | None:
        return next((query for query in reversed(self._queries) if query.query_id == query_id), None)
