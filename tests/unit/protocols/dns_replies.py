"""DNS replies of a discovery server, encoded byte by byte."""

from __future__ import annotations

import struct

from cedarthread.protocols import dns

QUERY_ID = 7  # query id of the replies that ``discovery_reply`` returns
RESPONSE_FLAGS = 0x8400  # a response, authoritative
TRUNCATED_FLAGS = 0x8600
NAME_ERROR_FLAGS = 0x8403
POINTER_TO_QUESTION = b"\xc0\x0c"


def encode_name(text: str) -> bytes:
    return b"".join(bytes((len(label),)) + label.encode() for label in text.split(".")) + b"\0"


def encode_record(owner: bytes, record_type: int, data: bytes) -> bytes:
    return owner + struct.pack(">HHIH", record_type, 1, 5, len(data)) + data


def discovery_reply(flags: int = RESPONSE_FLAGS, serial: int = 9) -> bytes:
    """Return a reply that lists one worker, under this serial."""
    question = encode_name("_back._tcp.pool.lan") + struct.pack(">2H", dns.TYPE_SRV, 1)
    host = encode_name("s-00c41f7a.east.hosts")
    service_record = encode_record(POINTER_TO_QUESTION, dns.TYPE_SRV, struct.pack(">3H", 1, 40, 5050) + host)
    soa_record = encode_record(
        POINTER_TO_QUESTION, dns.TYPE_SOA, b"\0\0" + struct.pack(">5I", serial, 1, 1, 1, 1)
    )
    txt_record = encode_record(host, dns.TYPE_TXT, b"\x08kind=std\x06cell=2\x0bstarted=120")
    address_record = encode_record(host, dns.TYPE_A, bytes((10, 1, 0, 9)))
    header = struct.pack(">6H", QUERY_ID, flags, 1, 1, 1, 2)
    return header + question + service_record + soa_record + address_record + txt_record
