"""The graceful shutdown, during which every accepted call gets its result before the process exits.

The platform sends SIGKILL some time after SIGTERM. The time limits below make the process exit before that;
they are measured from SIGTERM and depend on the longest deadline of the request classes.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from cedarthread.logs import format_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.lifecycle.state import ServiceParts, ServiceState

log = logging.getLogger(__name__)

SHUTDOWN_GRACE_S = 0.75  # time after SIGTERM during which new calls are still accepted
# Longer deadlines are capped to this value, because the platform may send SIGKILL before they have passed.
MAX_SHUTDOWN_DEADLINE_S = 3.0
# Time from the longest deadline until every call is complete, which is half a second before SIGKILL.
SHUTDOWN_COMPLETION_SLACK_S = 0.2
# Time from the longest deadline until the process exits, even with pending calls.
SHUTDOWN_EXIT_SLACK_S = 0.45
DRAIN_POLL_S = 0.01  # time between checks for the end of the drain


async def shut_down(parts: ServiceParts, state: ServiceState, log_counts: Callable[[], None]) -> None:
    """Report not ready, complete every accepted call, and return when the last result has been sent.

    If calls are still pending, or results unsent, at the time limit, return then.

    Args:
        parts: The parts to drain and close.
        state: The service state, which contains the settings, the socket for other routers and the store.
        log_counts: Logs the call counts after the last result.
    """
    loop = asyncio.get_running_loop()
    dispatcher = parts.dispatcher
    requested_at_s = loop.time()
    log.info(format_event("shutdown_started", open_calls=len(dispatcher.pending_calls)))
    parts.platform.is_ready = False
    if parts.invoke is not None:
        parts.invoke.is_ready = False
    longest_deadline_ms = max(request_class.deadline_ms for request_class in state.config.settings.classes)
    longest_deadline_s = min(MAX_SHUTDOWN_DEADLINE_S, longest_deadline_ms / 1000.0)
    completion_s = max(SHUTDOWN_GRACE_S, longest_deadline_s + SHUTDOWN_COMPLETION_SLACK_S)
    dispatcher.complete_all_by(dispatcher.clock() + completion_s * 1000.0)
    await asyncio.sleep(SHUTDOWN_GRACE_S)
    parts.platform.drain()
    exit_at_s = requested_at_s + longest_deadline_s + SHUTDOWN_EXIT_SLACK_S
    while not _is_drained(parts) and loop.time() < exit_at_s:
        await asyncio.sleep(DRAIN_POLL_S)
        parts.platform.close_idle_connections()
    _log_unsent_output(parts)
    _close(parts, state)
    log_counts()
    log.info(format_event("shutdown_completed", open_calls=len(dispatcher.pending_calls)))


def _is_drained(parts: ServiceParts) -> bool:
    """Return whether every call has a result and all results have been sent."""
    are_servers_drained = parts.platform.is_drained() and (parts.invoke is None or parts.invoke.is_drained())
    return are_servers_drained and not parts.dispatcher.pending_calls


def _log_unsent_output(parts: ServiceParts) -> None:
    """Log the output that clients and callers have not read by the time limit, and that is lost."""
    unsent_bytes = parts.platform.unsent_bytes()
    if parts.invoke is not None:
        unsent_bytes += parts.invoke.unsent_bytes()
    if unsent_bytes:
        log.warning(format_event("shutdown_output_unsent", bytes=unsent_bytes))


def _close(parts: ServiceParts, state: ServiceState) -> None:
    """Close the listeners, the discovery client, the socket for other routers and the store."""
    parts.platform.stop_listening()
    if parts.invoke is not None:
        parts.invoke.stop_listening()
    parts.discovery.stop()
    if state.peers is not None:
        state.peers.stop()
    parts.control.stop_listening()
    if state.event_loop_store is not None:
        state.event_loop_store.close()
