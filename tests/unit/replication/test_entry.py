"""Entries: the join of versions, and the state that results from merges."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.components.replicated_state import Entry, EntryKind, Version
from cedarthread.replication.entry import EncodedEntry, entry_digest, join
from cedarthread.replication.state import ReplicaState

VERSIONS = st.builds(Version, st.integers(0, 3), st.integers(0, 2), st.integers(0, 2))
ENTRIES = st.builds(Entry, st.just(EntryKind.CONTRACT), st.just("t"), VERSIONS, st.binary(max_size=2))


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(ENTRIES, ENTRIES, ENTRIES)
def test_join_is_a_maximum_and_states_do_not_depend_on_the_order_of_merges(
    first: Entry, middle: Entry, last: Entry
) -> None:
    assert join(first, middle) == join(middle, first)
    assert join(first, first) == first
    winner = join(first, join(middle, last))
    assert winner == join(join(first, middle), last)
    root_digests = set()
    for merge_order in (
        (first, middle, last),
        (last, middle, first),
        (middle, first, middle, last, first),
    ):
        state = ReplicaState()
        for entry in merge_order:
            state.merge(0.0, EncodedEntry.of(entry))
        root_digests.add(state.root_digest)
        assert state.root_digest == sum(state.bucket_sums) % 2**64 == entry_digest(winner)
    assert len(root_digests) == 1
