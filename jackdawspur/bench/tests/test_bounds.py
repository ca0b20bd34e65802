"""Tests of the comparison of figures with the bounds in the repository."""

import pytest

from jackdawspur.bench import BoundsFileError
from jackdawspur.bench._bounds import (
    BoundsFile,
    Entry,
    compare,
    read_bounds,
    with_last_values,
    write_bounds,
)


@pytest.fixture
def outcome(run):
    return run("steady", "random", load=0.3, seconds=3.0)


def test_exceeded_bound_is_detected_and_bounds_are_kept(outcome, tmp_path):
    key = outcome.experiment.key
    bounds = BoundsFile(1, 3.0, {key: {"p50": Entry(0.5, 0.4), "p99": Entry(99.0)}})
    comparisons = compare(bounds, outcome)
    assert [item.figure for item in comparisons if item.breached] == ["p50"]
    path = tmp_path / "bounds.json"
    write_bounds(path, with_last_values(bounds, comparisons))
    reread = read_bounds(path)
    assert reread.entries[key]["p50"] == Entry(0.5, outcome.figures.p50)
    assert reread.entries[key]["p99"] == Entry(99.0, outcome.figures.p99)


def test_run_with_another_seed_is_not_compared(outcome):
    assert compare(BoundsFile(2, 3.0), outcome) == []


def test_invalid_bounds_file_raises_an_error_that_names_the_field(tmp_path):
    path = tmp_path / "bounds.json"
    path.write_text('{"seed": "x"}')
    with pytest.raises(BoundsFileError, match="seed"):
        read_bounds(path)
