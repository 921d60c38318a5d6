"""Deferred calls: their answers are kept here until their owner has collected them, within firm bounds."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from cedarthread.core.calls import Answer, Call, Served


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much is kept, and for how long."""

    calls: int = 2000
    bytes: int = 16 * 2**20
    seconds: float = 120.0  # a deferred call's answer, from when it came
    repeats: float = 10.0  # a synchronous call's answer, for repeats under its idempotency key
    reserve: int = 16 * 1024  # bytes set aside for an answer that has not come


@dataclass(eq=False, slots=True)
class Deferred:
    """One deferred call and, in time, its answer."""

    name: str
    owner: str
    key: str | None  # the client's idempotency key
    request: tuple[str, str, bytes]  # class, function, digest of the body
    call: Call | None = None
    answer: Answer | None = None
    answered_at: float = 0.0
    size: int = 0
    collected: bool = False
    keep: float = 0.0  # seconds from the answer on
    waiting: list[Callable[[], None]] = field(default_factory=list)


class DeferredCalls:
    """All deferred calls of the process. Answered ones go when their time is up, pending ones never."""

    def __init__(self, bounds: Bounds, clock: Callable[[], float]) -> None:
        self.bounds = bounds
        self.clock = clock  # seconds
        self.bytes = 0
        self._calls: dict[str, Deferred] = {}
        self._keys: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(
        self, owner: str, key: str | None, request: tuple[str, str, bytes], keep: float
    ) -> Deferred | None:
        """Room for one more call, or None at a bound."""
        self.sweep()
        if len(self._calls) >= self.bounds.calls or self.bytes + self.bounds.reserve > self.bounds.bytes:
            return None
        entry = Deferred(secrets.token_urlsafe(18), owner, key, request, size=self.bounds.reserve)
        entry.keep = keep
        self.bytes += entry.size
        self._calls[entry.name] = entry
        if key is not None:
            self._keys[(owner, key)] = entry.name
        return entry

    def find(self, owner: str, name: str) -> Deferred | None:
        """The call of that name, for its owner alone."""
        self.sweep()
        entry = self._calls.get(name)
        return entry if entry is not None and entry.owner == owner else None

    def known(self, owner: str, key: str) -> Deferred | None:
        """The call that this owner gave that idempotency key."""
        self.sweep()
        return self._calls.get(self._keys.get((owner, key), ""))

    def settle(self, entry: Deferred, answer: Answer) -> None:
        """The answer has come: keep it, and wake who waits for it."""
        entry.answer, entry.answered_at, entry.call = answer, self.clock(), None
        size = len(answer.body) if isinstance(answer, Served) else 0
        if entry.name in self._calls:
            self.bytes += size - entry.size
            entry.size = size
        waiting, entry.waiting = entry.waiting, []
        for wake in waiting:
            wake()

    def remove(self, entry: Deferred) -> None:
        """Forget a call."""
        if self._calls.pop(entry.name, None) is not None:
            self.bytes -= entry.size
            if entry.key is not None and self._keys.get((entry.owner, entry.key)) == entry.name:
                del self._keys[(entry.owner, entry.key)]

    def sweep(self) -> None:
        """Drop answers whose time is up."""
        now = self.clock()
        for entry in [e for e in self._calls.values() if e.answer is not None]:
            if now - entry.answered_at > entry.keep:
                self.remove(entry)

    def uncollected(self) -> bool:
        """Is there one that its owner has not fetched the answer of?"""
        return any(not entry.collected for entry in self._calls.values())
