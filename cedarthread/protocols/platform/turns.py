"""The turns of the platform's connections on the event loop; the order and the bounds are in ``limits``."""

from __future__ import annotations

import asyncio
from typing import Protocol

from cedarthread.limits.input_turns import ITERATION_TIME_S, LookBudget, TurnQueue


class TurnTaker(Protocol):
    """A connection that may have unprocessed messages."""

    def process_turn(self, max_messages: int) -> None:
        """Process up to a number of messages, and wait for another turn if more are left."""


class InputTurns:
    """Runs the turns of connections with unprocessed messages, once per iteration of the event loop."""

    def __init__(self) -> None:
        self._queue = TurnQueue[TurnTaker]()
        self._looks = LookBudget[TurnTaker]()
        self._is_scheduled = False
        self._loop = asyncio.get_running_loop()

    def add(self, connection: TurnTaker, *, is_new: bool) -> None:
        """Let a connection wait for a turn in a later iteration; see ``TurnQueue.add``."""
        self._queue.add(connection, is_new=is_new)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def discard(self, connection: TurnTaker) -> None:
        """Forget a connection that was closed."""
        self._queue.discard(connection)

    def first_turn_messages(self) -> int:
        """Return the number of messages that a connection may process as soon as they are read."""
        return self._queue.first_turn_messages()

    def look_allowance(self, connection: TurnTaker) -> int:
        """Return the number of messages that a look at a connection may process now."""
        return self._looks.allowance(connection, self._loop.time())

    def spend_look(self, connection: TurnTaker, messages: int) -> None:
        """Record the messages that a look at a connection has processed in this iteration."""
        if not self._looks.is_started():
            self._loop.call_soon(self._looks.end_iteration)
        self._looks.spend(connection, messages)

    def _run(self) -> None:
        self._is_scheduled = False
        end_s = self._loop.time() + ITERATION_TIME_S
        turns = self._queue.take()
        for number, turn in enumerate(turns, 1):
            turn.connection.process_turn(turn.max_messages)
            if self._loop.time() >= end_s:
                self._queue.put_back(turns[number:])
                break
        if len(self._queue):
            self._schedule()
