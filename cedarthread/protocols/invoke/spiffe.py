"""SPIFFE identities: SPIFFE IDs, authorization, and TLS contexts from an X.509-SVID and a trust bundle.

Sources: the SPIFFE-ID and X.509-SVID standards, https://github.com/spiffe/spiffe/tree/main/standards.
"""

from __future__ import annotations

import re
import ssl
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.x509.oid import ExtensionOID

if TYPE_CHECKING:
    from pathlib import Path

MAX_ID_LENGTH = 2048  # longest id, from SPIFFE-ID, section 2.3
_DOMAIN = re.compile(r"[a-z0-9._-]{1,255}\Z")
_SEGMENT = re.compile(r"[A-Za-z0-9._-]+\Z")
_UNREADABLE_ERRORS = (x509.DuplicateExtension, x509.UnsupportedGeneralNameType, x509.InvalidVersion)


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity in a verified certificate."""

    spiffe_id: str
    trust_domain: str
    expires_at_unix: float  # Unix seconds at which the certificate expires


@dataclass(frozen=True, slots=True)
class Rejected:
    """The reason why a certificate has no valid identity."""

    reason: str


def parse_trust_domain(spiffe_id: str) -> str | None:
    """Return the trust domain of a workload's SPIFFE ID; None if the id is invalid."""
    scheme, _, rest = spiffe_id.partition("://")
    domain, slash, path = rest.partition("/")
    if scheme != "spiffe" or not slash or len(spiffe_id) > MAX_ID_LENGTH or not _DOMAIN.match(domain):
        return None
    segments = path.split("/")
    if any(not _SEGMENT.match(segment) or segment in (".", "..") for segment in segments):
        return None
    return domain


def parse_identity(certificate: bytes) -> Identity | Rejected:
    """Parse the identity in a verified leaf certificate (DER), according to the rules for X.509-SVIDs."""
    try:
        return _parse_identity(x509.load_der_x509_certificate(certificate))
    except (ValueError, *_UNREADABLE_ERRORS) as error:
        return Rejected(f"certificate can't be read: {error}")


def _parse_identity(leaf: x509.Certificate) -> Identity | Rejected:
    extensions = {extension.oid: extension.value for extension in leaf.extensions}
    names = extensions.get(ExtensionOID.SUBJECT_ALTERNATIVE_NAME)
    uris: list[str] = []
    if isinstance(names, x509.SubjectAlternativeName):
        uris = names.get_values_for_type(x509.UniformResourceIdentifier)
    if len(uris) != 1:
        return Rejected(f"{len(uris)} URI names, where an SVID has exactly one")
    constraints = extensions.get(ExtensionOID.BASIC_CONSTRAINTS)
    if isinstance(constraints, x509.BasicConstraints) and constraints.ca:
        return Rejected("a signing certificate, where a leaf is needed")
    usage = extensions.get(ExtensionOID.KEY_USAGE)
    if not isinstance(usage, x509.KeyUsage) or not usage.digital_signature:
        return Rejected("no key usage for digital signatures")
    if usage.key_cert_sign or usage.crl_sign:
        return Rejected("a key usage for signing certificates")
    domain = parse_trust_domain(uris[0])
    if domain is None:
        return Rejected("no valid SPIFFE ID")
    return Identity(uris[0], domain, leaf.not_valid_after_utc.timestamp())


def is_allowed(identity: Identity, trust_domain: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a pattern allows this peer.

    A pattern is a SPIFFE ID, or a prefix ending in ``/*`` that matches all ids below it.
    """
    if identity.trust_domain != trust_domain:
        return False
    return any(
        identity.spiffe_id.startswith(pattern[:-1])
        if pattern.endswith("/*")
        else identity.spiffe_id == pattern
        for pattern in patterns
    )


def create_server_context(svid_path: Path, key_path: Path, bundle_path: Path) -> ssl.SSLContext:
    """Create a TLS context that presents the router's SVID and requires a client SVID of the trust bundle."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(svid_path, key_path)
    context.load_verify_locations(bundle_path)
    context.set_alpn_protocols(["http/1.1"])
    return context
