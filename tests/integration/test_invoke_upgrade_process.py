"""An upgrade of a router process whose callers return to the new process only after the old one has ended."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.fakes.scripted import ScriptedWorker
from cedarthread.testing.fakes.settings import SETTINGS
from tests.integration import invoke_caller
from tests.integration.async_router_process import listed_endpoints, router_process, start_process
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    RESPOND_ASYNC,
    Authority,
    Caller,
    Response,
    invoke_arguments,
)
from tests.integration.router_process import free_port

if TYPE_CHECKING:
    import ssl
    from pathlib import Path

authority = invoke_caller.authority
CALLS = 8
SHORT_DEADLINE_MS = 300  # which the length of a shutdown depends on


async def request(port: int, context: ssl.SSLContext, method: str, path: str, **fields: str) -> Response:
    """Send a request on a new connection, and return the response."""
    async with Caller(port, context) as caller:
        return await caller.request(method, path, b"x" if method == "POST" else b"", **fields)


# Guards against results that are lost with the process that has taken and run the calls.
@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_results_are_found_once_the_old_process_has_gone(
    authority: Authority, tmp_path: Path, end: signal.Signals
) -> None:
    port = free_port()
    arguments = invoke_arguments(authority, port)
    classes = [entry | {"deadline": SHORT_DEADLINE_MS, "goal-time": 100} for entry in SETTINGS["classes"]]

    async def scenario() -> None:
        worker = ScriptedWorker()
        await worker.start()
        known = listed_endpoints([worker])
        settings = SETTINGS | {"classes": classes}
        context = authority.caller(ALLOWED_CALLER_ID)
        async with router_process(tmp_path, arguments=arguments, known=known, settings=settings) as old:
            responses = [
                await request(
                    port,
                    context,
                    "POST",
                    FUNCTION_PATH + "confirm",
                    Idempotency_Key=f"k{number}",
                    **RESPOND_ASYNC,
                )
                for number in range(CALLS)
            ]
            locations = [response.fields["location"] for response in responses]
            for location in locations:
                assert (await request(port, context, "GET", location, Prefer="wait=5")).status == 200
            new = await start_process(tmp_path, arguments=arguments)
            try:
                await new.wait_until_serving()
                old.process.send_signal(end)
                await old.process.wait()
                for number, location in enumerate(locations):
                    found = await request(port, context, "GET", location)
                    assert (found.status, found.body) == (200, b"X")
                    key = {"Idempotency_Key": f"k{number}"}
                    returned = await request(port, context, "POST", FUNCTION_PATH + "confirm", **key)
                    assert (returned.status, returned.body) == (200, b"X")
            finally:
                await new.kill()
        worker.stop()
        assert len(worker.calls) == CALLS

    asyncio.run(scenario())
