"""Builders of sync requests and responses for the tests of the replicated store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.model.actions import SendToPeer
from cedarthread.replication import codec

if TYPE_CHECKING:
    from cedarthread.replication.store import ReplicatedStore


class SentRequest(NamedTuple):
    """A sync request that a store sent, and its peer."""

    peer: int
    request: codec.SyncRequest


def next_request(store: ReplicatedStore, now_ms: float) -> SentRequest:
    """Tick a store that is past its bootstrap, and return the one sync request that it sends."""
    store.sessions.fully_read_peers.update(store.all_peers)
    (message,) = (message for message in store.on_tick(now_ms) if isinstance(message, SendToPeer))
    request = codec.decode(message.data)
    assert isinstance(request, codec.SyncRequest)
    assert message.peer_index is not None
    return SentRequest(message.peer_index, request)


def response_to(request: codec.SyncRequest) -> bytes:
    """Encode the response of a voter without entries."""
    response = codec.SyncResponse(
        nonce=request.nonce,
        root_digest=0,
        incarnation=9,
        is_voter=True,
        age_step_ms=100,
        first_router=0,
        ages=b"",
    )
    return codec.encode(response)
