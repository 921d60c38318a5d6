"""The form of membership's datagrams, 256 bytes at most.

    form u8, kind u8, incarnation u32 of the sender, nonce u16, about u16; then entries: member u16,
    incarnation u32, status u8

All little-endian. ``about`` is the member that is to be asked in another's place.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.components.interface import MessageType
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram

MESSAGE_TYPE = MessageType.MEMBERSHIP
_HEADER = struct.Struct("<BBIHH")
_UPDATE_RECORD = struct.Struct("<HIB")
UPDATE_BYTES = _UPDATE_RECORD.size
MAX_UPDATES = (MAX_DATAGRAM_BYTES - _HEADER.size) // _UPDATE_RECORD.size


class MessageKind(IntEnum):
    """What a message wants."""

    PING = 1  # an answer
    ACK = 2
    PING_REQUEST = 3  # that another is pinged, and its answer passed on
    UPDATE = 4  # nothing


class MemberStatus(IntEnum):
    """How a member is held; of two at one incarnation the greater holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What the sender holds of one member."""

    member_index: int
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class SwimMessage:
    """One datagram."""

    kind: MessageKind
    incarnation: int
    nonce: int = 0
    target_index: int = 0
    updates: tuple[MemberUpdate, ...] = ()


def encode(message: SwimMessage) -> bytes:
    """The bytes of a datagram; ValueError for one that would be longer than may be sent."""
    if len(message.updates) > MAX_UPDATES:
        raise ValueError(f"{len(message.updates)} entries, {MAX_UPDATES} at most")
    head = _HEADER.pack(MESSAGE_TYPE, message.kind, message.incarnation, message.nonce, message.target_index)
    return head + b"".join(
        _UPDATE_RECORD.pack(e.member_index, e.incarnation, e.status) for e in message.updates
    )


def decode(data: bytes) -> SwimMessage | MalformedDatagram:
    """What a datagram says. Whatever it holds, no error is raised."""
    if (
        not _HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES
        or (len(data) - _HEADER.size) % _UPDATE_RECORD.size
    ):
        return MalformedDatagram(f"{len(data)} bytes")
    form, kind, incarnation, nonce, about = _HEADER.unpack_from(data)
    if form != MESSAGE_TYPE or kind not in MessageKind.__members__.values():
        return MalformedDatagram(f"form {form}, kind {kind}")
    entries: list[MemberUpdate] = []
    for member, told, status in _UPDATE_RECORD.iter_unpack(data[_HEADER.size :]):
        if status not in MemberStatus.__members__.values():
            return MalformedDatagram(f"status {status}")
        entries.append(MemberUpdate(member, told, MemberStatus(status)))
    return SwimMessage(MessageKind(kind), incarnation, nonce, about, tuple(entries))
