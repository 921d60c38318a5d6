"""Sessions that fetch the entries which a peer has and this router lacks, after the peer's sync response.

A session compares bucket sums with the peer, requests summaries of the buckets that differ, fetches unknown
entries, and ends when the sums prove that this router's state includes the peer's state. Only then does the
peer's response count as a confirmation. ``SyncExchange`` drives the sessions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from cedarthread.replication.codec import MAX_ITEMS_PER_FETCH, encode_to
from cedarthread.replication.fragments import FragmentAssembler
from cedarthread.replication.messages import (
    ALL_FRAGMENTS,
    BUCKET_COUNT,
    BUCKET_SUM_MODULUS,
    EntryFragment,
    EntryRef,
    FetchItem,
    FetchRequest,
    Summary,
    SummaryRequest,
    SyncResponse,
)
from cedarthread.replication.state import DIGEST_MODULUS

if TYPE_CHECKING:
    import random

    from cedarthread.model.actions import SendToPeer
    from cedarthread.replication.entry import EncodedEntry
    from cedarthread.replication.local_replica import LocalReplica

RETRY_INTERVAL_MS = 300.0  # a request without a response is retried after this time
MAX_RETRIES = 8  # retries without an arriving entry, after which the session is aborted
RETRIES_PER_SUMMARY_REQUEST = 4  # every 4th retry requests the summaries too, not only entries
MAX_PENDING_FETCHES = 8  # limit of pending fetches above which no further session is started
MAX_SESSIONS = 4  # maximum number of concurrent sessions; the oldest are dropped first


class CompleteBucket(NamedTuple):
    """A bucket of which all parts have arrived."""

    bucket: int
    refs: list[EntryRef]  # refs of all the peer's entries in the bucket


class SyncSession:
    """The part of one peer's state that has arrived since its sync response.

    Args:
        now_ms: Start of the session, in ms on this router's monotonic clock.
        peer: Index of the responder.
        sent_at_ms: When the request of the response was sent.
        response: The response that started the session.
        bucket_sums: This router's bucket sums; the session copies them.
    """

    def __init__(
        self, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse, bucket_sums: list[int]
    ) -> None:
        self.peer = peer
        self.sent_at_ms = sent_at_ms
        self.response = response
        self.root_digest = response.root_digest  # root digest of the state that the summaries describe
        # Sum of each bucket: this router's entries, or the peer's entries once all those are known here.
        self.bucket_sums = list(bucket_sums)
        # Refs of the peer by bucket and part.
        self.refs_by_bucket: dict[int, dict[int, tuple[EntryRef, ...]]] = {}
        self.part_counts: dict[int, int] = {}  # number of summary parts by bucket
        self.progress_at_ms = now_ms
        self.retries = 0

    def add_summary(self, summary: Summary) -> None:
        """Record the refs that a summary lists."""
        if self.root_digest != summary.root_digest:
            # The peer's state has grown since its previous message; its summary includes the earlier entries.
            self.root_digest = summary.root_digest
            self.refs_by_bucket = {}
            self.part_counts = {}
        listed: dict[int, list[EntryRef]] = {
            bucket: [] for bucket in range(BUCKET_COUNT) if summary.bucket_bits >> bucket & 1
        }
        for ref in summary.refs:
            listed[ref.bucket].append(ref)
        for bucket, refs in listed.items():
            if self.part_counts.setdefault(bucket, summary.part_count) != summary.part_count:
                self.refs_by_bucket[bucket] = {}
                self.part_counts[bucket] = summary.part_count
            self.refs_by_bucket.setdefault(bucket, {})[summary.part_index] = tuple(refs)

    def complete_buckets(self) -> list[CompleteBucket]:
        """Return the buckets of which all parts have arrived, with their refs."""
        complete = [
            bucket for bucket, parts in self.refs_by_bucket.items() if len(parts) == self.part_counts[bucket]
        ]
        return [
            CompleteBucket(bucket, [ref for refs in self.refs_by_bucket[bucket].values() for ref in refs])
            for bucket in complete
        ]

    def all_refs(self) -> list[EntryRef]:
        """Return all refs that have arrived."""
        return [ref for parts in self.refs_by_bucket.values() for part in parts.values() for ref in part]

    def summary_request(self) -> SendToPeer:
        """Return a request for summaries of the buckets in which the peer differs."""
        sums = tuple(bucket_sum % BUCKET_SUM_MODULUS for bucket_sum in self.bucket_sums)
        return encode_to(SummaryRequest(self.response.nonce, sums), self.peer)


class SyncSessions:
    """The sync sessions of one router, and the fetches that are pending in them.

    Times are in ms on this router's monotonic clock.

    Args:
        replica: This router's replica, in which the sessions record confirmations.
        rng: Draws the order of fetches.
    """

    def __init__(self, replica: LocalReplica, rng: random.Random) -> None:
        self.replica = replica
        self.rng = rng
        self.sessions: dict[int, SyncSession] = {}  # open sessions by nonce
        self.pending_fetches: dict[EntryRef, float] = {}  # time of the last fetch request, in ms
        self.fragments = FragmentAssembler(replica.state)
        self.fully_read_peers: set[int] = set()  # peers whose state was once included in this router's

    def clear_sessions(self) -> None:
        """Abort all sessions."""
        self.sessions.clear()

    def start(self, now_ms: float, peer: int, sent_at_ms: float, response: SyncResponse) -> list[SendToPeer]:
        """Start a session after a peer's response, unless the peer's state is already covered.

        No session starts while other sessions have many pending fetches, because further summaries would only
        consume the bandwidth of these fetches. Beyond ``MAX_SESSIONS`` the oldest session is dropped.

        Args:
            now_ms: Current time.
            peer: Index of the responder.
            sent_at_ms: When the request of the response was sent.
            response: The peer's response.
        """
        session = SyncSession(now_ms, peer, sent_at_ms, response, self.replica.state.bucket_sums)
        if self._confirm_if_covered(now_ms, session):
            return []
        if self.sessions and len(self._pending_refs(now_ms)) > MAX_PENDING_FETCHES:
            return []
        while len(self.sessions) >= MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        self.sessions[response.nonce] = session
        return [session.summary_request()]

    def on_summary(self, now_ms: float, sender: int, summary: Summary) -> list[SendToPeer]:
        """Record a summary of an open session and fetch the missing entries.

        A summary from another incarnation than that of the response is ignored, because a later incarnation
        may store less.
        """
        session = self.sessions.get(summary.nonce)
        if session is None or session.peer != sender or not self._is_same_incarnation(session, summary):
            return []
        session.add_summary(summary)
        if self._advance(now_ms, summary.nonce):
            return []
        session.progress_at_ms = now_ms
        return self._fetch_missing(now_ms, session)

    def _is_same_incarnation(self, session: SyncSession, summary: Summary) -> bool:
        return session.response.incarnation == summary.incarnation

    def on_fragment(self, fragment: EntryFragment) -> EncodedEntry | None:
        """Add a fragment and return the entry that the fragment completes, if any.

        The caller merges the entry.
        """
        return self.fragments.add(fragment)

    def drop_fetch(self, ref: EntryRef) -> None:
        """Remove the pending fetch of an entry that has arrived."""
        self.pending_fetches.pop(ref, None)

    def advance_all(self, now_ms: float) -> None:
        """Remove the sessions that a newly merged entry completes; reset the retries of the others."""
        for nonce in list(self.sessions):
            self.sessions[nonce].retries = 0
            self._advance(now_ms, nonce)

    def on_tick(self, now_ms: float) -> list[SendToPeer]:
        """Retry sessions without progress; drop all pending fetches if no session is open."""
        messages: list[SendToPeer] = []
        for nonce in list(self.sessions):
            messages += self._retry(now_ms, nonce)
        if self.pending_fetches and not self.sessions:
            self.pending_fetches.clear()
        return messages

    def _retry(self, now_ms: float, nonce: int) -> list[SendToPeer]:
        session = self.sessions[nonce]
        if self._advance(now_ms, nonce) or now_ms - session.progress_at_ms < RETRY_INTERVAL_MS:
            return []
        session.progress_at_ms = now_ms
        session.retries += 1
        if session.retries > MAX_RETRIES:
            del self.sessions[nonce]
            return []
        messages = self._fetch_missing(now_ms, session)
        if not messages or session.retries % RETRIES_PER_SUMMARY_REQUEST == 0:
            messages.append(session.summary_request())
        return messages

    def _advance(self, now_ms: float, nonce: int) -> bool:
        """Update a session's bucket sums, and remove the session if it is complete.

        A bucket's sum becomes that of the peer's entries once all of these entries are known here.

        Returns:
            Whether the session was complete.
        """
        session = self.sessions[nonce]
        for bucket, refs in session.complete_buckets():
            digests = [self.replica.state.known_digest(ref) for ref in refs]
            if None not in digests:
                session.bucket_sums[bucket] = sum(digest for digest in digests if digest) % DIGEST_MODULUS
        if not self._confirm_if_covered(now_ms, session):
            return False
        del self.sessions[nonce]
        return True

    def _confirm_if_covered(self, now_ms: float, session: SyncSession) -> bool:
        """Record the peer's response as a confirmation if this router's state includes the peer's state.

        Returns:
            Whether the response was recorded.
        """
        state = self.replica.state
        if session.root_digest not in state.covered_roots:
            if sum(session.bucket_sums) % DIGEST_MODULUS != session.root_digest:
                return False
            state.mark_covered(session.root_digest)
        state.mark_covered(session.response.root_digest)
        self.replica.freshness.record_response(now_ms, session.peer, session.sent_at_ms, session.response)
        self.fully_read_peers.add(session.peer)
        self.replica.update_freshness(now_ms)
        return True

    def _fetch_missing(self, now_ms: float, session: SyncSession) -> list[SendToPeer]:
        """Return a fetch request for entries that are unknown here and not pending; partial entries first.

        The number of pending fetches is limited to what one fetch request carries, because too many partial
        entries would evict each other.
        """
        missing = [ref for ref in session.all_refs() if self.replica.state.known_digest(ref) is None]
        pending = self._pending_refs(now_ms)
        missing_bits = self.fragments.missing_bits_by_digest_low()
        refs = [ref for ref in missing if ref not in pending]
        refs = self.rng.sample(refs, len(refs))
        refs.sort(key=lambda ref: ref.digest_low not in missing_bits)
        refs = refs[: max(0, MAX_ITEMS_PER_FETCH - len(pending))]
        self.pending_fetches.update((ref, now_ms) for ref in refs)
        items = tuple(FetchItem(*ref, missing_bits.get(ref.digest_low, ALL_FRAGMENTS)) for ref in refs)
        return [encode_to(FetchRequest(items), session.peer)] if items else []

    def _pending_refs(self, now_ms: float) -> set[EntryRef]:
        """Return the refs that were fetched within the retry interval and have not arrived."""
        return {
            ref
            for ref, requested_at_ms in self.pending_fetches.items()
            if now_ms - requested_at_ms < RETRY_INTERVAL_MS
        }
