"""Arithmetic on sets of time intervals, each a `(begin, end)` in ms with begin < end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

Interval = tuple[float, float]


def merge_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    """The union: sorted intervals of which no two overlap or touch; empty ones are dropped."""
    merged: list[Interval] = []
    for begin, end in sorted(interval for interval in intervals if interval[0] < interval[1]):
        if merged and begin <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((begin, end))
    return merged


def subtract_intervals(intervals: list[Interval], removed: list[Interval]) -> list[Interval]:
    """What is in `intervals` and not in `removed`, which must be merged."""
    remaining: list[Interval] = []
    for begin, end in intervals:
        for removed_begin, removed_end in removed:
            if removed_end <= begin or removed_begin >= end:
                continue
            if removed_begin > begin:
                remaining.append((begin, removed_begin))
            begin = removed_end
        if begin < end:
            remaining.append((begin, end))
    return remaining


def intersect_intervals(left: list[Interval], right: list[Interval]) -> list[Interval]:
    """What is in both, by one pass over the two, which must be sorted and not overlap in themselves."""
    common: list[Interval] = []
    left_index = right_index = 0
    while left_index < len(left) and right_index < len(right):
        begin = max(left[left_index][0], right[right_index][0])
        end = min(left[left_index][1], right[right_index][1])
        if begin < end:
            common.append((begin, end))
        if left[left_index][1] < right[right_index][1]:
            left_index += 1
        else:
            right_index += 1
    return common
