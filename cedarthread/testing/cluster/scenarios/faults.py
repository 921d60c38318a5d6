"""Random faults that overlap in time, generated from a seed, and checked against the operators' rules.

Each scenario is printed as a scenario file for ``cedarthread cluster run FILE``. To minimize a failing
scenario, remove faults from the file while it still fails.
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
WARM_UP_S = 1.5  # Duration of the traffic before the first fault.
DEFAULT_SECONDS = 10.0
QUIET_END_S = 0.5  # Duration before the end of traffic in which no fault starts.
PROCESS_FAULT_SHARE = 0.5  # Maximum share of the routers with a process fault.
LIST_FAULT_SHARE = 0.5  # Maximum share of the workers that are drained or hidden.
# Minimum share of the calls that are served under any faults: a third of the calls that can be served, by the
# operators' acceptance rules.
MIN_SERVED_FRACTION = 0.3

# Shortest and longest duration in s of each fault of a router's process. A router has one such fault at most.
PROCESS_FAULTS = {"stop": (0.2, 3.0), "kill": (0.3, 1.0), "term": (3.8, 4.5), "restart": (0.1, 0.2)}
LIST_FAULTS = {"drain": (1.0, 5.0), "hide": (1.0, 5.0)}
DRAIN_DURING_STOP_SHARE = 0.5  # Share of the pauses during which a worker drains.
# Shortest and longest duration in s of a pause during which a worker drains. Both are longer than the time
# until a router counts as knowing of the drain, plus the grace period.
LONG_STOP_S = 2.4, 3.0
MAX_OTHER_FAULTS = 9
MIN_OTHER_FAULTS = 4

_CALL_ID = re.compile(r"(?:call|of) ([0-9a-f]{16})")
FaultTable = dict[str, Any]  # A fault, as a TOML table of a scenario file.


class _FaultGenerator:
    """A generator of random faults; owns the list of faults generated so far.

    Args:
        rng: The random number generator.
        routers: The number of routers.
        end_s: The end of the run, s from the start of traffic.
    """

    def __init__(self, rng: random.Random, routers: int, end_s: float) -> None:
        self.rng = rng
        self.routers = routers
        self.end_s = end_s
        self.faults: list[FaultTable] = []

    def add(self, kind: str, targets: str, seconds: tuple[float, float], **other_keys: object) -> None:
        """Add a fault of a kind with a random start and duration."""
        start_s = self.rng.uniform(WARM_UP_S, self.end_s - QUIET_END_S)
        until_s = min(start_s + self.rng.uniform(*seconds), self.end_s)
        times = {"at": round(start_s, 3), "until": round(until_s, 3)}
        self.faults.append({"kind": kind, **times, "who": targets, **other_keys})

    def random_router(self) -> str:
        """Choose one router at random, or all routers."""
        return self.rng.choice(("router", f"router:{self.rng.randrange(self.routers)}"))

    def random_worker(self) -> str:
        """Choose one worker at random."""
        return f"runner:{self.rng.randrange(WORKERS)}"

    def random_discovery(self) -> str:
        """Choose the discovery server of one router at random, or those of all routers."""
        return self.random_router().replace("router", "resolver")

    def add_process_faults(self) -> None:
        """Add process faults, each at a different router, because a dead process cannot be paused too."""
        count = self.rng.randint(1, max(1, int(PROCESS_FAULT_SHARE * self.routers)))
        for number in self.rng.sample(range(self.routers), count):
            kind = self.rng.choice(list(PROCESS_FAULTS))
            self.add(kind, f"router:{number}", PROCESS_FAULTS[kind])
            if kind == "stop" and self.rng.random() < DRAIN_DURING_STOP_SHARE:
                self.add_drain_during_stop(self.faults[-1])

    def add_drain_during_stop(self, stop: FaultTable) -> None:
        """Add a drain that starts soon after a pause begins, and end the pause after the drain's grace."""
        stop["until"] = round(min(stop["at"] + self.rng.uniform(*LONG_STOP_S), self.end_s), 3)
        start_s = stop["at"] + self.rng.uniform(0.05, 0.3)
        if start_s < self.end_s - QUIET_END_S:
            times = {"at": round(start_s, 3), "until": round(min(start_s + 4.0, self.end_s), 3)}
            self.faults.append({"kind": "drain", **times, "who": self.random_worker(), "to": "router"})

    def add_endpoint_list_faults(self) -> None:
        """Add faults in which workers are draining in or missing from the endpoint lists for some time."""
        count = self.rng.randint(1, int(LIST_FAULT_SHARE * WORKERS))
        for number in self.rng.sample(range(WORKERS), count):
            kind = self.rng.choice(list(LIST_FAULTS))
            self.add(kind, f"runner:{number}", LIST_FAULTS[kind], to="router")

    def add_other_faults(self) -> None:
        """Add faults of discovery, network, workers, clients and system calls."""
        rng = self.rng
        makers = (
            lambda: self.add("mute", self.random_discovery(), (0.3, 4.0)),
            lambda: self.add("spoilt", self.random_discovery(), (1.0, 5.0), figure=rng.uniform(0.1, 0.6)),
            lambda: self.add("loss", "router", (1.0, 5.0), to="resolver", figure=rng.uniform(0.1, 0.4)),
            lambda: self.add("delay", "router", (1.0, 4.0), to="resolver", figure=rng.uniform(5.0, 150.0)),
            lambda: self.add("move", self.random_router(), (1.0, 4.0)),
            lambda: self.add("die", self.random_worker(), (0.4, 2.0)),
            lambda: self.add("silent", self.random_worker(), (0.5, 3.0)),
            lambda: self.add("slow", self.random_worker(), (1.0, 4.0), figure=rng.uniform(2.0, 10.0)),
            lambda: self.add("reset", self.random_worker(), (0.1, 0.2)),
            lambda: self.add("cut", self.random_router(), (0.3, 2.0), to=self.random_worker()),
            lambda: self.add("stall", self.random_router(), (0.3, 2.0), to=self.random_worker()),
            lambda: self.add("leave", self.random_router().replace("router", "client"), (0.1, 0.2)),
            lambda: self.add("burst", "router", (0.5, 2.0), figure=rng.uniform(1.5, 4.0)),
            lambda: self.add("clock", self.random_router(), (1.0, 5.0), figure=rng.choice((-1, 1)) * 3.6e6),
            lambda: self.add("syscalls", self.random_router(), (0.5, 2.0), figure=rng.uniform(0.01, 0.1)),
        )
        for _ in range(rng.randint(MIN_OTHER_FAULTS, MAX_OTHER_FAULTS)):
            rng.choice(makers)()


def generate_scenario(seed: int, routers: int, seconds: float = DEFAULT_SECONDS) -> dict[str, Any]:
    """Return the scenario of a seed, in the form of a scenario file."""
    generator = _FaultGenerator(random.Random(seed), routers, WARM_UP_S + seconds)
    generator.add_process_faults()
    generator.add_endpoint_list_faults()
    generator.add_other_faults()
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
        "fault": sorted(generator.faults, key=lambda fault: float(fault["at"])),
    }


def as_toml(document: dict[str, Any]) -> str:
    """Encode a scenario as TOML, in which numbers, strings and booleans are written as in JSON."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in document.items() if key != "fault"]
    for fault in document["fault"]:
        lines += ["", "[[fault]]", *(f"{key} = {json.dumps(value)}" for key, value in fault.items())]
    return "\n".join(lines)


def quick(seed: int, routers: int = 10, seconds: float = DEFAULT_SECONDS) -> Iterator[Scenario]:
    """Return the scenario of a seed, and print it."""
    document = generate_scenario(seed, routers, seconds)
    print(as_toml(document), flush=True)
    yield parse_scenario(document)


def full(seed: int, routers: int = 40, seconds: float = DEFAULT_SECONDS) -> Iterator[Scenario]:
    """Return ten scenarios, of this seed and the next nine."""
    for number in range(seed, seed + 10):
        yield from quick(number, routers, seconds)


def violations_by_rule(result: Result) -> Counter[str]:
    """Return the number of violations by rule."""
    return Counter(violation.partition(" at ")[0] for violation in result.violations)


def failed_checks(result: Result, earlier: Sequence[Result] = ()) -> list[str]:
    """Return the failed checks of a run."""
    failed_checks = [f"{violation}{_trace(result, violation)}" for violation in result.violations]
    if result.served_fraction < MIN_SERVED_FRACTION:
        failed_checks.append(f"{result.served_fraction:.2f} of the calls served, below the minimum")
    return failed_checks


def _trace(result: Result, violation: str) -> str:
    """Return all facts of the call that a violation names, one per line."""
    match = _CALL_ID.search(violation)
    if match is None:
        return ""
    facts = [fact for fact in result.facts if getattr(fact, "call_id", "") == match[1]]
    return "".join(f"\n    {fact}" for fact in facts)


def table_row(result: Result) -> str:
    """Return the line of a run in the Markdown table."""
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


TABLE_HEADER = "| seed | calls | served | violations by rule | harness late ms |"
TABLE_SEPARATOR = "|" + " --- |" * 5
