"""Wire format of escrow datagrams: requests of 26 bytes and responses of 52 bytes, all numbers little-endian.

    request   type u8, kind u8, pool key u64, incarnation u64, nonce u32, requested u32
    response  type u8, kind u8, pool key u64, incarnation u64, serial u32, requester's incarnation u64,
              nonce u32, amount u32, term u32 ms, total known to the responder u32, units available at
              the responder u32, hinted peer u16

A pool's key is a hash of its name. A response of amount 0 is a denial.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType

NO_HINT = 0xFFFF  # value of ``hinted_peer`` in a response without a hint
NONCE_MODULUS = 2**32  # nonces wrap at 32 bits
MAX_AMOUNT = 2**32 - 1  # the greatest number of units that the wire format can carry
_REQUEST_KIND = 1
_RESPONSE_KIND = 2
_REQUEST = struct.Struct("<BBQQII")
_RESPONSE = struct.Struct("<BBQQIQIIIIIH")


@dataclass(frozen=True, slots=True)
class EscrowRequest:
    """A request to one peer for units.

    For a rate pool, ``requested`` is all that the sender would borrow from this peer, including units
    that the sender has already borrowed. For a count pool, ``requested`` is the number of additional units.
    """

    pool_key: int
    incarnation: int
    nonce: int
    requested: int


@dataclass(frozen=True, slots=True)
class EscrowResponse:
    """A grant or a denial. Sender, ``incarnation`` and ``serial`` identify a grant."""

    pool_key: int
    incarnation: int
    serial: int
    requester_incarnation: int
    nonce: int  # nonce of the request
    amount: int
    term_ms: int  # term from when the request was sent; 0 if the units are transferred permanently
    total: int
    available: int
    hinted_peer: int = NO_HINT


def pool_key(name: str) -> int:
    """Return the 64-bit key of a pool's name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "little")


def encode(message: EscrowRequest | EscrowResponse) -> bytes:
    """Encode a message as a datagram; amounts above ``MAX_AMOUNT`` are clamped."""
    if isinstance(message, EscrowRequest):
        return _REQUEST.pack(
            MessageType.ESCROW,
            _REQUEST_KIND,
            message.pool_key,
            message.incarnation,
            message.nonce,
            min(message.requested, MAX_AMOUNT),
        )
    return _RESPONSE.pack(
        MessageType.ESCROW,
        _RESPONSE_KIND,
        message.pool_key,
        message.incarnation,
        message.serial,
        message.requester_incarnation,
        message.nonce,
        message.amount,
        message.term_ms,
        min(message.total, MAX_AMOUNT),
        min(message.available, MAX_AMOUNT),
        message.hinted_peer,
    )


def decode(data: bytes) -> EscrowRequest | EscrowResponse | MalformedDatagram:
    """Decode a datagram. Malformed bytes yield a ``MalformedDatagram``; the function never raises."""
    if data[:1] != bytes((MessageType.ESCROW,)):
        return MalformedDatagram("not an escrow datagram")
    if len(data) == _REQUEST.size and data[1] == _REQUEST_KIND:
        return EscrowRequest(*_REQUEST.unpack(data)[2:])
    if len(data) == _RESPONSE.size and data[1] == _RESPONSE_KIND:
        return EscrowResponse(*_RESPONSE.unpack(data)[2:])
    return MalformedDatagram(f"invalid kind or length: kind {data[1:2].hex()}, {len(data)} bytes")
