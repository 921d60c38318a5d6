"""Admission control for the loads, connections and discovery queries of a recovering router.

Once the recovery is over and no action is deferred any longer, pacing ends and every action is granted.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.recovery.pacing_limits import PacedAction

if TYPE_CHECKING:
    from cedarthread.recovery.pacing import Pacer

DEFAULT_LOAD_TIME_MS = 1000.0
"""Assumed duration of a load, because workers do not report the actual one."""
PENDING_LOAD_TIMEOUT_MS = 4.0 * DEFAULT_LOAD_TIME_MS
"""Time after which a load that has not ended no longer blocks another load of its function."""
LONG_DEFERRAL_MS = 500.0
"""A deferral that lasts longer is a long deferral. Pacing does not end while there is one."""


PacedRequest = tuple[PacedAction, int]
"""An action and its target: the function id of a load, or the worker id of a connection.

The key under which repeated requests are recognized. It is a plain tuple, because each call of a recovering
router builds one.
"""


@dataclass(slots=True)
class _Deferral:
    """The times of the first and last request of a deferred action."""

    first_ms: float
    last_ms: float


class DeferralTracker:
    """The currently deferred actions, each with the times of its first and last request."""

    def __init__(self) -> None:
        self._deferrals: dict[PacedRequest, _Deferral] = {}

    def __contains__(self, request: PacedRequest) -> bool:
        return request in self._deferrals

    def record(self, now_ms: float, request: PacedRequest, *, was_granted: bool) -> None:
        """Record a request for an action, which was granted or deferred."""
        if was_granted:
            self._deferrals.pop(request, None)
            return
        deferral = self._deferrals.get(request)
        if deferral is None:
            self._deferrals[request] = _Deferral(now_ms, now_ms)
        else:
            deferral.last_ms = now_ms

    def has_long_deferral(self, now_ms: float) -> bool:
        """Return whether any action has been deferred for longer than ``LONG_DEFERRAL_MS``.

        Drops the actions that were not requested again within that time, because they are no longer needed.
        """
        self._deferrals = {
            request: deferral
            for request, deferral in self._deferrals.items()
            if now_ms - deferral.last_ms <= LONG_DEFERRAL_MS
        }
        return any(now_ms - deferral.first_ms > LONG_DEFERRAL_MS for deferral in self._deferrals.values())

    def clear(self) -> None:
        """Forget all deferred actions."""
        self._deferrals.clear()


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """A call in flight to a worker without a known warm instance, which may therefore start a load."""

    sent_at_ms: float
    tokens_taken: float


class RecoveryAdmission:
    """Admission control of one router, which grants or defers actions by the tokens of its ``Pacer``.

    Grants every action while pacing is off. Owns the pacing flag, the pending loads and the deferred actions.
    """

    def __init__(self, pacer: Pacer) -> None:
        self.pacer = pacer
        self.is_paced = True
        self.pending_loads: dict[int, PendingLoad] = {}
        """Loads by function id. One per function, because one new instance can serve all waiting calls."""
        self.deferrals = DeferralTracker()

    def restart(self, now_ms: float) -> None:
        """Turn pacing on for a recovery after a pause of the process."""
        self.pacer.restart(now_ms)
        self.pending_loads.clear()
        self.deferrals.clear()
        self.is_paced = True

    def on_tick(self, now_ms: float, *, is_in_service: bool) -> None:
        """Raise the load rate while there is a long deferral; otherwise end pacing once in service.

        The caller advances the state machine first.
        """
        if self.is_paced and self.deferrals.has_long_deferral(now_ms):
            self.pacer.grow_load_rate(now_ms)
        elif is_in_service:
            self.is_paced = False

    def try_acquire_load(self, now_ms: float, function_id: int, *, awaits_peers: bool) -> bool:
        """Return whether a load of a function may start now; consumes tokens if it returns True.

        Args:
            now_ms: Current time.
            function_id: Function to load.
            awaits_peers: Whether peers may soon report a warm instance, which is faster than a load.
        """
        if not self.is_paced:
            return True
        pending = self.pending_loads.get(function_id)
        if pending is not None and now_ms - pending.sent_at_ms < PENDING_LOAD_TIMEOUT_MS:
            return False
        tokens_taken = 0.0 if awaits_peers else self.pacer.try_acquire_load(now_ms)
        was_granted = tokens_taken > 0
        self.deferrals.record(now_ms, (PacedAction.LOAD, function_id), was_granted=was_granted)
        if was_granted:
            self.pending_loads[function_id] = PendingLoad(now_ms, tokens_taken)
        return was_granted

    def reconcile_load(self, now_ms: float, function_id: int, *, was_warm: bool, succeeded: bool) -> None:
        """Correct the tokens of a function's pending load, if any, when a call of the function ends."""
        pending = self.pending_loads.pop(function_id, None)
        if pending is not None:
            self.pacer.reconcile_load(now_ms, pending.tokens_taken, was_warm=was_warm)
            self.pacer.record_result(PacedAction.LOAD, succeeded=succeeded)

    def try_acquire_connection(self, now_ms: float, worker_id: int) -> bool:
        """Return whether a connection to a worker may start now; consumes a token if it returns True."""
        if not self.is_paced:
            self.pacer.record_unpaced(now_ms, PacedAction.CONNECT)
            return True
        request = (PacedAction.CONNECT, worker_id)
        if request not in self.deferrals:
            self.pacer.record_call(worker_id)
        was_granted = self.pacer.try_acquire_connection(now_ms, worker_id)
        self.deferrals.record(now_ms, request, was_granted=was_granted)
        return was_granted

    def try_acquire_discovery_query(self, now_ms: float) -> bool:
        """Return whether a discovery query may be sent now; consumes a token if it returns True."""
        if not self.is_paced:
            self.pacer.record_unpaced(now_ms, PacedAction.DISCOVERY_QUERY)
            return True
        return self.pacer.try_acquire(now_ms, PacedAction.DISCOVERY_QUERY)

    def try_acquire_release(self, now_ms: float) -> bool:
        """Return whether a change that a change freeze deferred may apply now; consumes a token if so."""
        was_granted = self.pacer.try_acquire(now_ms, PacedAction.RELEASE)
        if was_granted:
            self.pacer.record_result(PacedAction.RELEASE, succeeded=True)
        return was_granted

    def on_connection_result(self, *, succeeded: bool) -> None:
        """Record that a connection was established, or failed."""
        self.pacer.record_result(PacedAction.CONNECT, succeeded=succeeded)

    def on_discovery_result(self, *, succeeded: bool) -> None:
        """Record that a discovery query was answered, or failed."""
        self.pacer.record_result(PacedAction.DISCOVERY_QUERY, succeeded=succeeded)

    def on_freeze_ended(self, now_ms: float) -> None:
        """Reset the rate at which deferred changes are released, because a change freeze ended."""
        self.pacer.on_freeze_ended(now_ms)
