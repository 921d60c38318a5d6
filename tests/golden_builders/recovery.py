"""Datagrams of the recovery protocol that a router runs after a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.recovery import codec
from cedarthread.recovery.codec import BaselineRates, Busy, Query, Response
from cedarthread.recovery.codec import Message as RecoveryMessage
from cedarthread.recovery.warm_state import AgedObservation
from tests.golden_builders.sample import DatagramCodec

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample

RECOVERY_CODEC = DatagramCodec[RecoveryMessage](codec.encode, codec.decode)


def build_recovery() -> list[Sample]:
    """Return a message of each kind, and a response that needs several datagrams."""
    observations = [
        AgedObservation(
            number % 3, 50 + number % 3, 1000 + number, 49.0 * number, number % 4 > 0, number % 16
        )
        for number in range(60)
    ]
    rates = BaselineRates(1.25, 0.5)
    messages: dict[str, RecoveryMessage] = {
        "ask": Query(2**32 - 1, 3, 4),
        "busy": Busy(9, 750.0, 12),
        "busy naming nobody": Busy(9, 1e9),
        "tell nothing": Response(9, 0, 1, None, 0.0),
        "tell rates": Response(9, 0, 1, 0.5, 12300.0, tuple(observations[:3]), rates),
    }
    groups = codec.split_into_datagrams(observations)
    for number, group in enumerate(groups):
        messages[f"part {number}"] = Response(9, number, len(groups), 1.0, 1e9, tuple(group))
    return RECOVERY_CODEC.samples(messages)
