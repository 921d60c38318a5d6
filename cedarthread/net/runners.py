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

from cedarthread import interface as i
from cedarthread.core.calls import Attempt, Call, Ending, Progress, broken, unsent
from cedarthread.core.planner import Planner
from cedarthread.net.descriptors import SCARCE
from cedarthread.net.roster import Listing
from cedarthread.net.stream import Flusher, Stream

log = logging.getLogger("cedarthread.runners")

LINE = 384 * 1024  # the longest answer: a body of 256 KiB in base64, 349,528 bytes, and its fields
CANCEL_SETTLES = (
    0.010  # s from writing CANCEL till the attempt counts as given up: it must have arrived by then
)
DRAIN_LEAVES = 0.4  # s after news of a drain in which what was handed to the socket must have left
ORDER_LEAVES = 0.5  # s in which an order to load must begin to leave
SPENT = 512  # given-up ids after which a connection takes no more
QUIET = 1.0  # s of silence after which giving an attempt up retires its connection
IDLE_PART = 0.8  # part of the peer's idle time after which this end closes first
CROWD = 30  # the most calls of one function that an answer tells of
_LOCAL = SCARCE | {errno.EADDRNOTAVAIL}  # a dial that failed for want of something here proves nothing
_OUTCOMES = {
    "HIT": i.Outcome.OK,
    "NONE": i.Outcome.MISS,
    "SHED": i.Outcome.FULL,
    "FAULT": i.Outcome.ERROR,
    "LATE": i.Outcome.MOOT,
}
_NOTES = {
    "hit": i.CopyNote.FOUND,
    "spawn": i.CopyNote.BEGAN,
    "pending": i.CopyNote.AWAITED,
    "spawn_failed": i.CopyNote.LOAD_FAILED,
}


@dataclass(eq=False, slots=True)
class Order:
    """An order to load that waits for its answer."""

    tag: str
    worker: int
    function: int
    at: float
    done: bool = False
    timers: list[asyncio.TimerHandle] = field(default_factory=list)  # till it is done


@dataclass(eq=False, slots=True)
class _Line:
    """A line to be written, and the attempt or order that it carries."""

    data: bytes
    carries: Attempt | Order | None = None


def call_line(call: Call, klass: str, wait: float) -> bytes:
    """The line that starts an attempt. Its shape never changes: only texts from outside need an encoder."""
    key = "" if call.key is None else f',"replay":{json.dumps(call.key)}'
    fields = f'"profile":{klass},"thing":"{call.function:016x}","max":{max(1, int(wait))}{key}'
    head = f'{{"op":"CALL","id":"{call.name}","fields":{{{fields}}},"body":"'
    return b"".join((head.encode(), binascii.b2a_base64(call.body, newline=False), b'"}\n'))


def order_line(op: str, tag: str, fields: dict[str, Any] | None = None) -> bytes:
    """A line without a body."""
    message = {"op": op, "id": tag} | ({"fields": fields} if fields is not None else {})
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def _whole(value: Any) -> int | None:
    try:
        return min(max(0, int(value)), CROWD)
    except (TypeError, ValueError, OverflowError):
        return None


def read_report(text: Any, columns: tuple[str, ...]) -> tuple[float | None, ...]:
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


def read_ending(message: dict[str, Any], columns: tuple[str, ...]) -> Ending | None:
    """An answer to a call; None for one that is spoilt: what ran is not known, nor what else comes there."""
    outcome, fields = _OUTCOMES.get(str(message.get("op"))), message.get("fields") or {}
    if outcome is None or not isinstance(fields, dict):
        return None
    body = b""
    if outcome is i.Outcome.OK:
        try:
            body = binascii.a2b_base64(message["body"], strict_mode=True)
        except (binascii.Error, KeyError, TypeError, ValueError):
            return None
    note = _NOTES.get(str(fields.get("remark")), i.CopyNote.NONE)
    crowd = _whole(fields.get("depth", 0))
    return Ending(outcome, body, note, crowd, read_report(fields.get("report"), columns))


class RunnerConnection(Stream):
    """One connection to a runner."""

    high_water = 0  # paused exactly while bytes stand in this process: so it is known what has left

    def __init__(self, pool: Pool) -> None:
        super().__init__(LINE, pool.runners.flusher)
        self.pool = pool
        self.lines: list[_Line] = []  # not handed to the socket yet
        self.leaving: list[_Line] = []  # handed over, not wholly taken yet
        self.open: dict[str, Attempt | Order] = {}
        self.spent: set[str] = set()
        self.retired = False
        self.dial: asyncio.Timeout | None = None  # till when it has to come up
        self.unreached = False  # it never came up, for a reason that lies with the runner
        self.starved = False  # it never came up, for want of a descriptor or port here
        self.used = self._loop.time()
        self.born = pool.runners.planner.clock()

    def stuck(self, lines: list[_Line]) -> None:
        """Close if some of these lines have not left: nothing may begin to leave long after a drain."""
        self.look()
        if not self.closed and any(line in self.leaving for line in lines):
            self.abort()

    def takes(self, name: str) -> bool:
        """May a further attempt of this name go here?"""
        if self.retired or self.closed or name in self.open or name in self.spent:
            return False
        if self.transport is not None and self.transport.is_closing():
            return False
        # Guards against a stall past the sweep that was due: the runner's own idle close is on its way.
        if not self.open and self._loop.time() - self.used > self.pool.runners.spare_after():
            return False
        return len(self.open) < self.pool.runners.settings.limits.streams

    def carries_nothing(self) -> bool:
        """It is up, nothing is open on it, and nothing waits to leave."""
        return self.transport is not None and not (self.open or self.lines or self.leaving or self.paused)

    def put(self, name: str, line: bytes, carries: Attempt | Order) -> None:
        """Queue an attempt or an order."""
        self.used = self._loop.time()
        self.open[name] = carries
        self.lines.append(_Line(line, carries))
        self.flush_soon()

    def say(self, data: bytes) -> _Line:
        """Queue a line that has no answer."""
        self.used = self._loop.time()
        line = _Line(data)
        self.lines.append(line)
        self.flush_soon()
        return line

    def left(self, line: _Line) -> bool:
        """Has the socket taken all of it?"""
        return line not in self.lines and line not in self.leaving

    def withdraw(self, carried: Attempt | Order) -> bool:
        """Take back what no byte of has left; False where it is too late for that."""
        for line in self.lines:
            if line.carries is carried:
                self.lines.remove(line)
                self.open.pop(carried.call.name if isinstance(carried, Attempt) else carried.tag, None)
                return True
        return False

    def call_off(self, carried: Attempt | Order) -> None:
        """Withdraw it, and end it as one that never ran; what has begun to leave goes on."""
        if self.withdraw(carried):
            self.pool.runners.unsent(carried)

    def forget(self, name: str) -> None:
        """An attempt's answer is nobody's from now on, and its name is not used here again."""
        self.open.pop(name, None)
        self._spend(name)

    def give_up(self, attempt: Attempt) -> _Line | None:
        """Have the runner drop an attempt: the line that tells it, None where it can't be told."""
        self.forget(attempt.call.name)
        if self.closed:
            return None
        return self.say(order_line("CANCEL", attempt.call.name))

    def opened(self) -> None:
        """The connection is up: what waited for it leaves."""
        if self.closed:  # given up while it was being made
            return super().abort()
        if self.dial is not None and not self.dial.expired():
            # Guards a call that is about to be written: the time may be up later in this turn of the loop.
            self.dial.reschedule(None)
        for line in self.lines:
            self._mark(line, Progress.UNWRITTEN)
        self._drop_overdue()
        self.flush_soon()

    def _mark(self, line: _Line, progress: Progress) -> None:
        _mark(line, progress, self.pool.runners.planner)

    def _drop_overdue(self) -> None:
        """What waited here past the time by which it must leave does not leave any more."""
        now = self.pool.runners.planner.clock()
        for carried in [line.carries for line in self.lines]:
            if isinstance(carried, Attempt) and now > carried.leave_by:
                self.call_off(carried)

    def flush(self) -> None:
        """Hand the queue to the socket, and note how much of it the socket took."""
        self._flush_due = False
        if not self.lines or self.paused or self.transport is None or self.closed:
            return
        if self.transport.is_closing():
            return
        planner = self.pool.runners.planner
        for carried in [line.carries for line in self.lines]:
            if isinstance(carried, Attempt) and not planner.may_begin(carried):
                self.call_off(carried)
        lines, self.lines = self.lines, []
        data = b"".join(line.data for line in lines)
        self.transport.write(data)
        if self.transport.is_closing():  # the write failed at once: not a byte of it has left
            return
        taken = len(data) - self.transport.get_write_buffer_size()
        for line in lines:
            if taken >= len(line.data):
                self._mark(line, Progress.WRITTEN)
            else:
                self._mark(line, Progress.PARTLY_WRITTEN)
                self.leaving.append(line)
            taken -= len(line.data)

    def look(self) -> None:
        """Note what the socket has taken since: a line may have left while others behind it have not."""
        if self.transport is None or not self.leaving:
            return
        waiting = self.transport.get_write_buffer_size()
        while self.leaving and sum(len(line.data) for line in self.leaving[1:]) >= waiting:
            self._mark(self.leaving.pop(0), Progress.WRITTEN)

    def resume_writing(self) -> None:
        """All that was handed over has left."""
        for line in self.leaving:
            self._mark(line, Progress.WRITTEN)
        self.leaving.clear()
        self._drop_overdue()
        super().resume_writing()

    def received(self, data: memoryview) -> int | None:
        """Take whole lines."""
        at = 0
        while (end := self.buffer.find(b"\n", at)) >= 0:
            try:
                message = json.loads(str(data[at:end], "utf-8"))  # json reads no memoryview: a copy has to be
            except (ValueError, RecursionError):
                message = None
            if not isinstance(message, dict) or not self._answer(message):
                return None
            at = end + 1
        return at

    def eof_received(self) -> bool:
        """The runner writes no more: nothing that is open here can be answered.

        Guards against a wait for a runner that reads no more either: a close lets what waits leave first."""
        self._cut()
        self.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is down."""
        if exc is not None:
            self._cut()
        super().connection_lost(exc)

    def _cut(self) -> None:
        if held := len(self.buffer.held()):
            text = "runner %s ended its connection in the middle of an answer, after %d bytes of it"
            log.warning(text, self.pool.listing.name, held)

    def _answer(self, message: dict[str, Any]) -> bool:
        """Act on an answer; False where it is spoilt. One under an id not open here is passed over."""
        name = message.get("id")
        carried = self.open.get(name) if isinstance(name, str) else None
        self.used = self._loop.time()
        if isinstance(carried, Attempt):
            ending = read_ending(message, self.pool.runners.settings.report_columns)
            if ending is None:
                return False
            del self.open[carried.call.name]
            if ending.outcome is not i.Outcome.OK:
                self._spend(carried.call.name)  # a second copy of this answer must not end a later attempt
            carried.progress = Progress.ANSWERED
            self.pool.runners.answered(carried, ending)
        elif carried is not None:
            del self.open[carried.tag]
            self.pool.runners.order_answered(carried, message)
        return isinstance(name, str)

    def _spend(self, name: str) -> None:
        self.spent.add(name)
        self.retired = self.retired or len(self.spent) > SPENT

    def bad_input(self) -> None:
        """Nothing that still comes here is of use: all that is open ends by how far it came."""
        log.warning("runner %s sent what is no answer", self.pool.listing.name)
        self.abort()

    def lost(self) -> None:
        """All that is open here has ended."""
        # Of what stood half-written the last line has not left whole. The ones before it may have.
        for line in self.leaving[:-1]:
            self._mark(line, Progress.WRITTEN)
        self.leaving.clear()
        self.pool.drop(self)
        carried, self.open = self.open, {}
        for one in carried.values():
            if self.starved:
                self.pool.runners.unsent(one)
            else:
                self.pool.runners.broke(one, unreached=self.unreached)

    def leave(self) -> None:
        """Close, carrying nothing. A close would not end a dial that nothing waits for any more, nor one that
        takes no bytes: it waits till what is to be written has left."""
        self.abort() if self.transport is None or self.paused else self.close()

    def abort(self) -> None:
        """Close at once, also one that is still being made."""
        self.retired = True
        if self.transport is not None:
            super().abort()
        elif not self.closed:
            self.closed = True
            self.lost()


def _mark(line: _Line, progress: Progress, planner: Planner) -> None:
    attempt = line.carries
    if isinstance(attempt, Attempt) and attempt.progress < Progress.ANSWERED:
        if attempt.progress < Progress.WRITTEN <= progress:
            planner.tried(attempt)
        attempt.progress = progress


@dataclass(eq=False, slots=True)
class Pool:
    """The connections to one runner."""

    runners: Runners
    listing: Listing
    connections: list[RunnerConnection] = field(default_factory=list)
    dialling: dict[RunnerConnection, asyncio.Task[None]] = field(default_factory=dict)

    def connection(self, name: str) -> RunnerConnection | None:
        """One with room, a new one if need be; None at the process's bound."""
        for connection in self.connections:
            if connection.takes(name):
                return connection
        if not self.runners.may_dial():
            return None
        connection = RunnerConnection(self)
        self.connections.append(connection)
        task = asyncio.get_running_loop().create_task(self._dial(connection))
        self.dialling[connection] = task
        task.add_done_callback(lambda _: self.dialling.pop(connection, None))
        return connection

    async def _dial(self, connection: RunnerConnection) -> None:
        try:
            limit = self.runners.settings.limits.connect_timeout / 1000.0
            async with asyncio.timeout(limit) as connection.dial:
                await self._connect(connection)
        except (OSError, TimeoutError) as error:
            if not connection.closed:
                log.info("runner %s not reached: %s", self.listing.name, error or "no connection in time")
                connection.starved = error.errno in _LOCAL
                connection.unreached = not connection.starved
                connection.abort()

    async def _connect(self, connection: RunnerConnection) -> None:
        """Dial. Where no descriptor is left, what carries nothing gives one back: a call comes before it."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                await loop.create_connection(lambda: connection, self.listing.host, self.listing.port)
                return
            except OSError as error:
                if error.errno not in SCARCE or not self.runners.give_back():
                    raise
            await asyncio.sleep(0)  # it is closed in the next turn

    def drop(self, connection: RunnerConnection) -> None:
        """A connection is down. Guards the count: a dial that nobody waits for would hold its descriptor."""
        if connection in self.connections:
            self.connections.remove(connection)
        task = self.dialling.get(connection)
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def spare(self) -> RunnerConnection | None:
        """The one that has carried nothing for longest, of those that close at once."""
        idle = [c for c in self.connections if c.carries_nothing()]
        return min(idle, key=lambda c: c.used, default=None)

    def retire(self, *, now: bool, until: float = math.inf) -> None:
        """Put no more on the connections begun until then; close them, at once or when they are empty."""
        for connection in [c for c in self.connections if c.born <= until]:
            connection.retired = True
            for carried in [line.carries for line in connection.lines]:
                # Guards the rule on drains: what waits for a slow runner must not leave long after the news.
                if carried is not None:
                    connection.call_off(carried)
            if now:
                connection.abort()
            elif not connection.open:
                connection.leave()
            elif connection.leaving:
                self.runners._loop.call_later(DRAIN_LEAVES, connection.stuck, list(connection.leaving))

    def sweep(self, now: float, idle: float) -> None:
        """Close what has carried nothing for long, before the runner does and a call crosses its close."""
        for connection in list(self.connections):
            spare = connection.retired or now - connection.used > idle
            if spare and connection.transport is not None and not connection.open:
                connection.leave()


class Runners:
    """All runners: the planner's way to the workers."""

    def __init__(self, settings: i.Settings, planner: Planner, most: int, flusher: Flusher) -> None:
        self.flusher = flusher
        self.settings = settings
        self.planner = planner
        self.most = most
        self.room: Callable[[], bool] = lambda: False  # has others give a descriptor back, where they can
        self.pools: dict[int, Pool] = {}
        self.names: list[str] = []
        self.retune(settings)
        self._carrying: dict[Attempt, RunnerConnection] = {}
        self._tags = 0
        self._loop = asyncio.get_running_loop()

    def retune(self, settings: i.Settings) -> None:
        """New settings; the classes' places stay."""
        self.settings = settings
        self.names = [json.dumps(klass.name) for klass in settings.classes]

    def update(self, told: dict[int, Listing]) -> None:
        """Follow the roster, by number: runners that are gone or have started anew lose their connections."""
        for number, pool in list(self.pools.items()):
            new = told.get(number)
            if new is None:
                del self.pools[number]
                pool.retire(now=True)
            elif (new.host, new.port) != (pool.listing.host, pool.listing.port):
                pool.retire(now=True)
            elif new.started != pool.listing.started:
                # The news of a start comes late: what was begun since then leads to the new process.
                pool.retire(now=True, until=new.started)
            if new is not None and new.state is not i.WorkerState.READY:
                pool.retire(now=False)  # beside the others: one list may tell of a start and of its drain
        for number, listing in told.items():
            pool = self.pools.setdefault(number, Pool(self, listing))
            pool.listing = listing

    def spare_after(self) -> float:
        """Seconds without work after which a connection is closed, before the runner does."""
        return self.settings.limits.idle / 1000.0 * IDLE_PART

    def may_dial(self) -> bool:
        """Is there a descriptor left for one more connection? At the bound, one that is idle gives way."""
        if sum(len(pool.connections) for pool in self.pools.values()) < self.most or self._close_spare():
            return True
        log.warning("bound of %d runner connections reached", self.most)
        return False

    def give_back(self) -> bool:
        """Have a connection that carries nothing closed, a client's or a runner's: its descriptor is free in
        the next turn. False where there is none."""
        return self.room() or self._close_spare()

    def _close_spare(self) -> bool:
        spares = [spare for pool in self.pools.values() if (spare := pool.spare()) is not None]
        spare = min(spares, key=lambda c: c.used, default=None)
        if spare is not None:
            spare.pool.drop(spare)
            spare.abort()
        return spare is not None

    # What the planner asks for.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt."""
        pool = self.pools.get(attempt.worker)
        if pool is None:
            return self.planner.ended(attempt, broken(attempt))
        connection = pool.connection(attempt.call.name)
        if connection is None:
            return self.planner.ended(attempt, unsent())
        wait = attempt.call.give_up - attempt.at
        line = call_line(attempt.call, self.names[attempt.call.klass], wait)
        if connection.transport is not None:
            attempt.progress = Progress.UNWRITTEN
        self._carrying[attempt] = connection
        connection.put(attempt.call.name, line, attempt)

    def look(self, attempt: Attempt) -> None:
        """Bring the attempt's progress up to date."""
        if (connection := self._carrying.get(attempt)) is not None:
            connection.look()

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt of which nothing has left; any other goes on."""
        if (connection := self._carrying.get(attempt)) is not None:
            connection.call_off(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up. Its end follows once it is sure not to run on unseen."""
        connection = self._carrying.pop(attempt, None)
        if connection is None or attempt.progress is Progress.ANSWERED:
            return
        if connection.withdraw(attempt):
            return self.planner.ended(attempt, broken(attempt))
        # Guards against a machine that has vanished: its connections stay open and silent; a new one tells.
        connection.retired = connection.retired or self._loop.time() - connection.last_read > QUIET
        if not self.settings.limits.cancel:  # it ends here alone
            connection.forget(attempt.call.name)
            return self.planner.ended(attempt, Ending(i.Outcome.TIMEOUT))
        told = connection.give_up(attempt)
        if told is not None:
            self._loop.call_later(CANCEL_SETTLES, self._given_up, attempt, connection, told)
        else:
            self._given_up(attempt, connection, None)

    def _given_up(self, attempt: Attempt, connection: RunnerConnection, told: _Line | None) -> None:
        """Where the runner reads nothing, it has not been told: closing is the one way to give it up."""
        if told is None or not connection.left(told):
            connection.abort()
        self.planner.ended(attempt, Ending(i.Outcome.CANCELLED))

    def order(self, worker: int, function: int, copies: int) -> None:
        """Order a load."""
        self._tags += 1
        order = Order(f"load-{self._tags}", worker, function, self.planner.clock())
        pool = self.pools.get(worker)
        connection = pool.connection(order.tag) if pool is not None else None
        if connection is None:
            return self.order_done(order, i.Outcome.CONNECT_FAILED, 0)
        fields = {"thing": f"{function:016x}", "pods": copies}
        connection.put(order.tag, order_line("LOAD", order.tag, fields), order)
        limit = self.settings.order_timeout / 1000.0
        order.timers += (
            self._loop.call_later(ORDER_LEAVES, self._order_stuck, order, connection),
            self._loop.call_later(limit, self._order_late, order, connection),
        )

    def _order_stuck(self, order: Order, connection: RunnerConnection) -> None:
        """Guards the ration of orders: those that wait for a slow runner would reach it all at once."""
        if connection.withdraw(order):
            self.order_done(order, i.Outcome.CONNECT_FAILED, 0)

    def _order_late(self, order: Order, connection: RunnerConnection) -> None:
        """Guards against lost orders that hold their places for good: a lost one gets no answer."""
        if not connection.withdraw(order):
            connection.open.pop(order.tag, None)
        self.order_done(order, i.Outcome.TIMEOUT, 0)

    def unload(self, worker: int, function: int) -> None:
        """Have idle copies unloaded."""
        pool = self.pools.get(worker)
        if pool is not None and (connection := pool.connection("")) is not None:
            connection.say(order_line("UNLOAD", f"{function:016x}"))

    def close_idle(self, worker: int) -> None:
        """Close the connections there that carry nothing."""
        if (pool := self.pools.get(worker)) is not None:
            pool.sweep(self._loop.time(), -1.0)

    # What connections tell.

    def broke(self, carried: Attempt | Order, *, unreached: bool) -> None:
        """The connection under it broke, or never came up."""
        self._lost(carried, partial(broken, unreached=unreached), i.Outcome.RESET)

    def unsent(self, carried: Attempt | Order) -> None:
        """None of it has left: it was taken back, or there was no descriptor or port for its connection."""
        self._lost(carried, lambda _: unsent(), i.Outcome.CONNECT_FAILED)

    def _lost(
        self, carried: Attempt | Order, ending: Callable[[Attempt], Ending], outcome: i.Outcome
    ) -> None:
        if isinstance(carried, Attempt):
            self._carrying.pop(carried, None)
            self.planner.ended(carried, ending(carried))
        else:
            self.order_done(carried, outcome, 0)

    def answered(self, attempt: Attempt, ending: Ending) -> None:
        """The runner's answer to an attempt."""
        self._carrying.pop(attempt, None)
        self.planner.ended(attempt, ending)

    def order_answered(self, order: Order, message: dict[str, Any]) -> None:
        """The runner's answer to an order."""
        fields = message.get("fields")
        copies = _whole(fields.get("pods")) if isinstance(fields, dict) else None
        outcome = _OUTCOMES.get(str(message.get("op")), i.Outcome.ERROR)
        self.order_done(order, outcome, copies or 0)

    def order_done(self, order: Order, outcome: i.Outcome, copies: int) -> None:
        """The one end of an order."""
        if not order.done:
            order.done = True
            for timer in order.timers:
                timer.cancel()
            took = self.planner.clock() - order.at
            self.planner.order_ended(i.OrderEnded(order.worker, order.function, outcome, copies, took))

    def sweep(self, now: float) -> None:
        """Close what has carried nothing for long."""
        for pool in self.pools.values():
            pool.sweep(now, self.spare_after())

    def close(self) -> None:
        """Close everything."""
        for pool in self.pools.values():
            for connection in list(pool.connections):
                connection.close()
