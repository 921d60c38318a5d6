"""Deferred calls of the invoke API are collected while an upgrade is under way."""

from __future__ import annotations

import base64
import contextlib
import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2 import kit, spiffe

FUNCTION = f"{0xA1:016x}"
CALLERS = 24
COLLECT_AFTER_S = 0.3  # after the yes of the new process, or as long after the call without an upgrade
GIVE_UP_S = 5.0  # a `confirm` is given up after 5 s
POLL_S = 1.0  # the Retry-After of the 202
HTTP_ACCEPTED, HTTP_OK = 202, 200


class OnceWorker(kit.Worker):
    """A worker that answers each call with its own body, turned round."""

    async def run(self, connection: kit.WorkerConnection, message: dict[str, Any]) -> None:
        """Run the call."""
        await kit.asyncio.sleep(0.2)
        self.hit(connection, message, base64.b64decode(message["body"])[::-1])


class Portal(threading.Thread):
    """A caller that hands in a `confirm`, disconnects, and comes back for the result."""

    def __init__(self, stage: kit.Stage, port: int, issuer: spiffe.Issuer, number: int) -> None:
        super().__init__(daemon=True)
        self.stage, self.port, self.issuer = stage, port, issuer
        self.number = number
        self.body = f"confirm-{number:04d}".encode()
        self.location = ""
        self.given_at = 0.0
        self.result = "none"

    def hand_in(self) -> None:
        """Hand the call in; the router takes it with 202."""
        head = f"POST /v1/functions/{FUNCTION}/confirm HTTP/1.1\r\nPrefer: respond-async"
        status, fields, _ = spiffe.request(self.port, self.issuer, head, self.body)
        assert status == HTTP_ACCEPTED, f"status {status}"
        self.given_at = time.monotonic()
        self.location = fields["location"]
        self.stage.record.add(f"portal {self.number} has handed in {self.location}")

    def run(self) -> None:
        """Ask for the result until it comes or the call is given up."""
        while time.monotonic() < self.given_at + GIVE_UP_S:
            head = f"GET {self.location} HTTP/1.1\r\nPrefer: wait=1"
            try:
                status, _, body = spiffe.request(self.port, self.issuer, head)
            except OSError as error:
                self.stage.record.add(f"portal {self.number}: {error}")
                status, body = 0, b""
            self.stage.record.add(f"portal {self.number} gets {status} for {self.location}")
            if status not in (0, HTTP_ACCEPTED):
                right = status == HTTP_OK and body == self.body[::-1]
                self.result = "right" if right else f"status {status}"
                return
            time.sleep(POLL_S)


def wait_yes(port: int) -> None:
    """Wait for the yes of a process at its control address."""
    give_up_at = time.monotonic() + 10.0
    while time.monotonic() < give_up_at:
        with contextlib.suppress(OSError), socket.create_connection((kit.HOST, port), timeout=1.0) as sock:
            sock.sendall(b"PING\n")
            if sock.recv(64).startswith(b"YES"):
                return
        time.sleep(0.02)
    raise RuntimeError("no yes")


def case(stage: kit.Stage) -> int:
    """Play the case."""
    stage.start([OnceWorker(stage, f"s-{number:08x}") for number in (1, 2, 3)])
    issuer = spiffe.Issuer(stage.folder)
    port, listen, controls = kit.free_port(), kit.free_port(), [kit.free_port(), kit.free_port()]
    arguments = f"serve --invoke {issuer.invoke_file(kit.HOST, port)}"
    old = stage.start_router(stage.config("n1", listen, control=f"{kit.HOST}:{controls[0]}"), arguments)
    wait_yes(controls[0])
    new = None
    if kit.trouble():
        new = stage.start_router(stage.config("n1", listen, control=f"{kit.HOST}:{controls[1]}"), arguments)
    portals = [Portal(stage, port, issuer, number) for number in range(CALLERS)]
    for portal in portals:
        portal.hand_in()
    if new is not None:
        wait_yes(controls[1])
        stage.record.add("the new process says yes")
        old.signal(signal.SIGTERM)
    time.sleep(COLLECT_AFTER_S)
    for portal in portals:
        portal.start()
    for portal in portals:
        portal.join(GIVE_UP_S + 2.0)
    ran = [call_id for worker in stage.workers for _, call_id in worker.runs]
    never = [portal.number for portal in portals if portal.result != "right"]
    stage.record.add(f"{len(portals)} calls taken, {len(ran)} run")
    stage.record.add(f"without their result: {len(never)}, {[portals[number].result for number in never]}")
    return kit.BROKEN if never else kit.HELD


if __name__ == "__main__":
    kit.main(case, Path(__file__).resolve().parent)
