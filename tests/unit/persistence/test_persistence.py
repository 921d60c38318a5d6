"""Persistence piece by piece: reopen policy, store thread, recovered image, SQLite backend, faulty disk."""

from __future__ import annotations

import random
import sqlite3
import subprocess
import sys
import threading
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.persistence import fault_switch, faulty_disk, write_queue
from cedarthread.persistence.checksums import row_checksum
from cedarthread.persistence.fault_switch import InjectedFault
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.recovered_image import (
    ContentVerdict,
    RecoveredImage,
    RouterIncarnation,
    assess_content,
    decode_image,
    encode_entry,
    encode_incarnation,
)
from cedarthread.persistence.reopen_policy import (
    GIVEN_UP_PAUSE_MS,
    INITIAL_BACKOFF_MS,
    MAX_ATTEMPTS,
    MAX_BACKOFF_MS,
    ReopenPolicy,
    StoreState,
)
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import KeyValueWrite, LoadResult, StoreFault
from cedarthread.persistence.store_thread import RESPONSE_TIMEOUT_MS
from tests.contracts.test_stores import TEST_TIMEOUT_S, host_of, start_thread, wait_opened, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

Ends = list[StoreFault | None]

# The reopen policy.


def fail_each_attempt(
    policy: ReopenPolicy, until_ms: float, fault: StoreFault
) -> tuple[list[float], list[str]]:
    """When each reopening was attempted, all of which fail, and the lines to log."""
    attempts, lines, now_ms = [], [], 0.0
    while now_ms < until_ms:
        if policy.take_due_attempt(now_ms):
            attempts.append(now_ms)
            lines.append(policy.on_failure(now_ms, fault) or "")
        now_ms += 10.0
    return attempts, [line for line in lines if line]


def test_attempts_back_off_are_bounded_and_logged_once() -> None:
    policy = ReopenPolicy(seed=4)
    assert policy.on_opened(0.0) is None and policy.state is StoreState.HEALTHY
    line = policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert line is not None and StoreFault.IO_ERROR.value in line
    attempts, lines = fail_each_attempt(policy, GIVEN_UP_PAUSE_MS, StoreFault.IO_ERROR)
    assert len(attempts) == MAX_ATTEMPTS
    assert len(lines) == 1 and lines[0].startswith("store_given_up ")
    waits = [after - before for before, after in zip([0.0, *attempts], attempts, strict=False)]
    for number, wait_ms in enumerate(waits):
        backoff_ms = min(INITIAL_BACKOFF_MS * 2**number, MAX_BACKOFF_MS)
        assert backoff_ms / 2 <= wait_ms <= backoff_ms + 10.0
    assert policy.state.value == StoreState.GIVEN_UP.value
    assert not policy.take_due_attempt(policy.next_attempt_at_ms - 1.0)
    assert policy.take_due_attempt(policy.next_attempt_at_ms)
    line = policy.on_opened(policy.next_attempt_at_ms)
    assert line is not None and line.startswith("store_recovered ") and policy.fault is None


def test_routers_on_one_disk_do_not_reopen_at_once() -> None:
    policies = [ReopenPolicy(seed) for seed in range(10)]
    for policy in policies:
        policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert len({round(policy.next_attempt_at_ms) for policy in policies}) > 5


def test_another_fault_is_logged_and_an_unresponsive_disk_recovers_by_itself() -> None:
    policy = ReopenPolicy(seed=1)
    policy.on_opened(0.0)
    assert policy.on_timeout(0.0) and policy.on_timeout(1.0) is None
    assert policy.fault is StoreFault.UNRESPONSIVE
    assert not policy.take_due_attempt(1e9), "it is not asked again before it has answered"
    assert policy.on_write_succeeded(2000.0) == "store_recovered after_s=2.0"
    assert policy.on_failure(3000.0, StoreFault.DISK_FULL)
    assert policy.on_failure(3001.0, StoreFault.DISK_FULL) is None
    assert policy.on_failure(3002.0, StoreFault.READ_ONLY)
    assert policy.take_due_attempt(policy.next_attempt_at_ms)
    assert policy.on_timeout(9e9) is None, "the fault is known already"


# The store thread.


class GatedBackend(MemoryBackend):
    """A memory backend one of whose methods waits until it is let through."""

    def __init__(self, gated: str = "commit") -> None:
        super().__init__()
        self.gated = gated
        self.entered, self.released = threading.Semaphore(0), threading.Semaphore(0)
        self.commits: list[list[KeyValueWrite]] = []
        self.raises = False

    def _pass(self, method: str) -> None:
        if method == self.gated:
            self.entered.release()
            assert self.released.acquire(timeout=TEST_TIMEOUT_S)

    def open(self) -> LoadResult:
        self._pass("open")
        return super().open()

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        self.commits.append(list(writes))
        self._pass("commit")
        if self.raises:
            raise RuntimeError("a defect of the backend")
        return super().commit(writes, above_generation)


def test_pending_writes_share_a_commit_and_a_newer_one_replaces_an_older() -> None:
    backend, ends = GatedBackend(), list[tuple[int, StoreFault | None]]()
    store = wait_opened(start_thread(backend))

    def write(number: int, key: str) -> None:
        store.put(key, b"%d" % number, lambda fault: ends.append((number, fault)))

    write(0, "a")
    assert backend.entered.acquire(timeout=TEST_TIMEOUT_S)
    for number in range(1, 5):
        write(number, "ab"[number % 2])
    store.run_callbacks()
    assert not ends
    backend.released.release(2)
    wait_until(store, lambda: len(ends) == 5)
    assert backend.commits == [[("a", b"0")], [("b", b"3"), ("a", b"4")]]
    assert ends == [(number, None) for number in range(5)] and store.statistics.acknowledged == 3
    assert store.statistics.pending == store.statistics.pending_bytes == 0
    store.close()


def test_with_sync_each_every_key_has_a_commit() -> None:
    backend, ends = GatedBackend(gated="open"), Ends()
    store = start_thread(backend, sync_mode="each")
    for number in range(3):
        store.put(f"{number}", b"", ends.append)
    backend.released.release()
    wait_until(store, lambda: len(ends) == 3)
    assert [len(writes) for writes in backend.commits] == [1, 1, 1]
    store.close()


def test_a_full_queue_rejects_writes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_queue, "MAX_PENDING_WRITES", 3)
    monkeypatch.setattr(write_queue, "MAX_PENDING_BYTES", 100)
    backend, ends = GatedBackend(gated="open"), Ends()
    store = start_thread(backend)
    store.put("large", bytes(200), ends.append)
    assert ends == [StoreFault.UNRESPONSIVE]
    for number in range(4):
        store.put(f"{number}", b"", ends.append)
    assert ends == [StoreFault.UNRESPONSIVE] * 2 and store.statistics.rejected == 2
    backend.released.release()
    wait_until(store, lambda: len(ends) == 5)
    assert ends[2:] == [None] * 3
    store.close()


def test_a_start_does_not_wait_for_a_disk_that_hangs() -> None:
    backend, ends = GatedBackend(gated="open"), Ends()
    backend.commit([("kept", b"before")])
    store = start_thread(backend)
    host = host_of(store)
    store.put("a", b"1", ends.append)
    store.run_callbacks()
    assert not host.openings and store.load().fault is StoreFault.UNRESPONSIVE
    host.now_ms += RESPONSE_TIMEOUT_MS
    store.run_callbacks()
    assert host.openings == [LoadResult({}, 0, StoreFault.UNRESPONSIVE)]
    assert ends == [StoreFault.UNRESPONSIVE]
    backend.released.release()
    wait_until(store, lambda: len(host.openings) == 2)
    assert host.openings[1].values == {"kept": b"before"} and store.fault is None
    store.put("b", b"2", ends.append)
    wait_until(store, lambda: len(ends) == 2)
    assert ends[1] is None and backend.open is not None
    store.close()
    expected = {"kept": b"before", "a": b"1", "b": b"2"}
    assert dict(backend._values) == expected, "the write that ended UNRESPONSIVE was made all the same"


def test_an_exception_of_the_backend_is_a_fault_and_does_not_end_the_thread() -> None:
    backend, ends = GatedBackend(gated="nothing"), Ends()
    store = wait_opened(start_thread(backend))
    backend.raises = True
    store.put("a", b"1", ends.append)
    wait_until(store, lambda: bool(ends))
    backend.raises = False
    host_of(store).now_ms += MAX_BACKOFF_MS
    wait_until(store, lambda: store.fault is None)
    store.put("a", b"2", ends.append)
    wait_until(store, lambda: len(ends) == 2)
    assert ends == [StoreFault.IO_ERROR, None]
    store.close()
    store.put("a", b"3", ends.append)
    assert ends[2] is StoreFault.UNRESPONSIVE, "closed"


def test_writes_behind_a_failed_commit_end_with_its_fault() -> None:
    backend, ends = GatedBackend(), Ends()
    store = wait_opened(start_thread(backend))
    store.put("a", b"1", ends.append)
    assert backend.entered.acquire(timeout=TEST_TIMEOUT_S)
    backend.raises = True
    store.put("b", b"2", ends.append)
    backend.released.release(2)
    wait_until(store, lambda: bool(ends))
    assert ends == [StoreFault.IO_ERROR] * 2
    store.close()
    assert len(backend.commits) == 1, "nothing is written on"


def test_writing_without_sync_is_logged_as_a_risk() -> None:
    store = wait_opened(start_thread(MemoryBackend(), sync_mode="none"))
    assert any("MAY BE LOST" in line for line in host_of(store).lines)
    store.close()


# The recovered image.

ENTRY = Entry(EntryKind.FREEZE, "close", Version(7, 3, 2**64 - 1), b"body", 2**127 + 5)
INCARNATION = RouterIncarnation(3, 2**63, 9, True)
OPAQUE_VALUES = {"warm": b"owner's", "grants": b"too"}
VALUES = dict([encode_incarnation(INCARNATION), encode_entry(ENTRY), *OPAQUE_VALUES.items()])


def test_an_image_decodes_as_encoded() -> None:
    assert decode_image(VALUES) == RecoveredImage(INCARNATION, (ENTRY,), b"owner's", b"too")


def test_bad_values_are_left_out_and_counted() -> None:
    key, raw = encode_entry(ENTRY)
    values = {
        "life": raw,  # of another kind
        "entry/freeze/other": raw,  # under another key
        "strange": b"",
        "entry/x": b"\xdd\xff\xff\xff\xff",  # cut short
        key: raw,  # a good one
    }
    image = decode_image(values)
    assert image.rejected_count == 4 and image.entries == (ENTRY,)
    assert image.incarnation is None and image.warm_state is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(sorted(set(VALUES) - set(OPAQUE_VALUES))),
    st.binary(max_size=60),
    st.integers(0, 2**16),
    st.booleans(),
)
def test_no_bytes_raise_and_each_value_has_one_encoding(key: str, raw: bytes, bit: int, is_raw: bool) -> None:
    value = raw if is_raw else faulty_disk.flip_bit(VALUES[key], bit % (8 * len(VALUES[key])))
    image = decode_image({key: value})
    encoded_again = [encode_entry(entry) for entry in image.entries]
    if image.incarnation is not None:
        encoded_again.append(encode_incarnation(image.incarnation))
    assert len(encoded_again) <= 1
    assert image.rejected_count or encoded_again == [(key, value)]


def test_only_content_no_older_than_peers_remember_is_trusted() -> None:
    load_result = LoadResult({"a": b""}, 7)
    assert assess_content(load_result, []) is ContentVerdict.TRUSTED
    assert assess_content(load_result, [3, 7]) is ContentVerdict.TRUSTED
    assert assess_content(load_result, [3, 8]) is ContentVerdict.REJECTED
    corrupted = replace(load_result, fault=StoreFault.CORRUPTED)
    assert assess_content(corrupted, [7]) is ContentVerdict.PARTIAL


def test_only_the_canonical_encoding_is_read_and_only_under_its_key() -> None:
    raw = encode_incarnation(INCARNATION)[1]
    assert decode_image({"life": raw}).incarnation == INCARNATION
    router_index_in_two_bytes = raw[:1] + b"\xcc" + raw[1:]
    assert decode_image({"life": router_index_in_two_bytes}).rejected_count == 1
    assert decode_image({"life/more": raw}).rejected_count == 1


# The SQLite backend.


def write_database(folder: Path) -> Path:
    backend = SqliteBackend(folder)
    backend.open()
    assert backend.commit([("a", b"1"), ("b", b"2")]) is None
    backend.close()
    return folder / "state-1.db"


def test_a_missing_row_is_corruption(tmp_path: Path) -> None:
    with sqlite3.connect(write_database(tmp_path)) as connection:
        connection.execute("DELETE FROM rows WHERE key = ?", (b"a",))
    connection.close()
    load_result = SqliteBackend(tmp_path).open()
    assert load_result.fault is StoreFault.CORRUPTED and load_result.values == {"b": b"2"}


def test_a_row_checksum_depends_on_key_generation_and_value() -> None:
    assert len({row_checksum("a", 1, b"bc"), row_checksum("ab", 1, b"c"), row_checksum("a", 2, b"bc")}) == 3


def test_a_file_format_that_sqlite_only_reads_is_replaced_at_the_next_opening(tmp_path: Path) -> None:
    path = write_database(tmp_path)
    path.write_bytes(
        path.read_bytes()[:18] + b"\t" + path.read_bytes()[19:]
    )  # the format version for writing
    backend = SqliteBackend(tmp_path)
    assert len(backend.open().values) == 2
    assert backend.commit([("c", b"3")]) is StoreFault.READ_ONLY
    assert len(backend.open().values) == 2
    assert backend.commit([("c", b"3")]) is None
    backend.close()


def test_older_database_files_are_deleted(tmp_path: Path) -> None:
    write_database(tmp_path).rename(tmp_path / "state-5.db")
    (tmp_path / "state-3.db").write_bytes(b"left behind")
    assert len(SqliteBackend(tmp_path).open().values) == 2
    assert not (tmp_path / "state-3.db").exists() and (tmp_path / "state-5.db").exists()


def test_reopenings_that_fail_lose_nothing(tmp_path: Path) -> None:
    switch, vfs = fault_switch.ManualSwitch(), "reopenings"
    disk = faulty_disk.FaultyDisk(vfs, switch, 5, lambda ms: None)
    backend = SqliteBackend(tmp_path, vfs=vfs)
    backend.open()
    backend.commit([("a", b"1")])
    switch.fault = InjectedFault.DISK_FULL
    assert backend.commit([("b", b"2")]) is StoreFault.DISK_FULL
    switch.fault = InjectedFault.NONE
    assert backend.commit([("b", b"2")]) is not None, "not before it has been opened again"
    switch.fault = InjectedFault.DISK_FULL
    assert [backend.open().fault for _ in range(3)] == [StoreFault.DISK_FULL] * 3
    switch.fault = InjectedFault.NONE
    load_result = backend.open()
    assert load_result.values == {"a": b"1"} and load_result.is_writable
    assert load_result.generation == backend.generation > 2
    backend.close()
    del disk


# The faulty disk.

CHILD_PROGRAM = """
import os, sys
from pathlib import Path
from cedarthread.persistence import faulty_disk
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.synchronous_store import SynchronousStore
faulty_disk.install(Path(sys.argv[1]), seed=1)
store = SynchronousStore(SqliteBackend(Path(sys.argv[2])))
print(store.load().generation, len(store.load().values), flush=True)
for line in sys.stdin:
    store.put(line.strip(), b"value", lambda fault: print(fault and fault.name, flush=True))
os._exit(9)
"""


def run_child(control: Path, folder: Path, *faults: tuple[InjectedFault, float]) -> list[str]:
    """What a process on a faulty disk prints: one write under each fault; it exits without closing."""
    with subprocess.Popen(
        [sys.executable, "-c", CHILD_PROGRAM, str(control), str(folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        lines = [process.stdout.readline().strip()]
        for number, (fault, parameter) in enumerate(faults):
            fault_switch.set_fault(control, fault, parameter)
            process.stdin.write(f"key {number}\n")
            process.stdin.flush()
            lines.append(process.stdout.readline().strip())
        process.stdin.close()
    return lines


def test_a_control_file_switches_the_faults_of_another_process(tmp_path: Path) -> None:
    control, folder = tmp_path / "control", tmp_path / "disk"
    folder.mkdir()
    lines = run_child(control, folder, (InjectedFault.NONE, 0.0), (InjectedFault.DISK_FULL, 0.0))
    assert lines == ["1 0", "None", "DISK_FULL"]
    fault_switch.set_fault(control, InjectedFault.NONE)
    unsynced = (InjectedFault.UNSYNCED, 0.0)
    lines = run_child(control, folder, (InjectedFault.SLOW_SYNC, 1.0), unsynced, unsynced)
    assert lines == ["2 1", "None", "None", "None"], "a disk that does not sync accepts everything"
    backend = SqliteBackend(folder)
    assert backend.open() == LoadResult({"key 0": b"value"}, 3), "and a power cut shows that it did not"
    backend.close()
    fault_switch.set_fault(control, InjectedFault.STALE_CONTENT)
    assert run_child(control, folder) == ["2 1"], "as at the opening before the last writes"


@pytest.mark.parametrize(
    ("fault", "parameter"), [(InjectedFault.TORN_WRITE, 0.0), (InjectedFault.BIT_FLIP, 1.0)]
)
def test_a_write_that_the_disk_damaged_is_seen_at_the_next_start(
    tmp_path: Path, fault: InjectedFault, parameter: float
) -> None:
    switch, rng = fault_switch.ManualSwitch(), random.Random(2)
    vfs = f"damage{fault}"
    disk = faulty_disk.FaultyDisk(vfs, switch, 5, lambda ms: None)
    backend = SqliteBackend(tmp_path, vfs=vfs)
    backend.open()
    assert backend.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    switch.fault, switch.parameter = fault, parameter
    assert backend.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    backend.close()
    del disk
    load_result = SqliteBackend(tmp_path).open()
    assert load_result.fault is StoreFault.CORRUPTED and len(load_result.values) < 9
