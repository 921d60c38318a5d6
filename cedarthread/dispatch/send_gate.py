"""The gate that suspends all sending while the endpoint list may be out of date after a stall."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class SendGate(Protocol):
    """A gate that controls whether the dispatcher processes events and the worker connections send."""

    def is_open(self) -> bool:
        """Return whether events may be processed and requests may be sent now."""

    def input_delay_ms(self) -> float:
        """Return how long the input that is read now may have waited unread, in ms."""

    def add_reopen_callback(self, resume: Callable[[], None]) -> None:
        """Register ``resume`` to be called whenever the gate reopens; callbacks run in registration order."""


class OpenSendGate:
    """A gate that is always open, for a router without discovery."""

    def is_open(self) -> bool:
        """Return True."""
        return True

    def input_delay_ms(self) -> float:
        """Return 0."""
        return 0.0

    def add_reopen_callback(self, resume: Callable[[], None]) -> None:
        """Do nothing, because this gate never closes."""


OPEN_SEND_GATE = OpenSendGate()
