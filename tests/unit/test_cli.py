"""The command line: command names, and tools whose packages are not installed."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from cedarthread.cli import main

ROOT = Path(__file__).parents[2]

# Runs the program; the first argument is a package to treat as not installed, the others are passed on.
WITHOUT_PACKAGE = """
import sys
package, *arguments = sys.argv[1:]
sys.modules[package] = None
from cedarthread.cli import main
sys.exit(main(arguments))
"""


def run_without_package(package: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program in a process that cannot import a package."""
    return subprocess.run(
        [sys.executable, "-c", WITHOUT_PACKAGE, package, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize(
    ("package", "arguments", "requirements"),
    [
        ("hdrh", ("drill", "spread"), "requirements-dev.txt"),
        ("hdrh", ("cluster", "run", "scenario.toml"), "requirements-dev.txt"),
        ("hdrh", ("rig", "run", "scenario.toml"), "requirements-dev.txt"),
        ("msgpack", ("fuzz", "list"), "requirements-dev.txt"),
        ("cryptography", ("fuzz", "list"), "requirements.txt"),
    ],
)
def test_a_tool_without_its_package_prints_the_requirements_file_in_one_line(
    package: str, arguments: tuple[str, ...], requirements: str
) -> None:
    ended = run_without_package(package, *arguments)
    problem = f'the package "{package}" is not installed; run: pip install -r {requirements}'
    assert ended.stderr == f"cedarthread: {arguments[0]}: {problem}\n"
    assert ended.stdout == ""
    assert ended.returncode == 2


@pytest.mark.parametrize("command", ["fuzz", "cluster", "rig", "drill"])
def test_a_tool_command_without_the_test_tools_prints_a_one_line_error(command: str, tmp_path: Path) -> None:
    package = ROOT / "cedarthread"
    shutil.copytree(
        package, tmp_path / "cedarthread", ignore=shutil.ignore_patterns("testing", "__pycache__")
    )
    ended = subprocess.run(
        [sys.executable, "-m", "cedarthread", command],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    problem = "the test tools are not part of this installation; run the command in a checkout of the source"
    assert ended.stderr == f"cedarthread: {command}: {problem}\n"
    assert ended.returncode == 2


def test_a_missing_module_of_the_tools_is_not_reported_as_a_missing_package() -> None:
    ended = run_without_package("cedarthread.testing.cluster.run", "drill", "spread")
    assert "Traceback" in ended.stderr
    assert ended.returncode == 1


@pytest.mark.parametrize("command", ["cluster", "rig"])
def test_cluster_and_its_earlier_name_rig_run_the_same_commands(
    command: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    scenario = tmp_path / "none.toml"
    assert main([command, "run", str(scenario)]) == 2
    assert str(scenario) in capsys.readouterr().err
    assert main([command, "report", str(tmp_path)]) == 2
    assert f"no result files in {tmp_path}" in capsys.readouterr().err


@pytest.mark.parametrize("arguments", [["--help"], ["cluster", "--help"], ["rig", "--help"]])
def test_the_help_lists_cluster_and_its_earlier_name(
    arguments: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    assert not ended.value.code
    text = " ".join(capsys.readouterr().out.split())
    assert "cluster" in text
    assert "earlier name of" in text
    assert "still works" in text
