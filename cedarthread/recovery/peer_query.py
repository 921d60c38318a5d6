"""Client and server of the peer query, by which a recovering router learns warm instances from a few peers.

The functions are divided into segments. The client sends each query to one peer, for one segment, until all
segments are complete (``segment_progress.py``).
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from cedarthread.model.actions import SendToPeer
from cedarthread.recovery import codec
from cedarthread.recovery.peer_backoff import (
    INITIAL_BACKOFF_MS as INITIAL_BACKOFF_MS,  # exported, because an injected defect replaces it here
)
from cedarthread.recovery.peer_backoff import PeerBackoffs
from cedarthread.recovery.peer_reports import PeerReports
from cedarthread.recovery.segment_progress import SegmentProgress
from cedarthread.recovery.warm_state import MAX_HOPS, ObservationSource, WarmState
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

SEGMENT_COUNT = 4
"""Number of segments into which the functions are divided."""
MAX_PENDING_QUERIES = 3
RESPONSE_TIMEOUT_MS = 400.0
"""Time within which all parts of a response must arrive."""
INITIAL_SPREAD_MS = 150.0
"""Time over which the first queries of routers that start at the same moment are spread."""
FULL_WEIGHT_UPTIME_MS = 20_000.0
"""Uptime above which a peer's weight in the random selection no longer grows."""
NEW_PEER_WEIGHT = 0.05
"""Weight of a peer that has just started; its uptime adds at most 1."""
SUGGESTED_PEER_WEIGHT = 0.5
"""Additional weight of a peer that a busy peer suggested."""
RESPONSES_PER_SECOND = 60.0
"""Maximum response datagrams per second that a router sends to all peers together."""
RESPONSE_BURST = 24.0
BUSY_REPLIES_PER_SECOND = 40.0
BUSY_REPLY_BURST = 20.0
MAX_RETRY_AFTER_MS = 3000.0
"""Maximum backlog that a busy server counts, and maximum Retry-After that a client respects."""
RECENT_RECIPIENTS = 8
"""Number of recently answered peers that a busy reply may suggest."""
MAX_RESPONSE_OBSERVATIONS = 256
"""Maximum number of observations selected for a response; fewer fit into its datagrams."""
RNG_SALT = 0x6173_6B21
"""Salt that makes the client's random numbers differ from those of other components with the same seed."""


class PeerQueryServer:
    """The server of the peer query, which sends a bounded number of datagrams per second."""

    def __init__(self, now_ms: float) -> None:
        self.response_tokens = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now_ms)
        self.busy_tokens = TokenBucket(BUSY_REPLIES_PER_SECOND, BUSY_REPLY_BURST, BUSY_REPLY_BURST, now_ms)
        self.recent_recipients: deque[int] = deque(maxlen=RECENT_RECIPIENTS)
        self.answered_queries = 0
        self.rejected_queries = 0
        self.dropped_queries = 0
        self.backlog_ms = 0.0
        """Time over which the retries of rejected peers are spread."""

    def on_query(
        self, now_ms: float, sender: int, query: codec.Query, warm_state: WarmState, template: codec.Response
    ) -> list[SendToPeer]:
        """Answer with observations, or with a busy reply, or not at all if both rate limits are exhausted.

        Args:
            now_ms: Current time.
            sender: Peer that sent the query.
            query: The query.
            warm_state: Observations of this router.
            template: Response with only the fields that describe this router.
        """
        latest = warm_state.latest_observations(
            now_ms, query.segment, query.segment_count, MAX_RESPONSE_OBSERVATIONS
        )
        parts = codec.split_into_datagrams(latest)
        if not self.response_tokens.take(now_ms, len(parts)):
            return self._reply_busy(now_ms, sender, query)
        self.backlog_ms = max(0.0, self.backlog_ms - RESPONSE_TIMEOUT_MS / 2)
        self.answered_queries += 1
        if sender not in self.recent_recipients:
            self.recent_recipients.append(sender)
        responses = (
            replace(
                template,
                nonce=query.nonce,
                part=part,
                part_count=len(parts),
                observations=tuple(observations),
            )
            for part, observations in enumerate(parts)
        )
        return [SendToPeer(codec.encode(response), sender) for response in responses]

    def _reply_busy(self, now_ms: float, sender: int, query: codec.Query) -> list[SendToPeer]:
        if not self.busy_tokens.take(now_ms):
            self.dropped_queries += 1
            return []
        self.rejected_queries += 1
        response_ms = 1000.0 * codec.MAX_PARTS / RESPONSES_PER_SECOND
        self.backlog_ms = min(self.backlog_ms + response_ms, MAX_RETRY_AFTER_MS)
        others = [peer for peer in self.recent_recipients if peer != sender]
        suggested_peer = others[self.rejected_queries % len(others)] if others else None
        busy = codec.Busy(query.nonce, INITIAL_BACKOFF_MS + self.backlog_ms, suggested_peer)
        return [SendToPeer(codec.encode(busy), sender)]


@dataclass(slots=True)
class _PendingQuery:
    """A query to which not all parts of the response have arrived."""

    peer: int
    segment: int
    sent_at_ms: float
    received_parts: set[int] = field(default_factory=set)
    received_count: int = 0  # number of received observations
    new_count: int = 0  # number of received observations that were new to this router


class PeerQueryClient:
    """The client of the peer query, which tracks the progress of one recovering router.

    Args:
        seed: Seed of the random number generator.
        now_ms: Start of the recovery.
    """

    def __init__(self, seed: int, now_ms: float) -> None:
        self.rng = random.Random(seed ^ RNG_SALT)
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Start the peer query from the beginning, after a start or a pause of the process."""
        self.segments = [SegmentProgress() for _ in range(SEGMENT_COUNT)]
        self.pending: dict[int, _PendingQuery] = {}
        """Pending queries by nonce."""
        self.backoffs = PeerBackoffs(self.rng)
        self.suggested_peers: set[int] = set()
        self.reports = PeerReports()
        self.first_query_at_ms = now_ms + self.rng.uniform(0.0, INITIAL_SPREAD_MS)
        self.sent_count = 0
        self.unexpected_count = 0

    def is_complete(self) -> bool:
        """Return whether all segments are complete."""
        return all(segment.is_complete for segment in self.segments)

    def on_tick(
        self, now_ms: float, peer_uptimes_ms: Mapping[int, float], try_acquire: Callable[[], bool]
    ) -> list[SendToPeer]:
        """Return the queries to send now.

        Args:
            now_ms: Current time.
            peer_uptimes_ms: Uptimes of the live peers.
            try_acquire: Returns whether one more query may be sent; consumes a token if it returns True.
        """
        self._expire_queries(now_ms, peer_uptimes_ms)
        queries: list[SendToPeer] = []
        if now_ms < self.first_query_at_ms:
            return queries
        while len(self.pending) < min(MAX_PENDING_QUERIES, len(peer_uptimes_ms)):
            query = self._next_query(now_ms, peer_uptimes_ms, try_acquire)
            if query is None:
                break
            queries.append(query)
        return queries

    def _expire_queries(self, now_ms: float, peer_uptimes_ms: Mapping[int, float]) -> None:
        for nonce, query in list(self.pending.items()):
            if now_ms - query.sent_at_ms >= RESPONSE_TIMEOUT_MS or query.peer not in peer_uptimes_ms:
                del self.pending[nonce]
                self.backoffs.back_off(now_ms, query.peer)

    def _next_query(
        self, now_ms: float, peer_uptimes_ms: Mapping[int, float], try_acquire: Callable[[], bool]
    ) -> SendToPeer | None:
        """Start a query for the least queried segment that has a free peer, or return None."""
        for number in self._incomplete_segments():
            segment = self.segments[number]
            free_peers = self._free_peers(now_ms, segment, peer_uptimes_ms)
            if free_peers:
                if not try_acquire():
                    return None
                weights = [self._weight(peer, peer_uptimes_ms[peer]) for peer in free_peers]
                peer = self.rng.choices(free_peers, weights)[0]
                return self._start_query(now_ms, peer, number)
            if all(peer in segment.responders for peer in peer_uptimes_ms):
                segment.is_complete = True  # because all live peers have answered
        return None

    def _incomplete_segments(self) -> list[int]:
        """Return the incomplete segments, ordered by pending queries, then by responses."""
        pending_counts = Counter(query.segment for query in self.pending.values())
        incomplete = [number for number, segment in enumerate(self.segments) if not segment.is_complete]
        return sorted(
            incomplete, key=lambda number: (pending_counts[number], self.segments[number].response_count)
        )

    def _free_peers(
        self, now_ms: float, segment: SegmentProgress, peer_uptimes_ms: Mapping[int, float]
    ) -> list[int]:
        """Return the peers without pending query or backoff that have not answered for the segment."""
        busy_peers = {query.peer for query in self.pending.values()}
        return [
            peer
            for peer in peer_uptimes_ms
            if peer not in busy_peers
            and peer not in segment.responders
            and self.backoffs.may_query(now_ms, peer)
        ]

    def _weight(self, peer: int, uptime_ms: float) -> float:
        return (
            NEW_PEER_WEIGHT
            + min(uptime_ms, FULL_WEIGHT_UPTIME_MS) / FULL_WEIGHT_UPTIME_MS
            + (SUGGESTED_PEER_WEIGHT if peer in self.suggested_peers else 0.0)
        )

    def _start_query(self, now_ms: float, peer: int, segment: int) -> SendToPeer:
        nonce = self.rng.getrandbits(32)
        self.pending[nonce] = _PendingQuery(peer, segment, now_ms)
        self.suggested_peers.discard(peer)
        self.sent_count += 1
        return SendToPeer(codec.encode(codec.Query(nonce, segment, SEGMENT_COUNT)), peer)

    def on_busy(self, now_ms: float, sender: int, busy: codec.Busy) -> None:
        """Suspend queries to a peer that rejected a query."""
        query = self.pending.get(busy.nonce)
        if query is None or query.peer != sender:
            self.unexpected_count += 1
            return
        del self.pending[busy.nonce]
        self.backoffs.back_off(now_ms, sender, min(busy.retry_after_ms, MAX_RETRY_AFTER_MS))
        if busy.suggested_peer is not None:
            self.suggested_peers.add(busy.suggested_peer)

    def on_response(
        self,
        now_ms: float,
        sender: int,
        response: codec.Response,
        warm_state: WarmState,
        *,
        has_older_peers: bool,
    ) -> None:
        """Merge one part of a response into the warm state; ages count from when the query was sent.

        Args:
            now_ms: Current time.
            sender: Peer that sent the response.
            response: One part of the response.
            warm_state: State to merge into.
            has_older_peers: Whether any peer did not restart with this router.
        """
        query = self.pending.get(response.nonce)
        if query is None or query.peer != sender or response.part in query.received_parts:
            self.unexpected_count += 1
            return
        query.received_parts.add(response.part)
        query.received_count += len(response.observations)
        for aged in response.observations:
            if aged.function_hash % SEGMENT_COUNT == query.segment and aged.hops < MAX_HOPS:
                query.new_count += warm_state.merge_remote(
                    now_ms, query.sent_at_ms, aged, ObservationSource.PEER
                )
        if len(query.received_parts) < response.part_count:
            return
        del self.pending[response.nonce]
        self.reports.add(response)
        self.segments[query.segment].on_response(
            query.peer,
            received_count=query.received_count,
            new_count=query.new_count,
            has_older_peers=has_older_peers,
        )
