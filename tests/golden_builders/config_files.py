"""Configuration files that operators and the platform write."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import TYPE_CHECKING

from cedarthread import config as platform_config
from cedarthread import fleet_config
from cedarthread.missing_keys import KeyInventory
from cedarthread.protocols.discovery.endpoint_list import EndpointList
from cedarthread.protocols.invoke import config as invoke_config
from tests.golden_builders.platform_settings import FULL_SETTINGS, MINIMAL_SETTINGS
from tests.golden_builders.replicated_entries import FLEET_FILE
from tests.golden_builders.sample import Sample, to_plain

if TYPE_CHECKING:
    from tests.golden_builders.sample import Json

PLATFORM_FILE: dict[str, object] = {
    "listen": "127.0.0.1:5050",
    "name": "n3",
    "seed": "ff07",
    "limits": {"sockets": 512, "memory_mb": 96},
    "dns": "127.0.0.1:5353",
    "control": "127.0.0.1:5051",
    "peer_listen": "[::1]:5052",
    "peers": ["127.0.0.1:5052", "127.0.0.1:5054"],
    "peers_all": "127.0.0.1:5053",
    "known": {
        "events": [
            {
                "n": 4,
                "members": {
                    "endpoints": [
                        {
                            "name": f"s-0000000{place}",
                            "address": f"127.0.0.1:900{place}",
                            "zone": "room-a",
                            "type": "std",
                            "group": place,
                            "status": status,
                            "weight": 0.5,
                            "since_ms": 1200,
                        }
                        for place, status in enumerate(("ready", "draining", "gone"))
                    ]
                },
            }
        ]
    },
}
INVOKE_FILE = """[invoke]
listen = "127.0.0.1:0"
trust_domain = "gaz.example"
svid = "svid.pem"
key = "svid.key"
bundle = "bundle.pem"
allow = ["spiffe://gaz.example/desk/*"]
"""


def build_config_files() -> list[Sample]:
    """Return each file with all keys and with the fewest keys, and what the router reads from it."""
    sharing = FLEET_FILE.replace(b"clock-error", b"fresh = 9000\nclock-rate = 0.002\nclock-error")
    fleet_file = sharing.replace(b'sync = "each"', b'sync = "none"\ngroup = 7.5')
    platform_file = json.dumps(PLATFORM_FILE | {"settings": FULL_SETTINGS}).encode()
    minimal_platform_file = json.dumps({"listen": "127.0.0.1:0", "settings": MINIMAL_SETTINGS}).encode()
    return [
        Sample("platform", platform_file, _read_platform_file),
        Sample("platform with least", minimal_platform_file, _read_platform_file),
        Sample("fleet", fleet_file, _read_fleet_file),
        Sample("fleet with nothing", b"", _read_fleet_file),
        Sample("invoke", INVOKE_FILE.encode(), _read_invoke_file),
        Sample("invoke with all", INVOKE_FILE.encode() + b"connections = 9\n", _read_invoke_file),
    ]


def _read_platform_file(data: bytes) -> Json:
    config = platform_config.decode(data, {})
    endpoint_list = EndpointList(config.settings)
    updates = [
        to_plain(endpoint_list.apply_update(version, list(records), is_snapshot=True))
        for version, records in config.initial_endpoints
    ]
    # ``tests/unit/test_missing_keys.py`` covers the inventory, which repeats the keys of the file.
    return [to_plain(dataclasses.replace(config, key_inventory=KeyInventory())), updates]


def _read_fleet_file(data: bytes) -> Json:
    return to_plain(fleet_config.parse_fleet_config(data))


def _read_invoke_file(data: bytes) -> Json:
    config = invoke_config.parse(data, Path("folder/invoke.toml"))
    paths: list[Json] = [
        path.as_posix() for path in (config.path, config.svid_path, config.key_path, config.bundle_path)
    ]
    fields = (
        config.host,
        config.port,
        config.trust_domain,
        config.allowed_patterns,
        config.max_connections,
    )
    return [*paths, to_plain(fields)]
