"""The configuration file of the invoke API: listen address, router identity, allowed callers."""

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
MAX_ECHOED_CHARACTERS = 80  # maximum number of characters of an invalid pattern in an error message


@dataclass(frozen=True, slots=True)
class InvokeConfig:
    """The content of the file; its paths are relative to the file's folder."""

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
        """Create a TLS context from the current content of the files."""
        return spiffe.create_server_context(self.svid_path, self.key_path, self.bundle_path)

    def file_times(self) -> tuple[float, ...]:
        """Return the modification time of each file in Unix seconds; 0 for a missing file."""
        files = (self.path, self.svid_path, self.key_path, self.bundle_path)
        return tuple(file.stat().st_mtime if file.exists() else 0.0 for file in files)

    def reread(self) -> InvokeConfig:
        """Read the file again; the listen address stays the same."""
        return read(self.path, self.host, self.port)


def read(path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Read the file.

    Args:
        path: The file.
        host: Overrides the host in the file.
        port: Overrides the port in the file.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file is invalid.
    """
    return parse(path.read_bytes(), path, host, port)


def parse(raw: bytes, path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Parse the file's bytes.

    Raises:
        ValueError: The file is invalid. The message names the key, the value found and the expected value.
    """
    try:
        content = tomllib.loads(raw.decode())
    except RecursionError:
        raise ValueError("the file is nested too deeply") from None
    table = _required(content, "invoke")
    if not isinstance(table, dict):
        raise ValueError('key "invoke" takes a table')
    listen_host, listen_port = parse_address(str(_required(table, "listen")))
    trust_domain = str(_required(table, "trust_domain"))
    return InvokeConfig(
        path=path,
        host=host if host is not None else listen_host,
        port=port if port is not None else listen_port,
        trust_domain=trust_domain,
        svid_path=path.parent / str(_required(table, "svid")),
        key_path=path.parent / str(_required(table, "key")),
        bundle_path=path.parent / str(_required(table, "bundle")),
        allowed_patterns=_parse_allowed_patterns(table, trust_domain),
        max_connections=_parse_max_connections(table),
    )


def _required(table: dict[str, object], key: str) -> object:
    if key not in table:
        raise ValueError(f'missing required key "{key}"')
    return table[key]


def _parse_allowed_patterns(table: dict[str, object], trust_domain: str) -> tuple[str, ...]:
    entries = _required(table, "allow")
    if not isinstance(entries, (list, dict, str)):
        raise ValueError('key "allow" takes a list of SPIFFE IDs')
    patterns = tuple(str(entry) for entry in entries)
    for pattern in patterns:
        if spiffe.parse_trust_domain(pattern.removesuffix("/*")) != trust_domain:
            raise ValueError(
                f"allow: {pattern[:MAX_ECHOED_CHARACTERS]} is not a SPIFFE ID of trust domain {trust_domain}"
            )
    return patterns


def _parse_max_connections(table: dict[str, object]) -> int:
    value = table.get("connections", DEFAULT_MAX_CONNECTIONS)
    try:
        max_connections = int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError, ArithmeticError):
        raise ValueError('key "connections" takes a whole number') from None
    if not 0 < max_connections <= MAX_CONNECTIONS:
        raise ValueError(f"connections takes 1 to {MAX_CONNECTIONS}, not {max_connections}")
    return int(max_connections)
