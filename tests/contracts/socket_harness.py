"""The test harnesses of the router contract for the platform protocol and the invoke API, on loopback."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import TYPE_CHECKING, Any

from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fakes.scripted import (
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    pack_call,
    serve_uppercase,
    service,
)
from tests.contracts.router_harness import Answer, AnswerKind, Attempt, RouterHarness, WorkerAction
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    Authority,
    Caller,
    read_invoke_config,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AsyncExitStack

WAIT_TIMEOUT_S = 10
BEHAVIORS = {WorkerAction.SERVE: serve_uppercase, WorkerAction.REJECT: answer_with("SHED")}
KIND_BY_PLATFORM_ERROR = {"Backoff": AnswerKind.REJECTED, "Lost": AnswerKind.FAILED}
KIND_BY_REPEAT = {"harmless": AnswerKind.REJECTED, "unknown": AnswerKind.FAILED}


class SocketHarness(RouterHarness):
    """A complete router and two workers on loopback; the body of a call is its number."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        self.progress_event = asyncio.Event()  # set when a message of a worker or an answer arrives
        self.worker_states = [EndpointState.READY] * 2
        self.workers = [ScriptedWorker(self._receive_attempt) for _ in range(2)]
        for worker in self.workers:
            worker.message_received = self.progress_event
        router = service(*self.workers, invoke=read_invoke_config(authority))
        self.running = await stack.enter_async_context(router)

    def _receive_attempt(self, worker: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any] | None:
        number = int(base64.b64decode(message["body"]))
        self.attempts.append(Attempt(number, self.workers.index(worker) + 1, message))
        return BEHAVIORS[WorkerAction.REJECT](worker, message) if self.is_rejecting else None

    def respond(self, attempt: Attempt, action: WorkerAction) -> None:
        worker = self.workers[attempt.worker - 1]
        if action is WorkerAction.BREAK_CONNECTION:
            worker.writers[-1].transport.abort()
            return
        message = attempt.handle
        worker.answer(message, BEHAVIORS[action](worker, message) or {})

    def drain(self, worker: int) -> None:
        self.worker_states[worker - 1] = EndpointState.DRAINING
        records = [
            endpoint_record(scripted_worker, number, self.worker_states[number - 1])
            for number, scripted_worker in enumerate(self.workers, 1)
        ]
        self.running.update_endpoints(self.running.endpoint_list.version + 1, records, is_complete=True)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                self.progress_event.clear()
                await self.progress_event.wait()
                cancelled_ids = {call_id for worker in self.workers for call_id in worker.cancelled_ids}
                self.cancelled |= {
                    attempt.call_number for attempt in self.attempts if attempt.handle["id"] in cancelled_ids
                }

    def on_answer(self, number: int, answer: Answer) -> None:
        self.answers.append((number, answer))
        self.progress_event.set()


class PlatformHarness(SocketHarness):
    """A harness with one platform client, whose connection carries all calls."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        await super().open(stack, authority)
        self.client = await stack.enter_async_context(client(self.running))
        self.read_task = asyncio.create_task(self._read_answers())
        stack.callback(self.read_task.cancel)

    async def _read_answers(self) -> None:
        while (message := await self.client.read()) is not None:
            _, number, error, _ = message
            if error is None:
                answer = Answer(AnswerKind.SERVED)
            else:
                error_name, details = error
                answer = Answer(KIND_BY_PLATFORM_ERROR[error_name], float(details.get("later", 0)))
            self.on_answer(number, answer)

    def call(self, number: int, class_name: str, timeout_ms: int = 3000) -> None:
        body = str(number).encode()
        self.client.writer.write(pack_call(number, class_name, body, limit=str(timeout_ms)))

    def disconnect(self, number: int) -> None:
        self.client.writer.write(b"\x93\x02\xa9interrupt\x91" + bytes((number,)))


class InvokeHarness(SocketHarness):
    """A harness in which each call has its own connection to the invoke API, with mutual TLS."""

    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        await super().open(stack, authority)
        self.context = authority.caller(ALLOWED_CALLER_ID)
        self.tasks: dict[int, asyncio.Task[None]] = {}  # by the number of the call
        stack.callback(lambda: [task.cancel() for task in self.tasks.values()])

    async def _send_and_read_answers(self, number: int, class_name: str, timeout_ms: int) -> None:
        async with Caller(self.running, self.context) as caller:
            path = FUNCTION_PATH + class_name
            caller.send("POST", path, str(number).encode(), Call_Timeout_Ms=str(timeout_ms))
            while True:
                response = await caller.read()
                if response.status == 200:
                    answer = Answer(AnswerKind.SERVED)
                else:
                    problem = json.loads(response.body)
                    retry_after_ms = problem.get("retry_after_ms", 0.0)
                    answer = Answer(KIND_BY_REPEAT[problem["repeat"]], retry_after_ms)
                self.on_answer(number, answer)

    def call(self, number: int, class_name: str, timeout_ms: int = 3000) -> None:
        exchange = self._send_and_read_answers(number, class_name, timeout_ms)
        self.tasks[number] = asyncio.create_task(exchange)

    def disconnect(self, number: int) -> None:
        self.tasks[number].cancel()
