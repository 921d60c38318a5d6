"""Wire format of membership messages (SWIM), at most 256 bytes a datagram.

All integers are little-endian and unsigned:

    header    message type u8, kind u8, sender's incarnation u32, nonce u16, target u16
    update    member u16, incarnation u32, status u8                             repeated to the end

The target is the member that a ping request wants probed, and that an acknowledgement relayed in answer to it
comes from.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from cedarthread.components.datagram_fields import (
    MalformedDatagram,
    check_record_count,
    max_records,
    read_records,
)
from cedarthread.components.messages import MessageType

MESSAGE_TYPE = MessageType.MEMBERSHIP
_HEADER = struct.Struct("<BBIHH")
_UPDATE_RECORD = struct.Struct("<HIB")
UPDATE_BYTES = _UPDATE_RECORD.size
MAX_UPDATES = max_records(_HEADER.size, _UPDATE_RECORD)


class MessageKind(IntEnum):
    """What a message wants of its receiver."""

    PING = 1  # an acknowledgement
    ACK = 2  # nothing: it answers a ping
    PING_REQUEST = 3  # to ping another member, and to pass on its acknowledgement
    UPDATE = 4  # nothing: it only carries updates


class MemberStatus(IntEnum):
    """The state of a member; of two at one incarnation the greater overrides the other."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The sender's view of one member."""

    member_index: int
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class SwimMessage:
    """One datagram."""

    kind: MessageKind
    incarnation: int
    nonce: int = 0  # returned in the acknowledgement
    target_index: int = 0
    updates: tuple[MemberUpdate, ...] = ()


def encode(message: SwimMessage) -> bytes:
    """The bytes of a datagram; `ValueError` if it would be longer than may be sent."""
    check_record_count(message.updates, MAX_UPDATES)
    header = _HEADER.pack(
        MESSAGE_TYPE, message.kind, message.incarnation, message.nonce, message.target_index
    )
    return header + b"".join(
        _UPDATE_RECORD.pack(update.member_index, update.incarnation, update.status)
        for update in message.updates
    )


def decode(data: bytes) -> SwimMessage | MalformedDatagram:
    """Read a datagram; bytes that are none give a value, never an exception."""
    records = read_records(data, _HEADER.size, _UPDATE_RECORD)
    if isinstance(records, MalformedDatagram):
        return records
    message_type, kind, incarnation, nonce, target_index = _HEADER.unpack_from(data)
    if message_type != MESSAGE_TYPE or kind not in MessageKind.__members__.values():
        return MalformedDatagram(f"form {message_type}, kind {kind}")
    updates: list[MemberUpdate] = []
    for member_index, member_incarnation, status in records:
        if status not in MemberStatus.__members__.values():
            return MalformedDatagram(f"status {status}")
        updates.append(MemberUpdate(member_index, member_incarnation, MemberStatus(status)))
    return SwimMessage(MessageKind(kind), incarnation, nonce, target_index, tuple(updates))
