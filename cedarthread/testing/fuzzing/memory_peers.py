"""The peers of a router in memory: platform clients, callers of the invoke API and workers.

Each writes what it sees into the ledger. A call's key there is its body, which passes unchanged to the worker
whatever name the front gives the call.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import Any

import msgpack

from cedarthread.testing.fakes.client import answer_kind
from cedarthread.testing.fuzzing.target import Finding
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, VirtualLoop
from cedarthread.testing.invariants import Ledger, Terms, Tried

PROVES_NOT_RUN = ("NONE", "SHED", "LATE")


@dataclass(eq=False, slots=True)
class Held:
    """A call, or an order to load, that a worker holds."""

    name: str
    key: str
    link: Link
    tried: Tried | None = None  # None: an order
    function: str = ""


class Link:
    """One connection to a worker, at the worker's end."""

    def __init__(self, worker: Worker, transport: MemoryTransport) -> None:
        self.worker, self.transport = worker, transport
        self.buffer = b""
        self.taken = 0  # bytes of the lines that came whole
        self.began = 0.0  # when the first byte of the line that is coming left the router
        self.held: list[Held] = []
        self.up = True
        transport.on_bytes = self.came
        transport.on_close = self.closed

    def came(self, data: bytes) -> None:
        """Bytes of the router's."""
        now = self.worker.loop.unix_ms()
        if not self.buffer:
            self.began = now
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            handed = max(when for at, when in self.transport.handed if at <= self.taken)
            self.taken += len(line) + 1
            self.worker.line(self, json.loads(line), self.began, handed)
            self.began = now

    def closed(self) -> None:
        """Down, by whichever end: all that is open here is given up."""
        self.up = False
        for held in self.held:
            if held.tried is not None:
                self.worker.ledger.ended(held.tried, True)
        self.held.clear()
        self.worker.links.remove(self)


class Worker:
    """One worker: it holds what comes until the script has it answered."""

    def __init__(self, number: int, loop: VirtualLoop, ledger: Ledger, called: set[str]) -> None:
        self.number, self.loop, self.ledger, self.called = number, loop, ledger, called
        self.name = f"s-{number:08x}"
        self.refuses = self.hangs = False
        self.room: int | None = None  # bytes that it takes on a new connection; None: all
        self.started = 0.0
        self.links: list[Link] = []

    def connect(self) -> MemoryTransport:
        """A router dials."""
        if self.refuses:
            raise ConnectionRefusedError(111, "refused")
        transport = MemoryTransport(self.loop)
        if self.hangs:
            transport.hangs = True
            return transport
        transport.room = self.room
        self.links.append(Link(self, transport))
        return transport

    def line(self, link: Link, message: dict[str, Any], began: float, handed: float) -> None:
        """A whole line of the router's: when its first byte left, and when it was handed to the socket."""
        now, op, name = self.loop.unix_ms(), message["op"], message["id"]
        if op == "CALL":
            key = base64.b64decode(message["body"]).decode()
            if message["fields"]["thing"] not in self.called:
                raise Finding(f"function {message['fields']['thing']} was never asked for")
            if any(held.name == name for held in link.held):
                raise Finding(f"two calls named {name} are open on one connection")
            tried = self.ledger.out(now, key, self.number, began, handed)
            link.held.append(Held(name, key, link, tried, message["fields"]["thing"]))
        elif op == "CANCEL":
            for held in [h for h in link.held if h.name == name and h.tried is not None]:
                link.held.remove(held)
                assert held.tried is not None
                self.ledger.ended(held.tried, True)
        elif op == "LOAD":
            self.ledger.ordered(now, self.number, message["fields"]["pods"], began)
            link.held.append(Held(name, "", link, None, message["fields"]["thing"]))
        elif op not in ("UNLOAD", "PING"):
            raise Finding(f"a worker was sent {op}")

    def held(self) -> list[Held]:
        """All that it holds, the oldest first."""
        return [held for link in self.links for held in link.held]

    def answer(self, held: Held, op: str, fields: dict[str, Any], *, twice: bool = False) -> None:
        """The end of a call or an order, as one whole line."""
        message: dict[str, Any] = {"op": op, "id": held.name, "fields": fields}
        if op == "HIT" and held.tried is not None:
            body = f"{held.key}@{self.number}".encode()
            self.ledger.made(held.key, body)
            message["body"] = base64.b64encode(body).decode()
        held.link.held.remove(held)
        if held.tried is not None:
            self.ledger.ended(held.tried, op not in PROVES_NOT_RUN)
        held.link.transport.send(json.dumps(message).encode() + b"\n")
        if twice:
            held.link.transport.send(json.dumps(message).encode() + b"\n")

    def reset(self) -> None:
        """All its connections break."""
        for link in list(self.links):
            link.transport.hang_up()

    def flow(self) -> None:
        """It reads again, if it did not."""
        self.room = None
        for link in list(self.links):
            link.transport.take(None)


class Client:
    """A platform client on one connection."""

    def __init__(self, loop: VirtualLoop, ledger: Ledger, protocol: Any) -> None:
        self.loop, self.ledger = loop, ledger
        self.transport = MemoryTransport(loop)
        self.transport.on_bytes = self.came
        self.transport.on_close = self.closed
        self.open: dict[int, str] = {}
        self.number = 0
        self.up = True
        self.slow = False
        self.spent = False  # it has said that no more comes, or what ends the connection
        self._answers = msgpack.Unpacker(raw=False, strict_map_key=True)
        self.transport.begin(protocol)

    def closed(self) -> None:
        """The connection has ended, by whichever end. Whoever does not read may lose what was written."""
        self.up = False
        if self.slow:
            for key in self.open.values():
                self.ledger.left(self.loop.unix_ms(), key)

    def call(self, key: str, klass: str, function: str, limit: int, terms: Terms, **fields: str) -> bytes:
        """Record a call and return its bytes."""
        self.number += 1
        now = self.loop.unix_ms()
        self.open[self.number] = key
        self.ledger.taken(now, key, terms, now + limit)
        if self.slow or not self.up:  # turned away at the limit: nobody has read the request
            self.ledger.left(now, key)
        told = {"txn": f"{int(key[1:]):016x}", "limit": str(limit), "item": function} | fields
        return bytes(msgpack.packb([0, self.number, klass, [told, key.encode()]]))

    def interrupt(self, number: int) -> bytes:
        """Record that a call is not waited for, and return the bytes that say so."""
        self.ledger.left(self.loop.unix_ms(), self.open[number])
        self.ledger.gone(self.loop.unix_ms(), self.open[number])
        return bytes(msgpack.packb([2, "interrupt", [number]]))

    def came(self, data: bytes) -> None:
        """Answers."""
        self._answers.feed(data)
        for message in self._answers:
            if not isinstance(message, list) or len(message) != 4 or message[0] != 1:
                raise Finding(f"a client was sent {message!r}")
            _, number, error, result = message
            key = self.open.get(number)
            if error is not None and error[0] == "BadRequest":
                raise Finding(f"a good request was answered {error!r}")
            if key is None:
                raise Finding(f"an answer under the number {number}, which is not in use")
            self.ledger.answered(self.loop.unix_ms(), key, answer_kind(error), result[0] if result else b"")

    def stop_writing(self) -> None:
        """The client closes its end, and reads on: each call is still owed its answer, and begins no more."""
        self.spent = True
        for key in self.open.values():
            self.ledger.gone(self.loop.unix_ms(), key)
        self.transport.send_eof()

    def hang_up(self) -> None:
        """The client goes without a word."""
        for key in self.open.values():
            self.ledger.left(self.loop.unix_ms(), key)
            self.ledger.gone(self.loop.unix_ms(), key)
        self.transport.hang_up()
