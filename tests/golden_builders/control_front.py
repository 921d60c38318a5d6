"""Replies from the control address of a complete router, on loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cedarthread.service import Service
from cedarthread.testing.fakes.scripted import ScriptedWorker, ask_control, endpoint_record
from tests.golden_builders.local_service import local_config, stop_service
from tests.golden_builders.replicated_entries import FLEET_FILE
from tests.golden_builders.sample import Sample

if TYPE_CHECKING:
    from pathlib import Path

REQUEST_LINES = (b"PING\n", b"OTHER\n", b"INFO\n")


async def build_control_front(folder: Path) -> list[Sample]:
    """Return the replies of a router without a fleet file, then of one with a fleet file and a store."""
    fleet_file = folder / "fleet.toml"
    fleet_file.write_bytes(FLEET_FILE)
    store_folder = folder / "kept"
    store_folder.mkdir()
    worker = ScriptedWorker()
    await worker.start()
    config = local_config(endpoint_record(worker, 1))
    samples = await _replies("alone", Service(config))
    with_fleet = Service(config, fleet_file=fleet_file, store_folder=str(store_folder))
    samples += await _replies("with a fleet", with_fleet)
    worker.stop()
    await asyncio.sleep(0)
    return samples


async def _replies(name: str, running: Service) -> list[Sample]:
    """Return the names in each reply without their values, because the values vary from run to run."""
    samples: list[Sample] = []
    await running.start()
    for request in REQUEST_LINES:
        reply = await ask_control(running, request)
        names = "\n".join(line.partition("=")[0] for line in reply) + "\n"
        samples.append(Sample(f"{name}: {request.decode().strip()}", names.encode()))
    stop_service(running)
    return samples
