"""Datagrams of the quota escrow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.escrow import codec
from cedarthread.escrow.codec import EscrowRequest, EscrowResponse
from tests.golden_builders.sample import DatagramCodec

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample

ESCROW_CODEC = DatagramCodec[EscrowRequest | EscrowResponse](codec.encode, codec.decode)


def build_escrow() -> list[Sample]:
    """Return requests and responses, with ordinary and with extreme values."""
    pool = codec.pool_key("tenant/shop")
    return ESCROW_CODEC.samples(
        {
            "ask": EscrowRequest(pool, 2**64 - 1, 7, 12),
            "ask for most": EscrowRequest(pool, 1, 2**32 - 1, 2**40),
            "answer": EscrowResponse(pool, 1, 2, 3, 4, 5, 4000, 1000, 60, 2),
            "answer none": EscrowResponse(pool, 1, 3, 3, 4, 0, 0, 2**40, 0),
        }
    )
