"""Tests that a new worker at the address of one that has gone is not taken for the old one.

The endpoint list still shows the old worker, because discovery tells of changes late.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import listed_endpoints, router_process

if TYPE_CHECKING:
    from pathlib import Path

NEW_WORKER_DELAYS_S = (0.0, 0.1)


async def replace_worker(old: ScriptedWorker, new: ScriptedWorker, delay_s: float) -> None:
    """End the old worker, and start the new one at its address."""
    old.server.close()
    for writer in old.writers:
        writer.transport.abort()
    await asyncio.sleep(delay_s)
    new.server = await asyncio.start_server(new._serve, "127.0.0.1", old.port)
    new.port = old.port


# Guards against a keyed call that a new process executes again, which does not know the key.
@pytest.mark.parametrize("delay_s", NEW_WORKER_DELAYS_S)
def test_a_keyed_call_is_not_repeated_at_a_new_worker_at_the_same_address(
    tmp_path: Path, delay_s: float
) -> None:
    async def scenario() -> None:
        old_has_call = asyncio.Event()

        def hold(worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
            old_has_call.set()
            return None

        old = ScriptedWorker(hold)
        new = ScriptedWorker(serve_uppercase)
        await old.start()
        async with router_process(tmp_path, known=listed_endpoints([old]), settings=SETTINGS) as running:
            caller = await running.client()
            pending = asyncio.create_task(caller.call(1, "revise", b"x", unique="the key"))
            await old_has_call.wait()
            await replace_worker(old, new, delay_s)
            answer = await pending
            assert answer[2] is not None
            assert [call["id"] for call in old.calls + new.calls] == [old.calls[0]["id"]]

    asyncio.run(scenario())
