"""Arithmetic on sets of time intervals, each a pair ``(start, end)`` in ms with start < end."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

Interval = tuple[float, float]


def merge_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    """Return the union as sorted intervals of which no two overlap or touch; empty intervals are dropped."""
    merged: list[Interval] = []
    for start, end in sorted(interval for interval in intervals if interval[0] < interval[1]):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(merged[-1][1], end))
        else:
            merged.append((start, end))
    return merged


def subtract_intervals(intervals: list[Interval], removed: list[Interval]) -> list[Interval]:
    """Return the parts of ``intervals`` that are outside ``removed``, which must be merged."""
    remaining: list[Interval] = []
    for start, end in intervals:
        remaining_start = start
        for removed_start, removed_end in removed:
            if removed_end <= remaining_start or removed_start >= end:
                continue
            if removed_start > remaining_start:
                remaining.append((remaining_start, removed_start))
            remaining_start = removed_end
        if remaining_start < end:
            remaining.append((remaining_start, end))
    return remaining


def intersect_intervals(first: list[Interval], second: list[Interval]) -> list[Interval]:
    """Return the intersection, by one pass over both lists, which must be sorted and free of overlaps."""
    common: list[Interval] = []
    first_index = 0
    second_index = 0
    while first_index < len(first) and second_index < len(second):
        start = max(first[first_index][0], second[second_index][0])
        end = min(first[first_index][1], second[second_index][1])
        if start < end:
            common.append((start, end))
        if first[first_index][1] < second[second_index][1]:
            first_index += 1
        else:
            second_index += 1
    return common
