"""Deferred calls: the retention of results, the limits, and the owners."""

from __future__ import annotations

from typing import NamedTuple

from cedarthread.dispatch.calls import CallRejected, CallSucceeded
from cedarthread.dispatch.deferred import DeferredCalls, DeferredLimits

REQUEST = ("0", "f", b"digest")


class FakeClock:
    """A clock in seconds whose time the test sets."""

    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class StoreOnFakeClock(NamedTuple):
    """A store of deferred calls and its clock."""

    store: DeferredCalls
    clock: FakeClock


def make_store(**limits: int) -> StoreOnFakeClock:
    clock = FakeClock()
    return StoreOnFakeClock(DeferredCalls(DeferredLimits(**limits), clock), clock)


def test_a_result_is_evicted_after_its_retention_time_and_a_pending_call_is_not() -> None:
    store, clock = make_store()
    pending = store.add("a", "k", REQUEST, 120.0)
    completed = store.add("a", None, REQUEST, 120.0)
    assert pending is not None
    assert completed is not None
    store.complete(completed, CallSucceeded(b"x"))
    clock.now_s = 119.0
    assert store.find("a", completed.call_id) is completed
    assert store.find("b", completed.call_id) is None
    clock.now_s = 1000.0
    assert store.find("a", completed.call_id) is None
    assert store.find_by_key("a", "k") is pending
    store.complete(pending, CallRejected(None))
    clock.now_s = 1121.0
    assert store.find_by_key("a", "k") is None
    assert len(store) == 0
    assert store.reserved_bytes == 0


def test_a_call_beyond_the_limit_on_calls_or_bytes_is_not_added() -> None:
    store, _ = make_store(max_calls=2, max_bytes=100, reserve_bytes=40)
    first = store.add("a", None, REQUEST, 1.0)
    other = store.add("a", None, REQUEST, 1.0)
    assert first is not None
    assert other is not None
    assert store.add("a", None, REQUEST, 1.0) is None
    store.remove(first)
    store.complete(other, CallSucceeded(b"x" * 70))
    # The result of 70 bytes and the reserve of 40 bytes exceed the limit of 100 bytes.
    assert store.add("a", None, REQUEST, 1.0) is None
    store.remove(other)
    store.remove(other)
    assert store.reserved_bytes == 0
    assert not store.has_uncollected()


def test_idempotency_keys_belong_to_their_owner() -> None:
    store, _ = make_store()
    entry = store.add("a", "k", REQUEST, 1.0)
    assert store.find_by_key("a", "k") is entry
    assert store.find_by_key("b", "k") is None
