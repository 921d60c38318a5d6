"""Tests of the corpus, a fixed number of generated inputs, small models, and some of the injected defects."""

from __future__ import annotations

import dataclasses
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from cedarthread.testing.fuzzing import corpus, injected_defects, model_checking, small_models, targets
from cedarthread.testing.fuzzing.replay import replay
from cedarthread.testing.fuzzing.target import verdict

if TYPE_CHECKING:
    from cedarthread.testing.fuzzing.defect import Defect

CORPUS = Path(__file__).parents[2] / "corpus"
TARGETS = targets.targets_by_name()
QUICKLY_FOUND_DEFECTS = [
    defect for defect in injected_defects.DEFECTS if defect.runs <= 400 and defect.target != "dns"
]
QUICKLY_EXPLORED_MODELS = [model for model in small_models.MODELS if model.expected_states < 700]


@pytest.mark.parametrize("name", TARGETS)
def test_the_corpus_and_generated_inputs_show_no_finding(name: str) -> None:
    report_lines: list[str] = []
    counts = replay({name: TARGETS[name]}, CORPUS, report_lines.append, generates=True)
    assert counts.findings == 0, report_lines
    assert counts.generated_inputs == TARGETS[name].test_runs > 0


def test_every_target_has_a_corpus() -> None:
    assert all(corpus.inputs(name, CORPUS) for name in TARGETS)


@pytest.mark.parametrize("defect", QUICKLY_FOUND_DEFECTS, ids=lambda defect: defect.name)
def test_an_injected_defect_is_found(defect: Defect) -> None:
    assert injected_defects.runs_until_found(defect, TARGETS[defect.target]) is not None


@pytest.mark.parametrize("name", ["unsafe-sent-again", "drained-chosen"])
def test_the_send_guard_prevents_the_effects_of_a_wrong_routing_decision(name: str) -> None:
    """With the send guard unpatched, the defect in the routing decisions alone violates no invariant."""
    (defect,) = [candidate for candidate in injected_defects.DEFECTS if candidate.name == name]
    decision_patches = tuple(patch for patch in defect.patches if "refuse" not in patch.attribute)
    assert len(decision_patches) < len(defect.patches)

    guarded = dataclasses.replace(defect, patches=decision_patches, runs=min(defect.runs, 1500))

    assert injected_defects.runs_until_found(guarded, TARGETS[defect.target]) is None


def test_a_finding_fails_again_when_its_fixed_defect_is_injected() -> None:
    """The file of each finding of the call machine has the name of the defect that it found."""
    defects = {defect.name: defect for defect in injected_defects.DEFECTS}
    findings = [(Path(name).name, data) for name, data in corpus.findings("calls", CORPUS)]
    assert findings
    for name, data in findings:
        with defects[name].injected():
            assert verdict(TARGETS["calls"], data) is not None, name


@pytest.mark.parametrize("model", QUICKLY_EXPLORED_MODELS, ids=lambda model: model.name)
def test_a_small_model_violates_no_invariant_in_any_order_of_events(model: small_models.SmallModel) -> None:
    assert model_checking.explore(model).verdict() is None


def test_exploring_reports_a_violated_invariant_and_a_missing_state() -> None:
    confirm = next(model_checking.models_named("confirm"))
    unsafe = next(defect for defect in injected_defects.DEFECTS if defect.name == "unsafe-sent-again")
    with unsafe.injected():
        assert "fragile call" in (model_checking.explore(confirm).verdict() or "")

    incomplete = model_checking.Exploration(confirm, state_count=confirm.expected_states - 1)
    assert "states" in (incomplete.verdict() or "")


def test_commands_return_their_exit_codes(tmp_path: Path) -> None:
    def run_fuzz(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "cedarthread", "fuzz", *arguments]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    replayed = run_fuzz("replay", "spiffe")
    assert replayed.returncode == 0
    assert replayed.stdout.splitlines()[-1].startswith("fuzz replay: ok")

    unknown = run_fuzz("replay", "nothing")
    assert unknown.returncode == 2
    assert "no target 'nothing'" in unknown.stderr

    harmless = tmp_path / "input"
    harmless.write_bytes(b"spiffe://gaz.example/a")
    assert run_fuzz("minimise", "spiffe", str(harmless)).returncode == 1  # the input shows no finding
