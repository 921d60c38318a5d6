"""A simulated fleet of escrows on one virtual clock, with faults and a check of the units in use.

The check does not read the routers' own accounts. The users of each router use all units that the router
permits at that instant (a rate) or consume units at random (a count), and the check adds up their use in true
time. ``EscrowSimulation`` owns the clock, the network and the routers.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from enum import IntEnum
from functools import partial
from typing import TYPE_CHECKING

from cedarthread.escrow.escrow import Escrow
from cedarthread.model.actions import SendToPeer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from cedarthread.components.messages import OutboundMessage

CLOCK_RATE_ERROR = 0.03  # far more than the error of real clocks, so that defects become visible sooner
CHECK_INTERVAL_MS = 7.0
TICK_INTERVAL_MS = 250.0
DISK_WRITE_MS = 20.0


class SimulatedRouter:
    """A router with its clock, its disk and the units that its users consumed.

    Args:
        simulation: The fleet, which sends the router's datagrams.
        router_index: Index of the router.
        clock_speed: By how many ms the router's clock advances in each ms of true time.
    """

    def __init__(self, simulation: EscrowSimulation, router_index: int, clock_speed: float) -> None:
        self.simulation = simulation
        self.router_index = router_index
        self.clock_speed = clock_speed
        self.clock_offset_ms = simulation.rng.uniform(0, 1e6)
        self.persisted_image: bytes | None = None
        self.is_running = True
        self.is_paused = False
        self.consumed = 0  # units that the router consumed of the pool "count"
        self.queued_datagrams: list[tuple[int, bytes]] = []  # (sender, data) received during a pause
        self.totals = dict(simulation.totals)
        self.start(is_first=True)

    def clock_ms(self) -> float:
        """Return the time on the router's monotonic clock."""
        return self.clock_offset_ms + self.simulation.now_ms * self.clock_speed

    def is_active(self) -> bool:
        """Return whether the router runs and is not paused."""
        return self.is_running and not self.is_paused

    def start(self, *, is_first: bool = False) -> None:
        """Start an incarnation; a later one than the first restores the image on the disk, if any."""
        simulation = self.simulation
        has_complete_history = is_first or self.persisted_image is not None
        self.escrow = simulation.escrow_type(
            self.router_index,
            simulation.router_count,
            simulation.rng.getrandbits(64),
            simulation.rng.getrandbits(30),
            clock_rate=simulation.clock_rate_error,
            now_ms=self.clock_ms(),
            has_complete_history=has_complete_history,
            is_durable=simulation.is_durable,
        )
        if self.persisted_image is not None:
            assert self.escrow.restore(self.persisted_image)
        elif simulation.is_durable:
            self.persisted_image = self.escrow.snapshot()
        self.is_running = True
        self.queued_datagrams = []
        for name in self.totals:
            self.open_pool(name)

    def open_pool(self, name: str) -> None:
        """Open a pool, or set its total to the one that this router has received."""
        is_consumable = name.startswith("count")
        self.escrow.open_pool(name, self.totals[name], is_consumable=is_consumable, ends_at_ms=None)

    def send(self, messages: Iterable[OutboundMessage]) -> None:
        """Send messages that the escrow returned."""
        self.simulation.send(self.router_index, messages)


class SimulationStep(IntEnum):
    """Steps of ``run_random_step``: changes of the demand, consumption, and faults."""

    CHANGE_RATE_DEMAND = 0
    CONSUME_COUNT = 1
    CRASH = 2
    PAUSE = 3
    CUT_LINK = 4


class EscrowSimulation:
    """A fleet of routers, and a network that loses, duplicates, delays and reorders datagrams and cuts links.

    Args:
        router_count: Number of routers.
        seed: Seed of the simulation.
        totals: Totals by pool name. A pool with a name that starts with "count" is a count, others are rates.
        escrow_type: The escrow of the routers, which a test may replace by one with a defect.
        loss_rate: Fraction of the datagrams that are lost.
        is_durable: Whether the routers have disks.
        duplication_rate: Fraction of the datagrams that are duplicated.
        tail_latency_factor: Factor by which one in five datagrams is slower than the others.
        check_interval_ms: Time between two checks of the totals.
        is_demand_only: Whether ``run_random_step`` only changes demand and consumes units.
        clock_rate_error: Relative error of the routers' clocks, which are slow and fast in turn.
    """

    def __init__(
        self,
        router_count: int,
        seed: int,
        totals: Mapping[str, int],
        *,
        escrow_type: type[Escrow] = Escrow,
        loss_rate: float = 0.1,
        is_durable: bool = False,
        duplication_rate: float = 0.2,
        tail_latency_factor: int = 20,
        check_interval_ms: float = CHECK_INTERVAL_MS,
        is_demand_only: bool = False,
        clock_rate_error: float = CLOCK_RATE_ERROR,
    ) -> None:
        self.rng = random.Random(seed)
        self.router_count = router_count
        self.escrow_type = escrow_type
        self.is_durable = is_durable
        self.check_interval_ms = check_interval_ms
        self.clock_rate_error = clock_rate_error
        self.loss_rate = loss_rate
        self.duplication_rate = duplication_rate
        self.tail_latency_factor = tail_latency_factor
        self.is_demand_only = is_demand_only
        self.now_ms = 0.0
        self.longest_datagram_bytes = 0
        self.sequence = itertools.count()  # serial numbers that order events of the same time
        self.bytes_sent: Counter[int] = Counter()  # keys: router indexes
        self.datagrams_sent: Counter[int] = Counter()  # keys: router indexes
        self.totals = dict(totals)
        self.limits = dict(totals)  # most units in use (rates) or consumed (counts); keys: pool names
        self.cut_links: set[tuple[int, int]] = set()  # (sender, receiver)
        self.events: list[tuple[float, int, Callable[[], None]]] = []  # heap of (time in ms, serial, event)
        self.violations: list[str] = []
        self.transfer_checks = 0  # number of checks at which a router used over twice an even share of a rate
        speeds = 1 - clock_rate_error, 1 + clock_rate_error
        self.routers = [SimulatedRouter(self, index, speeds[index % 2]) for index in range(router_count)]
        for router in self.routers:
            self.schedule(self.rng.uniform(0, TICK_INTERVAL_MS), partial(self.tick_router, router))
        self.schedule(0.0, self.check_totals)

    def schedule(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self.events, (self.now_ms + delay_ms, next(self.sequence), event))

    def run(self, duration_ms: float) -> None:
        """Run the events of the next ``duration_ms``."""
        until_ms = self.now_ms + duration_ms
        while self.events[0][0] <= until_ms:
            self.now_ms, _, event = heapq.heappop(self.events)
            event()
        self.now_ms = until_ms

    def tick_router(self, router: SimulatedRouter) -> None:
        """Run the tick of a router, and schedule the next one."""
        self.schedule(TICK_INTERVAL_MS * self.rng.uniform(0.9, 1.1), partial(self.tick_router, router))
        if router.is_active():
            router.send(router.escrow.on_tick(router.clock_ms()))
            self.write_image(router)

    def write_image(self, router: SimulatedRouter) -> None:
        """Start the write of an image that is due; a crash before the write ends loses the image."""
        escrow = router.escrow
        if (image := escrow.take_due_image(router.clock_ms())) is not None:

            def finish() -> None:
                if router.escrow is escrow and router.is_running:
                    router.persisted_image = image
                    escrow.mark_written(router.clock_ms())

            self.schedule(DISK_WRITE_MS, finish)

    def send(self, sender: int, messages: Iterable[OutboundMessage]) -> None:
        """Send datagrams, of which some are lost, duplicated or late; a cut link loses all of them."""
        for message in messages:
            assert isinstance(message, SendToPeer)
            assert message.peer_index is not None
            self.bytes_sent[sender] += len(message.data)
            self.datagrams_sent[sender] += 1
            self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(message.data))
            for _ in range(1 + (self.rng.random() < self.duplication_rate)):
                is_lost = self.rng.random() < self.loss_rate
                if is_lost or (sender, message.peer_index) in self.cut_links:
                    continue
                factors = [1, 1, 1, 1, self.tail_latency_factor]
                latency_ms = self.rng.uniform(1, 60) * self.rng.choice(factors)
                receiver = self.routers[message.peer_index]
                self.schedule(latency_ms, partial(self.deliver, receiver, sender, message.data))

    def deliver(self, router: SimulatedRouter, sender: int, data: bytes) -> None:
        """Deliver a datagram; a paused router queues it, and a router that does not run loses it."""
        if router.is_paused:
            router.queued_datagrams.append((sender, data))
        elif router.is_running:
            router.send(router.escrow.on_message(router.clock_ms(), sender, data))
            self.write_image(router)

    def check_totals(self) -> None:
        """Check the units that all users use at this instant (rates) or have consumed so far (counts)."""
        self.schedule(self.check_interval_ms, self.check_totals)
        active = [router for router in self.routers if router.is_active()]
        for name, limit in self.limits.items():
            if name.startswith("count"):
                used = sum(router.consumed for router in self.routers)
            else:
                uses = [router.escrow.available(router.clock_ms(), name) for router in active]
                used = sum(uses)
                self.transfer_checks += max(uses, default=0) > 2 * limit / self.router_count
            if used > limit:
                self.violations.append(
                    f"pool {name}: {used} units used, but the limit is {limit}, at {self.now_ms:.0f} ms"
                )

    def consume(self, router: SimulatedRouter, amount: int) -> bool:
        """Consume units of the count at a router; return whether the router permitted it."""
        is_consumed = router.escrow.consume(router.clock_ms(), "count", amount)
        router.consumed += amount * is_consumed
        return is_consumed

    def resume(self, router: SimulatedRouter) -> None:
        """Resume a paused router, which receives the datagrams that its socket queued."""
        router.is_paused = False
        for sender, data in router.queued_datagrams:
            self.deliver(router, sender, data)
        router.queued_datagrams = []

    def run_random_step(self) -> None:
        """Change the demand, consume units, or make a router or link fail; schedule the next such step."""
        self.schedule(self.rng.uniform(20, 120), self.run_random_step)
        router = self.rng.choice(self.routers)
        weights = [60, 30, 0, 0, 0] if self.is_demand_only else [60, 30, 1, 1, 1]
        step = SimulationStep(self.rng.choices(range(5), weights)[0])
        if step is SimulationStep.CUT_LINK:
            self._cut_link(router)
        elif not router.is_active():
            return
        elif step is SimulationStep.CRASH:
            router.is_running = False
            self.schedule(self.rng.uniform(50, 3000), router.start)
        elif step is SimulationStep.PAUSE:
            router.is_paused = True
            self.schedule(self.rng.uniform(100, 9000), partial(self.resume, router))
        else:
            self._use_pools(router, step)

    def _cut_link(self, router: SimulatedRouter) -> None:
        link = (router.router_index, self.rng.randrange(self.router_count))
        self.cut_links.add(link)
        self.schedule(self.rng.uniform(100, 9000), partial(self.cut_links.discard, link))

    def _use_pools(self, router: SimulatedRouter, step: SimulationStep) -> None:
        for name, total in self.totals.items():
            mean = max(1, total // self.router_count)
            if name == "count" and step is SimulationStep.CONSUME_COUNT:
                router.escrow.request(router.clock_ms(), name, 1)
                self.consume(router, 1)
            elif name != "count" and step is SimulationStep.CHANGE_RATE_DEMAND:
                demand = self.rng.choice([0, 0, mean, 3 * mean, 8 * mean])
                router.escrow.request(router.clock_ms(), name, demand)
