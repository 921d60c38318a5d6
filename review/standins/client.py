"""A client of the platform's protocol: MessagePack-RPC over TCP, with a limit on how fast it reads."""

from __future__ import annotations

import asyncio
import secrets
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from review.standins import messagepack

if TYPE_CHECKING:
    from review.standins.record import Record


@dataclass
class Request:
    """One request and its answer."""

    number: int
    call_id: str
    class_name: str
    body: bytes
    sent_at_s: float
    answer: str | None = None  # served, refused or failed; None: no whole answer yet
    result: bytes = b""
    answered_at_s: float = 0.0


def pack_request(request: Request, function: str, limit_ms: int, key: str | None = None) -> bytes:
    """Return the message of one request."""
    fields = {"txn": request.call_id, "limit": str(limit_ms), "item": function}
    fields["props"] = "memory_mb:512;lanes:4"
    if key is not None:
        fields["unique"] = key
    return messagepack.pack([0, request.number, request.class_name, [fields, request.body]])


class Client:
    """One connection of a client.

    Args:
        label: Its name in the record.
        record: The record of the run.
        bytes_per_s: The most that it reads in a second; None: no limit.
    """

    def __init__(self, label: str, record: Record, bytes_per_s: int | None = None) -> None:
        self.label = label
        self.record = record
        self.bytes_per_s = bytes_per_s
        self.requests: list[Request] = []
        self.second_answers = 0
        self.unread_bytes = 0  # of an answer that has not arrived whole
        self.end_of_input = ""  # how the connection ended; empty: it is open
        self._socket: socket.socket | None = None
        self._reading: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Connect to the router and begin to read answers."""
        loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        if self.bytes_per_s is not None:
            # Segments as on an Ethernet, and a small receive buffer: with those of loopback, the kernel alone
            # would keep some megabytes of answers for a client that reads slowly.
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
        self._socket.settimeout(0.0)  # non-blocking
        await loop.sock_connect(self._socket, ("127.0.0.1", port))
        self._reading = loop.create_task(self._read())

    async def send(
        self, class_name: str, function: str, body: bytes, limit_ms: int = 5000, key: str | None = None
    ) -> Request:
        """Send a request; its answer is found in the returned object."""
        assert self._socket is not None
        call_id = secrets.token_hex(8)
        request = Request(len(self.requests) + 1, call_id, class_name, body, self.record.seconds())
        self.requests.append(request)
        data = pack_request(request, function, limit_ms, key)
        await asyncio.get_running_loop().sock_sendall(self._socket, data)
        self.record.write(f"{self.label}: sent {call_id} {class_name} function={function}")
        return request

    async def _read(self) -> None:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        buffered = bytearray()
        try:
            while data := await loop.sock_recv(self._socket, 16384):
                buffered += data
                self._parse(buffered)
                self.unread_bytes = len(buffered)
                if self.bytes_per_s is not None:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
            self.end_of_input = "closed"
        except ConnectionError as error:
            self.end_of_input = type(error).__name__
        self.record.write(f"{self.label}: connection ended ({self.end_of_input})")

    def _parse(self, buffered: bytearray) -> None:
        while buffered:
            reader = messagepack.Reader(buffered)
            try:
                message = reader.value()
            except messagepack.IncompleteError:
                return
            del buffered[: reader.end]
            self._on_answer(message)

    def _on_answer(self, message: list[Any]) -> None:
        _, number, error, result = message
        request = self.requests[number - 1]
        if request.answer is not None:
            self.second_answers += 1
            self.record.write(f"{self.label}: second answer to {request.call_id}")
            return
        request.answered_at_s = self.record.seconds()
        if error is None:
            request.answer = "served"
            request.result = result[0]
        else:
            request.answer = "refused" if error[0] == "Backoff" else "failed"
        self.record.write(f"{self.label}: answer to {request.call_id}: {request.answer}")

    async def close(self) -> None:
        """Close the connection."""
        if self._reading is not None:
            self._reading.cancel()
        if self._socket is not None:
            self._socket.close()
