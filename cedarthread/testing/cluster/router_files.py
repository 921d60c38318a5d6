"""The files of one router of a run: configuration, fleet config, and the control files of injected faults."""

from __future__ import annotations

import json
import re
import struct
import time
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.failing_sockets import SYSTEM_CALLS_CONTROL
from cedarthread.testing.cluster.router_entry import CLOCK_CONTROL
from cedarthread.testing.cluster.scenario import DISK_FAULTS, NodeKind, Scenario
from cedarthread.testing.cluster.scenario_file import fleet_config_routers, tenant_shares
from cedarthread.testing.fakes.settings import SETTINGS

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

DISK_CONTROL = struct.Struct("<B7xd")  # Index of the fault in DISK_FAULTS, amount of the fault.
DISK_CONTROL_BYTES = 64
SEED_STEP = 1_000_003  # Distance between the router seeds of two runs, so that no two routers share a seed.
MEMORY_MB = 192  # Memory limit in the configuration of a router.
MAX_SOCKETS = 1024  # Limit of open sockets in the configuration of a router.


def router_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings of one router."""
    idempotent = {"name": "check", "goal-time": 1000, "deadline": 3000, "effect": "retryable", "value": 2}
    not_idempotent = {"name": "confirm", "goal-time": 1000, "deadline": 3000, "effect": "fragile", "value": 3}
    limits = {"most-held": 1000, "max-retry-after": 2000, "peers": scenario.is_gossip_enabled}
    columns = ["inflight", "x1"] if scenario.has_load_reports else ["x1"]
    tenants = [{"name": name, "share": share} for name, share in tenant_shares(scenario).items()]
    return (
        SETTINGS
        | ({"tenants": tenants} if tenants else {})
        | {
            "balancers": scenario.router_count,
            "ordinal": number,
            "classes": [idempotent, not_idempotent],
            "limits": SETTINGS["limits"] | limits,
            "prices": {"peer": 0.01},
            "report": {"columns": columns, "how": "answers"},
            "specifics": SETTINGS["specifics"] | {"keep-alive": 4000},
        }
    )


@dataclass(frozen=True, slots=True)
class RouterAddresses:
    """The addresses of one router's discovery servers and of the peers."""

    discovery_port: int
    moved_discovery_port: int  # Port of the discovery server that serves after a move.
    peer_address: str  # Address from which the router itself sends to its peers.
    peers: Sequence[str]  # Addresses of the relays of all routers.


class RouterFiles:
    """The writer of one router's files, whose names contain the router's number.

    Args:
        scenario: The scenario of the run.
        folder: The folder of the files.
        number: The number of the router.
    """

    def __init__(self, scenario: Scenario, folder: Path, number: int) -> None:
        self.scenario = scenario
        self.number = number
        self.config = folder / f"n{number}.json"
        self.fleet_config = folder / f"n{number}.fleet.toml"
        self.clock = folder / f"n{number}.clock"
        self.disk = folder / f"n{number}.disk"
        self.store = folder / f"n{number}.store"
        self.log = folder / f"n{number}.log"
        self.system_calls = folder / f"n{number}.calls"
        self.discovery_port = 0  # ``write`` sets both ports.
        self.moved_discovery_port = 0

    def write(self, port: int, known_endpoints: Sequence[dict[str, Any]], addresses: RouterAddresses) -> None:
        """Write the initial content of all files."""
        scenario = self.scenario
        number = self.number
        self.discovery_port = addresses.discovery_port
        self.moved_discovery_port = addresses.moved_discovery_port
        config: dict[str, Any] = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "seed": f"{scenario.seed * SEED_STEP + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_SOCKETS},
            "known": {"n": 1, "events": [{"n": 1, "members": {"endpoints": known_endpoints}}]},
            "dns": f"127.0.0.1:{addresses.discovery_port}",
            "settings": router_settings(scenario, number),
        }
        if scenario.is_gossip_enabled:
            config |= {"peer_listen": addresses.peer_address, "peers": addresses.peers}
        self.config.write_text(json.dumps(config))
        self.set_clock()
        self.set_disk_fault()
        self.set_failing_system_calls()
        has_fleet_config = fleet_config_routers(scenario).includes(NodeKind.ROUTER, number)
        if scenario.fleet_config and has_fleet_config:
            self.write_fleet_config(scenario.fleet_config, 0.0)

    def set_clock(self, offset_ms: float = 0.0, rate: float = 1.0) -> None:
        """Shift the router's wall clock by an offset, or run its clocks ``rate`` times as fast."""
        _write_in_place(self.clock, CLOCK_CONTROL.pack(offset_ms, rate, time.monotonic()))

    def set_disk_fault(self, fault: str = DISK_FAULTS[0], amount: float = 0.0) -> None:
        """Set the fault of the router's disk, one of ``DISK_FAULTS``, from now on."""
        control = DISK_CONTROL.pack(DISK_FAULTS.index(fault), amount)
        _write_in_place(self.disk, control.ljust(DISK_CONTROL_BYTES, b"\0"))

    def set_failing_system_calls(self, share: float = 0.0) -> None:
        """Set the share of the router's system calls on sockets that fail from now on."""
        _write_in_place(self.system_calls, SYSTEM_CALLS_CONTROL.pack(share))

    def set_discovery_port(self, port: int) -> None:
        """Set the port of the discovery server in the configuration, which the router reads on SIGHUP."""
        config = json.loads(self.config.read_text())
        self.config.write_text(json.dumps(config | {"dns": f"127.0.0.1:{port}"}))

    def write_fleet_config(self, text: str, start_unix_s: float) -> None:
        """Write the fleet config; where routers have stores, add a ``[disk]`` section for this router."""
        if self.scenario.has_store:
            self.store.mkdir(exist_ok=True)
            text += f'\n[disk]\nfolder = "{self.store}"\n'
        self.fleet_config.write_text(resolve_times(text, start_unix_s))

    def change_settings(self, changes: str) -> None:
        """Merge settings, given as JSON, into the settings of the configuration."""
        config = json.loads(self.config.read_text())
        self.config.write_text(json.dumps(config | {"settings": config["settings"] | json.loads(changes)}))


def _write_in_place(path: Path, data: bytes) -> None:
    """Write to an existing file in place, because the router's process has mapped it into memory."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(data)


def resolve_times(text: str, start_unix_s: float) -> str:
    """Return a fleet config with times in RFC 3339 instead of ``@12.5`` (s from the start of traffic)."""

    def resolve(match: re.Match[str]) -> str:
        timestamp = datetime.fromtimestamp(start_unix_s + float(match[1]), UTC)
        return timestamp.isoformat(timespec="milliseconds")

    return re.sub(r"@(\d+(?:\.\d+)?)", resolve, text)
