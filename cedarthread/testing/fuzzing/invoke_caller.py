"""A caller of the invoke API in memory: synchronous, deferred and keyed calls, and what it collects."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.dispatch.calls import CallRejected
from cedarthread.testing.fuzzing.target import Finding, FuzzedDataProvider
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.call_machine import RouterWorld

_STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r]*\r\n")
RESULT_BY_STATUS = {200: "served", 503: "refused", 502: "failed", 504: "failed"}


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
    start = _STATUS_LINE.match(head + b"\r\n")
    if start is None:
        raise Finding(f"a response begins with {head[:40]!r}")
    pairs = [line.partition(": ") for line in head.decode("latin-1").split("\r\n")[1:]]
    fields = {name.lower(): value for name, _, value in pairs}
    status, length = int(start[1]), int(fields.get("content-length", "0"))
    if len(rest) < length:
        return None
    return Reply(status, fields, rest[:length]), len(head) + 4 + length


class InvokeCaller:
    """One identity on one connection, asking one thing at a time or many in a row."""

    def __init__(self, world: RouterWorld, owner: str) -> None:
        self.world, self.identity = world, owner
        self.deferred_calls: dict[str, str] = {}  # of deferred calls: to the call's key in the ledger
        self.posts_by_key: dict[str, tuple[str, str, int]] = {}  # idempotency keys: call, function, class
        self.final_answers: dict[str, tuple[int, bytes]] = {}  # what was given for a kept call
        self.pending_requests: list[tuple[str, str]] = []  # what was asked on this connection, in order
        self._connect()

    def _connect(self) -> None:
        self.transport = MemoryTransport(self.world.loop)
        self.transport.on_bytes = self.on_bytes
        self.transport.on_close = self.on_close
        self.is_connected, self.buffer = True, b""
        self.transport.connect(self.world.invoke_connection(self.identity))

    def on_close(self) -> None:
        """What was asked here and not answered has nobody to be answered to."""
        self.is_connected = False
        for _, key in self.pending_requests:
            self.world.checker.on_call_abandoned(self.world.now_ms(), key)
        self.pending_requests.clear()

    def act(self, dice: FuzzedDataProvider) -> None:
        """One thing that a caller does."""
        if not self.is_connected:
            self._connect()
        if len(self.pending_requests) > 2:
            return
        match dice.consume_byte() % 8:
            case 0 | 1:
                self.post(dice, key=None, deferred=False)
            case 2 | 3:
                self.post(dice, key=f"k{len(self.posts_by_key)}", deferred=bool(dice.consume_byte() & 1))
            case 4:
                self.retry_post(dice)
            case 5 if self.deferred_calls:
                name = dice.pick(list(self.deferred_calls))
                wait = dice.pick(("", "Prefer: wait=1\r\n", "Prefer: wait=20\r\n"))
                self.send_request(
                    "collect",
                    self.deferred_calls[name],
                    f"GET /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n{wait}\r\n",
                )
            case 6 if self.deferred_calls:
                name = dice.pick(list(self.deferred_calls))
                self.world.checker.on_call_abandoned(self.world.now_ms(), self.deferred_calls[name])
                self.send_request(
                    "delete",
                    self.deferred_calls[name],
                    f"DELETE /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n\r\n",
                )
                del self.deferred_calls[name]
            case 7:
                self.transport.peer_reset()

    def post(self, dice: FuzzedDataProvider, key: str | None, *, deferred: bool) -> None:
        """A call."""
        world, klass = self.world, dice.consume_byte() % 5
        if world.raw_settings["classes"][klass]["effect"] == "dedup" and key is None:
            key = f"k{len(self.posts_by_key)}"
        from cedarthread.testing.fuzzing.call_machine import FUNCTIONS, call_guarantees

        call, function = world.next_call_key(), dice.pick(FUNCTIONS)
        world.called_functions.add(function)
        # A kept answer waits for its caller: only a call that ends with its connection has a deadline here.
        # One behind another on a connection is taken up after it, and has its time from then on.
        late = 3000.0 if key is None and not deferred and not self.pending_requests else 1e9
        world.checker.on_call_submitted(
            world.now_ms(), call, call_guarantees(world.raw_settings, klass), world.now_ms() + late
        )
        if key is not None:
            self.posts_by_key[key] = (call, function, klass)
        self._send_post(call, function, klass, key, deferred=deferred)

    def _send_post(self, call: str, function: str, klass: int, key: str | None, *, deferred: bool) -> None:
        name = self.world.raw_settings["classes"][klass]["name"]
        head = f"POST /v1/functions/{function}/{name} HTTP/1.1\r\nHost: a\r\nCall-Timeout-Ms: 3000\r\n"
        head += f"Content-Length: {len(call)}\r\n" + ("Prefer: respond-async\r\n" if deferred else "")
        head += f"Idempotency-Key: {key}\r\n" if key is not None else ""
        self.send_request("deferred" if deferred else "sync", call, head + "\r\n" + call)

    def retry_post(self, dice: FuzzedDataProvider) -> None:
        """The same POST under the same key, while its call is open or its answer kept."""
        if (
            not self.posts_by_key or self.pending_requests
        ):  # behind another it would be taken up only after that one
            return
        key = dice.pick(list(self.posts_by_key))
        known = self.world.invoke.deferred_calls.find_by_key(self.identity, key)
        if known is None or isinstance(known.result, CallRejected):
            return  # a new call under an old key: nobody could tell its attempts from the first one's
        call, function, klass = self.posts_by_key[key]
        self._send_post(call, function, klass, key, deferred=bool(dice.consume_byte() & 1))

    def send_request(self, what: str, call: str, text: str) -> None:
        """Send a request."""
        if not self.is_connected:  # turned away at the limit: nobody reads it
            return self.world.checker.on_call_abandoned(self.world.now_ms(), call)
        self.pending_requests.append((what, call))
        self.transport.peer_send(text.encode())

    def on_bytes(self, data: bytes) -> None:
        """Responses."""
        self.buffer += data
        while (found := read_reply(self.buffer)) is not None:
            reply, end = found
            self.buffer = self.buffer[end:]
            if not self.pending_requests:
                raise Finding(f"a response of {reply.status} to nothing that was asked")
            self.on_reply(*self.pending_requests.pop(0), reply)

    def on_reply(self, what: str, call: str, reply: Reply) -> None:
        """One response to what was asked first."""
        world = self.world
        if reply.status == 202 and what == "last":
            raise Finding(f"{call} is pending, though its time is up")
        if reply.status == 202:
            self.deferred_calls[reply.fields["location"].rpartition("/")[2]] = call
        elif reply.status in RESULT_BY_STATUS and what != "delete":
            kind = RESULT_BY_STATUS[reply.status]
            if reply.status == 504 and b'"harmless"' in reply.body:
                kind = "refused"
            told = (reply.status, reply.body)
            if call in self.final_answers and self.final_answers[call] != told:
                raise Finding(
                    f"two different final answers for {call}: {self.final_answers[call]} and {told}"
                )
            if call not in self.final_answers:
                world.checker.on_answer(world.now_ms(), call, kind, reply.body if kind == "served" else b"")
            self.final_answers[call] = told
        elif reply.status == 404 and what in ("collect", "last"):
            world.checker.on_call_abandoned(world.now_ms(), call)  # its time was up, or it was given up
        elif not (reply.status == 204 and what == "delete") and reply.status != 404:
            raise Finding(f"{what} of {call} got {reply.status}: {reply.body[:80]!r}")

    def collect(self) -> None:
        """At the end, when every call's time is up: fetch one that is kept; it must have its answer."""
        if self.is_connected and self.pending_requests:
            raise Finding(f"{self.pending_requests[0]} has had no response")
        if not self.deferred_calls:
            return
        if not self.is_connected:
            self._connect()
        name, call = next(iter(self.deferred_calls.items()))
        self.send_request("last", call, f"GET /v1/calls/{name} HTTP/1.1\r\nHost: a\r\n\r\n")
        del self.deferred_calls[name]
