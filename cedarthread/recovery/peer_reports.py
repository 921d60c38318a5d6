"""The baselines that peers in service report in their responses to the peer query."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.recovery.codec import BaselineRates, Response


class PeerReports:
    """The warm fractions and baseline rates that peers reported, one of each per response that has them."""

    def __init__(self) -> None:
        self._warm_fractions: list[float] = []
        self._baseline_rates: list[BaselineRates] = []

    def add(self, response: Response) -> None:
        """Record the reports of one response."""
        if response.warm_fraction is not None:
            self._warm_fractions.append(response.warm_fraction)
        if response.baseline_rates is not None:
            self._baseline_rates.append(response.baseline_rates)

    def median_warm_fraction(self) -> float | None:
        """Return the median of the reported warm fractions, or None without reports."""
        if not self._warm_fractions:
            return None
        return sorted(self._warm_fractions)[len(self._warm_fractions) // 2]

    def median_baseline_rates(self) -> BaselineRates | None:
        """Return the median of the reported baseline rates, ordered by loads, or None without reports."""
        if not self._baseline_rates:
            return None
        return sorted(self._baseline_rates)[len(self._baseline_rates) // 2]
