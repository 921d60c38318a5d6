"""Membership of many routers on one virtual clock, over a network that loses, delays, duplicates and cuts."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.membership import codec
from cedarthread.membership.codec import MemberStatus, MemberUpdate, MessageKind, SwimMessage
from cedarthread.membership.failure_detector import PROBE_INTERVAL_MS
from cedarthread.membership.member_table import MAX_INCARNATION_STEP
from cedarthread.membership.swim import PAUSE_THRESHOLD_MS, SUSPICION_INTERVALS, SwimMembership
from cedarthread.model.actions import LogMessage, SendToPeer, SetTimer, StartAttempt
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from cedarthread.node.routing_node import RoutingNode
from tests.helpers import settings, worker

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_MS = 250.0  # between the ticks of a router


class Fleet:
    """Routers with ticks of their own; `paused` and `stopped` ones have none, and receive nothing."""

    def __init__(self, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng, self.count, self.loss = random.Random(seed), count, loss
        self.routers = {n: SwimMembership(n, count, seed * 1000 + n) for n in range(count)}
        self.now_ms, self.sent_bytes, self.longest_datagram = 0.0, 0, 0
        self.paused: dict[int, list[tuple[int, bytes]]] = {}  # with what waits in their sockets
        self.stopped: set[int] = set()
        self.is_cut: Callable[[int, int], bool] = lambda sender, receiver: False
        # When, which router, and the sender and its datagram; a tick has none.
        self.events: list[tuple[float, int, int, bytes | None]] = []
        for index in range(count):
            heapq.heappush(self.events, (self.rng.uniform(0, TICK_MS), index, -1, None))

    def run(self, duration_ms: float) -> None:
        until = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= until:
            self.now_ms, index, sender, data = heapq.heappop(self.events)
            if data is None:
                heapq.heappush(self.events, (self.now_ms + TICK_MS, index, -1, None))
            if index in self.stopped:
                continue
            if index in self.paused:
                if data is not None:
                    self.paused[index].append((sender, data))
                continue
            router = self.routers[index]
            if data is None:
                self.send(index, router.on_tick(self.now_ms))
            else:
                self.send(index, router.on_message(self.now_ms, sender, data))
        self.now_ms = until

    def send(self, sender: int, datagrams: list[SendToPeer]) -> None:
        for datagram in datagrams:
            receiver, data = datagram.peer_index, datagram.data
            assert receiver is not None
            self.sent_bytes += len(data)
            self.longest_datagram = max(self.longest_datagram, len(data))
            if self.is_cut(sender, receiver):
                continue
            for _ in range(self.rng.choice([1, 1, 1, 2])):
                if self.rng.random() >= self.loss:
                    arrival = self.now_ms + self.rng.uniform(1, 60)
                    heapq.heappush(self.events, (arrival, receiver, sender, data))

    def resume(self, index: int) -> None:
        for sender, data in self.paused.pop(index):
            heapq.heappush(self.events, (self.now_ms, index, sender, data))

    def seen_as(self, index: int, status: MemberStatus) -> list[int]:
        """The running routers that see one in a status."""
        return [
            other
            for other, router in self.routers.items()
            if other != index
            and other not in self.stopped
            and other not in self.paused
            and router.member_status(index) is status
        ]

    def alive_counts(self) -> set[int]:
        return {router.alive_count() for router in self.routers.values()}


def update_message(*updates: MemberUpdate, incarnation: int = 0) -> bytes:
    return codec.encode(SwimMessage(MessageKind.UPDATE, incarnation, 0, 0, updates))


@pytest.mark.parametrize("seed", range(3))
def test_no_router_is_held_dead_by_chance_and_a_stopped_one_is_by_all(seed: int) -> None:
    fleet = Fleet(40, seed, loss=0.2)
    fleet.run(20_000.0)
    assert all(router.alive_count() == 40 for router in fleet.routers.values())
    fleet.stopped.add(7)
    fleet.run(25_000.0)
    assert len(fleet.seen_as(7, MemberStatus.DEAD)) == 39
    assert all(fleet.routers[n].alive_count() == 39 for n in range(40) if n != 7)
    assert fleet.longest_datagram <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("seed", range(3))
def test_when_seven_in_ten_stop_at_once_the_rest_agree_on_who_is_alive(seed: int) -> None:
    fleet = Fleet(60, seed, loss=0.1)
    fleet.run(5_000.0)
    fleet.stopped |= set(range(42))
    fleet.run(40_000.0)
    running = [router for index, router in fleet.routers.items() if index not in fleet.stopped]
    assert [router.alive_count() for router in running] == [18] * 18


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_router_is_alive_again_after_it_and_holds_no_other_dead(seed: int) -> None:
    fleet = Fleet(30, seed, loss=0.1)
    fleet.run(5_000.0)
    fleet.paused[3] = []
    fleet.run(20_000.0)
    assert len(fleet.seen_as(3, MemberStatus.DEAD)) == 29, "by then they must go on without it"
    fleet.resume(3)
    fleet.run(10_000.0)
    assert len(fleet.seen_as(3, MemberStatus.ALIVE)) == 29
    assert fleet.routers[3].alive_count() == 30
    assert fleet.routers[3].table.incarnation > 0


def test_a_pause_by_itself_ends_no_suspicion() -> None:
    """All that it suspected would be overdue at its first tick."""
    router = SwimMembership(0, 4, 1)
    router.on_message(0.0, 1, update_message(MemberUpdate(2, 0, MemberStatus.SUSPECT)))
    router.on_tick(100.0)
    before = router.table.incarnation
    router.on_tick(100_000.0)
    assert router.member_status(2) is MemberStatus.SUSPECT
    assert router.table.incarnation == before + 1
    for step in range(1, 20):
        router.on_tick(100_000.0 + step * TICK_MS)
    assert router.member_status(2) is MemberStatus.DEAD


def test_a_restarted_router_refutes_updates_of_its_earlier_start() -> None:
    fleet = Fleet(20, 1)
    fleet.run(3_000.0)
    fleet.routers[4].table.incarnation = 5  # it had to refute something before
    fleet.run(3_000.0)
    fleet.stopped.add(4)
    fleet.run(20_000.0)
    assert len(fleet.seen_as(4, MemberStatus.DEAD)) == 19
    fleet.stopped.discard(4)
    fleet.routers[4] = SwimMembership(4, 20, 99, fleet.now_ms)
    fleet.run(10_000.0)
    assert len(fleet.seen_as(4, MemberStatus.ALIVE)) == 19
    assert fleet.routers[4].table.incarnation > 5
    late = update_message(MemberUpdate(4, 5, MemberStatus.DEAD))
    fleet.routers[0].on_message(fleet.now_ms, 1, late)
    assert fleet.routers[0].member_status(4) is MemberStatus.ALIVE, (
        "updates of its earlier start come too late"
    )


def test_the_halves_of_a_healed_partition_see_each_other_alive_again() -> None:
    fleet = Fleet(24, 2, loss=0.05)
    fleet.run(3_000.0)
    fleet.is_cut = lambda sender, receiver: (sender < 12) != (receiver < 12)
    fleet.run(40_000.0)
    assert fleet.alive_counts() == {12}
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(30_000.0)
    assert fleet.alive_counts() == {24}


def test_a_cut_between_two_routers_alone_makes_neither_dead() -> None:
    """Indirect probes: without them both would be held dead by all."""
    fleet = Fleet(12, 3)
    fleet.is_cut = lambda sender, receiver: {sender, receiver} == {2, 5}
    fleet.run(40_000.0)
    assert fleet.alive_counts() == {12}


def test_few_routers_that_hear_each_other_anyway_probe_nobody() -> None:
    routers = [SwimMembership(index, 3, index) for index in range(3)]
    for step in range(200):
        now_ms = 100.0 * step
        for router in routers:
            for sender in range(3):
                router.record_activity(now_ms, sender)
            assert router.on_tick(now_ms) == []


@pytest.mark.parametrize("count", [10, 50, 200])
def test_bytes_of_a_router_do_not_grow_with_the_fleet(count: int) -> None:
    fleet = Fleet(count, 4)
    fleet.run(10_000.0)
    assert fleet.sent_bytes / count / 10.0 < 200.0


@pytest.mark.parametrize("seed", range(4))
def test_malformed_and_false_messages_are_counted_and_refuted(seed: int) -> None:
    rng, router = random.Random(seed), SwimMembership(0, 5, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        sender = rng.randrange(-1, 7)
        with_header = bytes((codec.MESSAGE_TYPE, rng.randrange(6))) + data
        router.on_message(1.0, sender, rng.choice([data, with_header]))
    assert router.malformed_datagrams > 500
    assert router.table.incarnation <= 2 * MAX_INCARNATION_STEP
    router = SwimMembership(0, 5, 1)
    lies = update_message(
        MemberUpdate(2, MAX_INCARNATION_STEP + 1, MemberStatus.DEAD), MemberUpdate(9, 0, MemberStatus.DEAD)
    )
    router.on_message(1.0, 1, lies)
    assert router.alive_count() == 5
    assert router.table.implausible_updates == 2
    router.on_message(1.0, 1, update_message(MemberUpdate(0, 7, MemberStatus.DEAD)))
    assert router.table.incarnation == 8


def test_a_message_decodes_as_it_was_encoded() -> None:
    updates = tuple(MemberUpdate(n, 3 * n, MemberStatus(n % 3)) for n in range(codec.MAX_UPDATES))
    message = SwimMessage(MessageKind.PING_REQUEST, 9, 7, 4, updates)
    assert codec.decode(codec.encode(message)) == message
    assert len(codec.encode(message)) <= MAX_DATAGRAM_BYTES
    with pytest.raises(ValueError):
        update_message(*updates, updates[0])


def test_a_suspicion_ends_only_by_timeout_or_refutation() -> None:
    router = SwimMembership(0, 3, 1)
    router.on_message(0.0, 1, update_message(MemberUpdate(2, 0, MemberStatus.SUSPECT)))
    assert router.member_status(2) is MemberStatus.SUSPECT
    router.on_message(100.0, 1, update_message(MemberUpdate(2, 0, MemberStatus.ALIVE)))
    assert router.member_status(2) is MemberStatus.SUSPECT
    replies = router.on_message(200.0, 2, codec.encode(SwimMessage(MessageKind.PING, 0, 5)))
    messages = [codec.decode(reply.data) for reply in replies if reply.peer_index == 2]
    assert any(
        isinstance(message, SwimMessage) and MemberUpdate(2, 0, MemberStatus.SUSPECT) in message.updates
        for message in messages
    )
    router.on_message(300.0, 2, update_message(incarnation=1))
    assert router.member_status(2) is MemberStatus.ALIVE
    router.on_message(400.0, 1, update_message(MemberUpdate(2, 1, MemberStatus.SUSPECT)))
    for step in range(40):
        router.on_tick(400.0 + step * PAUSE_THRESHOLD_MS / 4)
    assert router.member_status(2) is MemberStatus.DEAD
    assert 400.0 + 10 * PAUSE_THRESHOLD_MS > SUSPICION_INTERVALS * PROBE_INTERVAL_MS


def test_routing_goes_by_the_routers_that_are_alive() -> None:
    """Quotas of the fleet are divided among the routers that are alive, and only they are sent to."""
    count, now_ms = 6, 0.0
    nodes = {n: RoutingNode(settings(router_index=n, router_count=count), seed=n) for n in range(count)}
    stopped: set[int] = set()
    timers: list[tuple[float, int, int]] = []
    log: list[str] = []

    def handle(index: int, event: Event) -> None:
        for action in nodes[index].handle(now_ms, event):
            if isinstance(action, SetTimer):
                timers.append((action.at_ms, index, action.token))
            elif isinstance(action, LogMessage):
                log.append(action.message)
            elif isinstance(action, SendToPeer):
                assert len(action.data) <= MAX_DATAGRAM_BYTES
                for peer in range(count) if action.peer_index is None else [action.peer_index]:
                    if peer != index and peer not in stopped:
                        handle(peer, PeerMessageReceived(index, action.data))
            elif isinstance(action, StartAttempt):
                handle(index, AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 40.0, True))

    for index in nodes:
        handle(index, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 5))))
    for step in range(600):
        now_ms, request_id = now_ms + 50.0, step + 1
        if step == 200:
            stopped |= {3, 4, 5}
        for timer in [timer for timer in timers if timer[0] <= now_ms]:
            timers.remove(timer)
            _, index, token = timer
            if index not in stopped:
                handle(index, TimerFired(token))
        if (index := request_id % count) not in stopped:
            handle(index, RequestArrived(request_id, request_id % 9, 0, now_ms + 3000.0))
        if step == 199:
            assert all(node.router.state.live_router_count == count for node in nodes.values())
            assert not log
    running = [node for index, node in nodes.items() if index not in stopped]
    assert [node.router.state.live_router_count for node in running] == [3, 3, 3]
    assert all(
        set(node.load_gossip.peers) | {index} == {0, 1, 2}
        for index, node in enumerate(running)
        if node.load_gossip is not None
    )
    assert any(message.startswith("members_changed alive=3 configured=6 ") for message in log)


@pytest.mark.parametrize("count", [24, 96])
def test_updates_cause_no_further_updates_without_end_during_a_partition(count: int) -> None:
    """Each datagram of a suspect once restarted its dissemination: 7,000 bytes a second for each of 200."""
    fleet = Fleet(count, 5, loss=0.1)
    fleet.run(3_000.0)
    fleet.is_cut = lambda sender, receiver: (sender < count // 2) != (receiver < count // 2)
    fleet.sent_bytes = 0
    fleet.run(20_000.0)
    assert fleet.sent_bytes / count / 20.0 < 900.0
    for router in fleet.routers.values():
        for sender in range(count):
            if sender != router.router_index:
                router.record_activity(fleet.now_ms, sender)  # gossip that gets through all the same
    fleet.sent_bytes = 0
    fleet.run(10_000.0)
    assert fleet.sent_bytes / count / 10.0 < 900.0


def test_routers_that_start_one_after_the_other_suspect_nobody() -> None:
    fleet = Fleet(40, 6)
    fleet.stopped = set(range(1, 40))
    for number in range(1, 40):
        fleet.run(200.0)
        fleet.stopped.discard(number)
        fleet.routers[number] = SwimMembership(number, 40, number, fleet.now_ms)
    fleet.run(3_000.0)
    assert all(not router.status_changes for router in fleet.routers.values())
