"""Calls, attempts and their results, and the interface of the worker transport.

Times are Unix ms of the dispatcher's clock unless a name says otherwise.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from cedarthread.model.outcomes import Outcome, StartKind

if TYPE_CHECKING:
    from collections.abc import Callable

# Part of a client's time limit that is kept back, since the result must reach the client inside the limit:
# transmission both ways, and event loop iterations that come late while the CPU is short. Measured under CPU
# shortage: a margin of 30 ms missed the limit of 285 out of 121,000 calls, a fraction of 0.06 that of 1 out
# of 90,000.
DEADLINE_MARGIN_FRACTION = 0.1
MIN_DEADLINE_MARGIN_MS = 40.0  # at least that much, but at most half of the limit


def call_deadline_ms(now_ms: float, limit_ms: float) -> float:
    """The deadline of a call that came now and whose client waits ``limit_ms``."""
    margin_ms = max(DEADLINE_MARGIN_FRACTION * limit_ms, min(MIN_DEADLINE_MARGIN_MS, limit_ms / 2))
    return now_ms + limit_ms - margin_ms


def _nothing_to_refresh() -> None:
    """For a server that always knows the state of its clients."""


class Progress(IntEnum):
    """How far an attempt has come at its worker."""

    UNCONNECTED = 0
    UNWRITTEN = 1
    PARTLY_WRITTEN = 2
    WRITTEN = 3
    RESPONSE_STARTED = 4


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """A worker executed the call; its response body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class CallRejected:
    """The call was not executed, or is idempotent: a retry is harmless."""

    retry_after_ms: float | None  # how long the client should wait before a retry; None: no advice
    timed_out: bool = False
    reason: str = ""  # in words, where it is not lack of capacity


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call failed, and may or may not have been executed."""

    timed_out: bool = False


CallResult = CallSucceeded | CallRejected | CallFailed


@dataclass(eq=False, slots=True)
class Call:
    """One request of a client, as a protocol server submits it."""

    call_id: str  # the client's id of the call, also sent to the worker
    class_index: int  # index into the classes of the settings in force
    function_id: int
    deadline_ms: float  # when the client must have its result
    body: bytes
    on_result: Callable[[CallResult], None]  # called exactly once, unless the call is abandoned
    idempotency_key: str | None = None
    concurrency: float | None = None  # calls that one instance of the function executes at once
    memory_mb: float | None = None  # of one instance
    is_client_retry: bool = False
    caller_identity: str | None = None  # for example a SPIFFE ID, where the server knows it
    # Processes what the client has sent or closed, so that ``is_client_closing`` and ``is_complete`` are
    # up to date.
    refresh_client_state: Callable[[], None] = _nothing_to_refresh
    # What follows is set by the dispatcher.
    request_id: int = 0
    class_name: str = ""  # at the time it was accepted; its figures are counted under this name
    accepted_at_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    is_complete: bool = False
    is_client_closing: bool = False  # the client has closed its writing half: no attempt starts any more
    is_expired: bool = False  # its deadline has passed, and the router knows
    client_gone_at_ms: float = math.inf  # when it was found that the client had closed or cancelled


@dataclass(eq=False, slots=True)
class Attempt:
    """One attempt of a call at one worker."""

    call: Call
    index: int  # of the call's attempts, from 0
    worker_id: int
    started_at_ms: float
    progress: Progress = Progress.UNCONNECTED
    write_deadline_ms: float = math.inf  # its first byte must leave before, else it must not be sent at all
    is_ended: bool = False
    is_not_executed: bool = False  # the outcome proves it: the worker said so, or nothing was sent

    def may_have_executed(self) -> bool:
        """False if it was not written completely, or the worker rejected it: then it cannot have run."""
        return self.progress >= Progress.WRITTEN and not self.is_not_executed


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as the worker transport saw it."""

    outcome: Outcome
    body: bytes = b""
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = False  # no connection to the worker could be established
    is_local: bool = False  # nothing was sent, for a cause in this process that says nothing of the worker


def connection_lost_result(attempt: Attempt, *, is_unreachable: bool = False) -> AttemptResult:
    """The result of an attempt whose connection failed: RESET if it may have been executed."""
    outcome = Outcome.RESET if attempt.may_have_executed() else Outcome.CONNECT_FAILED
    return AttemptResult(outcome, is_unreachable=is_unreachable)


def not_sent_result() -> AttemptResult:
    """The result of an attempt that was withdrawn before any of it was sent, or for which this process had no
    file descriptor or port. It says nothing of the worker.
    """
    return AttemptResult(Outcome.CONNECT_FAILED, is_local=True)


class WorkerTransport(Protocol):
    """The connections to the workers, as the dispatcher uses them."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt; it ends by ``Dispatcher.attempt_ended``."""

    def refresh_progress(self, attempt: Attempt) -> None:
        """Bring ``attempt.progress`` up to date."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """End an attempt if nothing of it has been sent; otherwise do nothing."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; it still ends by ``Dispatcher.attempt_ended``."""

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Ask a worker to load instances; the request ends by ``Dispatcher.preload_ended``."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Ask a worker to unload idle instances of a function."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Close the connections to a worker that carry no attempt."""
