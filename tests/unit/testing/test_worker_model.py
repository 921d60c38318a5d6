"""The worker model: loads, queues, eviction, rejection and crashes, at times that the test passes."""

from __future__ import annotations

from cedarthread.testing.fakes.worker_model import PackageStore, WorkerCall, WorkerModel


def test_the_worker_model_loads_queues_evicts_and_rejects() -> None:
    store = PackageStore(400.0, 1, 2)
    worker = WorkerModel(0, cores=1, max_instances=1, store=store, concurrency=2)
    first, second, third = (WorkerCall(str(number), 0, number // 2, 0.0, 50.0) for number in range(3))

    assert worker.on_call(0.0, first)
    assert worker.on_call(0.0, second)
    assert not worker.on_call(0.0, third)
    assert third.remark == "spawn_failed", "no memory: the only instance is loading"
    assert [call.call_id for call in worker.advance(1000.0)] == ["0", "1"]
    assert (first.remark, first.started_at_ms, first.ended_at_ms) == ("spawn", 400.0, 450.0)
    assert (second.remark, second.started_at_ms, second.ended_at_ms) == ("pending", 450.0, 500.0)

    other_function = WorkerCall("3", 0, 1, 1000.0, 50.0)
    assert worker.on_call(1000.0, other_function)
    assert other_function.remark == "spawn"
    assert worker.instance_count == 1, "the idle instance was unloaded"

    assert worker.crash(1100.0) == [other_function]
    assert store.loads_in_flight == 0
    assert worker.next_event_at_ms() == float("inf")
