"""The golden files of ``tests/golden``, one per builder of ``tests/golden_builders``.

A golden file contains the bytes of each sample, and the values that the router decodes from them. The values
omit the names of classes, fields and members, so that a renaming does not change the file.
``tests/contracts/test_golden.py`` compares the files with the current code.
``python -m tests.golden_samples --write`` writes the files.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from tests.golden_builders.config_files import build_config_files
from tests.golden_builders.discovery import build_discovery
from tests.golden_builders.escrow import build_escrow
from tests.golden_builders.fleet import build_fleet
from tests.golden_builders.fronts import build_fronts
from tests.golden_builders.gossip import build_gossip
from tests.golden_builders.invoke import build_invoke
from tests.golden_builders.membership import build_membership
from tests.golden_builders.platform_wire import build_platform_wire
from tests.golden_builders.priority import build_pressure
from tests.golden_builders.recovery import build_recovery
from tests.golden_builders.replicated_entries import build_entries
from tests.golden_builders.replication import build_replication
from tests.golden_builders.simulator_actions import build_simulator_actions
from tests.golden_builders.simulator_events import build_simulator_events
from tests.golden_builders.simulator_host import build_simulator_host
from tests.golden_builders.store_folders import build_store_folders
from tests.golden_builders.stored_values import build_stored_values
from tests.golden_builders.worker_lines import build_worker_lines

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from tests.golden_builders.sample import Json, Sample

GOLDEN_FOLDER = Path(__file__).parent / "golden"

# The builder of each golden file of samples, by the file's name without suffix.
BUILDERS: dict[str, Callable[[], list[Sample]]] = {
    "gossip": build_gossip,
    "membership": build_membership,
    "register": build_replication,
    "register-entries": build_entries,
    "grants": build_escrow,
    "recovery": build_recovery,
    "pressure": build_pressure,
    "fleet": build_fleet,
    "stored-values": build_stored_values,
    "runner-lines": build_worker_lines,
    "platform": build_platform_wire,
    "discovery": build_discovery,
    "simulator-events": build_simulator_events,
    "simulator-actions": build_simulator_actions,
    "simulator-host": build_simulator_host,
    "invoke": build_invoke,
    "fronts": build_fronts,
    "files": build_config_files,
}
STORE_FOLDERS = "store-folders"  # The golden file that contains store folders instead of samples.


def golden_path(name: str) -> Path:
    """Return the path of the golden file with this name."""
    return GOLDEN_FOLDER / f"{name}.json"


def golden_record(sample: Sample) -> dict[str, Json]:
    """Return the record of a sample in a golden file: printable ASCII as text, other bytes in hexadecimal."""
    record: dict[str, Json] = {}
    if sample.data.isascii() and all(byte >= 32 or byte in b"\r\n" for byte in sample.data):
        record["text"] = sample.data.decode("ascii")
    else:
        record["hex"] = sample.data.hex()
    if sample.read is not None:
        record["read"] = sample.read(sample.data)
    return record


def golden_bytes(record: dict[str, Json]) -> bytes:
    """Return the bytes of a sample from its record in a golden file."""
    text = record.get("text")
    hexadecimal = record.get("hex")
    if isinstance(text, str):
        return text.encode("ascii")
    if isinstance(hexadecimal, str):
        return bytes.fromhex(hexadecimal)
    raise ValueError("the record has neither text nor hex")


def file_text(name: str) -> str:
    """Build the samples of one golden file, and return the file's text.

    Raises:
        ValueError: Two samples have the same name.
    """
    samples = BUILDERS[name]()
    if len({sample.name for sample in samples}) < len(samples):
        raise ValueError(f"{name}: duplicate sample name")
    return _to_json({sample.name: golden_record(sample) for sample in samples})


def _to_json(content: dict[str, Json]) -> str:
    return json.dumps(content, indent=1) + "\n"


def main(arguments: Sequence[str]) -> int:
    """Write the golden files; without ``--force``, change nothing if one of them exists."""
    parser = argparse.ArgumentParser(prog="tests.golden_samples")
    parser.add_argument("--write", action="store_true", required=True)
    parser.add_argument("--force", action="store_true")
    options = parser.parse_args(arguments)
    existing = [name for name in (*BUILDERS, STORE_FOLDERS) if golden_path(name).exists()]
    if existing and not options.force:
        print(f"already exist, not overwritten without --force: {', '.join(existing)}", file=sys.stderr)
        return 1
    GOLDEN_FOLDER.mkdir(exist_ok=True)
    for name in BUILDERS:
        golden_path(name).write_text(file_text(name))
    golden_path(STORE_FOLDERS).write_text(_to_json(build_store_folders()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
