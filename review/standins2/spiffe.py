"""The issuer of a trust domain, for cases that use the invoke API."""

from __future__ import annotations

import contextlib
import datetime
import socket
import ssl
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

DOMAIN = "gaz.example"
HOST = "127.0.0.1"
ANSWER_LIMIT_S = 6.0


class Issuer:
    """The issuer of the trust domain."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, DOMAIN)])
        self.write("bundle", f"spiffe://{DOMAIN}", None)

    def write(self, name: str, spiffe_id: str, usage_ca: bool | None = False) -> None:  # noqa: FBT001, FBT002
        """Write a certificate and its key; None for the issuer's own."""
        is_ca = usage_ca is None
        key = self.key if is_ca else ec.generate_private_key(ec.SECP256R1())
        now = datetime.datetime.now(datetime.UTC)
        usage = x509.KeyUsage(
            digital_signature=not is_ca,
            key_cert_sign=is_ca,
            crl_sign=is_ca,
            content_commitment=False,
            key_encipherment=False,
            data_encipherment=False,
            key_agreement=False,
            encipher_only=False,
            decipher_only=False,
        )
        names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(spiffe_id)])
        subject = self.name if is_ca else x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=5))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(names, critical=False)
            .add_extension(x509.BasicConstraints(ca=is_ca, path_length=None), critical=True)
            .add_extension(usage, critical=True)
            .sign(self.key, hashes.SHA256())
        )
        pem = serialization.Encoding.PEM
        (self.folder / f"{name}.pem").write_bytes(certificate.public_bytes(pem))
        raw = key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
        (self.folder / f"{name}_key.pem").write_bytes(raw)

    def context(self, name: str) -> ssl.SSLContext:
        """Return the TLS settings of a caller."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False  # the router has a SPIFFE ID, no host name
        context.load_verify_locations(self.folder / "bundle.pem")
        context.load_cert_chain(self.folder / f"{name}.pem", self.folder / f"{name}_key.pem")
        return context

    def invoke_file(self, host: str, port: int) -> Path:
        """Write the router's certificate, the callers' and the file of the invoke API; return its path."""
        self.write("svid", f"spiffe://{DOMAIN}/router")
        self.write("desk", f"spiffe://{DOMAIN}/desk/1")
        path = self.folder / "invoke.toml"
        path.write_text(
            f'[invoke]\nlisten = "{host}:{port}"\ntrust_domain = "{DOMAIN}"\nsvid = "svid.pem"\n'
            f'key = "svid_key.pem"\nbundle = "bundle.pem"\nallow = ["spiffe://{DOMAIN}/desk/*"]\n'
        )
        return path


def request(port: int, issuer: Issuer, head: str, body: bytes = b"") -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own."""
    with socket.create_connection((HOST, port), timeout=ANSWER_LIMIT_S) as raw:
        sock = issuer.context("desk").wrap_socket(raw)
        lines = f"{head}\r\nHost: router\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        sock.sendall(lines.encode() + body)
        data = b""
        with contextlib.suppress(OSError):
            while received := sock.recv(65536):
                data += received
    top, _, rest = data.partition(b"\r\n\r\n")
    first, *others = top.decode().split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in others)}
    return (int(first.split(" ")[1]) if first else 0), fields, rest
