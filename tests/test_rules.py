"""The five rules, on long legal event sequences drawn by hypothesis (derandomized)."""

from __future__ import annotations

import dataclasses
import heapq
import random

import pytest
from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from cedarthread import interface as i
from cedarthread.decide import Router
from tests.helpers import CLASSES, LIMITS, RULES, settings, worker

NOT_RUN = (i.Outcome.FULL, i.Outcome.CONNECT_FAILED, i.Outcome.MOOT, i.Outcome.MISS)
ENDS = (i.Outcome.ERROR, i.Outcome.RESET, i.Outcome.TIMEOUT, *NOT_RUN)
WORKERS = 6


@dataclasses.dataclass
class Tried:
    worker: int
    at: float
    pending: bool = True
    ran: bool = True


class World:
    """Plays a legal world against one router and asserts the rules at every action."""

    def __init__(self, seed: int, **changes: object) -> None:
        self.dice = random.Random(seed)
        self.s = settings(**changes)
        self.router = Router(self.s, seed)
        self.now, self.count = 1000.0, 0
        self.queue: list[tuple[float, int, i.Event]] = []
        self.open: dict[int, tuple[int, float]] = {}
        self.klass: dict[int, int] = {}
        self.tried: dict[int, list[Tried]] = {}
        self.streaming: dict[int, int] = {}  # request to the attempt that streams
        self.told = {n: (i.WorkerState.READY, 0.0) for n in range(WORKERS)}
        self.orders: list[float] = []
        self.taken: list[float] = []
        self.sent: list[tuple[float, int]] = []
        self.answered = 0
        self.feed(i.Membership(i.ListKind.CACHED, 1, tuple(self.entry(n) for n in range(WORKERS))))

    def entry(self, n: int) -> i.Worker:
        return worker(n, self.told[n][0], zone=n % 2, cell=n % 3)

    def named(self, state: i.WorkerState) -> i.Worker:
        n = self.dice.randrange(WORKERS)
        return worker(n, state, zone=n % 2, cell=n % 3)

    def later(self, after: float, event: i.Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + after, self.count, event))

    def run(self, requests: int) -> None:
        at = 0.0
        for number in range(requests):
            at += self.dice.expovariate(1 / 40)
            klass = self.dice.randrange(len(CLASSES))
            give_up = 1000.0 + at + CLASSES[klass].deadline * self.dice.choice((0.01, 0.5, 1.0))
            self.later(at, i.Request(number, self.dice.randrange(5), klass, give_up, lanes=1.0))
            if self.dice.random() < 0.1:
                state = self.dice.choice((i.WorkerState.READY, i.WorkerState.DRAINING, i.WorkerState.GONE))
                kind = self.dice.choice((i.ListKind.DELTA, i.ListKind.FULL))
                self.later(at, i.Membership(kind, number, (self.named(state),)))
        while self.queue:
            due, _, event = heapq.heappop(self.queue)
            self.now = max(self.now, due)
            self.check_late()
            self.deliver(event)
        assert not self.open, "a request was lost"

    def check_late(self) -> None:
        for number, (_, give_up) in self.open.items():
            assert number in self.streaming or self.now <= give_up + self.s.rules.answer_slack

    def deliver(self, event: i.Event) -> None:
        if isinstance(event, i.Request):
            self.taken.append(self.now)
            self.open[event.request] = (event.klass, event.give_up)
            self.klass[event.request], self.tried[event.request] = event.klass, []
        elif isinstance(event, i.AttemptEnded):
            tried = self.tried[event.request][event.attempt]
            if not tried.pending:
                return
            tried.pending, tried.ran = False, event.outcome not in NOT_RUN
            final = event.request not in self.open or event.outcome is i.Outcome.OK
            if event.request in self.streaming:
                final = event.attempt == self.streaming[event.request] or event.request not in self.open
            if final:
                self.answered += event.request in self.open
                self.open.pop(event.request, None)
            event = dataclasses.replace(event, final=final)
        elif isinstance(event, i.StreamBegan):
            tried = self.tried[event.request][event.attempt]
            if not tried.pending or event.request not in self.open:
                return
            self.streaming.setdefault(event.request, event.attempt)
        elif isinstance(event, i.Membership):
            if event.kind is i.ListKind.FULL:
                entry = event.workers[0]
                event = dataclasses.replace(
                    event, workers=tuple(self.entry(n) for n in range(WORKERS) if n != entry.worker)
                )
                self.told[entry.worker] = (i.WorkerState.GONE, self.now)
            else:
                self.told[event.workers[0].worker] = (event.workers[0].state, self.now)
        self.feed(event)

    def feed(self, event: i.Event) -> None:
        for action in self.router.handle(self.now, event):
            self.act(action)

    def act(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            assert action.at > self.now
            if self.open or self.s.discovery is i.Discovery.PUSH:
                self.later(action.at - self.now, i.TimerDue(action.token))
        elif isinstance(action, i.Send):
            self.send(action)
        elif isinstance(action, (i.Refuse, i.Fail)):
            assert action.request in self.open, "answered twice"
            if isinstance(action, i.Refuse):
                self.harmless(action.request)
            del self.open[action.request]
        elif isinstance(action, i.Cancel):
            assert self.streaming.get(action.request) != action.attempt
            tried = self.tried[action.request][action.attempt]
            self.later(
                1.0,
                i.AttemptEnded(action.request, action.attempt, tried.worker, i.Outcome.CANCELLED, 1.0, False),
            )
        elif isinstance(action, i.Order):
            self.order(action)

    def send(self, action: i.Send) -> None:
        assert action.request in self.open, "sent after the final answer"
        assert self.told[action.worker][0] is i.WorkerState.READY, "sent to a drained worker"
        tried, klass = self.tried[action.request], CLASSES[self.klass[action.request]]
        assert action.request not in self.streaming and len(tried) < self.s.limits.attempts
        assert self.s.limits.second_copies or not any(t.pending for t in tried)
        ran = [t for t in tried if t.pending or t.ran]
        if ran and klass.effect is not i.Effect.SAFE:
            assert klass.effect is i.Effect.KEYED and self.now <= ran[0].at + klass.window
            for earlier in ran:
                assert klass.group is not i.Group.ZONE or earlier.worker % 2 == action.worker % 2
                assert klass.group is not i.Group.CELL or earlier.worker % 3 == action.worker % 3
        tried.append(Tried(action.worker, self.now))
        self.sent.append((self.now, action.worker))
        number, give_up = len(tried) - 1, self.open[action.request][1]
        took = self.dice.choice((0.3, 60.0, 150.0, 900.0, 5000.0))
        outcome = i.Outcome.OK if self.dice.random() < 0.6 else self.dice.choice(ENDS)
        note = self.dice.choice(tuple(i.CopyNote))
        if klass.stream and outcome is i.Outcome.OK and self.now + took / 2 < give_up:
            self.later(took / 2, i.StreamBegan(action.request, number, action.worker, took / 2))
        elif self.now + took > give_up:
            took, outcome = max(0.0, give_up - self.now), i.Outcome.TIMEOUT
        self.later(took, i.AttemptEnded(action.request, number, action.worker, outcome, took, False, note, 0))

    def harmless(self, request: int) -> None:
        klass = CLASSES[self.klass[request]]
        if any(t.pending or t.ran for t in self.tried[request]) and klass.effect is not i.Effect.SAFE:
            assert klass.effect is i.Effect.KEYED and klass.group is i.Group.ALL

    def order(self, action: i.Order) -> None:
        rules = self.s.rules
        assert self.told[action.worker][0] is i.WorkerState.READY, "ordered from a drained worker"
        self.orders.append(self.now)
        if rules.load_window:
            since = self.now - rules.load_window
            orders = sum(at > since for at in self.orders)
            assert orders <= rules.load_free + rules.load_share * sum(at > since for at in self.taken)
        outcome = self.dice.choice((i.Outcome.OK, i.Outcome.OK, i.Outcome.FULL, i.Outcome.TIMEOUT))
        copies = int(outcome is i.Outcome.OK)
        self.later(300.0, i.OrderEnded(action.worker, action.function, outcome, copies, 300.0))


@given_settings(max_examples=40, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 2**32), miss=st.booleans(), second=st.booleans(), cap=st.integers(1, 4))
def test_rules_1_2_3_5_hold_on_legal_sequences(seed: int, miss: bool, second: bool, cap: int) -> None:
    world = World(
        seed,
        on_miss=i.OnMiss.MISS if miss else i.OnMiss.LOAD,
        limits=dataclasses.replace(LIMITS, second_copies=second, attempts=cap),
        rules=dataclasses.replace(RULES, load_window=3000.0, load_free=2.0, load_share=0.05),
    )
    world.run(120)
    assert world.answered > 0


@given_settings(max_examples=25, derandomize=True, deadline=None, database=None)
@given(seed=st.integers(0, 2**32), gap=st.floats(2.0, 60.0), gateways=st.integers(1, 6))
def test_rule_4_a_cold_worker_gets_no_more_than_its_part(seed: int, gap: float, gateways: int) -> None:
    """Over any window it gets under the multiple of its part of what a warm one served, or one call."""
    dice, now = random.Random(seed), 100000.0
    router = Router(settings(gateways=gateways), seed)
    entries = [worker(n) for n in range(1, 5)]
    router.handle(now, i.Membership(i.ListKind.CACHED, 1, tuple(entries)))
    pending: list[tuple[float, int, int]] = []
    cold_at, cold, sent, number = now + 8000.0, worker(1, started=now + 8000.0), [], 0
    told = False
    while now < 118000.0:
        now += dice.expovariate(1 / gap)
        for due, request, host in sorted(p for p in pending if p[0] <= now):
            router.handle(due, i.AttemptEnded(request, 0, host, i.Outcome.OK, 40.0, True, i.CopyNote.FOUND))
        pending = [p for p in pending if p[0] > now]
        if not told and now >= cold_at:
            told = True
            router.handle(now, i.Membership(i.ListKind.DELTA, 2, (cold,)))
        number += 1
        for action in router.handle(now, i.Request(number, dice.randrange(9), 0, now + 3000.0)):
            if isinstance(action, i.Send):
                pending.append((now + 40.0, number, action.worker))
                if action.worker == 1 and told:
                    sent.append(now)
    rules, usual = RULES, 40.0 / gap / 4 / 40.0  # calls a ms that a warm worker takes
    for at in sent:
        age = at - cold_at
        if age < rules.cold_time:
            part = rules.cold_from + (1 - rules.cold_from) * age / rules.cold_time
            window = sum(at - rules.fall_time < other <= at for other in sent)
            assert window <= max(1.0, rules.fall_multiple * part * usual * rules.fall_time * 1.3)


@pytest.mark.parametrize("klass", range(len(CLASSES)))
def test_the_same_events_give_the_same_actions(klass: int) -> None:
    def play() -> list[tuple[float, int]]:
        world = World(7 + klass)
        world.run(60)
        return world.sent

    first = play()
    assert first and first == play()


@pytest.mark.parametrize("gateways", [1, 4, 40, 200])
def test_rule_4_holds_for_what_all_gateways_send_together(gateways: int) -> None:
    """Each sees only its part, and one whole request of each would already be too much."""
    dice, now, count = random.Random(gateways), 100000.0, 6
    routers = [Router(settings(gateways=gateways), seed) for seed in range(gateways)]
    listed = tuple(worker(n) for n in range(1, count + 1))
    for router in routers:
        router.handle(now, i.Membership(i.ListKind.CACHED, 1, listed))
    pending: list[tuple[float, int, int, int]] = []
    cold_at, told, sent, number, gap = now + 6000.0, False, [], 0, 3.0
    while now < 118000.0:
        now += dice.expovariate(1 / gap)
        while pending and pending[0][0] <= now:
            due, request, who, host = heapq.heappop(pending)
            done = i.AttemptEnded(request, 0, host, i.Outcome.OK, 40.0, True, i.CopyNote.FOUND)
            routers[who].handle(due, done)
        if not told and now >= cold_at:
            told = True
            for router in routers:
                router.handle(now, i.Membership(i.ListKind.DELTA, 2, (worker(1, started=cold_at),)))
        number, who = number + 1, dice.randrange(gateways)
        for action in routers[who].handle(now, i.Request(number, dice.randrange(30), 0, now + 3000.0)):
            if isinstance(action, i.Send):
                heapq.heappush(pending, (now + 40.0, number, who, action.worker))
                if action.worker == 1 and told:
                    sent.append(now)
    assert sent, "the safe way does not starve it"
    usual = RULES.fall_time / gap / count  # calls in a window that a warm worker takes
    for at in sent:
        if (age := at - cold_at) < RULES.cold_time:
            part = RULES.cold_from + (1 - RULES.cold_from) * age / RULES.cold_time
            window = sum(at - RULES.fall_time < other <= at for other in sent)
            assert window <= RULES.fall_multiple * part * usual


def test_a_fleet_that_is_all_cold_is_not_starved() -> None:
    now = 100000.0
    listed = tuple(worker(n, started=now - 500.0) for n in range(1, 21))
    sent = 0
    for seed in range(50):
        router = Router(settings(gateways=50), seed)
        router.handle(now, i.Membership(i.ListKind.CACHED, 1, listed))
        for number in range(20):
            at = now + 100.0 * number
            actions = router.handle(at, i.Request(number, number % 5, 0, at + 3000.0))
            sent += sum(isinstance(action, i.Send) for action in actions)
    assert sent > 100
