"""What the platform tells a function router at its start."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cedarthread import interface as i
from cedarthread import wire
from cedarthread.net.peers import PeerAddresses
from cedarthread.net.roster import Listing, address, listing_from_json


class ConfigError(Exception):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration."""

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    memory: int  # bytes
    resolver: tuple[str, int] | None
    settings: i.Settings
    known: tuple[tuple[int, tuple[Listing, ...]], ...]  # numbered news of the runners, the whole list first
    control: tuple[str, int] | None = None  # the operators' address
    peers: PeerAddresses | None = None  # the other routers, where the platform names them


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return read(Path(path).read_bytes(), environ)
    except (OSError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None


def read(raw: bytes, environ: Mapping[str, str]) -> Config:
    """The configuration from its bytes; ConfigError says what is wrong with them."""
    try:
        return parse(json.loads(raw), environ)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        ArithmeticError,
        RecursionError,
        wire.WireError,
    ) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from None


def parse(top: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration from its parsed text; the environment's own variables come first."""
    host, port = address(environ.get("BALANCER_LISTEN") or top["listen"])
    events = top.get("known", {}).get("events", [])
    known = tuple(
        (int(event["n"]), tuple(listing_from_json(entry) for entry in event["members"]["endpoints"]))
        for event in events
    )
    return Config(
        environ.get("BALANCER_NAME") or str(top.get("name", "")),
        host,
        port,
        int(str(top.get("seed", "0")), 16),
        int(wire.figure(top.get("limits", {}).get("sockets", 1024), 1)),
        int(wire.figure(top.get("limits", {}).get("memory_mb", 192), 1) * 2**20),
        address(top["dns"]) if top.get("dns") else None,
        wire.settings_from(top["settings"]),
        known,
        _control(environ.get("BALANCER_CONTROL") or top.get("control")),
        _peers(top),
    )


def _peers(top: dict[str, Any]) -> PeerAddresses | None:
    """Where the other routers are; None where nothing is said of them, or no way in."""
    listen, peers = top.get("peer_listen"), top.get("peers")
    if not listen or not peers:
        return None
    if not isinstance(peers, list):
        raise ValueError(f"peers: {peers!r} is no list of addresses")
    every = top.get("peers_all")
    told = tuple(address(str(peer)) for peer in peers)
    return PeerAddresses(address(str(listen)), told, address(str(every)) if every else None)


def _control(text: Any) -> tuple[str, int] | None:
    if text in (None, ""):
        return None
    if not isinstance(text, str):
        raise ValueError(f"control: {text!r} is no address")
    return address(text)
