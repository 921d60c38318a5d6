"""A real router process with workers, hostile clients and a calm client, and its memory over time."""

from __future__ import annotations

import copy
import json
import os
import re
import signal
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.testing.hostile.calm_client import CalmClient, CalmFigures
from cedarthread.testing.hostile.workers import Behavior

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.hostile.flood import FloodSpec

ROOT = Path(__file__).parents[3]
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
MEMORY_SAMPLE_PERIOD_S = 0.05
KIB_PER_MB = 1024
ZONES = ("room-a", "room-b", "room-c")


@dataclass(frozen=True, slots=True)
class RigSetup:
    """The deployment of one run."""

    memory_mb: int = 96
    sockets: int = 384
    workers: int = 12
    service_ms: float = 20.0
    behavior: Behavior = Behavior.SERVE
    can_cancel: bool = True
    defect: str = ""  # a name of ``injected_defects.DEFECTS``; empty: none


@dataclass(frozen=True, slots=True)
class FloodResult:
    """What one flood cost; memory in MB."""

    resting_mb: float
    peak_mb: float
    after_mb: float
    calm: CalmFigures
    sent_messages: int
    counts: dict[str, int]  # the latest ``call_counts`` of the router's log
    is_alive: bool


class RouterUnderTest:
    """One router process, its log and its memory.

    Args:
        folder: An existing folder for the configuration and the log.
        setup: The deployment.
        worker_ports: The ports of the workers.
    """

    def __init__(self, folder: Path, setup: RigSetup, worker_ports: Sequence[int]) -> None:
        self.setup = setup
        self.log_path = folder / "router.log"
        (folder / "config.json").write_text(json.dumps(_config_document(setup, worker_ports)))
        (folder / "tmp").mkdir(exist_ok=True)
        environment = {"BALANCER_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder / "tmp")}
        command = [sys.executable, "-m", "cedarthread"]
        if setup.defect:
            command = [sys.executable, "-m", "cedarthread.testing.hostile.router_entry", setup.defect]
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=os.environ | environment, stdin=subprocess.DEVNULL, stderr=log
            )
        self.port = int(self.wait_for_log(r"serving router=\S+ port=(\d+)")[1])
        self.peak_mb = 0.0
        self._should_stop = threading.Event()
        self._sampler = threading.Thread(target=self._sample_memory, daemon=True)
        self._sampler.start()

    def log(self) -> str:
        """Return the log so far."""
        return self.log_path.read_text(errors="replace")

    def wait_for_log(self, pattern: str, timeout_s: float = START_TIMEOUT_S) -> re.Match[str]:
        """Wait until the log matches, and return the match.

        Raises:
            TimeoutError: The log does not match in time.
        """
        end_s = time.monotonic() + timeout_s
        while (match := re.search(pattern, self.log())) is None:
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise TimeoutError(f"no {pattern!r} in the log:\n{self.log()[-2000:]}")
            time.sleep(0.02)
        return match

    def memory_mb(self) -> float:
        """Return the resident memory; 0 after the end of the process."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        match = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(match[1]) / KIB_PER_MB if match else 0.0

    def _sample_memory(self) -> None:
        while not self._should_stop.wait(MEMORY_SAMPLE_PERIOD_S):
            self.peak_mb = max(self.peak_mb, self.memory_mb())

    def call_counts(self) -> dict[str, int]:
        """Return the latest counts of calls in the log."""
        lines = re.findall(r"call_counts (.*)", self.log())
        pairs = re.findall(r"(\w+)=(\d+)", lines[-1]) if lines else []
        return {name: int(value) for name, value in pairs}

    def stop(self) -> int:
        """Shut the router down by SIGTERM, or by SIGKILL if that takes too long; return the exit code."""
        self._should_stop.set()
        self._sampler.join()
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


def _config_document(setup: RigSetup, worker_ports: Sequence[int]) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["localities"] = list(ZONES)
    settings["limits"] |= {"cancel": setup.can_cancel, "most-held": 300}
    endpoints = [
        {"name": f"s-{number:08x}", "address": f"127.0.0.1:{port}", "zone": ZONES[number % len(ZONES)]}
        | {"type": "std", "group": 0, "status": "ready", "weight": 1, "since_ms": 0}
        for number, port in enumerate(worker_ports, 1)
    ]
    events = [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}]
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": setup.memory_mb, "sockets": setup.sockets},
        "known": {"n": 1, "events": events},
        "settings": settings,
    }


class WorkerProcess:
    """The process of all workers."""

    def __init__(self, setup: RigSetup) -> None:
        arguments = [str(setup.workers), str(setup.service_ms), setup.behavior]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cedarthread.testing.hostile.workers", *arguments],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.ports: list[int] = json.loads(self.process.stdout.readline())

    def stop(self) -> list[str]:
        """Stop, and return the ids of the calls received that must not be repeated."""
        output, _ = self.process.communicate(timeout=STOP_TIMEOUT_S)
        return [str(call_id) for call_id in json.loads(output)]


class FloodRig:
    """A router with workers; floods run one after another, each beside a calm client."""

    def __init__(self, router: RouterUnderTest, workers: WorkerProcess) -> None:
        self.router = router
        self.workers = workers

    def run(self, specs: Sequence[FloodSpec], *, settle_s: float = 0.0) -> FloodResult:
        """Run floods at the same time, and return what they cost together.

        Args:
            specs: The floods.
            settle_s: Time after the floods until the memory is read again.
        """
        router = self.router
        resting_mb = router.memory_mb()
        router.peak_mb = resting_mb
        calm_client = CalmClient(router.port)
        calm_client.start()
        floods = [start_flood(router.port, spec) for spec in specs]
        sent_messages = sum(finish_flood(process) for process in floods)
        calm = calm_client.stop()
        time.sleep(settle_s)
        return FloodResult(
            resting_mb,
            router.peak_mb,
            router.memory_mb(),
            calm,
            sent_messages,
            router.call_counts(),
            router.process.poll() is None,
        )


def start_flood(port: int, spec: FloodSpec) -> subprocess.Popen[bytes]:
    """Start the process of a flood."""
    return subprocess.Popen(
        [sys.executable, "-m", "cedarthread.testing.hostile.flood", str(port), spec.to_json()],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )


def finish_flood(process: subprocess.Popen[bytes]) -> int:
    """Wait for the end of a flood, and return the number of messages sent."""
    output, _ = process.communicate()
    return int(json.loads(output)["sent_messages"])


@contextmanager
def flood_rig(folder: Path, setup: RigSetup) -> Iterator[FloodRig]:
    """Run a router with workers until the end of the block."""
    workers = WorkerProcess(setup)
    try:
        router = RouterUnderTest(folder, setup, workers.ports)
        try:
            yield FloodRig(router, workers)
        finally:
            router.stop()
    finally:
        if workers.process.poll() is None:
            workers.stop()
