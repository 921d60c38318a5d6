"""How much a router that comes back may ask of what all routers share: loads, connections, questions.

Each router takes its own part of a bound for all, as tokens that come evenly. No bucket starts full and each
starts at its own place between two tokens, by the router's number: who start at one moment take turns.
As in TCP's slow start (Jacobson, Congestion avoidance and control, 1988) the rate begins low and doubles for
each round in which what was begun went well, up to the bound.

Where it is known what this router did undisturbed, the bound comes from that, with all routers taken for
alike: m events in a mean window have a peak of about m + 3 sqrt(m) + 1 over some minutes, if they come by
chance. A return may do r in a mean window, with r + sqrt(r) at most 1.5 times that: its events take turns.

What a router sends without knowing of a copy is a load only by chance: runners keep what they held while
routers restart. So such a call takes as much of a token as the chance that it loads, by what such calls found
of late, and what it took too much comes back with its answer. At first that chance is taken for 1: one call
is out until that is known; then, where copies stand, more at each answer.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.statistics import DecayingCounter, TokenBucket

WINDOW_MS = 250.0  # ms over which peaks are counted
MAX_PEAK_RATIO = 1.5  # times the undisturbed peak that the peak of a return may be
INITIAL_RAMP_LEVEL = 0.25  # part of the bound that a return begins with
GOLDEN_RATIO_CONJUGATE = (
    0.6180339887498949  # steps of it fill the circle evenly: no two runners at one moment
)
MIN_RAMP_LEVEL = 1.0 / 16.0  # part of it that failures bring it down to
ROUND_MS = 250.0  # ms after which what went well doubles the rate
MIN_RATE_FRACTION = 0.1  # part of the bound by guess that is allowed whatever the undisturbed rate was
LOAD_PROBABILITY_WINDOW_MS = 5000.0  # ms over which it fades what calls to unknown places came upon
MIN_LOAD_PROBABILITY, PRIOR_LOADS = (
    0.1,
    1.0,
)  # least chance of a load, and answers' worth of doubt that all are loads
GROWTH_FACTOR, GROWTH_INTERVAL_MS = 1.5, 2000.0  # times, and ms
MAX_TOKEN_DEBT = 3.0  # tokens that a router may owe for loads that it did not expect
MIN_WORKER_CONNECTIONS_PER_WINDOW = (
    8.0  # connections in a window that are no harm to a runner, however few it has on other days
)
FIRST_CONNECT_WINDOWS = 2.0  # windows over which first connections are spread at least
MAX_SOLO_FACTOR = (
    4.0  # times its part that a router may take that returns alone: the others take less than theirs
)
BASELINE_WINDOW_MS = 10_000.0  # ms over which the undisturbed rate is averaged
MIN_BASELINE_WINDOWS = 2.0  # of these times in service from which on that average holds


class PacedAction(IntEnum):
    """What is bounded."""

    LOAD = 0  # begun at the pack store
    CONNECT = 1  # connections to runners, handshakes with them
    RESOLVE = 2  # questions to the resolver
    ASK = 3  # questions to peers
    RELEASE = 4  # wishes that a freeze held back


@dataclass(frozen=True, slots=True)
class PacingLimits:
    """By guess, for the whole fleet in a window, where the undisturbed rate is not known."""

    loads: float  # at the pack store
    connections_per_worker: float = MIN_WORKER_CONNECTIONS_PER_WINDOW  # connections at one runner
    discovery_queries: float = 2.0  # questions of one router: it asks some five times a second on any day
    peer_queries: float = 6.0  # questions to peers by one router
    connections: float = 16.0  # connections of one router: handshakes take its own time too

    @staticmethod
    def for_fleet(worker_count: int, load_time_ms: float) -> PacingLimits:
        """For so many workers whose loads take so long, ms: half a load under way at each."""
        return PacingLimits(loads=0.5 * max(1, worker_count) * WINDOW_MS / max(load_time_ms, WINDOW_MS))


def max_events_per_window(mean_events: float) -> float:
    """Events in a mean window that a return may have, where there were so many undisturbed (see above)."""
    return (math.sqrt(0.25 + MAX_PEAK_RATIO * (mean_events + 3.0 * math.sqrt(mean_events) + 1.0)) - 0.5) ** 2


class Pacer:
    """The tokens of one router."""

    def __init__(self, router_index: int, now: float, limits: PacingLimits, router_count: int) -> None:
        self.phase_offset = (router_index + 0.5) / max(1, router_count)  # evenly between those of the others
        self.limits, self.router_count, self.worker_count = limits, max(1, router_count), 1
        self.recent_counts = {kind: DecayingCounter(BASELINE_WINDOW_MS) for kind in PacedAction}
        self.baseline_per_second: dict[PacedAction, float] = {}  # a second, by this router alone
        self.peer_baseline_per_second: dict[
            PacedAction, float
        ] = {}  # the same as another router tells it of itself
        self.in_service_since_ms = math.inf  # since when it is in service
        self.deferred = dict.fromkeys(PacedAction, 0)
        self.restart(now)

    def restart(self, now: float, is_mass_restart: bool = True) -> None:
        """A return, or the end of a freeze: from the floor, each bucket somewhere between two tokens."""
        self.is_mass_restart, self.in_service_since_ms, self.last_growth_ms = is_mass_restart, math.inf, now
        self.ramp_level = dict.fromkeys(PacedAction, INITIAL_RAMP_LEVEL) | {
            PacedAction.LOAD: 1.0
        }  # whose ramp is the chance below
        self.warm_starts, self.cold_starts = (
            DecayingCounter(LOAD_PROBABILITY_WINDOW_MS),
            DecayingCounter(LOAD_PROBABILITY_WINDOW_MS),
        )
        self.success_counts, self.failure_counts = (
            dict.fromkeys(PacedAction, 0),
            dict.fromkeys(PacedAction, 0),
        )
        self.started_at_ms, self.round_ends_at_ms = now, now + ROUND_MS
        self.buckets = {kind: self._new_bucket(now, kind) for kind in PacedAction}
        self.worker_turns: dict[
            int, tuple[float, float]
        ] = {}  # last connection, and the part of a turn to wait
        self.calls_by_worker: dict[int, int] = {}  # to each runner
        self.total_calls = 0

    def _new_bucket(self, now: float, salt: int) -> TokenBucket:
        return TokenBucket(0.0, 1.0, (self.phase_offset + salt * GOLDEN_RATIO_CONJUGATE) % 1.0, now)

    def on_freeze_ended(self, now: float) -> None:
        """A freeze is over, at all routers at one moment: what it held back begins from the floor."""
        self.ramp_level[PacedAction.RELEASE] = INITIAL_RAMP_LEVEL
        self.buckets[PacedAction.RELEASE] = self._new_bucket(now, PacedAction.RELEASE)

    # What was usual.

    def enter_service(self, now: float) -> None:
        """From now on what is done is usual."""
        self.in_service_since_ms = self.last_growth_ms = now
        self.recent_counts = {kind: DecayingCounter(BASELINE_WINDOW_MS) for kind in PacedAction}

    def update_baseline(self, now: float) -> Mapping[PacedAction, float]:
        """The usual rate of each kind, a second, where it has been seen for long enough."""
        if now - self.in_service_since_ms >= MIN_BASELINE_WINDOWS * BASELINE_WINDOW_MS:
            known = 1.0 - math.exp((self.in_service_since_ms - now) / BASELINE_WINDOW_MS)
            self.baseline_per_second = {
                kind: 1000.0 * did.read(now) / BASELINE_WINDOW_MS / known
                for kind, did in self.recent_counts.items()
            }
        return self.baseline_per_second

    def baseline(self, kind: PacedAction) -> float | None:
        """What is usual for one router, a second, by this one or another."""
        return self.baseline_per_second.get(kind, self.peer_baseline_per_second.get(kind))

    # What is bounded.

    def default_rate_per_second(self, kind: PacedAction) -> float:
        """This router's part of the bound by guess, a second."""
        a_second = 1000.0 / WINDOW_MS
        if kind is PacedAction.RESOLVE:
            return self.limits.discovery_queries * a_second
        if kind is PacedAction.ASK:
            return self.limits.peer_queries * a_second
        if kind is PacedAction.CONNECT:
            return self.limits.connections * a_second
        return self.limits.loads * a_second / self.router_count

    def rate_per_second(self, kind: PacedAction) -> float:
        """Tokens a second now."""
        bound = self.default_rate_per_second(kind)
        usual = self.baseline(kind)
        if usual is not None and kind in (PacedAction.LOAD, PacedAction.RESOLVE):
            windows = 1000.0 / WINDOW_MS
            whole = max_events_per_window(usual * self.router_count / windows) * windows
            bound = max(whole / self.router_count, MIN_RATE_FRACTION * bound)
        times = 1.0 if self.is_mass_restart else min(MAX_SOLO_FACTOR, float(self.router_count))
        return bound * times * self.ramp_level[kind]

    def try_acquire(self, now: float, kind: PacedAction) -> bool:
        """Take a token, if there is one."""
        bucket = self._refilled_bucket(now, kind)
        if bucket.take(now):
            self.recent_counts[kind].add(now, 1.0)
            return True
        self.deferred[kind] += 1
        return False

    def wait_ms(self, now: float, kind: PacedAction) -> float:
        """Ms until there is a token, as things stand."""
        bucket = self._refilled_bucket(now, kind)
        return max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_second * 1000.0 if bucket.tokens < 1.0 else 0.0

    def _refilled_bucket(self, now: float, kind: PacedAction) -> TokenBucket:
        bucket, rate = self.buckets[kind], self.rate_per_second(kind)
        bucket.refill(now)
        bucket.rate_per_second, bucket.capacity = rate, max(1.0, rate * WINDOW_MS / 1000.0)
        return bucket

    def load_probability(self, now: float) -> float:
        """That a call sent without knowing of a copy begins a load."""
        found, began = self.warm_starts.read(now), self.cold_starts.read(now)
        return max(MIN_LOAD_PROBABILITY, (began + PRIOR_LOADS) / (found + began + PRIOR_LOADS))

    def try_acquire_load(self, now: float) -> float:
        """Take as much as a load is likely; how much that was, 0 where there was not so much."""
        cost = self.load_probability(now)
        if self._refilled_bucket(now, PacedAction.LOAD).take(now, cost):
            return cost
        self.deferred[PacedAction.LOAD] += 1
        return 0.0

    def settle_load(self, now: float, tokens_taken: float, was_warm: bool) -> None:
        """What a call that took so much came upon: the rest is taken now, or given back."""
        bucket = self._refilled_bucket(now, PacedAction.LOAD)
        bucket.tokens = min(
            bucket.capacity, max(-MAX_TOKEN_DEBT, bucket.tokens + tokens_taken - (0.0 if was_warm else 1.0))
        )
        (self.warm_starts if was_warm else self.cold_starts).add(now, 1.0)

    def record_call(self, worker: int) -> None:
        """A call went, or was to go, to a runner: how many of the fleet's calls it draws."""
        self.calls_by_worker[worker] = self.calls_by_worker.get(worker, 0) + 1
        self.total_calls += 1

    def try_acquire_connection(self, now: float, worker: int) -> bool:
        """Both of the runner's connections, where many want it, and of all this router's connections."""
        base, part = self.worker_turns.get(
            worker, (self.started_at_ms, (self.phase_offset + worker * GOLDEN_RATIO_CONJUGATE) % 1.0)
        )
        if now - base < part * self.connect_windows(now, worker) * WINDOW_MS or not self.try_acquire(
            now, PacedAction.CONNECT
        ):
            return False
        self.worker_turns[worker] = (now, 1.0)
        return True

    def connect_windows(self, now: float, worker: int) -> float:
        """Windows over which the fleet's connections to a runner are to be spread.

        Routers are taken for alike, so own calls tell what all want there. Where that is within the bound,
        calls that come one by one spread themselves; where it is far beyond, each router has its turn."""
        bound = self._connections_per_worker()
        fleet = self.router_count if self.is_mass_restart else 1
        windows = max(1.0, (now - self.started_at_ms) / WINDOW_MS)
        share = (self.calls_by_worker.get(worker, 0) + 1.0) / (self.total_calls + self.worker_count)
        wanted = fleet * max(1.0, self.total_calls) / windows * share
        first = (
            0.0 if worker in self.worker_turns else min(FIRST_CONNECT_WINDOWS, fleet / bound)
        )  # calls tell little as yet
        return max(first, fleet / bound * max(0.0, 1.0 - bound / wanted))

    def _connections_per_worker(self) -> float:
        """Connections at one runner by all in a window."""
        usual = self.baseline(PacedAction.CONNECT)
        if usual is None:
            return self.limits.connections_per_worker
        mean = usual * self.router_count / self.worker_count * WINDOW_MS / 1000.0
        return max(self.limits.connections_per_worker, max_events_per_window(mean))

    def grow_load_rate(self, now: float) -> None:
        """While something waits for long: a guess may be too small, or in service what was usual once."""
        guess = self.baseline(PacedAction.LOAD) is None or self.in_service_since_ms < math.inf
        if guess and now >= self.last_growth_ms + GROWTH_INTERVAL_MS:
            self._refilled_bucket(now, PacedAction.LOAD)
            self.ramp_level[PacedAction.LOAD] *= GROWTH_FACTOR
            self.last_growth_ms = now

    def record_unpaced(self, now: float, kind: PacedAction) -> None:
        """Done without asking, in service: it counts for what is usual."""
        self.recent_counts[kind].add(now, 1.0)

    # The ramp.

    def record_result(self, kind: PacedAction, succeeded: bool) -> None:
        """How something that was begun has ended."""
        if succeeded:
            self.success_counts[kind] += 1
        else:
            self.failure_counts[kind] += 1

    def on_tick(self, now: float) -> None:
        """Some times a second: after each round the rates go up or down by what went well."""
        if now < self.round_ends_at_ms:
            return
        self.round_ends_at_ms = now + ROUND_MS
        for kind in PacedAction:
            self._refilled_bucket(now, kind)  # what has come until now came at the old rate
            if self.failure_counts[kind] > self.success_counts[kind]:
                self.ramp_level[kind] = max(MIN_RAMP_LEVEL, self.ramp_level[kind] / 2)
            elif self.success_counts[kind]:
                self.ramp_level[kind] = max(self.ramp_level[kind], min(1.0, self.ramp_level[kind] * 2))
        self.success_counts, self.failure_counts = (
            dict.fromkeys(PacedAction, 0),
            dict.fromkeys(PacedAction, 0),
        )
