"""What each front owes its clients, held by every one; a front joins by a line in ``FRONTS``.

A test plays the client and two workers; a worker does nothing till it is told to, unless all are to refuse.
"""

from __future__ import annotations

import asyncio
import base64
import heapq
import json
import struct
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

import pytest

from cedarthread.model.endpoints import EndpointState
from cedarthread.simulator.host import SimulatorHost
from cedarthread.testing.fakes.scripted import (
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    pack_call,
    serve_uppercase,
    service,
)
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration import test_invoke
from tests.integration.test_invoke import DESK, PATH, Authority, Caller, config
from tests.unit.test_simulator_codec import at, frame, start, table

Answer = tuple[str, float]  # served, refused or failed; ms till it may come back, 0.0 where none are told
Visit = tuple[int, int, Any]  # a call, the worker that it came to, and the front's own handle on the attempt
HIT, FULL, BROKEN, SILENT = "HIT", "SHED", "broken", "silent"  # what a worker may do
VERDICTS = {HIT: 200, FULL: 429, BROKEN: 520, SILENT: 408}


LAYOUTS = {71: "<IId", 68: "<Id", 77: "<I", 79: "<IH", 66: "<I", 74: "<B", 67: "<dI", 72: "<I", 73: "<"}
authority = test_invoke.authority


class Front:
    """Both sides of a router, in few verbs."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, Answer]] = []  # with the call's number, as they came
        self.visits: list[Visit] = []
        self.cancelled: set[int] = set()
        self.refusing = False

    def told(self, number: int) -> list[Answer]:
        return [answer for call, answer in self.answers if call == number]

    async def visit(self, number: int) -> Visit:
        """The call's first attempt, once there is one."""
        await self.until(lambda: any(visit[0] == number for visit in self.visits))
        return next(visit for visit in self.visits if visit[0] == number)

    async def fence(self, number: int) -> int:
        """A whole call: what was under way before it has come when it ends. The worker it ran at."""
        self.call(number, "check")
        visit = await self.visit(number)
        self.act(visit, HIT)
        await self.until(lambda: self.told(number) != [])
        return visit[1]

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None: ...
    def call(self, number: int, klass: str, limit: int = 3000) -> None: ...
    def leave(self, number: int) -> None: ...
    def act(self, visit: Visit, what: str) -> None: ...
    def drain(self, worker: int) -> None: ...
    async def until(self, met: Callable[[], bool]) -> None: ...


class Wire(Front):
    """The simulator's frames, on a clock of its own; it hands a worker's answer on to who still waits."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.host, self.now, self.version = SimulatorHost(), 1000.0, 0
        self.due: list[tuple[float, bytes]] = []
        self.states, self.waiting = {1: 2, 2: 1}, dict[int, float]()
        self._feed(start(SETTINGS))
        self.drain(2, 2)

    def _feed(self, *records: bytes) -> None:
        reply, place = self.host.handle_frame(frame(at(3), *records, now=self.now)), 4
        while place < len(reply):
            if (code := reply[place]) == 75:  # a line of the log
                place += 3 + int.from_bytes(reply[place + 1 : place + 3], "little")
                continue
            number, *more = (*struct.unpack_from(LAYOUTS[code], reply, place + 1), 0)
            place += 1 + struct.calcsize(LAYOUTS[code])
            if code == 71:
                visit = number, int(more[0]), sum(v[0] == number for v in self.visits)
                self.visits.append(visit)
                late = self.now + more[1] if more[1] else self.waiting[number]
                when, what = (self.now, FULL) if self.refusing else (late, SILENT)
                heapq.heappush(self.due, (when, self._end(visit, what)))
            elif code in (68, 77):
                assert self.now <= self.waiting.pop(number, 0.0), "at its time, and to who waits"
                self.answers.append((number, ("refused", more[0]) if code == 68 else ("failed", 0.0)))
            elif code == 79:
                self.cancelled.add(number)
            elif code == 67:
                heapq.heappush(self.due, (number, struct.pack("<BI", 7, more[0])))

    def _end(self, visit: Visit, what: str) -> bytes:
        done = visit[0] not in self.waiting
        return struct.pack("<BIIdIHHBB", 5, *visit[:2], 5.0, 0, visit[2], VERDICTS[what], done, 0)

    def call(self, number: int, klass: str, limit: int = 3000) -> None:
        self.waiting[number] = late = self.now + limit
        place = [each["name"] for each in SETTINGS["classes"]].index(klass)
        self._feed(struct.pack("<BIfdQHffdHH", 3, number, 1.0, late, 77, place, 384.0, 900.0, 12.0, 0, 0))

    def leave(self, number: int) -> None:
        del self.waiting[number]
        self._feed(struct.pack("<BI", 6, number))

    def act(self, visit: Visit, what: str) -> None:
        self.now += 5.0
        if what == HIT and self.waiting.pop(visit[0], None) is not None:
            self.answers.append((visit[0], ("served", 0.0)))
        self._feed(self._end(visit, what))

    def drain(self, worker: int, state: int = 1) -> None:
        self.states[worker], self.version = state, self.version + 1
        entries = b"".join(table(0, n, state=state)[9:] for n, state in self.states.items())
        whole = struct.pack("<BII", 12, self.version, len(self.states)) + entries
        self._feed(whole, struct.pack("<BBQI", 2, 3, self.version, self.version))

    async def until(self, met: Callable[[], bool]) -> None:
        while not met():
            assert self.due and self.due[0][0] < 60_000.0, "it never comes about"
            when, record = heapq.heappop(self.due)
            self.now = max(self.now, when)
            self._feed(record)


class Real(Front):
    """Over loopback: a whole service and two runners; the body of a call is its number."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.came, self.states = asyncio.Event(), [EndpointState.READY] * 2
        self.runners = [ScriptedWorker(self._behave) for _ in range(2)]
        for runner in self.runners:
            runner.message_received = self.came
        told = service(*self.runners, invoke=config(authority))
        self.running = await stack.enter_async_context(told)

    def _behave(self, runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        number = int(base64.b64decode(message["body"]))
        self.visits.append((number, self.runners.index(runner) + 1, message))
        return answer_with(FULL)(runner, message) if self.refusing else None

    def act(self, visit: Visit, what: str) -> None:
        runner = self.runners[visit[1] - 1]
        if what == BROKEN:
            return runner.writers[-1].transport.abort()
        runner.answer(
            visit[2], (serve_uppercase if what == HIT else answer_with(what))(runner, visit[2]) or {}
        )

    def drain(self, worker: int) -> None:
        self.states[worker - 1] = EndpointState.DRAINING
        told = [endpoint_record(each, n, self.states[n - 1]) for n, each in enumerate(self.runners, 1)]
        self.running.update_endpoints(self.running.endpoint_list.version + 1, told, is_complete=True)

    async def until(self, met: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not met():
                self.came.clear()
                await self.came.wait()
                ids = {id_ for runner in self.runners for id_ in runner.cancelled_ids}
                self.cancelled |= {call for call, _, message in self.visits if message["id"] in ids}

    def _came(self, number: int, kind: str, later: float) -> None:
        self.answers.append((number, (kind, later)))
        self.came.set()


class Platform(Real):
    """One client's connection carries all calls."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        await super().open(stack, authority)
        self.client = await stack.enter_async_context(client(self.running))
        self.reading = asyncio.create_task(self._read())
        stack.callback(self.reading.cancel)

    async def _read(self) -> None:
        while (message := await self.client.read()) is not None:
            _, number, error, _ = message
            kind = "served" if error is None else {"Backoff": "refused", "Lost": "failed"}[error[0]]
            self._came(number, kind, float(error[1].get("later", 0)) if error else 0.0)

    def call(self, number: int, klass: str, limit: int = 3000) -> None:
        self.client.writer.write(pack_call(number, klass, str(number).encode(), limit=str(limit)))

    def leave(self, number: int) -> None:
        self.client.writer.write(b"\x93\x02\xa9interrupt\x91" + bytes((number,)))


class Invoke(Real):
    """A connection with mutual TLS for each call."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        await super().open(stack, authority)
        self.context = authority.caller(DESK)
        self.tasks: dict[int, asyncio.Task[None]] = {}
        stack.callback(lambda: [task.cancel() for task in self.tasks.values()])

    async def _converse(self, number: int, klass: str, limit: int) -> None:
        async with Caller(self.running, self.context) as caller:
            caller.send("POST", PATH + klass, str(number).encode(), Call_Timeout_Ms=str(limit))
            while True:
                status, _, body = await caller.read()
                said = json.loads(body) if status != 200 else {}
                kind = {"harmless": "refused", "unknown": "failed"}[said["repeat"]] if said else "served"
                self._came(number, kind, said.get("retry_after_ms", 0.0))

    def call(self, number: int, klass: str, limit: int = 3000) -> None:
        self.tasks[number] = asyncio.create_task(self._converse(number, klass, limit))

    def leave(self, number: int) -> None:
        self.tasks[number].cancel()


FRONTS: dict[str, Callable[[], Front]] = {"wire": Wire, "platform": Platform, "invoke": Invoke}


async def one_answer(front: Front) -> None:
    """Exactly one, whatever comes twice: both ends of an attempt, in either order."""
    for number, acts in ((1, (HIT, HIT, FULL)), (2, (HIT, BROKEN)), (3, (BROKEN, HIT))):
        front.call(number, "confirm")
        visit = await front.visit(number)
        for what in acts:
            front.act(visit, what)
        await front.fence(10 + number)
        assert len(front.told(number)) == 1


async def leaves(front: Front) -> None:
    """Cancelled at once, not when its time is up; no answer, neither of the worker nor in time."""
    for number, limit in ((1, 900), (2, 400)):
        front.call(number, "confirm", limit)
        await front.visit(number)
    front.leave(1)
    await front.until(lambda: front.cancelled != set() or front.told(2) != [])
    assert front.cancelled == {1} and front.told(2) == []
    front.act(front.visits[0], HIT)
    front.call(3, "confirm", 1200)
    await front.until(lambda: front.told(3) != [])
    assert [call for call, _ in front.answers] == [2, 3]


async def drained(front: Front) -> None:
    home = await front.fence(1)
    front.drain(home)
    assert {await front.fence(number) for number in range(2, 8)} == {3 - home}


async def refused(front: Front) -> None:
    """Full everywhere: when to come back is told, and it is within what the settings allow."""
    front.refusing = True
    front.call(1, "check", 300)
    await front.until(lambda: front.told(1) != [])
    ((kind, later),) = front.told(1)
    assert kind == "refused" and 0.0 < later <= SETTINGS["limits"]["max-retry-after"]
    assert {worker for _, worker, _ in front.visits} == {1, 2}


async def broke(front: Front) -> None:
    """What may not run twice is failed and tried nowhere else."""
    await front.fence(1)
    front.call(2, "confirm")
    front.act(await front.visit(2), BROKEN)
    await front.until(lambda: front.told(2) != [])
    assert front.told(2) == [("failed", 0.0)] and [call for call, _, _ in front.visits] == [1, 2]


async def in_time(front: Front) -> None:
    """Each is answered when its own time is up: the one asked last is up first."""
    for number, limit in ((1, 900), (2, 300)):
        front.call(number, "confirm", limit)
        await front.visit(number)
    await front.until(lambda: len(front.answers) == 2)
    assert front.answers == [(2, ("failed", 0.0)), (1, ("failed", 0.0))]


@pytest.mark.parametrize("rule", [one_answer, leaves, drained, refused, broke, in_time])
@pytest.mark.parametrize("make", FRONTS.values(), ids=list(FRONTS))
def test_the_contract_holds(
    make: Callable[[], Front], rule: Callable[[Front], Coroutine[Any, Any, None]], authority: Authority
) -> None:
    async def play() -> None:
        async with AsyncExitStack() as stack:
            front = make()
            await front.open(stack, authority)
            await rule(front)

    asyncio.run(play())
