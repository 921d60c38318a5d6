"""Tests that no call of a class that must not be repeated is executed twice when its id comes again.

The client leaves while its call runs, and sends the same ``txn`` later: on another connection, or to the
other process of an upgrade.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import (
    listed_endpoints,
    router_process,
    start_process,
)
from tests.integration.client_sockets import DISCONNECTS, BlockingClient
from tests.integration.router_process import free_port
from tests.integration.worker_behaviors import leave_unanswered

if TYPE_CHECKING:
    from pathlib import Path

TXN = "00000000000000aa"
PAUSES_S = (0.0, 0.05, 0.3)


async def call_and_leave(port: int, worker: ScriptedWorker, disconnect: str) -> None:
    """Send a call, and leave once the worker has it."""
    leaving = BlockingClient(port)
    leaving.call(1, "confirm", txn=TXN)
    await worker.wait_until(lambda: bool(worker.calls))
    DISCONNECTS[disconnect](leaving)


# Guards against a call that runs twice when its id comes again after its client has left.
@pytest.mark.parametrize("disconnect", ["cancel", "close", "reset"])
@pytest.mark.parametrize("can_cancel", [True, False])
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_a_call_whose_client_left_is_not_executed_again(
    tmp_path: Path, disconnect: str, can_cancel: bool, pause_s: float
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        await worker.start()
        settings = SETTINGS | {"limits": SETTINGS["limits"] | {"cancel": can_cancel}}
        known = listed_endpoints([worker])
        async with router_process(tmp_path, known=known, settings=settings) as running:
            await call_and_leave(running.port, worker, disconnect)
            await asyncio.sleep(pause_s)
            again = await running.client()
            answer = await again.call(1, "confirm", b"x", txn=TXN)
            assert answer[2] is not None
            assert [call["id"] for call in worker.calls] == [TXN]

    asyncio.run(scenario())


# Guards against a call that runs again at the other process of an upgrade.
@pytest.mark.parametrize("pause_s", PAUSES_S[1:])
def test_a_call_whose_client_left_is_not_executed_by_the_other_process(
    tmp_path: Path, pause_s: float
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker(leave_unanswered)
        await worker.start()
        listen = f"127.0.0.1:{free_port()}"
        known = listed_endpoints([worker])
        async with AsyncExitStack() as stack:
            old = await stack.enter_async_context(
                router_process(tmp_path, known=known, settings=SETTINGS, listen=listen)
            )
            leaving = BlockingClient(old.port)
            leaving.call(1, "confirm", txn=TXN)
            await worker.wait_until(lambda: bool(worker.calls))
            new = await start_process(tmp_path)
            stack.push_async_callback(new.kill)
            await new.wait_until_serving()
            old.process.terminate()
            await old.wait_for_log("shutdown_started")
            leaving.close()
            await asyncio.sleep(pause_s)
            again = await new.client()
            answer = await again.call(1, "confirm", b"x", txn=TXN)
            assert answer[2] is not None
            assert [call["id"] for call in worker.calls] == [TXN]

    asyncio.run(scenario())
