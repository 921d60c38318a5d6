"""The contract of a store, checked with each backend and kind of store, and against injected defects."""

from __future__ import annotations

import fcntl
from collections.abc import Callable, Mapping, Sequence
from contextlib import nullcontext
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import pytest

from cedarthread.persistence import checksums, database_folder, recovered_image
from cedarthread.persistence.disk_worker import CommitCompletion, DiskWorker
from cedarthread.persistence.fault_switch import InjectedFault
from cedarthread.persistence.recovered_image import ContentVerdict
from cedarthread.persistence.sqlite_database import SqliteDatabase
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import KeyValueWrite, StoreFault
from cedarthread.persistence.write_queue import WriteBatch
from tests.contracts.store_fixtures import BACKENDS, FAULTY_DISK, HOSTS, StoreUnderTest
from tests.contracts.store_rules import (
    FAULT_CASES,
    FaultCase,
    rule_a_power_cut_at_any_operation_loses_no_acknowledged_write,
    rule_a_reset_deletes_all_content_and_raises_the_generation,
    rule_a_second_writer_is_locked_out,
    rule_a_store_recovers_when_its_deleted_folder_is_created_again,
    rule_acknowledged_writes_survive_restarts,
    rule_after_a_fault_no_write_is_acknowledged_and_no_acknowledged_write_is_lost,
    rule_an_unresponsive_disk_does_not_block_the_host,
    rule_corrupted_content_is_reported_once_and_valid_rows_survive,
    rule_each_flipped_bit_is_detected_or_harmless,
    rule_stale_content_is_dropped,
    rule_writes_of_one_key_are_applied_in_order,
)

if TYPE_CHECKING:
    from pathlib import Path

    from apsw import SQLiteValue

Rule = Callable[[StoreUnderTest], None]


class ContractCase(NamedTuple):
    """A rule, and the backends and kinds of store (``HOSTS``) with which it is checked."""

    rule: Rule
    backends: tuple[str, ...]
    hosts: tuple[str, ...]
    detail: str = ""

    @property
    def name(self) -> str:
        function = self.rule.func if isinstance(self.rule, partial) else self.rule
        name = function.__name__.removeprefix("rule_")
        return f"{name}-{self.detail}" if self.detail else name


ALL_BACKENDS = tuple(BACKENDS)
ALL_HOSTS = tuple(HOSTS)
FILE_BACKENDS = ("sqlite", FAULTY_DISK)
TWO_HOSTS = ("synchronous", "thread")
CONTRACT = [
    ContractCase(rule_acknowledged_writes_survive_restarts, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_writes_of_one_key_are_applied_in_order, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_a_reset_deletes_all_content_and_raises_the_generation, ALL_BACKENDS, ALL_HOSTS),
    ContractCase(rule_a_store_recovers_when_its_deleted_folder_is_created_again, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_a_second_writer_is_locked_out, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_corrupted_content_is_reported_once_and_valid_rows_survive, FILE_BACKENDS, TWO_HOSTS),
    ContractCase(rule_a_power_cut_at_any_operation_loses_no_acknowledged_write, (FAULTY_DISK,), TWO_HOSTS),
    *(
        ContractCase(
            partial(rule_after_a_fault_no_write_is_acknowledged_and_no_acknowledged_write_is_lost, case=case),
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
    ContractCase(rule_each_flipped_bit_is_detected_or_harmless, ("sqlite",), ("synchronous",)),
    ContractCase(rule_an_unresponsive_disk_does_not_block_the_host, (FAULTY_DISK,), ("synchronous",)),
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


# Each injected defect breaks one part of the implementation, and the named rule must detect it.


class Patch(NamedTuple):
    """The replacement of one function."""

    owner: object
    name: str
    replacement: object


class InjectedDefect(NamedTuple):
    """The patches that cause a defect, and the rule that detects it."""

    rule: Rule
    patches: tuple[Patch, ...]


ORIGINAL_INIT = SqliteBackend.__init__
ORIGINAL_REWRITE = SqliteBackend._rewrite
ORIGINAL_COMMIT = SqliteBackend.commit
ORIGINAL_EXECUTE = SqliteDatabase.execute
ORIGINAL_COMMIT_BATCH = DiskWorker._commit_batch
WITHOUT_CHECKSUMS = (
    Patch(checksums, "row_checksum", lambda *_: bytes(16)),
    Patch(checksums, "head_checksum", lambda *_: bytes(16)),
)


def init_without_sync(self: SqliteBackend, folder: Path, vfs: str | None = None) -> None:
    ORIGINAL_INIT(self, folder, "none", vfs)


def rewrite_unless_readable(self: SqliteBackend, values: Mapping[str, bytes], generation: int) -> None:
    if self._acknowledged is None or self._recover().fault is not None:
        ORIGINAL_REWRITE(self, values, generation)


def commit_after_a_fault(
    self: SqliteBackend, writes: Sequence[KeyValueWrite], above_generation: int | None = None
) -> None:
    if self._database is None:
        self._recover()
    ORIGINAL_COMMIT(self, writes, above_generation)


def replace_in_sql(old: str, new: str) -> Patch:
    def execute(
        self: SqliteDatabase, statement: str, bindings: Sequence[SQLiteValue] = ()
    ) -> list[tuple[SQLiteValue, ...]]:
        return ORIGINAL_EXECUTE(self, statement.replace(old, new), bindings)

    return Patch(SqliteDatabase, "execute", execute)


def call_back_before_commit(self: DiskWorker, batch: WriteBatch) -> CommitCompletion:
    early_batch = WriteBatch({}, batch.callbacks)
    batch.callbacks = []
    self._completions.append(CommitCompletion(early_batch, None, self._backend.generation))
    return ORIGINAL_COMMIT_BATCH(self, batch)


INJECTED_DEFECTS: dict[str, InjectedDefect] = {
    "acknowledges before the sync": InjectedDefect(
        rule_a_power_cut_at_any_operation_loses_no_acknowledged_write,
        (Patch(SqliteBackend, "__init__", init_without_sync),),
    ),
    "reads a file again after its sync failed": InjectedDefect(
        partial(
            rule_after_a_fault_no_write_is_acknowledged_and_no_acknowledged_write_is_lost,
            case=FaultCase(InjectedFault.EIO_SYNC, 3.0, StoreFault.IO_ERROR),
        ),
        (Patch(SqliteBackend, "_rewrite", rewrite_unless_readable),),
    ),
    "continues to write after a failed sync": InjectedDefect(
        partial(
            rule_after_a_fault_no_write_is_acknowledged_and_no_acknowledged_write_is_lost,
            case=FaultCase(InjectedFault.EIO_SYNC, 2.0, StoreFault.IO_ERROR),
        ),
        (Patch(SqliteBackend, "commit", commit_after_a_fault),),
    ),
    "has no checksums": InjectedDefect(rule_each_flipped_bit_is_detected_or_harmless, WITHOUT_CHECKSUMS),
    "accepts a partially written value": InjectedDefect(
        rule_a_power_cut_at_any_operation_loses_no_acknowledged_write,
        (replace_in_sql("journal_mode=PERSIST", "journal_mode=OFF"), *WITHOUT_CHECKSUMS),
    ),
    "writes rows and head in separate transactions": InjectedDefect(
        rule_a_power_cut_at_any_operation_loses_no_acknowledged_write,
        (Patch(SqliteDatabase, "transaction", lambda _: nullcontext()),),
    ),
    "trusts stale content": InjectedDefect(
        partial(rule_stale_content_is_dropped, injected=InjectedFault.STALE_CONTENT),
        (Patch(recovered_image, "assess_content", lambda *_: ContentVerdict.TRUSTED),),
    ),
    "has no lock against a second writer": InjectedDefect(
        rule_a_second_writer_is_locked_out,
        (replace_in_sql("=EXCLUSIVE", "=NORMAL"), Patch(fcntl, "flock", lambda *_: None)),
    ),
    "does not check whether its file is still in its folder": InjectedDefect(
        rule_a_store_recovers_when_its_deleted_folder_is_created_again,
        (Patch(database_folder, "device_and_inode", lambda _: (0, 0)),),
    ),
    "runs the callbacks of a batch before its commit": InjectedDefect(
        rule_an_unresponsive_disk_does_not_block_the_host,
        (Patch(DiskWorker, "_commit_batch", call_back_before_commit),),
    ),
}


@pytest.mark.parametrize("name", INJECTED_DEFECTS)
def test_a_rule_detects_each_injected_defect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    defect = INJECTED_DEFECTS[name]
    for patch in defect.patches:
        monkeypatch.setattr(patch.owner, patch.name, patch.replacement)
    with pytest.raises(AssertionError):
        defect.rule(StoreUnderTest(tmp_path, FAULTY_DISK, "synchronous"))
