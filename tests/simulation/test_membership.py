"""Membership among many views on one virtual clock, over a network that loses, delays, doubles and cuts."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import pytest

from cedarthread.components.node import RoutingNode
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES
from cedarthread.membership import codec
from cedarthread.membership.codec import MemberStatus, MemberUpdate, MessageKind, SwimMessage
from cedarthread.membership.swim import (
    MAX_INCARNATION_STEP,
    PAUSE_THRESHOLD_MS,
    PROBE_INTERVAL_MS,
    SUSPICION_INTERVALS,
    SwimMembership,
)
from cedarthread.model.actions import LogMessage, SendToPeer, SetTimer, StartAttempt
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from tests.helpers import settings, worker

TURN = 250.0  # ms between turns


class Fleet:
    """Views that turn in their own time; ``stood`` and ``gone`` ones do not, and hear nothing."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng, self.count, self.loss = random.Random(seed), count, loss
        self.views = {n: SwimMembership(n, count, seed * 1000 + n) for n in range(count)}
        self.now, self.bytes, self.longest = 0.0, 0, 0
        self.stood: dict[int, list[tuple[int, bytes]]] = {}  # with what waits in their sockets
        self.gone: set[int] = set()
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.steps: list[tuple[float, int, int, bytes | None]] = []
        for number in range(count):
            heapq.heappush(self.steps, (self.rng.uniform(0, TURN), number, -1, None))

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.steps and self.steps[0][0] <= until:
            self.now, number, sender, data = heapq.heappop(self.steps)
            if data is None:
                heapq.heappush(self.steps, (self.now + TURN, number, -1, None))
            if number in self.gone:
                continue
            if number in self.stood:
                if data is not None:
                    self.stood[number].append((sender, data))
                continue
            view = self.views[number]
            told = view.on_tick(self.now) if data is None else view.on_message(self.now, sender, data)
            self.send(number, [(t.peer_index, t.data) for t in told])
        self.now = until

    def send(self, number: int, told: list[tuple[int | None, bytes]]) -> None:
        for to, data in told:
            assert to is not None
            self.bytes += len(data)
            self.longest = max(self.longest, len(data))
            if self.cut(number, to):
                continue
            for _ in range(self.rng.choice([1, 1, 1, 2])):
                if self.rng.random() >= self.loss:
                    heapq.heappush(self.steps, (self.now + self.rng.uniform(1, 60), to, number, data))

    def resume(self, number: int) -> None:
        waiting = self.stood.pop(number)
        for sender, data in waiting:
            heapq.heappush(self.steps, (self.now, number, sender, data))

    def held(self, number: int, status: MemberStatus) -> list[int]:
        there = [n for n in self.views if n not in self.gone and n != number and n not in self.stood]
        return [n for n in there if self.views[n].member_status(number) is status]


@pytest.mark.parametrize("seed", range(3))
def test_nobody_is_held_dead_by_chance_and_who_dies_is_known_to_all(seed: int) -> None:
    fleet = Fleet(40, seed, loss=0.2)
    fleet.run(20_000.0)
    assert all(view.alive_count() == 40 for view in fleet.views.values())
    fleet.gone.add(7)
    fleet.run(25_000.0)
    assert len(fleet.held(7, MemberStatus.DEAD)) == 39
    assert (
        all(fleet.views[n].alive_count() == 39 for n in range(40) if n != 7)
        and fleet.longest <= MAX_DATAGRAM_BYTES
    )


@pytest.mark.parametrize("seed", range(3))
def test_seven_in_ten_die_at_once_and_the_rest_know_each_other(seed: int) -> None:
    fleet = Fleet(60, seed, loss=0.1)
    fleet.run(5_000.0)
    fleet.gone |= set(range(42))
    fleet.run(40_000.0)
    left = [view for n, view in fleet.views.items() if n not in fleet.gone]
    assert [view.alive_count() for view in left] == [18] * 18


@pytest.mark.parametrize("seed", range(3))
def test_who_stood_still_is_back_after_it_and_holds_nobody_dead(seed: int) -> None:
    fleet = Fleet(30, seed, loss=0.1)
    fleet.run(5_000.0)
    fleet.stood[3] = []
    fleet.run(20_000.0)
    assert len(fleet.held(3, MemberStatus.DEAD)) == 29, "by then they must go on without it"
    fleet.resume(3)
    fleet.run(10_000.0)
    assert len(fleet.held(3, MemberStatus.ALIVE)) == 29
    assert fleet.views[3].alive_count() == 30 and fleet.views[3].incarnation > 0


def test_who_stood_still_holds_nobody_dead_by_the_clock_alone() -> None:
    """All that it suspected would be past its time at its first turn."""
    one = SwimMembership(0, 4, 1)
    one.on_message(
        0.0,
        1,
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(2, 0, MemberStatus.SUSPECT),))),
    )
    one.on_tick(100.0)
    before = one.incarnation
    one.on_tick(100_000.0)
    assert one.member_status(2) is MemberStatus.SUSPECT and one.incarnation == before + 1
    for step in range(1, 20):
        one.on_tick(100_000.0 + step * TURN)
    assert one.member_status(2) is MemberStatus.DEAD


def test_a_router_that_starts_anew_outlives_what_is_said_of_its_old_self() -> None:
    fleet = Fleet(20, 1)
    fleet.run(3_000.0)
    fleet.views[4].incarnation = 5  # it had to take something back before
    fleet.run(3_000.0)
    fleet.gone.add(4)
    fleet.run(20_000.0)
    assert len(fleet.held(4, MemberStatus.DEAD)) == 19
    fleet.gone.discard(4)
    fleet.views[4] = SwimMembership(4, 20, 99, fleet.now)
    fleet.run(10_000.0)
    assert len(fleet.held(4, MemberStatus.ALIVE)) == 19 and fleet.views[4].incarnation > 5
    late = codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(4, 5, MemberStatus.DEAD),)))
    fleet.views[0].on_message(fleet.now, 1, late)
    assert fleet.views[0].member_status(4) is MemberStatus.ALIVE, "news of its old self comes too late"


def test_halves_that_are_cut_apart_know_each_other_again_once_it_heals() -> None:
    fleet = Fleet(24, 2, loss=0.05)
    fleet.run(3_000.0)
    fleet.cut = lambda a, b: (a < 12) != (b < 12)
    fleet.run(40_000.0)
    assert {view.alive_count() for view in fleet.views.values()} == {12}
    fleet.cut = lambda a, b: False
    fleet.run(30_000.0)
    assert {view.alive_count() for view in fleet.views.values()} == {24}


def test_a_way_that_is_cut_between_two_alone_makes_nobody_dead() -> None:
    """Indirect confirmation: without it both would be held dead by all."""
    fleet = Fleet(12, 3)
    fleet.cut = lambda a, b: {a, b} == {2, 5}
    fleet.run(40_000.0)
    assert {view.alive_count() for view in fleet.views.values()} == {12}


def test_few_that_hear_each_other_anyway_ping_nobody() -> None:
    views = [SwimMembership(n, 3, n) for n in range(3)]
    for step in range(200):
        now = 100.0 * step
        for view in views:
            for other in range(3):
                view.record_activity(now, other)
            assert view.on_tick(now) == []


@pytest.mark.parametrize("count", [10, 50, 200])
def test_bytes_of_a_router_do_not_grow_with_the_fleet(count: int) -> None:
    fleet = Fleet(count, 4)
    fleet.run(10_000.0)
    assert fleet.bytes / count / 10.0 < 200.0


@pytest.mark.parametrize("seed", range(4))
def test_garbage_and_lies_are_counted_and_taken_back(seed: int) -> None:
    rng, view = random.Random(seed), SwimMembership(0, 5, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        view.on_message(
            1.0,
            rng.randrange(-1, 7),
            rng.choice([data, bytes((codec.MESSAGE_TYPE, rng.randrange(6))) + data]),
        )
    assert view.malformed_datagrams > 500 and view.incarnation <= 2 * MAX_INCARNATION_STEP
    one = SwimMembership(0, 5, 1)
    lie = SwimMessage(
        MessageKind.UPDATE,
        0,
        0,
        0,
        (MemberUpdate(2, MAX_INCARNATION_STEP + 1, MemberStatus.DEAD), MemberUpdate(9, 0, MemberStatus.DEAD)),
    )
    one.on_message(1.0, 1, codec.encode(lie))
    assert one.alive_count() == 5 and one.implausible_updates == 2
    one.on_message(
        1.0,
        1,
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(0, 7, MemberStatus.DEAD),))),
    )
    assert one.incarnation == 8


def test_a_message_reads_as_it_was_written() -> None:
    entries = tuple(MemberUpdate(n, 3 * n, MemberStatus(n % 3)) for n in range(codec.MAX_UPDATES))
    message = SwimMessage(MessageKind.PING_REQUEST, 9, 7, 4, entries)
    assert codec.decode(codec.encode(message)) == message and len(codec.encode(message)) <= MAX_DATAGRAM_BYTES
    with pytest.raises(ValueError):
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (*entries, entries[0])))


def test_a_suspicion_ends_only_by_its_time_or_the_members_own_word() -> None:
    one = SwimMembership(0, 3, 1)
    one.on_message(
        0.0,
        1,
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(2, 0, MemberStatus.SUSPECT),))),
    )
    assert one.member_status(2) is MemberStatus.SUSPECT
    one.on_message(
        100.0,
        1,
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(2, 0, MemberStatus.ALIVE),))),
    )
    assert one.member_status(2) is MemberStatus.SUSPECT
    told = one.on_message(200.0, 2, codec.encode(SwimMessage(MessageKind.PING, 0, 5)))
    said = [codec.decode(tell.data) for tell in told if tell.peer_index == 2]
    assert any(
        isinstance(m, SwimMessage) and MemberUpdate(2, 0, MemberStatus.SUSPECT) in m.updates for m in said
    )
    one.on_message(300.0, 2, codec.encode(SwimMessage(MessageKind.UPDATE, 1)))
    assert one.member_status(2) is MemberStatus.ALIVE
    one.on_message(
        400.0,
        1,
        codec.encode(SwimMessage(MessageKind.UPDATE, 0, 0, 0, (MemberUpdate(2, 1, MemberStatus.SUSPECT),))),
    )
    for step in range(40):
        one.on_tick(400.0 + step * PAUSE_THRESHOLD_MS / 4)
    assert (
        one.member_status(2) is MemberStatus.DEAD
        and 400.0 + 10 * PAUSE_THRESHOLD_MS > SUSPICION_INTERVALS * PROBE_INTERVAL_MS
    )


def test_the_decisions_go_by_the_routers_that_are_there() -> None:
    """Shares of what a fleet may do are of those that live, and only they are told."""
    count, now = 6, 0.0
    fleet = {n: RoutingNode(settings(router_index=n, router_count=count), seed=n) for n in range(count)}
    gone: set[int] = set()
    timers: list[tuple[float, int, int]] = []
    words: list[str] = []

    def act(who: int, event: Event) -> None:
        for action in fleet[who].handle(now, event):
            if isinstance(action, SetTimer):
                timers.append((action.at_ms, who, action.token))
            elif isinstance(action, LogMessage):
                words.append(action.message)
            elif isinstance(action, SendToPeer):
                assert len(action.data) <= MAX_DATAGRAM_BYTES
                for to in range(count) if action.peer_index is None else [action.peer_index]:
                    if to != who and to not in gone:
                        act(to, PeerMessageReceived(who, action.data))
            elif isinstance(action, StartAttempt):
                act(who, AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 40.0, True))

    for who in fleet:
        act(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 5))))
    for step in range(600):
        now, number = now + 50.0, step + 1
        if step == 200:
            gone |= {3, 4, 5}
        for at, who, token in [one for one in timers if one[0] <= now]:
            timers.remove((at, who, token))
            if who not in gone:
                act(who, TimerFired(token))
        if (who := number % count) not in gone:
            act(who, RequestArrived(number, number % 9, 0, now + 3000.0))
        if step == 199:
            assert all(one.router.state.live_router_count == count for one in fleet.values()) and not words
    left = [one for who, one in fleet.items() if who not in gone]
    assert [one.router.state.live_router_count for one in left] == [3, 3, 3]
    assert all(
        set(one.load_gossip.peers) | {who} == {0, 1, 2}
        for who, one in enumerate(left)
        if one.load_gossip is not None
    )
    assert any("3 of 6 routers there" in text for text in words)


@pytest.mark.parametrize("count", [24, 96])
def test_news_do_not_feed_on_themselves_while_halves_are_cut(count: int) -> None:
    """Each datagram of a suspect once had its suspicion told anew: 7,000 bytes a second for each of 200."""
    fleet = Fleet(count, 5, loss=0.1)
    fleet.run(3_000.0)
    fleet.cut = lambda a, b: (a < count // 2) != (b < count // 2)
    fleet.bytes = 0
    fleet.run(20_000.0)
    assert fleet.bytes / count / 20.0 < 900.0
    for view in fleet.views.values():
        for other in range(count):
            if other != view.router_index:
                view.record_activity(fleet.now, other)  # talk that comes through all the same
    fleet.bytes = 0
    fleet.run(10_000.0)
    assert fleet.bytes / count / 10.0 < 900.0


def test_a_fleet_that_starts_one_after_the_other_suspects_nobody() -> None:
    fleet = Fleet(40, 6)
    fleet.gone = set(range(1, 40))
    for number in range(1, 40):
        fleet.run(200.0)
        fleet.gone.discard(number)
        fleet.views[number] = SwimMembership(number, 40, number, fleet.now)
    fleet.run(3_000.0)
    assert all(not view.status_changes for view in fleet.views.values())
