"""A process of hostile callers of the invoke API, which send the same bytes without end.

    python -m cedarthread.testing.hostile.caller_flood PORT FOLDER SECONDS CONNECTIONS

FOLDER has the caller's ``caller.pem`` and ``caller.key``. Standard input has the bytes. A caller comes again
when the router closes its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import sys
from pathlib import Path

RECONNECT_PAUSE_S = 0.02


async def flood(port: int, context: ssl.SSLContext, data: bytes) -> None:
    """Send without end."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
            discard = asyncio.create_task(_discard(reader))
            try:
                while not discard.done():
                    writer.write(data)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                discard.cancel()
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(65536):
            pass


async def run(port: int, folder: Path, seconds: float, connections: int) -> None:
    """Flood with all callers for some seconds."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    context.load_cert_chain(folder / "caller.pem", folder / "caller.key")
    data = sys.stdin.buffer.read()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(flood(port, context, data) for _ in range(connections)))


if __name__ == "__main__":
    asyncio.run(run(int(sys.argv[1]), Path(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])))
