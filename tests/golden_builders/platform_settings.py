"""Settings in the platform's format: with all keys, and with the fewest that are accepted."""

from __future__ import annotations

FULL_SETTINGS: dict[str, object] = {
    "balancers": 3,
    "ordinal": 1,
    "zone": 1,
    "quantum": 1.0,
    "membership-mode": "ask",
    "over-share-worth": 0.25,
    "classes": [
        {"name": "x", "goal-time": 500.0, "deadline": 2000.0, "effect": "retryable", "value": 2.0},
        {"name": "y", "goal-time": 500, "deadline": 2000, "effect": "dedup"}
        | {"group": "zone", "repeat-window": 0},
        {
            "name": "w",
            "goal-time": 50,
            "deadline": 900,
            "effect": "fragile",
            "stream": True,
            "late-worth": 0.5,
        },
        {
            "name": "z",
            "goal-time": 500,
            "deadline": 2000,
            "effect": "dedup",
            "group": "cell",
            "repeat-window": 3000,
            "aim-stretch": 1.5,
        },
    ],
    "tenants": [{"name": "t", "share": 0.5, "quota-per-s": 20}, {"name": "u"}],
    "limits": {
        "send-cap": 3,
        "most-held": 100,
        "cancel": True,
        "probing": True,
        "peers": True,
        "second-copies": True,
        "retry-after": True,
        "max-retry-after": 500,
        "streams-per-conn": 8,
        "connect-timeout": 100,
        "conn-idle": 5000,
    },
    "obligations": {
        "answer-slack": 8,
        "stop-sending-within": 500,
        "cold-from": 0.2,
        "warm-after": 9000.0,
        "fall": 1000.0,
        "overload-factor": 2.0,
        "ask-every": 700,
    },
    "prices": {
        "origin": 0.1,
        "probe": 0.01,
        "peer": 0.02,
        "cross-zone": 0.03,
        "waste": 0.04,
        "late-fail": 0.05,
    },
    "specifics": {
        "on-miss": "miss",
        "may-order": True,
        "keep-alive": 8700,
        "order-limit": 10000,
        "says-warm": True,
        "notes-peers-in-hand": True,
        "idle-price": 0.06,
        "memory-mb-by-kind": [1024, 2048],
        "loads-anyway": 5,
        "load-share": 0.5,
        "load-window": 1000,
    },
    "report": {"how": "probe", "columns": ["inflight", "x1"]},
    "weight-source": "live",
    "localities": ["room-a", "room-b"],
    "kinds": ["std", "big"],
    "a-key-of-tomorrow": 1,
}
_IDEMPOTENT_CLASS: dict[str, object] = {
    "name": "x",
    "goal-time": 500.0,
    "deadline": 2000.0,
    "effect": "retryable",
}
MINIMAL_SETTINGS: dict[str, object] = {
    "balancers": 1,
    "classes": [_IDEMPOTENT_CLASS],
    "limits": {"send-cap": 3, "most-held": 100},
    "obligations": {
        "answer-slack": 0,
        "stop-sending-within": 0,
        "cold-from": 1,
        "warm-after": 0,
        "overload-factor": 1,
        "fall": 0,
    },
}

# The settings that accept only certain texts, and these texts; the part before the dot is the section.
SETTING_TEXTS: dict[str, tuple[str, ...]] = {
    "classes.effect": ("retryable", "dedup", "fragile"),
    "classes.group": ("all", "zone", "cell"),
    "membership-mode": ("push", "ask"),
    "specifics.on-miss": ("load", "miss"),
    "report.how": ("none", "answers", "probe"),
    "weight-source": ("none", "nominal", "rough", "live"),
}


def minimal_settings_with(name: str, value: str) -> dict[str, object]:
    """Return the minimal settings with one additional key, which is named as in ``SETTING_TEXTS``."""
    section, _, key = name.partition(".")
    if section == "classes":
        deduplicated = {"effect": "dedup", "group": "all", "repeat-window": 0}
        return MINIMAL_SETTINGS | {section: [_IDEMPOTENT_CLASS | deduplicated | {key: value}]}
    if section == "membership-mode":
        obligations: dict[str, object] = dict(MINIMAL_SETTINGS["obligations"])  # type: ignore[call-overload]
        return MINIMAL_SETTINGS | {section: value, "obligations": obligations | {"ask-every": 0}}
    return MINIMAL_SETTINGS | {section: {key: value} if key else value}
