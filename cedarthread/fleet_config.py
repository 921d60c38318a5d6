"""What operators declare for a fleet in one file, ``fleet.toml``: read whole or turned down whole."""

from __future__ import annotations

from datetime import datetime
from pathlib import Path
from typing import Literal

import msgspec

FrozenAction = Literal["first-copy", "order", "unload", "homes", "retune"]
MAX_WINDOW_SECONDS = 12 * 3600.0  # s that a window lasts at most


class FleetConfigError(Exception):
    """The file can't be used: where, and what is wrong."""


class _StrictSection(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """Unknown names are mistakes: a misspelt floor must not be no floor."""


class SharingConfig(_StrictSection, frozen=True):
    """How the register keeps all alike. Times in ms."""

    period: float = 400.0
    fresh: float = 0.0  # 0: by the formula of the design page
    clock_rate: float = 0.001  # part by which a clock may run fast or slow
    clock_error: float = 500.0  # by which wall clocks may differ


class DiskConfig(_StrictSection, frozen=True):
    """Where state is kept, and when it is on the disk."""

    folder: str
    sync: Literal["each", "group", "none"] = "group"
    group: float = 5.0  # ms that puts are gathered for


class TierConfig(_StrictSection, frozen=True):
    """One tier; those named first are preempted last."""

    name: str


class OverloadConfig(_StrictSection, frozen=True):
    """When the fleet counts as overloaded: parts of capacity, and s that each must last."""

    onset: float = 1.1
    end: float = 0.9
    dwell: float = 3.0
    preempts: float = 20.0  # calls a second that the fleet preempts at most


class ContractConfig(_StrictSection, frozen=True):
    """What one tenant has: ``rate`` calls a second, ``floor`` the part of them that is never preempted."""

    tenant: str
    tier: str
    rate: float
    floor: float = 0.0


class FreezeWindowConfig(_StrictSection, frozen=True):
    """One window. No room, function or tenant named: all of them."""

    id: str
    start: datetime
    end: datetime
    author: str
    reason: str
    rooms: tuple[str, ...] = ()
    functions: tuple[str, ...] = ()  # 16 hex digits each
    tenants: tuple[str, ...] = ()
    frozen: tuple[FrozenAction, ...] = ("first-copy", "order", "unload", "homes", "retune")
    allowance: int = 0  # placement changes that the whole fleet may make in an emergency


class RevocationConfig(_StrictSection, frozen=True):
    """Ends a window early."""

    freeze: str
    author: str
    reason: str


class BreakGlassConfig(_StrictSection, frozen=True):
    """Lifts a window for a while, by name."""

    freeze: str
    author: str
    reason: str
    end: datetime


class FleetConfig(_StrictSection, frozen=True):
    """The whole file."""

    sharing: SharingConfig = SharingConfig()
    disk: DiskConfig | None = None
    overload: OverloadConfig = OverloadConfig()
    tier: tuple[TierConfig, ...] = ()
    contract: tuple[ContractConfig, ...] = ()
    freeze: tuple[FreezeWindowConfig, ...] = ()
    revoke: tuple[RevocationConfig, ...] = ()
    break_glass: tuple[BreakGlassConfig, ...] = ()


def load_fleet_config(path: Path, store: str | None = None) -> FleetConfig:
    """The file's content, or FleetError: where it is wrong. ``store``: takes the place of its folder."""
    try:
        fleet = parse_fleet_config(path.read_bytes())
        if store is None:
            return fleet
        disk = msgspec.structs.replace(fleet.disk, folder=store) if fleet.disk else DiskConfig(store)
        return msgspec.structs.replace(fleet, disk=disk)
    except (OSError, FleetConfigError) as error:
        raise FleetConfigError(f"{path}: {error}") from None


def parse_fleet_config(raw: bytes) -> FleetConfig:
    """The content of a file's bytes, checked whole."""
    try:
        fleet = msgspec.toml.decode(raw, type=FleetConfig)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise FleetConfigError(str(error)) from None
    _check_sharing(fleet)
    _check_contracts(fleet)
    _check_windows(fleet)
    return fleet


def _check_range(where: str, figure: float, low: float, high: float) -> None:
    if not low <= figure <= high:  # NaN too is outside
        raise FleetConfigError(f"{where}: {figure!r} is outside {low:g} to {high:g}")


def _check_unique_names(where: str, names: list[str]) -> None:
    for place, name in enumerate(names):
        if not name or len(name.encode()) > 64:
            raise FleetConfigError(f"{where}[{place}]: {name!r} is no name of 1 to 64 bytes")
        if name in names[:place]:
            raise FleetConfigError(f"{where}[{place}]: {name!r} is there twice")


def _check_sharing(fleet: FleetConfig) -> None:
    _check_range("sharing.period", fleet.sharing.period, 50.0, 10_000.0)
    _check_range("sharing.fresh", fleet.sharing.fresh, 0.0, 600_000.0)
    _check_range("sharing.clock-rate", fleet.sharing.clock_rate, 0.0, 0.05)
    _check_range("sharing.clock-error", fleet.sharing.clock_error, 0.0, 60_000.0)
    if fleet.disk is not None:
        _check_range("disk.group", fleet.disk.group, 0.0, 1000.0)


def _check_contracts(fleet: FleetConfig) -> None:
    _check_unique_names("tier", [tier.name for tier in fleet.tier])
    _check_unique_names("contract", [contract.tenant for contract in fleet.contract])
    known = [tier.name for tier in fleet.tier]
    for place, contract in enumerate(fleet.contract):
        where = f"contract[{place}] ({contract.tenant})"
        if contract.tier not in known:
            raise FleetConfigError(f"{where}: tier {contract.tier!r} is none of {', '.join(known) or 'none'}")
        _check_range(f"{where}: rate", contract.rate, 0.0, 1e6)
        _check_range(f"{where}: floor", contract.floor, 0.0, 1.0)
    overload = fleet.overload
    _check_range("overload.onset", overload.onset, 0.5, 10.0)
    _check_range("overload.end", overload.end, 0.1, overload.onset)
    _check_range("overload.dwell", overload.dwell, 0.0, 600.0)
    _check_range("overload.preempts", overload.preempts, 0.0, 1e6)


def _check_windows(fleet: FleetConfig) -> None:
    _check_unique_names("freeze", [window.id for window in fleet.freeze])
    known = {window.id for window in fleet.freeze}
    for place, window in enumerate(fleet.freeze):
        where = f"freeze[{place}] ({window.id})"
        _check_has_offset(f"{where}: start", window.start)
        _check_has_offset(f"{where}: end", window.end)
        _check_range(
            f"{where}: seconds", (window.end - window.start).total_seconds(), 1.0, MAX_WINDOW_SECONDS
        )
        _check_range(f"{where}: allowance", window.allowance, 0, 10_000)
        for name in window.functions:
            if len(name) != 16 or any(digit not in "0123456789abcdef" for digit in name):
                raise FleetConfigError(f"{where}: functions: {name!r} is not 16 hex digits")
    _check_unique_names("revoke", [revoke.freeze for revoke in fleet.revoke])
    _check_unique_names("break-glass", [broken.freeze for broken in fleet.break_glass])
    for revoke in fleet.revoke:
        if revoke.freeze not in known:
            raise FleetConfigError(f"revoke: no window {revoke.freeze!r} in this file")
    for broken in fleet.break_glass:
        if broken.freeze not in known:
            raise FleetConfigError(f"break-glass: no window {broken.freeze!r} in this file")
        _check_has_offset(f"break-glass ({broken.freeze}): end", broken.end)


def _check_has_offset(where: str, time: datetime) -> None:
    if time.tzinfo is None:
        raise FleetConfigError(f"{where}: {time.isoformat()} has no offset from UTC (RFC 3339 asks for one)")
