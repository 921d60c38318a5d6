"""A router process under constant load, with two workers and a discovery server that may drain one of them.

``DrainSetup.check_drain`` checks the requirement under test: no call reaches a draining worker after the
grace period (``stop-sending-within``), which starts when the router is notified of the drain.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from cedarthread.testing.fakes.discovery_server import FakeDiscoveryServer, ListedWorker, encode_reply
from cedarthread.testing.fakes.scripted import ScriptedWorker, pack_call, serve_uppercase
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration.async_router_process import RouterProcess, router_process

if TYPE_CHECKING:
    from pathlib import Path

GRACE_PERIOD_S = SETTINGS["obligations"]["stop-sending-within"] / 1000.0
# The platform's tolerance beyond the grace period, plus the delay with which the test may read a call.
TOLERANCE_S = 0.05 + 0.05
CALL_PERIOD_S = 0.004
CALL_TIMEOUT_S = 3.0
WAIT_TIMEOUT_S = 10
QUERY_HEADER_BYTES = 12

# Returns the reply datagram to a query, or None for a lost reply.
ReplyEncoder = Callable[["RecordingDiscovery", bytes], bytes | None]


def no_reply(_: RecordingDiscovery, __: bytes) -> None:
    """Send no reply, as if it were lost in the network."""


def truncated_reply(discovery: RecordingDiscovery, query: bytes) -> bytes:
    """Return a reply that is truncated within its first record."""
    return discovery.encode(query, discovery.serial, discovery.workers)[: len(query) + 20]


def servfail_reply(_: RecordingDiscovery, query: bytes) -> bytes:
    """Return a reply with the response code SERVFAIL and without records."""
    return query[:2] + b"\x80\x02" + query[4:QUERY_HEADER_BYTES] + query[QUERY_HEADER_BYTES:]


def previous_reply(discovery: RecordingDiscovery, query: bytes) -> bytes:
    """Return a complete reply with the list before the last change."""
    return discovery.encode(query, *discovery.previous)


def current_reply(discovery: RecordingDiscovery, query: bytes) -> bytes:
    """Return a complete reply with the current list."""
    return discovery.encode(query, discovery.serial, discovery.workers)


class _QueryServer(FakeDiscoveryServer):
    """A discovery server that passes each query to a function, which tests may replace."""

    def __init__(self, on_query: Callable[[bytes, tuple[str, int]], None]) -> None:
        super().__init__(lambda: None, "room-a")
        self.on_query = on_query

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.on_query(data, addr)


class Listing(NamedTuple):
    """The workers that a discovery server lists, and the serial of that list."""

    serial: int
    workers: tuple[ListedWorker, ...]


@dataclass
class RecordingDiscovery:
    """A discovery server that records when it first sends a change to the router.

    Attributes:
        workers: The workers that are listed.
        serial: The serial of the list.
        previous: The list before the last change.
        script: The replies to the next queries, in order; replies after them are valid.
        changed_at_s: When the list last changed; 0 before the first change.
        notified_at_s: When a reply with the change was first sent, usable or not; 0 before then.
        queried: Set at each query.
        query_count: The number of queries so far.
    """

    workers: tuple[ListedWorker, ...]
    serial: int = 2
    previous: Listing = field(default_factory=lambda: Listing(2, ()))
    script: list[ReplyEncoder] = field(default_factory=list)
    changed_at_s: float = 0.0
    notified_at_s: float = 0.0
    queried: asyncio.Event = field(default_factory=asyncio.Event)
    query_count: int = 0

    def __post_init__(self) -> None:
        self.server = _QueryServer(self.on_query)

    @staticmethod
    def encode(query: bytes, serial: int, workers: tuple[ListedWorker, ...]) -> bytes:
        """Return the reply to a query that lists these workers."""
        return encode_reply(query, serial, workers, "room-a")

    def on_query(self, query: bytes, address: tuple[str, int]) -> None:
        """Reply to a query as the script says."""
        self.query_count += 1
        reply = self.script.pop(0) if self.script else current_reply
        datagram = reply(self, query)
        if (
            self.changed_at_s
            and not self.notified_at_s
            and reply is not previous_reply
            and reply is not servfail_reply
        ):
            self.notified_at_s = time.monotonic()
        if datagram is not None:
            self.server._send(datagram, address)
        self.queried.set()

    async def wait_for_query(self) -> None:
        """Wait for the next query."""
        self.queried.clear()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self.queried.wait()

    def change_list(self, *workers: ListedWorker, script: Sequence[ReplyEncoder] = ()) -> None:
        """List these workers from now on, and reply to the next queries as the script says."""
        self.previous = Listing(self.serial, self.workers)
        self.serial += 1
        self.workers = workers
        self.script = list(script)
        self.changed_at_s = time.monotonic()


class AttemptDeadline(NamedTuple):
    """The time until which a worker may run a call, from the timeout that the router sent with the call."""

    call_id: str
    deadline_s: float


class RecordingWorker(ScriptedWorker):
    """A worker that records the arrival time and the deadline of each call."""

    def __init__(self) -> None:
        super().__init__(self._record_and_serve)
        self.received_at_s: list[float] = []
        self.deadlines: list[AttemptDeadline] = []

    def _record_and_serve(self, _: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        now_s = time.monotonic()
        self.received_at_s.append(now_s)
        self.deadlines.append(AttemptDeadline(message["id"], now_s + message["fields"]["max"] / 1000.0))
        return serve_uppercase(self, message)

    def received_after(self, at_s: float) -> list[float]:
        """Return, for each call that arrived after a time, how many seconds later it arrived."""
        return [
            round(received_at_s - at_s, 3) for received_at_s in self.received_at_s if received_at_s > at_s
        ]


class TrafficGenerator:
    """A client that sends calls of 40 functions at a fixed rate and discards the responses.

    Attributes:
        deadline_s: The client's deadline of each call, by the call's id.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.numbers = itertools.count(1)
        self.deadline_s: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Connect, and send calls until ``stop``."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._tasks = [asyncio.create_task(self._read(reader)), asyncio.create_task(self._send())]

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while await reader.read(65536):
            pass

    async def _send(self) -> None:
        while True:
            number = next(self.numbers)
            self.deadline_s[f"{number:016x}"] = time.monotonic() + CALL_TIMEOUT_S
            limit = f"{1000.0 * CALL_TIMEOUT_S:.0f}"
            self.writer.write(pack_call(number, "check", b"x", item=f"{number % 40:016x}", limit=limit))
            await asyncio.sleep(CALL_PERIOD_S)

    def stop(self) -> None:
        """Stop sending, and abort the connection."""
        for task in self._tasks:
            task.cancel()
        self.writer.transport.abort()


@dataclass
class DrainSetup:
    """A router process under load, its discovery server, a worker that may drain, and one that never does."""

    process: RouterProcess
    discovery: RecordingDiscovery
    draining_worker: RecordingWorker
    ready_worker: RecordingWorker
    traffic: TrafficGenerator

    @property
    def listed(self) -> tuple[ListedWorker, ListedWorker]:
        """The workers as listed while neither drains."""
        return list_without_drain(self.draining_worker, self.ready_worker)

    def list_with_drain(self) -> tuple[ListedWorker, ListedWorker]:
        """Return the workers as listed while the first one drains."""
        draining_worker, ready_worker = self.listed
        return ListedWorker(draining_worker.name, draining_worker.port, is_draining=True), ready_worker

    async def wait_for_calls(self) -> None:
        """Wait until each worker has received five calls."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(self.draining_worker.received_at_s) < 5 or len(self.ready_worker.received_at_s) < 5:
                await asyncio.sleep(0.005)

    async def wait_until_notified(self) -> float:
        """Wait until the discovery server has sent the change; return the time at which it did."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not self.discovery.notified_at_s:
                await asyncio.sleep(0.002)
        return self.discovery.notified_at_s

    def check_drain(self, notified_at_s: float) -> None:
        """Fail if a call has reached the draining worker after the grace period since the notification."""
        late = self.draining_worker.received_after(notified_at_s + GRACE_PERIOD_S + TOLERANCE_S)
        assert not late, (
            f"{len(late)} calls reached the draining worker too late, "
            f"the last one {GRACE_PERIOD_S + TOLERANCE_S + late[-1]:.3f} s after the notification"
        )


def list_without_drain(
    draining_worker: ScriptedWorker, ready_worker: ScriptedWorker
) -> tuple[ListedWorker, ListedWorker]:
    """Return both workers as listed while neither drains."""
    return ListedWorker("s-00000001", draining_worker.port), ListedWorker("s-00000002", ready_worker.port)


@asynccontextmanager
async def drain_setup(folder: Path) -> AsyncIterator[DrainSetup]:
    """Run the processes and servers until the end of the block; yield once both workers receive calls."""
    draining_worker = RecordingWorker()
    ready_worker = RecordingWorker()
    await draining_worker.start()
    await ready_worker.start()
    discovery = RecordingDiscovery(list_without_drain(draining_worker, ready_worker))
    await discovery.server.start()
    limits = SETTINGS["limits"] | {"most-held": 1000}
    async with router_process(
        folder, dns=f"127.0.0.1:{discovery.server.port}", settings=SETTINGS | {"limits": limits}
    ) as process:
        await process.wait_for_log("endpoints_updated serial=2 ")
        traffic = TrafficGenerator(process.port)
        await traffic.start()
        setup = DrainSetup(process, discovery, draining_worker, ready_worker, traffic)
        await setup.wait_for_calls()
        try:
            yield setup
        finally:
            traffic.stop()
    discovery.server.stop()
    draining_worker.stop()
    ready_worker.stop()
