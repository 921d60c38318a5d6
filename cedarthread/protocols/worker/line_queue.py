"""The send queue of one worker connection, and how far the requests on it have come.

A request's fate when its connection breaks follows from its progress: what was not completely written has
never run, what was may have. So the queue knows of each line whether it is queued here, handed to the
transport, or taken by the socket. It does no I/O itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import Attempt, Progress

if TYPE_CHECKING:
    from collections.abc import Callable

    from cedarthread.protocols.worker.requests import OutboundLine, WorkerRequest


class LineQueue:
    """Outbound lines in order: first queued, then in the transport's buffer, then written.

    ``on_written`` is called once for each attempt of which the socket has taken the last byte,
    ``on_first_byte`` for each request that begins to leave.
    """

    def __init__(
        self,
        on_written: Callable[[Attempt], None],
        on_first_byte: Callable[[WorkerRequest], None] = lambda request: None,
    ) -> None:
        self._on_written = on_written
        self._on_first_byte = on_first_byte
        self.queued: list[OutboundLine] = []  # not handed to the transport yet
        self.buffered: list[OutboundLine] = []  # handed to the transport, not completely taken by the socket

    def __bool__(self) -> bool:
        return bool(self.queued or self.buffered)

    def append(self, line: OutboundLine) -> None:
        """Queue a line."""
        self.queued.append(line)

    def requests(self) -> list[WorkerRequest]:
        """The requests that are still queued."""
        return [line.request for line in self.queued if line.request is not None]

    def remove(self, request: WorkerRequest) -> bool:
        """Take a request back; False if bytes of it have been handed to the transport."""
        for line in self.queued:
            if line.request is request:
                self.queued.remove(line)
                return True
        return False

    def is_written(self, line: OutboundLine) -> bool:
        """Has the socket taken all of this line?"""
        return line not in self.queued and line not in self.buffered

    def on_connected(self) -> None:
        """The connection is up: what is queued is no longer unconnected."""
        for line in self.queued:
            self._record(line, Progress.UNWRITTEN)

    def next_line(self, *, without_requests: bool = False) -> OutboundLine | None:
        """The first queued line, or the first that carries no request; None if there is none."""
        if not without_requests:
            return self.queued[0] if self.queued else None
        return next((line for line in self.queued if line.request is None), None)

    def take(self, line: OutboundLine) -> None:
        """Take a line off the queue, to hand it to the transport."""
        self.queued.remove(line)

    def on_handed_over(self, line: OutboundLine, written_bytes: int) -> None:
        """The transport has taken a line, and the socket its first ``written_bytes`` bytes."""
        if line.request is not None:
            self._on_first_byte(line.request)
        if written_bytes >= len(line.data):
            self._record(line, Progress.WRITTEN)
        else:
            self._record(line, Progress.PARTLY_WRITTEN)
            self.buffered.append(line)

    def on_drained_to(self, unwritten_bytes: int) -> None:
        """So many bytes are left in the transport's buffer: lines before them are written."""
        while self.buffered and sum(len(line.data) for line in self.buffered[1:]) >= unwritten_bytes:
            self._record(self.buffered.pop(0), Progress.WRITTEN)

    def on_all_written(self) -> None:
        """The socket has taken all that was handed over."""
        for line in self.buffered:
            self._record(line, Progress.WRITTEN)
        self.buffered.clear()

    def on_disconnected(self) -> None:
        """The connection is down: the last buffered line is not completely written, those before may be."""
        for line in self.buffered[:-1]:
            self._record(line, Progress.WRITTEN)
        self.buffered.clear()

    def _record(self, line: OutboundLine, progress: Progress) -> None:
        attempt = line.request
        if isinstance(attempt, Attempt) and attempt.progress < Progress.RESPONSE_STARTED:
            if attempt.progress < Progress.WRITTEN <= progress:
                self._on_written(attempt)
            attempt.progress = progress
