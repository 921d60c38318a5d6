"""What clients make this process hold, beside its limits, for the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.protocols.platform.server import PlatformServer


class UsageReport:
    """The usage of each limited resource since the start.

    Args:
        dispatcher: Holds calls, functions and ids.
        platform: Holds the connections, receive buffers and responses of clients.
    """

    def __init__(self, dispatcher: Dispatcher, platform: PlatformServer) -> None:
        self._dispatcher = dispatcher
        self._platform = platform

    def fields(self) -> dict[str, str | int]:
        """Return the fields of the log line: ``used/limit`` by resource, and counts of what was refused."""
        calls = self._dispatcher.calls
        functions = self._dispatcher.router.state.functions
        ids = self._dispatcher.executed_ids
        platform = self._platform
        max_calls = self._dispatcher.settings.limits.max_pending_requests
        memory = platform.buffer_memory
        connections = len(platform.connections) + len(platform.unvalidated_connections)
        return {
            "connections": f"{connections}/{platform.max_connections}",
            "calls": f"{len(calls.pending)}/{max_calls}",
            "abandoned_calls": len(calls.completed),
            "call_bytes": f"{calls.pending_body_bytes}/{calls.max_body_bytes}",
            "response_bytes": f"{platform.queued_bytes}/{platform.max_queued_bytes}",
            "buffer_bytes": f"{memory.used_bytes}/{memory.limit_bytes}",
            "functions": f"{len(functions.by_id)}/{functions.max_functions}",
            "call_ids": f"{len(ids)}/{ids.max_ids}",
            "backlogged": sum(connection.is_backlogged for connection in platform.connections),
            "functions_evicted": functions.evicted_count,
            "messages_evicted": memory.evicted_count,
            "unread_refusals": self._dispatcher.unread_refusals,
        }
