"""A configuration file with all keys that the operators' pages name, and changes to it."""

from __future__ import annotations

import copy
import re
from typing import Any

REQUEST_CLASS = {
    "name": "revise",
    "goal-time": 800.0,
    "deadline": 5000.0,
    "effect": "dedup",
    "group": "zone",
    "repeat-window": 3000.0,
    "late-worth": 0.1,
    "stream": False,
    "value": 5.0,
    "aim-stretch": 1.0,
}
# A file with all keys that the operators' pages name.
DOCUMENT: dict[str, Any] = {
    "name": "n3",
    "listen": "127.0.0.1:5050",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "dns": "127.0.0.1:5300",
    "control": "127.0.0.1:5400",
    "peer_listen": "127.0.0.1:5500",
    "peers": ["127.0.0.1:5500", "127.0.0.1:5501"],
    "peers_all": "127.0.0.1:5502",
    "known": {
        "n": 1,
        "events": [
            {
                "n": 1,
                "members": {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [
                        {
                            "name": "s-00c41f7a",
                            "address": "127.0.0.1:1",
                            "zone": "room-a",
                            "type": "std",
                            "group": 0,
                            "status": "ready",
                            "weight": 1,
                            "since_ms": 0,
                        }
                    ],
                },
            }
        ],
    },
    "settings": {
        "balancers": 3,
        "blend": {"whole": 0.5, "worst-class": 0.35, "worst-tenant": 0.0, "worst-window": 0.15},
        "callers": {"marks-retry": True},
        "classes": [
            REQUEST_CLASS,
            REQUEST_CLASS | {"name": "check", "effect": "retryable", "group": "all"},
        ],
        "family": "warm",
        "kinds": ["std"],
        "limits": {
            "cancel": True,
            "conn-idle": 30000.0,
            "connect-timeout": 250.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500000,
            "max-retry-after": 500.0,
            "most-held": 20000,
            "peers": True,
            "probing": True,
            "retry-after": True,
            "second-copies": True,
            "send-cap": 4,
            "streams-per-conn": 8,
        },
        "localities": ["room-a", "room-b"],
        "membership-mode": "ask",
        "obligations": {
            "answer-slack": 8.0,
            "ask-every": 10000.0,
            "cold-from": 0.25,
            "fall": 2000.0,
            "overload-factor": 2.5,
            "stop-sending-within": 500.0,
            "warm-after": 17000.0,
        },
        "ordinal": 1,
        "over-share-worth": 0.1,
        "prices": {
            "connection": 0.1,
            "cross-zone": 0.1,
            "fleet": 0.1,
            "handshake": 0.1,
            "late-fail": 0.1,
            "membership-mode": 0.1,
            "moves": 0.1,
            "origin": 0.1,
            "peer": 0.1,
            "probe": 0.1,
            "waste": 0.1,
        },
        "quantum": 2.0,
        "report": {"columns": ["inflight"], "how": "answers"},
        "specifics": {
            "idle-price": 0.1,
            "keep-alive": 8700.0,
            "load-share": 0.2,
            "load-window": 5000.0,
            "loads-anyway": 4.0,
            "may-order": True,
            "memory-mb-by-kind": [51968.0],
            "notes-peers-in-hand": True,
            "on-miss": "load",
            "order-limit": 10000.0,
            "report-x0": "share of memory that is at work or loading",
            "report-x1": "loads under way or waiting",
            "says-warm": True,
        },
        "stages": ["nom-workers"],
        "tenants": [{"name": "north", "quota-per-s": 10.0, "share": 0.5}],
        "tier": 1,
        "weight-source": "nominal",
        "worth-by": "request",
        "zone": 1,
    },
}
CLASS_PATH = "settings.classes[0]"
ENDPOINT_PATH = "known.events[0].members.endpoints[0]"
# The operators' pages say of these two keys that they may be absent.
OPTIONAL_PATHS = {"settings.prices.fleet", "settings.classes[0].aim-stretch"}
# The keys that each file must have, also the first one: without them the router cannot serve, or a rule that
# applies has no figure.
REQUIRED_PATHS = {
    "listen",
    "settings",
    "known.events[0].n",
    "known.events[0].members",
    "known.events[0].members.endpoints",
    *(f"{ENDPOINT_PATH}.{key}" for key in ("name", "address", "zone", "type", "status", "group", "since_ms")),
    *(f"settings.{key}" for key in ("balancers", "classes", "limits", "obligations")),
    *(f"{CLASS_PATH}.{key}" for key in ("name", "goal-time", "deadline", "effect", "group", "repeat-window")),
    "settings.limits.send-cap",
    "settings.limits.most-held",
    *(f"settings.obligations.{key}" for key in DOCUMENT["settings"]["obligations"]),
    *(f"settings.specifics.{key}" for key in ("load-window", "loads-anyway", "load-share")),
}


def key_paths(value: object, path: str = "") -> list[str]:
    """Return the paths of all keys; of a list, those of its first entry."""
    if isinstance(value, list):
        return key_paths(value[0], f"{path}[0]") if value else []
    if not isinstance(value, dict):
        return []
    paths = []
    for key, child in value.items():
        child_path = f"{path}.{key}" if path else key
        paths += [child_path, *key_paths(child, child_path)]
    return paths


ALL_PATHS = key_paths(DOCUMENT)


def parent_and_key(document: Any, key_path: str) -> tuple[Any, str | int]:
    """Return the object or list that contains the value of a key path, and the last part of the path."""
    parts = [int(part) if part.isdecimal() else part for part in re.findall(r"[^.\[\]]+", key_path)]
    parent = document
    for part in parts[:-1]:
        parent = parent[part]
    return parent, parts[-1]


def document_with(key_path: str, value: object) -> dict[str, Any]:
    """Return the document with another value of a key."""
    document = copy.deepcopy(DOCUMENT)
    parent, key = parent_and_key(document, key_path)
    parent[key] = value
    return document


def document_without(key_path: str, base: dict[str, Any] = DOCUMENT) -> dict[str, Any]:
    """Return a document without a key."""
    document = copy.deepcopy(base)
    parent, key = parent_and_key(document, key_path)
    del parent[key]
    return document
