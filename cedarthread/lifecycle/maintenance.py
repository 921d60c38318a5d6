"""What the service does by the clock, whatever calls there are."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.lifecycle.state import ServiceState
    from cedarthread.protocols.invoke.server import InvokeServer
    from cedarthread.protocols.platform.server import PlatformServer
    from cedarthread.protocols.worker.connections import WorkerConnections

log = logging.getLogger(__name__)

SWEEP_PERIOD_S = 0.25  # between checks for idle and silent connections
REPORT_PERIOD_S = 10.0  # between log lines on the calls
INVOKE_FILES_PERIOD_S = 1.0  # between checks whether the invoke API's files have changed
# By how much a sweep or tick may come early when the process is awake anyway to poll discovery: each wakeup
# of an idle process costs about 0.2 ms of CPU.
EARLY_WAKEUP_S = 0.1


class Maintenance:
    """Sweeps connections, ticks the store, logs counts and checks files."""

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
        self._invoke = invoke
        self._state = state

    def start(self, reload_invoke_files: Callable[[], None]) -> None:
        """Start the timers."""
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
        """Discovery is polled: do now what would wake the process a little later, in one wakeup."""
        self._dispatcher.tick_early(EARLY_WAKEUP_S * 1000.0)
        soon_s = asyncio.get_running_loop().time() + EARLY_WAKEUP_S
        if self.sweep_timer is not None and self.sweep_timer.when() <= soon_s:
            self.sweep_timer.cancel()
            self.sweep()

    def log_counts(self) -> None:
        """Log the calls by result and the dropped datagrams, and set the timer of the next report."""
        open_calls = len(self._dispatcher.pending_calls)
        log.info(format_event("call_counts", **self._dispatcher.result_counts, open=open_calls))
        dropped = self._dropped_datagrams()
        if any(dropped):
            unknown_sender, malformed, unsent = dropped
            log.warning(
                format_event(
                    "peer_datagrams_dropped",
                    unknown_sender=unknown_sender,
                    malformed=malformed,
                    unsent=unsent,
                )
            )
        asyncio.get_running_loop().call_later(REPORT_PERIOD_S, self.log_counts)

    def _dropped_datagrams(self) -> tuple[int, int, int]:
        """Datagrams from unknown senders, malformed ones and ones not sent, since the start."""
        peers, gossip = self._state.peers, self._dispatcher.node.load_gossip
        if peers is None or gossip is None:
            return 0, 0, 0
        unknown = peers.unknown_sender_count + gossip.unknown_senders
        return unknown, gossip.malformed_datagrams, peers.unsent_count

    def _check_invoke_files(self, reload_invoke_files: Callable[[], None]) -> None:
        reload_invoke_files()
        loop = asyncio.get_running_loop()
        loop.call_later(INVOKE_FILES_PERIOD_S, self._check_invoke_files, reload_invoke_files)
