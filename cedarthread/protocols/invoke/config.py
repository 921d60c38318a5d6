"""The configuration file of the invoke API: where it listens, with which identity, and who may call."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cedarthread.protocols.discovery.endpoint_list import parse_address
from cedarthread.protocols.invoke import spiffe

if TYPE_CHECKING:
    import ssl
    from pathlib import Path

DEFAULT_MAX_CONNECTIONS = 128
MAX_CONNECTIONS = 65535
MAX_ECHOED_CHARACTERS = 80  # of an invalid pattern, in the error that says so


@dataclass(frozen=True, slots=True)
class InvokeConfig:
    """The file's content, its paths made absolute to its folder."""

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
        """A TLS context from the files as they are now."""
        return spiffe.create_server_context(self.svid_path, self.key_path, self.bundle_path)

    def file_times(self) -> tuple[float, ...]:
        """When each file was last written, in Unix seconds; 0 for one that does not exist just now."""
        files = (self.path, self.svid_path, self.key_path, self.bundle_path)
        return tuple(file.stat().st_mtime if file.exists() else 0.0 for file in files)

    def reread(self) -> InvokeConfig:
        """The file as it is now; the address stays."""
        return read(self.path, self.host, self.port)


def read(path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Read the file; host and port, where given, replace its own. ValueError if it is invalid."""
    return parse(path.read_bytes(), path, host, port)


def parse(raw: bytes, path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Parse the file's bytes; ValueError says what is invalid in them."""
    try:
        return _parse(raw, path, host, port)
    except KeyError as error:
        raise ValueError(f"{error} is missing") from None
    except (TypeError, AttributeError, ArithmeticError, RecursionError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


def _parse(raw: bytes, path: Path, host: str | None, port: int | None) -> InvokeConfig:
    table = tomllib.loads(raw.decode())["invoke"]
    listen_host, listen_port = parse_address(str(table["listen"]))
    allowed_patterns = tuple(str(pattern) for pattern in table["allow"])
    trust_domain = str(table["trust_domain"])
    for pattern in allowed_patterns:
        if spiffe.parse_trust_domain(pattern.removesuffix("/*")) != trust_domain:
            raise ValueError(f"allow: {pattern[:MAX_ECHOED_CHARACTERS]} is no SPIFFE ID of {trust_domain}")
    max_connections = int(table.get("connections", DEFAULT_MAX_CONNECTIONS))
    if not 0 < max_connections <= MAX_CONNECTIONS:
        raise ValueError(f"connections takes 1 to 65535, not {max_connections}")
    return InvokeConfig(
        path=path,
        host=host if host is not None else listen_host,
        port=port if port is not None else listen_port,
        trust_domain=trust_domain,
        svid_path=path.parent / str(table["svid"]),
        key_path=path.parent / str(table["key"]),
        bundle_path=path.parent / str(table["bundle"]),
        allowed_patterns=allowed_patterns,
        max_connections=max_connections,
    )
