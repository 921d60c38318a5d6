"""The initial division of a pool's total among the routers, before any units are transferred."""

from __future__ import annotations

from cedarthread.routing.rendezvous import hash64, rendezvous_score


def allotment_order(pool_key: int, router_count: int) -> tuple[int, ...]:
    """Return all router indexes in the order of allotment, which is the same at every router."""
    return tuple(
        sorted(
            range(router_count),
            key=lambda router: (rendezvous_score(pool_key, hash64(router), 1.0), router),
        )
    )


def allotment(total: int, router_count: int, rank: int) -> int:
    """Return the units allotted to the router at index ``rank`` of ``allotment_order``.

    The allotments of all ranks add up to the total, and no allotment shrinks when the total grows. Routers
    that know different totals therefore never exceed the greatest of these totals together.
    """
    return (total + router_count - 1 - rank) // router_count
