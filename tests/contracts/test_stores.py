"""The contract of a store, kept by every backend on every host; injected defects are found by it.

The checks keep their own record of what was written and acknowledged, replay power cuts from what the disk
recorded, and believe nothing that a store says of itself but its fault. A new backend joins by a line in
``BACKENDS``, a new host by one in ``HOSTS``.
"""

from __future__ import annotations

import fcntl
import itertools
import queue
import random
import shutil
import threading
from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from cedarthread.persistence import checksums, database_folder, faulty_disk, power_cut, recovered_image
from cedarthread.persistence.disk_worker import CommitCompletion, DiskWorker
from cedarthread.persistence.fault_switch import InjectedFault, ManualSwitch
from cedarthread.persistence.faulty_disk import FaultyDisk
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.recovered_image import ContentVerdict
from cedarthread.persistence.reopen_policy import GIVEN_UP_PAUSE_MS
from cedarthread.persistence.sqlite_database import SqliteDatabase
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StorageBackend, Store, StoreFault
from cedarthread.persistence.store_thread import RESPONSE_TIMEOUT_MS, StoreHost, StoreThread
from cedarthread.persistence.synchronous_store import SynchronousStore
from cedarthread.persistence.write_queue import WriteBatch

DATABASE_NAME = "state-1.db"  # of a store that never had a fault
TEST_TIMEOUT_S = 30.0  # after which a test that waits for a thread has failed
_serial = itertools.count()


# Hosting a store on a thread.


@dataclass
class FakeHost:
    """The clock and the callbacks of a host, and what came by them."""

    now_ms: float = 0.0
    lines: list[str] = field(default_factory=list)
    openings: list[LoadResult] = field(default_factory=list)
    wakes: queue.Queue[None] = field(default_factory=queue.Queue)


_hosts: dict[int, FakeHost] = {}


def host_of(store: Store) -> FakeHost:
    return _hosts[id(store)]


def start_thread(backend: StorageBackend, **arguments: Any) -> StoreThread:
    """A store thread that is hosted by a test."""
    host = FakeHost()
    store_host = StoreHost(
        clock=lambda: host.now_ms,
        wake=lambda: host.wakes.put(None),
        on_opened=host.openings.append,
        log=host.lines.append,
    )
    store = StoreThread(backend, store_host, group_commit_ms=0.0, **arguments)
    _hosts[id(store)] = host
    return store


def wait_until(store: Store, is_reached: Callable[[], bool]) -> None:
    """Run callbacks until something has come about."""
    store.run_callbacks()
    while not is_reached():
        host_of(store).wakes.get(timeout=TEST_TIMEOUT_S)
        store.run_callbacks()


def wait_opened(store: StoreThread) -> StoreThread:
    wait_until(store, lambda: bool(host_of(store).openings))
    return store


# One store under test.


class Mark(NamedTuple):
    """Recorded among the disk's operations: the write of this number was begun, or acknowledged."""

    event: str
    number: int


BEGUN, ACKNOWLEDGED = "begun", "acknowledged"


class StoreUnderTest:
    """A disk, a folder on it, a store there, and the record of what was written."""

    def __init__(self, tmp_path: Path, backend: str, host: str) -> None:
        self.tmp_path = tmp_path
        self.folder = tmp_path / f"disk{next(_serial)}"
        self.folder.mkdir()
        self.switch, self.vfs = ManualSwitch(), f"faulty{next(_serial)}"
        self.sync_hangs, self.sync_may_end = threading.Event(), threading.Event()
        self.disk = FaultyDisk(self.vfs, self.switch, 7, self._hang, record=True)
        self.make_backend, self.make_store = BACKENDS[backend], HOSTS[host]
        self.memory_backend = MemoryBackend()
        self.writes: list[KeyValueWrite] = []  # all that were begun, in order
        self.ends: dict[int, StoreFault | None] = {}  # by the number of the write
        self._recovered: dict[tuple[tuple[str, bytes], ...], LoadResult] = {}
        self.store = self.open()

    def _hang(self, ms: float) -> None:
        self.sync_hangs.set()
        self.sync_may_end.wait(TEST_TIMEOUT_S)

    def open(self) -> Store:
        self.store = self.make_store(self)
        return self.store

    def restart(self) -> LoadResult:
        """What the router's next incarnation finds."""
        self.store.close()
        return self.open().load()

    def begin_write(self, key: str, value: bytes | None) -> int:
        number = len(self.writes)
        self.writes.append((key, value))
        self.disk.add_mark(Mark(BEGUN, number))

        def on_end(fault: StoreFault | None) -> None:
            assert number not in self.ends, "a callback runs once"
            self.ends[number] = fault
            if fault is None:
                self.disk.add_mark(Mark(ACKNOWLEDGED, number))

        self.store.put(key, value, on_end)
        return number

    def write(self, key: str, value: bytes | None) -> StoreFault | None:
        number = self.begin_write(key, value)
        wait_until(self.store, lambda: number in self.ends)
        return self.ends[number]

    def marks(self) -> list[object]:
        return [operation.mark for operation in self.disk.operations if operation.mark is not None]

    def recover(self, image: dict[str, bytes]) -> LoadResult:
        """What a restart finds in files as a power cut left them, by a plain backend on another folder.

        Asked only once what it finds in the same bytes.
        """
        key = tuple(sorted(image.items()))
        if key in self._recovered:
            return self._recovered[key]
        folder = self.tmp_path / f"cut{next(_serial)}"
        folder.mkdir()
        for path, content in image.items():
            (folder / Path(path).name).write_bytes(content)
        backend = SqliteBackend(folder)
        load_result = self._recovered[key] = backend.open()
        backend.close()
        shutil.rmtree(folder)
        return load_result


BACKENDS: dict[str, Callable[[StoreUnderTest], StorageBackend]] = {
    "memory": lambda test: test.memory_backend,
    "sqlite": lambda test: SqliteBackend(test.folder),
    "sqlite on a faulty disk": lambda test: SqliteBackend(test.folder, vfs=test.vfs),
}
HOSTS: dict[str, Callable[[StoreUnderTest], Store]] = {
    "synchronous": lambda test: SynchronousStore(test.make_backend(test)),
    "thread": lambda test: wait_opened(start_thread(test.make_backend(test))),
    "thread, each": lambda test: wait_opened(start_thread(test.make_backend(test), sync_mode="each")),
}
FAULTY_DISK = "sqlite on a faulty disk"


def allowed_values(writes: list[KeyValueWrite], marks: list[object]) -> dict[str, set[bytes | None]]:
    """What each key may have: the value that was acknowledged last, or one that was written later."""
    allowed: dict[str, set[bytes | None]] = {key: {None} for key, _ in writes}
    for mark in marks:
        assert isinstance(mark, Mark)
        key, value = writes[mark.number]
        allowed[key] = {value} if mark.event == ACKNOWLEDGED else allowed[key] | {value}
    return allowed


def check_content(writes: list[KeyValueWrite], marks: list[object], load_result: LoadResult) -> None:
    allowed = allowed_values(writes, marks)
    assert set(load_result.values) <= set(allowed), "a key that was never written"
    for key, values in allowed.items():
        assert load_result.values.get(key) in values, f"{key}: neither acknowledged nor later"


def check_power_cuts(test: StoreUnderTest, since: int = 0) -> int:
    """Replay a power cut after each operation from ``since`` on, by several models; how many there were."""
    replayed = 0
    exact_models = (power_cut.lose_unsynced, power_cut.keep_unsynced)
    torn_models = (power_cut.tear_unsynced(random.Random(seed)) for seed in range(5))
    for model in (*exact_models, *torn_models):
        min_generation = 0
        images = power_cut.power_cut_images(test.disk.operations, model)
        for number, (marks, image) in enumerate(images):
            if number < since:
                continue
            load_result = test.recover(image)
            assert load_result.fault is None, "the disk is honest, and no operator is to be woken"
            check_content(test.writes, marks, load_result)
            acknowledged = sum(isinstance(mark, Mark) and mark.event == ACKNOWLEDGED for mark in marks)
            assert load_result.generation >= max(acknowledged, min_generation), "it only grows"
            min_generation = load_result.generation if model in exact_models else 0
            replayed += 1
    return replayed


def run_workload(test: StoreUnderTest, write_count: int, seed: int = 3) -> None:
    rng = random.Random(seed)
    for number in range(write_count):
        key = f"key {rng.randrange(4)}"
        value = None if rng.random() < 0.2 else b"%d " % number + rng.randbytes(rng.choice((5, 90, 5000)))
        assert test.write(key, value) is None


# The rules of the contract. Each is a function of a store, so that injected defects meet the same ones.


def rule_acknowledged_writes_last(test: StoreUnderTest) -> None:
    generation = test.store.generation
    for incarnation in range(3):
        for number in range(5):
            assert test.write(f"key {number}", b"%d %d" % (incarnation, number)) is None
            assert test.store.generation > generation
            generation = test.store.generation
        assert test.write("key 0", None) is None
        load_result = test.restart()
        assert load_result.fault is None
        assert "key 0" not in load_result.values
        assert len(load_result.values) == 4
        assert load_result.generation == test.store.generation > generation
        check_content(test.writes, test.marks(), load_result)


def rule_writes_of_a_key_keep_their_order(test: StoreUnderTest) -> None:
    for number in range(30):
        test.begin_write(f"key {number % 3}", b"%d" % number)
    wait_until(test.store, lambda: len(test.ends) == 30)
    assert set(test.ends.values()) == {None}
    assert test.restart().values == {"key 0": b"27", "key 1": b"28", "key 2": b"29"}


def rule_a_reset_drops_all_and_goes_above(test: StoreUnderTest) -> None:
    run_workload(test, 5)
    ends: list[StoreFault | None] = []
    test.store.reset(1000, ends.append)
    test.store.put("later", b"kept", ends.append)
    wait_until(test.store, lambda: len(ends) == 2)
    assert ends == [None, None]
    load_result = test.restart()
    assert load_result.values == {"later": b"kept"}
    assert load_result.generation > 1000


def rule_a_power_cut_at_any_write_loses_nothing(test: StoreUnderTest) -> None:
    run_workload(test, 9)
    assert check_power_cuts(test) > 400


def end_fault(test: StoreUnderTest) -> None:
    """The disk works again: have the store opened again."""
    test.switch.fault = InjectedFault.NONE
    store = test.store
    if isinstance(store, SynchronousStore):
        store.reopen()
    else:
        host = host_of(store)
        host.now_ms += GIVEN_UP_PAUSE_MS
        count = len(host.openings)
        wait_until(store, lambda: len(host.openings) > count)


class FaultCase(NamedTuple):
    """A fault of the disk, its parameter, and how the store is to report it."""

    injected: InjectedFault
    parameter: float
    reported: StoreFault


FAULT_CASES = [
    FaultCase(InjectedFault.DISK_FULL, 0.0, StoreFault.DISK_FULL),
    FaultCase(InjectedFault.EIO_WRITE, 0.0, StoreFault.IO_ERROR),
    FaultCase(InjectedFault.READ_ONLY, 0.0, StoreFault.READ_ONLY),
    FaultCase(InjectedFault.FOLDER_MISSING, 0.0, StoreFault.IO_ERROR),
    *(FaultCase(InjectedFault.EIO_SYNC, float(passed), StoreFault.IO_ERROR) for passed in range(4)),
]


def rule_after_a_fault_nothing_is_acknowledged_and_nothing_lost(
    test: StoreUnderTest, case: FaultCase
) -> None:
    for number in range(3):
        assert test.write(f"key {number}", bytes([number]) * 3000) is None
    allowed_before = dict(allowed_values(test.writes, test.marks()))
    test.switch.fault, test.switch.parameter = case.injected, case.parameter
    assert test.write("key 1", b"during the fault" * 500) is case.reported
    test.switch.fault = InjectedFault.NONE
    generation = test.store.generation
    assert test.write("key 2", b"not believed yet") is case.reported, "only an opening ends a fault"
    assert test.store.fault is case.reported
    assert test.store.generation == generation
    since = len(test.disk.operations)
    end_fault(test)
    assert test.store.fault is None
    assert test.write("key 0", b"after") is None
    check_power_cuts(test, since)
    load_result = test.restart()
    assert load_result.fault is None
    assert {load_result.values["key 2"]} == allowed_before["key 2"]
    check_content(test.writes, test.marks(), load_result)


def rule_a_folder_may_go_and_come_back(test: StoreUnderTest) -> None:
    run_workload(test, 6)
    shutil.rmtree(test.folder)
    assert test.write("key 1", b"to nowhere") in (StoreFault.FOLDER_MISSING, StoreFault.IO_ERROR)
    if isinstance(test.store, SynchronousStore):
        test.store.reopen()
        assert test.store.fault is StoreFault.FOLDER_MISSING
    assert not test.folder.exists(), "a mount that is missing is not filled in"
    test.folder.mkdir()
    end_fault(test)
    assert test.write("key 9", b"back") is None
    check_content(test.writes, test.marks(), test.restart())


def rule_a_second_writer_is_locked_out(test: StoreUnderTest) -> None:
    run_workload(test, 3)
    first = test.store
    second = SynchronousStore(test.make_backend(test))
    assert second.fault is StoreFault.LOCKED
    assert not second.load().values
    second.close()
    test.store = first
    assert test.write("key 1", b"still mine") is None


def rule_no_flipped_bit_passes(test: StoreUnderTest, flip_count: int = 150) -> None:
    run_workload(test, 8)
    test.store.close()
    path, rng, reported = test.folder / DATABASE_NAME, random.Random(11), 0
    content = path.read_bytes()
    journal = path.with_name(f"{DATABASE_NAME}-journal").read_bytes()
    for _ in range(flip_count):
        flipped = faulty_disk.flip_bit(content, rng.randrange(8 * len(content)))
        load_result = test.recover({DATABASE_NAME: flipped, f"{DATABASE_NAME}-journal": journal})
        reported += load_result.fault is StoreFault.CORRUPTED
        if load_result.fault is None:
            check_content(test.writes, test.marks(), load_result)
        for write in load_result.values.items():
            assert write in test.writes, "never a value that was not written"
        assert load_result.is_writable, "the rest of it can be used"
    assert reported > flip_count // 4


def rule_corrupted_content_is_reported_once_and_the_rest_kept(test: StoreUnderTest) -> None:
    """The corrupted file is put aside, and writing goes on."""
    run_workload(test, 8)
    test.store.close()
    path = test.folder / DATABASE_NAME
    content = path.read_bytes()
    last_values = {key: value for key, value in test.writes if value is not None}
    target = max((value for value in last_values.values() if value in content), key=len)
    path.write_bytes(content.replace(target, faulty_disk.flip_bit(target, 8)))
    load_result = test.open().load()
    assert load_result.fault is StoreFault.CORRUPTED
    assert target not in load_result.values.values()
    assert path.with_name(database_folder.QUARANTINE_FILE).exists()
    assert test.write("new", b"value") is None
    later = test.restart()
    assert later.fault is None
    assert later.values == {**load_result.values, "new": b"value"}
    assert later.generation > load_result.generation


def rule_stale_content_is_dropped(test: StoreUnderTest, injected: InjectedFault) -> None:
    """What peers remember shows it; then all is dropped, and the generation goes above theirs."""
    run_workload(test, 4)
    test.restart()
    if injected is InjectedFault.UNSYNCED:
        test.switch.fault = injected
    run_workload(test, 4, seed=8)
    remembered = test.store.generation
    test.store.close()
    if injected is InjectedFault.UNSYNCED:
        test.disk.cached_files.clear()  # the power cut: what was only in the page cache is gone
    is_stale = injected is InjectedFault.STALE_CONTENT
    test.switch.fault = injected if is_stale else InjectedFault.NONE
    load_result = test.open().load()
    test.switch.fault = InjectedFault.NONE
    assert load_result.fault is None and load_result.values, "the disk alone does not show it"
    assert recovered_image.assess_content(load_result, [3, remembered]) is ContentVerdict.REJECTED
    ends: list[StoreFault | None] = []
    test.store.reset(remembered, ends.append)
    wait_until(test.store, lambda: bool(ends))
    load_result = test.restart()
    assert not load_result.values
    assert recovered_image.assess_content(load_result, [remembered]) is ContentVerdict.TRUSTED


def rule_a_hanging_disk_holds_nobody_up(test: StoreUnderTest) -> None:
    """A sync that never ends: nothing is acknowledged, the host is told in time, and can close."""
    test.store.close()
    backend = SqliteBackend(test.folder, vfs=test.vfs)
    store = test.store = wait_opened(start_thread(backend, close_timeout_ms=20.0))
    host = host_of(store)
    test.switch.fault = InjectedFault.SLOW_SYNC
    test.begin_write("key 1", b"hangs")
    assert test.sync_hangs.wait(TEST_TIMEOUT_S)
    store.run_callbacks()
    assert not test.ends, "not before the commit"
    host.now_ms += RESPONSE_TIMEOUT_MS
    store.run_callbacks()
    assert test.ends == {0: StoreFault.UNRESPONSIVE}
    assert store.fault is StoreFault.UNRESPONSIVE
    assert test.write("key 2", b"waits for the disk") is StoreFault.UNRESPONSIVE
    store.close()
    assert store._worker.thread.is_alive(), "closing did not wait for the disk"
    assert sum("no answer" in line for line in host.lines) == 1
    test.sync_may_end.set()
    store._worker.thread.join(TEST_TIMEOUT_S)
    assert not store._worker.thread.is_alive()


Rule = Callable[[StoreUnderTest], None]


class ContractCase(NamedTuple):
    """A rule, and the backends and hosts that it is to hold for."""

    rule: Rule
    backends: tuple[str, ...]
    hosts: tuple[str, ...]
    detail: str = ""

    @property
    def name(self) -> str:
        function = self.rule.func if isinstance(self.rule, partial) else self.rule
        name = function.__name__.removeprefix("rule_")
        return f"{name}-{self.detail}" if self.detail else name


ALL_BACKENDS, ALL_HOSTS = tuple(BACKENDS), tuple(HOSTS)
FILE_BACKENDS, TWO_HOSTS = ("sqlite", FAULTY_DISK), ("synchronous", "thread")
CONTRACT = [
    ContractCase(rule_acknowledged_writes_last, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_writes_of_a_key_keep_their_order, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_a_reset_drops_all_and_goes_above, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_a_folder_may_go_and_come_back, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_a_second_writer_is_locked_out, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_corrupted_content_is_reported_once_and_the_rest_kept, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_a_power_cut_at_any_write_loses_nothing, (FAULTY_DISK,), TWO_HOSTS),
    *(
        ContractCase(
            partial(rule_after_a_fault_nothing_is_acknowledged_and_nothing_lost, case=case),
            (FAULTY_DISK,),
            TWO_HOSTS,
            f"{case.injected.name} {case.parameter:.0f}",
        )
        for case in FAULT_CASES
    ),
    *(
        ContractCase(
            partial(rule_stale_content_is_dropped, injected=injected),
            (FAULTY_DISK,),
            TWO_HOSTS,
            injected.name,
        )
        for injected in (InjectedFault.STALE_CONTENT, InjectedFault.UNSYNCED)
    ),
    ContractCase(rule_no_flipped_bit_passes, ("sqlite",), ("synchronous",)),
    ContractCase(rule_a_hanging_disk_holds_nobody_up, (FAULTY_DISK,), ("synchronous",)),
]


@pytest.mark.parametrize(
    ("rule", "backend", "host"),
    [
        pytest.param(case.rule, backend, host, id=f"{case.name}-{backend}-{host}")
        for case in CONTRACT
        for backend in case.backends
        for host in case.hosts
    ],
)
def test_each_rule_holds(tmp_path: Path, rule: Rule, backend: str, host: str) -> None:
    rule(StoreUnderTest(tmp_path, backend, host))


# Injected defects: each breaks one thing, and a rule above finds it.


class Patch(NamedTuple):
    """What a defect replaces."""

    owner: object
    name: str
    replacement: object


INIT, REWRITE, COMMIT = SqliteBackend.__init__, SqliteBackend._rewrite, SqliteBackend.commit
EXECUTE, COMMIT_BATCH = SqliteDatabase.execute, DiskWorker._commit_batch
WITHOUT_CHECKSUMS = (
    Patch(checksums, "row_checksum", lambda *_: bytes(16)),
    Patch(checksums, "head_checksum", lambda *_: bytes(16)),
)


def init_without_sync(self: SqliteBackend, folder: Path, vfs: str | None = None) -> None:
    INIT(self, folder, "none", vfs)


def rewrite_unless_readable(self: SqliteBackend, values: Any, generation: int) -> None:
    if self._acknowledged is None or self._recover().fault is not None:
        REWRITE(self, values, generation)


def commit_after_a_fault(self: SqliteBackend, writes: Any, above_generation: int | None = None) -> None:
    if self._database is None:
        self._recover()
    COMMIT(self, writes, above_generation)


def replace_in_sql(old: str, new: str) -> Patch:
    def execute(self: SqliteDatabase, statement: str, bindings: Any = ()) -> list[tuple[Any, ...]]:
        return EXECUTE(self, statement.replace(old, new), bindings)

    return Patch(SqliteDatabase, "execute", execute)


def call_back_before_commit(self: DiskWorker, batch: Any) -> Any:
    callbacks, batch.callbacks = batch.callbacks, []
    early = WriteBatch({}, callbacks)
    self._completions.append(CommitCompletion(early, None, self._backend.generation))
    return COMMIT_BATCH(self, batch)


INJECTED_DEFECTS: dict[str, tuple[Rule, tuple[Patch, ...]]] = {
    "acknowledges before the sync": (
        rule_a_power_cut_at_any_write_loses_nothing,
        (Patch(SqliteBackend, "__init__", init_without_sync),),
    ),
    "believes what the system reads of a file after its sync failed": (
        partial(
            rule_after_a_fault_nothing_is_acknowledged_and_nothing_lost,
            case=FaultCase(InjectedFault.EIO_SYNC, 3.0, StoreFault.IO_ERROR),
        ),
        (Patch(SqliteBackend, "_rewrite", rewrite_unless_readable),),
    ),
    "goes on writing after a failed sync": (
        partial(
            rule_after_a_fault_nothing_is_acknowledged_and_nothing_lost,
            case=FaultCase(InjectedFault.EIO_SYNC, 2.0, StoreFault.IO_ERROR),
        ),
        (Patch(SqliteBackend, "commit", commit_after_a_fault),),
    ),
    "has no checksums": (rule_no_flipped_bit_passes, WITHOUT_CHECKSUMS),
    "accepts a value of which a part was written": (
        rule_a_power_cut_at_any_write_loses_nothing,
        (replace_in_sql("journal_mode=PERSIST", "journal_mode=OFF"), *WITHOUT_CHECKSUMS),
    ),
    "writes rows and head in separate transactions": (
        rule_a_power_cut_at_any_write_loses_nothing,
        (Patch(SqliteDatabase, "transaction", lambda _: nullcontext()),),
    ),
    "believes stale content": (
        partial(rule_stale_content_is_dropped, injected=InjectedFault.STALE_CONTENT),
        (Patch(recovered_image, "assess_content", lambda *_: ContentVerdict.TRUSTED),),
    ),
    "has no lock against a second writer": (
        rule_a_second_writer_is_locked_out,
        (replace_in_sql("=EXCLUSIVE", "=NORMAL"), Patch(fcntl, "flock", lambda *_: None)),
    ),
    "does not look whether its file is still in its folder": (
        rule_a_folder_may_go_and_come_back,
        (Patch(database_folder, "device_and_inode", lambda _: (0, 0)),),
    ),
    "runs the callbacks of a batch before its commit": (
        rule_a_hanging_disk_holds_nobody_up,
        (Patch(DiskWorker, "_commit_batch", call_back_before_commit),),
    ),
}


@pytest.mark.parametrize("defect", INJECTED_DEFECTS)
def test_a_rule_finds_each_injected_defect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, defect: str
) -> None:
    rule, patches = INJECTED_DEFECTS[defect]
    for patch in patches:
        monkeypatch.setattr(patch.owner, patch.name, patch.replacement)
    with pytest.raises(AssertionError):
        rule(StoreUnderTest(tmp_path, FAULTY_DISK, "synchronous"))
