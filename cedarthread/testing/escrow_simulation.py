"""Fleets of grants on one virtual clock, judged by what their users really use; and a small world, whole.

For tests and measures, never loaded when serving. The judge takes no router's word for how a pool stands: the
users of each router use all that they may at that instant (a rate) or take units at random (a count), and the
judge adds up what they used, in true time. ``python -m cedarthread.testing.escrow_simulation``
measures the table
of the design page.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from cedarthread.components.interface import PeersChanged
from cedarthread.escrow.count_pool import CountPool
from cedarthread.escrow.escrow import Escrow
from cedarthread.escrow.rate_pool import LEASE_TERM_MS, RatePool
from cedarthread.model.actions import SendToPeer

CLOCK_RATE_ERROR = 0.03  # clock error in the worlds, far more than real ones have: faults show sooner
CHECK_INTERVAL_MS = 7.0  # ms between two looks of the judge
TICK_INTERVAL_MS = 250.0


class SimulatedRouter:
    """A router, its clock, its disk and the books of its users."""

    def __init__(self, world: EscrowSimulation, number: int, speed: float) -> None:
        self.simulation, self.router_index, self.clock_speed = world, number, speed
        self.clock_offset_ms = world.rng.uniform(0, 1e6)
        self.persisted_image: bytes | None = None
        self.is_running, self.is_paused, self.consumed = True, False, 0
        self.queued_datagrams: list[tuple[int, bytes]] = []
        self.totals = dict(world.totals)
        self.start(first=True)

    def clock_ms(self) -> float:
        """Its own steady clock, ms."""
        return self.clock_offset_ms + self.simulation.now * self.clock_speed

    def start(self, first: bool = False) -> None:
        """A life begins: the first, or a later one with what the disk has, if there is a disk."""
        w = self.simulation
        remembered = first or self.persisted_image is not None
        ids = (self.router_index, w.router_count, w.rng.getrandbits(64), w.rng.getrandbits(30))
        self.escrow = w.escrow_type(
            *ids,
            clock_rate=w.clock_rate_error,
            now=self.clock_ms(),
            has_memory=remembered,
            is_durable=w.is_durable,
        )
        if self.persisted_image is not None:
            assert self.escrow.restore(self.persisted_image)
        elif w.is_durable:
            self.persisted_image = self.escrow.snapshot()
        self.is_running, self.queued_datagrams = True, []
        for name in self.totals:
            self.open_pool(name)

    def open_pool(self, name: str) -> None:
        """Open a pool, or tell the grants its total as this router knows it."""
        self.escrow.open_pool(
            name, self.totals[name], is_consumable=name.startswith("count"), ends_at_ms=None
        )

    def send(self, told: Any) -> None:
        """Send what the grants tell."""
        self.simulation.send(self.router_index, told)


class EscrowSimulation:
    """Routers, a network that loses, doubles, delays, reorders and cuts, and the judge."""

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
        is_calm: bool = False,
        clock_rate_error: float = CLOCK_RATE_ERROR,
    ) -> None:
        self.rng, self.router_count, self.escrow_type, self.is_durable, self.check_interval_ms = (
            random.Random(seed),
            router_count,
            escrow_type,
            is_durable,
            check_interval_ms,
        )
        self.loss_rate, self.duplication_rate, self.tail_latency_factor, self.is_calm = (
            loss_rate,
            duplication_rate,
            tail_latency_factor,
            is_calm,
        )
        self.now, self.longest_datagram_bytes, self.sequence = 0.0, 0, itertools.count()
        self.bytes_sent: Counter[int] = Counter()  # bytes by router
        self.datagrams_sent: Counter[int] = Counter()
        self.totals, self.limits = dict(totals), dict(totals)
        self.unreachable_pairs: set[tuple[int, int]] = set()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.violations: list[str] = []
        self.transfer_checks = 0  # looks at which somebody used twice its own part
        speeds = [1 - clock_rate_error, 1 + clock_rate_error]
        self.clock_rate_error = clock_rate_error
        self.routers = [SimulatedRouter(self, n, speeds[n % 2]) for n in range(router_count)]
        for node in self.routers:
            self.schedule(self.rng.uniform(0, TICK_INTERVAL_MS), partial(self.tick_router, node))
        self.schedule(0.0, self.check_totals)

    def schedule(self, after: float, step: Callable[[], None]) -> None:
        """Have something done so many ms from now."""
        heapq.heappush(self.events, (self.now + after, next(self.sequence), step))

    def run(self, ms: float) -> None:
        """Let so many ms pass."""
        until = self.now + ms
        while self.events[0][0] <= until:
            self.now, _, step = heapq.heappop(self.events)
            step()
        self.now = until

    def tick_router(self, node: SimulatedRouter) -> None:
        """A router's turn, and the next one."""
        self.schedule(TICK_INTERVAL_MS * self.rng.uniform(0.9, 1.1), lambda: self.tick_router(node))
        if node.is_running and not node.is_paused:
            node.send(node.escrow.on_tick(node.clock_ms()))
            self.write_image(node)

    def write_image(self, node: SimulatedRouter) -> None:
        """The disk takes 20 ms; a router that dies before it has not written."""
        grants = node.escrow
        if (image := grants.image_to_write(node.clock_ms())) is not None:

            def done() -> None:
                if node.escrow is grants and node.is_running:
                    node.persisted_image = image
                    grants.mark_written(node.clock_ms())

            self.schedule(20.0, done)

    def send(self, sender: int, told: Any) -> None:
        """The network takes datagrams: some are lost, doubled, late or cut off."""
        for tell in told:
            assert isinstance(tell, SendToPeer) and tell.peer_index is not None
            self.bytes_sent[sender] += len(tell.data)
            self.datagrams_sent[sender] += 1
            self.longest_datagram_bytes = max(self.longest_datagram_bytes, len(tell.data))
            for _ in range(1 + (self.rng.random() < self.duplication_rate)):
                if (
                    self.rng.random() >= self.loss_rate
                    and (sender, tell.peer_index) not in self.unreachable_pairs
                ):
                    wait = self.rng.uniform(1, 60) * self.rng.choice([1, 1, 1, 1, self.tail_latency_factor])
                    self.schedule(
                        wait, partial(self.deliver, self.routers[tell.peer_index], sender, tell.data)
                    )

    def deliver(self, node: SimulatedRouter, sender: int, data: bytes) -> None:
        """A datagram comes to a router, which may stand still or be down."""
        if node.is_paused:
            node.queued_datagrams.append((sender, data))
        elif node.is_running:
            node.send(node.escrow.on_message(node.clock_ms(), sender, data))
            self.write_image(node)

    def check_totals(self) -> None:
        """Add up what all use at this instant (rates), or used so far (counts)."""
        self.schedule(self.check_interval_ms, self.check_totals)
        running = [node for node in self.routers if node.is_running and not node.is_paused]
        for name, bound in self.limits.items():
            if name.startswith("count"):
                used = sum(node.consumed for node in self.routers)
            else:
                uses = [node.escrow.available(node.clock_ms(), name) for node in running]
                used, self.transfer_checks = (
                    sum(uses),
                    self.transfer_checks + (max(uses, default=0) > 2 * bound / self.router_count),
                )
            if used > bound:
                self.violations.append(f"{name}: {used} of {bound} at {self.now:.0f} ms")

    def consume(self, node: SimulatedRouter, amount: int) -> bool:
        """A router's user takes units of the count, and books them."""
        done = node.escrow.consume(node.clock_ms(), "count", amount)
        node.consumed += amount * done
        return done

    def resume(self, node: SimulatedRouter) -> None:
        """Who stood still goes on, with what waited in its socket."""
        node.is_paused = False
        for sender, data in node.queued_datagrams:
            self.deliver(node, sender, data)
        node.queued_datagrams = []

    def inject_fault(self) -> None:
        """One step of a day with everything: demand moves, units are used, routers fall and come back."""
        self.schedule(self.rng.uniform(20, 120), self.inject_fault)
        node = self.rng.choice(self.routers)
        what = self.rng.choices(range(5), [60, 30, 0, 0, 0] if self.is_calm else [60, 30, 1, 1, 1])[0]
        if what == 2 and node.is_running and not node.is_paused:
            node.is_running = False
            self.schedule(self.rng.uniform(50, 3000), node.start)
        elif what == 3 and node.is_running and not node.is_paused:
            node.is_paused = True
            self.schedule(self.rng.uniform(100, 9000), lambda: self.resume(node))
        elif what == 4:
            cut = (node.router_index, self.rng.randrange(self.router_count))
            self.unreachable_pairs.add(cut)
            self.schedule(self.rng.uniform(100, 9000), lambda: self.unreachable_pairs.discard(cut))
        elif what < 2 and node.is_running and not node.is_paused:
            for name, total in self.totals.items():
                mean = max(1, total // self.router_count)
                if name == "count" and what == 1:
                    node.escrow.request(node.clock_ms(), name, 1)
                    self.consume(node, 1)
                elif name != "count" and what == 0:
                    node.escrow.request(
                        node.clock_ms(), name, self.rng.choice([0, 0, mean, 3 * mean, 8 * mean])
                    )


class SmallEscrowModel:
    """Two or three routers, whole: every order of asks, deliveries, doubles, uses, time, restarts, lowerings.

    Time moves in steps that fall between a taker's end and a giver's. A datagram that is never delivered is
    lost, one delivered after steps is late. The clocks run at their limits, one fast, the others slow."""

    RATE, STEP = 0.25, 1300.0

    def __init__(
        self,
        escrow_type: type[Escrow],
        pool_name: str,
        router_count: int,
        total: int,
        limits: Mapping[str, int],
    ) -> None:
        self.escrow_type, self.pool_name, self.router_count, self.total = (
            escrow_type,
            pool_name,
            router_count,
            total,
        )
        self.remaining_events = dict(limits)
        self.now, self.last_incarnation, self.consumed, self.consumed_when_all_knew = (
            0.0,
            0,
            0,
            -1,
        )  # knew: used when all knew of the lowering
        self.in_flight: frozenset[tuple[int, int, bytes]] = frozenset()
        self.totals = [total] * router_count
        self.routers = [self.start_router(n, True) for n in range(router_count)]
        self.now = 6 * self.STEP  # their rates are theirs

    def clock_ms(self, router_index: int) -> float:
        """The steady clock of a router."""
        return self.now * (1 + self.RATE if router_index == 0 else 1 - self.RATE)

    def start_router(self, router_index: int, is_first: bool) -> Escrow:
        """A router's life begins."""
        self.last_incarnation += 1
        escrow = self.escrow_type(
            router_index,
            self.router_count,
            self.last_incarnation,
            1,
            clock_rate=self.RATE,
            now=self.clock_ms(router_index),
            has_memory=is_first,
        )
        escrow.open_pool(
            self.pool_name,
            self.totals[router_index],
            is_consumable=self.pool_name == "count",
            ends_at_ms=None,
        )
        return escrow

    def state_key(self) -> Any:
        """The state in a form that is equal where what can follow is equal."""
        books: list[Any] = []
        for grants in self.routers:
            pool = next(iter(grants.pools.values()))
            asked = sorted(
                (n, a.peer, a.requested, a.sent_at_ms, a.was_denied)
                for n, a in grants.requester.outstanding.items()
            )
            own: Any = None
            if isinstance(pool, RatePool):
                sides = (pool.leases_given, pool.leases_taken)
                own = [sorted((str(k), v.nonce, sorted(v.grants)) for k, v in s.items()) for s in sides]
            elif isinstance(pool, CountPool):
                own = (pool.balance, pool.highest_total, pool.is_lost, sorted(grants.grantor.sent_grants))
            books.append((grants.incarnation, grants.requester.last_nonce, pool.total, asked, own))
        world = (
            self.now,
            self.consumed,
            self.consumed_when_all_knew,
            sorted(self.in_flight),
            sorted(self.remaining_events.items()),
        )
        return repr((books, world))

    def possible_events(self) -> list[tuple[Any, ...]]:
        """What may happen next."""
        events: list[tuple[Any, ...]] = []
        numbers = range(self.router_count)
        if self.remaining_events["ask"]:
            events += [("ask", n, to) for n in numbers for to in numbers if n != to]
        for message in sorted(self.in_flight):
            events += [("hear", message)] + [("double", message)] * (self.remaining_events["double"] > 0)
        events += [("step",)] * (self.remaining_events["step"] > 0)
        events += [("restart", n) for n in numbers if self.remaining_events["restart"]]
        events += [
            ("learn", n) for n in numbers if self.remaining_events["learn"] and self.totals[n] == self.total
        ]
        if self.pool_name == "count":
            events += [
                ("use", n) for n in numbers if self.routers[n].available(self.clock_ms(n), self.pool_name)
            ]
        return events

    def apply(self, event: tuple[Any, ...]) -> None:
        """Let one thing happen."""
        action = event[0]
        if action in self.remaining_events:
            self.remaining_events[action] -= 1
        if action == "step":
            self.now += self.STEP
        elif action == "restart":
            self.routers[event[1]] = self.start_router(event[1], False)
        elif action == "learn":
            self.totals[event[1]] = self.total - 2
            self.routers[event[1]].open_pool(
                self.pool_name, self.total - 2, is_consumable=self.pool_name == "count", ends_at_ms=None
            )
            if self.total not in self.totals:
                self.consumed_when_all_knew = self.consumed
        elif action == "use":
            self.consumed += self.routers[event[1]].consume(self.clock_ms(event[1]), self.pool_name, 1)
        elif action == "ask":
            _, n, to = event
            escrow, now = self.routers[n], self.clock_ms(n)
            escrow.on_notification(now, PeersChanged((to,), 2, {}))
            for pool in escrow.pools.values():
                pool.rounds.next_at_ms, pool.rounds.is_open, pool.peer_available = now, False, {}
            escrow.requester.request_budget.tokens = 1.0
            escrow.request(now, self.pool_name, self.total)
            self.add_in_flight(n, escrow.on_tick(now))
            escrow.request(now, self.pool_name, 0)
        else:
            sender, to, data = event[1]
            if action == "hear":
                self.in_flight -= {event[1]}
            self.add_in_flight(to, self.routers[to].on_message(self.clock_ms(to), sender, data))

    def add_in_flight(self, sender: int, messages: Any) -> None:
        """What a router tells is on its way."""
        self.in_flight |= {(sender, tell.peer_index, tell.data) for tell in messages}

    def is_total_exceeded(self) -> bool:
        """Is more used than there is?"""
        if self.pool_name == "count":
            late = self.consumed_when_all_knew >= 0 and self.consumed > max(
                self.consumed_when_all_knew, self.total - 2
            )
            return self.consumed > self.total or late
        return (
            sum(g.available(self.clock_ms(n), self.pool_name) for n, g in enumerate(self.routers))
            > self.total
        )


def explore_states(
    start: SmallEscrowModel, max_states: int = 10**6
) -> tuple[int, list[tuple[Any, ...]] | None]:
    """States seen, and the shortest way to a breach."""
    seen = {start.state_key()}
    queue: deque[tuple[SmallEscrowModel, tuple[Any, ...]]] = deque([(start, ())])
    while queue and len(seen) < max_states:
        model, events = queue.popleft()
        for event in model.possible_events():
            same = [
                x
                for g in model.routers
                for x in (g.rng, *(p.place_by_router for p in g.pools.values()), g.counters)
            ]
            later = copy.deepcopy(model, {id(x): x for x in same})
            later.apply(event)
            if later.is_total_exceeded():
                return len(seen), [*events, event]
            if (key := later.state_key()) not in seen:
                seen.add(key)
                queue.append((later, (*events, event)))
    return len(seen), None


# What the design page's table says.


def zipf_demand(count: int, total: int, exponent: float, rng: random.Random) -> list[int]:
    """Demand by router: the k-th greatest is as 1 / k^exponent, who it is is drawn."""
    weights = [rank**-exponent for rank in range(1, count + 1)]
    rng.shuffle(weights)
    return [int(total * weight / sum(weights)) for weight in weights]


def measure_rate_service(
    count: int, seed: int, load: float, loss: float, exponent: float = 1.0
) -> list[float]:
    """Part of a rate in use at once and 2, 5, 10 and 20 s after skewed demand came up, and the least in the
    10 s from then; bytes a second for each router in them, the mean and the most."""
    total = 1_000_000
    world = EscrowSimulation(
        count,
        seed,
        {"rate": total},
        loss_rate=loss,
        duplication_rate=0.02,
        tail_latency_factor=1,
        check_interval_ms=1e9,
        clock_rate_error=0.001,
    )
    demand = zipf_demand(count, int(total * load), exponent, random.Random(seed))
    world.run(LEASE_TERM_MS * 1.05)

    def use(ms: float) -> float:
        for _ in range(int(ms / TICK_INTERVAL_MS)):
            for node in world.routers:
                node.escrow.request(node.clock_ms(), "rate", demand[node.router_index])
            world.run(TICK_INTERVAL_MS)
        uses = (min(demand[n.router_index], n.escrow.available(n.clock_ms(), "rate")) for n in world.routers)
        return sum(uses) / total

    parts = [use(ms) for ms in (0.0, 2000.0, 3000.0, 5000.0, 10_000.0)]
    before = dict(world.bytes_sent)
    parts.append(min(use(TICK_INTERVAL_MS) for _ in range(40)))
    sent = [(world.bytes_sent[n] - before.get(n, 0)) / 10.0 for n in range(count)]
    return [*parts, sum(sent) / count, max(sent)]


def measure_count_acquisition(count: int, seed: int, total: int, asking: int, loss: float) -> list[float]:
    """ms until routers without a part each had used one of an allowance; inf: not within 30 s."""
    world = EscrowSimulation(
        count,
        seed,
        {"count": total},
        loss_rate=loss,
        duplication_rate=0.02,
        tail_latency_factor=1,
        clock_rate_error=0.001,
    )
    world.run(1000.0)
    poor = [node for node in world.routers if not node.escrow.available(node.clock_ms(), "count")]
    waiting = random.Random(seed).sample(poor, asking)
    for node in waiting:
        node.escrow.request(node.clock_ms(), "count", 1)
    began = world.now
    times: list[float] = []
    while waiting and len(times) < total and world.now < began + 30_000.0:
        world.run(10.0)
        for node in [node for node in waiting if world.consume(node, 1)]:
            times.append(world.now - began)
            waiting.remove(node)
    return times + [math.inf] * (min(asking, total) - len(times))


def measure_stampede(count: int, seed: int, seconds: int) -> list[tuple[float, int]]:
    """All want one of three that their holders keep: datagrams sent each second, by the mean and the busiest
    router."""
    world = EscrowSimulation(
        count,
        seed,
        {"count": 3},
        loss_rate=0.1,
        duplication_rate=0.02,
        tail_latency_factor=1,
        clock_rate_error=0.001,
    )
    for node in world.routers:
        node.escrow.request(node.clock_ms(), "count", 1)
    told = []
    for _ in range(seconds):
        world.datagrams_sent.clear()
        world.run(1000.0)
        told.append((world.datagrams_sent.total() / count, max(world.datagrams_sent.values(), default=0)))
    return told


def main() -> None:
    """Print the figures."""
    for count, load, loss in itertools.product((24, 200), (0.8, 1.0, 1.5), (0.0, 0.1)):
        rows = [measure_rate_service(count, seed, load, loss) for seed in range(3)]
        means = [sum(row[place] for row in rows) / len(rows) for place in range(8)]
        parts = " ".join(f"{part / min(load, 1.0):.3f}" for part in means[:6])
        print(f"{count} routers, demand {load}, loss {loss}: {parts}; {means[6]:.0f} and {means[7]:.0f} B/s")
    for count, asking in itertools.product((24, 200), (1, 3)):
        times = sorted(
            t for seed in range(40) for t in measure_count_acquisition(count, seed, 3, asking, 0.1)
        )
        figures = f"median {times[len(times) // 2]}, 95% {times[int(len(times) * 0.95)]}, most {times[-1]}"
        print(f"{count} routers, {asking} ask for one of 3: {figures}")
    for count in (24, 200):
        print(
            f"{count} routers, all want: "
            + ", ".join(f"{m:.1f} {n}" for m, n in measure_stampede(count, 1, 10))
        )


if __name__ == "__main__":
    main()
