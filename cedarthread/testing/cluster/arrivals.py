"""The calls of a run, generated from its scenario: the same for the cluster and each replayed policy."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cedarthread.testing.cluster.scenario import FaultKind, NodeKind, Scenario
from cedarthread.testing.cluster.scenario_file import tenant_shares


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call as a client submits it."""

    call_id: str
    at_ms: float
    router: int
    function: int
    is_not_idempotent: bool
    service_ms: float
    tenant: str = ""


def generate_arrivals(scenario: Scenario) -> list[Arrival]:
    """Return Poisson arrivals, spread evenly over routers, of functions with popularity by Zipf's law."""
    rng = random.Random(scenario.seed)
    exponent = scenario.popularity_exponent
    weights = [1.0 / (rank + 1) ** exponent for rank in range(scenario.function_count)]
    functions = [rng.getrandbits(63) for _ in weights]
    arrivals: list[Arrival] = []
    tenants = tenant_shares(scenario)
    shares = [*tenants.values(), 1.0 - sum(tenants.values())]
    now_ms = 0.0
    end_ms = 1000.0 * scenario.end_s
    while True:
        calls_per_ms = _burst_factor(scenario, now_ms) * scenario.calls_per_second / 1000.0
        if (now_ms := now_ms + rng.expovariate(calls_per_ms)) >= end_ms:
            return arrivals
        router = rng.randrange(scenario.router_count)
        (function,) = rng.choices(functions, weights)
        hot_share = _hot_share(scenario, now_ms, router)
        if hot_share is not None and rng.random() < hot_share:
            function = functions[-1]
        service_ms = rng.uniform(0.5, 1.5) * scenario.mean_service_ms
        is_not_idempotent = rng.random() < scenario.not_idempotent_share
        tenant = rng.choices((*tenants, ""), shares)[0] if tenants else ""
        call_id = f"{router:04x}{len(arrivals):012x}"
        arrivals.append(Arrival(call_id, now_ms, router, function, is_not_idempotent, service_ms, tenant))


def _burst_factor(scenario: Scenario, now_ms: float) -> float:
    """Return the factor of the call rate at a time; 1 outside bursts."""
    return max(
        (
            fault.amount
            for fault in scenario.faults
            if fault.kind is FaultKind.BURST and fault.is_active(now_ms / 1000.0)
        ),
        default=1.0,
    )


def _hot_share(scenario: Scenario, now_ms: float, router: int) -> float | None:
    """Return the share of a router's calls that go to the hot function; None where no fault makes one hot."""
    for fault in scenario.faults:
        is_hot = fault.kind is FaultKind.HOT_FUNCTION and fault.is_active(now_ms / 1000.0)
        if is_hot and fault.targets.includes(NodeKind.ROUTER, router):
            return fault.amount
    return None
