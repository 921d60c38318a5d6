"""What all routers together send a worker that started lately, where none knows of the others' calls."""

from __future__ import annotations

import dataclasses

import pytest

from cedarthread import interface as i
from cedarthread.limits.state import Open, WorkerView
from cedarthread.measures import Peak
from tests.cold_world import CASES, Case, World
from tests.helpers import CLASSES, Drive, sends, settings, worker

DAYS = [
    ("all others leave", 3, True),
    ("all others leave", 20, False),
    ("all others leave later, load 0.9", 30, True),
    ("all others leave later, load 0.9", 200, False),
    ("all others fail, load 0.9", 20, False),
    ("six in ten leave", 30, False),
]


@pytest.mark.parametrize(("name", "routers", "named"), DAYS)
def test_the_sum_over_the_fleet_stays_inside_a_cold_workers_budget(
    name: str, routers: int, named: bool
) -> None:
    """Under N, where N + 2 x root of N + 2 is let pass: what chance adds on another day has room."""
    case = dataclasses.replace(CASES[name], routers=routers, named=named, lasts=4500.0)
    day = World(case).play()
    assert day.total > 0.0, "the safe way does not starve it"
    assert day.worst <= 0.7, day


def test_the_world_counts_each_call_as_the_mean_work_of_its_class() -> None:
    world = World(Case(1))
    world.starts(1, 5000.0)
    runner = world.runners[1]
    runner.count(5000.0, 1.3)
    runner.count(6999.0, 0.7)
    assert runner.weight == pytest.approx(2.0) and runner.used == pytest.approx(2.0)
    runner.count(7000.0, 0.7)
    assert runner.weight == pytest.approx(1.4)  # a window is open at its start


def busy(*, calls: int = 40, took: float = 100.0) -> Drive:
    """A router with some traffic that knows six warm workers and a cold one."""
    d = Drive(*(worker(n) for n in range(1, 7)), worker(7, started=1000.0), gateways=20)
    for number in range(calls):
        d.ask(number, after=20.0)
        d.end(d.ids, sends(d.actions)[-1], after=0.0 if took == 0.0 else took)
    return d


def fits(d: Drive) -> float:
    """The most work, ms, that one more call to the cold worker may be of."""
    view = d.router.workers[7]
    view.ration = 0.999999
    view.sent.clear()
    low, high = 0.0, 20000.0
    while high - low > 0.01:
        half = (low + high) / 2
        low, high = (half, high) if d.router._cold_fits(view, half) else (low, half)
    return low


def test_workers_that_leave_widen_no_cold_workers_budget() -> None:
    """Its capacity is no more for it: six left at once, and all their calls were its share."""
    d = busy()
    before = fits(d)
    assert before > 0.0
    leaving = tuple(worker(n, i.WorkerState.DRAINING) for n in range(1, 7))
    d.feed(i.Membership(i.ListKind.DELTA, 2, leaving))
    assert fits(d) == pytest.approx(before, rel=0.01)
    d.feed(i.Membership(i.ListKind.DELTA, 3, tuple(worker(n, i.WorkerState.GONE) for n in range(1, 7))))
    assert fits(d) == pytest.approx(before, rel=0.01)


def test_what_a_first_guess_made_of_calls_is_no_budget_for_cheaper_ones() -> None:
    """Before its first answer a router took calls for three times their work, and kept to that sum."""
    d = Drive(*(worker(n) for n in range(1, 7)), worker(7, started=1000.0), gateways=20)
    for number in range(20):
        d.ask(number, after=1.0)
    guess = CLASSES[0].aim / 4.0
    unanswered = fits(d) / guess
    d.router.by_class[0].add(guess / 3.0)
    assert fits(d) / (guess / 3.0) == pytest.approx(unanswered, rel=0.01)


def test_where_only_orders_load_a_warm_copy_on_a_cold_worker_takes_no_more_than_its_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The call that was to wait for a load elsewhere went to the copy that stands, whatever came there."""
    d = Drive(worker(1), on_miss=i.OnMiss.MISS, gateways=1)
    d.ask(function=7)
    d.feed(i.OrderEnded(1, 7, i.Outcome.OK, 1, 100.0), after=100.0)
    d.feed(i.Membership(i.ListKind.DELTA, 2, (worker(2, started=d.now),)))
    function, send, fitted = d.router.functions[7], d.router._send, list[bool]()
    function.forget(1)  # what stood at the warm worker has been unloaded
    function.warmth[2], function.sent_at[2] = 1.0, d.now

    def seen(job: Open, view: WorkerView) -> None:
        if view.entry.worker == 2:
            fitted.append(d.router._cold_fits(view, d.router._work(job.request.klass)))
        send(job, view)

    monkeypatch.setattr(d.router, "_send", seen)
    for _ in range(60):
        d.ask(function=7, after=30.0)
    assert fitted and all(fitted), f"{fitted.count(False)} of {len(fitted)} sends beyond the budget"


def test_a_site_without_a_warm_up_is_served() -> None:
    rules = dataclasses.replace(settings().rules, cold_time=0.0)
    d = Drive(worker(1, started=1000.0), rules=rules)
    d.feed(i.Membership(i.ListKind.DELTA, 2, (worker(1, i.WorkerState.DRAINING),)), after=100.0)
    d.feed(i.Membership(i.ListKind.DELTA, 3, (worker(1),)), after=100.0)
    assert sends(d.ask()) == [1]


def test_a_peak_holds_while_its_quantity_does_and_fades_once_it_has_fallen() -> None:
    peak = Peak(1000.0)
    peak.went(0.0, 6.0, 0.0)
    peak.went(50000.0, 6.0, 0.0)
    assert peak.read(50000.0) == 6.0
    peak.went(51000.0, 1.0, 0.0)
    assert peak.read(51000.0) == pytest.approx(6.0 / 2.718281828)
    peak.went(60000.0, 1.0, 0.0)
    assert peak.read(60000.0) == 1.0


def test_what_never_left_takes_no_part_of_a_cold_workers_budget() -> None:
    drive = Drive(worker(1, started=900.0), now=1000.0, gateways=1)
    view = drive.router.workers[1]
    view.ration = 0.0
    assert sends(drive.ask()) == [1] and len(view.sent) == 1
    ended = i.AttemptEnded(1, 0, 1, i.Outcome.MOOT, 0.0, True, unreached=False, local=True)
    drive.feed(ended)
    assert not view.sent
    assert sends(drive.ask()) == [1]  # the place is free for another
