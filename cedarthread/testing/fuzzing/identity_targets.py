"""Targets for SPIFFE IDs and certificates, against a second reading of the SPIFFE documents."""

from __future__ import annotations

import datetime
import random
import string

from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.x509.oid import NameOID

from cedarthread.protocols import spiffe
from cedarthread.testing.fuzzing.finding import require
from cedarthread.testing.fuzzing.mutation import mutate_bytes
from cedarthread.testing.fuzzing.target import Target

SIGNING_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(
    b"fuzz" * 8
)  # signs the same bytes the same way each time
VALID_FROM = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
DOMAIN_CHARACTERS = set(string.ascii_lowercase + string.digits + ".-_")
SEGMENT_CHARACTERS = set(string.ascii_letters + string.digits + ".-_")


def is_valid_spiffe_id(text: str) -> bool:
    """Is it a workload's SPIFFE ID? Written from the document, character by character."""
    if len(text.encode(errors="surrogatepass")) > 2048 or not text.startswith("spiffe://"):
        return False
    domain, *segments = text[len("spiffe://") :].split("/")
    if not domain or len(domain) > 255 or not set(domain) <= DOMAIN_CHARACTERS or not segments:
        return False
    return all(
        segment and set(segment) <= SEGMENT_CHARACTERS and segment not in (".", "..") for segment in segments
    )


EXAMPLE_IDS = [
    "spiffe://gaz.example/desk/7",
    "spiffe://gaz.example",
    "spiffe://gaz.example/",
    "spiffe://Gaz.example/a",
]
EXAMPLE_IDS += [
    "spiffe://gaz.example/a/../b",
    "spiffe://gaz.example/a//b",
    "spiffe://gaz.example/a%2fb",
    "http://gaz.example/a",
]
EXAMPLE_IDS += [
    "spiffe://u@gaz.example/a",
    "spiffe://gaz.example:1/a",
    "spiffe://gaz.example/a?q",
    "spiffe://gaz.example/a#f",
]
EXAMPLE_IDS += [
    "spiffe://gaz.example/a\n",
    "SPIFFE://gaz.example/a",
    "spiffe://" + "d" * 256 + "/a",
    "spiffe:///a",
]
EXAMPLE_IDS += [
    "spiffe://gaz.example/" + "a" * 2100,
    "spiffe://gaz.example/desk/*",
    "spiffe://gaz.example/é",
    "",
]
EXAMPLE_IDS += [
    "spiffe://gaz.example/.",
    "spiffe://gaz.example/...",
    "spiffe://gaz.example/desk",
    "spiffe://gaz.example/deskx/7",
]


class SpiffeIdTarget(Target):
    """SPIFFE IDs, and who is let in by one."""

    name = "spiffe"
    modules = ("cedarthread.protocols.spiffe",)

    def generate(self, rng: random.Random) -> bytes:
        """An ID, right or nearly."""
        return rng.choice(EXAMPLE_IDS).encode()

    def check(self, data: bytes) -> None:
        """Valid exactly where the second reading says so; a pattern lets in nothing outside it."""
        text = data.decode("utf-8", "replace")
        domain = spiffe.parse_trust_domain(text)
        require((domain is not None) == is_valid_spiffe_id(text), f"{text[:80]!r} is taken for {domain}")
        if domain is None:
            return
        require(text.split("/")[2] == domain, f"the domain of {text[:80]!r} is not {domain}")
        peer = spiffe.Identity(text, domain, 0.0)
        for pattern in ("spiffe://gaz.example/desk/*", "spiffe://gaz.example/desk"):
            inside = text.startswith(pattern[:-1]) if pattern.endswith("*") else text == pattern
            require(
                spiffe.is_allowed(peer, "gaz.example", (pattern,)) == inside, f"{text[:80]!r} by {pattern}"
            )
        require(not spiffe.is_allowed(peer, "other.example", (text,)), "let in from another domain")


class CertificateTarget(Target):
    """Leaf certificates whose chain has been checked already."""

    name = "certificate"
    modules = ("cedarthread.protocols.spiffe",)
    test_runs = 150

    def generate(self, rng: random.Random) -> bytes:
        """A certificate with names, uses and constraints of many kinds."""
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "fuzz")])
        made = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(SIGNING_KEY.public_key())
        )
        made = made.serial_number(rng.randrange(1, 2**64)).not_valid_before(VALID_FROM)
        made = made.not_valid_after(VALID_FROM + datetime.timedelta(days=rng.choice((1, 4000))))
        names: list[x509.GeneralName] = [
            x509.UniformResourceIdentifier(self._uri(rng)) for _ in range(rng.choice((0, 1, 1, 1, 2)))
        ]
        names += rng.sample(
            [x509.DNSName("a"), x509.RFC822Name("a@b"), x509.DirectoryName(subject)], rng.choice((0, 0, 1))
        )
        if names:
            made = made.add_extension(x509.SubjectAlternativeName(names), critical=rng.random() < 0.5)
        if rng.random() < 0.8:
            made = made.add_extension(self._usage(rng), critical=True)
        if rng.random() < 0.5:
            made = made.add_extension(
                x509.BasicConstraints(ca=rng.random() < 0.3, path_length=None), critical=True
            )
        return made.sign(SIGNING_KEY, None).public_bytes(serialization.Encoding.DER)

    def _uri(self, rng: random.Random) -> str:
        text = rng.choice(EXAMPLE_IDS[:6]) if rng.random() < 0.8 else rng.choice(EXAMPLE_IDS)
        return text.encode("ascii", "ignore").decode()

    def _usage(self, rng: random.Random) -> x509.KeyUsage:
        a, b, c, d, e, f = (rng.random() < 0.1 for _ in range(6))
        return x509.KeyUsage(rng.random() < 0.9, a, b, c, d, e, f, False, False)

    def mutate(self, data: bytes, rng: random.Random) -> bytes:
        """A tag or a byte changed, lengths mostly kept."""
        if data and rng.random() < 0.7:
            at = rng.randrange(len(data))
            tag = rng.choice((0x80, 0x82, 0x84, 0x86, 0xA0, 0xA3, 0xA5, 0x30, 0x0C, data[at] ^ 1))
            return data[:at] + bytes((tag,)) + data[at + 1 :]
        return mutate_bytes(data, rng)

    def check(self, data: bytes) -> None:
        """An identity only for a leaf with one valid SPIFFE ID, fit for signatures alone."""
        found = spiffe.parse_identity(data)
        if isinstance(found, spiffe.Rejected):
            require(bool(found.reason), "rejected without words")
            return
        require(is_valid_spiffe_id(found.spiffe_id), f"{found.spiffe_id[:80]!r} is let through")
        require(found.spiffe_id.encode() in data, "an ID that the certificate does not hold")
        leaf = x509.load_der_x509_certificate(data)
        usage = leaf.extensions.get_extension_for_class(x509.KeyUsage).value
        require(
            usage.digital_signature and not usage.key_cert_sign and not usage.crl_sign,
            "a signer is let through",
        )
        require(data.count(b"spiffe://") <= 1 or self._one(leaf), "two names are let through")

    def _one(self, leaf: x509.Certificate) -> bool:
        names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        return len(names.get_values_for_type(x509.UniformResourceIdentifier)) == 1
