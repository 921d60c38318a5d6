"""The order of turns and the bounds on looks, without an event loop."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cedarthread.limits.input_turns import (
    LOOK_MESSAGES_PER_CONNECTION,
    LOOK_TIME_S,
    MAX_TURN_MESSAGES,
    MESSAGES_PER_ITERATION,
    SHORT_LOOK_MESSAGES,
    LookBudget,
    TurnQueue,
)

fixed_examples = settings(derandomize=True, deadline=None)


@fixed_examples
@given(st.integers(1, 500))
def test_one_iteration_processes_a_bounded_number_of_messages(waiting: int) -> None:
    queue = TurnQueue[int]()
    for connection in range(waiting):
        queue.add(connection)
    turn_messages = queue.turn_messages()
    assert 1 <= turn_messages <= MAX_TURN_MESSAGES
    assert len(queue.take()) * turn_messages <= MESSAGES_PER_ITERATION


@fixed_examples
@given(st.integers(1, 200))
def test_each_connection_gets_a_turn_within_one_round(waiting: int) -> None:
    queue = TurnQueue[int]()
    for connection in range(waiting):
        queue.add(connection)
    turns = 0
    seen: set[int] = set()
    while len(seen) < waiting:
        taken = queue.take()
        turns += len(taken)
        seen.update(taken)
        for connection in taken:
            queue.add(connection)
    assert turns < waiting + MESSAGES_PER_ITERATION


def test_connections_whose_turns_did_not_come_are_first_in_the_next_iteration() -> None:
    queue = TurnQueue[str]()
    for connection in ("a", "b", "c"):
        queue.add(connection)
    taken = queue.take()
    queue.add("a")
    queue.put_back(taken[1:])
    assert queue.take() == ["b", "c", "a"]


def test_a_closed_connection_gets_no_turn() -> None:
    queue = TurnQueue[str]()
    queue.add("a")
    queue.discard("a")
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
