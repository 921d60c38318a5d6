"""The recording of one fake process, and the merged recording of a run.

Times are ms from the start of traffic, by the monotonic clock that all processes of a machine share.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cedarthread.testing.cluster.facts import Fact
    from cedarthread.testing.fakes.worker_model import WorkerCall

# Names of time series in result files.
LOADS = "loads"
DISCOVERY_QUERIES = "questions"
PLACEMENTS = "placements"
CONNECTIONS_PREFIX = "connections:"  # In names of time series, followed by the worker's number.
PEER_DATAGRAMS_PREFIX = "peers:"  # Followed in series names by the message type (first byte) in hex.


class AcceptedConnection(NamedTuple):
    """A connection that a worker accepted."""

    at_ms: float
    worker: int


class Placement(NamedTuple):
    """The start of the load of a function's first instance at a worker."""

    at_ms: float
    function: int
    worker: int


class DiscoveryQuery(NamedTuple):
    """A query of a router to its discovery server."""

    at_ms: float
    router: int


class PeerDatagram(NamedTuple):
    """A datagram that a router sent to another router."""

    at_ms: float
    sender: int
    message_type: int
    length: int


@dataclass(slots=True)
class Recording:
    """The facts and figures that one fake process recorded."""

    facts: list[Fact] = field(default_factory=list)
    worker_calls: list[WorkerCall] = field(default_factory=list)
    lags_ms: list[float] = field(default_factory=list)  # Delays of the fake process itself, not of routers.
    connections: list[AcceptedConnection] = field(default_factory=list)
    placements: list[Placement] = field(default_factory=list)
    discovery_queries: list[DiscoveryQuery] = field(default_factory=list)
    peer_datagrams: list[PeerDatagram] = field(default_factory=list)
    datagram_counts: Counter[str] = field(default_factory=Counter)  # Keys: "passed" and "dropped".

    def time_series(self) -> dict[str, list[float]]:
        """Return the times of events after the start of traffic, in order, by the name of the series."""
        series: defaultdict[str, list[float]] = defaultdict(list)
        series[LOADS] = [call.arrived_at_ms for call in self.worker_calls if call.remark == "spawn"]
        series[DISCOVERY_QUERIES] = [query.at_ms for query in self.discovery_queries]
        series[PLACEMENTS] = [placement.at_ms for placement in self.placements]
        for connection in self.connections:
            series[f"{CONNECTIONS_PREFIX}{connection.worker}"].append(connection.at_ms)
        for datagram in self.peer_datagrams:
            series[f"{PEER_DATAGRAMS_PREFIX}{datagram.message_type:02x}"].append(datagram.at_ms)
        return {name: sorted(at_ms for at_ms in times if at_ms >= 0.0) for name, times in series.items()}


def merge_recordings(recordings: Iterable[Recording]) -> Recording:
    """Merge all recordings, without the facts and lags, which the evaluation reads per process."""
    merged = Recording()
    for recording in recordings:
        merged.worker_calls += recording.worker_calls
        merged.connections += recording.connections
        merged.placements += recording.placements
        merged.discovery_queries += recording.discovery_queries
        merged.peer_datagrams += recording.peer_datagrams
        merged.datagram_counts.update(recording.datagram_counts)
    return merged
