"""Builders for load gossip components, routers with gossip, and their datagrams."""

from __future__ import annotations

import dataclasses
from typing import Any

from cedarthread.gossip import codec
from cedarthread.gossip.codec import InstanceUpdate, LoadUpdate, WorkerUpdate
from cedarthread.gossip.load_gossip import LoadGossip
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.node.routing_node import RoutingNode
from tests.helpers import LIMITS, PRICES, settings, worker

LIMITS_WITHOUT_GOSSIP = dataclasses.replace(LIMITS, allows_gossip=False)
EIGHT_WORKERS = EndpointUpdate(
    EndpointUpdateKind.CACHED, 1, tuple(worker(worker_id) for worker_id in range(1, 9))
)


def make_gossip(router_index: int, router_count: int = 3, price: float = 0.01, seed: int = 5) -> LoadGossip:
    """Return the gossip component of one router; ``price`` is the price of a datagram, 0: free."""
    prices = dataclasses.replace(PRICES, peer_message=price)
    own_settings = settings(router_count=router_count, router_index=router_index, prices=prices)
    return LoadGossip(own_settings, seed + router_index)


def deliver(sender: LoadGossip, receiver: LoadGossip, now_ms: float) -> None:
    """Deliver the sender's due datagrams to the receiver."""
    for datagram in sender.collect_due_datagrams(now_ms):
        receiver.on_message(now_ms + 5.0, sender.router_index, datagram.data)


def changed_by(gossip: LoadGossip, now_ms: float, sender_index: int, data: bytes) -> dict[int, float]:
    """Return the peers' in-flight calls at each worker that a datagram changes."""
    gossip.changed_workers.clear()
    gossip.on_message(now_ms, sender_index, data)
    return gossip.changed_workers


def encoded_update(
    incarnation: int,
    sequence_number: int,
    *workers: WorkerUpdate,
    requests_full_state: bool = False,
) -> bytes:
    """Return a datagram with the load of these workers."""
    return codec.encode(LoadUpdate(incarnation, sequence_number, requests_full_state, workers))


def warm_instance(function_id: int, in_flight: int = 0) -> InstanceUpdate:
    """Return the report of an instance that the sender has just found warm."""
    return InstanceUpdate(codec.fold_function_id(function_id), in_flight, 0.0)


def node_pair(**changes: Any) -> list[RoutingNode]:
    """Return two routers with the same eight workers; ``changes`` replace settings."""
    nodes = [
        RoutingNode(settings(router_index=router_index, **changes), seed=router_index + 1)
        for router_index in range(2)
    ]
    for node in nodes:
        node.handle(0.0, EIGHT_WORKERS)
    return nodes


def gossip_of(node: RoutingNode) -> LoadGossip:
    """Return the gossip component of a router; fail if there is none."""
    assert node.load_gossip is not None
    return node.load_gossip
