"""The replicated store: the component that keeps operator entries alike at all routers by anti-entropy.

Each router asks one random peer per period for its root digest and fetches what it lacks. A response counts
as a confirmation from when it was asked for, and only once all of the peer's state is held here. What follows
from confirmations (freshness, replication to a majority) is in ``freshness.py`` and ``majority.py``. Steps 1
to 13 of docs/design/register.md.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, NamedTuple

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, PeersChanged
from cedarthread.replication.codec import (
    EntryFragment,
    FetchRequest,
    Message,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
    decode,
    encode_to,
)
from cedarthread.replication.entry import EncodedEntry, RejectedEntry
from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.local_replica import LocalReplica
from cedarthread.replication.state import DIGEST_MODULUS, entry_ref
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_server import SyncServer
from cedarthread.replication.sync_session import SyncSessions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry
    from cedarthread.model.actions import SendToPeer

MAX_TICK_GAP_MS = 2000.0  # after a longer pause of this router its open requests and sessions do not count
MAX_TICK_INTERVAL_MS = 250.0  # the host calls on_tick at least this often
ASSUMED_LOSS = 0.2  # of datagrams, that the default window allows for
BOOTSTRAP_PEERS = 8  # peers to read completely after a start before acting without a majority of voters
_RNG_SALT = 0x5245_4749  # so that components with the same seed draw differently


def default_window_ms(period_ms: float, router_count: int) -> float:
    """The freshness window V by the formula of the design page, step 10: the rounds that requests need to
    reach all.
    """
    rounds = math.log2(router_count) + math.log(router_count) + 6.0
    return period_ms * rounds / (1.0 - ASSUMED_LOSS) ** 2


class PeerClockSample(NamedTuple):
    """A peer's wall clock in its sync response, and when the response was asked for and received on this
    clock.
    """

    unix_ms: float
    sent_at_ms: float
    received_at_ms: float


class ReplicatedStore:
    """One router's replicated store: a ``Component``, and the ``ReplicatedState`` that other components read.

    Times are in ms on this router's steady clock. ``seed`` must differ from incarnation to incarnation, and
    the object be made after the former incarnation has ended. ``window_ms`` is the freshness window, 0 for
    the default; it must be the same at all routers. ``is_durable``: the host persists changes, reports them
    by ``mark_persisted``, and may restore this router as a voter.
    """

    message_types = frozenset((int(MessageType.REPLICATION),))
    requests_type: type[SyncRequests] = SyncRequests
    server_type: type[SyncServer] = SyncServer

    def __init__(
        self,
        router_index: int,
        router_count: int,
        incarnation: int,
        seed: int,
        *,
        period_ms: float = 400.0,
        window_ms: float = 0.0,
        clock_rate: float = 0.001,
        now_ms: float = 0.0,
        is_durable: bool = False,
    ) -> None:
        self.router_index, self.router_count = router_index, router_count
        self.incarnation = incarnation % DIGEST_MODULUS
        self.window_ms = window_ms or default_window_ms(period_ms, router_count)
        rng = random.Random(seed ^ incarnation << 64 ^ _RNG_SALT)
        freshness = FreshnessTracker(
            router_index, router_count, window_ms=self.window_ms, clock_rate=clock_rate, now_ms=now_ms
        )
        self.staleness_bound_ms = self.window_ms * freshness.clock_drift_factor + MAX_TICK_INTERVAL_MS
        self.replica = LocalReplica(router_index, self.incarnation, freshness, is_durable)
        self.requests = self.requests_type(
            router_index, router_count, self.incarnation, period_ms=period_ms, rng=rng, now_ms=now_ms
        )
        self.sessions = SyncSessions(self.replica, rng)
        self.server = self.server_type(self.replica, router_count, rng, now_ms)
        self.last_active_at_ms = now_ms
        self.undecodable_count = 0
        self.peer_incarnations: dict[int, int] = {}
        self.peer_restart_count = 0
        self.store_generation = 0  # of this router's disk; the host sets it
        self.peer_generations: dict[int, int] = {}  # of peers' disks, the greatest that each has reported
        self.generation_known_to_peer: dict[int, int] = {}  # of this router's disk, as each peer remembers it
        self.unix_ms = math.nan  # the wall clock that peers are told; the host sets it
        self.peer_clock_samples: dict[int, PeerClockSample] = {}  # since the host last cleared them

    # For operators and the host.

    def propose(
        self,
        now_ms: float,
        kind: EntryKind,
        name: str,
        body: bytes,
        canonical_body: Callable[[bytes], bytes] | None = None,
    ) -> Entry | RejectedEntry:
        """Declare an entry at this router. If an entry of the same meaning is held, that one is returned
        unchanged.

        ``canonical_body`` gives a body's meaning as bytes, by default the body itself.
        """
        prepared = self.replica.prepare(kind, name, body, canonical_body)
        if not isinstance(prepared, EncodedEntry):
            return prepared
        self._merge(now_ms, prepared)
        self.replica.update_freshness(now_ms)
        return prepared.entry

    def restore(self, entries: Iterable[Entry], is_voter: bool, now_ms: float = 0.0) -> None:
        """Take what the disk had at the start. ``is_voter``: the disk is known to be complete and no older
        than what this router told peers, so nothing is forgotten.
        """
        for entry in entries:
            self._merge(now_ms, EncodedEntry.of(entry))
        self.replica.freshness.is_voter = self.replica.freshness.is_voter or is_voter
        self.replica.mark_persisted(now_ms, self.replica.revision)

    @property
    def revision(self) -> int:
        """Counts changes of the entries held."""
        return self.replica.revision

    @property
    def is_voter(self) -> bool:
        """Whether this router counts for majorities."""
        return self.replica.freshness.is_voter

    @property
    def all_peers(self) -> Sequence[int]:
        """All configured peers, alive or not."""
        return self.requests.all_peers

    def set_durable(self, is_durable: bool) -> None:
        """Whether the host persists changes from now on."""
        self.replica.is_durable = is_durable

    def snapshot(self) -> tuple[Entry, ...]:
        """All entries, for the disk; ``revision`` says which state of them it is."""
        return tuple(record.entry for record in self.replica.state.records.values())

    def mark_persisted(self, now_ms: float, revision: int) -> None:
        """The state of that ``revision`` is on the disk."""
        self.replica.mark_persisted(now_ms, revision)

    def take_changes(self) -> tuple[ReplicatedEntry, ...]:
        """Entries that came, changed or became replicated to a majority since the last call."""
        return self.replica.take_changes()

    def has_read_enough_peers(self) -> bool:
        """Whether this incarnation has read several peers completely.

        An entry that one peer in eight holds is then missed once in 256 times, if half of them remember it.
        Used where a majority are not voters, so that freshness says nothing.
        """
        return len(self.sessions.fully_read_peers) >= min(BOOTSTRAP_PEERS, len(self.requests.all_peers))

    # For other components.

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, sorted by name."""
        return self.replica.state.entries(kind)

    def is_fresh(self, now_ms: float) -> bool:
        """Whether a majority of the configured routers has confirmed lately that this one lacks nothing of
        theirs.
        """
        return self.replica.freshness.is_fresh(now_ms)

    def fresh_since(self, now_ms: float) -> float | None:
        """Since when the state has been fresh without a break; None: it is not."""
        return self.replica.freshness.fresh_since(now_ms)

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Figures for ``INFO``."""
        freshness, records = self.replica.freshness, self.replica.state.records.values()
        since = freshness.fresh_since(now_ms)
        return {
            "register_entries": str(len(records)),
            "register_root": f"{self.replica.state.root_digest:016x}",
            "register_unsettled": str(sum(record.replicated_at_ms is None for record in records)),
            "register_fresh": "no" if since is None else f"for {max(0.0, now_ms - since) / 1000:.1f} s",
            "register_seated": "yes" if freshness.is_voter else "no",
            "register_read": f"{freshness.count_recently_read(now_ms)} of {self.router_count}",
            "register_bound": f"{self.staleness_bound_ms:.0f} ms",
            "register_restarts": str(self.peer_restart_count),
            "register_unreadable": str(self.undecodable_count + self.sessions.fragments.invalid_count),
            "register_unanswered": str(self.server.unanswered_count),
        }

    # The component interface.

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Requests go to the peers that are alive."""
        if isinstance(notification, PeersChanged):
            self.requests.set_alive(notification.alive_peers)
        return []

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Send sync requests that are due and retry sessions; called several times a second."""
        self._note_activity(now_ms)
        messages = self.replica.take_logs()
        if (peer := self.requests.allow_request(now_ms)) is not None:
            messages.append(self._request_sync(now_ms, peer))
        if not self.replica.freshness.is_voter and not self.has_read_enough_peers():
            peers = self.requests.bootstrap_peers(self.sessions.fully_read_peers)
            messages += [self._request_sync(now_ms, peer) for peer in peers]
        messages += self.sessions.on_tick(now_ms)
        return messages

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a peer's datagram. Never raises, whatever the bytes are."""
        message = decode(data)
        if (
            isinstance(message, MalformedDatagram)
            or not 0 <= sender < self.router_count
            or sender == self.router_index
        ):
            self.undecodable_count += 1
            return []
        self._note_activity(now_ms)
        answers = self._handle(now_ms, sender, message)
        return [*self.replica.take_logs(), *answers]

    def _handle(self, now_ms: float, sender: int, message: Message) -> Sequence[SendToPeer]:
        if isinstance(message, SyncRequest):
            return self._on_sync_request(now_ms, sender, message)
        if isinstance(message, SyncResponse):
            return self._on_sync_response(now_ms, sender, message)
        if isinstance(message, SummaryRequest):
            return self.server.summaries(now_ms, sender, message)
        if isinstance(message, Summary):
            return self.sessions.on_summary(now_ms, sender, message)
        if isinstance(message, FetchRequest):
            return self.server.fetched_fragments(now_ms, sender, message)
        self._on_fragment(now_ms, message)
        return []

    def _note_activity(self, now_ms: float) -> None:
        """After a pause of this router, what it asked before would count as more recent than it is."""
        if now_ms - self.last_active_at_ms > MAX_TICK_GAP_MS:
            self.requests.clear()
            self.sessions.clear_sessions()
        self.last_active_at_ms = max(self.last_active_at_ms, now_ms)

    def _request_sync(self, now_ms: float, peer: int) -> SendToPeer:
        root_digest = self.replica.state.root_digest
        return encode_to(self.requests.open(now_ms, peer, root_digest, self.store_generation), peer)

    def _on_sync_request(self, now_ms: float, sender: int, request: SyncRequest) -> list[SendToPeer]:
        """Respond; and if the peer's state is not known to be within this one, ask it in return, once a
        period.
        """
        self._record_incarnation(sender, request.incarnation)
        if not self.server.admits(now_ms, request):
            return []
        remembered = self.peer_generations.get(sender, 0)
        self.peer_generations[sender] = max(request.store_generation, remembered)
        messages = self.server.respond(now_ms, sender, request, remembered, self.unix_ms)
        is_covered = request.root_digest in self.replica.state.covered_roots
        if not is_covered and self.requests.allow_reverse_request(now_ms):
            messages.append(self._request_sync(now_ms, sender))
        return messages

    def _on_sync_response(self, now_ms: float, sender: int, response: SyncResponse) -> list[SendToPeer]:
        request = self.requests.close(response.nonce, sender)
        if request is None:
            return []
        self._record_incarnation(sender, response.incarnation)
        self.generation_known_to_peer[sender] = response.remembered_generation
        self.peer_clock_samples[sender] = PeerClockSample(response.unix_ms, request.sent_at_ms, now_ms)
        return self.sessions.start(now_ms, sender, request.sent_at_ms, response)

    def _on_fragment(self, now_ms: float, fragment: EntryFragment) -> None:
        encoded = self.sessions.on_fragment(fragment)
        if encoded is not None:
            self._merge(now_ms, encoded)
            self.sessions.advance_all(now_ms)

    def _merge(self, now_ms: float, encoded: EncodedEntry) -> None:
        self.replica.merge(now_ms, encoded)
        self.sessions.drop_fetch(entry_ref(encoded.entry, encoded.digest))

    def _record_incarnation(self, sender: int, incarnation: int) -> None:
        self.peer_restart_count += self.peer_incarnations.setdefault(sender, incarnation) != incarnation
        self.peer_incarnations[sender] = incarnation
