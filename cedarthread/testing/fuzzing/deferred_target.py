"""The fuzz target of the store of deferred calls; each step compares the store with a model."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target

if TYPE_CHECKING:
    import random

OWNERS = ("a", "b")
LIMITS = DeferredLimits(
    max_calls=6, max_bytes=4000, retention_s=60.0, retry_retention_s=5.0, reserve_bytes=500
)
MAX_ANSWER_BYTES = 2500
OVERSHOOT_BYTES = 3000  # bytes allowed beyond the limit, because a result may exceed its reservation
PAST_RETENTION_S = 1000.0


@dataclass(slots=True)
class _ModelCall:
    """A call that the store must contain, with its expected size, expiry and notifications."""

    entry: DeferredCall
    owner: str
    key: str | None
    retention_s: float
    answered_at_s: float | None = None
    body_bytes: int = 0
    notification_count: int = 0

    def notify(self) -> None:
        self.notification_count += 1

    def reserved_bytes(self) -> int:
        return LIMITS.reserve_bytes if self.answered_at_s is None else self.body_bytes

    def is_expired(self, now_s: float) -> bool:
        return self.answered_at_s is not None and now_s - self.answered_at_s > self.retention_s


class _DeferredCallsRun:
    """The store and its model, to which the steps of one input are applied.

    Args:
        choices: The input.
    """

    def __init__(self, choices: FuzzedDataProvider) -> None:
        self.choices = choices
        self.now_s = 0.0
        self.calls: list[_ModelCall] = []
        self.store = DeferredCalls(LIMITS, lambda: self.now_s)

    def step(self) -> None:
        """Apply the step that the input selects, then evict expired calls from the store and the model."""
        choices = self.choices
        owner = choices.pick(OWNERS)
        match choices.consume_byte() % 6:
            case 0 | 1:
                self._add(owner)
            case 2 if self.calls:
                self._complete(choices.pick(self.calls))
            case 3 if self.calls:
                call = choices.pick(self.calls)
                self.calls.remove(call)
                self.store.remove(call.entry)
                self.store.remove(call.entry)  # a repeated removal must have no effect
            case 4:
                self.now_s += choices.pick((0.5, 4.0, 30.0, 61.0))
            case _:
                self._find_by_key(owner, f"k{choices.consume_byte() % 3}")
        self.store.evict_expired()
        self.calls = [call for call in self.calls if not call.is_expired(self.now_s)]

    def _add(self, owner: str) -> None:
        store = self.store
        key = self.choices.pick((None, "k0", "k1", "k2"))
        if key is not None and store.find_by_key(owner, key) is not None:
            return  # like the invoke server, which adds no call under a stored key
        retention_s = self.choices.pick((LIMITS.retention_s, LIMITS.retry_retention_s))
        entry = store.add(owner, key, ("0", "f", b""), retention_s)
        has_bytes = store.reserved_bytes <= LIMITS.max_bytes
        is_within_limits = len(self.calls) < LIMITS.max_calls and has_bytes
        require(entry is None or is_within_limits, "a call was stored beyond the limits")
        if entry is not None:
            call = _ModelCall(entry, owner, key, retention_s)
            self.calls.append(call)
            entry.waiters.append(call.notify)

    def _complete(self, call: _ModelCall) -> None:
        if call.answered_at_s is not None:
            return
        body = b"x" * (self.choices.consume_uint16() % MAX_ANSWER_BYTES)
        results: tuple[CallResult, ...] = (CallSucceeded(body), CallRejected(1.0), CallFailed())
        result = self.choices.pick(results)
        call.answered_at_s = self.now_s
        call.body_bytes = len(body) if isinstance(result, CallSucceeded) else 0
        self.store.complete(call.entry, result)
        require(
            call.entry.result is result and not call.entry.waiters,
            "result not stored, or waiters not removed",
        )

    def _find_by_key(self, owner: str, key: str) -> None:
        stored = self.store.find_by_key(owner, key)
        is_own = stored is None or (stored.owner, stored.idempotency_key) == (owner, key)
        require(is_own, "lookup by key returned the call of another owner or key")
        is_known = any((call.owner, call.key) == (owner, key) for call in self.calls)
        require(stored is not None or not is_known, "lookup by key did not find a stored call")

    def check(self) -> None:
        """Check that the store and the model agree."""
        store = self.store
        calls = self.calls
        reserved = sum(call.reserved_bytes() for call in calls)
        require(
            store.reserved_bytes == reserved, f"{store.reserved_bytes} bytes reserved, {reserved} expected"
        )
        count = len(store)
        require(count == len(calls) <= LIMITS.max_calls, f"{count} calls stored, {len(calls)} in the model")
        is_bounded = store.reserved_bytes <= LIMITS.max_bytes + OVERSHOOT_BYTES
        require(is_bounded, "reserved bytes exceed the limit by more than one result")
        for call in calls:
            for owner in OWNERS:
                is_found = store.find(owner, call.entry.call_id) is call.entry
                require(
                    is_found == (owner == call.owner),
                    f"lookup by owner {owner} is wrong for a call of owner {call.owner}",
                )
            require(call.notification_count <= 1, "a waiter was notified more than once")

    def finish(self) -> None:
        """Complete all calls, let all results expire, and check that the store is empty."""
        self.now_s += PAST_RETENTION_S
        for call in self.calls:
            if call.answered_at_s is None:
                self.store.complete(call.entry, CallFailed())
        self.now_s += PAST_RETENTION_S
        self.store.evict_expired()
        is_empty = self.store.reserved_bytes == 0 and len(self.store) == 0 and not self.store._id_by_key
        require(is_empty, "calls, keys or reserved bytes remain after all results expired")


class DeferredCallsTarget(Target):
    """The store of deferred calls: additions, completions, lookups, removals and expiry in any order."""

    name = "deferred"
    modules = ("cedarthread.dispatch.deferred",)
    line_budget = Budget(60_000, 3000)

    def generate(self, rng: random.Random) -> bytes:
        """Return random bytes, which select the steps."""
        return rng.randbytes(rng.choice((12, 50, 120)))

    def check(self, data: bytes) -> None:
        """Check that the model and the store agree after every step."""
        choices = FuzzedDataProvider(data)
        run = _DeferredCallsRun(choices)
        while choices.has_more():
            run.step()
            run.check()
        run.finish()
