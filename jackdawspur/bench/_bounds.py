"""Bounds and last values of figures, stored in a file of the repository."""

from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from jackdawspur.bench._errors import BoundsFileError
from jackdawspur.bench._experiment import Outcome

__all__ = [
    "BOUNDED_FIGURES",
    "BoundsFile",
    "Comparison",
    "Entry",
    "compare",
    "read_bounds",
    "with_last_values",
    "write_bounds",
]

BOUNDED_FIGURES = (
    "p50",
    "p99",
    "p999",
    "wasted_per_job",
    "jobs_lost_per_fault",
    "broken_invariants",
)


@dataclass(frozen=True, slots=True)
class Entry:
    """The stored bound, last value and goal of one figure; None if not set.

    A figure above its `bound` fails the run; one above its `goal` is only reported.
    """

    bound: float | None = None
    last: float | None = None
    goal: float | None = None


@dataclass(frozen=True, slots=True)
class BoundsFile:
    """Entries by experiment and figure, valid for one seed and run length."""

    seed: int = 1
    seconds: float = 20.0
    entries: dict[str, dict[str, Entry]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Comparison:
    """One figure, with its stored bound, last value and goal."""

    experiment: str
    figure: str
    value: float
    entry: Entry

    @property
    def breached(self) -> bool:
        """Return whether the figure exceeds its bound."""
        return self.entry.bound is not None and self.value > self.entry.bound

    @property
    def goal_missed(self) -> bool:
        """Return whether the figure misses its goal."""
        return self.entry.goal is not None and self.value > self.entry.goal


def read_bounds(path: Path) -> BoundsFile:
    """Read a bounds file; raise `BoundsFileError` if that fails."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=BoundsFile)
    except (OSError, msgspec.MsgspecError) as error:
        raise BoundsFileError(f"{path.name}: {error}") from error


def write_bounds(path: Path, bounds: BoundsFile) -> None:
    """Write bounds to a file, in sorted order."""
    ordered = msgspec.json.encode(bounds, order="sorted")
    path.write_bytes(msgspec.json.format(ordered, indent=1) + b"\n")


def compare(bounds: BoundsFile, outcome: Outcome) -> list[Comparison]:
    """Compare the figures of a run with the file.

    Returns an empty list if the run has another seed or length than the file.
    """
    experiment = outcome.experiment
    if (experiment.seed, experiment.seconds) != (bounds.seed, bounds.seconds):
        return []
    stored = bounds.entries.get(experiment.key, {})
    return [
        Comparison(
            experiment.key,
            name,
            getattr(outcome.figures, name),
            stored.get(name, Entry()),
        )
        for name in BOUNDED_FIGURES
    ]


def with_last_values(bounds: BoundsFile, comparisons: list[Comparison]) -> BoundsFile:
    """Return the bounds with updated last values; the bounds stay the same."""
    entries = {key: dict(figures) for key, figures in bounds.entries.items()}
    for item in comparisons:
        figures = entries.setdefault(item.experiment, {})
        figures[item.figure] = replace(item.entry, last=item.value)
    return BoundsFile(bounds.seed, bounds.seconds, entries)
