"""The control files of a router's faults, as the harness writes them and the router reads them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.testing.cluster.router_entry import CLOCK_CONTROL, faulty_clocks
from cedarthread.testing.cluster.router_files import DISK_CONTROL, RouterFiles
from cedarthread.testing.cluster.scenario_file import parse_scenario

if TYPE_CHECKING:
    from pathlib import Path


def test_control_files_shift_clocks_change_their_rate_and_set_disk_faults(tmp_path: Path) -> None:
    now_s = [100.0]
    control = bytearray(CLOCK_CONTROL.pack(0.0, 1.5, 90.0))
    clocks = faulty_clocks(control, lambda: now_s[0], lambda: now_s[0])
    assert (clocks.time(), clocks.monotonic()) == (105.0, 105.0)
    control[:] = CLOCK_CONTROL.pack(-2000.0, 1.0, 90.0)
    assert (clocks.time(), clocks.monotonic()) == (98.0, 100.0), "a step leaves the monotonic clock alone"
    files = RouterFiles(parse_scenario({"routers": 1}), tmp_path, 0)
    files.set_clock(rate=2.0)
    files.set_disk_fault("slow_sync", 5000.0)
    assert CLOCK_CONTROL.unpack((tmp_path / "n0.clock").read_bytes())[:2] == (0.0, 2.0)
    disk = (tmp_path / "n0.disk").read_bytes()
    assert (len(disk), DISK_CONTROL.unpack(disk[:16])) == (64, (8, 5000.0))
