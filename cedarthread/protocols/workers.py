"""The way to the runners: JSON lines over pooled connections.

A connection carries many attempts. Their fate follows from how far their bytes had gone: what was not wholly
written when a connection broke has never run; what was may have.
"""

from __future__ import annotations

import asyncio
import binascii
import errno
import json
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from cedarthread.dispatch.calls import (
    Attempt,
    AttemptResult,
    Call,
    Progress,
    connection_lost_result,
    not_sent_result,
)
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.endpoints import EndpointState
from cedarthread.model.events import PreloadEnded
from cedarthread.model.outcomes import Outcome, StartKind
from cedarthread.model.settings import RouterSettings
from cedarthread.protocols.endpoint_list import EndpointRecord
from cedarthread.transport.connection import BufferedConnection
from cedarthread.transport.descriptor_budget import EXHAUSTION_ERRNOS
from cedarthread.transport.flusher import Flusher

log = logging.getLogger("cedarthread.runners")

MAX_LINE_BYTES = 384 * 1024  # the longest answer: a body of 256 KiB in base64, 349,528 bytes, and its fields
CANCEL_SETTLE_S = (
    0.010  # s from writing CANCEL till the attempt counts as given up: it must have arrived by then
)
DRAIN_FLUSH_S = 0.4  # s after news of a drain in which what was handed to the socket must have left
PRELOAD_FLUSH_S = 0.5  # s in which an order to load must begin to leave
MAX_ABANDONED_IDS = 512  # given-up ids after which a connection takes no more
SILENCE_S = 1.0  # s of silence after which giving an attempt up retires its connection
IDLE_CLOSE_FRACTION = 0.8  # part of the peer's idle time after which this end closes first
MAX_REPORTED_CONCURRENCY = 30  # the most calls of one function that an answer tells of
_LOCAL_ERRNOS = EXHAUSTION_ERRNOS | {
    errno.EADDRNOTAVAIL
}  # a dial that failed for want of something here proves nothing
_OUTCOME_BY_OP = {
    "HIT": Outcome.OK,
    "NONE": Outcome.NOT_LOADED,
    "SHED": Outcome.OVERLOADED,
    "FAULT": Outcome.ERROR,
    "LATE": Outcome.NOT_SENT,
}
_START_KIND_BY_REMARK = {
    "hit": StartKind.WARM,
    "spawn": StartKind.COLD,
    "pending": StartKind.PENDING,
    "spawn_failed": StartKind.LOAD_FAILED,
}


@dataclass(eq=False, slots=True)
class PendingPreload:
    """An order to load that waits for its answer."""

    message_id: str
    worker_id: int
    function_id: int
    sent_at_ms: float
    is_finished: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)  # till it is done


@dataclass(eq=False, slots=True)
class OutboundLine:
    """A line to be written, and the attempt or order that it carries."""

    data: bytes
    request: Attempt | PendingPreload | None = None


def encode_call(call: Call, class_name_json: str, timeout_ms: float) -> bytes:
    """The line that starts an attempt. Its shape never changes: only texts from outside need an encoder."""
    key = "" if call.idempotency_key is None else f',"replay":{json.dumps(call.idempotency_key)}'
    fields = (
        f'"profile":{class_name_json},"thing":"{call.function_id:016x}","max":{max(1, int(timeout_ms))}{key}'
    )
    head = f'{{"op":"CALL","id":"{call.call_id}","fields":{{{fields}}},"body":"'
    return b"".join((head.encode(), binascii.b2a_base64(call.body, newline=False), b'"}\n'))


def encode_message(op: str, message_id: str, fields: dict[str, Any] | None = None) -> bytes:
    """A line without a body."""
    message = {"op": op, "id": message_id} | ({"fields": fields} if fields is not None else {})
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def parse_count(value: Any) -> int | None:
    """A whole number, or None for anything else."""
    try:
        return min(max(0, int(value)), MAX_REPORTED_CONCURRENCY)
    except (TypeError, ValueError, OverflowError):
        return None


def parse_load_report(text: Any, columns: tuple[str, ...]) -> tuple[float | None, ...]:
    """``inflight:7;util:0.61`` in the order of the columns."""
    if not isinstance(text, str) or not text:
        return ()
    told: dict[str, float] = {}
    for part in text.split(";"):
        name, _, figure = part.partition(":")
        try:
            value = float(figure)
        except ValueError:
            continue
        if math.isfinite(value):
            told[name] = value
    return tuple(told.get(column) for column in columns)


def parse_call_response(message: dict[str, Any], columns: tuple[str, ...]) -> AttemptResult | None:
    """An answer to a call; None for one that is spoilt: what ran is not known, nor what else comes there."""
    outcome, fields = _OUTCOME_BY_OP.get(str(message.get("op"))), message.get("fields") or {}
    if outcome is None or not isinstance(fields, dict):
        return None
    body = b""
    if outcome is Outcome.OK:
        try:
            body = binascii.a2b_base64(message["body"], strict_mode=True)
        except (binascii.Error, KeyError, TypeError, ValueError):
            return None
    note = _START_KIND_BY_REMARK.get(str(fields.get("remark")), StartKind.UNKNOWN)
    crowd = parse_count(fields.get("depth", 0))
    return AttemptResult(outcome, body, note, crowd, parse_load_report(fields.get("report"), columns))


class WorkerConnection(BufferedConnection):
    """One connection to a runner."""

    high_water = 0  # paused exactly while bytes stand in this process: so it is known what has left

    def __init__(self, pool: WorkerConnectionPool) -> None:
        super().__init__(MAX_LINE_BYTES, pool.worker_connections.flusher)
        self.pool = pool
        self.queued_lines: list[OutboundLine] = []  # not handed to the socket yet
        self.buffered_lines: list[OutboundLine] = []  # handed over, not wholly taken yet
        self.in_flight: dict[str, Attempt | PendingPreload] = {}
        self.abandoned_ids: set[str] = set()
        self.is_retired = False
        self.connect_timeout: asyncio.Timeout | None = None  # till when it has to come up
        self.is_unreachable = False  # it never came up, for a reason that lies with the runner
        self.is_local_failure = False  # it never came up, for want of a descriptor or port here
        self.last_used_at = self._loop.time()
        self.created_at_ms = pool.worker_connections.dispatcher.clock()

    def abort_if_unsent(self, lines: list[OutboundLine]) -> None:
        """Close if some of these lines have not left: nothing may begin to leave long after a drain."""
        self.refresh_progress()
        if not self.is_closed and any(line in self.buffered_lines for line in lines):
            self.abort()

    def can_accept(self, message_id: str) -> bool:
        """May a further attempt of this name go here?"""
        if (
            self.is_retired
            or self.is_closed
            or message_id in self.in_flight
            or message_id in self.abandoned_ids
        ):
            return False
        if self.transport is not None and self.transport.is_closing():
            return False
        # Guards against a stall past the sweep that was due: the runner's own idle close is on its way.
        if (
            not self.in_flight
            and self._loop.time() - self.last_used_at > self.pool.worker_connections.idle_limit_s()
        ):
            return False
        return len(self.in_flight) < self.pool.worker_connections.settings.limits.max_attempts_per_connection

    def is_idle(self) -> bool:
        """It is up, nothing is open on it, and nothing waits to leave."""
        return self.transport is not None and not (
            self.in_flight or self.queued_lines or self.buffered_lines or self.is_write_paused
        )

    def send_request(self, message_id: str, line: bytes, request: Attempt | PendingPreload) -> None:
        """Queue an attempt or an order."""
        self.last_used_at = self._loop.time()
        self.in_flight[message_id] = request
        self.queued_lines.append(OutboundLine(line, request))
        self.schedule_flush()

    def send_line(self, data: bytes) -> OutboundLine:
        """Queue a line that has no answer."""
        self.last_used_at = self._loop.time()
        line = OutboundLine(data)
        self.queued_lines.append(line)
        self.schedule_flush()
        return line

    def has_sent(self, line: OutboundLine) -> bool:
        """Has the socket taken all of it?"""
        return line not in self.queued_lines and line not in self.buffered_lines

    def withdraw(self, request: Attempt | PendingPreload) -> bool:
        """Take back what no byte of has left; False where it is too late for that."""
        for line in self.queued_lines:
            if line.request is request:
                self.queued_lines.remove(line)
                self.in_flight.pop(
                    request.call.call_id if isinstance(request, Attempt) else request.message_id, None
                )
                return True
        return False

    def withdraw_and_end(self, request: Attempt | PendingPreload) -> None:
        """Withdraw it, and end it as one that never ran; what has begun to leave goes on."""
        if self.withdraw(request):
            self.pool.worker_connections.on_unsent(request)

    def abandon(self, message_id: str) -> None:
        """An attempt's answer is nobody's from now on, and its name is not used here again."""
        self.in_flight.pop(message_id, None)
        self._add_abandoned_id(message_id)

    def send_cancel(self, attempt: Attempt) -> OutboundLine | None:
        """Have the runner drop an attempt: the line that tells it, None where it can't be told."""
        self.abandon(attempt.call.call_id)
        if self.is_closed:
            return None
        return self.send_line(encode_message("CANCEL", attempt.call.call_id))

    def on_connected(self) -> None:
        """The connection is up: what waited for it leaves."""
        if self.is_closed:  # given up while it was being made
            return super().abort()
        if self.connect_timeout is not None and not self.connect_timeout.expired():
            # Guards a call that is about to be written: the time may be up later in this turn of the loop.
            self.connect_timeout.reschedule(None)
        for line in self.queued_lines:
            self._record_progress(line, Progress.UNWRITTEN)
        self._withdraw_overdue()
        self.schedule_flush()

    def _record_progress(self, line: OutboundLine, progress: Progress) -> None:
        _record_progress(line, progress, self.pool.worker_connections.dispatcher)

    def _withdraw_overdue(self) -> None:
        """What waited here past the time by which it must leave does not leave any more."""
        now = self.pool.worker_connections.dispatcher.clock()
        for carried in [line.request for line in self.queued_lines]:
            if isinstance(carried, Attempt) and now > carried.write_deadline_ms:
                self.withdraw_and_end(carried)

    def flush(self) -> None:
        """Hand the queue to the socket, and note how much of it the socket took."""
        self._is_flush_scheduled = False
        if not self.queued_lines or self.is_write_paused or self.transport is None or self.is_closed:
            return
        if self.transport.is_closing():
            return
        planner = self.pool.worker_connections.dispatcher
        for carried in [line.request for line in self.queued_lines]:
            if isinstance(carried, Attempt) and not planner.may_start_attempt(carried):
                self.withdraw_and_end(carried)
        lines, self.queued_lines = self.queued_lines, []
        data = b"".join(line.data for line in lines)
        self.transport.write(data)
        if self.transport.is_closing():  # the write failed at once: not a byte of it has left
            return
        taken = len(data) - self.transport.get_write_buffer_size()
        for line in lines:
            if taken >= len(line.data):
                self._record_progress(line, Progress.WRITTEN)
            else:
                self._record_progress(line, Progress.PARTLY_WRITTEN)
                self.buffered_lines.append(line)
            taken -= len(line.data)

    def refresh_progress(self) -> None:
        """Note what the socket has taken since: a line may have left while others behind it have not."""
        if self.transport is None or not self.buffered_lines:
            return
        waiting = self.transport.get_write_buffer_size()
        while self.buffered_lines and sum(len(line.data) for line in self.buffered_lines[1:]) >= waiting:
            self._record_progress(self.buffered_lines.pop(0), Progress.WRITTEN)

    def resume_writing(self) -> None:
        """All that was handed over has left."""
        for line in self.buffered_lines:
            self._record_progress(line, Progress.WRITTEN)
        self.buffered_lines.clear()
        self._withdraw_overdue()
        super().resume_writing()

    def on_data(self, data: memoryview) -> int | None:
        """Take whole lines."""
        at = 0
        while (end := self.buffer.find(b"\n", at)) >= 0:
            try:
                message = json.loads(str(data[at:end], "utf-8"))  # json reads no memoryview: a copy has to be
            except (ValueError, RecursionError):
                message = None
            if not isinstance(message, dict) or not self._handle_response(message):
                return None
            at = end + 1
        return at

    def eof_received(self) -> bool:
        """The runner writes no more: nothing that is open here can be answered.

        Guards against a wait for a runner that reads no more either: a close lets what waits leave first."""
        self._log_truncated_response()
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        if exc is not None:
            self._log_truncated_response()
        super().connection_lost(exc)

    def _log_truncated_response(self) -> None:
        if held := len(self.buffer.peek()):
            text = "runner %s ended its connection in the middle of an answer, after %d bytes of it"
            log.warning(text, self.pool.endpoint.name, held)

    def _handle_response(self, message: dict[str, Any]) -> bool:
        """Act on an answer; False where it is spoilt. One under an id not open here is passed over."""
        name = message.get("id")
        carried = self.in_flight.get(name) if isinstance(name, str) else None
        self.last_used_at = self._loop.time()
        if isinstance(carried, Attempt):
            ending = parse_call_response(message, self.pool.worker_connections.settings.load_report_columns)
            if ending is None:
                return False
            del self.in_flight[carried.call.call_id]
            if ending.outcome is not Outcome.OK:
                self._add_abandoned_id(
                    carried.call.call_id
                )  # a second copy of this answer must not end a later attempt
            carried.progress = Progress.RESPONSE_STARTED
            self.pool.worker_connections.on_call_response(carried, ending)
        elif carried is not None:
            del self.in_flight[carried.message_id]
            self.pool.worker_connections.on_preload_response(carried, message)
        return isinstance(name, str)

    def _add_abandoned_id(self, name: str) -> None:
        self.abandoned_ids.add(name)
        self.is_retired = self.is_retired or len(self.abandoned_ids) > MAX_ABANDONED_IDS

    def on_invalid_input(self) -> None:
        """Nothing that still comes here is of use: all that is open ends by how far it came."""
        log.warning("runner %s sent what is no answer", self.pool.endpoint.name)
        self.abort()

    def on_disconnected(self) -> None:
        """All that is open here has ended."""
        # Of what stood half-written the last line has not left whole. The ones before it may have.
        for line in self.buffered_lines[:-1]:
            self._record_progress(line, Progress.WRITTEN)
        self.buffered_lines.clear()
        self.pool.remove(self)
        carried, self.in_flight = self.in_flight, {}
        for one in carried.values():
            if self.is_local_failure:
                self.pool.worker_connections.on_unsent(one)
            else:
                self.pool.worker_connections.on_connection_broken(one, is_unreachable=self.is_unreachable)

    def close_empty(self) -> None:
        """Close, carrying nothing. A close would not end a dial that nothing waits for any more, nor one that
        takes no bytes: it waits till what is to be written has left."""
        self.abort() if self.transport is None or self.is_write_paused else self.close()

    def abort(self) -> None:
        """Close at once, also one that is still being made."""
        self.is_retired = True
        if self.transport is not None:
            super().abort()
        elif not self.is_closed:
            self.is_closed = True
            self.on_disconnected()


def _record_progress(line: OutboundLine, progress: Progress, planner: Dispatcher) -> None:
    attempt = line.request
    if isinstance(attempt, Attempt) and attempt.progress < Progress.RESPONSE_STARTED:
        if attempt.progress < Progress.WRITTEN <= progress:
            planner.count_attempt_written(attempt)
        attempt.progress = progress


@dataclass(eq=False, slots=True)
class WorkerConnectionPool:
    """The connections to one runner."""

    worker_connections: WorkerConnections
    endpoint: EndpointRecord
    connections: list[WorkerConnection] = field(default_factory=list)
    connecting: dict[WorkerConnection, asyncio.Task[None]] = field(default_factory=dict)

    def acquire(self, message_id: str) -> WorkerConnection | None:
        """One with room, a new one if need be; None at the process's bound."""
        for connection in self.connections:
            if connection.can_accept(message_id):
                return connection
        if not self.worker_connections.can_connect():
            return None
        connection = WorkerConnection(self)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._connect_within_timeout(connection))
        self.connecting[connection] = task
        task.add_done_callback(lambda _: self.connecting.pop(connection, None))
        return connection

    async def _connect_within_timeout(self, connection: WorkerConnection) -> None:
        try:
            limit = self.worker_connections.settings.limits.connect_timeout_ms / 1000.0
            async with asyncio.timeout(limit) as connection.connect_timeout:
                await self._connect(connection)
        except (OSError, TimeoutError) as error:
            if not connection.is_closed:
                log.info("runner %s not reached: %s", self.endpoint.name, error or "no connection in time")
                connection.is_local_failure = error.errno in _LOCAL_ERRNOS
                connection.is_unreachable = not connection.is_local_failure
                connection.abort()

    async def _connect(self, connection: WorkerConnection) -> None:
        """Dial. Where no descriptor is left, what carries nothing gives one back: a call comes before it."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.create_connection(lambda: connection, self.endpoint.host, self.endpoint.port)
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS or not self.worker_connections.release_descriptor():
                    raise
            await asyncio.sleep(0)  # it is closed in the next turn

    def remove(self, connection: WorkerConnection) -> None:
        """A connection is down. Guards the count: a dial that nobody waits for would hold its descriptor."""
        if connection in self.connections:
            self.connections.remove(connection)
        task = self.connecting.get(connection)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def longest_idle(self) -> WorkerConnection | None:
        """The one that has carried nothing for longest, of those that close at once."""
        idle = [c for c in self.connections if c.is_idle()]
        return min(idle, key=lambda c: c.last_used_at, default=None)

    def retire(self, *, close_now: bool, created_until_ms: float = math.inf) -> None:
        """Put no more on the connections begun until then; close them, at once or when they are empty."""
        for connection in [c for c in self.connections if c.created_at_ms <= created_until_ms]:
            connection.is_retired = True
            for carried in [line.request for line in connection.queued_lines]:
                # Guards the rule on drains: what waits for a slow runner must not leave long after the news.
                if carried is not None:
                    connection.withdraw_and_end(carried)
            if close_now:
                connection.abort()
            elif not connection.in_flight:
                connection.close_empty()
            elif connection.buffered_lines:
                self.worker_connections._loop.call_later(
                    DRAIN_FLUSH_S, connection.abort_if_unsent, list(connection.buffered_lines)
                )

    def sweep(self, now: float, idle_limit_s: float) -> None:
        """Close what has carried nothing for long, before the runner does and a call crosses its close."""
        for connection in list(self.connections):
            spare = connection.is_retired or now - connection.last_used_at > idle_limit_s
            if spare and connection.transport is not None and not connection.in_flight:
                connection.close_empty()


class WorkerConnections:
    """All runners: the planner's way to the workers."""

    def __init__(
        self, settings: RouterSettings, dispatcher: Dispatcher, max_connections: int, flusher: Flusher
    ) -> None:
        self.flusher = flusher
        self.settings = settings
        self.dispatcher = dispatcher
        self.max_connections = max_connections
        self.release_client_descriptor: Callable[[], bool] = lambda: (
            False
        )  # has others give a descriptor back, where they can
        self.pools: dict[int, WorkerConnectionPool] = {}
        self.class_names_json: list[str] = []
        self.apply_settings(settings)
        self._connection_by_attempt: dict[Attempt, WorkerConnection] = {}
        self._preload_count = 0
        self._loop = asyncio.get_running_loop()

    def apply_settings(self, settings: RouterSettings) -> None:
        """New settings; the classes' places stay."""
        self.settings = settings
        self.class_names_json = [json.dumps(klass.name) for klass in settings.classes]

    def update_endpoints(self, endpoints: dict[int, EndpointRecord]) -> None:
        """Follow the roster, by number: runners that are gone or have started anew lose their connections."""
        for number, pool in list(self.pools.items()):
            new = endpoints.get(number)
            if new is None:
                del self.pools[number]
                pool.retire(close_now=True)
            elif (new.host, new.port) != (pool.endpoint.host, pool.endpoint.port):
                pool.retire(close_now=True)
            elif new.started_at_ms != pool.endpoint.started_at_ms:
                # The news of a start comes late: what was begun since then leads to the new process.
                pool.retire(close_now=True, created_until_ms=new.started_at_ms)
            if new is not None and new.state is not EndpointState.READY:
                pool.retire(
                    close_now=False
                )  # beside the others: one list may tell of a start and of its drain
        for number, listing in endpoints.items():
            pool = self.pools.setdefault(number, WorkerConnectionPool(self, listing))
            pool.endpoint = listing

    def idle_limit_s(self) -> float:
        """Seconds without work after which a connection is closed, before the runner does."""
        return self.settings.limits.idle_timeout_ms / 1000.0 * IDLE_CLOSE_FRACTION

    def can_connect(self) -> bool:
        """Is there a descriptor left for one more connection? At the bound, one that is idle gives way."""
        if (
            sum(len(pool.connections) for pool in self.pools.values()) < self.max_connections
            or self._close_longest_idle()
        ):
            return True
        log.warning("bound of %d runner connections reached", self.max_connections)
        return False

    def release_descriptor(self) -> bool:
        """Have a connection that carries nothing closed, a client's or a runner's: its descriptor is free in
        the next turn. False where there is none."""
        return self.release_client_descriptor() or self._close_longest_idle()

    def _close_longest_idle(self) -> bool:
        spares = [spare for pool in self.pools.values() if (spare := pool.longest_idle()) is not None]
        spare = min(spares, key=lambda c: c.last_used_at, default=None)
        if spare is not None:
            spare.pool.remove(spare)
            spare.abort()
        return spare is not None

    # What the planner asks for.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        pool = self.pools.get(attempt.worker_id)
        if pool is None:
            return self.dispatcher.attempt_ended(attempt, connection_lost_result(attempt))
        connection = pool.acquire(attempt.call.call_id)
        if connection is None:
            return self.dispatcher.attempt_ended(attempt, not_sent_result())
        wait = attempt.call.deadline_ms - attempt.started_at_ms
        line = encode_call(attempt.call, self.class_names_json[attempt.call.class_index], wait)
        if connection.transport is not None:
            attempt.progress = Progress.UNWRITTEN
        self._connection_by_attempt[attempt] = connection
        connection.send_request(attempt.call.call_id, line, attempt)

    def refresh_progress(self, attempt: Attempt) -> None:
        """Bring the attempt's progress up to date."""
        if (connection := self._connection_by_attempt.get(attempt)) is not None:
            connection.refresh_progress()

    def withdraw_unsent(self, attempt: Attempt) -> None:
        """End an attempt of which nothing has left; any other goes on."""
        if (connection := self._connection_by_attempt.get(attempt)) is not None:
            connection.withdraw_and_end(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up. Its end follows once it is sure not to run on unseen."""
        connection = self._connection_by_attempt.pop(attempt, None)
        if connection is None or attempt.progress is Progress.RESPONSE_STARTED:
            return
        if connection.withdraw(attempt):
            return self.dispatcher.attempt_ended(attempt, connection_lost_result(attempt))
        # Guards against a machine that has vanished: its connections stay open and silent; a new one tells.
        connection.is_retired = (
            connection.is_retired or self._loop.time() - connection.last_read_at > SILENCE_S
        )
        if not self.settings.limits.can_cancel:  # it ends here alone
            connection.abandon(attempt.call.call_id)
            return self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.TIMEOUT))
        told = connection.send_cancel(attempt)
        if told is not None:
            self._loop.call_later(CANCEL_SETTLE_S, self._finish_cancel, attempt, connection, told)
        else:
            self._finish_cancel(attempt, connection, None)

    def _finish_cancel(
        self, attempt: Attempt, connection: WorkerConnection, told: OutboundLine | None
    ) -> None:
        """Where the runner reads nothing, it has not been told: closing is the one way to give it up."""
        if told is None or not connection.has_sent(told):
            connection.abort()
        self.dispatcher.attempt_ended(attempt, AttemptResult(Outcome.CANCELLED))

    def preload(self, worker_id: int, function_id: int, instances: int) -> None:
        """Order a load."""
        self._preload_count += 1
        order = PendingPreload(f"load-{self._preload_count}", worker_id, function_id, self.dispatcher.clock())
        pool = self.pools.get(worker_id)
        connection = pool.acquire(order.message_id) if pool is not None else None
        if connection is None:
            return self.finish_preload(order, Outcome.CONNECT_FAILED, 0)
        fields = {"thing": f"{function_id:016x}", "pods": instances}
        connection.send_request(order.message_id, encode_message("LOAD", order.message_id, fields), order)
        limit = self.settings.preload_timeout_ms / 1000.0
        order.timers += (
            self._loop.call_later(PRELOAD_FLUSH_S, self._on_preload_unsent, order, connection),
            self._loop.call_later(limit, self._on_preload_timeout, order, connection),
        )

    def _on_preload_unsent(self, order: PendingPreload, connection: WorkerConnection) -> None:
        """Guards the ration of orders: those that wait for a slow runner would reach it all at once."""
        if connection.withdraw(order):
            self.finish_preload(order, Outcome.CONNECT_FAILED, 0)

    def _on_preload_timeout(self, order: PendingPreload, connection: WorkerConnection) -> None:
        """Guards against lost orders that hold their places for good: a lost one gets no answer."""
        if not connection.withdraw(order):
            connection.in_flight.pop(order.message_id, None)
        self.finish_preload(order, Outcome.TIMEOUT, 0)

    def unload(self, worker_id: int, function_id: int) -> None:
        """Have idle copies unloaded."""
        pool = self.pools.get(worker_id)
        if pool is not None and (connection := pool.acquire("")) is not None:
            connection.send_line(encode_message("UNLOAD", f"{function_id:016x}"))

    def close_idle_connections(self, worker_id: int) -> None:
        """Close the connections there that carry nothing."""
        if (pool := self.pools.get(worker_id)) is not None:
            pool.sweep(self._loop.time(), -1.0)

    # What connections tell.

    def on_connection_broken(self, request: Attempt | PendingPreload, *, is_unreachable: bool) -> None:
        """The connection under it broke, or never came up."""
        self._end_request(
            request, partial(connection_lost_result, is_unreachable=is_unreachable), Outcome.RESET
        )

    def on_unsent(self, request: Attempt | PendingPreload) -> None:
        """None of it has left: it was taken back, or there was no descriptor or port for its connection."""
        self._end_request(request, lambda _: not_sent_result(), Outcome.CONNECT_FAILED)

    def _end_request(
        self, carried: Attempt | PendingPreload, ending: Callable[[Attempt], AttemptResult], outcome: Outcome
    ) -> None:
        if isinstance(carried, Attempt):
            self._connection_by_attempt.pop(carried, None)
            self.dispatcher.attempt_ended(carried, ending(carried))
        else:
            self.finish_preload(carried, outcome, 0)

    def on_call_response(self, attempt: Attempt, ending: AttemptResult) -> None:
        """The runner's answer to an attempt."""
        self._connection_by_attempt.pop(attempt, None)
        self.dispatcher.attempt_ended(attempt, ending)

    def on_preload_response(self, order: PendingPreload, message: dict[str, Any]) -> None:
        """The runner's answer to an order."""
        fields = message.get("fields")
        copies = parse_count(fields.get("pods")) if isinstance(fields, dict) else None
        outcome = _OUTCOME_BY_OP.get(str(message.get("op")), Outcome.ERROR)
        self.finish_preload(order, outcome, copies or 0)

    def finish_preload(self, order: PendingPreload, outcome: Outcome, instances: int) -> None:
        """The one end of an order."""
        if not order.is_finished:
            order.is_finished = True
            for timer in order.timers:
                timer.cancel()
            took = self.dispatcher.clock() - order.sent_at_ms
            self.dispatcher.preload_ended(
                PreloadEnded(order.worker_id, order.function_id, outcome, instances, took)
            )

    def sweep(self, now: float) -> None:
        """Close what has carried nothing for long."""
        for pool in self.pools.values():
            pool.sweep(now, self.idle_limit_s())

    def close(self) -> None:
        """Close everything."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.close()
