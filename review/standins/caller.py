"""A caller of the invoke API: HTTP/1.1 over mutual TLS, each request on a connection of its own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import ssl


class Answer(NamedTuple):
    """An HTTP answer; the names of its fields are in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes


async def request(
    port: int, context: ssl.SSLContext, method: str, path: str, body: bytes = b"", **fields: str
) -> Answer:
    """Send one request on a new connection, and return its answer.

    Raises:
        OSError: The connection failed or ended before the whole answer had arrived.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    try:
        _send(writer, method, path, body, fields)
        return await _read(reader)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended without a whole answer") from error
    finally:
        writer.transport.abort()


async def send_and_leave(
    port: int, context: ssl.SSLContext, path: str, body: bytes, stay_s: float, **fields: str
) -> None:
    """Send one POST, and close the connection after ``stay_s`` without reading an answer."""
    _, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    _send(writer, "POST", path, body, fields)
    await writer.drain()
    await asyncio.sleep(stay_s)
    writer.transport.abort()


def _send(writer: asyncio.StreamWriter, method: str, path: str, body: bytes, fields: dict[str, str]) -> None:
    all_fields = {"Host": "router", "Content-Length": str(len(body))} | fields
    head = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in all_fields.items())
    writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)


async def _read(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    lines = (line.partition(": ") for line in head[1:])
    fields = {name.lower(): value for name, _, value in lines if name}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Answer(int(head[0].split()[1]), fields, body)
