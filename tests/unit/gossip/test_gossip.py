"""Load gossip between routers: the wire format, sending and merging, and what routing makes of it."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

import pytest

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.gossip import codec
from cedarthread.gossip.load_gossip import MAX_FANOUT, MIN_SEND_INTERVAL_MS, LoadGossip
from cedarthread.gossip.peer_views import IN_FLIGHT_EXPIRY_MS, MAX_IN_FLIGHT_PER_PEER
from cedarthread.gossip.send_budget import BURST_DATAGRAMS, GOSSIP_COST_PER_CALL
from cedarthread.model.actions import (
    Action,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
)
from cedarthread.model.endpoints import EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, Event, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from cedarthread.node.routing_node import RoutingNode
from cedarthread.protocols.peers import PeerAddresses, PeerTransport
from tests.helpers import LIMITS, PRICES, sends, settings, worker

if TYPE_CHECKING:
    from cedarthread.model.instance_load import InstanceLoad

QUIET = dataclasses.replace(LIMITS, allows_gossip=False)


def make_gossip(router_index: int, router_count: int = 3, price: float = 0.01, seed: int = 5) -> LoadGossip:
    prices = dataclasses.replace(PRICES, peer_message=price)
    own_settings = settings(router_count=router_count, router_index=router_index, prices=prices)
    return LoadGossip(own_settings, seed + router_index)


def deliver(sender: LoadGossip, receiver: LoadGossip, now_ms: float) -> None:
    for datagram in sender.collect_due_datagrams(now_ms):
        receiver.on_message(now_ms + 5.0, sender.router_index, datagram.data)


def changed_by(gossip: LoadGossip, now_ms: float, sender_index: int, data: bytes) -> dict[int, float]:
    """The workers that a datagram changes, with the peers' calls there."""
    gossip.changed_workers.clear()
    gossip.on_message(now_ms, sender_index, data)
    return gossip.changed_workers


@pytest.mark.parametrize("seed", range(4))
def test_a_datagram_decodes_as_it_was_encoded_and_no_bytes_raise(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(300):
        workers = tuple(
            codec.WorkerUpdate(
                rng.getrandbits(32),
                rng.randrange(256),
                tuple(
                    codec.InstanceUpdate(
                        rng.getrandbits(32),
                        rng.randrange(256),
                        rng.choice([None, 100.0 * rng.randrange(255)]),
                    )
                    for _ in range(rng.randrange(8))
                ),
            )
            for _ in range(rng.randrange(4))
        )
        update = codec.LoadUpdate(rng.getrandbits(32), rng.getrandbits(32), rng.random() < 0.5, workers)
        data = codec.encode(update)
        assert codec.decode(data) == update
        assert len(data) <= MAX_DATAGRAM_BYTES
        cut = data[: rng.randrange(len(data))]
        assert isinstance(codec.decode(cut), (codec.LoadUpdate, MalformedDatagram))
        codec.decode(rng.randbytes(rng.randrange(300)))


@pytest.mark.parametrize("data", [b"", b"\0" * 257, b"\0" * 10, bytes((codec.MESSAGE_TYPE,)) + b"\0" * 11])
def test_a_malformed_datagram_is_counted_and_changes_nothing(data: bytes) -> None:
    gossip = make_gossip(0)
    assert changed_by(gossip, 0.0, 1, data) == {}
    assert gossip.malformed_datagrams == 1
    assert changed_by(gossip, 0.0, 7, b"") == {}
    assert changed_by(gossip, 0.0, 0, b"") == {}
    assert gossip.unknown_senders == 2


def test_no_datagram_exceeds_the_size_limit() -> None:
    instances = tuple(codec.InstanceUpdate(number, 1, None) for number in range(50))
    with pytest.raises(ValueError):
        codec.encode(codec.LoadUpdate(1, 1, False, (codec.WorkerUpdate(1, 1, instances),)))
    gossip = make_gossip(0, price=0.0)
    for number in range(2000):
        gossip.on_attempt_sent(number % 40, number)
    datagrams = [
        datagram
        for batch in range(50)
        for datagram in gossip.collect_due_datagrams(MIN_SEND_INTERVAL_MS * batch)
    ]
    assert max(len(datagram.data) for datagram in datagrams) <= MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("seed", range(5))
def test_lost_duplicated_and_reordered_datagrams_leave_no_wrong_counts(seed: int) -> None:
    """Datagrams that carry events in place of state would leave wrong counts for good."""
    rng = random.Random(seed)
    sender, receiver = make_gossip(0, price=0.0), make_gossip(1, price=0.0)
    in_flight: list[tuple[int, int]] = []  # worker and function
    in_transit: list[bytes] = []
    now_ms = 0.0
    for _ in range(600):
        now_ms += 10.0
        if rng.random() < 0.5 or not in_flight:
            in_flight.append((rng.randrange(5), rng.randrange(20)))
            sender.on_attempt_sent(*in_flight[-1])
        else:
            ended = in_flight.pop(rng.randrange(len(in_flight)))
            sender.on_attempt_ended(now_ms, *ended, is_loaded=rng.choice([True, None]))
        for datagram in sender.collect_due_datagrams(now_ms):
            in_transit += [datagram.data] * rng.choice([0, 0, 1, 1, 2])
        rng.shuffle(in_transit)
        for _ in range(rng.randrange(3)):
            if in_transit:
                receiver.on_message(now_ms, 0, in_transit.pop())
    for _ in range(60):  # from here on all datagrams arrive
        now_ms += 50.0
        deliver(sender, receiver, now_ms)
    receiver.on_tick(now_ms)
    for worker_id in range(5):
        expected = sum(attempt_worker == worker_id for attempt_worker, _ in in_flight)
        assert receiver.in_flight_of_peers(now_ms, worker_id) == expected
        for function_id in range(20):
            load = receiver.instances(now_ms, function_id).get(worker_id)
            assert (load.in_flight if load else 0) == in_flight.count((worker_id, function_id))


def test_false_reports_of_a_peer_count_within_bounds() -> None:
    gossip = make_gossip(0)
    instance = codec.InstanceUpdate(codec.fold_function_id(7), 255, 0.0)
    update = codec.LoadUpdate(9, 1, False, (codec.WorkerUpdate(4, 255, (instance,)),))
    assert changed_by(gossip, 1000.0, 1, codec.encode(update)) == {4: MAX_IN_FLIGHT_PER_PEER}
    assert gossip.instances(1000.0, 7)[4].warm_age_ms == 0.0
    gossip.on_attempt_sent(4, 7)
    gossip.on_attempt_ended(1100.0, 4, 7, is_loaded=False)  # it was not there
    assert 4 not in gossip.instances(1100.0, 7)
    assert gossip.in_flight_of_peers(1000.0 + IN_FLIGHT_EXPIRY_MS + 1.0, 4) == 0.0


def test_datagrams_of_a_past_incarnation_are_ignored() -> None:
    gossip = make_gossip(0)
    old = codec.encode(codec.LoadUpdate(1, 50, False, (codec.WorkerUpdate(4, 9),)))
    assert changed_by(gossip, 0.0, 1, old) == {4: 9.0}
    assert changed_by(gossip, 1.0, 1, codec.encode(codec.LoadUpdate(2, 1, True, ()))) == {}
    assert gossip.in_flight_of_peers(1.0, 4) == 0.0, "its calls ended with its incarnation"
    assert changed_by(gossip, 2.0, 1, old) == {}
    assert gossip.in_flight_of_peers(2.0, 4) == 0.0


def test_a_router_that_starts_requests_and_receives_the_full_state() -> None:
    running, starting = make_gossip(0), make_gossip(1)
    for number in range(30):
        running.on_attempt_sent(number % 4, number)
        running.on_attempt_ended(1000.0, number % 4, number, is_loaded=True)
    running.collect_due_datagrams(1000.0)
    running.collect_due_datagrams(2000.0)
    (request,) = starting.collect_due_datagrams(3000.0)
    running.on_message(3005.0, 1, request.data)
    full_state = running.collect_due_datagrams(3010.0)
    assert full_state
    assert all(datagram.peer_index == 1 for datagram in full_state)
    for datagram in full_state:
        starting.on_message(3015.0, 0, datagram.data)
    assert all(starting.instances(3015.0, number)[number % 4].warm_age_ms for number in range(30))
    running.on_message(3020.0, 1, request.data)
    assert running.collect_due_datagrams(3100.0) == [], "requested twice, sent once"


@pytest.mark.parametrize("router_count", [3, 50, 400])
def test_the_cost_of_gossip_does_not_grow_with_the_fleet(router_count: int) -> None:
    gossip, spent_bytes, calls, now_ms = make_gossip(0, router_count, price=0.01), 0.0, 3000, 0.0
    for number in range(calls):
        now_ms += 20.0
        gossip.on_first_attempt()
        gossip.on_attempt_sent(number % 50, number % 200)
        gossip.on_attempt_ended(now_ms, number % 50, number % 200, is_loaded=True)
        for datagram in gossip.collect_due_datagrams(now_ms):
            spent_bytes += len(datagram.data) * (
                min(router_count - 1, MAX_FANOUT) if datagram.peer_index is None else 1
            )
    burst_bytes = BURST_DATAGRAMS * MAX_DATAGRAM_BYTES * MAX_FANOUT
    earned_bytes = calls * GOSSIP_COST_PER_CALL / 0.01 * MAX_DATAGRAM_BYTES
    assert 0.1 * earned_bytes < spent_bytes <= earned_bytes + burst_bytes


def send_request(node: RoutingNode, function_id: int, request_id: int, now_ms: float) -> list[Action]:
    return node.handle(now_ms, RequestArrived(request_id, function_id, 0, now_ms + 3000.0))


def node_pair(**changes: object) -> list[RoutingNode]:
    nodes = [RoutingNode(settings(router_index=index, **changes), seed=index + 1) for index in range(2)]
    endpoints = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 9)))
    for node in nodes:
        node.handle(0.0, endpoints)
    return nodes


def test_calls_go_to_an_instance_that_another_router_found_warm() -> None:
    first, second = node_pair()
    assert first.load_gossip is not None
    for function_id in range(20):
        now_ms = 100.0 * (function_id + 1)
        warm_worker = 1 + function_id % 8  # no router would guess it, but by chance
        first.load_gossip.on_attempt_sent(warm_worker, function_id)
        first.load_gossip.on_attempt_ended(now_ms, warm_worker, function_id, is_loaded=True)
        for datagram in first.load_gossip.collect_due_datagrams(now_ms):
            second.handle(now_ms + 5.0, PeerMessageReceived(0, datagram.data))
        if function_id:  # the first datagram only requests the full state
            assert sends(send_request(second, function_id, function_id, now_ms + 10.0)) == [warm_worker]
            second.handle(now_ms + 60.0, AttemptEnded(function_id, 0, warm_worker, Outcome.OK, 50.0, True))


@pytest.mark.parametrize("seed", range(3))
def test_routers_that_restart_within_seconds_answer_each_call_once_and_start_warm(seed: int) -> None:
    rng, now_ms, request_id = random.Random(seed), 0.0, 0
    endpoints = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 9)))

    def start(router_index: int) -> RoutingNode:
        own_settings = settings(router_index=router_index, router_count=3)
        node = RoutingNode(own_settings, seed=rng.getrandbits(32))
        node.handle(now_ms, endpoints)
        return node

    nodes, answers = [start(index) for index in range(3)], dict[int, int]()
    known_at_start: list[tuple[int, InstanceLoad | None]] = []  # by step, of the chosen worker
    lost: set[int] = set()
    timers: list[tuple[float, RoutingNode, int]] = []
    for step in range(1000):
        now_ms += 10.0
        if step in (400, 550, 700):  # one after the other, with nothing but its endpoint list
            index = (step - 400) // 150
            lost |= set(nodes[index].router.pending_requests)  # they end with the killed process
            nodes[index] = start(index)
        events: list[tuple[int, Event]] = []
        if step < 900:
            request_id += 1
            request = RequestArrived(request_id, request_id % 12, 0, now_ms + 3000.0, load_time_ms=400.0)
            events += [(rng.randrange(3), request)]
        for at_ms, node, token in [timer for timer in timers if timer[0] <= now_ms]:
            timers.remove((at_ms, node, token))
            events += [(nodes.index(node), TimerFired(token))] if node in nodes else []
        while events:
            index, event = events.pop(0)
            for action in nodes[index].handle(now_ms, event):
                if isinstance(action, SendToPeer):
                    peers = [n for n in range(3) if n != index and action.peer_index in (None, n)]
                    message = PeerMessageReceived(index, action.data)
                    events += [(peer, message) for peer in peers if rng.random() < 0.9]
                elif isinstance(action, StartAttempt):
                    gossip = nodes[index].load_gossip
                    assert gossip is not None
                    known = gossip.instances(now_ms, action.request_id % 12)
                    known_at_start.append((step, known.get(action.worker_id)))
                    ended = AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 50.0, True)
                    events.append((index, ended))
                    answers[action.request_id] = answers.get(action.request_id, 0) + 1
                elif isinstance(action, (RejectRequest, FailRequest)):
                    answers[action.request_id] = answers.get(action.request_id, 0) + 1
                elif isinstance(action, SetTimer):
                    timers.append((action.at_ms, nodes[index], action.token))
    assert answers == dict.fromkeys(set(range(1, request_id + 1)) - lost, 1)
    assert len(lost) < 6
    was_known_warm = [
        load is not None and load.warm_age_ms is not None
        for step, load in known_at_start
        if step in range(560, 700)
    ]
    assert sum(was_known_warm) > 0.5 * len(was_known_warm), "the second knew the others' instances soon"


def test_without_permission_to_gossip_nothing_is_sent_or_merged() -> None:
    (node, _) = node_pair(limits=QUIET)
    actions = send_request(node, 7, 1, 100.0)
    update = codec.LoadUpdate(1, 1, True, (codec.WorkerUpdate(1, 9),))
    actions += node.handle(120.0, PeerMessageReceived(1, codec.encode(update)))
    actions += node.handle(200.0, AttemptEnded(1, 0, sends(actions)[0], Outcome.OK, 90.0, True))
    assert node.load_gossip is None
    assert not any(isinstance(action, (SendToPeer, CheckHealth)) for action in actions)
    assert all(record.peers_in_flight == 0.0 for record in node.router.workers.values())


def test_settings_that_forbid_gossip_end_it() -> None:
    first, second = node_pair()
    actions = send_request(first, 7, 1, 100.0) + first.handle(150.0, TimerFired(0))
    for datagram in [action for action in actions if isinstance(action, SendToPeer)]:
        second.handle(155.0, PeerMessageReceived(0, datagram.data))
    assert any(record.peers_in_flight for record in second.router.workers.values())
    second.update_settings(settings(router_index=1, limits=QUIET))
    assert not any(record.peers_in_flight for record in second.router.workers.values())
    assert not any(isinstance(action, SendToPeer) for action in send_request(second, 8, 2, 200.0))


@pytest.mark.parametrize("change", ["gone", "anew", "missing"])
def test_instances_of_a_worker_that_was_removed_or_restarted_are_forgotten(change: str) -> None:
    node = RoutingNode(settings(), seed=1)
    listed = tuple(worker(n, started=10.0) for n in (1, 2))
    node.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    gossip = node.load_gossip
    assert gossip is not None
    gossip.on_attempt_sent(1, 7)
    gossip.on_attempt_ended(50.0, 1, 7, is_loaded=True)
    instance = codec.InstanceUpdate(codec.fold_function_id(7), 0, 0.0)
    update = codec.LoadUpdate(9, 1, False, (codec.WorkerUpdate(1, 0, (instance,)),))
    node.handle(60.0, PeerMessageReceived(1, codec.encode(update)))
    assert gossip.instances(70.0, 7)[1].warm_age_ms is not None
    changed = {
        "gone": (worker(1, EndpointState.REMOVED),),
        "anew": (worker(1, started=80.0),),
        "missing": (listed[1],),
    }
    kind = EndpointUpdateKind.SNAPSHOT if change == "missing" else EndpointUpdateKind.DELTA
    node.handle(90.0, EndpointUpdate(kind, 2, changed[change]))
    assert node.load_gossip is gossip
    assert not gossip.instances(100.0, 7)
    assert not any(instance.warm_at_ms for instance in gossip.local.instances.values())


def test_new_settings_change_what_is_derived_from_them() -> None:
    node = RoutingNode(settings(), seed=1)
    gossip = node.load_gossip
    assert gossip is not None
    admission, selector = node.router.admission, node.router.selector
    objective_before = admission.mean_objective_ms
    homes_before, bytes_before = selector.homes_per_worker, gossip.budget.bytes_per_call
    prices = dataclasses.replace(PRICES, peer_message=0.02, idle_memory=0.2)
    classes = tuple(
        dataclasses.replace(request_class, latency_objective_ms=2.0 * request_class.latency_objective_ms)
        for request_class in settings().classes
    )
    node.update_settings(settings(prices=prices, classes=classes, keep_alive_ms=3000.0))
    assert admission.mean_objective_ms == 2.0 * objective_before
    assert selector.homes_per_worker < homes_before
    assert node.load_gossip is gossip
    assert gossip.budget.bytes_per_call == 0.5 * bytes_before
    assert gossip.keep_alive_ms == 3000.0


def test_datagrams_pass_between_sockets_and_unknown_senders_are_dropped() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        received: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        any_port = ("127.0.0.1", 0)
        first, second = (
            PeerTransport(
                PeerAddresses(any_port, (), None), lambda index, data: received.put_nowait((index, data))
            )
            for _ in range(2)
        )
        for transport in (first, second):
            await transport.start()
        addresses = [
            transport._transport.get_extra_info("sockname")  # type: ignore[union-attr]
            for transport in (first, second)
        ]
        for transport in (first, second):
            transport.addresses = PeerAddresses(any_port, tuple(addresses), None)
            transport._peer_index_by_address = {address: index for index, address in enumerate(addresses)}
        stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=addresses[1])
        stranger.sendto(b"x")
        first.send(b"y" * 257, 1)
        first.send(b"z", 5)
        first.send(b"hello", 1)
        assert await received.get() == (0, b"hello")
        assert first.unsent_count == 2
        first.send(b"all", None)
        assert {await received.get(), await received.get()} == {(0, b"all")}
        assert second.unknown_sender_count == 1
        stranger.close()
        first.stop()
        second.stop()

    asyncio.run(play())


def test_a_router_that_restarts_with_the_same_seed_is_believed_at_once() -> None:
    sender_settings = settings(router_count=2, router_index=1)
    receiver = make_gossip(0, 2)
    for incarnation in (7, 8):
        sender = LoadGossip(sender_settings, 9, incarnation)
        sender.has_started = True
        for _ in range(10 - incarnation):  # the first incarnation sent more
            sender.on_attempt_sent(4, 42)
            now_ms = 1000.0 * incarnation
            for datagram in sender.collect_due_datagrams(now_ms + 100.0 * sender.sequence_number):
                receiver.on_message(now_ms, 1, datagram.data)
    assert receiver.in_flight_of_peers(8000.0, 4) == 2.0
