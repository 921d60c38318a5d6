"""Gossip in complete routers: effect on placement, removed workers, new settings, and disabled gossip."""

from __future__ import annotations

import dataclasses

import pytest

from cedarthread.gossip.codec import WorkerUpdate
from cedarthread.model.actions import Action, CheckHealth, SendToPeer
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import AttemptEnded, PeerMessageReceived, RequestArrived, TimerFired
from cedarthread.model.outcomes import Outcome
from cedarthread.node.routing_node import RoutingNode
from tests.helpers import PRICES, attempted_worker_ids, settings, worker
from tests.unit.gossip.builders import (
    LIMITS_WITHOUT_GOSSIP,
    encoded_update,
    gossip_of,
    node_pair,
    warm_instance,
)


def send_request(node: RoutingNode, function_id: int, request_id: int, now_ms: float) -> list[Action]:
    return node.handle(now_ms, RequestArrived(request_id, function_id, 0, now_ms + 3000.0))


def test_calls_are_sent_to_an_instance_that_another_router_found_warm() -> None:
    first, second = node_pair()
    gossip = gossip_of(first)
    for function_id in range(20):
        now_ms = 100.0 * (function_id + 1)
        warm_worker = 1 + function_id % 8  # unlikely to be the worker that a router would select by itself
        gossip.on_attempt_sent(warm_worker, function_id)
        gossip.on_attempt_ended(now_ms, warm_worker, function_id, is_loaded=True)
        for datagram in gossip.collect_due_datagrams(now_ms):
            second.handle(now_ms + 5.0, PeerMessageReceived(0, datagram.data))
        if function_id:  # the first datagram only requests the full state
            assert attempted_worker_ids(send_request(second, function_id, function_id, now_ms + 10.0)) == [
                warm_worker
            ]
            second.handle(now_ms + 60.0, AttemptEnded(function_id, 0, warm_worker, Outcome.OK, 50.0, True))


def test_with_gossip_disabled_no_datagram_is_sent_or_merged() -> None:
    (node, _) = node_pair(limits=LIMITS_WITHOUT_GOSSIP)
    actions = send_request(node, 7, 1, 100.0)
    update = encoded_update(1, 1, WorkerUpdate(1, 9), requests_full_state=True)
    actions += node.handle(120.0, PeerMessageReceived(1, update))
    actions += node.handle(
        200.0, AttemptEnded(1, 0, attempted_worker_ids(actions)[0], Outcome.OK, 90.0, True)
    )
    assert node.load_gossip is None
    assert not any(isinstance(action, (SendToPeer, CheckHealth)) for action in actions)
    assert all(record.peers_in_flight == 0.0 for record in node.router.workers.values())


def test_settings_that_disable_gossip_stop_it() -> None:
    first, second = node_pair()
    actions = send_request(first, 7, 1, 100.0) + first.handle(150.0, TimerFired(0))
    for datagram in [action for action in actions if isinstance(action, SendToPeer)]:
        second.handle(155.0, PeerMessageReceived(0, datagram.data))
    assert any(record.peers_in_flight for record in second.router.workers.values())
    second.update_settings(settings(router_index=1, limits=LIMITS_WITHOUT_GOSSIP))
    assert not any(record.peers_in_flight for record in second.router.workers.values())
    assert not any(isinstance(action, SendToPeer) for action in send_request(second, 8, 2, 200.0))


FIRST_WORKER = worker(1, started_at_ms=10.0)
SECOND_WORKER = worker(2, started_at_ms=10.0)


@pytest.mark.parametrize(
    ("kind", "listed"),
    [
        pytest.param(EndpointUpdateKind.DELTA, worker(1, EndpointState.REMOVED), id="removed"),
        pytest.param(EndpointUpdateKind.DELTA, worker(1, started_at_ms=80.0), id="restarted"),
        pytest.param(EndpointUpdateKind.SNAPSHOT, SECOND_WORKER, id="missing"),
    ],
)
def test_instances_of_a_worker_that_was_removed_or_restarted_are_forgotten(
    kind: EndpointUpdateKind, listed: Endpoint
) -> None:
    node = RoutingNode(settings(), seed=1)
    node.handle(0.0, EndpointUpdate(EndpointUpdateKind.CACHED, 1, (FIRST_WORKER, SECOND_WORKER)))
    gossip = gossip_of(node)
    gossip.on_attempt_sent(1, 7)
    gossip.on_attempt_ended(50.0, 1, 7, is_loaded=True)
    update = encoded_update(9, 1, WorkerUpdate(1, 0, (warm_instance(7),)))
    node.handle(60.0, PeerMessageReceived(1, update))
    assert gossip.instances(70.0, 7)[1].warm_age_ms is not None
    node.handle(90.0, EndpointUpdate(kind, 2, (listed,)))
    assert node.load_gossip is gossip
    assert not gossip.instances(100.0, 7)
    assert not any(instance.warm_at_ms for instance in gossip.local.instances.values())


def test_new_settings_change_all_values_derived_from_them() -> None:
    node = RoutingNode(settings(), seed=1)
    gossip = gossip_of(node)
    admission = node.router.admission
    selector = node.router.selector
    objective_before_ms = admission.mean_objective_ms
    homes_before = selector.homes_per_worker
    bytes_before = gossip.budget.bytes_per_call
    prices = dataclasses.replace(PRICES, peer_message=0.02, idle_memory=0.2)
    classes = tuple(
        dataclasses.replace(request_class, latency_objective_ms=2.0 * request_class.latency_objective_ms)
        for request_class in settings().classes
    )
    node.update_settings(settings(prices=prices, classes=classes, instance_keep_alive_ms=3000.0))
    assert admission.mean_objective_ms == 2.0 * objective_before_ms
    assert selector.homes_per_worker < homes_before
    assert node.load_gossip is gossip
    assert gossip.budget.bytes_per_call == 0.5 * bytes_before
    assert gossip.keep_alive_ms == 3000.0
