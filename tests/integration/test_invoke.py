"""The invoke API on loopback: callers with SVIDs of a test authority, function router, runners."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import json
import os
import socket
import ssl
from typing import TYPE_CHECKING, Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.invoke import config as invoke_config
from cedarthread.protocols.invoke import spiffe
from cedarthread.testing.fakes.scripted import (
    FUNCTION,
    ScriptedWorker,
    answer_with,
    client,
    endpoint_record,
    serve_uppercase,
    service,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path

    from cedarthread.service import Service

DESK, PORTAL = "spiffe://gaz.example/desk/1", "spiffe://gaz.example/portal"
PATH = f"/v1/functions/{FUNCTION}/"
ASYNC = {"Prefer": "respond-async"}


class Authority:
    """Signs SVIDs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.ORGANIZATION_NAME, "test")])
        self.certificate = self._sign("spiffe://gaz.example", key=self.key, ca=True)
        (folder / "bundle.pem").write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def _sign(
        self, *uris: str, key: ec.EllipticCurvePrivateKey, ca: bool = False, **usage: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        told = dict.fromkeys(
            ("content_commitment", "key_encipherment", "data_encipherment", "key_agreement"), False
        )
        signs = usage.get("signs", ca)
        names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri) for uri in uris])
        builder = (
            x509.CertificateBuilder()
            .subject_name(self.name if ca else x509.Name([]))
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
            .add_extension(
                x509.KeyUsage(
                    digital_signature=not ca,
                    key_cert_sign=signs,
                    crl_sign=False,
                    encipher_only=False,
                    decipher_only=False,
                    **told,
                ),
                critical=True,
            )
        )
        if uris:
            builder = builder.add_extension(names, critical=not ca)
        return builder.sign(self.key, hashes.SHA256())

    def svid(self, name: str, *uris: str, **usage: bool) -> tuple[Path, Path]:
        key = ec.generate_private_key(ec.SECP256R1())
        certificate, secret = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        certificate.write_bytes(self._sign(*uris, key=key, **usage).public_bytes(serialization.Encoding.PEM))
        secret.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate, secret

    def caller(self, *uris: str, **usage: bool) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(self.folder / "bundle.pem")
        context.load_cert_chain(*self.svid("caller", *uris, **usage))
        return context


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    made = Authority(tmp_path)
    made.svid("svid", "spiffe://gaz.example/router")
    (tmp_path / "invoke.toml").write_text(
        '[invoke]\nlisten = "127.0.0.1:0"\ntrust_domain = "gaz.example"\nsvid = "svid.pem"\n'
        f'key = "svid.key"\nbundle = "bundle.pem"\nallow = ["spiffe://gaz.example/desk/*", "{PORTAL}"]\n'
    )
    return made


def config(authority: Authority) -> invoke_config.InvokeConfig:
    return invoke_config.read(authority.folder / "invoke.toml")


class Caller:
    """One connection of a caller."""

    def __init__(self, running: Service, context: ssl.SSLContext) -> None:
        self.port, self.context = running.invoke_port, context

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, ssl=self.context)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.transport.abort()
        await asyncio.sleep(0)

    def send(self, method: str, path: str, body: bytes = b"", **fields: str) -> None:
        told = {"Host": "x", "Content-Length": str(len(body))} | fields
        head = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in told.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        async with asyncio.timeout(10):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {n.lower(): v for n, _, v in (line.partition(": ") for line in head[1:]) if n}
            body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        return int(head[0].split()[1]), fields, body

    async def request(
        self, method: str, path: str, body: bytes = b"", **fields: str
    ) -> tuple[int, dict[str, str], bytes]:
        self.send(method, path, body, **fields)
        return await self.read()


def run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


def test_synchronous_and_deferred_calls_are_served(authority: Authority) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner, invoke=config(authority)) as running:
            async with Caller(running, authority.caller(DESK)) as desk:
                status, _, body = await desk.request("POST", PATH + "check", b"abc", Call_Lanes="4")
                assert (status, body) == (200, b"ABC")
                status, fields, _ = await desk.request("POST", PATH + "confirm", b"later", **ASYNC)
                assert status == 202
                assert fields["preference-applied"] == "respond-async"
                status, _, body = await desk.request("GET", fields["location"], Prefer="wait=5")
                assert (status, body) == (200, b"LATER")
                assert (await desk.request("DELETE", fields["location"]))[0] == 204
                assert (await desk.request("GET", fields["location"]))[0] == 404
            assert len(runner.calls) == 2

    run(test())


def test_a_call_with_a_key_whose_collector_disconnects_and_returns_is_executed_once(
    authority: Authority,
) -> None:
    async def test() -> None:
        runner = ScriptedWorker(lambda runner, message: None)
        async with service(runner, invoke=config(authority)) as running:
            context = authority.caller(PORTAL)
            told = ASYNC | {"Idempotency-Key": '"nomination-1"'}
            async with Caller(running, context) as portal:
                status, fields, _ = await portal.request("POST", PATH + "confirm", b"x", **told)
                assert status == 202
                portal.send("GET", fields["location"], Prefer="wait=20")
                await runner.wait_until(lambda: len(runner.calls) == 1)
            runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
            async with Caller(running, context) as portal:
                _, again, _ = await portal.request(
                    "POST", PATH + "confirm", b"x", **told | {"Prefer": "respond-async, wait=5"}
                )
                status, _, body = await portal.request("GET", fields["location"], Prefer="wait=5")
                assert (status, body) == (200, b"X")
                assert again.get("location", fields["location"]) == fields["location"]
                assert (await portal.request("POST", PATH + "confirm", b"other", **told))[0] == 422
            assert len(runner.calls) == 1
            assert not runner.cancelled_ids

    run(test())


def test_a_deferred_call_outlives_the_drain_of_its_worker(authority: Authority) -> None:
    async def test() -> None:
        runner = ScriptedWorker(lambda runner, message: None)
        async with (
            service(runner, invoke=config(authority)) as running,
            Caller(running, authority.caller(PORTAL)) as portal,
        ):
            _, fields, _ = await portal.request("POST", PATH + "confirm", b"x", **ASYNC)
            await runner.wait_until(lambda: len(runner.calls) == 1)
            running.update_endpoints(
                2, [endpoint_record(runner, 1, EndpointState.DRAINING)], is_complete=True
            )
            refused = await portal.request("POST", PATH + "confirm", b"y", Call_Timeout_Ms="200")
            assert refused[0] in (503, 504)  # nothing new goes there
            runner.answer(runner.calls[0], serve_uppercase(runner, runner.calls[0]))
            status, _, body = await portal.request("GET", fields["location"], Prefer="wait=5")
            assert (status, body) == (200, b"X")
            assert len(runner.calls) == 1

    run(test())


def test_no_retry_once_a_synchronous_caller_has_gone(authority: Authority) -> None:
    """The runner's refusal is read first: that the caller has closed stands unread under TLS."""

    async def test() -> None:
        held: list[tuple[ScriptedWorker, dict[str, Any]]] = []

        def hold(runner: ScriptedWorker, message: dict[str, Any]) -> None:
            held.append((runner, message))

        first, second = ScriptedWorker(hold), ScriptedWorker(hold)
        async with (
            service(first, second, invoke=config(authority)) as running,
            Caller(running, authority.caller(DESK)) as desk,
            client(running) as other,
        ):
            desk.send("POST", PATH + "check", b"x")
            while not held:
                await asyncio.sleep(0)
            assert running.invoke is not None
            (connection,) = running.invoke.connections
            assert connection.transport is not None
            under: Any = connection.transport
            under._ssl_protocol._transport.pause_reading()  # what the caller does next stands unread
            runner, message = held[0]
            runner.answer(message, {"op": "SHED", "fields": {}})
            told = desk.writer.get_extra_info("socket")
            with socket.socket(told.family, told.type, fileno=os.dup(told.fileno())) as sock:
                sock.shutdown(socket.SHUT_RDWR)
            while running.dispatcher.pending_calls:
                await asyncio.sleep(0)
            first.behavior = second.behavior = serve_uppercase
            for number in range(2, 10):
                assert (await other.call(number, "check", b"x"))[2] is None
            names = [one["id"] for one in first.calls + second.calls]
            assert names.count(message["id"]) == 1

    run(test())


def test_a_synchronous_caller_that_disconnects_ends_its_call(authority: Authority) -> None:
    async def test() -> None:
        runner = ScriptedWorker(lambda runner, message: None)
        async with service(runner, invoke=config(authority)) as running:
            async with Caller(running, authority.caller(DESK)) as desk:
                desk.send("POST", PATH + "check", b"x")
                await runner.wait_until(lambda: len(runner.calls) == 1)
            await runner.wait_until(lambda: len(runner.cancelled_ids) == 1)
            assert not running.dispatcher.pending_calls

    run(test())


@pytest.mark.parametrize(
    ("behave", "expected", "repeat"),
    [
        (answer_with("FAULT"), 502, "unknown"),
        (answer_with("SHED"), 503, "harmless"),
        (lambda r, m: None, 504, "unknown"),
    ],
)
def test_results_are_mapped_to_problems(
    authority: Authority, behave: Any, expected: int, repeat: str
) -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker(behave), invoke=config(authority)) as running,
            Caller(running, authority.caller(DESK)) as desk,
        ):
            status, fields, body = await desk.request("POST", PATH + "confirm", b"x", Call_Timeout_Ms="300")
            assert status == expected
            assert fields["content-type"] == "application/problem+json"
            told = json.loads(body)
            assert told["status"] == expected
            assert told["repeat"] == repeat
            assert ("retry-after" in fields) == (repeat == "harmless")

    run(test())


@pytest.mark.parametrize(
    ("method", "path", "fields", "expected"),
    [
        ("POST", PATH + "revise", {}, 400),  # a keyed class without its key
        ("POST", PATH + "check", {"Call-Timeout-Ms": "0"}, 400),
        ("POST", PATH + "check", {"Call-Lanes": "many"}, 400),
        ("POST", PATH + "check", {"Content-Length": "99999"}, 413),
        ("POST", PATH + "check", {"Transfer-Encoding": "chunked"}, 400),
        ("POST", PATH + "nosuch", {}, 404),
        ("GET", PATH + "check", {}, 405),
        ("GET", "/v1/calls/nosuch", {}, 404),
        ("GET", "/v1/ready", {"Host": "a, b"}, 400),
        ("GET", "/v1/ready", {}, 200),
    ],
)
def test_invalid_input_gets_a_problem_and_nothing_is_forwarded(
    authority: Authority, method: str, path: str, fields: dict[str, str], expected: int
) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner, invoke=config(authority)) as running:
            async with Caller(running, authority.caller(DESK)) as desk:
                assert (await desk.request(method, path, b"", **fields))[0] == expected
            assert not runner.calls

    run(test())


@pytest.mark.parametrize(
    ("uris", "usage"),
    [
        (("spiffe://gaz.example/stranger",), {}),
        (("spiffe://other.example/desk/1",), {}),
        ((DESK, PORTAL), {}),
        ((), {}),
        (("https://gaz.example/desk/1",), {}),
        (("spiffe://gaz.example/desk/../portal",), {}),
        ((DESK,), {"signs": True}),
    ],
)
def test_an_identity_that_is_not_allowed_gets_nothing(
    authority: Authority, uris: tuple[str, ...], usage: dict[str, bool]
) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner, invoke=config(authority)) as running:
            async with Caller(running, authority.caller(*uris, **usage)) as stranger:
                assert (await stranger.request("POST", PATH + "check", b"x"))[0] == 403
            assert not runner.calls

    run(test())


def test_another_identity_neither_collects_nor_shares_the_key(authority: Authority) -> None:
    async def test() -> None:
        runner = ScriptedWorker()
        async with service(runner, invoke=config(authority)) as running:
            told = ASYNC | {"Idempotency-Key": "1"}
            async with Caller(running, authority.caller(DESK)) as desk:
                _, fields, _ = await desk.request("POST", PATH + "revise", b"x", **told)
            async with Caller(running, authority.caller(PORTAL)) as portal:
                assert (await portal.request("GET", fields["location"]))[0] == 404
                assert (await portal.request("DELETE", fields["location"]))[0] == 404
                _, other, _ = await portal.request("POST", PATH + "revise", b"x", **told)
                assert other["location"] != fields["location"]
                assert (await portal.request("GET", other["location"], Prefer="wait=5"))[0] == 200
            keys = {call["fields"]["replay"] for call in runner.calls}
            assert len(keys) == len(runner.calls) == 2

    run(test())


def test_without_a_certificate_there_is_no_connection(authority: Authority) -> None:
    async def test() -> None:
        async with service(ScriptedWorker(), invoke=config(authority)) as running:
            bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            bare.check_hostname = False
            bare.load_verify_locations(authority.folder / "bundle.pem")
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                async with Caller(running, bare) as nobody:
                    await nobody.request("GET", "/v1/ready")

    run(test())


def test_a_renewed_bundle_and_allow_list_are_loaded(authority: Authority) -> None:
    async def test() -> None:
        async with service(ScriptedWorker(), invoke=config(authority)) as running:
            assert running.invoke is not None
            before = authority.caller(DESK)
            async with Caller(running, before) as desk:
                text = (authority.folder / "invoke.toml").read_text()
                (authority.folder / "invoke.toml").write_text(text.replace("desk/*", "office/*"))
                renewed = Authority(authority.folder)  # a new authority, and a new SVID of ours by it
                renewed.svid("svid", "spiffe://gaz.example/router")
                assert await running.invoke.reload()
                assert (await desk.request("GET", "/v1/ready"))[0] == 403  # on the old connection too
            async with Caller(running, renewed.caller("spiffe://gaz.example/office/2")) as office:
                assert (await office.request("GET", "/v1/ready"))[0] == 200
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                async with Caller(running, before) as desk:
                    await desk.request("GET", "/v1/ready")
            (authority.folder / "bundle.pem").write_text("no certificate")
            assert not await running.invoke.reload()  # what can't be used changes nothing
            assert running.invoke.config.allowed_patterns[0] == "spiffe://gaz.example/office/*"

    run(test())


def test_sigterm_completes_synchronous_and_deferred_calls(authority: Authority) -> None:
    async def test() -> None:
        runner = ScriptedWorker(lambda runner, message: None)
        async with service(runner, invoke=config(authority)) as running:
            context = authority.caller(DESK)
            async with Caller(running, context) as desk, Caller(running, context) as other:
                _, fields, _ = await other.request("POST", PATH + "confirm", b"b", **ASYNC)
                desk.send("POST", PATH + "check", b"a")
                await runner.wait_until(lambda: len(runner.calls) == 2)
                ending = asyncio.create_task(running.shut_down())
                while running.platform.is_ready:
                    await asyncio.sleep(0)
                for call in runner.calls:
                    runner.answer(call, serve_uppercase(runner, call))
                assert (await desk.read())[2] == b"A"
                async with Caller(running, context) as late:
                    assert (await late.request("POST", PATH + "check", b"c", **ASYNC))[0] == 503
                async with Caller(running, context) as late:
                    assert (await late.request("GET", fields["location"], Prefer="wait=3"))[2] == b"B"
                await ending

    run(test())


def test_synchronous_and_deferred_calls_score_the_same(authority: Authority) -> None:
    """The same calls with the same fates at the worker: worth answered over worth asked, by style."""
    worths = {"check": 2, "revise": 5, "confirm": 5}

    async def play(running: Service, deferred: bool, mark: str) -> float:
        asked = served = 0
        async with Caller(running, authority.caller(DESK)) as desk:
            for number in range(60):
                klass = ("check", "revise", "confirm")[number % 3]
                fields = {"Idempotency-Key": f"{mark}-{number}"} | (ASYNC if deferred else {})
                status, told, _ = await desk.request("POST", PATH + klass, b"%d" % number, **fields)
                if deferred:
                    status, _, _ = await desk.request("GET", told["location"], Prefer="wait=5")
                asked += worths[klass]
                served += worths[klass] * (status == 200)
        return served / asked

    async def test() -> None:
        def by_body(runner: ScriptedWorker, message: dict[str, Any]) -> dict[str, Any]:
            import base64

            number = int(base64.b64decode(message["body"]))
            return (
                answer_with("FAULT")(runner, message) or {}
                if number % 7 == 3
                else serve_uppercase(runner, message)
            )

        scores = []
        for deferred in (False, True):
            async with service(ScriptedWorker(by_body), invoke=config(authority)) as running:
                scores.append(await play(running, deferred, f"{deferred}"))
        assert scores[0] == scores[1]
        assert 0.5 < scores[0] < 1.0

    run(test())


def test_platform_and_invoke_share_one_dispatcher(authority: Authority) -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker(), invoke=config(authority)) as running,
            client(running) as platform,
        ):
            async with Caller(running, authority.caller(DESK)) as desk:
                assert (await platform.call(1, "check", b"x"))[3] == [b"X", {}]
                assert (await desk.request("POST", PATH + "check", b"y"))[2] == b"Y"
            assert running.dispatcher.result_counts["served"] == 2

    run(test())


def test_ids_are_checked() -> None:
    assert spiffe.parse_trust_domain(DESK) == "gaz.example"
    for bad in (
        "spiffe://gaz.example",
        "spiffe://gaz.example/",
        "spiffe://Gaz/x",
        "spiffe://a/b//c",
        "x://a/b",
    ):
        assert spiffe.parse_trust_domain(bad) is None
    assert spiffe.parse_trust_domain("spiffe://a/" + "x" * 2048) is None


def test_a_request_in_fragments_and_two_at_once(authority: Authority) -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker(), invoke=config(authority)) as running,
            Caller(running, authority.caller(DESK)) as desk,
        ):
            desk.send("POST", PATH + "check", b"a")
            desk.send("POST", PATH + "check", b"b")  # behind the first, on one connection
            assert [(await desk.read())[2] for _ in range(2)] == [b"A", b"B"]
            fields = "Host: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n"
            head = f"POST {PATH}check HTTP/1.1\r\n{fields}\r\n"
            for byte in head.encode():
                desk.writer.write(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await desk.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            desk.writer.write(b"cd")
            assert (await desk.read())[2] == b"CD"
            desk.writer.write(b"no request\r\n\r\n")
            assert (await desk.read())[0] == 400
            assert await desk.reader.read() == b""  # and the connection is closed

    run(test())


def test_a_request_that_arrives_too_slowly_is_ended(authority: Authority) -> None:
    async def test() -> None:
        async with service(ScriptedWorker(), invoke=config(authority)) as running:
            assert running.invoke is not None
            async with Caller(running, authority.caller(DESK)) as desk:
                desk.writer.write(b"POST /v1")
                while not any(c.request_started_at is not None for c in running.invoke.connections):
                    await asyncio.sleep(0)
                running.invoke.sweep(asyncio.get_running_loop().time() + 11.0)
                assert (await desk.read())[0] == 408

    run(test())


def test_an_expired_identity_is_rejected_on_an_open_connection(authority: Authority) -> None:
    async def test() -> None:
        async with (
            service(ScriptedWorker(), invoke=config(authority)) as running,
            Caller(running, authority.caller(DESK)) as desk,
        ):
            assert (await desk.request("GET", "/v1/ready"))[0] == 200
            assert running.invoke is not None
            for connection in running.invoke.connections:
                assert isinstance(connection.peer, spiffe.Identity)
                connection.peer = dataclasses.replace(connection.peer, expires_at_unix=1.0)
            assert (await desk.request("GET", "/v1/ready"))[0] == 403

    run(test())


def test_an_invalid_head_is_answered_whatever_follows_it(authority: Authority) -> None:
    """Closing with input unread resets the connection and takes the answer away."""

    async def test() -> None:
        async with (
            service(ScriptedWorker(), invoke=config(authority)) as running,
            Caller(running, authority.caller(DESK)) as caller,
        ):
            head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"
            caller.writer.write(head + b"x" * 500_000)
            assert (await caller.read())[0] == 413
            async with asyncio.timeout(10):
                assert await caller.reader.read() == b""

    run(test())


def test_an_idle_caller_is_evicted_at_the_limit(authority: Authority) -> None:
    async def test() -> None:
        told = dataclasses.replace(config(authority), max_connections=2)
        context = authority.caller(DESK)
        async with (
            service(ScriptedWorker(), invoke=told) as running,
            Caller(running, context) as first,
            Caller(running, context) as second,
        ):
            for caller in (first, second, first):
                assert (await caller.request("GET", "/v1/ready"))[0] == 200
            async with Caller(running, context) as third:
                for caller in (third, first):
                    assert (await caller.request("GET", "/v1/ready"))[0] == 200
                async with asyncio.timeout(10):
                    assert await second.reader.read() == b""

    run(test())
