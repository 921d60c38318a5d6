"""A new file of settings that lacks a key, while connections to servers are reset under requests."""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

from review.standins.client import Client
from review.standins.record import Record
from review.standins.resolver import Listed, Resolver
from review.standins.router import RouterProcess, free_port, settings
from review.standins.server import Room, Server

HERE = Path(__file__).parent
ROOMS = ["room-a", "room-b", "room-c"]
FUNCTIONS = ("7f3a9c21e0b4d655", "11d05a6b93c2e8f4", "20c7be0f41d9a386")
CALLS = 200
SPREAD_S = 8.0  # the time over which the calls are sent
RELOAD_AT_S = 1.5  # SIGHUP after the router is ready: not in its first second
CALLS_AT_S = RELOAD_AT_S + 1.3  # the calls begin over 1.2 s after SIGHUP
RESET_EVERY = 20  # one run in so many ends in a reset of its connection
WINDOW_S = 3.0  # for which the servers of one room drop a repeat
has_trouble = os.environ.get("TROUBLE", "1") != "0"


async def reload(router: RouterProcess, resolver: Resolver, listen_port: int, listed: list[Listed]) -> None:
    """Replace the configuration by a file in which one class lacks ``group``, and send SIGHUP."""
    await asyncio.sleep(RELOAD_AT_S)
    new = settings(localities=ROOMS)
    for request_class in new["classes"]:
        if request_class["name"] == "revise":
            del request_class["group"]
    router.write_config(listen_port, resolver.port, listed, new)
    router.signal(signal.SIGHUP)


async def play(folder: Path, record: Record) -> int:
    """Play the day and return the exit code."""
    servers = [
        Server(f"s-0000000{number}", record, room=Room(room, WINDOW_S), reset_every=RESET_EVERY)
        for number, room in enumerate(ROOMS, 1)
    ]
    for server in servers:
        await server.start()
    listed = [Listed(server.name, server.port, server.room.name) for server in servers]
    resolver = Resolver(listed)
    await resolver.start()
    router = RouterProcess("router", folder, record)
    listen_port = free_port()
    router.write_config(listen_port, resolver.port, listed, settings(localities=ROOMS))
    clients = [Client(f"client-{number}", record) for number in range(4)]
    router.start()
    try:
        await router.wait_ready()
        reloading = (
            asyncio.create_task(reload(router, resolver, listen_port, listed)) if has_trouble else None
        )
        await asyncio.sleep(CALLS_AT_S)
        for client in clients:
            await client.connect(listen_port)
        for number in range(CALLS):
            client = clients[number % len(clients)]
            function = FUNCTIONS[number % len(FUNCTIONS)]
            await client.send("revise", function, b"revise %d" % number, key=secrets.token_hex(16))
            await asyncio.sleep(SPREAD_S / CALLS)
        await asyncio.sleep(5.5)  # a revise is given up after 5 s
        if reloading is not None:
            await reloading
        return judge(servers, record)
    finally:
        for client in clients:
            await client.close()
        router.end()


def judge(servers: list[Server], record: Record) -> int:
    """Return 1 if a keyed call ran to its end twice: in two rooms, or in one after its window."""
    runs = defaultdict(list)
    for server in servers:
        for run in server.runs:
            if not run["is_finished"]:  # given up, for example with another call's connection
                continue
            runs[run["key"]].append((server.name, server.room.name, run["body"].decode()))
    twice = [places for places in runs.values() if len(places) > 1]
    record.write(f"result: {len(runs)} keys run, {len(twice)} of them twice")
    for places in twice:
        record.write(f"run twice: {places}")
    return 1 if twice else 0


def main() -> int:
    """Run in a temporary folder; 2: the case could not run."""
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(Path(folder), record), 110))
        except Exception as error:  # noqa: BLE001  # any fault of the script itself
            record.write(f"could not run: {error!r}")
            return 2
        finally:
            for log in Path(folder).glob("*.log"):
                record.write(f"end of {log.name}: {log.read_text()[-1500:]}")


if __name__ == "__main__":
    sys.exit(main())
