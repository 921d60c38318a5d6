"""Rule ``drain`` on a real process: no call reaches a worker later than the grace after its drain was told.

A drain counts as told once discovery has sent a reply that holds it, whether the router could read that reply
or not, and at the latest a fixed time after it happened.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import pytest

from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker, encode_reply
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.test_client_gone_process import stopped
from tests.integration.test_descriptor_budget import RouterProcess, router, run

if TYPE_CHECKING:
    from pathlib import Path

GRACE_S = SETTINGS["obligations"]["stop-sending-within"] / 1000.0
# What the platform allows beside the grace, and how late this process may read what has come.
SLACK_S = 0.05 + 0.05
CALL_PERIOD_S = 0.004
CALL_LIMIT_S = 3.0
DEADLINE_SLACK_S = 0.15  # by which the time passed to a worker may exceed what the client has left
NOTICE_LIMIT_S = 1.5  # after which an event counts as told, whether a reply arrived or not (PROTOCOL)
QUERY_HEADER_BYTES = 12

Reply = Callable[["Discovery", bytes], bytes | None]  # the datagram that answers a query; None: it is lost


def lost(_: Discovery, __: bytes) -> None:
    """The reply is sent, and lost on its way."""


def cut(discovery: Discovery, query: bytes) -> bytes:
    """The reply is cut short in its first record."""
    return discovery.encode(query, discovery.serial, discovery.workers)[: len(query) + 20]


def server_failure(_: Discovery, query: bytes) -> bytes:
    """The reply has the code SERVFAIL, and no record."""
    return query[:2] + b"\x80\x02" + query[4:QUERY_HEADER_BYTES] + query[QUERY_HEADER_BYTES:]


def old(discovery: Discovery, query: bytes) -> bytes:
    """The reply is the one of before the change."""
    return discovery.encode(query, *discovery.previous)


def valid(discovery: Discovery, query: bytes) -> bytes:
    """The reply is whole."""
    return discovery.encode(query, discovery.serial, discovery.workers)


class _ScriptedServer(FakeDiscoveryServer):
    """Hands each query to a function."""

    def __init__(self, on_query: Callable[[bytes, tuple[str, int]], None]) -> None:
        super().__init__(lambda: None, "room-a")
        self.on_query = on_query

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.on_query(data, addr)


@dataclass
class Discovery:
    """A discovery server whose replies after a change follow a script; those after it are valid."""

    workers: tuple[ListedWorker, ...]
    serial: int = 2
    previous: tuple[int, tuple[ListedWorker, ...]] = (2, ())
    script: list[Reply] = field(default_factory=list)
    changed_at_s: float = 0.0
    told_at_s: float = 0.0  # when a reply that holds the change was first sent; 0: not yet
    queried: asyncio.Event = field(default_factory=asyncio.Event)
    query_count: int = 0

    def __post_init__(self) -> None:
        self.server = _ScriptedServer(self._on_query)

    @staticmethod
    def encode(query: bytes, serial: int, workers: tuple[ListedWorker, ...]) -> bytes:
        return encode_reply(query, serial, workers, "room-a")

    def _on_query(self, query: bytes, address: tuple[str, int]) -> None:
        self.query_count += 1
        reply = self.script.pop(0) if self.script else valid
        datagram = reply(self, query)
        if self.changed_at_s and not self.told_at_s and reply is not old and reply is not server_failure:
            self.told_at_s = time.monotonic()
        if datagram is not None:
            self.server._send(datagram, address)
        self.queried.set()

    async def wait_for_query(self) -> None:
        self.queried.clear()
        async with asyncio.timeout(10):
            await self.queried.wait()

    def change(self, *workers: ListedWorker, script: Sequence[Reply] = ()) -> None:
        """List these workers from now on."""
        self.previous = self.serial, self.workers
        self.serial, self.workers, self.script = self.serial + 1, workers, list(script)
        self.changed_at_s = time.monotonic()


class TimedWorker(ScriptedWorker):
    """A worker that notes when each call came."""

    def __init__(self) -> None:
        super().__init__(self._serve_timed)
        self.received_at_s: list[float] = []
        self.limits_s: list[tuple[str, float]] = []  # of each call: its id, and until when it may run

    def _serve_timed(self, _: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        now_s = time.monotonic()
        self.received_at_s.append(now_s)
        self.limits_s.append((message["id"], now_s + message["fields"]["max"] / 1000.0))
        return serve_uppercase(self, message)

    def received_after(self, at_s: float) -> list[float]:
        """Calls that came later, as seconds after that time."""
        return [round(received - at_s, 3) for received in self.received_at_s if received > at_s]


class Traffic:
    """Calls of many functions, one after the other at a fixed rate; answers are read and forgotten."""

    def __init__(self, port: int) -> None:
        self.port, self.numbers = port, itertools.count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self.deadline_s: dict[str, float] = {}  # of each call, by its id

    async def start(self) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._tasks = [asyncio.create_task(self._read(reader)), asyncio.create_task(self._send())]

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while await reader.read(65536):
            pass

    async def _send(self) -> None:
        while True:
            number = next(self.numbers)
            self.deadline_s[f"{number:016x}"] = time.monotonic() + CALL_LIMIT_S
            limit = f"{1000.0 * CALL_LIMIT_S:.0f}"
            self.writer.write(pack_call(number, "check", b"x", item=f"{number % 40:016x}", limit=limit))
            await asyncio.sleep(CALL_PERIOD_S)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.writer.transport.abort()


@dataclass
class Setup:
    """A router process with its discovery server, two workers and traffic."""

    process: RouterProcess
    discovery: Discovery
    draining: TimedWorker
    staying: TimedWorker
    traffic: Traffic
    folder: Path

    @property
    def listed(self) -> tuple[ListedWorker, ListedWorker]:
        return ListedWorker("s-00000001", self.draining.port), ListedWorker("s-00000002", self.staying.port)

    def list_with_drain(self) -> tuple[ListedWorker, ListedWorker]:
        draining, staying = self.listed
        return ListedWorker(draining.name, draining.port, is_draining=True), staying

    async def wait_for_calls(self) -> None:
        """Until both workers have had calls."""
        async with asyncio.timeout(10):
            while len(self.draining.received_at_s) < 5 or len(self.staying.received_at_s) < 5:
                await asyncio.sleep(0.005)

    async def wait_until_told(self) -> float:
        async with asyncio.timeout(10):
            while not self.discovery.told_at_s:
                await asyncio.sleep(0.002)
        return self.discovery.told_at_s

    def check_drain(self, told_at_s: float) -> None:
        late = self.draining.received_after(told_at_s + GRACE_S + SLACK_S)
        assert not late, (
            f"{len(late)} calls to a draining worker, the last {GRACE_S + SLACK_S + late[-1]:.3f} s"
        )


@asynccontextmanager
async def set_up(folder: Path) -> AsyncIterator[Setup]:
    draining, staying = TimedWorker(), TimedWorker()
    await draining.start()
    await staying.start()
    listed = (ListedWorker("s-00000001", draining.port), ListedWorker("s-00000002", staying.port))
    discovery = Discovery(listed)
    await discovery.server.start()
    limits = SETTINGS["limits"] | {"most-held": 1000}
    async with router(
        folder, dns=f"127.0.0.1:{discovery.server.port}", settings=SETTINGS | {"limits": limits}
    ) as process:
        await process.wait_for_log("endpoints_updated serial=2 ")
        traffic = Traffic(process.port)
        await traffic.start()
        setup = Setup(process, discovery, draining, staying, traffic, folder)
        await setup.wait_for_calls()
        try:
            yield setup
        finally:
            traffic.stop()
    discovery.server.stop()
    draining.stop()
    staying.stop()


@pytest.mark.parametrize(
    "script",
    [
        [lost] * 5,
        [cut] * 5,
        [lost, server_failure, cut, lost, server_failure, lost],
        [lost, old, cut, lost, server_failure],
    ],
    ids=["lost", "cut short", "mixed", "old between"],
)
def test_a_drain_is_followed_though_several_replies_in_a_row_are_of_no_use(
    tmp_path: Path, script: list[Reply]
) -> None:
    """The regular poll alone needs as many periods as replies fail: three are past the grace."""

    async def test() -> None:
        async with set_up(tmp_path) as setup:
            await setup.discovery.wait_for_query()
            setup.discovery.change(*setup.list_with_drain(), script=script)
            told_at_s = await setup.wait_until_told()
            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            await asyncio.sleep(max(0.0, told_at_s + GRACE_S + 2 * SLACK_S - time.monotonic()))
            setup.check_drain(told_at_s)

    run(test)


def test_a_stalled_process_asks_for_news_before_it_sends_what_waited(tmp_path: Path) -> None:
    """A worker is drained while the process is stopped; calls wait in its sockets when it goes on."""

    async def test() -> None:
        async with set_up(tmp_path) as setup:
            await setup.discovery.wait_for_query()
            await stopped(setup.process)
            setup.discovery.change(*setup.list_with_drain())
            told_at_s = setup.discovery.changed_at_s + NOTICE_LIMIT_S
            await asyncio.sleep(NOTICE_LIMIT_S + GRACE_S + 2 * SLACK_S)
            setup.process.process.send_signal(signal.SIGCONT)
            await setup.process.wait_for_log("endpoints_updated serial=3 ")
            served = len(setup.staying.received_at_s)
            async with asyncio.timeout(10):
                while len(setup.staying.received_at_s) == served:
                    await asyncio.sleep(0.005)
            setup.check_drain(told_at_s)

    run(test)


def test_a_reply_of_the_old_discovery_server_counts_until_the_new_one_replies(tmp_path: Path) -> None:
    """SIGHUP moves discovery to an address that is silent at first; a reply with a drain is under way."""

    async def test() -> None:
        async with set_up(tmp_path) as setup:
            silent = Discovery(setup.listed, script=[lost] * 1000)
            await silent.server.start()
            held: list[tuple[bytes, tuple[str, int]]] = []
            setup.discovery.server.on_query = lambda query, address: held.append((query, address))
            async with asyncio.timeout(10):
                while not held:
                    await asyncio.sleep(0.002)
            file = tmp_path / "config.json"
            dns = f"127.0.0.1:{silent.server.port}"
            file.write_text(json.dumps(json.loads(file.read_text()) | {"dns": dns}))
            setup.process.process.send_signal(signal.SIGHUP)
            await silent.wait_for_query()
            setup.discovery.change(*setup.list_with_drain())
            for query, address in held:
                setup.discovery._on_query(query, address)
            told_at_s = await setup.wait_until_told()
            await asyncio.sleep(GRACE_S + 5 * SLACK_S)
            setup.check_drain(told_at_s)
            silent.server.stop()

    run(test)


@pytest.mark.parametrize("stall_s", [0.3, 1.0, 2.5])
def test_after_a_stall_workers_are_told_no_more_time_than_clients_have_left(
    tmp_path: Path, stall_s: float
) -> None:
    """Calls wait unread in the process's sockets while their clients' time runs."""

    async def test() -> None:
        async with set_up(tmp_path) as setup:
            await setup.discovery.wait_for_query()
            await stopped(setup.process)
            stopped_at_s = time.monotonic()
            await asyncio.sleep(stall_s)
            setup.process.process.send_signal(signal.SIGCONT)
            deadline_s = setup.traffic.deadline_s
            resumed_s = time.monotonic()
            async with asyncio.timeout(10):
                workers = (setup.draining, setup.staying)  # nobody drains here: any of them may get the calls
                while not any(at > resumed_s + 0.3 for worker in workers for at in worker.received_at_s):
                    await asyncio.sleep(0.005)
            limits = [*setup.draining.limits_s, *setup.staying.limits_s]
            waited = [one for one in limits if stopped_at_s < deadline_s[one[0]] - CALL_LIMIT_S]
            excess = [(call, limit_s - deadline_s[call]) for call, limit_s in waited]
            late = [(call, round(by_s, 3)) for call, by_s in excess if by_s > DEADLINE_SLACK_S]
            assert not late, late[:5]

    run(test)


def test_a_reply_of_an_earlier_numbering_hides_no_drain(tmp_path: Path) -> None:
    """Events are numbered anew at each start of a router. After a restart a reply of before it, whose serial
    is ahead of the new numbering, was taken; the drain that then bore that serial was taken for known.
    """

    def earlier_numbering(discovery: Discovery, query: bytes) -> bytes:
        return discovery.encode(query, discovery.serial + 1, discovery.workers)

    async def test() -> None:
        async with set_up(tmp_path) as setup:
            setup.discovery.script = [earlier_numbering]
            for _ in range(8):  # replies of the present numbering, as long as nothing changes
                await setup.discovery.wait_for_query()
            setup.discovery.change(*setup.list_with_drain())
            told_at_s = await setup.wait_until_told()
            await asyncio.sleep(GRACE_S + 4 * SLACK_S)
            setup.check_drain(told_at_s)

    run(test)
