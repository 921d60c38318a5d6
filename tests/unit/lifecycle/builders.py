"""Configuration files for reloads, and a parser of INFO replies."""

from __future__ import annotations

import copy
import json
import re
from typing import Any

from cedarthread.testing.fakes.settings import SETTINGS


def file_with(settings: dict[str, Any]) -> bytes:
    """Return the content of a configuration file with these settings."""
    return json.dumps({"listen": "127.0.0.1:0", "settings": settings}).encode()


def changed_settings() -> Any:
    """Return settings with one class removed, one changed, one added, and another limit on attempts."""
    changed: Any = copy.deepcopy(SETTINGS)
    changed["classes"] = [entry for entry in changed["classes"] if entry["name"] != "check"]
    changed["classes"][1]["effect"] = "retryable"  # confirm
    changed["classes"].append({"name": "audit", "goal-time": 900, "deadline": 4000, "effect": "retryable"})
    changed["limits"]["send-cap"] = 2
    return changed


def info_metrics(lines: list[str]) -> dict[str, int]:
    """Return the metrics of an INFO reply by name, and check that each line is well-formed."""
    assert lines[0] == "YES"
    assert lines[-1] == "END"
    pairs = [re.fullmatch(r"(router\.[\w.]+)=(\d+)", line) for line in lines[1:-1]]
    assert all(pairs), lines
    return {pair[1]: int(pair[2]) for pair in pairs if pair}
