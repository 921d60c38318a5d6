"""A router's part in the anti-entropy protocol: its sync requests, and its handling of peers' messages.

``SyncExchange`` connects the schedule of requests, the sessions, the server and the replica. It is their only
writer, apart from the operators' and the host's changes through ``ReplicatedStore``.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cedarthread.replication.codec import encode_to
from cedarthread.replication.messages import (
    EntryFragment,
    FetchRequest,
    Message,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
)
from cedarthread.replication.peer_records import PeerRecords
from cedarthread.replication.state import entry_ref

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cedarthread.model.actions import SendToPeer
    from cedarthread.replication.entry import EncodedEntry
    from cedarthread.replication.local_replica import LocalReplica
    from cedarthread.replication.sync_requests import SyncRequests
    from cedarthread.replication.sync_server import SyncServer
    from cedarthread.replication.sync_session import SyncSessions

MAX_TICK_GAP_MS = 2000.0  # after a longer pause, this router's open requests and sessions are dropped
BOOTSTRAP_PEERS = 8  # peers to read completely after a start before proceeding without a majority of voters


class SyncExchange:
    """The exchange of one router with its peers.

    Times are in ms on this router's monotonic clock.

    Args:
        replica: This router's entries.
        requests: Schedule of this router's sync requests.
        sessions: Sessions that fetch entries from peers.
        server: Responds to peers from the replica.
        now_ms: Start of this incarnation.
    """

    def __init__(
        self,
        replica: LocalReplica,
        requests: SyncRequests,
        sessions: SyncSessions,
        server: SyncServer,
        now_ms: float,
    ) -> None:
        self.replica = replica
        self.requests = requests
        self.sessions = sessions
        self.server = server
        self.peers = PeerRecords()
        self.last_active_at_ms = now_ms
        self.store_generation = 0  # generation of this router's disk; the host sets it
        self.unix_ms = math.nan  # wall clock that responses carry; the host sets it

    def has_completed_bootstrap(self) -> bool:
        """Return whether this incarnation has read several peers completely.

        Callers use this when a majority are not voters, so that no router can become fresh. If one half of
        the peers store an entry, then eight random peers all lack that entry in 1 of 256 cases.
        """
        return len(self.sessions.fully_read_peers) >= min(BOOTSTRAP_PEERS, len(self.requests.all_peers))

    def on_tick(self, now_ms: float) -> list[SendToPeer]:
        """Return the sync requests that are due and the retries of sessions."""
        messages: list[SendToPeer] = []
        if (peer := self.requests.next_due_peer(now_ms)) is not None:
            messages.append(self.request_sync(now_ms, peer))
        if not self.replica.freshness.is_voter and not self.has_completed_bootstrap():
            peers = self.requests.bootstrap_peers(self.sessions.fully_read_peers)
            messages += [self.request_sync(now_ms, peer) for peer in peers]
        messages += self.sessions.on_tick(now_ms)
        return messages

    def on_message(self, now_ms: float, sender: int, message: Message) -> Sequence[SendToPeer]:
        """Process a peer's message and return the messages to send."""
        if isinstance(message, SyncRequest):
            return self._on_sync_request(now_ms, sender, message)
        if isinstance(message, SyncResponse):
            return self._on_sync_response(now_ms, sender, message)
        if isinstance(message, SummaryRequest):
            return self.server.summaries(now_ms, sender, message)
        if isinstance(message, Summary):
            return self.sessions.on_summary(now_ms, sender, message)
        if isinstance(message, FetchRequest):
            return self.server.requested_fragments(now_ms, sender, message)
        self._on_fragment(now_ms, message)
        return []

    def reset_after_pause(self, now_ms: float) -> None:
        """Drop open requests and sessions if this router has been paused since its last activity.

        After a pause the send times of open requests would appear more recent than they are.
        """
        if now_ms - self.last_active_at_ms > MAX_TICK_GAP_MS:
            self.requests.clear()
            self.sessions.clear_sessions()
        self.last_active_at_ms = max(self.last_active_at_ms, now_ms)

    def request_sync(self, now_ms: float, peer: int) -> SendToPeer:
        """Open a sync request to a peer and return its datagram."""
        root_digest = self.replica.state.root_digest
        return encode_to(self.requests.open(now_ms, peer, root_digest, self.store_generation), peer)

    def merge(self, now_ms: float, encoded: EncodedEntry) -> None:
        """Join an entry into the replica; a pending fetch of the entry ends."""
        self.replica.merge(now_ms, encoded)
        self.sessions.drop_fetch(entry_ref(encoded.entry, encoded.digest))

    def _on_sync_request(self, now_ms: float, sender: int, request: SyncRequest) -> list[SendToPeer]:
        """Respond, and request the peer's state in return if the peer's root digest is not covered here.

        Such reverse requests are sent at most once per period.
        """
        self.peers.record_incarnation(sender, request.incarnation)
        if not self.server.admit(now_ms, request):
            return []
        remembered = self.peers.record_generation(sender, request)
        messages = self.server.respond(now_ms, sender, request, remembered, self.unix_ms)
        is_covered = request.root_digest in self.replica.state.covered_roots
        if not is_covered and self.requests.allow_reverse_request(now_ms):
            messages.append(self.request_sync(now_ms, sender))
        return messages

    def _on_sync_response(self, now_ms: float, sender: int, response: SyncResponse) -> list[SendToPeer]:
        request = self.requests.close(response.nonce, sender)
        if request is None:
            return []
        self.peers.record_incarnation(sender, response.incarnation)
        self.peers.record_response(now_ms, sender, request.sent_at_ms, response)
        return self.sessions.start(now_ms, sender, request.sent_at_ms, response)

    def _on_fragment(self, now_ms: float, fragment: EntryFragment) -> None:
        encoded = self.sessions.on_fragment(fragment)
        if encoded is not None:
            self.merge(now_ms, encoded)
            self.sessions.advance_all(now_ms)
