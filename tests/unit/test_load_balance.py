"""What evenness is, on books small enough to reckon by hand."""

from __future__ import annotations

import pytest

from cedarthread.testing.fakes.worker_model import Runner, Store, Visit
from cedarthread.testing.load_balance import WorkerAvailability, measure

ALWAYS = ((0.0, 10_000.0),)
TWO = {0: WorkerAvailability(1, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}


def visit(runner: int, at: float, began: float, ended: float, function: int = 1, note: str = "hit") -> Visit:
    return Visit(
        f"{at}", runner, function, at, ended - began, at if note == "hit" else began, began, ended, note
    )


def test_peak_to_mean_and_variation_are_of_held_work_a_core() -> None:
    even = measure([visit(0, 0.0, 0.0, 4000.0), visit(1, 0.0, 0.0, 4000.0)], TWO, 0.0, 4000.0, 1)
    assert even.peak_to_mean == 1.0 and even.variation == 0.0
    lop = measure([visit(0, 0.0, 0.0, 4000.0)], TWO, 0.0, 4000.0, 1)
    assert lop.peak_to_mean == 2.0 and lop.variation == 1.0
    cores = {0: WorkerAvailability(3, ALWAYS), 1: WorkerAvailability(1, ALWAYS)}
    three = [visit(0, 0.0, 0.0, 4000.0), visit(0, 1.0, 1.0, 4000.0), visit(0, 2.0, 2.0, 4000.0)]
    assert measure([*three, visit(1, 0.0, 0.0, 4000.0)], cores, 0.0, 4000.0, 1).peak_to_mean < 1.01


def test_a_worker_counts_as_idle_only_while_a_call_waits_elsewhere_and_it_is_ready() -> None:
    waits = [visit(0, 0.0, 0.0, 3000.0), visit(0, 500.0, 3000.0, 4000.0)]
    assert measure(waits, TWO, 0.0, 4000.0, 1).idle == 2500.0
    busy = [*waits, visit(1, 0.0, 0.0, 2800.0)]
    assert measure(busy, TWO, 0.0, 4000.0, 1).idle == pytest.approx(200.0)
    dead = {0: TWO[0], 1: WorkerAvailability(1, ((0.0, 600.0),))}
    assert measure(waits, dead, 0.0, 4000.0, 1).idle == 100.0
    loads = [visit(0, 0.0, 3000.0, 4000.0, note="spawn")]
    assert measure(loads, TWO, 0.0, 4000.0, 1).idle == 0.0, "it waited for a load, not for a core"


def test_a_herd_is_more_than_three_shares_and_more_than_chance() -> None:
    workers = {n: WorkerAvailability(1, ALWAYS) for n in range(10)}
    fair = [visit(n % 10, 20.0 * n, 20.0 * n, 20.0 * n + 5.0) for n in range(200)]
    assert not measure(fair, workers, 0.0, 4000.0, 1).herds
    rush = [visit(3, 2000.0 + 10.0 * n, 2000.0, 2100.0) for n in range(60)]
    ((at, worker, count, share),) = measure([*fair, *rush], workers, 0.0, 4000.0, 1).herds
    assert worker == 3 and 1500.0 <= at <= 2000.0 and count >= 50 and share < 20.0
    few = [visit(3, 2000.0 + n, 2000.0, 2001.0) for n in range(4)]
    assert not measure(few, workers, 0.0, 4000.0, 1).herds, "four calls where none else came are chance"


def test_loads_beyond_need_are_counted_by_what_ran_at_once() -> None:
    stays = [visit(n, 0.0, 400.0, 500.0, note="spawn") for n in range(2)] + [visit(0, 600.0, 600.0, 700.0)]
    even = measure(stays, TWO, 0.0, 4000.0, 2)
    assert even.beyond == 1 and even.loads == pytest.approx(2000 / 3) and even.calls == 3


def test_the_model_loads_queues_evicts_and_refuses() -> None:
    store = Store(400.0, 1, 2)
    runner = Runner(0, cores=1, slots=1, store=store, lanes=2)
    first, second, third = (Visit(str(n), 0, n // 2, 0.0, 50.0) for n in range(3))
    assert runner.arrive(0.0, first) and runner.arrive(0.0, second)
    assert not runner.arrive(0.0, third) and third.note == "spawn_failed", "no room: the one copy is loading"
    assert [v.name for v in runner.advance(1000.0)] == ["0", "1"]
    assert (first.note, first.began, first.ended) == ("spawn", 400.0, 450.0)
    assert (second.note, second.began, second.ended) == ("pending", 450.0, 500.0)
    again = Visit("3", 0, 1, 1000.0, 50.0)
    assert runner.arrive(1000.0, again) and again.note == "spawn" and runner.total == 1, "the idle copy went"
    assert runner.die(1100.0) == [again] and store.out == 0 and runner.due() == float("inf")
