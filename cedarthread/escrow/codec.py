"""The form of the grants' datagrams, all of fixed size and far below 256 bytes.

    ask:    form u8, kind u8, pool u64, life u64, nonce u32, wanted u32
    answer: form u8, kind u8, pool u64, life u64, serial u32, asker's life u64, nonce u32, amount u32,
            term u32 in ms, total u32 as the giver knows it, room u32 left there, hint u16

All little-endian. A pool's name is hashed to 64 bits. An answer of amount 0 says that its sender has none.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

from cedarthread.components.interface import MessageType
from cedarthread.gossip.codec import MalformedDatagram

NO_HINT = 0xFFFF  # a hint that names nobody
MAX_AMOUNT = 2**32 - 1  # of any amount on the wire
_REQUEST_KIND, _RESPONSE_KIND = 1, 2
_REQUEST = struct.Struct("<BBQQII")
_RESPONSE = struct.Struct("<BBQQIQIIIIIH")


@dataclass(frozen=True, slots=True)
class EscrowRequest:
    """``wanted``: of a rate all that the asker would have of the asked one; of a count so much more."""

    pool_key: int
    incarnation: int
    nonce: int
    requested: int


@dataclass(frozen=True, slots=True)
class EscrowResponse:
    """A grant, or that there is none. Its id is the sender, ``life`` and ``serial``."""

    pool_key: int
    incarnation: int
    serial: int
    requester_incarnation: int  # the asker's life, and the nonce of its ask
    nonce: int
    amount: int
    term_ms: int  # ms from when the ask was sent; 0: for good
    total: int
    available: int
    hinted_peer: int = NO_HINT


def pool_key(name: str) -> int:
    """A pool's name in 64 bits."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "little")


def encode(message: EscrowRequest | EscrowResponse) -> bytes:
    """The bytes of a datagram."""
    m = message
    if isinstance(m, EscrowRequest):
        return _REQUEST.pack(
            MessageType.ESCROW,
            _REQUEST_KIND,
            m.pool_key,
            m.incarnation,
            m.nonce,
            min(m.requested, MAX_AMOUNT),
        )
    ids = (m.pool_key, m.incarnation, m.serial, m.requester_incarnation, m.nonce, m.amount, m.term_ms)
    return _RESPONSE.pack(
        MessageType.ESCROW,
        _RESPONSE_KIND,
        *ids,
        min(m.total, MAX_AMOUNT),
        min(m.available, MAX_AMOUNT),
        m.hinted_peer,
    )


def decode(data: bytes) -> EscrowRequest | EscrowResponse | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if data[:1] != bytes((MessageType.ESCROW,)):
        return MalformedDatagram("not of this form")
    if len(data) == _REQUEST.size and data[1] == _REQUEST_KIND:
        return EscrowRequest(*_REQUEST.unpack(data)[2:])
    if len(data) == _RESPONSE.size and data[1] == _RESPONSE_KIND:
        return EscrowResponse(*_RESPONSE.unpack(data)[2:])
    return MalformedDatagram(f"kind {data[1:2].hex()}, {len(data)} bytes")
