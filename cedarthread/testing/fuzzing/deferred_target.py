"""The store of deferred calls under drawn steps, against a model of what it should hold."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallResult, CallSucceeded
from cedarthread.dispatch.deferred import DeferredCall, DeferredCalls, DeferredLimits
from cedarthread.testing.fuzzing.parser_targets import need
from cedarthread.testing.fuzzing.target import Dice, Target

OWNERS = ("a", "b")
BOUNDS = DeferredLimits(
    max_calls=6, max_bytes=4000, retention_s=60.0, retry_retention_s=5.0, reserve_bytes=500
)


@dataclass(slots=True)
class _Known:
    entry: DeferredCall
    owner: str
    key: str | None
    keep: float
    answered: float | None = None
    size: int = 0
    woken: int = 0


class DeferredStore(Target):
    """Adds, settles, collections, removals and time, in any order."""

    name = "deferred"
    modules = ("cedarthread.dispatch.deferred",)
    work = (60_000, 3000)

    def draw(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((12, 50, 120)))

    def check(self, data: bytes) -> None:
        """The model and the store agree after every step."""
        dice, now, known = Dice(data), [0.0], list[_Known]()
        store = DeferredCalls(BOUNDS, lambda: now[0])
        while dice.more():
            self._step(dice, store, now, known)
            store.evict_expired()
            known = [k for k in known if k.answered is None or now[0] - k.answered <= k.keep]
            held = sum(BOUNDS.reserve_bytes if k.answered is None else k.size for k in known)
            need(store.reserved_bytes == held, f"{store.reserved_bytes} bytes counted, {held} held")
            need(
                len(store) == len(known) <= BOUNDS.max_calls, f"{len(store)} calls, {len(known)} by the model"
            )
            need(store.reserved_bytes <= BOUNDS.max_bytes + 3000, "more bytes than the bound and one answer")
            for one in known:
                for owner in OWNERS:
                    found = store.find(owner, one.entry.call_id)
                    need((found is one.entry) == (owner == one.owner), f"{owner} finds a call of {one.owner}")
                need(one.woken <= 1, "woken twice")
        now[0] += 1000.0
        for one in known:
            if one.answered is None:
                store.complete(one.entry, CallFailed())
        now[0] += 1000.0
        store.evict_expired()
        need(
            store.reserved_bytes == 0 and len(store) == 0 and not store._id_by_key,
            "something is left at the end",
        )

    def _step(self, dice: Dice, store: DeferredCalls, now: list[float], known: list[_Known]) -> None:
        owner = dice.pick(OWNERS)
        match dice.byte() % 6:
            case 0 | 1:
                self._add(dice, store, owner, known)
            case 2 if known:
                one = dice.pick(known)
                if one.answered is None:
                    body = b"x" * (dice.wide() % 2500)
                    answers: tuple[CallResult, ...] = (CallSucceeded(body), CallRejected(1.0), CallFailed())
                    answer = dice.pick(answers)
                    one.answered, one.size = now[0], len(body) if isinstance(answer, CallSucceeded) else 0
                    store.complete(one.entry, answer)
                    need(one.entry.result is answer and not one.entry.waiters, "the answer is not there")
            case 3 if known:
                one = dice.pick(known)
                known.remove(one)
                store.remove(one.entry)
                store.remove(one.entry)  # a second time counts for nothing
            case 4:
                now[0] += dice.pick((0.5, 4.0, 30.0, 61.0))
            case _:
                key = f"k{dice.byte() % 3}"
                mine = [k for k in known if k.owner == owner and k.key == key]
                found = store.find_by_key(owner, key)
                need(
                    found is None or (found.owner, found.idempotency_key) == (owner, key),
                    "a key leads to another's call",
                )
                need(found is not None or not mine, "a key is forgotten before its call")

    def _add(self, dice: Dice, store: DeferredCalls, owner: str, known: list[_Known]) -> None:
        key = dice.pick((None, "k0", "k1", "k2"))
        if key is not None and store.find_by_key(owner, key) is not None:
            return  # the front asks first
        keep = dice.pick((BOUNDS.retention_s, BOUNDS.retry_retention_s))
        entry = store.add(owner, key, ("0", "f", b""), keep)
        room = (
            len(known) < BOUNDS.max_calls
            and store.reserved_bytes + BOUNDS.reserve_bytes <= BOUNDS.max_bytes + BOUNDS.reserve_bytes
        )
        need(entry is None or room, "taken past the bounds")
        if entry is not None:
            one = _Known(entry, owner, key, keep)
            known.append(one)

            def wake() -> None:
                one.woken += 1

            entry.waiters.append(wake)
