"""Both sides of asking what stands warm: who comes back asks few, and who is asked answers a bounded number.

A segment is asked for until one more answer would bring little. How much is estimated in the manner of Good
(The population frequencies of species, 1953): the part of the last answer that was news is about the part of
what is still out there that this router has not heard.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from cedarthread.model.actions import SendToPeer
from cedarthread.recovery import codec
from cedarthread.recovery.warm_state import MAX_HOPS, Source, WarmState
from cedarthread.statistics import TokenBucket

SEGMENT_COUNT = 4
MAX_PENDING_QUERIES = 3  # questions out
RESPONSE_TIMEOUT_MS = 400.0  # ms in which an answer must be whole
INITIAL_SPREAD_MS = 150.0  # ms over which first questions are spread
INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = (
    250.0,
    2000.0,
)  # ms that a peer which did not answer is left alone, doubled up to the most
BACKOFF_JITTER = 0.5, 1.5
NEW_FRACTION_THRESHOLD = 0.1  # part of an answer that is news under which a segment counts as known
MIN_RESPONSES = 2  # answers that a segment takes at least, where there are so many to ask
MAX_NONEMPTY_RESPONSES = 5  # and at most of those that told a place
FULL_WEIGHT_UPTIME_MS = 20_000.0  # ms in one life after which a peer is as good as any
NEW_PEER_WEIGHT = 0.05  # weight of a peer that has just started itself
RESPONSES_PER_SECOND, RESPONSE_BURST = (
    60.0,
    24.0,
)  # datagrams a second in answer to all who ask, and most saved up
BUSY_REPLIES_PER_SECOND, BUSY_REPLY_BURST = 40.0, 20.0  # the same for words that there is no answer now
MAX_RETRY_AFTER_MS = 3000.0  # ms that one who asks is put off at most
RECENT_RECIPIENTS = 8  # routers that were answered lately and may be named to others


class PeerQueryServer:
    """The side that is asked: bounded datagrams a second, however many ask."""

    def __init__(self, now: float) -> None:
        self.response_tokens = TokenBucket(RESPONSES_PER_SECOND, RESPONSE_BURST, RESPONSE_BURST, now)
        self.busy_tokens = TokenBucket(BUSY_REPLIES_PER_SECOND, BUSY_REPLY_BURST, BUSY_REPLY_BURST, now)
        self.recent_recipients: deque[int] = deque(maxlen=RECENT_RECIPIENTS)
        self.answered = self.deferred = self.dropped = 0
        self.backlog_ms = 0.0  # ms by which those put off are spread

    def on_query(
        self, now: float, sender: int, query: codec.Query, warm_state: WarmState, template: codec.Response
    ) -> list[SendToPeer]:
        """The answer to one question: what is known, that another may know it, or nothing.

        ``about``: what each part of an answer says of this router itself."""
        lists = codec.split_into_datagrams(warm_state.digest(now, query.segment, query.segment_count, 256))
        if not self.response_tokens.take(now, len(lists)):
            return self._reply_busy(now, sender, query)
        self.backlog_ms = max(0.0, self.backlog_ms - RESPONSE_TIMEOUT_MS / 2)
        self.answered += 1
        if sender not in self.recent_recipients:
            self.recent_recipients.append(sender)
        return [
            SendToPeer(
                codec.encode(
                    replace(
                        template,
                        nonce=query.nonce,
                        part=part,
                        part_count=len(lists),
                        observations=tuple(places),
                    )
                ),
                sender,
            )
            for part, places in enumerate(lists)
        ]

    def _reply_busy(self, now: float, sender: int, query: codec.Query) -> list[SendToPeer]:
        if not self.busy_tokens.take(now):
            self.dropped += 1
            return []
        self.deferred += 1
        self.backlog_ms = min(
            self.backlog_ms + 1000.0 * codec.MAX_PARTS / RESPONSES_PER_SECOND, MAX_RETRY_AFTER_MS
        )
        others = [one for one in self.recent_recipients if one != sender]
        other = others[self.deferred % len(others)] if others else None
        return [
            SendToPeer(
                codec.encode(codec.Busy(query.nonce, INITIAL_BACKOFF_MS + self.backlog_ms, other)), sender
            )
        ]


@dataclass(slots=True)
class _PendingQuery:
    """One question that is out."""

    peer: int
    segment: int
    sent_at_ms: float
    received_parts: set[int] = field(default_factory=set)
    received_count: int = 0
    new_count: int = 0


@dataclass(slots=True)
class _SegmentProgress:
    responses: int = 0
    nonempty_responses: int = 0  # of these that told a place
    responders: set[int] = field(default_factory=set)  # who answered
    is_complete: bool = False


@dataclass(slots=True)
class _PeerBackoff:
    not_before_ms: float = -math.inf  # it is asked no sooner
    backoff_ms: float = INITIAL_BACKOFF_MS


class PeerQueryClient:
    """The side that comes back."""

    def __init__(self, seed: int, now: float) -> None:
        self.rng = random.Random(seed ^ 0x6173_6B21)
        self.restart(now)

    def restart(self, now: float) -> None:
        """Ask anew, for nothing is known: after a start, or after a pause."""
        self.segments = [_SegmentProgress() for _ in range(SEGMENT_COUNT)]
        self.pending: dict[int, _PendingQuery] = {}
        self.backoffs: dict[int, _PeerBackoff] = {}
        self.suggested_peers: set[int] = set()  # named by others as ones that may know
        self.reported_warm_fractions: list[float] = []  # what those in service say of their calls
        self.reported_baselines: list[
            tuple[float, float]
        ] = []  # what is usual for a router, by those who know
        self.first_query_at_ms = now + self.rng.uniform(0.0, INITIAL_SPREAD_MS)
        self.sent_count = self.unexpected_count = 0

    def is_complete(self) -> bool:
        """Whether asking on would bring little."""
        return all(segment.is_complete for segment in self.segments)

    def median_warm_fraction(self) -> float | None:
        """The share of calls that find a copy, by the median of those who say it."""
        return (
            sorted(self.reported_warm_fractions)[len(self.reported_warm_fractions) // 2]
            if self.reported_warm_fractions
            else None
        )

    def on_tick(
        self, now: float, peer_uptimes_ms: Mapping[int, float], try_acquire: Callable[[], bool]
    ) -> list[SendToPeer]:
        """What to ask now; ``lives``: ms that each router that is there was there; ``may`` takes a token."""
        for nonce, out in list(self.pending.items()):
            if now - out.sent_at_ms >= RESPONSE_TIMEOUT_MS or out.peer not in peer_uptimes_ms:
                del self.pending[nonce]
                self._back_off(now, out.peer)
        told: list[SendToPeer] = []
        while now >= self.first_query_at_ms and len(self.pending) < min(
            MAX_PENDING_QUERIES, len(peer_uptimes_ms)
        ):
            question = self._next_query(now, peer_uptimes_ms, try_acquire)
            if question is None:
                break
            told.append(question)
        return told

    def _next_query(
        self, now: float, peer_uptimes_ms: Mapping[int, float], try_acquire: Callable[[], bool]
    ) -> SendToPeer | None:
        busy = {out.peer for out in self.pending.values()}
        open_ = [n for n, segment in enumerate(self.segments) if not segment.is_complete]
        open_.sort(
            key=lambda n: (sum(o.segment == n for o in self.pending.values()), self.segments[n].responses)
        )
        for number in open_:
            free = [
                peer
                for peer in peer_uptimes_ms
                if peer not in busy
                and peer not in self.segments[number].responders
                and now >= self.backoffs.setdefault(peer, _PeerBackoff()).not_before_ms
            ]
            if free:
                if not try_acquire():
                    return None
                peer = self.rng.choices(free, [self._weight(peer, peer_uptimes_ms[peer]) for peer in free])[0]
                nonce = self.rng.getrandbits(32)
                self.pending[nonce] = _PendingQuery(peer, number, now)
                self.suggested_peers.discard(peer)
                self.sent_count += 1
                return SendToPeer(codec.encode(codec.Query(nonce, number, SEGMENT_COUNT)), peer)
            if not [peer for peer in peer_uptimes_ms if peer not in self.segments[number].responders]:
                self.segments[number].is_complete = True  # all that are there have answered
        return None

    def _weight(self, peer: int, uptime_ms: float) -> float:
        return (
            NEW_PEER_WEIGHT
            + min(uptime_ms, FULL_WEIGHT_UPTIME_MS) / FULL_WEIGHT_UPTIME_MS
            + (0.5 if peer in self.suggested_peers else 0.0)
        )

    def _back_off(self, now: float, peer: int, wait: float | None = None) -> None:
        at = self.backoffs.setdefault(peer, _PeerBackoff())
        at.not_before_ms = now + (at.backoff_ms if wait is None else wait) * self.rng.uniform(*BACKOFF_JITTER)
        at.backoff_ms = min(2 * at.backoff_ms, MAX_BACKOFF_MS)

    def on_busy(self, now: float, sender: int, busy: codec.Busy) -> None:
        """A peer has no answer now."""
        out = self.pending.get(busy.nonce)
        if out is None or out.peer != sender:
            self.unexpected_count += 1
            return
        del self.pending[busy.nonce]
        self._back_off(now, sender, min(busy.retry_after_ms, MAX_RETRY_AFTER_MS))
        if busy.suggested_peer is not None:
            self.suggested_peers.add(busy.suggested_peer)

    def on_response(
        self, now: float, sender: int, response: codec.Response, warm_state: WarmState, has_older_peers: bool
    ) -> None:
        """A part of an answer: taken in at once, with ages counted from when it was asked for.

        ``old``: routers are there that did not restart with this one: then an empty answer says little."""
        out = self.pending.get(response.nonce)
        if out is None or out.peer != sender or response.part in out.received_parts:
            self.unexpected_count += 1
            return
        out.received_parts.add(response.part)
        out.received_count += len(response.observations)
        for place in response.observations:
            if place.function_hash % SEGMENT_COUNT == out.segment and place.hops < MAX_HOPS:
                out.new_count += warm_state.merge_remote(now, out.sent_at_ms, place, Source.PEER)
        if len(out.received_parts) < response.part_count:
            return
        del self.pending[response.nonce]
        if response.warm_fraction is not None:
            self.reported_warm_fractions.append(response.warm_fraction)
        if response.baseline_rates is not None:
            self.reported_baselines.append(response.baseline_rates)
        self._finish(out, has_older_peers)

    def _finish(self, query: _PendingQuery, has_older_peers: bool) -> None:
        segment = self.segments[query.segment]
        segment.responses += 1
        segment.responders.add(query.peer)
        segment.nonempty_responses += query.received_count > 0
        little = (
            query.new_count <= NEW_FRACTION_THRESHOLD * query.received_count
            if query.received_count
            else not has_older_peers
        )
        enough = segment.responses >= MIN_RESPONSES and little
        segment.is_complete = (
            segment.is_complete or enough or segment.nonempty_responses >= MAX_NONEMPTY_RESPONSES
        )
