"""Write figures as a table and as JSON lines."""

from collections.abc import Sequence
from dataclasses import asdict

import msgspec

from jackdawspur.bench._bounds import BoundsFile, Comparison
from jackdawspur.bench._experiment import Outcome
from jackdawspur.bench._policies import PRODUCT_POLICY

__all__ = [
    "comparison_lines",
    "excess_line",
    "header_line",
    "json_line",
    "previous_line",
    "table_line",
]

COLUMNS = ("jobs", "complete", "failed", "refused", "jobs_lost")
RATIOS = ("p50", "p99", "p999", "wasted_per_job", "lending_per_job")
NO_VALUE = "-"


def header_line() -> str:
    """Return the heads of the table's columns."""
    heads = "".join(f"{name:>10}" for name in COLUMNS)
    ratios = "".join(f"{name.removesuffix('_per_job'):>10}" for name in RATIOS)
    return f"{'experiment':64}{heads}{ratios}{'broken':>8}"


def table_line(outcome: Outcome) -> str:
    """Return one row of the table."""
    figures = outcome.figures
    counts = "".join(f"{getattr(figures, name):>10}" for name in COLUMNS)
    ratios = "".join(f"{getattr(figures, name):>10.3f}" for name in RATIOS)
    key = outcome.experiment.key
    return f"{key:64}{counts}{ratios}{figures.broken_invariants:>8}"


def previous_line(bounds: BoundsFile, key: str) -> str:
    """Return the row of the project's previous version, from its last values."""
    kept = bounds.entries.get(key, {})

    def show(name: str) -> str:
        last = kept[name].last if name in kept else None
        return f"{NO_VALUE if last is None else format(last, '.3f'):>10}"

    label = key.removesuffix(PRODUCT_POLICY) + "previous"
    counts = f"{NO_VALUE:>10}" * len(COLUMNS)
    return f"{label:64}{counts}{''.join(show(name) for name in RATIOS)}"


def json_line(outcome: Outcome) -> str:
    """Return the figures of a run as one JSON line."""
    experiment = outcome.experiment
    line = {
        "deployment": experiment.deployment.name,
        "scenario": experiment.scenario.name,
        "policy": experiment.policy,
        "load": experiment.load,
        "seed": experiment.seed,
        "seconds": experiment.seconds,
        **asdict(outcome.figures),
        "broken": outcome.broken,
    }
    return msgspec.json.encode(line).decode()


def comparison_lines(items: Sequence[Comparison]) -> list[str]:
    """Return a line a figure: value, bound, last value and verdict."""
    lines = []
    for item in items:
        kept = item.entry
        verdict = "ok"
        if item.missed:
            verdict = "goal missed"
        if item.breached:
            verdict = "BREACH"
        lines.append(
            f"  {item.figure:22} {item.value:>10g} bound {_show(kept.bound):>8}"
            f" last {_show(kept.last):>8} goal {_show(kept.goal):>6} {verdict}"
        )
    return lines


def excess_line(outcomes: Sequence[Outcome]) -> str | None:
    """Set the own policy's excess over the ideal against the best baseline's.

    None unless both ran.
    """
    own = [item for item in outcomes if item.experiment.policy == PRODUCT_POLICY]
    others = [item for item in outcomes if item.experiment.policy != PRODUCT_POLICY]
    if not own or not others:
        return None
    best = min(others, key=lambda item: item.figures.p99)
    mine, theirs = own[0].figures.p99 - 1, best.figures.p99 - 1
    share = f"{mine / theirs:.2f}" if theirs > 0 else NO_VALUE
    return (
        f"  p99 excess over ideal: own {mine:.4f}, best baseline {theirs:.4f}"
        f" ({best.experiment.policy}), own share {share}"
    )


def _show(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:g}"
