"""A start while the machine is short of descriptors: listening is tried again, and other errors end it."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest

from cedarthread.transport import acceptor


def fail_at_first(monkeypatch: pytest.MonkeyPatch, *errnos: int) -> list[int]:
    """Make the first attempts to listen fail with these errors; return the list of the remaining ones."""
    remaining, create_server = list(errnos), socket.create_server

    def scarce(*arguments: Any, **named: Any) -> socket.socket:
        if remaining:
            number = remaining.pop(0)
            raise OSError(number, os.strerror(number))
        return create_server(*arguments, **named)

    monkeypatch.setattr(socket, "create_server", scarce)
    monkeypatch.setattr(acceptor, "LISTEN_RETRY_S", 0.0)
    return remaining


def test_a_shortage_for_a_moment_does_not_fail_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    remaining = fail_at_first(monkeypatch, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

    async def test() -> None:
        with await acceptor.create_listener_with_retries("127.0.0.1", 0, 5) as listening:
            assert listening.getsockname()[1]

    asyncio.run(test())
    assert not remaining


def test_an_address_in_use_and_a_lasting_shortage_end_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        fail_at_first(monkeypatch, errno.EADDRINUSE)
        with pytest.raises(OSError, match="in use"):
            await acceptor.create_listener_with_retries("127.0.0.1", 0, 5)
        monkeypatch.setattr(acceptor, "LISTEN_RETRY_LIMIT_S", 0.0)
        fail_at_first(monkeypatch, errno.EMFILE)
        with pytest.raises(OSError, match="Too many open files"):
            await acceptor.create_listener_with_retries("127.0.0.1", 0, 5)

    asyncio.run(test())
