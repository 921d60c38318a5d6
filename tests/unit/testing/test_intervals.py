"""Arithmetic on sets of time intervals."""

from __future__ import annotations

import random

import pytest

from cedarthread.testing.intervals import (
    Interval,
    intersect_intervals,
    merge_intervals,
    subtract_intervals,
)


def contains(intervals: list[Interval], point: float) -> bool:
    return any(start < point < end for start, end in intervals)


def test_intervals_that_overlap_or_touch_are_merged_and_empty_ones_dropped() -> None:
    assert merge_intervals([(5.0, 6.0), (1.0, 3.0), (3.0, 4.0), (2.0, 2.5), (7.0, 7.0)]) == [
        (1.0, 4.0),
        (5.0, 6.0),
    ]


def test_subtraction_cuts_at_both_ends_and_in_the_middle() -> None:
    removed = [(0.0, 2.0), (4.0, 5.0), (9.0, 12.0)]
    assert subtract_intervals([(1.0, 10.0), (20.0, 21.0)], removed) == [(2.0, 4.0), (5.0, 9.0), (20.0, 21.0)]


def test_an_intersection_contains_the_parts_in_both_sets() -> None:
    assert intersect_intervals([(0.0, 5.0), (6.0, 9.0)], [(4.0, 7.0), (9.0, 10.0)]) == [
        (4.0, 5.0),
        (6.0, 7.0),
    ]


@pytest.mark.parametrize("seed", range(20))
def test_random_intervals_agree_with_a_check_of_each_point(seed: int) -> None:
    rng = random.Random(seed)

    def random_intervals() -> list[Interval]:
        return [(float(start), float(start + rng.randrange(8))) for start in rng.choices(range(40), k=6)]

    intervals = random_intervals()
    other_intervals = random_intervals()
    merged = merge_intervals(intervals)
    other_merged = merge_intervals(other_intervals)
    for point in (number + 0.5 for number in range(50)):
        is_in_merged = contains(merged, point)
        is_in_other = contains(other_merged, point)
        assert is_in_merged == contains(intervals, point)
        difference = subtract_intervals(merged, other_merged)
        assert contains(difference, point) == (is_in_merged and not is_in_other)
        intersection = intersect_intervals(merged, other_merged)
        assert contains(intersection, point) == (is_in_merged and is_in_other)
