"""Listening while the host is short of descriptors or memory is retried; other errors are raised."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import Any

import pytest

from cedarthread.transport import acceptor


def fail_first_attempts(monkeypatch: pytest.MonkeyPatch, *errnos: int) -> list[int]:
    """Make the first attempts to listen fail with these errors; return the list of those not yet raised."""
    remaining, create_server = list(errnos), socket.create_server

    def failing_create_server(*arguments: Any, **keywords: Any) -> socket.socket:
        if remaining:
            error_number = remaining.pop(0)
            raise OSError(error_number, os.strerror(error_number))
        return create_server(*arguments, **keywords)

    monkeypatch.setattr(socket, "create_server", failing_create_server)
    monkeypatch.setattr(acceptor, "LISTEN_RETRY_S", 0.0)
    return remaining


def test_listening_is_retried_during_a_brief_shortage(monkeypatch: pytest.MonkeyPatch) -> None:
    remaining = fail_first_attempts(monkeypatch, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

    async def test() -> None:
        with await acceptor.create_listener_with_retries("127.0.0.1", 0, 5) as listening:
            assert listening.getsockname()[1]

    asyncio.run(test())
    assert not remaining


def test_listening_fails_for_an_address_in_use_and_a_shortage_beyond_the_retry_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        fail_first_attempts(monkeypatch, errno.EADDRINUSE)
        with pytest.raises(OSError, match="in use"):
            await acceptor.create_listener_with_retries("127.0.0.1", 0, 5)
        monkeypatch.setattr(acceptor, "LISTEN_RETRY_LIMIT_S", 0.0)
        fail_first_attempts(monkeypatch, errno.EMFILE)
        with pytest.raises(OSError, match="Too many open files"):
            await acceptor.create_listener_with_retries("127.0.0.1", 0, 5)

    asyncio.run(test())
