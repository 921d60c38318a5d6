"""Wakeups of an idle router process, counted on a virtual event loop."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING

from cedarthread.config import Config
from cedarthread.service import Service
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.discovery_server import ListedWorker, encode_reply
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.testing.fuzzing.virtual_loop import run_virtual

if TYPE_CHECKING:
    import pytest

    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop


def test_an_idle_router_wakes_only_for_discovery_queries(monkeypatch: pytest.MonkeyPatch) -> None:
    """A wakeup costs about 0.2 ms of CPU, so the sweep, membership and gossip run when a query is sent."""
    select_timeouts_s: list[float] = []

    async def idle(loop: VirtualLoop) -> None:
        limits = SETTINGS["limits"] | {"peers": True}
        settings = settings_from_object(SETTINGS | {"balancers": 24, "limits": limits})
        service = Service(Config("n0", "127.0.0.1", 0, 7, 1024, 192 * 2**20, None, settings, ()))
        service.dispatcher.peer_message_received(3, b"\xc2")
        worker = ListedWorker("s-00000001", 4001)

        def reply_to(query: bytes) -> None:
            reply = encode_reply(query, 5, (worker,), "room-a")
            loop.call_soon(service.discovery.datagram_received, reply, None)

        service.discovery.connection_made(SimpleNamespace(sendto=reply_to, close=lambda: None))  # type: ignore[arg-type]
        await asyncio.sleep(0.07)
        service.maintenance.sweep()
        select = loop.select
        tick_times_ms = list[float]()
        on_tick = service.dispatcher.node.membership.on_tick  # type: ignore[union-attr]
        monkeypatch.setattr(
            service.dispatcher.node.membership,
            "on_tick",
            lambda now_ms: (tick_times_ms.append(now_ms), on_tick(now_ms))[1],  # type: ignore[func-returns-value]
        )
        monkeypatch.setattr(
            loop,
            "select",
            lambda timeout: (select_timeouts_s.append(timeout or 0.0), select(timeout))[1],  # type: ignore[func-returns-value]
        )
        await asyncio.sleep(5.0)
        assert len(tick_times_ms) >= 20, "membership and gossip must run at least four times a second"
        assert service.maintenance.sweep_timer is not None
        assert service.maintenance.sweep_timer.when() > loop.time() - 0.01

    run_virtual(idle)
    assert 24 <= sum(timeout_s > 0.001 for timeout_s in select_timeouts_s) <= 28
