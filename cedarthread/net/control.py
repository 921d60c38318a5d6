"""The operators' address: one line a connection, one reply line that begins with YES or NO.

It reports; what the figures are and whether the process can serve is told to it by the service."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

from cedarthread.net.stream import Flusher, Stream

log = logging.getLogger("cedarthread.control")

LINE = 256  # bytes of the longest line, its end included
PROVE = 1.0  # s that a connection has to bring its whole line
MOST = 16  # connections at once; beyond, the oldest gives way
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
        self.front.admit(self)
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

    def __init__(self, replies: Mapping[str, Reply], flusher: Flusher) -> None:
        self.replies = replies
        self.flusher = flusher
        self.connections: dict[ControlConnection, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None

    def admit(self, connection: ControlConnection) -> None:
        """Guards the descriptors: a flood of idle connections costs only its own oldest."""
        if len(self.connections) >= MOST:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest)
            oldest.abort()
        self.connections[connection] = None

    async def listen(self, host: str, port: int) -> int:
        """Accept operators; the port that it is."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ControlConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        return int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()
