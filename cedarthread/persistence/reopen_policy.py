"""When a store with a fault is opened again, and what the log says of it: one line a change.

A state machine without I/O; times are milliseconds on a steady clock.

    HEALTHY --failure--> FAULTED --due--> REOPENING --failure--> FAULTED ... --the MAX_ATTEMPTS-th--> GIVEN_UP
    REOPENING --opened--> HEALTHY;  GIVEN_UP --due, after its pause--> REOPENING
    HEALTHY <--timeout / write succeeded--> SLOW

The backoff doubles, and each wait is drawn from its upper half: routers on one disk do not come back at once.
"""

from __future__ import annotations

import random
from enum import Enum

from cedarthread.logs import format_event
from cedarthread.persistence.store import StoreFault

INITIAL_BACKOFF_MS = 500.0
MAX_BACKOFF_MS = 30_000.0
BACKOFF_JITTER = 0.5, 1.0
"""Range of the factor by which each backoff is varied."""
MAX_ATTEMPTS = 8
"""Reopenings that fail in a row before the store is given up for a while."""
GIVEN_UP_PAUSE_MS = 600_000.0
"""Time that a store is left alone after that."""
RNG_SALT = 0x5354_4F52
"""Keeps these draws apart from others of the same seed."""


class StoreState(Enum):
    """The state of the store."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAULTED = "faulted"
    REOPENING = "reopening"
    GIVEN_UP = "given up for a while"


class ReopenPolicy:
    """The policy of one store.

    Its event methods return the line to log, or None where nothing changed for whoever reads the log.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed ^ RNG_SALT)
        self.state = StoreState.REOPENING  # the first opening
        self.fault: StoreFault | None = None
        self.faulted_since_ms = 0.0
        self.next_attempt_at_ms = 0.0
        self.failed_attempts = 0  # in a row

    def take_due_attempt(self, now_ms: float) -> bool:
        """Whether the store is to be opened again now; says so once for each attempt."""
        if self.state not in (StoreState.FAULTED, StoreState.GIVEN_UP) or now_ms < self.next_attempt_at_ms:
            return False
        self.state = StoreState.REOPENING
        return True

    def on_failure(self, now_ms: float, fault: StoreFault) -> str | None:
        """A write or an opening ended with a fault."""
        if self.fault is None:
            self.faulted_since_ms = now_ms
        if self.state is StoreState.REOPENING:
            self.failed_attempts += 1
        is_another_fault = fault is not self.fault
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
        return format_event("store_fault", fault=fault.value) if is_another_fault else None

    def on_timeout(self, now_ms: float) -> str | None:
        """The disk has not answered in time; it is asked nothing else until it does."""
        is_first_opening = self.state is StoreState.REOPENING and self.fault is None
        if self.state is not StoreState.HEALTHY and not is_first_opening:
            return None
        self.state = StoreState.SLOW
        self.faulted_since_ms = now_ms
        self.fault = StoreFault.UNRESPONSIVE
        return format_event("store_fault", fault=self.fault.value)

    def on_opened(self, now_ms: float, fault: StoreFault | None = None) -> str | None:
        """An opening succeeded; CORRUPTED where some content was left out."""
        line = format_event("store_content_lost", fault=fault.value) if fault else None
        return self._enter_healthy(now_ms, line)

    def on_write_succeeded(self, now_ms: float) -> str | None:
        """A write was acknowledged."""
        return self._enter_healthy(now_ms, None)

    def _enter_healthy(self, now_ms: float, line: str | None) -> str | None:
        if line is None and self.fault is not None:
            line = format_event("store_recovered", after_s=f"{(now_ms - self.faulted_since_ms) / 1000:.1f}")
        self.state, self.fault, self.failed_attempts = StoreState.HEALTHY, None, 0
        return line
