"""The harness's handle of one fake process."""

from __future__ import annotations

import asyncio
import json
import pickle
import sys
from typing import TYPE_CHECKING, cast

from cedarthread.testing.cluster.process_base import Command

if TYPE_CHECKING:
    from pathlib import Path

    from cedarthread.testing.cluster.recordings import Recording


class FakeProcessHandle:
    """A handle that starts one fake process, sends commands to it and kills it.

    Args:
        folder: The folder that contains the plan, and to which the process writes its recording.
        number: The process number; 0 runs the workers.
        descriptors: The sockets that the process inherits.
    """

    def __init__(self, folder: Path, number: int, descriptors: list[int]) -> None:
        self.folder = folder
        self.number = number
        self.descriptors = descriptors
        self.process: asyncio.subprocess.Process | None = None
        self._command_lock = asyncio.Lock()  # One command at a time, because replies carry no command number.

    async def start(self) -> None:
        """Start the process, and return when it listens."""
        module = "cedarthread.testing.cluster.fake_process"
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, str(self.folder), str(self.number)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            pass_fds=self.descriptors,
            # An interrupt from the terminal reaches the harness alone, which then kills the fake processes.
            start_new_session=True,
        )
        await self._read_reply(Command.START)

    async def send_command(self, command: Command, **arguments: object) -> None:
        """Send a command, and return when the process has carried it out."""
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
            raise OSError(f"fake process {self.number} did not complete {command}, reply: {line!r}")

    async def fetch_recording(self) -> Recording:
        """Return the recording of the process, which records no more facts from then on."""
        path = self.folder / f"recording{self.number}"
        await self.send_command(Command.SAVE_RECORDING, path=str(path))
        return cast("Recording", pickle.loads(path.read_bytes()))

    async def kill(self) -> None:
        """Kill the process, and wait until it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
