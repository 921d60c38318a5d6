"""Targets that are connections and exchanges: bytes in any cut come to the same, and each thing ends once."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import math
import random
import struct
from pathlib import Path
from typing import Any, cast

import msgpack as reference

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, Progress
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import Endpoint, EndpointState, EndpointUpdate, EndpointUpdateKind
from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome
from cedarthread.protocols.discovery import DiscoveryClient
from cedarthread.protocols.endpoint_list import EndpointList, EndpointRecord, worker_id_from_name
from cedarthread.protocols.invoke_config import InvokeConfig
from cedarthread.protocols.invoke_connection import InvokeConnection
from cedarthread.protocols.invoke_server import InvokeServer
from cedarthread.protocols.platform_connection import MAX_MESSAGE_BYTES, PlatformConnection
from cedarthread.protocols.platform_server import PlatformServer
from cedarthread.protocols.spiffe import Identity
from cedarthread.protocols.worker_codec import parse_preload_response
from cedarthread.protocols.worker_connection import WorkerConnection
from cedarthread.protocols.worker_pool import WorkerConnectionPool
from cedarthread.protocols.worker_preloads import PreloadRequests
from cedarthread.protocols.worker_requests import PendingPreload
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as drawn_settings
from cedarthread.testing.fuzzing.http_reply import read_reply
from cedarthread.testing.fuzzing.parser_targets import (
    EDGE_HEADERS,
    generate_reply,
    generate_request,
    generate_value,
    pack_reply,
    require,
)
from cedarthread.testing.fuzzing.target import EDGE_STRINGS, Finding, FuzzedDataProvider, Target, mutate_bytes
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop, run_virtual
from cedarthread.transport.flusher import Flusher

FUNCTION = "00000000000000a1"


class EchoTransport:
    """A way to the workers that serves each call with its own body, in the next turn."""

    def __init__(self, planner: Dispatcher, loop: VirtualLoop) -> None:
        self.dispatcher, self.loop, self.sent_count = planner, loop, 0

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        self.sent_count += 1
        attempt.progress = Progress.WRITTEN
        self.loop.call_soon(
            self.dispatcher.attempt_ended, attempt, AttemptResult(Outcome.OK, attempt.call.body)
        )

    def refresh_progress(self, attempt: Attempt) -> None:
        """Nothing to look at."""

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """All has left."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Not used here."""

    def unload(self, worker_id: int, function_id: int) -> None:
        """Not used here."""

    def close_idle_connections(self, worker_id: int) -> None:
        """Not used here."""


def dispatcher_with_echo(loop: VirtualLoop) -> tuple[Dispatcher, Flusher, EchoTransport]:
    """A planner whose calls are all served."""
    planner = Dispatcher(settings_from_object(drawn_settings.settings()), 1, clock=loop.unix_ms)
    flusher = Flusher()
    planner.flush_output = flusher.flush_all
    echo = EchoTransport(planner, loop)
    planner.connect_workers(echo)
    listed = tuple(Endpoint(n, 0, 0, 0, EndpointState.READY, None, None) for n in (1, 2))
    planner.endpoints_changed(EndpointUpdate(EndpointUpdateKind.CACHED, 1, listed))
    return planner, flusher, echo


def cut_into_pieces(data: bytes, seed: int) -> list[bytes]:
    """The data in cuts that follow from the seed; seed 0 leaves it whole."""
    if seed == 0:
        return [data]
    rng, out, at = random.Random(seed), [], 0
    while at < len(data):
        size = rng.choice((1, 2, 7, 40, 1000))
        out.append(data[at : at + size])
        at += size
    return out


async def feed(transport: MemoryTransport, data: bytes, seed: int) -> None:
    """Send it in pieces, the loop running between them."""
    for piece in cut_into_pieces(data, seed):
        transport.peer_send(piece)
        await asyncio.sleep(0)
    for _ in range(40):
        await asyncio.sleep(0.01)


class StreamTarget(Target):
    """A connection. The input's first byte says how the rest is cut; whole or cut, the same comes out."""

    line_budget = (200_000, 3000)
    byte_budget = (4 * 2**20, 400)
    test_runs = 150

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """What comes out, in a form that can be compared."""
        raise NotImplementedError

    def check(self, data: bytes) -> None:
        """The same whole and cut."""
        seen: list[Any] = []
        for seed in (0, 1 + data[0] if data else 1):

            async def work(loop: VirtualLoop, seed: int = seed) -> None:
                seen.append(await self.serve(loop, data[1:], seed))

            failures = run_virtual(work).failures
            if failures:
                raise Finding(failures[0])
        require(seen[0] == seen[1], f"whole {str(seen[0])[:150]}, cut {str(seen[1])[:150]}")

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Mostly what stands in it; now and then the cut."""
        if not data or rng.random() < 0.1:
            return rng.randbytes(1) + data[1:]
        return data[:1] + self.mutate_stream(data[1:], rng)

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """The stream, changed."""
        return mutate_bytes(data, rng)


def generate_message(rng: random.Random, number: int) -> Any:
    """One message of the platform's protocol, good or odd."""
    klass = rng.choice(("check", "revise", "confirm", "none"))
    fields = {"txn": f"{number:016x}", "limit": "2000", "item": FUNCTION, "unique": f"u{number}"}
    if rng.random() < 0.5:
        name = rng.choice(("txn", "limit", "item", "props", "props", "second", "unique", "extra"))
        figures = (
            "memory_mb:512;lanes:2",
            "lanes:nan",
            "lanes:1e309",
            "lanes:-0",
            "lanes:1;lanes:2",
            "lanes:5e-324",
        )
        fields[name] = rng.choice(figures if name == "props" else EDGE_STRINGS)[:60]
        if rng.random() < 0.3:
            del fields[name]
    body: Any = rng.choice((b"", b"body", rng.randbytes(40), "text", b"z" * 17_000))
    match rng.randrange(12):
        case 0:
            return [0, number, "check", [{}]]
        case 1:
            return [2, "interrupt", [rng.randrange(1, number + 1)]]
        case 2:
            return [2, "other", [1]]
        case 3:
            return [0, number, klass, [fields]]
        case 4:
            return [0, rng.choice((number, 0, -1, 2**64 - 1, True, 1.5)), klass, [fields, body]]
        case 5:
            return generate_value(rng, 3)
    return [0, number, klass, [fields, body]]


class PlatformTarget(StreamTarget):
    """A platform client's whole connection."""

    name = "platform"
    modules = (
        "cedarthread.protocols.platform_codec",
        "cedarthread.protocols.platform_connection",
        "cedarthread.protocols.platform_server",
        "cedarthread.transport.connection",
        "cedarthread.transport.read_buffer",
    )

    def generate(self, rng: random.Random) -> bytes:
        """Some messages in a row, perhaps the last one cut off."""
        messages = [generate_message(rng, n + 1) for n in range(rng.choice((1, 2, 4, 10, 40)))]
        data = b"".join(self._pack(message) for message in messages)
        return rng.randbytes(1) + (data if rng.random() < 0.8 else data[: rng.randrange(len(data) + 1)])

    def _pack(self, message: Any) -> bytes:
        try:
            return bytes(reference.packb(message))
        except (OverflowError, UnicodeEncodeError, ValueError):
            return b"\xc0"

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """Whole messages swapped, doubled or dropped, or bytes."""
        if rng.random() < 0.5:
            return mutate_bytes(data, rng)
        unpacker = reference.Unpacker(raw=False, strict_map_key=False, read_size=1024, max_buffer_size=2**24)
        unpacker.feed(data)
        marks = [0]
        try:
            while True:
                unpacker.skip()
                marks.append(unpacker.tell())
        except (reference.OutOfData, ValueError):
            pass
        parts = [data[a:b] for a, b in itertools.pairwise(marks)]
        if not parts:
            return mutate_bytes(data, rng)
        at = rng.randrange(len(parts))
        parts.insert(
            rng.randrange(len(parts)), parts[at] if rng.random() < 0.7 else mutate_bytes(parts[at], rng)
        )
        if rng.random() < 0.4:
            del parts[at]
        return b"".join(parts) + data[marks[-1] :]

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """Per number, what was answered to it and how often; each number asked gets one answer."""
        planner, flusher, _ = dispatcher_with_echo(loop)
        front = PlatformServer(planner, 8, flusher, 2**20)
        transport, out = MemoryTransport(loop), bytearray()
        transport.on_bytes = out.extend
        connection = PlatformConnection(front)
        transport.connect(connection)
        await feed(transport, data, seed)
        require(
            not planner.pending_calls
            and not planner.calls.pending_ids
            and planner.calls.pending_body_bytes == 0,
            "a call is left",
        )
        require(front.queued_bytes == 0, f"{front.queued_bytes} bytes of answers are left")
        require(len(connection.buffer._data) <= MAX_MESSAGE_BYTES, "the buffer grew past its limit")
        unpacker = reference.Unpacker(raw=False, strict_map_key=True, max_buffer_size=2**24)
        unpacker.feed(bytes(out))
        answers: dict[Any, int] = {}
        for message in unpacker:
            require(isinstance(message, list) and len(message) == 4 and message[0] == 1, f"sent {message!r}")
            answers[message[1]] = answers.get(message[1], 0) + 1
        require(unpacker.tell() == len(out), "bytes after the last answer")
        asked = self._asked(data)
        # Whether an interrupt or a number used twice meets an open call depends on the time between them.
        timing = b"interrupt" in data or any(count > 1 for count in asked.values())
        for number, count in answers.items():
            require(
                count <= asked.get(number, 0),
                f"{count} answers to number {number}, asked {asked.get(number, 0)}",
            )
        # What a broken connection answers with depends on what had been served by then; that it answers, not.
        return None if timing else transport.is_closing() or sorted(map(repr, answers))

    def _asked(self, data: bytes) -> dict[Any, int]:
        unpacker = reference.Unpacker(
            raw=False, strict_map_key=False, object_pairs_hook=list, max_buffer_size=2**24
        )
        unpacker.feed(data)
        asked: dict[Any, int] = {}
        try:
            for message in unpacker:
                if isinstance(message, list) and len(message) == 4 and isinstance(message[1], int):
                    asked[message[1]] = asked.get(message[1], 0) + 1
        except (ValueError, reference.StackError, UnicodeDecodeError):
            pass
        return asked


class _RecordingTransport:
    """What a runner's connection tells its pool's owner, kept."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.settings = settings_from_object(drawn_settings.settings())
        self.flusher, self.dispatcher = Flusher(), self
        self.clock = loop.unix_ms
        self.endings: list[tuple[str, str, bytes]] = []
        self.bad_numbers: list[
            str
        ] = []  # figures that are none; raised later, for the connection catches all

    def _check_number(self, what: str, value: float, most: float) -> None:
        if not abs(value) <= most:
            self.bad_numbers.append(f"{what} of {value}")

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Its client is there."""
        return True

    def count_attempt_written(self, attempt: Attempt) -> None:
        """Its line is written."""

    def on_call_response(self, attempt: Attempt, ending: AttemptResult) -> None:
        """An answer."""
        for value in ending.load_report:
            self._check_number("a report", value or 0.0, 1e308)
        self._check_number("a crowd", ending.reported_concurrency or 0, 2**31)
        self.endings.append((attempt.call.call_id, ending.outcome.value, ending.body))

    def on_connection_broken(self, request: Attempt | PendingPreload, *, is_unreachable: bool) -> None:
        """The connection went."""
        name = request.call.call_id if isinstance(request, Attempt) else request.message_id
        self.endings.append((name, "broke", b""))

    def on_preload_response(self, preload: PendingPreload, message: dict[str, Any]) -> None:
        """An order's end."""
        PreloadRequests(cast(Any, self)).on_response(preload, parse_preload_response(message))
        self.endings.append((preload.message_id, "order", b""))

    def preload_ended(self, event: PreloadEnded) -> None:
        """What the planner is told of it."""
        self._check_number("copies", event.instances, 2**31)


class WorkerLinesTarget(StreamTarget):
    """The lines that a runner sends, on a connection with three calls and an order open."""

    name = "lines"
    modules = (
        "cedarthread.protocols.worker_codec",
        "cedarthread.protocols.worker_connection",
        "cedarthread.protocols.worker_line_queue",
        "cedarthread.protocols.worker_pool",
        "cedarthread.protocols.worker_preloads",
        "cedarthread.protocols.workers",
    )
    message_ids = ("a1", "a2", "a3", "load-1")

    def generate(self, rng: random.Random) -> bytes:
        """Some lines: good answers, odd figures, foreign ids."""
        lines = []
        for _ in range(rng.choice((1, 2, 5))):
            fields: Any = {
                "remark": rng.choice(("hit", "spawn", 7, None)),
                "depth": rng.choice((0, 3, *EDGE_STRINGS, 1e308)),
            }
            report = (
                "inflight:7;x1:0",
                "inflight:nan",
                "x1:1e309;inflight:-0",
                "x1",
                7,
                "inflight:" + "9" * 400,
            )
            fields["report"], fields["pods"] = rng.choice(report), rng.choice((1, -1, 2**64, "x", 1e308))
            op = rng.choice(("HIT", "HIT", "NONE", "SHED", "FAULT", "LATE", "PONG", "WHAT", ["HIT"], None))
            message = {"op": op, "id": rng.choice((*self.message_ids, "b", 1)), "fields": fields}
            body = base64.b64encode(rng.randbytes(rng.choice((0, 5, 300)))).decode()
            message["body"] = rng.choice((body, body, body, body + "=", body[:-1], "%%", 7, None))
            for key in [k for k in message if rng.random() < 0.06]:
                del message[key]
            lines.append(json.dumps(message).encode())
        if rng.random() < 0.15:
            deep = b"[" * rng.choice((400, 700, 3000))
            lines.append(rng.choice((deep, b'{"op":' + deep + b"]" * len(deep) + b',"id":"a1"}')))
        return rng.randbytes(1) + b"\n".join(lines) + b"\n"

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """How each of the four ended: once, and with the body that its own line holds."""
        ways = _RecordingTransport(loop)
        listing = EndpointRecord("s-1", "h", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
        connection = WorkerConnection(WorkerConnectionPool(cast(Any, ways), listing))
        transport = MemoryTransport(loop)
        transport.connect(connection)
        for name in self.message_ids[:3]:
            call = Call(name, 0, 7, 1e18, b"", lambda answer: None)
            connection.send_request(b"{}\n", Attempt(call, 0, 1, 0.0, Progress.WRITTEN))
        connection.send_request(b"{}\n", PendingPreload("load-1", 1, 7, 0.0))
        await feed(transport, data, seed)
        transport.peer_reset()
        await asyncio.sleep(0)
        require(not ways.bad_numbers, ways.bad_numbers[0] if ways.bad_numbers else "")
        require(
            sorted(name for name, _, _ in ways.endings) == sorted(self.message_ids), f"ended: {ways.endings}"
        )
        bodies = {base64.b64decode(text) for text in self._bodies(data)}
        for name, outcome, body in ways.endings:
            require(outcome != "ok" or body in bodies, f"{name} served with {body!r}, which no line holds")
        return sorted(ways.endings)

    def _bodies(self, data: bytes) -> list[str]:
        found = []
        for line in data.split(b"\n"):
            try:
                body = json.loads(line)["body"]
                base64.b64decode(body, validate=True)
            except (ValueError, TypeError, LookupError, RecursionError):
                continue
            found.append(body)
        return found


class InvokeTarget(StreamTarget):
    """A whole connection of the invoke API, its identity checked."""

    name = "invoke"
    modules = (
        "cedarthread.protocols.invoke_calls",
        "cedarthread.protocols.invoke_connection",
        "cedarthread.protocols.invoke_handler",
        "cedarthread.protocols.invoke_requests",
        "cedarthread.protocols.invoke_responses",
        "cedarthread.protocols.invoke_server",
        "cedarthread.protocols.http",
    )

    def generate(self, rng: random.Random) -> bytes:
        """Some requests in a row."""
        return rng.randbytes(1) + b"".join(generate_request(rng) for _ in range(rng.choice((1, 2, 5))))

    def mutate_stream(self, data: bytes, rng: random.Random) -> bytes:
        """A field put in, a request doubled, or bytes."""
        ends = [at for at in range(len(data)) if data.startswith(b"\r\n", at)]
        if ends and rng.random() < 0.4:
            at = rng.choice(ends)
            return data[:at] + b"\r\n" + rng.choice(EDGE_HEADERS) + data[at:]
        return mutate_bytes(data, rng)

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> Any:
        """The responses' statuses in order."""
        planner, flusher, _ = dispatcher_with_echo(loop)
        nowhere = Path("nowhere")
        allow = ("spiffe://gaz.example/*",)
        config = InvokeConfig(nowhere, "", 0, "gaz.example", nowhere, nowhere, nowhere, allow, 8)
        front = InvokeServer(planner, config, flusher, loop.time)
        connection = InvokeConnection(front)
        connection.peer = Identity("spiffe://gaz.example/a", "gaz.example", math.inf)
        transport, out = MemoryTransport(loop), bytearray()
        transport.on_bytes = out.extend
        transport.connect(connection)
        await feed(transport, data, seed)
        statuses, rest = [], bytes(out)
        while (found := read_reply(rest)) is not None:
            reply, end = found
            require(100 <= reply.status < 600, f"status {reply.status}")
            statuses.append(reply.status)
            rest = rest[end:]
        require(not rest, f"after the last response: {rest[:60]!r}")
        require(not planner.pending_calls, "a call is open")
        transport.peer_reset()
        await asyncio.sleep(400)
        front.sweep(loop.time())
        require(
            front.calls.deferred_calls.reserved_bytes == 0 and len(front.calls.deferred_calls) == 0,
            "an answer is kept past its time",
        )
        return [status for status in statuses if status != 100]  # whether it is asked for depends on the cut


class EndpointListTarget(Target):
    """The roster under news late, doubled, out of order and contradictory."""

    name = "roster"
    modules = ("cedarthread.protocols.endpoint_list",)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((10, 40, 90)))

    def check(self, data: bytes) -> None:
        """Whoever applies the events one after another holds the list that was told last."""
        dice, roster = FuzzedDataProvider(data), EndpointList(settings_from_object(drawn_settings.settings()))
        known: dict[int, EndpointState] = {}
        version, truth = -1, dict[str, EndpointRecord]()
        while dice.has_more():
            number, whole = dice.consume_byte() % 20, bool(dice.consume_byte() & 3)
            told = [self._listing(dice) for _ in range(dice.consume_byte() % 5)]
            event = roster.apply_update(number, told, whole)
            require((event is None) == (number <= version), f"news {number} after {version}")
            if event is None:
                continue
            version = number
            if event.kind is not EndpointUpdateKind.DELTA:
                known.clear()
            for worker in event.endpoints:
                known[worker.worker_id] = worker.state
                if worker.state is EndpointState.REMOVED:
                    del known[worker.worker_id]
            truth = {} if whole else truth
            for listing in told:
                truth.pop(listing.name, None)
                if listing.state is not EndpointState.REMOVED:
                    truth[listing.name] = listing
            held = {number: entry.state for number, entry in roster.by_worker_id().items()}
            require(known == held, f"by the events {known}, by the list {held}")
            numbers = {worker_id_from_name(name) for name in truth}
            require(set(held) == numbers, f"told {sorted(truth)}, held {sorted(roster.records)}")

    def _listing(self, dice: FuzzedDataProvider) -> EndpointRecord:
        name = dice.pick(("s-00000001", "s-00000002", "t-00000001", "other", "s-0000000a"))
        state = dice.pick(tuple(EndpointState))
        zone = dice.pick(("room-a", "room-b", "nowhere"))
        return EndpointRecord(
            name,
            "10.0.0.1",
            dice.consume_byte(),
            zone,
            "std",
            dice.consume_byte() % 3,
            state,
            1.0,
            float(dice.consume_byte()),
        )


class _RecordingDatagramTransport(asyncio.DatagramTransport):
    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.is_closed = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        self.sent.append(bytes(data))

    def close(self) -> None:
        self.is_closed = True


class DiscoveryTarget(Target):
    """The resolver's client, its replies lost, late, old, doubled, foreign and truncated."""

    name = "resolver"
    modules = ("cedarthread.protocols.discovery",)
    line_budget = (400_000, 8000)
    byte_budget = (4 * 2**20, 2000)

    def generate(self, rng: random.Random) -> bytes:
        """A script."""
        return rng.randbytes(rng.choice((10, 40, 80)))

    def check(self, data: bytes) -> None:
        """Numbers told only go up, and each list told is one that was sent under a number asked for."""
        told: list[tuple[int, list[EndpointRecord]]] = []

        async def work(loop: VirtualLoop) -> None:
            await self._play(loop, FuzzedDataProvider(data), told)

        failures = run_virtual(work).failures
        require(not failures, failures[0] if failures else "")
        numbers = [serial for serial, _ in told]
        require(numbers == sorted(set(numbers)), f"told in the order {numbers}")

    async def _play(
        self, loop: VirtualLoop, dice: FuzzedDataProvider, told: list[tuple[int, list[EndpointRecord]]]
    ) -> None:
        resolver = DiscoveryClient(lambda serial, listed: told.append((serial, listed)))
        resolver._random = cast(Any, random.Random(1))
        transport = _RecordingDatagramTransport()
        resolver.connection_made(transport)
        serial, old = 0, list[bytes]()
        while dice.has_more():
            asked = [struct.unpack(">H", query[:2])[0] for query in transport.sent]
            rng = random.Random(dice.consume_uint16())
            reply = generate_reply(rng, rng.randrange(4))
            serial += dice.consume_byte() % 3
            reply.query_id, reply.serial = rng.choice(asked[-3:]), serial
            good = pack_reply(reply)
            before = len(told)
            match dice.consume_byte() % 8:
                case 0:
                    resolver.datagram_received(good[: dice.consume_byte()], None)
                case 1:
                    resolver.datagram_received(pack_reply(reply, flags=0x8600), None)
                    require(len(told) == before, "a truncated reply was taken")
                case 2:
                    foreign = struct.pack(">H", (reply.query_id + 1 + dice.consume_byte()) % 2**16)
                    resolver.datagram_received(foreign + good[2:], None)
                    recent = struct.unpack(">H", foreign)[0] in asked[-16:]
                    require(recent or len(told) == before, "a reply to nothing that was asked was taken")
                case 3 if old:
                    resolver.datagram_received(dice.pick(old), None)
                case 4:
                    resolver.error_received(OSError(111, "refused"))
                case 5:
                    resolver.datagram_received(mutate_bytes(good, rng), None)
                case _:
                    resolver.datagram_received(good, None)
                    old.append(good)
            await asyncio.sleep(dice.consume_byte() / 100)
        resolver.stop()
        require(transport.is_closed and loop.timer_count() == 0, "it asks on after its end")
