"""The counters of calls."""

from __future__ import annotations

from cedarthread.dispatch.calls import CallFailed, CallRejected, CallSucceeded
from cedarthread.dispatch.figures import CLASS_FIGURES, CallFigures
from tests.unit.dispatch.builders import ROUTER_SETTINGS, make_call


def test_results_are_counted_by_kind_and_class() -> None:
    figures = CallFigures(ROUTER_SETTINGS)
    call = make_call(1)
    for _ in range(4):
        figures.count_accepted()
    figures.count_result(call, CallSucceeded(b""))
    figures.count_result(call, CallRejected(None))
    figures.count_result(call, CallFailed())
    figures.count_client_disconnected()
    figures.count_attempt_written(call)
    assert figures.by_result == {"accepted": 4, "served": 1, "rejected": 1, "failed": 1, "abandoned": 1}
    assert figures.by_class[call.class_name] == dict.fromkeys(CLASS_FIGURES, 1)
    others = [counts for name, counts in figures.by_class.items() if name != call.class_name]
    assert others
    assert all(counts == dict.fromkeys(CLASS_FIGURES, 0) for counts in others)
