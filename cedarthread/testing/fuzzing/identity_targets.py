"""Fuzz targets of SPIFFE IDs and certificates.

The targets compare the program with an independent implementation of the SPIFFE-ID and X.509-SVID standards.
"""

from __future__ import annotations

import datetime
import string
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.x509.oid import NameOID

from cedarthread.protocols.invoke import spiffe
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.target import Target

if TYPE_CHECKING:
    import random

# Ed25519, because its signatures are deterministic, so that an input is reproducible.
SIGNING_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(b"fuzz" * 8)
MAX_ID_BYTES = 2048
MAX_DOMAIN_CHARACTERS = 255
VALID_FROM = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
DOMAIN_CHARACTERS = set(string.ascii_lowercase + string.digits + ".-_")
SEGMENT_CHARACTERS = set(string.ascii_letters + string.digits + ".-_")


def is_valid_spiffe_id(text: str) -> bool:
    """Return whether a text is the SPIFFE ID of a workload, independently of the program's own parser."""
    if len(text.encode(errors="surrogatepass")) > MAX_ID_BYTES or not text.startswith("spiffe://"):
        return False
    domain, *segments = text[len("spiffe://") :].split("/")
    if (
        not domain
        or len(domain) > MAX_DOMAIN_CHARACTERS
        or not set(domain) <= DOMAIN_CHARACTERS
        or not segments
    ):
        return False
    return all(
        segment and set(segment) <= SEGMENT_CHARACTERS and segment not in (".", "..") for segment in segments
    )


EXAMPLE_IDS = [
    "spiffe://gaz.example/desk/7",
    "spiffe://gaz.example",
    "spiffe://gaz.example/",
    "spiffe://Gaz.example/a",
    "spiffe://gaz.example/a/../b",
    "spiffe://gaz.example/a//b",
    "spiffe://gaz.example/a%2fb",
    "http://gaz.example/a",
    "spiffe://u@gaz.example/a",
    "spiffe://gaz.example:1/a",
    "spiffe://gaz.example/a?q",
    "spiffe://gaz.example/a#f",
    "spiffe://gaz.example/a\n",
    "SPIFFE://gaz.example/a",
    "spiffe://" + "d" * 256 + "/a",
    "spiffe:///a",
    "spiffe://gaz.example/" + "a" * 2100,
    "spiffe://gaz.example/desk/*",
    "spiffe://gaz.example/é",
    "",
    "spiffe://gaz.example/.",
    "spiffe://gaz.example/...",
    "spiffe://gaz.example/desk",
    "spiffe://gaz.example/deskx/7",
]


class SpiffeIdTarget(Target):
    """SPIFFE IDs, and the patterns of allowed IDs."""

    name = "spiffe"
    modules = ("cedarthread.protocols.invoke.spiffe",)

    def generate(self, rng: random.Random) -> bytes:
        """Return a valid or nearly valid SPIFFE ID."""
        return rng.choice(EXAMPLE_IDS).encode()

    def check(self, data: bytes) -> None:
        """Check the parser against ``is_valid_spiffe_id``, and that a pattern allows only its own IDs."""
        text = data.decode("utf-8", "replace")
        domain = spiffe.parse_trust_domain(text)
        require(
            (domain is not None) == is_valid_spiffe_id(text),
            f"{text[:80]!r} was parsed as trust domain {domain}",
        )
        if domain is None:
            return
        require(text.split("/")[2] == domain, f"the trust domain of {text[:80]!r} is not {domain}")
        peer = spiffe.Identity(text, domain, 0.0)
        for pattern in ("spiffe://gaz.example/desk/*", "spiffe://gaz.example/desk"):
            is_inside = text.startswith(pattern[:-1]) if pattern.endswith("*") else text == pattern
            is_allowed = spiffe.is_allowed(peer, "gaz.example", (pattern,))
            require(
                is_allowed == is_inside, f"{text[:80]!r} was wrongly allowed or denied by pattern {pattern}"
            )
        require(
            not spiffe.is_allowed(peer, "other.example", (text,)), "an ID of another trust domain was allowed"
        )


class CertificateTarget(Target):
    """Leaf certificates whose chain is already verified."""

    name = "certificate"
    modules = ("cedarthread.protocols.invoke.spiffe",)
    test_runs = 150

    def generate(self, rng: random.Random) -> bytes:
        """Return a certificate with various names, key usages and constraints."""
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "fuzz")])
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(SIGNING_KEY.public_key())
        )
        builder = builder.serial_number(rng.randrange(1, 2**64)).not_valid_before(VALID_FROM)
        builder = builder.not_valid_after(VALID_FROM + datetime.timedelta(days=rng.choice((1, 4000))))
        names: list[x509.GeneralName] = [
            x509.UniformResourceIdentifier(self._uri(rng)) for _ in range(rng.choice((0, 1, 1, 1, 2)))
        ]
        names += rng.sample(
            [x509.DNSName("a"), x509.RFC822Name("a@b"), x509.DirectoryName(subject)], rng.choice((0, 0, 1))
        )
        if names:
            builder = builder.add_extension(x509.SubjectAlternativeName(names), critical=rng.random() < 0.5)
        if rng.random() < 0.8:
            builder = builder.add_extension(self._usage(rng), critical=True)
        if rng.random() < 0.5:
            builder = builder.add_extension(
                x509.BasicConstraints(ca=rng.random() < 0.3, path_length=None), critical=True
            )
        return builder.sign(SIGNING_KEY, None).public_bytes(serialization.Encoding.DER)

    def _uri(self, rng: random.Random) -> str:
        text = rng.choice(EXAMPLE_IDS[:6]) if rng.random() < 0.8 else rng.choice(EXAMPLE_IDS)
        return text.encode("ascii", "ignore").decode()

    def _usage(self, rng: random.Random) -> x509.KeyUsage:
        others = [rng.random() < 0.1 for _ in range(6)]
        return x509.KeyUsage(
            digital_signature=rng.random() < 0.9,
            content_commitment=others[0],
            key_encipherment=others[1],
            data_encipherment=others[2],
            key_agreement=others[3],
            key_cert_sign=others[4],
            crl_sign=others[5],
            encipher_only=False,
            decipher_only=False,
        )

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """Return the certificate with one byte set to a tag, which keeps lengths, or with changed bytes."""
        if data and rng.random() < 0.7:
            position = rng.randrange(len(data))
            tag = rng.choice((0x80, 0x82, 0x84, 0x86, 0xA0, 0xA3, 0xA5, 0x30, 0x0C, data[position] ^ 1))
            return data[:position] + bytes((tag,)) + data[position + 1 :]
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """Check that an accepted leaf has one valid SPIFFE ID and a key that cannot sign certificates."""
        identity = spiffe.parse_identity(data)
        if isinstance(identity, spiffe.Rejected):
            require(bool(identity.reason), "rejected without a reason")
            return
        require(
            is_valid_spiffe_id(identity.spiffe_id),
            f"invalid SPIFFE ID {identity.spiffe_id[:80]!r} was accepted",
        )
        require(identity.spiffe_id.encode() in data, "the accepted ID is not in the certificate")
        leaf = x509.load_der_x509_certificate(data)
        usage = leaf.extensions.get_extension_for_class(x509.KeyUsage).value
        is_signer = usage.key_cert_sign or usage.crl_sign
        require(
            usage.digital_signature and not is_signer,
            "a certificate with a disallowed key usage was accepted",
        )
        require(
            data.count(b"spiffe://") <= 1 or self._has_one_uri(leaf),
            "a certificate with two SPIFFE IDs was accepted",
        )

    def _has_one_uri(self, leaf: x509.Certificate) -> bool:
        names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        return len(names.get_values_for_type(x509.UniformResourceIdentifier)) == 1
