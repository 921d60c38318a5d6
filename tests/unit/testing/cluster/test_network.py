"""The network of a scenario: which bytes faults lose, delay, duplicate or reorder."""

from __future__ import annotations

from cedarthread.testing.cluster.network import MAX_REORDER_DELAY_MS, Network
from cedarthread.testing.cluster.scenario import Node, NodeKind
from cedarthread.testing.cluster.scenario_file import parse_scenario


def router(number: int) -> Node:
    return Node(NodeKind.ROUTER, number)


def worker(number: int) -> Node:
    return Node(NodeKind.WORKER, number)


def test_the_network_follows_the_timeline_and_its_seed() -> None:
    faults = [
        {"kind": "loss", "at": 1.0, "until": 2.0, "who": "router", "to": "router", "figure": 0.5},
        {"kind": "double", "at": 2.0, "until": 3.0, "who": "router", "to": "router", "figure": 1.0},
        {"kind": "reorder", "at": 3.0, "until": 4.0, "who": "router", "to": "router"},
        {"kind": "cut", "at": 4.0, "until": 5.0, "who": "router:0", "to": "router:1", "one_way": True},
        {"kind": "cut", "at": 4.0, "until": 5.0, "who": "router:2", "to": "runner"},
    ]

    def delays_of_a_datagram_every_10_ms() -> list[list[float]]:
        network = Network(parse_scenario({"fault": faults}).faults, 7)
        return [network.datagram_delays_ms(10.0 * number, router(0), router(1)) for number in range(500)]

    delays_ms = delays_of_a_datagram_every_10_ms()
    assert delays_ms == delays_of_a_datagram_every_10_ms()
    assert all(delays == [0.0] for delays in delays_ms[:100])
    assert 20 < delays_ms[100:200].count([]) < 80
    assert all(delays == [0.0, 0.0] for delays in delays_ms[200:300])
    reordered_ms = [delays[0] for delays in delays_ms[300:400]]
    assert len(set(reordered_ms)) > 90
    assert max(reordered_ms) <= MAX_REORDER_DELAY_MS
    assert all(delays == [] for delays in delays_ms[400:500])
    network = Network(parse_scenario({"fault": faults}).faults, 7)
    assert network.datagram_delays_ms(4500.0, router(1), router(0)) == [0.0], "the partition is one-way"
    assert network.stream_delay_ms(4500.0, worker(3), router(2)) == 500.0, (
        "bytes arrive when the partition ends"
    )
    assert network.stream_delay_ms(5000.0, router(2), worker(3)) == 0.0


def test_a_stall_delays_all_bytes_and_evaluation_draws_no_random_number() -> None:
    faults = [
        {"kind": "stall", "at": 1.0, "until": 2.0, "who": "router:1", "to": "runner:2"},
        {"kind": "loss", "at": 1.0, "until": 2.0, "who": "router:3", "to": "runner", "figure": 0.5},
    ]
    network = Network(parse_scenario({"fault": faults}).faults, 7)
    assert network.stream_delay_ms(1250.0, worker(2), router(1)) == 750.0
    assert network.datagram_delays_ms(1250.0, router(1), worker(2)) == []
    before = network.rng.getstate()
    assert network.is_disturbed(1250.0, router(3), worker(0))
    assert before == network.rng.getstate()
    assert not network.is_disturbed(1250.0, router(4), worker(2))
