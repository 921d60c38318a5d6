"""The pool of connections to one worker: selects a connection for a request, opens and closes connections."""

from __future__ import annotations

import asyncio
import errno
import logging
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.logs import format_event
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS

if TYPE_CHECKING:
    from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
    from cedarthread.protocols.worker.owners import PoolOwner

log = logging.getLogger(__name__)

# Fraction of the drain grace period during which a buffered line may still be written after the endpoint list
# reported a drain. The rest allows for the age of the list: up to one poll and some retries.
DRAIN_FLUSH_GRACE_FRACTION = 0.4
# A connect failure because this host lacks a descriptor or a port is not attributed to the worker.
_LOCAL_ERRNOS = EXHAUSTION_ERRNOS | {errno.EADDRNOTAVAIL}


@dataclass(eq=False, slots=True)
class WorkerConnectionPool:
    """The connections to one worker, including those being established."""

    worker_connections: PoolOwner
    endpoint: EndpointRecord
    connections: list[WorkerConnection] = field(default_factory=list)
    connecting: dict[WorkerConnection, asyncio.Task[None]] = field(default_factory=dict)

    def acquire(self, message_id: str) -> WorkerConnection | None:
        """Return a connection that accepts a request with this id; open a new one if necessary.

        Returns None if the limit of worker connections is reached and none of them is idle.
        """
        for connection in self.connections:
            if connection.can_accept(message_id):
                return connection
        if not self.worker_connections.can_connect():
            return None
        connection = WorkerConnection(self)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._connect_within_timeout(connection))
        self.connecting[connection] = task
        task.add_done_callback(lambda _: self.connecting.pop(connection, None))
        return connection

    async def _connect_within_timeout(self, connection: WorkerConnection) -> None:
        try:
            timeout_s = self.worker_connections.settings.limits.connect_timeout_ms / 1000.0
            async with asyncio.timeout(timeout_s) as connection.connect_timeout:
                await self._connect(connection)
        except (OSError, TimeoutError) as error:
            if not connection.is_closed:
                if log.isEnabledFor(logging.INFO):
                    # Do not bind the error to a local name: error, traceback and this frame would form a
                    # reference cycle that keeps the connection until a collection of the oldest generation.
                    log.info(format_event("worker_unreachable", worker=self.endpoint.name, error=error))
                connection.is_local_failure = error.errno in _LOCAL_ERRNOS
                connection.is_unreachable = not connection.is_local_failure
                connection.abort()

    async def _connect(self, connection: WorkerConnection) -> None:
        """Connect; if no descriptor is free, first close an idle connection: a call takes precedence."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.create_connection(lambda: connection, self.endpoint.host, self.endpoint.port)
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS or not self.worker_connections.release_descriptor():
                    raise
            await asyncio.sleep(0)  # the descriptor is free in the next iteration of the event loop

    def remove(self, connection: WorkerConnection) -> None:
        """Remove a closed or unwanted connection.

        A pending connect is cancelled, because its descriptor would be in use without being counted.
        """
        if connection in self.connections:
            self.connections.remove(connection)
        task = self.connecting.get(connection)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def longest_idle(self) -> WorkerConnection | None:
        """Return the idle connection that was used least recently, or None."""
        idle = [connection for connection in self.connections if connection.is_idle()]
        return min(idle, key=lambda connection: connection.last_used_at, default=None)

    def retire(self, *, close_now: bool, created_until_ms: float = math.inf) -> None:
        """Stop using the connections and close them.

        Queued requests are withdrawn, because a worker that reads slowly would receive them long after the
        endpoint list reported its drain.

        Args:
            close_now: Close immediately; otherwise close once no request is in flight.
            created_until_ms: Retire only connections created up to this time on the dispatcher's clock.
        """
        retiring = [
            connection for connection in self.connections if connection.created_at_ms <= created_until_ms
        ]
        for connection in retiring:
            connection.is_retired = True
            for request in connection.line_queue.requests():
                connection.withdraw_and_end(request)
            if close_now:
                connection.abort()
            elif not connection.in_flight:
                connection.close_unused()
            elif connection.line_queue.buffered:
                grace_s = self.worker_connections.settings.rules.drain_grace_ms / 1000.0
                flush_s = DRAIN_FLUSH_GRACE_FRACTION * grace_s
                buffered = list(connection.line_queue.buffered)
                asyncio.get_running_loop().call_later(flush_s, connection.abort_if_unwritten, buffered)

    def sweep(self, now_s: float, idle_limit_s: float) -> None:
        """Close connections that have been idle for more than ``idle_limit_s``.

        The router closes first, because otherwise a request could race with the worker's close.
        """
        for connection in list(self.connections):
            is_expired = connection.is_retired or now_s - connection.last_used_at > idle_limit_s
            if is_expired and connection.transport is not None and not connection.in_flight:
                connection.close_unused()
