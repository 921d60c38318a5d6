"""Fair turns for connections with unprocessed messages: round robin with bounded work.

Two bounds hold in each iteration of the event loop. Connections that wait take turns of a few messages each,
until a number of messages or a time is reached. A look at a client, which precedes the send of one of its
calls, has a bound of its own for each connection and one in time for all. The module does no I/O; the caller
passes in the time.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MESSAGES_PER_ITERATION = 64  # messages of all waiting connections together
MAX_TURN_MESSAGES = 32
# Of these, the most for connections that have not had a turn since they came, and for each of them.
ARRIVED_MESSAGES_PER_ITERATION = 40
ARRIVED_TURN_MESSAGES = 8
ITERATION_TIME_S = 0.010  # time after which no further connection takes a turn in this iteration
# A client that keeps to its 32 open calls has sent fewer messages than this, interrupts included, unless this
# process was stopped for several of its time limits.
LOOK_MESSAGES_PER_CONNECTION = 256
LOOK_TIME_S = 0.020  # time after which looks at clients are short in this iteration
SHORT_LOOK_MESSAGES = 8

ConnectionT = TypeVar("ConnectionT")


class Turn(NamedTuple, Generic[ConnectionT]):
    """The turn of one connection in this iteration."""

    connection: ConnectionT
    max_messages: int


class TurnQueue(Generic[ConnectionT]):
    """The connections with unprocessed messages, in the order of their next turns.

    A connection that has just come has its first turn before those that have had one, so that one with few
    messages does not wait for a round of all the others. A part of each iteration remains for the others.
    """

    def __init__(self) -> None:
        self._arrived: dict[ConnectionT, None] = {}  # have not had a turn since they came
        self._waiting: dict[ConnectionT, None] = {}

    def __len__(self) -> int:
        return len(self._arrived) + len(self._waiting)

    def add(self, connection: ConnectionT, *, is_new: bool) -> None:
        """Add a connection at the end, unless it waits already.

        Args:
            connection: The connection.
            is_new: Whether the connection has not just had a turn that left messages.
        """
        if connection not in self._arrived and connection not in self._waiting:
            (self._arrived if is_new else self._waiting)[connection] = None

    def discard(self, connection: ConnectionT) -> None:
        """Remove a connection, for example because it was closed."""
        self._arrived.pop(connection, None)
        self._waiting.pop(connection, None)

    def first_turn_messages(self) -> int:
        """Return the number of messages that a connection may process as soon as they are read.

        While others wait, that is none, so that a connection with new input takes its turn in order.
        """
        return 0 if len(self) else MAX_TURN_MESSAGES

    def take(self) -> list[Turn[ConnectionT]]:
        """Remove and return the turns of this iteration, in order."""
        arrived = list(self._arrived)[: ARRIVED_MESSAGES_PER_ITERATION // ARRIVED_TURN_MESSAGES]
        for connection in arrived:
            del self._arrived[connection]
        messages = MESSAGES_PER_ITERATION - len(arrived) * ARRIVED_TURN_MESSAGES
        turn_messages = min(MAX_TURN_MESSAGES, max(1, messages // max(1, len(self._waiting))))
        waiting = list(self._waiting)[: messages // turn_messages]
        for connection in waiting:
            del self._waiting[connection]
        return [
            *(Turn(connection, ARRIVED_TURN_MESSAGES) for connection in arrived),
            *(Turn(connection, turn_messages) for connection in waiting),
        ]

    def put_back(self, turns: list[Turn[ConnectionT]]) -> None:
        """Add connections at the front, because their turns did not come."""
        self._waiting = dict.fromkeys(turn.connection for turn in turns) | self._waiting


class LookBudget(Generic[ConnectionT]):
    """The messages that looks at clients may still process in this iteration of the event loop."""

    def __init__(self) -> None:
        self._used: dict[ConnectionT, int] = {}
        self._ends_at_s = 0.0

    def is_started(self) -> bool:
        """Return whether a look has taken place in this iteration."""
        return bool(self._used)

    def allowance(self, connection: ConnectionT, now_s: float) -> int:
        """Return the number of messages that a look at a connection may process now."""
        if not self._used:
            self._ends_at_s = now_s + LOOK_TIME_S
        limit = LOOK_MESSAGES_PER_CONNECTION if now_s < self._ends_at_s else SHORT_LOOK_MESSAGES
        return max(0, limit - self._used.get(connection, 0))

    def spend(self, connection: ConnectionT, messages: int) -> None:
        """Record the messages that a look at a connection has processed."""
        self._used[connection] = self._used.get(connection, 0) + messages

    def end_iteration(self) -> None:
        """Allow all looks again."""
        self._used.clear()
