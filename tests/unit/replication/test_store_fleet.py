"""Small simulated fleets of replicated stores: concurrent edits, a full store, and votes."""

from __future__ import annotations

import random

from cedarthread.components.datagram_fields import MAX_DATAGRAM_BYTES
from cedarthread.components.replicated_state import Entry, EntryKind
from cedarthread.replication import entry as entries
from cedarthread.replication.entry import join
from cedarthread.testing.replication_simulation import StoreSimulation


def _lost_edits(simulation: StoreSimulation) -> list[str]:
    """Return the routers that logged the loss of an edit, once for each log line."""
    return [line.split(":")[0] for line in simulation.logs if "concurrent_edit_lost " in line]


def test_of_two_concurrent_edits_one_wins_everywhere_and_the_losing_author_logs_it() -> None:
    simulation = StoreSimulation(4, 3, period_ms=100.0)
    edits = [simulation.propose(router, "tenant", b"by %d" % router) for router in (1, 2)]
    simulation.run(5000.0)
    assert simulation.has_converged()
    winner = join(*edits)
    (stored,) = simulation.stores[0].entries(EntryKind.CONTRACT)
    assert stored.entry == winner
    assert stored.replicated_at_ms is not None
    loser = 3 - winner.version.author
    assert _lost_edits(simulation) == [str(loser)]
    simulation.propose(loser, "tenant", b"knowing it")
    simulation.run(5000.0)
    assert simulation.has_converged()
    assert len(_lost_edits(simulation)) == 1


def test_a_full_store_is_fetched_completely_within_its_byte_budget_despite_loss() -> None:
    """Long entries arrive in fragments and long summaries in parts; each second stays within the budget."""
    simulation = StoreSimulation(3, 5, period_ms=100.0)
    rng = random.Random(1)
    for number in range(entries.MAX_PROPOSED_ENTRIES):
        body = rng.randbytes(number * 2)
        proposed = simulation.stores[0].propose(0.0, EntryKind.CONTRACT, f"{number}", body)
        assert isinstance(proposed, Entry)
    simulation.observe(0, [])
    simulation.loss_rate = 0.2
    max_bytes_per_second = 0.0
    for elapsed_s in range(90):
        sent_before = simulation.bytes_sent
        simulation.run(1000.0)
        sent_bytes = simulation.bytes_sent - sent_before
        max_bytes_per_second = max(max_bytes_per_second, sent_bytes)
        if elapsed_s > 9 and simulation.has_converged() and sent_bytes < 2000:
            break  # all entries have arrived and are confirmed
    assert simulation.has_converged()
    assert max_bytes_per_second < 3 * 26_000
    assert simulation.longest_datagram_bytes <= MAX_DATAGRAM_BYTES
    for store in simulation.stores.values():
        assert not store.sessions.fragments.invalid_count
        assert len(store.entries(EntryKind.CONTRACT)) == 512


def test_routers_that_start_without_memory_become_voters_and_fresh() -> None:
    simulation = StoreSimulation(7, 4, is_voter=False, period_ms=100.0, window_ms=2000.0)
    simulation.loss_rate = 0.1
    simulation.propose(3, "x", b"")
    simulation.run(1900.0)
    assert not any(store.is_voter for store in simulation.stores.values())
    assert not any(map(simulation.is_fresh, simulation.stores))
    simulation.run(6000.0)
    assert simulation.all_fresh()


def test_half_of_an_even_fleet_regains_its_votes_from_the_other_half() -> None:
    simulation = StoreSimulation(6, 4, period_ms=100.0, window_ms=2000.0)
    for router in range(3):
        simulation.start(router)
    simulation.run(8000.0)
    assert simulation.all_fresh()
