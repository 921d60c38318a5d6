"""The store of deferred calls under drawn steps, against a model of what it should hold."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target

OWNERS = ("a", "b")
LIMITS = DeferredLimits(
    max_calls=6, max_bytes=4000, retention_s=60.0, retry_retention_s=5.0, reserve_bytes=500
)


@dataclass(slots=True)
class _ModelCall:
    entry: DeferredCall
    owner: str
    key: str | None
    retention_s: float
    answered_at_s: float | None = None
    body_bytes: int = 0
    wake_count: int = 0


class DeferredCallsTarget(Target):
    """Adds, settles, collections, removals and time, in any order."""

    name = "deferred"
    modules = ("cedarthread.dispatch.deferred",)
    line_budget = Budget(60_000, 3000)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((12, 50, 120)))

    def check(self, data: bytes) -> None:
        """The model and the store agree after every step."""
        dice, now, known = FuzzedDataProvider(data), [0.0], list[_ModelCall]()
        store = DeferredCalls(LIMITS, lambda: now[0])
        while dice.has_more():
            self._step(dice, store, now, known)
            store.evict_expired()
            known = [k for k in known if k.answered_at_s is None or now[0] - k.answered_at_s <= k.retention_s]
            held = sum(LIMITS.reserve_bytes if k.answered_at_s is None else k.body_bytes for k in known)
            require(store.reserved_bytes == held, f"{store.reserved_bytes} bytes counted, {held} held")
            require(
                len(store) == len(known) <= LIMITS.max_calls, f"{len(store)} calls, {len(known)} by the model"
            )
            require(
                store.reserved_bytes <= LIMITS.max_bytes + 3000, "more bytes than the bound and one answer"
            )
            for one in known:
                for owner in OWNERS:
                    found = store.find(owner, one.entry.call_id)
                    require(
                        (found is one.entry) == (owner == one.owner), f"{owner} finds a call of {one.owner}"
                    )
                require(one.wake_count <= 1, "woken twice")
        now[0] += 1000.0
        for one in known:
            if one.answered_at_s is None:
                store.complete(one.entry, CallFailed())
        now[0] += 1000.0
        store.evict_expired()
        require(
            store.reserved_bytes == 0 and len(store) == 0 and not store._id_by_key,
            "something is left at the end",
        )

    def _step(
        self, dice: FuzzedDataProvider, store: DeferredCalls, now: list[float], known: list[_ModelCall]
    ) -> None:
        owner = dice.pick(OWNERS)
        match dice.consume_byte() % 6:
            case 0 | 1:
                self._add(dice, store, owner, known)
            case 2 if known:
                one = dice.pick(known)
                if one.answered_at_s is None:
                    body = b"x" * (dice.consume_uint16() % 2500)
                    answers: tuple[CallResult, ...] = (CallSucceeded(body), CallRejected(1.0), CallFailed())
                    answer = dice.pick(answers)
                    one.answered_at_s, one.body_bytes = (
                        now[0],
                        len(body) if isinstance(answer, CallSucceeded) else 0,
                    )
                    store.complete(one.entry, answer)
                    require(one.entry.result is answer and not one.entry.waiters, "the answer is not there")
            case 3 if known:
                one = dice.pick(known)
                known.remove(one)
                store.remove(one.entry)
                store.remove(one.entry)  # a second time counts for nothing
            case 4:
                now[0] += dice.pick((0.5, 4.0, 30.0, 61.0))
            case _:
                key = f"k{dice.consume_byte() % 3}"
                mine = [k for k in known if k.owner == owner and k.key == key]
                found = store.find_by_key(owner, key)
                require(
                    found is None or (found.owner, found.idempotency_key) == (owner, key),
                    "a key leads to another's call",
                )
                require(found is not None or not mine, "a key is forgotten before its call")

    def _add(
        self, dice: FuzzedDataProvider, store: DeferredCalls, owner: str, known: list[_ModelCall]
    ) -> None:
        key = dice.pick((None, "k0", "k1", "k2"))
        if key is not None and store.find_by_key(owner, key) is not None:
            return  # the front asks first
        keep = dice.pick((LIMITS.retention_s, LIMITS.retry_retention_s))
        entry = store.add(owner, key, ("0", "f", b""), keep)
        room = (
            len(known) < LIMITS.max_calls
            and store.reserved_bytes + LIMITS.reserve_bytes <= LIMITS.max_bytes + LIMITS.reserve_bytes
        )
        require(entry is None or room, "taken past the bounds")
        if entry is not None:
            one = _ModelCall(entry, owner, key, keep)
            known.append(one)

            def wake() -> None:
                one.wake_count += 1

            entry.waiters.append(wake)
