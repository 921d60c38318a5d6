"""The settings that determine where instances are placed, which a freeze excludes from settings changes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cedarthread.model.settings import RouterSettings


def with_placement_settings_of(old: RouterSettings, new: RouterSettings) -> RouterSettings:
    """Return the new settings with the old values of those that determine where instances are placed."""
    prices = replace(new.prices, idle_memory=old.prices.idle_memory, cross_zone=old.prices.cross_zone)
    return replace(
        new,
        prices=prices,
        weight_meaning=old.weight_meaning,
        instance_keep_alive_ms=old.instance_keep_alive_ms,
        when_not_loaded=old.when_not_loaded,
        allows_preloading=old.allows_preloading,
    )
