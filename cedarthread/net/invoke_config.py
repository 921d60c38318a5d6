"""The file that says where the invoke API listens, with which identity, and who is let in."""

from __future__ import annotations

import ssl
import tomllib
from dataclasses import dataclass
from pathlib import Path

from cedarthread.net import spiffe


@dataclass(frozen=True, slots=True)
class InvokeConfig:
    """The whole file."""

    path: Path
    host: str
    port: int
    trust_domain: str
    svid: Path
    key: Path
    bundle: Path
    allow: tuple[str, ...]
    connections: int

    def context(self) -> ssl.SSLContext:
        """The TLS context of its files as they are now."""
        return spiffe.server_context(self.svid, self.key, self.bundle)

    def stamps(self) -> tuple[float, ...]:
        """When its files were last written; 0 for one that is not there just now."""
        files = (self.path, self.svid, self.key, self.bundle)
        return tuple(f.stat().st_mtime if f.exists() else 0.0 for f in files)

    def reread(self) -> InvokeConfig:
        """The file as it is now; where it listens stays."""
        return read(self.path, self.host, self.port)


def read(path: Path, host: str | None = None, port: int | None = None) -> InvokeConfig:
    """Read the file; paths in it are taken from its folder."""
    top = tomllib.loads(path.read_text())["invoke"]
    told_host, _, told_port = str(top["listen"]).rpartition(":")
    allow = tuple(str(pattern) for pattern in top["allow"])
    domain = str(top["trust_domain"])
    for pattern in allow:
        if spiffe.trust_domain(pattern.removesuffix("/*")) != domain:
            raise ValueError(f"allow: {pattern} is no SPIFFE ID of {domain}")
    return InvokeConfig(
        path,
        host if host is not None else told_host,
        port if port is not None else int(told_port),
        domain,
        path.parent / str(top["svid"]),
        path.parent / str(top["key"]),
        path.parent / str(top["bundle"]),
        allow,
        int(top.get("connections", 128)),
    )
