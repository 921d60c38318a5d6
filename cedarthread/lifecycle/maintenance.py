"""The periodic tasks of the service: connection sweeps, store ticks, log lines and file checks."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.lifecycle.usage_report import UsageReport
from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.lifecycle.state import ServiceState
    from cedarthread.protocols.invoke.server import InvokeServer
    from cedarthread.protocols.platform.server import PlatformServer
    from cedarthread.protocols.worker.connections import WorkerConnections

log = logging.getLogger(__name__)

SWEEP_PERIOD_S = 0.25  # time between sweeps of idle and silent connections
REPORT_PERIOD_S = 10.0  # time between log lines with the counts of calls
INVOKE_FILES_PERIOD_S = 1.0  # time between checks for changes of the invoke API's files
# A sweep or tick that is due within this time runs together with a discovery poll, because each wakeup of an
# idle process costs CPU time.
EARLY_WAKEUP_S = 0.1


class DroppedDatagrams(NamedTuple):
    """Datagrams from or to other routers dropped since startup; the field names are those of the log line."""

    unknown_sender: int
    malformed: int
    unsent: int


class Maintenance:
    """Scheduler of the periodic tasks; owns the timer of the next sweep.

    Args:
        dispatcher: The dispatcher that is ticked and whose counters are logged.
        workers: The worker connections to sweep.
        platform: The client connections to sweep.
        invoke: The invoke API connections to sweep; None if the API is disabled.
        state: The service state, which contains the store and the socket for other routers.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        workers: WorkerConnections,
        platform: PlatformServer,
        invoke: InvokeServer | None,
        state: ServiceState,
    ) -> None:
        self.sweep_timer: asyncio.TimerHandle | None = None
        self._dispatcher = dispatcher
        self._workers = workers
        self._platform = platform
        self._usage = UsageReport(dispatcher, platform)
        self._invoke = invoke
        self._state = state

    def start(self, reload_invoke_files: Callable[[], None]) -> None:
        """Start the timers.

        Args:
            reload_invoke_files: Called periodically to check the invoke API's files for changes.
        """
        loop = asyncio.get_running_loop()
        self.sweep_timer = loop.call_later(SWEEP_PERIOD_S, self.sweep)
        loop.call_later(REPORT_PERIOD_S, self.log_counts)
        if self._invoke is not None:
            loop.call_later(INVOKE_FILES_PERIOD_S, self._check_invoke_files, reload_invoke_files)

    def sweep(self) -> None:
        """Close idle and silent connections, tick the store, and set the timer of the next sweep."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        self._platform.sweep(now_s)
        self._workers.sweep(now_s)
        if self._state.event_loop_store is not None:
            self._state.event_loop_store.on_tick()
        if self._invoke is not None:
            self._invoke.sweep(now_s)
        self.sweep_timer = loop.call_later(SWEEP_PERIOD_S, self.sweep)

    def on_discovery_poll(self) -> None:
        """Run a tick and a sweep that are due soon, because the process is awake for a discovery poll."""
        self._dispatcher.tick_early(EARLY_WAKEUP_S * 1000.0)
        soon_s = asyncio.get_running_loop().time() + EARLY_WAKEUP_S
        if self.sweep_timer is not None and self.sweep_timer.when() <= soon_s:
            self.sweep_timer.cancel()
            self.sweep()

    def log_counts(self) -> None:
        """Log the calls by result and the dropped datagrams, and schedule the next report."""
        open_calls = len(self._dispatcher.pending_calls)
        log.info(format_event("call_counts", **self._dispatcher.result_counts, open=open_calls))
        log.info(format_event("resource_usage", **self._usage.fields()))
        if suppressed := self._platform.log_budget.take_suppressed():
            log.warning(format_event("log_lines_suppressed", **suppressed))
        dropped = self._dropped_datagrams()
        if any(dropped):
            log.warning(format_event("peer_datagrams_dropped", **dropped._asdict()))
        asyncio.get_running_loop().call_later(REPORT_PERIOD_S, self.log_counts)

    def _dropped_datagrams(self) -> DroppedDatagrams:
        peers = self._state.peers
        gossip = self._dispatcher.node.load_gossip
        if peers is None or gossip is None:
            return DroppedDatagrams(0, 0, 0)
        return DroppedDatagrams(
            unknown_sender=peers.unknown_sender_count + gossip.unknown_senders,
            malformed=gossip.malformed_datagrams,
            unsent=peers.unsent_count,
        )

    def _check_invoke_files(self, reload_invoke_files: Callable[[], None]) -> None:
        reload_invoke_files()
        loop = asyncio.get_running_loop()
        loop.call_later(INVOKE_FILES_PERIOD_S, self._check_invoke_files, reload_invoke_files)
