"""Deferred calls: their answers are kept here until their owner has collected them, within firm bounds."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from cedarthread.dispatch.calls import Call, CallResult, CallSucceeded


@dataclass(frozen=True, slots=True)
class DeferredLimits:
    """How much is kept, and for how long."""

    max_calls: int = 2000
    max_bytes: int = 16 * 2**20
    retention_s: float = 120.0  # a deferred call's answer, from when it came
    retry_retention_s: float = 10.0  # a synchronous call's answer, for repeats under its idempotency key
    reserve_bytes: int = 16 * 1024  # bytes set aside for an answer that has not come


@dataclass(eq=False, slots=True)
class DeferredCall:
    """One deferred call and, in time, its answer."""

    call_id: str
    owner: str
    idempotency_key: str | None  # the client's idempotency key
    fingerprint: tuple[str, str, bytes]  # class, function, digest of the body
    call: Call | None = None
    result: CallResult | None = None
    completed_at_s: float = 0.0
    size_bytes: int = 0
    is_collected: bool = False
    retention_s: float = 0.0  # seconds from the answer on
    waiters: list[Callable[[], None]] = field(default_factory=list)


class DeferredCalls:
    """All deferred calls of the process. Answered ones go when their time is up, pending ones never."""

    def __init__(self, limits: DeferredLimits, clock_s: Callable[[], float]) -> None:
        self.limits = limits
        self.clock_s = clock_s  # seconds
        self.reserved_bytes = 0
        self._calls_by_id: dict[str, DeferredCall] = {}
        self._id_by_key: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def add(
        self, owner: str, idempotency_key: str | None, fingerprint: tuple[str, str, bytes], retention_s: float
    ) -> DeferredCall | None:
        """Room for one more call, or None at a bound."""
        self.evict_expired()
        if (
            len(self._calls_by_id) >= self.limits.max_calls
            or self.reserved_bytes + self.limits.reserve_bytes > self.limits.max_bytes
        ):
            return None
        entry = DeferredCall(
            secrets.token_urlsafe(18),
            owner,
            idempotency_key,
            fingerprint,
            size_bytes=self.limits.reserve_bytes,
        )
        entry.retention_s = retention_s
        self.reserved_bytes += entry.size_bytes
        self._calls_by_id[entry.call_id] = entry
        if idempotency_key is not None:
            self._id_by_key[(owner, idempotency_key)] = entry.call_id
        return entry

    def find(self, owner: str, call_id: str) -> DeferredCall | None:
        """The call of that name, for its owner alone."""
        self.evict_expired()
        entry = self._calls_by_id.get(call_id)
        return entry if entry is not None and entry.owner == owner else None

    def find_by_key(self, owner: str, idempotency_key: str) -> DeferredCall | None:
        """The call that this owner gave that idempotency key."""
        self.evict_expired()
        return self._calls_by_id.get(self._id_by_key.get((owner, idempotency_key), ""))

    def complete(self, entry: DeferredCall, result: CallResult) -> None:
        """The answer has come: keep it, and wake who waits for it."""
        entry.result, entry.completed_at_s, entry.call = result, self.clock_s(), None
        size = len(result.body) if isinstance(result, CallSucceeded) else 0
        if entry.call_id in self._calls_by_id:
            self.reserved_bytes += size - entry.size_bytes
            entry.size_bytes = size
        waiting, entry.waiters = entry.waiters, []
        for wake in waiting:
            wake()

    def remove(self, entry: DeferredCall) -> None:
        """Forget a call."""
        if self._calls_by_id.pop(entry.call_id, None) is not None:
            self.reserved_bytes -= entry.size_bytes
            if (
                entry.idempotency_key is not None
                and self._id_by_key.get((entry.owner, entry.idempotency_key)) == entry.call_id
            ):
                del self._id_by_key[(entry.owner, entry.idempotency_key)]

    def evict_expired(self) -> None:
        """Drop answers whose time is up."""
        now = self.clock_s()
        for entry in [e for e in self._calls_by_id.values() if e.result is not None]:
            if now - entry.completed_at_s > entry.retention_s:
                self.remove(entry)

    def has_uncollected(self) -> bool:
        """Is there one that its owner has not fetched the answer of?"""
        return any(not entry.is_collected for entry in self._calls_by_id.values())
