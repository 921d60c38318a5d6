"""The translation of a window's terms into a rule, using the zones and tenants in this router's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cedarthread.change_freeze.placement_changes import FreezeRule

if TYPE_CHECKING:
    from cedarthread.change_freeze.window_entries import WindowTerms
    from cedarthread.model.settings import RouterSettings


def rule_from_terms(terms: WindowTerms, exception_budget: int, settings: RouterSettings) -> FreezeRule:
    """Return the rule that enforces a window's terms at a router with these settings.

    Args:
        terms: The terms of a version of the window that is in force.
        exception_budget: The least budget of all versions in effect.
        settings: The settings with the zones and tenants that the terms name.
    """
    return FreezeRule(
        terms.window_id,
        frozenset(terms.frozen_kinds),
        _indexes_of(terms.zone_names, settings.zones),
        frozenset(terms.function_ids) if terms.function_ids else None,
        _indexes_of(terms.tenant_names, tuple(tenant.name for tenant in settings.tenants)),
        exception_budget,
    )


def _indexes_of(names: tuple[str, ...], known_names: tuple[str, ...]) -> frozenset[int] | None:
    """Return the indexes of names; None, which means all, if there are no names or one is unknown here.

    A name that is not in this router's settings may denote any zone or tenant, so all must count as covered.
    """
    if not names or any(name not in known_names for name in names):
        return None
    return frozenset(known_names.index(name) for name in names)
