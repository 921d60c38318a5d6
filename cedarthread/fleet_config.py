"""The operators' fleet file ``fleet.toml``, which is accepted or rejected as a whole.

The field names are the keys of the file, which are in kebab case there. ``parse_fleet_config`` checks the
rules that the types do not express. Error messages state the location in the file and the problem.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING, Literal

import msgspec

from cedarthread.errors import CedarthreadError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

# The kinds of placement changes that a freeze window may forbid, in this order: a call loads its function at
# a worker, a worker preloads a function, a worker unloads a function, other workers become the home workers
# of a function, and new settings change where instances are placed.
FrozenChange = Literal["first-copy", "order", "unload", "homes", "retune"]
# The longest freeze window, and the most by which a deviating wall clock may extend one.
MAX_WINDOW_SECONDS = 12 * 3600.0
MAX_NAME_BYTES = 64  # limit for the names of replicated entries
FUNCTION_ID_DIGITS = 16  # hexadecimal digits of a function id


class FleetConfigError(CedarthreadError):
    """An invalid fleet file; the message states the location and the problem."""


class _StrictSection(msgspec.Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """A section that rejects unknown keys, so that a misspelt ``floor`` is not taken for a missing one."""


class SharingConfig(_StrictSection, frozen=True):
    """Parameters of the replicated store; times are in ms."""

    period: float = 400.0  # time between two sync requests of a router
    fresh: float = 0.0  # freshness window; 0: computed by the formula in docs/design/replication.md
    clock_rate: float = 0.001  # fraction by which a monotonic clock may run fast or slow
    clock_error: float = 500.0  # maximum difference between wall clocks


class DiskConfig(_StrictSection, frozen=True):
    """The folder for persistent state, and the sync mode that determines when a write is durable."""

    folder: str
    sync: Literal["each", "group", "none"] = "group"
    group: float = 5.0  # time in ms for which writes are batched into one commit


class TierConfig(_StrictSection, frozen=True):
    """One priority tier; the first tier in the file is preempted last."""

    name: str


class OverloadConfig(_StrictSection, frozen=True):
    """Overload thresholds as fractions of the fleet's capacity; each must stay crossed for ``dwell`` s."""

    onset: float = 1.1
    end: float = 0.9
    dwell: float = 3.0
    preempts: float = 20.0  # maximum number of calls per second that the whole fleet preempts


class ContractConfig(_StrictSection, frozen=True):
    """The contract of one tenant.

    ``rate`` is in calls per second; ``floor`` is the fraction of that rate that is never preempted.
    """

    tenant: str
    tier: str
    rate: float
    floor: float = 0.0


class FreezeWindowConfig(_StrictSection, frozen=True):
    """One freeze window. An empty list of zones, functions or tenants means all of them."""

    id: str
    start: datetime
    end: datetime
    author: str
    reason: str
    rooms: tuple[str, ...] = ()  # names of zones
    functions: tuple[str, ...] = ()  # function ids of 16 hexadecimal digits
    tenants: tuple[str, ...] = ()
    frozen: tuple[FrozenChange, ...] = ("first-copy", "order", "unload", "homes", "retune")
    allowance: int = 0  # number of placement changes that the whole fleet may make as exceptions


class RevocationConfig(_StrictSection, frozen=True):
    """The declaration that ends a freeze window early."""

    freeze: str  # the id of the revoked window
    author: str
    reason: str


class BreakGlassConfig(_StrictSection, frozen=True):
    """The declaration that lifts a freeze window until ``end``; author and reason are logged."""

    freeze: str  # the id of the lifted window
    author: str
    reason: str
    end: datetime


class FleetConfig(_StrictSection, frozen=True):
    """The content of the fleet file."""

    sharing: SharingConfig = SharingConfig()
    disk: DiskConfig | None = None
    overload: OverloadConfig = OverloadConfig()
    tier: tuple[TierConfig, ...] = ()
    contract: tuple[ContractConfig, ...] = ()
    freeze: tuple[FreezeWindowConfig, ...] = ()
    revoke: tuple[RevocationConfig, ...] = ()
    break_glass: tuple[BreakGlassConfig, ...] = ()


def load_fleet_config(path: Path, store: str | None = None) -> FleetConfig:
    """Read and check the file.

    Args:
        path: The file.
        store: Overrides the folder of the ``[disk]`` section.

    Raises:
        FleetConfigError: The file is invalid; the message begins with the path.
    """
    try:
        fleet = parse_fleet_config(path.read_bytes())
        if store is None:
            return fleet
        disk = msgspec.structs.replace(fleet.disk, folder=store) if fleet.disk else DiskConfig(store)
        return msgspec.structs.replace(fleet, disk=disk)
    except (OSError, FleetConfigError) as error:
        raise FleetConfigError(f"{path}: {error}") from None


def parse_fleet_config(raw: bytes) -> FleetConfig:
    """Decode and check the content of the file.

    Raises:
        FleetConfigError: The content is invalid.
    """
    try:
        fleet = msgspec.toml.decode(raw, type=FleetConfig)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise FleetConfigError(str(error)) from None
    _check_sharing(fleet)
    _check_contracts(fleet)
    _check_overload(fleet.overload)
    _check_windows(fleet)
    _check_window_changes(fleet)
    return fleet


def _check_range(location: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:  # true for NaN too
        raise FleetConfigError(f"{location}: {value!r} is outside the range {low:g} to {high:g}")


def _check_unique_names(location: str, names: Sequence[str]) -> None:
    for index, name in enumerate(names):
        if not name or len(name.encode()) > MAX_NAME_BYTES:
            raise FleetConfigError(
                f"{location}[{index}]: {name!r} is not a name of 1 to {MAX_NAME_BYTES} bytes"
            )
        if name in names[:index]:
            raise FleetConfigError(f"{location}[{index}]: {name!r} appears more than once")


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
    tier_names = [tier.name for tier in fleet.tier]
    for index, contract in enumerate(fleet.contract):
        location = f"contract[{index}] ({contract.tenant})"
        if contract.tier not in tier_names:
            known = ", ".join(tier_names) or "none"
            raise FleetConfigError(f"{location}: tier {contract.tier!r} is unknown; known tiers: {known}")
        _check_range(f"{location}: rate", contract.rate, 0.0, 1e6)
        _check_range(f"{location}: floor", contract.floor, 0.0, 1.0)


def _check_overload(overload: OverloadConfig) -> None:
    _check_range("overload.onset", overload.onset, 0.5, 10.0)
    _check_range("overload.end", overload.end, 0.1, overload.onset)
    _check_range("overload.dwell", overload.dwell, 0.0, 600.0)
    _check_range("overload.preempts", overload.preempts, 0.0, 1e6)


def _check_windows(fleet: FleetConfig) -> None:
    _check_unique_names("freeze", [window.id for window in fleet.freeze])
    for index, window in enumerate(fleet.freeze):
        location = f"freeze[{index}] ({window.id})"
        _check_has_offset(f"{location}: start", window.start)
        _check_has_offset(f"{location}: end", window.end)
        duration_s = (window.end - window.start).total_seconds()
        _check_range(f"{location}: duration in seconds", duration_s, 1.0, MAX_WINDOW_SECONDS)
        _check_range(f"{location}: allowance", window.allowance, 0, 10_000)
        for function_id in window.functions:
            if not _is_function_id(function_id):
                problem = f"{function_id!r} is not {FUNCTION_ID_DIGITS} hex digits"
                raise FleetConfigError(f"{location}: functions: {problem}")


def _is_function_id(text: str) -> bool:
    return len(text) == FUNCTION_ID_DIGITS and all(digit in "0123456789abcdef" for digit in text)


def _check_window_changes(fleet: FleetConfig) -> None:
    """Check the sections that revoke or lift a freeze window."""
    _check_unique_names("revoke", [revocation.freeze for revocation in fleet.revoke])
    _check_unique_names("break-glass", [break_glass.freeze for break_glass in fleet.break_glass])
    window_ids = {window.id for window in fleet.freeze}
    for revocation in fleet.revoke:
        _check_window_exists("revoke", revocation.freeze, window_ids)
    for break_glass in fleet.break_glass:
        _check_window_exists("break-glass", break_glass.freeze, window_ids)
        _check_has_offset(f"break-glass ({break_glass.freeze}): end", break_glass.end)


def _check_window_exists(location: str, window_id: str, window_ids: set[str]) -> None:
    if window_id not in window_ids:
        raise FleetConfigError(f"{location}: freeze window {window_id!r} is not declared in this file")


def _check_has_offset(location: str, time: datetime) -> None:
    if time.tzinfo is None:
        raise FleetConfigError(f"{location}: {time.isoformat()} has no UTC offset (RFC 3339 requires one)")
