"""Router processes with a replicated store and a disk each; one of them is killed and restarted."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.router_process import ROOT, free_port, send_command, wait_for_log_line

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

ROUTER_COUNT = 3
PEER_LIMITS = SETTINGS["limits"] | {"peers": True}
SHARING_SECTION = "[sharing]\nperiod = 100\n"
FREEZE_SECTION = """
[[freeze]]
id = "cycle"
start = {start}
end = {end}
author = "desk"
reason = "close"
"""


class FleetProcesses:
    """The router processes of one fleet, by router index."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.control_ports = [free_port() for _ in range(ROUTER_COUNT)]
        self.peer_addresses = [f"127.0.0.1:{self._free_udp_port()}" for _ in range(ROUTER_COUNT)]
        self.processes: dict[int, subprocess.Popen[str]] = {}

    @staticmethod
    def _free_udp_port() -> int:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
            udp_socket.bind(("127.0.0.1", 0))
            return int(udp_socket.getsockname()[1])

    def fleet_path(self, number: int) -> Path:
        return self.folder / f"fleet{number}.toml"

    def start(self, number: int) -> None:
        store_folder = self.folder / f"disk{number}"
        store_folder.mkdir(exist_ok=True)
        if not self.fleet_path(number).exists():
            self.fleet_path(number).write_text(SHARING_SECTION)
        config = {"name": f"n{number}", "listen": "127.0.0.1:0", "seed": "1", "known": {"n": 1, "events": []}}
        config |= {
            "control": f"127.0.0.1:{self.control_ports[number]}",
            "peer_listen": self.peer_addresses[number],
        }
        config |= {"peers": self.peer_addresses, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
        config["settings"] = SETTINGS | {"balancers": ROUTER_COUNT, "ordinal": number, "limits": PEER_LIMITS}
        config_path = self.folder / f"n{number}.json"
        config_path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cedarthread",
                "serve",
                "--fleet",
                str(self.fleet_path(number)),
                "--store",
                str(store_folder),
            ],
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(config_path)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes[number] = process
        assert process.stderr is not None
        wait_for_log_line(process.stderr, r"serving router=n\d port=\d+")

    def info(self, number: int) -> dict[str, str]:
        lines = send_command(self.control_ports[number], b"INFO\n").splitlines()
        return dict(line.partition("=")[::2] for line in lines if line.startswith("fleet."))

    def wait_for_metric(self, number: int, name: str, value: str) -> dict[str, str]:
        """Poll INFO until a metric has this value, and return all metrics of the fleet."""
        for _ in range(600):
            if (info := self.info(number)).get(name) == value:
                return info
            time.sleep(0.05)
        raise AssertionError(f"{name} is {info.get(name)!r} at router {number}, not {value!r}: {info}")

    def kill_all(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
            if process.stderr is not None:
                process.stderr.close()


def test_a_change_freeze_window_reaches_all_processes_and_survives_a_kill(tmp_path: Path) -> None:
    fleet = FleetProcesses(tmp_path)
    try:
        for number in range(ROUTER_COUNT):
            fleet.start(number)
        for number in range(ROUTER_COUNT):
            fleet.wait_for_metric(number, "fleet.register_seated", "yes")
        now_s = time.time()
        timestamps = [
            time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(now_s + after_s)) for after_s in (0, 3600)
        ]
        fleet_text = fleet.fleet_path(1).read_text() + FREEZE_SECTION.format(
            start=timestamps[0], end=timestamps[1]
        )
        fleet.fleet_path(1).write_text(fleet_text.replace("id =", "idd ="))
        fleet.processes[1].send_signal(signal.SIGHUP)  # rejects the invalid file and keeps running
        fleet.fleet_path(1).write_text(fleet_text)
        fleet.processes[1].send_signal(signal.SIGHUP)
        for number in range(ROUTER_COUNT):
            fleet.wait_for_metric(number, "fleet.freeze_window_cycle", "in force")
            fleet.wait_for_metric(number, "fleet.store_waiting", "0")
        fleet.processes[2].send_signal(signal.SIGKILL)
        fleet.processes[2].wait()
        fleet.start(2)
        info = fleet.wait_for_metric(2, "fleet.freeze_window_cycle", "in force")
        assert info["fleet.store_trouble"] == "none"
        fleet.wait_for_metric(2, "fleet.register_seated", "yes")
    finally:
        fleet.kill_all()


def test_an_invalid_fleet_file_fails_the_start_with_location_and_problem(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from cedarthread.cli import main
    from tests.integration.router_process import write_config

    for name, value in write_config(tmp_path).items():
        monkeypatch.setenv(name, value)
    (tmp_path / "fleet.toml").write_text('[[contract]]\ntenant = "a"\ntier = "firm"\nrate = 1\n')
    assert main(["serve", "--fleet", str(tmp_path / "fleet.toml")]) == 2
    assert "fleet.toml: contract[0] (a): tier 'firm' is unknown; known tiers: none" in capsys.readouterr().err
