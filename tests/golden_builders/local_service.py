"""A complete router that runs in this process and listens on loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.config import Config
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.service import Service

RESPONSE_TIMEOUT_S = 10


def local_config(worker: EndpointRecord) -> Config:
    """Return the configuration of a router with one worker, without discovery and without peers."""
    return Config(
        router_name="n0",
        host="127.0.0.1",
        port=0,
        seed=7,
        max_sockets=1024,
        memory_bytes=192 * 2**20,
        discovery_address=None,
        settings=settings_from_object(SETTINGS),
        initial_endpoints=((1, (worker,)),),
        control_address=("127.0.0.1", 0),
    )


def stop_service(running: Service) -> None:
    """Close the router's listeners, its store and its connections to workers."""
    running.platform.stop_listening()
    running.control.stop_listening()
    if running.event_loop_store is not None:
        running.event_loop_store.close()
    for pool in running.workers.pools.values():
        for connection in list(pool.connections):
            connection.abort()
