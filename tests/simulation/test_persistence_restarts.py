"""Routers that restart, with disks that keep, lose or lie: what they believe, and what they act on."""

from __future__ import annotations

import pytest

from cedarthread.components.node import RoutingNode
from cedarthread.fleet_config import parse_fleet_config
from cedarthread.model.actions import LogMessage
from cedarthread.model.endpoints import EndpointUpdate, EndpointUpdateKind
from cedarthread.persistence import recovered_image
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.state_persister import RESET_WRITE, StatePersister
from cedarthread.persistence.store import LoadResult, StoreFault
from tests.helpers import worker
from tests.simulation.test_fleet_components import START, Fleet, window

DISK = b'[disk]\nfolder = "kept"\n'


class Kept(Fleet):
    """The fleet with a disk for each router, whose ends come at the next turn."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed)
        self.disks = [MemoryBackend() for _ in range(count)]
        self.broken: set[int] = set()
        for who in range(count):
            self.start(who)

    def start(self, who: int, read: LoadResult | None = None, late: float = 0.0) -> None:
        """A new life on the disk as it is."""
        self.serial += 1
        self.routers[who] = RoutingNode(self.told[who], who, self.serial)
        self.act(who, EndpointUpdate(EndpointUpdateKind.CACHED, 1, tuple(worker(n) for n in range(1, 7))))
        self.declare(who, b"[sharing]\nperiod = 200\n" + DISK)
        told = read or self.disks[who].open()
        keeping = self.keeping(who)
        self.after(
            late, lambda: keeping.on_store_opened(self.now, told, recovered_image.decode_image(told.values))
        )
        life = self.routers[who]
        self.after(100.0, lambda: self.turn(who, life))

    def keeping(self, who: int) -> StatePersister:
        sharing = self.routers[who].fleet_components
        assert sharing is not None and sharing.persister is not None
        return sharing.persister

    def turn(self, who: int, life: RoutingNode) -> None:
        if self.routers[who] is not life:
            return
        keeping, disk = self.keeping(who), self.disks[who]
        puts = keeping.on_tick(self.now)
        if keeping.reset_above_generation is not None and who not in self.broken:
            disk.commit([], keeping.reset_above_generation)
            keeping.on_write_completed(self.now, RESET_WRITE, None, disk.generation)
            keeping.reset_above_generation = None
        for put in puts:
            trouble = StoreFault.IO_ERROR if who in self.broken else disk.commit([(put.key, put.value)])
            keeping.on_write_completed(self.now, put, trouble, disk.generation)
        self.words += [word.message for word in keeping.take_log_messages() if isinstance(word, LogMessage)]
        self.after(250.0, lambda: self.turn(who, life))

    def seated(self) -> list[bool]:
        return [
            one.fleet_components.store.is_voter for one in self.routers if one.fleet_components is not None
        ]

    def entries(self) -> list[int]:
        return [
            len(one.fleet_components.store.snapshot())
            for one in self.routers
            if one.fleet_components is not None
        ]


def fleet() -> Kept:
    made = Kept(5, 1)
    made.run(20_000.0)
    made.declare(2, window(600.0, 700.0, allowance=1) + DISK)
    made.run(20_000.0)
    assert made.seated() == [True] * 5 and made.entries() == [1] * 5
    return made


def test_all_restart_at_once_and_their_disks_know_the_window_and_their_seats() -> None:
    one = fleet()
    for who in range(5):
        one.start(who)
    one.run(3_000.0)
    assert one.seated() == [True] * 5 and one.entries() == [1] * 5


def test_a_disk_that_gives_back_an_older_state_is_dropped_and_begins_above_it() -> None:
    one = fleet()
    old = dict(one.disks[3].open().values), 1
    one.run(3_000.0)
    was = one.disks[3].generation
    one.disks[3] = MemoryBackend()
    one.disks[3].commit(list(old[0].items()))
    assert one.disks[3].generation < was
    one.start(3)
    one.run(3_000.0)
    assert any(word.startswith("store_content_dropped ") for word in one.words)
    one.run(10_000.0)
    assert one.disks[3].generation > was and one.seated()[3] and one.entries()[3] == 1


def test_a_disk_in_trouble_serves_on_and_is_known_for_old_at_the_next_start() -> None:
    one = fleet()
    one.broken.add(3)
    one.declare(1, window(600.0, 690.0, allowance=1) + DISK)
    one.run(8_000.0)
    assert any(word.startswith("store_degraded ") for word in one.words)
    assert one.seated()[3], "it has forgotten nothing yet"
    one.broken.clear()
    one.start(3)
    one.run(3_000.0)
    assert any(word.startswith("store_content_dropped ") for word in one.words)


@pytest.mark.parametrize(("whole", "late"), [(True, 0.0), (False, 0.0), (False, 2400.0)])
def test_a_count_is_remembered_by_a_whole_disk_and_lost_with_a_damaged_one(whole: bool, late: float) -> None:
    one = fleet()
    one.run(560_000.0)  # inside the window
    for turn in range(6):
        for who in range(5):
            one.ask(who, 10 * turn + who)
        one.run(3_000.0)
    assert len(one.loads) == 1
    for who in range(5):
        read = one.disks[who].open()
        read = read if whole else LoadResult(read.values, read.generation, StoreFault.CORRUPTED)
        one.start(who, read, late)
    one.run(20_000.0)
    for turn in range(6):
        for who in range(5):
            one.ask(who, 500 + 10 * turn + who)
        one.run(3_000.0)
    assert len(one.loads) == 1, "nobody may use what was used before"


def test_the_start_of_the_clock_is_what_windows_are_written_in() -> None:
    made = parse_fleet_config(window(600.0, 700.0))
    assert made.freeze[0].start.timestamp() * 1000.0 == START + 600_000.0
