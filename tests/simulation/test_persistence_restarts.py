"""Restarts of routers whose disks are complete, corrupted, stale or faulty."""

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
from tests.simulation.component_fleet import START_UNIX_MS, Fleet, freeze_window

DISK_CONFIG = b'[disk]\nfolder = "kept"\n'
ROUTER_COUNT = 5


class FleetWithDisks(Fleet):
    """A simulated fleet in which each router has a disk; writes complete at the next tick.

    Args:
        router_count: number of routers.
        seed: seed of the simulation.
    """

    def __init__(self, router_count: int, seed: int) -> None:
        super().__init__(router_count, seed)
        self.disks = [MemoryBackend() for _ in range(router_count)]
        self.routers_with_faulty_disk: set[int] = set()
        for index in range(router_count):
            self.restart(index)

    def restart(
        self, index: int, load_result: LoadResult | None = None, opened_after_ms: float = 0.0
    ) -> None:
        """Start a new incarnation of a router.

        Args:
            index: the router.
            load_result: the content that the disk returns; None for the content as written.
            opened_after_ms: time until the store is open.
        """
        self.serial += 1
        node = self.routers[index] = RoutingNode(self.router_settings[index], index, self.serial)
        endpoints = tuple(worker(number) for number in range(1, 7))
        self.handle(index, EndpointUpdate(EndpointUpdateKind.CACHED, 1, endpoints))
        self.apply_fleet_file(index, b"[sharing]\nperiod = 200\n" + DISK_CONFIG)
        loaded = load_result or self.disks[index].open()
        persister = self.persister(index)
        image = recovered_image.decode_image(loaded.values)
        self.after(opened_after_ms, lambda: persister.on_store_opened(self.now_ms, loaded, image))
        self.after(100.0, lambda: self.tick(index, node))

    def persister(self, index: int) -> StatePersister:
        persister = self.components(index).persister
        assert persister is not None
        return persister

    def tick(self, index: int, node: RoutingNode) -> None:
        if self.routers[index] is not node:
            return  # the router has restarted, and its new incarnation has its own ticks
        persister = self.persister(index)
        disk = self.disks[index]
        is_disk_faulty = index in self.routers_with_faulty_disk
        writes = persister.on_tick(self.now_ms)
        if persister.reset_above_generation is not None and not is_disk_faulty:
            disk.commit([], persister.reset_above_generation)
            persister.on_write_completed(self.now_ms, RESET_WRITE, None, disk.generation)
            persister.reset_above_generation = None
        for write in writes:
            fault = StoreFault.IO_ERROR if is_disk_faulty else disk.commit([(write.key, write.value)])
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
        """Make six rounds of calls; in each, each router calls another function."""
        for round_number in range(6):
            for index in range(ROUTER_COUNT):
                self.call(index, first_function + 10 * round_number + index)
            self.run(3_000.0)


def settled_fleet() -> FleetWithDisks:
    """Return a fleet in which all routers are voters and have one change freeze window."""
    fleet = FleetWithDisks(ROUTER_COUNT, 1)
    fleet.run(20_000.0)
    fleet.apply_fleet_file(2, freeze_window(600.0, 700.0, allowance=1) + DISK_CONFIG)
    fleet.run(20_000.0)
    assert fleet.voters() == [True] * ROUTER_COUNT
    assert fleet.entry_counts() == [1] * ROUTER_COUNT
    return fleet


def test_routers_that_all_restart_at_once_recover_the_window_and_the_votes_from_their_disks() -> None:
    fleet = settled_fleet()
    for index in range(ROUTER_COUNT):
        fleet.restart(index)
    fleet.run(3_000.0)
    assert fleet.voters() == [True] * ROUTER_COUNT
    assert fleet.entry_counts() == [1] * ROUTER_COUNT


def test_stale_content_is_dropped_and_the_store_continues_above_its_last_generation() -> None:
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


def test_without_its_disk_a_router_stays_a_voter_and_at_the_next_start_the_disk_is_stale() -> None:
    fleet = settled_fleet()
    fleet.routers_with_faulty_disk.add(3)
    fleet.apply_fleet_file(1, freeze_window(600.0, 690.0, allowance=1) + DISK_CONFIG)
    fleet.run(8_000.0)
    assert fleet.has_logged("store_degraded")
    assert fleet.voters()[3], "the router still has all entries in memory"
    fleet.routers_with_faulty_disk.clear()
    fleet.restart(3)
    fleet.run(3_000.0)
    assert fleet.has_logged("store_content_dropped")


@pytest.mark.parametrize(("is_complete", "opened_after_ms"), [(True, 0.0), (False, 0.0), (False, 2400.0)])
def test_the_used_part_of_an_exception_budget_is_not_granted_again(
    is_complete: bool, opened_after_ms: float
) -> None:
    """A complete disk records the used part; with a corrupted disk the router loses its reserved amount."""
    fleet = settled_fleet()
    fleet.run(560_000.0)  # to a time inside the change freeze window
    fleet.call_from_all(0)
    assert len(fleet.cold_starts) == 1
    for index in range(ROUTER_COUNT):
        loaded = fleet.disks[index].open()
        if not is_complete:
            loaded = LoadResult(loaded.values, loaded.generation, StoreFault.CORRUPTED)
        fleet.restart(index, loaded, opened_after_ms)
    fleet.run(20_000.0)
    fleet.call_from_all(500)
    assert len(fleet.cold_starts) == 1, "the budget of one cold start was used before the restarts"


def test_the_times_of_a_window_count_from_the_start_of_the_simulated_clock() -> None:
    config = parse_fleet_config(freeze_window(600.0, 700.0))
    assert config.freeze[0].start.timestamp() * 1000.0 == START_UNIX_MS + 600_000.0
