"""The faulty disk: faults set by another process, and corruption that the next start detects."""

from __future__ import annotations

import random
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from cedarthread.persistence import fault_switch
from cedarthread.persistence.fault_switch import InjectedFault, ManualSwitch
from cedarthread.persistence.faulty_disk import FaultyDisk
from cedarthread.persistence.sqlite_store import SqliteBackend
from cedarthread.persistence.store import LoadResult, StoreFault

if TYPE_CHECKING:
    from pathlib import Path

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
    """Run a process on a faulty disk, and return the lines that the process prints.

    The process makes one write under each fault, and exits without closing the store.
    """
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
    control = tmp_path / "control"
    folder = tmp_path / "disk"
    folder.mkdir()
    lines = run_child(control, folder, (InjectedFault.NONE, 0.0), (InjectedFault.DISK_FULL, 0.0))
    assert lines == ["1 0", "None", "DISK_FULL"]
    fault_switch.set_fault(control, InjectedFault.NONE)
    unsynced = (InjectedFault.UNSYNCED, 0.0)
    lines = run_child(control, folder, (InjectedFault.SLOW_SYNC, 1.0), unsynced, unsynced)
    assert lines == ["2 1", "None", "None", "None"], "a disk that does not sync acknowledges each write"
    backend = SqliteBackend(folder)
    assert backend.open() == LoadResult({"key 0": b"value"}, 3), "a power cut loses the unsynced writes"
    backend.close()
    fault_switch.set_fault(control, InjectedFault.STALE_CONTENT)
    assert run_child(control, folder) == ["2 1"], "the content at the opening before the last writes"


@pytest.mark.parametrize(
    ("fault", "parameter"), [(InjectedFault.TORN_WRITE, 0.0), (InjectedFault.BIT_FLIP, 1.0)]
)
def test_a_write_that_the_disk_corrupted_is_detected_at_the_next_start(
    tmp_path: Path, fault: InjectedFault, parameter: float
) -> None:
    switch = ManualSwitch()
    rng = random.Random(2)
    vfs = f"corrupting{fault}"
    disk = FaultyDisk(vfs, switch, 5, lambda ms: None)
    backend = SqliteBackend(tmp_path, vfs=vfs)
    backend.open()
    assert backend.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    switch.fault = fault
    switch.parameter = parameter
    assert backend.commit([(f"key {number}", rng.randbytes(2000)) for number in range(9)]) is None
    backend.close()
    del disk
    load_result = SqliteBackend(tmp_path).open()
    assert load_result.fault is StoreFault.CORRUPTED and len(load_result.values) < 9
