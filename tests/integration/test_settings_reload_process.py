"""SIGHUP with configuration files that lack a key, to a router process."""

from __future__ import annotations

import asyncio
import copy
import re
from typing import TYPE_CHECKING, Any

from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import RouterProcess, listed_endpoints, router_process
from tests.integration.router_process import free_port
from tests.integration.termination_harness import reset_connection, result_name
from tests.unit.config_document import ALL_PATHS, DOCUMENT, OPTIONAL_PATHS, document_without

if TYPE_CHECKING:
    from pathlib import Path

ZONES = ["room-a", "room-b"]
CALL_COUNT = 4


def reset_under_call(worker: ScriptedWorker, message: dict[str, Any]) -> None:
    """Reset the connection after the call was read, so that the call may have run."""
    reset_connection(worker.writers[-1])


async def send_keyed_calls(running: RouterProcess) -> list[str]:
    """Send calls with idempotency keys one after the other, and return how each ended."""
    caller = await running.client()
    results = []
    for number in range(1, CALL_COUNT + 1):
        caller.writer.write(pack_call(number, "revise", b"x", unique=f"key-{number}"))
        results.append(result_name(await caller.read()))
    return results


def test_a_reload_without_the_scope_of_idempotency_keys_runs_no_key_in_two_zones(tmp_path: Path) -> None:
    """Guards against a key that runs twice: a missing ``group`` was read as ``all``, in place of the zone."""
    settings: dict[str, Any] = SETTINGS | {"localities": ZONES}
    without_scope = copy.deepcopy(settings)
    del without_scope["classes"][1]["group"]

    async def scenario() -> None:
        workers = [ScriptedWorker(reset_under_call) for _ in ZONES]
        for worker in workers:
            await worker.start()
        known = listed_endpoints(workers, zones=ZONES)
        try:
            async with router_process(tmp_path, settings=settings, known=known) as running:
                running.update_config(settings=without_scope)
                running.reload()
                reply = await running.wait_for_log(r"configuration_(reloaded|rejected).*")
                results = await send_keyed_calls(running)
                zones_by_key: dict[str, set[str]] = {}
                for worker, zone in zip(workers, ZONES, strict=True):
                    for call in worker.calls:
                        zones_by_key.setdefault(call["fields"]["replay"], set()).add(zone)
                assert len(zones_by_key) == CALL_COUNT
                assert all(len(zones) == 1 for zones in zones_by_key.values()), zones_by_key
                assert set(results) == {"failed"}  # "rejected" would promise that the call has not run
                assert 'settings.classes[1]: missing required key \\"group\\"' in reply[0]
                assert "router.load_errors=1" in await running.send_command(b"INFO\n")
        finally:
            for worker in workers:
                worker.stop()

    asyncio.run(scenario())


def test_a_process_rejects_every_file_that_lacks_a_key_and_serves_by_the_file_before(tmp_path: Path) -> None:
    """Guards against a missing key that has a default: each key of the pages is removed in turn."""
    ports = {
        key: f"127.0.0.1:{free_port()}" for key in ("listen", "dns", "control", "peer_listen", "peers_all")
    }
    document = DOCUMENT | ports | {"peers": [ports["peer_listen"]]}
    removed_paths = [path for path in ALL_PATHS if path not in OPTIONAL_PATHS]

    async def scenario() -> None:
        async with router_process(tmp_path, **document) as running:
            for key_path in removed_paths:
                section_path, _, key = key_path.rpartition(".")
                running.write_config(document_without(key_path, document))
                running.reload()
                location = re.escape(f"config.json: {section_path}: " if section_path else "config.json: ")
                await running.wait_for_log(rf'configuration_rejected .*{location}missing .*key \\"{key}\\"')
            info = await running.send_command(b"INFO\n")
            assert f"router.load_errors={len(removed_paths)}" in info
            assert "router.loads=0" in info
            running.write_config(document)
            running.reload()
            await running.wait_for_log("configuration_reloaded classes=revise,check")

    asyncio.run(scenario())
