"""Scenarios and results of the slow-start simulation.

In each scenario workers start while others serve, fail or leave.
"""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from enum import Enum, auto

from tests.simulation.slow_start_worker import CORES

FIRST_NEW_WORKER = 1000  # number of the first worker that a transition adds
REPLACED_FRACTION = 0.6  # of the workers in Transition.REPLACE


class Transition(Enum):
    """The change to the workers; all transitions start at the same simulated time."""

    JOIN = auto()  # a new worker starts
    ZONE_RETURNS = auto()  # all workers of a zone stop, and start again 4 s later
    UNLISTED_RESTART = auto()  # two workers restart; the endpoint list shows only the new start
    REPLACE = auto()  # most workers are drained in turn, and a new worker starts for each
    OTHERS_FAIL = auto()  # a new worker starts; the others refuse connections but are still listed as ready
    OTHERS_LEAVE = auto()  # a new worker starts; a fraction of the others is drained


@dataclass(frozen=True)
class Scenario:
    """The fleet, its load and its transition in one simulation."""

    router_count: int
    transition: Transition = Transition.JOIN
    seed: int = 1
    is_fleet_size_known: bool = True  # whether the routers' settings contain the router count
    worker_count: int = 12
    cores: int = CORES  # of each worker
    load: float = 0.6  # fraction of the warm capacity of all workers
    hot_function_fraction: float = 0.0  # fraction of the calls; the function's home is a starting worker
    is_hot_function_heavy: bool = False  # whether the hot function is of a class with the most work
    hot_function_delay_ms: float = 0.0  # time from the transition to the first call of the hot function
    burst_factor: float = 1.0  # factor of the call rate, for 6 s, starting 1 s after the transition
    client_retries: int = 0  # retries by the client after a rejection, marked as such
    restarted_fraction: float = 0.0  # fraction of the routers that restart without state
    restart_delay_ms: float = -300.0  # time from the transition to the router restarts
    propagation_ms: float = 1500.0  # maximum delay until a router receives an endpoint update
    drained_fraction: float = 0.6  # fraction of the other workers that are drained in OTHERS_LEAVE
    slowdown: float = 1.0  # factor of the work of each call before the transition
    others_lost_delay_ms: float = 0.0  # time after the transition, for OTHERS_FAIL and OTHERS_LEAVE
    duration_ms: float = 14000.0  # time from the transition to the end of the simulation

    def new_workers(self) -> list[int]:
        """Return the numbers of the workers that the transition adds."""
        if self.transition in (Transition.ZONE_RETURNS, Transition.UNLISTED_RESTART):
            return []
        if self.transition is Transition.REPLACE:
            replaced = round(REPLACED_FRACTION * self.worker_count)
            return list(range(FIRST_NEW_WORKER, FIRST_NEW_WORKER + replaced))
        return [FIRST_NEW_WORKER]


@dataclass(frozen=True)
class Result:
    """The fullest window of any late-started worker, and the fraction of rejected requests."""

    fullest_window: float  # load of the window divided by its upper bound
    total: float  # load of the window in calls of mean work
    budget: float  # budget of the window
    budget_used: float  # work received by late-started workers, divided by the sum of their budgets
    rejected_fraction: float  # fraction of the first requests after the transition


SMALL_FLEET = Scenario(0, worker_count=6, cores=1, duration_ms=6000.0)
OTHERS_FAIL = dataclasses.replace(SMALL_FLEET, transition=Transition.OTHERS_FAIL)
OTHERS_LEAVE = dataclasses.replace(SMALL_FLEET, transition=Transition.OTHERS_LEAVE)
SCENARIOS: dict[str, Scenario] = {
    "join": Scenario(0),
    "join, load 1.3": Scenario(0, load=1.3),
    "popular home": Scenario(0, hot_function_fraction=0.4),
    "popular home, heavy class": Scenario(0, hot_function_fraction=0.4, is_hot_function_heavy=True),
    "popular from 5 s on": Scenario(0, hot_function_fraction=0.6, hot_function_delay_ms=5000.0, load=0.9),
    "burst of 2.0, client retries": Scenario(
        0, load=0.9, burst_factor=2.0, client_retries=3, hot_function_fraction=0.4
    ),
    "zone returns": Scenario(0, Transition.ZONE_RETURNS, hot_function_fraction=0.3),
    "six in ten replaced": Scenario(0, Transition.REPLACE, hot_function_fraction=0.3, client_retries=2),
    "six in ten replaced, load 0.9": Scenario(
        0, Transition.REPLACE, hot_function_fraction=0.3, load=0.9, client_retries=2
    ),
    "routers restart before": Scenario(0, restarted_fraction=0.9, hot_function_fraction=0.4),
    "routers restart, heavy class, load 0.9": Scenario(
        0, restarted_fraction=0.9, hot_function_fraction=0.4, is_hot_function_heavy=True, load=0.9
    ),
    "unlisted restart": Scenario(0, Transition.UNLISTED_RESTART, hot_function_fraction=0.3),
    "all others fail": OTHERS_FAIL,
    "all others fail, load 0.9": dataclasses.replace(OTHERS_FAIL, load=0.9),
    "all others fail, routers restarted": dataclasses.replace(
        OTHERS_FAIL, load=0.9, restarted_fraction=0.9, restart_delay_ms=-1500.0, hot_function_fraction=0.5
    ),
    "all others fail, burst of 2.4": dataclasses.replace(OTHERS_FAIL, burst_factor=2.4),
    "six in ten leave": dataclasses.replace(OTHERS_LEAVE, hot_function_fraction=0.4),
    "five in six leave": dataclasses.replace(OTHERS_LEAVE, hot_function_fraction=0.4, drained_fraction=0.84),
    "all others leave": dataclasses.replace(OTHERS_LEAVE, drained_fraction=1.0),
    "all others leave later, load 0.9": dataclasses.replace(
        OTHERS_LEAVE, drained_fraction=1.0, load=0.9, others_lost_delay_ms=2500.0
    ),
    "all others leave, routers restart after": dataclasses.replace(
        OTHERS_LEAVE, drained_fraction=1.0, restarted_fraction=0.9, restart_delay_ms=2500.0
    ),
}
