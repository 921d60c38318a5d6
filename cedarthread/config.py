"""The configuration: what the platform tells a router at its start, in a JSON file and the environment."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cedarthread.errors import CedarthreadError
from cedarthread.number_checks import bounded_number
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord, endpoint_from_json, parse_address
from cedarthread.protocols.peers import PeerAddresses
from cedarthread.settings_parser import SettingsError, settings_from_object

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.model.settings import RouterSettings

# Environment variables: the path of the file, and values that take the place of the file's.
CONFIG_PATH_VARIABLE = "BALANCER_CONFIG"
LISTEN_VARIABLE = "BALANCER_LISTEN"
NAME_VARIABLE = "BALANCER_NAME"
CONTROL_VARIABLE = "BALANCER_CONTROL"

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192

# What a document of the wrong shape raises while it is read.
_MALFORMED = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    SettingsError,
)


class ConfigError(CedarthreadError):
    """The configuration can't be used. The text names the file and what is wrong in it."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration. Addresses are pairs of host and port."""

    router_name: str
    host: str  # where clients connect
    port: int
    seed: int
    max_sockets: int
    memory_bytes: int
    discovery_address: tuple[str, int] | None  # None: the endpoint list never changes
    settings: RouterSettings
    # Updates of the endpoint list by their serial numbers; the first one is complete.
    initial_endpoints: tuple[tuple[int, tuple[EndpointRecord, ...]], ...]
    control_address: tuple[str, int] | None = None  # where operators connect
    peer_addresses: PeerAddresses | None = None  # of the other routers; None: this one runs without gossip


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration that the environment names; ConfigError where it can't be used."""
    path = environ.get(CONFIG_PATH_VARIABLE)
    if not path:
        raise ConfigError(f"{CONFIG_PATH_VARIABLE} is not set")
    try:
        return decode(Path(path).read_bytes(), environ)
    except (OSError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None


def decode(raw: bytes, environ: Mapping[str, str]) -> Config:
    """The configuration from a file's bytes; ConfigError where they can't be used."""
    try:
        return from_json(json.loads(raw), environ)
    except _MALFORMED as error:
        raise ConfigError(f"{type(error).__name__}: {error}") from None


def from_json(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration from a JSON document. Values of the environment come before the document's."""
    host, port = parse_address(environ.get(LISTEN_VARIABLE) or document["listen"])
    initial_endpoints = _parse_initial_endpoints(document)
    limits = document.get("limits", {})
    return Config(
        router_name=environ.get(NAME_VARIABLE) or str(document.get("name", "")),
        host=host,
        port=port,
        seed=int(str(document.get("seed", "0")), 16),
        max_sockets=int(bounded_number(limits.get("sockets", DEFAULT_MAX_SOCKETS), 1)),
        memory_bytes=int(bounded_number(limits.get("memory_mb", DEFAULT_MEMORY_MB), 1) * 2**20),
        discovery_address=parse_address(document["dns"]) if document.get("dns") else None,
        settings=settings_from_object(document["settings"]),
        initial_endpoints=initial_endpoints,
        control_address=_parse_control_address(environ.get(CONTROL_VARIABLE) or document.get("control")),
        peer_addresses=_parse_peer_addresses(document),
    )


def _parse_initial_endpoints(
    document: dict[str, Any],
) -> tuple[tuple[int, tuple[EndpointRecord, ...]], ...]:
    events = document.get("known", {}).get("events", [])
    return tuple(
        (int(event["n"]), tuple(endpoint_from_json(entry) for entry in event["members"]["endpoints"]))
        for event in events
    )


def _parse_peer_addresses(document: dict[str, Any]) -> PeerAddresses | None:
    """The addresses of peers; None where the document names none, or no address to listen on."""
    listen, peers = document.get("peer_listen"), document.get("peers")
    if not listen or not peers:
        return None
    if not isinstance(peers, list):
        raise ValueError(f"peers: {peers!r} is no list of addresses")
    broadcast = document.get("peers_all")
    addresses = tuple(parse_address(str(peer)) for peer in peers)
    return PeerAddresses(
        parse_address(str(listen)), addresses, parse_address(str(broadcast)) if broadcast else None
    )


def _parse_control_address(text: Any) -> tuple[str, int] | None:
    if text in (None, ""):
        return None
    if not isinstance(text, str):
        raise ValueError(f"control: {text!r} is no address")
    return parse_address(text)
