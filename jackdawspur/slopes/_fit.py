"""Linear fits of repeated measurements."""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["REPEATS", "Slope", "fit", "format_slope"]

REPEATS = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """Linear growth of a measured value with one size.

    `intercept` is the value of the fitted line at size zero and `per_unit` its slope;
    `low` and `high` are the bounds of the slopes of all repeats; `points` are the
    medians at `sizes`.
    """

    name: str
    unit: str
    per: str
    intercept: float
    per_unit: float
    low: float
    high: float
    sizes: tuple[int, ...]
    points: tuple[float, ...]
    repeats: int


def fit(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    repeats: int = REPEATS,
) -> Slope:
    """Measure each size `repeats` times and fit each repeat by least squares."""
    rounds = [[measure(size) for size in sizes] for _ in range(repeats)]
    lines = [statistics.linear_regression(sizes, values) for values in rounds]
    slopes = [line.slope for line in lines]
    return Slope(
        name=name,
        unit=unit,
        per=per,
        intercept=statistics.median(line.intercept for line in lines),
        per_unit=statistics.median(slopes),
        low=min(slopes),
        high=max(slopes),
        sizes=tuple(sizes),
        points=tuple(statistics.median(values) for values in zip(*rounds, strict=True)),
        repeats=repeats,
    )


def format_slope(slope: Slope) -> str:
    """Return a slope as one line of text."""
    sizes = "/".join(str(size) for size in slope.sizes)
    points = "/".join(f"{point:.4g}" for point in slope.points)
    return (
        f"{slope.name}: {slope.intercept:.4g} {slope.unit}"
        f" + {slope.per_unit:.4g} per {slope.per}"
        f" ({slope.low:.4g} to {slope.high:.4g}, {slope.repeats} repeats;"
        f" {points} at {sizes})"
    )
