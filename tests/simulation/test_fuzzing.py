"""The corpus and a fixed number of generated inputs, small models, and some of the injected defects."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import subprocess
import sys
from pathlib import Path

import pytest

from cedarthread.protocols import dns
from cedarthread.testing.fuzzing import corpus, injected_defects, model_checking, small_models, targets
from cedarthread.testing.fuzzing.dns_target import DnsTarget, generate_reply, pack_reply
from cedarthread.testing.fuzzing.finding import Finding
from cedarthread.testing.fuzzing.replay import replay
from cedarthread.testing.fuzzing.resource_meter import Budget
from cedarthread.testing.fuzzing.target import FuzzedDataProvider, Target, verdict
from cedarthread.testing.fuzzing.virtual_loop import MemoryTransport, StuckError, VirtualLoop, run_virtual
from cedarthread.testing.invariants import CallGuarantees, Idempotency, InvariantChecker, InvariantLimits

CORPUS = Path(__file__).parents[2] / "corpus"
TARGETS = targets.targets_by_name()
QUICK = [defect for defect in injected_defects.DEFECTS if defect.runs <= 400 and defect.target != "dns"]


@pytest.mark.parametrize("name", TARGETS)
def test_the_corpus_and_generated_inputs_show_no_finding(name: str) -> None:
    lines: list[str] = []
    counts = replay({name: TARGETS[name]}, CORPUS, lines.append, generates=True)
    assert counts.findings == 0, lines
    assert counts.generated_inputs == TARGETS[name].test_runs > 0


def test_every_target_has_a_corpus() -> None:
    assert all(corpus.inputs(name, CORPUS) for name in TARGETS)


@pytest.mark.parametrize("defect", QUICK, ids=lambda defect: defect.name)
def test_an_injected_defect_is_found(defect: injected_defects.Defect) -> None:
    assert injected_defects.runs_until_found(defect, TARGETS[defect.target]) is not None


@pytest.mark.parametrize("name", ["unsafe-sent-again", "drained-chosen"])
def test_the_guard_of_sending_makes_a_wrong_decision_harmless(name: str) -> None:
    """The defect of the decisions alone, with the guard in place, breaks no rule."""
    (defect,) = [one for one in injected_defects.DEFECTS if one.name == name]
    decisions = tuple(patch for patch in defect.patches if "refuse" not in patch[1])
    assert len(decisions) < len(defect.patches)
    guarded = dataclasses.replace(defect, patches=decisions, runs=min(defect.runs, 1500))
    assert injected_defects.runs_until_found(guarded, TARGETS[defect.target]) is None


def test_findings_show_when_their_defect_is_injected_again() -> None:
    """Each finding of the call machine fails with the repaired defect injected again, and holds without."""
    defects = {defect.name: defect for defect in injected_defects.DEFECTS}
    kept = [(Path(name).name, data) for name, data in corpus.findings("calls", CORPUS)]
    assert kept
    for name, data in kept:
        with defects[name].injected():
            assert verdict(TARGETS["calls"], data) is not None, name


@pytest.mark.parametrize(
    "model",
    [model for model in small_models.MODELS if model.expected_states < 700],
    ids=lambda model: model.name,
)
def test_a_small_model_holds_in_every_order(model: small_models.SmallModel) -> None:
    assert model_checking.explore(model).verdict() is None


def test_a_small_model_shows_a_broken_rule_and_a_missing_state() -> None:
    confirm = next(model_checking.models_named("confirm"))
    unsafe = next(d for d in injected_defects.DEFECTS if d.name == "unsafe-sent-again")
    with unsafe.injected():
        assert "fragile call" in (model_checking.explore(confirm).verdict() or "")
    found = model_checking.Exploration(confirm, state_count=confirm.expected_states - 1)
    assert "states" in (found.verdict() or "")


# The invariant checker: each rule is broken on purpose.

FRAGILE, KEYED = (
    CallGuarantees(Idempotency.NOT_IDEMPOTENT),
    CallGuarantees(Idempotency.WITH_KEY, "zone", 1000.0),
)


def make_checker() -> InvariantChecker:
    checker = InvariantChecker(
        InvariantLimits(max_attempts=2, preload_window_ms=5000.0, preload_allowance=2.0, preload_share=0.1)
    )
    for worker in (1, 2):
        checker.on_worker_state(0.0, worker, "ready", zone=worker)
    return checker


def rules(checker: InvariantChecker) -> list[str]:
    return [breach.rule for breach in checker.violations]


def test_each_call_gets_one_answer_in_time_with_a_body_that_was_produced() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", FRAGILE, 1000.0)
    checker.on_body_produced("a", b"x")
    checker.on_answer(1058.0, "a", "served", b"x")
    assert not checker.violations
    checker.on_answer(1059.0, "a", "served", b"y")
    assert rules(checker) == ["answers", "deadline", "served"]
    checker.on_call_submitted(0.0, "b", FRAGILE, 1000.0)
    checker.check_all_answered(2000.0)
    checker.on_answer(0.0, "nobody", "failed")
    assert rules(checker)[3:] == ["answers", "answers"]


def test_attempts_in_flight_their_number_and_their_effects_are_checked() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", FRAGILE, 1000.0)
    first = checker.on_attempt_started(1.0, "a", 1)
    checker.on_attempt_ended(first, False)
    second = checker.on_attempt_started(2.0, "a", 2)
    assert not checker.violations
    checker.on_attempt_started(3.0, "a", 1)  # the second is out: two out, too many, and it may have run
    assert rules(checker) == ["attempts", "attempts", "effects"]
    checker.on_attempt_ended(second, True)
    checker.on_answer(4.0, "a", "refused")
    assert rules(checker)[3:] == ["effects"]


def test_retries_with_a_key_are_kept_to_their_window_and_scope() -> None:
    for worker, at, broken in ((1, 900.0, []), (1, 1100.0, ["effects"]), (2, 900.0, ["effects"])):
        checker = make_checker()
        checker.on_call_submitted(0.0, "a", KEYED, 5000.0)
        checker.on_attempt_ended(checker.on_attempt_started(1.0, "a", 1), True)
        checker.on_attempt_started(at, "a", worker)
        assert rules(checker) == broken


def test_drains_count_from_the_first_byte_and_preloads_by_their_window() -> None:
    checker = make_checker()
    checker.on_call_submitted(0.0, "a", CallGuarantees(Idempotency.IDEMPOTENT), 9000.0)
    checker.on_worker_state(100.0, 1, "draining")
    checker.on_worker_state(300.0, 1, "draining")  # told again: the time runs from the first
    checker.on_attempt_ended(checker.on_attempt_started(700.0, "a", 1, first_byte_at_ms=650.0), False)
    assert not checker.violations
    checker.on_attempt_started(700.0, "a", 1, first_byte_at_ms=651.0)
    assert rules(checker) == ["drain"]
    for at in (1000.0, 1001.0, 1002.0, 6100.0, 6101.0):
        checker.on_preload(at, 2, 1)
    assert rules(checker) == ["drain"]
    checker.on_preload(6102.0, 2, 1)
    checker.on_preload(6103.0, 2, 1)
    assert rules(checker) == ["drain", "orders"]


# The fuzzing tools themselves.


def test_virtual_time_moves_only_when_nothing_is_ready_and_stops_when_stuck() -> None:
    seen: list[float] = []

    async def work(loop: VirtualLoop) -> None:
        began = loop.time()
        await asyncio.sleep(3600.0)
        seen.append(loop.time() - began)

    run_virtual(work)
    assert seen == [pytest.approx(3600.0)]

    async def stuck(loop: VirtualLoop) -> None:
        await loop.create_future()

    with pytest.raises(StuckError):
        run_virtual(stuck)


def test_a_memory_connection_buffers_what_its_peer_does_not_accept() -> None:
    events: list[str] = []

    class Ends(asyncio.BufferedProtocol):
        def pause_writing(self) -> None:
            events.append("pause")

        def resume_writing(self) -> None:
            events.append("resume")

        def connection_lost(self, exc: Exception | None) -> None:
            events.append(f"lost {type(exc).__name__}")

    async def work(loop: VirtualLoop) -> None:
        transport, got = MemoryTransport(loop), bytearray()
        transport.on_bytes = got.extend
        transport.connect(Ends())
        transport.set_write_buffer_limits(high=0)
        transport.peer_window_bytes = 3
        transport.write(b"abcde")
        assert bytes(got) == b"abc"
        assert transport.get_write_buffer_size() == 2
        transport.peer_accept(None)
        assert bytes(got) == b"abcde"
        transport.peer_reset()
        await asyncio.sleep(0)

    run_virtual(work)
    assert events == ["pause", "resume", "lost ConnectionResetError"]


def test_a_verdict_distinguishes_findings_exceptions_work_and_memory() -> None:
    class FaultyTarget(Target):
        line_budget = Budget(100, 0)
        byte_budget = Budget(100_000, 0)

        def check(self, data: bytes) -> None:
            if data == b"finding":
                raise Finding("seen")
            if data == b"memory":
                bytearray(10**6)
            if data == b"work":
                dns.parse(pack_reply(generate_reply(random.Random(1), 60)))
            if data == b"error":
                raise KeyError("k")

    target = FaultyTarget()
    assert verdict(target, b"finding", metered=True) == "seen"
    assert verdict(target, b"error") == "KeyError: 'k'"
    assert "lines of work" in (verdict(target, b"work", metered=True) or "")
    assert "bytes held" in (verdict(target, b"memory", metered=True) or "")
    assert verdict(target, b"", metered=True) is None


def test_minimising_leaves_only_what_is_needed() -> None:
    assert corpus.minimise(b"..a....b...", lambda data: b"a" in data and b"b" in data) == b"ab"


def test_choices_past_the_end_are_the_first() -> None:
    choices = FuzzedDataProvider(b"\x05")
    assert choices.pick("abc") == "c"
    assert choices.pick("abc") == "a"
    assert not choices.has_more()


def test_generated_dns_replies_are_parsed_as_generated() -> None:
    reply = generate_reply(random.Random(3), 5)
    assert dns.parse(pack_reply(reply)) == reply
    assert isinstance(verdict(DnsTarget(), pack_reply(reply)), (str, type(None)))


def test_commands_end_with_their_exit_codes(tmp_path: Path) -> None:
    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "cedarthread", "fuzz", *words], capture_output=True, text=True
        )

    done = run("replay", "spiffe")
    assert done.returncode == 0
    assert done.stdout.splitlines()[-1].startswith("fuzz replay: ok")
    unknown = run("replay", "nothing")
    assert unknown.returncode == 2
    assert "no target 'nothing'" in unknown.stderr
    kept = tmp_path / "input"
    kept.write_bytes(b"spiffe://gaz.example/a")
    assert run("minimise", "spiffe", str(kept)).returncode == 1  # it shows nothing
