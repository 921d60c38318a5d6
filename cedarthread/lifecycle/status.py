"""What operators read at the control address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.dispatch.figures import CLASS_FIGURES

if TYPE_CHECKING:
    from cedarthread.dispatch.dispatcher import Dispatcher
    from cedarthread.lifecycle.state import ServiceState
    from cedarthread.protocols.discovery.endpoint_list import EndpointList


class StatusReport:
    """The replies to PING and INFO. The names of the figures are the operators'."""

    def __init__(
        self, dispatcher: Dispatcher, endpoint_list: EndpointList, state: ServiceState, *, has_fleet: bool
    ) -> None:
        self._dispatcher = dispatcher
        self._endpoint_list = endpoint_list
        self._state = state
        self._has_fleet = has_fleet  # a fleet file is named

    def ping(self) -> tuple[bool, list[str]]:
        """PING: is this router ready for calls?"""
        return self._state.is_serving and not self._state.shutdown_requested.is_set(), []

    def info(self) -> tuple[bool, list[str]]:
        """INFO: all figures."""
        return True, [*self.lines(), "END"]

    def lines(self) -> list[str]:
        """All figures, a ``name=value`` a line."""
        lines = [*self._class_lines(), *self._router_lines()]
        if self._has_fleet:
            lines += self._fleet_lines()
        return lines

    def _class_lines(self) -> list[str]:
        return [
            f"router.handled.{class_name}.{figure}={counts[figure]}"
            for class_name, counts in self._dispatcher.class_figures.items()
            for figure in CLASS_FIGURES
        ]

    def _router_lines(self) -> list[str]:
        class_figures = self._dispatcher.class_figures.values()
        figures = {
            "upstream_tries": sum(counts["upstream_tries"] for counts in class_figures),
            "in_progress": len(self._dispatcher.pending_calls),
            "known_runners": len(self._endpoint_list.records),
            "skipped_runners": self._dispatcher.router.state.workers.skipped_count(),
            "loads": self._state.reloads,
            "load_errors": self._state.reload_errors,
        }
        violations = self._dispatcher.send_audit.violations
        if violations:  # a further line only then: the platform's page knows no such figure
            figures["rule_violations"] = violations.total()
        return [f"router.{name}={value}" for name, value in figures.items()]

    def _fleet_lines(self) -> list[str]:
        figures = self._dispatcher.node.status(self._dispatcher.clock())
        if self._state.event_loop_store is not None:
            figures |= self._state.event_loop_store.figures()
        return [f"fleet.{name}={value}" for name, value in figures.items()]
