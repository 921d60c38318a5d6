"""Router processes at their limit of open descriptors: discovery, workers and control still get theirs."""

from __future__ import annotations

import resource
import socket
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.fakes.discovery_server import ListedWorker
from cedarthread.testing.fakes.scripted import ScriptedWorker
from tests.integration.async_router_process import RouterProcess, router_process
from tests.integration.client_sockets import HEALTH_CHECK, close_all, wait_until_accepted
from tests.integration.delayed_discovery import DelayedDiscovery
from tests.integration.scenario_runner import run_scenario

if TYPE_CHECKING:
    from pathlib import Path

DESCRIPTOR_LIMIT = 128  # of the router processes here
CLIENT_BUDGET = DESCRIPTOR_LIMIT // 2  # client connections that the budget allows


async def connect_burst(running: RouterProcess, count: int) -> list[socket.socket]:
    """Connect ``count`` clients while the process is suspended, so that all are in its backlog on resume."""
    await running.suspend()
    connections = []
    for _ in range(count):
        connection = socket.create_connection(("127.0.0.1", running.port))
        connection.sendall(HEALTH_CHECK)
        connection.setblocking(False)
        connections.append(connection)
    running.resume()
    return connections


@pytest.mark.parametrize(
    ("configured_limit", "process_limit"), [(1024, DESCRIPTOR_LIMIT), (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)]
)
def test_idle_clients_at_the_limit_leave_descriptors_for_discovery_workers_and_control(
    tmp_path: Path, configured_limit: int, process_limit: int
) -> None:
    """Regression test: the budget used only the configured limit, and a burst was accepted uncounted."""

    async def scenario() -> None:
        worker = ScriptedWorker()
        other_worker = ScriptedWorker()
        await worker.start()
        await other_worker.start()
        old_discovery = DelayedDiscovery(ListedWorker(f"s-{1:08x}", worker.port))
        new_discovery = DelayedDiscovery(ListedWorker(f"s-{2:08x}", other_worker.port))
        await old_discovery.server.start()
        await new_discovery.server.start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": configured_limit}
        dns = f"127.0.0.1:{old_discovery.server.port}"
        async with router_process(tmp_path, process_limit, limits=limits, dns=dns) as running:
            # When 300 clients connect at once, the budget bounds the accepted ones.
            await old_discovery.wait_for_poll()
            count_without_clients = len(running.open_descriptors())
            connections = await connect_burst(running, 300)
            assert await running.send_command(b"PING\n") == ["YES"]
            await old_discovery.wait_for_poll()
            await wait_until_accepted(connections)
            await running.wait_for_open_descriptors(count_without_clients + CLIENT_BUDGET)
            assert await running.send_command(b"PING\n") == ["YES"]

            # When discovery replies, the list is applied. A new client's call uses a new worker connection,
            # and an idle client is evicted to make room for the new client.
            old_discovery.is_released = True
            await running.wait_for_log("endpoints_updated serial=2 changed=1 ")
            caller = await running.client()
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert len(worker.calls) == 1
            await running.wait_for_open_descriptors(count_without_clients + CLIENT_BUDGET + 1)
            assert await running.send_command(b"PING\n") == ["YES"]

            # When the discovery address changes during a second burst, the new address is polled.
            old_discovery.is_released = False
            new_discovery.is_released = True
            connections += await connect_burst(running, 300)
            running.update_config(dns=f"127.0.0.1:{new_discovery.server.port}")
            running.reload()
            await new_discovery.wait_for_poll()
            assert await running.send_command(b"PING\n") == ["YES"]
            assert len(running.open_descriptors()) < DESCRIPTOR_LIMIT
            assert "out of system resource" not in running.log()
            assert "descriptors_exhausted" not in running.log()
            close_all(connections)
        worker.stop()
        other_worker.stop()
        old_discovery.server.stop()
        new_discovery.server.stop()

    run_scenario(scenario)


def test_idle_clients_are_evicted_if_the_process_has_no_descriptor_left(tmp_path: Path) -> None:
    """The budget is too large here, because the limit is lowered after the process has started.

    Calls and PING still get descriptors, because idle clients are evicted.
    """

    async def scenario() -> None:
        worker = ScriptedWorker()
        await worker.start()
        discovery = DelayedDiscovery(ListedWorker("s-00000001", worker.port))
        discovery.is_released = True
        await discovery.server.start()
        dns = f"127.0.0.1:{discovery.server.port}"
        async with router_process(tmp_path, DESCRIPTOR_LIMIT, dns=dns) as running:
            await running.wait_for_log("endpoints_updated serial=2 changed=1 ")
            connections = await connect_burst(running, 40)
            await wait_until_accepted(connections)

            lowered_limit = max(running.open_descriptors()) + 1
            assert lowered_limit == len(running.open_descriptors()), "no lower descriptor may be free"
            _, hard_limit = resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (lowered_limit, hard_limit))

            caller = await running.client()
            assert await caller.call(1, "confirm", b"x") == [1, 1, None, [b"X", {}]]
            assert await running.send_command(b"PING\n") == ["YES"]
            info = await running.send_command(b"INFO\n")
            assert "router.skipped_runners=0" in info
            assert "router.handled.confirm.upstream_tries=1" in info
            assert len(running.open_descriptors()) <= lowered_limit
            close_all(connections)
        worker.stop()
        discovery.server.stop()

    run_scenario(scenario)


def test_inherited_descriptors_count_against_the_budget(tmp_path: Path) -> None:
    async def scenario() -> None:
        logged_budget = r"descriptor_budget limit=128 clients=64 callers=0 workers=(\d+) reserved=(\d+)"
        async with router_process(tmp_path, DESCRIPTOR_LIMIT) as running:
            budget = await running.wait_for_log(logged_budget)
            assert len(running.open_descriptors()) < int(budget[2])
        inherited = [socket.socket() for _ in range(10)]
        descriptors = [inherited_socket.fileno() for inherited_socket in inherited]
        async with router_process(tmp_path, DESCRIPTOR_LIMIT, descriptors) as running:
            budget_with_inherited = await running.wait_for_log(logged_budget)
            assert int(budget_with_inherited[2]) == int(budget[2]) + 10
            assert int(budget_with_inherited[1]) == int(budget[1]) - 10
        close_all(inherited)

    run_scenario(scenario)
