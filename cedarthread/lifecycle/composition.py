"""The composition root of the service, which constructs all parts and connects them.

Each part is built after the parts that it calls. Two pairs of parts call each other, through a shared object
that is independent of both: the poll schedule and the query tracker connect the discovery client with the
freshness gate, and the dispatch context connects the dispatcher with the worker connections
(``Dispatcher.connect_workers``).
"""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.lifecycle.endpoint_updates import EndpointUpdates
from cedarthread.lifecycle.freshness_gate import FreshnessGate
from cedarthread.lifecycle.listeners import ControlListener, PeerListener
from cedarthread.lifecycle.maintenance import Maintenance
from cedarthread.lifecycle.reload import FleetFiles, Reloader
from cedarthread.lifecycle.state import ServiceParts, ServiceState
from cedarthread.lifecycle.status import StatusReport
from cedarthread.limits.resource_limits import derive_limits
from cedarthread.protocols.control import ControlServer
from cedarthread.protocols.discovery.client import DiscoveryClient
from cedarthread.protocols.discovery.poll_schedule import PollSchedule
from cedarthread.protocols.discovery.query_tracker import QueryTracker
from cedarthread.protocols.platform.server import PlatformServer
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.transport import descriptor_budget
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.config import Config
    from cedarthread.dispatch.send_gate import SendGate
    from cedarthread.protocols.invoke.config import InvokeConfig
    from cedarthread.protocols.invoke.server import InvokeServer
    from cedarthread.transport.descriptor_budget import DescriptorBudget

INCARNATION_BITS = 64


@dataclass(frozen=True, slots=True)
class ComposedService:
    """All parts that ``Service`` runs."""

    state: ServiceState
    parts: ServiceParts
    descriptor_budget: DescriptorBudget
    endpoint_updates: EndpointUpdates
    status: StatusReport
    maintenance: Maintenance
    control_listener: ControlListener
    peer_listener: PeerListener
    reloader: Reloader


@dataclass(frozen=True, slots=True)
class _SendGateParts:
    """The send gate, and the two objects that it shares with the discovery client."""

    schedule: PollSchedule
    queries: QueryTracker
    gate: FreshnessGate


@dataclass(frozen=True, slots=True)
class _CallPath:
    """The parts on the path of each call."""

    dispatcher: Dispatcher
    workers: WorkerConnections
    platform: PlatformServer
    invoke: InvokeServer | None  # None if the invoke API is disabled
    descriptor_budget: DescriptorBudget


def compose_service(
    config: Config,
    invoke_config: InvokeConfig | None,
    load_config: Callable[[], Config] | None,
    fleet_files: FleetFiles,
) -> ComposedService:
    """Build all parts of one router, on the running event loop.

    Args:
        config: The configuration at startup.
        invoke_config: The configuration of the invoke API; None if the API is disabled.
        load_config: Reloads the configuration on SIGHUP; None: the configuration never changes.
        fleet_files: The paths of the operators' fleet file and of the store.
    """
    state = ServiceState(config)
    flusher = Flusher()
    gate_parts = _compose_send_gate(config)
    call_path = _compose_call_path(config, invoke_config, flusher, gate_parts.gate)
    dispatcher = call_path.dispatcher
    workers = call_path.workers
    platform = call_path.platform
    endpoint_updates = EndpointUpdates(config.settings, gate_parts.queries, workers, dispatcher)
    maintenance = Maintenance(dispatcher, workers, platform, call_path.invoke, state)
    discovery = _create_discovery_client(gate_parts, endpoint_updates, maintenance, workers)
    has_fleet = fleet_files.fleet_file is not None
    status = StatusReport(dispatcher, endpoint_updates.endpoint_list, state, has_fleet=has_fleet)
    control = _create_control_server(status, flusher, platform, call_path.descriptor_budget)
    parts = ServiceParts(dispatcher, workers, platform, call_path.invoke, discovery, control)
    peer_listener = PeerListener(dispatcher, state)
    return ComposedService(
        state=state,
        parts=parts,
        descriptor_budget=call_path.descriptor_budget,
        endpoint_updates=endpoint_updates,
        status=status,
        maintenance=maintenance,
        control_listener=ControlListener(control, state),
        peer_listener=peer_listener,
        reloader=Reloader(parts, state, peer_listener, fleet_files, load_config),
    )


def _compose_send_gate(config: Config) -> _SendGateParts:
    """Build the send gate and the objects that track how fresh the endpoint list is."""
    schedule = PollSchedule()
    queries = QueryTracker(random.SystemRandom().random, config.settings.rules.drain_grace_ms / 1000.0)
    return _SendGateParts(schedule, queries, FreshnessGate(schedule, queries))


def _create_discovery_client(
    gate_parts: _SendGateParts,
    endpoint_updates: EndpointUpdates,
    maintenance: Maintenance,
    workers: WorkerConnections,
) -> DiscoveryClient:
    return DiscoveryClient(
        endpoint_updates.replace,
        maintenance.on_discovery_poll,
        workers.release_descriptor,
        on_partial_list=endpoint_updates.apply_partial_list,
        observer=gate_parts.gate,
        schedule=gate_parts.schedule,
        queries=gate_parts.queries,
    )


def _compose_call_path(
    config: Config, invoke_config: InvokeConfig | None, flusher: Flusher, gate: SendGate
) -> _CallPath:
    """Build the parts on the path of each call: the servers, the dispatcher and the worker connections."""
    limits = derive_limits(config.memory_bytes)
    dispatcher = Dispatcher(
        config.settings,
        config.seed,
        max_pending_body_bytes=limits.pending_body_bytes,
        max_functions=limits.functions,
        max_executed_ids=limits.call_ids,
        # Not derived from the seed, because the seed may be the same at each start of the process.
        incarnation=secrets.randbits(INCARNATION_BITS),
        flush_output=flusher.flush_all,
        send_gate=gate,
    )
    budget = _compute_descriptor_budget(config, invoke_config)
    platform = PlatformServer(
        dispatcher,
        budget.client_connections,
        flusher,
        limits.queued_output_bytes,
        budget.accepts_per_iteration,
        max_buffer_bytes=limits.input_buffer_bytes,
    )
    workers = WorkerConnections(
        config.settings, dispatcher, budget.worker_connections, flusher, clients=platform, send_gate=gate
    )
    dispatcher.connect_workers(workers)
    invoke = (
        _create_invoke_server(invoke_config, dispatcher, flusher, platform, budget)
        if invoke_config is not None
        else None
    )
    return _CallPath(dispatcher, workers, platform, invoke, budget)


def _compute_descriptor_budget(config: Config, invoke_config: InvokeConfig | None) -> DescriptorBudget:
    return descriptor_budget.compute_budget(
        config.max_sockets,
        invoke_config.max_connections if invoke_config is not None else 0,
        descriptor_budget.soft_limit(),
        descriptor_budget.count_open_descriptors(),
    )


def _create_control_server(
    status: StatusReport, flusher: Flusher, platform: PlatformServer, budget: DescriptorBudget
) -> ControlServer:
    return ControlServer(
        {"PING": status.ping, "INFO": status.info}, flusher, budget.operator_connections, platform.evict_idle
    )


def _create_invoke_server(
    invoke_config: InvokeConfig,
    dispatcher: Dispatcher,
    flusher: Flusher,
    platform: PlatformServer,
    budget: DescriptorBudget,
) -> InvokeServer:
    """Build the invoke API server; its modules, including TLS, are only imported if the API is enabled."""
    from cedarthread.protocols.invoke.server import InvokeServer

    return InvokeServer(
        dispatcher,
        invoke_config,
        flusher,
        max_connections=budget.invoke_connections,
        release_descriptor=platform.evict_idle,
    )
