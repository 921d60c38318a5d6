"""The parts of the store by themselves: retries, the thread's bounds, what is kept, the control file."""

from __future__ import annotations

import random
import sqlite3
import subprocess
import sys
import threading
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.components import interface
from cedarthread.persistence import fault_switch, faulty_disk, recovered_image, write_queue
from cedarthread.persistence.checksums import row_checksum
from cedarthread.persistence.fault_switch import InjectedFault
from cedarthread.persistence.memory_store import MemoryBackend
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
from tests.contracts.test_stores import CLOCKS, LONG, opened, until, work

# The policy.


def play(policy: ReopenPolicy, until_ms: float, trouble: StoreFault) -> tuple[list[float], list[str]]:
    """Every opening fails: when it was tried, and what was said."""
    tried, said, now = [], [], 0.0
    while now < until_ms:
        if policy.take_due_attempt(now):
            tried.append(now)
            said.append(policy.on_failure(now, trouble) or "")
        now += 10.0
    return tried, [line for line in said if line]


def test_tries_are_backed_off_bounded_and_said_once() -> None:
    policy = ReopenPolicy(seed=4)
    assert policy.on_opened(0.0) is None and policy.state is StoreState.HEALTHY
    line = policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert line is not None and StoreFault.IO_ERROR.value in line
    tried, said = play(policy, GIVEN_UP_PAUSE_MS, StoreFault.IO_ERROR)
    assert len(tried) == MAX_ATTEMPTS and len(said) == 1 and said[0].startswith("store_given_up ")
    waits = [b - a for a, b in zip([0.0, *tried], tried, strict=False)]
    for number, wait in enumerate(waits):
        longest = min(INITIAL_BACKOFF_MS * 2**number, MAX_BACKOFF_MS)
        assert longest / 2 <= wait <= longest + 10.0
    assert policy.state.value == StoreState.GIVEN_UP.value
    assert not policy.take_due_attempt(policy.next_attempt_at_ms - 1.0) and policy.take_due_attempt(
        policy.next_attempt_at_ms
    )
    healed = policy.on_opened(policy.next_attempt_at_ms)
    assert healed is not None and healed.startswith("store_recovered ") and policy.fault is None


def test_routers_on_one_disk_do_not_come_back_at_once() -> None:
    policies = [ReopenPolicy(seed) for seed in range(10)]
    for policy in policies:
        policy.on_failure(0.0, StoreFault.IO_ERROR)
    assert len({round(policy.next_attempt_at_ms) for policy in policies}) > 5


def test_another_trouble_is_said_and_a_slow_disk_comes_back_by_itself() -> None:
    policy = ReopenPolicy(seed=1)
    policy.on_opened(0.0)
    assert (
        policy.on_timeout(0.0) and policy.on_timeout(1.0) is None and policy.fault is StoreFault.UNRESPONSIVE
    )
    assert not policy.take_due_attempt(1e9), "it is not asked again before it has answered"
    assert policy.on_write_succeeded(2000.0) == "store_recovered after_s=2.0"
    assert (
        policy.on_failure(3000.0, StoreFault.DISK_FULL)
        and policy.on_failure(3001.0, StoreFault.DISK_FULL) is None
    )
    assert policy.on_failure(3002.0, StoreFault.READ_ONLY)
    assert policy.take_due_attempt(policy.next_attempt_at_ms) and policy.on_timeout(9e9) is None, (
        "known to be in trouble already"
    )


# The thread.


class Gate(MemoryBackend):
    """A memory whose commits and openings wait to be let through."""

    def __init__(self, shut: str = "commit") -> None:
        super().__init__()
        self.shut, self.began, self.go = shut, threading.Semaphore(0), threading.Semaphore(0)
        self.commits: list[list[KeyValueWrite]] = []
        self.raises = False

    def _pass(self, what: str) -> None:
        if what == self.shut:
            self.began.release()
            assert self.go.acquire(timeout=LONG)

    def open(self) -> LoadResult:
        self._pass("open")
        return super().open()

    def commit(
        self, writes: Sequence[KeyValueWrite], above_generation: int | None = None
    ) -> StoreFault | None:
        self.commits.append(list(writes))
        self._pass("commit")
        if self.raises:
            raise RuntimeError("a defect beneath")
        return super().commit(writes, above_generation)


def test_puts_that_wait_share_a_commit_and_a_newer_one_takes_the_place() -> None:
    gate, ends = Gate(), list[tuple[int, StoreFault | None]]()
    store = opened(work(gate))
    store.put("a", b"0", lambda t: ends.append((0, t)))
    assert gate.began.acquire(timeout=LONG)
    for number in range(1, 5):
        store.put("ab"[number % 2], b"%d" % number, lambda t, n=number: ends.append((n, t)))  # type: ignore[misc]
    store.run_callbacks()
    assert not ends
    gate.go.release(2)
    until(store, lambda: len(ends) == 5)
    assert gate.commits == [[("a", b"0")], [("b", b"3"), ("a", b"4")]]
    assert ends == [(number, None) for number in range(5)] and store.statistics.acknowledged == 3
    assert store.statistics.pending == store.statistics.pending_bytes == 0
    store.close()


def test_each_has_a_commit_a_key() -> None:
    gate, ends = Gate(shut="open"), list[StoreFault | None]()
    store = work(gate, sync_mode="each")
    for number in range(3):
        store.put(f"{number}", b"", ends.append)
    gate.go.release()
    until(store, lambda: len(ends) == 3)
    assert [len(puts) for puts in gate.commits] == [1, 1, 1]
    store.close()


def test_a_full_queue_says_so_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(write_queue, "MAX_PENDING_WRITES", 3)
    monkeypatch.setattr(write_queue, "MAX_PENDING_BYTES", 100)
    gate, ends = Gate(shut="open"), list[StoreFault | None]()
    store = work(gate)
    store.put("large", bytes(200), ends.append)
    assert ends == [StoreFault.UNRESPONSIVE]
    for number in range(4):
        store.put(f"{number}", b"", ends.append)
    assert ends == [StoreFault.UNRESPONSIVE] * 2 and store.statistics.rejected == 2
    gate.go.release()
    until(store, lambda: len(ends) == 5)
    assert ends[2:] == [None] * 3
    store.close()


def test_a_start_does_not_wait_for_a_disk_that_hangs() -> None:
    gate, ends = Gate(shut="open"), list[StoreFault | None]()
    gate.commit([("kept", b"before")])
    store = work(gate)
    clock = CLOCKS[id(store)]
    store.put("a", b"1", ends.append)
    store.run_callbacks()
    assert not clock.opened and store.load().fault is StoreFault.UNRESPONSIVE
    clock.now += RESPONSE_TIMEOUT_MS
    store.run_callbacks()
    assert clock.opened == [LoadResult({}, 0, StoreFault.UNRESPONSIVE)] and ends == [StoreFault.UNRESPONSIVE]
    gate.go.release()
    until(store, lambda: len(clock.opened) == 2)
    assert clock.opened[1].values == {"kept": b"before"} and store.fault is None
    store.put("b", b"2", ends.append)
    until(store, lambda: len(ends) == 2)
    assert ends[1] is None and gate.open is not None
    store.close()
    assert dict(gate._values) == {"kept": b"before", "a": b"1", "b": b"2"}, "what was told SLOW was kept"


def test_a_defect_beneath_is_a_trouble_and_not_the_end_of_the_thread() -> None:
    gate, ends = Gate(shut="nothing"), list[StoreFault | None]()
    store = opened(work(gate))
    gate.raises = True
    store.put("a", b"1", ends.append)
    until(store, lambda: bool(ends))
    gate.raises = False
    clock = CLOCKS[id(store)]
    clock.now += MAX_BACKOFF_MS
    until(store, lambda: store.fault is None)
    store.put("a", b"2", ends.append)
    until(store, lambda: len(ends) == 2)
    assert ends == [StoreFault.IO_ERROR, None]
    store.close()
    store.put("a", b"3", ends.append)
    assert ends[2] is StoreFault.UNRESPONSIVE, "closed"


def test_what_waits_behind_a_failed_commit_ends_with_its_trouble() -> None:
    gate, ends = Gate(), list[StoreFault | None]()
    store = opened(work(gate))
    store.put("a", b"1", ends.append)
    assert gate.began.acquire(timeout=LONG)
    gate.raises = True
    store.put("b", b"2", ends.append)
    gate.go.release(2)
    until(store, lambda: bool(ends))
    assert ends == [StoreFault.IO_ERROR] * 2
    store.close()
    assert len(gate.commits) == 1, "nothing is written on"


def test_no_sync_is_said_loudly() -> None:
    store = opened(work(MemoryBackend(), sync_mode="none"))
    assert any("MAY BE LOST" in line for line in CLOCKS[id(store)].lines)
    store.close()


# What is kept.

ENTRY = interface.Entry(
    interface.EntryKind.FREEZE, "close", interface.Version(7, 3, 2**64 - 1), b"body", 2**127 + 5
)
LIFE = recovered_image.RouterIncarnation(3, 2**63, 9, True)
VALUES = dict(
    [
        recovered_image.encode_incarnation(LIFE),
        recovered_image.encode_entry(ENTRY),
        ("warm", b"owner's"),
        ("grants", b"too"),
    ]
)
WHOLE = recovered_image.RecoveredImage(LIFE, (ENTRY,), b"owner's", b"too")


def test_what_is_kept_is_read_again() -> None:
    assert recovered_image.decode_image(VALUES) == WHOLE


def test_bad_values_are_left_out_and_counted() -> None:
    key, raw = recovered_image.encode_entry(ENTRY)
    bad = {
        "life": raw,
        "entry/freeze/other": raw,
        "strange": b"",
        "entry/x": b"\xdd\xff\xff\xff\xff",
        key: raw,
    }
    kept = recovered_image.decode_image(
        bad
    )  # another kind, under another key, of none, cut short; and a good one
    assert (
        kept.rejected_count == 4
        and kept.entries == (ENTRY,)
        and kept.incarnation is None
        and kept.warm_state is None
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from(sorted(set(VALUES) - {"warm", "grants"})),
    st.binary(max_size=60),
    st.integers(0, 2**16),
    st.booleans(),
)
def test_hostile_bytes_never_raise_and_nothing_is_read_two_ways(
    key: str, raw: bytes, at: int, whole: bool
) -> None:
    value = raw if whole else faulty_disk.flip_bit(VALUES[key], at % (8 * len(VALUES[key])))
    kept = recovered_image.decode_image({key: value})
    written = [
        *(recovered_image.encode_incarnation(one) for one in [kept.incarnation] if one),
        *(recovered_image.encode_entry(one) for one in kept.entries),
    ]
    assert len(written) <= 1 and (kept.rejected_count or written == [(key, value)])


def test_only_what_is_no_older_than_remembered_is_believed() -> None:
    found = LoadResult({"a": b""}, 7)
    assert (
        recovered_image.assess_content(found, [])
        is recovered_image.assess_content(found, [3, 7])
        is recovered_image.ContentVerdict.TRUSTED
    )
    assert recovered_image.assess_content(found, [3, 8]) is recovered_image.ContentVerdict.REJECTED
    assert (
        recovered_image.assess_content(replace(found, fault=StoreFault.CORRUPTED), [7])
        is recovered_image.ContentVerdict.PARTIAL
    )


def test_only_one_way_of_writing_is_read_and_only_under_its_key() -> None:
    raw = recovered_image.encode_incarnation(LIFE)[1]
    assert recovered_image.decode_image({"life": raw}).incarnation == LIFE
    assert recovered_image.decode_image({"life": raw[:1] + b"\xcc" + raw[1:]}).rejected_count == 1, (
        "3 in two bytes"
    )
    assert recovered_image.decode_image({"life/more": raw}).rejected_count == 1


# The file.


def stored(folder: Path) -> Path:
    store = SqliteBackend(folder)
    store.open()
    assert store.commit([("a", b"1"), ("b", b"2")]) is None
    store.close()
    return folder / "state-1.db"


def test_a_row_that_is_missing_is_damage(tmp_path: Path) -> None:
    with sqlite3.connect(stored(tmp_path)) as other:
        other.execute("DELETE FROM rows WHERE key = ?", (b"a",))
    other.close()
    found = SqliteBackend(tmp_path).open()
    assert found.fault is StoreFault.CORRUPTED and found.values == {"b": b"2"}


def test_a_value_has_another_sum_under_another_key() -> None:
    assert len({row_checksum("a", 1, b"bc"), row_checksum("ab", 1, b"c"), row_checksum("a", 2, b"bc")}) == 3


def test_a_flipped_format_is_read_only_until_the_next_opening(tmp_path: Path) -> None:
    path = stored(tmp_path)
    path.write_bytes(path.read_bytes()[:18] + b"\t" + path.read_bytes()[19:])
    store = SqliteBackend(tmp_path)
    assert len(store.open().values) == 2
    assert store.commit([("c", b"3")]) is StoreFault.READ_ONLY, (
        "SQLite only reads a format that it does not know"
    )
    assert len(store.open().values) == 2 and store.commit([("c", b"3")]) is None, (
        "a new file at the next opening"
    )
    store.close()


def test_files_of_before_are_cleared_away(tmp_path: Path) -> None:
    stored(tmp_path).rename(tmp_path / "state-5.db")
    (tmp_path / "state-3.db").write_bytes(b"left behind")
    assert len(SqliteBackend(tmp_path).open().values) == 2
    assert not (tmp_path / "state-3.db").exists() and (tmp_path / "state-5.db").exists()


def test_tries_that_fail_lose_nothing(tmp_path: Path) -> None:
    hand, name = fault_switch.ManualSwitch(), "tries"
    disk = faulty_disk.FaultyDisk(name, hand, 5, lambda ms: None)
    store = SqliteBackend(tmp_path, vfs=name)
    store.open()
    store.commit([("a", b"1")])
    hand.fault = InjectedFault.DISK_FULL
    assert store.commit([("b", b"2")]) is StoreFault.DISK_FULL
    hand.fault = 0
    assert store.commit([("b", b"2")]) is not None, "not before it was opened anew"
    hand.fault = InjectedFault.DISK_FULL
    assert [store.open().fault for _ in range(3)] == [StoreFault.DISK_FULL] * 3
    hand.fault = 0
    found = store.open()
    assert found.values == {"a": b"1"} and found.is_writable and found.generation == store.generation > 2
    store.close()
    del disk


# The lying disk in a process of its own.

CHILD = """
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


def child(control: Path, folder: Path, *faults: tuple[InjectedFault, float]) -> list[str]:
    """A process with the lying disk: a put under each fault in turn; then it dies without closing."""
    with subprocess.Popen(
        [sys.executable, "-c", CHILD, str(control), str(folder)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdin is not None and process.stdout is not None
        said = [process.stdout.readline().strip()]
        for number, (kind, figure) in enumerate(faults):
            fault_switch.set_fault(control, kind, figure)
            process.stdin.write(f"key {number}\n")
            process.stdin.flush()
            said.append(process.stdout.readline().strip())
        process.stdin.close()
    return said


def test_another_process_switches_the_faults(tmp_path: Path) -> None:
    control, folder = tmp_path / "control", tmp_path / "disk"
    folder.mkdir()
    assert child(control, folder, (InjectedFault.NONE, 0.0), (InjectedFault.DISK_FULL, 0.0)) == [
        "1 0",
        "None",
        "DISK_FULL",
    ]
    fault_switch.set_fault(control, InjectedFault.NONE)
    lies = child(
        control,
        folder,
        (InjectedFault.SLOW_SYNC, 1.0),
        (InjectedFault.UNSYNCED, 0.0),
        (InjectedFault.UNSYNCED, 0.0),
    )
    assert lies == ["2 1", "None", "None", "None"], "a disk that lies takes everything"
    store = SqliteBackend(folder)
    assert store.open() == LoadResult({"key 0": b"value"}, 3), "and a power cut shows that it has not"
    store.close()
    fault_switch.set_fault(control, InjectedFault.STALE_CONTENT)
    assert child(control, folder) == ["2 1"], "as at the opening before the last writes"


@pytest.mark.parametrize(("kind", "figure"), [(InjectedFault.TORN_WRITE, 0.0), (InjectedFault.BIT_FLIP, 1.0)])
def test_a_lie_of_the_disk_is_seen_at_the_next_start(
    tmp_path: Path, kind: InjectedFault, figure: float
) -> None:
    hand, rng = fault_switch.ManualSwitch(), random.Random(2)
    name = f"part{kind}"
    disk = faulty_disk.FaultyDisk(name, hand, 5, lambda ms: None)
    store = SqliteBackend(tmp_path, vfs=name)
    store.open()
    assert store.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    hand.fault, hand.parameter = kind, figure
    assert store.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    store.close()
    del disk
    found = SqliteBackend(tmp_path).open()
    assert found.fault is StoreFault.CORRUPTED and len(found.values) < 9
