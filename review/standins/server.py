"""A server ("runner") that behaves as PROTOCOL describes: JSON lines over TCP, work that takes time."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins.record import Record


class Room:
    """The servers of one room, which drop a repeat of a key.

    Args:
        name: The name of the room.
        window_s: How long a key is remembered, from its first call.
    """

    def __init__(self, name: str = "room-a", window_s: float = 3.0) -> None:
        self.name = name
        self.window_s = window_s
        self._seen: dict[str, tuple[float, asyncio.Future[bytes]]] = {}

    def first_run(self, key: str) -> asyncio.Future[bytes] | None:
        """Return the answer of the run that this call repeats; None: the call is the first with its key."""
        now_s = time.monotonic()
        seen = self._seen.get(key)
        if seen is not None and now_s < seen[0] + self.window_s:
            return seen[1]
        self._seen[key] = (now_s, asyncio.get_running_loop().create_future())
        return None

    def set_answer(self, key: str, body: bytes) -> None:
        """Keep the answer of the run with this key."""
        answer = self._seen[key][1]
        if not answer.done():
            answer.set_result(body)


class Server:
    """One server: loads a function on its first call, then runs each call for ``work_s``.

    Args:
        name: Its name on the list.
        record: Where each run is written.
        work_s: The time of one call.
        load_s: The time of a load.
        answer: Returns the body of the answer from the function and the body of the call.
        room: Its room; None: a room of its own.
        reset_every: One run in so many ends in a reset of its connection in place of the answer; 0: none.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        *,
        work_s: float = 0.12,
        load_s: float = 0.3,
        answer: Callable[[str, bytes], bytes] = lambda function, body: b"answer to " + body,
        room: Room | None = None,
        reset_every: int = 0,
    ) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.load_s = load_s
        self.answer = answer
        self.room = room if room is not None else Room()
        self.reset_every = reset_every
        self.port = 0
        self.in_flight = 0
        self.runs: list[dict[str, Any]] = []  # the calls that were begun, in order
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_calls: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                if line.endswith(b"\n"):
                    self._on_line(json.loads(line), writer, open_calls)
        except (ConnectionError, ValueError):
            pass
        finally:  # closing a connection gives up everything open on it
            for task in open_calls.values():
                task.cancel()
            writer.close()

    def _on_line(
        self, message: dict[str, Any], writer: asyncio.StreamWriter, open_calls: dict[str, asyncio.Task[None]]
    ) -> None:
        call_id = message["id"]
        if message["op"] == "CANCEL":
            if (task := open_calls.pop(call_id, None)) is not None:
                self.record.write(f"{self.name}: CANCEL {call_id}")
                task.cancel()
        elif message["op"] == "PING":
            self._write(writer, {"op": "PONG", "id": call_id})
        elif message["op"] in ("CALL", "LOAD"):
            work = self._run if message["op"] == "CALL" else self._load
            task = asyncio.get_running_loop().create_task(work(message, writer))
            open_calls[call_id] = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(lambda _: open_calls.pop(call_id, None))

    async def _ensure_loaded(self, function: str) -> str:
        task = self._loads.get(function)
        if task is None:
            task = asyncio.get_running_loop().create_task(asyncio.sleep(self.load_s))
            self._loads[function] = task
            await asyncio.shield(task)
            return "spawn"
        if task.done():
            return "hit"
        await asyncio.shield(task)
        return "pending"

    async def _run(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        fields = message["fields"]
        key = fields.get("replay")
        body = base64.b64decode(message["body"])
        repeated = self.room.first_run(key) if key is not None else None
        if repeated is not None:
            self.record.write(f"{self.name}: drops the repeat {message['id']}, key {key}")
            self._answer(writer, message["id"], "hit", await asyncio.shield(repeated))
            return
        run = {
            "id": message["id"],
            "class": fields["profile"],
            "body": body,
            "key": key,
            "is_finished": False,
        }
        self.runs.append(run)
        number = len(self.runs)
        self.in_flight += 1
        shown = body[:24].decode(errors="replace")
        self.record.write(f"{self.name}: runs {message['id']} class={fields['profile']} body={shown!r}")
        try:
            remark = await self._ensure_loaded(fields["thing"])
            await asyncio.sleep(self.work_s)
        finally:
            self.in_flight -= 1
        run["is_finished"] = True
        result = self.answer(fields["thing"], body)
        if key is not None:
            self.room.set_answer(key, result)
        if self.reset_every and not number % self.reset_every:
            self.record.write(f"{self.name}: has run {message['id']}, connection reset before the answer")
            writer.transport.abort()
            return
        self._answer(writer, message["id"], remark, result)

    def _answer(self, writer: asyncio.StreamWriter, call_id: str, remark: str, body: bytes) -> None:
        fields = {"remark": remark, "report": f"inflight:{self.in_flight};x1:0"}
        result = base64.b64encode(body).decode()
        self._write(writer, {"op": "HIT", "id": call_id, "fields": fields, "body": result})

    async def _load(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        await self._ensure_loaded(message["fields"]["thing"])
        self._write(writer, {"op": "HIT", "id": message["id"], "fields": {"pods": 1}})

    def _write(self, writer: asyncio.StreamWriter, message: dict[str, Any]) -> None:
        if not writer.is_closing():
            writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")
