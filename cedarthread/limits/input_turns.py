"""Fair turns for connections with unprocessed messages: round robin with bounded work.

Two bounds hold in each iteration of the event loop. Connections that wait take turns of a few messages each,
until a number of messages or a time is reached. A look at a client, which precedes the send of one of its
calls, has a bound of its own for each connection and one in time for all. The module does no I/O; the caller
passes in the time.
"""

from __future__ import annotations

from typing import Generic, TypeVar

MESSAGES_PER_ITERATION = 64  # messages of all waiting connections together
MAX_TURN_MESSAGES = 32
ITERATION_TIME_S = 0.010  # time after which no further connection takes a turn in this iteration
# A client that keeps to its 32 open calls has sent fewer messages than this, interrupts included, unless this
# process was stopped for several of its time limits.
LOOK_MESSAGES_PER_CONNECTION = 256
LOOK_TIME_S = 0.020  # time after which looks at clients are short in this iteration
SHORT_LOOK_MESSAGES = 40  # all open calls of one client, and some interrupts

ConnectionT = TypeVar("ConnectionT")


class TurnQueue(Generic[ConnectionT]):
    """The connections with unprocessed messages, in the order of their next turns."""

    def __init__(self) -> None:
        self._waiting: dict[ConnectionT, None] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: ConnectionT) -> None:
        """Add a connection at the end, unless it waits already."""
        self._waiting.setdefault(connection, None)

    def put_back(self, connections: list[ConnectionT]) -> None:
        """Add connections at the front, because their turns did not come."""
        self._waiting = dict.fromkeys(connections) | self._waiting

    def discard(self, connection: ConnectionT) -> None:
        """Remove a connection, for example because it was closed."""
        self._waiting.pop(connection, None)

    def turn_messages(self) -> int:
        """Return the number of messages that a connection may process in one turn."""
        return min(MAX_TURN_MESSAGES, max(1, MESSAGES_PER_ITERATION // (len(self._waiting) + 1)))

    def take(self) -> list[ConnectionT]:
        """Remove and return the connections whose turns come in this iteration, in order."""
        taken = list(self._waiting)[: max(1, MESSAGES_PER_ITERATION // self.turn_messages())]
        for connection in taken:
            del self._waiting[connection]
        return taken


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
