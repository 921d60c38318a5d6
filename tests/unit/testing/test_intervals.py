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


def covers(intervals: list[Interval], point: float) -> bool:
    return any(begin < point < end for begin, end in intervals)


def test_intervals_that_overlap_or_touch_are_merged_and_empty_ones_dropped() -> None:
    assert merge_intervals([(5.0, 6.0), (1.0, 3.0), (3.0, 4.0), (2.0, 2.5), (7.0, 7.0)]) == [
        (1.0, 4.0),
        (5.0, 6.0),
    ]


def test_subtraction_cuts_at_both_ends_and_in_the_middle() -> None:
    removed = [(0.0, 2.0), (4.0, 5.0), (9.0, 12.0)]
    assert subtract_intervals([(1.0, 10.0), (20.0, 21.0)], removed) == [(2.0, 4.0), (5.0, 9.0), (20.0, 21.0)]


def test_intersection_is_what_is_in_both() -> None:
    assert intersect_intervals([(0.0, 5.0), (6.0, 9.0)], [(4.0, 7.0), (9.0, 10.0)]) == [
        (4.0, 5.0),
        (6.0, 7.0),
    ]


@pytest.mark.parametrize("seed", range(20))
def test_random_intervals_agree_with_a_check_of_each_point(seed: int) -> None:
    rng = random.Random(seed)

    def random_intervals() -> list[Interval]:
        return [(float(begin), float(begin + rng.randrange(8))) for begin in rng.choices(range(40), k=6)]

    first, second = random_intervals(), random_intervals()
    left, right = merge_intervals(first), merge_intervals(second)
    for point in (whole + 0.5 for whole in range(50)):
        assert covers(left, point) == covers(first, point)
        assert covers(subtract_intervals(left, right), point) == (
            covers(left, point) and not covers(right, point)
        )
        assert covers(intersect_intervals(left, right), point) == (
            covers(left, point) and covers(right, point)
        )
