"""One replicated store: proposals, durability, and budgets of responses."""

from __future__ import annotations

from cedarthread.components.replicated_state import Entry, EntryKind
from cedarthread.replication import codec
from cedarthread.replication import entry as entries
from cedarthread.replication.entry import RejectedEntry, entry_digest
from cedarthread.replication.store import ReplicatedStore
from cedarthread.replication.sync_server import RESPONSE_BURST


def test_an_entry_beyond_a_limit_is_rejected_with_location_and_problem() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    for name, body, location in (("", b"", "name"), ("é" * 33, b"", "name"), ("a", b"x" * 2049, "body")):
        rejected = store.propose(0.0, EntryKind.FREEZE, name, body)
        assert isinstance(rejected, RejectedEntry)
        assert location in rejected.location
        assert "bytes" in rejected.reason
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        assert isinstance(store.propose(0.0, EntryKind.FREEZE, f"{number}", b"x" * 2048), Entry)
    assert isinstance(store.propose(0.0, EntryKind.FREEZE, "one more", b""), RejectedEntry)
    assert isinstance(store.propose(0.0, EntryKind.FREEZE, "7", b"new"), Entry)


def test_proposing_the_same_meaning_changes_nothing() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    first = store.propose(0.0, EntryKind.TIERS, "t", b"a, b")
    assert store.propose(1.0, EntryKind.TIERS, "t", b"a, b") is first
    assert store.propose(1.0, EntryKind.TIERS, "t", b"a,b", lambda body: body.replace(b" ", b"")) is first
    changed = store.propose(1.0, EntryKind.TIERS, "t", b"b, a")
    assert isinstance(first, Entry)
    assert isinstance(changed, Entry)
    assert changed.version > first.version
    assert changed.replaces_digest == entry_digest(first)
    assert [stored.entry for stored in store.entries(EntryKind.TIERS)] == [changed]
    assert len(store.take_changes()) == 1


def test_a_flood_gets_responses_within_the_budget_and_unknown_senders_get_none() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    request = codec.encode(codec.SyncRequest(1, 5, 1, 0))
    responses = [response for _ in range(1000) for response in store.on_message(0.0, 1, request)]
    assert RESPONSE_BURST <= len(responses) <= RESPONSE_BURST + 2
    entry = store.propose(0.0, EntryKind.FREEZE, "x", b"x" * 300)
    assert isinstance(entry, Entry)
    fragment, _ = codec.split_into_fragments(entries.encode(entry), entry_digest(entry))
    store.on_message(0.0, 1, codec.encode(fragment))
    assert not store.sessions.fragments.partial_entries, "a known entry is not assembled again"
    assert not store.on_message(9999.0, 3, request)
    assert not store.on_message(9999.0, 0, request)


def test_an_entry_that_is_not_persisted_is_not_confirmed_to_peers() -> None:
    store = ReplicatedStore(0, 1, 1, 1, is_durable=True)
    store.propose(0.0, EntryKind.FREEZE, "x", b"")
    assert store.entries(EntryKind.FREEZE)[0].replicated_at_ms is None
    store.mark_persisted(5.0, store.revision)
    assert store.entries(EntryKind.FREEZE)[0].replicated_at_ms == 5.0
    one_of_two = ReplicatedStore(0, 2, 1, 1, is_durable=True)
    one_of_two.restore(store.snapshot(), is_voter=True)
    request = codec.encode(codec.SyncRequest(1, 0, 1, 0))
    assert one_of_two.on_message(0.0, 1, request)
    one_of_two.propose(0.0, EntryKind.FREEZE, "y", b"")
    assert not one_of_two.on_message(0.0, 1, request), "to the peer it is a lost response, which is harmless"
