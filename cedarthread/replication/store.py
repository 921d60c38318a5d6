"""The register: entries that all routers hold alike, by anti-entropy, and what each may conclude from it.

Each router pulls from one random other a period (anti-entropy, Demers and others, 1987) and takes what it
lacks. A reply counts from when it was asked for, and only once all of it is held here. Steps 1 to 13 of
docs/design/register.md.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from cedarthread.components.interface import (
    Entry,
    EntryKind,
    MessageType,
    Notification,
    OutboundMessage,
    PeersChanged,
    ReplicatedEntry,
)
from cedarthread.gossip.codec import MalformedDatagram
from cedarthread.model.actions import LogMessage, SendToPeer
from cedarthread.replication import codec
from cedarthread.replication import entry as entries
from cedarthread.replication.codec import (
    BUCKET_COUNT,
    EntryFragment,
    EntryRef,
    FetchRequest,
    Summary,
    SummaryRequest,
    SyncRequest,
    SyncResponse,
)
from cedarthread.replication.entry import RejectedEntry
from cedarthread.replication.freshness import FreshnessTracker
from cedarthread.replication.state import DIGEST_MODULUS, EntryRecord, ReplicaState, entry_ref
from cedarthread.statistics import TokenBucket

MAX_TICK_GAP_MS = 2000.0  # ms without a turn after which what was asked for before counts no more
MAX_TICK_INTERVAL_MS = 250.0  # ms between turns, at most
ASSUMED_LOSS = 0.2  # that V by the formula allows for
RETRY_INTERVAL_MS = 300.0  # ms after which what did not come is asked for again
MAX_RETRIES = 8  # of that
RETRIES_PER_SUMMARY_REQUEST = 4  # of these tries, one asks for the list again too
MAX_PENDING_FETCHES = 8  # entries that are waited for, above which nobody else's list is asked for
MAX_SESSIONS = 4  # others from whom is taken at a time
MAX_OPEN_REQUESTS = 16  # pulls that may be unanswered at a time
MAX_PARTIAL_ENTRIES = 64  # entries of which pieces may wait for the rest
REQUESTS_PER_RANDOM_PEER = 8  # pulls of which one goes to any router, there or not: cuts heal
RESPONSES_PER_MS, RESPONSE_BURST = 20 / 1000.0, 20.0  # a ms, and at once: a flood is not answered
BYTES_PER_MS, BYTE_BURST = (
    16.0,
    16_384.0,
)  # of summaries and pieces, a ms and at once: many may start together
BOOTSTRAP_PEERS = 8  # others that a start reads whole before it acts on what it then knows
BOOTSTRAP_REQUESTS_PER_TICK = 4  # of them that it pulls from at each turn until then
MAX_UNSOLICITED_FRAGMENTS = (
    4  # pieces of the newest entry that are told with a reply to one that lacks something
)


def freshness_window_ms(period_ms: float, router_count: int) -> float:
    """V by the formula of the design page (step 10), ms."""
    rounds = math.log2(router_count) + math.log(router_count) + 6.0
    return period_ms * rounds / (1.0 - ASSUMED_LOSS) ** 2


class SyncSession:
    """What is taken from one other after its reply, until its content is proven to be within one's own."""

    def __init__(self, now: float, peer: int, sent: float, reply: SyncResponse, sums: list[int]) -> None:
        self.peer, self.sent_at_ms, self.response, self.root_digest = peer, sent, reply, reply.root_digest
        self.bucket_sums = list(
            sums
        )  # of what is held or surpassed here, by which the other's root must come out
        self.refs_by_bucket: dict[
            int, dict[int, tuple[EntryRef, ...]]
        ] = {}  # bucket: part: what the other holds in it
        self.part_counts: dict[int, int] = {}
        self.progress_at_ms, self.retries = now, 0

    def complete_buckets(self) -> list[tuple[int, list[EntryRef]]]:
        """Buckets of which all parts have come."""
        done = [b for b, told in self.refs_by_bucket.items() if len(told) == self.part_counts[b]]
        return [(b, [pair for part in self.refs_by_bucket[b].values() for pair in part]) for b in done]

    def all_refs(self) -> list[EntryRef]:
        """All that has come."""
        return [pair for told in self.refs_by_bucket.values() for part in told.values() for pair in part]


class PartialEntry:
    """An entry of which some pieces have come."""

    def __init__(self, size: int) -> None:
        self.entry_bytes = size
        self.fragments: dict[int, bytes] = {}

    def missing_bits(self) -> int:
        """A bit for each piece that has not come."""
        return sum(
            1 << n for n in range(-(-self.entry_bytes // codec.FRAGMENT_BYTES)) if n not in self.fragments
        )


class ReplicatedStore:
    """One router's register; a ``Part`` and the ``Shared`` of cedarthread/components/interface.py.

    ``seed`` must differ from life to life, and the object be made after the former life has ended. ``fresh``
    is V in ms, 0 for the formula; it must be the same at all. ``durable``: the host stores changes, tells
    ``written``, and may restore a seat; then nothing is said to be held here that is not stored."""

    message_types = frozenset((int(MessageType.REPLICATION),))

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
        now: float = 0.0,
        is_durable: bool = False,
    ) -> None:
        self.router_index, self.router_count, self.incarnation, self.period_ms = (
            router_index,
            router_count,
            incarnation % DIGEST_MODULUS,
            period_ms,
        )
        self.rng = random.Random(seed ^ incarnation << 64 ^ 0x5245_4749)
        self.window_ms = window_ms or freshness_window_ms(period_ms, router_count)
        self.replica = ReplicaState()
        self.freshness = FreshnessTracker(router_index, router_count, self.window_ms, clock_rate, now)
        self.staleness_bound_ms = self.window_ms * self.freshness.clock_drift_factor + MAX_TICK_INTERVAL_MS
        self.all_peers = [n for n in range(router_count) if n != router_index]
        self.alive_peers = list(self.all_peers)
        self.open_requests: dict[int, tuple[int, float]] = {}  # nonce: of whom, when
        self.sessions: dict[int, SyncSession] = {}  # by nonce
        self.pending_fetches: dict[EntryRef, float] = {}  # when last asked for
        self.partial_entries: dict[int, PartialEntry] = {}  # by digest
        self.next_request_at_ms = now + self.rng.uniform(0.0, period_ms)
        self.next_reverse_request_at_ms = self.last_active_at_ms = now
        self.request_count = self.next_age_segment = self.undecodable_count = self.invalid_count = (
            self.unanswered_count
        ) = 0
        self.peer_incarnations: dict[int, int] = {}
        self.peer_restart_count = 0  # of others, that were seen
        self.fully_read_peers: set[int] = set()  # others that were read whole in this life
        # Generations of stores: one's own, those of others as they told, one's own as others remember it.
        self.store_generation, self.peer_generations, self.generation_known_to_peer = (
            0,
            dict[int, int](),
            dict[int, int](),
        )
        self.unix_ms = math.nan  # that others are told, Unix ms
        self.peer_clock_samples: dict[
            int, tuple[float, float, float]
        ] = {}  # others' replies: theirs, when asked, when told
        self.response_budget = TokenBucket(1000.0 * RESPONSES_PER_MS, RESPONSE_BURST, RESPONSE_BURST, now)
        self.byte_budget = TokenBucket(1000.0 * BYTES_PER_MS, BYTE_BURST, BYTE_BURST, now)
        self.is_durable, self.revision, self.persisted_revision = is_durable, 0, 0
        self._changed_keys: dict[entries.Key, None] = {}
        self._pending_logs: list[OutboundMessage] = []

    # What operators and the host do.

    def propose(
        self,
        now: float,
        kind: EntryKind,
        name: str,
        body: bytes,
        canonical_body: Callable[[bytes], bytes] | None = None,
    ) -> Entry | RejectedEntry:
        """Declare an entry here. One of the same meaning as what is held changes nothing and gives that.

        ``digest_body`` gives a body's meaning as bytes, by default the body itself."""
        if (wrong := entries.check_bounds(kind, name, body)) is not None:
            return wrong
        if self.replica.is_full((kind, name), entries.MAX_PROPOSED_ENTRIES):
            return RejectedEntry(
                f"{kind} {name!r}", f"{entries.MAX_PROPOSED_ENTRIES} entries are held, no more may be"
            )
        old, meaning = self.replica.records.get((kind, name)), canonical_body or bytes
        if old is not None and meaning(old.entry.body) == meaning(body):
            return old.entry
        version = self.replica.next_version(self.router_index, self.incarnation)
        if version.counter >= entries.VERSION_COUNTER_LIMIT:
            return RejectedEntry(f"{kind} {name!r}: version", "the counter has come to its end")
        entry = Entry(kind, name, version, body, old.digest if old else 0)
        data = entries.encode(entry)
        self._merge_entry(now, entry, entries.digest_of_bytes(data), data)
        self._update_freshness(now)
        return entry

    def restore(self, restored_entries: Iterable[Entry], is_voter: bool, now: float = 0.0) -> None:
        """Take what a store held, at the start. ``seated``: the store is known to be whole and not older than
        what this router told others, so it has forgotten nothing."""
        for entry in restored_entries:
            data = entries.encode(entry)
            self._merge_entry(now, entry, entries.digest_of_bytes(data), data)
        self.freshness.is_voter = self.freshness.is_voter or is_voter
        self.persisted_revision = self.revision
        self._update_freshness(now)

    def snapshot(self) -> tuple[Entry, ...]:
        """All entries, for a store; ``stamp`` says which state of them it is."""
        return tuple(slot.entry for slot in self.replica.records.values())

    def mark_persisted(self, now: float, revision: int) -> None:
        """What was held at that ``stamp`` is stored for good."""
        self.persisted_revision = max(self.persisted_revision, revision)
        self._update_freshness(now)

    def take_changes(self) -> tuple[ReplicatedEntry, ...]:
        """Entries that came, changed or became settled here since it was last asked."""
        keys, self._changed_keys = self._changed_keys, {}
        return tuple(self.replica.records[key].to_replicated_entry() for key in keys)

    def has_read_enough_peers(self) -> bool:
        """Has this life read several others whole? What one of eight held is missed once in 256 times, where
        half of them remember: what is acted on where a majority has no seat, and the theorem is silent."""
        return len(self.fully_read_peers) >= min(BOOTSTRAP_PEERS, len(self.all_peers))

    def _is_persisted(self) -> bool:
        return not self.is_durable or self.persisted_revision >= self.revision

    # What parts read.

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        """All entries of a kind, by name."""
        return self.replica.entries(kind)

    def is_fresh(self, now: float) -> bool:
        """Has a majority of the configured routers confirmed lately that this one lacks nothing of theirs?"""
        return self.freshness.is_fresh(now)

    def fresh_since(self, now: float) -> float | None:
        """Since when it is fresh without a break; None: it is not."""
        return self.freshness.fresh_since(now)

    def status(self, now: float) -> Mapping[str, str]:
        """What operators read at ``INFO``."""
        evidence, slots = self.freshness, self.replica.records.values()
        since = evidence.fresh_since(now)
        return {
            "register_entries": str(len(slots)),
            "register_root": f"{self.replica.root_digest:016x}",
            "register_unsettled": str(sum(slot.replicated_at_ms is None for slot in slots)),
            "register_fresh": "no" if since is None else f"for {max(0.0, now - since) / 1000:.1f} s",
            "register_seated": "yes" if evidence.is_voter else "no",
            "register_read": f"{evidence.count_recently_read(now)} of {self.router_count}",
            "register_bound": f"{self.staleness_bound_ms:.0f} ms",
            "register_restarts": str(self.peer_restart_count),
            "register_unreadable": str(self.undecodable_count + self.invalid_count),
            "register_unanswered": str(self.unanswered_count),
        }

    # Turns and facts.

    def on_notification(self, now: float, fact: Notification) -> Sequence[OutboundMessage]:
        """Who is there: pulls go to them."""
        if isinstance(fact, PeersChanged):
            self.alive_peers = [
                n for n in fact.alive_peers if 0 <= n < self.router_count and n != self.router_index
            ]
        return []

    def on_tick(self, now: float) -> Sequence[OutboundMessage]:
        """Some times a second: pull, and ask again for what did not come."""
        self._note_activity(now)
        messages = self._take_logs()
        if self.all_peers and now >= self.next_request_at_ms:
            self.next_request_at_ms = max(
                self.next_request_at_ms, now - self.period_ms
            ) + self.period_ms * self.rng.uniform(0.8, 1.2)
            messages.append(self._sync_request(now, self._choose_peer()))
        if not self.freshness.is_voter and not self.has_read_enough_peers():
            unread = [n for n in self.alive_peers if n not in self.fully_read_peers]
            messages += [
                self._sync_request(now, n)
                for n in self.rng.sample(unread, min(BOOTSTRAP_REQUESTS_PER_TICK, len(unread)))
            ]
        for nonce in list(self.sessions):
            messages += self._retry_session(now, nonce)
        if self.pending_fetches and not self.sessions:
            self.pending_fetches.clear()
        return messages

    def _note_activity(self, now: float) -> None:
        """Guards against a router that stood still: what it asked before tells it nothing that is young."""
        if now - self.last_active_at_ms > MAX_TICK_GAP_MS:
            self.open_requests.clear()
            self.sessions.clear()
        self.last_active_at_ms = max(self.last_active_at_ms, now)

    def _choose_peer(self) -> int:
        self.request_count += 1
        among = (
            self.all_peers
            if not self.alive_peers or self.request_count % REQUESTS_PER_RANDOM_PEER == 0
            else self.alive_peers
        )
        return self.rng.choice(among)

    def _sync_request(self, now: float, peer: int) -> SendToPeer:
        nonce = self._new_nonce()
        self.open_requests[nonce] = peer, now
        if len(self.open_requests) > MAX_OPEN_REQUESTS:
            del self.open_requests[next(iter(self.open_requests))]
        first = self.next_age_segment * codec.AGES_PER_RESPONSE
        self.next_age_segment = (self.next_age_segment + 1) % -(-self.router_count // codec.AGES_PER_RESPONSE)
        return _encode_to(
            SyncRequest(nonce, self.replica.root_digest, self.incarnation, first, self.store_generation), peer
        )

    def _new_nonce(self) -> int:
        return self.rng.getrandbits(64)

    def _take_logs(self) -> list[OutboundMessage]:
        words, self._pending_logs = self._pending_logs, []
        return words

    # Hearing.

    def on_message(self, now: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Take a datagram of another router; whatever it holds, no error is raised."""
        message = codec.decode(data)
        if (
            isinstance(message, MalformedDatagram)
            or not 0 <= sender < self.router_count
            or sender == self.router_index
        ):
            self.undecodable_count += 1
            return []
        self._note_activity(now)
        if isinstance(message, SyncRequest):
            messages = self._on_sync_request(now, sender, message)
        elif isinstance(message, SyncResponse):
            messages = self._on_sync_response(now, sender, message)
        elif isinstance(message, SummaryRequest):
            messages = self._on_summary_request(now, sender, message)
        elif isinstance(message, Summary):
            messages = self._on_summary(now, sender, message)
        elif isinstance(message, FetchRequest):
            messages = self._on_fetch_request(now, sender, message)
        else:
            messages = self._on_fragment(now, message)
        return self._take_logs() + messages

    def _record_incarnation(self, sender: int, life: int) -> None:
        self.peer_restart_count += self.peer_incarnations.setdefault(sender, life) != life
        self.peer_incarnations[sender] = life

    def _on_sync_request(self, now: float, sender: int, request: SyncRequest) -> list[OutboundMessage]:
        """Answer one that asks; and if it holds something unknown here, ask it in turn, once a period."""
        self._record_incarnation(sender, request.incarnation)
        if (
            not self._is_persisted()
            or request.first_router >= self.router_count
            or not self.response_budget.take(now, 1.0)
        ):
            self.unanswered_count += 1
            return []
        evidence, messages = self.freshness, list[OutboundMessage]()
        if request.root_digest != self.replica.root_digest:
            messages += self._newest_entry(now, sender)
        root, ages = self.replica.root_digest, evidence.encode_ages(now, request.first_router)
        self.peer_generations[sender] = max(
            request.store_generation, remembered := self.peer_generations.get(sender, 0)
        )
        ids = (
            request.nonce,
            root,
            self.incarnation,
            evidence.is_voter,
            evidence.age_step_ms,
            request.first_router,
        )
        response = SyncResponse(*ids, ages, remembered, self.unix_ms)
        messages.append(_encode_to(response, sender))
        if request.root_digest not in self.replica.covered_roots and now >= self.next_reverse_request_at_ms:
            self.next_reverse_request_at_ms = now + self.period_ms
            messages.append(self._sync_request(now, sender))
        return messages

    def _newest_entry(self, now: float, sender: int) -> list[OutboundMessage]:
        """The newest entry, unasked: most often it is what the other lacks."""
        slot = next(reversed(self.replica.records.values()), None)
        if (
            slot is None
            or now - slot.received_at_ms > self.window_ms
            or len(slot.data) > MAX_UNSOLICITED_FRAGMENTS * codec.FRAGMENT_BYTES
        ):
            return []
        return self._send_within_budget(now, sender, codec.split_into_fragments(slot.data, slot.digest))

    def _on_sync_response(self, now: float, sender: int, response: SyncResponse) -> list[OutboundMessage]:
        """Only what was asked for counts, once, and from the one who was asked."""
        peer, sent_at_ms = self._close_request(response.nonce)
        if peer != sender:
            return []
        self._record_incarnation(sender, response.incarnation)
        self.generation_known_to_peer[sender] = response.remembered_generation
        self.peer_clock_samples[sender] = response.unix_ms, sent_at_ms, now
        session = SyncSession(now, sender, sent_at_ms, response, self.replica.bucket_sums)
        if self._confirm_if_covered(now, session) or (
            self.sessions and len(self._awaited_refs(now)) > MAX_PENDING_FETCHES
        ):
            return []  # lists that are not needed yet would take the room of what is
        while len(self.sessions) >= MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        self.sessions[response.nonce] = session
        return [self._summary_request(response.nonce, session)]

    def _close_request(self, nonce: int) -> tuple[int, float]:
        return self.open_requests.pop(nonce, (-1, 0.0))

    def _summary_request(self, nonce: int, session: SyncSession) -> SendToPeer:
        return _encode_to(SummaryRequest(nonce, tuple(s % 2**48 for s in session.bucket_sums)), session.peer)

    def _confirm_if_covered(self, now: float, session: SyncSession) -> bool:
        """Is the other's content within this one? Then its reply counts."""
        if session.root_digest not in self.replica.covered_roots:
            if sum(session.bucket_sums) % DIGEST_MODULUS != session.root_digest:
                return False
            self.replica.mark_covered(session.root_digest)
        self.replica.mark_covered(session.response.root_digest)
        self.freshness.record_response(now, session.peer, session.sent_at_ms, session.response)
        self.fully_read_peers.add(session.peer)
        self._update_freshness(now)
        return True

    def _update_freshness(self, now: float) -> None:
        evidence = self.freshness
        if evidence.update(now, self._is_persisted()):
            self._pending_logs.append(
                LogMessage("register: seat taken, this router lacks nothing that others settled")
            )
        for key, mark in evidence.newly_replicated.items():
            slot = self.replica.records[key]
            if slot.digest == mark:
                slot.replicated_at_ms = now
                self.replica.invalidate_kind(key[0])
                self._changed_keys[key] = None
        evidence.newly_replicated.clear()

    # Giving.

    def _on_summary_request(self, now: float, sender: int, request: SummaryRequest) -> list[OutboundMessage]:
        """The entries of all buckets that differ, as many as the budget bears, from a random one on."""
        differ = [
            b for b in range(BUCKET_COUNT) if self.replica.bucket_sums[b] % 2**48 != request.bucket_sums[b]
        ]
        lists: dict[int, list[EntryRef]] = {bucket: [] for bucket in differ}
        for pair in self.replica.keys_by_ref:
            if pair[0] % BUCKET_COUNT in lists:
                lists[pair[0] % BUCKET_COUNT].append(pair)
        summaries = [
            Summary(request.nonce, self.replica.root_digest, self.incarnation, *part)
            for part in _pack_summaries(lists, self.rng.randrange(BUCKET_COUNT))
        ]
        none = Summary(
            request.nonce, self.replica.root_digest, self.incarnation, 0, 0, 1, ()
        )  # the root alone may be the proof
        return self._send_within_budget(now, sender, summaries or [none])

    def _on_fetch_request(self, now: float, sender: int, request: FetchRequest) -> list[OutboundMessage]:
        fragments: list[EntryFragment] = []
        for number, mark, which in request.items:
            key = self.replica.keys_by_ref.get((number, mark))
            if key is not None:
                slot = self.replica.records[key]
                fragments += codec.split_into_fragments(slot.data, slot.digest, which)
        return self._send_within_budget(now, sender, fragments)

    def _send_within_budget(
        self, now: float, peer_index: int, messages: Sequence[codec.Message]
    ) -> list[OutboundMessage]:
        words: list[OutboundMessage] = []
        for message in messages:
            data = codec.encode(message)
            if not self.byte_budget.take(now, len(data)):
                self.unanswered_count += 1
                break
            words.append(SendToPeer(data, peer_index))
        return words

    # Taking.

    def _on_summary(self, now: float, sender: int, summary: Summary) -> list[OutboundMessage]:
        """What the other holds. It must speak in the same life as in its reply: a later one holds less."""
        session = self.sessions.get(summary.nonce)
        if session is None or session.peer != sender or not self._is_same_incarnation(session, summary):
            return []
        if (
            session.root_digest != summary.root_digest
        ):  # it has taken something since: more than it replied, so that is enough
            session.root_digest, session.refs_by_bucket, session.part_counts = summary.root_digest, {}, {}
        for bucket in range(BUCKET_COUNT):
            if summary.bucket_bits >> bucket & 1:
                if session.part_counts.setdefault(bucket, summary.part_count) != summary.part_count:
                    session.refs_by_bucket[bucket], session.part_counts[bucket] = {}, summary.part_count
                refs = tuple(pair for pair in summary.refs if pair[0] % BUCKET_COUNT == bucket)
                session.refs_by_bucket.setdefault(bucket, {})[summary.part_index] = refs
        if self._advance_session(now, summary.nonce):
            return []
        session.progress_at_ms = now
        return self._fetch_missing(now, session)

    def _is_same_incarnation(self, session: SyncSession, summary: Summary) -> bool:
        return session.response.incarnation == summary.incarnation

    def _advance_session(self, now: float, nonce: int) -> bool:
        """Count what is known here of the other's entries; True when that is all of them."""
        session = self.sessions[nonce]
        for bucket, pairs in session.complete_buckets():
            known = [self.replica.known_digest(pair) for pair in pairs]
            if None not in known:
                session.bucket_sums[bucket] = sum(mark for mark in known if mark) % DIGEST_MODULUS
        if not self._confirm_if_covered(now, session):
            return False
        del self.sessions[nonce]
        return True

    def _fetch_missing(self, now: float, session: SyncSession) -> list[OutboundMessage]:
        """Ask for what is unknown here and was not asked for just now, first for what has come in part.

        No more at a time than others' budgets bear: what waits in parts must not push itself out."""
        missing = [p for p in session.all_refs() if self.replica.known_digest(p) is None]
        awaited = self._awaited_refs(now)
        missing_by_ref_digest = {
            mark % 2**32: partly.missing_bits() for mark, partly in self.partial_entries.items()
        }
        items = [p for p in missing if p not in awaited]
        items = self.rng.sample(items, len(items))
        items.sort(key=lambda pair: pair[1] not in missing_by_ref_digest)
        items = items[: max(0, codec.MAX_ITEMS_PER_FETCH - len(awaited))]
        self.pending_fetches.update((pair, now) for pair in items)
        triples = tuple(
            (number, mark, missing_by_ref_digest.get(mark, codec.ALL_FRAGMENTS)) for number, mark in items
        )
        return [_encode_to(FetchRequest(triples), session.peer)] if triples else []

    def _awaited_refs(self, now: float) -> set[EntryRef]:
        """What was asked for just now and has not come."""
        return {pair for pair, at in self.pending_fetches.items() if now - at < RETRY_INTERVAL_MS}

    def _retry_session(self, now: float, nonce: int) -> list[OutboundMessage]:
        """What did not come is asked for again, some times."""
        session = self.sessions[nonce]
        if self._advance_session(now, nonce) or now - session.progress_at_ms < RETRY_INTERVAL_MS:
            return []
        session.progress_at_ms, session.retries = now, session.retries + 1
        if session.retries > MAX_RETRIES:
            del self.sessions[nonce]
            return []
        words = self._fetch_missing(now, session)
        return (
            words
            if words and session.retries % RETRIES_PER_SUMMARY_REQUEST
            else [*words, self._summary_request(nonce, session)]
        )

    def _on_fragment(self, now: float, fragment: EntryFragment) -> list[OutboundMessage]:
        """One piece of an entry; with the last the entry is taken."""
        if fragment.digest in self.replica.known_digests:
            return []
        partial = self.partial_entries.setdefault(fragment.digest, PartialEntry(fragment.entry_bytes))
        if partial.entry_bytes != fragment.entry_bytes:
            self.invalid_count += 1
            return []
        partial.fragments[fragment.fragment_index] = fragment.data
        if len(self.partial_entries) > MAX_PARTIAL_ENTRIES:
            del self.partial_entries[next(iter(self.partial_entries))]
        if partial.missing_bits():
            return []
        self.partial_entries.pop(fragment.digest, None)
        data = b"".join(partial.fragments[n] for n in sorted(partial.fragments))
        entry = entries.decode(data)
        room = isinstance(entry, Entry) and not self.replica.is_full(
            (entry.kind, entry.name), entries.MAX_ENTRIES
        )
        if isinstance(entry, RejectedEntry) or not room or entries.digest_of_bytes(data) != fragment.digest:
            self.invalid_count += 1
        else:
            self._merge_entry(now, entry, fragment.digest, data)
            for nonce in list(self.sessions):
                self.sessions[nonce].retries = 0
                self._advance_session(now, nonce)
        return self._take_logs()

    def _merge_entry(self, now: float, entry: Entry, digest: int, data: bytes) -> None:
        root_before = self.replica.root_digest
        old = self.replica.merge(now, entry, digest, data)
        self.pending_fetches.pop(entry_ref(entry, digest), None)
        if self.replica.root_digest == root_before:
            return
        key = entry.kind, entry.name
        self.revision += 1
        self._changed_keys[key] = None
        self.freshness.on_state_changed(self.replica.root_digest, key, digest)
        if old is not None:
            self._log_lost_edit(entry, old)

    def _log_lost_edit(self, entry: Entry, old: EntryRecord) -> None:
        """An edit made here has been replaced by one that did not know it: its author must hear of it."""
        mine = (
            old.entry.version.author == self.router_index
            and old.entry.version.incarnation == self.incarnation
        )
        if mine and entries.is_concurrent(entry, old.digest):
            text = f"register: {entry.kind} {entry.name!r} as declared here lost to an edit made at router"
            self._pending_logs.append(LogMessage(f"{text} {entry.version.author} at about the same time"))


def _encode_to(message: codec.Message, to: int) -> SendToPeer:
    return SendToPeer(codec.encode(message), to)


def _pack_summaries(
    lists: dict[int, list[EntryRef]], begin: int
) -> list[tuple[int, int, int, tuple[EntryRef, ...]]]:
    """Buckets in as few datagrams as they fit: buckets as bits, part, parts, pairs."""
    told: list[tuple[int, int, int, tuple[EntryRef, ...]]] = []
    bits, gathered = 0, list[EntryRef]()
    for bucket in sorted(lists, key=lambda b: (b - begin) % BUCKET_COUNT):
        pairs = lists[bucket]
        if len(pairs) > codec.MAX_REFS_PER_SUMMARY:
            cut = [
                tuple(pairs[at : at + codec.MAX_REFS_PER_SUMMARY])
                for at in range(0, len(pairs), codec.MAX_REFS_PER_SUMMARY)
            ]
            told += [(1 << bucket, n, len(cut), part) for n, part in enumerate(cut)]
            continue
        if len(gathered) + len(pairs) > codec.MAX_REFS_PER_SUMMARY:
            told.append((bits, 0, 1, tuple(gathered)))
            bits, gathered = 0, []
        bits |= 1 << bucket
        gathered += pairs
    return [*told, (bits, 0, 1, tuple(gathered))] if bits else told
