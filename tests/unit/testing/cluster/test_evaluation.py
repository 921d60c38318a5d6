"""The evaluation of recordings: each broken rule is found, and drains count from each router's own lists."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

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
    RouterStarted,
)
from cedarthread.testing.cluster.fake_workers import FakeWorkerProcess
from cedarthread.testing.cluster.plan import ClusterPlan
from cedarthread.testing.cluster.recordings import PeerDatagram, Recording
from cedarthread.testing.cluster.scenario_file import parse_scenario
from cedarthread.testing.fakes.worker_server import response_body
from cedarthread.testing.fuzzing.virtual_loop import VirtualLoop, run_virtual

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_ID = "0001a"
SUBMITTED_AND_SENT: list[Fact] = [
    CallSubmitted(0.0, CALL_ID, "confirm", 3000.0, ""),
    AttemptSent(2.0, CALL_ID, 0, 0.0),
]
IDEMPOTENT_SUBMITTED = CallSubmitted(0.0, CALL_ID, "check", 3000.0, "")
EXECUTED_AND_ANSWERED: list[Fact] = [
    AttemptEnded(50.0, CALL_ID, 0, "hit"),
    CallAnswered(50.0, CALL_ID, "served", response_body(CALL_ID)),
]
SECOND_ATTEMPT = AttemptSent(9.0, CALL_ID, 1, 7.0)
SHED = AttemptEnded(5.0, CALL_ID, 0, "shed")
CANCELLED = AttemptCancelled(5.0, CALL_ID, 0)
FAILED = CallAnswered(6.0, CALL_ID, "failed", b"")
LATE_ANSWER = CallAnswered(5000.0, CALL_ID, "served", response_body(CALL_ID))


@pytest.mark.parametrize(
    ("facts", "expected_violation"),
    [
        (SUBMITTED_AND_SENT + EXECUTED_AND_ANSWERED, ""),
        ([*SUBMITTED_AND_SENT, CANCELLED, FAILED], ""),
        ([*SUBMITTED_AND_SENT, SHED, SECOND_ATTEMPT, *EXECUTED_AND_ANSWERED], ""),
        # The router cancelled the first attempt and sent another one while a stall still delayed the first.
        (
            [
                IDEMPOTENT_SUBMITTED,
                AttemptCancelled(1.0, CALL_ID, 0),
                SUBMITTED_AND_SENT[1],
                SECOND_ATTEMPT,
                *EXECUTED_AND_ANSWERED,
            ],
            "",
        ),
        ([*SUBMITTED_AND_SENT, SECOND_ATTEMPT, *EXECUTED_AND_ANSWERED], "two attempts in flight"),
        (
            [*SUBMITTED_AND_SENT, CANCELLED, SECOND_ATTEMPT, *EXECUTED_AND_ANSWERED],
            "retried although it may have been executed",
        ),
        (
            [*SUBMITTED_AND_SENT, *EXECUTED_AND_ANSWERED, AttemptSent(99.0, CALL_ID, 1, 97.0)],
            "sent to a worker after its final answer",
        ),
        ([*SUBMITTED_AND_SENT, *EXECUTED_AND_ANSWERED, EXECUTED_AND_ANSWERED[1]], "2 final answers"),
        ([*SUBMITTED_AND_SENT, EXECUTED_AND_ANSWERED[1]], "a body that no worker produced"),
        ([*SUBMITTED_AND_SENT, EXECUTED_AND_ANSWERED[0]], "no final answer"),
        ([*SUBMITTED_AND_SENT, EXECUTED_AND_ANSWERED[0], LATE_ANSWER], "ms after its deadline"),
    ],
)
def test_the_evaluation_finds_each_broken_rule_in_the_recordings(
    facts: list[Fact], expected_violation: str
) -> None:
    too_long = PeerDatagram(1.0, 0, 0xC1, 257)
    recordings = [Recording(facts=facts[::2]), Recording(facts=facts[1::2], peer_datagrams=[too_long])]
    violations = evaluate(parse_scenario({"routers": 2, "runners": 2}), recordings, 0.0, {}).violations
    assert "257, at most 256 expected" in violations[0]
    has_expected = any(expected_violation in violation for violation in violations[1:])
    assert has_expected == bool(expected_violation)
    assert expected_violation or len(violations) == 1


def test_bytes_read_in_one_loop_iteration_have_one_time() -> None:
    """With a time per read, a cancelled attempt would seem to overlap its retry when the machine is busy."""

    async def read_late(loop: VirtualLoop) -> None:
        process = FakeWorkerProcess(ClusterPlan(parse_scenario({"runners": 2}), 1, [], [], [], [], []), 0)
        times_ms = iter((100.0, 900.0, 901.0))
        process.now_ms = lambda: next(times_ms)  # type: ignore[method-assign]
        process.on_call_sent(CALL_ID, 1, 2000.0)
        process.on_call_cancelled(CALL_ID, 0)
        await asyncio.sleep(0.1)
        process.on_call_cancelled(CALL_ID, 1)
        assert [(fact.at_ms, type(fact)) for fact in sorted(process.recording.facts)] == [
            (100.0, AttemptCancelled),
            (102.0, AttemptSent),
            (900.0, AttemptCancelled),
        ]

    run_virtual(read_late)


def drain_violations(
    *sent: tuple[float, int], list_facts: Sequence[Fact] = (ListSent(1100.0, 0),)
) -> list[str]:
    """Return the rules that attempts to a draining worker break, each sent at a time by a router.

    Worker 1 drains from 1 s for both routers. Router 0 is sent the list at 1.1 s.
    """
    drain = {"kind": "drain", "at": 1.0, "until": 9.0, "who": "runner:1", "to": "router"}
    scenario = parse_scenario({"routers": 2, "runners": 2, "seconds": 8.0, "fault": [drain]})
    facts = list(list_facts)
    for number, (at_ms, router) in enumerate(sent):
        call_id = f"{router:04x}{number:012x}"
        facts.append(CallSubmitted(at_ms - 10.0, call_id, "check", at_ms + 3000.0, ""))
        facts.append(AttemptSent(at_ms + 2.0, call_id, 1, at_ms))
        facts.append(CallAbandoned(at_ms + 3.0, call_id))
    reader = FactReader(scenario)
    reader.read(sorted(facts, key=lambda fact: fact.at_ms))
    return [violation.rule for violation in reader.checker.violations]


def test_a_drain_is_checked_by_the_lists_that_each_router_was_sent() -> None:
    """Router 1 is sent no list and counts as knowing of the drain 1.5 s after the drain's start."""
    assert drain_violations((1600.0, 0), (3000.0, 1)) == []
    assert drain_violations((1800.0, 0)) == ["drain"]
    assert drain_violations((3200.0, 1)) == ["drain"], "router 1 counts as knowing of the drain after 1.5 s"
    restarted: tuple[Fact, ...] = (ListSent(1100.0, 0), RouterStarted(2000.0, 0))
    assert drain_violations((2400.0, 0), list_facts=restarted) == [], (
        "the configuration lists the worker as ready"
    )


def test_a_time_limit_longer_than_the_client_has_left_is_a_violation() -> None:
    for limit_ms, violated_rules in ((2900.0, []), (3300.0, ["time limit"])):
        facts: list[Fact] = [
            CallSubmitted(0.0, "0000a", "check", 3000.0, ""),
            AttemptSent(12.0, "0000a", 0, 10.0, limit_ms),
            CallAbandoned(20.0, "0000a"),
        ]
        reader = FactReader(parse_scenario({"routers": 1, "runners": 1}))
        reader.read(facts)
        assert [violation.rule for violation in reader.checker.violations] == violated_rules
