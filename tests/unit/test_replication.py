"""Parts of the register by themselves: values, datagrams, bounds, the table of acts."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import settings as given_settings
from hypothesis import strategies as st

from cedarthread.components.interface import Entry, EntryKind, Version
from cedarthread.gossip.codec import MAX_DATAGRAM_BYTES, MalformedDatagram
from cedarthread.model.actions import SendToPeer
from cedarthread.replication import codec, conflicts
from cedarthread.replication import entry as entries
from cedarthread.replication.conflicts import Act
from cedarthread.replication.entry import EncodedEntry, RejectedEntry
from cedarthread.replication.state import ReplicaState
from cedarthread.replication.store import MAX_TICK_GAP_MS, ReplicatedStore
from cedarthread.replication.sync_server import RESPONSE_BURST
from tests.simulation.test_replication_fleet import World

VERSIONS = st.builds(Version, st.integers(0, 3), st.integers(0, 2), st.integers(0, 2))
ENTRIES = st.builds(Entry, st.just(EntryKind.CONTRACT), st.just("t"), VERSIONS, st.binary(max_size=2))
quick = given_settings(derandomize=True, database=None, deadline=None, max_examples=150)


@quick
@given(ENTRIES, ENTRIES, ENTRIES)
def test_the_join_is_a_maximum_and_contents_grow_by_it_in_any_order(a: Entry, b: Entry, c: Entry) -> None:
    assert entries.join(a, b) == entries.join(b, a) and entries.join(a, a) == a
    assert entries.join(a, entries.join(b, c)) == entries.join(entries.join(a, b), c)
    roots = set()
    for order in ((a, b, c), (c, b, a), (b, a, b, c, a)):
        content = ReplicaState()
        for entry in order:
            content.merge(0.0, EncodedEntry.of(entry))
        roots.add(content.root_digest)
        assert (
            content.root_digest
            == sum(content.bucket_sums) % 2**64
            == entries.entry_digest(entries.join(a, entries.join(b, c)))
        )
    assert len(roots) == 1


@quick
@given(st.binary(max_size=300), st.integers(0, 7))
def test_no_bytes_raise_and_what_is_read_is_written_alike(data: bytes, kind: int) -> None:
    register = ReplicatedStore(0, 3, 1, 1)
    for raw in (data, bytes((0xC3, kind)) + data):
        message = codec.decode(raw)
        assert isinstance(message, MalformedDatagram) or codec.encode(message) == raw
        for word in register.on_message(0.0, 1, raw):
            assert isinstance(word, SendToPeer) and len(word.data) <= MAX_DATAGRAM_BYTES
    read = entries.decode(data)
    assert isinstance(read, RejectedEntry) or entries.encode(read) == data


def test_what_is_over_a_bound_is_refused_with_where_and_what() -> None:
    register = ReplicatedStore(0, 3, 1, 1)
    for name, body, word in (("", b"", "name"), ("é" * 33, b"", "name"), ("a", b"x" * 2049, "body")):
        refused = register.propose(0.0, EntryKind.FREEZE, name, body)
        assert isinstance(refused, RejectedEntry) and word in refused.location and "bytes" in refused.problem
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        assert isinstance(register.propose(0.0, EntryKind.FREEZE, f"{number}", b"x" * 2048), Entry)
    assert isinstance(register.propose(0.0, EntryKind.FREEZE, "one more", b""), RejectedEntry)
    assert isinstance(register.propose(0.0, EntryKind.FREEZE, "7", b"new"), Entry)


def test_the_same_meaning_changes_nothing() -> None:
    register = ReplicatedStore(0, 3, 1, 1)
    first = register.propose(0.0, EntryKind.TIERS, "t", b"a, b")
    assert register.propose(1.0, EntryKind.TIERS, "t", b"a, b") is first
    assert register.propose(1.0, EntryKind.TIERS, "t", b"a,b", lambda body: body.replace(b" ", b"")) is first
    second = register.propose(1.0, EntryKind.TIERS, "t", b"b, a")
    assert isinstance(first, Entry) and isinstance(second, Entry)
    assert second.version > first.version and second.replaces_digest == entries.entry_digest(first)
    assert [held.entry for held in register.entries(EntryKind.TIERS)] == [second] and len(
        register.take_changes()
    ) == 1


def test_of_two_edits_at_once_one_holds_at_all_and_the_other_author_hears_of_it() -> None:
    world = World(4, 3, period_ms=100.0)
    edits = [world.propose(n, "tenant", b"by %d" % n) for n in (1, 2)]
    world.run(5000.0)
    assert world.alike()
    winner = entries.join(*edits)
    (held,) = world.routers[0].entries(EntryKind.CONTRACT)
    assert held.entry == winner and held.replicated_at_ms is not None
    loser = 3 - winner.version.author
    assert [line.split(":")[0] for line in world.logs if "lost to" in line] == [str(loser)]
    world.propose(loser, "tenant", b"knowing it")
    world.run(5000.0)
    assert world.alike() and sum("lost to" in line for line in world.logs) == 1


def test_a_full_register_comes_over_whole_within_its_budget_though_much_is_lost() -> None:
    """Long entries in pieces, long summaries in parts, and no second of more bytes than are allowed."""
    world = World(3, 5, period_ms=100.0)
    dice = random.Random(1)
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        kept = world.routers[0].propose(0.0, EntryKind.CONTRACT, f"{number}", dice.randbytes(number * 2))
        assert isinstance(kept, Entry)
    world.after(0, [])
    world.loss, most = 0.2, 0.0
    for second in range(90):
        before = world.bytes
        world.run(1000.0)
        most = max(most, world.bytes - before)
        if second > 9 and world.alike() and world.bytes - before < 2000:
            break  # all is there, and told of to the end
    assert world.alike() and world.longest <= MAX_DATAGRAM_BYTES and most < 3 * 26_000
    assert all(
        not r.sessions.fragments.invalid_count and len(r.entries(EntryKind.CONTRACT)) == 512
        for r in world.routers.values()
    )


def test_a_flood_is_answered_within_bounds_and_strangers_not_at_all() -> None:
    register = ReplicatedStore(0, 3, 1, 1)
    pull = codec.encode(codec.SyncRequest(1, 5, 1, 0))
    told = [word for n in range(1000) for word in register.on_message(0.0, 1, pull)]
    assert RESPONSE_BURST <= len(told) <= RESPONSE_BURST + 2
    entry = register.propose(0.0, EntryKind.FREEZE, "x", b"x" * 300)
    assert isinstance(entry, Entry)
    first, _ = codec.split_into_fragments(entries.encode(entry), entries.entry_digest(entry))
    register.on_message(0.0, 1, codec.encode(first))
    assert not register.sessions.fragments.partial_entries, "what is known waits for nothing"
    assert not register.on_message(9999.0, 3, pull) and not register.on_message(9999.0, 0, pull)


def _asked(register: ReplicatedStore, now: float) -> tuple[SendToPeer, codec.SyncRequest]:
    register.sessions.fully_read_peers.update(register.all_peers)  # no start any more
    (tell,) = (word for word in register.on_tick(now) if isinstance(word, SendToPeer))
    pull = codec.decode(tell.data)
    assert isinstance(pull, codec.SyncRequest)
    return tell, pull


def test_only_the_one_asked_is_believed_once_and_nothing_from_before_a_stand_still() -> None:
    register = ReplicatedStore(0, 3, 1, 1, period_ms=400.0)
    register.restore((), is_voter=True)
    tell, pull = _asked(register, 500.0)
    assert tell.peer_index is not None
    reply = codec.encode(codec.SyncResponse(pull.nonce, 0, 9, True, 100, 0, b""))
    register.on_message(510.0, 3 - tell.peer_index, reply)
    assert not register.is_fresh(510.0)
    tell, pull = _asked(register, 1500.0)
    reply = codec.encode(codec.SyncResponse(pull.nonce, 0, 9, True, 100, 0, b""))
    assert tell.peer_index is not None
    register.on_message(1600.0, tell.peer_index, reply)
    assert register.is_fresh(1600.0) and register.fresh_since(1700.0) == 1600.0
    assert register.is_fresh(1500.0 + register.window_ms) and not register.is_fresh(
        1501.0 + register.window_ms
    )
    tell, pull = _asked(register, 2500.0)
    register.on_tick(2500.0 + MAX_TICK_GAP_MS + 1.0)
    assert tell.peer_index is not None
    register.on_message(
        4600.0, tell.peer_index, codec.encode(codec.SyncResponse(pull.nonce, 0, 9, True, 100, 0, b""))
    )
    assert not register.is_fresh(1501.0 + register.window_ms)


def test_what_is_not_stored_is_not_said_to_be_held() -> None:
    register = ReplicatedStore(0, 1, 1, 1, is_durable=True)
    register.propose(0.0, EntryKind.FREEZE, "x", b"")
    assert register.entries(EntryKind.FREEZE)[0].replicated_at_ms is None
    register.mark_persisted(5.0, register.revision)
    assert register.entries(EntryKind.FREEZE)[0].replicated_at_ms == 5.0
    pair = ReplicatedStore(0, 2, 1, 1, is_durable=True)
    pair.restore(register.snapshot(), is_voter=True)
    pull = codec.encode(codec.SyncRequest(1, 0, 1, 0))
    assert pair.on_message(0.0, 1, pull)
    pair.propose(0.0, EntryKind.FREEZE, "y", b"")
    assert not pair.on_message(0.0, 1, pull), "its silence is a loss, which breaks nothing"


def test_a_fleet_that_starts_without_any_memory_takes_seats_and_is_fresh() -> None:
    world = World(7, 4, seated=False, period_ms=100.0, window_ms=2000.0)
    world.loss = 0.1
    world.propose(3, "x", b"")
    world.run(1900.0)
    assert not any(r.is_voter or r.is_fresh(world.local(n, world.now)) for n, r in world.routers.items())
    world.run(6000.0)
    assert all(r.is_fresh(world.local(n, world.now)) for n, r in world.routers.items())


def test_half_of_an_even_fleet_takes_seats_by_the_other_half() -> None:
    world = World(6, 4, period_ms=100.0, window_ms=2000.0)
    for n in range(3):
        world.start(n)
    world.run(8000.0)
    assert all(r.is_fresh(world.local(n, world.now)) for n, r in world.routers.items())


def test_ages_are_told_as_the_fastest_clock_would_have_them() -> None:
    evidence = ReplicatedStore(0, 3, 1, 1, window_ms=4800.0, clock_rate=0.05).replica.freshness
    evidence.read_as_voter_at_ms[1] = evidence.read_at_ms[1] = 0.0
    assert [age & codec.AGE_UNKNOWN for age in evidence.encode_ages(2000.0, 0)] == [
        codec.AGE_UNKNOWN,
        23,
        codec.AGE_UNKNOWN,
    ]
    assert evidence.encode_ages(6000.0, 0)[1] == codec.AGE_UNKNOWN


def test_a_fleet_of_more_than_one_reply_speaks_of_is_told_in_segments() -> None:
    evidence = ReplicatedStore(0, 300, 1, 1).replica.freshness
    assert len(evidence.encode_ages(0.0, 0)) == 208 and len(evidence.encode_ages(0.0, 208)) == 92
    register = ReplicatedStore(0, 300, 1, 1)
    asked = {_asked(register, at * 1000.0)[1].first_router for at in range(1, 5)}
    assert asked == {0, 208}


@pytest.mark.parametrize("act", Act)
def test_each_act_has_its_row_and_its_cautious_act_contradicts_nothing(act: Act) -> None:
    row = conflicts.ACT_RULES[act]
    assert all(conflicts.are_contradictory(other, act) for other in row.contradicts)
    assert (
        conflicts.act_or_fallback(act, is_fresh=True) is act
        and conflicts.act_or_fallback(act, is_fresh=False) is row.fallback
    )
    assert not any(conflicts.are_contradictory(row.fallback, other) for other in Act)
    assert row.fallback is conflicts.ACT_RULES[row.fallback].fallback and row.reason
