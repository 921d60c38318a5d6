"""The wire format of requests and responses, and datagrams that do not follow it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarthread.components.messages import MessageType
from cedarthread.escrow import codec
from cedarthread.escrow.codec import EscrowRequest, EscrowResponse
from tests.unit.escrow.builders import POOL, READY_MS, two_escrows

ANY_BYTES = st.binary(max_size=80)
BYTES_OF_THE_ESCROW_TYPE = st.binary(min_size=1, max_size=80).map(lambda body: b"\xc4" + body)


def test_messages_decode_as_they_were_encoded() -> None:
    for message in (EscrowRequest(1, 2**64 - 1, 3, 4), EscrowResponse(1, 2, 3, 2**64 - 1, 5, 6, 7, 8, 9, 10)):
        data = codec.encode(message)
        assert codec.decode(data) == message
        assert data[0] == MessageType.ESCROW
        assert len(data) < 80


@given(st.one_of(ANY_BYTES, BYTES_OF_THE_ESCROW_TYPE))
def test_no_bytes_raise_or_change_what_is_available(data: bytes) -> None:
    escrow, _ = two_escrows(100, is_consumable=True)
    assert not escrow.on_message(READY_MS, 1, data)
    assert escrow.available(READY_MS, POOL) == 50
    assert escrow.counters["unreadable"] + escrow.counters["unknown"] == 1
