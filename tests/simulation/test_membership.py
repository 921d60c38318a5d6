"""Membership of many routers on one virtual clock, over a lossy network with delays and partitions."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, NamedTuple

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

TICK_MS = 250.0  # interval between two ticks of a router
NO_SENDER = -1


class FleetEvent(NamedTuple):
    """A tick of a router, or a datagram that arrives there; ordered by time."""

    at_ms: float
    router_index: int
    sender: int = NO_SENDER
    data: bytes | None = None  # None: a tick


class Fleet:
    """Routers that tick at different times; paused and stopped routers neither tick nor receive datagrams."""

    def __init__(self, router_count: int, seed: int, loss_rate: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.router_count = router_count
        self.loss_rate = loss_rate
        self.routers = {
            index: SwimMembership(index, router_count, seed * 1000 + index) for index in range(router_count)
        }
        self.now_ms = 0.0
        self.sent_bytes = 0
        self.longest_datagram_bytes = 0
        self.paused: dict[int, list[tuple[int, bytes]]] = {}  # senders and datagrams not yet read
        self.stopped: set[int] = set()
        self.is_partitioned: Callable[[int, int], bool] = lambda sender, receiver: False
        self.events: list[FleetEvent] = []
        for index in range(router_count):
            heapq.heappush(self.events, FleetEvent(self.rng.uniform(0, TICK_MS), index))

    def run(self, duration_ms: float) -> None:
        ends_at_ms = self.now_ms + duration_ms
        while self.events and self.events[0].at_ms <= ends_at_ms:
            event = heapq.heappop(self.events)
            self.now_ms = event.at_ms
            if event.data is None:
                heapq.heappush(self.events, FleetEvent(self.now_ms + TICK_MS, event.router_index))
            if event.router_index not in self.stopped:
                self.handle(event)
        self.now_ms = ends_at_ms

    def handle(self, event: FleetEvent) -> None:
        router = self.routers[event.router_index]
        if event.router_index in self.paused:
            if event.data is not None:
                self.paused[event.router_index].append((event.sender, event.data))
        elif event.data is None:
            self.send(event.router_index, router.on_tick(self.now_ms))
        else:
            self.send(event.router_index, router.on_message(self.now_ms, event.sender, event.data))

    def send(self, sender: int, datagrams: list[SendToPeer]) -> None:
        for datagram in datagrams:
            receiver = datagram.peer_index
            data = datagram.data
            assert receiver is not None
            self.sent_bytes += len(data)
            self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(data))
            if self.is_partitioned(sender, receiver):
                continue
            for _ in range(self.rng.choice([1, 1, 1, 2])):
                if self.rng.random() >= self.loss_rate:
                    arrives_at_ms = self.now_ms + self.rng.uniform(1, 60)
                    heapq.heappush(self.events, FleetEvent(arrives_at_ms, receiver, sender, data))

    def resume(self, index: int) -> None:
        for sender, data in self.paused.pop(index):
            heapq.heappush(self.events, FleetEvent(self.now_ms, index, sender, data))

    def observers(self, index: int, status: MemberStatus) -> list[int]:
        """Return the running routers that list a router with a status."""
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


class Timer(NamedTuple):
    at_ms: float
    router_index: int
    token: int


def update_message(*updates: MemberUpdate, incarnation: int = 0) -> bytes:
    return codec.encode(SwimMessage(MessageKind.UPDATE, incarnation, 0, 0, updates))


@pytest.mark.parametrize("seed", range(3))
def test_no_running_router_is_declared_dead_and_a_stopped_router_is_declared_dead_by_all(seed: int) -> None:
    fleet = Fleet(40, seed, loss_rate=0.2)
    fleet.run(20_000.0)
    assert all(router.alive_count() == 40 for router in fleet.routers.values())
    fleet.stopped.add(7)
    fleet.run(25_000.0)
    assert len(fleet.observers(7, MemberStatus.DEAD)) == 39
    assert all(router.alive_count() == 39 for index, router in fleet.routers.items() if index != 7)
    assert fleet.longest_datagram_bytes <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("seed", range(3))
def test_when_seventy_percent_stop_at_once_the_others_agree_on_the_alive_members(seed: int) -> None:
    fleet = Fleet(60, seed, loss_rate=0.1)
    fleet.run(5_000.0)
    fleet.stopped |= set(range(42))
    fleet.run(40_000.0)
    running = [router for index, router in fleet.routers.items() if index not in fleet.stopped]
    assert [router.alive_count() for router in running] == [18] * 18


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_router_is_alive_again_after_the_pause_and_declares_no_other_dead(seed: int) -> None:
    fleet = Fleet(30, seed, loss_rate=0.1)
    fleet.run(5_000.0)
    fleet.paused[3] = []
    fleet.run(20_000.0)
    assert len(fleet.observers(3, MemberStatus.DEAD)) == 29, (
        "the others must continue without the paused router"
    )
    fleet.resume(3)
    fleet.run(10_000.0)
    assert len(fleet.observers(3, MemberStatus.ALIVE)) == 29
    assert fleet.routers[3].alive_count() == 30
    assert fleet.routers[3].table.incarnation > 0


def test_a_pause_by_itself_ends_no_suspicion() -> None:
    """Without pause detection, all suspicions would be overdue at the first tick after the pause."""
    router = SwimMembership(0, 4, 1)
    router.on_message(0.0, 1, update_message(MemberUpdate(2, 0, MemberStatus.SUSPECT)))
    router.on_tick(100.0)
    incarnation_before = router.table.incarnation
    router.on_tick(100_000.0)
    assert router.member_status(2) is MemberStatus.SUSPECT
    assert router.table.incarnation == incarnation_before + 1
    for step in range(1, 20):
        router.on_tick(100_000.0 + step * TICK_MS)
    assert router.member_status(2) is MemberStatus.DEAD


def test_a_restarted_router_refutes_updates_from_its_earlier_run() -> None:
    fleet = Fleet(20, 1)
    fleet.run(3_000.0)
    fleet.routers[4].table.incarnation = 5  # the value after five refutations
    fleet.run(3_000.0)
    fleet.stopped.add(4)
    fleet.run(20_000.0)
    assert len(fleet.observers(4, MemberStatus.DEAD)) == 19
    fleet.stopped.discard(4)
    fleet.routers[4] = SwimMembership(4, 20, 99, fleet.now_ms)
    fleet.run(10_000.0)
    assert len(fleet.observers(4, MemberStatus.ALIVE)) == 19
    assert fleet.routers[4].table.incarnation > 5
    late_update = update_message(MemberUpdate(4, 5, MemberStatus.DEAD))
    fleet.routers[0].on_message(fleet.now_ms, 1, late_update)
    assert fleet.routers[0].member_status(4) is MemberStatus.ALIVE, (
        "a late update from the earlier run must be ignored"
    )


def test_the_halves_of_a_healed_partition_list_each_other_as_alive_again() -> None:
    fleet = Fleet(24, 2, loss_rate=0.05)
    fleet.run(3_000.0)
    fleet.is_partitioned = lambda sender, receiver: (sender < 12) != (receiver < 12)
    fleet.run(40_000.0)
    assert fleet.alive_counts() == {12}
    fleet.is_partitioned = lambda sender, receiver: False
    fleet.run(30_000.0)
    assert fleet.alive_counts() == {24}


def test_two_routers_partitioned_only_from_each_other_are_not_declared_dead() -> None:
    """Without indirect probes, all routers would declare both dead."""
    fleet = Fleet(12, 3)
    fleet.is_partitioned = lambda sender, receiver: {sender, receiver} == {2, 5}
    fleet.run(40_000.0)
    assert fleet.alive_counts() == {12}


def test_routers_that_receive_other_datagrams_from_each_other_send_no_probes() -> None:
    routers = [SwimMembership(index, 3, index) for index in range(3)]
    for step in range(200):
        now_ms = 100.0 * step
        for router in routers:
            for sender in range(3):
                router.record_activity(now_ms, sender)
            assert router.on_tick(now_ms) == []


@pytest.mark.parametrize("router_count", [10, 50, 200])
def test_sent_bytes_of_a_router_are_bounded_at_any_fleet_size(router_count: int) -> None:
    fleet = Fleet(router_count, 4)
    fleet.run(10_000.0)
    assert fleet.sent_bytes / router_count / 10.0 < 200.0


@pytest.mark.parametrize("seed", range(4))
def test_malformed_and_false_messages_are_counted_and_refuted(seed: int) -> None:
    rng = random.Random(seed)
    router = SwimMembership(0, 5, 1)
    for _ in range(2000):
        data = rng.randbytes(rng.randrange(300))
        sender = rng.randrange(-1, 7)
        with_header = bytes((codec.MESSAGE_TYPE, rng.randrange(6))) + data
        router.on_message(1.0, sender, rng.choice([data, with_header]))
    assert router.malformed_datagrams > 500
    assert router.table.incarnation <= 2 * MAX_INCARNATION_STEP
    router = SwimMembership(0, 5, 1)
    false_updates = update_message(
        MemberUpdate(2, MAX_INCARNATION_STEP + 1, MemberStatus.DEAD), MemberUpdate(9, 0, MemberStatus.DEAD)
    )
    router.on_message(1.0, 1, false_updates)
    assert router.alive_count() == 5
    assert router.table.implausible_updates == 2
    router.on_message(1.0, 1, update_message(MemberUpdate(0, 7, MemberStatus.DEAD)))
    assert router.table.incarnation == 8


def test_a_message_decodes_as_it_was_encoded() -> None:
    updates = tuple(
        MemberUpdate(index, 3 * index, MemberStatus(index % 3)) for index in range(codec.MAX_UPDATES)
    )
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


def test_routing_uses_only_the_routers_that_are_alive() -> None:
    """Quotas are divided among the alive routers, and datagrams are sent only to them."""
    router_count = 6
    now_ms = 0.0
    nodes = {
        index: RoutingNode(settings(router_index=index, router_count=router_count), seed=index)
        for index in range(router_count)
    }
    endpoints = EndpointUpdate(
        EndpointUpdateKind.CACHED, 1, tuple(worker(worker_id) for worker_id in range(1, 5))
    )
    stopped: set[int] = set()
    timers: list[Timer] = []
    log: list[str] = []

    def handle(index: int, event: Event) -> None:
        for action in nodes[index].handle(now_ms, event):
            if isinstance(action, SetTimer):
                timers.append(Timer(action.at_ms, index, action.token))
            elif isinstance(action, LogMessage):
                log.append(action.message)
            elif isinstance(action, SendToPeer):
                assert len(action.data) <= MAX_DATAGRAM_BYTES
                for peer in range(router_count) if action.peer_index is None else [action.peer_index]:
                    if peer != index and peer not in stopped:
                        handle(peer, PeerMessageReceived(index, action.data))
            elif isinstance(action, StartAttempt):
                handle(index, AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 40.0, True))

    for index in nodes:
        handle(index, endpoints)
    for step in range(600):
        now_ms += 50.0
        request_id = step + 1
        if step == 200:
            stopped |= {3, 4, 5}
        for timer in [timer for timer in timers if timer.at_ms <= now_ms]:
            timers.remove(timer)
            if timer.router_index not in stopped:
                handle(timer.router_index, TimerFired(timer.token))
        index = request_id % router_count
        if index not in stopped:
            handle(index, RequestArrived(request_id, request_id % 9, 0, now_ms + 3000.0))
        if step == 199:
            assert all(node.router.state.live_router_count == router_count for node in nodes.values())
            assert not log
    running = [node for index, node in nodes.items() if index not in stopped]
    assert [node.router.state.live_router_count for node in running] == [3, 3, 3]
    assert all(
        set(node.load_gossip.peers) | {index} == {0, 1, 2}
        for index, node in enumerate(running)
        if node.load_gossip is not None
    )
    assert any(message.startswith("members_changed alive=3 configured=6 ") for message in log)


@pytest.mark.parametrize("router_count", [24, 96])
def test_updates_do_not_cause_unbounded_further_updates_during_a_partition(router_count: int) -> None:
    """Restarting dissemination at each datagram of a suspect cost 7,000 bytes/s for each of 200 routers."""
    fleet = Fleet(router_count, 5, loss_rate=0.1)
    fleet.run(3_000.0)
    fleet.is_partitioned = lambda sender, receiver: (
        (sender < router_count // 2) != (receiver < router_count // 2)
    )
    fleet.sent_bytes = 0
    fleet.run(20_000.0)
    assert fleet.sent_bytes / router_count / 20.0 < 900.0
    for router in fleet.routers.values():
        for sender in range(router_count):
            if sender != router.router_index:
                router.record_activity(fleet.now_ms, sender)  # as if load gossip still passed the partition
    fleet.sent_bytes = 0
    fleet.run(10_000.0)
    assert fleet.sent_bytes / router_count / 10.0 < 900.0


def test_routers_that_start_one_after_the_other_suspect_no_member() -> None:
    fleet = Fleet(40, 6)
    fleet.stopped = set(range(1, 40))
    for number in range(1, 40):
        fleet.run(200.0)
        fleet.stopped.discard(number)
        fleet.routers[number] = SwimMembership(number, 40, number, fleet.now_ms)
    fleet.run(3_000.0)
    assert all(not router.status_changes for router in fleet.routers.values())
