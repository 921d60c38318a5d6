"""Descriptors used up by idle clients, floods, strangers and slow readers; discovery down; the start."""

from __future__ import annotations

import asyncio
import dataclasses
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from cedarthread.standins.scripted import Runner, client, service
from cedarthread.standins.settings import SETTINGS


def close(made: list[socket.socket]) -> None:
    for one in made:
        one.close()


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def play() -> None:
        async with asyncio.timeout(60):
            await test()

    asyncio.run(play())


def test_a_dial_without_a_descriptor_blames_no_runner() -> None:
    """Two in a row opened the runner's circuit breaker."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        runner = Runner()
        async with service(runner) as running, client(running) as caller:
            dial = loop.create_connection

            async def scarce(*_: Any, **__: Any) -> Any:
                raise OSError(errno.EMFILE, "too many")

            loop.create_connection = scarce  # type: ignore[method-assign]
            for number in range(1, 5):
                answer = await caller.call(number, "confirm", b"x")
                assert answer[2][0] == "Backoff", "it never ran"
            [view] = running.planner.router.workers.values()
            assert view.trouble == 0.0 and not view.broken and not runner.calls
            loop.create_connection = dial  # type: ignore[method-assign]
            assert await caller.call(9, "confirm", b"x") == [1, 9, None, [b"X", {}]]

    run(test)


def test_at_the_bound_an_idle_connection_to_a_runner_gives_way() -> None:
    async def test() -> None:
        runners = [Runner(), Runner(), Runner()]
        async with service(*runners) as running, client(running) as caller:
            running.runners.most = 1
            for number in range(1, 20):
                answer = await caller.call(number, "confirm", b"x", item=f"{number * 7919:016x}")
                assert answer == [1, number, None, [b"X", {}]]
                assert sum(len(pool.connections) for pool in running.runners.pools.values()) == 1
            assert sum(bool(runner.calls) for runner in runners) > 1
            assert not any(view.trouble for view in running.planner.router.workers.values())

    run(test)


def test_a_dial_that_nobody_waits_for_gives_its_descriptor_back() -> None:
    """It held one, uncounted, till the time for connecting was over."""

    async def test() -> None:
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fill = [socket.socket() for _ in range(4)]  # its queue is full: no more come up
            for one in fill:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            far = Runner()
            limits = SETTINGS["limits"] | {"connect-timeout": 60_000}
            async with service(far, limits=limits) as running:
                [pool] = running.runners.pools.values()
                pool.listing = dataclasses.replace(pool.listing, port=full.getsockname()[1])
                before = set(os.listdir("/proc/self/fd"))
                connection = pool.connection("a")
                assert connection is not None
                while len(os.listdir("/proc/self/fd")) <= len(before):
                    await asyncio.sleep(0)
                connection.abort()
                for _ in range(10):
                    await asyncio.sleep(0)
                assert not pool.dialling and set(os.listdir("/proc/self/fd")) == before
            close(fill)

    run(test)
