"""A digest of a router's state, which is equal for states with equal behaviour."""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from dataclasses import fields, is_dataclass
from enum import Enum

from cedarthread.routing.overload import OverloadEstimator
from cedarthread.routing.zone_reachability import ZoneReachability

MAX_DEPTH = 12  # nesting depth beyond which values are not distinguished
DIGITS = 6  # decimal places to which floats are rounded
DIGEST_BYTES = 12

# Fields that do not distinguish states: counters, logs, callbacks, back references and settings.
SKIPPED_FIELDS = {"token", "serial", "actions", "settings", "logs", "call", "on_result"}
# Further fields that do not distinguish states, by class: counts that follow from the attempts in flight.
SKIPPED_FIELDS_BY_CLASS: dict[type, set[str]] = {
    OverloadEstimator: {"in_flight"},
    ZoneReachability: {"in_flight"},
}


def state_digest(*values: object) -> bytes:
    """Return a digest of the values."""
    return hashlib.blake2b(
        repr([canonical(value) for value in values]).encode(), digest_size=DIGEST_BYTES
    ).digest()


def canonical(value: object, depth: int = 0) -> object:
    """Return a value as nested tuples, without object identities and skipped fields."""
    if depth > MAX_DEPTH:
        return "deep"
    if isinstance(value, random.Random):
        return hash(value.getstate())
    if isinstance(value, (int, float, str, bytes, bool, type(None))):
        return round(value, DIGITS) if isinstance(value, float) and math.isfinite(value) else value
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return tuple((canonical(key, depth + 1), canonical(item, depth + 1)) for key, item in value.items())
    if isinstance(value, (set, frozenset)):
        return tuple(sorted(map(repr, value)))
    if isinstance(value, (list, tuple, deque)):
        return tuple(canonical(item, depth + 1) for item in value)
    if is_dataclass(value):
        names = [field.name for field in fields(value)]
    else:
        names = list(getattr(value, "__dict__", {}))
    skipped = SKIPPED_FIELDS | SKIPPED_FIELDS_BY_CLASS.get(type(value), set())
    return tuple((name, canonical(getattr(value, name), depth + 1)) for name in names if name not in skipped)
