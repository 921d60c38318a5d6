"""What tenants use: within their contract or beyond, over the whole fleet.

A contract's rate is a pool of grants; each router counts its calls against its part by a token bucket
(Turner, 1986). Parts never sum up to more than the rate, so in any span T all routers together let at most
rate x (T + DEPTH) pass as within, and one more a router whose part is under one call in DEPTH.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cedarthread.components.interface import QuotaEscrow
from cedarthread.priority.contracts import FIXED_POINT_SCALE, EffectiveContract
from cedarthread.statistics import DecayingCounter

BUCKET_DEPTH_MS = 1000.0  # ms of its part that a bucket holds at most
DEMAND_TIME_CONSTANT_MS = 3000.0  # ms over which demand is counted
DEMAND_HEADROOM = (
    1.25  # times its demand that a router wants of a rate: what grows must not wait for a grant each time
)
FLOOR_WINDOW_MS = 10_000.0  # ms in which the floor must hold
IDLE_TENANT_TIMEOUT_MS = 600_000.0  # ms after which a tenant without calls is forgotten


def quota_pool_name(tenant_name: str) -> str:
    """The name of a contract's pool of grants."""
    return f"tier/{tenant_name}"


@dataclass(slots=True)
class QuotaBucket:
    """Tokens that come at a rate in 1/1000 a second."""

    tokens: float = 0.0
    rate_milli_per_second: int = 0
    filled_at_ms: float | None = None

    def refill(self, now: float, rate_milli_per_second: int) -> None:
        """Tokens that came since the last look, by the lower of both rates: a part may have been given away
        just after that look, or come just before this one."""
        if self.filled_at_ms is not None and now > self.filled_at_ms:
            self.tokens += (
                min(rate_milli_per_second, self.rate_milli_per_second)
                / FIXED_POINT_SCALE
                * (now - self.filled_at_ms)
                / 1000.0
            )
        depth = (
            max(1.0, rate_milli_per_second / FIXED_POINT_SCALE * BUCKET_DEPTH_MS / 1000.0)
            if rate_milli_per_second > 0
            else 0.0
        )
        self.tokens, self.rate_milli_per_second, self.filled_at_ms = (
            min(self.tokens, depth),
            rate_milli_per_second,
            now,
        )

    def try_take(self) -> bool:
        """One token, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class _TenantCounters:
    demand: DecayingCounter = field(default_factory=lambda: DecayingCounter(DEMAND_TIME_CONSTANT_MS))
    calls: DecayingCounter = field(
        default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS)
    )  # calls, whatever became of them
    calls_within_quota: DecayingCounter = field(default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS))
    rejected_calls: DecayingCounter = field(
        default_factory=lambda: DecayingCounter(FLOOR_WINDOW_MS)
    )  # refused or preempted
    bucket: QuotaBucket = field(default_factory=QuotaBucket)
    requested_milli_per_second: int = 0


class TenantUsage:
    """The calls of all tenants at this router."""

    def __init__(self, escrow: QuotaEscrow) -> None:
        self.escrow = escrow
        self.tenants: dict[str, _TenantCounters] = {}
        self.pool_totals: dict[str, int] = {}  # of pools, as last opened

    def record_call(
        self, now: float, tenant_name: str, contract: EffectiveContract, is_client_retry: bool
    ) -> bool:
        """A call of a tenant came; is it within the contract?

        A client's repeat is no new call for the floor: each displaced one would make room for another."""
        counters = self.tenants.get(tenant_name)
        if counters is None:
            counters = self.tenants[tenant_name] = _TenantCounters()
            self._request_quota(now, tenant_name, counters)
        counters.demand.add(now, 1.0)
        if not is_client_retry:
            counters.calls.add(now, 1.0)
        counters.bucket.refill(
            now, min(self.escrow.available(now, quota_pool_name(tenant_name)), contract.rate_milli_per_second)
        )
        is_within_quota = counters.bucket.try_take()
        if is_within_quota and not is_client_retry:
            counters.calls_within_quota.add(now, 1.0)
        return is_within_quota

    def record_rejected(self, now: float, tenant_name: str | None) -> None:
        """A call of it was refused or preempted."""
        if tenant_name is not None and (counters := self.tenants.get(tenant_name)) is not None:
            counters.rejected_calls.add(now, 1.0)

    def can_reject(self, now: float, tenant_name: str | None, floor_permille: int) -> bool:
        """Would what is served of it stay at its floor, a part of its calls within contract, with one less?

        Each router holds the floor of what came to it, so the fleet holds that of what came in all."""
        counters = self.tenants.get(tenant_name) if tenant_name is not None else None
        if counters is None or floor_permille <= 0:
            return True
        served_calls = counters.calls.read(now) - counters.rejected_calls.read(now) - 1.0
        return served_calls >= floor_permille / FIXED_POINT_SCALE * counters.calls_within_quota.read(now)

    def on_tick(self, now: float, contracts: dict[str, EffectiveContract]) -> None:
        """Open and change pools, and say what this router could use of each."""
        for tenant_name, contract in contracts.items():
            if self.pool_totals.get(tenant_name) != contract.rate_milli_per_second:
                self.pool_totals[tenant_name] = contract.rate_milli_per_second
                self.escrow.open_pool(
                    quota_pool_name(tenant_name),
                    contract.rate_milli_per_second,
                    is_consumable=False,
                    ends_at_ms=None,
                )
        for tenant_name, counters in list(self.tenants.items()):
            if now - counters.demand.updated_at_ms > IDLE_TENANT_TIMEOUT_MS:
                del self.tenants[tenant_name]
                continue
            if tenant_name in contracts:
                counters.bucket.refill(
                    now,
                    min(
                        self.escrow.available(now, quota_pool_name(tenant_name)),
                        contracts[tenant_name].rate_milli_per_second,
                    ),
                )
                self._request_quota(now, tenant_name, counters)

    def _request_quota(self, now: float, tenant_name: str, counters: _TenantCounters) -> None:
        requested_milli_per_second = int(
            DEMAND_HEADROOM * counters.demand.read(now) / DEMAND_TIME_CONSTANT_MS * 1000.0 * FIXED_POINT_SCALE
        )
        if (
            abs(requested_milli_per_second - counters.requested_milli_per_second) * 20
            > max(requested_milli_per_second, counters.requested_milli_per_second)
            or requested_milli_per_second > counters.requested_milli_per_second
        ):
            counters.requested_milli_per_second = requested_milli_per_second
            self.escrow.request(now, quota_pool_name(tenant_name), requested_milli_per_second)
