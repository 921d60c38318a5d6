"""Which functions were seen warm on which workers, and when: the knowledge that a restart loses.

Observations merge by the freshest one, so their order, loss and duplication do not matter. The age that is
sent is that of the observation itself, whoever passes it on: forwarding makes nothing younger.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

from cedarthread.gossip.codec import fold_function_id
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.instance_load import InstanceLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_OBSERVATIONS = 4096
"""Observations that are kept; at a tenth more the least recently observed are evicted."""
MAX_HOPS = 15
"""Routers by way of which an observation may have come: four bits of a datagram's flags."""
UNKNOWN_START = 0
"""Start tag of a worker whose start time is not known."""


class Source(IntEnum):
    """Where an observation came to this process from."""

    LOCAL = 0
    STORE = 1
    PEER = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """One observation of a function on one start of a worker."""

    observed_at_ms: float  # on this process's steady clock
    is_warm: bool  # a warm instance was found, or found missing
    source: Source
    hops: int  # routers that it came by way of

    def supersedes(self, other: Observation) -> bool:
        """Whether it replaces another: the later one does; of two at one time the one that found nothing."""
        return (self.observed_at_ms, not self.is_warm, -self.hops) > (
            other.observed_at_ms,
            not other.is_warm,
            -other.hops,
        )


@dataclass(frozen=True, slots=True)
class AgedObservation:
    """One observation as it is sent or stored: with its age, since each process has a clock of its own."""

    worker_id: int
    start_tag: int
    function_hash: int  # the function id folded to 32 bits
    age_ms: float  # since the observation
    is_warm: bool
    hops: int = 0


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """A worker in the present endpoint list."""

    start_tag: int
    is_ready: bool
    first_listed_at_ms: float  # when this start of it was first listed here


def start_tag(started_at_ms: float | None) -> int:
    """A worker's start time in 32 bits, from the endpoint list, so that all routers have the same tag."""
    if started_at_ms is None or not math.isfinite(started_at_ms):
        return UNKNOWN_START
    return int(started_at_ms) & 0xFFFFFFFF


class WarmState:
    """All observations of one process, and the endpoint list that says which of them are still usable."""

    def __init__(self, keep_alive_ms: float, max_observations: int = MAX_OBSERVATIONS) -> None:
        self.keep_alive_ms = keep_alive_ms
        self.max_observations = max_observations
        self.suspended_until_ms = -math.inf
        """No observation is usable before: after a pause the endpoint list may be from before it."""
        self.workers: dict[int, _ListedWorker] = {}
        self.observations: dict[int, dict[tuple[int, int], Observation]] = {}
        """By function hash, then by worker and start tag."""
        self.observation_count = 0

    def on_endpoint_update(self, now_ms: float, update: EndpointUpdate) -> None:
        """Follow the endpoint list; observations of what it no longer names are not usable from now on."""
        if update.kind is EndpointUpdateKind.FAILED:
            return
        if update.kind is not EndpointUpdateKind.DELTA:
            listed_ids = {endpoint.worker_id for endpoint in update.endpoints}
            self.workers = {
                worker_id: listed for worker_id, listed in self.workers.items() if worker_id in listed_ids
            }
        # What the first list names may have started at any time; what joins it later, no sooner than now.
        listed_since_ms = now_ms if self.workers else -math.inf
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.workers.pop(endpoint.worker_id, None)
                continue
            tag = start_tag(endpoint.started_at_ms)
            first_listed_at_ms = listed_since_ms
            previous = self.workers.get(endpoint.worker_id)
            if previous is not None and previous.start_tag == tag:
                first_listed_at_ms = previous.first_listed_at_ms
            is_ready = endpoint.state is EndpointState.READY
            self.workers[endpoint.worker_id] = _ListedWorker(tag, is_ready, first_listed_at_ms)

    def is_usable(self, now_ms: float, worker_id: int, start: int, observation: Observation) -> bool:
        """Whether it may decide: of the present start of a ready worker, warm, and within the keep-alive.

        ``start`` is a start tag.
        """
        listed = self.workers.get(worker_id)
        if listed is None or not listed.is_ready or listed.start_tag != start:
            return False
        if now_ms < self.suspended_until_ms:
            return False
        return observation.is_warm and now_ms - observation.observed_at_ms <= self.keep_alive_ms

    def record_local(
        self, now_ms: float, worker_id: int, function_id: int, is_warm: bool, latency_ms: float = 0.0
    ) -> None:
        """Take an observation of this router's own.

        An attempt that was sent before the worker's present start was listed says nothing of any start.
        """
        listed = self.workers.get(worker_id)
        if listed is not None and now_ms - latency_ms >= listed.first_listed_at_ms:
            observation = Observation(now_ms, is_warm, Source.LOCAL, 0)
            self._merge(worker_id, listed.start_tag, fold_function_id(function_id), observation)

    def merge_remote(
        self, now_ms: float, requested_at_ms: float, aged: AgedObservation, source: Source
    ) -> bool:
        """Take an observation that came with an age; whether it was news.

        ``requested_at_ms``: a time on this clock no later than the age was read, as of the query.
        The age is counted from there, so delays on the way make an observation older, never younger.
        """
        if not (math.isfinite(aged.age_ms) and aged.age_ms >= 0 and aged.hops < MAX_HOPS):
            return False
        observed_at_ms = min(requested_at_ms, now_ms) - aged.age_ms
        if now_ms - observed_at_ms > self.keep_alive_ms:
            return False
        observation = Observation(observed_at_ms, aged.is_warm, source, aged.hops + 1)
        return self._merge(aged.worker_id, aged.start_tag, aged.function_hash, observation)

    def _merge(self, worker_id: int, start: int, function_hash: int, observation: Observation) -> bool:
        """Join one observation; whether there was none that says the same."""
        by_start = self.observations.setdefault(function_hash, {})
        previous = by_start.get((worker_id, start))
        if previous is not None and not observation.supersedes(previous):
            return False
        by_start[worker_id, start] = observation
        if previous is None:
            self.observation_count += 1
            if self.observation_count > self.max_observations + self.max_observations // 10:
                self._evict_oldest()
        return previous is None or previous.is_warm is not observation.is_warm

    def _evict_oldest(self) -> None:
        """Bound the memory, whatever peers send."""
        candidates = [
            (observation.observed_at_ms, function_hash, key)
            for function_hash, by_start in self.observations.items()
            for key, observation in by_start.items()
        ]
        excess = self.observation_count - self.max_observations
        for _, function_hash, key in heapq.nsmallest(excess, candidates):
            del self.observations[function_hash][key]
            if not self.observations[function_hash]:
                del self.observations[function_hash]
        self.observation_count = sum(len(by_start) for by_start in self.observations.values())

    def drop_expired(self, now_ms: float) -> None:
        """Drop observations that are older than the keep-alive; none of them is ever usable again."""
        for function_hash, by_start in list(self.observations.items()):
            expired = [
                key
                for key, observation in by_start.items()
                if now_ms - observation.observed_at_ms > self.keep_alive_ms
            ]
            for key in expired:
                del by_start[key]
                self.observation_count -= 1
            if not by_start:
                del self.observations[function_hash]

    def warm_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """The workers that have a warm instance of a function by a usable observation, with its age.

        In the form of ``LoadGossip.instances``; no load is known.
        """
        by_start = self.observations.get(fold_function_id(function_id), {})
        return {
            worker_id: InstanceLoad(0, max(0.0, now_ms - observation.observed_at_ms))
            for (worker_id, start), observation in by_start.items()
            if self.is_usable(now_ms, worker_id, start, observation)
        }

    def digest(
        self, now_ms: float, segment: int = 0, segment_count: int = 1, limit: int = MAX_OBSERVATIONS
    ) -> list[AgedObservation]:
        """What peers or the store are to be sent, the freshest first, cold observations included.

        ``segment``: only functions whose hash modulo ``segment_count`` is this.
        """
        unexpired = self._unexpired(now_ms, segment, segment_count)
        return heapq.nsmallest(limit, unexpired, key=lambda aged: aged.age_ms)

    def _unexpired(self, now_ms: float, segment: int, segment_count: int) -> Iterator[AgedObservation]:
        for function_hash, by_start in self.observations.items():
            if function_hash % segment_count != segment:
                continue
            for (worker_id, start), observation in by_start.items():
                age_ms = max(0.0, now_ms - observation.observed_at_ms)
                listed = self.workers.get(worker_id)
                is_past_start = listed is not None and listed.start_tag != start
                if age_ms <= self.keep_alive_ms and not is_past_start:
                    yield AgedObservation(
                        worker_id, start, function_hash, age_ms, observation.is_warm, observation.hops
                    )
