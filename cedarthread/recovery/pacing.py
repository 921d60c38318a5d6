"""Paces what a router does during a recovery: loads, connections, queries, released changes.

Each router takes its own part of a limit for the whole fleet, as tokens that come evenly. No bucket starts
full, and each starts at its own place between two tokens, by the router's index, so that routers that start
at one moment take turns. As in TCP's slow start (Jacobson, Congestion avoidance and control, 1988) the rate
begins low and doubles for each round in which what was begun succeeded, up to the limit.

The limit follows from the baseline of an undisturbed day where that is known, else from ``PacingLimits``.

A call to a worker that is not known to be warm begins a load only by chance. So it takes as much of a token
as that is likely, and its answer settles the difference. At first the probability is taken for 1: one such
call is in flight until its outcome is known; then, where instances are found, more at each answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.recovery.action_baseline import ActionBaseline
from cedarthread.recovery.connection_turns import GOLDEN_RATIO_CONJUGATE, ConnectionTurns, FleetDemand
from cedarthread.recovery.load_probability import LoadProbability
from cedarthread.recovery.pacing_limits import WINDOW_MS, PacedAction, PacingLimits, max_events_per_window
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOWS_PER_SECOND = 1000.0 / WINDOW_MS
INITIAL_RAMP_LEVEL = 0.25
"""Part of the limit that a recovery begins with."""
MIN_RAMP_LEVEL = 1.0 / 16.0
"""Part of the limit that failures bring it down to."""
ROUND_MS = 250.0
"""Time after which successes double the rate, and failures halve it."""
MIN_RATE_FRACTION = 0.1
"""Part of the default rate that is allowed however low the baseline is."""
GROWTH_FACTOR = 1.5
GROWTH_INTERVAL_MS = 2000.0
MAX_TOKEN_DEBT = 3.0
"""Tokens that a router may owe for loads that it did not expect."""
MAX_SOLO_FACTOR = 4.0
"""Times its own part that a router may take that recovers alone: the others take less than theirs then."""


class Pacer:
    """The token buckets of one router, their limits and their ramps."""

    def __init__(self, router_index: int, now_ms: float, limits: PacingLimits, router_count: int) -> None:
        self.phase_offset = (router_index + 0.5) / max(1, router_count)
        """This router's place among all, from 0 to 1."""
        self.limits = limits
        self.router_count = max(1, router_count)
        self.worker_count = 1
        self.baseline = ActionBaseline()
        self.deferred_counts = dict.fromkeys(PacedAction, 0)
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """A recovery begins: every rate at the start of its ramp, each bucket between two tokens."""
        self.is_mass_restart = True  # until it is known better
        self.baseline.leave_service()
        self.load_probability = LoadProbability()
        self.connection_turns = ConnectionTurns(self.phase_offset, now_ms)
        self.buckets = {action: self._new_bucket(now_ms, action) for action in PacedAction}
        self.ramp_levels = dict.fromkeys(PacedAction, INITIAL_RAMP_LEVEL)
        self.ramp_levels[PacedAction.LOAD] = 1.0  # the load probability is its ramp
        self._last_growth_ms = now_ms
        self._begin_round(now_ms)

    def _begin_round(self, now_ms: float) -> None:
        self._round_ends_at_ms = now_ms + ROUND_MS
        self._success_counts = dict.fromkeys(PacedAction, 0)
        self._failure_counts = dict.fromkeys(PacedAction, 0)

    def _new_bucket(self, now_ms: float, action: PacedAction) -> TokenBucket:
        tokens = (self.phase_offset + action * GOLDEN_RATIO_CONJUGATE) % 1.0
        return TokenBucket(rate_per_second=0.0, capacity=1.0, tokens=tokens, updated_at_ms=now_ms)

    def on_freeze_ended(self, now_ms: float) -> None:
        """A freeze ended, at all routers at one moment: the changes that it deferred start at a low rate."""
        self.ramp_levels[PacedAction.RELEASE] = INITIAL_RAMP_LEVEL
        self.buckets[PacedAction.RELEASE] = self._new_bucket(now_ms, PacedAction.RELEASE)

    def enter_service(self, now_ms: float) -> None:
        """The recovery is over: what is done from now on is the baseline."""
        self._last_growth_ms = now_ms
        self.baseline.enter_service(now_ms)

    def update_baseline(self, now_ms: float) -> Mapping[PacedAction, float]:
        """The router's own usual rates per second, as far as they are known."""
        return self.baseline.update(now_ms)

    def _default_rate_per_second(self, action: PacedAction) -> float:
        """This router's part of the limits where no baseline is known."""
        if action is PacedAction.DISCOVERY_QUERY:
            return self.limits.discovery_queries * WINDOWS_PER_SECOND
        if action is PacedAction.PEER_QUERY:
            return self.limits.peer_queries * WINDOWS_PER_SECOND
        if action is PacedAction.CONNECT:
            return self.limits.connections * WINDOWS_PER_SECOND
        return self.limits.loads * WINDOWS_PER_SECOND / self.router_count

    def rate_per_second(self, action: PacedAction) -> float:
        """The rate at which tokens come now."""
        limit = self._default_rate_per_second(action)
        baseline = self.baseline.per_second(action)
        if baseline is not None and action in (PacedAction.LOAD, PacedAction.DISCOVERY_QUERY):
            fleet_events_per_window = baseline * self.router_count / WINDOWS_PER_SECOND
            fleet_limit = max_events_per_window(fleet_events_per_window) * WINDOWS_PER_SECOND
            limit = max(fleet_limit / self.router_count, MIN_RATE_FRACTION * limit)
        factor = 1.0 if self.is_mass_restart else min(MAX_SOLO_FACTOR, float(self.router_count))
        return limit * factor * self.ramp_levels[action]

    def _refilled_bucket(self, now_ms: float, action: PacedAction) -> TokenBucket:
        """An action's bucket with the tokens that came until now, and the rate from now on."""
        bucket, rate_per_second = self.buckets[action], self.rate_per_second(action)
        bucket.refill(now_ms)
        bucket.rate_per_second = rate_per_second
        bucket.capacity = max(1.0, rate_per_second * WINDOW_MS / 1000.0)
        return bucket

    def try_acquire(self, now_ms: float, action: PacedAction) -> bool:
        """Take a token for an action, if there is one; whether it may be done."""
        if self._refilled_bucket(now_ms, action).take(now_ms):
            self.baseline.record(now_ms, action)
            return True
        self.deferred_counts[action] += 1
        return False

    def wait_ms(self, now_ms: float, action: PacedAction) -> float:
        """The time until there is a token, at the present rate."""
        bucket = self._refilled_bucket(now_ms, action)
        if bucket.tokens >= 1.0:
            return 0.0
        return max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_second * 1000.0

    def try_acquire_load(self, now_ms: float) -> float:
        """Take as much of a token as a load is likely; how much that was, 0 where there was too little."""
        tokens_wanted = self.load_probability.read(now_ms)
        if self._refilled_bucket(now_ms, PacedAction.LOAD).take(now_ms, tokens_wanted):
            return tokens_wanted
        self.deferred_counts[PacedAction.LOAD] += 1
        return 0.0

    def settle_load(self, now_ms: float, tokens_taken: float, was_warm: bool) -> None:
        """A call that took so much of a token ended: it costs a whole one if it began a load, else none."""
        bucket = self._refilled_bucket(now_ms, PacedAction.LOAD)
        tokens = bucket.tokens + tokens_taken - (0.0 if was_warm else 1.0)
        bucket.tokens = min(bucket.capacity, max(-MAX_TOKEN_DEBT, tokens))
        self.load_probability.record(now_ms, was_warm)

    def record_call(self, worker_id: int) -> None:
        """A call went, or was to go, to a worker: a sample of what the fleet wants there."""
        self.connection_turns.record_call(worker_id)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Take a token for a connection, if it is this router's turn at the worker; whether it was."""
        demand = FleetDemand(
            self.router_count if self.is_mass_restart else 1,
            self.worker_count,
            self._connections_per_worker_window(),
        )
        if not self.connection_turns.is_due(now_ms, worker_id, demand):
            return False
        if not self.try_acquire(now_ms, PacedAction.CONNECT):
            return False
        self.connection_turns.record_connection(now_ms, worker_id)
        return True

    def _connections_per_worker_window(self) -> float:
        """New connections in a window that one worker bears from the whole fleet."""
        baseline = self.baseline.per_second(PacedAction.CONNECT)
        if baseline is None:
            return self.limits.connections_per_worker
        mean_per_window = baseline * self.router_count / self.worker_count * WINDOW_MS / 1000.0
        return max(self.limits.connections_per_worker, max_events_per_window(mean_per_window))

    def record_unpaced(self, now_ms: float, action: PacedAction) -> None:
        """The router did it in service, where nothing is paced: it counts for the baseline."""
        self.baseline.record(now_ms, action)

    def grow_load_rate(self, now_ms: float) -> None:
        """Loads have waited for long: raise their rate, if the limit may be too low.

        It may be where it is a default, and in service also where it is from a baseline.
        """
        may_be_too_low = self.baseline.per_second(PacedAction.LOAD) is None or self.baseline.is_in_service
        if may_be_too_low and now_ms >= self._last_growth_ms + GROWTH_INTERVAL_MS:
            self._refilled_bucket(now_ms, PacedAction.LOAD)  # what came until now came at the old rate
            self.ramp_levels[PacedAction.LOAD] *= GROWTH_FACTOR
            self._last_growth_ms = now_ms

    def record_result(self, action: PacedAction, succeeded: bool) -> None:
        """Something that was begun has ended."""
        counts = self._success_counts if succeeded else self._failure_counts
        counts[action] += 1

    def on_tick(self, now_ms: float) -> None:
        """Some times a second: after each round the rates go up or down by how its actions ended."""
        if now_ms < self._round_ends_at_ms:
            return
        for action in PacedAction:
            self._refilled_bucket(now_ms, action)  # what came until now came at the old rate
            successes, failures = self._success_counts[action], self._failure_counts[action]
            level = self.ramp_levels[action]
            if failures > successes:
                self.ramp_levels[action] = max(MIN_RAMP_LEVEL, level / 2)
            elif successes:
                self.ramp_levels[action] = max(level, min(1.0, level * 2))
        self._begin_round(now_ms)
