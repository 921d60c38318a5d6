"""The worker transport of a small model, in which an event of the model ends each attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.dispatch.calls import Attempt, AttemptResult, Progress, connection_lost_result
from cedarthread.model.outcomes import Outcome

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop
    from cedarthread.testing.invariants import AttemptRecord, InvariantChecker


class PendingPreload(NamedTuple):
    """A preload request without an answer."""

    worker_id: int
    function_id: int


class ScriptedTransport:
    """A worker transport in which an attempt arrives immediately and is in flight until an event ends it.

    Args:
        dispatcher: The dispatcher that is notified when an attempt ends.
        checker: The checker that records the attempts and preloads.
        loop: The virtual loop that provides the clock.
    """

    def __init__(self, dispatcher: Dispatcher, checker: InvariantChecker, loop: VirtualLoop) -> None:
        self.dispatcher = dispatcher
        self.checker = checker
        self.now_ms = loop.unix_ms
        self.in_flight: dict[Attempt, AttemptRecord] = {}
        self.cancelled: list[Attempt] = []
        self.preloads: list[PendingPreload] = []  # unanswered preload requests, oldest first
        self.crashed_workers: set[int] = set()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        if attempt.worker_id in self.crashed_workers:
            result = connection_lost_result(attempt, is_unreachable=True)
            self.dispatcher.attempt_ended(attempt, result)
            return
        attempt.progress = Progress.WRITTEN
        self.in_flight[attempt] = self.checker.on_attempt_started(
            self.now_ms(), attempt.call.call_id, attempt.worker_id
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Do nothing because an attempt's progress never changes after ``send``."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """Do nothing because ``send`` sends every attempt immediately."""

    def abort_incomplete(self, attempt: Attempt, *, settle_s: float = 0.0) -> None:
        """Do nothing because ``send`` sends every attempt completely."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        if (record := self.in_flight.pop(attempt, None)) is not None:
            self.checker.on_attempt_ended(record, may_have_executed=True)
            self.cancelled.append(attempt)
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def end(self, attempt: Attempt, outcome: Outcome, body: bytes = b"") -> None:
        """End an attempt with the worker's answer or with the loss of its connection."""
        is_not_executed = outcome in (Outcome.OVERLOADED, Outcome.NOT_LOADED)
        self.checker.on_attempt_ended(self.in_flight.pop(attempt), may_have_executed=not is_not_executed)
        self.dispatcher.attempt_ended(attempt, AttemptResult(outcome, body))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Request a preload."""
        self.checker.on_preload(self.now_ms(), worker_id, instances)
        self.preloads.append(PendingPreload(worker_id, function_id))

    def unload(self, worker_id: int, function_id: int) -> None:
        """Do nothing because the model has no instances."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Do nothing because the model has no connections."""
