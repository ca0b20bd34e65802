"""Bounds and last values of figures, kept in a file of the repository."""

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
    "with_last",
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
    """Hold what is kept of one figure; None where nothing is.

    A figure over its `bound` fails the run; one over its `goal` is only shown.
    """

    bound: float | None = None
    last: float | None = None
    goal: float | None = None


@dataclass(frozen=True, slots=True)
class BoundsFile:
    """Hold entries by experiment and figure; they hold for one seed and length."""

    seed: int = 1
    seconds: float = 20.0
    entries: dict[str, dict[str, Entry]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Comparison:
    """Set one figure against its bound and its last value."""

    experiment: str
    figure: str
    value: float
    entry: Entry

    @property
    def breached(self) -> bool:
        """Tell whether the figure exceeds its bound."""
        return self.entry.bound is not None and self.value > self.entry.bound

    @property
    def missed(self) -> bool:
        """Tell whether the figure has not reached its goal."""
        return self.entry.goal is not None and self.value > self.entry.goal


def read_bounds(path: Path) -> BoundsFile:
    """Return the bounds of a file; raise `BoundsFileError`."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=BoundsFile)
    except (OSError, msgspec.MsgspecError) as error:
        raise BoundsFileError(f"{path.name}: {error}") from error


def write_bounds(path: Path, bounds: BoundsFile) -> None:
    """Write bounds to a file, in a stable order."""
    ordered = msgspec.json.encode(bounds, order="sorted")
    path.write_bytes(msgspec.json.format(ordered, indent=1) + b"\n")


def compare(bounds: BoundsFile, outcome: Outcome) -> list[Comparison]:
    """Set the figures of a run against the file; none for another seed or length."""
    experiment = outcome.experiment
    if (experiment.seed, experiment.seconds) != (bounds.seed, bounds.seconds):
        return []
    kept = bounds.entries.get(experiment.key, {})
    return [
        Comparison(
            experiment.key,
            name,
            getattr(outcome.figures, name),
            kept.get(name, Entry()),
        )
        for name in BOUNDED_FIGURES
    ]


def with_last(bounds: BoundsFile, found: list[Comparison]) -> BoundsFile:
    """Return the file with new last values and the same bounds."""
    entries = {key: dict(figures) for key, figures in bounds.entries.items()}
    for item in found:
        figures = entries.setdefault(item.experiment, {})
        figures[item.figure] = replace(item.entry, last=item.value)
    return BoundsFile(bounds.seed, bounds.seconds, entries)
