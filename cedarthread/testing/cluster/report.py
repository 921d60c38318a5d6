"""Charts of runs: held work by runner over time, with the faults marked, as SVG."""

from __future__ import annotations

import json
import sys
from pathlib import Path


def write_charts(folder: Path) -> int:
    """Draw every result in a folder; the exit code."""
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        print(f"cedarthread rig: {error}; install requirements-tools.txt", file=sys.stderr)
        return 2
    files = sorted(folder.glob("*.json"))
    if not files:
        print(f"cedarthread rig: no results in {folder}", file=sys.stderr)
        return 2
    for file in files:
        told = json.loads(file.read_text())
        figure = Figure(figsize=(9.0, 4.0))
        axes = figure.subplots()
        for load in told["held"]:
            axes.plot(range(len(load)), load, linewidth=0.8)
        for kind, at, until in told["faults"]:
            axes.axvspan(at, until, alpha=0.08, color="red")
            axes.text(at, axes.get_ylim()[1], kind, fontsize=7, va="top")
        axes.set(xlabel="s", ylabel="held calls a core", title=f"{told['scenario']}, seed {told['seed']}")
        figure.savefig(file.with_suffix(".svg"))
        print(file.with_suffix(".svg"))
    return 0
