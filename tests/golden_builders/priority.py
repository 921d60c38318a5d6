"""Datagrams with the pressure of each router, from which the cluster's overload level is computed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.priority import codec
from cedarthread.priority.codec import RouterPressure
from tests.golden_builders.sample import DatagramCodec

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.golden_builders.sample import Sample


def _encode(pressures: Sequence[RouterPressure]) -> bytes:
    return codec.encode(list(pressures))


PRIORITY_CODEC = DatagramCodec["Sequence[RouterPressure]"](_encode, codec.decode)


def build_pressure() -> list[Sample]:
    """Return a datagram with one router and one with the maximum number of routers."""
    full = [
        RouterPressure(index, index / 10, 1.7**index if index < 20 else 1e6, 333.0 * index)
        for index in range(codec.MAX_ENTRIES)
    ]
    return PRIORITY_CODEC.samples({"own": [RouterPressure(0, 1.0, 250.0, 0.0)], "filled up": full})
