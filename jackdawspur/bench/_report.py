"""Format figures as a table and as JSON lines."""

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
    """Return the header of the table."""
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
    """Return the row of the product's previous version, from the last values."""
    stored = bounds.entries.get(key, {})

    def format_last(name: str) -> str:
        last = stored[name].last if name in stored else None
        return f"{NO_VALUE if last is None else format(last, '.3f'):>10}"

    label = key.removesuffix(PRODUCT_POLICY) + "previous"
    counts = f"{NO_VALUE:>10}" * len(COLUMNS)
    return f"{label:64}{counts}{''.join(format_last(name) for name in RATIOS)}"


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
    """Return one line per figure: value, bound, last value, goal and verdict."""
    lines = []
    for item in items:
        entry = item.entry
        verdict = "ok"
        if item.goal_missed:
            verdict = "goal missed"
        if item.breached:
            verdict = "BREACH"
        lines.append(
            f"  {item.figure:22} {item.value:>10g} bound {_format(entry.bound):>8}"
            f" last {_format(entry.last):>8} goal {_format(entry.goal):>6} {verdict}"
        )
    return lines


def excess_line(outcomes: Sequence[Outcome]) -> str | None:
    """Compare the product's excess over the ideal with that of the best baseline.

    Returns None unless both ran.
    """
    product = [item for item in outcomes if item.experiment.policy == PRODUCT_POLICY]
    baselines = [item for item in outcomes if item.experiment.policy != PRODUCT_POLICY]
    if not product or not baselines:
        return None
    best = min(baselines, key=lambda item: item.figures.p99)
    product_excess, best_excess = product[0].figures.p99 - 1, best.figures.p99 - 1
    share = f"{product_excess / best_excess:.2f}" if best_excess > 0 else NO_VALUE
    return (
        f"  p99 excess over ideal: own {product_excess:.4f},"
        f" best baseline {best_excess:.4f}"
        f" ({best.experiment.policy}), own share {share}"
    )


def _format(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:g}"
