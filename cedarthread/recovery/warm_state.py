"""What stood warm where: each piece with when it was observed, and at which start of the runner.

Observations join by the freshest one, so their order, loss and doubling do not matter. An age that is told is
that of the observation itself, whoever passes it on: being told makes nothing younger.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.gossip.codec import fold_function_id
from cedarthread.gossip.load_gossip import InstanceLoad
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind

MAX_OBSERVATIONS = 4096  # observations that are kept; past a tenth more the least recently observed go
MAX_HOPS = 15  # routers that an observation may come by way of
UNKNOWN_START = 0  # the tag of a runner that started a long time back


class Source(IntEnum):
    """Where an observation came from to this process."""

    LOCAL = 0
    STORE = 1
    PEER = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """One observation of a function at one start of a runner."""

    observed_at_ms: float  # ms on this process's steady clock
    is_warm: bool  # a copy was found there, or found missing
    source: Source
    hops: int  # routers that it came by way of

    def supersedes(self, other: Observation) -> bool:
        """Whether it replaces another: the later one; of two at one time the one that found nothing."""
        return (self.observed_at_ms, not self.is_warm, -self.hops) > (
            other.observed_at_ms,
            not other.is_warm,
            -other.hops,
        )


@dataclass(frozen=True, slots=True)
class AgedObservation:
    """One observation as it is told or stored: with its age, for clocks are each process's own."""

    worker_id: int
    start_tag: int
    function_hash: int  # folded to 32 bits
    age_ms: float  # ms since the observation
    is_warm: bool
    hops: int = 0


@dataclass(frozen=True, slots=True)
class _ListedWorker:
    """A runner in the present list."""

    start_tag: int
    is_ready: bool
    first_listed_at_ms: float  # when this start of it was first listed here


def start_tag(started: float | None) -> int:
    """A runner's start in 32 bits: the figure of the list, which is the same at each router."""
    if started is None or not math.isfinite(started):
        return UNKNOWN_START
    return int(started) & 0xFFFFFFFF


class WarmState:
    """All observations of one process, and the present list of runners that says which still count."""

    def __init__(self, keep_alive_ms: float, max_observations: int = MAX_OBSERVATIONS) -> None:
        self.keep_alive_ms, self.max_observations = keep_alive_ms, max_observations
        self.suspended_until_ms = -math.inf  # until then nothing decides: the list may be from before a pause
        self.workers: dict[int, _ListedWorker] = {}
        self.observations: dict[int, dict[tuple[int, int], Observation]] = {}  # function: worker and start
        self.observation_count = 0

    # The present list.

    def on_endpoint_update(self, now: float, event: EndpointUpdate) -> None:
        """News of the list; what it no longer names decides nothing from now on."""
        if event.kind is EndpointUpdateKind.FAILED:
            return
        if event.kind is not EndpointUpdateKind.DELTA:
            told = {entry.worker_id for entry in event.endpoints}
            self.workers = {w: entry for w, entry in self.workers.items() if w in told}
        first = not self.workers
        for entry in event.endpoints:
            if entry.state is EndpointState.REMOVED:
                self.workers.pop(entry.worker_id, None)
                continue
            start, old = start_tag(entry.started_at_ms), self.workers.get(entry.worker_id)
            at = -math.inf if first else now
            if old is not None and old.start_tag == start:
                at = old.first_listed_at_ms
            self.workers[entry.worker_id] = _ListedWorker(start, entry.state is EndpointState.READY, at)

    def is_usable(self, now: float, worker: int, start: int, place: Observation) -> bool:
        """Whether an observation may decide: of a ready runner's present start, within the keep-alive."""
        runner = self.workers.get(worker)
        if (
            runner is None
            or not runner.is_ready
            or runner.start_tag != start
            or now < self.suspended_until_ms
        ):
            return False
        return place.is_warm and now - place.observed_at_ms <= self.keep_alive_ms

    # Observations.

    def record_local(
        self, now: float, worker: int, function: int, is_warm: bool, latency_ms: float = 0.0
    ) -> None:
        """An own observation. What was sent before the runner's new start was listed tells of no start."""
        runner = self.workers.get(worker)
        if runner is not None and now - latency_ms >= runner.first_listed_at_ms:
            self._merge(
                worker,
                runner.start_tag,
                fold_function_id(function),
                Observation(now, is_warm, Source.LOCAL, 0),
            )

    def merge_remote(self, now: float, asked_at_ms: float, aged: AgedObservation, source: Source) -> bool:
        """Take what was told with an age; True where that was news.

        ``at``: a time on this clock that is no later than the telling, such as when the question was sent:
        counted from there, delays on the way make an observation older, never younger."""
        if not (math.isfinite(aged.age_ms) and aged.age_ms >= 0 and aged.hops < MAX_HOPS):
            return False
        observed = min(asked_at_ms, now) - aged.age_ms
        if now - observed > self.keep_alive_ms:
            return False
        return self._merge(
            aged.worker_id,
            aged.start_tag,
            aged.function_hash,
            Observation(observed, aged.is_warm, source, aged.hops + 1),
        )

    def _merge(self, worker: int, start: int, short: int, place: Observation) -> bool:
        """Join one observation; True where there was none of it that still counts the same."""
        at = self.observations.setdefault(short, {})
        old = at.get((worker, start))
        if old is not None and not place.supersedes(old):
            return False
        at[worker, start] = place
        if old is None:
            self.observation_count += 1
            if self.observation_count > self.max_observations + self.max_observations // 10:
                self._evict_oldest()
        return old is None or old.is_warm is not place.is_warm

    def _evict_oldest(self) -> None:
        """Bounded memory, whatever peers tell."""
        every = [
            (p.observed_at_ms, short, key) for short, at in self.observations.items() for key, p in at.items()
        ]
        for _, short, key in heapq.nsmallest(self.observation_count - self.max_observations, every):
            del self.observations[short][key]
            if not self.observations[short]:
                del self.observations[short]
        self.observation_count = sum(len(at) for at in self.observations.values())

    def drop_expired(self, now: float) -> None:
        """Once in a while: what is older than the keep-alive can decide nothing any more."""
        for short, at in list(self.observations.items()):
            for key in [key for key, place in at.items() if now - place.observed_at_ms > self.keep_alive_ms]:
                del at[key]
                self.observation_count -= 1
            if not at:
                del self.observations[short]

    # What is read.

    def warm_instances(self, now: float, function: int) -> dict[int, InstanceLoad]:
        """What stands of a function, by worker, in the form of ``Talk.copies``: only what may decide."""
        at = self.observations.get(fold_function_id(function), {})
        return {
            worker: InstanceLoad(0, max(0.0, now - place.observed_at_ms))
            for (worker, start), place in at.items()
            if self.is_usable(now, worker, start, place)
        }

    def digest(
        self, now: float, segment: int = 0, segment_count: int = 1, limit: int = MAX_OBSERVATIONS
    ) -> list[AgedObservation]:
        """What others or the store are to be told, the freshest first; what found nothing is told too."""
        return heapq.nsmallest(
            limit, self._unexpired(now, segment, segment_count), key=lambda told: told.age_ms
        )

    def _unexpired(self, now: float, segment: int, segment_count: int) -> Iterator[AgedObservation]:
        for short, at in self.observations.items():
            if short % segment_count != segment:
                continue
            for (worker, start), place in at.items():
                age = max(0.0, now - place.observed_at_ms)
                runner = self.workers.get(worker)
                past = runner is not None and runner.start_tag != start
                if age <= self.keep_alive_ms and not past:
                    yield AgedObservation(worker, start, short, age, place.is_warm, place.hops)
