"""Wire format of membership messages (SWIM), at most 256 bytes a datagram.

All integers are little-endian and unsigned:

    header    message type u8, kind u8, sender's incarnation u32, nonce u16, target u16
    update    member u16, incarnation u32, status u8                             repeated to the end

In a ping request, the target is the member to ping. In a relayed acknowledgement, the target is the member
that acknowledged the ping.
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
    """The kind of a message, which determines the receiver's reply."""

    PING = 1  # the receiver replies with an acknowledgement
    ACK = 2  # the receiver relays the acknowledgement if the ping was requested by another member
    PING_REQUEST = 3  # the receiver pings the target and relays the acknowledgement
    UPDATE = 4  # the receiver sends no reply; the message only carries updates


class MemberStatus(IntEnum):
    """The state of a member; at the same incarnation, the greater state overrides the other."""

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
    """The content of one datagram."""

    kind: MessageKind
    incarnation: int
    nonce: int = 0  # nonce of a ping or a ping request; an acknowledgement repeats the nonce of its ping
    target_index: int = 0
    updates: tuple[MemberUpdate, ...] = ()


def encode(message: SwimMessage) -> bytes:
    """Encode a datagram.

    Raises:
        ValueError: The message has more than ``MAX_UPDATES`` updates.
    """
    check_record_count(message.updates, MAX_UPDATES)
    header = _HEADER.pack(
        MESSAGE_TYPE, message.kind, message.incarnation, message.nonce, message.target_index
    )
    return header + b"".join(
        _UPDATE_RECORD.pack(update.member_index, update.incarnation, update.status)
        for update in message.updates
    )


def decode(data: bytes) -> SwimMessage | MalformedDatagram:
    """Decode a datagram; invalid input returns a ``MalformedDatagram`` and raises no exception."""
    records = read_records(data, _HEADER.size, _UPDATE_RECORD)
    if isinstance(records, MalformedDatagram):
        return records
    message_type, kind, incarnation, nonce, target_index = _HEADER.unpack_from(data)
    if message_type != MESSAGE_TYPE or kind not in MessageKind.__members__.values():
        return MalformedDatagram(f"unexpected message type {message_type} or unknown message kind {kind}")
    updates: list[MemberUpdate] = []
    for member_index, member_incarnation, status in records:
        if status not in MemberStatus.__members__.values():
            return MalformedDatagram(f"unknown member status {status}")
        updates.append(MemberUpdate(member_index, member_incarnation, MemberStatus(status)))
    return SwimMessage(MessageKind(kind), incarnation, nonce, target_index, tuple(updates))
