"""Records of the admission gate: placement changes, decisions, and the rules of windows in force.

docs/design/change-freeze.md, steps 1 to 4, defines which operations are placement changes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import NamedTuple


class PlacementChangeKind(StrEnum):
    """The kind of a placement change; fleet files and entries contain the values."""

    FIRST_INSTANCE = "first-copy"  # a call loads its function at a worker
    PRELOAD = "order"  # a worker loads a function before a call needs it
    UNLOAD = "unload"
    HOME_WORKERS = "homes"  # other workers become the home workers of a function
    SETTINGS = "retune"  # new settings change where instances are placed


class PlacementChange(NamedTuple):
    """A placement change that is requested.

    A field that is None is unknown: the change may concern any worker, function, zone or tenant.
    """

    kind: PlacementChangeKind
    worker_id: int | None
    function_id: int | None
    zone_index: int | None = None
    tenant_index: int | None = None
    is_emergency: bool = False  # no placed worker has capacity, or most placements are lost


class AdmissionAnswer(Enum):
    """The answer of the admission gate to a placement change."""

    PERMITTED = "yes"
    PERMITTED_BY_EXCEPTION = "under the allowance"  # permitted, and consumes one exception of each window
    DENIED = "no"


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """An answer of the admission gate and its cause.

    ``cause`` is the id of a window in force, ``UNCERTAIN``, ``RELEASING``, or '' if nothing freezes the
    change.
    """

    answer: AdmissionAnswer
    cause: str = ""

    @property
    def is_permitted(self) -> bool:
        """Return whether the change may be made."""
        return self.answer is not AdmissionAnswer.DENIED


# Causes of a denial other than a window's id.
UNCERTAIN = "unsure"  # this router may not have received a window
RELEASING = "releasing"  # the window has ended, and deferred changes are released at a limited rate


@dataclass(frozen=True, slots=True)
class FreezeRule:
    """The terms of a window in force, with zones and tenants as indexes in this router's settings.

    A field that is None covers all zones, functions or tenants.
    """

    window_id: str
    frozen_kinds: frozenset[PlacementChangeKind]
    zone_indexes: frozenset[int] | None
    function_ids: frozenset[int] | None
    tenant_indexes: frozenset[int] | None
    exception_budget: int

    def covers(self, change: PlacementChange) -> bool:
        """Return whether the rule freezes the change.

        A field of the change that is unknown counts as covered, because its value may be one that the
        rule names.
        """
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
