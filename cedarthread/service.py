"""The running function router: all its parts, from start to the last result."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import secrets
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.lifecycle.freshness_gate import FreshnessGate
from cedarthread.lifecycle.listeners import ControlListener, PeerListener
from cedarthread.lifecycle.maintenance import Maintenance
from cedarthread.lifecycle.reload import FleetFiles, Reloader
from cedarthread.lifecycle.shutdown import shut_down
from cedarthread.lifecycle.state import ServiceParts, ServiceState
from cedarthread.lifecycle.status import StatusReport
from cedarthread.logs import format_event
from cedarthread.protocols.control import ControlServer
from cedarthread.protocols.discovery.client import DiscoveryClient
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.discovery.start_times import StartTimes
from cedarthread.protocols.platform.server import PlatformServer
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.transport import descriptor_budget
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from cedarthread.config import Config
    from cedarthread.model.endpoints import EndpointUpdate
    from cedarthread.persistence.event_loop_store import EventLoopStore
    from cedarthread.protocols.discovery.endpoint_records import PartialList
    from cedarthread.protocols.invoke.config import InvokeConfig
    from cedarthread.protocols.invoke.server import InvokeServer

log = logging.getLogger(__name__)

BASE_MEMORY_BYTES = 20 * 2**20  # what the program takes without any call
BODY_MEMORY_FRACTION = 0.3  # of the rest, for the bodies of pending calls
OUTPUT_MEMORY_FRACTION = 0.2  # of the rest, for results that clients have not read yet
GC_THRESHOLDS = (20_000, 20, 50)  # of the collector's generations: its pauses are fewer, and stay short


@dataclass(frozen=True, slots=True)
class _MemoryLimits:
    """Bounds of what calls may hold, in bytes."""

    pending_bodies: int
    queued_output: int


def _memory_limits(memory_bytes: int) -> _MemoryLimits:
    """The bounds under the configured memory of the process."""
    available_bytes = max(memory_bytes - BASE_MEMORY_BYTES, memory_bytes // 4)
    return _MemoryLimits(
        pending_bodies=int(BODY_MEMORY_FRACTION * available_bytes),
        queued_output=int(OUTPUT_MEMORY_FRACTION * available_bytes),
    )


def _create_dispatcher(config: Config, memory: _MemoryLimits) -> Dispatcher:
    incarnation = secrets.randbits(64)  # not from the seed, which may be the same at each start
    return Dispatcher(
        config.settings,
        config.seed,
        max_pending_body_bytes=memory.pending_bodies,
        incarnation=incarnation,
    )


def _compute_descriptor_budget(
    config: Config, invoke: InvokeConfig | None
) -> descriptor_budget.DescriptorBudget:
    return descriptor_budget.compute_budget(
        config.max_sockets,
        invoke.max_connections if invoke is not None else 0,
        descriptor_budget.soft_limit(),
        descriptor_budget.count_open_descriptors(),
    )


class Service:
    """One function router. It is made, and runs, on an event loop."""

    def __init__(
        self,
        config: Config,
        invoke: InvokeConfig | None = None,
        load_config: Callable[[], Config] | None = None,
        fleet_file: Path | None = None,
        store_folder: str | None = None,
    ) -> None:
        """``invoke``: None where the invoke API is off; ``load_config``: loads the settings again at SIGHUP;
        ``fleet_file``: what operators declare for the whole fleet; ``store_folder``: of this router's state,
        in place of the one that the fleet file names.
        """
        self.state = ServiceState(config)
        memory = _memory_limits(config.memory_bytes)
        self.dispatcher = _create_dispatcher(config, memory)
        self.descriptor_budget = budget = _compute_descriptor_budget(config, invoke)
        self.flusher = Flusher()
        self.dispatcher.flush_output = self.flusher.flush_all
        self.workers = WorkerConnections(
            config.settings, self.dispatcher, budget.worker_connections, self.flusher
        )
        self.dispatcher.connect_workers(self.workers)
        self.platform = self._create_platform_server(memory)
        self.workers.release_client_descriptor = self.platform.evict_idle
        self.invoke = self._create_invoke_server(invoke) if invoke is not None else None
        self.endpoint_list = EndpointList(config.settings)
        self.start_times = StartTimes()
        self.maintenance = Maintenance(self.dispatcher, self.workers, self.platform, self.invoke, self.state)
        self.discovery = DiscoveryClient(
            self.replace_endpoints,
            self.maintenance.on_discovery_poll,
            self.workers.release_descriptor,
            on_partial_list=self.apply_partial_list,
            drain_grace_s=config.settings.rules.drain_grace_ms / 1000.0,
        )
        self.freshness_gate = FreshnessGate(self.discovery, self.dispatcher, self.workers)
        self.discovery.on_fresh = self.freshness_gate.on_fresh
        self.discovery.on_poll_due = self.freshness_gate.on_poll_due
        self.dispatcher.input_delay_ms = self.freshness_gate.input_delay_ms
        self.dispatcher.may_proceed = self.workers.may_send = self.freshness_gate.is_open
        self.status = StatusReport(
            self.dispatcher, self.endpoint_list, self.state, has_fleet=fleet_file is not None
        )
        self.control = ControlServer(
            {"PING": self.status.ping, "INFO": self.status.info},
            self.flusher,
            budget.operator_connections,
            self.platform.evict_idle,
        )
        self.parts = ServiceParts(
            self.dispatcher, self.workers, self.platform, self.invoke, self.discovery, self.control
        )
        self.control_listener = ControlListener(self.control, self.state)
        self.peer_listener = PeerListener(self.dispatcher, self.state)
        self.reloader = Reloader(
            self.parts, self.state, self.peer_listener, FleetFiles(fleet_file, store_folder), load_config
        )
        self.port = self.invoke_port = 0  # what is listened on, once started

    def _create_platform_server(self, memory: _MemoryLimits) -> PlatformServer:
        return PlatformServer(
            self.dispatcher,
            self.descriptor_budget.client_connections,
            self.flusher,
            memory.queued_output,
            self.descriptor_budget.accepts_per_pass,
        )

    def _create_invoke_server(self, invoke: InvokeConfig) -> InvokeServer:
        # With TLS and certificates: not loaded where the API is off.
        from cedarthread.protocols.invoke.server import InvokeServer

        server = InvokeServer(self.dispatcher, invoke, self.flusher)
        server.max_connections = self.descriptor_budget.invoke_connections
        server.release_descriptor = self.platform.evict_idle
        return server

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.state.config

    @property
    def control_port(self) -> int:
        """The port for operators; 0 while it is not listened on."""
        return self.control_listener.port

    @property
    def event_loop_store(self) -> EventLoopStore | None:
        """The store on disk, where the fleet file names one."""
        return self.state.event_loop_store

    def update_endpoints(self, serial: int, records: list[EndpointRecord], *, is_complete: bool) -> None:
        """Take a newer list of workers, or changes to the list where ``is_complete`` is false."""
        event = self.endpoint_list.apply_update(
            serial, self._with_corrected_starts(records), is_snapshot=is_complete
        )
        self._on_list_changed(serial, event)

    def replace_endpoints(self, serial: int, records: list[EndpointRecord]) -> None:
        """Take the present list of all workers, as discovery has confirmed it."""
        self._on_list_changed(
            serial, self.endpoint_list.replace_all(serial, self._with_corrected_starts(records))
        )

    def _with_corrected_starts(self, records: list[EndpointRecord]) -> list[EndpointRecord]:
        now_ms = self.dispatcher.clock()
        return self.start_times.correct_list(records, now_ms, self._list_fresh_as_of_ms(now_ms))

    def _on_list_changed(self, serial: int, event: EndpointUpdate | None) -> None:
        if event is None:
            return
        changed, listed = len(event.endpoints), len(self.endpoint_list.records)
        log.info(format_event("endpoints_updated", serial=serial, changed=changed, listed=listed))
        self._apply_endpoint_update(event)

    def _list_fresh_as_of_ms(self, now_ms: float) -> float | None:
        """Until when the endpoint list was known to be up to date, on the dispatcher's clock; None: never."""
        fresh_as_of_s = self.discovery.queries.fresh_as_of_s
        if fresh_as_of_s == -math.inf:
            return None
        return now_ms - 1000.0 * (asyncio.get_running_loop().time() - fresh_as_of_s)

    def apply_partial_list(self, partial: PartialList) -> bool:
        """Send no more to workers that an otherwise unusable list has as draining, or lacks.

        Returns whether there are any.
        """
        listed = partial.listed_names
        event = self.endpoint_list.demote(
            lambda name: name in partial.draining_names or (listed is not None and name not in listed)
        )
        if event is None:
            return False
        log.info(format_event("endpoints_demoted", serial=event.version, demoted=len(event.endpoints)))
        self._apply_endpoint_update(event)
        return True

    def _apply_endpoint_update(self, event: EndpointUpdate) -> None:
        self.workers.update_endpoints(self.endpoint_list.by_worker_id())
        self.dispatcher.endpoints_changed(event)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then complete all that was accepted. SIGHUP reloads."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self.state.shutdown_requested.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Take the configured endpoints, listen, and poll discovery. OSError where clients' port is taken."""
        self.control_listener.listen()
        for serial, records in self.config.initial_endpoints:
            self.update_endpoints(serial, list(records), is_complete=self.endpoint_list.version < 0)
        self.discovery.last_serial = self.endpoint_list.version
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
        # What exists now exists until the end: kept out of the collector's lists, its pauses stay short.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self.maintenance.start(self.reloader.reload_invoke_files)

    def request_shutdown(self) -> None:
        """Have ``run`` shut down."""
        self.state.shutdown_requested.set()

    def reload(self) -> None:
        """Load all files again; see ``Reloader``."""
        self.reloader.reload()

    async def shut_down(self) -> None:
        """Complete all that was accepted, then close; see ``lifecycle.shutdown``."""
        await shut_down(self.parts, self.state, self.maintenance.log_counts)

    def _log_descriptor_budget(self) -> None:
        budget, configured = self.descriptor_budget, self.config.max_sockets
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
