"""Rules for actions of routers: which actions conflict with each other, and the fallback of each action.

Two actions *conflict* when no single state of the replicated store allows both. Fresh routers know the same
entries, so their actions conflict for no longer than the staleness bound. A router with a state that is not
fresh replaces an action by the *fallback* of that action; a fallback conflicts with no action. The module is
stateless. Step 13 of docs/design/replication.md.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class RouterAction(StrEnum):
    """An action that a router derives from replicated entries."""

    CHANGE_PLACEMENT = "load, unload or migrate instances"
    USE_EXCEPTION_BUDGET = "change placement by a unit of a freeze window's exception budget"
    KEEP_PLACEMENT = "leave instances where they are"
    TREAT_WINDOW_AS_ENDED = "act as if a freeze window had ended"
    CONFIRM_WINDOW_IN_FORCE = "report that a freeze window is in force at all routers"
    PREEMPT = "preempt a call of one priority tier for a call of another"
    SHED = "reject a call by its priority tier"
    SERVE = "serve calls in order of arrival, whatever their tier"


@dataclass(frozen=True, slots=True)
class ActionRule:
    """The rule for one action: the actions that conflict with it, and its fallback."""

    conflicts_with: frozenset[RouterAction]  # the conflicting actions, at any other router
    fallback: RouterAction  # replaces the action while the router's state is not fresh
    reason: str  # why the action needs a fresh state


def _rule(fallback: RouterAction, reason: str, *conflicts_with: RouterAction) -> ActionRule:
    return ActionRule(frozenset(conflicts_with), fallback, reason)


ACTION_RULES: Mapping[RouterAction, ActionRule] = MappingProxyType(
    {
        RouterAction.CHANGE_PLACEMENT: _rule(
            RouterAction.KEEP_PLACEMENT,
            "a window that this router has not received may be in force",
            RouterAction.CONFIRM_WINDOW_IN_FORCE,
        ),
        RouterAction.USE_EXCEPTION_BUDGET: _rule(
            RouterAction.USE_EXCEPTION_BUDGET, "the units of all routers add up to the budget, fresh or not"
        ),
        RouterAction.KEEP_PLACEMENT: _rule(RouterAction.KEEP_PLACEMENT, "no state requires a change"),
        RouterAction.TREAT_WINDOW_AS_ENDED: _rule(
            RouterAction.KEEP_PLACEMENT,
            "the end may have been revoked, or the window replaced",
            RouterAction.CONFIRM_WINDOW_IN_FORCE,
        ),
        RouterAction.CONFIRM_WINDOW_IN_FORCE: _rule(
            RouterAction.KEEP_PLACEMENT,
            "this router may not have received the end of the window",
            RouterAction.CHANGE_PLACEMENT,
            RouterAction.TREAT_WINDOW_AS_ENDED,
        ),
        RouterAction.PREEMPT: _rule(
            RouterAction.SERVE,
            "the order of the tiers may have changed",
            RouterAction.PREEMPT,
            RouterAction.SHED,
        ),
        RouterAction.SHED: _rule(
            RouterAction.SERVE, "the tier may have changed", RouterAction.PREEMPT, RouterAction.SHED
        ),
        RouterAction.SERVE: _rule(RouterAction.SERVE, "every state allows serving"),
    }
)


def are_conflicting(one: RouterAction, other: RouterAction) -> bool:
    """Return whether no single state allows ``one`` at one router and ``other`` at another."""
    return other in ACTION_RULES[one].conflicts_with


def action_or_fallback(action: RouterAction, *, is_fresh: bool) -> RouterAction:
    """Return ``action`` if the router's state is fresh, else the fallback of ``action``."""
    return action if is_fresh else ACTION_RULES[action].fallback
