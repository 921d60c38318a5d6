"""What routers tell each other: the form, both sides of the talk, and what the decisions make of it."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from cedarthread.components.node import RoutingNode
from cedarthread.gossip import codec as form
from cedarthread.gossip import load_gossip as talking
from cedarthread.gossip.load_gossip import LoadGossip
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
from cedarthread.protocols.peers import PeerAddresses, PeerTransport
from tests.helpers import LIMITS, PRICES, sends, settings, worker

QUIET = dataclasses.replace(LIMITS, allows_gossip=False)


def talk(me: int, gateways: int = 3, price: float = 0.01, seed: int = 5) -> LoadGossip:
    told = settings(
        router_count=gateways, router_index=me, prices=dataclasses.replace(PRICES, peer_message=price)
    )
    return LoadGossip(told, seed + me)


def pass_on(a: LoadGossip, b: LoadGossip, now: float) -> None:
    for tell in a.collect_due_datagrams(now):
        b.on_message(now + 5.0, a.router_index, tell.data)


def heard(one: LoadGossip, now: float, sender: int, data: bytes) -> dict[int, float]:
    """What a datagram changes."""
    one.changed_workers.clear()
    one.on_message(now, sender, data)
    return one.changed_workers


@pytest.mark.parametrize("seed", range(4))
def test_a_datagram_reads_as_it_was_written_and_garbage_is_a_value(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(300):
        workers = tuple(
            form.WorkerUpdate(
                rng.getrandbits(32),
                rng.randrange(256),
                tuple(
                    form.InstanceUpdate(
                        rng.getrandbits(32),
                        rng.randrange(256),
                        rng.choice([None, 100.0 * rng.randrange(255)]),
                    )
                    for _ in range(rng.randrange(8))
                ),
            )
            for _ in range(rng.randrange(4))
        )
        news = form.LoadUpdate(rng.getrandbits(32), rng.getrandbits(32), rng.random() < 0.5, workers)
        data = form.encode(news)
        assert form.decode(data) == news and len(data) <= form.MAX_DATAGRAM_BYTES
        cut = data[: rng.randrange(len(data))]
        assert isinstance(form.decode(cut), (form.LoadUpdate, form.MalformedDatagram))
        form.decode(rng.randbytes(rng.randrange(300)))


@pytest.mark.parametrize("data", [b"", b"\0" * 257, b"\0" * 10, bytes((form.MESSAGE_TYPE,)) + b"\0" * 11])
def test_what_is_no_datagram_is_counted_and_changes_nothing(data: bytes) -> None:
    one = talk(0)
    assert heard(one, 0.0, 1, data) == {} and one.malformed_datagrams == 1
    assert heard(one, 0.0, 7, b"") == {} and heard(one, 0.0, 0, b"") == {} and one.unknown_senders == 2


def test_nothing_longer_than_may_be_sent_is_made() -> None:
    copies = tuple(form.InstanceUpdate(n, 1, None) for n in range(50))
    with pytest.raises(ValueError):
        form.encode(form.LoadUpdate(1, 1, False, (form.WorkerUpdate(1, 1, copies),)))
    one = talk(0, price=0.0)
    for number in range(2000):
        one.on_attempt_sent(number % 40, number)
    assert (
        max(
            len(tell.data)
            for _ in range(50)
            for tell in one.collect_due_datagrams(talking.MIN_SEND_INTERVAL_MS * _)
        )
        <= form.MAX_DATAGRAM_BYTES
    )


@pytest.mark.parametrize("seed", range(5))
def test_lost_doubled_and_late_datagrams_do_no_harm(seed: int) -> None:
    """Events told once would leave wrong counts for good."""
    rng, a, b = random.Random(seed), talk(0, price=0.0), talk(1, price=0.0)
    out: list[tuple[int, int]] = []
    on_the_way: list[bytes] = []
    now = 0.0
    for _ in range(600):
        now += 10.0
        if rng.random() < 0.5 or not out:
            out.append((rng.randrange(5), rng.randrange(20)))
            a.on_attempt_sent(*out[-1])
        else:
            a.on_attempt_ended(now, *out.pop(rng.randrange(len(out))), rng.choice([True, None]))
        for tell in a.collect_due_datagrams(now):
            on_the_way += [tell.data] * rng.choice([0, 0, 1, 1, 2])
        rng.shuffle(on_the_way)
        for _ in range(rng.randrange(3)):
            if on_the_way:
                b.on_message(now, 0, on_the_way.pop())
    for _ in range(60):  # from here on all arrives
        now += 50.0
        pass_on(a, b, now)
    b.on_tick(now)
    for at in range(5):
        assert b.in_flight_of_peers(now, at) == sum(one == at for one, _ in out)
        for function in range(20):
            copy = b.instances(now, function).get(at)
            assert (copy.in_flight if copy else 0) == out.count((at, function))


def test_a_peer_that_lies_is_believed_within_bounds() -> None:
    one = talk(0)
    lie = form.LoadUpdate(
        9, 1, False, (form.WorkerUpdate(4, 255, (form.InstanceUpdate(form.fold_function_id(7), 255, 0.0),)),)
    )
    assert heard(one, 1000.0, 1, form.encode(lie)) == {4: talking.MAX_IN_FLIGHT_PER_PEER}
    assert one.instances(1000.0, 7)[4].warm_age_ms == 0.0
    one.on_attempt_sent(4, 7)
    one.on_attempt_ended(1100.0, 4, 7, False)  # it was not there
    assert 4 not in one.instances(1100.0, 7)
    assert one.in_flight_of_peers(1000.0 + talking.IN_FLIGHT_EXPIRY_MS + 1.0, 4) == 0.0


def test_a_life_that_is_past_does_not_speak_again() -> None:
    one = talk(0)
    old = form.encode(form.LoadUpdate(1, 50, False, (form.WorkerUpdate(4, 9),)))
    assert heard(one, 0.0, 1, old) == {4: 9.0}
    assert heard(one, 1.0, 1, form.encode(form.LoadUpdate(2, 1, True, ()))) == {}
    assert one.in_flight_of_peers(1.0, 4) == 0.0, "what it had out went with it"
    assert heard(one, 2.0, 1, old) == {} and one.in_flight_of_peers(2.0, 4) == 0.0


def test_a_router_that_starts_asks_and_is_told_what_stands_warm() -> None:
    old, new = talk(0), talk(1)
    for number in range(30):
        old.on_attempt_sent(number % 4, number)
        old.on_attempt_ended(1000.0, number % 4, number, True)
    old.collect_due_datagrams(1000.0)
    old.collect_due_datagrams(2000.0)
    (ask,) = new.collect_due_datagrams(3000.0)
    old.on_message(3005.0, 1, ask.data)
    answer = old.collect_due_datagrams(3010.0)
    assert answer and all(tell.peer_index == 1 for tell in answer)
    for tell in answer:
        new.on_message(3015.0, 0, tell.data)
    assert all(new.instances(3015.0, number)[number % 4].warm_age_ms for number in range(30))
    old.on_message(3020.0, 1, ask.data)
    assert old.collect_due_datagrams(3100.0) == [], "asked twice, answered once"


@pytest.mark.parametrize("gateways", [3, 50, 400])
def test_what_telling_costs_does_not_grow_with_the_fleet(gateways: int) -> None:
    one, spent, calls, now = talk(0, gateways, price=0.01), 0.0, 3000, 0.0
    for number in range(calls):
        now += 20.0
        one.on_first_attempt()
        one.on_attempt_sent(number % 50, number % 200)
        one.on_attempt_ended(now, number % 50, number % 200, True)
        for tell in one.collect_due_datagrams(now):
            spent += len(tell.data) * (
                min(gateways - 1, talking.MAX_FANOUT) if tell.peer_index is None else 1
            )
    start = talking.BURST_DATAGRAMS * form.MAX_DATAGRAM_BYTES * talking.MAX_FANOUT
    budget = calls * talking.GOSSIP_COST_PER_CALL / 0.01 * form.MAX_DATAGRAM_BYTES
    assert 0.1 * budget < spent <= budget + start


def drive(decisions: RoutingNode, function: int, request: int, now: float) -> list[Action]:
    return decisions.handle(now, RequestArrived(request, function, 0, now + 3000.0))


def pair(**changes: object) -> list[RoutingNode]:
    both = [RoutingNode(settings(router_index=n, **changes), seed=n + 1) for n in range(2)]
    listed = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 9)))
    for one in both:
        one.handle(0.0, listed)
    return both


def test_a_copy_that_another_router_found_draws_the_calls() -> None:
    a, b = pair()
    assert a.load_gossip is not None
    for function in range(20):
        now = 100.0 * (function + 1)
        stands = 1 + function % 8  # where no router would guess it, but by chance
        a.load_gossip.on_attempt_sent(stands, function)
        a.load_gossip.on_attempt_ended(now, stands, function, True)
        for tell in a.load_gossip.collect_due_datagrams(now):
            b.handle(now + 5.0, PeerMessageReceived(0, tell.data))
        if function:  # the first datagram asks
            assert sends(drive(b, function, function, now + 10.0)) == [stands]
            b.handle(now + 60.0, AttemptEnded(function, 0, stands, Outcome.OK, 50.0, True))


@pytest.mark.parametrize("seed", range(3))
def test_routers_that_all_restart_within_seconds_answer_each_call_once_and_start_warm(seed: int) -> None:
    rng, now, number = random.Random(seed), 0.0, 0
    listed = EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 9)))

    def start(me: int) -> RoutingNode:
        one = RoutingNode(settings(router_index=me, router_count=3), seed=rng.getrandbits(32))
        one.handle(now, listed)
        return one

    fleet, answers, warm = [start(me) for me in range(3)], dict[int, int](), []
    lost: set[int] = set()
    timers: list[tuple[float, RoutingNode, int]] = []
    for step in range(1000):
        now += 10.0
        if step in (400, 550, 700):  # one after the other, with nothing but its list
            me = (step - 400) // 150
            lost |= set(fleet[me].router.pending_requests)  # what a killed process had goes with it
            fleet[me] = start(me)
        events: list[tuple[int, Event]] = []
        if step < 900:
            number += 1
            events += [
                (rng.randrange(3), RequestArrived(number, number % 12, 0, now + 3000.0, load_time_ms=400.0))
            ]
        for at, one, token in [timer for timer in timers if timer[0] <= now]:
            timers.remove((at, one, token))
            events += [(fleet.index(one), TimerFired(token))] if one in fleet else []
        while events:
            me, event = events.pop(0)
            for action in fleet[me].handle(now, event):
                if isinstance(action, SendToPeer):
                    others = [n for n in range(3) if n != me and action.peer_index in (None, n)]
                    events += [
                        (n, PeerMessageReceived(me, action.data)) for n in others if rng.random() < 0.9
                    ]
                elif isinstance(action, StartAttempt):
                    gossip = fleet[me].load_gossip
                    assert gossip is not None
                    known = gossip.instances(now, action.request_id % 12)
                    warm.append((step, known.get(action.worker_id)))
                    done = AttemptEnded(action.request_id, 0, action.worker_id, Outcome.OK, 50.0, True)
                    events.append((me, done))
                    answers[action.request_id] = answers.get(action.request_id, 0) + 1
                elif isinstance(action, (RejectRequest, FailRequest)):
                    answers[action.request_id] = answers.get(action.request_id, 0) + 1
                elif isinstance(action, SetTimer):
                    timers.append((action.at_ms, fleet[me], action.token))
    assert answers == dict.fromkeys(set(range(1, number + 1)) - lost, 1) and len(lost) < 6
    late = [
        copy is not None and copy.warm_age_ms is not None for step, copy in warm if step in range(560, 700)
    ]
    assert sum(late) > 0.5 * len(late), "the second went by what the others told, soon after its start"


def test_where_talk_is_forbidden_nothing_is_told_or_heard() -> None:
    (one, _) = pair(limits=QUIET)
    actions = drive(one, 7, 1, 100.0)
    actions += one.handle(
        120.0, PeerMessageReceived(1, form.encode(form.LoadUpdate(1, 1, True, (form.WorkerUpdate(1, 9),))))
    )
    actions += one.handle(200.0, AttemptEnded(1, 0, sends(actions)[0], Outcome.OK, 90.0, True))
    assert one.load_gossip is None and not any(
        isinstance(action, (SendToPeer, CheckHealth)) for action in actions
    )
    assert all(view.peers_in_flight == 0.0 for view in one.router.workers.values())


def test_settings_that_forbid_talk_end_it() -> None:
    a, b = pair()
    told = drive(a, 7, 1, 100.0) + a.handle(150.0, TimerFired(0))
    for tell in [action for action in told if isinstance(action, SendToPeer)]:
        b.handle(155.0, PeerMessageReceived(0, tell.data))
    assert any(view.peers_in_flight for view in b.router.workers.values())
    b.update_settings(settings(router_index=1, limits=QUIET))
    assert not any(view.peers_in_flight for view in b.router.workers.values())
    assert not any(isinstance(action, SendToPeer) for action in drive(b, 8, 2, 200.0))


@pytest.mark.parametrize("news", ["gone", "anew", "missing"])
def test_what_stood_at_a_worker_that_went_or_started_anew_is_not_told(news: str) -> None:
    one = RoutingNode(settings(), seed=1)
    listed = tuple(worker(n, started=10.0) for n in (1, 2))
    one.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    assert one.load_gossip is not None
    one.load_gossip.on_attempt_sent(1, 7)
    one.load_gossip.on_attempt_ended(50.0, 1, 7, True)
    told = form.LoadUpdate(
        9, 1, False, (form.WorkerUpdate(1, 0, (form.InstanceUpdate(form.fold_function_id(7), 0, 0.0),)),)
    )
    one.handle(60.0, PeerMessageReceived(1, form.encode(told)))
    assert one.load_gossip.instances(70.0, 7)[1].warm_age_ms is not None
    changed = {
        "gone": (worker(1, EndpointState.REMOVED),),
        "anew": (worker(1, started=80.0),),
        "missing": (listed[1],),
    }
    kind = EndpointUpdateKind.SNAPSHOT if news == "missing" else EndpointUpdateKind.DELTA
    one.handle(90.0, EndpointUpdate(kind, 2, changed[news]))
    assert not one.load_gossip.instances(100.0, 7) and not any(
        place.warm_at_ms for place in one.load_gossip.local_instances.values()
    )


def test_new_settings_change_what_hangs_on_them() -> None:
    one = RoutingNode(settings(), seed=1)
    assert one.load_gossip is not None
    admission, selector = one.router.admission, one.router.selector
    before = admission.mean_objective_ms, selector.homes_per_worker, one.load_gossip.bytes_per_call
    prices = dataclasses.replace(PRICES, peer_message=0.02, idle_memory=0.2)
    classes = tuple(
        dataclasses.replace(klass, latency_objective_ms=2.0 * klass.latency_objective_ms)
        for klass in settings().classes
    )
    one.update_settings(settings(prices=prices, classes=classes, keep_alive_ms=3000.0))
    assert admission.mean_objective_ms == 2.0 * before[0] and selector.homes_per_worker < before[1]
    assert one.load_gossip.bytes_per_call == 0.5 * before[2] and one.load_gossip.keep_alive_ms == 3000.0


def test_datagrams_pass_between_sockets_and_strangers_are_dropped() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        here = ("127.0.0.1", 0)
        a, b = (
            PeerTransport(PeerAddresses(here, (), None), lambda n, data: heard.put_nowait((n, data)))
            for _ in "ab"
        )
        for one in (a, b):
            await one.start()
        at = [one._transport.get_extra_info("sockname") for one in (a, b)]  # type: ignore[union-attr]
        for one in (a, b):
            one.addresses = PeerAddresses(here, tuple(at), None)
            one._peer_index_by_address = {address: number for number, address in enumerate(at)}
        stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=at[1])
        stranger.sendto(b"x")
        a.send(b"y" * 257, 1)
        a.send(b"z", 5)
        a.send(b"hello", 1)
        assert await heard.get() == (0, b"hello") and a.unsent_count == 2
        a.send(b"all", None)
        assert {await heard.get(), await heard.get()} == {(0, b"all")}
        assert b.unknown_sender_count == 1
        stranger.close()
        a.stop()
        b.stop()

    asyncio.run(play())


def test_a_router_that_starts_anew_with_the_same_seed_is_believed_at_once() -> None:
    told = settings(router_count=2, router_index=1)
    hears = talk(0, 2)
    for life in (7, 8):
        speaks = LoadGossip(told, 9, life)
        speaks.has_started = True
        for _ in range(10 - life):  # the first life said more
            speaks.on_attempt_sent(4, 42)
            for tell in speaks.collect_due_datagrams(1000.0 * life + 100.0 * speaks.sequence_number):
                hears.on_message(1000.0 * life, 1, tell.data)
    assert hears.in_flight_of_peers(8000.0, 4) == 2.0
