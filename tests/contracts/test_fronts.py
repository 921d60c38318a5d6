"""What a router owes its clients, checked on each protocol; one more joins by a line in ``ROUTERS``.

A test plays the client and two workers; a worker does nothing till it is told to, unless all are to refuse.
"""

from __future__ import annotations

import asyncio
import base64
import heapq
import json
import struct
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

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
from tests.unit.simulator.frames import endpoint_entry, frame, instance_started, select_instance

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

# Served, refused or failed; ms until the client may retry, 0.0 where none are given.
Answer = tuple[str, float]
# A call, the worker that it came to, and the harness's own handle on the attempt.
AttemptHandle = tuple[int, int, Any]
HIT, FULL, BROKEN, SILENT = "HIT", "SHED", "broken", "silent"  # what a worker may do
VERDICTS = {HIT: 200, FULL: 429, BROKEN: 520, SILENT: 408}


LAYOUTS = {71: "<IId", 68: "<Id", 77: "<I", 79: "<IH", 66: "<I", 74: "<B", 67: "<dI", 72: "<I", 73: "<"}
authority = test_invoke.authority


class RouterHarness:
    """Both sides of a router, in a few verbs."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, Answer]] = []  # with the call's number, as they came
        self.attempts: list[AttemptHandle] = []
        self.cancelled: set[int] = set()
        self.is_shedding = False

    def answers_to(self, number: int) -> list[Answer]:
        return [answer for call, answer in self.answers if call == number]

    async def first_attempt(self, number: int) -> AttemptHandle:
        """The call's first attempt, once there is one."""
        await self.until(lambda: any(attempt[0] == number for attempt in self.attempts))
        return next(attempt for attempt in self.attempts if attempt[0] == number)

    async def fence(self, number: int) -> int:
        """A whole call: what was under way before it has come when it ends. The worker it ran at."""
        self.call(number, "check")
        attempt = await self.first_attempt(number)
        self.respond(attempt, HIT)
        await self.until(lambda: self.answers_to(number) != [])
        return attempt[1]

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None: ...
    def call(self, number: int, class_name: str, limit: int = 3000) -> None: ...
    def disconnect(self, number: int) -> None: ...
    def respond(self, attempt: AttemptHandle, what: str) -> None: ...
    def drain(self, worker: int) -> None: ...
    async def until(self, met: Callable[[], bool]) -> None: ...


class SimulatorHarness(RouterHarness):
    """The simulator's frames, on a clock of its own; it hands a worker's answer on to who still waits."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.host, self.now_ms, self.version = SimulatorHost(), 1000.0, 0
        self.due: list[tuple[float, bytes]] = []
        self.states, self.waiting = {1: 2, 2: 1}, dict[int, float]()
        self._feed(instance_started(SETTINGS))
        self.drain(2, 2)

    def _feed(self, *records: bytes) -> None:
        reply, place = self.host.handle_frame(frame(select_instance(3), *records, now_ms=self.now_ms)), 4
        while place < len(reply):
            if (code := reply[place]) == 75:  # a line of the log
                place += 3 + int.from_bytes(reply[place + 1 : place + 3], "little")
                continue
            number, *more = (*struct.unpack_from(LAYOUTS[code], reply, place + 1), 0)
            place += 1 + struct.calcsize(LAYOUTS[code])
            if code == 71:
                attempt = number, int(more[0]), sum(v[0] == number for v in self.attempts)
                self.attempts.append(attempt)
                late = self.now_ms + more[1] if more[1] else self.waiting[number]
                when, what = (self.now_ms, FULL) if self.is_shedding else (late, SILENT)
                heapq.heappush(self.due, (when, self._end(attempt, what)))
            elif code in (68, 77):
                assert self.now_ms <= self.waiting.pop(number, 0.0), "at its time, and to who waits"
                self.answers.append((number, ("refused", more[0]) if code == 68 else ("failed", 0.0)))
            elif code == 79:
                self.cancelled.add(number)
            elif code == 67:
                heapq.heappush(self.due, (number, struct.pack("<BI", 7, more[0])))

    def _end(self, attempt: AttemptHandle, what: str) -> bytes:
        done = attempt[0] not in self.waiting
        return struct.pack("<BIIdIHHBB", 5, *attempt[:2], 5.0, 0, attempt[2], VERDICTS[what], done, 0)

    def call(self, number: int, class_name: str, limit: int = 3000) -> None:
        self.waiting[number] = late = self.now_ms + limit
        place = [each["name"] for each in SETTINGS["classes"]].index(class_name)
        self._feed(struct.pack("<BIfdQHffdHH", 3, number, 1.0, late, 77, place, 384.0, 900.0, 12.0, 0, 0))

    def disconnect(self, number: int) -> None:
        del self.waiting[number]
        self._feed(struct.pack("<BI", 6, number))

    def respond(self, attempt: AttemptHandle, what: str) -> None:
        self.now_ms += 5.0
        if what == HIT and self.waiting.pop(attempt[0], None) is not None:
            self.answers.append((attempt[0], ("served", 0.0)))
        self._feed(self._end(attempt, what))

    def drain(self, worker: int, state: int = 1) -> None:
        self.states[worker], self.version = state, self.version + 1
        entries = b"".join(endpoint_entry(n, state) for n, state in self.states.items())
        table_record = struct.pack("<BII", 12, self.version, len(self.states)) + entries
        self._feed(table_record, struct.pack("<BBQI", 2, 3, self.version, self.version))

    async def until(self, met: Callable[[], bool]) -> None:
        while not met():
            assert self.due and self.due[0][0] < 60_000.0, "it never comes about"
            when, record = heapq.heappop(self.due)
            self.now_ms = max(self.now_ms, when)
            self._feed(record)


class SocketHarness(RouterHarness):
    """Over loopback: a whole service and two runners; the body of a call is its number."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.came, self.states = asyncio.Event(), [EndpointState.READY] * 2
        self.runners = [ScriptedWorker(self._behave) for _ in range(2)]
        for runner in self.runners:
            runner.message_received = self.came
        answers_to = service(*self.runners, invoke=config(authority))
        self.running = await stack.enter_async_context(answers_to)

    def _behave(self, runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        number = int(base64.b64decode(message["body"]))
        self.attempts.append((number, self.runners.index(runner) + 1, message))
        return answer_with(FULL)(runner, message) if self.is_shedding else None

    def respond(self, attempt: AttemptHandle, what: str) -> None:
        runner = self.runners[attempt[1] - 1]
        if what == BROKEN:
            runner.writers[-1].transport.abort()
            return
        runner.answer(
            attempt[2], (serve_uppercase if what == HIT else answer_with(what))(runner, attempt[2]) or {}
        )

    def drain(self, worker: int) -> None:
        self.states[worker - 1] = EndpointState.DRAINING
        answers_to = [endpoint_record(each, n, self.states[n - 1]) for n, each in enumerate(self.runners, 1)]
        self.running.update_endpoints(self.running.endpoint_list.version + 1, answers_to, is_complete=True)

    async def until(self, met: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not met():
                self.came.clear()
                await self.came.wait()
                ids = {id_ for runner in self.runners for id_ in runner.cancelled_ids}
                self.cancelled |= {call for call, _, message in self.attempts if message["id"] in ids}

    def _came(self, number: int, kind: str, later: float) -> None:
        self.answers.append((number, (kind, later)))
        self.came.set()


class Platform(SocketHarness):
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

    def call(self, number: int, class_name: str, limit: int = 3000) -> None:
        self.client.writer.write(pack_call(number, class_name, str(number).encode(), limit=str(limit)))

    def disconnect(self, number: int) -> None:
        self.client.writer.write(b"\x93\x02\xa9interrupt\x91" + bytes((number,)))


class Invoke(SocketHarness):
    """A connection with mutual TLS for each call."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        await super().open(stack, authority)
        self.context = authority.caller(DESK)
        self.tasks: dict[int, asyncio.Task[None]] = {}
        stack.callback(lambda: [task.cancel() for task in self.tasks.values()])

    async def _converse(self, number: int, class_name: str, limit: int) -> None:
        async with Caller(self.running, self.context) as caller:
            caller.send("POST", PATH + class_name, str(number).encode(), Call_Timeout_Ms=str(limit))
            while True:
                status, _, body = await caller.read()
                said = json.loads(body) if status != 200 else {}
                kind = {"harmless": "refused", "unknown": "failed"}[said["repeat"]] if said else "served"
                self._came(number, kind, said.get("retry_after_ms", 0.0))

    def call(self, number: int, class_name: str, limit: int = 3000) -> None:
        self.tasks[number] = asyncio.create_task(self._converse(number, class_name, limit))

    def disconnect(self, number: int) -> None:
        self.tasks[number].cancel()


ROUTERS: dict[str, Callable[[], RouterHarness]] = {
    "wire": SimulatorHarness,
    "platform": Platform,
    "invoke": Invoke,
}


async def one_answer(router: RouterHarness) -> None:
    """Exactly one, whatever comes twice: both ends of an attempt, in either order."""
    for number, acts in ((1, (HIT, HIT, FULL)), (2, (HIT, BROKEN)), (3, (BROKEN, HIT))):
        router.call(number, "confirm")
        attempt = await router.first_attempt(number)
        for what in acts:
            router.respond(attempt, what)
        await router.fence(10 + number)
        assert len(router.answers_to(number)) == 1


async def leaves(router: RouterHarness) -> None:
    """Cancelled at once, not when its time is up; no answer, neither of the worker nor in time."""
    for number, limit in ((1, 900), (2, 400)):
        router.call(number, "confirm", limit)
        await router.first_attempt(number)
    router.disconnect(1)
    await router.until(lambda: router.cancelled != set() or router.answers_to(2) != [])
    assert router.cancelled == {1}
    assert router.answers_to(2) == []
    router.respond(router.attempts[0], HIT)
    router.call(3, "confirm", 1200)
    await router.until(lambda: router.answers_to(3) != [])
    assert [call for call, _ in router.answers] == [2, 3]


async def drained(router: RouterHarness) -> None:
    home = await router.fence(1)
    router.drain(home)
    assert {await router.fence(number) for number in range(2, 8)} == {3 - home}


async def refused(router: RouterHarness) -> None:
    """Full everywhere: when to come back is told, and it is within what the settings allow."""
    router.is_shedding = True
    router.call(1, "check", 300)
    await router.until(lambda: router.answers_to(1) != [])
    ((kind, later),) = router.answers_to(1)
    assert kind == "refused"
    assert 0.0 < later <= SETTINGS["limits"]["max-retry-after"]
    assert {worker for _, worker, _ in router.attempts} == {1, 2}


async def broke(router: RouterHarness) -> None:
    """What may not run twice is failed and tried nowhere else."""
    await router.fence(1)
    router.call(2, "confirm")
    router.respond(await router.first_attempt(2), BROKEN)
    await router.until(lambda: router.answers_to(2) != [])
    assert router.answers_to(2) == [("failed", 0.0)]
    assert [call for call, _, _ in router.attempts] == [1, 2]


async def in_time(router: RouterHarness) -> None:
    """Each is answered when its own time is up: the one asked last is up first."""
    for number, limit in ((1, 900), (2, 300)):
        router.call(number, "confirm", limit)
        await router.first_attempt(number)
    await router.until(lambda: len(router.answers) == 2)
    assert router.answers == [(2, ("failed", 0.0)), (1, ("failed", 0.0))]


@pytest.mark.parametrize("rule", [one_answer, leaves, drained, refused, broke, in_time])
@pytest.mark.parametrize("make", ROUTERS.values(), ids=list(ROUTERS))
def test_the_contract_holds(
    make: Callable[[], RouterHarness],
    rule: Callable[[RouterHarness], Coroutine[Any, Any, None]],
    authority: Authority,
) -> None:
    async def play() -> None:
        async with AsyncExitStack() as stack:
            router = make()
            await router.open(stack, authority)
            await rule(router)

    asyncio.run(play())
