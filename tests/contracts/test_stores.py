"""The contract of a store, held by every implementation on every host; planted defects are found by it.

The judge keeps its own book of what was put and what was told, plays power cuts from what the disk recorded,
and never reads what a store says of itself but for its trouble. A new implementation joins by a line in
``BACKINGS``, a new host by one in ``HOSTS``.
"""

from __future__ import annotations

import fcntl
import itertools
import queue
import random
import shutil
import threading
from collections.abc import Callable, Iterable
from contextlib import nullcontext
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from cedarthread.persistence import checksums, database_folder, faulty_disk, power_cut, recovered_image
from cedarthread.persistence.fault_switch import InjectedFault, ManualSwitch
from cedarthread.persistence.faulty_disk import FaultyDisk
from cedarthread.persistence.memory_store import MemoryBackend
from cedarthread.persistence.reopen_policy import GIVEN_UP_PAUSE_MS
from cedarthread.persistence.sqlite_database import SqliteDatabase
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import (
    KeyValueWrite,
    LoadResult,
    StorageBackend,
    Store,
    StoreFault,
)
from cedarthread.persistence.store_thread import RESPONSE_TIMEOUT_MS, StoreThread, _call_back
from cedarthread.persistence.synchronous_store import SynchronousStore

NAME = "state-1.db"  # of a store that never was in trouble
LONG = 30.0  # s after which a test that waits for a thread has failed
_names = itertools.count()


class Bench:
    """One disk, one folder on it, and the book of what was put there."""

    def __init__(self, tmp: Path, backing: str, host: str) -> None:
        self.tmp, self.folder = tmp, tmp / f"disk{next(_names)}"
        self.folder.mkdir()
        self.hand, self.vfs = ManualSwitch(), f"lying{next(_names)}"
        self.hang, self.hung = threading.Event(), threading.Event()
        self.disk = FaultyDisk(self.vfs, self.hand, 7, self._wait, record=True)
        self.make, self.host = BACKINGS[backing], HOSTS[host]
        self.kept: StorageBackend | None = None
        self.puts: list[KeyValueWrite] = []  # all that were begun, in order
        self.told: dict[int, StoreFault | None] = {}  # by their place there
        self.finds: dict[tuple[tuple[str, bytes], ...], LoadResult] = {}
        self.store = self.open()

    def _wait(self, ms: float) -> None:
        self.hung.set()
        self.hang.wait(LONG)

    def open(self) -> Store:
        self.store = self.host(self)
        return self.store

    def again(self) -> LoadResult:
        """Another life of the router."""
        self.store.close()
        return self.open().load()

    def begin(self, key: str, value: bytes | None) -> int:
        place = len(self.puts)
        self.puts.append((key, value))
        self.disk.add_mark(("begun", place))

        def done(trouble: StoreFault | None) -> None:
            assert place not in self.told, "an end is told once"
            self.told[place] = trouble
            if trouble is None:
                self.disk.add_mark(("told", place))

        self.store.put(key, value, done)
        return place

    def put(self, key: str, value: bytes | None) -> StoreFault | None:
        place = self.begin(key, value)
        until(self.store, lambda: place in self.told)
        return self.told[place]

    def book(self) -> list[object]:
        return [step.mark for step in self.disk.operations if step.mark is not None]

    def found(self, images: dict[str, bytes]) -> LoadResult:
        """What another life finds after a power cut: by a plain file store on another folder, asked once what
        it finds in the same bytes."""
        if (same := tuple(sorted(images.items()))) in self.finds:
            return self.finds[same]
        folder = self.tmp / f"cut{next(_names)}"
        folder.mkdir()
        for path, content in images.items():
            (folder / Path(path).name).write_bytes(content)
        backing = SqliteBackend(folder)
        loaded = self.finds[same] = backing.open()
        backing.close()
        shutil.rmtree(folder)
        return loaded


def until(store: Store, reached: Callable[[], bool]) -> None:
    """Pump until something has come about."""
    store.run_callbacks()
    while not reached():
        WAKES[id(store)].get(timeout=LONG)
        store.run_callbacks()


WAKES: dict[int, queue.Queue[None]] = {}


@dataclass
class Clock:
    now: float = 0.0
    lines: list[str] = field(default_factory=list)
    opened: list[LoadResult] = field(default_factory=list)


CLOCKS: dict[int, Clock] = {}


def work(backing: StorageBackend, kind: type[StoreThread] = StoreThread, **more: Any) -> StoreThread:
    """A worker that is hosted by a test."""
    wakes, clock = queue.Queue[None](), Clock()
    worker = kind(
        backing,
        group_commit_ms=0.0,
        clock=lambda: clock.now,
        wake=lambda: wakes.put(None),
        on_opened=clock.opened.append,
        log=clock.lines.append,
        **more,
    )
    WAKES[id(worker)], CLOCKS[id(worker)] = wakes, clock
    return worker


def opened(worker: StoreThread) -> StoreThread:
    until(worker, lambda: bool(CLOCKS[id(worker)].opened))
    return worker


def in_memory(bench: Bench) -> StorageBackend:
    bench.kept = bench.kept or MemoryBackend()
    return bench.kept


BACKINGS: dict[str, Callable[[Bench], StorageBackend]] = {
    "memory": in_memory,
    "file": lambda bench: SqliteBackend(bench.folder),
    "file on a lying disk": lambda bench: SqliteBackend(bench.folder, vfs=bench.vfs),
}
HOSTS: dict[str, Callable[[Bench], Store]] = {
    "direct": lambda bench: SynchronousStore(bench.make(bench)),
    "worker": lambda bench: opened(work(bench.make(bench))),
    "worker, each": lambda bench: opened(work(bench.make(bench), sync_mode="each")),
}
LYING = "file on a lying disk"


def allowed(puts: list[KeyValueWrite], marks: list[object]) -> dict[str, set[bytes | None]]:
    """For each key what may stand there: what was last told durable, or what was put later."""
    may: dict[str, set[bytes | None]] = {key: {None} for key, _ in puts}
    for mark in marks:
        assert isinstance(mark, tuple)
        key, value = puts[mark[1]]
        may[key] = {value} if mark[0] == "told" else may[key] | {value}
    return may


def fits(puts: list[KeyValueWrite], marks: list[object], loaded: LoadResult) -> None:
    may = allowed(puts, marks)
    assert set(loaded.values) <= set(may), "a key that was never put"
    for key, values in may.items():
        assert loaded.values.get(key) in values, f"{key}: neither what was told durable nor what came later"


def after_a_cut(bench: Bench, since: int = 0) -> int:
    """Play a power cut after each operation, in several ways; how many were played."""
    played = 0
    for pick in (
        power_cut.lose_unsynced,
        power_cut.keep_unsynced,
        *(power_cut.tear_unsynced(random.Random(seed)) for seed in range(5)),
    ):
        highest = 0
        for place, (marks, images) in enumerate(power_cut.power_cut_images(bench.disk.operations, pick)):
            if place >= since:
                loaded = bench.found(images)
                assert loaded.fault is None, "an honest disk, and no operator is to be woken"
                fits(bench.puts, marks, loaded)
                told = sum(mark[0] == "told" for mark in marks if isinstance(mark, tuple))
                assert loaded.generation >= max(told, highest), "it only grows"
                highest, played = (
                    loaded.generation if pick in (power_cut.lose_unsynced, power_cut.keep_unsynced) else 0,
                    played + 1,
                )
    return played


def workload(bench: Bench, count: int, seed: int = 3) -> None:
    rng = random.Random(seed)
    for number in range(count):
        key = f"key {rng.randrange(4)}"
        value = None if rng.random() < 0.2 else b"%d " % number + rng.randbytes(rng.choice((5, 90, 5000)))
        assert bench.put(key, value) is None


# The rules. Each is a function of a bench, so that planted defects meet the same ones.


def rule_lasts(bench: Bench) -> None:
    generation = bench.store.generation
    for life in range(3):
        for number in range(5):
            assert bench.put(f"key {number}", b"%d %d" % (life, number)) is None
            assert bench.store.generation > generation
            generation = bench.store.generation
        assert bench.put("key 0", None) is None
        loaded = bench.again()
        assert loaded.fault is None and "key 0" not in loaded.values and len(loaded.values) == 4
        assert loaded.generation == bench.store.generation > generation
        fits(bench.puts, bench.book(), loaded)


def rule_order(bench: Bench) -> None:
    for number in range(30):
        bench.begin(f"key {number % 3}", b"%d" % number)
    until(bench.store, lambda: len(bench.told) == 30)
    assert set(bench.told.values()) == {None}
    assert bench.again().values == {"key 0": b"27", "key 1": b"28", "key 2": b"29"}


def rule_reset(bench: Bench) -> None:
    workload(bench, 5)
    ends: list[StoreFault | None] = []
    bench.store.reset(1000, ends.append)
    bench.store.put("later", b"kept", ends.append)
    until(bench.store, lambda: len(ends) == 2)
    assert ends == [None, None]
    loaded = bench.again()
    assert loaded.values == {"later": b"kept"} and loaded.generation > 1000


def rule_power_cut(bench: Bench) -> None:
    workload(bench, 9)
    assert after_a_cut(bench) > 400


def mended(bench: Bench) -> None:
    """The fault is over: what a router does then."""
    bench.hand.fault = 0
    store = bench.store
    if isinstance(store, SynchronousStore):
        store.reopen()
    else:
        clock = CLOCKS[id(store)]
        clock.now += GIVEN_UP_PAUSE_MS
        count = len(clock.opened)
        until(store, lambda: len(clock.opened) > count)


FAULTS = [
    (InjectedFault.DISK_FULL, 0.0, StoreFault.DISK_FULL),
    (InjectedFault.EIO_WRITE, 0.0, StoreFault.IO_ERROR),
    (InjectedFault.READ_ONLY, 0.0, StoreFault.READ_ONLY),
    (InjectedFault.FOLDER_MISSING, 0.0, StoreFault.IO_ERROR),
    *((InjectedFault.EIO_SYNC, float(passed), StoreFault.IO_ERROR) for passed in range(4)),
]


def rule_trouble(bench: Bench, fault: tuple[InjectedFault, float, StoreFault]) -> None:
    kind, figure, trouble = fault
    for number in range(3):
        assert bench.put(f"key {number}", bytes([number]) * 3000) is None
    before = dict(allowed(bench.puts, bench.book()))
    bench.hand.fault, bench.hand.parameter = kind, figure
    assert bench.put("key 1", b"in trouble" * 500) is trouble
    bench.hand.fault = 0
    generation = bench.store.generation
    assert bench.put("key 2", b"not believed yet") is trouble, "only an opening ends a trouble"
    assert bench.store.fault is trouble and bench.store.generation == generation
    since = len(bench.disk.operations)
    mended(bench)
    assert bench.store.fault is None
    assert bench.put("key 0", b"after") is None
    after_a_cut(bench, since)
    loaded = bench.again()
    assert loaded.fault is None and {loaded.values["key 2"]} == before["key 2"]
    fits(bench.puts, bench.book(), loaded)


def rule_gone(bench: Bench) -> None:
    workload(bench, 6)
    shutil.rmtree(bench.folder)
    assert bench.put("key 1", b"to nowhere") in (StoreFault.FOLDER_MISSING, StoreFault.IO_ERROR)
    if isinstance(bench.store, SynchronousStore):
        bench.store.reopen()
        assert bench.store.fault is StoreFault.FOLDER_MISSING
    assert not bench.folder.exists(), "a mount that is missing is not filled in"
    bench.folder.mkdir()
    mended(bench)
    assert bench.put("key 9", b"back") is None
    fits(bench.puts, bench.book(), bench.again())


def rule_locked(bench: Bench) -> None:
    workload(bench, 3)
    first = bench.store
    second = SynchronousStore(bench.make(bench))
    assert second.fault is StoreFault.LOCKED and not second.load().values
    second.close()
    bench.store = first
    assert bench.put("key 1", b"still mine") is None


def rule_flipped(bench: Bench, flips: int = 150) -> None:
    workload(bench, 8)
    bench.store.close()
    path, rng, said = bench.folder / NAME, random.Random(11), 0
    whole = path.read_bytes()
    journal = path.with_name(f"{NAME}-journal").read_bytes()
    for _ in range(flips):
        content = faulty_disk.flip_bit(whole, rng.randrange(8 * len(whole)))
        loaded = bench.found({NAME: content, f"{NAME}-journal": journal})
        said += loaded.fault is StoreFault.CORRUPTED
        if loaded.fault is None:
            fits(bench.puts, bench.book(), loaded)
        for key, value in loaded.values.items():
            assert (key, value) in bench.puts, "never a value that was not put"
        assert loaded.is_writable, "the rest of it can be used"
    assert said > flips // 4


def rule_mended(bench: Bench) -> None:
    """Damage is told once, the rest is kept, the damaged file is put aside, and writing goes on."""
    workload(bench, 8)
    bench.store.close()
    path = bench.folder / NAME
    content = path.read_bytes()
    last = {key: value for key, value in bench.puts if value is not None}
    target = max((value for value in last.values() if value in content), key=len)
    path.write_bytes(content.replace(target, faulty_disk.flip_bit(target, 8)))
    loaded = bench.open().load()
    assert loaded.fault is StoreFault.CORRUPTED and target not in loaded.values.values()
    assert path.with_name(database_folder.QUARANTINE_FILE).exists()
    assert bench.put("new", b"value") is None
    again = bench.again()
    assert again.fault is None and again.values == {**loaded.values, "new": b"value"}
    assert again.generation > loaded.generation


def rule_older(bench: Bench, kind: InjectedFault) -> None:
    """What peers remember shows it; then all is dropped, and the generation goes above theirs."""
    workload(bench, 4)
    bench.again()
    if kind is InjectedFault.UNSYNCED:
        bench.hand.fault = kind
    workload(bench, 4, seed=8)
    remembered = bench.store.generation
    bench.store.close()
    if kind is InjectedFault.UNSYNCED:
        bench.disk.cached_files.clear()  # the power cut: what the page cache held is gone
    bench.hand.fault = InjectedFault.STALE_CONTENT if kind is InjectedFault.STALE_CONTENT else 0
    loaded = bench.open().load()
    bench.hand.fault = 0
    assert loaded.fault is None and loaded.values, "the disk alone can't be told from one that is right"
    assert recovered_image.assess_content(loaded, [3, remembered]) is recovered_image.ContentVerdict.REJECTED
    ends: list[StoreFault | None] = []
    bench.store.reset(remembered, ends.append)
    until(bench.store, lambda: bool(ends))
    loaded = bench.again()
    assert (
        not loaded.values
        and recovered_image.assess_content(loaded, [remembered]) is recovered_image.ContentVerdict.TRUSTED
    )


def rule_hung(bench: Bench, kind: type[StoreThread] = StoreThread) -> None:
    """A sync that never ends: nothing is acknowledged, the host is told in time, and can close."""
    bench.store.close()
    worker = bench.store = opened(
        work(SqliteBackend(bench.folder, vfs=bench.vfs), kind, close_timeout_ms=20.0)
    )
    clock = CLOCKS[id(worker)]
    bench.hand.fault = InjectedFault.SLOW_SYNC
    bench.begin("key 1", b"hangs")
    assert bench.hung.wait(LONG)
    worker.run_callbacks()
    assert not bench.told, "not before the commit"
    clock.now += RESPONSE_TIMEOUT_MS
    worker.run_callbacks()
    assert bench.told == {0: StoreFault.UNRESPONSIVE} and worker.fault is StoreFault.UNRESPONSIVE
    assert bench.put("key 2", b"waits for the disk") is StoreFault.UNRESPONSIVE
    worker.close()
    assert worker._thread.is_alive(), "closing did not wait for the disk"
    assert sum("no answer" in line for line in clock.lines) == 1
    bench.hang.set()
    worker._thread.join(LONG)
    assert not worker._thread.is_alive()


# The rules over all: what was acknowledged lasts; puts of a key keep their order; a reset drops all and goes
# above; the folder goes and comes back; a second writer is locked out; damage is left out and the rest goes
# on; a power cut at every write; after trouble nothing is acknowledged and nothing is lost; an older
# generation is dropped; no flipped bit passes; a hung disk holds nobody up.

Rule = Callable[[Bench], None]
FILES, TWO = ("file", LYING), ("direct", "worker")
RULES: list[tuple[Rule, Iterable[str], Iterable[str]]] = [
    *((rule, BACKINGS, HOSTS) for rule in (rule_lasts, rule_order, rule_reset)),
    *((rule, FILES, TWO) for rule in (rule_gone, rule_locked, rule_mended)),
    (rule_power_cut, [LYING], TWO),
    *((partial(rule_trouble, fault=fault), [LYING], TWO) for fault in FAULTS),
    *(
        (partial(rule_older, kind=kind), [LYING], TWO)
        for kind in (InjectedFault.STALE_CONTENT, InjectedFault.UNSYNCED)
    ),
    (rule_flipped, ["file"], ["direct"]),
    (rule_hung, [LYING], ["direct"]),
]


@pytest.mark.parametrize(
    ("rule", "backing", "host"),
    [(rule, backing, host) for rule, backings, hosts in RULES for backing in backings for host in hosts],
    ids=lambda one: one if isinstance(one, str) else getattr(one, "__name__", str(one)[-45:-1]),
)
def test_each_rule_holds(tmp_path: Path, rule: Rule, backing: str, host: str) -> None:
    rule(Bench(tmp_path, backing, host))


# Planted defects: each breaks one thing, and a rule above finds it.


Patch = tuple[object, str, object]
INIT, RENEW, RUN, WRITE = (
    SqliteBackend.__init__,
    SqliteBackend._rewrite,
    SqliteDatabase.execute,
    StoreThread._commit_batch,
)
COMMIT = SqliteBackend.commit
UNSUMMED: tuple[Patch, ...] = (
    (checksums, "row_checksum", lambda *_: bytes(16)),
    (checksums, "head_checksum", lambda *_: bytes(16)),
)


def _unsynced(self: SqliteBackend, folder: Path, vfs: str | None = None) -> None:
    INIT(self, folder, "none", vfs)


def _believing(self: SqliteBackend, values: Any, generation: int) -> None:
    if self._acknowledged is None or self._recover().fault is not None:
        RENEW(self, values, generation)


def _stubborn(self: SqliteBackend, puts: Any, above: int | None = None) -> None:
    if self._database is None:
        self._recover()
    COMMIT(self, puts, above)


def _instead(old: str, new: str) -> Patch:
    """SQL in which one word is another."""
    return (
        SqliteDatabase,
        "execute",
        lambda self, statement, bindings=(): RUN(self, statement.replace(old, new), bindings),
    )


def _eager(self: StoreThread, batch: Any) -> Any:
    dones, batch.callbacks = batch.callbacks, []
    self._completions.append(partial(_call_back, dones, None))
    return WRITE(self, batch)


PLANTED: dict[str, tuple[Rule, tuple[Patch, ...]]] = {
    "acknowledges before the sync": (rule_power_cut, ((SqliteBackend, "__init__", _unsynced),)),
    "after a failed sync takes what the system says of the file for what is on the disk": (
        partial(rule_trouble, fault=(InjectedFault.EIO_SYNC, 3.0, StoreFault.IO_ERROR)),
        ((SqliteBackend, "_rewrite", _believing),),
    ),
    "goes on writing after a failed sync as if nothing had been": (
        partial(rule_trouble, fault=(InjectedFault.EIO_SYNC, 2.0, StoreFault.IO_ERROR)),
        ((SqliteBackend, "commit", _stubborn),),
    ),
    "has no sums": (rule_flipped, UNSUMMED),
    "takes a value of which a half was written": (
        rule_power_cut,
        (_instead("journal_mode=PERSIST", "journal_mode=OFF"), *UNSUMMED),
    ),
    "writes rows and head apart": (
        rule_power_cut,
        ((SqliteDatabase, "transaction", lambda _: nullcontext()),),
    ),
    "believes an older generation": (
        partial(rule_older, kind=InjectedFault.STALE_CONTENT),
        ((recovered_image, "assess_content", lambda *_: recovered_image.ContentVerdict.TRUSTED),),
    ),
    "no lock against a second writer": (
        rule_locked,
        (_instead("=EXCLUSIVE", "=NORMAL"), (fcntl, "flock", lambda *_: None)),
    ),
    "does not look whether its file is still in its folder": (
        rule_gone,
        ((database_folder, "device_and_inode", lambda _: (0, 0)),),
    ),
    "tells the ends of a batch before it is committed": (
        rule_hung,
        ((StoreThread, "_commit_batch", _eager),),
    ),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_defect_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    rule, changes = PLANTED[name]
    for change in changes:
        monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        rule(Bench(tmp_path, LYING, "direct"))
