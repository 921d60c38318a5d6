"""The replicated store by itself: entries, datagrams, bounds, votes, and the table of acts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.model.actions import SendToPeer
from cedarthread.replication import codec, conflicts, messages
from cedarthread.replication import entry as entries
from cedarthread.replication.conflicts import Act
from cedarthread.replication.entry import EncodedEntry, RejectedEntry, entry_digest, join
from cedarthread.replication.state import ReplicaState
from cedarthread.replication.store import ReplicatedStore
from cedarthread.replication.sync_exchange import MAX_TICK_GAP_MS
from cedarthread.replication.sync_server import RESPONSE_BURST
from cedarthread.testing.replication_simulation import StoreSimulation

VERSIONS = st.builds(Version, st.integers(0, 3), st.integers(0, 2), st.integers(0, 2))
ENTRIES = st.builds(Entry, st.just(EntryKind.CONTRACT), st.just("t"), VERSIONS, st.binary(max_size=2))
quick = given_settings(derandomize=True, database=None, deadline=None, max_examples=150)


@quick
@given(ENTRIES, ENTRIES, ENTRIES)
def test_join_is_a_maximum_and_states_do_not_depend_on_the_order_of_merges(
    first: Entry, second: Entry, third: Entry
) -> None:
    assert join(first, second) == join(second, first) and join(first, first) == first
    winner = join(first, join(second, third))
    assert winner == join(join(first, second), third)
    roots = set()
    for order in (
        (first, second, third),
        (third, second, first),
        (second, first, second, third, first),
    ):
        state = ReplicaState()
        for entry in order:
            state.merge(0.0, EncodedEntry.of(entry))
        roots.add(state.root_digest)
        assert state.root_digest == sum(state.bucket_sums) % 2**64 == entry_digest(winner)
    assert len(roots) == 1


@quick
@given(st.binary(max_size=300), st.integers(0, 7))
def test_decoding_never_raises_and_encoding_restores_the_bytes(data: bytes, kind: int) -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    for datagram in (data, bytes((0xC3, kind)) + data):
        message = codec.decode(datagram)
        assert isinstance(message, MalformedDatagram) or codec.encode(message) == datagram
        for answer in store.on_message(0.0, 1, datagram):
            assert isinstance(answer, SendToPeer) and len(answer.data) <= MAX_DATAGRAM_BYTES
    entry = entries.decode(data)
    assert isinstance(entry, RejectedEntry) or entries.encode(entry) == data


def test_an_entry_beyond_a_bound_is_rejected_with_location_and_problem() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    for name, body, location in (("", b"", "name"), ("é" * 33, b"", "name"), ("a", b"x" * 2049, "body")):
        rejected = store.propose(0.0, EntryKind.FREEZE, name, body)
        assert isinstance(rejected, RejectedEntry)
        assert location in rejected.location and "bytes" in rejected.problem
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        assert isinstance(store.propose(0.0, EntryKind.FREEZE, f"{number}", b"x" * 2048), Entry)
    assert isinstance(store.propose(0.0, EntryKind.FREEZE, "one more", b""), RejectedEntry)
    assert isinstance(store.propose(0.0, EntryKind.FREEZE, "7", b"new"), Entry)


def test_proposing_the_same_meaning_changes_nothing() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    first = store.propose(0.0, EntryKind.TIERS, "t", b"a, b")
    assert store.propose(1.0, EntryKind.TIERS, "t", b"a, b") is first
    assert store.propose(1.0, EntryKind.TIERS, "t", b"a,b", lambda body: body.replace(b" ", b"")) is first
    second = store.propose(1.0, EntryKind.TIERS, "t", b"b, a")
    assert isinstance(first, Entry) and isinstance(second, Entry)
    assert second.version > first.version and second.replaces_digest == entry_digest(first)
    assert [held.entry for held in store.entries(EntryKind.TIERS)] == [second]
    assert len(store.take_changes()) == 1


def test_of_two_concurrent_edits_one_wins_everywhere_and_the_losing_author_logs_it() -> None:
    simulation = StoreSimulation(4, 3, period_ms=100.0)
    edits = [simulation.propose(router, "tenant", b"by %d" % router) for router in (1, 2)]
    simulation.run(5000.0)
    assert simulation.has_converged()
    winner = join(*edits)
    (held,) = simulation.stores[0].entries(EntryKind.CONTRACT)
    assert held.entry == winner and held.replicated_at_ms is not None
    loser = 3 - winner.version.author
    assert [line.split(":")[0] for line in simulation.logs if "concurrent_edit_lost " in line] == [str(loser)]
    simulation.propose(loser, "tenant", b"knowing it")
    simulation.run(5000.0)
    assert (
        simulation.has_converged() and sum("concurrent_edit_lost " in line for line in simulation.logs) == 1
    )


def test_a_full_store_is_fetched_completely_within_its_byte_budget_despite_loss() -> None:
    """Long entries in fragments, long summaries in parts, and no second with more bytes than are allowed."""
    simulation = StoreSimulation(3, 5, period_ms=100.0)
    rng = random.Random(1)
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        body = rng.randbytes(number * 2)
        proposed = simulation.stores[0].propose(0.0, EntryKind.CONTRACT, f"{number}", body)
        assert isinstance(proposed, Entry)
    simulation.observe(0, [])
    simulation.loss_rate, max_bytes_per_second = 0.2, 0.0
    for second in range(90):
        sent_before = simulation.bytes_sent
        simulation.run(1000.0)
        sent = simulation.bytes_sent - sent_before
        max_bytes_per_second = max(max_bytes_per_second, sent)
        if second > 9 and simulation.has_converged() and sent < 2000:
            break  # all of it has arrived and is confirmed
    assert simulation.has_converged() and max_bytes_per_second < 3 * 26_000
    assert simulation.longest_datagram_bytes <= MAX_DATAGRAM_BYTES
    for store in simulation.stores.values():
        assert not store.sessions.fragments.invalid_count
        assert len(store.entries(EntryKind.CONTRACT)) == 512


def test_a_flood_is_answered_within_the_budget_and_unknown_senders_not_at_all() -> None:
    store = ReplicatedStore(0, 3, 1, 1)
    request = codec.encode(codec.SyncRequest(1, 5, 1, 0))
    answers = [answer for _ in range(1000) for answer in store.on_message(0.0, 1, request)]
    assert RESPONSE_BURST <= len(answers) <= RESPONSE_BURST + 2
    entry = store.propose(0.0, EntryKind.FREEZE, "x", b"x" * 300)
    assert isinstance(entry, Entry)
    first, _ = codec.split_into_fragments(entries.encode(entry), entry_digest(entry))
    store.on_message(0.0, 1, codec.encode(first))
    assert not store.sessions.fragments.partial_entries, "a known entry is not assembled again"
    assert not store.on_message(9999.0, 3, request) and not store.on_message(9999.0, 0, request)


def _next_request(store: ReplicatedStore, now_ms: float) -> tuple[SendToPeer, codec.SyncRequest]:
    store.sessions.fully_read_peers.update(store.all_peers)  # the store is not bootstrapping any more
    (message,) = (message for message in store.on_tick(now_ms) if isinstance(message, SendToPeer))
    request = codec.decode(message.data)
    assert isinstance(request, codec.SyncRequest)
    return message, request


def test_a_response_counts_once_from_the_peer_asked_and_not_after_a_pause() -> None:
    def response_to(request: codec.SyncRequest) -> bytes:
        return codec.encode(codec.SyncResponse(request.nonce, 0, 9, True, 100, 0, b""))

    store = ReplicatedStore(0, 3, 1, 1, period_ms=400.0)
    store.restore((), is_voter=True)
    message, request = _next_request(store, 500.0)
    assert message.peer_index is not None
    store.on_message(510.0, 3 - message.peer_index, response_to(request))
    assert not store.is_fresh(510.0)
    message, request = _next_request(store, 1500.0)
    assert message.peer_index is not None
    store.on_message(1600.0, message.peer_index, response_to(request))
    assert store.is_fresh(1600.0) and store.fresh_since(1700.0) == 1600.0
    assert store.is_fresh(1500.0 + store.window_ms) and not store.is_fresh(1501.0 + store.window_ms)
    message, request = _next_request(store, 2500.0)
    store.on_tick(2500.0 + MAX_TICK_GAP_MS + 1.0)
    assert message.peer_index is not None
    store.on_message(4600.0, message.peer_index, response_to(request))
    assert not store.is_fresh(1501.0 + store.window_ms)


def test_an_entry_that_is_not_persisted_is_not_reported_as_held() -> None:
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
    assert not one_of_two.on_message(0.0, 1, request), "no answer is like a loss, which breaks nothing"


def test_a_fleet_that_starts_without_memory_gets_its_votes_and_is_fresh() -> None:
    simulation = StoreSimulation(7, 4, is_voter=False, period_ms=100.0, window_ms=2000.0)
    simulation.loss_rate = 0.1
    simulation.propose(3, "x", b"")
    simulation.run(1900.0)
    assert not any(store.is_voter for store in simulation.stores.values())
    assert not any(map(simulation.is_fresh, simulation.stores))
    simulation.run(6000.0)
    assert simulation.all_fresh()


def test_half_of_an_even_fleet_gets_its_votes_from_the_other_half() -> None:
    simulation = StoreSimulation(6, 4, period_ms=100.0, window_ms=2000.0)
    for router in range(3):
        simulation.start(router)
    simulation.run(8000.0)
    assert simulation.all_fresh()


def test_ages_are_reported_as_the_fastest_clock_measures_them() -> None:
    store = ReplicatedStore(0, 3, 1, 1, window_ms=4800.0, clock_rate=0.05)
    freshness = store.replica.freshness
    freshness.read_as_voter_at_ms[1] = freshness.read_at_ms[1] = 0.0
    ages = [byte & messages.AGE_UNKNOWN for byte in freshness.encode_ages(2000.0, 0)]
    assert ages == [messages.AGE_UNKNOWN, 23, messages.AGE_UNKNOWN]
    assert freshness.encode_ages(6000.0, 0)[1] == messages.AGE_UNKNOWN


def test_ages_of_a_large_fleet_are_requested_in_segments() -> None:
    store = ReplicatedStore(0, 300, 1, 1)
    freshness = store.replica.freshness
    assert len(freshness.encode_ages(0.0, 0)) == 208 and len(freshness.encode_ages(0.0, 208)) == 92
    first_routers = {_next_request(store, at_ms)[1].first_router for at_ms in (1e3, 2e3, 3e3, 4e3)}
    assert first_routers == {0, 208}


@pytest.mark.parametrize("act", Act, ids=lambda act: act.name)
def test_each_act_has_a_rule_whose_fallback_contradicts_nothing(act: Act) -> None:
    rule = conflicts.ACT_RULES[act]
    assert all(conflicts.are_contradictory(other, act) for other in rule.contradicts)
    assert conflicts.act_or_fallback(act, is_fresh=True) is act
    assert conflicts.act_or_fallback(act, is_fresh=False) is rule.fallback
    assert not any(conflicts.are_contradictory(rule.fallback, other) for other in Act)
    assert rule.fallback is conflicts.ACT_RULES[rule.fallback].fallback and rule.reason
