"""What one cluster run showed, and its form in result files."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from cedarthread.testing.cluster.scenario import FaultKind, Scenario

if TYPE_CHECKING:
    from cedarthread.testing.cluster.facts import Fact
    from cedarthread.testing.cluster.recordings import Placement
    from cedarthread.testing.load_balance import LoadBalanceMetrics

MAX_LAG_MS = 60.0  # by which one call in a hundred may leave late: beyond it the run is void


class DatagramCounts(NamedTuple):
    """Datagrams between routers."""

    passed: int
    dropped: int


class FaultSpan(NamedTuple):
    """When a fault lasted."""

    kind: FaultKind
    start_s: float
    end_s: float


@dataclass(slots=True)
class Result:
    """What one run showed."""

    scenario_name: str
    seed: int
    load_balance: LoadBalanceMetrics
    replayed: dict[str, LoadBalanceMetrics]  # of the same arrivals, by policy
    answers: dict[str, int]  # by result
    violations: list[str]
    lag_ms: float  # by which the harness itself was late, the 99th percentile
    cpu_ms_per_call: float  # of the routers
    peer_bytes_per_second: float  # that one router sent to others
    datagrams: DatagramCounts
    work_per_core: list[list[float]] = field(default_factory=list)  # by worker and second, from the start
    faults: list[FaultSpan] = field(default_factory=list)
    latency_ms: dict[str, float] = field(default_factory=dict)  # of the served calls, by percentile
    value_rates: list[float] = field(default_factory=list)  # per second, windows that begin every 250 ms
    lags_ms: list[float] = field(default_factory=list)  # by process, the workers' first
    peak_counts: dict[str, int] = field(default_factory=dict)  # within any 250 ms after warm-up, by series
    answers_by_tenant: dict[str, dict[str, int]] = field(default_factory=dict)
    time_series: dict[str, list[float]] = field(default_factory=dict)
    placements: list[Placement] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)  # in order of time
    scenario: Scenario = field(default_factory=Scenario)

    @property
    def is_void(self) -> bool:
        """Whether the harness itself was too late for the figures to count."""
        return self.lag_ms > MAX_LAG_MS

    @property
    def served_fraction(self) -> float:
        """The share of the calls that were served."""
        return self.answers.get("served", 0) / max(1, sum(self.answers.values()))

    def to_json(self) -> dict[str, Any]:
        """The result under the keys that result files have."""
        return {
            "scenario": self.scenario_name,
            "seed": self.seed,
            "even": self.load_balance.as_json(),
            "others": {name: metrics.as_json() for name, metrics in self.replayed.items()},
            "answers": self.answers,
            "breaches": self.violations,
            "late": self.lag_ms,
            "cpu": self.cpu_ms_per_call,
            "bytes_": self.peer_bytes_per_second,
            "datagrams": self.datagrams,
            "held": self.work_per_core,
            "faults": self.faults,
            "latency": self.latency_ms,
            "worths": self.value_rates,
            "lates": self.lags_ms,
            "peaks": self.peak_counts,
            "tenants": self.answers_by_tenant,
            "placed": self.placements,
            "void": self.is_void,
        }
