"""The parts of a running service, and its mutable state."""

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

LISTEN_RETRY_S = 0.5  # time between attempts to listen on an address that is still in use


@dataclass(frozen=True, slots=True)
class ServiceParts:
    """The parts that exist from construction until the process exits."""

    dispatcher: Dispatcher
    workers: WorkerConnections
    platform: PlatformServer
    invoke: InvokeServer | None  # None if the invoke API is disabled
    discovery: DiscoveryClient
    control: ControlServer


@dataclass(eq=False, slots=True)
class ServiceState:
    """The mutable state of a running service.

    ``Service`` sets ``is_serving`` and ``shutdown_requested``, ``PeerListener`` sets ``peers``, and
    ``Reloader`` sets the other fields.
    """

    config: Config  # the configuration in force
    is_serving: bool = False  # the initial endpoints are applied and the client port is open
    shutdown_requested: asyncio.Event = field(default_factory=asyncio.Event)
    peers: PeerTransport | None = None  # None until its socket is open, or if gossip is disabled
    event_loop_store: EventLoopStore | None = None  # None until opened, or if no store is configured
    reloads: int = 0  # number of configuration files accepted on SIGHUP
    reload_errors: int = 0  # number of configuration files and fleet files rejected on SIGHUP or at startup
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and keep a reference to the task until it is done.

        The event loop itself only keeps a weak reference to a task.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
