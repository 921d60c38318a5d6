"""How a pool's total is divided among the routers before anything moves."""

from __future__ import annotations

from cedarthread.routing.rendezvous import hash64, rendezvous_score


def allotment_order(pool_key: int, router_count: int) -> tuple[int, ...]:
    """All routers in the order in which a pool's units fall to them; the same at every router."""
    return tuple(
        sorted(
            range(router_count),
            key=lambda router: (rendezvous_score(pool_key, hash64(router), 1.0), router),
        )
    )


def allotment(total: int, router_count: int, place: int) -> int:
    """What falls to the router at a place of the order.

    The allotments add up to the total, and none is smaller for a greater total: routers that know different
    totals do not exceed the greatest of them together.
    """
    return (total + router_count - 1 - place) // router_count
