"""Calls, attempts and their results, and the interface of the worker transport.

Times are Unix times in ms on the dispatcher's clock unless a name has another unit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from cedarthread.model.outcomes import Outcome, StartKind

if TYPE_CHECKING:
    from collections.abc import Callable

# Fraction of a client's time limit that is reserved so that the result reaches the client within the limit.
# The margin covers network latency in both directions, and late event loop iterations while CPU time is
# scarce.
DEADLINE_MARGIN_FRACTION = 0.1
MIN_DEADLINE_MARGIN_MS = 40.0  # lower bound of the margin, unless half of the time limit is shorter


def call_deadline_ms(now_ms: float, limit_ms: float) -> float:
    """Return the deadline of a call that arrives at ``now_ms`` with a time limit of ``limit_ms``."""
    margin_ms = max(DEADLINE_MARGIN_FRACTION * limit_ms, min(MIN_DEADLINE_MARGIN_MS, limit_ms / 2))
    return now_ms + limit_ms - margin_ms


def _nothing_to_refresh() -> bool:
    """Return True; the default for servers whose view of the client state is always current."""
    return True


def _ignore_removal() -> None:
    """Do nothing; the default for servers that do not track their completed calls."""


class Progress(IntEnum):
    """Progress of the exchange between an attempt and its worker, in ascending order."""

    UNCONNECTED = 0
    UNWRITTEN = 1
    PARTLY_WRITTEN = 2
    WRITTEN = 3
    RESPONSE_STARTED = 4


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """Result of a call that a worker executed, with the response body."""

    body: bytes


@dataclass(frozen=True, slots=True)
class CallRejected:
    """Result of a call that the client may retry safely: it was not executed, or it is idempotent."""

    retry_after_ms: float | None  # delay before the client may retry; None: not specified
    timed_out: bool = False
    reason: str = ""  # explanation for the client; empty: insufficient capacity


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Result of a call that failed and may have been executed."""

    timed_out: bool = False


CallResult = CallSucceeded | CallRejected | CallFailed


@dataclass(eq=False, slots=True)
class Call:
    """Client request: the parameters from the protocol server, and the state in the dispatcher."""

    call_id: str  # assigned by the client and forwarded to the worker
    class_index: int  # index into the classes of the settings in force
    function_id: int
    deadline_ms: float  # latest time at which the result must be sent to the client
    body: bytes
    on_result: Callable[[CallResult], None]  # called exactly once, unless the call is abandoned
    idempotency_key: str | None = None
    concurrency: float | None = None  # calls that one instance of the function executes concurrently
    memory_mb: float | None = None  # memory of one instance of the function
    is_client_retry: bool = False
    caller_identity: str | None = None  # identity of the caller, for example a SPIFFE ID; None: unknown
    # Processes pending input of the client, so that ``is_client_half_closed`` and ``is_complete`` are up to
    # date. Returns False if input is left, which may be an interrupt of the call.
    refresh_client_state: Callable[[], bool] = _nothing_to_refresh
    on_removed: Callable[[], None] = _ignore_removal  # called when the last attempt of the call has ended
    # The following fields are set by the dispatcher.
    request_id: int = 0
    class_name: str = ""  # name of the class at the time of acceptance; the call is counted under this name
    accepted_at_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    is_complete: bool = False
    # Whether the client has closed its sending side, so that no further attempt starts.
    is_client_half_closed: bool = False
    is_expired: bool = False  # the deadline has passed and the attempts were ended as timed out
    # Time at which the client was found to have closed or cancelled.
    client_disconnected_at_ms: float = math.inf


@dataclass(eq=False, slots=True)
class Attempt:
    """Attempt to execute a call on one worker."""

    call: Call
    index: int  # position among the attempts of the call, from 0
    worker_id: int
    started_at_ms: float
    progress: Progress = Progress.UNCONNECTED
    write_deadline_ms: float = math.inf  # time after which the first byte must not be written
    is_ended: bool = False
    is_not_executed: bool = False  # the outcome proves that the worker did not execute the call

    def may_have_executed(self) -> bool:
        """Return whether the worker may have executed the call.

        An attempt that the worker rejected cannot have been executed, nor one that was not written
        completely. While the attempt is in flight, the rest may still be written: before its end is decided
        by this method, ``WorkerTransport.abort_incomplete`` must have made its progress final.
        """
        return self.progress >= Progress.WRITTEN and not self.is_not_executed


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt, as reported by the worker transport."""

    outcome: Outcome
    body: bytes = b""
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = False  # no connection to the worker could be established
    # The attempt was not sent for a cause in this process; says nothing about the worker.
    is_local: bool = False


def connection_lost_result(attempt: Attempt, *, is_unreachable: bool = False) -> AttemptResult:
    """Return the result of an attempt whose connection was lost: RESET if it may have executed the call."""
    outcome = Outcome.RESET if attempt.may_have_executed() else Outcome.CONNECT_FAILED
    return AttemptResult(outcome, is_unreachable=is_unreachable)


def not_sent_result() -> AttemptResult:
    """Return the result of an attempt that was never sent for a cause in this process.

    The attempt was withdrawn, or this process had no free file descriptor or port. The result says nothing
    about the worker.
    """
    return AttemptResult(Outcome.CONNECT_FAILED, is_local=True)


class WorkerTransport(Protocol):
    """The interface through which the dispatcher uses the connections to the workers."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt, and report its end by ``Dispatcher.attempt_ended``."""

    def refresh_progress(self, attempt: Attempt) -> None:
        """Update ``attempt.progress`` from the number of bytes written so far."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """End the attempt if none of its bytes have been sent; otherwise do nothing."""

    def abort_incomplete(self, attempt: Attempt, *, settle_s: float = 0.0) -> None:
        """Ensure that an attempt of which only a part has been written never reaches its worker whole.

        Afterwards ``attempt.progress`` is final. Nothing is done to an attempt that has been written
        completely, or not at all.

        Args:
            attempt: The attempt.
            settle_s: Time in s that the rest may still take to be written.
        """

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; its end is still reported through ``Dispatcher.attempt_ended``."""

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Ask a worker to load instances, and report the end through ``Dispatcher.preload_ended``."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Ask a worker to unload idle instances of a function."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Close the connections to a worker that carry no attempt."""
