"""Tests of clients that send far more than one look at them processes, and then leave or interrupt.

The router is a real process, which is suspended while the client sends, so that all is unread afterwards.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import listed_endpoints, router_process
from tests.integration.client_sockets import DISCONNECTS, BlockingClient

if TYPE_CHECKING:
    from pathlib import Path

CALLS = 3000  # over ten times what one look processes
DISCONNECTED_S = 0.15  # past the 0.1 s after which no attempt of a disconnected client may start
CALM_CALLS = 20


def large_receive_client(port: int) -> BlockingClient:
    """Return a client whose sends of all calls fit into the buffers of the kernel."""
    client = BlockingClient(port)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**22)
    return client


# Guards against calls that are sent on although their client left or interrupted behind much unread input.
@pytest.mark.parametrize("disconnect", ["interrupt all", "close", "reset", "half-close"])
def test_no_call_of_a_client_that_has_gone_is_sent_whatever_is_unread(
    tmp_path: Path, disconnect: str
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        await worker.start()
        async with router_process(tmp_path, known=listed_endpoints([worker]), settings=SETTINGS) as running:
            leaving = large_receive_client(running.port)
            calm = await running.client()
            assert (await calm.call(1, "check", b"x"))[3] is not None
            received_before = len(worker.calls)
            await running.suspend()
            calls = b"".join(
                pack_call(number, "confirm", b"x", txn=f"{number:016x}") for number in range(1, CALLS + 1)
            )
            await asyncio.to_thread(leaving.sock.sendall, calls)
            if disconnect == "interrupt all":
                await asyncio.to_thread(leaving.interrupt, *range(1, CALLS + 1))
            else:
                DISCONNECTS[disconnect](leaving)
            await asyncio.sleep(DISCONNECTED_S)
            running.resume()
            for number in range(2, 2 + CALM_CALLS):
                answer = await calm.call(number, "check", b"x", txn=f"{0xFF00 + number:016x}")
                assert answer[3] is not None
            sent = [call["id"] for call in worker.calls[received_before:]]
            assert [call_id for call_id in sent if int(call_id, 16) <= CALLS] == []

    asyncio.run(scenario())


# Guards against a bound on looks that rejects what a conforming client has sent during a pause.
def test_all_calls_of_conforming_clients_are_served_after_a_pause(tmp_path: Path) -> None:
    clients = 1  # the calls of more would be shed for their number
    open_calls = 32

    async def scenario() -> None:
        workers = [ScriptedWorker() for _ in range(4)]
        for worker in workers:
            await worker.start()
        settings = SETTINGS | {"limits": SETTINGS["limits"] | {"most-held": 300}}
        async with router_process(tmp_path, known=listed_endpoints(workers), settings=settings) as running:
            callers = [await running.client() for _ in range(clients)]
            for caller in callers:
                assert (await caller.call(1000, "check", b"x", txn="f" * 16))[3] is not None
            await running.suspend()
            for index, caller in enumerate(callers):
                for number in range(1, open_calls + 1):
                    txn = f"{index:08x}{number:08x}"
                    fields = {"txn": txn, "props": "lanes:32"}
                    caller.writer.write(pack_call(number, "check", b"y" * 12_000, **fields))
            await asyncio.sleep(DISCONNECTED_S)
            running.resume()
            for caller in callers:
                answers = [await caller.read() for _ in range(open_calls)]
                assert [answer[2] for answer in answers] == [None] * open_calls
                caller.writer.close()

    asyncio.run(scenario())
