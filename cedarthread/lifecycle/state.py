"""The parts of a running service, and what changes of it while it runs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from cedarthread.config import Config
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.persistence.event_loop_store import EventLoopStore
    from cedarthread.protocols.control import ControlServer
    from cedarthread.protocols.discovery.client import DiscoveryClient
    from cedarthread.protocols.invoke.server import InvokeServer
    from cedarthread.protocols.peers import PeerTransport
    from cedarthread.protocols.platform.server import PlatformServer
    from cedarthread.protocols.worker.connections import WorkerConnections

LISTEN_RETRY_S = 0.5  # between attempts to listen on an address that another process still holds


@dataclass(frozen=True, slots=True)
class ServiceParts:
    """The parts that exist from construction to the end of the process."""

    dispatcher: Dispatcher
    workers: WorkerConnections
    platform: PlatformServer
    invoke: InvokeServer | None  # None where the invoke API is off
    discovery: DiscoveryClient
    control: ControlServer


@dataclass(eq=False, slots=True)
class ServiceState:
    """What changes while the service runs."""

    config: Config  # as of the last reload
    is_serving: bool = False  # the known endpoints are in use and the clients' port listens
    shutdown_requested: asyncio.Event = field(default_factory=asyncio.Event)
    peers: PeerTransport | None = None  # None until its address is listened on, or where gossip is off
    event_loop_store: EventLoopStore | None = None  # None where the fleet file names no disk
    reloads: int = 0  # settings files taken at SIGHUP
    reload_errors: int = 0  # settings and fleet files rejected at SIGHUP or start
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine beside the caller, and keep a reference until it is done."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
