"""Routers that restart with disks that keep, lose or return stale data: what they believe, how they act."""

from __future__ import annotations

import pytest

from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.node.routing_node import RoutingNode
from cedarthread.persistence import recovered_image
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.state_persister import RESET_WRITE, StatePersister
from cedarthread.persistence.store import LoadResult, StoreFault
from tests.helpers import worker
from tests.simulation.test_fleet_components import START, Fleet, window

DISK_CONFIG = b'[disk]\nfolder = "kept"\n'
ROUTERS = 5


class FleetWithDisks(Fleet):
    """The fleet with a disk for each router, whose writes end at the next tick."""

    def __init__(self, router_count: int, seed: int) -> None:
        super().__init__(router_count, seed)
        self.disks = [MemoryBackend() for _ in range(router_count)]
        self.faulty: set[int] = set()  # routers whose disk fails
        for index in range(router_count):
            self.restart(index)

    def restart(
        self, index: int, load_result: LoadResult | None = None, opened_after_ms: float = 0.0
    ) -> None:
        """A new incarnation of a router, on its disk as it is or as ``load_result`` has it."""
        self.serial += 1
        node = self.routers[index] = RoutingNode(self.router_settings[index], index, self.serial)
        endpoints = tuple(worker(number) for number in range(1, 7))
        self.handle(index, EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
        self.declare(index, b"[sharing]\nperiod = 200\n" + DISK_CONFIG)
        loaded = load_result or self.disks[index].open()
        persister, image = self.persister(index), recovered_image.decode_image(loaded.values)
        self.after(opened_after_ms, lambda: persister.on_store_opened(self.now_ms, loaded, image))
        self.after(100.0, lambda: self.tick(index, node))

    def persister(self, index: int) -> StatePersister:
        persister = self.components(index).persister
        assert persister is not None
        return persister

    def tick(self, index: int, node: RoutingNode) -> None:
        if self.routers[index] is not node:
            return  # that incarnation is over
        persister, disk = self.persister(index), self.disks[index]
        writes = persister.on_tick(self.now_ms)
        if persister.reset_above_generation is not None and index not in self.faulty:
            disk.commit([], persister.reset_above_generation)
            persister.on_write_completed(self.now_ms, RESET_WRITE, None, disk.generation)
            persister.reset_above_generation = None
        for write in writes:
            fault = StoreFault.IO_ERROR if index in self.faulty else disk.commit([(write.key, write.value)])
            persister.on_write_completed(self.now_ms, write, fault, disk.generation)
        messages = persister.take_log_messages()
        self.log_lines += [message.message for message in messages if isinstance(message, LogMessage)]
        self.after(250.0, lambda: self.tick(index, node))

    def voters(self) -> list[bool]:
        return [self.components(index).store.is_voter for index in range(len(self.routers))]

    def entry_counts(self) -> list[int]:
        return [len(self.components(index).store.snapshot()) for index in range(len(self.routers))]

    def has_logged(self, event: str) -> bool:
        return any(line.startswith(f"{event} ") for line in self.log_lines)

    def call_from_all(self, first_function: int) -> None:
        """Six rounds of calls at each router, each of a function of its own."""
        for round_number in range(6):
            for index in range(ROUTERS):
                self.call(index, first_function + 10 * round_number + index)
            self.run(3_000.0)


def settled_fleet() -> FleetWithDisks:
    """A fleet whose routers are all voters and hold one window."""
    fleet = FleetWithDisks(ROUTERS, 1)
    fleet.run(20_000.0)
    fleet.declare(2, window(600.0, 700.0, allowance=1) + DISK_CONFIG)
    fleet.run(20_000.0)
    assert fleet.voters() == [True] * ROUTERS
    assert fleet.entry_counts() == [1] * ROUTERS
    return fleet


def test_all_routers_restart_at_once_and_their_disks_remember_the_window_and_the_votes() -> None:
    fleet = settled_fleet()
    for index in range(ROUTERS):
        fleet.restart(index)
    fleet.run(3_000.0)
    assert fleet.voters() == [True] * ROUTERS
    assert fleet.entry_counts() == [1] * ROUTERS


def test_stale_content_is_dropped_and_the_store_goes_on_above_its_last_generation() -> None:
    fleet = settled_fleet()
    stale = dict(fleet.disks[3].open().values)
    fleet.run(3_000.0)
    last_generation = fleet.disks[3].generation
    fleet.disks[3] = MemoryBackend()
    fleet.disks[3].commit(list(stale.items()))
    assert fleet.disks[3].generation < last_generation
    fleet.restart(3)
    fleet.run(3_000.0)
    assert fleet.has_logged("store_content_dropped")
    fleet.run(10_000.0)
    assert fleet.disks[3].generation > last_generation
    assert fleet.voters()[3]
    assert fleet.entry_counts()[3] == 1


def test_a_router_serves_on_without_its_disk_whose_content_is_stale_at_the_next_start() -> None:
    fleet = settled_fleet()
    fleet.faulty.add(3)
    fleet.declare(1, window(600.0, 690.0, allowance=1) + DISK_CONFIG)
    fleet.run(8_000.0)
    assert fleet.has_logged("store_degraded")
    assert fleet.voters()[3], "it has forgotten nothing yet"
    fleet.faulty.clear()
    fleet.restart(3)
    fleet.run(3_000.0)
    assert fleet.has_logged("store_content_dropped")


@pytest.mark.parametrize(("is_complete", "opened_after_ms"), [(True, 0.0), (False, 0.0), (False, 2400.0)])
def test_what_was_used_of_an_exception_budget_is_never_used_again(
    is_complete: bool, opened_after_ms: float
) -> None:
    """A complete disk remembers it; with a corrupted one the router gives up its part."""
    fleet = settled_fleet()
    fleet.run(560_000.0)  # inside the window
    fleet.call_from_all(0)
    assert len(fleet.cold_starts) == 1
    for index in range(ROUTERS):
        loaded = fleet.disks[index].open()
        if not is_complete:
            loaded = LoadResult(loaded.values, loaded.generation, StoreFault.CORRUPTED)
        fleet.restart(index, loaded, opened_after_ms)
    fleet.run(20_000.0)
    fleet.call_from_all(500)
    assert len(fleet.cold_starts) == 1, "nobody may use what was used before"


def test_windows_are_written_in_time_since_the_start_of_the_clock() -> None:
    config = parse_fleet_config(window(600.0, 700.0))
    assert config.freeze[0].start.timestamp() * 1000.0 == START + 600_000.0
