"""The result of one cluster run, and its form in result files."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from cedarthread.testing.cluster.scenario import FaultKind, Scenario

if TYPE_CHECKING:
    from cedarthread.testing.cluster.facts import Fact
    from cedarthread.testing.cluster.recordings import Placement
    from cedarthread.testing.load_balance import LoadBalanceMetrics

MAX_LAG_MS = 60.0  # Maximum 99th percentile of the harness's own delay; a run with a higher one is void.


class DatagramCounts(NamedTuple):
    """Numbers of datagrams between routers."""

    passed: int
    dropped: int


class FaultSpan(NamedTuple):
    """The start and end of a fault."""

    kind: FaultKind
    start_s: float
    end_s: float


@dataclass(slots=True)
class Result:
    """The figures, recorded events and violations of one run."""

    scenario_name: str
    seed: int
    load_balance: LoadBalanceMetrics
    # Load balance of other policies for the same arrivals. Keys: names of the policies.
    replayed: dict[str, LoadBalanceMetrics]
    answers: dict[str, int]  # Number of calls with each result.
    violations: list[str]
    lag_ms: float  # 99th percentile of the harness's own delay, in the process where it is highest.
    cpu_ms_per_call: float  # CPU time of all routers after the warm-up, per call that arrived then.
    peer_bytes_per_second: float  # Bytes sent to other routers, mean over all routers.
    datagrams: DatagramCounts
    # Mean calls per core in each second, indexed by worker, then by second from the start of traffic.
    work_per_core: list[list[float]] = field(default_factory=list)
    faults: list[FaultSpan] = field(default_factory=list)
    latency_ms: dict[str, float] = field(default_factory=dict)  # Latency of served calls by percentile.
    value_rates: list[float] = field(default_factory=list)  # Value served per second, a window every 250 ms.
    # 99th percentile of the harness's own delay by fake process, the workers' first.
    lags_ms: list[float] = field(default_factory=list)
    peak_counts: dict[str, int] = field(default_factory=dict)  # Peak in 250 ms after warm-up, by time series.
    answers_by_tenant: dict[str, dict[str, int]] = field(default_factory=dict)
    time_series: dict[str, list[float]] = field(default_factory=dict)
    placements: list[Placement] = field(default_factory=list)
    facts: list[Fact] = field(default_factory=list)  # All facts in order of time.
    scenario: Scenario = field(default_factory=Scenario)

    @property
    def is_void(self) -> bool:
        """Whether the harness itself was so late that the figures do not count."""
        return self.lag_ms > MAX_LAG_MS

    @property
    def served_fraction(self) -> float:
        """Share of the calls that were served."""
        return self.answers.get("served", 0) / max(1, sum(self.answers.values()))

    def to_json(self) -> dict[str, Any]:
        """Return the result under the keys of result files."""
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
