"""The replay of a run's arrivals under other policies."""

from __future__ import annotations

from cedarthread.testing.cluster.arrivals import generate_arrivals
from cedarthread.testing.cluster.policy_replay import PolicyReplay
from cedarthread.testing.cluster.scenario import Scenario


def test_replays_use_the_same_arrivals_and_the_omniscient_policy_loads_least() -> None:
    scenario = Scenario(router_count=50, duration_s=8.0)
    arrivals = generate_arrivals(scenario)
    assert arrivals == generate_arrivals(scenario)
    assert len({arrival.call_id for arrival in arrivals}) == len(arrivals)
    loads_by_policy = {
        name: [call.remark for call in PolicyReplay(scenario, name).run(arrivals)].count("spawn")
        for name in ("random", "all")
    }
    assert loads_by_policy["all"] < 0.3 * loads_by_policy["random"]
