"""Calls that wait in the router for a copy, where the others are heard."""

from __future__ import annotations

import dataclasses

from cedarthread.gossip import codec as form
from cedarthread.model.actions import Action, RejectRequest
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.instance_load import InstanceLoad
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.node.routing_node import RoutingNode
from cedarthread.routing.instance_queue import (
    MAX_BUSY_WAIT_FRACTION,
    MAX_LOADING_WAIT_FRACTION,
    InstanceQueue,
    WaitTimes,
)
from tests.helpers import LIMITS, finals, sends, settings, worker

NOW = WaitTimes(0.0, 50.0, 1000.0)


def test_a_call_waits_for_a_busy_instance_but_not_for_long_nor_behind_many() -> None:
    queue = InstanceQueue()
    queue.on_response(4, was_cold=True)
    free, taken = {4: InstanceLoad(0, None)}, {4: InstanceLoad(1, None)}
    assert not queue.should_wait(1, 4, True, free, concurrency=1.0, times=NOW)
    assert queue.should_wait(1, 4, True, taken, concurrency=1.0, times=NOW)
    assert not queue.should_wait(2, 4, True, taken, concurrency=2.0, times=NOW), "a second lane is free"
    assert not queue.should_wait(
        1, 4, True, taken, concurrency=1.0, times=WaitTimes(MAX_BUSY_WAIT_FRACTION * 1000.0, 50.0, 1000.0)
    )
    assert not queue.waiting_requests
    places = [queue.should_wait(n, 4, True, taken, concurrency=1.0, times=NOW) for n in range(20)]
    assert places == [True] * 5 + [False] * 15, "what is ahead would take as long as a load"
    queue.on_response(4, was_cold=True)
    assert not queue.should_wait(30, 4, True, taken, concurrency=1.0, times=NOW), (
        "two copies, one call on them"
    )


def test_a_call_waits_while_its_function_loads_anywhere() -> None:
    """Each call that came while the store was slow once began a load at one more worker."""
    queue = InstanceQueue()
    loading = {9: InstanceLoad(1, None)}
    assert queue.should_wait(
        1, 4, False, loading, concurrency=1.0, times=WaitTimes(MAX_BUSY_WAIT_FRACTION * 1500.0, 50.0, 1000.0)
    )
    assert not queue.should_wait(
        1,
        4,
        False,
        loading,
        concurrency=1.0,
        times=WaitTimes(MAX_LOADING_WAIT_FRACTION * 1000.0, 50.0, 1000.0),
    )
    assert not queue.should_wait(1, 4, False, {}, concurrency=1.0, times=NOW)
    assert not queue.should_wait(1, 4, False, {9: InstanceLoad(0, 1.0)}, concurrency=1.0, times=NOW)


def heard(*, peers: bool = True) -> RoutingNode:
    one = RoutingNode(settings(limits=dataclasses.replace(LIMITS, allows_gossip=peers)), seed=3)
    one.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 9))))
    one.handle(1.0, PeerMessageReceived(1, form.encode(form.LoadUpdate(5, 1, False, ()))))
    return one


def ask(one: RoutingNode, request: int, now_ms: float) -> list[Action]:
    return one.handle(
        now_ms, RequestArrived(request, 7, 0, now_ms + 3000.0, concurrency=1.0, load_time_ms=2000.0)
    )


def test_one_cold_start_serves_the_calls_that_come_while_it_lasts() -> None:
    one = heard()
    (at,) = sends(ask(one, 1, 10.0))
    assert not any(sends(ask(one, 2 + n, 20.0)) for n in range(2))
    one.router.functions[7].instance_queue.waiting_requests[99] = (
        None  # one that is not held any more is passed over
    )
    out = one.handle(400.0, AttemptEnded(1, 0, at, Outcome.OK, 390.0, True, StartKind.COLD, 0))
    assert sends(out) == [at, at]
    assert len(one.router.pending_requests) == 2


def test_without_gossip_no_call_waits() -> None:
    one = heard(peers=False)
    assert sends(ask(one, 1, 10.0))
    assert sends(ask(one, 2, 20.0))
    deaf = heard()
    assert sends(ask(deaf, 1, 60_000.0)) and sends(ask(deaf, 2, 60_010.0)), "the other is silent since long"


def test_what_waits_is_answered_when_its_instance_never_comes() -> None:
    """It is told so by half of its time: never held to the end."""
    one = heard()
    (at,) = sends(ask(one, 1, 10.0))
    assert not sends(ask(one, 2, 20.0))
    assert 2 in one.router.queued_requests
    actions: list[Action] = []
    now_ms = 20.0
    while now_ms < 1600.0:
        now_ms += 50.0
        one.handle(
            now_ms, PeerMessageReceived(1, form.encode(form.LoadUpdate(5, 1 + int(now_ms), False, ())))
        )
        timer = TimerFired(one.router.state.timers.token)
        actions += one.handle(now_ms, timer)
    (end,) = finals(actions)
    assert isinstance(end, RejectRequest)
    assert end.request_id == 2
    assert end.retry_after_ms
    assert at
    assert not one.router.queued_requests
    assert not one.router.functions[7].instance_queue.waiting_requests
