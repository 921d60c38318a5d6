"""The counters of calls."""

from __future__ import annotations

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallSucceeded
from cedarthread.dispatch.figures import CLASS_COUNTERS, CallCounters
from tests.unit.dispatch.builders import ROUTER_SETTINGS, make_call


def test_results_are_counted_by_result_type_and_class() -> None:
    counters = CallCounters(ROUTER_SETTINGS)
    call = make_call(1)
    for _ in range(4):
        counters.count_accepted()
    counters.count_result(call, CallSucceeded(b""))
    counters.count_result(call, CallRejected(None))
    counters.count_result(call, CallFailed())
    counters.count_client_disconnected()
    counters.count_attempt_written(call)
    assert counters.by_result == {"accepted": 4, "served": 1, "rejected": 1, "failed": 1, "abandoned": 1}
    assert counters.by_class[call.class_name] == dict.fromkeys(CLASS_COUNTERS, 1)
    others = [counts for name, counts in counters.by_class.items() if name != call.class_name]
    assert others
    assert all(counts == dict.fromkeys(CLASS_COUNTERS, 0) for counts in others)
