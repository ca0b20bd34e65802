"""Tests that estimates correct useful declarations and ignore useless ones."""

import random

import pytest

from jackdawspur.model import TaskSpec
from jackdawspur.scheduling import RunTimeEstimator


def observe_tasks(estimator, customer, count, declare, seed=3):
    rng = random.Random(seed)
    for _ in range(count):
        run_ms = rng.uniform(50.0, 1000.0)
        spec = TaskSpec(run_ms=declare(run_ms, rng))
        estimator.observe(customer, "tile", spec, run_ms)


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_constant_factor_is_corrected(factor):
    estimator = RunTimeEstimator()
    observe_tasks(estimator, "a", 200, lambda run_ms, rng: run_ms * factor)
    for run_ms in (100.0, 400.0, 900.0):
        spec = TaskSpec(run_ms=run_ms * factor)
        assert estimator.estimate_ms("a", "tile", spec) == pytest.approx(
            run_ms, rel=0.2
        )


def test_useless_declarations_are_ignored():
    estimator = RunTimeEstimator()
    observe_tasks(estimator, "a", 500, lambda run_ms, rng: rng.uniform(10.0, 10_000.0))
    low = estimator.estimate_ms("a", "tile", TaskSpec(run_ms=10.0))
    high = estimator.estimate_ms("a", "tile", TaskSpec(run_ms=10_000.0))
    assert 250.0 < low < 900.0
    assert 250.0 < high < 1000.0


def test_false_declarations_do_not_change_estimates_of_others():
    """Wrong declarations of one customer spoil the estimates of another.

    Both use the same class name, and one declares a tenth of the run time or ten times
    as much, at random.
    """
    estimator = RunTimeEstimator()
    observe_tasks(estimator, "honest", 100, lambda run_ms, rng: run_ms)
    spec = TaskSpec(run_ms=300.0)
    before = estimator.estimate_ms("honest", "tile", spec)
    observe_tasks(
        estimator, "liar", 500, lambda run_ms, rng: run_ms * rng.choice((0.1, 10.0))
    )
    assert estimator.estimate_ms("honest", "tile", spec) == before
    worst = estimator.estimate_ms("liar", "tile", TaskSpec(run_ms=1e9))
    assert worst < 7.5 * 1000.0


def test_new_class_name_does_not_reset_corrected_declarations():
    estimator = RunTimeEstimator()
    observe_tasks(estimator, "liar", 100, lambda run_ms, rng: run_ms * 0.1)
    estimate = estimator.estimate_ms("liar", "fresh", TaskSpec(run_ms=40.0))
    assert estimate == pytest.approx(400.0, rel=0.2)


def test_stragglers_hardly_change_an_estimate():
    estimator = RunTimeEstimator()
    spec = TaskSpec(run_ms=100.0)
    for count in range(400):
        estimator.observe("a", "tile", spec, 5000.0 if count % 20 == 19 else 100.0)
    assert estimator.estimate_ms("a", "tile", spec) < 200.0


def test_memory_is_bounded():
    estimator = RunTimeEstimator(max_classes=10)
    for number in range(100):
        estimator.observe("a", f"class-{number}", TaskSpec(), 100.0)
    assert len(estimator) == 10
