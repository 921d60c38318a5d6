"""Charts of runs: work per core of each worker over time, with the faults marked, as SVG."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


def write_charts(folder: Path) -> int:
    """Draw a chart for every result file in a folder, and return the exit code."""
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        print(f"cedarthread cluster: {error}; install requirements-tools.txt", file=sys.stderr)
        return 2
    files = sorted(folder.glob("*.json"))
    if not files:
        print(f"cedarthread cluster: no result files in {folder}", file=sys.stderr)
        return 2
    for file in files:
        result = json.loads(file.read_text())
        figure = Figure(figsize=(9.0, 4.0))
        axes = figure.subplots()
        for work_per_core in result["held"]:
            axes.plot(range(len(work_per_core)), work_per_core, linewidth=0.8)
        for kind, start_s, end_s in result["faults"]:
            axes.axvspan(start_s, end_s, alpha=0.08, color="red")
            axes.text(start_s, axes.get_ylim()[1], kind, fontsize=7, va="top")
        axes.set(xlabel="s", ylabel="calls per core", title=f"{result['scenario']}, seed {result['seed']}")
        figure.savefig(file.with_suffix(".svg"))
        print(file.with_suffix(".svg"))
    return 0
