"""Floods of the invoke API's callers at a real router process, judged by memory and by a calm client."""

from __future__ import annotations

import asyncio
import re
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest

from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.testing.hostile.calm_client import CalmClient
from cedarthread.testing.hostile.rig import RigSetup, WorkerProcess
from tests.integration import invoke_caller
from tests.integration.async_router_process import RouterProcess, listed_endpoints, router_process
from tests.integration.invoke_caller import ALLOWED_CALLER_ID, FUNCTION_PATH, Authority, invoke_arguments
from tests.integration.router_process import ROOT, free_port

authority = invoke_caller.authority
MEMORY_MB = 96
SECONDS = 3.0
CONNECTIONS = 8
HOST = "Host: router\r\n"
HEADS = {
    "health checks": f"GET /v1/ready HTTP/1.1\r\n{HOST}\r\n",
    "calls": f"POST {FUNCTION_PATH}check HTTP/1.1\r\n{HOST}Content-Length: 1\r\n\r\nx",
    "many short fields": "GET /v1/ready HTTP/1.1\r\n" + "a: b\r\n" * 2000,
    "half a request": f"POST {FUNCTION_PATH}check HTTP/1.1\r\n{HOST}Content-Length: 16000\r\n\r\n"
    + "x" * 8000,
}


def memory_mb(running: RouterProcess) -> float:
    """Return the peak of the resident memory of a router process."""
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    match = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert match is not None
    return int(match[1]) / 1024


async def flood(port: int, folder: Path, data: bytes) -> None:
    """Flood in a process of its own."""
    module = "cedarthread.testing.hostile.caller_flood"
    arguments = (str(port), str(folder), str(SECONDS), str(CONNECTIONS))
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module, *arguments), cwd=ROOT, stdin=asyncio.subprocess.PIPE
    )
    await process.communicate(data)
    assert process.returncode == 0


# Guards against callers that starve clients or exceed the memory limit.
@pytest.mark.parametrize("name", HEADS)
def test_a_flood_of_callers_leaves_the_memory_and_other_clients_alone(
    authority: Authority, tmp_path: Path, name: str
) -> None:
    port = free_port()
    arguments = invoke_arguments(authority, port)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 384}

    async def scenario(workers: WorkerProcess) -> None:
        authority.write_svid("caller", ALLOWED_CALLER_ID)
        known = listed_endpoints([SimpleNamespace(port=worker_port) for worker_port in workers.ports])
        async with router_process(
            tmp_path, arguments=arguments, known=known, settings=SETTINGS, limits=limits
        ) as running:
            calm_client = CalmClient(running.port)
            calm_client.start()
            repeated = 1 if name == "half a request" else 20
            await flood(port, authority.folder, (HEADS[name] * repeated).encode())
            calm = await asyncio.to_thread(calm_client.stop)
            assert memory_mb(running) < MEMORY_MB
            assert calm.served_within(1000.0) >= 0.95
            assert calm.health_percentile_ms(0.5) <= 100.0
            assert "Traceback" not in running.log()

    workers = WorkerProcess(RigSetup(workers=4))
    try:
        asyncio.run(scenario(workers))
    finally:
        workers.stop()
