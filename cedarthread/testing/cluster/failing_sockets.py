"""Sockets whose system calls fail at random, with the errors that Linux documents for each call.

The share of calls that fail is read from a control file, which the process maps. Reads and writes may also
be short.
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

    from _typeshed import ReadableBuffer, WriteableBuffer

SYSTEM_CALLS_CONTROL = struct.Struct("<d")  # Share of the calls that fail.

ACCEPT_ERRNOS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRNOS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENOBUFS)
STREAM_ERRNOS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
DATAGRAM_ERRNOS = (errno.ENOBUFS, errno.ENETUNREACH, errno.EPERM, errno.ECONNREFUSED)
SOCKET_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
STREAM_ERROR_SHARE = 0.1  # Share of the failing calls on a stream that raise; the others are short.
SHORT_READ_BYTES = 7
FILENO_POSITION = 3  # Position of ``fileno`` in the constructor; a socket from a descriptor is not new.


class FailureControl:
    """The mapped control file and the random numbers that decide which calls fail.

    Args:
        control: The control file, which must exist.
        seed: The seed of the random numbers.
    """

    def __init__(self, control: Path, seed: int) -> None:
        with control.open("rb") as file:
            self._control = mmap.mmap(file.fileno(), SYSTEM_CALLS_CONTROL.size, access=mmap.ACCESS_READ)
        self.rng = random.Random(seed)

    def fails(self) -> bool:
        """Decide at random whether the next call fails."""
        share = float(SYSTEM_CALLS_CONTROL.unpack(self._control[:])[0])
        return share > 0.0 and self.rng.random() < share

    def error(self, errnos: tuple[int, ...]) -> OSError:
        """Return one of these errors, drawn at random."""
        number = self.rng.choice(errnos)
        return OSError(number, os.strerror(number))

    def check(self, errnos: tuple[int, ...]) -> None:
        """Raise one of these errors if the call fails."""
        if self.fails():
            raise self.error(errnos)


class FailingSocket(socket.socket):
    """A socket that fails at random, as ``control`` decides."""

    control: FailureControl  # Set by ``install`` for the class.

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        is_new = keywords.get("fileno") is None and len(arguments) <= FILENO_POSITION
        if is_new:
            self.control.check(SOCKET_ERRNOS)
        super().__init__(*arguments, **keywords)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection, or raise an error."""
        self.control.check(ACCEPT_ERRNOS)
        return super().accept()

    def connect(self, address: tuple[Any, ...] | str | ReadableBuffer) -> None:
        """Connect, or raise an error."""
        self.control.check(CONNECT_ERRNOS)
        super().connect(address)

    def send(self, data: ReadableBuffer, flags: int = 0) -> int:
        """Send all of the data or half of it, or raise an error."""
        if not self.control.fails():
            return super().send(data, flags)
        if self.type == socket.SOCK_DGRAM:
            raise self.control.error(DATAGRAM_ERRNOS)
        if self.control.rng.random() < STREAM_ERROR_SHARE:
            raise self.control.error(STREAM_ERRNOS)
        with memoryview(data) as view:
            return super().send(view[: 1 + len(view) // 2], flags)

    def recv_into(self, buffer: WriteableBuffer, nbytes: int = 0, flags: int = 0) -> int:
        """Receive available bytes or only a few of them, or raise an error."""
        if self.type != socket.SOCK_STREAM or not self.control.fails():
            return super().recv_into(buffer, nbytes, flags)
        if self.control.rng.random() < STREAM_ERROR_SHARE:
            raise self.control.error(STREAM_ERRNOS)
        with memoryview(buffer) as view:
            return super().recv_into(view[:SHORT_READ_BYTES], 0, flags)


def install(control: Path, seed: int) -> None:
    """Make every new socket of this process fail as the control file says."""
    FailingSocket.control = FailureControl(control, seed)
    socket.socket = FailingSocket  # type: ignore[misc]
