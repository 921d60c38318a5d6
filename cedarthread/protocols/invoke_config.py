"""The file that says where the invoke API listens, with which identity, and who is let in."""

from __future__ import annotations

import ssl
import tomllib
from dataclasses import dataclass
from pathlib import Path

from cedarthread.protocols import spiffe
from cedarthread.protocols.endpoint_list import parse_address


@dataclass(frozen=True, slots=True)
class InvokeConfig:
    """The whole file."""

    path: Path
    host: str
    port: int
    trust_domain: str
    svid_path: Path
    key_path: Path
    bundle_path: Path
    allowed_patterns: tuple[str, ...]
    max_connections: int

    def create_tls_context(self) -> ssl.SSLContext:
        """The TLS context of its files as they are now."""
        return spiffe.create_server_context(self.svid_path, self.key_path, self.bundle_path)

    def file_times(self) -> tuple[float, ...]:
        """When its files were last written; 0 for one that is not there just now."""
        files = (self.path, self.svid_path, self.key_path, self.bundle_path)
        return tuple(f.stat().st_mtime if f.exists() else 0.0 for f in files)

    def reread(self) -> InvokeConfig:
        """The file as it is now; where it listens stays."""
        return read(self.path, self.host, self.port)


def read(path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Read the file; paths in it are taken from its folder."""
    return parse(path.read_bytes(), path, host, port)


def parse(raw: bytes, path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """The file from its bytes; ValueError says what can't be used in it."""
    try:
        return _parse(raw, path, host, port)
    except KeyError as error:
        raise ValueError(f"{error} is missing") from None
    except (TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _parse(raw: bytes, path: Path, host: str | None, port: int | None) -> InvokeConfig:
    top = tomllib.loads(raw.decode())["invoke"]
    listen_host, listen_port = parse_address(str(top["listen"]))
    allow = tuple(str(pattern) for pattern in top["allow"])
    domain = str(top["trust_domain"])
    for pattern in allow:
        if spiffe.parse_trust_domain(pattern.removesuffix("/*")) != domain:
            raise ValueError(f"allow: {pattern[:80]} is no SPIFFE ID of {domain}")
    connections = int(top.get("connections", 128))
    if not 0 < connections < 2**16:
        raise ValueError(f"connections takes 1 to 65535, not {connections}")
    return InvokeConfig(
        path,
        host if host is not None else listen_host,
        port if port is not None else listen_port,
        domain,
        path.parent / str(top["svid"]),
        path.parent / str(top["key"]),
        path.parent / str(top["bundle"]),
        allow,
        connections,
    )
