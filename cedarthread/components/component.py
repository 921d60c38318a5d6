"""The interface of a component that runs beside the router.

``RoutingNode`` (``node/routing_node.py``) hosts the components and passes datagrams, ticks and notifications
to them. Components depend on each other only through the protocols of this package. They do no I/O. Times are
ms of a monotonic clock, which the host passes in. Readings of the wall clock arrive as notifications.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.components.messages import OutboundMessage
    from cedarthread.components.notifications import Notification


class Component(Protocol):
    """A component that runs beside the router; its host passes in the time and the random seed."""

    @property
    def message_types(self) -> frozenset[int]:
        """Return the types (first bytes) of the datagrams that this component handles."""

    def on_message(self, now_ms: float, sender: int, data: bytes) -> Sequence[OutboundMessage]:
        """Handle a datagram of one of ``message_types``, and return the messages to send or log.

        Malformed datagrams are counted. No content of a datagram makes this method raise.
        """

    def on_tick(self, now_ms: float) -> Sequence[OutboundMessage]:
        """Handle a tick, several times a second, and return the messages to send or log now."""

    def on_notification(self, now_ms: float, notification: Notification) -> Sequence[OutboundMessage]:
        """Handle a notification, and return the messages to send or log."""

    def status(self, now_ms: float) -> Mapping[str, str]:
        """Return the metrics of the component for operators (``INFO``), as text by name."""
