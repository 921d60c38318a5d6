"""Scenarios of a cluster run: fleet, traffic and a timeline of faults. Times of faults are s from the start.

The values of the enums are the words of scenario files and of results.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class SubjectKind(StrEnum):
    """What a fault or a path is about."""

    ROUTER = "router"
    WORKER = "runner"
    CLIENT = "client"
    DISCOVERY = "resolver"


class FaultKind(StrEnum):
    """What goes wrong. ``amount`` and ``text`` are those of the fault."""

    # Between subjects and peers, both ways unless ``is_one_way``.
    LOSE = "loss"  # ``amount``: share of datagrams lost, of stream segments sent again
    DELAY = "delay"  # ``amount``: ms
    DUPLICATE = "double"  # ``amount``: share of datagrams
    REORDER = "reorder"
    PARTITION = "cut"
    STALL = "stall"  # connections stay open, and no byte passes
    # At routers.
    KILL_ROUTER = "kill"  # and start it again at the end
    PAUSE_ROUTER = "stop"
    TERMINATE_ROUTER = "term"  # SIGTERM, SIGKILL by the page's arithmetic, and start it again at the end
    MOVE_DISCOVERY = "move"  # to another address, by SIGHUP; the old one falls silent; back at the end
    SYSTEM_CALLS = "syscalls"  # ``amount``: share of the system calls on sockets that fail
    RESTART_ROUTER = "restart"  # at once
    SHIFT_CLOCK = "clock"  # ``amount``: ms by which the wall clock is off
    CLOCK_RATE = "rate"  # ``amount``: times as fast as time
    DISK = "disk"  # ``text``: one of DISK_FAULTS, with its ``amount``
    FLEET_CONFIG = "declare"  # ``text``: the operators' file from then on, and SIGHUP
    RELOAD_SETTINGS = "retune"  # ``text``: JSON over the settings, and SIGHUP
    HOT_FUNCTION = "hot"  # ``amount``: share of the calls there, all of one rare function
    BURST = "burst"  # ``amount``: times as many calls
    # At workers.
    CRASH_WORKER = "die"  # and start it again, empty, at the end
    SLOW_WORKER = "slow"  # ``amount``: times as slow
    SILENCE_WORKER = "silent"
    HIDE_WORKER = "hide"  # from the endpoint lists of the peers
    DRAIN_WORKER = "drain"  # in the endpoint lists of the peers
    RESET_CONNECTIONS = "reset"  # at once, all that stand
    # At clients.
    LEAVE = "leave"  # the connection is closed, and another one made
    # At discovery servers.
    SILENCE_DISCOVERY = "mute"
    CORRUPT_DISCOVERY = "spoilt"  # ``amount``: share of the replies


NETWORK_FAULTS = (
    FaultKind.LOSE,
    FaultKind.DELAY,
    FaultKind.DUPLICATE,
    FaultKind.REORDER,
    FaultKind.PARTITION,
    FaultKind.STALL,
)
FAULT_SUBJECTS = {  # of all other faults: the one kind of subject that each happens at
    FaultKind.KILL_ROUTER: SubjectKind.ROUTER,
    FaultKind.PAUSE_ROUTER: SubjectKind.ROUTER,
    FaultKind.TERMINATE_ROUTER: SubjectKind.ROUTER,
    FaultKind.MOVE_DISCOVERY: SubjectKind.ROUTER,
    FaultKind.SYSTEM_CALLS: SubjectKind.ROUTER,
    FaultKind.RESTART_ROUTER: SubjectKind.ROUTER,
    FaultKind.SHIFT_CLOCK: SubjectKind.ROUTER,
    FaultKind.CLOCK_RATE: SubjectKind.ROUTER,
    FaultKind.DISK: SubjectKind.ROUTER,
    FaultKind.FLEET_CONFIG: SubjectKind.ROUTER,
    FaultKind.RELOAD_SETTINGS: SubjectKind.ROUTER,
    FaultKind.HOT_FUNCTION: SubjectKind.ROUTER,
    FaultKind.BURST: SubjectKind.ROUTER,
    FaultKind.CRASH_WORKER: SubjectKind.WORKER,
    FaultKind.SLOW_WORKER: SubjectKind.WORKER,
    FaultKind.SILENCE_WORKER: SubjectKind.WORKER,
    FaultKind.HIDE_WORKER: SubjectKind.WORKER,
    FaultKind.DRAIN_WORKER: SubjectKind.WORKER,
    FaultKind.RESET_CONNECTIONS: SubjectKind.WORKER,
    FaultKind.LEAVE: SubjectKind.CLIENT,
    FaultKind.SILENCE_DISCOVERY: SubjectKind.DISCOVERY,
    FaultKind.CORRUPT_DISCOVERY: SubjectKind.DISCOVERY,
}
# What a disk does, by the number in its control file, as persistence/fault_switch.py reads it.
DISK_FAULTS = (
    "none",
    "unsynced",
    "torn",
    "flipped",
    "older",
    "full",
    "eio_write",
    "eio_sync",
    "slow_sync",
    "read_only",
    "gone",
)


class Subject(NamedTuple):
    """One router, worker, client or discovery server."""

    kind: SubjectKind
    number: int


@dataclass(frozen=True, slots=True)
class Subjects:
    """A range of one kind: ``router``, ``runner:3``, ``client:0-11``."""

    kind: SubjectKind
    first: int
    last: int

    def includes(self, kind: SubjectKind, number: int) -> bool:
        """Whether the range has this one."""
        return kind == self.kind and self.first <= number <= self.last


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the timeline."""

    kind: FaultKind
    start_s: float
    end_s: float
    subjects: Subjects
    peers: Subjects | None = None
    amount: float = 0.0
    is_one_way: bool = False
    text: str = ""

    def is_active(self, now_s: float) -> bool:
        """Whether it lasts at a time."""
        return self.start_s <= now_s < self.end_s

    def affects_peer(self, kind: SubjectKind, number: int) -> bool:
        """Whether one is among its peers."""
        return self.peers is not None and self.peers.includes(kind, number)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run."""

    name: str = "quick"
    seed: int = 1
    router_count: int = 24
    worker_count: int = 12
    cores_per_worker: int = 2
    instances_per_worker: int = 12  # that a worker has memory for
    concurrency: int = 4  # calls that an instance serves at once
    function_count: int = 60
    popularity_exponent: float = 0.8  # of the functions (Zipf's law)
    calls_per_second: float = 300.0  # of all routers
    mean_service_ms: float = 40.0  # of a core, for a call
    load_ms: float = 400.0  # for one load alone
    store_full_speed_loads: int = 16  # loads at once that the package store serves at full speed
    store_max_loads: int = 120  # at once, past which it refuses
    settle_s: float = 0.0  # that routers are up before the first call
    warm_up_s: float = 4.0  # of traffic that is not measured
    duration_s: float = 12.0  # of traffic that is measured
    not_idempotent_share: float = 0.2  # of the calls
    is_gossip_enabled: bool = True  # also all else that routers tell each other
    has_load_reports: bool = True
    injected_defect: str = ""  # that the routers run with, to see that it is found
    fleet_config: str = ""  # the operators' file, given to ``fleet_config_routers`` alone
    fleet_config_routers: str = "router:0"
    has_store: bool = False  # each router has a store in a folder of its own
    tenants: str = ""  # names and shares of the calls: "hydro 0.5, steel 0.3"; the rest has none
    faults: tuple[Fault, ...] = ()

    @property
    def end_s(self) -> float:
        """When the last call is sent, s from the start."""
        return self.warm_up_s + self.duration_s
