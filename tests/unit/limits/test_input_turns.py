"""The order of turns and the bounds on looks, without an event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.limits.input_turns import (
    ARRIVED_MESSAGES_PER_ITERATION,
    LOOK_MESSAGES_PER_CONNECTION,
    LOOK_TIME_S,
    MAX_TURN_MESSAGES,
    MESSAGES_PER_ITERATION,
    SHORT_LOOK_MESSAGES,
    LookBudget,
    TurnQueue,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

fixed_examples = settings(derandomize=True, deadline=None)


def queue_of(connections: Iterable[int], *, is_new: bool = False) -> TurnQueue[int]:
    queue = TurnQueue[int]()
    for connection in connections:
        queue.add(connection, is_new=is_new)
    return queue


@fixed_examples
@given(st.sets(st.integers(0, 500)), st.sets(st.integers(501, 1000)))
def test_one_iteration_processes_a_bounded_number_of_messages(arrived: set[int], waiting: set[int]) -> None:
    queue = queue_of(waiting)
    for connection in arrived:
        queue.add(connection, is_new=True)
    turns = queue.take()
    assert sum(turn.max_messages for turn in turns) <= MESSAGES_PER_ITERATION
    assert all(1 <= turn.max_messages <= MAX_TURN_MESSAGES for turn in turns)
    assert bool(turns) is bool(arrived or waiting)


@fixed_examples
@given(st.integers(1, 200), st.integers(0, 20))
def test_each_connection_gets_a_turn_within_one_round_whatever_arrives(waiting: int, arriving: int) -> None:
    queue = queue_of(range(waiting))
    seen: set[int] = set()
    iterations = 0
    while not seen >= set(range(waiting)):
        for number in range(arriving):
            queue.add(1000 + arriving * iterations + number, is_new=True)
        for turn in queue.take():
            seen.add(turn.connection)
            queue.add(turn.connection, is_new=False)
        iterations += 1
    least_per_iteration = MESSAGES_PER_ITERATION - ARRIVED_MESSAGES_PER_ITERATION
    rounds = 1 + waiting // least_per_iteration
    arrived_meanwhile = arriving * iterations
    assert iterations <= rounds + arrived_meanwhile // least_per_iteration + 1


def test_a_connection_that_arrives_comes_before_a_round_of_the_others() -> None:
    queue = queue_of(range(300))
    queue.add(1000, is_new=True)
    assert queue.take()[0].connection == 1000


def test_connections_whose_turns_did_not_come_are_first_in_the_next_iteration() -> None:
    queue = queue_of([1, 2, 3])
    turns = queue.take()
    queue.add(1, is_new=False)
    queue.put_back(turns[1:])
    assert [turn.connection for turn in queue.take()] == [2, 3, 1]


def test_new_input_is_processed_at_once_only_while_nobody_waits() -> None:
    queue = queue_of([])
    assert queue.first_turn_messages() == MAX_TURN_MESSAGES
    queue.add(1, is_new=True)
    assert queue.first_turn_messages() == 0
    queue.take()
    assert queue.first_turn_messages() == MAX_TURN_MESSAGES


def test_a_closed_connection_gets_no_turn() -> None:
    queue = queue_of([1])
    queue.add(2, is_new=True)
    queue.discard(1)
    queue.discard(2)
    assert queue.take() == []


def test_a_look_is_bounded_for_each_connection_and_short_once_the_time_is_over() -> None:
    budget = LookBudget[str]()
    assert budget.allowance("a", 10.0) == LOOK_MESSAGES_PER_CONNECTION
    budget.spend("a", LOOK_MESSAGES_PER_CONNECTION)
    assert budget.allowance("a", 10.0) == 0
    assert budget.allowance("b", 10.0) == LOOK_MESSAGES_PER_CONNECTION
    assert budget.allowance("b", 10.0 + LOOK_TIME_S) == SHORT_LOOK_MESSAGES
    budget.end_iteration()
    assert budget.allowance("a", 20.0) == LOOK_MESSAGES_PER_CONNECTION
