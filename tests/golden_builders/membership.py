"""Datagrams of the membership protocol (SWIM)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.membership import codec
from cedarthread.membership.codec import MemberStatus, MemberUpdate, MessageKind, SwimMessage
from tests.golden_builders.sample import DatagramCodec

if TYPE_CHECKING:
    from tests.golden_builders.sample import Sample

MEMBERSHIP_CODEC = DatagramCodec[SwimMessage](codec.encode, codec.decode)
STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD)


def build_membership() -> list[Sample]:
    """Return a message of each kind; the last one has the maximum number of updates of a datagram."""
    updates = tuple(MemberUpdate(index, 1000 + index, STATUSES[index % 3]) for index in range(5))
    full = tuple(MemberUpdate(index, index, STATUSES[index % 3]) for index in range(codec.MAX_UPDATES))
    return MEMBERSHIP_CODEC.samples(
        {
            "ping": SwimMessage(MessageKind.PING, 3, 17),
            "answer": SwimMessage(MessageKind.ACK, 4, 17, 0, updates),
            "ask for another": SwimMessage(MessageKind.PING_REQUEST, 2**32 - 1, 65535, 9, updates[:1]),
            "news filled up": SwimMessage(MessageKind.UPDATE, 5, 0, 0, full),
        }
    )
