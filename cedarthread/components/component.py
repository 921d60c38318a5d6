"""The interface of a component that runs beside the router.

``RoutingNode`` (``node/routing_node.py``) hosts the components and passes each its own datagrams, ticks and
notifications. Components depend on each other only through the protocols of this package. They do no I/O.
Times are ms of a steady clock that is passed in; the wall clock arrives as a notification.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.components.messages import OutboundMessage
    from cedarthread.components.notifications import Notification


class Component(Protocol):
    """A component beside the router: without I/O, on the clock and the seed that are passed in."""

    @property
    def message_types(self) -> frozenset[int]:
        """The types (first bytes) of the datagrams that this component handles."""

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a datagram of one of its types; malformed ones are counted, never raised on."""

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Called several times a second: returns what is to be sent now."""

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Handle a change that components share."""

    def status(self, now_ms: float) -> Mapping[str, str]:
        """The component's figures for operators (``INFO``): text by name."""
