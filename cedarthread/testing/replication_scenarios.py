"""Scenarios of simulated replicated stores with faults that the rules of docs/design/replication.md cover.

For tests only, never loaded when serving.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

from cedarthread.components.notifications import PeersChanged
from cedarthread.testing.replication_simulation import Link, StoreSimulation

if TYPE_CHECKING:
    from collections.abc import Iterator


def simulate_chaos(seed: int, router_count: int = 5, action_count: int = 40) -> StoreSimulation:
    """Run random edits and faults; at most one router at a time is not a voter.

    The clocks run as fast and as slow as the store allows for.
    """
    simulation = StoreSimulation(router_count, seed, period_ms=100.0, window_ms=2000.0, clock_rate=0.05)
    simulation.loss_rate = 0.1
    simulation.late_rate = 0.15
    simulation.duplication_rate = 0.3
    rng = random.Random(seed)
    for action_index in range(action_count):
        action = rng.choice(("edit", "edit", "cut", "cut", "heal", "start", "pause", "resume"))
        router = rng.randrange(router_count)
        if action == "edit" and router not in simulation.paused:
            simulation.propose(router, f"tenant {rng.randrange(4)}", b"%d" % action_index)
        elif action == "cut":
            simulation.cut_links = random_partition(rng, router_count)
        elif action == "heal":
            simulation.cut_links.clear()
        elif action == "start" and all(store.is_voter for store in simulation.stores.values()):
            simulation.start(router)
        elif action == "pause" and not simulation.paused:
            simulation.paused[router] = []
        elif action == "resume":
            for paused in list(simulation.paused):
                simulation.resume(paused)
        simulation.run(rng.uniform(200, 3000))
    return simulation


def random_partition(rng: random.Random, router_count: int) -> set[Link]:
    """Return the links between the two sides of a random partition, in both directions or in one."""
    side = {router for router in range(router_count) if rng.random() < 0.5}
    is_symmetric = rng.random() < 0.5
    links = itertools.starmap(Link, itertools.product(range(router_count), repeat=2))
    return {
        link
        for link in links
        if (link.sender in side) != (link.receiver in side) and (is_symmetric or link.sender in side)
    }


def connect_only(simulation: StoreSimulation, *groups: set[int]) -> None:
    """Connect each router only to the other routers of its groups, and report only these to it as alive."""
    for sender, receiver in itertools.product(range(simulation.router_count), repeat=2):
        is_connected = any({sender, receiver} <= group for group in groups)
        change_link = simulation.cut_links.discard if is_connected else simulation.cut_links.add
        change_link(Link(sender, receiver))
    for router, store in simulation.stores.items():
        alive = {peer for group in groups if router in group for peer in group if peer != router}
        notification = PeersChanged(tuple(sorted(alive)), simulation.router_count, {})
        store.on_notification(simulation.local_now_ms(router), notification)


def simulate_lost_entry() -> StoreSimulation:
    """Restart a holder of an entry without memory; the holder then reads routers that never had the entry."""
    simulation = StoreSimulation(5, 1, period_ms=100.0, window_ms=4000.0)
    connect_only(simulation, {0, 2}, {1, 3, 4})
    simulation.propose(0, "x", b"settled")
    simulation.run(1500.0)
    simulation.start(2)
    connect_only(simulation, {1, 2, 3, 4})
    simulation.run(1000.0)
    connect_only(simulation, {0, 1}, {2, 3, 4})
    simulation.run(12_000.0)
    return simulation


def simulate_restart_during_sync() -> StoreSimulation:
    """Restart a router between its sync response and its summary, which an empty incarnation then sends."""
    simulation = StoreSimulation(3, 2, period_ms=100.0, window_ms=4000.0)
    connect_only(simulation, {0, 1})
    simulation.propose(0, "x", b"settled")
    simulation.run(5000.0)  # by then the newest entry is no longer sent without a request
    connect_only(simulation, {1, 2})
    simulation.run(3000.0, lambda: bool(simulation.stores[2].sessions.sessions))
    simulation.start(1)
    simulation.run(12_000.0)
    return simulation


def observed_simulations() -> Iterator[StoreSimulation]:
    """Run the simulations one after the other; in at least one, the observer must find an injected defect."""
    yield simulate_lost_entry()
    yield simulate_restart_during_sync()
    yield from (simulate_chaos(seed) for seed in range(12))
