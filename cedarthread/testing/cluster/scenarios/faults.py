"""Random faults that overlap in time, drawn by a seed, with the operators' rules as the oracle.

The draw is a scenario as files have it: it is printed, and can be shortened by hand to the smallest set of
faults that still fails (``cedarthread rig run FILE``).
"""

from __future__ import annotations

import json
import random
import re
from collections import Counter
from typing import TYPE_CHECKING, Any

from cedarthread.testing.cluster.scenario_file import parse_scenario

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from cedarthread.testing.cluster.result import Result
    from cedarthread.testing.cluster.scenario import Scenario

WORKERS = 8
WARM_UP_S = 1.5  # of traffic before the first fault
DEFAULT_SECONDS = 10.0
QUIET_END_S = 0.5  # before the end, in which no fault begins
PROCESS_FAULT_SHARE = 0.5  # of the routers: at most so many have a fault of their process
LIST_FAULT_SHARE = 0.5  # of the workers: at most so many are drained or hidden
MIN_SERVED_FRACTION = 0.3  # of the calls, whatever goes wrong: a third of what is possible, by STANDING

# Faults of a router's process, each at a router of its own, by their shortest and longest time in s.
PROCESS_FAULTS = {"stop": (0.2, 3.0), "kill": (0.3, 1.0), "term": (3.8, 4.5), "restart": (0.1, 0.2)}
LIST_FAULTS = {"drain": (1.0, 5.0), "hide": (1.0, 5.0)}
DRAIN_DURING_STOP_SHARE = 0.5  # of the stops
LONG_STOP_S = 2.4, 3.0  # past the time after which a drain counts as told, and the grace
MAX_OTHER_FAULTS, MIN_OTHER_FAULTS = 9, 4

_CALL_ID = re.compile(r"(?:call|of) ([0-9a-f]{16})")
FaultText = dict[str, Any]  # as scenario files have one


class _Draw:
    """One draw of faults."""

    def __init__(self, rng: random.Random, routers: int, end_s: float) -> None:
        self.rng, self.routers, self.end_s = rng, routers, end_s
        self.faults: list[FaultText] = []

    def add(self, kind: str, who: str, seconds: tuple[float, float], **more: Any) -> None:
        """Draw when a fault of this kind lasts."""
        at = self.rng.uniform(WARM_UP_S, self.end_s - QUIET_END_S)
        until = min(at + self.rng.uniform(*seconds), self.end_s)
        times = {"at": round(at, 3), "until": round(until, 3)}
        self.faults.append({"kind": kind, **times, "who": who, **more})

    def any_router(self) -> str:
        """One router, or all of them."""
        return self.rng.choice(("router", f"router:{self.rng.randrange(self.routers)}"))

    def any_worker(self) -> str:
        """One worker."""
        return f"runner:{self.rng.randrange(WORKERS)}"

    def any_discovery(self) -> str:
        """The discovery server of one router, or of all."""
        return self.any_router().replace("router", "resolver")

    def process_faults(self) -> None:
        """Each at a router of its own: a process that is gone can't be stopped too."""
        count = self.rng.randint(1, max(1, int(PROCESS_FAULT_SHARE * self.routers)))
        for number in self.rng.sample(range(self.routers), count):
            kind = self.rng.choice(list(PROCESS_FAULTS))
            self.add(kind, f"router:{number}", PROCESS_FAULTS[kind])
            if kind == "stop" and self.rng.random() < DRAIN_DURING_STOP_SHARE:
                self.drain_during_stop(self.faults[-1])

    def drain_during_stop(self, stop: FaultText) -> None:
        """A worker drains soon after a process was stopped, which goes on long after the grace."""
        stop["until"] = round(min(stop["at"] + self.rng.uniform(*LONG_STOP_S), self.end_s), 3)
        at = stop["at"] + self.rng.uniform(0.05, 0.3)
        if at < self.end_s - QUIET_END_S:
            times = {"at": round(at, 3), "until": round(min(at + 4.0, self.end_s), 3)}
            self.faults.append({"kind": "drain", **times, "who": self.any_worker(), "to": "router"})

    def list_faults(self) -> None:
        """Workers that drain, or are gone from the lists, and return."""
        count = self.rng.randint(1, int(LIST_FAULT_SHARE * WORKERS))
        for number in self.rng.sample(range(WORKERS), count):
            kind = self.rng.choice(list(LIST_FAULTS))
            self.add(kind, f"runner:{number}", LIST_FAULTS[kind], to="router")

    def other_faults(self) -> None:
        """Faults of discovery, network, workers, clients and system calls."""
        rng = self.rng
        makers = (
            lambda: self.add("mute", self.any_discovery(), (0.3, 4.0)),
            lambda: self.add("spoilt", self.any_discovery(), (1.0, 5.0), figure=rng.uniform(0.1, 0.6)),
            lambda: self.add("loss", "router", (1.0, 5.0), to="resolver", figure=rng.uniform(0.1, 0.4)),
            lambda: self.add("delay", "router", (1.0, 4.0), to="resolver", figure=rng.uniform(5.0, 150.0)),
            lambda: self.add("move", self.any_router(), (1.0, 4.0)),
            lambda: self.add("die", self.any_worker(), (0.4, 2.0)),
            lambda: self.add("silent", self.any_worker(), (0.5, 3.0)),
            lambda: self.add("slow", self.any_worker(), (1.0, 4.0), figure=rng.uniform(2.0, 10.0)),
            lambda: self.add("reset", self.any_worker(), (0.1, 0.2)),
            lambda: self.add("cut", self.any_router(), (0.3, 2.0), to=self.any_worker()),
            lambda: self.add("stall", self.any_router(), (0.3, 2.0), to=self.any_worker()),
            lambda: self.add("leave", self.any_router().replace("router", "client"), (0.1, 0.2)),
            lambda: self.add("burst", "router", (0.5, 2.0), figure=rng.uniform(1.5, 4.0)),
            lambda: self.add("clock", self.any_router(), (1.0, 5.0), figure=rng.choice((-1, 1)) * 3.6e6),
            lambda: self.add("syscalls", self.any_router(), (0.5, 2.0), figure=rng.uniform(0.01, 0.1)),
        )
        for _ in range(rng.randint(MIN_OTHER_FAULTS, MAX_OTHER_FAULTS)):
            rng.choice(makers)()


def draw(seed: int, routers: int, seconds: float = DEFAULT_SECONDS) -> dict[str, Any]:
    """The scenario of a seed, as files have it."""
    drawn = _Draw(random.Random(seed), routers, WARM_UP_S + seconds)
    drawn.process_faults()
    drawn.list_faults()
    drawn.other_faults()
    return {
        "name": f"seed {seed}",
        "seed": seed,
        "routers": routers,
        "runners": WORKERS,
        "functions": 40,
        "rate": 15.0 * routers,
        "need": 15.0,
        "talk": False,
        "warm_up": WARM_UP_S,
        "seconds": seconds,
        "fault": sorted(drawn.faults, key=lambda fault: float(fault["at"])),
    }


def as_toml(document: dict[str, Any]) -> str:
    """A draw as a scenario file; JSON's numbers, strings and booleans are TOML's too."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in document.items() if key != "fault"]
    for fault in document["fault"]:
        lines += ["", "[[fault]]", *(f"{key} = {json.dumps(value)}" for key, value in fault.items())]
    return "\n".join(lines)


def quick(seed: int, routers: int = 10, seconds: float = DEFAULT_SECONDS) -> Iterator[Scenario]:
    """One draw."""
    document = draw(seed, routers, seconds)
    print(as_toml(document), flush=True)
    yield parse_scenario(document)


def full(seed: int, routers: int = 40, seconds: float = DEFAULT_SECONDS) -> Iterator[Scenario]:
    """Ten draws, from this seed on."""
    for number in range(seed, seed + 10):
        yield from quick(number, routers, seconds)


def violations_by_rule(result: Result) -> Counter[str]:
    """How often each rule was broken."""
    return Counter(violation.partition(" at ")[0] for violation in result.violations)


def failings(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """What a run shows that must not be."""
    failings = [f"{violation}{_trace(result, violation)}" for violation in result.violations]
    if result.served_fraction < MIN_SERVED_FRACTION:
        failings.append(f"{result.served_fraction:.2f} of the calls served")
    return failings


def _trace(result: Result, violation: str) -> str:
    """All that the fakes saw of the call that a violation names, a fact a line."""
    named = _CALL_ID.search(violation)
    if named is None:
        return ""
    facts = [fact for fact in result.facts if getattr(fact, "call_id", "") == named[1]]
    return "".join(f"\n    {fact}" for fact in facts)


def row(result: Result) -> str:
    """A run as a line of a Markdown table."""
    rules = ", ".join(f"{rule} {count}" for rule, count in sorted(violations_by_rule(result).items()))
    calls = sum(result.answers.values())
    cells = (
        f"{result.seed}",
        f"{calls}",
        f"{result.served_fraction:.2f}",
        rules or "0",
        f"{result.lag_ms:.0f}",
    )
    return "| " + " | ".join(cells) + " |"


HEAD = "| seed | calls | served | violations by rule | harness late ms |"
RULE = "|" + " --- |" * 5
