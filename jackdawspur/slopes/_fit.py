"""Slopes, fitted to repeated measurements."""

import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["REPEATS", "Slope", "fit", "text_of"]

REPEATS = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """Tell how a figure grows with one size, over the sizes measured.

    `base` is the figure at size zero of the fitted line; `low` and `high` bound the
    slopes of the repeats; `points` are the medians at `sizes`.
    """

    name: str
    unit: str
    per: str
    base: float
    each: float
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
    """Measure each size so often and fit a line to every repeat by least squares."""
    rounds = [[measure(size) for size in sizes] for _ in range(repeats)]
    lines = [statistics.linear_regression(sizes, one) for one in rounds]
    slopes = [line.slope for line in lines]
    return Slope(
        name=name,
        unit=unit,
        per=per,
        base=statistics.median(line.intercept for line in lines),
        each=statistics.median(slopes),
        low=min(slopes),
        high=max(slopes),
        sizes=tuple(sizes),
        points=tuple(statistics.median(at) for at in zip(*rounds, strict=True)),
        repeats=repeats,
    )


def text_of(slope: Slope) -> str:
    """Return a slope as one line for people."""
    sizes = "/".join(str(size) for size in slope.sizes)
    points = "/".join(f"{point:.4g}" for point in slope.points)
    return (
        f"{slope.name}: {slope.base:.4g} {slope.unit} + {slope.each:.4g} a {slope.per}"
        f" ({slope.low:.4g} to {slope.high:.4g}, {slope.repeats} repeats;"
        f" {points} at {sizes})"
    )
