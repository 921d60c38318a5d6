"""The parts of a running service, and the state that changes while the service runs."""

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

LISTEN_RETRY_S = 0.5  # between attempts to listen on an address that another process still uses


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
    """The state that changes while the service runs.

    ``Service`` writes ``is_serving`` and ``shutdown_requested``, ``PeerListener`` writes ``peers``, and
    ``Reloader`` writes the other fields.
    """

    config: Config  # the configuration in force
    is_serving: bool = False  # the configured endpoints are applied and the clients' port is open
    shutdown_requested: asyncio.Event = field(default_factory=asyncio.Event)
    peers: PeerTransport | None = None  # None until its socket is open, or where gossip is off
    event_loop_store: EventLoopStore | None = None  # None where the fleet file names no disk
    reloads: int = 0  # configuration files accepted at SIGHUP
    reload_errors: int = 0  # configuration files and fleet files rejected at SIGHUP or at the start
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task, and reference the task until the task is done.

        The event loop itself has only a weak reference to a task.
        """
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
