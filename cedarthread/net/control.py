"""The operators' address: one line a connection, one reply line that begins with YES or NO.

It reports; what the figures are and whether the process can serve is told to it by the service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from cedarthread.net.acceptor import Acceptor, listener
from cedarthread.net.descriptors import OPERATORS, SMALL_TURN
from cedarthread.net.stream import Flusher, Stream

log = logging.getLogger("cedarthread.control")

LINE = 256  # bytes of the longest line, its end included
PROVE = 1.0  # s that a connection has to bring its whole line
MOST = OPERATORS  # connections at once; beyond, the oldest gives way
BACKLOG = 64

Reply = Callable[[], tuple[bool, list[str]]]  # yes or no, and the lines after the first


class ControlConnection(Stream):
    """One operator's question."""

    def __init__(self, front: ControlFront) -> None:
        super().__init__(LINE, front.flusher)
        self.front = front
        self.answered = False
        self._timer: asyncio.TimerHandle | None = None

    def opened(self) -> None:
        """Count it in, and give it its time."""
        if not self.front.admit(self):
            return self.abort()
        self._timer = self._loop.call_later(PROVE, self.refuse, "no whole line in time")

    def lost(self) -> None:
        """Count it out."""
        self.front.connections.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def received(self, data: memoryview) -> int | None:
        """Answer the first whole line; all else is read and dropped."""
        if self.answered:
            return len(data)
        end = self.buffer.find(b"\n", 0)
        if end < 0:
            return 0
        self.answer(bytes(data[:end]).rstrip(b"\r"))
        return len(data)

    def overfull(self) -> None:
        """A line longer than any question."""
        self.refuse(f"line over {LINE - 1} bytes")

    def eof_received(self) -> bool:
        """The line was cut short: no end came."""
        self.refuse("line cut short")
        return True

    def answer(self, line: bytes) -> None:
        """The reply to a whole line."""
        word = line.decode("ascii", "replace").strip()
        reply = self.front.replies.get(word.upper())
        if reply is None:
            return self.refuse(f"unknown command {word[:32]!r}")
        yes, lines = reply()
        self.say(("YES" if yes else "NO") + "\n" + "".join(f"{each}\n" for each in lines))

    def refuse(self, why: str) -> None:
        """Say no and why."""
        self.say(f"NO {why}\n")

    def say(self, text: str) -> None:
        """The one reply, then the end of the connection."""
        if self.answered:
            return
        self.answered = True
        if self._timer is not None:
            self._timer.cancel()
        self.write(text.encode())
        self.linger()


class ControlFront:
    """The listener at the control address and its few connections."""

    def __init__(
        self,
        replies: Mapping[str, Reply],
        flusher: Flusher,
        most: int = MOST,
        scarce: Callable[[], bool] = lambda: False,
    ) -> None:
        self.replies = replies
        self.flusher = flusher
        self.most = most
        self.scarce = scarce  # has a descriptor given back, where none is left
        self.connections: dict[ControlConnection, None] = {}  # the oldest first
        self._server: Acceptor[ControlConnection] | None = None

    def admit(self, connection: ControlConnection) -> bool:
        """Guards the descriptors: a flood of idle connections costs only its own oldest."""
        if connection in self.connections:
            return True
        if len(self.connections) >= self.most:
            oldest = next((c for c in self.connections if c.transport is not None), None)
            if oldest is None:  # none can be closed yet
                return False
            del self.connections[oldest]
            oldest.abort()
        self.connections[connection] = None
        return True

    def listen(self, host: str, port: int) -> int:
        """Accept operators; the port that it is. OSError where that can't be."""
        sock = listener(host, port, BACKLOG)
        self._server = Acceptor("operators", sock, SMALL_TURN, self._welcome, self._failed, self.scarce)
        return self._server.port

    def _welcome(self) -> ControlConnection | None:
        connection = ControlConnection(self)
        return connection if self.admit(connection) else None

    def _failed(self, connection: ControlConnection) -> None:
        self.connections.pop(connection, None)

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()
            self._server = None
