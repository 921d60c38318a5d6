"""The warm state: which functions were observed warm on which workers; a restart loses it.

Of two observations of the same function and worker, the merge keeps the later one, so the order, loss and
duplication of observations do not matter. Routers forward an observation with its total age, so forwarding
does not make an observation younger.
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
"""Number of observations after an eviction, which removes the oldest once there are a tenth more."""
MAX_HOPS = 15
"""Maximum number of routers that forwarded an observation: four bits of the flags in a datagram."""
UNKNOWN_START = 0
"""Start tag of a worker with an unknown start time."""


class ObservationSource(IntEnum):
    """The origin of an observation: this router, its store, or a peer."""

    LOCAL = 0
    STORE = 1
    PEER = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """An observation of a function at one incarnation of a worker."""

    observed_at_ms: float  # time of the observation on this process's monotonic clock
    is_warm: bool  # whether a warm instance was found
    source: ObservationSource
    hops: int  # number of routers that forwarded the observation

    def supersedes(self, other: Observation) -> bool:
        """Return whether this observation replaces another.

        The later one wins; at the same time, the one that found no warm instance wins.
        """
        return (self.observed_at_ms, not self.is_warm, -self.hops) > (
            other.observed_at_ms,
            not other.is_warm,
            -other.hops,
        )


@dataclass(frozen=True, slots=True)
class AgedObservation:
    """An observation as it is sent and stored: with an age, because the clocks of processes differ."""

    worker_id: int
    start_tag: int  # tag of the worker's start, which identifies its incarnation
    function_hash: int  # the function id folded to 32 bits
    age_ms: float  # time since the observation
    is_warm: bool
    hops: int = 0


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """A worker of the current endpoint list."""

    start_tag: int
    is_ready: bool
    first_listed_at_ms: float  # time at which this router's list first contained this incarnation


def start_tag(started_at_ms: float | None) -> int:
    """Return the low 32 bits of a worker's start time, which all routers have from the endpoint list."""
    if started_at_ms is None or not math.isfinite(started_at_ms):
        return UNKNOWN_START
    return int(started_at_ms) & 0xFFFFFFFF


class WarmState:
    """The observations of one router, and the endpoint list that decides which of them are usable.

    ``RecoveryComponent`` records local observations and endpoint updates, and sets ``suspended_until_ms``;
    ``PeerQueryClient`` and ``snapshot.restore_observations`` merge observations from peers and the store.

    Args:
        keep_alive_ms: Time for which a worker retains an unused instance.
        max_observations: Number of observations after an eviction.
    """

    def __init__(self, keep_alive_ms: float, max_observations: int = MAX_OBSERVATIONS) -> None:
        self.keep_alive_ms = keep_alive_ms
        self.max_observations = max_observations
        self.suspended_until_ms = -math.inf
        """No observation is usable before this time, because the endpoint list may precede a pause."""
        self.workers: dict[int, _ListedWorker] = {}
        self.observations: dict[int, dict[tuple[int, int], Observation]] = {}
        """Observations by function hash, then by worker id and start tag."""
        self.observation_count = 0

    def on_endpoint_update(self, now_ms: float, update: EndpointUpdate) -> None:
        """Update the endpoint list; observations of workers that are no longer listed become unusable."""
        if update.kind is EndpointUpdateKind.FAILED:
            return
        if update.kind is not EndpointUpdateKind.DELTA:
            listed_ids = {endpoint.worker_id for endpoint in update.endpoints}
            self.workers = {
                worker_id: listed for worker_id, listed in self.workers.items() if worker_id in listed_ids
            }
        # For a worker of the first list, attempts sent at any time count; for a worker that is added later,
        # only attempts sent from now on.
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

    def is_usable(self, now_ms: float, worker_id: int, observed_tag: int, observation: Observation) -> bool:
        """Return whether routing may use an observation.

        The observation must be warm, no older than the keep-alive, and of the current incarnation of a worker
        that is listed as ready.

        Args:
            now_ms: Current time.
            worker_id: Worker of the observation.
            observed_tag: Start tag of the worker at the observation.
            observation: Observation to check.
        """
        listed = self.workers.get(worker_id)
        if listed is None or not listed.is_ready or listed.start_tag != observed_tag:
            return False
        if now_ms < self.suspended_until_ms:
            return False
        return observation.is_warm and now_ms - observation.observed_at_ms <= self.keep_alive_ms

    def record_local(
        self, now_ms: float, worker_id: int, function_id: int, *, is_warm: bool, latency_ms: float = 0.0
    ) -> None:
        """Merge an observation that this router made by an attempt of its own.

        Ignores an attempt that was sent before the worker's current incarnation was listed, because the
        attempt may have reached an earlier incarnation.

        Args:
            now_ms: Current time, at which the attempt ended.
            worker_id: Worker of the attempt.
            function_id: Function of the attempt.
            is_warm: Whether the attempt found a warm instance.
            latency_ms: Time since the attempt was sent.
        """
        listed = self.workers.get(worker_id)
        if listed is not None and now_ms - latency_ms >= listed.first_listed_at_ms:
            observation = Observation(now_ms, is_warm, ObservationSource.LOCAL, 0)
            self._merge(worker_id, listed.start_tag, fold_function_id(function_id), observation)

    def merge_remote(
        self, now_ms: float, requested_at_ms: float, aged: AgedObservation, source: ObservationSource
    ) -> bool:
        """Merge an observation from a peer or the store.

        The age counts from ``requested_at_ms``, so network delays make an observation older, never younger.

        Args:
            now_ms: Current time.
            requested_at_ms: A time on this router's clock that is not later than the computation of the age,
                such as the time of the query.
            aged: The observation.
            source: Origin of the observation.

        Returns:
            Whether the observation is new: it replaces no observation, or one of the opposite ``is_warm``.
        """
        if not (math.isfinite(aged.age_ms) and aged.age_ms >= 0 and aged.hops < MAX_HOPS):
            return False
        observed_at_ms = min(requested_at_ms, now_ms) - aged.age_ms
        if now_ms - observed_at_ms > self.keep_alive_ms:
            return False
        observation = Observation(observed_at_ms, aged.is_warm, source, aged.hops + 1)
        return self._merge(aged.worker_id, aged.start_tag, aged.function_hash, observation)

    def _merge(self, worker_id: int, observed_tag: int, function_hash: int, observation: Observation) -> bool:
        """Merge one observation; return whether it is new, as defined by ``merge_remote``."""
        by_incarnation = self.observations.setdefault(function_hash, {})
        previous = by_incarnation.get((worker_id, observed_tag))
        if previous is not None and not observation.supersedes(previous):
            return False
        by_incarnation[worker_id, observed_tag] = observation
        if previous is None:
            self.observation_count += 1
            if self.observation_count > self.max_observations + self.max_observations // 10:
                self._evict_oldest()
        return previous is None or previous.is_warm is not observation.is_warm

    def _evict_oldest(self) -> None:
        """Remove the oldest observations, so that memory stays bounded for any input from peers."""
        candidates = [
            (observation.observed_at_ms, function_hash, key)
            for function_hash, by_incarnation in self.observations.items()
            for key, observation in by_incarnation.items()
        ]
        excess = self.observation_count - self.max_observations
        for _, function_hash, key in heapq.nsmallest(excess, candidates):
            del self.observations[function_hash][key]
            if not self.observations[function_hash]:
                del self.observations[function_hash]
        self.observation_count = sum(len(by_incarnation) for by_incarnation in self.observations.values())

    def drop_expired(self, now_ms: float) -> None:
        """Remove observations that are older than the keep-alive, because they cannot become usable again."""
        for function_hash, by_incarnation in list(self.observations.items()):
            expired = [
                key
                for key, observation in by_incarnation.items()
                if now_ms - observation.observed_at_ms > self.keep_alive_ms
            ]
            for key in expired:
                del by_incarnation[key]
                self.observation_count -= 1
            if not by_incarnation:
                del self.observations[function_hash]

    def warm_instances(self, now_ms: float, function_id: int) -> dict[int, InstanceLoad]:
        """Return the workers with a usable observation of a warm instance of a function, with its age.

        The result has the form of ``LoadGossip.instances``. Its loads are 0, because observations have none.
        """
        by_incarnation = self.observations.get(fold_function_id(function_id), {})
        return {
            worker_id: InstanceLoad(0, max(0.0, now_ms - observation.observed_at_ms))
            for (worker_id, observed_tag), observation in by_incarnation.items()
            if self.is_usable(now_ms, worker_id, observed_tag, observation)
        }

    def latest_observations(
        self, now_ms: float, segment: int = 0, segment_count: int = 1, limit: int = MAX_OBSERVATIONS
    ) -> list[AgedObservation]:
        """Return the latest observations, warm and cold, to send to a peer or to store; latest first.

        Args:
            now_ms: Current time.
            segment: Number of the segment: the function hash modulo ``segment_count``.
            segment_count: Number of segments.
            limit: Maximum number of observations to return.
        """
        unexpired = self._unexpired(now_ms, segment, segment_count)
        return heapq.nsmallest(limit, unexpired, key=lambda aged: aged.age_ms)

    def _unexpired(self, now_ms: float, segment: int, segment_count: int) -> Iterator[AgedObservation]:
        for function_hash, by_incarnation in self.observations.items():
            if function_hash % segment_count != segment:
                continue
            for (worker_id, observed_tag), observation in by_incarnation.items():
                age_ms = max(0.0, now_ms - observation.observed_at_ms)
                listed = self.workers.get(worker_id)
                is_past_incarnation = listed is not None and listed.start_tag != observed_tag
                if age_ms <= self.keep_alive_ms and not is_past_incarnation:
                    yield AgedObservation(
                        worker_id, observed_tag, function_hash, age_ms, observation.is_warm, observation.hops
                    )
