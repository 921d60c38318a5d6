"""Router processes that start while discovery does not reply or the control address is in use."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING

from tests.integration.async_router_process import (
    RouterProcess,
    router_process,
    start_process,
    write_process_config,
)
from tests.integration.client_sockets import HEALTH_CHECK
from tests.integration.delayed_discovery import DelayedDiscovery
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from pathlib import Path


def test_processes_are_ready_while_discovery_does_not_reply(tmp_path: Path) -> None:
    """Ten processes start at once, are killed and start again, and then one of them is restarted.

    Each process serves before discovery has sent a reply.
    """

    async def scenario() -> None:
        silent_discovery = DelayedDiscovery()
        await silent_discovery.server.start()
        folders = [tmp_path / f"n{number}" for number in range(10)]
        for folder in folders:
            write_process_config(folder, dns=f"127.0.0.1:{silent_discovery.server.port}")
        processes: dict[int, RouterProcess] = {}

        async def start_serving(number: int) -> float:
            """Start a process and check that it serves; return the seconds until it logged its port."""
            started_at_s = time.monotonic()
            running = await start_process(folders[number])
            processes[number] = running
            await running.wait_until_serving()
            duration_s = time.monotonic() - started_at_s
            assert await running.send_command(b"PING\n") == ["YES"]
            caller = await running.client()
            caller.writer.write(HEALTH_CHECK)
            assert await caller.read() == [1, 1, None, [True, {}]]
            caller.writer.transport.abort()
            return duration_s

        try:
            for group in (range(10), range(10), range(1)):
                for number in group:
                    if number in processes:
                        await processes[number].kill()
                durations_s = sorted(await asyncio.gather(*(start_serving(number) for number in group)))
                listed = " ".join(f"{duration_s:.2f}" for duration_s in durations_s)
                print(f"{len(durations_s)} started at once: ready after {listed} s")
                assert durations_s[max(0, len(durations_s) * 9 // 10 - 1)] < 10.0
        finally:
            for running in processes.values():
                await running.kill()
        silent_discovery.server.stop()

    run_scenario(scenario)


def test_unreachable_discovery_does_not_fail_the_start(tmp_path: Path) -> None:
    async def scenario() -> None:
        reachable_discovery = DelayedDiscovery()
        await reachable_discovery.server.start()
        # A socket cannot connect to the broadcast address, and nothing leaves the machine.
        async with router_process(tmp_path, dns="255.255.255.255:53") as running:
            await running.wait_for_log("discovery_connect_failed address=255.255.255.255:53 error=")
            running.update_config(dns=f"127.0.0.1:{reachable_discovery.server.port}")
            running.reload()
            await reachable_discovery.wait_for_poll()
        reachable_discovery.server.stop()

    run_scenario(scenario)


def test_a_control_address_in_use_is_listened_on_once_it_is_free(tmp_path: Path) -> None:
    """A predecessor process may still use the address; clients are served meanwhile."""

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as predecessor:
            async with router_process(
                tmp_path, control=f"127.0.0.1:{predecessor.getsockname()[1]}"
            ) as running:
                caller = await running.client()
                caller.writer.write(HEALTH_CHECK)
                assert await caller.read() == [1, 1, None, [True, {}]]
                await running.wait_for_log("control_listen_failed address=127.0.0.1:[0-9]+ error=")
                predecessor.close()
                while True:
                    with contextlib.suppress(ConnectionRefusedError):
                        assert await running.send_command(b"PING\n") == ["YES"]
                        return
                    await asyncio.sleep(0.01)

    run_scenario(scenario)
