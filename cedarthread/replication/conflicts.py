"""Which acts of two routers contradict each other, and what a router does instead while its state is not
fresh.

Two acts *contradict* when no single state of the replicated store allows both. Routers whose states are fresh
act on all that fresh routers know, so they do not contradict each other for longer than the staleness bound.
A router whose state is not fresh does the *fallback* of an act, which contradicts nothing. Step 13 of
docs/design/register.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Act(StrEnum):
    """What a router may do on the strength of replicated entries."""

    CHANGE_PLACEMENT = "load, unload or migrate instances"
    USE_EXCEPTION_BUDGET = "change placement by a unit of a freeze window's exception budget"
    KEEP_PLACEMENT = "leave instances where they are"
    TREAT_WINDOW_AS_ENDED = "act as if a freeze window had ended"
    CONFIRM_WINDOW_IN_FORCE = "report that a freeze window is in force at all routers"
    PREEMPT = "preempt a call of one priority tier for a call of another"
    SHED = "reject a call by its priority tier"
    SERVE = "serve calls in order of arrival, whatever their tier"


@dataclass(frozen=True, slots=True)
class ActRule:
    """One act: those it contradicts when another router does them, and what is done instead while not
    fresh.
    """

    contradicts: frozenset[Act]
    fallback: Act
    reason: str


def _rule(fallback: Act, reason: str, *contradicts: Act) -> ActRule:
    return ActRule(frozenset(contradicts), fallback, reason)


ACT_RULES: Mapping[Act, ActRule] = MappingProxyType(
    {
        Act.CHANGE_PLACEMENT: _rule(
            Act.KEEP_PLACEMENT, "a window that was missed may be in force", Act.CONFIRM_WINDOW_IN_FORCE
        ),
        Act.USE_EXCEPTION_BUDGET: _rule(
            Act.USE_EXCEPTION_BUDGET, "the units of all routers add up to the budget, fresh or not"
        ),
        Act.KEEP_PLACEMENT: _rule(Act.KEEP_PLACEMENT, "no state requires a change"),
        Act.TREAT_WINDOW_AS_ENDED: _rule(
            Act.KEEP_PLACEMENT,
            "the end may have been revoked, or the window replaced",
            Act.CONFIRM_WINDOW_IN_FORCE,
        ),
        Act.CONFIRM_WINDOW_IN_FORCE: _rule(
            Act.KEEP_PLACEMENT,
            "its end may have been missed",
            Act.CHANGE_PLACEMENT,
            Act.TREAT_WINDOW_AS_ENDED,
        ),
        Act.PREEMPT: _rule(Act.SERVE, "the order of the tiers may have changed", Act.PREEMPT, Act.SHED),
        Act.SHED: _rule(Act.SERVE, "the tier may have changed", Act.PREEMPT, Act.SHED),
        Act.SERVE: _rule(Act.SERVE, "every state allows to serve"),
    }
)


def are_contradictory(one: Act, other: Act) -> bool:
    """Whether no single state allows these acts of two routers."""
    return other in ACT_RULES[one].contradicts


def act_or_fallback(act: Act, is_fresh: bool) -> Act:
    """The act itself while the router's state is fresh, else its fallback."""
    return act if is_fresh else ACT_RULES[act].fallback
