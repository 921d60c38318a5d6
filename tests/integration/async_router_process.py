"""A router in a separate process, driven from asyncio: its log, descriptors, commands and suspension."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import resource
import signal
import sys
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from cedarthread.testing.fakes.scripted import ScriptedClient
from tests.integration.router_process import ROOT, free_port, write_config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

LOG_END = "(ended)"  # the last entry of ``RouterProcess.lines`` once the process has closed its log
TIMEOUT_S = 10


class RouterProcess:
    """A running router process.

    Attributes:
        process: The process; its standard error is the log.
        folder: The folder of ``config.json``.
        lines: The lines of the log so far; the last one is LOG_END once the log has ended.
        port: The port for clients; 0 before ``wait_until_serving``.
    """

    def __init__(self, process: asyncio.subprocess.Process, folder: Path) -> None:
        self.process = process
        self.folder = folder
        self.lines: list[str] = []
        self.port = 0
        self._line_logged = asyncio.Event()
        self._read_task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())
            self._line_logged.set()
        self.lines.append(LOG_END)
        self._line_logged.set()

    async def wait_for_log(self, pattern: str, timeout_s: float = 30.0) -> re.Match[str]:
        """Return the first match of a pattern in past or future log lines; fail if the log ends first."""
        searched = 0
        async with asyncio.timeout(timeout_s):
            while True:
                for line in self.lines[searched:]:
                    if (match := re.search(pattern, line)) is not None:
                        return match
                    assert line != LOG_END, "".join(self.lines)
                searched = len(self.lines)
                self._line_logged.clear()
                await self._line_logged.wait()

    async def wait_until_serving(self) -> None:
        """Wait for the log line that names the port, and set ``port``."""
        self.port = int((await self.wait_for_log(r"serving router=n3 port=(\d+)"))[1])

    def open_descriptors(self) -> set[int]:
        """Return the open descriptors of the process as the kernel lists them."""
        return set(map(int, os.listdir(f"/proc/{self.process.pid}/fd")))

    async def wait_for_open_descriptors(self, count: int) -> None:
        """Wait until the process has exactly ``count`` descriptors open."""
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.open_descriptors()) != count:
                await asyncio.sleep(0.01)

    def control_port(self) -> int:
        """Return the port of the control address."""
        return int(json.loads((self.folder / "config.json").read_text())["control"].rpartition(":")[2])

    async def send_command(self, line: bytes) -> list[str]:
        """Send one line to the control port; return the lines of the reply."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port())
        writer.write(line)
        async with asyncio.timeout(TIMEOUT_S):
            reply = (await reader.read()).decode().splitlines()
        writer.transport.abort()
        return reply

    async def client(self) -> ScriptedClient:
        """Return a new client that is connected to the process."""
        return ScriptedClient(*await asyncio.open_connection("127.0.0.1", self.port))

    def log(self) -> str:
        """Return the log so far."""
        return "".join(self.lines)

    def write_config(self, document: dict[str, Any]) -> None:
        """Replace ``config.json``, which the process reads again on SIGHUP."""
        (self.folder / "config.json").write_text(json.dumps(document))

    def update_config(self, **changes: Any) -> None:
        """Replace these entries of ``config.json``; the process reads the file again on SIGHUP."""
        self.write_config(json.loads((self.folder / "config.json").read_text()) | changes)

    def reload(self) -> None:
        """Send SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    async def suspend(self) -> None:
        """Stop the process by SIGSTOP, and return once the kernel has stopped it."""
        self.process.send_signal(signal.SIGSTOP)
        stat = Path(f"/proc/{self.process.pid}/stat")
        while stat.read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process, even if it is suspended or has exited, and read its log to the end."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        await self._read_task


class ListedWorker(Protocol):
    """A worker that listens on a port of loopback."""

    port: int


def listed_endpoints(workers: Sequence[ListedWorker], zones: Sequence[str] = ("room-a",)) -> dict[str, Any]:
    """Return a ``known`` entry of ``config.json`` that lists the workers, in these zones in turn."""
    endpoints = [
        {
            "name": f"s-{number:08x}",
            "address": f"127.0.0.1:{worker.port}",
            "zone": zones[(number - 1) % len(zones)],
            "type": "std",
            "group": 0,
            "status": "ready",
            "weight": 1,
            "since_ms": 0,
        }
        for number, worker in enumerate(workers, 1)
    ]
    events = [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": endpoints}}]
    return {"n": 1, "events": events}


def write_process_config(folder: Path, **changes: Any) -> None:
    """Write a ``config.json`` without workers and with a free control port, then apply ``changes``."""
    folder.mkdir(exist_ok=True)
    write_config(folder)
    config = json.loads((folder / "config.json").read_text())
    config |= {"control": f"127.0.0.1:{free_port()}", "known": {"n": 0, "events": []}} | changes
    (folder / "config.json").write_text(json.dumps(config))


async def start_process(
    folder: Path,
    descriptor_limit: int | None = None,
    inherited: Sequence[int] = (),
    arguments: Sequence[str] = (),
) -> RouterProcess:
    """Start a router with the configuration in a folder.

    Args:
        folder: The folder of ``config.json``.
        descriptor_limit: The process's soft limit on open descriptors; None leaves the limit unchanged.
        inherited: Descriptors that the process inherits.
        arguments: Arguments of the command line; by default the process serves clients only.
    """

    def set_descriptor_limit() -> None:  # runs in the child process only
        if descriptor_limit is not None:
            hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, hard_limit))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cedarthread",
        *arguments,
        cwd=ROOT,
        env=os.environ
        | {"BALANCER_CONFIG": str(folder / "config.json"), "BALANCER_NAME": "n3", "TMPDIR": str(folder)},
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=set_descriptor_limit,
        pass_fds=inherited,
    )
    return RouterProcess(process, folder)


@asynccontextmanager
async def router_process(
    folder: Path,
    descriptor_limit: int | None = None,
    inherited: Sequence[int] = (),
    arguments: Sequence[str] = (),
    **changes: Any,
) -> AsyncIterator[RouterProcess]:
    """Run a router process until the end of the block; yield it once it serves.

    Args:
        folder: A folder for ``config.json``.
        descriptor_limit: As for ``start_process``.
        inherited: As for ``start_process``.
        arguments: As for ``start_process``.
        **changes: Entries that replace those of ``write_process_config``.
    """
    write_process_config(folder, **changes)
    running = await start_process(folder, descriptor_limit, inherited, arguments)
    try:
        await running.wait_until_serving()
        yield running
    finally:
        await running.kill()
