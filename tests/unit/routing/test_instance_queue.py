"""The queue of calls that wait for a busy or loading instance, in isolation and in a router with gossip."""

from __future__ import annotations

import dataclasses

from cedarthread.gossip import codec
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
from tests.helpers import LIMITS, attempted_worker_ids, final_failures, settings, worker

FUNCTION_ID = 7
WORKER_ID = 4
SERVICE_MS = 50.0
LOAD_MS = 1000.0
NOT_WAITED = WaitTimes(0.0, SERVICE_MS, LOAD_MS)
IDLE = {WORKER_ID: InstanceLoad(0, None)}
BUSY = {WORKER_ID: InstanceLoad(1, None)}


def should_wait(
    queue: InstanceQueue,
    request_id: int,
    instances: dict[int, InstanceLoad],
    *,
    is_warm: bool = True,
    concurrency: float = 1.0,
    times: WaitTimes = NOT_WAITED,
) -> bool:
    return queue.should_wait(
        request_id, WORKER_ID, instances, is_warm=is_warm, concurrency=concurrency, times=times
    )


def test_a_call_waits_for_a_busy_instance_within_limits_of_time_and_queue_length() -> None:
    queue = InstanceQueue()
    queue.on_response(WORKER_ID, was_cold=True)
    assert not should_wait(queue, 1, IDLE)
    assert should_wait(queue, 1, BUSY)
    assert not should_wait(queue, 2, BUSY, concurrency=2.0), "the instance serves a second call"
    waited_long = WaitTimes(MAX_BUSY_WAIT_FRACTION * LOAD_MS, SERVICE_MS, LOAD_MS)
    assert not should_wait(queue, 1, BUSY, times=waited_long)
    assert not queue.waiting_requests
    decisions = [should_wait(queue, request_id, BUSY) for request_id in range(20)]
    assert decisions == [True] * 5 + [False] * 15, "the calls ahead would last as long as a load"
    queue.on_response(WORKER_ID, was_cold=True)
    assert not should_wait(queue, 30, BUSY), "two instances, one call in flight"


def test_a_call_waits_while_its_function_loads_at_any_worker() -> None:
    """Otherwise each call that arrives while the package store is slow starts a load at one more worker."""
    queue = InstanceQueue()
    loading_elsewhere = {9: InstanceLoad(1, None)}
    warm_elsewhere = {9: InstanceLoad(0, 1.0)}
    past_busy_limit = WaitTimes(MAX_BUSY_WAIT_FRACTION * 1500.0, SERVICE_MS, LOAD_MS)
    past_loading_limit = WaitTimes(MAX_LOADING_WAIT_FRACTION * LOAD_MS, SERVICE_MS, LOAD_MS)
    assert should_wait(queue, 1, loading_elsewhere, is_warm=False, times=past_busy_limit)
    assert not should_wait(queue, 1, loading_elsewhere, is_warm=False, times=past_loading_limit)
    assert not should_wait(queue, 1, {}, is_warm=False)
    assert not should_wait(queue, 1, warm_elsewhere, is_warm=False)


def node_with_gossip_of_a_peer(*, allows_gossip: bool = True) -> RoutingNode:
    """Return a node with eight workers that has just received gossip from the only other router."""
    node = RoutingNode(settings(limits=dataclasses.replace(LIMITS, allows_gossip=allows_gossip)), seed=3)
    endpoints = tuple(worker(worker_id) for worker_id in range(1, 9))
    node.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
    node.handle(1.0, PeerMessageReceived(1, codec.encode(codec.LoadUpdate(5, 1, False, ()))))
    return node


def send_request(node: RoutingNode, request_id: int, now_ms: float) -> list[Action]:
    """Send a call of the function to the node and return the actions of the node."""
    request = RequestArrived(
        request_id, FUNCTION_ID, 0, now_ms + 3000.0, concurrency=1.0, load_time_ms=2000.0
    )
    return node.handle(now_ms, request)


def test_one_cold_start_serves_the_calls_that_arrive_during_the_load() -> None:
    node = node_with_gossip_of_a_peer()
    (worker_id,) = attempted_worker_ids(send_request(node, 1, 10.0))
    assert not any(attempted_worker_ids(send_request(node, request_id, 20.0)) for request_id in (2, 3))
    closed_request_id = 99
    node.router.functions[FUNCTION_ID].instance_queue.waiting_requests[closed_request_id] = None
    cold_response = AttemptEnded(1, 0, worker_id, Outcome.OK, 390.0, True, StartKind.COLD, 0)
    actions = node.handle(400.0, cold_response)
    assert attempted_worker_ids(actions) == [worker_id, worker_id]
    assert len(node.router.pending_requests) == 2


def test_without_recent_gossip_no_call_waits() -> None:
    without_gossip = node_with_gossip_of_a_peer(allows_gossip=False)
    assert attempted_worker_ids(send_request(without_gossip, 1, 10.0))
    assert attempted_worker_ids(send_request(without_gossip, 2, 20.0))
    with_old_gossip = node_with_gossip_of_a_peer()
    assert attempted_worker_ids(send_request(with_old_gossip, 1, 60_000.0))
    assert attempted_worker_ids(send_request(with_old_gossip, 2, 60_010.0)), "the peer's gossip is stale"


def test_a_waiting_call_is_rejected_after_half_of_its_time_limit_if_no_instance_loads() -> None:
    node = node_with_gossip_of_a_peer()
    (worker_id,) = attempted_worker_ids(send_request(node, 1, 10.0))
    assert not attempted_worker_ids(send_request(node, 2, 20.0))
    assert 2 in node.router.queued_requests
    actions: list[Action] = []
    now_ms = 20.0
    while now_ms < 1600.0:
        now_ms += 50.0
        gossip = codec.encode(codec.LoadUpdate(5, 1 + int(now_ms), False, ()))
        node.handle(now_ms, PeerMessageReceived(1, gossip))
        actions += node.handle(now_ms, TimerFired(node.router.state.timers.token))
    (final_answer,) = final_failures(actions)
    assert isinstance(final_answer, RejectRequest)
    assert final_answer.request_id == 2
    assert final_answer.retry_after_ms
    assert worker_id
    assert not node.router.queued_requests
    assert not node.router.functions[FUNCTION_ID].instance_queue.waiting_requests
