"""The merge of the request classes of new settings into the classes in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cedarthread.model.settings import RequestClass


class MergedClasses(NamedTuple):
    """All request classes that calls may refer to, and the class indexes for new calls."""

    classes: tuple[RequestClass, ...]
    current_class_index: dict[str, int]  # index of each class for new calls, by class name


def merge_request_classes(
    classes: Sequence[RequestClass],
    current_class_index: Mapping[str, int],
    new_classes: Sequence[RequestClass],
) -> MergedClasses:
    """Return the classes in force merged with the classes of new settings.

    Classes are only added, because pending calls refer to their classes by index. A new or changed class gets
    a new index. A class that is missing from ``new_classes`` gets no new calls.

    Args:
        classes: The classes in force by index, including earlier versions of changed classes.
        current_class_index: The class index for new calls by class name, as in force until now.
        new_classes: The classes of the new settings.
    """
    merged = list(classes)
    merged_index: dict[str, int] = {}
    for request_class in new_classes:
        class_index = current_class_index.get(request_class.name)
        if class_index is None or merged[class_index] != request_class:
            merged.append(request_class)
            class_index = len(merged) - 1
        merged_index[request_class.name] = class_index
    return MergedClasses(tuple(merged), merged_index)
