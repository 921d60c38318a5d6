"""The fuzz target of the lines that a worker sends."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from cedarthread.dispatch.calls import Attempt, AttemptResult, Call, Progress
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord
from cedarthread.protocols.worker.codec import parse_preload_response
from cedarthread.protocols.worker.connection import WorkerConnection
from cedarthread.protocols.worker.pool import WorkerConnectionPool
from cedarthread.protocols.worker.preloads import PreloadRequests
from cedarthread.protocols.worker.requests import PendingPreload
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.fuzzing import settings as fuzz_settings
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.memory_transport import MemoryTransport
from cedarthread.testing.fuzzing.mutation import EDGE_STRINGS
from cedarthread.testing.fuzzing.stream_target import StreamTarget, feed
from cedarthread.transport.flusher import Flusher

if TYPE_CHECKING:
    import random

    from cedarthread.model.events import PreloadEnded
    from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop


class _Ending(NamedTuple):
    """The end of a request, with its outcome."""

    message_id: str
    outcome: str
    body: bytes = b""


class _RecordingPoolOwner:
    """A fake of the pool's owner and of the dispatcher, which records what a worker connection reports."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.settings = settings_from_object(fuzz_settings.settings())
        self.flusher = Flusher()
        self.dispatcher = self
        self.clock = loop.unix_ms
        self.endings: list[_Ending] = []
        # Checked by ``serve`` at the end, because the connection would catch an exception.
        self.bad_numbers: list[str] = []

    def _check_number(self, label: str, value: float, limit: float) -> None:
        if not abs(value) <= limit:  # the comparison is false for NaN, so that NaN is also reported
            self.bad_numbers.append(f"{label} of {value}")

    def may_start_attempt(self, attempt: Attempt) -> bool:
        """Return True because no client disconnects."""
        return True

    def may_send(self) -> bool:
        """Return True because sending is never suspended."""
        return True

    def may_preload(self, worker_id: int) -> bool:
        """Return True because the worker is ready."""
        return True

    def on_first_byte(self, request: Attempt | PendingPreload) -> None:
        """Ignore that the first byte of a request's line is written."""

    def count_attempt_written(self, attempt: Attempt) -> None:
        """Ignore that an attempt's line is written."""

    def on_call_response(self, attempt: Attempt, ending: AttemptResult) -> None:
        """Record the answer to an attempt and check the numbers in it."""
        for value in ending.load_report:
            self._check_number("load report value", value or 0.0, 1e308)
        self._check_number("reported concurrency", ending.reported_concurrency or 0, 2**31)
        self.endings.append(_Ending(attempt.call.call_id, ending.outcome.value, ending.body))

    def on_connection_broken(self, request: Attempt | PendingPreload, *, is_unreachable: bool) -> None:
        """Record that a request ended with its connection."""
        message_id = request.call.call_id if isinstance(request, Attempt) else request.message_id
        self.endings.append(_Ending(message_id, "broke"))

    def on_preload_response(self, preload: PendingPreload, message: dict[str, Any]) -> None:
        """Record the answer to a preload request and process it as the owner does."""
        PreloadRequests(cast("Any", self)).on_response(preload, parse_preload_response(message))
        self.endings.append(_Ending(preload.message_id, "order"))

    def preload_ended(self, event: PreloadEnded) -> None:
        """Check the number of instances that a preload reports to the dispatcher."""
        self._check_number("preloaded instances", event.instances, 2**31)


class WorkerLinesTarget(StreamTarget):
    """The lines that a worker sends, on a connection with three calls and a preload pending."""

    name = "lines"
    modules = (
        "cedarthread.protocols.worker.codec",
        "cedarthread.protocols.worker.connection",
        "cedarthread.protocols.worker.line_queue",
        "cedarthread.protocols.worker.pool",
        "cedarthread.protocols.worker.preloads",
        "cedarthread.protocols.worker.connections",
    )
    message_ids = ("a1", "a2", "a3", "load-1")

    def generate(self, rng: random.Random) -> bytes:
        """Return several lines: valid answers, edge values, unknown message IDs."""
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
            fields["report"] = rng.choice(report)
            fields["pods"] = rng.choice((1, -1, 2**64, "x", 1e308))
            op = rng.choice(("HIT", "HIT", "NONE", "SHED", "FAULT", "LATE", "PONG", "WHAT", ["HIT"], None))
            message = {"op": op, "id": rng.choice((*self.message_ids, "b", 1)), "fields": fields}
            body = base64.b64encode(rng.randbytes(rng.choice((0, 5, 300)))).decode()
            message["body"] = rng.choice((body, body, body, body + "=", body[:-1], "%%", 7, None))
            for key in [key for key in message if rng.random() < 0.06]:
                del message[key]
            lines.append(json.dumps(message).encode())
        if rng.random() < 0.15:
            deep = b"[" * rng.choice((400, 700, 3000))
            lines.append(rng.choice((deep, b'{"op":' + deep + b"]" * len(deep) + b',"id":"a1"}')))
        return rng.randbytes(1) + b"\n".join(lines) + b"\n"

    async def serve(self, loop: VirtualLoop, data: bytes, seed: int) -> object:
        """Return the end of each of the four requests, after checking that each ended exactly once.

        A served attempt must have the body of one of the lines.
        """
        owner = _RecordingPoolOwner(loop)
        record = EndpointRecord("s-1", "h", 1, "room-a", "std", 0, EndpointState.READY, 1.0, 0.0)
        connection = WorkerConnection(WorkerConnectionPool(cast("Any", owner), record))
        transport = MemoryTransport(loop)
        transport.connect(connection)
        for message_id in self.message_ids[:3]:
            call = Call(message_id, 0, 7, 1e18, b"", lambda answer: None)
            connection.send_request(b"{}\n", Attempt(call, 0, 1, 0.0, Progress.WRITTEN))
        connection.send_request(b"{}\n", PendingPreload("load-1", 1, 7, 0.0))
        await feed(transport, data, seed)
        transport.peer_reset()
        await asyncio.sleep(0)
        require(not owner.bad_numbers, owner.bad_numbers[0] if owner.bad_numbers else "")
        ended = sorted(ending.message_id for ending in owner.endings)
        require(ended == sorted(self.message_ids), f"requests did not end exactly once each: {owner.endings}")
        bodies = {base64.b64decode(text) for text in self._bodies(data)}
        for message_id, outcome, body in owner.endings:
            is_known = outcome != "ok" or body in bodies
            require(is_known, f"{message_id} was served with {body!r}, which no line contains")
        return sorted(owner.endings)

    def _bodies(self, data: bytes) -> list[str]:
        bodies = []
        for line in data.split(b"\n"):
            try:
                body = json.loads(line)["body"]
                base64.b64decode(body, validate=True)
            except (ValueError, TypeError, LookupError, RecursionError):
                continue
            bodies.append(body)
        return bodies
