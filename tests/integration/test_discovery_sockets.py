"""Discovery sockets that cannot be opened at first, or that fail while in use."""

from __future__ import annotations

import asyncio
import errno
from typing import Any

from cedarthread.protocols.discovery.client import CONNECT_RETRY_S, DiscoveryClient
from tests.integration.delayed_discovery import DelayedDiscovery
from tests.integration.scenario_runner import run_scenario


def test_discovery_is_polled_once_a_socket_is_available() -> None:
    """Guards against an address change that is lost because no descriptor is free.

    The client then kept polling the old address.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        create_datagram_endpoint = loop.create_datagram_endpoint
        open_attempts = 0
        released_descriptors = 0

        async def fail_twice(*arguments: Any, **options: Any) -> Any:
            nonlocal open_attempts
            open_attempts += 1
            if open_attempts == 1:
                raise OSError(errno.EMFILE, "too many open files")
            if open_attempts == 2:
                raise OSError(errno.ENETUNREACH, "network is unreachable")
            return await create_datagram_endpoint(*arguments, **options)

        def release_descriptor() -> bool:
            nonlocal released_descriptors
            released_descriptors += 1
            return True

        old_discovery = DelayedDiscovery()
        new_discovery = DelayedDiscovery()
        await old_discovery.server.start()
        await new_discovery.server.start()
        discovery_client = DiscoveryClient(
            lambda serial, endpoints: None, release_descriptor=release_descriptor
        )
        await discovery_client.connect("127.0.0.1", old_discovery.server.port)
        await old_discovery.wait_for_poll()
        loop.create_datagram_endpoint = fail_twice  # type: ignore[method-assign]
        started_at_s = loop.time()
        discovery_client.start_polling("127.0.0.1", new_discovery.server.port)
        await new_discovery.wait_for_poll()
        assert open_attempts == 3
        assert released_descriptors == 1
        assert loop.time() - started_at_s > 0.9 * CONNECT_RETRY_S
        discovery_client.stop()
        old_discovery.server.stop()
        new_discovery.server.stop()

    run_scenario(scenario)


def test_a_discovery_socket_that_fails_is_replaced() -> None:
    async def scenario() -> None:
        discovery = DelayedDiscovery()
        await discovery.server.start()
        discovery_client = DiscoveryClient(lambda serial, endpoints: None)
        discovery_client.start_polling("127.0.0.1", discovery.server.port)
        await discovery.wait_for_poll()
        first_transport = discovery_client._transport
        assert first_transport is not None
        first_transport._fatal_error(RuntimeError("broken"))  # type: ignore[attr-defined]
        while discovery_client._transport is first_transport:
            await asyncio.sleep(0)
        await discovery.wait_for_poll()
        discovery_client.stop()
        discovery.server.stop()

    run_scenario(scenario)
