"""Sockets whose system calls fail now and then, as Linux documents for each of them.

A control file holds the share of calls that fail; a process maps it. Reads and writes may also be short.
"""

from __future__ import annotations

import errno
import mmap
import os
import random
import socket
import struct
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pathlib import Path

SYSTEM_CALLS_CONTROL = struct.Struct("<d")  # the share of the calls that fail

ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENOBUFS)
STREAM_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
DATAGRAM_ERRNOS = (errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED)
SOCKET_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN_STREAM_SHARE = 0.1  # of the failing calls on a stream: the others are short
SHORT_READ_BYTES = 7
FILENO_POSITION = 3  # of the constructor's arguments: a socket made with one is not new


class FailureControl:
    """Whether a call fails now."""

    def __init__(self, control: Path, seed: int) -> None:
        with control.open("rb") as file:
            self._control = mmap.mmap(file.fileno(), SYSTEM_CALLS_CONTROL.size, access=mmap.ACCESS_READ)
        self.rng = random.Random(seed)

    def fails(self) -> bool:
        """Draw whether the next call fails."""
        share = float(SYSTEM_CALLS_CONTROL.unpack(self._control[:])[0])
        return share > 0.0 and self.rng.random() < share

    def error(self, errnos: tuple[int, ...]) -> OSError:
        """One of these errors."""
        number = self.rng.choice(errnos)
        return OSError(number, os.strerror(number))

    def check(self, errnos: tuple[int, ...]) -> None:
        """Raise one of these errors, if the call fails."""
        if self.fails():
            raise self.error(errnos)


class FailingSocket(socket.socket):
    """A socket whose calls fail as ``control`` says."""

    control: FailureControl  # set by ``install``

    def __init__(self, *arguments: Any, **named: Any) -> None:
        is_new = named.get("fileno") is None and len(arguments) <= FILENO_POSITION
        if is_new:
            self.control.check(SOCKET_ERRNOS)
        super().__init__(*arguments, **named)

    def accept(self) -> Any:
        """Accept a connection."""
        self.control.check(ACCEPT_ERRNOS)
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connect."""
        self.control.check(CONNECT_ERRNOS)
        super().connect(address)

    def send(self, data: Any, flags: int = 0) -> int:
        """Send all of the data, half of it, or none."""
        if not self.control.fails():
            return super().send(data, flags)
        if self.type == socket.SOCK_DGRAM:
            raise self.control.error(DATAGRAM_ERRNOS)
        if self.control.rng.random() < BROKEN_STREAM_SHARE:
            raise self.control.error(STREAM_ERRNOS)
        with memoryview(data) as view:
            return super().send(view[: 1 + len(view) // 2], flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive what is there, a few bytes of it, or an error."""
        if self.type != socket.SOCK_STREAM or not self.control.fails():
            return super().recv_into(buffer, nbytes, flags)
        if self.control.rng.random() < BROKEN_STREAM_SHARE:
            raise self.control.error(STREAM_ERRNOS)
        with memoryview(buffer) as view:
            return super().recv_into(view[:SHORT_READ_BYTES], 0, flags)


def install(control: Path, seed: int) -> None:
    """Have all sockets of this process that are made from now on fail as the control file says."""
    FailingSocket.control = FailureControl(control, seed)
    socket.socket = FailingSocket  # type: ignore[misc]
