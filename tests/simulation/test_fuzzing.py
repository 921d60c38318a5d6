"""The corpus and a fixed number of drawn runs, small worlds, and some of the planted defects."""

from __future__ import annotations

import asyncio
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
QUICK = [d for d in injected_defects.DEFECTS if d.runs <= 400 and d.target != "dns"]


@pytest.mark.parametrize("name", TARGETS)
def test_the_corpus_and_drawn_runs_hold(name: str) -> None:
    said: list[str] = []
    counts = replay({name: TARGETS[name]}, CORPUS, said.append, generates=True)
    assert counts.findings == 0, said
    assert counts.generated_inputs == TARGETS[name].test_runs > 0


def test_every_target_keeps_a_corpus() -> None:
    assert all(corpus.inputs(name, CORPUS) for name in TARGETS)


@pytest.mark.parametrize("defect", QUICK, ids=lambda d: d.name)
def test_a_planted_defect_is_found(defect: injected_defects.Defect) -> None:
    assert injected_defects.runs_until_found(defect, TARGETS[defect.target]) is not None


def test_findings_show_when_their_defect_is_back() -> None:
    """Each finding of the call machine fails with the repaired defect planted again, and holds without."""
    defects = {defect.name: defect for defect in injected_defects.DEFECTS}
    kept = [(Path(name).name, data) for name, data in corpus.findings("calls", CORPUS)]
    assert kept
    for name, data in kept:
        with defects[name].planted():
            assert verdict(TARGETS["calls"], data) is not None, name


@pytest.mark.parametrize(
    "scene", [s for s in small_models.MODELS if s.expected_states < 700], ids=lambda s: s.name
)
def test_a_small_world_holds_in_every_order(scene: small_models.SmallModel) -> None:
    assert model_checking.explore(scene).verdict() is None


def test_a_small_world_shows_a_broken_rule_and_a_state_that_is_missing() -> None:
    confirm = next(model_checking.models_named("confirm"))
    unsafe = next(d for d in injected_defects.DEFECTS if d.name == "unsafe-sent-again")
    with unsafe.planted():
        assert "fragile call" in (model_checking.explore(confirm).verdict() or "")
    found = model_checking.Exploration(confirm, state_count=confirm.expected_states - 1)
    assert "states" in (found.verdict() or "")


# The ledger: each rule is broken on purpose.

FRAGILE, KEYED = (
    CallGuarantees(Idempotency.NOT_IDEMPOTENT),
    CallGuarantees(Idempotency.WITH_KEY, "zone", 1000.0),
)


def book() -> InvariantChecker:
    ledger = InvariantChecker(
        InvariantLimits(max_attempts=2, preload_window_ms=5000.0, preload_allowance=2.0, preload_share=0.1)
    )
    for worker in (1, 2):
        ledger.on_worker_state(0.0, worker, "ready", zone=worker)
    return ledger


def rules(ledger: InvariantChecker) -> list[str]:
    return [breach.rule for breach in ledger.violations]


def test_the_ledger_wants_one_answer_in_time_with_a_body_that_was_made() -> None:
    ledger = book()
    ledger.on_call_submitted(0.0, "a", FRAGILE, 1000.0)
    ledger.on_body_produced("a", b"x")
    ledger.on_answer(1058.0, "a", "served", b"x")
    assert not ledger.violations
    ledger.on_answer(1059.0, "a", "served", b"y")
    assert rules(ledger) == ["answers", "deadline", "served"]
    ledger.on_call_submitted(0.0, "b", FRAGILE, 1000.0)
    ledger.check_all_answered(2000.0)
    ledger.on_answer(0.0, "nobody", "failed")
    assert rules(ledger)[3:] == ["answers", "answers"]


def test_the_ledger_knows_attempts_and_effects() -> None:
    ledger = book()
    ledger.on_call_submitted(0.0, "a", FRAGILE, 1000.0)
    first = ledger.on_attempt_started(1.0, "a", 1)
    ledger.on_attempt_ended(first, False)
    second = ledger.on_attempt_started(2.0, "a", 2)
    assert not ledger.violations
    ledger.on_attempt_started(3.0, "a", 1)  # the second is out: two out, too many, and it may have run
    assert rules(ledger) == ["attempts", "attempts", "effects"]
    ledger.on_attempt_ended(second, True)
    ledger.on_answer(4.0, "a", "refused")
    assert rules(ledger)[3:] == ["effects"]


def test_the_ledger_keeps_keyed_calls_to_their_window_and_group() -> None:
    for worker, at, broken in ((1, 900.0, []), (1, 1100.0, ["effects"]), (2, 900.0, ["effects"])):
        ledger = book()
        ledger.on_call_submitted(0.0, "a", KEYED, 5000.0)
        ledger.on_attempt_ended(ledger.on_attempt_started(1.0, "a", 1), True)
        ledger.on_attempt_started(at, "a", worker)
        assert rules(ledger) == broken


def test_the_ledger_counts_drains_from_the_first_byte_and_orders_by_their_window() -> None:
    ledger = book()
    ledger.on_call_submitted(0.0, "a", CallGuarantees(Idempotency.IDEMPOTENT), 9000.0)
    ledger.on_worker_state(100.0, 1, "draining")
    ledger.on_worker_state(300.0, 1, "draining")  # told again: the time runs from the first
    ledger.on_attempt_ended(ledger.on_attempt_started(700.0, "a", 1, first_byte_at_ms=650.0), False)
    assert not ledger.violations
    ledger.on_attempt_started(700.0, "a", 1, first_byte_at_ms=651.0)
    assert rules(ledger) == ["drain"]
    for at in (1000.0, 1001.0, 1002.0, 6100.0, 6101.0):
        ledger.on_preload(at, 2, 1)
    assert rules(ledger) == ["drain"]
    ledger.on_preload(6102.0, 2, 1)
    ledger.on_preload(6103.0, 2, 1)
    assert rules(ledger) == ["drain", "orders"]


# The rig itself.


def test_virtual_time_moves_only_when_nothing_is_left_and_stops_when_stuck() -> None:
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


def test_a_memory_connection_holds_back_what_its_peer_does_not_take() -> None:
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
        assert bytes(got) == b"abc" and transport.get_write_buffer_size() == 2
        transport.peer_accept(None)
        assert bytes(got) == b"abcde"
        transport.peer_reset()
        await asyncio.sleep(0)

    run_virtual(work)
    assert events == ["pause", "resume", "lost ConnectionResetError"]


def test_a_verdict_tells_findings_exceptions_work_and_memory_apart() -> None:
    class Odd(Target):
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

    odd = Odd()
    assert verdict(odd, b"finding", metered=True) == "seen"
    assert verdict(odd, b"error") == "KeyError: 'k'"
    assert "lines of work" in (verdict(odd, b"work", metered=True) or "")
    assert "bytes held" in (verdict(odd, b"memory", metered=True) or "")
    assert verdict(odd, b"", metered=True) is None


def test_minimising_leaves_only_what_is_needed() -> None:
    assert corpus.minimise(b"..a....b...", lambda data: b"a" in data and b"b" in data) == b"ab"


def test_dice_past_the_end_choose_the_first() -> None:
    dice = FuzzedDataProvider(b"\x05")
    assert dice.pick("abc") == "c" and dice.pick("abc") == "a" and not dice.has_more()


def test_drawn_answers_of_the_resolver_are_read_as_drawn() -> None:
    reply = generate_reply(random.Random(3), 5)
    assert dns.parse(pack_reply(reply)) == reply
    assert isinstance(verdict(DnsTarget(), pack_reply(reply)), (str, type(None)))


def test_commands_end_with_their_exit_codes(tmp_path: Path) -> None:
    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "cedarthread", "fuzz", *words], capture_output=True, text=True
        )

    done = run("replay", "spiffe")
    assert done.returncode == 0 and done.stdout.splitlines()[-1].startswith("fuzz replay: ok")
    unknown = run("replay", "nothing")
    assert unknown.returncode == 2 and "no target 'nothing'" in unknown.stderr
    kept = tmp_path / "input"
    kept.write_bytes(b"spiffe://gaz.example/a")
    assert run("minimise", "spiffe", str(kept)).returncode == 1  # it shows nothing
