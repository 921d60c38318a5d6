"""How far an attempt had come, by what the socket took; and the resolver's replies out of order."""

from __future__ import annotations

import asyncio
import json
from typing import Any, cast

import pytest

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.discovery import DiscoveryClient
from cedarthread.protocols.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.worker_connection import WorkerConnection
from cedarthread.protocols.worker_pool import WorkerConnectionPool
from cedarthread.protocols.worker_requests import PendingPreload
from cedarthread.protocols.workers import WorkerConnections
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.transport.flusher import Flusher
from tests.unit.test_parsers import reply


class Socket:
    """A transport that takes so many bytes and holds the rest."""

    def __init__(self, takes: int) -> None:
        self.takes, self.held, self.aborted, self.closing, self.wrote = takes, 0, False, False, b""

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0  # else 'not paused' would not mean that all has left

    def write(self, data: bytes) -> None:
        self.wrote += data
        self.held += max(0, len(data) - self.takes)

    def get_write_buffer_size(self) -> int:
        return self.held

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default  # no socket under it, as for a pipe

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.aborted = self.closing = True


class Ends(Dispatcher):
    """Keeps how attempts ended."""

    def __init__(self) -> None:
        super().__init__(settings_from_object(SETTINGS), 1)
        self.ends: dict[str, Outcome] = {}
        self.orders: list[PreloadEnded] = []

    def preload_ended(self, event: PreloadEnded) -> None:
        self.orders.append(event)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.ends.setdefault(attempt.call.call_id, result.outcome)


class Bench:
    def __init__(self, takes: int) -> None:
        self.planner = Ends()
        self.runners = WorkerConnections(self.planner.settings, self.planner, 10, Flusher())
        listing = EndpointRecord(
            "s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0
        )
        self.pool = self.runners.pools[1] = WorkerConnectionPool(self.runners, listing)
        self.connection = WorkerConnection(self.pool)
        self.pool.connections.append(self.connection)
        self.socket = Socket(takes)
        self.connection.connection_made(cast(Any, self.socket))

    def send(self, name: str) -> Attempt:
        call = Call(name, 2, 7, self.planner.clock() + 1000.0, b"x" * 60, lambda answer: None)
        attempt = Attempt(call, 0, 1, self.planner.clock())
        self.runners.send(attempt)
        return attempt

    def hear(self, data: bytes) -> None:
        """The runner says so."""
        room = self.connection.get_buffer(-1)
        room[: len(data)] = data
        room.release()
        self.connection.buffer_updated(len(data))

    def flush(self) -> None:
        self.connection.flush()
        if self.socket.held and not self.connection.is_write_paused:
            self.connection.pause_writing()


@pytest.mark.parametrize(
    ("takes", "progress", "outcomes"),
    [
        (10_000, (3, 3), ("reset", "reset")),  # all of it left: both may have run
        (250, (3, 2), ("reset", "connect_failed")),  # the second is not whole: it has never run
        (10, (2, 2), ("reset", "connect_failed")),  # the first may have left since: no proof for it
    ],
)
def test_a_partly_written_attempt_is_not_executed(
    takes: int, progress: tuple[int, int], outcomes: tuple[str, str]
) -> None:
    async def test() -> None:
        bench = Bench(takes)
        first, second = bench.send("a" * 16), bench.send("b" * 16)
        bench.flush()
        assert (first.progress, second.progress) == progress
        third = bench.send("c" * 16) if bench.connection.is_write_paused else None
        bench.flush()
        bench.connection.connection_lost(ConnectionResetError())
        assert tuple(o.value for o in list(bench.planner.ends.values())[:2]) == outcomes
        if third is not None:  # it waited behind them: not a byte of it left
            assert third.progress is Progress.UNWRITTEN
            assert bench.planner.ends["c" * 16] is Outcome.CONNECT_FAILED

    asyncio.run(test())


def test_an_attempt_written_at_last_may_have_executed() -> None:
    async def test() -> None:
        bench = Bench(10)
        attempt = bench.send("a" * 16)
        bench.flush()
        assert attempt.progress is Progress.PARTLY_WRITTEN
        bench.connection.resume_writing()
        bench.connection.connection_lost(None)
        assert bench.planner.ends == {"a" * 16: Outcome.RESET}

    asyncio.run(test())


def test_a_write_that_fails_at_once_has_sent_nothing() -> None:
    async def test() -> None:
        bench = Bench(10_000)
        bench.send("a" * 16)
        bench.socket.write = lambda data: bench.socket.abort()  # type: ignore[method-assign]
        bench.flush()
        bench.connection.connection_lost(BrokenPipeError())
        assert bench.planner.ends == {"a" * 16: Outcome.CONNECT_FAILED}

    asyncio.run(test())


def test_an_abandoned_attempt_is_cancelled_and_its_late_response_ignored() -> None:
    """Answers are matched by attempt: the same call may be sent there again, on another connection alone."""

    async def test() -> None:
        bench = Bench(10_000)
        attempt = bench.send("a" * 16)
        bench.flush()
        bench.runners.cancel(attempt)
        bench.flush()
        assert b'{"op":"CANCEL","id":"aaaaaaaaaaaaaaaa"}\n' in bench.socket.wrote
        assert not bench.connection.can_accept("a" * 16) and bench.connection.can_accept("b" * 16)
        late = b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa","body":""}\n'
        room = bench.connection.get_buffer(-1)
        room[: len(late)] = late
        room.release()
        bench.connection.buffer_updated(len(late))
        assert bench.planner.ends == {}  # till the runner must have read the CANCEL
        while not bench.planner.ends:
            await asyncio.sleep(0)
        assert bench.planner.ends == {"a" * 16: Outcome.CANCELLED}

    asyncio.run(test())


def test_a_worker_that_reads_nothing_is_cancelled_by_closing() -> None:
    async def test() -> None:
        bench = Bench(10)
        attempt = bench.send("a" * 16)
        bench.flush()
        bench.runners.cancel(attempt)
        assert bench.planner.ends == {}  # till it has had the time to read on, and with it the CANCEL
        while not bench.planner.ends:
            await asyncio.sleep(0)
        assert bench.socket.aborted and bench.planner.ends == {"a" * 16: Outcome.CANCELLED}

    asyncio.run(test())


def test_a_line_that_is_no_response_ends_its_connection() -> None:
    async def test() -> None:
        for line in (b"no json\n", b"[1]\n", b"\xff\n"):
            bench = Bench(10_000)
            assert bench.connection.on_data(memoryview(b"")) == 0
            room = bench.connection.get_buffer(-1)
            room[: len(line)] = line
            room.release()
            bench.connection.buffer.advance(len(line))
            with bench.connection.buffer.peek() as data:
                assert bench.connection.on_data(data) is None

    asyncio.run(test())


def test_only_replies_to_queries_with_a_newer_serial_are_applied() -> None:
    """Replies get lost, overtake each other and come twice; one that is absent from a whole list is gone."""

    async def test() -> None:
        told: list[int] = []
        resolver = DiscoveryClient(lambda serial, found: told.append(serial))
        resolver.datagram_received(reply(serial=8), None)  # nobody asked with this number
        resolver._outstanding_ids.append(7)
        for serial in (9, 8, 9, 10):
            resolver.datagram_received(reply(serial=serial), None)
        resolver.datagram_received(reply(0x8600, serial=11), None)
        resolver.datagram_received(b"garbage", None)
        assert told == [9, 10]
        roster = EndpointList(settings_from_object(SETTINGS))
        entry = EndpointRecord(
            "s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0
        )
        first = roster.apply_update(1, [entry], True)
        assert first is not None and first.kind is EndpointUpdateKind.CACHED
        gone = roster.apply_update(2, [], True)
        assert gone is not None and [w.state for w in gone.endpoints] == [EndpointState.REMOVED]
        assert roster.apply_update(2, [entry], True) is None

    asyncio.run(test())


def test_preloads_are_sent_and_answered_under_their_message_id() -> None:
    async def test() -> None:
        bench = Bench(10_000)
        bench.runners.preload(1, 7, 2)
        bench.runners.preload(1, 8, 1)
        bench.runners.preload(2, 9, 1)  # no such runner
        bench.runners.unload(1, 7)
        bench.flush()
        lines = bench.socket.wrote.splitlines()
        assert json.loads(lines[0]) == {
            "op": "LOAD",
            "id": "load-1",
            "fields": {"thing": f"{7:016x}", "pods": 2},
        }
        assert json.loads(lines[-1]) == {"op": "UNLOAD", "id": f"{7:016x}"}
        answer = b'{"op":"HIT","id":"load-1","fields":{"pods":"2"}}\n'
        room = bench.connection.get_buffer(-1)
        room[: len(answer)] = answer
        room.release()
        bench.connection.buffer_updated(len(answer))
        bench.connection.connection_lost(None)
        assert [(e.function_id, e.outcome, e.instances) for e in bench.planner.orders] == [
            (9, Outcome.CONNECT_FAILED, 0),
            (7, Outcome.OK, 2),
            (8, Outcome.RESET, 0),
        ]

    asyncio.run(test())


@pytest.mark.parametrize(
    "line",
    [
        b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa","body":"%%%"}\n',
        b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa"}\n',
        b'{"op":"WHAT","id":"aaaaaaaaaaaaaaaa"}\n',
        b'{"op":"HIT","body":""}\n',
    ],
)
def test_a_malformed_response_fails_its_connection_and_each_attempt_by_its_progress(line: bytes) -> None:
    async def test() -> None:
        bench = Bench(10_000)
        bench.send("a" * 16)
        bench.flush()
        bench.send("b" * 16)  # not a byte of it has left
        bench.hear(line)
        assert bench.socket.aborted
        bench.connection.connection_lost(None)
        assert bench.planner.ends == {"a" * 16: Outcome.RESET, "b" * 16: Outcome.CONNECT_FAILED}

    asyncio.run(test())


def test_duplicate_responses_and_unknown_ids_are_ignored() -> None:
    async def test() -> None:
        bench = Bench(10_000)
        bench.send("a" * 16)
        bench.flush()
        full = b'{"op":"SHED","id":"aaaaaaaaaaaaaaaa"}\n'
        bench.hear(b'{"op":"HIT","id":"0000000000000000","body":""}\n' + full + full)
        assert bench.planner.ends == {"a" * 16: Outcome.OVERLOADED} and not bench.socket.aborted
        # A copy that comes late must not end a second attempt of the call.
        assert not bench.connection.can_accept("a" * 16) and bench.connection.can_accept("b" * 16)

    asyncio.run(test())


def test_an_endless_response_is_aborted() -> None:
    async def test() -> None:
        bench = Bench(10_000)
        bench.send("a" * 16)
        bench.flush()
        for _ in range(200):
            if not bench.socket.aborted:
                bench.hear(b"x" * len(bench.connection.get_buffer(-1)))
        assert bench.socket.aborted

    asyncio.run(test())


def test_discovery_changes_its_address_and_serials_go_on() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        told: list[int] = []

        class Server(asyncio.DatagramProtocol):
            def __init__(self, serial: int) -> None:
                self.serial, self.asked = serial, asyncio.Event()

            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast(asyncio.DatagramTransport, transport)

            def datagram_received(self, data: bytes, addr: Any) -> None:
                self.asked.set()
                self.transport.sendto(data[:2] + reply(serial=self.serial)[2:], addr)

        servers = [Server(serial) for serial in (9, 8, 10)]
        resolver = DiscoveryClient(lambda serial, found: told.append(serial))
        for server in servers:
            await loop.create_datagram_endpoint(lambda s=server: s, local_addr=("127.0.0.1", 0))  # type: ignore[misc]
            await resolver.connect(*server.transport.get_extra_info("sockname"))
            async with asyncio.timeout(10):
                await server.asked.wait()
                while resolver.last_usable_reply_at == 0.0 or (
                    server.serial > 8 and server.serial not in told
                ):
                    await asyncio.sleep(0)
        resolver.stop()
        for server in servers:
            server.transport.close()
        assert told == [9, 10]

    asyncio.run(test())


def test_what_is_queued_for_a_slow_worker_past_its_write_deadline_is_withdrawn() -> None:
    """An order to load after half a second, and a keyed call's repeat after its window."""

    async def test() -> None:
        bench = Bench(10)
        bench.send("a" * 16)
        bench.flush()  # the runner reads no further: what comes now waits
        late = bench.send("b" * 16)
        late.write_deadline_ms = bench.planner.clock() - 1.0
        bench.runners.preload(1, 7, 1)
        (order,) = [
            line.request for line in bench.connection.lines.queued if isinstance(line.request, PendingPreload)
        ]
        bench.runners.preloads._on_unsent(order, bench.connection)
        assert [event.outcome for event in bench.planner.orders] == [Outcome.CONNECT_FAILED]
        wrote = bench.socket.wrote
        bench.socket.held = 0
        bench.connection.resume_writing()
        assert bench.socket.wrote == wrote and bench.planner.ends["b" * 16] is Outcome.CONNECT_FAILED

    asyncio.run(test())


def test_after_a_drain_update_what_a_slow_worker_has_not_read_ends_with_its_connection() -> None:
    async def test() -> None:
        bench = Bench(10)
        bench.send("a" * 16)
        bench.flush()
        waiting = list(bench.connection.lines.buffered)
        bench.pool.retire(close_now=False)
        assert not bench.socket.aborted
        bench.connection.abort_if_unwritten(waiting)
        assert bench.socket.aborted

    asyncio.run(test())
