"""The function router service, from the start of its listeners to its last result."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from typing import TYPE_CHECKING

from cedarthread.lifecycle.composition import compose_service
from cedarthread.lifecycle.reload import FleetFiles
from cedarthread.lifecycle.shutdown import shut_down
from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from cedarthread.config import Config
    from cedarthread.persistence.event_loop_store import EventLoopStore
    from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
    from cedarthread.protocols.invoke.config import InvokeConfig

log = logging.getLogger(__name__)

# Thresholds of the garbage collector's generations, with which collections are rare and their pauses short.
GC_THRESHOLDS = (20_000, 20, 50)


class Service:
    """One function router, constructed and run on one event loop; ``lifecycle.composition`` builds its parts.

    Args:
        config: The configuration at startup.
        invoke: The configuration of the invoke API; None if the API is disabled.
        load_config: Reloads the configuration on SIGHUP; None: the configuration never changes.
        fleet_file: The file with the operators' declarations for the whole fleet; None: there are none.
        store_folder: The folder for this router's persistent state; overrides the folder from the fleet file.
    """

    def __init__(
        self,
        config: Config,
        invoke: InvokeConfig | None = None,
        load_config: Callable[[], Config] | None = None,
        fleet_file: Path | None = None,
        store_folder: str | None = None,
    ) -> None:
        composed = compose_service(config, invoke, load_config, FleetFiles(fleet_file, store_folder))
        self.state = composed.state
        self.parts = composed.parts
        self.dispatcher = composed.parts.dispatcher
        self.workers = composed.parts.workers
        self.platform = composed.parts.platform
        self.invoke = composed.parts.invoke
        self.discovery = composed.parts.discovery
        self.control = composed.parts.control
        self.descriptor_budget = composed.descriptor_budget
        self.endpoint_updates = composed.endpoint_updates
        self.status = composed.status
        self.maintenance = composed.maintenance
        self.control_listener = composed.control_listener
        self.peer_listener = composed.peer_listener
        self.reloader = composed.reloader
        self.port = 0  # port on which clients connect; 0 before ``start``
        self.invoke_port = 0  # port of the invoke API; 0 before ``start``, or if the API is disabled

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.state.config

    @property
    def control_port(self) -> int:
        """The port for operators; 0 until the service listens on it."""
        return self.control_listener.port

    @property
    def event_loop_store(self) -> EventLoopStore | None:
        """The store on disk; None until it is opened, or if no store is configured."""
        return self.state.event_loop_store

    @property
    def endpoint_list(self) -> EndpointList:
        """The endpoint list, as last reported by the configuration or by discovery."""
        return self.endpoint_updates.endpoint_list

    def update_endpoints(self, serial: int, records: list[EndpointRecord], *, is_complete: bool) -> None:
        """Apply a newer list of workers; see ``EndpointUpdates.update``."""
        self.endpoint_updates.update(serial, records, is_complete=is_complete)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then complete all accepted calls; SIGHUP reloads the files."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.state.shutdown_requested.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Apply the initial endpoints, listen for clients, and start to poll discovery.

        Raises:
            OSError: The client address cannot be listened on.
        """
        self.control_listener.listen()
        self._apply_initial_endpoints()
        self.port = await self.platform.listen(self.config.host, self.config.port)
        if self.invoke is not None:
            self.invoke_port = await self.invoke.listen()
            log.info(format_event("invoke_api_listening", port=self.invoke_port))
        self.reloader.load_fleet_config()
        await self.peer_listener.listen()
        if self.config.discovery_address is not None:
            self.discovery.start_polling(*self.config.discovery_address)
        self.state.is_serving = True
        log.info(format_event("serving", router=self.config.router_name, port=self.port))
        self._log_descriptor_budget()
        _exclude_existing_objects_from_collection()
        self.maintenance.start(self.reloader.reload_invoke_files)

    def _apply_initial_endpoints(self) -> None:
        for serial, records in self.config.initial_endpoints:
            is_first = self.endpoint_list.version < 0
            self.update_endpoints(serial, list(records), is_complete=is_first)
        self.discovery.last_serial = self.endpoint_list.version

    def request_shutdown(self) -> None:
        """Make ``run`` shut the service down."""
        self.state.shutdown_requested.set()

    def reload(self) -> None:
        """Reload all files; see ``Reloader``."""
        self.reloader.reload()

    async def shut_down(self) -> None:
        """Complete all accepted calls, then close all listeners; see ``lifecycle.shutdown``."""
        await shut_down(self.parts, self.state, self.maintenance.log_counts)

    def _log_descriptor_budget(self) -> None:
        budget = self.descriptor_budget
        configured = self.config.max_sockets
        if budget.limit < configured:
            log.warning(
                format_event("descriptor_limit_below_configured", limit=budget.limit, configured=configured)
            )
        log.info(
            format_event(
                "descriptor_budget",
                limit=budget.limit,
                clients=budget.client_connections,
                callers=budget.invoke_connections,
                workers=budget.worker_connections,
                reserved=budget.reserved,
            )
        )


def _exclude_existing_objects_from_collection() -> None:
    """Exclude all existing objects from garbage collection, so that the collector's pauses stay short.

    These objects live until the process exits.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
