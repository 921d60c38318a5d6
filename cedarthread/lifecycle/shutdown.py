"""Graceful shutdown: every call that was accepted gets its result before the process ends.

The platform sends SIGKILL some time after SIGTERM. The bounds below keep the end of the process before it, as
measured from SIGTERM by the longest deadline of the request classes.
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

SHUTDOWN_GRACE_S = 0.75  # after SIGTERM, during which new calls are still accepted
# The longest deadline that counts: the earliest SIGKILL assumes no longer one.
MAX_SHUTDOWN_DEADLINE_S = 3.0
# Past the longest deadline, by which every call is complete: half a second before SIGKILL.
SHUTDOWN_COMPLETION_SLACK_S = 0.2
SHUTDOWN_EXIT_SLACK_S = 0.45  # past the longest deadline, at which the process ends whatever is pending
DRAIN_POLL_S = 0.01  # between checks whether all is drained


async def shut_down(parts: ServiceParts, state: ServiceState, log_counts: Callable[[], None]) -> None:
    """Report not ready, complete all that still comes, and return when the last result has been sent."""
    loop, dispatcher = asyncio.get_running_loop(), parts.dispatcher
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
    _close(parts, state)
    log_counts()
    log.info(format_event("shutdown_completed", open_calls=len(dispatcher.pending_calls)))


def _is_drained(parts: ServiceParts) -> bool:
    """Has every call its result, and every client received it?"""
    are_servers_drained = parts.platform.is_drained() and (parts.invoke is None or parts.invoke.is_drained())
    return are_servers_drained and not parts.dispatcher.pending_calls


def _close(parts: ServiceParts, state: ServiceState) -> None:
    """Close listeners, discovery, peers and store."""
    parts.platform.stop_listening()
    if parts.invoke is not None:
        parts.invoke.stop_listening()
    parts.discovery.stop()
    if state.peers is not None:
        state.peers.stop()
    parts.control.stop_listening()
    if state.event_loop_store is not None:
        state.event_loop_store.close()
