"""The test harness of the router contract for the simulator's protocol, on a virtual clock."""

from __future__ import annotations

import heapq
import struct
from enum import IntEnum
from typing import TYPE_CHECKING

from cedarthread.simulator.host import SimulatorHost
from cedarthread.testing.fakes.settings import SETTINGS
from tests.contracts.router_harness import Answer, AnswerKind, Attempt, RouterHarness, WorkerAction
from tests.unit.simulator.frames import (
    endpoint_entry,
    endpoint_table,
    endpoint_update,
    frame,
    instance_started,
    select_instance,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AsyncExitStack

    from tests.integration.invoke_caller import Authority

INSTANCE_ID = 3
DRAINING = 1
READY = 2
SNAPSHOT = 3
STATUS_CODES = {WorkerAction.SERVE: 200, WorkerAction.REJECT: 429, WorkerAction.BREAK_CONNECTION: 520}
TIMEOUT_STATUS_CODE = 408
LATENCY_MS = 5.0
MAX_SIMULATED_MS = 60_000.0


class ActionCode(IntEnum):
    """Codes of the records of a reply: the first byte of each record."""

    CLOSE_IDLE_CONNECTIONS = 66
    SET_TIMER = 67
    REJECT_REQUEST = 68
    START_ATTEMPT = 71
    SELECT_INSTANCE = 72
    FETCH_ENDPOINTS = 73
    SUBSCRIBE_ENDPOINTS = 74
    LOG_MESSAGE = 75
    FAIL_REQUEST = 77
    CANCEL_ATTEMPT = 79


# Layouts of the records of a fixed length, without the record's code.
LAYOUTS = {
    ActionCode.CLOSE_IDLE_CONNECTIONS: "<I",
    ActionCode.SET_TIMER: "<dI",
    ActionCode.REJECT_REQUEST: "<Id",
    ActionCode.START_ATTEMPT: "<IId",
    ActionCode.SELECT_INSTANCE: "<I",
    ActionCode.FETCH_ENDPOINTS: "<",
    ActionCode.SUBSCRIBE_ENDPOINTS: "<B",
    ActionCode.FAIL_REQUEST: "<I",
    ActionCode.CANCEL_ATTEMPT: "<IH",
}


class SimulatorHarness(RouterHarness):
    """A router in the simulator's host; a response reaches the client only while the client waits for it."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.host = SimulatorHost()
        self.now_ms = 1000.0
        self.list_version = 0
        self.scheduled_records: list[tuple[float, bytes]] = []  # heap, by time in ms
        self.worker_states = {1: READY, 2: READY}
        self.deadlines_ms: dict[int, float] = {}  # of the calls that wait for an answer
        self._handle_records(instance_started(SETTINGS))
        self._update_endpoints()

    def _handle_records(self, *records: bytes) -> None:
        reply = self.host.handle_frame(frame(select_instance(INSTANCE_ID), *records, now_ms=self.now_ms))
        offset = 4
        while offset < len(reply):
            code = ActionCode(reply[offset])
            if code is ActionCode.LOG_MESSAGE:
                offset += 3 + int.from_bytes(reply[offset + 1 : offset + 3], "little")
                continue
            fields = struct.unpack_from(LAYOUTS[code], reply, offset + 1)
            offset += 1 + struct.calcsize(LAYOUTS[code])
            match code:
                case ActionCode.START_ATTEMPT:
                    self._on_attempt_started(*fields)
                case ActionCode.REJECT_REQUEST:
                    request_id, retry_after_ms = fields
                    self._on_answer(request_id, Answer(AnswerKind.REJECTED, retry_after_ms))
                case ActionCode.FAIL_REQUEST:
                    (request_id,) = fields
                    self._on_answer(request_id, Answer(AnswerKind.FAILED))
                case ActionCode.CANCEL_ATTEMPT:
                    request_id, _attempt_index = fields
                    self.cancelled.add(request_id)
                case ActionCode.SET_TIMER:
                    at_ms, token = fields
                    heapq.heappush(self.scheduled_records, (at_ms, struct.pack("<BI", 7, token)))

    def _on_attempt_started(self, request_id: int, worker_id: int, timeout_ms: float) -> None:
        attempt_index = sum(attempt.call_number == request_id for attempt in self.attempts)
        attempt = Attempt(request_id, worker_id, attempt_index)
        self.attempts.append(attempt)
        times_out_at_ms = self.now_ms + timeout_ms if timeout_ms else self.deadlines_ms[request_id]
        if self.is_rejecting:
            rejected = self._attempt_ended(attempt, STATUS_CODES[WorkerAction.REJECT])
            heapq.heappush(self.scheduled_records, (self.now_ms, rejected))
        else:
            timed_out = self._attempt_ended(attempt, TIMEOUT_STATUS_CODE)
            heapq.heappush(self.scheduled_records, (times_out_at_ms, timed_out))

    def _on_answer(self, request_id: int, answer: Answer) -> None:
        deadline_ms = self.deadlines_ms.pop(request_id, 0.0)
        assert self.now_ms <= deadline_ms, (
            "a call was answered after its deadline, or after its client stopped waiting"
        )
        self.answers.append((request_id, answer))

    def _attempt_ended(self, attempt: Attempt, status_code: int) -> bytes:
        request_id, worker_id, attempt_index = attempt
        is_final = request_id not in self.deadlines_ms
        return struct.pack(
            "<BIIdIHHBB", 5, request_id, worker_id, LATENCY_MS, 0, attempt_index, status_code, is_final, 0
        )

    def call(self, number: int, class_name: str, timeout_ms: int = 3000) -> None:
        deadline_ms = self.now_ms + timeout_ms
        self.deadlines_ms[number] = deadline_ms
        class_index = [request_class["name"] for request_class in SETTINGS["classes"]].index(class_name)
        self._handle_records(
            struct.pack(
                "<BIfdQHffdHH", 3, number, 1.0, deadline_ms, 77, class_index, 384.0, 900.0, 12.0, 0, 0
            )
        )

    def disconnect(self, number: int) -> None:
        del self.deadlines_ms[number]
        self._handle_records(struct.pack("<BI", 6, number))

    def respond(self, attempt: Attempt, action: WorkerAction) -> None:
        self.now_ms += LATENCY_MS
        if action is WorkerAction.SERVE and self.deadlines_ms.pop(attempt.call_number, None) is not None:
            self.answers.append((attempt.call_number, Answer(AnswerKind.SERVED)))
        self._handle_records(self._attempt_ended(attempt, STATUS_CODES[action]))

    def drain(self, worker: int) -> None:
        self.worker_states[worker] = DRAINING
        self._update_endpoints()

    def _update_endpoints(self) -> None:
        self.list_version += 1
        entries = [endpoint_entry(worker, state) for worker, state in self.worker_states.items()]
        self._handle_records(
            endpoint_table(self.list_version, *entries),
            endpoint_update(self.list_version, SNAPSHOT, self.list_version),
        )

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            assert self.scheduled_records, "no event is scheduled, so the condition stays false"
            assert self.scheduled_records[0][0] < MAX_SIMULATED_MS, (
                "the condition is still false at the simulated time limit"
            )
            at_ms, record = heapq.heappop(self.scheduled_records)
            self.now_ms = max(self.now_ms, at_ms)
            self._handle_records(record)
