"""The cluster harness: its scenarios and network alone, and many processes with faults between them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import signal
import subprocess
import sys
from importlib import import_module
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from cedarthread.config import Config
from cedarthread.dispatch.dispatcher import Dispatcher
from cedarthread.model.actions import SetTimer
from cedarthread.model.events import Event, TimerFired
from cedarthread.node.routing_node import COMPONENT_TIMER_TOKEN
from cedarthread.protocols import dns
from cedarthread.protocols.discovery.client import SERVICE_NAME, DiscoveryClient
from cedarthread.protocols.discovery.endpoint_records import endpoints_from_reply
from cedarthread.service import Service
from cedarthread.settings_parser import settings_from_object
from cedarthread.testing.cluster import cli
from cedarthread.testing.cluster.arrivals import generate_arrivals
from cedarthread.testing.cluster.endpoint_timeline import EndpointListTimeline
from cedarthread.testing.cluster.evaluation import evaluate
from cedarthread.testing.cluster.fact_reader import FactReader
from cedarthread.testing.cluster.facts import (
    AttemptCancelled,
    AttemptEnded,
    AttemptSent,
    CallAbandoned,
    CallAnswered,
    CallSubmitted,
    Fact,
    ListSent,
    NoRouterAvailable,
    RouterStarted,
)
from cedarthread.testing.cluster.fake_clients import corrupt
from cedarthread.testing.cluster.fake_workers import FakeWorkerProcess
from cedarthread.testing.cluster.injected_defects import DEFECTS
from cedarthread.testing.cluster.network import MAX_REORDER_DELAY_MS, Network
from cedarthread.testing.cluster.plan import ClusterPlan
from cedarthread.testing.cluster.policy_replay import PolicyReplay
from cedarthread.testing.cluster.recordings import PeerDatagram, Recording
from cedarthread.testing.cluster.result import DatagramCounts, FaultSpan, Result
from cedarthread.testing.cluster.router_entry import CLOCK_CONTROL, faulty_clocks
from cedarthread.testing.cluster.router_files import DISK_CONTROL, RouterFiles
from cedarthread.testing.cluster.scenario import FaultKind, Scenario, Subject, SubjectKind
from cedarthread.testing.cluster.scenario_file import ScenarioError, load_scenario, parse_scenario
from cedarthread.testing.cluster.scenarios import (
    SCENARIO_MODULES,
    faults,
    load_scenario_set,
    load_spread,
    mass_restart,
    restart_measurements,
)
from cedarthread.testing.cluster.service_levels import (
    ServedValue,
    peak_count,
    time_to_full_service,
    value_rates,
)
from cedarthread.testing.fakes.discovery_server import ListedWorker, encode_reply
from cedarthread.testing.fakes.settings import SETTINGS
from cedarthread.testing.fakes.worker_server import response_body
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual
from cedarthread.testing.load_balance import Hotspot, LoadBalanceMetrics


def router(number: int) -> Subject:
    return Subject(SubjectKind.ROUTER, number)


def worker(number: int) -> Subject:
    return Subject(SubjectKind.WORKER, number)


@pytest.mark.parametrize(
    ("top", "says"),
    [
        ({"router": 3}, "router: no such key"),
        ({"routers": "3"}, "routers: '3' is no int"),
        ({"routers": True}, "routers: True is no int"),
        ({"rate": -1.0}, "rate: -1.0 is below zero"),
        ({"runners": 0}, "runners: must be above zero"),
        ({"plant": "weeds"}, "plant: 'weeds' is none of chance"),
        ({"fault": [{"kind": "flood", "who": "router"}]}, "fault 1: kind 'flood'"),
        ({"fault": [{"kind": "cut", "who": "router"}]}, "fault 1: cut needs `to`"),
        ({"tenants": "hydro 0.7, steel 0.4"}, "tenants: 'hydro 0.7, steel 0.4'"),
        ({"fault": [{"kind": "kill", "who": "runner:1"}]}, "fault 1: kill is done at a router"),
        ({"fault": [{"kind": "disk", "who": "router:1", "what": "odd"}]}, "fault 1: what 'odd' is none of"),
        ({"fault": [{"kind": "declare", "who": "router:1"}]}, "fault 1: router:1 has no file"),
        ({"fault": [{"kind": "kill", "who": "router:99"}]}, "fault 1: who: 'router:99' is outside 0 to 23"),
        ({"fault": [{"kind": "kill", "who": "all"}]}, "fault 1: who: 'all' is not like"),
        ({"fault": [{"kind": "kill", "who": "router", "at": 5, "until": 5}]}, "fault 1: at 5 and until 5"),
        ({"fault": [{"kind": "kill", "who": "router", "when": 5}]}, "fault 1: no such key: when"),
    ],
)
def test_a_scenario_error_says_where_and_what(top: dict[str, Any], says: str) -> None:
    with pytest.raises(ScenarioError) as error:
        parse_scenario(top)
    assert says in str(error.value)


def test_a_scenario_file_is_read_and_a_missing_or_malformed_one_is_named(tmp_path: Path) -> None:
    file = tmp_path / "one.toml"
    file.write_text(
        'name = "x"\nrate = 50\n[[fault]]\nkind = "stop"\nat = 1\nuntil = 2\nwho = "router:1-2"\n'
    )
    scenario = load_scenario(file)
    assert scenario.calls_per_second == 50
    assert scenario.faults[0].subjects.includes(SubjectKind.ROUTER, 2)
    file.write_text("name = ")
    for bad in (file, tmp_path / "none.toml"):
        with pytest.raises(ScenarioError, match=bad.name):
            load_scenario(bad)
        assert cli.main(["rig", "run", str(bad)]) == 2


def test_the_network_follows_the_timeline_and_its_seed() -> None:
    faults = [
        {"kind": "loss", "at": 1.0, "until": 2.0, "who": "router", "to": "router", "figure": 0.5},
        {"kind": "double", "at": 2.0, "until": 3.0, "who": "router", "to": "router", "figure": 1.0},
        {"kind": "reorder", "at": 3.0, "until": 4.0, "who": "router", "to": "router"},
        {"kind": "cut", "at": 4.0, "until": 5.0, "who": "router:0", "to": "router:1", "one_way": True},
        {"kind": "cut", "at": 4.0, "until": 5.0, "who": "router:2", "to": "runner"},
    ]

    def play() -> list[list[float]]:
        network = Network(parse_scenario({"fault": faults}).faults, 7)
        return [network.datagram_delays_ms(10.0 * n, router(0), router(1)) for n in range(500)]

    seen = play()
    assert seen == play()
    assert all(one == [0.0] for one in seen[:100])
    assert 20 < seen[100:200].count([]) < 80
    assert all(one == [0.0, 0.0] for one in seen[200:300])
    late = [one[0] for one in seen[300:400]]
    assert len(set(late)) > 90
    assert max(late) <= MAX_REORDER_DELAY_MS
    assert all(one == [] for one in seen[400:500])
    network = Network(parse_scenario({"fault": faults}).faults, 7)
    assert network.datagram_delays_ms(4500.0, router(1), router(0)) == [0.0], "it is cut one way only"
    assert network.stream_delay_ms(4500.0, worker(3), router(2)) == 500.0, "bytes come once the cut is over"
    assert network.stream_delay_ms(5000.0, router(2), worker(3)) == 0.0


def test_a_stall_delays_all_bytes_and_evaluation_draws_no_number() -> None:
    faults = [
        {"kind": "stall", "at": 1.0, "until": 2.0, "who": "router:1", "to": "runner:2"},
        {"kind": "loss", "at": 1.0, "until": 2.0, "who": "router:3", "to": "runner", "figure": 0.5},
    ]
    network = Network(parse_scenario({"fault": faults}).faults, 7)
    assert network.stream_delay_ms(1250.0, worker(2), router(1)) == 750.0
    assert network.datagram_delays_ms(1250.0, router(1), worker(2)) == []
    before = network.rng.getstate()
    assert network.is_disturbed(1250.0, router(3), worker(0))
    assert before == network.rng.getstate()
    assert not network.is_disturbed(1250.0, router(4), worker(2))


def test_control_files_shift_clocks_change_their_rate_and_set_disk_faults(tmp_path: Path) -> None:
    now_ms = [100.0]
    control = bytearray(CLOCK_CONTROL.pack(0.0, 1.5, 90.0))
    clocks = faulty_clocks(control, lambda: now_ms[0], lambda: now_ms[0])
    assert (clocks.time(), clocks.monotonic()) == (105.0, 105.0)
    control[:] = CLOCK_CONTROL.pack(-2000.0, 1.0, 90.0)
    assert (clocks.time(), clocks.monotonic()) == (98.0, 100.0), "a step leaves the steady clock alone"
    files = RouterFiles(parse_scenario({"routers": 1}), tmp_path, 0)
    files.set_clock(rate=2.0)
    files.set_disk_fault("slow_sync", 5000.0)
    assert CLOCK_CONTROL.unpack((tmp_path / "n0.clock").read_bytes())[:2] == (0.0, 2.0)
    disk = (tmp_path / "n0.disk").read_bytes()
    assert (len(disk), DISK_CONTROL.unpack(disk[:16])) == (64, (8, 5000.0))


def test_endpoint_lists_follow_the_timeline_and_versions_never_go_back() -> None:
    faults = [
        {"kind": "hide", "at": 2.0, "until": 4.0, "who": "runner:0", "to": "router:1"},
        {"kind": "die", "at": 1.0, "until": 3.0, "who": "runner:1"},
    ]
    lists = EndpointListTimeline(parse_scenario({"runners": 2, "fault": faults}), [4001, 4002])
    seen = [lists.list_at(1000.0 * at, 1) for at in (-1e6, 1.5, 2.5, 3.5, 4.5)]
    assert [serial for serial, _ in seen] == [1, 1, 2, 3, 4]
    assert [[one.port for one in listed] for _, listed in seen[1:4]] == [[4001, 4002], [4002], [4002]]
    assert [listed[-1].started_at_ms for _, listed in seen] == [0.0, 0.0, 0.0, 4000.0, 4000.0]
    assert len(lists.list_at(2500.0, 0)[1]) == 2, "it is hidden from one router alone"


def test_a_corrupt_reply_differs_and_raises_nothing() -> None:
    whole, rng = (
        encode_reply(dns.encode_query(9, SERVICE_NAME), 5, (ListedWorker("s-00000001", 4001),), "room-a"),
        random.Random(1),
    )
    for _ in range(300):
        bad = corrupt(whole, rng)
        assert bad != whole
        assert isinstance(dns.parse(bad), (dns.Reply, dns.UnusableReply))


def test_recordings_give_peaks_value_rates_and_the_time_to_full_service() -> None:
    assert peak_count([0.0, 100.0, 200.0, 249.0, 260.0, 900.0]) == 4
    assert peak_count([]) == 0
    served = [ServedValue(100.0 * n, 2.0) for n in range(200) if not 50 <= n < 80]
    rates = value_rates(served, 20_000.0)
    assert (rates[0], rates[20], len(rates)) == (20.0, 0.0, 77)
    # Served again from 8 s on: the first whole window ends at 9 s, 3.5 s after the last death.
    assert time_to_full_service(rates, 5.5, undisturbed_rate=20.0) == 3.5
    assert time_to_full_service(rates, 5.5, undisturbed_rate=22.0) is None
    assert time_to_full_service(rates[:60], 5.5, undisturbed_rate=20.0, stable_s=9.0) is None, (
        "it must stay so"
    )


ASKED: list[Fact] = [CallSubmitted(0.0, "0001a", "confirm", 3000.0, ""), AttemptSent(2.0, "0001a", 0, 0.0)]
SAFE = CallSubmitted(0.0, "0001a", "check", 3000.0, "")
RAN: list[Fact] = [
    AttemptEnded(50.0, "0001a", 0, "hit"),
    CallAnswered(50.0, "0001a", "served", response_body("0001a")),
]
SECOND = AttemptSent(9.0, "0001a", 1, 7.0)
SHED = AttemptEnded(5.0, "0001a", 0, "shed")
GIVEN_UP = AttemptCancelled(5.0, "0001a", 0)
FAILED = CallAnswered(6.0, "0001a", "failed", b"")
LATE = CallAnswered(5000.0, "0001a", "served", response_body("0001a"))


@pytest.mark.parametrize(
    ("facts", "says"),
    [
        (ASKED + RAN, ""),
        ([*ASKED, GIVEN_UP, FAILED], ""),
        ([*ASKED, SHED, SECOND, *RAN], ""),
        # A call that a stall still held when its router cancelled it and sent it elsewhere.
        ([SAFE, AttemptCancelled(1.0, "0001a", 0), ASKED[1], SECOND, *RAN], ""),
        ([*ASKED, SECOND, *RAN], "two attempts out"),
        ([*ASKED, GIVEN_UP, SECOND, *RAN], "sent again though"),
        ([*ASKED, *RAN, AttemptSent(99.0, "0001a", 1, 97.0)], "sent after its final answer"),
        ([*ASKED, *RAN, RAN[1]], "2 final answers"),
        ([*ASKED, RAN[1]], "what no worker made"),
        ([*ASKED, RAN[0]], "no final answer"),
        ([*ASKED, RAN[0], LATE], "ms late"),
    ],
)
def test_the_evaluation_finds_each_rule_broken_in_the_recordings(facts: list[Fact], says: str) -> None:
    too_long = PeerDatagram(1.0, 0, 0xC1, 257)
    recordings = [Recording(facts=facts[::2]), Recording(facts=facts[1::2], peer_datagrams=[too_long])]
    violations = evaluate(parse_scenario({"routers": 2, "runners": 2}), recordings, 0.0, {}).violations
    assert "257 left" in violations[0]
    assert any(says in one for one in violations[1:]) == bool(says)
    assert says or len(violations) == 1


def test_all_that_is_read_in_one_loop_iteration_has_one_time() -> None:
    """Else a call cancelled on one connection looks as if it was out twice, when the machine is busy."""

    async def late(loop: VirtualLoop) -> None:
        process = FakeWorkerProcess(ClusterPlan(parse_scenario({"runners": 2}), 1, [], [], [], [], []), 0)
        times = iter((100.0, 900.0, 901.0))
        process.now_ms = lambda: next(times)  # type: ignore[method-assign]
        process.on_call_sent("0001a", 1, 2000.0)
        process.on_call_cancelled("0001a", 0)
        await asyncio.sleep(0.1)
        process.on_call_cancelled("0001a", 1)
        assert [(fact.at_ms, type(fact)) for fact in sorted(process.recording.facts)] == [
            (100.0, AttemptCancelled),
            (102.0, AttemptSent),
            (900.0, AttemptCancelled),
        ]

    run_virtual(late)


def test_a_new_timer_cancels_the_previous_one() -> None:
    """Each that is left to fire wakes the process for a token that is past."""
    seen: list[Event] = []

    async def run(loop: VirtualLoop) -> None:
        planner = Dispatcher(settings_from_object(SETTINGS), 3, loop.unix_ms)
        planner.node.handle = lambda now_ms, event: seen.append(event) or []  # type: ignore[func-returns-value, method-assign]
        for token, after in ((1, 50.0), (2, 20.0), (COMPONENT_TIMER_TOKEN, 30.0)):
            planner.node_timers.set(SetTimer(loop.unix_ms() + after, token))
        assert loop.timer_count() == 2
        await asyncio.sleep(1.0)

    run_virtual(run)
    assert seen == [TimerFired(2), TimerFired(COMPONENT_TIMER_TOKEN)]


def test_a_scenario_set_or_defect_is_added_by_one_line() -> None:
    for name in SCENARIO_MODULES:
        one = load_scenario_set(name)
        assert all(list(make(1, 24)) for make in (one.quick, one.full))
        assert one.HEAD
    for place in DEFECTS.values():
        module, _, function = place.partition(":")
        assert callable(getattr(import_module(module), function))


def test_the_router_reads_what_the_fake_discovery_server_writes() -> None:
    listed = (
        ListedWorker("s-00000001", 4001),
        ListedWorker("s-00000002", 4002, is_draining=True, started_at_ms=7.0),
    )
    parsed = dns.parse(encode_reply(dns.encode_query(9, SERVICE_NAME), 5, listed, "room-a"))
    assert isinstance(parsed, dns.Reply)
    assert (parsed.query_id, parsed.serial) == (9, 5)
    records = endpoints_from_reply(parsed)
    assert not isinstance(records, str)
    assert [(record.name, record.port, record.state.value, record.started_at_ms) for record in records] == [
        ("s-00000001", 4001, "ready", 0.0),
        ("s-00000002", 4002, "draining", 7.0),
    ]


def test_a_reply_like_the_last_one_is_not_parsed_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Five a second come, and reading a long list each time took half of an idle router's CPU."""

    async def play() -> None:
        serials: list[int] = []
        client = DiscoveryClient(lambda serial, found: serials.append(serial))
        parse_count = 0

        def counting_parse(data: bytes) -> dns.Reply | dns.UnusableReply:
            nonlocal parse_count
            parse_count += 1
            return dns.parse(data)

        monkeypatch.setattr(
            "cedarthread.protocols.discovery.client.dns",
            SimpleNamespace(parse=counting_parse, UnusableReply=dns.UnusableReply),
        )
        runners = (ListedWorker("s-00000001", 4001),)
        for query_id in (1, 2, 3, 4, 5):
            client.queries.on_sent(query_id, 0.0)
        for number, serial in ((1, 5), (2, 5), (3, 5), (9, 5), (4, 6), (5, 6)):
            client.last_usable_reply_at = 0.0
            client.datagram_received(
                encode_reply(dns.encode_query(number, SERVICE_NAME), serial, runners, "room-a"), None
            )
            assert bool(client.last_usable_reply_at) is (number in (2, 3, 5)), (
                "an answer to what nobody asked counts for nothing, and a list needs a second one"
            )
        assert serials == [5, 6]
        assert parse_count == 4

    asyncio.run(play())


def test_an_idle_router_wakes_only_for_discovery_queries(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each waking costs some 0.2 ms of CPU: the sweep and the look at members and talk come with a query."""
    wakeups: list[float] = []

    async def idle(loop: VirtualLoop) -> None:
        limits = SETTINGS["limits"] | {"peers": True}
        settings = settings_from_object(SETTINGS | {"balancers": 24, "limits": limits})
        service = Service(Config("n0", "127.0.0.1", 0, 7, 1024, 192 * 2**20, None, settings, ()))
        service.dispatcher.peer_message_received(3, b"\xc2")
        worker = ListedWorker("s-00000001", 4001)

        def reply_to(query: bytes) -> None:
            reply = encode_reply(query, 5, (worker,), "room-a")
            loop.call_soon(service.discovery.datagram_received, reply, None)

        service.discovery.connection_made(SimpleNamespace(sendto=reply_to, close=lambda: None))  # type: ignore[arg-type]
        await asyncio.sleep(0.07)
        service.maintenance.sweep()
        select, ticks = loop.select, list[float]()
        on_tick = service.dispatcher.node.membership.on_tick  # type: ignore[union-attr]
        monkeypatch.setattr(
            service.dispatcher.node.membership,
            "on_tick",
            lambda now_ms: (ticks.append(now_ms), on_tick(now_ms))[1],  # type: ignore[func-returns-value]
        )
        monkeypatch.setattr(
            loop,
            "select",
            lambda timeout: (wakeups.append(timeout or 0.0), select(timeout))[1],  # type: ignore[func-returns-value]
        )
        await asyncio.sleep(5.0)
        assert len(ticks) >= 20, "members and talk are looked at four times a second at least"
        assert service.maintenance.sweep_timer is not None
        assert service.maintenance.sweep_timer.when() > loop.time() - 0.01

    run_virtual(idle)
    assert 24 <= sum(timeout > 0.001 for timeout in wakeups) <= 28


def test_replays_take_the_same_arrivals_and_the_omniscient_policy_loads_least() -> None:
    scenario = Scenario(router_count=50, duration_s=8.0)
    arrivals = generate_arrivals(scenario)
    assert arrivals == generate_arrivals(scenario)
    assert len({arrival.call_id for arrival in arrivals}) == len(arrivals)
    loads = {
        name: [v.remark for v in PolicyReplay(scenario, name).run(arrivals)].count("spawn")
        for name in ("random", "all")
    }
    assert loads["all"] < 0.3 * loads["random"]


def result(**changes: Any) -> Result:
    good = LoadBalanceMetrics(1.2, 0.2, 100.0, (), 5.0, 0, 1000)
    usual = Result("x", 1, good, {"all": good}, {"served": 1000}, [], 2.0, 1.0, 0.0, DatagramCounts(0, 0))
    return dataclasses.replace(usual, **changes)


def test_load_spread_reports_each_failing() -> None:
    assert load_spread.failings(result()) == []
    load_balance = result().load_balance
    bad = {
        "void": result(lag_ms=100.0),
        "herd": result(
            load_balance=dataclasses.replace(load_balance, hotspots=(Hotspot(1000.0, 3, 50, 9.0),))
        ),
        "idle for 2500": result(load_balance=dataclasses.replace(load_balance, longest_idle_ms=2500.0)),
        "peak-to-mean 1.70": result(load_balance=dataclasses.replace(load_balance, peak_to_mean=1.7)),
        "0.50 of the calls": result(answers={"served": 500, "refused": 500}),
        "two attempts": result(violations=["attempts: two attempts out"]),
    }
    for says, faulty in bad.items():
        assert [says in failing for failing in load_spread.failings(faulty)] == [True]


def test_mass_restart_reports_each_failing() -> None:
    """Calls every 20 ms; none are served from 5 to 7 s, and what must not be is told, each by itself."""
    fault = [
        {"kind": "kill", "at": 5.0, "until": 6.0, "who": "router"},
        {"kind": "hide", "at": 5.0, "who": "runner:1", "to": "router"},
    ]
    scenario = parse_scenario({"name": "quick", "routers": 1, "runners": 2, "fault": fault})
    facts: list[Fact] = []
    for n in range(800):
        at, call_id = 20.0 * n, f"0000{n:x}"
        if 250 <= n < 350:
            facts.append(NoRouterAvailable(at, call_id))
            continue
        facts.append(CallSubmitted(at, call_id, "check", 3000.0, ""))
        facts += [AttemptSent(at + 1, call_id, 0, at), CallAnswered(at + 9, call_id, "served", b"")]
    good = result(
        scenario_name="quick",
        facts=facts,
        scenario=scenario,
        faults=[FaultSpan(FaultKind.KILL_ROUTER, 5.0, 6.0)],
    )
    undisturbed = result(scenario_name=mass_restart.UNDISTURBED)
    assert restart_measurements.time_to_recover_s(good) == 3.0
    assert mass_restart.failings(good, [undisturbed]) == []
    late = AttemptSent(9000.0, "0000x", 1, 8000.0)
    bad = {
        "loads in": dataclasses.replace(good, time_series={"loads": [6000.0] * 11}),
        "connections": dataclasses.replace(good, time_series={"connections:1": [6000.0] * 25}),
        "stale: 1": dataclasses.replace(good, facts=[*facts, late]),
        "not reached": dataclasses.replace(good, facts=[fact for fact in facts if fact.at_ms < 10_000.0]),
        "two attempts": dataclasses.replace(good, violations=["attempts: two attempts out"]),
    }
    for says, faulty in bad.items():
        assert [says in failing for failing in mass_restart.failings(faulty, [undisturbed])] == [True]


def test_injected_defects_are_found() -> None:
    """Chance passes for popularity; all move at each report; what may have run is sent again."""
    dies = [{"kind": "die", "at": 3.0 + n, "until": 5.0 + n, "who": f"runner:{n}"} for n in range(3)]
    small = {"routers": 12, "runners": 6, "rate": 120.0, "warm_up": 2.0, "seconds": 6.0, "fault": dies}
    (quick,) = load_spread.quick(1)
    quick = dataclasses.replace(quick, is_gossip_enabled=False)
    scenarios = [dataclasses.replace(quick, injected_defect=defect) for defect in ("chance", "eager")]
    scenarios.append(parse_scenario(small | {"plant": "twice"}))

    async def play() -> list[Result]:
        return await asyncio.gather(*(cli.run_scenario(scenario) for scenario in scenarios))

    chance, eager, retrying = asyncio.run(play())
    for overreacting in (chance, eager):
        assert any("of the calls served" in failing for failing in load_spread.failings(overreacting))
    assert any("effects" in failing for failing in load_spread.failings(retrying))


def test_many_processes_keep_the_rules_and_spread_load_under_faults(tmp_path: Path) -> None:
    """A runner dies and comes back empty, routers are killed and stopped, datagrams are lost and doubled."""
    (quick,) = load_spread.quick(3, routers=12)
    more_faults = [
        {"kind": "stall", "at": 6.0, "until": 8.0, "who": "router:5", "to": "runner:1-2"},
        {"kind": "spoilt", "at": 5.0, "until": 9.0, "who": "resolver:6", "figure": 0.7},
        {"kind": "mute", "at": 5.0, "until": 8.0, "who": "resolver:7"},
        {"kind": "rate", "at": 5.0, "until": 9.0, "who": "router:8", "figure": 1.01},
        {"kind": "clock", "at": 6.0, "until": 8.0, "who": "router:9", "figure": 400.0},
        {"kind": "burst", "at": 7.0, "until": 8.0, "who": "router", "figure": 2.0},
    ]
    more = parse_scenario({"routers": 12, "runners": 8, "fault": more_faults}).faults
    scenario = dataclasses.replace(
        quick,
        calls_per_second=150.0,
        worker_count=8,
        duration_s=8.0,
        tenants="hydro 0.5",
        faults=quick.faults + more,
    )
    result = asyncio.run(cli.run_scenario(scenario))
    assert not result.is_void
    assert result.answers_by_tenant["hydro"]["served"] > 300
    query_counts = [
        len([at for at in result.time_series["questions"] if begin <= at < begin + 1000.0])
        for begin in (2000.0, 5500.0)
    ]
    assert 50 <= query_counts[0] <= 65
    assert result.peak_counts["loads"] > 3
    assert min(result.value_rates[16:20]) > 200.0
    assert result.violations == []
    assert result.answers["served"] > 0.9 * sum(result.answers.values())
    assert not result.load_balance.hotspots
    assert result.datagrams[0] > 100 and result.datagrams[1] > 10, "routers talked, and some of it was lost"
    (tmp_path / "x.json").write_text(json.dumps(result.to_json()))
    assert cli.main(["rig", "report", str(tmp_path)]) == 0
    assert "<svg" in (tmp_path / "x.svg").read_text()


@pytest.mark.parametrize("which", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process(tmp_path: Path, which: signal.Signals) -> None:
    command = [sys.executable, "-m", "cedarthread", "drill", "spread", "--routers", "6", "--seed", "2"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, cwd=Path(__file__).parents[2]
    )
    listing = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    while len(children := listing.read_text().split()) < 6:
        assert process.poll() is None
    process.send_signal(which)
    process.communicate(timeout=30)
    assert [child for child in children if Path(f"/proc/{child}").exists()] == []


def test_a_fault_draw_is_a_scenario_file_and_the_same_for_a_seed(tmp_path: Path) -> None:
    for seed in range(30):
        document = faults.draw(seed, 8)
        assert document == faults.draw(seed, 8)
        (tmp_path / "draw.toml").write_text(faults.as_toml(document))
        assert load_scenario(tmp_path / "draw.toml") == parse_scenario(document)
    assert faults.draw(1, 8) != faults.draw(2, 8)


def test_a_drain_is_judged_by_the_lists_that_each_router_was_sent() -> None:
    """Drained at 1 s for both; the first router is sent a list, the second counts as told after 1.5 s."""
    drain = {"kind": "drain", "at": 1.0, "until": 9.0, "who": "runner:1", "to": "router"}
    scenario = parse_scenario({"routers": 2, "runners": 2, "seconds": 8.0, "fault": [drain]})

    def violations(*sent: tuple[float, int], told: tuple[Fact, ...] = (ListSent(1100.0, 0),)) -> list[str]:
        facts = list(told)
        for number, (at_ms, router) in enumerate(sent):
            call_id = f"{router:04x}{number:012x}"
            facts.append(CallSubmitted(at_ms - 10.0, call_id, "check", at_ms + 3000.0, ""))
            facts.append(AttemptSent(at_ms + 2.0, call_id, 1, at_ms))
            facts.append(CallAbandoned(at_ms + 3.0, call_id))
        reader = FactReader(scenario)
        reader.read(sorted(facts, key=lambda fact: fact.at_ms))
        return [violation.rule for violation in reader.checker.violations]

    assert violations((1600.0, 0), (3000.0, 1)) == []
    assert violations((1800.0, 0)) == ["drain"]
    assert violations((3200.0, 1)) == ["drain"], "told by the time that has passed"
    restarted: tuple[Fact, ...] = (ListSent(1100.0, 0), RouterStarted(2000.0, 0))
    assert violations((2400.0, 0), told=restarted) == [], "its configuration has the worker as ready"


def test_a_time_limit_beyond_what_the_client_has_left_is_a_violation() -> None:
    for limit_ms, broken in ((2900.0, []), (3300.0, ["time limit"])):
        facts: list[Fact] = [
            CallSubmitted(0.0, "0000a", "check", 3000.0, ""),
            AttemptSent(12.0, "0000a", 0, 10.0, limit_ms),
            CallAbandoned(20.0, "0000a"),
        ]
        reader = FactReader(parse_scenario({"routers": 1, "runners": 1}))
        reader.read(facts)
        assert [violation.rule for violation in reader.checker.violations] == broken


def test_processes_keep_the_rules_under_random_faults_that_overlap() -> None:
    """A small soak: three draws of the drill ``faults``, side by side."""
    scenarios = [scenario for seed in (5, 7, 9) for scenario in faults.quick(seed, 6, 6.0)]

    async def play() -> list[Result]:
        return await asyncio.gather(*map(cli.run_scenario, scenarios))

    for result in asyncio.run(play()):
        assert faults.failings(result) == [], result.seed
        assert sum(result.answers.values()) > 100


def test_the_soak_finds_drains_that_are_ignored() -> None:
    drains = [
        {"kind": "drain", "at": 2.0 + n, "until": 6.0, "who": f"runner:{n}", "to": "router"} for n in (0, 1)
    ]
    small = {"routers": 4, "runners": 4, "rate": 120.0, "warm_up": 1.0, "seconds": 5.0, "fault": drains}
    result = asyncio.run(cli.run_scenario(parse_scenario(small | {"plant": "drains ignored"})))
    assert faults.violations_by_rule(result)["drain"] > 0
