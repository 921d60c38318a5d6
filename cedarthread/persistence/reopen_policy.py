"""When a store in trouble is opened anew, and what the log says of it: one line a change.

A state machine without I/O; times are ms on a steady clock.

    HEALTHY --failed--> TROUBLED --due--> RETRY --failed--> TROUBLED ... --the TRIES-th failed--> GIVEN_UP
    RETRY --opened--> HEALTHY;  GIVEN_UP --due, AWHILE later--> RETRY;  HEALTHY <--late / came--> SLOW

Waits double from FIRST to MOST, each drawn from its upper half: routers on one disk don't come at once.
"""

from __future__ import annotations

import random
from enum import Enum

from cedarthread.persistence.store import StoreFault

INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 500.0, 30_000.0  # ms before the first retry, and the longest between two
MAX_ATTEMPTS = 8  # retries that fail before it is given up for a while
GIVEN_UP_PAUSE_MS = 600_000.0  # ms that it is left alone then


class StoreState(Enum):
    """How the store stands."""

    HEALTHY = "healthy"
    SLOW = "slow"
    FAULTED = "troubled"
    REOPENING = "retry"
    GIVEN_UP = "given up for a while"


class ReopenPolicy:
    """One store's. Its methods return the line to log, or None where nothing changed for whoever reads it."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed ^ 0x5354_4F52)
        self.state = StoreState.REOPENING  # the first opening
        self.fault: StoreFault | None = None
        self.faulted_since_ms = self.next_attempt_at_ms = 0.0  # ms: in trouble since then, next try then
        self.failed_attempts = 0  # that failed in a row

    def take_due_attempt(self, now: float) -> bool:
        """Is it to be opened anew now? Says so once."""
        if self.state not in (StoreState.FAULTED, StoreState.GIVEN_UP) or now < self.next_attempt_at_ms:
            return False
        self.state = StoreState.REOPENING
        return True

    def on_failure(self, now: float, fault: StoreFault) -> str | None:
        """A write or an opening ended in trouble."""
        if self.fault is None:
            self.faulted_since_ms = now
        self.failed_attempts += self.state is StoreState.REOPENING
        other, self.fault = fault is not self.fault, fault
        if self.failed_attempts >= MAX_ATTEMPTS:
            self.state, self.next_attempt_at_ms, self.failed_attempts = (
                StoreState.GIVEN_UP,
                now + GIVEN_UP_PAUSE_MS,
                0,
            )
            rest = f"the next in {GIVEN_UP_PAUSE_MS / 1000:.0f} s; serving on without"
            return f"store: {fault.value}: {MAX_ATTEMPTS} tries failed, {rest}"
        wait = min(INITIAL_BACKOFF_MS * 2.0**self.failed_attempts, MAX_BACKOFF_MS) * self.rng.uniform(
            0.5, 1.0
        )
        self.state, self.next_attempt_at_ms = StoreState.FAULTED, now + wait
        return f"store: {fault.value}: nothing is kept; serving on without, trying again" if other else None

    def on_timeout(self, now: float) -> str | None:
        """The disk has not answered within its time; it is not asked anything else until it does."""
        if self.state is not StoreState.HEALTHY and (
            self.state is not StoreState.REOPENING or self.fault is not None
        ):
            return None
        self.state, self.faulted_since_ms, self.fault = StoreState.SLOW, now, StoreFault.UNRESPONSIVE
        return f"store: {StoreFault.UNRESPONSIVE.value}: serving on without, it may still come"

    def on_opened(self, now: float, fault: StoreFault | None = None) -> str | None:
        """An opening ended well; DAMAGED where something was left out."""
        return self._enter_healthy(now, f"store: {fault.value}; the rest is kept" if fault else None)

    def on_write_succeeded(self, now: float) -> str | None:
        """A write ended well."""
        return self._enter_healthy(now, None)

    def _enter_healthy(self, now: float, line: str | None) -> str | None:
        if line is None and self.fault is not None:
            line = f"store: writes again after {(now - self.faulted_since_ms) / 1000:.1f} s"
        self.state, self.fault, self.failed_attempts = StoreState.HEALTHY, None, 0
        return line
