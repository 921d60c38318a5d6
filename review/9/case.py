"""A planned restart while callers of the invoke API that read 1 MB a second wait for long answers."""

from __future__ import annotations

import base64
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))


from standins2 import kit, spiffe

LONG_FUNCTION = f"{0xA0:016x}"
SHORT_FUNCTION = f"{0xA1:016x}"
CALLERS = 12
SHORT_CALLS = 200  # so that under one answer in sixteen is long
LONG_ANSWER = 230_000  # "One answer in sixteen is long, up to 230,000 bytes"
READ_BYTES_PER_S = 1_000_000  # "Some clients read at most 1 MB a second"
WORK_S = 0.1
LOAD_S = 1.2  # "0.95 to 1.8 s to load on average"
SEND_AFTER_S = 0.4  # requests on open connections come until 0.4 to 0.6 s after SIGTERM
KILL_AFTER_S = 3.7  # the longest deadline (counted as 3 s) and 0.7 s more


class LoadingWorker(kit.Worker):
    """A worker that loads one function while its calls wait; the answers of that function are long."""

    calls = 0
    long_calls = 0
    loaded_at = 0.0

    async def run(self, connection: kit.WorkerConnection, message: dict[str, Any]) -> None:
        """Answer after the load and the work."""
        is_long = message["fields"]["thing"] == LONG_FUNCTION
        LoadingWorker.calls += 1
        LoadingWorker.long_calls += is_long
        if is_long:
            self.loaded_at = self.loaded_at or time.monotonic() + LOAD_S
            await kit.asyncio.sleep(self.loaded_at - time.monotonic())
        await kit.asyncio.sleep(WORK_S if is_long else WORK_S / 4)
        body = base64.b64decode(message["body"])
        self.hit(connection, message, body * (LONG_ANSWER // len(body)) if is_long else body)


class Caller(threading.Thread):
    """A caller with one connection to the invoke API."""

    def __init__(self, stage: kit.Stage, port: int, issuer: spiffe.Issuer, number: int) -> None:
        super().__init__(daemon=True)
        self.stage = stage
        self.number = number
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(10.0)
        sock.connect((kit.HOST, port))
        self.sock = issuer.context("desk").wrap_socket(sock)
        self.send_at = 0.0
        self.result = "no answer"

    def call(self, function: str, body: bytes) -> None:
        """Send one call."""
        head = (
            f"POST /v1/functions/{function}/check HTTP/1.1\r\nHost: router\r\nContent-Length: {len(body)}\r\n"
        )
        self.sock.sendall(head.encode() + b"Call-Lanes: 8\r\n\r\n" + body)

    def read(self, bytes_per_s: float) -> tuple[int, int, int]:
        """Read one response; return its status, the bytes that came of its body, and its length."""
        data, started_at, read_bytes = b"", time.monotonic(), 0
        length, start = -1, 0
        while length < 0 or len(data) < start + length:
            allowed = int((time.monotonic() - started_at) * bytes_per_s) - read_bytes
            if allowed < 4096:
                time.sleep(0.004)
                continue
            try:
                received = self.sock.recv(min(allowed, 16384))
            except OSError as error:
                self.stage.record.add(f"caller {self.number}: {error}")
                break
            if not received:
                break
            if not data:
                started_at, read_bytes = time.monotonic(), 0  # no credit for the time without an answer
            read_bytes += len(received)
            data += received
            if length < 0 and b"\r\n\r\n" in data:
                start = data.index(b"\r\n\r\n") + 4
                fields = [line.partition(b":") for line in data[:start].split(b"\r\n")]
                length = next(int(value) for name, _, value in fields if name.lower() == b"content-length")
        status = int(data.split(b" ", 2)[1]) if data else 0
        return status, len(data) - start, length

    def run(self) -> None:
        """Send the long call and read its answer slowly."""
        time.sleep(max(0.0, self.send_at - time.monotonic()))
        self.call(LONG_FUNCTION, b"0123456789")
        self.stage.record.add(f"caller {self.number} has sent its call")
        status, came, length = self.read(READ_BYTES_PER_S)
        self.result = "whole" if length >= 0 and came == length else "not whole"
        text = f"status {status}, {came} of {length} bytes"
        self.stage.record.add(f"caller {self.number}: {self.result}: {text}")


def case(stage: kit.Stage) -> int:
    """Play the case."""
    stage.start([LoadingWorker(stage, "s-00000001")])
    issuer = spiffe.Issuer(stage.folder)
    port = kit.free_port()
    invoke = issuer.invoke_file(kit.HOST, port)
    router = stage.start_router(stage.config("n1", kit.free_port()), f"serve --invoke {invoke}")
    router.wait_ready()
    callers = [Caller(stage, port, issuer, number) for number in range(CALLERS)]
    other = Caller(stage, port, issuer, CALLERS)
    for _ in range(SHORT_CALLS):
        other.call(SHORT_FUNCTION, b"0123456789")
        assert other.read(1e9)[0] == 200
    if kit.trouble():
        router.signal(signal.SIGTERM)
    term_at = time.monotonic()
    for caller in callers:
        caller.send_at = term_at + SEND_AFTER_S
        caller.start()
    for caller in callers:
        caller.join(max(0.0, term_at + KILL_AFTER_S - time.monotonic()))
    results = [caller.result for caller in callers]
    calls, long_calls = LoadingWorker.calls, LoadingWorker.long_calls
    stage.record.add(f"{long_calls} of {calls} answers were long; {results}")
    stage.record.add(f"the router's log: {router.log_path.read_text()[-3000:]}")
    if long_calls * 16 > calls:
        return kit.NOT_RUN
    return kit.BROKEN if any(result != "whole" for result in results) else kit.HELD


if __name__ == "__main__":
    kit.main(case, Path(__file__).resolve().parent)
