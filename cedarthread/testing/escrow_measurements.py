"""Measurements of the table in docs/design/escrow.md.

``python -m cedarthread.testing.escrow_measurements`` prints the table.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import Any, NamedTuple

from cedarthread.escrow.rate_pool import LEASE_TERM_MS
from cedarthread.testing.escrow_simulation import TICK_INTERVAL_MS, EscrowSimulation

MEASURED_NETWORK: dict[str, Any] = {
    "duplication_rate": 0.02,
    "tail_latency_factor": 1,  # no slower datagrams: all latencies are 1 to 60 ms
    "clock_rate_error": 0.001,
}


class SentDatagrams(NamedTuple):
    """Datagrams that the routers sent in one second."""

    mean: float  # mean number of datagrams per router
    most_by_one_router: int


def zipf_demand(router_count: int, total: int, exponent: float, rng: random.Random) -> list[int]:
    """Return the demand of each router; the k-th greatest is proportional to 1 / k^exponent.

    The order of the routers is random.
    """
    weights = [rank**-exponent for rank in range(1, router_count + 1)]
    rng.shuffle(weights)
    return [int(total * weight / sum(weights)) for weight in weights]


def measure_rate_service(
    router_count: int, seed: int, load: float, loss_rate: float, exponent: float = 1.0
) -> list[float]:
    """Measure how fast the shares of a rate follow skewed demand that appears at one moment.

    Returns:
        The fraction of the rate in use at that moment and after 2, 5, 10 and 20 s; the least fraction in the
        next 10 s; and the bytes that a router sends per second during these 10 s, mean and maximum.
    """
    total = 1_000_000
    network = {**MEASURED_NETWORK, "loss_rate": loss_rate, "check_interval_ms": 1e9}
    simulation = EscrowSimulation(router_count, seed, {"rate": total}, **network)
    demand = zipf_demand(router_count, int(total * load), exponent, random.Random(seed))
    simulation.run(LEASE_TERM_MS * 1.05)

    def fraction_in_use_after(duration_ms: float) -> float:
        for _ in range(int(duration_ms / TICK_INTERVAL_MS)):
            for router in simulation.routers:
                router.escrow.request(router.clock_ms(), "rate", demand[router.router_index])
            simulation.run(TICK_INTERVAL_MS)
        uses = (
            min(demand[router.router_index], router.escrow.available(router.clock_ms(), "rate"))
            for router in simulation.routers
        )
        return sum(uses) / total

    figures = [fraction_in_use_after(ms) for ms in (0.0, 2000.0, 3000.0, 5000.0, 10_000.0)]
    sent_before = dict(simulation.bytes_sent)
    figures.append(min(fraction_in_use_after(TICK_INTERVAL_MS) for _ in range(40)))
    bytes_per_second = [
        (simulation.bytes_sent[index] - sent_before.get(index, 0)) / 10.0 for index in range(router_count)
    ]
    return [*figures, sum(bytes_per_second) / router_count, max(bytes_per_second)]


def measure_count_acquisition(
    router_count: int, seed: int, total: int, requesters: int, loss_rate: float
) -> list[float]:
    """Measure how soon routers without units each consume a unit of a count.

    Returns:
        The times in ms, the shortest first; infinity for each router that consumed no unit within 30 s. There
        are no more times than the count has units.
    """
    network = {**MEASURED_NETWORK, "loss_rate": loss_rate}
    simulation = EscrowSimulation(router_count, seed, {"count": total}, **network)
    simulation.run(1000.0)
    without_units = [
        router for router in simulation.routers if not router.escrow.available(router.clock_ms(), "count")
    ]
    waiting = random.Random(seed).sample(without_units, requesters)
    for router in waiting:
        router.escrow.request(router.clock_ms(), "count", 1)
    started_at_ms = simulation.now_ms
    times_ms: list[float] = []
    while waiting and len(times_ms) < total and simulation.now_ms < started_at_ms + 30_000.0:
        simulation.run(10.0)
        for router in [router for router in waiting if simulation.consume(router, 1)]:
            times_ms.append(simulation.now_ms - started_at_ms)
            waiting.remove(router)
    return times_ms + [math.inf] * (min(requesters, total) - len(times_ms))


def measure_stampede(router_count: int, seed: int, duration_s: int) -> list[SentDatagrams]:
    """Measure the datagrams when all routers request a unit of a count of three, and no router consumes one.

    Returns:
        The datagrams sent in each second: the mean of the routers, and the most by one router.
    """
    network = {**MEASURED_NETWORK, "loss_rate": 0.1}
    simulation = EscrowSimulation(router_count, seed, {"count": 3}, **network)
    for router in simulation.routers:
        router.escrow.request(router.clock_ms(), "count", 1)
    datagrams: list[SentDatagrams] = []
    for _ in range(duration_s):
        simulation.datagrams_sent.clear()
        simulation.run(1000.0)
        most_by_one_router = max(simulation.datagrams_sent.values(), default=0)
        mean = simulation.datagrams_sent.total() / router_count
        datagrams.append(SentDatagrams(mean, most_by_one_router))
    return datagrams


def main() -> None:
    """Measure and print the table."""
    for router_count, load, loss_rate in itertools.product((24, 200), (0.8, 1.0, 1.5), (0.0, 0.1)):
        rows = [measure_rate_service(router_count, seed, load, loss_rate) for seed in range(3)]
        *fractions, mean_bytes, max_bytes = (sum(column) / len(rows) for column in zip(*rows, strict=True))
        served = " ".join(f"{fraction / min(load, 1.0):.3f}" for fraction in fractions)
        setting = f"{router_count} routers, demand {load}, loss {loss_rate}"
        print(f"{setting}: {served}; {mean_bytes:.0f} and {max_bytes:.0f} B/s")
    for router_count, requesters in itertools.product((24, 200), (1, 3)):
        times_ms: list[float] = []
        for seed in range(40):
            times_ms += measure_count_acquisition(router_count, seed, 3, requesters, 0.1)
        times_ms.sort()
        median_ms = times_ms[len(times_ms) // 2]
        percentile_95_ms = times_ms[int(len(times_ms) * 0.95)]
        figures = f"median {median_ms} ms, 95th percentile {percentile_95_ms} ms, maximum {times_ms[-1]} ms"
        print(f"{router_count} routers, {requesters} requesting one of 3 units: {figures}")
    for router_count in (24, 200):
        by_second = ", ".join(f"{mean:.1f} {most}" for mean, most in measure_stampede(router_count, 1, 10))
        print(f"{router_count} routers, all requesting, mean and most datagrams by second: {by_second}")


if __name__ == "__main__":
    main()
