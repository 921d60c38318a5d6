"""Scenarios of cluster runs: the fleet, the traffic and a timeline of faults.

Times are s from the start of traffic. The values of the enums are written in scenario files and results.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class NodeKind(StrEnum):
    """The kind of a node, which is a router, worker, client or discovery server of the run."""

    ROUTER = "router"
    WORKER = "runner"
    CLIENT = "client"
    DISCOVERY = "resolver"


class FaultKind(StrEnum):
    """The kind of a fault. ``amount`` and ``text`` below are fields of ``Fault``."""

    # Faults on the paths between ``targets`` and ``peers``, in both directions unless ``is_one_way``.
    # ``amount``: share of datagrams that are lost, and of writes to streams that are retransmitted.
    LOSE = "loss"
    DELAY = "delay"  # ``amount``: delay in ms.
    DUPLICATE = "double"  # ``amount``: share of datagrams that arrive twice.
    REORDER = "reorder"  # Datagrams are delayed at random, so that they overtake each other.
    PARTITION = "cut"  # Datagrams are lost, and streams are delayed until the fault ends.
    STALL = "stall"  # Like a partition: connections stay open, and no byte passes.
    # Faults at routers.
    KILL_ROUTER = "kill"  # SIGKILL; the router is started again when the fault ends.
    PAUSE_ROUTER = "stop"  # SIGSTOP; SIGCONT when the fault ends.
    # SIGTERM, then SIGKILL after ``run.SIGKILL_AFTER_SIGTERM_S``; the router is started again when the
    # fault ends.
    TERMINATE_ROUTER = "term"
    # Discovery moves to another server address, which the router reads on SIGHUP; the server at the old
    # address stops replying. The move is reverted when the fault ends.
    MOVE_DISCOVERY = "move"
    SYSTEM_CALLS = "syscalls"  # ``amount``: share of the system calls on sockets that fail.
    RESTART_ROUTER = "restart"  # SIGKILL, and started again immediately.
    SHIFT_CLOCK = "clock"  # ``amount``: offset of the wall clock in ms.
    CLOCK_RATE = "rate"  # ``amount``: factor by which the clocks run faster than real time.
    DISK = "disk"  # ``text``: one of DISK_FAULTS; ``amount``: the amount of that fault.
    FLEET_CONFIG = "declare"  # ``text``: the new fleet config, read on SIGHUP.
    # ``text``: settings as JSON that replace those of the same key, read on SIGHUP.
    RELOAD_SETTINGS = "retune"
    HOT_FUNCTION = "hot"  # ``amount``: share of the routers' calls that go to the least popular function.
    BURST = "burst"  # ``amount``: factor of the call rate.
    # Faults at workers.
    CRASH_WORKER = "die"  # The worker is started again when the fault ends, without instances.
    SLOW_WORKER = "slow"  # ``amount``: factor of the service time.
    SILENCE_WORKER = "silent"  # Connections stay open, and calls get no answer.
    HIDE_WORKER = "hide"  # The worker is missing from the endpoint lists of the routers in ``peers``.
    DRAIN_WORKER = "drain"  # The endpoint lists of the routers in ``peers`` show the worker as draining.
    RESET_CONNECTIONS = "reset"  # All open connections are reset at the start of the fault.
    # Faults at clients.
    RECONNECT_CLIENT = "leave"  # The client closes its connection and opens another one.
    # Faults at discovery servers.
    SILENCE_DISCOVERY = "mute"
    CORRUPT_DISCOVERY = "spoilt"  # ``amount``: share of the replies that are corrupted.


NETWORK_FAULTS = (
    FaultKind.LOSE,
    FaultKind.DELAY,
    FaultKind.DUPLICATE,
    FaultKind.REORDER,
    FaultKind.PARTITION,
    FaultKind.STALL,
)
FAULT_TARGET_KINDS = {  # Kind of the targets of each fault outside NETWORK_FAULTS.
    FaultKind.KILL_ROUTER: NodeKind.ROUTER,
    FaultKind.PAUSE_ROUTER: NodeKind.ROUTER,
    FaultKind.TERMINATE_ROUTER: NodeKind.ROUTER,
    FaultKind.MOVE_DISCOVERY: NodeKind.ROUTER,
    FaultKind.SYSTEM_CALLS: NodeKind.ROUTER,
    FaultKind.RESTART_ROUTER: NodeKind.ROUTER,
    FaultKind.SHIFT_CLOCK: NodeKind.ROUTER,
    FaultKind.CLOCK_RATE: NodeKind.ROUTER,
    FaultKind.DISK: NodeKind.ROUTER,
    FaultKind.FLEET_CONFIG: NodeKind.ROUTER,
    FaultKind.RELOAD_SETTINGS: NodeKind.ROUTER,
    FaultKind.HOT_FUNCTION: NodeKind.ROUTER,
    FaultKind.BURST: NodeKind.ROUTER,
    FaultKind.CRASH_WORKER: NodeKind.WORKER,
    FaultKind.SLOW_WORKER: NodeKind.WORKER,
    FaultKind.SILENCE_WORKER: NodeKind.WORKER,
    FaultKind.HIDE_WORKER: NodeKind.WORKER,
    FaultKind.DRAIN_WORKER: NodeKind.WORKER,
    FaultKind.RESET_CONNECTIONS: NodeKind.WORKER,
    FaultKind.RECONNECT_CLIENT: NodeKind.CLIENT,
    FaultKind.SILENCE_DISCOVERY: NodeKind.DISCOVERY,
    FaultKind.CORRUPT_DISCOVERY: NodeKind.DISCOVERY,
}
# Faults of a disk. The index is the number in the control file: that of ``InjectedFault`` in
# persistence/fault_switch.py.
DISK_FAULTS = (
    "none",
    "unsynced",  # Syncs report success and write nothing.
    "torn",  # Syncs report success, but lose the second half of the last write.
    "flipped",  # One bit of a write is flipped. ``amount``: probability for each write.
    "older",  # The next opening returns the content of an earlier opening.
    "full",
    "eio_write",  # Writes fail.
    "eio_sync",  # Syncs fail, and lose their writes for good. ``amount``: number of syncs that succeed first.
    "slow_sync",  # ``amount``: duration of each sync in ms.
    "read_only",
    "gone",  # The store's folder is missing.
)


class Node(NamedTuple):
    """One router, worker, client or discovery server."""

    kind: NodeKind
    number: int


@dataclass(frozen=True, slots=True)
class NodeRange:
    """A range of nodes of one kind: ``router``, ``runner:3`` or ``client:0-11`` in a scenario file."""

    kind: NodeKind
    first: int
    last: int

    @property
    def numbers(self) -> range:
        """Numbers of the nodes in the range."""
        return range(self.first, self.last + 1)

    def includes(self, kind: NodeKind, number: int) -> bool:
        """Return whether the range includes a node."""
        return kind == self.kind and self.first <= number <= self.last


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is active from ``start_s`` until ``end_s``."""

    kind: FaultKind
    start_s: float
    end_s: float
    targets: NodeRange
    peers: NodeRange | None = None
    amount: float = 0.0
    is_one_way: bool = False
    text: str = ""

    def is_active(self, now_s: float) -> bool:
        """Return whether the fault is active at a time in s from the start of traffic."""
        return self.start_s <= now_s < self.end_s

    def affects_peer(self, kind: NodeKind, number: int) -> bool:
        """Return whether a node is among the fault's peers."""
        return self.peers is not None and self.peers.includes(kind, number)


@dataclass(frozen=True, slots=True)
class Scenario:
    """The fleet, the traffic, its duration and the faults of one run."""

    name: str = "quick"
    seed: int = 1
    router_count: int = 24
    worker_count: int = 12
    cores_per_worker: int = 2
    instances_per_worker: int = 12  # Number of instances that fit into a worker's memory.
    concurrency: int = 4  # Concurrent calls per instance.
    function_count: int = 60
    popularity_exponent: float = 0.8  # Exponent of Zipf's law for the popularity of functions.
    calls_per_second: float = 300.0  # Call rate of all clients together.
    mean_service_ms: float = 40.0  # Mean CPU time of a call on one core.
    load_ms: float = 400.0  # Time to load an instance if the package store serves no other load.
    store_full_speed_loads: int = 16  # Concurrent loads that the package store serves at full speed.
    store_max_loads: int = 120  # Concurrent loads beyond which the package store refuses.
    settle_s: float = 0.0  # Time from when routers are ready until traffic starts.
    warm_up_s: float = 4.0  # Duration of the traffic that is not measured.
    duration_s: float = 12.0  # Duration of the measured traffic, after the warm-up.
    not_idempotent_share: float = 0.2  # Share of the calls that are not idempotent.
    is_gossip_enabled: bool = True  # False: routers send no datagrams of any kind to each other.
    has_load_reports: bool = True
    injected_defect: str = ""  # Name of a defect of the routers; a check must find it.
    fleet_config: str = ""  # Text of the fleet config, which only ``fleet_config_routers`` have.
    fleet_config_routers: str = "router:0"
    has_store: bool = False  # True: each router has a store in a folder of its own.
    tenants: str = ""  # Names and shares of the calls: "hydro 0.5, steel 0.3". Other calls have no tenant.
    faults: tuple[Fault, ...] = ()

    @property
    def end_s(self) -> float:
        """Time of the last call, s from the start of traffic."""
        return self.warm_up_s + self.duration_s
