"""A slow reader that sends in pieces: the router stops reading it, and then takes it for late."""

from __future__ import annotations

import base64
import hashlib
import random
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
CLIENTS = 3
REQUESTS = 32  # "One connection carries at most 32 open requests"
READ_BYTES_PER_S = 1_000_000  # "Some clients read at most 1 MB a second"
LONG_ANSWER = 230_000  # "One answer in sixteen is long, up to 230,000 bytes"
LONG_ONE_IN = 16  # over all clients: others get short answers only
SHORT_ANSWER = 1_000
WORK_MS = (74, 130)  # class check
FIRST_PIECE = (
    0.80,
    0.97,
)  # "Peers send pieces of any size": two pieces, the first with this part of the bytes
PIECE_GAP_S = 0.2
MESSAGE_LIMIT_S = 0.5  # no message of a client takes longer to send, or the case counts as not run
LIMIT_S = 5.0  # what a client waits; the time that its slow reading takes comes on top
OTHERS_S = 5.0
OTHERS_PER_S = 260


class SizedWorker(kit.Worker):
    """A worker whose answers are as long as the page says."""

    calls = 0
    long_calls = 0
    bodies: dict[str, str] = {}  # digest of the answer to each request  # noqa: RUF012

    async def run(self, connection: kit.WorkerConnection, message: dict[str, Any]) -> None:
        """Answer after the work; the answers of one function are long."""
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


class SlowClient:
    """A client that sends 32 requests in two pieces and reads the answers at 1 MB a second."""

    def __init__(self, stage: kit.Stage, port: int, number: int) -> None:
        self.stage = stage
        self.number = number
        self.client = kit.Client(port, ethernet)
        self.open: dict[int, kit.Request] = {}
        self.outcomes: dict[str, int] = {}
        self.wrong = 0
        self.longest_s = 0.0  # longest time from the first to the last byte of a message
        self.end = "still reading"
        self.client.send(kit.pack([0, 1, "check", [{}]]))
        assert self.client.receive(2.0) is not None
        self.threads = [threading.Thread(target=work, daemon=True) for work in (self.send, self.read)]

    def send(self) -> None:
        """Send the requests: in pieces, or with TROUBLE=0 all at once."""
        ends: list[tuple[int, int]] = []  # end of each message in the stream, and its number
        stream = b""
        for number in range(2, REQUESTS + 2):
            function = LONG_FUNCTION if number % 2 == 0 else FUNCTIONS[number % len(FUNCTIONS)]
            request = kit.Request("check", function, int(LIMIT_S * 1000))
            self.open[number] = request
            stream += kit.call_message(number, request)
            ends.append((len(stream), number))
        cut = int(random.uniform(*FIRST_PIECE) * len(stream))
        while any(end == cut for end, _ in ends):  # the cut is inside a message
            cut += 1
        sent, first_byte_at = 0, time.monotonic()
        while sent < len(stream):
            piece = (cut if sent == 0 else len(stream)) if kit.trouble() else len(stream)
            try:
                self.client.sock.sendall(stream[sent : sent + piece])
            except OSError as error:
                self.stage.record.add(f"client {self.number} cannot send: {error}")
                break
            sent = min(sent + piece, len(stream))
            while ends and ends[0][0] <= sent:
                _, number = ends.pop(0)
                self.stage.record.add(f"client {self.number} has sent {self.open[number].txn}")
                self.longest_s = max(self.longest_s, time.monotonic() - first_byte_at)
            first_byte_at = time.monotonic()
            time.sleep(PIECE_GAP_S)
        for _, number in ends:  # not sent whole: not taken
            self.open.pop(number, None)

    def read(self) -> None:
        """Read the answers until the end of the connection or of all answers."""
        self.client.sock.settimeout(15.0)
        started_at = time.monotonic()
        read_bytes = 0
        time.sleep(0.05)
        while self.open:
            allowed = int((time.monotonic() - started_at) * READ_BYTES_PER_S) - read_bytes
            if allowed < 4096:
                time.sleep(0.004)
                continue
            try:
                data = self.client.sock.recv(min(allowed, 16384))
            except OSError as error:
                self.end = f"connection broken: {error}"
                return
            if not data:
                self.end = "connection closed"
                return
            read_bytes += len(data)
            self.client.data += data
            for message in self.client.take():
                self.on_answer(message)
        self.end = "all answered"

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
    """The clients that read at full speed, on one connection, with short answers."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.client = kit.Client(port)
        self.client.sock.settimeout(0.05)
        self.stop_at = time.monotonic() + OTHERS_S
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
    others = OtherClients(router.port)
    others.start()
    others.join(OTHERS_S + 5.0)
    clients = [SlowClient(stage, router.port, number) for number in range(CLIENTS)]
    for client in clients:
        for thread in client.threads:
            thread.start()
    give_up_at = time.monotonic() + 20.0
    for client in clients:
        for thread in client.threads:
            thread.join(max(0.0, give_up_at - time.monotonic()))
    lost = 0
    for client in clients:
        begun = 1 if client.client.data else 0  # an answer that was begun is left out of the count
        lost += max(0, len(client.open) - begun) + client.wrong
        stage.record.add(
            f"client {client.number}: {client.outcomes}, {client.end}, no answer to {len(client.open)}, "
            f"of which {begun} begun, {client.wrong} wrong; longest message {client.longest_s:.3f} s"
        )
    calls, long_calls = SizedWorker.calls, SizedWorker.long_calls
    stage.record.add(f"{long_calls} of {calls} answers were long; lost: {lost}")
    stage.record.add(f"the router's log: {router.log_path.read_text()[-3000:]}")
    if long_calls * LONG_ONE_IN > calls or any(client.longest_s > MESSAGE_LIMIT_S for client in clients):
        return kit.NOT_RUN  # more long answers than the page allows, or a message that was slow by itself
    return kit.BROKEN if lost else kit.HELD


if __name__ == "__main__":
    kit.main(case, Path(__file__).resolve().parent)
