"""How far an attempt had come, by what the socket took; and the resolver's replies out of order."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import weakref
from typing import TYPE_CHECKING, Any, cast

import pytest

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState, EndpointUpdateKind
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.discovery.client import DiscoveryClient
from cedarthread.protocols.discovery.endpoint_list import EndpointList, EndpointRecord
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.connections import WorkerConnections
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.protocols.worker.requests import PendingPreload
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.transport.flusher import Flusher
from tests.unit.protocols.test_parsers import reply

if TYPE_CHECKING:
    from cedarthread.model.events import PreloadEnded


class Socket:
    """A transport that takes so many bytes in all and holds the rest."""

    def __init__(self, takes: int) -> None:
        self.takes, self.held, self.aborted, self.closing, self.wrote = takes, 0, False, False, b""

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0  # else 'not paused' would not mean that all has left

    def write(self, data: bytes) -> None:
        self.wrote += data
        taken = min(self.takes, len(data))
        self.takes -= taken
        self.held += len(data) - taken

    def get_write_buffer_size(self) -> int:
        return self.held

    def get_extra_info(self, name: str, default: object = None) -> object:
        return default  # no socket under it, as for a pipe

    def is_closing(self) -> bool:
        return self.closing

    def abort(self) -> None:
        self.aborted = self.closing = True


class RecordingDispatcher(Dispatcher):
    """Keeps how attempts ended."""

    def __init__(self) -> None:
        super().__init__(settings_from_object(SETTINGS), 1)
        self.outcomes: dict[str, Outcome] = {}
        self.preloads: list[PreloadEnded] = []

    def preload_ended(self, event: PreloadEnded) -> None:
        self.preloads.append(event)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.outcomes.setdefault(attempt.call.call_id, result.outcome)


class Harness:
    def __init__(self, takes: int) -> None:
        self.dispatcher = RecordingDispatcher()
        self.workers = WorkerConnections(self.dispatcher.settings, self.dispatcher, 10, Flusher())
        endpoint = EndpointRecord(
            "s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0
        )
        self.pool = self.workers.pools[1] = WorkerConnectionPool(self.workers, endpoint)
        self.connection = WorkerConnection(self.pool)
        self.pool.connections.append(self.connection)
        self.socket = Socket(takes)
        self.connection.connection_made(cast("Any", self.socket))

    def send(self, name: str) -> Attempt:
        call = Call(name, 2, 7, self.dispatcher.clock() + 1000.0, b"x" * 60, lambda answer: None)
        attempt = Attempt(call, 0, 1, self.dispatcher.clock())
        self.workers.send(attempt)
        return attempt

    def receive(self, data: bytes) -> None:
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
        (10, (2, 1), ("connect_failed", "connect_failed")),  # the second is not handed to the transport
    ],
)
def test_a_partly_written_attempt_is_not_executed(
    takes: int, progress: tuple[int, int], outcomes: tuple[str, str]
) -> None:
    async def test() -> None:
        harness = Harness(takes)
        first, second = harness.send("a" * 16), harness.send("b" * 16)
        harness.flush()
        assert (first.progress, second.progress) == progress
        third = harness.send("c" * 16) if harness.connection.is_write_paused else None
        harness.flush()
        harness.connection.connection_lost(ConnectionResetError())
        assert tuple(o.value for o in list(harness.dispatcher.outcomes.values())[:2]) == outcomes
        if third is not None:  # it waited behind them: not a byte of it left
            assert third.progress is Progress.UNWRITTEN
            assert harness.dispatcher.outcomes["c" * 16] is Outcome.CONNECT_FAILED

    asyncio.run(test())


def test_an_attempt_written_at_last_may_have_executed() -> None:
    async def test() -> None:
        harness = Harness(10)
        attempt = harness.send("a" * 16)
        harness.flush()
        assert attempt.progress is Progress.PARTLY_WRITTEN
        harness.connection.resume_writing()
        harness.connection.connection_lost(None)
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.RESET}

    asyncio.run(test())


def test_a_write_that_fails_at_once_has_sent_nothing() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        harness.send("a" * 16)
        harness.socket.write = lambda data: harness.socket.abort()  # type: ignore[method-assign]
        harness.flush()
        harness.connection.connection_lost(BrokenPipeError())
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.CONNECT_FAILED}

    asyncio.run(test())


def test_an_abandoned_attempt_is_cancelled_and_its_late_response_ignored() -> None:
    """Answers are matched by attempt: the same call may be sent there again, on another connection alone."""

    async def test() -> None:
        harness = Harness(10_000)
        attempt = harness.send("a" * 16)
        harness.flush()
        harness.workers.cancel(attempt)
        harness.flush()
        assert b'{"op":"CANCEL","id":"aaaaaaaaaaaaaaaa"}\n' in harness.socket.wrote
        assert not harness.connection.can_accept("a" * 16)
        assert harness.connection.can_accept("b" * 16)
        late = b'{"op":"HIT","id":"aaaaaaaaaaaaaaaa","body":""}\n'
        room = harness.connection.get_buffer(-1)
        room[: len(late)] = late
        room.release()
        harness.connection.buffer_updated(len(late))
        assert harness.dispatcher.outcomes == {}  # till the runner must have read the CANCEL
        while not harness.dispatcher.outcomes:
            await asyncio.sleep(0)
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.CANCELLED}

    asyncio.run(test())


def test_a_worker_that_reads_nothing_is_cancelled_by_closing() -> None:
    async def test() -> None:
        harness = Harness(10)
        attempt = harness.send("a" * 16)
        harness.flush()
        harness.workers.cancel(attempt)
        assert (
            harness.dispatcher.outcomes == {}
        )  # till it has had the time to read on, and with it the CANCEL
        while not harness.dispatcher.outcomes:
            await asyncio.sleep(0)
        assert harness.socket.aborted
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.CANCELLED}

    asyncio.run(test())


def test_a_line_that_is_no_response_ends_its_connection() -> None:
    async def test() -> None:
        for line in (b"no json\n", b"[1]\n", b"\xff\n"):
            harness = Harness(10_000)
            assert harness.connection.on_data(memoryview(b"")) == 0
            room = harness.connection.get_buffer(-1)
            room[: len(line)] = line
            room.release()
            harness.connection.buffer.advance(len(line))
            with harness.connection.buffer.peek() as data:
                assert harness.connection.on_data(data) is None

    asyncio.run(test())


def test_only_replies_to_queries_with_a_newer_serial_are_applied() -> None:
    """Replies get lost, overtake each other and come twice; one that is absent from a whole list is gone."""

    async def test() -> None:
        told: list[int] = []
        resolver = DiscoveryClient(lambda serial, found: told.append(serial))
        resolver.datagram_received(reply(serial=8), None)  # nobody asked with this number
        for query_id in (7, 8):
            resolver.queries.on_sent(query_id, 0.0)

        def replies(*serials: int, query_id: int = 7) -> None:
            for serial in serials:
                resolver.datagram_received(query_id.to_bytes(2, "big") + reply(serial=serial)[2:], None)

        replies(9, 9, 9)
        assert told == [], "one query alone confirms no list, however often its reply comes"
        replies(9, query_id=8)
        replies(8)
        replies(8, query_id=8)
        assert told == [9], "a lower serial is old news"
        replies(9)
        replies(10)
        replies(10, query_id=8)
        resolver.datagram_received(reply(0x8600, serial=11), None)
        resolver.datagram_received(b"garbage", None)
        assert told == [9, 10]
        roster = EndpointList(settings_from_object(SETTINGS))
        entry = EndpointRecord(
            "s-00000001", "127.0.0.1", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0
        )
        first = roster.apply_update(1, [entry], is_snapshot=True)
        assert first is not None
        assert first.kind is EndpointUpdateKind.CACHED
        gone = roster.apply_update(2, [], is_snapshot=True)
        assert gone is not None
        assert [w.state for w in gone.endpoints] == [EndpointState.REMOVED]
        assert roster.apply_update(2, [entry], is_snapshot=True) is None

    asyncio.run(test())


def test_preloads_are_sent_and_answered_under_their_message_id() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        harness.workers.preload(1, 7, 2)
        harness.workers.preload(1, 8, 1)
        harness.workers.preload(2, 9, 1)  # no such runner
        harness.workers.unload(1, 7)
        harness.flush()
        lines = harness.socket.wrote.splitlines()
        assert json.loads(lines[0]) == {
            "op": "LOAD",
            "id": "load-1",
            "fields": {"thing": f"{7:016x}", "pods": 2},
        }
        assert json.loads(lines[-1]) == {"op": "UNLOAD", "id": f"{7:016x}"}
        answer = b'{"op":"HIT","id":"load-1","fields":{"pods":"2"}}\n'
        room = harness.connection.get_buffer(-1)
        room[: len(answer)] = answer
        room.release()
        harness.connection.buffer_updated(len(answer))
        harness.connection.connection_lost(None)
        assert [(e.function_id, e.outcome, e.instances) for e in harness.dispatcher.preloads] == [
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
        harness = Harness(10_000)
        harness.send("a" * 16)
        harness.flush()
        harness.send("b" * 16)  # not a byte of it has left
        harness.receive(line)
        assert harness.socket.aborted
        harness.connection.connection_lost(None)
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.RESET, "b" * 16: Outcome.CONNECT_FAILED}

    asyncio.run(test())


def test_duplicate_responses_and_unknown_ids_are_ignored() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        harness.send("a" * 16)
        harness.flush()
        full = b'{"op":"SHED","id":"aaaaaaaaaaaaaaaa"}\n'
        harness.receive(b'{"op":"HIT","id":"0000000000000000","body":""}\n' + full + full)
        assert harness.dispatcher.outcomes == {"a" * 16: Outcome.OVERLOADED}
        assert not harness.socket.aborted
        # A copy that comes late must not end a second attempt of the call.
        assert not harness.connection.can_accept("a" * 16)
        assert harness.connection.can_accept("b" * 16)

    asyncio.run(test())


def test_an_endless_response_is_aborted() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        harness.send("a" * 16)
        harness.flush()
        for _ in range(200):
            if not harness.socket.aborted:
                harness.receive(b"x" * len(harness.connection.get_buffer(-1)))
        assert harness.socket.aborted

    asyncio.run(test())


def test_discovery_changes_its_address_and_serials_go_on() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        told: list[int] = []

        class Server(asyncio.DatagramProtocol):
            def __init__(self, serial: int) -> None:
                self.serial, self.asked = serial, asyncio.Event()

            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                self.transport = cast("asyncio.DatagramTransport", transport)

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
        harness = Harness(10)
        harness.send("a" * 16)
        harness.flush()  # the runner reads no further: what comes now waits
        late = harness.send("b" * 16)
        late.write_deadline_ms = harness.dispatcher.clock() - 1.0
        harness.workers.preload(1, 7, 1)
        (order,) = [
            line.request
            for line in harness.connection.lines.queued
            if isinstance(line.request, PendingPreload)
        ]
        harness.workers.preloads._on_unsent(order, harness.connection)
        assert [event.outcome for event in harness.dispatcher.preloads] == [Outcome.CONNECT_FAILED]
        wrote = harness.socket.wrote
        harness.socket.held = 0
        harness.connection.resume_writing()
        assert harness.socket.wrote == wrote
        assert harness.dispatcher.outcomes["b" * 16] is Outcome.CONNECT_FAILED

    asyncio.run(test())


def test_after_a_drain_update_what_a_slow_worker_has_not_read_ends_with_its_connection() -> None:
    async def test() -> None:
        harness = Harness(10)
        harness.send("a" * 16)
        harness.flush()
        waiting = list(harness.connection.lines.buffered)
        harness.pool.retire(close_now=False)
        assert not harness.socket.aborted
        harness.connection.abort_if_unwritten(waiting)
        assert harness.socket.aborted

    asyncio.run(test())


def test_a_failed_connect_leaves_nothing_for_the_garbage_collector(caplog: pytest.LogCaptureFixture) -> None:
    """Cycles wait for the last generation, which hardly ever runs: on a long day they held 26 MB."""

    async def connect() -> weakref.ref[WorkerConnection]:
        pool = Harness(0).pool
        pool.connections.clear()
        connection = pool.acquire("a")
        assert connection is not None
        remaining = weakref.ref(connection)
        del connection
        await asyncio.wait(pool.connecting.values())
        await asyncio.sleep(0)  # the task's callbacks
        assert not pool.connections
        assert not pool.connecting
        return remaining

    caplog.set_level(logging.INFO)
    gc.collect()
    gc.disable()
    try:
        remaining = asyncio.run(connect())
        assert [record.name for record in caplog.records] == ["cedarthread.protocols.worker.pool"]
        caplog.clear()
        assert remaining() is None
    finally:
        gc.enable()


def test_a_call_says_what_time_is_left_when_its_first_byte_leaves() -> None:
    """A connection came up late, or the process stood still: the worker was told the time of the choice."""

    async def test() -> None:
        harness = Harness(10_000)
        now_ms = harness.dispatcher.clock()
        harness.dispatcher.context.clock = lambda: now_ms
        harness.send("a" * 16)
        now_ms += 400.0
        harness.flush()
        assert b'"max":600' in harness.socket.wrote

    asyncio.run(test())


def test_an_attempt_whose_deadline_has_passed_or_whose_worker_drains_is_not_written() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        now_ms = harness.dispatcher.clock()
        harness.dispatcher.context.clock = lambda: now_ms
        harness.send("a" * 16)
        now_ms += 1000.0
        harness.flush()
        harness.send("b" * 16)
        harness.workers.preload(1, 7, 1)
        harness.dispatcher.worker_states_changed({1: EndpointState.DRAINING})
        harness.flush()
        assert harness.socket.wrote == b""
        assert set(harness.dispatcher.outcomes.values()) == {Outcome.CONNECT_FAILED}
        assert [event.outcome for event in harness.dispatcher.preloads] == [Outcome.CONNECT_FAILED]

    asyncio.run(test())


def test_while_sending_is_held_back_only_cancels_are_written() -> None:
    async def test() -> None:
        harness = Harness(10_000)
        first = harness.send("a" * 16)
        harness.flush()
        harness.workers.may_send = lambda: False
        harness.send("b" * 16)
        harness.workers.cancel(first)
        harness.flush()
        assert harness.socket.wrote.endswith(b'{"op":"CANCEL","id":"aaaaaaaaaaaaaaaa"}\n')
        assert b"b" * 16 not in harness.socket.wrote
        harness.workers.may_send = lambda: True
        harness.workers.flush_held()
        assert b"b" * 16 in harness.socket.wrote

    asyncio.run(test())
