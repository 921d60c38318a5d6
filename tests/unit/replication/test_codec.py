"""Decoding of datagrams and entries from arbitrary bytes."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.model.actions import SendToPeer
from cedarthread.replication import codec
from cedarthread.replication import entry as entries
from cedarthread.replication.entry import RejectedEntry
from cedarthread.replication.store import ReplicatedStore


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(st.binary(max_size=300), st.integers(0, 7))
def test_decoding_never_raises_and_encoding_restores_the_bytes(data: bytes, kind: int) -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    for datagram in (data, bytes((0xC3, kind)) + data):
        message = codec.decode(datagram)
        assert isinstance(message, MalformedDatagram) or codec.encode(message) == datagram
        for response in store.on_message(0.0, 1, datagram):
            assert isinstance(response, SendToPeer)
            assert len(response.data) <= MAX_DATAGRAM_BYTES
    entry = entries.decode(data)
    assert isinstance(entry, RejectedEntry) or entries.encode(entry) == data
