"""A caller of the invoke API in memory: synchronous, deferred and keyed calls, and what it collects."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import CallRejected
from cedarthread.testing.fuzzing.target import Dice, Finding
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.call_machine import World

_HEAD = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n")
KINDS = {200: "served", 503: "refused", 502: "failed", 504: "failed"}


@dataclass(slots=True)
class Reply:
    """A response as it came."""

    status: int
    fields: dict[str, str]
    body: bytes


def read_reply(data: bytes) -> tuple[Reply, int] | None:
    """The response at the start, and where it ends; None while it is not whole."""
    if b"\r\n\r\n" not in data:
        return None
    head, _, rest = data.partition(b"\r\n\r\n")
    start = _HEAD.match(head + b"\r\n")
    if start is None:
        raise Finding(f"a response begins with {head[:40]!r}")
    pairs = [line.partition(": ") for line in head.decode("latin-1").split("\r\n")[1:]]
    fields = {name.lower(): value for name, _, value in pairs}
    status, length = int(start[1]), int(fields.get("content-length", "0"))
    if len(rest) < length:
        return None
    return Reply(status, fields, rest[:length]), len(head) + 4 + length


class Caller:
    """One identity on one connection, asking one thing at a time or many in a row."""

    def __init__(self, world: World, owner: str) -> None:
        self.world, self.owner = world, owner
        self.names: dict[str, str] = {}  # of deferred calls: to the call's key in the ledger
        self.keys: dict[str, tuple[str, str, int]] = {}  # idempotency keys: call, function, class
        self.finals: dict[str, tuple[int, bytes]] = {}  # what was given for a kept call
        self.waiting: list[tuple[str, str]] = []  # what was asked on this connection, in order
        self._connect()

    def _connect(self) -> None:
        self.transport = MemoryTransport(self.world.loop)
        self.transport.on_bytes = self.came
        self.transport.on_close = self.closed
        self.up, self.buffer = True, b""
        self.transport.begin(self.world.invoke_connection(self.owner))

    def closed(self) -> None:
        """What was asked here and not answered has nobody to be answered to."""
        self.up = False
        for _, key in self.waiting:
            self.world.ledger.left(self.world.now(), key)
        self.waiting.clear()

    def act(self, dice: Dice) -> None:
        """One thing that a caller does."""
        if not self.up:
            self._connect()
        if len(self.waiting) > 2:
            return
        match dice.byte() % 8:
            case 0 | 1:
                self.post(dice, key=None, deferred=False)
            case 2 | 3:
                self.post(dice, key=f"k{len(self.keys)}", deferred=bool(dice.byte() & 1))
            case 4:
                self.repeat(dice)
            case 5 if self.names:
                name = dice.pick(list(self.names))
                wait = dice.pick(("", "Prefer: wait=1\r\n", "Prefer: wait=20\r\n"))
                self.ask(
                    "collect", self.names[name], f"GET /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n{wait}\r\n"
                )
            case 6 if self.names:
                name = dice.pick(list(self.names))
                self.world.ledger.left(self.world.now(), self.names[name])
                self.ask("delete", self.names[name], f"DELETE /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n\r\n")
                del self.names[name]
            case 7:
                self.transport.hang_up()

    def post(self, dice: Dice, key: str | None, *, deferred: bool) -> None:
        """A call."""
        world, klass = self.world, dice.byte() % 5
        if world.top["classes"][klass]["effect"] == "dedup" and key is None:
            key = f"k{len(self.keys)}"
        from cedarthread.testing.fuzzing.call_machine import FUNCTIONS, terms

        call, function = world._key(), dice.pick(FUNCTIONS)
        world.asked.add(function)
        # A kept answer waits for its caller: only a call that ends with its connection has a deadline here.
        # One behind another on a connection is taken up after it, and has its time from then on.
        late = 3000.0 if key is None and not deferred and not self.waiting else 1e9
        world.ledger.taken(world.now(), call, terms(world.top, klass), world.now() + late)
        if key is not None:
            self.keys[key] = (call, function, klass)
        self._send(call, function, klass, key, deferred=deferred)

    def _send(self, call: str, function: str, klass: int, key: str | None, *, deferred: bool) -> None:
        name = self.world.top["classes"][klass]["name"]
        head = f"POST /v1/functions/{function}/{name} HTTP/1.1\r\nHost: a\r\nCall-Timeout-Ms: 3000\r\n"
        head += f"Content-Length: {len(call)}\r\n" + ("Prefer: respond-async\r\n" if deferred else "")
        head += f"Idempotency-Key: {key}\r\n" if key is not None else ""
        self.ask("deferred" if deferred else "sync", call, head + "\r\n" + call)

    def repeat(self, dice: Dice) -> None:
        """The same POST under the same key, while its call is open or its answer kept."""
        if not self.keys or self.waiting:  # behind another it would be taken up only after that one
            return
        key = dice.pick(list(self.keys))
        known = self.world.invoke.calls.deferred_calls.find_by_key(self.owner, key)
        if known is None or isinstance(known.result, CallRejected):
            return  # a new call under an old key: nobody could tell its attempts from the first one's
        call, function, klass = self.keys[key]
        self._send(call, function, klass, key, deferred=bool(dice.byte() & 1))

    def ask(self, what: str, call: str, text: str) -> None:
        """Send a request."""
        if not self.up:  # turned away at the limit: nobody reads it
            return self.world.ledger.left(self.world.now(), call)
        self.waiting.append((what, call))
        self.transport.send(text.encode())

    def came(self, data: bytes) -> None:
        """Responses."""
        self.buffer += data
        while (found := read_reply(self.buffer)) is not None:
            reply, end = found
            self.buffer = self.buffer[end:]
            if not self.waiting:
                raise Finding(f"a response of {reply.status} to nothing that was asked")
            self.take(*self.waiting.pop(0), reply)

    def take(self, what: str, call: str, reply: Reply) -> None:
        """One response to what was asked first."""
        world = self.world
        if reply.status == 202 and what == "last":
            raise Finding(f"{call} is pending, though its time is up")
        if reply.status == 202:
            self.names[reply.fields["location"].rpartition("/")[2]] = call
        elif reply.status in KINDS and what != "delete":
            kind = KINDS[reply.status]
            if reply.status == 504 and b'"harmless"' in reply.body:
                kind = "refused"
            told = (reply.status, reply.body)
            if call in self.finals and self.finals[call] != told:
                raise Finding(f"two different final answers for {call}: {self.finals[call]} and {told}")
            if call not in self.finals:
                world.ledger.answered(world.now(), call, kind, reply.body if kind == "served" else b"")
            self.finals[call] = told
        elif reply.status == 404 and what in ("collect", "last"):
            world.ledger.left(world.now(), call)  # its time was up, or it was given up
        elif not (reply.status == 204 and what == "delete") and reply.status != 404:
            raise Finding(f"{what} of {call} got {reply.status}: {reply.body[:80]!r}")

    def collect(self) -> None:
        """At the end, when every call's time is up: fetch one that is kept; it must have its answer."""
        if self.up and self.waiting:
            raise Finding(f"{self.waiting[0]} has had no response")
        if not self.names:
            return
        if not self.up:
            self._connect()
        name, call = next(iter(self.names.items()))
        self.ask("last", call, f"GET /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n\r\n")
        del self.names[name]
