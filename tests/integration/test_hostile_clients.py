"""Floods of hostile clients at a real router process, judged by its memory and a calm client beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.hostile.flood import FloodSpec, Style
from cedarthread.testing.hostile.messages import MessageKind
from cedarthread.testing.hostile.rig import FloodResult, RigSetup, flood_rig
from cedarthread.testing.hostile.workers import Behavior

if TYPE_CHECKING:
    from pathlib import Path

MEMORY_MB = 96
CALM_LIMIT_MS = 1000.0
MIN_CALM_SERVED = 0.95
MAX_HEALTH_MEDIAN_MS = 100.0
# Memory may differ by this much between two equal loads, because of the allocator and the garbage collector.
NOISE_MB = 5.0


def assert_calm_client_was_served(result: FloodResult) -> None:
    """Assert that the client beside the flood got its answers in time."""
    calm = result.calm
    assert result.is_alive
    assert calm.served_within(CALM_LIMIT_MS) >= MIN_CALM_SERVED
    assert calm.health_percentile_ms(0.5) <= MAX_HEALTH_MEDIAN_MS


# Guards against a record for each name that a client invents: in pre-production nodes were killed for memory.
def test_calls_of_ever_new_functions_do_not_grow_the_memory_without_end(tmp_path: Path) -> None:
    """Conforming clients, 32 open calls each; the workers fail every call, as in the report's counts."""
    flood = FloodSpec(MessageKind.UNSAFE, connections=8, window=32, seconds=8.0)
    with flood_rig(tmp_path, RigSetup(MEMORY_MB, service_ms=100.0, behavior=Behavior.FAIL)) as rig:
        once = rig.run([flood])
        twice = rig.run([flood])
    assert twice.is_alive
    assert twice.peak_mb < MEMORY_MB
    assert twice.after_mb - once.after_mb <= NOISE_MB


# Guards against a turn that lasts for as long as one client goes on sending.
def test_a_flood_on_one_connection_leaves_turns_to_other_clients(tmp_path: Path) -> None:
    with flood_rig(tmp_path, RigSetup(MEMORY_MB)) as rig:
        result = rig.run([FloodSpec(MessageKind.CALLS)])
    assert_calm_client_was_served(result)


# Guards against events that no limit counts: all that one client sends in one turn.
def test_interrupted_calls_stay_within_the_memory(tmp_path: Path) -> None:
    with flood_rig(tmp_path, RigSetup(MEMORY_MB)) as rig:
        result = rig.run([FloodSpec(MessageKind.INTERRUPTS)])
    assert result.is_alive
    assert result.peak_mb < MEMORY_MB


# Guards against a cache of texts that clients choose: 4,096 texts of 64 KiB each.
def test_long_properties_stay_within_the_memory(tmp_path: Path) -> None:
    with flood_rig(tmp_path, RigSetup(MEMORY_MB)) as rig:
        result = rig.run([FloodSpec(MessageKind.LONG_PROPERTIES)])
    assert result.is_alive
    assert result.peak_mb < MEMORY_MB


SECONDS = 3.0
MANY_CONNECTIONS = 100  # under a third of the descriptors, which clients may hold
FLOODS = {
    "calls of many connections": FloodSpec(MessageKind.CALLS, connections=8, seconds=SECONDS),
    "calls without reading": FloodSpec(MessageKind.NEW_NAMES, reads=False, seconds=SECONDS),
    "interrupts of many connections": FloodSpec(MessageKind.INTERRUPTS, connections=8, seconds=SECONDS),
    "expiring calls": FloodSpec(MessageKind.SHORT_LIMITS, connections=4, seconds=SECONDS),
    "calls and closes": FloodSpec(MessageKind.NEW_NAMES, Style.CHURN, 4, seconds=SECONDS),
    "calls and resets": FloodSpec(MessageKind.NEW_NAMES, Style.RESET, 4, seconds=SECONDS),
    "bad requests": FloodSpec(MessageKind.BAD_REQUESTS, connections=8, seconds=SECONDS),
    "bad requests without reading": FloodSpec(
        MessageKind.BAD_REQUESTS, connections=MANY_CONNECTIONS, reads=False, seconds=SECONDS
    ),
    "notifications": FloodSpec(MessageKind.NOTIFICATIONS, connections=8, seconds=SECONDS),
    "half messages": FloodSpec(style=Style.HALF, connections=MANY_CONNECTIONS, seconds=SECONDS),
    "slow messages": FloodSpec(style=Style.SLOW, connections=MANY_CONNECTIONS, seconds=SECONDS),
    "many fields": FloodSpec(style=Style.MANY_FIELDS, connections=MANY_CONNECTIONS, seconds=SECONDS),
}


# Guards against floods that starve other clients or exceed the memory limit, whatever the clients send.
@pytest.mark.parametrize("name", FLOODS)
def test_a_flood_leaves_the_memory_and_other_clients_alone(tmp_path: Path, name: str) -> None:
    with flood_rig(tmp_path, RigSetup(MEMORY_MB)) as rig:
        result = rig.run([FLOODS[name]])
    assert_calm_client_was_served(result)
    assert result.peak_mb < MEMORY_MB
