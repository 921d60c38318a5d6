"""Responses of the invoke API of a complete router, over TLS on loopback."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.testing.fakes.scripted import ScriptedWorker, service
from tests.golden_builders.config_files import INVOKE_FILE
from tests.golden_builders.invoke import FUNCTION_PATH
from tests.golden_builders.local_service import RESPONSE_TIMEOUT_S
from tests.golden_builders.sample import Sample
from tests.integration.invoke_caller import ALLOWED_CALLER_ID, Authority, Caller, read_invoke_config

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

CALL_PATH = re.compile(rb"/v1/calls/[A-Za-z0-9_-]+")
MASKED_CALL_PATH = b"/v1/calls/MASKED"  # Call ids in paths are random, so samples contain this path.


class Exchange(NamedTuple):
    """A request to the invoke API; an empty target is the path of the call that was deferred last."""

    name: str
    method: str
    target: str
    fields: Mapping[str, str]


EXCHANGES = (
    Exchange("ready", "GET", "/v1/ready", {}),
    Exchange("call", "POST", FUNCTION_PATH + "check", {}),
    Exchange(
        "deferred call",
        "POST",
        FUNCTION_PATH + "confirm",
        {"Prefer": "respond-async", "Idempotency-Key": "k"},
    ),
    Exchange("collected", "GET", "", {"Prefer": "wait=5"}),
    Exchange(
        "key of another call",
        "POST",
        FUNCTION_PATH + "check",
        {"Prefer": "respond-async", "Idempotency-Key": "k"},
    ),
    Exchange("forgotten", "DELETE", "", {}),
    Exchange("no such call", "GET", "", {}),
    Exchange("no such method", "PUT", FUNCTION_PATH + "check", {}),
    Exchange("no such method of a call", "POST", "/v1/calls/x", {}),
    Exchange("nothing there", "GET", "/", {}),
    Exchange("expectation", "GET", "/v1/ready", {"Expect": "other"}),
)


async def build_invoke_front(folder: Path) -> list[Sample]:
    """Return the responses to an authorized and an unauthorized caller, and those of a draining router."""
    authority = Authority(folder)
    authority.write_svid("svid", "spiffe://gaz.example/router")
    (folder / "invoke.toml").write_text(INVOKE_FILE)
    deferred_path = ""
    samples: list[Sample] = []
    async with service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running:
        async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as allowed_caller:
            for exchange in EXCHANGES:
                allowed_caller.send(
                    exchange.method, exchange.target or deferred_path, b"body", **exchange.fields
                )
                response = await _read_response(allowed_caller.reader)
                if (found := CALL_PATH.search(response)) is not None:
                    deferred_path = found[0].decode()
                masked = CALL_PATH.sub(MASKED_CALL_PATH, response)
                samples.append(Sample(f"invoke {exchange.name}", masked))
        async with Caller(running, authority.caller("spiffe://gaz.example/other")) as unauthorized_caller:
            unauthorized_caller.send("GET", "/v1/ready")
            samples.append(Sample("invoke not let in", await _read_response(unauthorized_caller.reader)))
        async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as allowed_caller:
            if running.invoke is not None:
                running.invoke.is_ready = False
            allowed_caller.send("GET", "/v1/ready")
            samples.append(Sample("invoke draining", await _read_response(allowed_caller.reader)))
    return samples


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"Content-Length: ([0-9]+)", head)
        return head + (await reader.readexactly(int(length[1])) if length is not None else b"")
