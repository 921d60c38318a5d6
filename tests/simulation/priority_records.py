"""Records and fakes of the simulated fleet with priority tiers: classes, calls, store and escrow."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple

from cedarthread.components.replicated_state import EntryKind, ReplicatedEntry
from cedarthread.model.call_priority import NO_PRIORITY, CallPriority
from cedarthread.model.settings import DeduplicationScope, Idempotency, RequestClass

STALENESS_BOUND_MS = 4000.0


def _request_class(
    name: str,
    latency_objective_ms: float,
    deadline_ms: float,
    priority_weight: float,
    idempotency: Idempotency,
    deduplication_window_ms: float = 0.0,
) -> RequestClass:
    return RequestClass(
        name,
        latency_objective_ms,
        deadline_ms,
        priority_weight,
        late_priority_weight=0.2,
        idempotency=idempotency,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_ms=deduplication_window_ms,
        is_streaming=False,
        latency_objective_work_factor=0.0,
    )


CLASSES = (
    _request_class("price", 500.0, 3000.0, 2.0, Idempotency.IDEMPOTENT),
    _request_class("confirm", 1500.0, 5000.0, 1.0, Idempotency.NOT_IDEMPOTENT),
    _request_class("nominate", 900.0, 4000.0, 1.5, Idempotency.WITH_KEY, 5000.0),
)
MEAN_WORK_MS = (100.0, 300.0, 200.0)  # by class
ROUTER_COUNT = 6
WORKER_COUNT = 8
CONCURRENCY = 4
CAPACITY_PER_SECOND = WORKER_COUNT * CONCURRENCY / 200.0 * 1000.0  # calls per second, at 200 ms of work each
MAX_IN_FLIGHT_PER_WORKER = 3  # calls of one router at one worker
STRICTEST_OBJECTIVE_MS = 500.0  # the least latency objective of all classes
FLEET_FILE = b"""
[overload]
dwell = 2.0
preempts = 6
[[tier]]
name = "firm"
[[tier]]
name = "standard"
[[tier]]
name = "interruptible"
[[contract]]
tenant = "mill"
tier = "firm"
rate = 60
[[contract]]
tenant = "town"
tier = "standard"
rate = 60
floor = 0.2
[[contract]]
tenant = "bulk"
tier = "interruptible"
rate = 60
floor = 0.5
"""
PREEMPTIONS_PER_SECOND = 6.0  # equal to ``preempts`` in the fleet file
TENANTS = ("mill", "town", "bulk")
EDITED_TENANTS = TENANTS[:2]


class FakeReplicatedState:
    """The replicated store of a router that is always fresh."""

    staleness_bound_ms = STALENESS_BOUND_MS

    def __init__(self) -> None:
        self.entry_by_name = dict[tuple[EntryKind, str], ReplicatedEntry]()

    def entries(self, kind: EntryKind) -> tuple[ReplicatedEntry, ...]:
        by_name = sorted(self.entry_by_name.items())
        return tuple(entry for (entry_kind, _), entry in by_name if entry_kind is kind)

    def is_fresh(self, now_ms: float) -> bool:
        return True

    def fresh_since(self, now_ms: float) -> float | None:
        return 0.0


class FakeEscrow:
    """The quota escrow of one router, which divides each total in proportion to the routers' requests."""

    def __init__(
        self, router_index: int, requests: dict[str, dict[int, int]], totals: dict[str, int]
    ) -> None:
        self.router_index = router_index
        self.requests = requests
        self.totals = totals

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now_ms: float, name: str) -> int:
        requests = self.requests[name]
        return self.totals.get(name, 0) * requests.get(self.router_index, 0) // max(1, sum(requests.values()))

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        raise AssertionError("rates are not consumed")

    def request(self, now_ms: float, name: str, amount: int) -> None:
        self.requests[name][self.router_index] = amount + 1


@dataclasses.dataclass(eq=False)
class SimulatedCall:
    """A call of a client, and its progress at its router and worker."""

    request_id: int
    router_index: int
    tenant_index: int
    class_index: int
    arrived_at_ms: float
    work_ms: float
    retry_identity: int
    is_client_retry: bool = False
    priority: CallPriority = NO_PRIORITY
    worker_id: int | None = None
    started_at_ms: float | None = None
    ended_at_ms: float | None = None
    answered_at_ms: float | None = None


class Preemption(NamedTuple):
    """A preemption of a call by its router."""

    at_ms: float
    call: SimulatedCall
    was_running: bool
