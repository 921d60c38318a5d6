"""The plan of a cluster run, which the harness writes before the start and every fake process reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.testing.cluster.scenario import Scenario

CALL_DEADLINE_MS = 3000.0  # Time from the submission of every call to its deadline.


class InheritedSocket(NamedTuple):
    """A UDP socket of loopback that a fake process inherits from the harness."""

    descriptor: int
    port: int


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """The scenario and the ports of all nodes, as lists indexed by router number or worker number."""

    scenario: Scenario
    client_process_count: int  # Number of processes that run clients, peer relays and discovery servers.
    router_ports: list[int]
    worker_ports: list[int]
    peer_relays: list[InheritedSocket]
    discovery_servers: list[InheritedSocket]
    # Sockets of the discovery servers that serve after a move.
    moved_discovery_servers: list[InheritedSocket]


def router_host(number: int) -> str:
    """Return the loopback address from which a router sends datagrams to its peers."""
    return f"127.3.{number >> 8}.{number & 255}"
