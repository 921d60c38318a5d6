"""The router as a separate process, started with the command ``run`` of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from review.standins.record import Record
    from review.standins.resolver import Listed

ROOT = Path(__file__).parents[2]
READY_LIMIT_S = 30.0
PORTS = (15_000, 30_000)


def settings(**changes: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return the settings of a small deployment, with changes at the top level."""
    classes = [
        {"name": "check", "goal-time": 1200, "deadline": 5000, "effect": "retryable", "value": 2},
        {"name": "revise", "goal-time": 800, "deadline": 5000, "effect": "dedup", "value": 5}
        | {"group": "zone", "repeat-window": 3000},
        {"name": "confirm", "goal-time": 1500, "deadline": 5000, "effect": "fragile", "value": 5},
    ]
    limits = {"cancel": True, "connect-timeout": 250, "conn-idle": 30000, "send-cap": 4, "most-held": 20000}
    limits |= {"streams-per-conn": 32, "retry-after": True, "max-retry-after": 500, "second-copies": False}
    obligations = {"answer-slack": 8, "stop-sending-within": 500, "overload-factor": 2.5, "fall": 2000}
    obligations |= {"cold-from": 0.25, "warm-after": 17000}
    specifics = {"keep-alive": 8700, "order-limit": 10000, "may-order": True, "says-warm": True}
    specifics |= {"loads-anyway": 4, "load-share": 0.2, "load-window": 5000, "on-miss": "load"}
    return {
        "balancers": 1,
        "ordinal": 0,
        "zone": 0,
        "classes": classes,
        "kinds": ["std"],
        "localities": ["room-a"],
        "limits": limits,
        "obligations": obligations,
        "specifics": specifics | {"notes-peers-in-hand": True},
        "report": {"columns": ["inflight", "x1"], "how": "answers"},
        "prices": {"cross-zone": 0.046},
    } | changes


def free_port() -> int:
    """Return a port of loopback that nothing uses, below the ports that the system gives to connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


class RouterProcess:
    """One process of the router.

    Args:
        label: Its name in the record and of its log file.
        folder: A temporary folder for its configuration and log.
        record: The record of the run.
        arguments: Arguments after the command of the deploy file, as the README gives them.
    """

    def __init__(self, label: str, folder: Path, record: Record, arguments: str = "") -> None:
        self.label = label
        self.folder = folder
        self.record = record
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.command = f"{deploy['run']} {arguments}".strip()
        self.control_port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(
        self, listen_port: int, dns_port: int, servers: list[Listed], in_force: dict[str, Any]
    ) -> None:
        """Write the configuration file as DEPLOY describes it."""
        members = {"index": 1, "snapshot": True, "endpoints": [server.known() for server in servers]}
        config = {
            "name": "n3",
            "listen": f"127.0.0.1:{listen_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "dns": f"127.0.0.1:{dns_port}",
            "known": {"n": 1, "events": [{"n": 1, "members": members}]},
            "settings": in_force,
        }
        path = self.folder / "config.json"
        partial = path.with_suffix(".new")
        partial.write_text(json.dumps(config))
        partial.rename(path)

    def start(self) -> None:
        """Start the process with its own control address."""
        temporary = self.folder / f"tmp-{self.label}"
        temporary.mkdir()
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(temporary),
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_CONTROL": f"127.0.0.1:{self.control_port}",
        }
        with (self.folder / f"{self.label}.log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{self.label}: started")

    async def wait_ready(self) -> None:
        """Wait until the control address answers PING with YES."""
        give_up_at = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < give_up_at:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
                writer.write(b"PING\n")
                answer = await reader.read(100)
                writer.close()
            except OSError:
                answer = b""
            if answer.startswith(b"YES"):
                self.record.write(f"{self.label}: ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.label} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write(f"{self.label}: {number.name}")
        self.process.send_signal(number)

    async def wait_end(self, limit_s: float) -> None:
        """Wait until the process has ended; after the limit, kill it."""
        assert self.process is not None
        give_up_at = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < give_up_at:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.record.write(f"{self.label}: ended with {self.process.returncode}")

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
