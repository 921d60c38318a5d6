"""Window terms and a fake quota escrow for the tests of the change freeze."""

from __future__ import annotations

import msgspec

from cedarthread.change_freeze.window_entries import ALL_CHANGE_KINDS, WindowTerms

EPOCH_UNIX_MS = 1_800_000_000_000.0  # Unix ms at virtual time 0
ROUTER_COUNT = 6


def window_terms(start_ms: float, end_ms: float, **changes: object) -> WindowTerms:
    """Return terms that freeze all changes between two virtual times, with some fields replaced."""
    base = WindowTerms(
        "w",
        int(EPOCH_UNIX_MS + start_ms),
        int(EPOCH_UNIX_MS + end_ms),
        (),
        (),
        (),
        ALL_CHANGE_KINDS,
        0,
        "ops",
        "cycle",
    )
    return msgspec.structs.replace(base, **changes)


class FakeEscrow:
    """A quota escrow that divides each total evenly among ``ROUTER_COUNT`` routers.

    Args:
        router_index: The index of the router that uses the escrow.
        is_empty: Whether this router has no share of the totals, as after a restart.
    """

    has_total_per_router = False  # set by an injected defect: each router may use the complete total

    def __init__(self, router_index: int, *, is_empty: bool) -> None:
        self.router_index = router_index
        self.is_empty = is_empty
        self.totals: dict[str, int] = {}
        self.consumed: dict[str, int] = {}

    def open_pool(self, name: str, total: int, *, is_consumable: bool, ends_at_ms: float | None) -> None:
        self.totals[name] = total

    def available(self, now_ms: float, name: str) -> int:
        total = self.totals.get(name, 0)
        amount = total // ROUTER_COUNT + (self.router_index < total % ROUTER_COUNT)
        if self.is_empty:
            amount = 0
        return (total if self.has_total_per_router else amount) - self.consumed.get(name, 0)

    def consume(self, now_ms: float, name: str, amount: int = 1) -> bool:
        if self.available(now_ms, name) < amount:
            return False
        self.consumed[name] = self.consumed.get(name, 0) + amount
        return True

    def request(self, now_ms: float, name: str, amount: int) -> None:
        pass
