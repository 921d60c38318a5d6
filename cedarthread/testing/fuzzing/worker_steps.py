"""The steps of a script that workers perform.

A step reads its parameters from the script; their order is part of the corpus.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.memory_worker import MemoryWorker, UnansweredRequest
    from cedarthread.testing.fuzzing.target import FuzzedDataProvider


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
        request.connection.worker.answer(request, op, fields, twice=self.choices.consume_byte() % 4 == 3)

    def answer_all(self) -> None:
        """Let all workers answer all their unanswered requests."""
        for worker in self.workers:
            for request in worker.unanswered_requests():
                fields = {"pods": 1} if request.attempt is None else {"remark": "hit"}
                if request.connection.is_open:
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
        request.connection.transport.peer_send(self.choices.pick(lines))

    def fault(self) -> None:
        """Make a worker reset its connections, refuse or hang new ones, read slowly, or recover."""
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
                # On open connections too, so that the worker stops reading in the middle of a line.
                for connection in worker.connections:
                    connection.transport.peer_window_bytes = worker.window_bytes
            case 4:
                more_bytes = self.choices.consume_byte()
                for connection in worker.connections:
                    connection.transport.peer_accept(more_bytes)
            case 5 if worker.connections:
                self.choices.pick(worker.connections).transport.peer_reset()
            case _:
                worker.refuses_connections = False
                worker.hangs_connections = False
                worker.resume_reading()

    def _pick_unanswered_request(self) -> UnansweredRequest | None:
        requests = [request for worker in self.workers for request in worker.unanswered_requests()]
        return self.choices.pick(requests) if requests else None
