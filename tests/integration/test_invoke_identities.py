"""Authentication of callers of the invoke API by the SPIFFE ID in their certificate."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from cedarthread.protocols.invoke import spiffe
from cedarthread.testing.fakes.scripted import ScriptedWorker, service
from tests.integration import invoke_caller
from tests.integration.invoke_caller import (
    ALLOWED_CALLER_ID,
    FUNCTION_PATH,
    PORTAL_ID,
    RESPOND_ASYNC,
    Authority,
    Caller,
    read_invoke_config,
)

authority = invoke_caller.authority


@pytest.mark.parametrize(
    ("uris", "may_sign"),
    [
        (("spiffe://gaz.example/stranger",), False),
        (("spiffe://other.example/desk/1",), False),
        ((ALLOWED_CALLER_ID, PORTAL_ID), False),
        ((), False),
        (("https://gaz.example/desk/1",), False),
        (("spiffe://gaz.example/desk/../portal",), False),
        ((ALLOWED_CALLER_ID,), True),
    ],
)
def test_a_caller_without_an_allowed_identity_is_rejected_and_nothing_is_forwarded(
    authority: Authority, uris: tuple[str, ...], may_sign: bool
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            async with Caller(running, authority.caller(*uris, may_sign=may_sign)) as caller:
                assert (await caller.request("POST", FUNCTION_PATH + "check", b"x")).status == 403
            assert not worker.calls

    asyncio.run(scenario())


def test_another_identity_can_neither_collect_a_result_nor_share_its_idempotency_key(
    authority: Authority,
) -> None:
    async def scenario() -> None:
        worker = ScriptedWorker()
        async with service(worker, invoke=read_invoke_config(authority)) as running:
            keyed_fields = RESPOND_ASYNC | {"Idempotency-Key": "1"}
            async with Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller:
                _, fields, _ = await caller.request("POST", FUNCTION_PATH + "revise", b"x", **keyed_fields)
            async with Caller(running, authority.caller(PORTAL_ID)) as other_caller:
                assert (await other_caller.request("GET", fields["location"])).status == 404
                assert (await other_caller.request("DELETE", fields["location"])).status == 404
                _, other_fields, _ = await other_caller.request(
                    "POST", FUNCTION_PATH + "revise", b"x", **keyed_fields
                )
                assert other_fields["location"] != fields["location"]
                assert (
                    await other_caller.request("GET", other_fields["location"], Prefer="wait=5")
                ).status == 200
            keys = {call["fields"]["replay"] for call in worker.calls}
            assert len(keys) == len(worker.calls) == 2

    asyncio.run(scenario())


def test_a_connection_without_a_certificate_is_refused(authority: Authority) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running:
            context = authority.context_without_certificate()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                async with Caller(running, context) as caller:
                    await caller.request("GET", "/v1/ready")

    asyncio.run(scenario())


def test_an_expired_identity_is_rejected_on_an_open_connection(authority: Authority) -> None:
    async def scenario() -> None:
        async with (
            service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running,
            Caller(running, authority.caller(ALLOWED_CALLER_ID)) as caller,
        ):
            assert (await caller.request("GET", "/v1/ready")).status == 200
            assert running.invoke is not None
            for connection in running.invoke.connections:
                assert isinstance(connection.peer, spiffe.Identity)
                connection.peer = dataclasses.replace(connection.peer, expires_at_unix=1.0)
            assert (await caller.request("GET", "/v1/ready")).status == 403

    asyncio.run(scenario())


def test_a_renewed_bundle_and_allow_list_are_loaded(authority: Authority) -> None:
    async def scenario() -> None:
        async with service(ScriptedWorker(), invoke=read_invoke_config(authority)) as running:
            assert running.invoke is not None
            old_context = authority.caller(ALLOWED_CALLER_ID)
            async with Caller(running, old_context) as caller:
                config_path = authority.folder / "invoke.toml"
                config_path.write_text(config_path.read_text().replace("desk/*", "office/*"))
                renewed = Authority(authority.folder)  # overwrites the bundle
                renewed.write_svid("svid", "spiffe://gaz.example/router")
                assert await running.invoke.reload()
                assert (await caller.request("GET", "/v1/ready")).status == 403, (
                    "the new allow list must also apply to an open connection"
                )
            async with Caller(running, renewed.caller("spiffe://gaz.example/office/2")) as renewed_caller:
                assert (await renewed_caller.request("GET", "/v1/ready")).status == 200
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                async with Caller(running, old_context) as caller:
                    await caller.request("GET", "/v1/ready")
            (authority.folder / "bundle.pem").write_text("no certificate")
            assert not await running.invoke.reload()  # an unusable bundle changes nothing
            assert running.invoke.config.allowed_patterns[0] == "spiffe://gaz.example/office/*"

    asyncio.run(scenario())


def test_a_spiffe_id_needs_a_valid_trust_domain_and_path() -> None:
    assert spiffe.parse_trust_domain(ALLOWED_CALLER_ID) == "gaz.example"
    for invalid_id in (
        "spiffe://gaz.example",
        "spiffe://gaz.example/",
        "spiffe://Gaz/x",
        "spiffe://a/b//c",
        "x://a/b",
    ):
        assert spiffe.parse_trust_domain(invalid_id) is None
    assert spiffe.parse_trust_domain("spiffe://a/" + "x" * 2048) is None
