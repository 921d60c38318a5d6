"""What passes between the forwarders and the planner: calls, attempts, their ends and their answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from cedarthread.model.outcomes import Outcome, StartKind

# Part of a client's limit, and least ms of it, kept for the way here and back and for late turns. Guards
# against answers that miss the limit while the CPU is short: of 121,000 calls 30 ms lost 285, and of 90,000
# a part of 0.06 lost one.
DEADLINE_MARGIN_FRACTION, MIN_DEADLINE_MARGIN_MS = 0.1, 40.0


def call_deadline_ms(now_ms: float, limit_ms: float) -> float:
    """When a call that came just now, with so many ms to go, is given up."""
    return (
        now_ms
        + limit_ms
        - max(DEADLINE_MARGIN_FRACTION * limit_ms, min(MIN_DEADLINE_MARGIN_MS, limit_ms / 2))
    )


def _nothing_to_refresh() -> None:
    """For a front that has nothing to bring up to date."""


class Progress(IntEnum):
    """How far an attempt had come."""

    UNCONNECTED = 0
    UNWRITTEN = 1
    PARTLY_WRITTEN = 2
    WRITTEN = 3
    RESPONSE_STARTED = 4


@dataclass(frozen=True, slots=True)
class CallSucceeded:
    """Final answer: the body that a worker gave."""

    body: bytes


@dataclass(frozen=True, slots=True)
class CallRejected:
    """Final answer: not done, and trying again is harmless."""

    retry_after_ms: float | None  # ms to keep away
    timed_out: bool = False
    reason: str = ""  # in words, where it is not the usual one


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Final answer: failed, nothing promised about the effect."""

    timed_out: bool = False


CallResult = CallSucceeded | CallRejected | CallFailed


@dataclass(eq=False, slots=True)
class Call:
    """One request of a client, as a front hands it in."""

    call_id: str  # the client's id of it, the same at the worker
    class_index: int
    function_id: int
    deadline_ms: float  # Unix ms by which the client must have its answer
    body: bytes
    on_result: Callable[[CallResult], None]
    idempotency_key: str | None = None  # the idempotency key
    concurrency: float | None = None
    memory: float | None = None
    is_client_retry: bool = False
    caller_identity: str | None = None  # its identity, where the front knows it
    refresh_client_state: Callable[[], None] = (
        _nothing_to_refresh  # the front takes in what the client has said or done by now
    )
    request_id: int = 0  # set by the planner, as is all that follows
    class_name: str = ""  # the name of its class when it was taken: what its figures count under
    accepted_at_ms: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    is_complete: bool = False
    is_client_closing: bool = False  # its client writes no more and may have gone: no attempt begins any more
    is_expired: bool = False  # its time is up, and the router has been told


@dataclass(eq=False, slots=True)
class Attempt:
    """One try of a call at one worker."""

    call: Call
    index: int
    worker_id: int
    started_at_ms: float
    progress: Progress = Progress.UNCONNECTED
    write_deadline_ms: float = math.inf  # when its first byte must have left, else it may not run any more
    is_ended: bool = False
    is_not_executed: bool = False  # its worker has said so, or it never left

    def may_have_executed(self) -> bool:
        """What was not wholly written cannot have run, nor what its worker turned away."""
        return self.progress >= Progress.WRITTEN and not self.is_not_executed


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as its forwarder saw it."""

    outcome: Outcome
    body: bytes = b""
    start_kind: StartKind = StartKind.UNKNOWN
    reported_concurrency: int | None = None
    load_report: tuple[float | None, ...] = ()
    is_unreachable: bool = False  # no connection to the worker came up
    is_local: bool = False  # nothing left, for a cause in this process: it says nothing of the worker


def connection_lost_result(attempt: Attempt, *, is_unreachable: bool = False) -> AttemptResult:
    """The end of an attempt whose connection failed: only what came whole to the worker may have run."""
    outcome = Outcome.RESET if attempt.may_have_executed() else Outcome.CONNECT_FAILED
    return AttemptResult(outcome, is_unreachable=is_unreachable)


def not_sent_result() -> AttemptResult:
    """The end of an attempt that was taken back before any of it left, or for which this process had no
    descriptor or port: it says nothing of the worker."""
    return AttemptResult(Outcome.CONNECT_FAILED, is_local=True)


class WorkerTransport(Protocol):
    """The way to the workers, as the planner sees it."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end comes later by ``Planner.ended``."""

    def refresh_progress(self, attempt: Attempt) -> None:
        """Bring the attempt's progress up to date."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """End an attempt of which nothing has left; any other goes on."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up; its end still comes by ``Planner.ended``."""

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Order a load; its end comes by ``Planner.order_ended``."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Have idle copies unloaded."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Close the connections there that carry nothing."""
