"""What all processes of a cluster run know before it begins."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.testing.cluster.scenario import Scenario

CALL_DEADLINE_MS = 3000.0  # of every call


class InheritedSocket(NamedTuple):
    """A UDP socket of loopback that a process gets from the harness."""

    descriptor: int
    port: int


@dataclass(frozen=True, slots=True)
class ClusterPlan:
    """The scenario, and where everything listens: by the number of a router or a worker."""

    scenario: Scenario
    client_process_count: int  # processes for clients, peer relays and discovery servers
    router_ports: list[int]
    worker_ports: list[int]
    peer_relays: list[InheritedSocket]
    discovery_servers: list[InheritedSocket]
    moved_discovery_servers: list[InheritedSocket]  # where discovery is after a move


def router_host(number: int) -> str:
    """The address of loopback from which a router sends to its peers."""
    return f"127.3.{number >> 8}.{number & 255}"
