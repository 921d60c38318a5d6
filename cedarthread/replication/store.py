"""The replicated store: the component that gives all routers the same operator entries, by anti-entropy.

Each router sends one sync request per period to a random peer, compares root digests, and fetches the entries
that it lacks. A response counts as a read of the peer once this router stores all entries of the peer; the
read counts from the time at which the request was sent. ``freshness.py`` derives freshness from the reads.
``majority.py`` derives from the peers' confirmations which entries a majority stores. All state of the
package changes within calls of ``ReplicatedStore``, except that the host clears ``peer_clock_samples``. Steps
1 to 13 of docs/design/replication.md.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from cedarthread.components.datagram_fields import MalformedDatagram
from cedarthread.components.messages import MessageType, OutboundMessage
from cedarthread.components.notifications import Notification, PeersChanged
from cedarthread.replication.codec import decode
from cedarthread.replication.entry import EncodedEntry, RejectedEntry
from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.local_replica import LocalReplica
from cedarthread.replication.peer_records import PeerClockSample
from cedarthread.replication.state import DIGEST_MODULUS
from cedarthread.replication.sync_exchange import SyncExchange
from cedarthread.replication.sync_requests import SyncRequests
from cedarthread.replication.sync_server import SyncServer
from cedarthread.replication.sync_session import SyncSessions

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from cedarthread.components.replicated_state import Entry, EntryKind, ReplicatedEntry

__all__ = ["MAX_TICK_INTERVAL_MS", "PeerClockSample", "ReplicatedStore", "default_window_ms"]

MAX_TICK_INTERVAL_MS = 250.0  # the host calls on_tick at least this often
ASSUMED_LOSS = 0.2  # fraction of lost datagrams that the default window allows for
_RNG_SALT = 0x5245_4749  # mixed into the seed, so that components with the same seed draw different numbers


def default_window_ms(period_ms: float, router_count: int) -> float:
    """Return the default freshness window V.

    The formula (step 10 of docs/design/replication.md) estimates the rounds until random requests have
    reached all routers, plus a margin. Request and response may each be lost, hence the square.
    """
    rounds = math.log2(router_count) + math.log(router_count) + 6.0
    return period_ms * rounds / (1.0 - ASSUMED_LOSS) ** 2


class ReplicatedStore:
    """The replicated store of one router, a ``Component`` and the ``ReplicatedState`` of other components.

    Times are in ms on this router's monotonic clock.

    Args:
        router_index: Index of this router.
        router_count: Number of configured routers.
        incarnation: Random number drawn at each start of the process. Two processes of one router must never
            run at the same time, because peers would count the confirmations of both as one router's.
        seed: Seed for the choice of peers, nonces and jitter; must differ between incarnations.
        period_ms: Mean time between two periodic sync requests.
        window_ms: Freshness window, the same at all routers; 0 selects ``default_window_ms``.
        clock_rate: Fraction by which a router's clock may run fast or slow.
        now_ms: Start of this incarnation.
        is_durable: Whether the host persists changes, reports them by ``mark_persisted``, and may restore
            this router as a voter.
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
        self.router_index = router_index
        self.router_count = router_count
        self.incarnation = incarnation % DIGEST_MODULUS
        self.window_ms = window_ms or default_window_ms(period_ms, router_count)
        rng = random.Random(seed ^ incarnation << 64 ^ _RNG_SALT)
        freshness = FreshnessTracker(
            router_index, router_count, window_ms=self.window_ms, clock_rate=clock_rate, now_ms=now_ms
        )
        self.staleness_bound_ms = self.window_ms * freshness.clock_drift_factor + MAX_TICK_INTERVAL_MS
        self.replica = LocalReplica(router_index, self.incarnation, freshness, is_durable=is_durable)
        self.requests = self.requests_type(
            router_index, router_count, self.incarnation, period_ms=period_ms, rng=rng, now_ms=now_ms
        )
        self.sessions = SyncSessions(self.replica, rng)
        self.server = self.server_type(self.replica, router_count, rng, now_ms)
        self.exchange = SyncExchange(self.replica, self.requests, self.sessions, self.server, now_ms)
        self.undecodable_count = 0

    # Methods for operators and the host.

    def propose(
        self,
        now_ms: float,
        kind: EntryKind,
        name: str,
        body: bytes,
        normalize_body: Callable[[bytes], bytes] | None = None,
    ) -> Entry | RejectedEntry:
        """Propose a new version of an entry at this router.

        Args:
            now_ms: Current time.
            kind: Kind of the entry.
            name: Name of the entry, unique in its kind.
            body: Body of the entry.
            normalize_body: Normalizes a body, so that bodies with the same meaning compare equal; by default
                the body itself.

        Returns:
            The new entry; the stored entry, unchanged, if it has the same meaning; or the reason for a
                rejection.
        """
        prepared = self.replica.prepare(kind, name, body, normalize_body)
        if not isinstance(prepared, EncodedEntry):
            return prepared
        self.exchange.merge(now_ms, prepared)
        self.replica.update_freshness(now_ms)
        return prepared.entry

    def restore(self, entries: Iterable[Entry], *, is_voter: bool, now_ms: float = 0.0) -> None:
        """Merge the entries that were on disk at the start.

        Args:
            entries: The entries on disk.
            is_voter: Whether this router votes from the start. The disk must then contain every entry that
                this router ever confirmed to a peer; ``persistence/state_persister.py`` decides that.
            now_ms: Current time.
        """
        for entry in entries:
            self.exchange.merge(now_ms, EncodedEntry.of(entry))
        self.replica.freshness.is_voter = self.replica.freshness.is_voter or is_voter
        self.replica.mark_persisted(now_ms, self.replica.revision)

    @property
    def revision(self) -> int:
        """The number of changes to the stored entries."""
        return self.replica.revision

    @property
    def is_voter(self) -> bool:
        """Whether this router counts towards majorities."""
        return self.replica.freshness.is_voter

    @property
    def all_peers(self) -> Sequence[int]:
        """The configured peers, alive or not."""
        return self.requests.all_peers

    def set_durable(self, *, is_durable: bool) -> None:
        """Set whether the host persists changes from now on."""
        self.replica.is_durable = is_durable

    def snapshot(self) -> tuple[Entry, ...]:
        """Return all entries for persistence; ``revision`` identifies this state of the entries."""
        return tuple(record.entry for record in self.replica.state.records.values())

    def mark_persisted(self, now_ms: float, revision: int) -> None:
        """Record that the state of ``revision`` is on disk."""
        self.replica.mark_persisted(now_ms, revision)

    def take_changes(self) -> tuple[ReplicatedEntry, ...]:
        """Return and clear the entries that changed, or became replicated to a majority, since the last call.

        ``FleetComponents`` is the only caller.
        """
        return self.replica.take_changes()

    def has_completed_bootstrap(self) -> bool:
        """Return whether this incarnation has read several peers completely."""
        return self.exchange.has_completed_bootstrap()

    @property
    def store_generation(self) -> int:
        """The generation of this router's disk, which sync requests carry; 0 without a disk."""
        return self.exchange.store_generation

    @store_generation.setter
    def store_generation(self, generation: int) -> None:
        self.exchange.store_generation = generation

    @property
    def generation_known_to_peer(self) -> Mapping[int, int]:
        """The greatest generation of this router's disk that each peer remembers."""
        return self.exchange.peers.generation_known_to_peer

    @property
    def unix_ms(self) -> float:
        """The wall clock that sync responses carry, in ms of Unix time; NaN if unknown."""
        return self.exchange.unix_ms

    @unix_ms.setter
    def unix_ms(self, unix_ms: float) -> None:
        self.exchange.unix_ms = unix_ms

    @property
    def peer_clock_samples(self) -> dict[int, PeerClockSample]:
        """Wall clocks read from peers, by router index; the host clears them after use."""
        return self.exchange.peers.clock_samples

    # Methods for other components.

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """Return all entries of a kind, sorted by name."""
        return self.replica.state.entries(kind)

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether this router has read a majority within the window.

        A fresh router lacks no entry that a majority had ``staleness_bound_ms`` ago.
        """
        return self.replica.freshness.is_fresh(now_ms)

    def fresh_since(self, now_ms: float) -> float | None:
        """Return since when the state has been fresh without a break; None if it is not fresh."""
        return self.replica.freshness.fresh_since(now_ms)

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the metrics of the store for ``INFO``."""
        freshness = self.replica.freshness
        records = self.replica.state.records.values()
        since = freshness.fresh_since(now_ms)
        return {
            "register_entries": str(len(records)),
            "register_root": f"{self.replica.state.root_digest:016x}",
            "register_unsettled": str(sum(record.replicated_at_ms is None for record in records)),
            "register_fresh": "no" if since is None else f"for {max(0.0, now_ms - since) / 1000:.1f} s",
            "register_seated": "yes" if freshness.is_voter else "no",
            "register_read": f"{freshness.count_recently_read(now_ms)} of {self.router_count}",
            "register_bound": f"{self.staleness_bound_ms:.0f} ms",
            "register_restarts": str(self.exchange.peers.restart_count),
            "register_unreadable": str(self.undecodable_count + self.sessions.fragments.invalid_count),
            "register_unanswered": str(self.server.unanswered_count),
        }

    # Methods of the component interface.

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Restrict sync requests to alive peers when the alive peers change."""
        if isinstance(notification, PeersChanged):
            self.requests.set_alive(notification.alive_peers)
        return []

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Send due sync requests and retry sessions; required every ``MAX_TICK_INTERVAL_MS``."""
        self.exchange.reset_after_pause(now_ms)
        logs = self.replica.take_logs()
        return [*logs, *self.exchange.on_tick(now_ms)]

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Process a peer's datagram. Never raises, whatever the bytes."""
        message = decode(data)
        if (
            isinstance(message, MalformedDatagram)
            or not 0 <= sender < self.router_count
            or sender == self.router_index
        ):
            self.undecodable_count += 1
            return []
        self.exchange.reset_after_pause(now_ms)
        responses = self.exchange.on_message(now_ms, sender, message)
        return [*self.replica.take_logs(), *responses]
