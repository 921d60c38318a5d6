"""The usage of tenants' quotas at one router.

The rate of a contract is a pool of the quota escrow. Each router counts its calls against its own share of
the pool with a token bucket (Turner, 1986). The shares of all routers never exceed the rate. In any time T,
all routers together therefore count at most rate x (T + ``BUCKET_DEPTH_MS``) calls as within quota, plus one
call for each router with a share under one call per ``BUCKET_DEPTH_MS``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cedarthread.priority.contract_entries import FIXED_POINT_SCALE
from cedarthread.statistics import DecayingCounter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cedarthread.components.quota_escrow import QuotaEscrow
    from cedarthread.priority.contracts import EffectiveContract

BUCKET_DEPTH_MS = 1000.0  # depth of a bucket, as the time in which the rate fills it
DEMAND_TIME_CONSTANT_MS = 3000.0
DEMAND_HEADROOM = 1.25  # factor on the requested demand, so that growth needs no new grant
REQUEST_STEPS = 20  # a lower demand is requested only if it is lower by more than 1/20
FLOOR_WINDOW_MS = 10_000.0  # time constant over which a floor is measured
IDLE_TENANT_TIMEOUT_MS = 600_000.0  # time without calls after which a tenant is removed
MS_PER_SECOND = 1000.0


def quota_pool_name(tenant_name: str) -> str:
    """Return the name of a contract's pool in the quota escrow."""
    return f"tier/{tenant_name}"


@dataclass(slots=True)
class QuotaBucket:
    """A token bucket whose rate changes as the escrow transfers shares between routers."""

    tokens: float = 0.0
    rate_milli_per_second: int = 0
    filled_at_ms: float | None = None

    def refill(self, now_ms: float, rate_milli_per_second: int) -> None:
        """Add the tokens since the last refill, at the lower of the previous and the new rate.

        The escrow may have transferred part of the rate away immediately after the last refill, or to this
        router immediately before this one, so only the lower rate is safe.
        """
        if self.filled_at_ms is not None and now_ms > self.filled_at_ms:
            rate = min(rate_milli_per_second, self.rate_milli_per_second) / FIXED_POINT_SCALE
            self.tokens += rate * (now_ms - self.filled_at_ms) / MS_PER_SECOND
        depth = 0.0
        if rate_milli_per_second > 0:
            depth = max(1.0, rate_milli_per_second / FIXED_POINT_SCALE * BUCKET_DEPTH_MS / MS_PER_SECOND)
        self.tokens = min(self.tokens, depth)
        self.rate_milli_per_second = rate_milli_per_second
        self.filled_at_ms = now_ms

    def try_take(self) -> bool:
        """Consume one token; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class _TenantCounters:
    """The recent calls of one tenant at this router, and its token bucket."""

    demand: DecayingCounter = field(default_factory=lambda: DecayingCounter(DEMAND_TIME_CONSTANT_MS))
    calls: DecayingCounter = field(default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS))
    calls_within_quota: DecayingCounter = field(default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS))
    rejected_calls: DecayingCounter = field(  # calls rejected or preempted
        default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS)
    )
    bucket: QuotaBucket = field(default_factory=QuotaBucket)
    requested_milli_per_second: int = 0


class TenantUsage:
    """The calls of all tenants at one router, counted against their quotas and floors."""

    def __init__(self, escrow: QuotaEscrow) -> None:
        self.escrow = escrow
        self.tenants: dict[str, _TenantCounters] = {}
        self.pool_totals: dict[str, int] = {}  # total of each open pool in milli-calls per second, by tenant

    def record_call(
        self, now_ms: float, tenant_name: str, contract: EffectiveContract, *, is_client_retry: bool
    ) -> bool:
        """Count a call of a tenant; return whether the call is within quota.

        A client's retry does not count as a new call for the floor. Otherwise the retry of each preempted
        call would permit another preemption.
        """
        counters = self.tenants.get(tenant_name)
        if counters is None:
            counters = _TenantCounters()
            self.tenants[tenant_name] = counters
            self._request_quota(now_ms, tenant_name, counters)
        counters.demand.add(now_ms, 1.0)
        if not is_client_retry:
            counters.calls.add(now_ms, 1.0)
        self._refill(now_ms, tenant_name, counters, contract)
        is_within_quota = counters.bucket.try_take()
        if is_within_quota and not is_client_retry:
            counters.calls_within_quota.add(now_ms, 1.0)
        return is_within_quota

    def record_rejected(self, now_ms: float, tenant_name: str | None) -> None:
        """Count a call that was rejected or preempted."""
        if tenant_name is not None and (counters := self.tenants.get(tenant_name)) is not None:
            counters.rejected_calls.add(now_ms, 1.0)

    def can_reject(self, now_ms: float, tenant_name: str | None, floor_permille: int) -> bool:
        """Return whether the tenant stays at or above its floor if one more call is rejected.

        The floor is a fraction of the tenant's calls within quota. Each router guarantees the floor for the
        calls that it receives, so the fleet guarantees the floor for all calls.
        """
        counters = self.tenants.get(tenant_name) if tenant_name is not None else None
        if counters is None or floor_permille <= 0:
            return True
        served_calls = counters.calls.read(now_ms) - counters.rejected_calls.read(now_ms) - 1.0
        return served_calls >= floor_permille / FIXED_POINT_SCALE * counters.calls_within_quota.read(now_ms)

    def on_tick(self, now_ms: float, contracts: Mapping[str, EffectiveContract]) -> None:
        """Open and update the pools, and request the amount of each that this router can use."""
        for tenant_name, contract in contracts.items():
            rate = contract.rate_milli_per_second
            if self.pool_totals.get(tenant_name) != rate:
                self.pool_totals[tenant_name] = rate
                self.escrow.open_pool(
                    quota_pool_name(tenant_name), rate, is_consumable=False, ends_at_ms=None
                )
        for tenant_name, counters in list(self.tenants.items()):
            if now_ms - counters.demand.updated_at_ms > IDLE_TENANT_TIMEOUT_MS:
                del self.tenants[tenant_name]
                continue
            if tenant_name in contracts:
                self._refill(now_ms, tenant_name, counters, contracts[tenant_name])
                self._request_quota(now_ms, tenant_name, counters)

    def _refill(
        self, now_ms: float, tenant_name: str, counters: _TenantCounters, contract: EffectiveContract
    ) -> None:
        available = self.escrow.available(now_ms, quota_pool_name(tenant_name))
        counters.bucket.refill(now_ms, min(available, contract.rate_milli_per_second))

    def _request_quota(self, now_ms: float, tenant_name: str, counters: _TenantCounters) -> None:
        """Request a greater demand at once, a lower one only if lower by over 1/``REQUEST_STEPS``."""
        calls_per_second = (
            DEMAND_HEADROOM * counters.demand.read(now_ms) / DEMAND_TIME_CONSTANT_MS * MS_PER_SECOND
        )
        requested = int(calls_per_second * FIXED_POINT_SCALE)
        previous = counters.requested_milli_per_second
        if abs(requested - previous) * REQUEST_STEPS > max(requested, previous) or requested > previous:
            counters.requested_milli_per_second = requested
            self.escrow.request(now_ms, quota_pool_name(tenant_name), requested)
