"""The division of a total among the routers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cedarthread.escrow import codec
from cedarthread.escrow.allotment import allotment, allotment_order


@given(st.lists(st.integers(0, 10**9), min_size=2, max_size=2), st.integers(1, 300), st.text())
def test_allotments_add_up_and_no_mix_of_two_totals_exceeds_the_greater(
    totals: list[int], router_count: int, name: str
) -> None:
    lower_total, higher_total = sorted(totals)
    order = allotment_order(codec.pool_key(name), router_count)
    assert sorted(order) == list(range(router_count))
    lower = [allotment(lower_total, router_count, rank) for rank in range(router_count)]
    higher = [allotment(higher_total, router_count, rank) for rank in range(router_count)]
    assert [sum(lower), sum(higher)] == [lower_total, higher_total]
    assert all(low <= high for low, high in zip(lower, higher, strict=True))
