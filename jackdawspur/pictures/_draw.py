"""Drawing with matplotlib; equal figures give byte-identical files."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "jackdawspur"

from matplotlib import pyplot  # noqa: E402

from jackdawspur.pictures._lines import (  # noqa: E402
    ChangeLine,
    PictureError,
    SteadyLine,
)

__all__ = ["draw_configuration", "draw_tail", "pyplot", "save_figure"]

PRODUCT_POLICY = "own"
PRODUCT_WIDTH, BASELINE_WIDTH = 3.0, 1.2
GOAL_P99_RATIO = 1.2
MAX_CHANGE_MS = 6000.0
PERCENT = 100.0
# No date, so that the file changes only if the figures change.
METADATA = {"Date": None}


def draw_tail(lines: Sequence[SteadyLine], path: Path) -> None:
    """Draw the 99th percentile by load, a panel per deployment, a line per policy."""
    if not lines:
        raise PictureError("no steady runs to draw")
    deployments = sorted({line.deployment for line in lines})
    figure, axes = pyplot.subplots(
        1, len(deployments), figsize=(6 * len(deployments), 4), squeeze=False
    )
    for axis, deployment in zip(axes[0], deployments, strict=True):
        _draw_policies(axis, [line for line in lines if line.deployment == deployment])
        axis.set_title(deployment)
    save_figure(figure, path)


def _draw_policies(axis, lines: Sequence[SteadyLine]) -> None:
    for policy in sorted({line.policy for line in lines}):
        points = sorted(
            (line.load * PERCENT, line.p99) for line in lines if line.policy == policy
        )
        width = PRODUCT_WIDTH if policy == PRODUCT_POLICY else BASELINE_WIDTH
        axis.plot(*zip(*points, strict=True), marker="o", linewidth=width, label=policy)
    axis.axhline(GOAL_P99_RATIO, color="grey", linestyle=":", label="goal at 70 %")
    axis.set_yscale("log")
    axis.set_xlabel("load, % of all slots")
    axis.set_ylabel("p99 of response over ideal")
    axis.legend(fontsize="small")


def draw_configuration(lines: Sequence[ChangeLine], path: Path) -> None:
    """Draw the times from confirm until in force on all hosts, with their bound."""
    if not lines:
        raise PictureError("no changes of the configuration to draw")
    figure, axis = pyplot.subplots(figsize=(7, 4))
    ticks = range(len(lines))
    axis.bar(
        [x - 0.2 for x in ticks], [line.p50_ms for line in lines], 0.4, label="p50"
    )
    axis.bar(
        [x + 0.2 for x in ticks], [line.p99_ms for line in lines], 0.4, label="p99"
    )
    axis.axhline(MAX_CHANGE_MS, color="red", linestyle=":", label="bound")
    axis.set_yscale("log")
    axis.set_xticks(list(ticks), [f"{line.measure}\n{line.changes}" for line in lines])
    axis.set_ylabel("confirm to in force everywhere, ms")
    axis.legend(fontsize="small")
    save_figure(figure, path)


def save_figure(figure, path: Path) -> None:
    """Write a figure as SVG and close it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata=METADATA)
    pyplot.close(figure)
