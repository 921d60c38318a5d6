"""The interface of the decision module: settings, events in, actions out.

Times are milliseconds on the clock that is handed in with each event. ``None`` stands for a value that
was not told. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # a group of workers drops repeats, for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The workers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class OnMiss(Enum):
    """What a worker does with a request whose function it lacks."""

    LOAD = "load"  # it loads the function while the request waits
    MISS = "miss"  # it answers MISS; only an order brings the function


class Discovery(Enum):
    """How the list of workers comes."""

    PUSH = "push"
    ASK = "ask"


class Reports(Enum):
    """Where workers tell their load."""

    NONE = "none"
    ANSWERS = "answers"
    PROBE = "probe"


class Weights(Enum):
    """What the weight of a listed worker means."""

    NONE = "none"  # nothing
    NOMINAL = "nominal"  # its registered size
    ROUGH = "rough"  # its size, roughly
    LIVE = "live"  # its size over what it holds, sampled earlier


class WorkerState(Enum):
    """What the list says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of the list holds."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # all workers; one that is absent is gone
    CACHED = "cached"  # all workers as last held here, perhaps stale
    FAILED = "failed"  # asking failed or the subscription broke; no entries


class Outcome(Enum):
    """How an attempt, a probe or an order ended."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent
    MISS = "miss"  # never ran: no copy there, or the awaited load failed


NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS)  # ends that prove it


class CopyNote(Enum):
    """What an answer tells of the copy it ran on."""

    NONE = "none"
    FOUND = "found"  # a copy stood loaded
    BEGAN = "began"  # this request began the load
    AWAITED = "awaited"  # it waited for a load begun before
    LOAD_FAILED = "load_failed"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float
    effect: Effect
    group: Group
    window: float  # how long a keyed repeat is remembered
    stream: bool
    aim_stretch: float  # the aim grows by this many times the request's own work


@dataclass(frozen=True, slots=True)
class Tenant:
    """One of those who share the service."""

    name: str
    share: float
    quota_per_s: float | None


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    attempts: int
    open_requests: int
    cancel: bool
    probes: bool
    peers: bool
    second_copies: bool
    retry_after: bool
    max_retry_after: float
    streams: int = 32  # attempts that one connection to a worker carries at a time
    connect_timeout: float = 250.0
    idle: float = 30000.0  # a connection without work is closed after this time


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules."""

    answer_slack: float
    drain_grace: float
    cold_from: float  # share of its capacity that a started worker has at least
    cold_time: float  # by then it has all of it
    fall_multiple: float
    fall_time: float
    ask_within: float
    load_free: float
    load_share: float
    load_window: float  # 0: orders are not rationed


@dataclass(frozen=True, slots=True)
class Prices:
    """Points taken off the service, by cause."""

    fetch: float
    probe: float
    peer: float
    cross_zone: float
    waste: float
    late_fail: float
    idle_memory: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    rules: Rules
    prices: Prices
    gateways: int
    ordinal: int
    zone: int
    tick: float
    discovery: Discovery
    on_miss: OnMiss
    orders: bool
    keep_alive: float
    order_timeout: float
    tells_warm: bool
    tells_crowd: bool
    over_share_worth: float
    reports: Reports = Reports.NONE
    report_columns: tuple[str, ...] = ()
    memory_by_kind: tuple[float, ...] = ()
    weights: Weights = Weights.NONE
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Worker:
    """One entry of the list of workers."""

    worker: int
    zone: int
    kind: int
    cell: int
    state: WorkerState
    weight: float | None
    started: float | None  # None: a long time back


@dataclass(frozen=True, slots=True)
class Membership:
    """News of the list of workers."""

    kind: ListKind
    version: int
    workers: tuple[Worker, ...] = ()


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class Request:
    """A client's request; one final answer is owed from here on."""

    request: int
    function: int
    klass: int
    give_up: float
    tenant: int | None = None
    lanes: float | None = None
    memory: float | None = None
    load_time: float | None = None
    work: float | None = None
    repeat: bool = False
    write: bool = False
    caller: str | None = None  # whose it is by its identity, where the front knows that


@dataclass(frozen=True, slots=True)
class StreamBegan:
    """The answer to an attempt has begun to stream; the request has no deadline any more."""

    request: int
    attempt: int
    worker: int
    took: float


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class AttemptEnded:
    """How one attempt ended."""

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    took: float
    final: bool  # the client has its answer
    note: CopyNote = CopyNote.NONE
    crowd: int | None = None  # requests of the function that the worker held then
    report: tuple[float | None, ...] = ()
    unreached: bool = True  # where it failed to connect: none came up, so the worker may be down
    local: bool = False  # nothing left, for a cause in this gateway: it says nothing of the worker


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has given up; nothing is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set before."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of a probe."""

    worker: int
    outcome: Outcome
    took: float
    report: tuple[float | None, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes that another gateway sent."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """The answer to one order to load (or to count)."""

    worker: int
    function: int
    outcome: Outcome
    copies: int
    took: float


Event = (
    Membership
    | Request
    | StreamBegan
    | AttemptEnded
    | ClientGone
    | TimerDue
    | ProbeEnded
    | PeerMessage
    | OrderEnded
)


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class Send:
    """Start an attempt; ``patience`` None: till the client gives up."""

    request: int
    worker: int
    patience: float | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after: float | None = None
    reason: str = ""  # in words, for the client; "" for the usual one


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Order:
    """Have a worker hold at least so many copies; 0 only asks."""

    worker: int
    function: int
    copies: int


@dataclass(frozen=True, slots=True)
class Unload:
    """Have a worker unload its idle copies of a function."""

    worker: int
    function: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a worker."""

    worker: int


@dataclass(frozen=True, slots=True)
class Tell:
    """Send bytes to another gateway, or to all of them."""

    data: bytes
    peer: int | None = None


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the list from now on, or no more."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask for the whole list once."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a worker."""

    worker: int


@dataclass(slots=True)  # one or more a call: frozen ones take three times as long to make
class SetTimer:
    """Ask for a ``TimerDue``."""

    at: float
    token: int


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the people on call."""

    text: str = field(default="")


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | Order
    | Unload
    | Probe
    | Tell
    | Subscribe
    | FetchList
    | CloseIdle
    | SetTimer
    | Log
)
