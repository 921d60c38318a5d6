"""The running function router: planner, fronts, runners and resolver, from start to the last answer."""

from __future__ import annotations

import asyncio
import gc
import logging
import secrets
import signal
import socket
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.config import Config, ConfigError
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.dispatch.figures import CLASS_FIGURES
from cedarthread.protocols.control import ControlServer
from cedarthread.protocols.discovery import DiscoveryClient
from cedarthread.protocols.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.peers import PeerTransport
from cedarthread.protocols.platform_server import PlatformServer
from cedarthread.protocols.workers import WorkerConnections
from cedarthread.transport import descriptor_budget
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    from cedarthread.persistence.event_loop_store import EventLoopStore
    from cedarthread.protocols.invoke_config import InvokeConfig
    from cedarthread.protocols.invoke_server import InvokeServer

log = logging.getLogger("cedarthread")

SHUTDOWN_GRACE_S = 0.75  # s after SIGTERM in which calls keep coming
MAX_SHUTDOWN_DEADLINE_S = 3.0  # s of the longest deadline that count, at most, towards the earliest SIGKILL
SHUTDOWN_COMPLETION_SLACK_S = (
    0.2  # s past that after SIGTERM by which all is answered: half a second before SIGKILL
)
SHUTDOWN_EXIT_SLACK_S = 0.45  # s past it at which the process ends whatever happens
INVOKE_FILES_PERIOD_S = 1.0  # s between looks at the invoke API's files
BASE_MEMORY_BYTES = 20 * 2**20  # bytes that the program itself takes
BODY_MEMORY_FRACTION, OUTPUT_MEMORY_FRACTION = (
    0.3,
    0.2,
)  # parts of the rest for the bodies of open calls, and for answers not yet read
SWEEP_PERIOD_S = 0.25  # s between looks for what has been idle or silent
EARLY_WAKEUP_S = 0.1  # s by which a look may come early, where the process is awake to ask the resolver
LISTEN_RETRY_S = 0.5  # s between tries to listen for other routers, and for operators
REPORT_PERIOD_S = 10.0  # s between log lines on the calls


class Service:
    """One function router."""

    def __init__(
        self,
        config: Config,
        invoke: InvokeConfig | None = None,
        load_config: Callable[[], Config] | None = None,
        fleet_file: Path | None = None,
        store_folder: str | None = None,
    ) -> None:
        self.config = config
        self._load_config = load_config
        self.fleet_file, self.store_folder = (
            fleet_file,
            store_folder,
        )  # the operators' file for the whole fleet, this router's folder
        self.event_loop_store: EventLoopStore | None = None
        available_bytes = max(config.memory_bytes - BASE_MEMORY_BYTES, config.memory_bytes // 4)
        incarnation = secrets.randbits(64)  # the configured seed may be the same at each start
        self.dispatcher = Dispatcher(
            config.settings,
            config.seed,
            max_pending_body_bytes=int(BODY_MEMORY_FRACTION * available_bytes),
            incarnation=incarnation,
        )
        self.descriptor_budget = budget = descriptor_budget.compute_budget(
            config.max_sockets,
            invoke.max_connections if invoke is not None else 0,
            descriptor_budget.soft_limit(),
            descriptor_budget.count_open_descriptors(),
        )
        self.flusher = Flusher()
        self.dispatcher.flush_output = self.flusher.flush_all
        self.workers = WorkerConnections(
            config.settings, self.dispatcher, budget.worker_connections, self.flusher
        )
        self.dispatcher.connect_workers(self.workers)
        queued = int(OUTPUT_MEMORY_FRACTION * available_bytes)
        self.platform = PlatformServer(
            self.dispatcher, budget.client_connections, self.flusher, queued, budget.accepts_per_pass
        )
        self.invoke = self._create_invoke_front(invoke) if invoke is not None else None
        self.peers: PeerTransport | None = None
        self.endpoint_list = EndpointList(config.settings)
        self.discovery = DiscoveryClient(
            lambda serial, told: self.update_endpoints(serial, told, is_complete=True),
            self._on_discovery_poll,
            self.workers.release_descriptor,
        )
        replies = {"PING": self._ping_reply, "INFO": self._info_reply}
        make_room = self.platform.evict_idle
        self.control = ControlServer(replies, self.flusher, budget.operator_connections, make_room)
        self.workers.release_client_descriptor = make_room
        self.is_serving = False  # the known list is taken up and the clients' port listens
        self.reloads = self.reload_errors = 0  # settings files taken and turned down at SIGHUP
        self.port = self.invoke_port = self.control_port = 0  # what is listened on, once started
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._shutdown_requested = asyncio.Event()
        self._peer_listen_failed = (
            False  # the peers' address could not be listened on, and that has been said
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def _create_invoke_front(self, invoke: InvokeConfig) -> InvokeServer:
        from cedarthread.protocols.invoke_server import InvokeServer

        front = InvokeServer(self.dispatcher, invoke, self.flusher)
        front.max_connections, front.release_descriptor = (
            self.descriptor_budget.invoke_connections,
            self.platform.evict_idle,
        )
        return front

    def update_endpoints(self, serial: int, listings: list[EndpointRecord], *, is_complete: bool) -> None:
        """Pass news of the runners on."""
        event = self.endpoint_list.apply_update(serial, listings, is_complete)
        if event is not None:
            log.info(
                "runners: news %d, %d changed, %d listed",
                serial,
                len(event.endpoints),
                len(self.endpoint_list.records),
            )
            self.workers.update_endpoints(self.endpoint_list.by_worker_id())
            self.dispatcher.endpoints_changed(event)

    async def run(self) -> None:
        """Serve until SIGTERM, then settle all that was taken."""
        loop = asyncio.get_running_loop()
        for name in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(name, self.request_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        await self._shutdown_requested.wait()
        await self.shut_down()

    def request_shutdown(self) -> None:
        """Begin to end."""
        self._shutdown_requested.set()

    def _ping_reply(self) -> tuple[bool, list[str]]:
        return self.is_serving and not self._shutdown_requested.is_set(), []

    def _info_reply(self) -> tuple[bool, list[str]]:
        return True, [*self.status_lines(), "END"]

    def status_lines(self) -> list[str]:
        """What the operators read at INFO, a ``name=value`` a line."""
        lines, tries = [], 0
        for name, counts in self.dispatcher.class_figures.items():
            lines += [f"router.handled.{name}.{figure}={counts[figure]}" for figure in CLASS_FIGURES]
            tries += counts["upstream_tries"]
        told = {
            "upstream_tries": tries,
            "in_progress": len(self.dispatcher.pending_calls),
            "known_runners": len(self.endpoint_list.records),
            "skipped_runners": self.dispatcher.router.state.workers.skipped_count(),
            "loads": self.reloads,
            "load_errors": self.reload_errors,
        }
        lines += [f"router.{name}={value}" for name, value in told.items()]
        if self.fleet_file is not None:
            state = self.dispatcher.node.status(self.dispatcher.clock())
            state |= self.event_loop_store.figures() if self.event_loop_store is not None else {}
            lines += [f"fleet.{name}={value}" for name, value in state.items()]
        return lines

    async def start(self) -> None:
        """Take up the known list, listen, and follow the resolver."""
        self._listen_for_control()
        for number, told in self.config.initial_endpoints:
            self.update_endpoints(number, list(told), is_complete=self.endpoint_list.version < 0)
        self.discovery.last_serial = self.endpoint_list.version
        self.port = await self.platform.listen(self.config.host, self.config.port)
        if self.invoke is not None:
            self.invoke_port = await self.invoke.listen()
            log.info("invoke API on port %d", self.invoke_port)
        self._load_fleet_config()
        await self._join_peers()
        if self.config.discovery_address is not None:
            self.discovery.start_polling(*self.config.discovery_address)
        self.is_serving = True
        log.info("serving as %s on port %d", self.config.router_name, self.port)
        self._log_descriptor_budget()
        # What stands now stands till the end: without it in the collector's lists, its pauses stay short.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 50)
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)
        loop.call_later(REPORT_PERIOD_S, self._log_counts)
        if self.invoke is not None:
            loop.call_later(INVOKE_FILES_PERIOD_S, self._check_invoke_files)

    def _log_descriptor_budget(self) -> None:
        parts, told = self.descriptor_budget, self.config.max_sockets
        if parts.limit < told:
            log.warning("descriptors: the system allows %d, the configuration says %d", parts.limit, told)
        log.info(
            "descriptors: %d, of them clients %d, callers %d, runners %d, kept back %d",
            *(
                parts.limit,
                parts.client_connections,
                parts.invoke_connections,
                parts.worker_connections,
                parts.reserved,
            ),
        )

    def _listen_for_control(self, *, is_retry: bool = False) -> None:
        """Listen for operators. Where that can't be, calls are served without, and it is tried again."""
        if self.config.control_address is None or self._shutdown_requested.is_set():
            return
        try:
            self.control_port = self.control.listen(*self.config.control_address)
        except socket.gaierror:  # a name that is none: it would be looked up, and waited for, at each try
            raise
        except OSError as error:
            if not is_retry:
                host, port = self.config.control_address
                log.error("no operators' address: %s:%d can't be listened on yet: %s", host, port, error)
            asyncio.get_running_loop().call_later(
                LISTEN_RETRY_S, lambda: self._listen_for_control(is_retry=True)
            )

    async def _join_peers(self) -> None:
        """Talk to the other routers, where the settings allow it and it is told where they are."""
        told = self.config.peer_addresses
        allowed = self.config.settings.limits.allows_gossip and not self._shutdown_requested.is_set()
        if self.peers is not None or told is None or not allowed:
            return
        self.peers = PeerTransport(told, self.dispatcher.peer_message_received)
        try:
            await self.peers.start()
        except OSError as error:  # calls are served without it; at an upgrade the old process still listens
            if not self._peer_listen_failed:
                log.error(
                    "no talk with other routers: %s:%d can't be listened on: %s", *told.listen_address, error
                )
            self.peers, self._peer_listen_failed = None, True
            loop = asyncio.get_running_loop()
            loop.call_later(LISTEN_RETRY_S, lambda: self._start_task(self._join_peers()))
            return
        self._peer_listen_failed = False
        self.dispatcher.connect_peers(self.peers.send)
        log.info("talking to %d routers from %s:%d", len(told.peer_addresses), *told.listen_address)

    async def shut_down(self) -> None:
        """Answer ``check`` with no, but all that still comes in full; end when the last answer has left."""
        loop = asyncio.get_running_loop()
        requested_at_s = loop.time()
        log.info("told to end: %d calls open", len(self.dispatcher.pending_calls))
        self.platform.is_ready = False
        if self.invoke is not None:
            self.invoke.is_ready = False
        longest_deadline_s = min(
            MAX_SHUTDOWN_DEADLINE_S, max(klass.deadline_ms for klass in self.config.settings.classes) / 1000.0
        )
        self.dispatcher.complete_all_by(
            self.dispatcher.clock()
            + max(SHUTDOWN_GRACE_S, longest_deadline_s + SHUTDOWN_COMPLETION_SLACK_S) * 1000.0
        )
        await asyncio.sleep(SHUTDOWN_GRACE_S)
        self.platform.drain()
        while (
            not self._is_drained()
            and loop.time() < requested_at_s + longest_deadline_s + SHUTDOWN_EXIT_SLACK_S
        ):
            await asyncio.sleep(0.01)
        self.platform.stop_listening()
        if self.invoke is not None:
            self.invoke.stop_listening()
        self.discovery.stop()
        if self.peers is not None:
            self.peers.stop()
        self.control.stop_listening()
        if self.event_loop_store is not None:
            self.event_loop_store.close()
        self._log_counts()
        log.info("ended with %d calls open", len(self.dispatcher.pending_calls))

    def _is_drained(self) -> bool:
        fronts = self.platform.is_drained() and (self.invoke is None or self.invoke.is_drained())
        return fronts and not self.dispatcher.pending_calls

    def reload(self) -> None:
        """SIGHUP: take the file's settings and resolver whole, or keep all that was; calls stay."""
        self._reload_invoke_files()
        self._load_fleet_config()
        if self._load_config is None:
            return
        try:
            told = self._load_config()
        except ConfigError as error:
            self.reload_errors += 1
            log.error("configuration turned down whole, the old one stays: %s", error)
            return
        self.reloads += 1
        settings = self.dispatcher.update_settings(told.settings)
        self.workers.update_settings(settings)
        self.config = replace(
            self.config,
            settings=told.settings,
            discovery_address=told.discovery_address or self.config.discovery_address,
        )
        self._start_task(self._join_peers())
        log.info("configuration reloaded: classes %s", ", ".join(k.name for k in told.settings.classes))
        if told.discovery_address is not None:
            log.info("resolver at %s:%d", *told.discovery_address)
            self.discovery.start_polling(*told.discovery_address)

    def _load_fleet_config(self) -> None:
        """Read the fleet's file, whole: what is new in it is declared here and told to all."""
        if self.fleet_file is None:
            return
        from cedarthread import fleet_config

        try:
            told = fleet_config.load_fleet_config(self.fleet_file, self.store_folder)
        except fleet_config.FleetConfigError as error:
            self.reload_errors += 1
            log.error("fleet file turned down whole, what was declared stays: %s", error)
            return
        self.dispatcher.apply_fleet_config(told)
        sharing = self.dispatcher.node.fleet_components
        keeping = sharing.persister if sharing is not None else None
        if self.event_loop_store is None and told.disk is not None and keeping is not None:
            from cedarthread.persistence.event_loop_store import EventLoopStore

            self.event_loop_store = EventLoopStore(
                told.disk, keeping, self.dispatcher.clock, self.config.seed
            )
        log.info("fleet file read: %d contracts, %d windows", len(told.contract), len(told.freeze))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reload_invoke_files(self) -> None:
        if self.invoke is not None:
            self._start_task(self.invoke.reload_if_changed())

    def _check_invoke_files(self) -> None:
        self._reload_invoke_files()
        asyncio.get_running_loop().call_later(INVOKE_FILES_PERIOD_S, self._check_invoke_files)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        self.platform.sweep(now)
        self.workers.sweep(now)
        if self.event_loop_store is not None:
            self.event_loop_store.on_tick()
        if self.invoke is not None:
            self.invoke.sweep(now)
        self._sweep_timer = loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _on_discovery_poll(self) -> None:
        """The resolver is asked: what would wake the process a little later is done now, in one waking."""
        self.dispatcher.tick_early(EARLY_WAKEUP_S * 1000.0)
        if (
            self._sweep_timer is not None
            and self._sweep_timer.when() <= asyncio.get_running_loop().time() + EARLY_WAKEUP_S
        ):
            self._sweep_timer.cancel()
            self._sweep()

    def _dropped_datagrams(self) -> tuple[int, int, int]:
        """Datagrams from no peer, of no known form, and not sendable, since the start."""
        peers, talk = self.peers, self.dispatcher.node.load_gossip
        if peers is None or talk is None:
            return 0, 0, 0
        return peers.unknown_sender_count + talk.unknown_senders, talk.malformed_datagrams, peers.unsent_count

    def _log_counts(self) -> None:
        counts = " ".join(f"{name}={count}" for name, count in self.dispatcher.result_counts.items())
        log.info("calls: %s open=%d", counts, len(self.dispatcher.pending_calls))
        dropped = self._dropped_datagrams()
        if any(dropped):
            log.warning("other routers: strangers=%d unreadable=%d unsent=%d", *dropped)
        asyncio.get_running_loop().call_later(REPORT_PERIOD_S, self._log_counts)
