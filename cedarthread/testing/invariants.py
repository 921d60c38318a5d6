"""One book of a run: facts in, breaches of the operators' rules out.

Times are milliseconds on any one clock that never goes back. The facts are those that peers can see: a
client what it asked and was answered, a worker what reached it whole and what it said, the news what it told.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CallGuarantees:
    """What one class of calls promises. ``window`` in ms, from the first attempt that may have run."""

    idempotency: str  # retryable, dedup or fragile
    retry_scope: str = "all"  # of a dedup class: all, zone or cell
    retry_window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """The figures of the rules. Times in ms."""

    max_attempts: int = 4
    allows_hedging: bool = False
    answer_slack_ms: float = 58.0  # after the deadline: the settings' figure and 50 ms for the sockets
    drain_slack_ms: float = 550.0  # after the news, likewise
    client_gone_slack_ms: float = 100.0  # after a client closed its connection or took its request back
    preload_window_ms: float = 0.0  # 0: orders are not rationed
    preload_allowance: float = 0.0
    preload_share: float = 0.0
    preload_tolerance: float = 1.0  # orders more
    preload_tolerance_factor: float = 1.15  # times the ration


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule: which, when (ms), and what was seen."""

    rule: str
    at_ms: float
    detail: str

    def __str__(self) -> str:
        """The breach as a line."""
        return f"{self.rule} at {self.at_ms:.1f} ms: {self.detail}"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its worker saw it."""

    worker_id: int
    started_at_ms: float
    zone: int
    cell: int
    is_in_flight: bool = True
    may_have_executed: bool = True


@dataclass(slots=True)
class _CallRecord:
    guarantees: CallGuarantees
    deadline_ms: float
    attempts: list[AttemptRecord] = field(default_factory=list)
    answer_count: int = 0
    answered_at_ms: float = math.inf
    is_abandoned: bool = False
    client_gone_at_ms: float = math.inf
    produced_bodies: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _WorkerListing:
    state: str  # ready, draining or gone
    since_ms: float
    zone: int
    cell: int


class InvariantChecker:
    """All facts of a run, and the breaches among them."""

    def __init__(self, limits: InvariantLimits) -> None:
        self.limits = limits
        self.violations: list[Violation] = []
        self._calls: dict[str, _CallRecord] = {}
        self._workers: dict[int, _WorkerListing] = {}
        self._submitted_at_ms: deque[float] = deque()
        self._preloaded_at_ms: deque[float] = deque()

    def _report(self, rule: str, at_ms: float, detail: str) -> None:
        self.violations.append(Violation(rule, at_ms, detail))

    # What the news told.

    def on_worker_state(self, at_ms: float, worker_id: int, state: str, zone: int = 0, cell: int = 0) -> None:
        """The process was told of a worker: ready, draining or gone."""
        previous = self._workers.get(worker_id)
        since_ms = previous.since_ms if previous is not None and previous.state == state else at_ms
        self._workers[worker_id] = _WorkerListing(state, since_ms, zone, cell)

    # What clients saw.

    def on_call_submitted(
        self, at_ms: float, call: str, guarantees: CallGuarantees, deadline_ms: float
    ) -> None:
        """A client's whole request went in; its name is its own, its deadline a time."""
        if call in self._calls:
            return self._report("harness", at_ms, f"call {call} was recorded twice")
        self._calls[call] = _CallRecord(guarantees, deadline_ms)
        self._submitted_at_ms.append(at_ms)

    def on_call_abandoned(self, at_ms: float, call: str) -> None:
        """Its client does not wait any more: no answer is owed, one may still cross."""
        if (record := self._calls.get(call)) is not None:
            record.is_abandoned = True

    def on_client_gone(self, at_ms: float, call: str) -> None:
        """Its client has closed the connection, or its own end of it, or has taken the request back."""
        if (record := self._calls.get(call)) is not None:
            record.client_gone_at_ms = min(record.client_gone_at_ms, at_ms)

    def on_answer(self, at_ms: float, call: str, kind: str, body: bytes = b"") -> None:
        """A final answer came out: served, refused or failed."""
        record = self._calls.get(call)
        if record is None:
            return self._report("answers", at_ms, f"an answer to {call}, which nobody asked")
        record.answer_count += 1
        record.answered_at_ms = min(record.answered_at_ms, at_ms)
        if record.answer_count > 1:
            self._report("answers", at_ms, f"call {call} has {record.answer_count} final answers")
        if at_ms > record.deadline_ms + self.limits.answer_slack_ms and not record.is_abandoned:
            self._report("deadline", at_ms, f"call {call} answered {at_ms - record.deadline_ms:.0f} ms late")
        if kind == "served" and body not in record.produced_bodies:
            self._report("served", at_ms, f"call {call} served with what no worker made for it")
        if kind == "refused":
            self._check_rejection(at_ms, call, record)

    def _check_rejection(self, at_ms: float, call: str, record: _CallRecord) -> None:
        may_have_executed = any(t.is_in_flight or t.may_have_executed for t in record.attempts)
        guarantees = record.guarantees
        is_idempotent = guarantees.idempotency == "retryable" or (
            guarantees.idempotency == "dedup" and guarantees.retry_scope == "all"
        )
        if may_have_executed and not is_idempotent:
            self._report(
                "effects", at_ms, f"call {call} ({guarantees.idempotency}) refused though it may have run"
            )

    # What workers saw.

    def on_attempt_started(
        self,
        at_ms: float,
        call: str,
        worker_id: int,
        first_byte_at_ms: float | None = None,
        handed_over_at_ms: float | None = None,
    ) -> AttemptRecord:
        """An attempt came whole to a worker; ``began``: when its first byte left, if that was earlier;
        ``handed``: when it was handed to a socket that took nothing more, from where none comes back."""
        listing = self._workers.get(worker_id)
        attempt = AttemptRecord(
            worker_id, at_ms, listing.zone if listing else -1, listing.cell if listing else -1
        )
        first_byte_at_ms = at_ms if first_byte_at_ms is None else first_byte_at_ms
        self._check_drain(first_byte_at_ms, worker_id, f"attempt of {call}", listing)
        record = self._calls.get(call)
        if record is None:
            self._report("attempts", at_ms, f"an attempt of {call}, which nobody asked")
            return attempt
        handed_over_at_ms = first_byte_at_ms if handed_over_at_ms is None else handed_over_at_ms
        if handed_over_at_ms > record.answered_at_ms or (handed_over_at_ms == at_ms and record.answer_count):
            self._report("attempts", at_ms, f"call {call} sent after its final answer")
        if first_byte_at_ms > record.client_gone_at_ms + self.limits.client_gone_slack_ms:
            late_ms = first_byte_at_ms - record.client_gone_at_ms
            self._report(
                "gone", at_ms, f"an attempt of {call} began {late_ms:.0f} ms after its client had gone"
            )
        if not self.limits.allows_hedging and any(t.is_in_flight for t in record.attempts):
            self._report("attempts", at_ms, f"call {call} has two attempts out")
        if len(record.attempts) >= self.limits.max_attempts:
            self._report("attempts", at_ms, f"call {call} sent {len(record.attempts) + 1} times")
        self._check_retry(first_byte_at_ms, call, record, attempt)
        record.attempts.append(attempt)
        return attempt

    def _check_drain(self, at_ms: float, worker_id: int, what: str, listing: _WorkerListing | None) -> None:
        if listing is None:
            self._report("drain", at_ms, f"{what} to worker {worker_id}, which was never listed")
        elif listing.state != "ready" and at_ms > listing.since_ms + self.limits.drain_slack_ms:
            late_ms = at_ms - listing.since_ms
            self._report(
                "drain", at_ms, f"{what} to worker {worker_id}, {late_ms:.0f} ms after it was {listing.state}"
            )

    def _check_retry(self, at_ms: float, call: str, record: _CallRecord, attempt: AttemptRecord) -> None:
        executed = [t for t in record.attempts if t.is_in_flight or t.may_have_executed]
        guarantees = record.guarantees
        if not executed or guarantees.idempotency == "retryable":
            return
        if guarantees.idempotency == "fragile":
            return self._report("effects", at_ms, f"fragile call {call} sent again though it may have run")
        if at_ms > executed[0].started_at_ms + guarantees.retry_window_ms:
            self._report(
                "effects",
                at_ms,
                f"dedup call {call} sent again {at_ms - executed[0].started_at_ms:.0f} ms on",
            )
        for earlier in executed:
            is_outside = (
                earlier.zone != attempt.zone
                if guarantees.retry_scope == "zone"
                else earlier.cell != attempt.cell
            )
            if guarantees.retry_scope != "all" and is_outside:
                self._report("effects", at_ms, f"dedup call {call} left its {guarantees.retry_scope}")
                return

    def on_body_produced(self, call: str, body: bytes) -> None:
        """A worker made this body for the call; it is said before the answer goes out."""
        if (record := self._calls.get(call)) is not None:
            record.produced_bodies.append(body)

    def on_attempt_ended(self, attempt: AttemptRecord, may_have_executed: bool) -> None:
        """An attempt's end went out to the router, or the attempt was given up."""
        if attempt.is_in_flight:
            attempt.is_in_flight, attempt.may_have_executed = False, may_have_executed

    def on_preload(
        self, at_ms: float, worker_id: int, instances: int, first_byte_at_ms: float | None = None
    ) -> None:
        """An order to load came whole to a worker; one for no copies only asks. ``began`` as for ``out``."""
        self._check_drain(
            at_ms if first_byte_at_ms is None else first_byte_at_ms,
            worker_id,
            "an order",
            self._workers.get(worker_id),
        )
        limits = self.limits
        if instances <= 0 or limits.preload_window_ms <= 0:
            return
        self._preloaded_at_ms.append(at_ms)
        for times in (self._preloaded_at_ms, self._submitted_at_ms):
            while times and times[0] <= at_ms - limits.preload_window_ms:
                times.popleft()
        allowed = limits.preload_allowance + limits.preload_share * len(self._submitted_at_ms)
        if (
            len(self._preloaded_at_ms)
            > math.floor(allowed * limits.preload_tolerance_factor + 1e-9) + limits.preload_tolerance
        ):
            self._report(
                "orders",
                at_ms,
                f"{len(self._preloaded_at_ms)} orders to load where {allowed:.1f} are allowed",
            )

    # The end.

    def check_remaining(
        self, at_ms: float, what: str, remaining: float, expected_at_most: float = 0.0
    ) -> None:
        """What is left of something that should be back to at most so much."""
        if remaining > expected_at_most:
            self._report("rest", at_ms, f"{what}: {remaining:g} left, at most {expected_at_most:g} expected")

    def check_all_answered(self, at_ms: float) -> None:
        """The run is over and every deadline past: each call must have its answer."""
        for name, record in self._calls.items():
            if not record.answer_count and not record.is_abandoned:
                self._report("answers", at_ms, f"call {name} got no final answer")
