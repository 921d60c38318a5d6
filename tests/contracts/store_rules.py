"""The rules of the store's contract, each as a function of one store.

The rules are functions rather than tests, so that injected defects can be checked against the same rules.
They use their own record of writes and acknowledgements, and replay power cuts from the operations that the
disk recorded. Of what the store reports about itself, they use only its fault and its generation.
"""

from __future__ import annotations

import random
import shutil
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.persistence import database_folder, faulty_disk, power_cut, recovered_image
from cedarthread.persistence.fault_switch import InjectedFault
from cedarthread.persistence.recovered_image import ContentVerdict
from cedarthread.persistence.reopen_policy import GIVEN_UP_PAUSE_MS
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault
from cedarthread.persistence.store_thread import RESPONSE_TIMEOUT_MS
from cedarthread.persistence.synchronous_store import SynchronousStore
from tests.contracts.store_fixtures import (
    ACKNOWLEDGED,
    TEST_TIMEOUT_S,
    HostedStoreThread,
    Mark,
    open_store_thread,
    wait_until,
)

if TYPE_CHECKING:
    from tests.contracts.store_fixtures import StoreUnderTest

DATABASE_NAME = "state-1.db"  # of a store that never had a fault


def allowed_values(writes: list[KeyValueWrite], marks: list[object]) -> dict[str, set[bytes | None]]:
    """Return the values that each key may have: the last acknowledged value, and all values written later."""
    allowed: dict[str, set[bytes | None]] = {key: {None} for key, _ in writes}
    for mark in marks:
        assert isinstance(mark, Mark)
        key, value = writes[mark.number]
        allowed[key] = {value} if mark.event == ACKNOWLEDGED else allowed[key] | {value}
    return allowed


def check_content(writes: list[KeyValueWrite], marks: list[object], load_result: LoadResult) -> None:
    """Check that each key has an allowed value."""
    allowed = allowed_values(writes, marks)
    assert set(load_result.values) <= set(allowed), "a key that was never written"
    for key, values in allowed.items():
        assert load_result.values.get(key) in values, (
            f"{key}: value is neither the last acknowledged one nor a later one"
        )


def check_power_cuts(test: StoreUnderTest, since: int = 0) -> int:
    """Check the content after a power cut at each operation from ``since`` on; return the number of cuts."""
    cut_count = 0
    exact_models = (power_cut.lose_unsynced, power_cut.keep_unsynced)
    torn_models = (power_cut.tear_unsynced(random.Random(seed)) for seed in range(5))
    for model in (*exact_models, *torn_models):
        min_generation = 0
        images = power_cut.power_cut_images(test.disk.operations, model)
        for number, (marks, image) in enumerate(images):
            if number < since:
                continue
            load_result = test.recover(image)
            assert load_result.fault is None, "a power cut on a disk without faults must cause no fault"
            check_content(test.writes, marks, load_result)
            acknowledged = sum(isinstance(mark, Mark) and mark.event == ACKNOWLEDGED for mark in marks)
            assert load_result.generation >= max(acknowledged, min_generation), "the generation is too low"
            min_generation = load_result.generation if model in exact_models else 0
            cut_count += 1
    return cut_count


def run_workload(test: StoreUnderTest, write_count: int, seed: int = 3) -> None:
    """Make random writes and deletions of four keys."""
    rng = random.Random(seed)
    for number in range(write_count):
        key = f"key {rng.randrange(4)}"
        value = None if rng.random() < 0.2 else b"%d " % number + rng.randbytes(rng.choice((5, 90, 5000)))
        assert test.write(key, value) is None


def rule_acknowledged_writes_survive_restarts(test: StoreUnderTest) -> None:
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


def rule_writes_of_one_key_are_applied_in_order(test: StoreUnderTest) -> None:
    for number in range(30):
        test.start_write(f"key {number % 3}", b"%d" % number)
    wait_until(test.store, lambda: len(test.results) == 30)
    assert set(test.results.values()) == {None}
    assert test.restart().values == {"key 0": b"27", "key 1": b"28", "key 2": b"29"}


def rule_a_reset_deletes_all_content_and_raises_the_generation(test: StoreUnderTest) -> None:
    run_workload(test, 5)
    results: list[StoreFault | None] = []
    test.store.reset(1000, results.append)
    test.store.put("later", b"value", results.append)
    wait_until(test.store, lambda: len(results) == 2)
    assert results == [None, None]
    load_result = test.restart()
    assert load_result.values == {"later": b"value"}
    assert load_result.generation > 1000


def rule_a_power_cut_at_any_operation_loses_no_acknowledged_write(test: StoreUnderTest) -> None:
    run_workload(test, 9)
    assert check_power_cuts(test) > 400


def clear_fault_and_reopen(test: StoreUnderTest) -> None:
    """Clear the disk's fault, and let the store reopen."""
    test.switch.fault = InjectedFault.NONE
    store = test.store
    if isinstance(store, SynchronousStore):
        store.reopen()
        return
    if not isinstance(store, HostedStoreThread):
        raise TypeError(f"unsupported type of store: {type(store).__name__}")
    host = store.fake_host
    host.now_ms += GIVEN_UP_PAUSE_MS
    count = len(host.openings)
    wait_until(store, lambda: len(host.openings) > count)


class FaultCase(NamedTuple):
    """A fault of the disk, its parameter, and the fault that the store must report."""

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


def rule_after_a_fault_no_write_is_acknowledged_and_no_acknowledged_write_is_lost(
    test: StoreUnderTest, case: FaultCase
) -> None:
    for number in range(3):
        assert test.write(f"key {number}", bytes([number]) * 3000) is None
    allowed_before = dict(allowed_values(test.writes, test.marks()))
    test.switch.fault = case.injected
    test.switch.parameter = case.parameter
    assert test.write("key 1", b"during the fault" * 500) is case.reported
    test.switch.fault = InjectedFault.NONE
    generation = test.store.generation
    assert test.write("key 2", b"before the reopening") is case.reported, (
        "a fault must last until the store is reopened"
    )
    assert test.store.fault is case.reported
    assert test.store.generation == generation
    since = len(test.disk.operations)
    clear_fault_and_reopen(test)
    assert test.store.fault is None
    assert test.write("key 0", b"after") is None
    check_power_cuts(test, since)
    load_result = test.restart()
    assert load_result.fault is None
    assert {load_result.values["key 2"]} == allowed_before["key 2"]
    check_content(test.writes, test.marks(), load_result)


def rule_a_store_recovers_when_its_deleted_folder_is_created_again(test: StoreUnderTest) -> None:
    run_workload(test, 6)
    shutil.rmtree(test.folder)
    assert test.write("key 1", b"lost") in (StoreFault.FOLDER_MISSING, StoreFault.IO_ERROR)
    if isinstance(test.store, SynchronousStore):
        test.store.reopen()
        assert test.store.fault is StoreFault.FOLDER_MISSING
    assert not test.folder.exists(), "the store must not create the mount point of a missing volume"
    test.folder.mkdir()
    clear_fault_and_reopen(test)
    assert test.write("key 9", b"after") is None
    check_content(test.writes, test.marks(), test.restart())


def rule_a_second_writer_is_locked_out(test: StoreUnderTest) -> None:
    run_workload(test, 3)
    first = test.store
    second = SynchronousStore(test.make_backend(test))
    assert second.fault is StoreFault.LOCKED
    assert not second.load().values
    second.close()
    test.store = first
    assert test.write("key 1", b"by the first writer") is None


def rule_each_flipped_bit_is_detected_or_harmless(test: StoreUnderTest, flip_count: int = 150) -> None:
    run_workload(test, 8)
    test.store.close()
    path = test.folder / DATABASE_NAME
    rng = random.Random(11)
    reported = 0
    content = path.read_bytes()
    journal = path.with_name(f"{DATABASE_NAME}-journal").read_bytes()
    for _ in range(flip_count):
        flipped = faulty_disk.flip_bit(content, rng.randrange(8 * len(content)))
        load_result = test.recover({DATABASE_NAME: flipped, f"{DATABASE_NAME}-journal": journal})
        reported += load_result.fault is StoreFault.CORRUPTED
        if load_result.fault is None:
            check_content(test.writes, test.marks(), load_result)
        for write in load_result.values.items():
            assert write in test.writes, "a value that was never written"
        assert load_result.is_writable, "the valid rows must stay usable"
    assert reported > flip_count // 4


def rule_corrupted_content_is_reported_once_and_valid_rows_survive(test: StoreUnderTest) -> None:
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
    """Check that the peers' generation proves stale content, and that a reset sets a higher generation."""
    run_workload(test, 4)
    test.restart()
    if injected is InjectedFault.UNSYNCED:
        test.switch.fault = injected
    run_workload(test, 4, seed=8)
    peer_generation = test.store.generation
    test.store.close()
    if injected is InjectedFault.UNSYNCED:
        test.disk.cached_files.clear()  # a power cut: the unsynced writes in the page cache are lost
    is_stale = injected is InjectedFault.STALE_CONTENT
    test.switch.fault = injected if is_stale else InjectedFault.NONE
    load_result = test.open().load()
    test.switch.fault = InjectedFault.NONE
    assert load_result.fault is None and load_result.values, "the disk alone must not reveal stale content"
    assert recovered_image.assess_content(load_result, [3, peer_generation]) is ContentVerdict.REJECTED
    results: list[StoreFault | None] = []
    test.store.reset(peer_generation, results.append)
    wait_until(test.store, lambda: bool(results))
    load_result = test.restart()
    assert not load_result.values
    assert recovered_image.assess_content(load_result, [peer_generation]) is ContentVerdict.TRUSTED


def rule_an_unresponsive_disk_does_not_block_the_host(test: StoreUnderTest) -> None:
    """Check that while a sync hangs no write is acknowledged, and the host is notified and can close."""
    test.store.close()
    store = open_store_thread(SqliteBackend(test.folder, vfs=test.vfs), close_timeout_ms=20.0)
    test.store = store
    host = store.fake_host
    test.switch.fault = InjectedFault.SLOW_SYNC
    test.start_write("key 1", b"in the endless sync")
    assert test.has_sync_started.wait(TEST_TIMEOUT_S)
    store.run_callbacks()
    assert not test.results, "a callback ran before the commit"
    host.now_ms += RESPONSE_TIMEOUT_MS
    store.run_callbacks()
    assert test.results == {0: StoreFault.UNRESPONSIVE}
    assert store.fault is StoreFault.UNRESPONSIVE
    assert test.write("key 2", b"pending") is StoreFault.UNRESPONSIVE
    store.close()
    assert store._worker.thread.is_alive(), "close waited for the disk"
    assert sum("no answer" in line for line in host.lines) == 1
    test.may_sync_end.set()
    store._worker.thread.join(TEST_TIMEOUT_S)
    assert not store._worker.thread.is_alive()
