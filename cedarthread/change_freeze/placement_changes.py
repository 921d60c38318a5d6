"""Placement changes that are requested, what the admission gate answers, and the rules of windows in force.

Which acts count as a placement change: docs/design/freeze.md, steps 1 to 4.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from cedarthread.fleet_config import FrozenAction


class PlacementChange(NamedTuple):
    """A placement change that is requested. None: not known, so it may concern any of them."""

    kind: FrozenAction
    worker_id: int | None
    function_id: int | None
    zone_index: int | None = None
    tenant_index: int | None = None
    is_emergency: bool = False  # no placed worker has capacity, or most placements were lost


class AdmissionAnswer(Enum):
    """The gate's answer to a placement change."""

    PERMITTED = "yes"
    PERMITTED_BY_EXCEPTION = "under the allowance"  # one of the exception budget is used up
    DENIED = "no"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The answer and its cause: a window's id, ``UNCERTAIN``, ``RELEASING``; '' where nothing is frozen."""

    answer: AdmissionAnswer
    window_id: str = ""

    @property
    def is_permitted(self) -> bool:
        """Whether the change may be made."""
        return self.answer is not AdmissionAnswer.DENIED


# Causes of a denial other than a window's id.
UNCERTAIN = "unsure"  # a window may have been missed
RELEASING = "releasing"  # the window is over, but deferred changes are released at a limited rate


@dataclass(frozen=True, slots=True)
class FreezeRule:
    """The terms of a window in force, its names as indexes of this router. None: all of them."""

    window_id: str
    frozen_kinds: frozenset[str]
    zone_indexes: frozenset[int] | None
    function_ids: frozenset[int] | None
    tenant_indexes: frozenset[int] | None
    exception_budget: int

    def covers(self, change: PlacementChange) -> bool:
        """Whether the change is frozen. What is not known of it is covered: it may be what is meant."""
        return (
            change.kind in self.frozen_kinds
            and (
                self.function_ids is None
                or change.function_id is None
                or change.function_id in self.function_ids
            )
            and (
                self.zone_indexes is None
                or change.zone_index is None
                or change.zone_index in self.zone_indexes
            )
            and (
                self.tenant_indexes is None
                or change.tenant_index is None
                or change.tenant_index in self.tenant_indexes
            )
        )
