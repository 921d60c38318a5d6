"""The interface of the test harnesses of the router contract: a router, a client and two workers.

``simulator_harness.py`` and ``socket_harness.py`` implement it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AsyncExitStack

    from tests.integration.invoke_caller import Authority


class AnswerKind(Enum):
    """How a router answers a call."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


class Answer(NamedTuple):
    """The answer to a call."""

    kind: AnswerKind
    retry_after_ms: float = 0.0  # 0.0 if the answer has none


class Attempt(NamedTuple):
    """An attempt that a worker received."""

    call_number: int
    worker: int  # 1 or 2
    handle: Any  # identifies the attempt in the harness


class WorkerAction(Enum):
    """How a worker ends an attempt."""

    SERVE = "serve"
    REJECT = "reject"
    BREAK_CONNECTION = "break connection"


class RouterHarness(ABC):
    """A router with one client and two workers; a worker does not respond on its own."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, Answer]] = []  # with the number of the call, in order of arrival
        self.attempts: list[Attempt] = []
        self.cancelled: set[int] = set()  # numbers of the calls with a cancelled attempt
        self.is_rejecting = False  # both workers reject every attempt at once

    def answers_to(self, number: int) -> list[Answer]:
        return [answer for call_number, answer in self.answers if call_number == number]

    async def first_attempt(self, number: int) -> Attempt:
        """Wait for the first attempt of a call, and return it."""
        await self.wait_until(lambda: any(attempt.call_number == number for attempt in self.attempts))
        return next(attempt for attempt in self.attempts if attempt.call_number == number)

    async def serve_call(self, number: int) -> int:
        """Send a call, serve it, and return the worker that received it.

        Everything that was sent before the call has arrived when this returns.
        """
        self.call(number, "check")
        attempt = await self.first_attempt(number)
        self.respond(attempt, WorkerAction.SERVE)
        await self.wait_until(lambda: self.answers_to(number) != [])
        return attempt.worker

    @abstractmethod
    async def open(self, stack: AsyncExitStack, authority: Authority) -> None:
        """Start the router with both workers; ``stack`` stops it."""

    @abstractmethod
    def call(self, number: int, class_name: str, timeout_ms: int = 3000) -> None:
        """Send a call."""

    @abstractmethod
    def disconnect(self, number: int) -> None:
        """Disconnect the client of a call, or cancel the call."""

    @abstractmethod
    def respond(self, attempt: Attempt, action: WorkerAction) -> None:
        """End an attempt at its worker."""

    @abstractmethod
    def drain(self, worker: int) -> None:
        """Mark a worker as draining in the endpoint list."""

    @abstractmethod
    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Process events until a condition is true."""
