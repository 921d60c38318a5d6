"""Parser of scenario files (TOML).

An error message names the place and the mistake, for example ``fault 2: cut needs `to` ``.
"""

from __future__ import annotations

import dataclasses
import re
import tomllib
from typing import TYPE_CHECKING, Any

from cedarthread.errors import CedarthreadError
from cedarthread.testing.cluster.injected_defects import DEFECTS
from cedarthread.testing.cluster.scenario import (
    DISK_FAULTS,
    FAULT_TARGET_KINDS,
    NETWORK_FAULTS,
    Fault,
    FaultKind,
    NodeKind,
    NodeRange,
    Scenario,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

FIELD_BY_KEY = {  # Keys: keys of scenario files. Values: fields of ``Scenario``.
    "name": "name",
    "seed": "seed",
    "routers": "router_count",
    "runners": "worker_count",
    "cores": "cores_per_worker",
    "slots": "instances_per_worker",
    "lanes": "concurrency",
    "functions": "function_count",
    "skew": "popularity_exponent",
    "rate": "calls_per_second",
    "need": "mean_service_ms",
    "load": "load_ms",
    "store_at_once": "store_full_speed_loads",
    "store_most": "store_max_loads",
    "settle": "settle_s",
    "warm_up": "warm_up_s",
    "seconds": "duration_s",
    "unsafe": "not_idempotent_share",
    "talk": "is_gossip_enabled",
    "reports": "has_load_reports",
    "plant": "injected_defect",
    "fleet": "fleet_config",
    "declares": "fleet_config_routers",
    "store": "has_store",
    "tenants": "tenants",
}
POSITIVE_KEYS = (
    "routers",
    "runners",
    "cores",
    "slots",
    "lanes",
    "functions",
    "rate",
    "need",
    "load",
    "seconds",
)
FAULT_KEYS = {"kind", "at", "until", "who", "to", "figure", "one_way", "what"}
_TYPES: dict[str, tuple[type, ...]] = {"int": (int,), "float": (int, float), "str": (str,), "bool": (bool,)}
_NODE_RANGE = re.compile(r"(router|runner|client|resolver)(?::(\d+)(?:-(\d+))?)?\Z")


class ScenarioError(CedarthreadError):
    """An invalid scenario; the message names the place and the mistake."""


def load_scenario(path: Path) -> Scenario:
    """Return the scenario of a file.

    Raises:
        ScenarioError: The file is missing, malformed or describes no valid scenario.
    """
    try:
        return parse_scenario(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ScenarioError) as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse_scenario(document: Mapping[str, Any]) -> Scenario:
    """Return the scenario of a parsed file.

    Raises:
        ScenarioError: The document describes no valid scenario.
    """
    type_names = {field.name: str(field.type) for field in dataclasses.fields(Scenario)}
    values: dict[str, Any] = {}
    for key, value in document.items():
        if key == "fault":
            continue
        if key not in FIELD_BY_KEY:
            raise ScenarioError(f"{key}: unknown key; valid keys are {', '.join(FIELD_BY_KEY)} and [[fault]]")
        _check_value(key, value, type_names[FIELD_BY_KEY[key]])
        values[FIELD_BY_KEY[key]] = value
    scenario = Scenario(**values)
    for key in POSITIVE_KEYS:
        if float(getattr(scenario, FIELD_BY_KEY[key])) <= 0:
            raise ScenarioError(f"{key}: must be above zero")
    if scenario.injected_defect not in ("", *DEFECTS):
        raise ScenarioError(f"plant: {scenario.injected_defect!r} is not one of {', '.join(DEFECTS)}")
    tenant_shares(scenario)
    fleet_config_routers(scenario)
    faults = tuple(
        _parse_fault(f"fault {number}", fault, scenario)
        for number, fault in enumerate(document.get("fault", ()), 1)
    )
    return dataclasses.replace(scenario, faults=faults)


def _check_value(key: str, value: object, type_name: str) -> None:
    is_bool = isinstance(value, bool)  # Checked apart, because bool is a subclass of int.
    if not isinstance(value, _TYPES[type_name]) or (is_bool and type_name != "bool"):
        raise ScenarioError(f"{key}: {value!r} is not of type {type_name}")
    if isinstance(value, (int, float)) and value < 0:
        raise ScenarioError(f"{key}: {value!r} is negative")


def tenant_shares(scenario: Scenario) -> dict[str, float]:
    """Return each tenant's share of the calls by the tenant's name."""
    text = scenario.tenants
    try:
        pairs = map(str.split, filter(None, text.split(",")))
        shares = {name: float(share) for name, share in pairs}
    except ValueError:
        raise ScenarioError(f"tenants: {text!r} must have the form 'hydro 0.5, steel 0.3'") from None
    if sum(shares.values()) > 1.0 or any(not 0.0 < share <= 1.0 for share in shares.values()):
        raise ScenarioError(f"tenants: {text!r}: each share must be above 0, and their sum at most 1")
    return shares


def fleet_config_routers(scenario: Scenario) -> NodeRange:
    """Return the routers that have the fleet config."""
    return parse_node_range("declares", scenario.fleet_config_routers, scenario)


def _parse_fault(where: str, fault: Mapping[str, Any], scenario: Scenario) -> Fault:
    unknown = set(fault) - FAULT_KEYS
    if unknown:
        raise ScenarioError(f"{where}: unknown key: {', '.join(sorted(unknown))}")
    kind = _parse_kind(where, fault.get("kind"))
    start_s = fault.get("at", 0.0)
    end_s = fault.get("until", scenario.end_s)
    if not all(isinstance(time, (int, float)) for time in (start_s, end_s)) or not 0 <= start_s < end_s:
        raise ScenarioError(
            f"{where}: at {start_s!r} and until {end_s!r} must be numbers with 0 <= at < until"
        )
    peers = parse_node_range(f"{where}: to", fault["to"], scenario) if "to" in fault else None
    if kind in (*NETWORK_FAULTS, FaultKind.HIDE_WORKER, FaultKind.DRAIN_WORKER) and peers is None:
        raise ScenarioError(f"{where}: {kind} needs `to`")
    targets = parse_node_range(f"{where}: who", fault.get("who"), scenario)
    if kind in FAULT_TARGET_KINDS and targets.kind != FAULT_TARGET_KINDS[kind]:
        raise ScenarioError(
            f"{where}: {kind} applies to a {FAULT_TARGET_KINDS[kind]}, not to a {targets.kind}"
        )
    text = str(fault.get("what", ""))
    if kind is FaultKind.DISK and text not in DISK_FAULTS:
        raise ScenarioError(f"{where}: what {text!r} is not one of {', '.join(DISK_FAULTS)}")
    if kind is FaultKind.FLEET_CONFIG and not _have_fleet_config(targets, scenario):
        raise ScenarioError(f"{where}: {fault.get('who')} has no initial fleet config (`fleet`, `declares`)")
    amount = float(fault.get("figure", 0.0))
    is_one_way = bool(fault.get("one_way"))
    return Fault(kind, float(start_s), float(end_s), targets, peers, amount, is_one_way, text)


def _parse_kind(where: str, text: object) -> FaultKind:
    known = (*NETWORK_FAULTS, *FAULT_TARGET_KINDS)
    if text not in known:
        raise ScenarioError(f"{where}: kind {text!r} is not one of {', '.join(known)}")
    return FaultKind(str(text))


def _have_fleet_config(targets: NodeRange, scenario: Scenario) -> bool:
    configured = fleet_config_routers(scenario)
    return (
        bool(scenario.fleet_config) and configured.first <= targets.first <= targets.last <= configured.last
    )


def parse_node_range(where: str, text: object, scenario: Scenario) -> NodeRange:
    """Parse a range of routers, workers, clients or discovery servers as scenario files write it."""
    match = _NODE_RANGE.match(text) if isinstance(text, str) else None
    if match is None:
        raise ScenarioError(f"{where}: {text!r} must have the form router, runner:3 or client:0-11")
    kind = NodeKind(match[1])
    count = scenario.worker_count if kind is NodeKind.WORKER else scenario.router_count
    first = int(match[2]) if match[2] else 0
    last = int(match[3]) if match[3] else first if match[2] else count - 1
    if not first <= last < count:
        raise ScenarioError(f"{where}: {text!r} is outside 0 to {count - 1}")
    return NodeRange(kind, first, last)
