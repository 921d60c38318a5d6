"""The replies to operators on the control address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.dispatch.figures import CLASS_COUNTERS
from cedarthread.protocols.control import ControlReply

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.lifecycle.state import ServiceState
    from cedarthread.protocols.discovery.endpoint_list import EndpointList


class StatusReport:
    """The replies to PING and INFO, with the metrics under the names that operators use.

    Args:
        dispatcher: The dispatcher, which provides the call counts.
        endpoint_list: The known workers.
        state: The service state.
        has_fleet: Whether a fleet file is configured, so that INFO includes the fleet metrics.
    """

    def __init__(
        self, dispatcher: Dispatcher, endpoint_list: EndpointList, state: ServiceState, *, has_fleet: bool
    ) -> None:
        self._dispatcher = dispatcher
        self._endpoint_list = endpoint_list
        self._state = state
        self._has_fleet = has_fleet

    def ping(self) -> ControlReply:
        """Reply to PING: yes if this router is ready for calls, otherwise no, without lines."""
        is_ready = self._state.is_serving and not self._state.shutdown_requested.is_set()
        return ControlReply(is_ready, [])

    def info(self) -> ControlReply:
        """Reply to INFO: yes, with all metrics as lines."""
        return ControlReply(is_success=True, lines=[*self.lines(), "END"])

    def lines(self) -> list[str]:
        """Return all metrics as lines of the form ``name=value``."""
        lines = [*self._class_lines(), *self._router_lines()]
        if self._has_fleet:
            lines += self._fleet_lines()
        return lines

    def _class_lines(self) -> list[str]:
        return [
            f"router.handled.{class_name}.{counter}={counts[counter]}"
            for class_name, counts in self._dispatcher.class_counters.items()
            for counter in CLASS_COUNTERS
        ]

    def _router_lines(self) -> list[str]:
        class_counters = self._dispatcher.class_counters.values()
        metrics = {
            "upstream_tries": sum(counts["upstream_tries"] for counts in class_counters),
            "in_progress": len(self._dispatcher.pending_calls),
            "known_runners": len(self._endpoint_list.records),
            "skipped_runners": self._dispatcher.router.state.workers.skipped_count(),
            "loads": self._state.reloads,
            "load_errors": self._state.reload_errors,
        }
        violations = self._dispatcher.send_audit.violations
        # Without violations the line is omitted, because the platform does not know this metric.
        if violations:
            metrics["rule_violations"] = violations.total()
        return [f"router.{name}={value}" for name, value in metrics.items()]

    def _fleet_lines(self) -> list[str]:
        metrics = self._dispatcher.node.status(self._dispatcher.clock())
        if self._state.event_loop_store is not None:
            metrics |= self._state.event_loop_store.metrics()
        return [f"fleet.{name}={value}" for name, value in metrics.items()]
