"""Rules for acts of routers: which acts contradict each other, and the fallback of each act.

Two acts *contradict* each other when no single state of the replicated store allows both. Fresh routers know
the same entries, so their acts contradict each other for no longer than the staleness bound. A router with a
state that is not fresh replaces an act by the *fallback* of that act; a fallback contradicts no act. The
module has constants and functions only, no state. Step 13 of docs/design/replication.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Act(StrEnum):
    """An act that a router derives from replicated entries."""

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
    """The rule for one act: the acts that contradict it, and its fallback."""

    contradicts: frozenset[Act]  # when another router does one of them
    fallback: Act  # replaces the act while the router's state is not fresh
    reason: str  # why the act needs a fresh state


def _rule(fallback: Act, reason: str, *contradicts: Act) -> ActRule:
    return ActRule(frozenset(contradicts), fallback, reason)


ACT_RULES: Mapping[Act, ActRule] = MappingProxyType(
    {
        Act.CHANGE_PLACEMENT: _rule(
            Act.KEEP_PLACEMENT,
            "a window that this router has not received may be in force",
            Act.CONFIRM_WINDOW_IN_FORCE,
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
            "this router may not have received the end of the window",
            Act.CHANGE_PLACEMENT,
            Act.TREAT_WINDOW_AS_ENDED,
        ),
        Act.PREEMPT: _rule(Act.SERVE, "the order of the tiers may have changed", Act.PREEMPT, Act.SHED),
        Act.SHED: _rule(Act.SERVE, "the tier may have changed", Act.PREEMPT, Act.SHED),
        Act.SERVE: _rule(Act.SERVE, "every state allows serving"),
    }
)


def are_contradictory(one: Act, other: Act) -> bool:
    """Return whether no single state allows ``one`` at one router and ``other`` at another."""
    return other in ACT_RULES[one].contradicts


def act_or_fallback(act: Act, *, is_fresh: bool) -> Act:
    """Return ``act`` if the router's state is fresh, else the fallback of ``act``."""
    return act if is_fresh else ACT_RULES[act].fallback
