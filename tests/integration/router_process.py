"""A router in a separate process: its configuration file, its log, and single commands and calls."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path
from typing import IO, TYPE_CHECKING

from cedarthread.protocols import msgpack
from cedarthread.testing.fakes.scripted import pack_call
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 10
SERVING_PATTERN = r"serving router=n3 port=\d+"


def write_config(folder: Path) -> dict[str, str]:
    """Write a configuration file with one worker at a closed port; return the environment that selects it."""
    entry = {"name": "s-00c41f7a", "address": "127.0.0.1:1", "zone": "room-a", "type": "std"}
    entry |= {"group": 0, "status": "ready", "weight": 1, "since_ms": 0}  # type: ignore[dict-item]
    events = [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": [entry]}}]
    config = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"n": 1, "events": events},
        "settings": SETTINGS,
    }
    (folder / "config.json").write_text(json.dumps(config))
    return {"BALANCER_CONFIG": str(folder / "config.json"), "BALANCER_NAME": "n3"}


def start_router(environment: Mapping[str, str]) -> subprocess.Popen[str]:
    """Start a router with these environment variables and a pipe for its log."""
    return subprocess.Popen(
        [sys.executable, "-m", "cedarthread"],
        cwd=ROOT,
        env=os.environ | environment,
        stderr=subprocess.PIPE,
        text=True,
    )


def log_stream(process: subprocess.Popen[str]) -> IO[str]:
    """Return the log stream of a router that ``start_router`` has started."""
    assert process.stderr is not None
    return process.stderr


def kill_router(process: subprocess.Popen[str]) -> None:
    """Kill a router that may still be running, and close its log."""
    process.kill()
    log_stream(process).close()


@contextmanager
def serving_router(folder: Path) -> Iterator[tuple[subprocess.Popen[str], IO[str]]]:
    """Run a router until the end of the block; yield the process and its log once it serves."""
    process = start_router(write_config(folder))
    try:
        wait_for_log_line(log_stream(process), SERVING_PATTERN)
        yield process, log_stream(process)
    finally:
        kill_router(process)


def wait_for_log_line(log: IO[str], pattern: str) -> None:
    """Read the log until a line matches; fail if the log ends first, because the process has then exited."""
    assert any(re.search(pattern, line) for line in log), pattern


def terminate(process: subprocess.Popen[str]) -> int:
    """Send SIGTERM, and return the exit code."""
    process.send_signal(signal.SIGTERM)
    return process.wait(TIMEOUT_S)


def free_port() -> int:
    """Return a TCP port of loopback that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def send_command(port: int, line: bytes) -> str:
    """Send one line to the control port, and return the reply."""
    with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as control:
        control.sendall(line)
        reply = b""
        while received := control.recv(4096):
            reply += received
    return reply.decode()


def send_call(port: int, number: int) -> list[object]:
    """Send one call on a new connection, and return the response as the client reads it."""
    with socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S) as client:
        client.sendall(pack_call(number, "check", b"x"))
        buffered = b""
        while not isinstance(parsed := msgpack.parse(memoryview(buffered)), msgpack.ParsedValue):
            received = client.recv(65536)
            assert received, "the router closed the connection without a response"
            buffered += received
        return list(parsed.value)
