"""Term 1 of the acceptance by the runners' own books, with a real process that stands still while clients go.

While it is stopped, runners refuse what they hold, new calls come, and clients close, reset, half-close or
cancel; it goes on once the 0.1 s are over: whatever still reaches a runner for one of them is too late.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import struct
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.test_client_gone import GOING, cancel
from tests.integration.test_descriptor_budget import RouterProcess, router

LATE = 0.11  # s
CLIENTS = 48
EARLY = 9  # of them have a call out: each has a retry in the budget
GOES = [*GOING, "stays"]


class Peer:
    """A client of the process; ``number`` names its one call."""

    def __init__(self, running: RouterProcess, number: int) -> None:
        self.number = number
        self.sock = socket.create_connection(("127.0.0.1", running.port))

    def call(self) -> None:
        klass = ("check", "confirm")[self.number % 2]
        data = pack_call(1, klass, b"x", txn=f"{self.number:016x}", item=f"{self.number % 7:016x}")
        self.sock.sendall(data)

    def cancel(self, number: int) -> None:
        self.sock.sendall(cancel(number))


def go(peer: Peer, how: str) -> None:
    """What the client does; ``stays`` is nothing."""
    match how:
        case "cancel":
            peer.cancel(1)
        case "close":
            peer.sock.close()
        case "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            peer.sock.close()
        case "half-close":
            peer.sock.shutdown(socket.SHUT_WR)


async def stopped(running: RouterProcess) -> None:
    running.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{running.process.pid}/stat")
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        await asyncio.sleep(0)


@pytest.mark.parametrize("connected", [True, False])
def test_a_process_that_stood_still_begins_nothing_for_clients_that_went(
    tmp_path: Path, connected: bool
) -> None:
    """Some clients have a call out, which is refused meanwhile; the others call into the standstill.
    ``connected``: connections to the runners stand; else the first calls wait for theirs to come up.
    """

    async def test() -> None:
        refused: list[tuple[ScriptedWorker, dict[str, Any], asyncio.StreamWriter]] = []

        def hold(runner: ScriptedWorker, message: dict[str, Any]) -> None:
            refused.append((runner, message, runner.writers[-1]))

        runners = [ScriptedWorker(hold) for _ in range(4)]
        for one in runners:
            await one.start()
        known = [
            {
                "name": f"s-{n:08x}",
                "address": f"127.0.0.1:{one.port}",
                "zone": "room-a",
                "type": "std",
                "group": 0,
                "status": "ready",
                "weight": 1,
                "since_ms": 0,
            }
            for n, one in enumerate(runners, 1)
        ]
        events = [{"n": 1, "members": {"index": 1, "snapshot": True, "endpoints": known}}]
        async with router(tmp_path, known={"n": 1, "events": events}, settings=SETTINGS) as running:
            peers = [Peer(running, 1 + n) for n in range(CLIENTS)]
            early = peers[:EARLY] if connected else []
            for peer in early:
                peer.call()
            async with asyncio.timeout(10):
                while len(refused) < len(early):
                    await asyncio.sleep(0.001)
            await stopped(running)
            for peer in peers:
                if peer not in early:
                    peer.call()
            for _, message, writer in refused:
                writer.write(b'{"op":"SHED","id":"%s","fields":{}}\n' % message["id"].encode())
            await asyncio.sleep(0)
            hows = {peer.number: GOES[peer.number % len(GOES)] for peer in peers}
            for peer in peers:
                go(peer, hows[peer.number])
            gone = time.monotonic()
            before = Counter(message["id"] for one in runners for message in one.calls)
            while (
                time.monotonic() < gone + LATE
            ):  # not for the router, which stands still: the term's own time
                await asyncio.sleep(0.01)
            running.process.send_signal(signal.SIGCONT)
            staying = [f"{n:016x}" for n, how in hows.items() if how == "stays"]
            async with asyncio.timeout(20):  # a fence: the calls of those who stay have come, after all that
                while any(
                    sum(m["id"] == name for one in runners for m in one.calls) <= before[name]
                    for name in staying
                ):
                    await asyncio.sleep(0.001)
            after = Counter(message["id"] for one in runners for message in one.calls)
            late = {name: hows[int(name, 16)] for name in after if after[name] > before[name]}
            assert set(late.values()) == {"stays"}, late
            for peer in peers:
                with contextlib.suppress(OSError):
                    peer.sock.close()
        for one in runners:
            one.stop()

    asyncio.run(test())
