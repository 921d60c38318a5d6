"""What the platform tells a function router at its start."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cedarthread.errors import CedarthreadError
from cedarthread.model.settings import RouterSettings
from cedarthread.number_checks import bounded_number
from cedarthread.protocols.endpoint_list import EndpointRecord, endpoint_from_json, parse_address
from cedarthread.protocols.peers import PeerAddresses
from cedarthread.settings_parser import SettingsError, settings_from_object


class ConfigError(CedarthreadError):
    """The configuration can't be used."""


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration."""

    router_name: str
    host: str
    port: int
    seed: int
    max_sockets: int
    memory_bytes: int  # bytes
    discovery_address: tuple[str, int] | None
    settings: RouterSettings
    initial_endpoints: tuple[
        tuple[int, tuple[EndpointRecord, ...]], ...
    ]  # numbered news of the runners, the whole list first
    control_address: tuple[str, int] | None = None  # the operators' address
    peer_addresses: PeerAddresses | None = None  # the other routers, where the platform names them


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return decode(Path(path).read_bytes(), environ)
    except (OSError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None


def decode(raw: bytes, environ: Mapping[str, str]) -> Config:
    """The configuration from its bytes; ConfigError says what is wrong with them."""
    try:
        return from_json(json.loads(raw), environ)
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        ArithmeticError,
        RecursionError,
        SettingsError,
    ) as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from None


def from_json(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration from its parsed text; the environment's own variables come first."""
    host, port = parse_address(environ.get("BALANCER_LISTEN") or document["listen"])
    events = document.get("known", {}).get("events", [])
    known = tuple(
        (int(event["n"]), tuple(endpoint_from_json(entry) for entry in event["members"]["endpoints"]))
        for event in events
    )
    return Config(
        environ.get("BALANCER_NAME") or str(document.get("name", "")),
        host,
        port,
        int(str(document.get("seed", "0")), 16),
        int(bounded_number(document.get("limits", {}).get("sockets", 1024), 1)),
        int(bounded_number(document.get("limits", {}).get("memory_mb", 192), 1) * 2**20),
        parse_address(document["dns"]) if document.get("dns") else None,
        settings_from_object(document["settings"]),
        known,
        _parse_control_address(environ.get("BALANCER_CONTROL") or document.get("control")),
        _parse_peer_addresses(document),
    )


def _parse_peer_addresses(top: dict[str, Any]) -> PeerAddresses | None:
    """Where the other routers are; None where nothing is said of them, or no way in."""
    listen, peers = top.get("peer_listen"), top.get("peers")
    if not listen or not peers:
        return None
    if not isinstance(peers, list):
        raise ValueError(f"peers: {peers!r} is no list of addresses")
    every = top.get("peers_all")
    told = tuple(parse_address(str(peer)) for peer in peers)
    return PeerAddresses(parse_address(str(listen)), told, parse_address(str(every)) if every else None)


def _parse_control_address(text: Any) -> tuple[str, int] | None:
    if text in (None, ""):
        return None
    if not isinstance(text, str):
        raise ValueError(f"control: {text!r} is no address")
    return parse_address(text)
