"""Settings for fuzzing, in the format of the document that the platform writes."""

from __future__ import annotations

import copy
from typing import Any

from cedarthread.testing.fakes.settings import SETTINGS

# The order of keys and classes is part of the corpus, because mutations select keys by their position.
CLASSES: list[dict[str, Any]] = [
    {"name": "check", "goal-time": 1200, "deadline": 5000, "effect": "retryable", "value": 2},
    {
        "name": "revise",
        "goal-time": 800,
        "deadline": 5000,
        "effect": "dedup",
        "group": "zone",
        "repeat-window": 1500,
        "value": 5,
    },
    {"name": "confirm", "goal-time": 1500, "deadline": 5000, "effect": "fragile", "value": 5},
    {
        "name": "amend",
        "goal-time": 800,
        "deadline": 4000,
        "effect": "dedup",
        "group": "all",
        "repeat-window": 1500,
        "value": 3,
    },
    {
        "name": "settle",
        "goal-time": 800,
        "deadline": 4000,
        "effect": "dedup",
        "group": "cell",
        "repeat-window": 1500,
        "value": 3,
    },
]
BASE: dict[str, Any] = SETTINGS | {
    "classes": CLASSES,
    "limits": SETTINGS["limits"] | {"streams-per-conn": 8},
    "localities": ["room-a", "room-b"],
    "obligations": SETTINGS["obligations"]
    | {"cold-from": 0.25, "warm-after": 2000, "overload-factor": 2.5, "fall": 2000},
    "prices": {"cross-zone": 0.046},
    "specifics": SETTINGS["specifics"] | {"says-warm": True},
}
PRELOAD_LIMITS = {"loads-anyway": 2, "load-share": 0.2, "load-window": 5000}


def settings(*, preloads_on_miss: bool = False, supports_cancel: bool = True) -> dict[str, Any]:
    """Return a new copy of the settings document.

    Args:
        preloads_on_miss: Whether a worker without an instance answers NONE, after which the router preloads.
        supports_cancel: Whether workers accept the cancellation of an attempt.
    """
    document = copy.deepcopy(BASE)
    document["limits"]["cancel"] = supports_cancel
    if preloads_on_miss:
        document["specifics"] |= PRELOAD_LIMITS | {"on-miss": "miss", "may-order": True}
    return document
