"""Which two acts of two routers contradict each other, and how one acts that may have missed something.

Two acts *contradict* when no single content of the register allows both. Routers that are fresh act by what
is known to all that are fresh, so theirs do not contradict for longer than the bound; one that is not fresh
does the *cautious* act in its place, which contradicts nothing. Step 13 of docs/design/register.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType


class Act(StrEnum):
    """What a router may do that goes by the register."""

    CHANGE_PLACEMENT = "change where functions stand"
    USE_EXCEPTION_BUDGET = "change it by a grant of a window's allowance"
    KEEP_PLACEMENT = "leave them where they stand"
    TREAT_WINDOW_AS_ENDED = "act as if a window had ended"
    CONFIRM_WINDOW_IN_FORCE = "say that a window is in force at all routers"
    PREEMPT = "end a call of one tier for a call of another"
    SHED = "refuse a call by its tier"
    SERVE = "serve calls as they come, whatever their tier"


@dataclass(frozen=True, slots=True)
class ActRule:
    """One act: those it contradicts when done by another router, and what is done in its place."""

    contradicts: frozenset[Act]
    fallback: Act
    reason: str


def _rule(cautious: Act, why: str, *contradicts: Act) -> ActRule:
    return ActRule(frozenset(contradicts), cautious, why)


ACT_RULES: Mapping[Act, ActRule] = MappingProxyType(
    {
        Act.CHANGE_PLACEMENT: _rule(
            Act.KEEP_PLACEMENT, "a window may be in force that was missed", Act.CONFIRM_WINDOW_IN_FORCE
        ),
        Act.USE_EXCEPTION_BUDGET: _rule(
            Act.USE_EXCEPTION_BUDGET, "grants sum up to the allowance, whoever is fresh"
        ),
        Act.KEEP_PLACEMENT: _rule(Act.KEEP_PLACEMENT, "no content asks for a change"),
        Act.TREAT_WINDOW_AS_ENDED: _rule(
            Act.KEEP_PLACEMENT,
            "the end may be taken back, the window be another's",
            Act.CONFIRM_WINDOW_IN_FORCE,
        ),
        Act.CONFIRM_WINDOW_IN_FORCE: _rule(
            Act.KEEP_PLACEMENT,
            "its end may have been missed",
            Act.CHANGE_PLACEMENT,
            Act.TREAT_WINDOW_AS_ENDED,
        ),
        Act.PREEMPT: _rule(Act.SERVE, "the order of the tiers may be another by now", Act.PREEMPT, Act.SHED),
        Act.SHED: _rule(Act.SERVE, "the tier may be another by now", Act.PREEMPT, Act.SHED),
        Act.SERVE: _rule(Act.SERVE, "every content allows to serve"),
    }
)


def are_contradictory(one: Act, other: Act) -> bool:
    """Can these acts of two routers that hold different contents be right together under no single one?"""
    return other in ACT_RULES[one].contradicts


def act_or_fallback(wanted: Act, is_fresh: bool) -> Act:
    """What a router does that wants this: the cautious act in its place unless it is fresh."""
    return wanted if is_fresh else ACT_RULES[wanted].fallback
