"""An event loop with virtual time, which advances only when no callback is ready."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from contextvars import Context

START_TIME_S = 1_000_000.0  # loop time at the start, which is also the Unix time


class StuckError(Exception):
    """The run cannot continue: no callback is ready and no timer is set."""


class DialedTransport(Protocol):
    """The program's end of a connection that ``VirtualLoop.dial`` opens."""

    never_connects: bool

    def connect(self, protocol: asyncio.BufferedProtocol) -> None:
        """Attach the program's protocol and notify it that the connection is open."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or closing."""


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop that advances its clock to the next timer instead of waiting.

    ``jitter`` returns the delay of each timer in seconds. ``dial`` opens the connections of
    ``create_connection``. ``failures`` lists the errors that reached the loop's exception handler.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now_s = START_TIME_S
        self._selector = self  # BaseEventLoop calls ``select`` with the time until the next timer
        self.jitter: Callable[[], float] = lambda: 0.0
        self.failures: list[str] = []
        self.dial: Callable[[object, str, int], DialedTransport] | None = None
        self.set_exception_handler(self._on_failure)

    def _on_failure(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.failures.append(f"{context.get('message')}: {context.get('exception')!r}")

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def unix_ms(self) -> float:
        """Return the virtual time in Unix milliseconds, the unit of the dispatcher's clock."""
        return self._now_s * 1000.0

    def call_at(
        self, when: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Set a timer that expires late by the result of ``jitter``."""
        return super().call_at(when + self.jitter(), callback, *args, context=context)

    def select(self, timeout: float | None) -> list[Any]:
        """Advance the clock by the time until the next timer.

        Raises:
            StuckError: No timer is set.
        """
        if timeout is None:
            raise StuckError("no callback is ready and no timer is set")
        self._now_s += max(0.0, timeout)
        return []

    def _process_events(self, events: object) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def skip(self, seconds: float) -> None:
        """Advance the clock without running callbacks, as if the process were stopped."""
        self._now_s += seconds

    def timer_count(self) -> int:
        """Return the number of timers that are set and not cancelled."""
        scheduled: list[asyncio.TimerHandle] = getattr(self, "_scheduled")  # noqa: B009
        return sum(not handle.cancelled() for handle in scheduled)

    async def create_connection(  # type: ignore[override]  # only the parameters that the program passes
        self, protocol_factory: Callable[[], asyncio.BufferedProtocol], host: str, port: int, **_: object
    ) -> tuple[DialedTransport, asyncio.BufferedProtocol]:
        """Open an in-memory connection with ``dial``.

        Raises:
            OSError: The peer refuses or resets the connection.
        """
        assert self.dial is not None
        transport = self.dial(protocol_factory, host, port)
        while transport.never_connects:  # until the caller's timeout cancels this coroutine
            await asyncio.sleep(1.0)
        await asyncio.sleep(0)
        if transport.is_closing():
            raise ConnectionResetError(104, "connection reset during setup")
        protocol = protocol_factory()
        transport.connect(protocol)
        return transport, protocol


def run_virtual(work: Callable[[VirtualLoop], Coroutine[Any, Any, None]]) -> VirtualLoop:
    """Run one coroutine to its end in virtual time, and return the closed loop with its failures."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work(loop))
        return loop
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
