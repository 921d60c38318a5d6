"""Scenarios: fleet, traffic and a timeline of faults, from a checked TOML file. Times in s from the start."""

from __future__ import annotations

import dataclasses
import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cedarthread.testing.cluster.injected_defects import DEFECTS

NETWORK_FAULTS = ("loss", "delay", "double", "reorder", "cut", "stall")  # between parties
FAULT_SUBJECTS = {  # deeds, and the one kind of party that each is done at
    **dict.fromkeys(
        ("kill", "stop", "restart", "clock", "rate", "disk", "declare", "retune", "hot", "burst"), "router"
    ),
    **dict.fromkeys(("die", "slow", "silent", "hide"), "runner"),
    **dict.fromkeys(("mute", "spoilt"), "resolver"),
}
# What a disk does, by the number in its control file: as store/lying.py has them.
_LIES = "none unsynced torn flipped older full eio_write eio_sync slow_sync read_only gone"
DISK_FAULTS = tuple(_LIES.split())
_PARTY = re.compile(r"(router|runner|client|resolver)(?::(\d+)(?:-(\d+))?)?\Z")


class ScenarioError(Exception):
    """A scenario that can't be played: where, and what is wrong."""


@dataclass(frozen=True, slots=True)
class Subjects:
    """Some of one kind: ``router``, ``runner:3``, ``client:0-11``."""

    kind: str
    first: int
    last: int

    def includes(self, kind: str, number: int) -> bool:
        """Is this one of them?"""
        return kind == self.kind and self.first <= number <= self.last


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of the timeline.

    Between the two: loss, double (``figure``: part of them), reorder, delay (ms), cut; stall: open,
    no bytes; all one way where ``one_way``. At ``who``: kill, stop, restart; die, slow (times), silent; hide
    (from ``to``); clock (ms that it is off), rate (times that it runs); disk (``what`` and a figure);
    declare (``what``: the text of the operators' file from then on, and SIGHUP); retune (``what``: JSON over
    the settings, and SIGHUP); mute and spoilt resolvers (part of the replies);
    hot (``figure``: part of the calls there, of one rare function); burst
    (times the calls)."""

    kind: str
    start_s: float
    end_s: float
    subjects: Subjects
    peers: Subjects | None = None
    amount: float = 0.0
    is_one_way: bool = False
    text: str = ""

    def is_active(self, now: float) -> bool:
        """Does it last now?"""
        return self.start_s <= now < self.end_s


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run."""

    name: str = "quick"
    seed: int = 1
    routers: int = 24
    runners: int = 12
    cores: int = 2
    slots: int = 12  # copies that a runner has memory for
    lanes: int = 4  # calls that a copy serves at once
    functions: int = 60
    skew: float = 0.8  # exponent of the functions' popularity (Zipf)
    rate: float = 300.0  # calls a second, of all routers
    need: float = 40.0  # ms of a core that a call takes on average
    load: float = 400.0  # ms of a load
    store_at_once: int = 16
    store_most: int = 120
    settle: float = 0.0  # s that routers are up before the first call
    warm_up: float = 4.0
    seconds: float = 12.0
    unsafe: float = 0.2  # part of the calls that may never run twice
    talk: bool = True
    reports: bool = True
    plant: str = ""  # a defect that the routers are given, to see that it is found
    fleet: str = ""  # the text of the operators' file, given to ``declares`` alone
    declares: str = "router:0"
    store: bool = False  # each router keeps a store in a folder of its own
    tenants: str = ""  # names and parts of the calls: "hydro 0.5, steel 0.3"; the rest has none
    faults: tuple[Fault, ...] = ()


def load_scenario(path: Path) -> Scenario:
    """A scenario from its file; ScenarioError says what is wrong."""
    try:
        return parse_scenario(tomllib.loads(path.read_text()))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, ScenarioError) as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse_scenario(top: dict[str, Any]) -> Scenario:
    """A scenario from its parsed text."""
    known = {f.name: f.type for f in dataclasses.fields(Scenario) if f.name != "faults"}
    told = {key: value for key, value in top.items() if key != "fault"}
    for key, value in told.items():
        if key not in known:
            raise ScenarioError(f"{key}: no such key; there are {', '.join(known)} and [[fault]]")
        wanted = {"int": int, "float": (int, float), "str": str, "bool": bool}[str(known[key])]
        if not isinstance(value, wanted) or (isinstance(value, bool) and wanted is not bool):  # type: ignore[arg-type]
            raise ScenarioError(f"{key}: {value!r} is no {known[key]}")
        if not isinstance(value, str) and value < 0:
            raise ScenarioError(f"{key}: {value!r} is below zero")
    scenario = Scenario(**told)
    for key in (
        "routers",
        "runners",
        "cores",
        "slots",
        "lanes",
        "functions",
        "rate",
        "need",
        "load",
        "seconds",
    ):
        if getattr(scenario, key) <= 0:
            raise ScenarioError(f"{key}: must be above zero")
    if scenario.plant not in ("", *DEFECTS):
        raise ScenarioError(f"plant: {scenario.plant!r} is none of {', '.join(DEFECTS)}")
    tenant_shares(scenario)
    parse_subjects("declares", scenario.declares, scenario)
    faults = tuple(_fault(n, fault, scenario) for n, fault in enumerate(top.get("fault", ())))
    return dataclasses.replace(scenario, faults=faults)


def tenant_shares(scenario: Scenario) -> dict[str, float]:
    """The tenants' parts of the calls."""
    try:
        told = dict(
            (name, float(part)) for name, part in map(str.split, filter(None, scenario.tenants.split(",")))
        )
    except ValueError:
        raise ScenarioError(f"tenants: {scenario.tenants!r} is not like 'hydro 0.5, steel 0.3'") from None
    if sum(told.values()) > 1.0 or any(not 0.0 < part <= 1.0 for part in told.values()):
        raise ScenarioError(f"tenants: {scenario.tenants!r}: parts above 0, and 1 in all at most")
    return told


def _fault(place: int, told: dict[str, Any], scenario: Scenario) -> Fault:
    where = f"fault {place + 1}"
    unknown = set(told) - {"kind", "at", "until", "who", "to", "figure", "one_way", "what"}
    if unknown:
        raise ScenarioError(f"{where}: no such key: {', '.join(sorted(unknown))}")
    kind = told.get("kind")
    if kind not in (*NETWORK_FAULTS, *FAULT_SUBJECTS):
        raise ScenarioError(
            f"{where}: kind {kind!r} is none of {', '.join((*NETWORK_FAULTS, *FAULT_SUBJECTS))}"
        )
    end = scenario.warm_up + scenario.seconds
    at, until = told.get("at", 0.0), told.get("until", end)
    if not all(isinstance(time, (int, float)) for time in (at, until)) or not 0 <= at < until:
        raise ScenarioError(f"{where}: at {at!r} and until {until!r} are no times in order")
    to = parse_subjects(f"{where}: to", told["to"], scenario) if "to" in told else None
    if (kind in NETWORK_FAULTS or kind == "hide") and to is None:
        raise ScenarioError(f"{where}: {kind} needs `to`")
    who = parse_subjects(f"{where}: who", told.get("who"), scenario)
    if kind in FAULT_SUBJECTS and who.kind != FAULT_SUBJECTS[kind]:
        raise ScenarioError(f"{where}: {kind} is done at a {FAULT_SUBJECTS[kind]}, not at a {who.kind}")
    what, figure = str(told.get("what", "")), float(told.get("figure", 0.0))
    if kind == "disk" and what not in DISK_FAULTS:
        raise ScenarioError(f"{where}: what {what!r} is none of {', '.join(DISK_FAULTS)}")
    given = parse_subjects("declares", scenario.declares, scenario)
    if kind == "declare" and not (scenario.fleet and given.first <= who.first <= who.last <= given.last):
        raise ScenarioError(f"{where}: {told.get('who')} has no file of the operators to begin with")
    return Fault(kind, float(at), float(until), who, to, figure, bool(told.get("one_way")), what)


def parse_subjects(where: str, text: Any, scenario: Scenario) -> Subjects:
    """Some of one kind, as the file names them."""
    match = _PARTY.match(text) if isinstance(text, str) else None
    if match is None:
        raise ScenarioError(f"{where}: {text!r} is not like router, runner:3 or client:0-11")
    kind, first, last = match.groups()
    count = scenario.runners if kind == "runner" else scenario.routers
    low = int(first) if first else 0
    high = int(last) if last else low if first else count - 1
    if not low <= high < count:
        raise ScenarioError(f"{where}: {text!r} is outside 0 to {count - 1}")
    return Subjects(kind, low, high)
