"""Rate limiting of a recovering router's actions: loads, connections, queries and releases of changes.

Each action has a token bucket that refills evenly. A bucket starts with a fraction of a token, which depends
on the router's index, so that routers that start at the same moment do not act at the same moment. As in
TCP's slow start (Jacobson, Congestion avoidance and control, 1988) the rate starts at a fraction of the
limit. Each round doubles, halves or keeps the rate (``ROUND_MS``). Loads start at their limit, because the
load probability (see below) limits them at first.

The limit of loads is an equal share of a fleet-wide limit; releases of deferred changes have the same limit.
The other default limits are per router. If a baseline is known, three limits are derived from it: those of
loads and of discovery queries, both as equal shares of a fleet-wide limit, and that of new connections to one
worker.

A call to a worker without a known warm instance may or may not start a load. Such a call therefore consumes
only a fraction of a token, equal to the estimated probability of a load, and the difference is corrected when
the call ends. The estimate starts at 1, so at first each such call consumes a whole token. If calls
find warm instances, the estimate falls and more such calls fit into the rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.recovery.action_baseline import ActionBaseline
from cedarthread.recovery.connection_turns import GOLDEN_RATIO_CONJUGATE, ConnectionScheduler, FleetDemand
from cedarthread.recovery.load_probability import LoadProbability
from cedarthread.recovery.pacing_limits import WINDOW_MS, PacedAction, PacingLimits, max_events_per_window
from cedarthread.statistics import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Mapping

WINDOWS_PER_SECOND = 1000.0 / WINDOW_MS
INITIAL_RAMP_LEVEL = 0.25
"""Fraction of the limit at which a recovery starts."""
MIN_RAMP_LEVEL = 1.0 / 16.0
"""Minimum fraction of the limit to which failures reduce the rate."""
ROUND_MS = 250.0
"""Duration of a round. More failures than successes halve the rate; otherwise any success doubles it."""
MIN_RATE_FRACTION = 0.1
"""Fraction of the default rate that is allowed even if the baseline is lower."""
GROWTH_FACTOR = 1.5
"""Factor by which the load rate grows while there are long deferrals."""
GROWTH_INTERVAL_MS = 2000.0
"""Minimum time between two increases of the load rate by ``GROWTH_FACTOR``."""
MAX_TOKEN_DEFICIT = 3.0
"""Maximum token deficit of the load bucket, when more calls started loads than the estimate implied."""
MAX_ISOLATED_RESTART_FACTOR = 4.0
"""Maximum factor on all limits outside a mass restart, because the other routers use little of theirs."""


class Pacer:
    """The token buckets of one router, with their limits and ramp levels.

    A ramp level is the current rate as a fraction of the limit; that of loads may exceed 1.

    ``RecoveryComponent`` sets ``limits``, ``router_count``, ``worker_count`` and ``is_mass_restart``;
    ``RecoveryAdmission`` requests the tokens.

    Args:
        router_index: Index of this router in the fleet.
        now_ms: Start of the recovery.
        limits: Limits without a baseline; ``_default_rate_per_second`` applies them.
        router_count: Number of configured routers; ``RecoveryComponent`` later sets the number of live ones.
    """

    def __init__(self, router_index: int, now_ms: float, limits: PacingLimits, router_count: int) -> None:
        self.phase_offset = (router_index + 0.5) / max(1, router_count)
        """Offset of this router in time, as a fraction from 0 to 1 that differs for each router."""
        self.limits = limits
        self.router_count = max(1, router_count)
        self.worker_count = 1
        self.baseline = ActionBaseline()
        self.deferred_counts = dict.fromkeys(PacedAction, 0)
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Start a recovery: reset each ramp to its start and each bucket to a fraction of a token."""
        self.is_mass_restart = True  # assumed until the fleet view shows otherwise
        self.baseline.leave_service()
        self.load_probability = LoadProbability()
        self.connection_scheduler = ConnectionScheduler(self.phase_offset, now_ms)
        self.buckets = {action: self._new_bucket(now_ms, action) for action in PacedAction}
        self.ramp_levels = dict.fromkeys(PacedAction, INITIAL_RAMP_LEVEL)
        # Not ramped, because the load probability already limits loads at first.
        self.ramp_levels[PacedAction.LOAD] = 1.0
        self._last_growth_ms = now_ms
        self._start_round(now_ms)

    def _start_round(self, now_ms: float) -> None:
        self._round_ends_at_ms = now_ms + ROUND_MS
        self._success_counts = dict.fromkeys(PacedAction, 0)
        self._failure_counts = dict.fromkeys(PacedAction, 0)

    def _new_bucket(self, now_ms: float, action: PacedAction) -> TokenBucket:
        tokens = (self.phase_offset + action * GOLDEN_RATIO_CONJUGATE) % 1.0
        return TokenBucket(rate_per_second=0.0, capacity=1.0, tokens=tokens, updated_at_ms=now_ms)

    def on_freeze_ended(self, now_ms: float) -> None:
        """Restart the ramp of releases, because a change freeze ends at all routers at the same moment."""
        self.ramp_levels[PacedAction.RELEASE] = INITIAL_RAMP_LEVEL
        self.buckets[PacedAction.RELEASE] = self._new_bucket(now_ms, PacedAction.RELEASE)

    def enter_service(self, now_ms: float) -> None:
        """Start measuring the baseline, and restart the growth interval, because the recovery is over."""
        self._last_growth_ms = now_ms
        self.baseline.enter_service(now_ms)

    def update_baseline(self, now_ms: float) -> Mapping[PacedAction, float]:
        """Update the baseline; return its rates per second for the actions whose rate is known."""
        return self.baseline.update(now_ms)

    def _default_rate_per_second(self, action: PacedAction) -> float:
        """Return the rate limit of this router without a baseline."""
        if action is PacedAction.DISCOVERY_QUERY:
            return self.limits.discovery_queries * WINDOWS_PER_SECOND
        if action is PacedAction.PEER_QUERY:
            return self.limits.peer_queries * WINDOWS_PER_SECOND
        if action is PacedAction.CONNECT:
            return self.limits.connections * WINDOWS_PER_SECOND
        return self.limits.loads * WINDOWS_PER_SECOND / self.router_count

    def rate_per_second(self, action: PacedAction) -> float:
        """Return the current refill rate of an action's bucket."""
        limit = self._default_rate_per_second(action)
        baseline = self.baseline.per_second(action)
        if baseline is not None and action in (PacedAction.LOAD, PacedAction.DISCOVERY_QUERY):
            fleet_events_per_window = baseline * self.router_count / WINDOWS_PER_SECOND
            fleet_limit = max_events_per_window(fleet_events_per_window) * WINDOWS_PER_SECOND
            limit = max(fleet_limit / self.router_count, MIN_RATE_FRACTION * limit)
        factor = 1.0 if self.is_mass_restart else min(MAX_ISOLATED_RESTART_FACTOR, float(self.router_count))
        return limit * factor * self.ramp_levels[action]

    def _refilled_bucket(self, now_ms: float, action: PacedAction) -> TokenBucket:
        """Refill an action's bucket at its previous rate, set its current rate, and return the bucket."""
        bucket = self.buckets[action]
        rate_per_second = self.rate_per_second(action)
        bucket.refill(now_ms)
        bucket.rate_per_second = rate_per_second
        bucket.capacity = max(1.0, rate_per_second * WINDOW_MS / 1000.0)
        return bucket

    def try_acquire(self, now_ms: float, action: PacedAction) -> bool:
        """Return whether an action may be performed now; consumes a token if it returns True."""
        if self._refilled_bucket(now_ms, action).take(now_ms):
            self.baseline.record(now_ms, action)
            return True
        self.deferred_counts[action] += 1
        return False

    def wait_ms(self, now_ms: float, action: PacedAction) -> float:
        """Return the time until a token is available at the current rate."""
        bucket = self._refilled_bucket(now_ms, action)
        if bucket.tokens >= 1.0:
            return 0.0
        return max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_second * 1000.0

    def try_acquire_load(self, now_ms: float) -> float:
        """Consume a fraction of a token equal to the load probability, if the bucket has that much.

        Returns:
            The consumed fraction; 0 if the call must be deferred.
        """
        tokens_wanted = self.load_probability.read(now_ms)
        if self._refilled_bucket(now_ms, PacedAction.LOAD).take(now_ms, tokens_wanted):
            return tokens_wanted
        self.deferred_counts[PacedAction.LOAD] += 1
        return 0.0

    def reconcile_load(self, now_ms: float, tokens_taken: float, *, was_warm: bool) -> None:
        """Correct the tokens that an ended call consumed: to one token if it started a load, else to none."""
        bucket = self._refilled_bucket(now_ms, PacedAction.LOAD)
        tokens = bucket.tokens + tokens_taken - (0.0 if was_warm else 1.0)
        bucket.tokens = min(bucket.capacity, max(-MAX_TOKEN_DEFICIT, tokens))
        self.load_probability.record(now_ms, was_warm=was_warm)

    def record_call(self, worker_id: int) -> None:
        """Count a call to a worker, as a sample of the fleet's demand for connections to the worker."""
        self.connection_scheduler.record_call(worker_id)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Return whether a connection to a worker may start now; consumes a token if it returns True."""
        demand = FleetDemand(
            self.router_count if self.is_mass_restart else 1,
            self.worker_count,
            self._connections_per_worker_window(),
        )
        if not self.connection_scheduler.is_due(now_ms, worker_id, demand):
            return False
        if not self.try_acquire(now_ms, PacedAction.CONNECT):
            return False
        self.connection_scheduler.record_connection(now_ms, worker_id)
        return True

    def _connections_per_worker_window(self) -> float:
        """Return how many new connections per window one worker can accept from all routers together."""
        baseline = self.baseline.per_second(PacedAction.CONNECT)
        if baseline is None:
            return self.limits.connections_per_worker
        mean_per_window = baseline * self.router_count / self.worker_count * WINDOW_MS / 1000.0
        return max(self.limits.connections_per_worker, max_events_per_window(mean_per_window))

    def record_unpaced(self, now_ms: float, action: PacedAction) -> None:
        """Include an unpaced action in the measurement of the baseline."""
        self.baseline.record(now_ms, action)

    def grow_load_rate(self, now_ms: float) -> None:
        """Raise the load rate after long deferrals, unless the limit is reliable.

        A default limit is never reliable. A limit from a baseline is reliable until the router is in service.
        """
        may_be_too_low = self.baseline.per_second(PacedAction.LOAD) is None or self.baseline.is_in_service
        if may_be_too_low and now_ms >= self._last_growth_ms + GROWTH_INTERVAL_MS:
            self._refilled_bucket(now_ms, PacedAction.LOAD)  # refilled at the rate before the change
            self.ramp_levels[PacedAction.LOAD] *= GROWTH_FACTOR
            self._last_growth_ms = now_ms

    def record_result(self, action: PacedAction, *, succeeded: bool) -> None:
        """Count whether an action that was started succeeded."""
        counts = self._success_counts if succeeded else self._failure_counts
        counts[action] += 1

    def on_tick(self, now_ms: float) -> None:
        """Raise or lower the rates after each round; called several times per second."""
        if now_ms < self._round_ends_at_ms:
            return
        for action in PacedAction:
            self._refilled_bucket(now_ms, action)  # refilled at the rate before the change
            successes = self._success_counts[action]
            failures = self._failure_counts[action]
            level = self.ramp_levels[action]
            if failures > successes:
                self.ramp_levels[action] = max(MIN_RAMP_LEVEL, level / 2)
            elif successes:
                self.ramp_levels[action] = max(level, min(1.0, level * 2))
        self._start_round(now_ms)
