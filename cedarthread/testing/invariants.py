"""Checker of the operators' rules against the recorded facts of a run.

The facts are those that can be observed outside the router: requests and answers of clients, attempts and
answers of workers, and endpoint lists. ``InvariantChecker`` owns all state. Times are ms of one monotonic
clock. Each violation carries the name of its rule:

- answers: each submitted call gets exactly one final answer, unless its client abandoned it.
- deadline: a final answer arrives at most the answer slack after the call's deadline.
- served: the body of a served answer was produced by a worker for this call.
- attempts: an attempt is of a submitted call, and before its final answer; the number of attempts is limited,
  and two are in flight only if hedging is allowed.
- effects: a call that may have been executed is retried or refused only if its class allows it.
- gone: no attempt starts after the client disconnected.
- drain: no request goes to a worker that was never in the endpoint list, or that has been draining or gone
  for longer than the drain slack.
- time limit: a worker's time limit does not exceed the time to the client's deadline.
- orders: the number of preload requests in a window is limited.
- rest: a resource is released at the end, or a quantity is at most the expected one.
- harness: the harness records each call once.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

ROUNDING_MARGIN = (
    1e-9  # added before rounding down, because a product such as 2.0 * 1.15 may be too small by this much
)


class Idempotency(StrEnum):
    """Whether a call may be executed more than once; the values are those of settings files."""

    IDEMPOTENT = "retryable"
    WITH_KEY = "dedup"  # may be executed again, within ``retry_scope`` and ``retry_window_ms``
    NOT_IDEMPOTENT = "fragile"


@dataclass(frozen=True, slots=True)
class CallGuarantees:
    """The rules for retries of one class of calls."""

    idempotency: Idempotency
    retry_scope: str = "all"  # where a call with a key may be retried: all, zone or cell
    retry_window_ms: float = 0.0  # retry time for keyed calls, from the first possibly executed attempt

    @property
    def allows_any_retry(self) -> bool:
        """Whether any worker may execute a call again; then a rejected call may have been executed."""
        if self.idempotency is Idempotency.WITH_KEY:
            return self.retry_scope == "all"
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """The limits that the rules check; the defaults are those of the default settings."""

    max_attempts: int = 4
    allows_hedging: bool = False
    answer_slack_ms: float = (
        58.0  # tolerance after a call's deadline: 8 ms by the default settings, plus 50 ms for the sockets
    )
    drain_slack_ms: float = (
        550.0  # tolerance after a list with the worker draining or absent: 500 ms by the settings, plus 50 ms
    )
    # Time for which attempts are tolerated after a client closed its connection or cancelled its request.
    client_disconnected_slack_ms: float = 100.0
    # A time limit that a worker receives may exceed the time to the client's deadline by this much.
    time_limit_slack_ms: float = 150.0
    preload_window_ms: float = 0.0  # length of the window of the preload limit; 0: preloads are not limited
    preload_allowance: float = 0.0  # preload requests allowed in each window
    preload_share: float = 0.0  # preload requests allowed in addition for each call submitted in the window
    preload_tolerance: float = 1.0  # preload requests tolerated in each window beyond the limit
    preload_tolerance_factor: float = 1.15  # factor on the limit before ``preload_tolerance`` is added


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: str
    at_ms: float
    detail: str

    def __str__(self) -> str:
        """Return the violation as one line of text."""
        return f"{self.rule} at {self.at_ms:.1f} ms: {self.detail}"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its worker observed it."""

    worker_id: int
    started_at_ms: float
    zone: int
    cell: int
    is_in_flight: bool = True
    may_have_executed: bool = True

    def may_have_effect(self) -> bool:
        """Return whether the worker executes the attempt or may have executed it."""
        return self.is_in_flight or self.may_have_executed

    def is_outside(self, scope: str, other: AttemptRecord) -> bool:
        """Return whether the other attempt is in another zone (scope "zone") or cell (scope "cell")."""
        if scope == "zone":
            return self.zone != other.zone
        return scope == "cell" and self.cell != other.cell


@dataclass(slots=True)
class _CallRecord:
    """One call of a client, with its attempts and answers so far."""

    guarantees: CallGuarantees
    deadline_ms: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    answer_count: int = 0
    answered_at_ms: float = math.inf
    is_abandoned: bool = False
    client_disconnected_at_ms: float = math.inf
    produced_bodies: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _WorkerListing:
    """The state of one worker in one router's endpoint list."""

    state: str  # ready, draining or gone
    since_ms: float  # time from which the worker is ready, or from which it is draining or gone
    zone: int
    cell: int


class InvariantChecker:
    """The checker of one run; owns the recorded calls, attempts and endpoint lists, and the violations.

    Args:
        limits: the limits that the rules check.
    """

    def __init__(self, limits: InvariantLimits) -> None:
        self.limits = limits
        self.violations: list[Violation] = []
        self._calls: dict[str, _CallRecord] = {}
        self._workers: dict[tuple[int, int], _WorkerListing] = {}  # keys: (router, worker id)
        self._submitted_at_ms: deque[float] = deque()
        self._preloaded_at_ms: deque[float] = deque()

    def _report(self, rule: str, at_ms: float, detail: str) -> None:
        self.violations.append(Violation(rule, at_ms, detail))

    def on_worker_state(
        self, at_ms: float, worker_id: int, state: str, zone: int = 0, cell: int = 0, *, router: int = 0
    ) -> None:
        """Record the state of a worker in the endpoint list that a router received.

        Args:
            at_ms: when the router received the list.
            worker_id: the worker.
            state: ready, draining, or gone for a worker that is not in the list. The drain slack of a worker
                counts from the first list in which the worker was not ready.
            zone: the worker's zone.
            cell: the worker's cell.
            router: the router.
        """
        previous = self._workers.get((router, worker_id))
        is_ready = state == "ready"
        if previous is not None and (previous.state == "ready") == is_ready:
            since_ms = previous.since_ms
        else:
            since_ms = at_ms
        self._workers[router, worker_id] = _WorkerListing(state, since_ms, zone, cell)

    def on_call_submitted(
        self, at_ms: float, call: str, guarantees: CallGuarantees, deadline_ms: float
    ) -> None:
        """Record that a client sent a complete request, with a unique name of the call and its deadline."""
        if call in self._calls:
            self._report("harness", at_ms, f"call {call} was recorded twice")
            return
        self._calls[call] = _CallRecord(guarantees, deadline_ms)
        self._submitted_at_ms.append(at_ms)

    def on_call_abandoned(self, at_ms: float, call: str) -> None:
        """Record that the client stopped waiting: the call may end with an answer or without."""
        if (record := self._calls.get(call)) is not None:
            record.is_abandoned = True

    def on_client_disconnected(self, at_ms: float, call: str) -> None:
        """Record that the client closed or half-closed its connection, or cancelled the request."""
        if (record := self._calls.get(call)) is not None:
            record.client_disconnected_at_ms = min(record.client_disconnected_at_ms, at_ms)

    def on_answer(self, at_ms: float, call: str, result: str, body: bytes = b"") -> None:
        """Record that a client received a final answer: served, refused or failed."""
        record = self._calls.get(call)
        if record is None:
            self._report("answers", at_ms, f"an answer to {call}, which no client submitted")
            return
        record.answer_count += 1
        record.answered_at_ms = min(record.answered_at_ms, at_ms)
        if record.answer_count > 1:
            self._report("answers", at_ms, f"call {call} has {record.answer_count} final answers")
        if at_ms > record.deadline_ms + self.limits.answer_slack_ms and not record.is_abandoned:
            self._report(
                "deadline",
                at_ms,
                f"call {call} answered {at_ms - record.deadline_ms:.0f} ms after its deadline",
            )
        if result == "served" and body not in record.produced_bodies:
            self._report("served", at_ms, f"call {call} served with a body that no worker produced for it")
        if result == "refused":
            self._check_rejection(at_ms, call, record)

    def _check_rejection(self, at_ms: float, call: str, record: _CallRecord) -> None:
        guarantees = record.guarantees
        may_have_effect = any(attempt.may_have_effect() for attempt in record.attempts)
        if may_have_effect and not guarantees.allows_any_retry:
            detail = f"call {call} ({guarantees.idempotency}) refused although it may have been executed"
            self._report("effects", at_ms, detail)

    def on_attempt_started(
        self,
        at_ms: float,
        call: str,
        worker_id: int,
        first_byte_at_ms: float | None = None,
        handed_over_at_ms: float | None = None,
        *,
        router: int = 0,
        time_limit_ms: float = 0.0,
    ) -> AttemptRecord:
        """Record that a worker received a complete attempt.

        Args:
            at_ms: when the worker received the last byte.
            call: the name of the call.
            worker_id: the worker.
            first_byte_at_ms: when the first byte left the router; None for ``at_ms``.
            handed_over_at_ms: when the router wrote the attempt to a socket that the worker did not read, so
                that the router could not withdraw it; None for ``first_byte_at_ms``.
            router: the router that sent the attempt.
            time_limit_ms: the time limit that the worker received with the attempt; 0 if unknown.
        """
        listing = self._workers.get((router, worker_id))
        zone, cell = (listing.zone, listing.cell) if listing else (-1, -1)
        attempt = AttemptRecord(worker_id, at_ms, zone, cell)
        first_byte_at_ms = at_ms if first_byte_at_ms is None else first_byte_at_ms
        handed_over_at_ms = first_byte_at_ms if handed_over_at_ms is None else handed_over_at_ms
        self._check_drain(first_byte_at_ms, worker_id, f"attempt of {call}", listing)
        record = self._calls.get(call)
        if record is None:
            self._report("attempts", at_ms, f"an attempt of {call}, which no client submitted")
            return attempt
        self._check_attempt_is_allowed(at_ms, call, record, first_byte_at_ms, handed_over_at_ms)
        excess_ms = first_byte_at_ms + time_limit_ms - record.deadline_ms
        if time_limit_ms > 0.0 and excess_ms > self.limits.time_limit_slack_ms:
            detail = (
                f"the time limit at the worker of {call} is {excess_ms:.0f} ms beyond the client's deadline"
            )
            self._report("time limit", at_ms, detail)
        self._check_retry(first_byte_at_ms, call, record, attempt)
        record.attempts.append(attempt)
        return attempt

    def _check_drain(
        self, at_ms: float, worker_id: int, message: str, listing: _WorkerListing | None
    ) -> None:
        if listing is None:
            self._report(
                "drain", at_ms, f"{message} to worker {worker_id}, which was never in the endpoint list"
            )
        elif listing.state != "ready" and at_ms > listing.since_ms + self.limits.drain_slack_ms:
            late_ms = at_ms - listing.since_ms
            detail = f"{message} to worker {worker_id}, {late_ms:.0f} ms after it was {listing.state}"
            self._report("drain", at_ms, detail)

    def _check_attempt_is_allowed(
        self, at_ms: float, call: str, record: _CallRecord, first_byte_at_ms: float, handed_over_at_ms: float
    ) -> None:
        # Equal times do not tell the order; an answer that is already recorded came before this attempt.
        is_after_recorded_answer = handed_over_at_ms == at_ms and record.answer_count > 0
        if handed_over_at_ms > record.answered_at_ms or is_after_recorded_answer:
            self._report("attempts", at_ms, f"call {call} sent to a worker after its final answer")
        late_ms = first_byte_at_ms - record.client_disconnected_at_ms
        if first_byte_at_ms > record.client_disconnected_at_ms + self.limits.client_disconnected_slack_ms:
            detail = f"an attempt of {call} started {late_ms:.0f} ms after its client disconnected"
            self._report("gone", at_ms, detail)
        is_in_flight = any(attempt.is_in_flight for attempt in record.attempts)
        if is_in_flight and not self.limits.allows_hedging:
            self._report("attempts", at_ms, f"call {call} has two attempts in flight")
        if len(record.attempts) >= self.limits.max_attempts:
            self._report("attempts", at_ms, f"call {call} sent to workers {len(record.attempts) + 1} times")

    def _check_retry(self, at_ms: float, call: str, record: _CallRecord, attempt: AttemptRecord) -> None:
        executed = [earlier for earlier in record.attempts if earlier.may_have_effect()]
        guarantees = record.guarantees
        if not executed or guarantees.idempotency is Idempotency.IDEMPOTENT:
            return
        if guarantees.idempotency is Idempotency.NOT_IDEMPOTENT:
            self._report("effects", at_ms, f"fragile call {call} retried although it may have been executed")
            return
        age_ms = at_ms - executed[0].started_at_ms
        if at_ms > executed[0].started_at_ms + guarantees.retry_window_ms:
            self._report(
                "effects",
                at_ms,
                f"dedup call {call} retried {age_ms:.0f} ms after an attempt that may have been executed",
            )
        if any(earlier.is_outside(guarantees.retry_scope, attempt) for earlier in executed):
            self._report("effects", at_ms, f"dedup call {call} retried outside its {guarantees.retry_scope}")

    def on_body_produced(self, call: str, body: bytes) -> None:
        """Record a body that a worker produced for a call, before the worker sends it."""
        if (record := self._calls.get(call)) is not None:
            record.produced_bodies.append(body)

    def on_attempt_ended(self, attempt: AttemptRecord, *, may_have_executed: bool) -> None:
        """Record that a worker answered an attempt, or that the router cancelled the attempt."""
        if attempt.is_in_flight:
            attempt.is_in_flight = False
            attempt.may_have_executed = may_have_executed

    def on_preload(
        self,
        at_ms: float,
        worker_id: int,
        instances: int,
        first_byte_at_ms: float | None = None,
        *,
        router: int = 0,
    ) -> None:
        """Record that a worker received a complete preload request.

        Args:
            at_ms: when the worker received the last byte.
            worker_id: the worker.
            instances: the number of instances to load; 0 queries the number of loaded instances.
            first_byte_at_ms: when the first byte left the router; None for ``at_ms``.
            router: the router that sent the request.
        """
        sent_at_ms = at_ms if first_byte_at_ms is None else first_byte_at_ms
        self._check_drain(sent_at_ms, worker_id, "preload request", self._workers.get((router, worker_id)))
        if instances > 0 and self.limits.preload_window_ms > 0:
            self._check_preload_limit(at_ms)

    def _check_preload_limit(self, at_ms: float) -> None:
        limits = self.limits
        self._preloaded_at_ms.append(at_ms)
        for times in (self._preloaded_at_ms, self._submitted_at_ms):
            while times and times[0] <= at_ms - limits.preload_window_ms:
                times.popleft()
        allowed = limits.preload_allowance + limits.preload_share * len(self._submitted_at_ms)
        tolerated = math.floor(allowed * limits.preload_tolerance_factor + ROUNDING_MARGIN)
        count = len(self._preloaded_at_ms)
        if count > tolerated + limits.preload_tolerance:
            self._report("orders", at_ms, f"{count} preload requests, {allowed:.1f} allowed")

    def check_remaining(
        self, at_ms: float, resource: str, remaining: float, expected_at_most: float = 0.0
    ) -> None:
        """Report a resource of which more than expected remains at the end, or a quantity above its limit."""
        if remaining > expected_at_most:
            detail = f"{resource}: {remaining:g}, at most {expected_at_most:g} expected"
            self._report("rest", at_ms, detail)

    def check_all_answered(self, at_ms: float) -> None:
        """Report each call without an answer; call this at the end, after the last deadline."""
        for call, record in self._calls.items():
            if not record.answer_count and not record.is_abandoned:
                self._report("answers", at_ms, f"call {call} got no final answer")
