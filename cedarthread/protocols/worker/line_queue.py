"""The send queue of one worker connection, and the progress of the requests in it.

When a connection breaks, the progress of a request determines its outcome: a request that was not completely
written was never executed; one that was written may have been. Therefore the queue records for each line
whether it is queued, in the buffer of the transport, or written to the socket. It performs no I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Attempt, Progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.protocols.worker.requests import OutboundLine, WorkerRequest


class LineQueue:
    """Outbound lines in the order of sending: queued, then in the transport's buffer, then written.

    Args:
        on_written: Called once per attempt, when its last byte has been written to the socket.
        on_first_byte: Called once per request, when its line is passed to the transport.
    """

    def __init__(
        self,
        on_written: Callable[[Attempt], None],
        on_first_byte: Callable[[WorkerRequest], None] = lambda request: None,
    ) -> None:
        self._on_written = on_written
        self._on_first_byte = on_first_byte
        self.queued: list[OutboundLine] = []  # lines that have not been passed to the transport yet
        self.buffered: list[OutboundLine] = []  # lines that are in the transport's buffer, at least in part

    def __bool__(self) -> bool:
        return bool(self.queued or self.buffered)

    def append(self, line: OutboundLine) -> None:
        """Append a line to the queue."""
        self.queued.append(line)

    def requests(self) -> list[WorkerRequest]:
        """Return the requests with a queued line."""
        return [line.request for line in self.queued if line.request is not None]

    def remove(self, request: WorkerRequest) -> bool:
        """Remove the line of a request; False if it has been passed to the transport."""
        for line in self.queued:
            if line.request is request:
                self.queued.remove(line)
                return True
        return False

    def is_buffered(self, request: WorkerRequest) -> bool:
        """Return whether the line of a request has been passed to the transport, but not written whole."""
        return any(line.request is request for line in self.buffered)

    def is_written(self, line: OutboundLine) -> bool:
        """Return whether the line has been completely written to the socket."""
        return line not in self.queued and line not in self.buffered

    def on_connected(self) -> None:
        """Record that the connection of the queued requests is established."""
        for line in self.queued:
            self._record(line, Progress.UNWRITTEN)

    def next_line(self, *, without_requests: bool = False) -> OutboundLine | None:
        """Return the first queued line, or None.

        Args:
            without_requests: Skip the lines that carry a request.
        """
        if not without_requests:
            return self.queued[0] if self.queued else None
        return next((line for line in self.queued if line.request is None), None)

    def dequeue(self, line: OutboundLine) -> None:
        """Remove a line from the queue before it is passed to the transport."""
        self.queued.remove(line)

    def on_passed_to_transport(self, line: OutboundLine, written_bytes: int) -> None:
        """Record that a line was passed to the transport.

        Args:
            line: The line.
            written_bytes: How many bytes of the line the transport has already written to the socket.
        """
        if line.request is not None:
            self._on_first_byte(line.request)
        if written_bytes >= len(line.data):
            self._record(line, Progress.WRITTEN)
        else:
            self._record(line, Progress.PARTLY_WRITTEN)
            self.buffered.append(line)

    def on_write_buffer_size(self, unwritten_bytes: int) -> None:
        """Record that all but the last ``unwritten_bytes`` bytes of the buffered lines were written."""
        while self.buffered and sum(len(line.data) for line in self.buffered[1:]) >= unwritten_bytes:
            self._record(self.buffered.pop(0), Progress.WRITTEN)

    def on_all_written(self) -> None:
        """Record that all buffered lines were written."""
        for line in self.buffered:
            self._record(line, Progress.WRITTEN)
        self.buffered.clear()

    def on_disconnected(self) -> None:
        """Record the end of the connection.

        The last buffered line was not completely written. The lines before it may have been.
        """
        for line in self.buffered[:-1]:
            self._record(line, Progress.WRITTEN)
        self.buffered.clear()

    def _record(self, line: OutboundLine, progress: Progress) -> None:
        attempt = line.request
        if isinstance(attempt, Attempt) and attempt.progress < Progress.RESPONSE_STARTED:
            if attempt.progress < Progress.WRITTEN <= progress:
                self._on_written(attempt)
            attempt.progress = progress
