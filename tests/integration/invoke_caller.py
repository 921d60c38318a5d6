"""Callers of the invoke API, and a certificate authority that signs their SVIDs (SPIFFE)."""

from __future__ import annotations

import asyncio
import datetime
import ssl
from typing import TYPE_CHECKING, NamedTuple

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cedarthread.protocols.invoke import config as invoke_config
from cedarthread.testing.fakes.scripted import FUNCTION

if TYPE_CHECKING:
    from pathlib import Path

    from cedarthread.service import Service

# SPIFFE IDs of two callers that the configuration of ``authority`` allows.
ALLOWED_CALLER_ID = "spiffe://gaz.example/desk/1"
PORTAL_ID = "spiffe://gaz.example/portal"
FUNCTION_PATH = f"/v1/functions/{FUNCTION}/"
RESPOND_ASYNC = {"Prefer": "respond-async"}
RESPONSE_TIMEOUT_S = 10

UNSET_KEY_USAGES = dict.fromkeys(
    ("content_commitment", "key_encipherment", "data_encipherment", "key_agreement"), False
)


class Authority:
    """A certificate authority; its certificate and those that it signs are PEM files in ``folder``."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.ORGANIZATION_NAME, "test")])
        self.certificate = self._sign("spiffe://gaz.example", key=self.key, is_authority=True, may_sign=True)
        (folder / "bundle.pem").write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def _sign(
        self, *uris: str, key: ec.EllipticCurvePrivateKey, is_authority: bool = False, may_sign: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri) for uri in uris])
        builder = (
            x509.CertificateBuilder()
            .subject_name(self.name if is_authority else x509.Name([]))
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
            .add_extension(
                x509.KeyUsage(
                    digital_signature=not is_authority,
                    key_cert_sign=may_sign,
                    crl_sign=False,
                    encipher_only=False,
                    decipher_only=False,
                    **UNSET_KEY_USAGES,
                ),
                critical=True,
            )
        )
        if uris:
            builder = builder.add_extension(names, critical=not is_authority)
        return builder.sign(self.key, hashes.SHA256())

    def write_svid(self, name: str, *uris: str, may_sign: bool = False) -> tuple[Path, Path]:
        """Write a certificate for these URIs and its private key; return the paths of both.

        Args:
            name: The name of both files, without suffix.
            uris: The URIs of the certificate; a valid SVID has one, which is its SPIFFE ID.
            may_sign: Whether the certificate may sign others, which makes it invalid as an SVID.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(*uris, key=key, may_sign=may_sign)
        certificate_path = self.folder / f"{name}.pem"
        key_path = self.folder / f"{name}.key"
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return certificate_path, key_path

    def caller(self, *uris: str, may_sign: bool = False) -> ssl.SSLContext:
        """Return the TLS context of a caller with a new certificate for these URIs."""
        context = self.context_without_certificate()
        context.load_cert_chain(*self.write_svid("caller", *uris, may_sign=may_sign))
        return context

    def context_without_certificate(self) -> ssl.SSLContext:
        """Return a TLS context that trusts this authority and has no certificate of its own."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.load_verify_locations(self.folder / "bundle.pem")
        return context


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    """Return a certificate authority whose folder also contains the router's SVID and ``invoke.toml``."""
    created = Authority(tmp_path)
    created.write_svid("svid", "spiffe://gaz.example/router")
    (tmp_path / "invoke.toml").write_text(
        '[invoke]\nlisten = "127.0.0.1:0"\ntrust_domain = "gaz.example"\nsvid = "svid.pem"\n'
        f'key = "svid.key"\nbundle = "bundle.pem"\nallow = ["spiffe://gaz.example/desk/*", "{PORTAL_ID}"]\n'
    )
    return created


def read_invoke_config(authority: Authority) -> invoke_config.InvokeConfig:
    """Read the configuration of the invoke API from the authority's folder."""
    return invoke_config.read(authority.folder / "invoke.toml")


class Response(NamedTuple):
    """An HTTP response; the names of its header fields are in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes


def invoke_arguments(authority: Authority, port: int) -> list[str]:
    """Write the invoke API's configuration with this port; return the arguments that select it."""
    path = authority.folder / "invoke.toml"
    path.write_text(path.read_text().replace("127.0.0.1:0", f"127.0.0.1:{port}"))
    return ["serve", "--invoke", str(path)]


class Caller:
    """A caller's connection to the invoke API, open inside ``async with``."""

    def __init__(self, running: Service | int, context: ssl.SSLContext) -> None:
        """Create a caller of a router in this process, or of any router at a port of loopback."""
        self.port = running if isinstance(running, int) else running.invoke_port
        self.context = context

    async def __aenter__(self) -> Caller:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, ssl=self.context)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.transport.abort()
        await asyncio.sleep(0)

    def send(self, method: str, path: str, body: bytes = b"", **fields: str) -> None:
        """Send a request; an underscore in the name of a header field is sent as a hyphen."""
        all_fields = {"Host": "x", "Content-Length": str(len(body))} | fields
        head = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in all_fields.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)

    async def read(self) -> Response:
        """Read one response."""
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            lines = (line.partition(": ") for line in head[1:])
            fields = {name.lower(): value for name, _, value in lines if name}
            body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        return Response(int(head[0].split()[1]), fields, body)

    async def request(self, method: str, path: str, body: bytes = b"", **fields: str) -> Response:
        """Send a request and read one response."""
        self.send(method, path, body, **fields)
        return await self.read()
