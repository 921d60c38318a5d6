"""A client behind a slow link: it writes its requests in small pieces, and may read its answers slowly."""

from __future__ import annotations

import asyncio
import random
import secrets
from typing import TYPE_CHECKING

from review.standins.client import Client, Request, pack_request

if TYPE_CHECKING:
    from review.standins.record import Record

PIECE_BYTES = 1460
ANSWERS_WITHIN_S = 30.0  # after the last request: far more than reading all open answers takes


class SlowClient(Client):
    """A connection that always has requests under way.

    Args:
        label: Its name in the record.
        record: The record of the run.
        seed: Draws the functions.
        write_per_s: Bytes that it writes in a second.
        read_per_s: The most that it reads in a second; None: no limit.
    """

    def __init__(
        self, label: str, record: Record, seed: int, *, write_per_s: int, read_per_s: int | None
    ) -> None:
        super().__init__(label, record, read_per_s)
        self.write_per_s = write_per_s
        self._random = random.Random(seed)
        self.written_at_s: dict[str, float] = {}  # when the last byte of a request was written, by its id
        self.ended_at_s = 0.0

    async def run(self, seconds: float, long_function: str, long_share: float, open_requests: int) -> None:
        """Send requests for some seconds, at most so many open at a time, then wait for the answers."""
        end_s = self.record.seconds() + seconds
        while self.record.seconds() < end_s and not self.end_of_input:
            if sum(request.answer is None for request in self.requests) >= open_requests:
                await asyncio.sleep(0.01)
                continue
            is_long = self._random.random() < long_share
            function = long_function if is_long else f"{self._random.randrange(1, 9):016x}"
            await self._write(function, self._random.randbytes(16_000))
        wait_until_s = self.record.seconds() + ANSWERS_WITHIN_S
        while not self.end_of_input and self.record.seconds() < wait_until_s:
            if all(request.answer is not None for request in self.requests):
                break
            await asyncio.sleep(0.05)
        self.ended_at_s = self.record.seconds()

    async def _write(self, function: str, body: bytes) -> None:
        """Write one request piece by piece."""
        assert self._socket is not None
        number = len(self.requests) + 1
        request = Request(number, secrets.token_hex(8), "check", body, self.record.seconds())
        self.requests.append(request)
        data = pack_request(request, function, 5000)
        loop = asyncio.get_running_loop()
        try:
            for start in range(0, len(data), PIECE_BYTES):
                piece = data[start : start + PIECE_BYTES]
                await loop.sock_sendall(self._socket, piece)
                await asyncio.sleep(len(piece) / self.write_per_s)
        except ConnectionError:
            return  # the connection has ended; the reader says how
        self.written_at_s[request.call_id] = self.record.seconds()
        self.record.write(f"{self.label}: sent {request.call_id} function={function}")
