"""The policy that decides when a faulted store is reopened, and which changes of its state are logged.

A state machine without I/O. Times are in milliseconds of a monotonic clock.

    HEALTHY --failure--> FAULTED --attempt due--> REOPENING --opened--> HEALTHY
    REOPENING --failure--> FAULTED, or GIVEN_UP if it is the MAX_ATTEMPTS-th in succession
    GIVEN_UP --pause elapsed--> REOPENING
    HEALTHY --response timeout--> SLOW --write succeeded--> HEALTHY

The backoff doubles with each failed attempt. Each wait is drawn from the upper half of the backoff, so that
routers on one disk do not reopen their stores at the same time.
"""

from __future__ import annotations

import random
from enum import Enum

from cedarthread.logs import format_event
from cedarthread.persistence.store import StoreFault

INITIAL_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 30_000.0
BACKOFF_JITTER = 0.5, 1.0
"""Range of the random factor by which each backoff is multiplied."""
MAX_ATTEMPTS = 8
"""Number of consecutive failed reopenings after which attempts pause for ``GIVEN_UP_PAUSE_MS``."""
GIVEN_UP_PAUSE_MS = 600_000.0
"""Pause in ms after ``MAX_ATTEMPTS`` failed reopenings."""
RNG_SALT = 0x5354_4F52
"""Salt of the seed, so that these random numbers differ from those of other users of the seed."""


class StoreState(Enum):
    """The state of the store."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAULTED = "faulted"
    REOPENING = "reopening"
    GIVEN_UP = "given up for a while"


class ReopenPolicy:
    """The state of one store, its fault, and the time of the next reopening attempt.

    The event methods return the line to log, or None if no line is due.

    Args:
        seed: seed of the jitter between reopening attempts.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed ^ RNG_SALT)
        self.state = StoreState.REOPENING  # state during the first opening
        self.fault: StoreFault | None = None
        self.faulted_since_ms = 0.0
        self.next_attempt_at_ms = 0.0
        self.failed_attempts = 0  # number of consecutive failed attempts

    def take_due_attempt(self, now_ms: float) -> bool:
        """Return whether a reopening attempt is due now, and if so enter REOPENING."""
        if self.state not in (StoreState.FAULTED, StoreState.GIVEN_UP) or now_ms < self.next_attempt_at_ms:
            return False
        self.state = StoreState.REOPENING
        return True

    def on_failure(self, now_ms: float, fault: StoreFault) -> str | None:
        """Handle the failure of a write or an opening: schedule the next attempt."""
        if self.fault is None:
            self.faulted_since_ms = now_ms
        if self.state is StoreState.REOPENING:
            self.failed_attempts += 1
        has_fault_changed = fault is not self.fault
        self.fault = fault
        if self.failed_attempts >= MAX_ATTEMPTS:
            self.state = StoreState.GIVEN_UP
            self.next_attempt_at_ms = now_ms + GIVEN_UP_PAUSE_MS
            self.failed_attempts = 0
            return format_event(
                "store_given_up",
                fault=fault.value,
                failed_attempts=MAX_ATTEMPTS,
                retry_in_s=f"{GIVEN_UP_PAUSE_MS / 1000:.0f}",
            )
        backoff_ms = min(INITIAL_BACKOFF_MS * 2.0**self.failed_attempts, MAX_BACKOFF_MS)
        self.state = StoreState.FAULTED
        self.next_attempt_at_ms = now_ms + backoff_ms * self.rng.uniform(*BACKOFF_JITTER)
        return format_event("store_fault", fault=fault.value) if has_fault_changed else None

    def on_timeout(self, now_ms: float) -> str | None:
        """Handle a response timeout: enter SLOW, unless the store already has a fault.

        In SLOW no reopening is due until the disk has responded to the pending request.
        """
        is_first_opening = self.state is StoreState.REOPENING and self.fault is None
        if self.state is not StoreState.HEALTHY and not is_first_opening:
            return None
        self.state = StoreState.SLOW
        self.faulted_since_ms = now_ms
        self.fault = StoreFault.UNRESPONSIVE
        return format_event("store_fault", fault=self.fault.value)

    def on_opened(self, now_ms: float, fault: StoreFault | None = None) -> str | None:
        """Handle a successful opening.

        Args:
            now_ms: the current time.
            fault: CORRUPTED if some content was rejected, otherwise None.
        """
        line = format_event("store_content_lost", fault=fault.value) if fault else None
        return self._enter_healthy(now_ms, line)

    def on_write_succeeded(self, now_ms: float) -> str | None:
        """Handle an acknowledged write."""
        return self._enter_healthy(now_ms, None)

    def _enter_healthy(self, now_ms: float, line: str | None) -> str | None:
        if line is None and self.fault is not None:
            line = format_event("store_recovered", after_s=f"{(now_ms - self.faulted_since_ms) / 1000:.1f}")
        self.state = StoreState.HEALTHY
        self.fault = None
        self.failed_attempts = 0
        return line
