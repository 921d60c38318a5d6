"""Which loads, connections and queries a router may begin while it recovers; in service all are granted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.recovery.pacing_limits import PacedAction

if TYPE_CHECKING:
    from collections.abc import Hashable

    from cedarthread.recovery.pacing import Pacer

DEFAULT_LOAD_TIME_MS = 1000.0
"""Time that a load is taken to last; nothing reports the real one."""
PENDING_LOAD_TIMEOUT_MS = 4.0 * DEFAULT_LOAD_TIME_MS
"""Time after which a load that did not end no longer holds back another of its function."""
LONG_DEFERRAL_MS = 500.0
"""Once nothing has been deferred for so long, pacing ends."""


class DeferralTracker:
    """How long what is still wanted has been deferred."""

    def __init__(self) -> None:
        self._first_and_last_ms: dict[Hashable, tuple[float, float]] = {}

    def __contains__(self, wanted: Hashable) -> bool:
        return wanted in self._first_and_last_ms

    def record(self, now_ms: float, wanted: Hashable, was_granted: bool) -> None:
        """Something was asked for, and granted or deferred."""
        if was_granted:
            self._first_and_last_ms.pop(wanted, None)
            return
        first_ms, _ = self._first_and_last_ms.get(wanted, (now_ms, now_ms))
        self._first_and_last_ms[wanted] = (first_ms, now_ms)

    def has_long_deferral(self, now_ms: float) -> bool:
        """Whether anything has been deferred for long. What was not asked for again lately is dropped."""
        self._first_and_last_ms = {
            wanted: (first_ms, last_ms)
            for wanted, (first_ms, last_ms) in self._first_and_last_ms.items()
            if now_ms - last_ms <= LONG_DEFERRAL_MS
        }
        return any(now_ms - first_ms > LONG_DEFERRAL_MS for first_ms, _ in self._first_and_last_ms.values())

    def clear(self) -> None:
        """Nothing is wanted any more."""
        self._first_and_last_ms.clear()


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """A call that was sent to a worker not known to be warm."""

    sent_at_ms: float
    tokens_taken: float


class RecoveryAdmission:
    """Grants or defers, by the pacer's tokens, until the recovery is over and nothing waits any more."""

    def __init__(self, pacer: Pacer) -> None:
        self.pacer = pacer
        self.is_paced = True
        self.pending_loads: dict[int, PendingLoad] = {}
        """By function; one at a time, since its instance will serve all calls that wait."""
        self.deferrals = DeferralTracker()

    def restart(self, now_ms: float) -> None:
        """A recovery begins after a pause."""
        self.pacer.restart(now_ms)
        self.pending_loads.clear()
        self.deferrals.clear()
        self.is_paced = True

    def on_tick(self, now_ms: float, is_in_service: bool) -> None:
        """After the state machine: raise the load rate while something waits, else end the pacing."""
        if self.is_paced and self.deferrals.has_long_deferral(now_ms):
            self.pacer.grow_load_rate(now_ms)
        elif is_in_service:
            self.is_paced = False

    def try_acquire_load(self, now_ms: float, function_id: int, awaits_peers: bool) -> bool:
        """Whether a load of a function may be begun now; a yes takes its tokens.

        ``awaits_peers``: peers are about to say where it is warm, which takes less time than a load.
        """
        if not self.is_paced:
            return True
        pending = self.pending_loads.get(function_id)
        if pending is not None and now_ms - pending.sent_at_ms < PENDING_LOAD_TIMEOUT_MS:
            return False
        tokens_taken = 0.0 if awaits_peers else self.pacer.try_acquire_load(now_ms)
        was_granted = tokens_taken > 0
        self.deferrals.record(now_ms, (PacedAction.LOAD, function_id), was_granted)
        if was_granted:
            self.pending_loads[function_id] = PendingLoad(now_ms, tokens_taken)
        return was_granted

    def settle_load(self, now_ms: float, function_id: int, was_warm: bool, succeeded: bool) -> None:
        """A call of a function ended; if it was the one that might begin a load, its tokens are settled."""
        pending = self.pending_loads.pop(function_id, None)
        if pending is not None:
            self.pacer.settle_load(now_ms, pending.tokens_taken, was_warm)
            self.pacer.record_result(PacedAction.LOAD, succeeded)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Whether one more connection to a worker may be begun now; a yes takes its token."""
        if not self.is_paced:
            self.pacer.record_unpaced(now_ms, PacedAction.CONNECT)
            return True
        wanted = (PacedAction.CONNECT, worker_id)
        if wanted not in self.deferrals:
            self.pacer.record_call(worker_id)
        was_granted = self.pacer.try_acquire_connection(now_ms, worker_id)
        self.deferrals.record(now_ms, wanted, was_granted)
        return was_granted

    def try_acquire_discovery_query(self, now_ms: float) -> bool:
        """Whether a discovery query may be sent now; a yes takes its token."""
        if not self.is_paced:
            self.pacer.record_unpaced(now_ms, PacedAction.DISCOVERY_QUERY)
            return True
        return self.pacer.try_acquire(now_ms, PacedAction.DISCOVERY_QUERY)

    def try_acquire_release(self, now_ms: float) -> bool:
        """Whether one change that a freeze had deferred may be carried out now; a yes takes its token."""
        was_granted = self.pacer.try_acquire(now_ms, PacedAction.RELEASE)
        if was_granted:
            self.pacer.record_result(PacedAction.RELEASE, True)
        return was_granted

    def on_connection_result(self, succeeded: bool) -> None:
        """A connection that was begun is up, or has failed."""
        self.pacer.record_result(PacedAction.CONNECT, succeeded)

    def on_discovery_result(self, succeeded: bool) -> None:
        """A discovery query was answered, or has failed."""
        self.pacer.record_result(PacedAction.DISCOVERY_QUERY, succeeded)

    def on_freeze_ended(self, now_ms: float) -> None:
        """A freeze ended: the changes that it deferred are released at a low rate first."""
        self.pacer.on_freeze_ended(now_ms)
