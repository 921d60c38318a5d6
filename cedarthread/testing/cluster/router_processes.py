"""The router processes of one run: started by the entry point of ``run``, ended by id whatever happens."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from cedarthread.testing.cluster.router_entry import CLOCK_CONTROL
from cedarthread.testing.cluster.scenario import DISK_FAULTS, Scenario, parse_subjects, tenant_shares
from cedarthread.testing.fakes.settings import SETTINGS

READY_TIMEOUT_S = 60.0  # s in which all processes must serve
READY_POLL_S = 0.05  # s between looks
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DISK_CONTROL = struct.Struct("<B7xd")  # a disk's control file: what it does, and the figure
DISK_CONTROL_BYTES = 64


def router_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """The settings that one router is given."""
    safe = {"name": "check", "goal-time": 1000, "deadline": 3000, "effect": "retryable", "value": 2}
    unsafe = {"name": "confirm", "goal-time": 1000, "deadline": 3000, "effect": "fragile", "value": 3}
    limits = {"most-held": 1000, "max-retry-after": 2000, "peers": scenario.talk}
    columns = ["inflight", "x1"] if scenario.reports else ["x1"]
    tenants = [{"name": name, "share": part} for name, part in tenant_shares(scenario).items()]
    return (
        SETTINGS
        | ({"tenants": tenants} if tenants else {})
        | {
            "balancers": scenario.routers,
            "ordinal": number,
            "classes": [safe, unsafe],
            "limits": SETTINGS["limits"] | limits,
            "prices": {"peer": 0.01},
            "report": {"columns": columns, "how": "answers"},
            "specifics": SETTINGS["specifics"] | {"keep-alive": 4000},
        }
    )


class RouterProcesses:
    """Processes and their addresses. A socket of ours that takes nothing holds each port."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario, self.folder = scenario, folder
        self._reserved_sockets = [reserve_port() for _ in range(scenario.routers)]
        self.ports = [int(one.getsockname()[1]) for one in self._reserved_sockets]
        self.start_unix_s = 0.0  # when the run began, Unix s
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self._ended_cpu_s: dict[int, float] = {}  # CPU seconds of processes that have ended
        clocks = {fault.subjects for fault in scenario.faults if fault.kind in ("clock", "rate", "disk")}
        # Modules are compiled once: hundreds of processes that each did it took a second of CPU apiece.
        self._environment = {k: v for k, v in os.environ.items() if k != "PYTHONDONTWRITEBYTECODE"}
        self._environment["PYTHONPYCACHEPREFIX"] = str(folder / "compiled")
        self.declaring_routers = parse_subjects("declares", scenario.declares, scenario)
        self.routers_with_faults = {
            n for n in range(scenario.routers) if any(p.includes("router", n) for p in clocks)
        }

    def write_config(
        self, number: int, known: list[dict[str, Any]], resolver: int, peers: list[str], at: str
    ) -> None:
        """The configuration of one router."""
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "seed": f"{self.scenario.seed * 1_000_003 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"n": 1, "events": [{"n": 1, "members": {"endpoints": known}}]},
            "dns": f"127.0.0.1:{resolver}",
            "settings": router_settings(self.scenario, number),
        }
        if self.scenario.talk:
            config |= {"peer_listen": at, "peers": peers}
        (self.folder / f"n{number}.json").write_text(json.dumps(config))
        self.set_clock(number)
        self.set_disk_fault(number)
        if self.scenario.fleet and self.declaring_routers.includes("router", number):
            self._write_fleet_config(number, self.scenario.fleet)

    def set_clock(self, number: int, off: float = 0.0, rate: float = 1.0) -> None:
        """Put a router's clock off by so many ms, or make it run so many times as fast from now on."""
        self._write_control_file(f"n{number}.clock", CLOCK_CONTROL.pack(off, rate, time.monotonic()))

    def set_disk_fault(self, number: int, what: str = DISK_FAULTS[0], figure: float = 0.0) -> None:
        """What a router's disk does from now on."""
        self._write_control_file(
            f"n{number}.disk",
            DISK_CONTROL.pack(DISK_FAULTS.index(what), figure).ljust(DISK_CONTROL_BYTES, b"\0"),
        )

    def _write_control_file(self, name: str, data: bytes) -> None:
        """Written in place, for a process maps the file."""
        file = self.folder / name
        with open(file, "r+b" if file.exists() else "wb") as out:
            out.write(data)

    def reload_fleet_config(self, number: int, text: str) -> None:
        """The operators' file at a router says this from now on; SIGHUP tells it so."""
        self._write_fleet_config(number, text)
        self.send_signal(number, signal.SIGHUP)

    def reload_settings(self, number: int, over: str) -> None:
        """A router's settings are these, JSON, over those that it had; SIGHUP tells it so."""
        file = self.folder / f"n{number}.json"
        config = json.loads(file.read_text())
        file.write_text(json.dumps(config | {"settings": config["settings"] | json.loads(over)}))
        self.send_signal(number, signal.SIGHUP)

    def _write_fleet_config(self, number: int, text: str) -> None:
        """The operators' file; where routers keep stores, each one has its own ``[disk]``."""
        if self.scenario.store:
            (store := self.folder / f"n{number}.store").mkdir(exist_ok=True)
            text += f'\n[disk]\nfolder = "{store}"\n'
        (self.folder / f"n{number}.fleet.toml").write_text(resolve_times(text, self.start_unix_s))

    def start(self, number: int) -> None:
        """Start a router."""
        own = number in self.routers_with_faults or self.scenario.plant
        disk = str(self.folder / f"n{number}.disk") if self.scenario.store and own else ""
        clocked = [str(self.folder / f"n{number}.clock"), disk, self.scenario.plant] if own else []
        options = ["--fleet", str(fleet)] if (fleet := self.folder / f"n{number}.fleet.toml").exists() else []
        module = "cedarthread.testing.cluster.router_entry" if clocked else "cedarthread"
        with open(self.folder / f"n{number}.log", "ab") as out:
            self.processes[number] = subprocess.Popen(
                [sys.executable, "-m", module, *clocked, "serve", "--log", "warning", *options],
                env=self._environment | {"BALANCER_CONFIG": str(self.folder / f"n{number}.json")},
                stderr=out,
                stdin=subprocess.DEVNULL,
            )

    async def wait_until_ready(self, number: int) -> None:
        """Till a router takes connections; OSError with its last words where it ends instead."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                if self.processes[number].poll() is not None:
                    raise OSError(f"router {number} ended: {self.read_log(number)[-300:]}")
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection("127.0.0.1", self.ports[number])
                    writer.transport.abort()
                    return
                await asyncio.sleep(READY_POLL_S)

    def read_log(self, number: int) -> str:
        """What a router logged, warnings and worse."""
        return (self.folder / f"n{number}.log").read_text(errors="replace")

    def send_signal(self, number: int, which: signal.Signals) -> None:
        """Send a signal to a router that is ours and still there."""
        if which is signal.SIGKILL:
            self._ended_cpu_s[number] = self.cpu_seconds(number)
        if self.processes[number].poll() is None:
            self.processes[number].send_signal(which)

    def cpu_seconds(self, number: int) -> float:
        """CPU seconds that a router has used, in all its lives."""
        try:
            fields = Path(f"/proc/{self.processes[number].pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return self._ended_cpu_s.get(number, 0.0)
        return (
            self._ended_cpu_s.get(number, 0.0) + (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
        )

    def stop_all(self) -> dict[int, int]:
        """End all: the exit codes of those that were told to."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        codes: dict[int, int] = {}
        for number, process in self.processes.items():
            try:
                codes[number] = process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[number] = process.wait()
        for one in self._reserved_sockets:
            one.close()
        return codes


def resolve_times(text: str, zero: float) -> str:
    """An operators' file with its times, ``@12.5`` for s from the beginning, in RFC 3339."""

    def stamp(told: re.Match[str]) -> str:
        return datetime.fromtimestamp(zero + float(told[1]), UTC).isoformat(timespec="milliseconds")

    return re.sub(r"@(\d+(?:\.\d+)?)", stamp, text)


def reserve_port() -> socket.socket:
    """A TCP port of loopback, held by a socket that takes nothing."""
    one = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    one.bind(("127.0.0.1", 0))
    return one
