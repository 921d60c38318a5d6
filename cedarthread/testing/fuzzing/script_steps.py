"""The implementation of each step of a script: of clients, of workers, of discovery and of the process.

A step reads its parameters from the script; their order is part of the corpus.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from cedarthread.model.endpoints import EndpointState
from cedarthread.testing.fuzzing.invoke_caller import InvokeCaller
from cedarthread.testing.fuzzing.memory_peers import MemoryClient, MemoryWorker, UnansweredRequest
from cedarthread.testing.fuzzing.router_under_test import FUNCTIONS, MemoryPlatformConnection, RouterUnderTest
from cedarthread.testing.fuzzing.script import CLIENT_COUNT, Step, burst_size

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.endpoint_publisher import EndpointPublisher
    from cedarthread.testing.fuzzing.target import FuzzedDataProvider

CALLER_IDENTITIES = ("spiffe://gaz.example/desk/a", "spiffe://gaz.example/desk/b")
CALL_TIMEOUTS_MS = (5000, 2000, 400, 150, 60)
BURST_TIMEOUT_MS = 3000
BURST_CLASSES = (0, 0, 2, 1)
PAUSES_MS = (0.0, 1.0, 5.0, 12.0, 40.0, 60.0, 250.0, 600.0, 1500.0, 3000.0)
CUT_UNIT_BYTES = 7  # a call's message is split after a multiple of this length
LOOP_ITERATIONS = 4  # enough to run callbacks that schedule one another without a delay
MALFORMED_REQUESTS = (b"\xc1", b"\x94\x00\xff", b"\x91" * 40, b"\x00" * 90)

StepAction = Callable[[], None] | Callable[[], Awaitable[None]]


class ClientSteps:
    """The steps of platform clients and of callers of the invoke API; the owner of both.

    Args:
        router: The router that the clients connect to.
        choices: The script.
    """

    def __init__(self, router: RouterUnderTest, choices: FuzzedDataProvider) -> None:
        self.router = router
        self.choices = choices
        self.clients: list[MemoryClient] = []  # every client of the run, also the disconnected ones
        self.invoke_callers: list[InvokeCaller] = []
        self._current_clients: dict[int, MemoryClient] = {}

    def call(self) -> None:
        """Send a call from a client, possibly split into two pieces."""
        choices = self.choices
        router = self.router
        client = self._client()
        class_index = choices.consume_byte() % len(router.raw_settings["classes"])
        timeout_ms = choices.pick(CALL_TIMEOUTS_MS)
        function = choices.pick(FUNCTIONS)
        key = router.next_call_key()
        fields = {}
        if router.class_needs_key(class_index):
            fields["unique"] = f"u{key}"
        if choices.consume_byte() & 1:
            fields["second"] = "1"
        data = self._encode_call(client, key, class_index, function, timeout_ms, fields)
        cut = CUT_UNIT_BYTES * (choices.consume_byte() % 8)
        for part in (data[:cut], data[cut:]):
            client.transport.peer_send(part)

    def burst(self) -> None:
        """Send many calls from several clients at the same time."""
        for _ in range(burst_size(self.choices.consume_byte())):
            client = self._client()
            class_index = self.choices.pick(BURST_CLASSES)
            key = self.router.next_call_key()
            function = self.choices.pick(FUNCTIONS)
            fields = {"unique": key} if class_index == 1 else {}
            data = self._encode_call(client, key, class_index, function, BURST_TIMEOUT_MS, fields)
            client.transport.peer_send(data)

    def interrupt(self) -> None:
        """Interrupt a call of a client; the router may have answered it already."""
        client = self._client()
        if client.pending_calls:
            number = self.choices.pick(list(client.pending_calls))
            client.transport.peer_send(client.encode_interrupt(number))

    def fault(self) -> None:
        """Make a client disconnect, stop writing, stop or resume reading, or send a malformed request."""
        client = self._client()
        match self.choices.consume_byte() % 5:
            case 0:
                client.disconnect()
            case 1:
                client.stop_writing()
            case 2:
                client.pause_reading()
            case 3:
                client.transport.peer_accept(None)
            case _:
                client.is_write_closed = True
                client.transport.peer_send(self.choices.pick(MALFORMED_REQUESTS))

    def invoke_caller(self) -> None:
        """Let a caller of the invoke API perform an action."""
        index = self.choices.consume_byte() % len(CALLER_IDENTITIES)
        while len(self.invoke_callers) <= index:
            identity = CALLER_IDENTITIES[len(self.invoke_callers)]
            self.invoke_callers.append(InvokeCaller(self.router, identity))
        self.invoke_callers[index].act(self.choices)

    def _client(self) -> MemoryClient:
        """Return a connected client, which replaces a disconnected one of the same index."""
        index = self.choices.consume_byte() % CLIENT_COUNT
        client = self._current_clients.get(index)
        if client is None or not client.can_send():
            connection = MemoryPlatformConnection(self.router.platform)
            client = MemoryClient(self.router.loop, self.router.checker, connection)
            self._current_clients[index] = client
            self.clients.append(client)
        return client

    def _encode_call(
        self,
        client: MemoryClient,
        key: str,
        class_index: int,
        function: str,
        timeout_ms: int,
        fields: dict[str, str],
    ) -> bytes:
        self.router.called_functions.add(function)
        guarantees = self.router.guarantees(class_index)
        name = self.router.class_name(class_index)
        return client.encode_call(key, name, function, timeout_ms, guarantees, **fields)


class WorkerSteps:
    """The steps of workers.

    Args:
        workers: The workers.
        choices: The script.
    """

    def __init__(self, workers: list[MemoryWorker], choices: FuzzedDataProvider) -> None:
        self.workers = workers
        self.choices = choices

    def answer(self) -> None:
        """Let a worker answer one of its unanswered requests, once or twice."""
        if (request := self._pick_unanswered_request()) is None:
            return
        op = self.choices.pick(("HIT", "HIT", "HIT", "NONE", "SHED", "FAULT", "LATE"))
        if request.attempt is None:
            op = {"NONE": "FAULT", "LATE": "SHED"}.get(op, op)
            fields: dict[str, Any] = {"pods": 1 if op == "HIT" else 0}
        else:
            remark = self.choices.pick(("hit", "spawn", "pending", "spawn_failed", "odd"))
            depth = self.choices.consume_byte() % 9
            fields = {"remark": remark, "depth": depth, "report": "inflight:1;x1:0"}
        request.link.worker.answer(request, op, fields, twice=self.choices.consume_byte() % 4 == 3)

    def answer_all(self) -> None:
        """Let all workers answer all their unanswered requests."""
        for worker in self.workers:
            for request in worker.unanswered_requests():
                fields = {"pods": 1} if request.attempt is None else {"remark": "hit"}
                if request.link.is_open:
                    worker.answer(request, "HIT", fields)

    def bad_answer(self) -> None:
        """Let a worker send a malformed or incomplete answer."""
        if (request := self._pick_unanswered_request()) is None:
            return
        message_id = request.message_id.encode()
        lines = (
            b'{"op":"HIT","id":"%s","fields":{},"body":"%%%%"}\n' % message_id,
            b'{"op":"HIT","id":"%s"}\n' % message_id,
            b'{"op":"WHAT","id":"%s","fields":{}}\n' % message_id,
            b'{"op":"HIT","id":"nobody","fields":{},"body":"eA=="}\n',
            b'{"op":"HIT","id":"%s","fie' % message_id,
            b"[" * 3000 + b"\n",
            b'{"op":["HIT"],"id":"%s","fields":[]}\n' % message_id,
            b'{"id":7}\n',
        )
        request.link.transport.peer_send(self.choices.pick(lines))

    def fault(self) -> None:
        """Make a worker break its connections, refuse or hang new ones, read slowly, or recover."""
        worker = self.choices.pick(self.workers)
        match self.choices.consume_byte() % 8:
            case 0:
                worker.reset_connections()
            case 1:
                worker.refuses_connections = True
                worker.reset_connections()
            case 2:
                worker.hangs_connections = True
            case 3:
                worker.window_bytes = self.choices.consume_byte() * 2
                for link in worker.links:  # so that the worker stops reading within a line
                    link.transport.peer_window_bytes = worker.window_bytes
            case 4:
                more_bytes = self.choices.consume_byte()
                for link in worker.links:
                    link.transport.peer_accept(more_bytes)
            case 5 if worker.links:
                self.choices.pick(worker.links).transport.peer_reset()
            case _:
                worker.refuses_connections = False
                worker.hangs_connections = False
                worker.resume_reading()

    def _pick_unanswered_request(self) -> UnansweredRequest | None:
        requests = [request for worker in self.workers for request in worker.unanswered_requests()]
        return self.choices.pick(requests) if requests else None


class DiscoverySteps:
    """The steps of discovery.

    Args:
        publisher: The publisher of the endpoint list.
        choices: The script.
    """

    def __init__(self, publisher: EndpointPublisher, choices: FuzzedDataProvider) -> None:
        self.publisher = publisher
        self.choices = choices

    def change_list(self) -> None:
        """Change the endpoint list, publish it, deliver an earlier version again, or report a failure."""
        publisher = self.publisher
        worker = self.choices.pick(publisher.workers)
        match self.choices.consume_byte() % 6:
            case 0:
                publisher.list_worker(worker, EndpointState.DRAINING)
            case 1:
                publisher.unlist_worker(worker)
            case 2:
                worker.restart()
                publisher.list_worker(worker, EndpointState.READY)
            case 3:
                publisher.redeliver(self.choices.consume_byte() % len(publisher.published))
                return
            case 4:
                publisher.fail()
                return
            case _:
                publisher.list_worker(worker, EndpointState.READY)
        if self.choices.consume_byte() & 1:
            publisher.publish()


class ProcessSteps:
    """The steps of time and of the router's process.

    Args:
        router: The router.
        choices: The script.
        stall_ms: The duration of the run's one stall; 0 for none.
    """

    def __init__(self, router: RouterUnderTest, choices: FuzzedDataProvider, stall_ms: float) -> None:
        self.router = router
        self.choices = choices
        self.stall_ms = stall_ms
        self._is_shutting_down = False

    async def pause(self) -> None:
        """Let time pass."""
        await self.router.advance(self.choices.pick(PAUSES_MS))

    async def run_ready(self) -> None:
        """Run the callbacks that are ready, without letting time pass."""
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    def stall(self) -> None:
        """Stall the process, at most once, for the time that the head of the script selects."""
        if self.stall_ms:
            self.router.loop.skip(self.stall_ms / 1000.0)
            self.stall_ms = 0.0

    def shut_down(self) -> None:
        """Shut the router down as on SIGTERM, at most once and only in the second half of the script."""
        if not self._is_shutting_down and self.choices.position > len(self.choices.data) // 2:
            self._is_shutting_down = True
            self.router.begin_shutdown()


def step_actions(
    clients: ClientSteps, workers: WorkerSteps, discovery: DiscoverySteps, process: ProcessSteps
) -> dict[Step, StepAction]:
    """Return the action of each step; the caller awaits an action that returns an awaitable."""
    return {
        Step.CALL: clients.call,
        Step.ANSWER: workers.answer,
        Step.PAUSE: process.pause,
        Step.RUN_READY: process.run_ready,
        Step.WORKER_FAULT: workers.fault,
        Step.LIST_CHANGE: discovery.change_list,
        Step.INVOKE_CALLER: clients.invoke_caller,
        Step.BURST: clients.burst,
        Step.ANSWER_ALL: workers.answer_all,
        Step.INTERRUPT: clients.interrupt,
        Step.CLIENT_FAULT: clients.fault,
        Step.BAD_ANSWER: workers.bad_answer,
        Step.STALL: process.stall,
        Step.SHUTDOWN: process.shut_down,
    }
