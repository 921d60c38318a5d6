"""Deferred calls: what is kept for their owners, and for how long."""

from __future__ import annotations

from cedarthread.dispatch.calls import CallRejected, CallSucceeded
from cedarthread.dispatch.deferred import DeferredCalls, DeferredLimits

REQUEST = ("0", "f", b"digest")


class Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def make(**bounds: int) -> tuple[DeferredCalls, Clock]:
    clock = Clock()
    return DeferredCalls(DeferredLimits(**bounds), clock), clock


def test_a_result_is_evicted_after_its_retention_and_a_pending_call_is_not() -> None:
    store, clock = make()
    pending = store.add("a", "k", REQUEST, 120.0)
    done = store.add("a", None, REQUEST, 120.0)
    assert pending is not None
    assert done is not None
    store.complete(done, CallSucceeded(b"x"))
    clock.now_s = 119.0
    assert store.find("a", done.call_id) is done
    assert store.find("b", done.call_id) is None
    clock.now_s = 1000.0
    assert store.find("a", done.call_id) is None
    assert store.find_by_key("a", "k") is pending
    store.complete(pending, CallRejected(None))
    clock.now_s = 1121.0
    assert store.find_by_key("a", "k") is None
    assert len(store) == 0
    assert store.reserved_bytes == 0


def test_number_and_bytes_are_limited() -> None:
    store, _ = make(max_calls=2, max_bytes=100, reserve_bytes=40)
    first, second = store.add("a", None, REQUEST, 1.0), store.add("a", None, REQUEST, 1.0)
    assert first is not None
    assert second is not None
    assert store.add("a", None, REQUEST, 1.0) is None
    store.remove(first)
    store.complete(second, CallSucceeded(b"x" * 70))
    assert store.add("a", None, REQUEST, 1.0) is None  # 70 and 40 bytes are more than 100
    store.remove(second)
    store.remove(second)
    assert store.reserved_bytes == 0
    assert not store.has_uncollected()


def test_idempotency_keys_belong_to_their_owner() -> None:
    store, _ = make()
    entry = store.add("a", "k", REQUEST, 1.0)
    assert store.find_by_key("a", "k") is entry
    assert store.find_by_key("b", "k") is None
