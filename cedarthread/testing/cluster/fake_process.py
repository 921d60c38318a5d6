"""Entry point of a fake process.

    python -m cedarthread.testing.cluster.fake_process FOLDER NUMBER

FOLDER contains the plan. Process 0 runs all workers; each other process runs the clients, peer relays and
discovery servers of some routers. The process reads commands from the standard input, one line of JSON each,
and writes a line of JSON when a command is done. One of the commands makes it write its recording to a file.
"""

from __future__ import annotations

import asyncio
import gc
import json
import pickle
import sys
from pathlib import Path
from typing import TYPE_CHECKING, cast

from cedarthread.testing.cluster.fake_clients import FakeClientProcess
from cedarthread.testing.cluster.fake_workers import FakeWorkerProcess
from cedarthread.testing.cluster.process_base import Command

if TYPE_CHECKING:
    from cedarthread.testing.cluster.plan import ClusterPlan


async def main(folder: Path, number: int) -> None:
    """Carry out commands until the standard input ends."""
    plan = cast("ClusterPlan", pickle.loads((folder / "plan").read_bytes()))
    process = FakeClientProcess(plan, number) if number else FakeWorkerProcess(plan, number)
    await process.start()
    # Pauses for collection would be measured as latency of routers. The process ends soon, and its recording
    # only grows, so there is little to collect.
    gc.disable()
    lines = asyncio.StreamReader()
    await process.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    _report(Command.START)
    while line := await lines.readline():
        message = json.loads(line)
        command = Command(message["do"])
        await process.on_command(command, message)
        _report(command)


def _report(done: Command) -> None:
    print(json.dumps({"done": done}), flush=True)


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2])))
