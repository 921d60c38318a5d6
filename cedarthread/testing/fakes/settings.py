"""Default settings of tests, in the platform's format: the base for fakes, clusters and fuzzing."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "classes": [
        {"name": "check", "goal-time": 1200, "deadline": 5000, "effect": "retryable", "value": 2},
        {
            "name": "revise",
            "goal-time": 800,
            "deadline": 5000,
            "effect": "dedup",
            "group": "zone",
            "repeat-window": 3000,
            "value": 5,
        },
        {"name": "confirm", "goal-time": 1500, "deadline": 5000, "effect": "fragile", "value": 5},
    ],
    "kinds": ["std"],
    "limits": {
        "cancel": True,
        "connect-timeout": 250,
        "conn-idle": 30000,
        "send-cap": 4,
        "most-held": 100,
        "streams-per-conn": 32,
        "retry-after": True,
        "max-retry-after": 500,
    },
    "localities": ["room-a"],
    # No slow start: a worker has its full capacity at once.
    "obligations": {
        "answer-slack": 8,
        "stop-sending-within": 500,
        "cold-from": 1,
        "warm-after": 0,
        "overload-factor": 1,
        "fall": 0,
    },
    "report": {"columns": ["inflight", "x1"], "how": "answers"},
    "specifics": {"keep-alive": 8700, "order-limit": 10000},
}
