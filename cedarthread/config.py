"""The configuration of one router: a JSON file that the platform writes, and environment variables."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from cedarthread.config_keys import CONFIG_SECTIONS, SETTINGS_KEY
from cedarthread.config_section import ConfigSection, ConfigValue, parse_json
from cedarthread.errors import ConfigurationError
from cedarthread.missing_keys import KeyInventory, check_required_keys, take_inventory
from cedarthread.model.endpoints import EndpointState
from cedarthread.protocols.discovery.endpoint_list import EndpointRecord, parse_address
from cedarthread.protocols.peers import PeerAddresses
from cedarthread.settings_parser import settings_from_section

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.model.settings import RouterSettings

ConfigError = ConfigurationError  # alias that other packages catch

# Environment variables: the path of the file, and values that override those in the file.
CONFIG_PATH_VARIABLE = "BALANCER_CONFIG"
LISTEN_VARIABLE = "BALANCER_LISTEN"
NAME_VARIABLE = "BALANCER_NAME"
CONTROL_VARIABLE = "BALANCER_CONTROL"

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 2**20

_SEED_BASE = 16
_ADDRESS_DESCRIPTION = "an address in the form host:port"
_STATE_BY_NAME = {state.value: state for state in EndpointState}


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one router. Addresses are (host, port) pairs."""

    router_name: str
    host: str  # host on which the router listens for clients
    port: int
    seed: int
    max_sockets: int
    memory_bytes: int
    # Address of the discovery server; None: the endpoint list never changes.
    discovery_address: tuple[str, int] | None
    settings: RouterSettings
    # Updates of the endpoint list, each with its serial number; the first contains all endpoints.
    initial_endpoints: tuple[tuple[int, tuple[EndpointRecord, ...]], ...]
    # Address on which the router listens for operators; None: no such listener.
    control_address: tuple[str, int] | None = None
    # Addresses of this router and its peers; None: gossip is disabled.
    peer_addresses: PeerAddresses | None = None
    # The keys of the file, which a file that replaces it must have too.
    key_inventory: KeyInventory = field(default_factory=KeyInventory)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Return the configuration from the file and the variables that the environment specifies.

    Raises:
        ConfigurationError: The configuration cannot be used.
    """
    path = environ.get(CONFIG_PATH_VARIABLE)
    if not path:
        raise ConfigurationError(f"{CONFIG_PATH_VARIABLE} is not set")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"cannot be read: {error.strerror or error}", source=path) from None
    return decode(raw, environ, path)


def decode(raw: bytes, environ: Mapping[str, str], source: str = "") -> Config:
    """Return the configuration from the content of a file.

    Args:
        raw: The content of the file.
        environ: The environment variables, which override values in the file.
        source: The path of the file, for error messages.

    Raises:
        ConfigurationError: The configuration cannot be used.
    """
    document = parse_json(raw, source)
    try:
        return _parse_document(ConfigValue(document, source, "").section(), environ)
    except RecursionError:  # raised while a nested list or object is converted to a string
        raise ConfigurationError("lists or objects are nested too deeply", source=source) from None


def _parse_document(document: ConfigSection, environ: Mapping[str, str]) -> Config:
    _check_required_keys(document, environ)
    listen = _variable(environ, LISTEN_VARIABLE) or document.required("listen")
    host, port = _parse_address(listen)
    limits = document.optional_section("limits")
    return Config(
        router_name=environ.get(NAME_VARIABLE) or document.string("name"),
        host=host,
        port=port,
        seed=document.optional("seed", "0").convert("a hexadecimal number", _parse_seed),
        max_sockets=int(limits.number("sockets", DEFAULT_MAX_SOCKETS, minimum=1)),
        memory_bytes=int(limits.number("memory_mb", DEFAULT_MEMORY_MB, minimum=1) * BYTES_PER_MB),
        discovery_address=_parse_address(document.required("dns")) if document.has("dns") else None,
        settings=settings_from_section(document.required(SETTINGS_KEY).section()),
        initial_endpoints=_parse_initial_endpoints(document),
        control_address=_parse_control_address(document, environ),
        peer_addresses=_parse_peer_addresses(document),
        key_inventory=take_inventory(document),
    )


def _check_required_keys(document: ConfigSection, environ: Mapping[str, str]) -> None:
    """Check the keys outside the settings; an environment variable may take the place of ``listen``."""
    listen = environ.get(LISTEN_VARIABLE)
    values = {**document.values, "listen": listen} if listen else document.values
    check_required_keys(ConfigSection(values, document.source, document.key_path), CONFIG_SECTIONS)


def _variable(environ: Mapping[str, str], name: str) -> ConfigValue | None:
    """Return the value of an environment variable, or None if the variable is unset or empty."""
    text = environ.get(name)
    return ConfigValue(text, f"environment variable {name}", "") if text else None


def _parse_seed(value: object) -> int:
    return int(str(value), _SEED_BASE)


def _parse_address(address: ConfigValue) -> tuple[str, int]:
    """Return host and port of an address, which must be a string."""
    if not isinstance(address.value, str):
        raise address.error(_ADDRESS_DESCRIPTION)
    return _parse_address_of_any_type(address)


def _parse_address_of_any_type(address: ConfigValue) -> tuple[str, int]:
    """Return host and port of an address of any type, which is converted to a string first."""
    return address.convert(_ADDRESS_DESCRIPTION, lambda value: parse_address(str(value)))


def _parse_initial_endpoints(
    document: ConfigSection,
) -> tuple[tuple[int, tuple[EndpointRecord, ...]], ...]:
    events = document.optional_section("known").optional("events", ()).entries()
    return tuple(_parse_endpoint_event(event.section()) for event in events)


def _parse_endpoint_event(event: ConfigSection) -> tuple[int, tuple[EndpointRecord, ...]]:
    """Return the serial number and the endpoints of one update of the endpoint list."""
    endpoints = event.required("members").section().required("endpoints").entries()
    return event.required("n").integer(), tuple(_parse_endpoint(entry.section()) for entry in endpoints)


def _parse_endpoint(entry: ConfigSection) -> EndpointRecord:
    host, port = _parse_address_of_any_type(entry.required("address"))
    return EndpointRecord(
        name=entry.required_string("name"),
        host=host,
        port=port,
        zone=entry.required_string("zone"),
        kind=entry.required_string("type"),
        cell=entry.optional("group", 0).integer(),
        state=entry.required("status").value_in(_STATE_BY_NAME),
        weight=entry.optional("weight", 1).finite_number(),
        started_at_ms=entry.optional("since_ms", 0).finite_number(),
    )


def _parse_control_address(document: ConfigSection, environ: Mapping[str, str]) -> tuple[str, int] | None:
    """Return the control address, or None if it is missing, null or empty."""
    address = _variable(environ, CONTROL_VARIABLE) or document.optional("control", None)
    return None if address.value in (None, "") else _parse_address(address)


def _parse_peer_addresses(document: ConfigSection) -> PeerAddresses | None:
    """Return the gossip addresses, or None if those of the peers or of this router are missing."""
    if not document.has("peer_listen") or not document.has("peers"):
        return None
    peers = document.required("peers")
    if not isinstance(peers.value, list):
        raise peers.error("a list of addresses in the form host:port")
    return PeerAddresses(
        _parse_address_of_any_type(document.required("peer_listen")),
        tuple(_parse_address_of_any_type(peer) for peer in peers.entries()),
        (_parse_address_of_any_type(document.required("peers_all")) if document.has("peers_all") else None),
    )
