"""A planned restart while clients that read 1 MB a second still have answers to come.

Each client sends its requests within 0.55 s of SIGTERM, on a connection that it opened before.
"""

from __future__ import annotations

import base64
import hashlib
import random
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import kit

LONG_FUNCTION = f"{0xA0:016x}"  # its answers are long
FUNCTIONS = [f"{number:016x}" for number in range(0xA1, 0xA5)]
CLIENTS = 4
REQUESTS = 32  # "One connection carries at most 32 open requests"
READ_BYTES_PER_S = 1_000_000  # "Some clients read at most 1 MB a second"
LONG_ANSWER = 230_000  # "One answer in sixteen is long, up to 230,000 bytes"
LONG_ONE_IN = 16  # over all clients: others get short answers only
SHORT_ANSWER = 1_000
WORK_MS = (74, 130)  # class check
TERM_AT_S = 3.0
OTHERS_PER_S = 220
SEND_AFTER_S = (0.30, 0.55)  # requests on open connections come until 0.4 to 0.6 s after SIGTERM
KILL_AFTER_S = 3.7  # the longest deadline (counted as 3 s) and 0.7 s more


class SizedWorker(kit.Worker):
    """A worker whose answers are as long as the page says."""

    calls = 0
    long_calls = 0
    bodies: dict[str, str] = {}  # digest of the answer to each request  # noqa: RUF012

    async def run(self, connection: kit.WorkerConnection, message: dict[str, Any]) -> None:
        """Answer after the work; one answer in sixteen is long."""
        await kit.asyncio.sleep(random.uniform(*WORK_MS) / 1000.0)
        is_long = message["fields"]["thing"] == LONG_FUNCTION
        SizedWorker.calls += 1
        SizedWorker.long_calls += is_long
        size = LONG_ANSWER if is_long else SHORT_ANSWER
        body = message["id"].encode() * (size // 16 + 1)
        self.bodies[message["id"]] = hashlib.sha256(body[:size]).hexdigest()
        assert base64.b64decode(message["body"]) == b"x"
        self.hit(connection, message, body[:size])


def ethernet(sock: socket.socket) -> None:
    """Give a connection the segments of an Ethernet and a receive buffer of 16 KiB."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)


class SlowClient(threading.Thread):
    """A client that sends 32 requests on one connection and reads the answers at 1 MB a second."""

    def __init__(self, stage: kit.Stage, port: int, number: int) -> None:
        super().__init__(daemon=True)
        self.stage = stage
        self.number = number
        self.client = kit.Client(port, ethernet)
        self.open: dict[int, kit.Request] = {}
        self.outcomes: dict[str, int] = {}
        self.wrong = 0
        self.cut_bytes = 0
        self.send_at = 0.0
        self.end = "still reading"
        self.client.send(kit.pack([0, 1, "check", [{}]]))
        assert self.client.receive(2.0) is not None

    def run(self) -> None:
        """Send the requests, and read until the end of the connection or of all answers."""
        time.sleep(max(0.0, self.send_at - time.monotonic()))
        for number in range(2, REQUESTS + 2):
            is_long = number % 3 == 0
            function = LONG_FUNCTION if is_long else FUNCTIONS[number % len(FUNCTIONS)]
            request = kit.Request("check", function)
            self.open[number] = request
            self.stage.record.add(f"client {self.number} sends {request.txn}")
        self.client.send(b"".join(kit.call_message(*entry) for entry in self.open.items()))
        self.client.sock.settimeout(10.0)
        self.end = self.read()
        self.cut_bytes = len(self.client.data)
        self.client.sock.close()

    def read(self) -> str:
        """Read the answers; return why reading ended."""
        started_at = time.monotonic()
        read_bytes = 0
        while self.open:
            allowed = int((time.monotonic() - started_at) * READ_BYTES_PER_S) - read_bytes
            if allowed < 4096:
                time.sleep(0.004)
                continue
            try:
                data = self.client.sock.recv(min(allowed, 16384))
            except OSError as error:
                return f"connection broken: {error}"
            if not data:
                return "connection closed"
            read_bytes += len(data)
            self.client.data += data
            for message in self.client.take():
                self.on_answer(message)
        return "all answered"

    def on_answer(self, message: list[Any]) -> None:
        """Note the answer to a request."""
        request = self.open.pop(message[1])
        outcome = kit.outcome_of(message)
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome == "served":
            digest = hashlib.sha256(message[3][0]).hexdigest()
            self.wrong += digest != SizedWorker.bodies.get(request.txn)
        self.stage.record.add(f"client {self.number} gets {outcome} for {request.txn}")


class OtherClients(threading.Thread):
    """The clients that read at full speed, on one connection: 220 short answers a second until SIGTERM."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.client = kit.Client(port)
        self.client.sock.settimeout(0.05)
        self.stop_at = time.monotonic() + TERM_AT_S
        self.open: set[int] = set()

    def run(self) -> None:
        """Send and read."""
        started_at, sent = time.monotonic(), 0
        while (now := time.monotonic()) < self.stop_at or self.open:
            while (
                now < self.stop_at and sent < (now - started_at) * OTHERS_PER_S and len(self.open) < REQUESTS
            ):
                sent += 1
                self.open.add(sent)
                request = kit.Request("check", FUNCTIONS[sent % len(FUNCTIONS)])
                self.client.send(kit.call_message(sent, request))
            message = self.client.receive(0.003)
            if message is not None:
                self.open.discard(message[1])


def case(stage: kit.Stage) -> int:
    """Play the case."""
    stage.start([SizedWorker(stage, f"s-{number:08x}") for number in range(1, 4)])
    router = stage.start_router(stage.config("n1", kit.free_port()))
    router.wait_ready()
    clients = [SlowClient(stage, router.port, number) for number in range(CLIENTS)]
    others = OtherClients(router.port)
    others.start()
    others.join()
    if kit.trouble():
        router.signal(signal.SIGTERM)
    term_at = time.monotonic()
    for client in clients:
        client.send_at = term_at + random.uniform(*SEND_AFTER_S)
        client.start()
    for client in clients:
        client.join(max(0.0, term_at + KILL_AFTER_S - time.monotonic()))
    lost = 0
    for client in clients:
        begun = 1 if client.cut_bytes else 0  # an answer that was begun is left out of the count
        lost += max(0, len(client.open) - begun) + client.wrong
        stage.record.add(
            f"client {client.number}: {client.outcomes}, {client.end}, no answer to {len(client.open)}, "
            f"of which {begun} begun, {client.wrong} wrong"
        )
    calls, long_calls = SizedWorker.calls, SizedWorker.long_calls
    stage.record.add(f"{long_calls} of {calls} answers were long")
    if long_calls * LONG_ONE_IN > calls:
        return kit.NOT_RUN  # more long answers than the page allows
    stage.record.add(f"lost: {lost}; the router has ended: {router.process.poll() is not None}")
    stage.record.add(f"the router's log: {router.log_path.read_text()[-3000:]}")
    return kit.BROKEN if lost else kit.HELD


if __name__ == "__main__":
    kit.main(case, Path(__file__).resolve().parent)
