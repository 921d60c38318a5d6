"""One process of fakes, as the harness sees it."""

from __future__ import annotations

import asyncio
import json
import pickle
import sys
from typing import TYPE_CHECKING, Any, cast

from cedarthread.testing.cluster.process_base import Command

if TYPE_CHECKING:
    from pathlib import Path

    from cedarthread.testing.cluster.recordings import Recording


class FakeProcessHandle:
    """Starts a process, sends it commands and ends it."""

    def __init__(self, folder: Path, number: int, descriptors: list[int]) -> None:
        self.folder, self.number, self.descriptors = folder, number, descriptors
        self.process: asyncio.subprocess.Process | None = None
        self._command_lock = asyncio.Lock()  # one command at a time: replies carry no number

    async def start(self) -> None:
        """Start it, and wait until it listens."""
        module = "cedarthread.testing.cluster.fake_process"
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, str(self.folder), str(self.number)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            pass_fds=self.descriptors,
            start_new_session=True,  # an interrupt of the terminal is for the harness, which then ends them
        )
        await self._read_reply(Command.START)

    async def send_command(self, command: Command, **arguments: Any) -> None:
        """Send a command, and wait until it is done."""
        assert self.process is not None
        assert self.process.stdin is not None
        async with self._command_lock:
            self.process.stdin.write(json.dumps({"do": command} | arguments).encode() + b"\n")
            await self._read_reply(command)

    async def _read_reply(self, command: Command) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line or json.loads(line)["done"] != command:
            raise OSError(f"fake process {self.number} failed at {command}: {line!r}")

    async def fetch_recording(self) -> Recording:
        """What it recorded; it records nothing more."""
        path = self.folder / f"recording{self.number}"
        await self.send_command(Command.SAVE_RECORDING, path=str(path))
        return cast("Recording", pickle.loads(path.read_bytes()))

    async def kill(self) -> None:
        """End it."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
