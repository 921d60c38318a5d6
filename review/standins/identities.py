"""An issuer of SPIFFE identities (X.509-SVIDs) for the router and its callers."""

from __future__ import annotations

import datetime
import ssl
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

if TYPE_CHECKING:
    from pathlib import Path

TRUST_DOMAIN = "gaz.example"
PORTAL = f"spiffe://{TRUST_DOMAIN}/portal"


class Issuer:
    """A certificate authority whose files are in ``folder``."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.ORGANIZATION_NAME, "issuer of the review")])
        authority = self._sign(f"spiffe://{TRUST_DOMAIN}", self._key, is_authority=True)
        (folder / "bundle.pem").write_bytes(authority.public_bytes(serialization.Encoding.PEM))

    def _sign(self, uri: str, key: ec.EllipticCurvePrivateKey, *, is_authority: bool) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        usage = x509.KeyUsage(
            digital_signature=not is_authority,
            content_commitment=False,
            key_encipherment=False,
            data_encipherment=False,
            key_agreement=False,
            key_cert_sign=is_authority,
            crl_sign=False,
            encipher_only=False,
            decipher_only=False,
        )
        names = x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri)])
        return (
            x509.CertificateBuilder()
            .subject_name(self._name if is_authority else x509.Name([]))
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(minutes=1))
            .not_valid_after(now + datetime.timedelta(hours=1))
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
            .add_extension(usage, critical=True)
            .add_extension(names, critical=not is_authority)
            .sign(self._key, hashes.SHA256())
        )

    def write(self, name: str, uri: str) -> tuple[Path, Path]:
        """Write a certificate for this SPIFFE ID and its key; return both paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate_path, key_path = self.folder / f"{name}.pem", self.folder / f"{name}.key"
        certificate = self._sign(uri, key, is_authority=False)
        certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        plain = serialization.NoEncryption()
        pkcs8 = serialization.PrivateFormat.PKCS8
        key_path.write_bytes(key.private_bytes(serialization.Encoding.PEM, pkcs8, plain))
        return certificate_path, key_path

    def caller(self, name: str, uri: str) -> ssl.SSLContext:
        """Return the TLS context of a caller with this SPIFFE ID."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False  # a router is known by its SPIFFE ID, not by a host name
        context.load_verify_locations(self.folder / "bundle.pem")
        context.load_cert_chain(*self.write(name, uri))
        return context

    def write_invoke_file(self, port: int) -> Path:
        """Write the router's identity and the file that switches on the invoke API; return its path."""
        self.write("svid", f"spiffe://{TRUST_DOMAIN}/router")
        path = self.folder / "invoke.toml"
        path.write_text(
            f'[invoke]\nlisten = "127.0.0.1:{port}"\ntrust_domain = "{TRUST_DOMAIN}"\nsvid = "svid.pem"\n'
            f'key = "svid.key"\nbundle = "bundle.pem"\nallow = ["{PORTAL}"]\nconnections = 128\n'
        )
        return path
