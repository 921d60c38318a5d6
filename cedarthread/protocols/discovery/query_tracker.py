"""The outstanding discovery queries, the time of the next one, and the freshness of the endpoint list.

Performs no I/O; times are event-loop seconds. Queries and replies are datagrams: some are lost, and some
replies are unusable. A drain must be detected within the drain grace period, which regular polls alone would
exceed after a few failures. Therefore a query without a usable reply is retried after a timeout derived from
the round-trip time (RFC 6298).
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_POLL_INTERVAL_S = 0.2  # longest time between regular polls
DEFAULT_DRAIN_GRACE_S = 0.5  # drain grace period if the settings specify none
# Fractions of the drain grace period: two regular polls and their retries fit into it.
POLL_GRACE_FRACTION = 0.4
RETRY_GRACE_FRACTION = 0.06  # interval between retries, so that more than a dozen fit into the grace period
MIN_RETRY_INTERVAL_S = 0.01  # lower bound of the retry interval, however short the grace period is
RETRY_JITTER = 0.2  # random fraction of a retry interval, so that routers do not retry in lockstep
# Usable replies after a failed query until the regular interval applies again. A single one may be outdated.
CONFIRMING_REPLIES = 2
# Number of latest queries whose replies are still accepted: 12 s at the regular interval.
MAX_OUTSTANDING_QUERIES = 64

# Constants of RFC 6298, section 2.
RTT_GAIN = 1 / 8
RTT_DEVIATION_GAIN = 1 / 4
RTT_DEVIATIONS = 4.0


@dataclass(slots=True)
class _Query:
    query_id: int
    sent_at_s: float
    is_answered: bool = False


class RoundTripTime:
    """A smoothed round-trip time and the timeout derived from it (RFC 6298)."""

    def __init__(self) -> None:
        self._smoothed_s: float | None = None
        self._deviation_s = 0.0

    def add_sample(self, sample_s: float) -> None:
        """Add one measured round trip."""
        if self._smoothed_s is None:
            self._smoothed_s = sample_s
            self._deviation_s = sample_s / 2
            return
        error_s = sample_s - self._smoothed_s
        self._deviation_s += RTT_DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
        self._smoothed_s += RTT_GAIN * error_s

    def timeout_s(self) -> float:
        """Return the time after which a reply counts as lost; 0 before the first sample."""
        return (self._smoothed_s or 0.0) + RTT_DEVIATIONS * self._deviation_s


class QueryTracker:
    """The outstanding queries of one router, and the time of the next one.

    Args:
        random_fraction: Returns a random number from 0 to 1.
        drain_grace_s: The time within which a drain must be detected.
    """

    def __init__(
        self, random_fraction: Callable[[], float], drain_grace_s: float = DEFAULT_DRAIN_GRACE_S
    ) -> None:
        self._random_fraction = random_fraction
        self.fresh_as_of_s = -math.inf  # time at which the list in use was up to date
        self.last_sent_at_s = -math.inf
        self._queries: deque[_Query] = deque(maxlen=MAX_OUTSTANDING_QUERIES)
        self._round_trip_time = RoundTripTime()
        self._retrying_since_s: float | None = None
        self._missing_confirmations = 0
        self.update_drain_grace(drain_grace_s)

    def update_drain_grace(self, drain_grace_s: float) -> None:
        """Apply the drain grace period of new settings."""
        self.drain_grace_s = drain_grace_s if drain_grace_s > 0.0 else DEFAULT_DRAIN_GRACE_S
        self.poll_interval_s = min(MAX_POLL_INTERVAL_S, POLL_GRACE_FRACTION * self.drain_grace_s)
        self.retry_interval_s = max(MIN_RETRY_INTERVAL_S, RETRY_GRACE_FRACTION * self.drain_grace_s)

    def on_sent(self, query_id: int, now_s: float) -> None:
        """Record a sent query. The previous query has failed if it is overdue without a usable reply."""
        if self._is_latest_overdue(now_s):
            self._on_failed(self._queries[-1].sent_at_s)
        self._queries.append(_Query(query_id, now_s))
        self.last_sent_at_s = now_s

    def accepts(self, query_id: int) -> bool:
        """Return whether a reply with this query id is still accepted."""
        return self._find(query_id) is not None

    def on_usable_reply(self, query_id: int, now_s: float) -> None:
        """Record a usable reply to a query, possibly a duplicate."""
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
        """Record an unusable reply."""
        self._on_failed(now_s)

    def on_unconfirmed_reply(self, now_s: float) -> None:
        """Record a reply with a list that a further reply must confirm."""
        if not self._missing_confirmations:
            self._retrying_since_s = now_s
            self._missing_confirmations = 1

    def restart_retries(self, now_s: float) -> None:
        """Query at the retry interval, for example after a change of the server's address."""
        self._retrying_since_s = now_s
        self._missing_confirmations = CONFIRMING_REPLIES

    def next_query_at_s(self) -> float:
        """Return when the next query is due, unless a reply arrives first."""
        regular_s = self.last_sent_at_s + self.poll_interval_s
        if self._is_retrying():
            interval_s = max(self.retry_interval_s, self._reply_timeout_s())
            interval_s *= 1.0 - RETRY_JITTER * self._random_fraction()
            return min(regular_s, self.last_sent_at_s + interval_s)
        if self._queries and not (self._queries[-1].is_answered or self._missing_confirmations):
            return min(regular_s, self.last_sent_at_s + self._reply_timeout_s())
        return regular_s

    def _is_retrying(self) -> bool:
        """Return whether the retry interval applies: for one drain grace period, even in a longer outage."""
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
